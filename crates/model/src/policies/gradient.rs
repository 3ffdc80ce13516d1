//! Concurrency limit that follows the run time: Gradient2 of Netflix's concurrency-limits. The limit shrinks if runs
//! take longer than over a long window, and otherwise grows by a small queue.

use super::shell::{Load, Policy, RequestInfo};
use gradepin_admission::{Settings, Span, Time};

/// Defaults of the library: weight of a sample in the limit, tolerated increase over the long-term run time, and window
/// of the long-term run time in samples.
const SMOOTHING: f64 = 0.2;
const TOLERANCE: f64 = 1.5;
const LONG_WINDOW: f64 = 600.0;
/// Number of samples for which the long-term run time is a plain mean.
const WARMUP: f64 = 10.0;
/// Ratio of long-term to current run time above which the long-term value is reduced, and the factor by which it is.
const STALE: f64 = 2.0;
const SHRINK: f64 = 0.95;

/// Current limit and long-term run time.
#[derive(Debug)]
pub struct Gradient {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
    queue: f64,
    long: f64,
    samples: f64,
}

impl Gradient {
    /// Starts at two requests per core; the limit ranges from 0.5 to 16 requests per core.
    pub fn new(settings: &Settings) -> Self {
        let cores = f64::from(settings.specifics.n_cores);
        Self {
            limit: 2.0 * cores,
            min_limit: (0.5 * cores).max(1.0),
            max_limit: 16.0 * cores,
            queue: 0.5 * cores,
            long: 0.0,
            samples: 0.0,
        }
    }
}

impl Policy for Gradient {
    fn admits(&mut self, _now: Time, _ask: &RequestInfo, load: Load) -> bool {
        ((load.running + load.waiting) as f64) < self.limit
    }

    fn may_run(&self, load: Load) -> bool {
        (load.running as f64) < self.limit
    }

    fn discards(&mut self, now: Time, info: &RequestInfo) -> bool {
        info.due <= now
    }

    fn run_ended(&mut self, _now: Time, took: Span, load: Load) {
        let short = (took.0 as f64).max(1.0);
        self.samples += 1.0;
        let weight = if self.samples <= WARMUP { 1.0 / self.samples } else { 2.0 / (LONG_WINDOW + 1.0) };
        self.long += weight * (short - self.long);
        if self.long / short > STALE {
            self.long *= SHRINK;
        }
        // While less than half of the limit is in use, run times say nothing about it.
        if ((load.running + 1) as f64) < self.limit / 2.0 {
            return;
        }
        let gradient = (TOLERANCE * self.long / short).clamp(0.5, 1.0);
        let target_limit = self.limit * gradient + self.queue;
        self.limit =
            (self.limit * (1.0 - SMOOTHING) + target_limit * SMOOTHING).clamp(self.min_limit, self.max_limit);
    }
}
