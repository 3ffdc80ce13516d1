//! Upstream calls of runs: when a call is made, how its outcome is handled, and which runs skip their call.

use super::Controller;
use crate::actions::Action;
use crate::call_limiter::{backoff, can_skip_call};
use crate::call_share::CallSpacing;
use crate::class_definition::{ClassDefinition, Idempotency};
use crate::density;
use crate::open_requests::{OpenRequest, RequestState, Sequence};
use crate::request::{Outcome, RequestId};
use crate::time::{Span, Time, seconds_until, span_from_seconds, span_seconds, time_after};

/// Core time that a run still needs after its call, as a fraction of the mean core time of its class.
const RUN_AFTER_CALL: f64 = 0.5;
/// Expected duration of one turn in the call queue, as a multiple of the mean latency of a call.
const TURN_LATENCY_RATIO: f64 = 1.2;

/// Whether the outcome proves that the call never ran, so that repeating it is safe for every class.
fn proves_never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed)
}

/// Whether the dependency may still process a call with this outcome.
fn is_given_up(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Aborted)
}

impl Controller {
    fn class_definition_of(&self, request: &OpenRequest) -> &ClassDefinition {
        self.class_of(request).definition()
    }

    /// Moves a run that needs a call off the cores, and queues the call unless the response was already sent.
    pub(super) fn run_needs_call(&mut self, id: &RequestId) {
        let Some(sequence) = self.requests.find(id) else { return };
        let request = self.requests.get_mut(sequence);
        let Some(request) = request.filter(|request| request.state == RequestState::Running) else { return };
        request.state = RequestState::AwaitingCall { since: self.now, not_before: self.now };
        self.concurrency.run_awaits_call();
        if !request.is_answered {
            self.call_limiter.enqueue(sequence);
        }
    }

    /// Handles the end of a call in flight.
    pub(super) fn call_ended(&mut self, id: &RequestId, outcome: Outcome, took: Span, out: &mut Vec<Action>) {
        let Some(sequence) = self.requests.find(id) else { return };
        let RequestState::Calling { since } = self.requests.open(sequence).state else { return };
        self.call_limiter.call_ended(since, self.now, is_given_up(outcome), &self.settings.specifics);
        if let Some(request) = self.requests.get_mut(sequence) {
            request.call_seconds += seconds_until(since, self.now).max(0.0);
        }
        if outcome == Outcome::Success {
            self.call_succeeded(sequence, took);
        } else {
            self.call_failed(sequence, outcome, out);
        }
    }

    fn call_succeeded(&mut self, sequence: Sequence, took: Span) {
        let Some(request) = self.requests.get_mut(sequence) else { return };
        request.state = RequestState::Running;
        request.consecutive_failed_calls = 0;
        self.concurrency.run_resumed();
        let max_runs = self.concurrency.ceiling();
        let specifics = &self.settings.specifics;
        self.call_limiter.call_succeeded(took, max_runs, specifics, self.now, &mut self.random);
    }

    /// Repeats a failed call where that is safe, else skips it if the class allows, else fails the request.
    fn call_failed(&mut self, sequence: Sequence, outcome: Outcome, out: &mut Vec<Action>) {
        self.call_limiter.call_failed();
        let Some(request) = self.requests.get_mut(sequence) else { return };
        request.consecutive_failed_calls += 1;
        let not_before = time_after(self.now, backoff(request.consecutive_failed_calls));
        request.state = RequestState::AwaitingCall { since: self.now, not_before };
        if request.is_answered {
            return;
        }
        let definition = self.classes.estimate(request.class).definition();
        if proves_never_ran(outcome) || definition.profile.effect == Idempotency::Idempotent {
            self.call_limiter.enqueue(sequence);
        } else if can_skip_call(definition) {
            self.continue_without_call(sequence, out);
        } else {
            self.answer_run_with_error(sequence, out);
        }
    }

