//! Latency of upstream calls: its smoothed mean, and the floor of that mean on an uncongested dependency.

/// Weight of a call in the smoothed mean.
const CALL_WEIGHT: f64 = 0.2;
/// Ratio of the mean to its floor above which calls count as slow.
const SLOW_RATIO: f64 = 2.5;
/// Factor by which the floor rises per sampling period. A lasting change of the latency is learnt within
/// about 20 s.
const FLOOR_DRIFT: f64 = 1.003;
/// Fraction of the distance to its floor by which the mean decays per sampling period. Without the decay,
/// calls that look too slow would never be made again, and none would show that the latency has recovered.
const MEAN_DECAY_RATE: f64 = 0.03;
/// Successful calls after which the mean is reliable; until then, the floor equals the mean.
const CALLS_TO_SETTLE: u64 = 10;
/// Lower bound of the floor.
const MIN_FLOOR_SECONDS: f64 = 1e-4;

/// Latency estimate of the upstream calls that succeeded.
#[derive(Debug, Default)]
pub(crate) struct CallLatency {
    mean_seconds: f64,
    floor_seconds: f64,
    completed_calls: u64,
}

impl CallLatency {
    /// Adds a call that succeeded.
    pub(crate) fn learn(&mut self, took_seconds: f64) {
        self.mean_seconds = if self.mean_seconds == 0.0 {
            took_seconds
        } else {
            self.mean_seconds + CALL_WEIGHT * (took_seconds - self.mean_seconds)
        };
        self.completed_calls += 1;
        // The floor of the mean, not of single calls: those vary far more than congestion slows them down.
        let floor_seconds = if self.is_settled() { self.floor_seconds } else { self.mean_seconds };
        self.floor_seconds = floor_seconds.min(self.mean_seconds).max(MIN_FLOOR_SECONDS);
    }

    /// Moves the mean towards its floor and raises the floor, once per sampling period.
    pub(crate) fn end_period(&mut self) {
        self.mean_seconds -= MEAN_DECAY_RATE * (self.mean_seconds - self.floor_seconds).max(0.0);
        self.floor_seconds *= FLOOR_DRIFT;
    }

    /// The smoothed latency; 0 until a call has succeeded.
    pub(crate) fn mean_seconds(&self) -> f64 {
        self.mean_seconds
    }

    /// Whether calls take much longer than they do on an uncongested dependency.
    pub(crate) fn is_slow(&self) -> bool {
        self.mean_seconds > SLOW_RATIO * self.floor_seconds
    }

    pub(crate) fn is_unknown(&self) -> bool {
        self.completed_calls == 0
    }

    /// Whether exactly one call has succeeded.
    pub(crate) fn is_first(&self) -> bool {
        self.completed_calls == 1
    }

    /// Whether enough calls have succeeded for the mean to be reliable.
    pub(crate) fn is_settled(&self) -> bool {
        self.completed_calls > CALLS_TO_SETTLE
    }
}
