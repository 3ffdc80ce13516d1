//! Intake of client requests: validates a request, registers it as open and passes an event to the admission module.
//!
//! A request that fails validation is answered here, and the admission module never learns of it. Each check is a
//! function that returns an [`IntakeError`]; if several would fail, the client sees the error of the first one. The
//! admission module decides whether and when a valid request runs.

use super::arrival_times::IntakeConnection;
use super::never_ran::UnregisteredAttempt;
use super::open_requests::{OpenRequest, RequestState};
use super::refusals::Refusal;
use super::{MS, Reducer};
use crate::idempotency_table::Fingerprint;
use crate::lifecycle_counters::RefusalReason;
use crate::messages::{ClientRequest, ConnectionId, ProtocolViolation, RequestError, Response, SequenceId};
use crate::request_timeline::RequestTimeline;
use gradepin_admission::{Event, Idempotency, Request, RequestId, Span};
use siphasher::sip::SipHasher13;
use slog::Level;
use std::hash::Hasher;
use std::sync::Arc;

/// Maximum budget of a request, as a multiple of the deadline of its class.
pub(super) const MAX_BUDGET_DEADLINES: u64 = 2;

/// Why a request is not passed on to the admission module.
#[derive(Debug)]
enum IntakeError {
    /// The request is invalid.
    Invalid {
        /// Slot of its class, if known; the response is counted for that class.
        class: Option<usize>,
        /// Kind of error, as front ends report it.
        error: RequestError,
        /// Explanation for the sender.
        text: String,
    },
    /// The request is valid but can't be accepted now.
    Rejected {
        /// Slot of its class.
        class: usize,
        /// Why it is refused.
        reason: RefusalReason,
        /// Advised wait before a retry; 0 for no advice.
        retry_after: Span,
    },
    /// A run was started under the id of the request, which has no idempotency key that would tell its outcome.
    Started {
        /// Slot of its class.
        class: usize,
    },
}

impl IntakeError {
    fn invalid(class: usize, error: RequestError, text: String) -> Self {
        Self::Invalid { class: Some(class), error, text }
    }
}

/// What validation found out about a request that passed it.
#[derive(Debug)]
struct ValidRequest {
    class: usize,
    tenant: Option<usize>,
    /// When the request reached the machine, in Unix milliseconds; never later than the current step.
    arrived_unix_ms: u64,
    /// When the caller stops waiting, in Unix milliseconds.
    deadline_unix_ms: u64,
    /// How long the request waited on this machine before it was read.
    queued_for: Span,
    /// Fingerprint of the body and class; 0 without an idempotency key.
    fingerprint: Fingerprint,
    /// The earlier attempt that this request repeats.
    earlier: Option<RequestId>,
}

impl Reducer {
    /// Returns whether a message has the sequence number of an open request on its connection. The client could not
    /// tell the two responses apart, so the first request keeps the number, the message is dropped and the connection
    /// accepts no further requests.
    pub(super) fn reject_duplicate_sequence(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
    ) -> bool {
        let state = self.connections.touch(connection, self.timestamp.now);
        if !state.is_some_and(|state| state.open.contains_key(&sequence)) {
            return false;
        }
        let text = format!(
            "connection {connection}: sequence number {sequence} is already in use; rejecting further requests"
        );
        self.log(Level::Warning, text);
        self.connections.stop_accepting_from(connection);
        self.request_drain(connection);
        self.charge(connection, ProtocolViolation::ReusedSequence);
        true
    }

    /// Validates a request, then registers it or answers it with the error.
    pub(super) fn receive_request(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
        mut request: ClientRequest,
    ) {
        let Some(state) = self.connections.touch(connection, self.timestamp.now) else { return };
        let connection_state = IntakeConnection {
            opened: state.opened,
            throttled_until: state.throttled_until,
            open_requests: state.open.len(),
            rejects_requests: state.rejects_requests,
            client_clock: state.client_clock,
        };
        self.convert_time_stamp(connection, connection_state, &mut request);
        let timeline = self.begin_timeline(&request);
        match self.validate(connection_state, &mut request) {
            Ok(valid) => self.register(connection, sequence, request, valid, timeline),
            Err(IntakeError::Invalid { class, error, text }) => {
                self.reject_invalid(connection, sequence, class, error, text);
            }
            Err(IntakeError::Rejected { class, reason, retry_after }) => {
                self.metrics.lifecycle.count_refusal(reason);
                if connection_state.takes_no_requests() {
                    self.charge(connection, ProtocolViolation::TooManyOpenRequests);
                }
                self.refuse_at_intake(connection, sequence, class, request, retry_after, timeline);
            }
            Err(IntakeError::Started { class }) => {
                self.check_due(&request.id, &timeline);
                self.answer_unregistered(connection, sequence, class, Response::OutcomeUnknown);
            }
        }
    }

