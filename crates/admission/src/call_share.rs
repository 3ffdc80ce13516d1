//! This server's share of the upstream calls that the shared dependency survives.
//!
//! The share is a mean number of calls outstanding at the dependency, averaged over a window of time
//! (`specifics.calls_out` and `specifics.share_span` in the settings). A call that was given up remains
//! outstanding for a while: it lingers. A share of one call or more bounds the calls in flight. A share below
//! one call is a budget of call seconds per window, enforced by pacing. The gap between calls follows from
//! their usual latency and is randomized, because otherwise all servers would call and pause in step.

use crate::call_latency::CallLatency;
use crate::random::RandomSource;
use crate::settings::Settings;
use crate::specifics::{Specifics, UpstreamKind};
use crate::time::{Span, Time, seconds_until, span_from_seconds, span_seconds, time_after};
use std::collections::VecDeque;

/// Lower bound of the fraction of a share below one call that pacing targets.
const MIN_TARGET_FRACTION: f64 = 0.125;
/// Upper bound of the fraction of a share below one call that pacing targets.
const MAX_TARGET_FRACTION: f64 = 0.5;
/// Factor by which each successful call raises the target fraction, or lowers it if the call was slow.
const TARGET_STEP: f64 = 1.1;
/// Time over which the first calls of a fleet are spread, as a fraction of the shortest latency objective:
/// all servers learn of a dependency's start at the same time.
const FIRST_CALLS_OBJECTIVE_FRACTION: f64 = 0.35;
/// Upper bound on the fraction of the budget that one call may use, its lingering included; also the upper
/// bound on the fraction that past calls may have used when the next call is made.
const MAX_CALL_BUDGET_SHARE: f64 = 0.5;
/// Fraction of the budget that one call may use in any case, however long it may linger.
const MIN_CALL_BUDGET_SHARE: f64 = 0.125;
/// Lower bound of a divisor (a share in calls), and of the spendable budget (in seconds).
const MIN_SHARE: f64 = 1e-6;
/// Lower bound of the gap between two calls, as a fraction of the usual gap; a random part is added.
const MIN_SPACING_FRACTION: f64 = 0.5;

/// A call that has ended and still counts in the window.
#[derive(Debug)]
struct RecentCall {
    leaves_window_at: Time,
    /// Time that the call was outstanding, its lingering included.
    seconds: f64,
}

/// How calls are spaced under the present share and latency.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallSpacing {
    /// Whether the share is below one call, so that calls are paced.
    is_paced: bool,
    /// Whether calls are paced and no call has succeeded yet.
    is_latency_unknown: bool,
    /// Whether a single call that is given up uses more than the whole budget.
    exceeds_budget: bool,
    /// Call seconds that the share allows per window.
    budget_seconds: f64,
    /// Upper bound on the duration of a call.
    max_call_seconds: f64,
    /// The same with the lingering after it.
    max_outstanding_seconds: f64,
    /// Usual time between the starts of two calls.
    gap_seconds: f64,
}

impl CallSpacing {
    /// Upper bound on the duration of a call; `None` where calls are not paced.
    pub(crate) fn max_call_seconds(&self) -> Option<f64> {
        self.is_paced.then_some(self.max_call_seconds)
    }
}

/// The calls that count against the share, and the schedule of the next call.
#[derive(Debug, Default)]
pub(crate) struct CallShare {
    in_flight: usize,
    /// Times until which calls that were given up remain outstanding.
    lingering: VecDeque<Time>,
    /// Ended calls that still count in the window, in the order in which they ended.
    recent_calls: VecDeque<RecentCall>,
    /// Sum of the seconds of `recent_calls`.
    recent_call_seconds: f64,
    /// Fraction of a share below one call that pacing targets.
    target_fraction: f64,
    /// Time at which the next paced call is due; 0 until the first call is scheduled.
    next_call_at: Time,
}

impl CallShare {
    pub(crate) fn new() -> Self {
        Self { target_fraction: MAX_TARGET_FRACTION, ..Self::default() }
    }

    /// Whether the share is below one call, so that pacing has to enforce it.
    pub(crate) fn is_below_one_call(specifics: &Specifics) -> bool {
        specifics.upstream == UpstreamKind::Shared && specifics.call_share < 1.0
    }

    /// Adapts the schedule and the times of past calls to new settings.
    pub(crate) fn reconfigure(&mut self, previous: &Specifics, specifics: &Specifics, now: Time) {
        // A call that was scheduled under a share near 0 could be due days from now.
        if specifics.call_share != previous.call_share {
            self.next_call_at = Time(0);
        }
        let lingers_until = time_after(now, specifics.linger);
        let leaves_window_at = time_after(lingers_until, specifics.call_share_window);
        self.lingering.iter_mut().for_each(|until| *until = lingers_until.min(*until));
        for call in &mut self.recent_calls {
            call.leaves_window_at = leaves_window_at.min(call.leaves_window_at);
        }
    }