    fn continue_without_call(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(sequence) else { return };
        request.state = RequestState::Running;
        self.concurrency.run_resumed();
        out.push(Action::SkipUpstreamCall(request.id.clone()));
    }

    /// Makes the calls that the limiter admits, highest density first. Runs that would miss their objective
    /// by waiting go on without their call.
    pub(super) fn make_calls(&mut self, out: &mut Vec<Action>) {
        let spacing = self.call_limiter.begin_batch(&self.settings, self.now);
        let shortest_objective_seconds = self.classes.shortest_objective_seconds();
        let random_unit = self.random.unit_interval();
        let queue = density::highest_first(self.ranked(self.call_limiter.queue()));
        for (position, ranked) in queue.into_iter().enumerate() {
            let sequence = ranked.sequence;
            let request = self.requests.open(sequence);
            let RequestState::AwaitingCall { since, not_before } = request.state else { continue };
            if self.should_skip_call(request, position, since) {
                self.call_limiter.dequeue(sequence);
                self.continue_without_call(sequence, out);
                continue;
            }
            let is_admitted =
                self.call_limiter.admits_call(&spacing, shortest_objective_seconds, self.now, random_unit);
            if !is_admitted || not_before > self.now {
                continue;
            }
            let timeout_seconds = self.call_timeout_seconds(self.requests.open(sequence), &spacing);
            self.call_limiter.call_started(sequence, &spacing, self.now, random_unit);
            self.start_call(sequence, since, span_from_seconds(timeout_seconds), out);
        }
    }

    fn start_call(&mut self, sequence: Sequence, queued_since: Time, timeout: Span, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(sequence) else { return };
        request.call_seconds += seconds_until(queued_since, self.now);
        request.state = RequestState::Calling { since: self.now };
        out.push(Action::CallUpstream { id: request.id.clone(), timeout });
    }

    /// Whether a request that earns weight without its call should skip the call: the dependency is down, or
    /// the call would end too late for the objective. A request past its objective still waits the mean
    /// latency of one call.
    fn should_skip_call(&self, request: &OpenRequest, position: usize, queued_since: Time) -> bool {
        if !can_skip_call(self.class_definition_of(request)) {
            return false;
        }
        if self.call_limiter.is_dependency_down() && request.consecutive_failed_calls > 0 {
            return true;
        }
        let call_seconds = self.call_limiter.latency().mean_seconds();
        let run_after_call = self.class_of(request).core_seconds() * RUN_AFTER_CALL;
        let time_to_call = request.seconds_to_objective(self.now) - run_after_call;
        let turns = 1.0 + position as f64 / self.call_limiter.limit();
        let would_miss_objective = time_to_call < turns * call_seconds * TURN_LATENCY_RATIO;
        let exceeds_call_latency = seconds_until(queued_since, self.now) > call_seconds;
        would_miss_objective && (time_to_call > 0.0 || exceeds_call_latency)
    }

    /// Timeout of a call in seconds: at most until the caller of its request stops waiting.
    fn call_timeout_seconds(&self, request: &OpenRequest, spacing: &CallSpacing) -> f64 {
        let mut timeout_seconds =
            request.seconds_to_expiry(self.now).max(span_seconds(self.settings.min_batch_interval));
        let class = self.class_of(request);
        if class.definition().profile.effect == Idempotency::Idempotent {
            let run_ratio = self.run_seconds(request) / class.core_seconds();
            let shortest_objective_seconds = self.classes.shortest_objective_seconds();
            let failures = request.consecutive_failed_calls;
            let idempotent =
                self.call_limiter.idempotent_timeout_seconds(run_ratio, failures, shortest_objective_seconds);
            timeout_seconds =
                idempotent.map_or(timeout_seconds, |max_seconds| timeout_seconds.min(max_seconds));
        }
        spacing.max_call_seconds().map_or(timeout_seconds, |max_seconds| timeout_seconds.min(max_seconds))
    }
}
