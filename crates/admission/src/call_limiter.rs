//! The limiter of upstream calls: the queue of runs that need a call, and the number of calls in flight.
//!
//! The limit grows while the latency of calls stays near its floor and shrinks when calls slow down or fail.
//! Its upper bound is this server's share of a shared dependency or, where the next tier of servers is
//! called, the concurrency ceiling of this server's runs.

use crate::call_latency::CallLatency;
use crate::call_share::{CallShare, CallSpacing};
use crate::class_definition::ClassDefinition;
use crate::open_requests::{OpenRequests, RequestState, Sequence};
use crate::random::RandomSource;
use crate::settings::Settings;
use crate::specifics::{Specifics, UpstreamKind};
use crate::time::{Span, Time, seconds_until, span_from_seconds, span_seconds};

/// Calls that a successful call at usual latency adds to the limit.
const LIMIT_INCREASE: f64 = 0.2;
/// Calls that a slow call takes off the limit.
const LIMIT_DECREASE: f64 = 0.1;
/// Factor applied to the limit by a failed call.
const LIMIT_FACTOR_ON_FAILURE: f64 = 0.8;
/// Initial limit as a fraction of this server's share; the limit is at least one call.
const INITIAL_SHARE: f64 = 0.5;
/// Floor of the limit as a fraction of its ceiling; the limit is at least one call.
const FLOOR_SHARE: f64 = 0.25;
/// Consecutive failed calls after which the dependency counts as down.
const FAILURES_WHEN_DOWN: u32 = 3;
/// Half the backoff after the first failed call; the backoff doubles with each consecutive failure.
const CALL_BACKOFF_SECONDS: f64 = 0.05;
/// Upper bound on the doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Expected wait of a new run for its call, as a multiple of the mean time that queued runs have waited.
const EXPECTED_WAIT_RATIO: f64 = 3.0;
/// Timeout of an idempotent request's call, as a multiple of the mean latency.
const IDEMPOTENT_TIMEOUT_RATIO: f64 = 6.0;
/// Lower bound of that timeout, as a fraction of the shortest latency objective.
const MIN_TIMEOUT_OBJECTIVE_FRACTION: f64 = 0.25;
/// Doublings of that timeout per consecutive failure.
const TIMEOUT_DOUBLINGS_PER_FAILURE: u32 = 2;
/// Upper bound on the doublings of that timeout.
const MAX_TIMEOUT_DOUBLINGS: u32 = 16;