    /// Drops calls that no longer linger, and calls that have left the window.
    pub(crate) fn forget_past_calls(&mut self, now: Time) {
        self.lingering.retain(|&until| until > now);
        while let Some(call) = self.recent_calls.pop_front_if(|call| call.leaves_window_at <= now) {
            self.recent_call_seconds -= call.seconds;
        }
    }

    /// Number of calls outstanding at the dependency: in flight, or given up and lingering.
    pub(crate) fn outstanding(&self) -> usize {
        self.in_flight + self.lingering.len()
    }

    /// Ends a call. A call that was given up is assumed to linger for the whole `linger` of the settings.
    pub(crate) fn call_ended(&mut self, since: Time, now: Time, is_given_up: bool, specifics: &Specifics) {
        let linger = if is_given_up { specifics.linger } else { Span(0) };
        let released_at = time_after(now, linger);
        let seconds = seconds_until(since, now) + span_seconds(linger);
        self.in_flight -= 1;
        if is_given_up {
            self.lingering.push_back(released_at);
        }
        let leaves_window_at = time_after(released_at, specifics.call_share_window);
        self.recent_calls.push_back(RecentCall { leaves_window_at, seconds });
        self.recent_call_seconds += seconds;
    }

    /// Lowers the target fraction after a slow call and raises it after any other successful call.
    pub(crate) fn adapt_target(&mut self, is_slow: bool) {
        let factor = if is_slow { 1.0 / TARGET_STEP } else { TARGET_STEP };
        self.target_fraction =
            (self.target_fraction * factor).clamp(MIN_TARGET_FRACTION, MAX_TARGET_FRACTION);
    }

    /// Schedules the second call from the latency of the first, the first latency that is known.
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

    /// Computes the call spacing for the present share and latency.
    pub(crate) fn spacing(&self, settings: &Settings, latency: &CallLatency) -> CallSpacing {
        let specifics = &settings.specifics;
        let share = specifics.call_share;
        let is_paced = Self::is_below_one_call(specifics);
        let linger_seconds = span_seconds(specifics.linger);
        let budget_seconds = span_seconds(specifics.call_share_window) * share;
        let longest = budget_seconds * MAX_CALL_BUDGET_SHARE - linger_seconds;
        let max_call_seconds = longest.max(budget_seconds * MIN_CALL_BUDGET_SHARE);
        let max_outstanding_seconds = max_call_seconds + linger_seconds;
        let is_latency_unknown = is_paced && latency.is_unknown();
        let exceeds_budget = is_paced && max_outstanding_seconds > budget_seconds;
        // Assume the longest possible call while no latency is known, and always where a call that is given
        // up exceeds the budget.
        let usual_seconds = if is_latency_unknown || exceeds_budget {
            max_outstanding_seconds
        } else {
            latency.mean_seconds()
        };
        let fraction = if is_latency_unknown && !exceeds_budget { 1.0 } else { self.target_fraction };
        let gap_seconds = usual_seconds / (share * fraction).max(MIN_SHARE);
        CallSpacing {
            is_paced,
            is_latency_unknown,
            exceeds_budget,
            budget_seconds,
            max_call_seconds,
            max_outstanding_seconds,
            gap_seconds,
        }
    }

    /// Schedules the first call, and postpones the next one while the budget is spent. `random_unit` is a
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
                FIRST_CALLS_OBJECTIVE_FRACTION * shortest_objective_seconds
            };
            self.next_call_at = time_after(now, span_from_seconds(spread_seconds * random_unit));
        }
        if spacing.is_paced && self.is_budget_spent(spacing) {
            // Randomized: otherwise all servers would call together once their budgets allow it.
            self.next_call_at = time_after(now, span_from_seconds(spacing.gap_seconds * random_unit));
        }
    }

    /// Whether the budget of the window has no capacity for one more call that may be given up.
    fn is_budget_spent(&self, spacing: &CallSpacing) -> bool {
        let budget = spacing.budget_seconds;
        let spendable = (budget - spacing.max_outstanding_seconds).min(budget * MAX_CALL_BUDGET_SHARE);
        self.recent_call_seconds > spendable.max(MIN_SHARE)
    }

    /// Whether calls are paced and the next one is not due yet.
    pub(crate) fn is_too_early(&self, spacing: &CallSpacing, now: Time) -> bool {
        spacing.is_paced && now < self.next_call_at
    }

    /// Counts a call that is made now, and schedules the next one.
    pub(crate) fn call_started(&mut self, spacing: &CallSpacing, now: Time, random_unit: f64) {
        self.in_flight += 1;
        let gap_seconds = spacing.gap_seconds * (MIN_SPACING_FRACTION + random_unit);
        self.next_call_at = time_after(now, span_from_seconds(gap_seconds));
    }

    /// Time at which the next paced call is due; in the past where calls are not paced.
    pub(crate) fn next_call_at(&self) -> Time {
        self.next_call_at
    }
}
