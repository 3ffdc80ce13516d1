//! The limiter of upstream calls: the queue of runs that need one, and how many calls may be in flight.
//!
//! The limit grows while calls take about their floor and shrinks when they slow down or fail. Its ceiling
//! is this server's share of the dependency or, for the next tier of servers, the runs that may be here.

use crate::call_latency::CallLatency;
use crate::call_share::{CallShare, CallSpacing};
use crate::class_definition::ClassDefinition;
use crate::open_requests::{OpenRequests, RequestState, Sequence};
use crate::random::RandomSource;
use crate::settings::Settings;
use crate::specifics::{Specifics, UpstreamKind};
use crate::time::{Span, Time, seconds_until, span_from_seconds, span_seconds};

/// Calls by which the limit grows with a call at usual latency.
const LIMIT_GROWTH: f64 = 0.2;
/// Calls by which the limit shrinks with a slow call.
const LIMIT_SHRINK: f64 = 0.1;
/// Factor by which the limit shrinks with a failed call.
const LIMIT_FALL_ON_FAILURE: f64 = 0.8;
/// Part of this server's share at which the limit starts; one call at least.
const INITIAL_SHARE: f64 = 0.5;
/// Part of the limit's ceiling that is its floor; one call at least.
const FLOOR_SHARE: f64 = 0.25;
/// Failed calls in a row from which on the dependency counts as down.
const FAILURES_WHEN_DOWN: u32 = 3;
/// Half the pause after a first failed call; the pause doubles with each failure in a row.
const CALL_BACKOFF_SECONDS: f64 = 0.05;
/// Doublings of the pause at the most.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Times the mean wait so far of the runs in the queue that one more will wait.
const EXPECTED_WAIT_RATIO: f64 = 3.0;
/// Times the mean latency that an idempotent request's call may take.
const IDEMPOTENT_TIMEOUT_RATIO: f64 = 6.0;
/// Part of the shortest latency objective that any call may take.
const MIN_TIMEOUT_OBJECTIVES: f64 = 0.25;
/// With each failure in a row, the timeout of an idempotent request's call grows by this power of two.
const TIMEOUT_DOUBLINGS_PER_FAILURE: u32 = 2;
/// Doublings of the timeout at the most.
const MAX_TIMEOUT_DOUBLINGS: u32 = 16;

