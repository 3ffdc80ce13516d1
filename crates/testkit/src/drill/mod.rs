//! Drills: real processes on loopback, with faults, and claims that are kept or not.

pub mod faults;
pub mod recovery;
pub mod registry;
pub mod release;
pub mod scgi;
pub mod shared;
pub mod verdict;

pub use verdict::{Claims, NotScored, Verdict};

/// The share of a sorted list at a quantile.
pub fn quantile(sorted: &[u64], q: f64) -> u64 {
    let place = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(place).copied().unwrap_or(0)
}
