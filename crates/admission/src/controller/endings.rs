//! The end of a request: its run completes, it is rejected, it expires, or its caller disconnects.

use super::Controller;
use crate::actions::Action;
use crate::class_definition::Idempotency;
use crate::open_requests::{OpenRequest, RequestState, Sequence};
use crate::request::{Outcome, RequestId};
use crate::specifics::StopMode;
use crate::time::{Span, span_from_seconds};

/// Multiple of the unread wait that is added to the time to run the wait queue for the advised Retry-After.
const RETRY_AFTER_UNREAD_RATIO: f64 = 4.0;

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RejectionCause {
    /// The server lacks the capacity or the time to serve the request.
    Capacity,
    /// The request had too little time left when it arrived, which says nothing about capacity.
    LostBeforeArrival,
}

impl Controller {
    /// Whether the whole fleet is overloaded, and not this server alone.
    pub(super) fn is_fleet_overloaded(&self) -> bool {
        self.demand.is_fleet_overloaded(self.settings.callers.marks_retries)
    }

    /// Rejects a queued request, which promises that it never ran. The rejection is final where another
    /// server would not help: the fleet is overloaded, or the request has no time left.
    pub(super) fn reject(&mut self, sequence: Sequence, cause: RejectionCause, out: &mut Vec<Action>) {
        let Some(request) = self.remove(sequence) else { return };
        let is_closed = self.is_draining() || self.health.is_stalled();
        let is_past_objective = request.objective_at <= self.now;
        let would_fail_elsewhere = request.is_retry || self.is_fleet_overloaded() || is_past_objective;
        let is_final = !is_closed && would_fail_elsewhere;
        // A request that another server may still admit is no sign that the fleet lacks capacity.
        if (is_final || is_closed) && cause == RejectionCause::Capacity {
            self.advice.note_rejection();
        }
        self.demand.count_rejection();
        let retry_after = self.advised_retry_after(is_closed);
        if self.remove_key(&request.id) {
            out.push(Action::ReleaseIdempotencyKey(request.id.clone()));
        }
        out.push(Action::Reject { id: request.id, retry_after, is_final });
    }

    /// Retry-After for a rejected caller: the longest allowed while the server is draining or stalled. Else a
    /// random time of at most the caller's mean time between requests, because callers would otherwise leave
    /// and return in step.
    fn advised_retry_after(&mut self, is_closed: bool) -> Span {
        let random_unit = self.random.unit_interval();
        let backlog = self.queue_seconds() + RETRY_AFTER_UNREAD_RATIO * self.health.unread_seconds();
        let callers = self.settings.specifics.clients_total;
        let wait_seconds = random_unit * backlog.min(self.demand.seconds_per_caller_request(callers));
        let limits = &self.settings.limits;
        if !limits.retry_after {
            Span(0)
        } else if is_closed {
            limits.max_retry_after
        } else {
            span_from_seconds(wait_seconds).min(limits.max_retry_after)
        }
    }

    /// Removes a request from the table and from all queues and counts that include it.
    fn remove(&mut self, sequence: Sequence) -> Option<OpenRequest> {
        let request = self.requests.remove(sequence)?;
        self.memory.release(request.reserved_kb(&self.settings));
        match request.state {
            RequestState::Queued | RequestState::Joined => self.wait_queue.remove(sequence),
            RequestState::Running => self.concurrency.run_ended(),
            RequestState::AwaitingCall { .. } => {
                self.concurrency.run_ended_at_call();
                self.call_limiter.dequeue(sequence);
            }
            RequestState::Calling { since } => {
                self.concurrency.run_ended_at_call();
                self.call_limiter.call_ended(since, self.now, true, &self.settings.specifics);
            }
        }
        Some(request)
    }

    /// Responds to every request whose deadline has passed, whatever its state.
    pub(super) fn expire_requests(&mut self, out: &mut Vec<Action>) {
        while let Some(sequence) = self.requests.pop_expired(self.now) {
            match self.requests.get(sequence).map(|request| request.state) {
                Some(RequestState::Queued) => self.reject(sequence, RejectionCause::Capacity, out),
                Some(RequestState::Joined) => self.end_with_error(sequence, out),
                _ => self.answer_run_with_error(sequence, out),
            }
        }
    }

    /// Ends a request with an error, where a rejection could be wrong: the operation that it repeats may have
    /// run.
    pub(super) fn end_with_error(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        if let Some(request) = self.remove(sequence) {
            out.push(Action::Fail(request.id));
        }
    }

    /// Responds with an error to a request that runs; it stays in the table until its run ends.
    pub(super) fn answer_run_with_error(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        let unanswered = self.requests.get(sequence).filter(|request| !request.is_answered);
        if let Some(request) = unanswered {
            out.push(Action::Fail(request.id.clone()));
            self.abandon_run(sequence, out);
        }
    }

    /// Marks a run whose response is no longer needed. Stops it unless it may still serve another attempt.
    fn abandon_run(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        self.call_limiter.dequeue(sequence);
        self.requests.clear_deadline(sequence);
        let Some(request) = self.requests.get_mut(sequence) else { return };
        request.is_answered = true;
        let effect = self.classes.estimate(request.class).definition().profile.effect;
        let serves_itself_only = effect == Idempotency::Idempotent && request.attempts_served <= 1.0;
        let can_stop = self.settings.specifics.stop_mode != StopMode::Off;
        if serves_itself_only && can_stop && request.state == RequestState::Running {
            out.push(Action::StopRun(request.id.clone()));
        }
    }

    /// Handles the disconnect of a request's caller: drops a queued or joined request, else abandons the run.
    pub(super) fn caller_left(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(sequence) = self.requests.find(id) else { return };
        if !self.requests.open(sequence).is_waiting() {
            return self.abandon_run(sequence, out);
        }
        let was_queued = self.remove(sequence).is_some_and(|request| request.state == RequestState::Queued);
        if was_queued && self.remove_key(id) {
            out.push(Action::ReleaseIdempotencyKey(id.clone()));
        }
    }

    /// Handles the end of a run, or of a joined request's wait. Only successful runs update the estimates.
    pub(super) fn run_completed(
        &mut self,
        id: &RequestId,
        outcome: Outcome,
        took: Span,
        out: &mut Vec<Action>,
    ) {
        let Some(sequence) = self.requests.find(id) else { return };
        if self.requests.is_queued(sequence) {
            return;
        }
        let Some(request) = self.remove(sequence) else { return };
        if outcome == Outcome::Stopped && !request.is_answered {
            out.push(Action::Fail(request.id.clone()));
        }
        let is_own_run = request.state != RequestState::Joined;
        if outcome == Outcome::Success && is_own_run {
            self.classes.learn_run(request.class, took, request.call_seconds, request.work_seconds);
        }
    }
}
