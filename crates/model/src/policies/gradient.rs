//! A limit that follows the time of runs: Gradient2 of Netflix's concurrency-limits. The limit shrinks where runs take longer
//! than they did over a long window, and grows by a small queue where they don't.

use super::shell::{Ask, Load, Policy};
use gradepin_admission::{Settings, Span, Time};

/// As in the library's defaults: how much a sample moves the limit, how much longer than the long time is tolerated, the
/// window of the long time in samples.
const SMOOTHING: f64 = 0.2;
const TOLERANCE: f64 = 1.5;
const LONG: f64 = 600.0;
/// Samples with which the long time starts as a plain mean.
const WARMUP: f64 = 10.0;
/// A long time so many times the short one is let shrink.
const STALE: f64 = 2.0;
const SHRINK: f64 = 0.95;

/// The limit and what it follows.
#[derive(Debug)]
pub struct Gradient {
    limit: f64,
    least: f64,
    most: f64,
    queue: f64,
    long: f64,
    samples: f64,
}

impl Gradient {
    /// Starts at two requests a core; from half a request a core to sixteen.
    pub fn new(settings: &Settings) -> Self {
        let cores = f64::from(settings.specifics.n_cores);
        Self {
            limit: 2.0 * cores,
            least: (0.5 * cores).max(1.0),
            most: 16.0 * cores,
            queue: 0.5 * cores,
            long: 0.0,
            samples: 0.0,
        }
    }
}

impl Policy for Gradient {
    fn takes(&mut self, _now: Time, _ask: &Ask, load: Load) -> bool {
        ((load.running + load.waiting) as f64) < self.limit
    }

    fn may_run(&self, load: Load) -> bool {
        (load.running as f64) < self.limit
    }

    fn drops(&mut self, now: Time, ask: &Ask) -> bool {
        ask.due <= now
    }

    fn ended(&mut self, _now: Time, took: Span, load: Load) {
        let short = (took.0 as f64).max(1.0);
        self.samples += 1.0;
        let weight = if self.samples <= WARMUP { 1.0 / self.samples } else { 2.0 / (LONG + 1.0) };
        self.long += weight * (short - self.long);
        if self.long / short > STALE {
            self.long *= SHRINK;
        }
        // While less than half of the limit is in use, its height says nothing.
        if ((load.running + 1) as f64) < self.limit / 2.0 {
            return;
        }
        let gradient = (TOLERANCE * self.long / short).clamp(0.5, 1.0);
        let wanted = self.limit * gradient + self.queue;
        self.limit = (self.limit * (1.0 - SMOOTHING) + wanted * SMOOTHING).clamp(self.least, self.most);
    }
}
