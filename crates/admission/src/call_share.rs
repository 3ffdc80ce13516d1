//! This server's share of the upstream calls that the shared dependency survives.
//!
//! The share is a mean number of calls in the dependency's hands, over a span of time
//! (`specifics.calls_out` and `specifics.share_span`). A call that was given up stays in its hands for a
//! while: it lingers. A share of one call or more bounds the calls in flight. A share below one call is a
//! budget of call seconds in the span, kept by pacing: calls are spaced by what they usually take, at
//! random, or all servers would call and fall silent together.

use crate::call_latency::CallLatency;
use crate::random::RandomSource;
use crate::settings::Settings;
use crate::specifics::{Specifics, UpstreamKind};
use crate::time::{Span, Time, seconds_until, span_from_seconds, span_seconds, time_after};
use std::collections::VecDeque;

/// Least part of a share below one call that pacing aims at.
const MIN_TARGET_FRACTION: f64 = 0.125;
/// Greatest part of a share below one call that pacing aims at.
const MAX_TARGET_FRACTION: f64 = 0.5;
/// Factor by which that part moves with each call, up or down.
const TARGET_STEP: f64 = 1.1;
/// Part of the shortest latency objective over which the first calls of a fleet are spread: all servers
/// learn of a dependency's start at once.
const FIRST_CALLS_OBJECTIVES: f64 = 0.35;
/// Part of the budget that one call may take with the lingering after it, and that past calls may take.
const MAX_CALL_BUDGET_SHARE: f64 = 0.5;
/// Part of the budget that one call may take at least, however long it would linger.
const MIN_CALL_BUDGET_SHARE: f64 = 0.125;
/// Least share that is divided by, and least spendable budget in seconds.
const MIN_SHARE: f64 = 1e-6;
/// Least part of the usual spacing between two calls; the rest is random.
const MIN_SPACING_FRACTION: f64 = 0.5;

/// A call that is over and still counts in the span.
#[derive(Debug)]
struct RecentCall {
    leaves_span_at: Time,
    seconds: f64,
}

/// How calls are spaced while the share is below one call; see [`CallShare::spacing`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallSpacing {
    /// Whether the share is below one call, so that calls are paced at all.
    is_paced: bool,
    /// Whether calls are paced and none has succeeded yet.
    is_latency_unknown: bool,
    /// Whether a call that is given up takes more than the budget.
    exceeds_budget: bool,
    /// Call seconds that the share allows in its span.
    budget_seconds: f64,
    /// The longest that a call may take, and that time with the lingering after it.
    max_call_seconds: f64,
    max_occupied_seconds: f64,
    /// Usual time from one call to the next.
    gap_seconds: f64,
}

impl CallSpacing {
    /// The longest that a call may take, where calls are paced.
    pub(crate) fn max_call_seconds(&self) -> Option<f64> {
        self.is_paced.then_some(self.max_call_seconds)
    }
}

/// Calls that count against the share, and when the next one is due.
#[derive(Debug, Default)]
pub(crate) struct CallShare {
    in_flight: usize,
    /// Until when calls that were given up stay in the dependency's hands.
    lingering: VecDeque<Time>,
    /// Calls of the span, in the order in which they ended, and the sum of their seconds.
    recent_calls: VecDeque<RecentCall>,
    recent_call_seconds: f64,
    /// Part of a share below one call that pacing aims at.
    target_fraction: f64,
    /// When the next paced call is due; 0 before the first is scheduled.
    next_call_at: Time,
}

impl CallShare {
    /// No calls yet.
    pub(crate) fn new() -> Self {
        Self { target_fraction: MAX_TARGET_FRACTION, ..Self::default() }
    }

    /// Whether the share is below one call, so that it is a mean kept by pacing.
    pub(crate) fn is_below_one_call(specifics: &Specifics) -> bool {
        specifics.upstream == UpstreamKind::Shared && specifics.call_share < 1.0
    }

    /// Adapts to new settings, which the times of past calls depend on.
    pub(crate) fn reconfigure(&mut self, previous: &Specifics, specifics: &Specifics, now: Time) {
        // A call scheduled by a share of nearly nothing would be due in days.
        if specifics.call_share != previous.call_share {
            self.next_call_at = Time(0);
        }
        let lingers_until = time_after(now, specifics.linger);
        let leaves_span_at = time_after(lingers_until, specifics.call_share_window);
        self.lingering.iter_mut().for_each(|until| *until = lingers_until.min(*until));
        for call in &mut self.recent_calls {
            call.leaves_span_at = leaves_span_at.min(call.leaves_span_at);
        }
    }

    /// Forgets calls that no longer linger, and those that have left the span.
    pub(crate) fn forget_past_calls(&mut self, now: Time) {
        self.lingering.retain(|&until| until > now);
        while let Some(call) = self.recent_calls.pop_front_if(|call| call.leaves_span_at <= now) {
            self.recent_call_seconds -= call.seconds;
        }
    }

    /// Calls in the dependency's hands: in flight, or given up and lingering.
    pub(crate) fn occupied(&self) -> usize {
        self.in_flight + self.lingering.len()
    }