/// Pause before a call that has failed so many times in a row is repeated.
pub(crate) fn backoff(consecutive_failures: u32) -> Span {
    let factor = f64::from(1_u32 << consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
    span_from_seconds(CALL_BACKOFF_SECONDS * factor)
}

/// Whether a request of a class earns something when it goes on without its call.
pub(crate) fn can_skip_call(definition: &ClassDefinition) -> bool {
    definition.skip_weight > 0.0
}

/// The queue and the limit, with the latency and the share that the limit rests on.
#[derive(Debug, Default)]
pub(crate) struct CallLimiter {
    /// Runs whose call is to be made; at most the runs that may be here.
    queue: Vec<Sequence>,
    limit: f64,
    consecutive_failures: u32,
    latency: CallLatency,
    share: CallShare,
}

impl CallLimiter {
    /// No calls yet; the limit starts at a part of the share, or one call a core for a tier of servers.
    pub(crate) fn new(specifics: &Specifics) -> Self {
        let limit = if specifics.upstream == UpstreamKind::Shared {
            (specifics.call_share * INITIAL_SHARE).max(1.0)
        } else {
            f64::from(specifics.n_cores)
        };
        Self { limit, share: CallShare::new(), ..Self::default() }
    }

    /// Adapts to new settings.
    pub(crate) fn reconfigure(&mut self, previous: &Specifics, specifics: &Specifics, now: Time) {
        self.share.reconfigure(previous, specifics, now);
    }

    /// Ends a sampling period.
    pub(crate) fn end_period(&mut self) {
        self.latency.end_period();
    }

    /// Adds a run whose call is to be made.
    pub(crate) fn enqueue(&mut self, sequence: Sequence) {
        self.queue.push(sequence);
    }

    /// Removes a run, if it is in the queue.
    pub(crate) fn dequeue(&mut self, sequence: Sequence) {
        self.queue.retain(|&queued| queued != sequence);
    }

    /// Runs whose call is to be made, in the order in which they came.
    pub(crate) fn queue(&self) -> impl Iterator<Item = Sequence> {
        self.queue.iter().copied()
    }

    /// Latency of the calls that succeeded.
    pub(crate) fn latency(&self) -> &CallLatency {
        &self.latency
    }

    /// Calls that may be in flight; a fraction counts as none.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether calls have failed so often in a row that the dependency counts as down.
    pub(crate) fn is_dependency_down(&self) -> bool {
        self.consecutive_failures >= FAILURES_WHEN_DOWN
    }

    /// Most calls in flight: the share, or for a tier of servers the runs that may be here.
    fn ceiling(specifics: &Specifics, max_runs: f64) -> f64 {
        if specifics.upstream == UpstreamKind::Shared { specifics.call_share.max(1.0) } else { max_runs }
    }

    /// Ends a call in flight, however it ended.
    pub(crate) fn call_ended(&mut self, since: Time, now: Time, is_given_up: bool, specifics: &Specifics) {
        self.share.call_ended(since, now, is_given_up, specifics);
    }

    /// Learns from a call that succeeded. `max_runs` is how many runs may be here.
    pub(crate) fn call_succeeded(
        &mut self,
        took: Span,
        max_runs: f64,
        specifics: &Specifics,
        now: Time,
        random: &mut RandomSource,
    ) {
        self.consecutive_failures = 0;
        self.latency.learn(span_seconds(took));
        if self.latency.is_first() && CallShare::is_below_one_call(specifics) {
            self.share.space_by_first_call(span_seconds(took), specifics, now, random);
        }
        let is_slow = self.latency.is_slow();
        self.share.adapt_target(is_slow);
        let ceiling = Self::ceiling(specifics, max_runs);
        let floor = (ceiling * FLOOR_SHARE).max(1.0);
        let limit = self.limit + if is_slow { -LIMIT_SHRINK } else { LIMIT_GROWTH };
        self.limit = limit.clamp(floor, ceiling);
    }

    /// Takes in a call that failed: fewer are made.
    pub(crate) fn call_failed(&mut self) {
        self.consecutive_failures += 1;
        self.limit = (self.limit * LIMIT_FALL_ON_FAILURE).max(1.0);
    }

    /// Forgets calls that count no longer, and returns how calls are to be spaced from now on.
    pub(crate) fn begin_batch(&mut self, settings: &Settings, now: Time) -> CallSpacing {
        self.share.forget_past_calls(now);
        self.share.spacing(settings, &self.latency)
    }

    /// Whether one more call may be in flight, calls given up included. The limit rounds down: rounded up,
    /// the calls of a full fleet would exceed what the dependency survives.
    fn has_capacity(&self) -> bool {
        (self.share.occupied() + 1) as f64 <= self.limit.max(1.0)
    }

    /// Whether the limit and the pacing let a call be made now. `random_unit` is a random number from 0 to 1.
    pub(crate) fn admits_call(
        &mut self,
        spacing: &CallSpacing,
        shortest_objective_seconds: f64,
        now: Time,
        random_unit: f64,
    ) -> bool {
        self.share.schedule(spacing, shortest_objective_seconds, now, random_unit);
        self.has_capacity() && !self.share.is_too_early(spacing, now)
    }

    /// Takes a run out of the queue, as its call is made now.
    pub(crate) fn call_started(
        &mut self,
        sequence: Sequence,
        spacing: &CallSpacing,
        now: Time,
        random_unit: f64,
    ) {
        self.dequeue(sequence);
        self.share.call_started(spacing, now, random_unit);
    }

    /// When the next paced call is due, where runs wait for it.
    pub(crate) fn next_call_at(&self, now: Time) -> Option<Time> {
        let next_call_at = self.share.next_call_at();
        (!self.queue.is_empty() && next_call_at > now).then_some(next_call_at)
    }

    /// The timeout, in seconds, of an idempotent request's call: a call may be lost on its way, and what
    /// may be repeated need not wait for it to the end. None until the latency is known well.
    pub(crate) fn idempotent_timeout_seconds(
        &self,
        run_ratio: f64,
        consecutive_failures: u32,
        shortest_objective_seconds: f64,
    ) -> Option<f64> {
        if !self.latency.is_settled() {
            return None;
        }
        let doublings = (TIMEOUT_DOUBLINGS_PER_FAILURE * consecutive_failures).min(MAX_TIMEOUT_DOUBLINGS);
        let heaviness = run_ratio.max(1.0) * f64::from(1_u32 << doublings);
        let by_latency = IDEMPOTENT_TIMEOUT_RATIO * self.latency.mean_seconds();
        let usual = by_latency.max(MIN_TIMEOUT_OBJECTIVES * shortest_objective_seconds);
        Some(usual * heaviness)
    }

    /// Seconds until a run of a class that cannot go on without its call gets its turn, judged by the waits
    /// of those in the queue. 0 where several calls may be in flight: there the longest waiting are those
    /// that others were preferred to, and their waits say nothing.
    pub(crate) fn expected_wait_seconds(
        &self,
        definition: &ClassDefinition,
        requests: &OpenRequests,
        specifics: &Specifics,
        now: Time,
    ) -> f64 {
        let needs_call = definition.calls && !can_skip_call(definition);
        if !needs_call || !CallShare::is_below_one_call(specifics) {
            return 0.0;
        }
        let wait_seconds = |&sequence: &Sequence| match requests.open(sequence).state {
            RequestState::AwaitingCall { since, .. } => seconds_until(since, now),
            _ => 0.0,
        };
        let total: f64 = self.queue.iter().map(wait_seconds).sum();
        EXPECTED_WAIT_RATIO * total / (self.queue.len() as f64).max(1.0)
    }
}
