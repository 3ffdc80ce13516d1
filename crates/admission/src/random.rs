//! The only source of chance: a generator seeded by the host, so that the same events give the same actions.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A seeded generator; without a seed it draws zeros.
#[derive(Debug, Default)]
pub(crate) struct RandomSource(Option<Pcg64Mcg>);

impl RandomSource {
    /// A generator whose draws are decided by the seed.
    pub(crate) fn seeded(seed: u64) -> Self {
        Self(Some(Pcg64Mcg::seed_from_u64(seed)))
    }

    /// Draws a number from 0 to below 1, evenly distributed over multiples of 2^-53.
    pub(crate) fn unit_interval(&mut self) -> f64 {
        (self.0.as_mut().map_or(0, |generator| generator.next_u64()) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
