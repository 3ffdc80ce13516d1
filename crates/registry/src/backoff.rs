//! Exponential backoff with jitter: the delay doubles with each failure up to a maximum, and is randomized so that the
//! servers of a fleet don't retry in step.

use gradepin_admission::Span;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;

/// The number of consecutive failures and the bounds of the delay.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    min: Span,
    max: Span,
    failures: u32,
}

impl Backoff {
    /// The first delay is between half of `min` and `min`; later ones double, up to `max`.
    pub fn new(min: Span, max: Span) -> Self {
        Self { min, max, failures: 0 }
    }

    /// The number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Resets the delay to its minimum after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay before the next attempt: a random one between half of the current bound and the
    /// bound itself.
    pub fn failed(&mut self, rng: &mut Pcg64Mcg) -> Span {
        let bound = self.min.0.saturating_mul(1 << self.failures.min(20)).min(self.max.0);
        self.failures = self.failures.saturating_add(1);
        let half = bound / 2;
        Span(half + if half == 0 { 0 } else { rng.next_u64() % half })
    }
}

#[cfg(test)]
mod tests;
