//! Draws from a seed, in the few forms that the drill needs.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::ops::RangeInclusive;

/// A seeded generator.
#[derive(Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// For a seed, and for what it is used: the same seed draws other numbers for other uses.
    pub fn new(seed: u64, purpose: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose))
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number of a range.
    pub fn within(&mut self, range: RangeInclusive<u64>) -> u64 {
        let span = range.end() - range.start() + 1;
        range.start() + self.number() % span
    }

    /// The same for lengths and counts.
    pub fn count(&mut self, range: RangeInclusive<usize>) -> usize {
        self.within(*range.start() as u64..=*range.end() as u64) as usize
    }

    /// One of a list that is not empty.
    pub fn one_of<T: Copy>(&mut self, list: &[T]) -> T {
        list[self.count(0..=list.len() - 1)]
    }

    /// True once in so many draws.
    pub fn once_in(&mut self, draws: u64) -> bool {
        self.number().is_multiple_of(draws)
    }

    /// So many bytes of any value.
    pub fn bytes(&mut self, length: usize) -> Vec<u8> {
        let words = std::iter::repeat_with(|| self.number().to_le_bytes()).take(length.div_ceil(8));
        let mut bytes: Vec<u8> = words.flatten().collect();
        bytes.truncate(length);
        bytes
    }
}