/// Delay before a call is repeated, after the given number of consecutive failures of that call.
pub(crate) fn backoff(consecutive_failures: u32) -> Span {
    let factor = f64::from(1_u32 << consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
    span_from_seconds(CALL_BACKOFF_SECONDS * factor)
}

/// Whether a request of the class earns part of its priority weight without its upstream call.
pub(crate) fn can_skip_call(definition: &ClassDefinition) -> bool {
    definition.skip_weight > 0.0
}

/// The queue of runs that wait for a call, and the limit on calls in flight.
#[derive(Debug, Default)]
pub(crate) struct CallLimiter {
    /// Runs that wait for their call to be made; bounded by the concurrency ceiling.
    queue: Vec<Sequence>,
    limit: f64,
    consecutive_failures: u32,
    latency: CallLatency,
    share: CallShare,
}

impl CallLimiter {
    /// Starts the limit at a fraction of the share of a shared dependency, or else at one call per core.
    pub(crate) fn new(specifics: &Specifics) -> Self {
        let limit = if specifics.upstream == UpstreamKind::Shared {
            (specifics.call_share * INITIAL_SHARE).max(1.0)
        } else {
            f64::from(specifics.n_cores)
        };
        Self { limit, share: CallShare::new(), ..Self::default() }
    }

    pub(crate) fn reconfigure(&mut self, previous: &Specifics, specifics: &Specifics, now: Time) {
        self.share.reconfigure(previous, specifics, now);
    }

    pub(crate) fn end_period(&mut self) {
        self.latency.end_period();
    }

    pub(crate) fn enqueue(&mut self, sequence: Sequence) {
        self.queue.push(sequence);
    }

    /// Removes a run from the queue. Does nothing if it is not queued.
    pub(crate) fn dequeue(&mut self, sequence: Sequence) {
        self.queue.retain(|&queued| queued != sequence);
    }

    /// Runs that wait for their call to be made, in the order in which they were queued.
    pub(crate) fn queue(&self) -> impl Iterator<Item = Sequence> {
        self.queue.iter().copied()
    }

    pub(crate) fn latency(&self) -> &CallLatency {
        &self.latency
    }

    /// Number of calls that may be in flight; its fractional part admits no call.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether the last calls have all failed, so that the dependency counts as down.
    pub(crate) fn is_dependency_down(&self) -> bool {
        self.consecutive_failures >= FAILURES_WHEN_DOWN
    }

    /// Upper bound of the limit: the share of a shared dependency, else `max_runs`.
    fn ceiling(specifics: &Specifics, max_runs: f64) -> f64 {
        if specifics.upstream == UpstreamKind::Shared { specifics.call_share.max(1.0) } else { max_runs }
    }

    /// Removes a call from those in flight, whatever its outcome.
    pub(crate) fn call_ended(&mut self, since: Time, now: Time, is_given_up: bool, specifics: &Specifics) {
        self.share.call_ended(since, now, is_given_up, specifics);
    }

    /// Adapts latency and limit to a call that succeeded. `max_runs` is the concurrency ceiling.
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
        let limit = self.limit + if is_slow { -LIMIT_DECREASE } else { LIMIT_INCREASE };
        self.limit = limit.clamp(floor, ceiling);
    }

    /// Lowers the limit after a call that failed.
    pub(crate) fn call_failed(&mut self) {
        self.consecutive_failures += 1;
        self.limit = (self.limit * LIMIT_FACTOR_ON_FAILURE).max(1.0);
    }

    /// Drops calls that no longer count against the share, and returns the call spacing for this batch.
    pub(crate) fn begin_batch(&mut self, settings: &Settings, now: Time) -> CallSpacing {
        self.share.forget_past_calls(now);
        self.share.spacing(settings, &self.latency)
    }

    /// Whether the limit allows one more call, counting calls that were given up and still linger. The limit
    /// rounds down: rounded up, the calls of all servers together would exceed what the dependency survives.
    fn has_capacity(&self) -> bool {
        (self.share.outstanding() + 1) as f64 <= self.limit.max(1.0)
    }

    /// Whether the limit and the pacing allow a call now. `random_unit` is a random number from 0 to 1.
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

    /// Moves a run from the queue to the calls in flight.
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

    /// Time at which the next paced call is due; `None` if no run waits for it.
    pub(crate) fn next_call_at(&self, now: Time) -> Option<Time> {
        let next_call_at = self.share.next_call_at();
        (!self.queue.is_empty() && next_call_at > now).then_some(next_call_at)
    }

    /// Timeout, in seconds, of an idempotent request's call. A lost call is given up early and repeated
    /// instead of taking all of the request's time. `None` until the latency estimate is reliable.
    ///
    /// `run_ratio` is the expected core time of the request relative to the mean of its class.
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
        let timeout_factor = run_ratio.max(1.0) * f64::from(1_u32 << doublings);
        let by_latency = IDEMPOTENT_TIMEOUT_RATIO * self.latency.mean_seconds();
        let usual = by_latency.max(MIN_TIMEOUT_OBJECTIVE_FRACTION * shortest_objective_seconds);
        Some(usual * timeout_factor)
    }

    /// Seconds that a run of a class that cannot skip its call is expected to wait for it, estimated from the
    /// waits of queued runs. 0 where the share allows several calls in flight: there the longest waits are
    /// those of low-ranked runs and predict nothing.
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
