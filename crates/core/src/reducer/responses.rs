//! Responses to clients. Each open request gets at most one final response. It then leaves the state, unless its run
//! continues: then it leaves with the end of the run.
//!
//! [`Reducer::respond`] is the only place that answers an open request. The response itself is decided by the admission
//! module or by the outcome of the run.

use super::Reducer;
use super::open_requests::{OpenRequest, RequestState};
use crate::idempotency_table::RunOutcome;
use crate::messages::{ConnectionId, Effect, ProtocolViolation, RequestError, Response, SequenceId};
use gradepin_admission::{Event, Outcome, RequestId, Span};
use slog::Level;

impl Reducer {
    /// Answers a health check.
    pub(super) fn answer_health_check(&mut self, connection: ConnectionId, sequence: SequenceId) {
        self.connections.touch_and_mark_idle(connection, self.timestamp.now);
        let healthy = self.healthy && self.operator_drain.draining_since().is_none();
        let store = self.idempotency_log.health(self.timestamp.now).word();
        self.send_response(connection, sequence, Response::Health { healthy, store });
        self.close_if_done(connection);
    }

    /// Answers a valid request that is not registered as open.
    pub(super) fn answer_unregistered(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
        class: usize,
        response: Response,
    ) {
        self.connections.touch_and_mark_idle(connection, self.timestamp.now);
        self.metrics.count_response(&self.classes.profile(class).name, &response);
        self.send_response(connection, sequence, response);
        self.close_if_done(connection);
    }

    /// Answers a message that is not a valid request. It is counted if its class is known, since clients count it for
    /// that class too.
    pub(super) fn reject_invalid(
        &mut self,
        connection: ConnectionId,
        sequence: SequenceId,
        class: Option<usize>,
        error: RequestError,
        text: String,
    ) {
        self.connections.touch_and_mark_idle(connection, self.timestamp.now);
        self.log(Level::Warning, format!("invalid request on connection {connection}: {text}"));
        self.charge(connection, ProtocolViolation::InvalidMessage);
        let response = Response::Invalid { error, text };
        if let Some(class) = class {
            self.metrics.count_response(&self.classes.profile(class).name, &response);
        }
        self.send_response(connection, sequence, response);
        self.close_if_done(connection);
    }

    /// Handles a client's cancellation of a request.
    pub(super) fn cancel_request(&mut self, connection: ConnectionId, sequence: SequenceId) {
        let state = self.connections.touch(connection, self.timestamp.now);
        let id = state.and_then(|state| state.open.remove(&sequence));
        self.guard.request_cancelled(connection, sequence);
        // Required even if no such request is open: otherwise the connection would never become idle, and could not be
        // evicted.
        self.connections.touch_and_mark_idle(connection, self.timestamp.now);
        // If the request is no longer open, the cancellation crossed its response.
        if let Some(id) = id {
            self.caller_gone(&id);
            self.close_if_done(connection);
        }
    }

    /// Notes that the caller of a request no longer waits for its response.
    pub(super) fn caller_gone(&mut self, id: &RequestId) {
        self.guard.caller_gone(id);
        if self.is_refused(id) {
            // The admission module no longer knows the request.
            return self.forget_request(id);
        }
        if self.requests.abandon(id) {
            self.events.push(Event::CallerGone(id.clone()));
        }
    }

    /// Sends a response that the admission module decided on. If the request's run continues, the request stays in the
    /// state until the run ends.
    pub(super) fn respond_and_release(&mut self, id: &RequestId, response: Response) {
        self.respond(id, response);
        self.release(id);
    }

    /// Removes a request that was answered, unless its run continues.
    pub(super) fn release(&mut self, id: &RequestId) {
        if self.requests.get(id).is_some_and(|open| open.state != RequestState::Running) {
            self.forget_request(id);
        }
    }

    /// Answers a request with the outcome of a run.
    pub(super) fn respond_with_outcome(&mut self, id: &RequestId, outcome: RunOutcome) {
        let response = match outcome {
            RunOutcome::Served(result) => Response::Served(result),
            RunOutcome::Failed => Response::Failed { timed_out: self.is_past_deadline(id) },
            RunOutcome::Unknown => Response::OutcomeUnknown,
        };
        self.respond(id, response);
    }

    /// Whether the time that the caller waits is over.
    pub(super) fn is_past_deadline(&self, id: &RequestId) -> bool {
        self.requests.get(id).is_some_and(|open| self.timestamp.unix_ms >= open.deadline_unix_ms)
    }

    /// Answers a repeat with the outcome of another attempt's run.
    pub(super) fn respond_to_repeat(&mut self, id: &RequestId, run: RunOutcome) {
        let Some(OpenRequest { state: RequestState::Joined { since }, response_owed: true, .. }) =
            self.requests.get(id)
        else {
            return;
        };
        let took = Span(self.timestamp.now.0.saturating_sub(since.0));
        let outcome = if matches!(run, RunOutcome::Served(_)) { Outcome::Success } else { Outcome::Failure };
        self.respond_with_outcome(id, run);
        self.forget_request(id);
        self.events.push(Event::Completed { id: id.clone(), outcome, took });
    }

    /// Sends the final response of a request, if it is still owed.
    pub(super) fn respond(&mut self, id: &RequestId, response: Response) {
        let Some(open) = self.requests.get_mut(id).filter(|open| open.response_owed) else { return };
        open.response_owed = false;
        self.guard.request_answered(id, matches!(response, Response::Rejected { .. }));
        let (connection, sequence) = (open.connection, open.sequence);
        let (tenant, class) = (open.tenant, open.class);
        let timeline = open.timeline;
        if open.is_first_attempt && matches!(response, Response::Served(_)) {
            self.count_for_rollback(tenant, class, 0, 1);
        }
        self.metrics.count_response(&self.classes.profile(class).name, &response);
        self.check_due(id, &timeline);
        self.connections.response_sent(connection, sequence, self.timestamp.now);
        self.send_response(connection, sequence, response);
        self.close_if_done(connection);
    }

    fn send_response(&mut self, connection: ConnectionId, sequence: SequenceId, response: Response) {
        let send = self.guard.send_response(connection, sequence);
        if !self.is_allowed(send) {
            return;
        }
        let capacity_hint = self.capacity_hint;
        self.effects.push(Effect::Respond { connection, sequence, response, capacity_hint });
    }

    /// Removes a request, and its references to its class, its tenant and the run that it waits for.
    pub(super) fn forget_request(&mut self, id: &RequestId) {
        let Some(open) = self.requests.remove(id) else { return };
        self.guard.request_forgotten(id);
        if let (RequestState::Joined { .. }, Some(key)) = (open.state, &open.idempotency_key) {
            self.idempotency_table.remove_waiter(key, id);
        }
        if let RequestState::Refused { lookup } = open.state {
            self.pending_refusals.remove(lookup);
        }
        self.classes.release(open.class);
        if let Some(tenant) = open.tenant {
            self.tenants.release(tenant);
        }
    }
}
