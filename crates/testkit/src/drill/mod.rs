//! Drills: real processes on loopback under load with injected faults, and claims that are kept or not.

pub mod due_times;
pub mod faults;
pub mod recovery;
pub mod registry;
pub mod release;
pub mod scgi;
pub mod shared;
pub mod soak;
pub mod verdict;

pub use verdict::{Claims, NotScored, Verdict};

/// The value at quantile `q` (0 to 1) of a sorted list; 0 if the list is empty.
pub fn quantile(sorted: &[u64], q: f64) -> u64 {
    let index = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0)
}
