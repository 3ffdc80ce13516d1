//! Health: how long requests wait unread, whether runs move on, and the answer to health checks that follows.
//!
//! Requests that wait unread starve the runs, and answers then come too late for callers to heed any
//! advice; so health checks fail, which calls the checkers off until the backlog has drained. Where the
//! endpoint list follows health, many servers late at once would empty it: there only a stall counts.

use crate::time::{Span, Time, seconds_until, span_seconds};

/// Unread wait past which health goes bad, as a part of the shortest latency objective.
const UNHEALTHY_UNREAD_WAIT: f64 = 0.4;
/// Unread wait, in the same unit, below which health is good again and runs get all the cores.
const HEALTHY_UNREAD_WAIT: f64 = 0.1;
/// Weight of a request's wait in the smoothed wait, where it is longer than that.
const LONGER_WAIT_WEIGHT: f64 = 0.4;
/// Weight of a request's wait in the smoothed wait, where it is shorter than that.
const SHORTER_WAIT_WEIGHT: f64 = 0.1;
/// Per sampling period; by which the smoothed wait falls, requests or none.
const UNREAD_WAIT_DECAY: f64 = 0.98;

/// Mean runs without progress on full cores that make a stall.
const STALL_MEAN_RUNS: f64 = 5.0;
/// Part of the shortest latency objective without progress that a stall needs at least.
const MIN_STALL_OBJECTIVES: f64 = 0.5;
/// Part of the shortest latency objective without progress that makes a stall while reading alone fills the
/// cores.
const MAX_READING_OBJECTIVES: f64 = 0.4;

/// What health is judged by, and the answer that was last given to health checks.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Smoothed time that requests waited unread.
    unread_seconds: f64,
    is_unhealthy: bool,
    /// When runs last moved on, or a core was free.
    last_progress: Time,
    /// Whether that is suspiciously long ago.
    is_stalled: bool,
}

impl Health {
    /// Starts the watch over progress. Guards against a stall seen in the first period, which would take
    /// each new server off the endpoint list: its clock may have started at any time, and its processor
    /// long before it.
    pub(crate) fn begin(&mut self, now: Time) {
        self.last_progress = now;
    }

    /// Notes that a run moved on, or that a core is free; a stall ends with it.
    pub(crate) fn note_progress(&mut self, now: Time) {
        self.last_progress = now;
        self.is_stalled = false;
    }

    /// How long ago a run moved on or a core was free.
    pub(crate) fn seconds_since_progress(&self, now: Time) -> f64 {
        seconds_until(self.last_progress, now)
    }

    /// Whether work hangs here.
    pub(crate) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Decides whether work hangs here: nothing moved on for much longer than a run takes.
    pub(crate) fn check_stall(
        &mut self,
        now: Time,
        mean_run_seconds: f64,
        shortest_objective_seconds: f64,
        reading_fills_cores: bool,
    ) {
        let usual_seconds =
            (STALL_MEAN_RUNS * mean_run_seconds).max(MIN_STALL_OBJECTIVES * shortest_objective_seconds);
        let longest_seconds = if reading_fills_cores {
            usual_seconds.min(MAX_READING_OBJECTIVES * shortest_objective_seconds)
        } else {
            usual_seconds
        };
        self.is_stalled = self.seconds_since_progress(now) > longest_seconds;
    }

    /// Takes in how long a request waited unread; more than its latency objective counts as that.
    pub(crate) fn note_unread_wait(&mut self, unread_for: Span, latency_objective: Span) {
        let difference = span_seconds(unread_for).min(span_seconds(latency_objective)) - self.unread_seconds;
        let weight = if difference > 0.0 { LONGER_WAIT_WEIGHT } else { SHORTER_WAIT_WEIGHT };
        self.unread_seconds += weight * difference;
    }

    /// Ends a sampling period.
    pub(crate) fn decay_unread_wait(&mut self) {
        self.unread_seconds *= UNREAD_WAIT_DECAY;
    }

    /// Smoothed time that requests waited unread.
    pub(crate) fn unread_seconds(&self) -> f64 {
        self.unread_seconds
    }

    /// How far the unread wait is from turning health bad: 1 or more where all is well, 0 or less where it
    /// is bad.
    pub(crate) fn unread_wait_margin(&self, shortest_objective_seconds: f64) -> f64 {
        let unread_wait = self.unread_seconds / shortest_objective_seconds;
        1.0 - (unread_wait - HEALTHY_UNREAD_WAIT) / (UNHEALTHY_UNREAD_WAIT - HEALTHY_UNREAD_WAIT)
    }

    /// Whether the answer to health checks should be bad now, with a hysteresis.
    pub(crate) fn should_be_unhealthy(
        &self,
        shortest_objective_seconds: f64,
        list_follows_health: bool,
    ) -> bool {
        let bound = if self.is_unhealthy { HEALTHY_UNREAD_WAIT } else { UNHEALTHY_UNREAD_WAIT };
        let is_reading_delayed = self.unread_seconds / shortest_objective_seconds > bound;
        self.is_stalled || (is_reading_delayed && !list_follows_health)
    }

    /// Sets the answer to health checks. Returns whether it changes.
    pub(crate) fn set_unhealthy(&mut self, is_unhealthy: bool) -> bool {
        let changes = is_unhealthy != self.is_unhealthy;
        self.is_unhealthy = is_unhealthy;
        changes
    }
}
