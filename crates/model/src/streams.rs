//! Independent random number streams for each entity: the number of draws of one entity doesn't affect the others.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// All streams of a seed.
#[derive(Debug, Clone, Copy)]
pub struct Streams(u64);

impl Streams {
    /// Creates the streams of a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the stream of an entity, given its kind and number.
    pub fn of(&self, kind: &str, number: u64) -> Pcg64Mcg {
        let mut hasher = SipHasher13::new_with_keys(self.0, 0x6d6f_6465_6c00_0001);
        hasher.write(kind.as_bytes());
        hasher.write_u8(0xff);
        hasher.write_u64(number);
        Pcg64Mcg::seed_from_u64(hasher.finish())
    }
}

/// Uniform number from 0 to below 1.
pub fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Uniform number from a range.
pub fn within(rng: &mut Pcg64Mcg, range: [f64; 2]) -> f64 {
    range[0] + (range[1] - range[0]) * unit(rng)
}

/// Uniform index below `count`, which must be at least 1.
pub fn one_of(rng: &mut Pcg64Mcg, count: usize) -> usize {
    (unit(rng) * count as f64) as usize % count.max(1)
}

/// Draws true with this probability.
pub fn chance(rng: &mut Pcg64Mcg, part: f64) -> bool {
    unit(rng) < part
}

/// Shuffles a list.
pub fn shuffle<T>(rng: &mut Pcg64Mcg, list: &mut [T]) {
    for last in (1..list.len()).rev() {
        list.swap(last, one_of(rng, last + 1));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against streams that coincide or depend on the order of their creation.
    #[test]
    fn streams_are_independent_and_reproducible() {
        let draw = |kind, number| Streams::new(7).of(kind, number).next_u64();
        let all = [draw("server", 1), draw("server", 2), draw("proxy", 1), draw("serve", 1)];
        let again = [draw("server", 1), draw("server", 2), draw("proxy", 1), draw("serve", 1)];
        assert_eq!(all, again);
        let mut sorted = all.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(sorted.len(), 4);
        assert_ne!(Streams::new(8).of("server", 1).next_u64(), all[0]);
    }
}
