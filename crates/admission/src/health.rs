//! Health of the server: unread waits, progress of runs, and the resulting response to health checks.
//!
//! A backlog of unread requests starves the runs, and responses become too late for callers to follow any
//! advice. Health checks then fail, so that callers stay away until the backlog has drained. Where the
//! endpoint list follows health, many slow servers would empty the list at the same time, so only a stall
//! makes a server unhealthy there.

use crate::time::{Span, Time, seconds_until, span_seconds};

/// Unread wait, as a fraction of the shortest latency objective, above which the server becomes unhealthy.
const UNHEALTHY_UNREAD_WAIT: f64 = 0.4;
/// Unread wait, in the same unit, below which the server is healthy again and runs get all cores.
const HEALTHY_UNREAD_WAIT: f64 = 0.1;
/// Weight of a request's unread wait in the smoothed wait, if it is longer than the smoothed wait.
const LONGER_WAIT_WEIGHT: f64 = 0.4;
/// Weight of a request's unread wait in the smoothed wait, if it is shorter than the smoothed wait.
const SHORTER_WAIT_WEIGHT: f64 = 0.1;
/// Factor applied to the smoothed unread wait per sampling period, even without requests.
const UNREAD_WAIT_DECAY: f64 = 0.98;

/// Time without progress that counts as a stall, as a multiple of the mean run time.
const STALL_MEAN_RUNS: f64 = 5.0;
/// Lower bound of that time, as a fraction of the shortest latency objective.
const MIN_STALL_OBJECTIVE_FRACTION: f64 = 0.5;
/// Upper bound of that time while reading alone keeps the cores busy, as a fraction of the shortest latency
/// objective.
const MAX_READING_OBJECTIVE_FRACTION: f64 = 0.4;

/// The observations that determine health, and the last response to health checks.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Smoothed time that requests wait unread on this machine.
    unread_seconds: f64,
    is_unhealthy: bool,
    /// Last time that a run advanced or a core was free.
    last_progress: Time,
    /// Whether the last progress is so long ago that work seems to hang.
    is_stalled: bool,
}

impl Health {
    /// Starts to track progress. The clock may start at any value, and the processor may have started long
    /// before the server. Without this call, a new server would seem stalled in its first sampling period and
    /// be removed from the endpoint list.
    pub(crate) fn begin(&mut self, now: Time) {
        self.last_progress = now;
    }

    /// Records that a run advanced or a core is free, which ends a stall.
    pub(crate) fn note_progress(&mut self, now: Time) {
        self.last_progress = now;
        self.is_stalled = false;
    }

    /// Seconds since a run last advanced or a core was free.
    pub(crate) fn seconds_since_progress(&self, now: Time) -> f64 {
        seconds_until(self.last_progress, now)
    }

    /// Whether the last stall check found no progress.
    pub(crate) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Checks for a stall: no progress for much longer than a run takes.
    pub(crate) fn check_stall(
        &mut self,
        now: Time,
        mean_run_seconds: f64,
        shortest_objective_seconds: f64,
        reading_fills_cores: bool,
    ) {
        let stall_seconds = (STALL_MEAN_RUNS * mean_run_seconds)
            .max(MIN_STALL_OBJECTIVE_FRACTION * shortest_objective_seconds);
        let max_seconds = if reading_fills_cores {
            stall_seconds.min(MAX_READING_OBJECTIVE_FRACTION * shortest_objective_seconds)
        } else {
            stall_seconds
        };
        self.is_stalled = self.seconds_since_progress(now) > max_seconds;
    }

    /// Adds the unread wait of a request, capped at its latency objective.
    pub(crate) fn note_unread_wait(&mut self, unread_for: Span, latency_objective: Span) {
        let difference = span_seconds(unread_for).min(span_seconds(latency_objective)) - self.unread_seconds;
        let weight = if difference > 0.0 { LONGER_WAIT_WEIGHT } else { SHORTER_WAIT_WEIGHT };
        self.unread_seconds += weight * difference;
    }

    /// Decays the smoothed unread wait by one sampling period.
    pub(crate) fn decay_unread_wait(&mut self) {
        self.unread_seconds *= UNREAD_WAIT_DECAY;
    }

    /// Smoothed time that requests wait unread, in seconds.
    pub(crate) fn unread_seconds(&self) -> f64 {
        self.unread_seconds
    }

    /// Distance of the unread wait from the unhealthy bound: 1 or more below the healthy bound, 0 or less
    /// above the unhealthy bound, linear in between.
    pub(crate) fn unread_wait_margin(&self, shortest_objective_seconds: f64) -> f64 {
        let unread_wait = self.unread_seconds / shortest_objective_seconds;
        1.0 - (unread_wait - HEALTHY_UNREAD_WAIT) / (UNHEALTHY_UNREAD_WAIT - HEALTHY_UNREAD_WAIT)
    }

    /// Whether health checks should fail now. The bounds on the unread wait form a hysteresis.
    pub(crate) fn should_be_unhealthy(
        &self,
        shortest_objective_seconds: f64,
        list_follows_health: bool,
    ) -> bool {
        let bound = if self.is_unhealthy { HEALTHY_UNREAD_WAIT } else { UNHEALTHY_UNREAD_WAIT };
        let is_reading_delayed = self.unread_seconds / shortest_objective_seconds > bound;
        self.is_stalled || (is_reading_delayed && !list_follows_health)
    }

    /// Sets the response to health checks. Returns whether it changed.
    pub(crate) fn set_unhealthy(&mut self, is_unhealthy: bool) -> bool {
        let changes = is_unhealthy != self.is_unhealthy;
        self.is_unhealthy = is_unhealthy;
        changes
    }
}