    /// Refuses a valid request that can't be accepted now. A keyed one may have run, so it is registered as open, which
    /// the admission module doesn't learn, and refused like any other.
    fn refuse_at_intake(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
        class: usize,
        request: ClientRequest,
        retry_after: Span,
        timeline: RequestTimeline,
    ) {
        let arrived_unix_ms = request.arrived_unix_ms;
        let is_keyed = self.classes.profile(class).effect == Idempotency::Keyed;
        let key = request.idempotency_key.as_deref().filter(|_| is_keyed);
        let refusal = Refusal::retry_after(retry_after);
        let attempt = UnregisteredAttempt { id: &request.id, key, class, arrived_unix_ms };
        if let Some(proof) = self.prove_never_ran(&attempt) {
            self.check_due(&request.id, &timeline);
            return self.answer_unregistered(connection, sequence, class, refusal.response(proof));
        }
        if self.requests.contains(&request.id) {
            // Two open requests can't have one id, and a failure promises nothing.
            self.check_due(&request.id, &timeline);
            let failure = Response::Failed { timed_out: false };
            return self.answer_unregistered(connection, sequence, class, failure);
        }
        let id = request.id.clone();
        let valid = ValidRequest {
            class,
            tenant: request.tenant.and_then(|tenant| self.tenants.resolve(tenant)),
            arrived_unix_ms,
            deadline_unix_ms: arrived_unix_ms.saturating_add(request.budget_ms),
            queued_for: Span(0),
            fingerprint: self.fingerprint_of(class, &request),
            earlier: None,
        };
        self.add_open_request(connection, sequence, request, &valid, timeline);
        self.refuse(&id, refusal);
    }

    /// Runs all checks in the order in which a client sees their errors.
    fn validate(
        &mut self,
        connection: IntakeConnection,
        request: &mut ClientRequest,
    ) -> Result<ValidRequest, IntakeError> {
        let class = self.resolve_class(request)?;
        // If the slot was given to another tenant meanwhile, the request counts toward no tenant's quota.
        let tenant = request.tenant.and_then(|tenant| self.tenants.resolve(tenant));
        self.check_open_requests(connection, class)?;
        if self.classes.profile(class).effect != Idempotency::Keyed {
            request.idempotency_key = None;
        }
        self.check_budget(class, request)?;
        self.check_id(class, request)?;
        self.check_not_started(class, request)?;
        if !request.retry {
            // Counted even if it is rejected below: the comparison of versions includes rejected requests.
            self.count_for_rollback(tenant, class, 1, 0);
        }
        if self.controller.is_none() {
            // No processor has greeted yet, so there is no admission module. An earlier process, or the other one of an
            // upgrade, may have run the request all the same.
            let (reason, retry_after) = (RefusalReason::NoProcessor, Span(0));
            return Err(IntakeError::Rejected { class, reason, retry_after });
        }
        let arrived_unix_ms = request.arrived_unix_ms;
        self.drop_key_of_formerly_keyed_class(class, arrived_unix_ms, request);
        self.check_store(class, arrived_unix_ms, request)?;
        let fingerprint = self.fingerprint_of(class, request);
        let earlier = self.find_earlier_attempt(class, arrived_unix_ms, fingerprint, request)?;
        // A repeat of a known attempt is answered with that attempt's outcome and uses none of the cluster's retry
        // budget.
        let is_new_retry = request.retry && earlier.is_none();
        self.check_cluster(tenant, class, is_new_retry)?;
        Ok(ValidRequest {
            class,
            tenant,
            arrived_unix_ms,
            deadline_unix_ms: arrived_unix_ms.saturating_add(request.budget_ms),
            queued_for: self.queued_for(connection, arrived_unix_ms),
            fingerprint,
            earlier,
        })
    }

