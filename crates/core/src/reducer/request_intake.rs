//! Intake of client requests: validation, then registration as an open request and an event for the admission module.
//!
//! A request that fails validation is answered here and the admission module never learns of it. Each check is a function that
//! returns [`IntakeError`]; their order is the order in which a client sees them. Whether and when a request that passes runs
//! is the admission module's decision.

use super::open_requests::{OpenRequest, RequestState};
use super::{MS, Reducer};
use crate::idempotency_table::Fingerprint;
use crate::messages::{ClientRequest, ConnectionId, RequestError, SequenceId};
use gradepin_admission::{Event, Idempotency, Request, RequestId, Span, Time};
use siphasher::sip::SipHasher13;
use slog::Level;
use std::hash::Hasher;
use std::sync::Arc;

/// A request may ask for a budget of at most this many times the deadline of its class.
const MAX_BUDGET_DEADLINES: u64 = 2;
/// The first requests of a connection may have waited unread for this long before the connection was reported.
const MAX_UNREAD_BEFORE_OPEN: Span = Span(100 * MS);
/// Open requests on one connection. More of them, left unread, would hide cancels and the close of the connection.
const MAX_OPEN_PER_CONNECTION: usize = 32;

/// Why a request is not passed on to the admission module.
#[derive(Debug)]
enum IntakeError {
    /// It is no valid request.
    Invalid {
        /// Slot of its class, where that is known: it is counted there.
        class: Option<usize>,
        /// What is wrong with it.
        error: RequestError,
        /// Explanation for its sender.
        text: String,
    },
    /// It is valid, but can't be taken now.
    Rejected {
        /// Slot of its class.
        class: usize,
        /// How long its client should wait; 0 without advice.
        retry_after: Span,
    },
}

impl IntakeError {
    fn invalid(class: usize, error: RequestError, text: String) -> Self {
        Self::Invalid { class: Some(class), error, text }
    }
}

/// What intake needs to know of the connection that a request came on.
#[derive(Debug, Clone, Copy)]
struct Origin {
    /// When the connection was accepted.
    opened: Time,
    /// Until when nothing was read from it, the last time that it was throttled.
    throttled_until: Option<Time>,
    /// Requests open on it.
    open_requests: usize,
    /// Whether nothing more is accepted from it.
    is_refused: bool,
}

/// A request that passed validation.
#[derive(Debug)]
struct ValidRequest {
    request: ClientRequest,
    class: usize,
    tenant: Option<usize>,
    /// When it reached the machine, in Unix milliseconds, and not in the future.
    arrived_unix_ms: u64,
    /// When its caller stops waiting, in Unix milliseconds.
    deadline_unix_ms: u64,
    /// How long it waited on this machine before it was read.
    queued_for: Span,
    /// Fingerprint of its body and class; 0 without an idempotency key.
    fingerprint: Fingerprint,
    /// The attempt that it repeats.
    earlier: Option<RequestId>,
}

impl Reducer {
    /// Whether a message has the sequence number of an open request of its connection. Responses to the two could not be kept
    /// apart: the first request keeps the number, the message is dropped and the connection accepts nothing more.
    pub(super) fn reject_duplicate_sequence(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
    ) -> bool {
        let state = self.connections.touch(connection, self.timestamp.now);
        if !state.is_some_and(|state| state.open.contains_key(&sequence)) {
            return false;
        }
        let text = format!("closing connection {connection}: request {sequence} came twice");
        self.log(Level::Warning, text);
        self.connections.stop_accepting_from(connection);
        self.request_drain(connection);
        true
    }

    /// Validates a request and registers it, or answers it at once.
    pub(super) fn receive_request(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
        request: ClientRequest,
    ) {
        let Some(state) = self.connections.touch(connection, self.timestamp.now) else { return };
        let origin = Origin {
            opened: state.opened,
            throttled_until: state.throttled_until,
            open_requests: state.open.len(),
            is_refused: state.is_refused,
        };
        match self.validate(origin, request) {
            Ok(valid) => self.register(connection, sequence, valid),
            Err(IntakeError::Invalid { class, error, text }) => {
                self.reject_invalid(connection, sequence, class, error, text);
            }
            Err(IntakeError::Rejected { class, retry_after }) => {
                self.reject(connection, sequence, class, retry_after);
            }
        }
    }

    /// Checks a request in the order in which a client sees the reasons.
    fn validate(&mut self, origin: Origin, mut request: ClientRequest) -> Result<ValidRequest, IntakeError> {
        let class = self.resolve_class(&request)?;
        // Where its slot was given to another tenant meanwhile, it counts in no tenant's share.
        let tenant = request.tenant.and_then(|tenant| self.tenants.resolve(tenant));
        self.check_open_requests(origin, class)?;
        if self.classes.profile(class).effect != Idempotency::Keyed {
            request.idempotency_key = None;
        }
        self.check_budget(class, &request)?;
        self.check_id(class, &request)?;
        if !request.retry {
            // Counted whatever becomes of it: rejected requests are part of the comparison of versions.
            self.count_for_rollback(tenant, class, 1, 0);
        }
        if self.controller.is_none() {
            // Without a processor there is no admission module, and nothing has run.
            return Err(IntakeError::Rejected { class, retry_after: Span(0) });
        }
        // Nothing arrived later than it is read. Guards against a stamp that keeps a key's run for ever.
        let arrived_unix_ms = request.arrived_unix_ms.min(self.timestamp.unix_ms);
        self.drop_key_of_formerly_keyed_class(class, arrived_unix_ms, &mut request);
        self.check_store(class, arrived_unix_ms, &request)?;
        let fingerprint = self.fingerprint_of(class, &request);
        let earlier = self.find_earlier_attempt(class, arrived_unix_ms, fingerprint, &request)?;
        // A repeat of a known attempt is answered from that and costs the cluster nothing.
        let is_new_retry = request.retry && earlier.is_none();
        self.check_cluster(tenant, class, is_new_retry)?;
        Ok(ValidRequest {
            class,
            tenant,
            arrived_unix_ms,
            deadline_unix_ms: arrived_unix_ms.saturating_add(request.budget_ms),
            queued_for: self.queued_for(origin, arrived_unix_ms),
            fingerprint,
            earlier,
            request,
        })
    }

