//! Waits between tries that fail: doubled each time up to a bound, of random length so that a fleet doesn't return in
//! step.

use gradepin_admission::Span;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;

/// The tries so far and the waits to come.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    least: Span,
    most: Span,
    failures: u32,
}

impl Backoff {
    /// Waits from half of `least` to at most `most`.
    pub fn new(least: Span, most: Span) -> Self {
        Self { least, most, failures: 0 }
    }

    /// How many tries in a row have failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A try succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// A try failed: how long to wait before the next, between half of the bound for it and all of it.
    pub fn failed(&mut self, rng: &mut Pcg64Mcg) -> Span {
        let bound = self.least.0.saturating_mul(1 << self.failures.min(20)).min(self.most.0);
        self.failures = self.failures.saturating_add(1);
        let half = bound / 2;
        Span(half + if half == 0 { 0 } else { rng.next_u64() % half })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_pcg::rand_core::SeedableRng;

    #[test]
    fn waits_grow_to_their_bound_and_differ() {
        let mut rng = Pcg64Mcg::seed_from_u64(7);
        let mut backoff = Backoff::new(Span(1_000), Span(30_000));
        let waits: Vec<u64> = (0..40).map(|_| backoff.failed(&mut rng).0).collect();
        assert!((500..1_000).contains(&waits[0]), "{waits:?}");
        assert!(waits.iter().all(|&wait| wait < 30_000), "{waits:?}");
        assert!(waits[10..].iter().all(|&wait| wait >= 15_000), "{waits:?}");
        assert!(waits[10..].windows(2).any(|two| two[0] != two[1]), "{waits:?}");
        backoff.reset();
        assert!(backoff.failed(&mut rng).0 < 1_000);
    }
}
