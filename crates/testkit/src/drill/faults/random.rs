//! Random draws from a seed, in the forms that the drill needs.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::ops::RangeInclusive;

/// A seeded random number generator.
#[derive(Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// Creates the generator of a seed for one purpose; different purposes draw different sequences from the same
    /// seed.
    pub fn new(seed: u64, purpose: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose))
    }

    /// Draws from the full range of `u64`.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Draws from an inclusive range.
    pub fn within(&mut self, range: RangeInclusive<u64>) -> u64 {
        let span = range.end() - range.start() + 1;
        range.start() + self.number() % span
    }

    /// Draws a length or count from an inclusive range.
    pub fn count(&mut self, range: RangeInclusive<usize>) -> usize {
        self.within(*range.start() as u64..=*range.end() as u64) as usize
    }

    /// Draws an element of a list, which must not be empty.
    pub fn one_of<T: Copy>(&mut self, list: &[T]) -> T {
        list[self.count(0..=list.len() - 1)]
    }

    /// Returns true with probability 1 / `draws`.
    pub fn once_in(&mut self, draws: u64) -> bool {
        self.number().is_multiple_of(draws)
    }

    /// Draws `length` bytes.
    pub fn bytes(&mut self, length: usize) -> Vec<u8> {
        let words = std::iter::repeat_with(|| self.number().to_le_bytes()).take(length.div_ceil(8));
        let mut bytes: Vec<u8> = words.flatten().collect();
        bytes.truncate(length);
        bytes
    }
}
