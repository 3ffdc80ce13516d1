//! Latency of upstream calls: their smoothed mean, and the floor that it has when the dependency is not
//! crowded.

/// Weight of a call in the mean.
const CALL_WEIGHT: f64 = 0.2;
/// Times the floor that the mean may come to before calls count as slow.
const SLOW_RATIO: f64 = 2.5;
/// Per sampling period; by which the floor rises, so that a new usual latency is learnt in some 20 s.
const FLOOR_DRIFT: f64 = 1.003;
/// Per sampling period; the part of the way by which the mean returns to its floor without calls. While
/// calls look too slow to be made, none comes back to show that they no longer are.
const RETURN_RATE: f64 = 0.03;
/// Calls until the mean counts as settled; before that, it is its own floor.
const CALLS_TO_SETTLE: u64 = 10;
/// Seconds; the least floor.
const MIN_FLOOR_SECONDS: f64 = 1e-4;

/// Latency of the calls that succeeded.
#[derive(Debug, Default)]
pub(crate) struct CallLatency {
    mean_seconds: f64,
    floor_seconds: f64,
    completed_calls: u64,
}

impl CallLatency {
    /// Takes in a call that succeeded.
    pub(crate) fn learn(&mut self, took_seconds: f64) {
        self.mean_seconds = if self.mean_seconds == 0.0 {
            took_seconds
        } else {
            self.mean_seconds + CALL_WEIGHT * (took_seconds - self.mean_seconds)
        };
        self.completed_calls += 1;
        // The floor of the mean, not of single calls: those differ by far more than crowding slows them.
        let floor_seconds = if self.is_settled() { self.floor_seconds } else { self.mean_seconds };
        self.floor_seconds = floor_seconds.min(self.mean_seconds).max(MIN_FLOOR_SECONDS);
    }

    /// Ends a sampling period: the mean moves towards its floor, and the floor up.
    pub(crate) fn end_period(&mut self) {
        self.mean_seconds -= RETURN_RATE * (self.mean_seconds - self.floor_seconds).max(0.0);
        self.floor_seconds *= FLOOR_DRIFT;
    }

    /// Smoothed latency; 0 before any call succeeded.
    pub(crate) fn mean_seconds(&self) -> f64 {
        self.mean_seconds
    }

    /// Whether calls take much longer than they would without crowding.
    pub(crate) fn is_slow(&self) -> bool {
        self.mean_seconds > SLOW_RATIO * self.floor_seconds
    }

    /// Whether no call has succeeded yet.
    pub(crate) fn is_unknown(&self) -> bool {
        self.completed_calls == 0
    }

    /// Whether exactly one call has succeeded.
    pub(crate) fn is_first(&self) -> bool {
        self.completed_calls == 1
    }

    /// Whether enough calls succeeded for the mean to be relied on.
    pub(crate) fn is_settled(&self) -> bool {
        self.completed_calls > CALLS_TO_SETTLE
    }
}