    fn resolve_class(&self, request: &ClientRequest) -> Result<usize, IntakeError> {
        let Some(class) = self.classes.resolve(request.class) else {
            // Its slot was freed since the request was read, and may be another class's.
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

    /// Bounds the open requests of a connection, and the bodies of all connections by the memory.
    fn check_open_requests(&self, origin: Origin, class: usize) -> Result<(), IntakeError> {
        let has_capacity =
            origin.open_requests < MAX_OPEN_PER_CONNECTION && self.requests.has_body_capacity();
        if origin.is_refused || !has_capacity {
            return Err(IntakeError::Rejected { class, retry_after: Span(0) });
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

    /// A class that is keyed no more ignores new keys, but still answers repeats of the runs that it has.
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

    /// Rejects a keyed request that might run twice, as the store can't record its run. A request whose run is known is
    /// answered from that.
    fn check_store(
        &self,
        class: usize,
        arrived_unix_ms: u64,
        request: &ClientRequest,
    ) -> Result<(), IntakeError> {
        if let Some(key) = &request.idempotency_key
            && !self.idempotency_table.ran(key, arrived_unix_ms)
            && self.idempotency_log.retry_after(self.timestamp.now).is_some()
        {
            return Err(IntakeError::Rejected { class, retry_after: self.store_retry_after() });
        }
        Ok(())
    }

    /// The attempt that a request repeats. Guards against a stranger who learnt a key: its request would be answered with
    /// another request's result.
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

    /// Counts a request in the cluster, which bounds the retries of all servers.
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
        Err(IntakeError::Rejected { class, retry_after })
    }

    /// How long a request waited on this machine before it was read.
    fn queued_for(&self, origin: Origin, arrived_unix_ms: u64) -> Span {
        let by_stamp = Span(self.timestamp.unix_ms.saturating_sub(arrived_unix_ms).saturating_mul(MS));
        // It did not wait before there was a connection. Guards against stamps of long ago, by which requests seem to wait
        // unread.
        let since_open = Span(self.timestamp.now.0.saturating_sub(origin.opened.0));
        let queued = by_stamp.min(Span(since_open.0.saturating_add(MAX_UNREAD_BEFORE_OPEN.0)));
        // Nor did it wait for this server while its connection was throttled. Guards against a flood that makes a server look
        // overloaded, and its health go bad, though it has time to read.
        match origin.throttled_until {
            Some(until) => queued.min(Span(self.timestamp.now.0.saturating_sub(until.0))),
            None => queued,
        }
    }

    /// Enters a valid request into the state and passes it on to the admission module.
    fn register(&mut self, connection: ConnectionId, sequence: SequenceId, valid: ValidRequest) {
        let ValidRequest { request, class, tenant, arrived_unix_ms, deadline_unix_ms, .. } = valid;
        let Some(state) = self.connections.get_mut(connection) else { return };
        state.open.insert(sequence, request.id.clone());
        if let Some(key) = &request.idempotency_key {
            self.requests.note_key(key, &request.id);
        }
        let expires_in_ms = deadline_unix_ms.saturating_sub(self.timestamp.unix_ms);
        self.events.push(Event::Arrived(Request {
            id: request.id.clone(),
            expires_in: Some(Span(expires_in_ms.saturating_mul(MS))),
            class,
            has_subject: request.has_subject,
            caller: request.client_proxy,
            work: None,
            tenant,
            size_kb: request.size_kb,
            precedence: request.precedence,
            retry: request.retry,
            write: request.idempotency_key.is_some(),
            earlier_attempt: valid.earlier,
            unread_for: valid.queued_for,
        }));
        let open = OpenRequest {
            connection,
            sequence,
            class,
            tenant,
            arrived_unix_ms,
            deadline_unix_ms,
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
        };
        self.classes.acquire(class);
        if let Some(tenant) = tenant {
            self.tenants.acquire(tenant);
        }
        self.requests.insert(request.id, open);
    }

    /// Fingerprint of the body and the class of a keyed request. Keyed with a salt, so that no client can choose two bodies
    /// with one fingerprint; by the class's name, since a store outlives its slot.
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

    /// The attempt that a request with this key repeats, and the fingerprint of its body and class.
    fn earlier_attempt(&self, key: &str, arrived_unix_ms: u64) -> Option<(RequestId, Fingerprint)> {
        let of_this_step = self.requests.attempt_of_this_step(key);
        of_this_step.or_else(|| {
            let is_queued = |id: &RequestId| self.requests.is_queued(id);
            self.idempotency_table.earlier(key, arrived_unix_ms, self.timestamp.now, is_queued)
        })
    }
}