    /// Ends a call. One that was given up lingers, and is taken to do so for as long as it can.
    pub(crate) fn call_ended(&mut self, since: Time, now: Time, is_given_up: bool, specifics: &Specifics) {
        let linger = if is_given_up { specifics.linger } else { Span(0) };
        let released_at = time_after(now, linger);
        let seconds = seconds_until(since, now) + span_seconds(linger);
        self.in_flight -= 1;
        if is_given_up {
            self.lingering.push_back(released_at);
        }
        let leaves_span_at = time_after(released_at, specifics.call_share_window);
        self.recent_calls.push_back(RecentCall { leaves_span_at, seconds });
        self.recent_call_seconds += seconds;
    }

    /// Aims at less of the share after a slow call, and at more after another.
    pub(crate) fn adapt_target(&mut self, is_slow: bool) {
        let factor = if is_slow { 1.0 / TARGET_STEP } else { TARGET_STEP };
        self.target_fraction =
            (self.target_fraction * factor).clamp(MIN_TARGET_FRACTION, MAX_TARGET_FRACTION);
    }

    /// Spaces the second call by what the first one took, now that a latency is known.
    pub(crate) fn space_by_first_call(
        &mut self,
        took_seconds: f64,
        specifics: &Specifics,
        now: Time,
        random: &mut RandomSource,
    ) {
        let gap_seconds = took_seconds / (specifics.call_share * self.target_fraction).max(MIN_SHARE);
        self.next_call_at = time_after(now, span_from_seconds(gap_seconds * random.unit_interval()));
    }

    /// How calls are to be spaced under the present share and latency.
    pub(crate) fn spacing(&self, settings: &Settings, latency: &CallLatency) -> CallSpacing {
        let specifics = &settings.specifics;
        let share = specifics.call_share;
        let is_paced = Self::is_below_one_call(specifics);
        let linger_seconds = span_seconds(specifics.linger);
        let budget_seconds = span_seconds(specifics.call_share_window) * share;
        let longest = budget_seconds * MAX_CALL_BUDGET_SHARE - linger_seconds;
        let max_call_seconds = longest.max(budget_seconds * MIN_CALL_BUDGET_SHARE);
        let max_occupied_seconds = max_call_seconds + linger_seconds;
        let is_latency_unknown = is_paced && latency.is_unknown();
        let exceeds_budget = is_paced && max_occupied_seconds > budget_seconds;
        // A call may take the longest that it may before any came back, and always where that is over the
        // budget.
        let usual_seconds =
            if is_latency_unknown || exceeds_budget { max_occupied_seconds } else { latency.mean_seconds() };
        let fraction = if is_latency_unknown && !exceeds_budget { 1.0 } else { self.target_fraction };
        let gap_seconds = usual_seconds / (share * fraction).max(MIN_SHARE);
        CallSpacing {
            is_paced,
            is_latency_unknown,
            exceeds_budget,
            budget_seconds,
            max_call_seconds,
            max_occupied_seconds,
            gap_seconds,
        }
    }

    /// Schedules the first call, and puts the next one off while the budget is spent. `random_unit` is a
    /// random number from 0 to 1.
    pub(crate) fn schedule(
        &mut self,
        spacing: &CallSpacing,
        shortest_objective_seconds: f64,
        now: Time,
        random_unit: f64,
    ) {
        if spacing.is_latency_unknown && self.next_call_at == Time(0) {
            let spread_seconds = if spacing.exceeds_budget {
                spacing.gap_seconds
            } else {
                FIRST_CALLS_OBJECTIVES * shortest_objective_seconds
            };
            self.next_call_at = time_after(now, span_from_seconds(spread_seconds * random_unit));
        }
        if spacing.is_paced && self.is_budget_spent(spacing) {
            // At random, or all servers call together once their budgets are back.
            self.next_call_at = time_after(now, span_from_seconds(spacing.gap_seconds * random_unit));
        }
    }

    /// Whether one more call that is given up would not fit into the budget of the span.
    fn is_budget_spent(&self, spacing: &CallSpacing) -> bool {
        let budget = spacing.budget_seconds;
        let spendable = (budget - spacing.max_occupied_seconds).min(budget * MAX_CALL_BUDGET_SHARE);
        self.recent_call_seconds > spendable.max(MIN_SHARE)
    }

    /// Whether a paced call must wait for its time.
    pub(crate) fn is_too_early(&self, spacing: &CallSpacing, now: Time) -> bool {
        spacing.is_paced && now < self.next_call_at
    }

    /// Counts a call that is made now, and schedules the next one after it.
    pub(crate) fn call_started(&mut self, spacing: &CallSpacing, now: Time, random_unit: f64) {
        self.in_flight += 1;
        let gap_seconds = spacing.gap_seconds * (MIN_SPACING_FRACTION + random_unit);
        self.next_call_at = time_after(now, span_from_seconds(gap_seconds));
    }

    /// When the next paced call is due; in the past where calls are not paced.
    pub(crate) fn next_call_at(&self) -> Time {
        self.next_call_at
    }
}
