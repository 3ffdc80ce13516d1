//! The only source of randomness: a generator that the host seeds, so that the controller is deterministic.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A seeded generator. The default has no seed and draws zeros.
#[derive(Debug, Default)]
pub(crate) struct RandomSource(Option<Pcg64Mcg>);

impl RandomSource {
    pub(crate) fn seeded(seed: u64) -> Self {
        Self(Some(Pcg64Mcg::seed_from_u64(seed)))
    }

    /// Draws a number from 0 (inclusive) to 1 (exclusive), uniformly distributed over multiples of 2^-53.
    pub(crate) fn unit_interval(&mut self) -> f64 {
        (self.0.as_mut().map_or(0, |generator| generator.next_u64()) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