    fn resolve_class(&self, request: &ClientRequest) -> Result<usize, IntakeError> {
        let Some(class) = self.classes.resolve(request.class) else {
            // The slot was freed after the request was read and may belong to another class by now.
            let text = "unknown method: the class was dropped".into();
            return Err(IntakeError::Invalid { class: None, error: RequestError::NotFound, text });
        };
        if !self.classes.accepts_requests(class, self.timestamp.now) {
            let name = &self.classes.profile(class).name;
            let text = format!("unknown method \"{name}\": the class was dropped");
            return Err(IntakeError::invalid(class, RequestError::NotFound, text));
        }
        Ok(class)
    }

    /// Limits the open requests of each connection, and the memory of all request bodies.
    fn check_open_requests(&self, connection: IntakeConnection, class: usize) -> Result<(), IntakeError> {
        if connection.takes_no_requests() || !self.requests.has_body_capacity() {
            let (reason, retry_after) = (RefusalReason::OpenRequestLimit, Span(0));
            return Err(IntakeError::Rejected { class, reason, retry_after });
        }
        Ok(())
    }

    fn check_budget(&self, class: usize, request: &ClientRequest) -> Result<(), IntakeError> {
        let deadline = self.classes.profile(class).deadline;
        if request.budget_ms > MAX_BUDGET_DEADLINES * deadline.0.div_ceil(MS) {
            let text = "budget out of range".into();
            return Err(IntakeError::invalid(class, RequestError::Malformed, text));
        }
        Ok(())
    }

    fn check_id(&self, class: usize, request: &ClientRequest) -> Result<(), IntakeError> {
        if self.requests.contains(&request.id) {
            let text = format!("the rid {} is open already", request.id.0);
            return Err(IntakeError::invalid(class, RequestError::Conflict, text));
        }
        Ok(())
    }

    /// Guards against a second run of a request that comes again after its connection ended. Its id is new with each attempt,
    /// so the sender repeats a request that it must not repeat.
    fn check_not_started(&self, class: usize, request: &ClientRequest) -> Result<(), IntakeError> {
        let is_known_by_id = request.idempotency_key.is_none() && self.started_runs.contains(&request.id);
        if is_known_by_id { Err(IntakeError::Started { class }) } else { Ok(()) }
    }

    /// Drops a new idempotency key if the class is no longer keyed. Repeats of runs that the class already has are
    /// still answered.
    fn drop_key_of_formerly_keyed_class(
        &self,
        class: usize,
        arrived_unix_ms: u64,
        request: &mut ClientRequest,
    ) {
        if let Some(key) = &request.idempotency_key
            && !self.classes.accepts_new_keys(class, self.timestamp.now)
            && self.earlier_attempt(key, arrived_unix_ms).is_none()
        {
            request.idempotency_key = None;
        }
    }

    /// Rejects a keyed request if the store can't record its run, because the request could then run twice. A request
    /// whose run is already known is answered with the outcome of that run.
    fn check_store(
        &self,
        class: usize,
        arrived_unix_ms: u64,
        request: &ClientRequest,
    ) -> Result<(), IntakeError> {
        if let Some(key) = &request.idempotency_key
            && !self.idempotency_table.has_run(key, arrived_unix_ms)
            && self.idempotency_log.retry_after(self.timestamp.now).is_some()
        {
            let retry_after = self.store_retry_after();
            return Err(IntakeError::Rejected { class, reason: RefusalReason::Store, retry_after });
        }
        Ok(())
    }

    /// Returns the attempt that a request repeats. The comparison of fingerprints guards against a client that learned
    /// another request's key and would be answered with that request's result.
    fn find_earlier_attempt(
        &self,
        class: usize,
        arrived_unix_ms: u64,
        fingerprint: Fingerprint,
        request: &ClientRequest,
    ) -> Result<Option<RequestId>, IntakeError> {
        let earlier =
            request.idempotency_key.as_ref().and_then(|key| self.earlier_attempt(key, arrived_unix_ms));
        match earlier {
            Some((_, expected)) if expected != fingerprint => {
                let text = "the token came before with another body or class".into();
                Err(IntakeError::invalid(class, RequestError::Conflict, text))
            }
            Some((id, _)) => Ok(Some(id)),
            None => Ok(None),
        }
    }

