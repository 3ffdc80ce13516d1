//! The ways in which a request ends: its run completes, it is rejected, it expires, or its caller leaves.

use super::Controller;
use crate::actions::Action;
use crate::class_definition::Idempotency;
use crate::open_requests::{OpenRequest, RequestState, Sequence};
use crate::request::{Outcome, RequestId};
use crate::specifics::StopMode;
use crate::time::{Span, span_from_seconds};

/// Times the unread wait that a rejected caller is asked to stay away, beside the time that the queue takes.
const RETRY_AFTER_UNREAD_RATIO: f64 = 4.0;

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RejectionCause {
    /// The server lacks capacity for it, or time.
    Capacity,
    /// It could not succeed any more when it arrived, which says nothing about capacity.
    LostBeforeArrival,
}

impl Controller {
    /// Whether the fleet is full, and not this server alone.
    pub(super) fn is_fleet_overloaded(&self) -> bool {
        self.demand.is_fleet_overloaded(self.settings.callers.marks_retries)
    }

    /// Rejects a held request, which promises that it never ran. Its caller is asked not to try elsewhere
    /// where that would not help: other servers reject many themselves, or no time is left.
    pub(super) fn reject(&mut self, sequence: Sequence, cause: RejectionCause, out: &mut Vec<Action>) {
        let Some(request) = self.remove(sequence) else { return };
        let is_closed = self.is_draining() || self.health.is_stalled();
        let is_past_objective = request.objective_at <= self.now;
        let would_fail_elsewhere = request.is_retry || self.is_fleet_overloaded() || is_past_objective;
        let is_final = !is_closed && would_fail_elsewhere;
        // What another server may still take is no sign that the fleet lacks capacity.
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

    /// How long a rejected caller is asked to stay away: as long as may be from a closed server, else for a
    /// random time of about one request of its own at most, or callers would leave and return in step.
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

    /// Takes a request out of the table and all that counts it.
    fn remove(&mut self, sequence: Sequence) -> Option<OpenRequest> {
        let request = self.requests.remove(sequence)?;
        self.memory.release(request.reserved_kb(&self.settings));
        match request.state {
            RequestState::Held | RequestState::Joined => self.wait_queue.remove(sequence),
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

    /// Answers every request whose caller stops waiting, whatever its state.
    pub(super) fn expire_requests(&mut self, out: &mut Vec<Action>) {
        while let Some(sequence) = self.requests.pop_expired(self.now) {
            match self.requests.get(sequence).map(|request| request.state) {
                Some(RequestState::Held) => self.reject(sequence, RejectionCause::Capacity, out),
                Some(RequestState::Joined) => self.end_with_error(sequence, out),
                _ => self.answer_run_with_error(sequence, out),
            }
        }
    }

    /// Ends, with an error, a request that must not be said never to have run.
    pub(super) fn end_with_error(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        if let Some(request) = self.remove(sequence) {
            out.push(Action::Fail(request.id));
        }
    }

    /// Answers a request that runs with an error; it stays in the table until its run ends.
    pub(super) fn answer_run_with_error(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        let unanswered = self.requests.get(sequence).filter(|request| !request.is_answered);
        if let Some(request) = unanswered {
            out.push(Action::Fail(request.id.clone()));
            self.abandon_run(sequence, out);
        }
    }

    /// Ends the need for a response of a run: stops it, unless a repeat could still be answered from it.
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

    /// Takes in that the caller of a request no longer waits: drops it while held or joined, else abandons
    /// its run.
    pub(super) fn caller_left(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(sequence) = self.requests.find(id) else { return };
        if !self.requests.open(sequence).is_waiting() {
            return self.abandon_run(sequence, out);
        }
        let was_held = self.remove(sequence).is_some_and(|request| request.state == RequestState::Held);
        if was_held && self.remove_key(id) {
            out.push(Action::ReleaseIdempotencyKey(id.clone()));
        }
    }

    /// Takes in the end of a run, or of a joined request's wait. Only runs that succeeded are learnt from.
    pub(super) fn run_completed(
        &mut self,
        id: &RequestId,
        outcome: Outcome,
        took: Span,
        out: &mut Vec<Action>,
    ) {
        let Some(sequence) = self.requests.find(id) else { return };
        if self.requests.is_held(sequence) {
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