    /// Counts the request in the cluster's counters and applies the cluster-wide retry budget.
    fn check_cluster(
        &mut self,
        tenant: Option<usize>,
        class: usize,
        is_new_retry: bool,
    ) -> Result<(), IntakeError> {
        if self.cluster_admits(tenant, class, is_new_retry) {
            return Ok(());
        }
        let limits = &self.settings.limits;
        let retry_after = if limits.retry_after { limits.max_retry_after } else { Span(0) };
        Err(IntakeError::Rejected { class, reason: RefusalReason::RetryBudget, retry_after })
    }

    /// Registers a valid request as open and passes it on to the admission module.
    fn register(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
        request: ClientRequest,
        valid: ValidRequest,
        timeline: RequestTimeline,
    ) {
        if let Some(key) = &request.idempotency_key {
            self.requests.note_key(key, &request.id);
        }
        let expires_in_ms = valid.deadline_unix_ms.saturating_sub(self.timestamp.unix_ms);
        let event = Event::Arrived(Request {
            id: request.id.clone(),
            expires_in: Some(Span(expires_in_ms.saturating_mul(MS))),
            class: valid.class,
            has_subject: request.has_subject,
            caller: request.client_proxy,
            work: None,
            tenant: valid.tenant,
            size_kb: request.size_kb,
            precedence: request.precedence,
            retry: request.retry,
            write: request.idempotency_key.is_some(),
            earlier_attempt: valid.earlier.clone(),
            unread_for: valid.queued_for,
        });
        if self.add_open_request(connection, sequence, request, &valid, timeline) {
            self.events.push(event);
        }
    }

    /// Adds a request to the open ones and to its connection. Returns false if the connection is gone.
    fn add_open_request(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
        request: ClientRequest,
        valid: &ValidRequest,
        timeline: RequestTimeline,
    ) -> bool {
        let Some(state) = self.connections.get_mut(connection) else { return false };
        state.open.insert(sequence, request.id.clone());
        let open = OpenRequest {
            connection,
            sequence,
            class: valid.class,
            tenant: valid.tenant,
            arrived_unix_ms: valid.arrived_unix_ms,
            deadline_unix_ms: valid.deadline_unix_ms,
            idempotency_key: request.idempotency_key,
            fingerprint: valid.fingerprint,
            state: RequestState::Queued,
            response_owed: true,
            is_first_attempt: !request.retry,
            body: Arc::new(request.body),
            start_count: 0,
            upstream_call: None,
            upstream_call_since: None,
            upstream_call_id: None,
            timeline,
        };
        self.classes.acquire(valid.class);
        if let Some(tenant) = valid.tenant {
            self.tenants.acquire(tenant);
        }
        self.guard.request_accepted(&request.id);
        self.requests.insert(request.id, open);
        true
    }

    /// Returns the fingerprint of a keyed request's body and class. It is keyed with a salt so that no client can
    /// construct two bodies with the same fingerprint. It uses the name of the class, because the slot number is not
    /// stable across processes that share a store.
    fn fingerprint_of(&self, class: usize, request: &ClientRequest) -> Fingerprint {
        if request.idempotency_key.is_none() {
            return 0;
        }
        let mut hasher = SipHasher13::new_with_keys(self.recovery.salt, !self.recovery.salt);
        let name = self.classes.profile(class).name.as_bytes();
        hasher.write_usize(name.len());
        hasher.write(name);
        hasher.write(&request.body);
        hasher.finish()
    }

    /// Returns the attempt that a request with this key repeats, and the fingerprint of that attempt's body and class.
    fn earlier_attempt(&self, key: &str, arrived_unix_ms: u64) -> Option<(RequestId, Fingerprint)> {
        let of_this_step = self.requests.attempt_of_this_step(key);
        of_this_step.or_else(|| {
            let is_queued = |id: &RequestId| self.requests.is_queued(id);
            self.idempotency_table.earlier_attempt(key, arrived_unix_ms, self.timestamp.now, is_queued)
        })
    }
}
