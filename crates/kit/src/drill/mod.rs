//! Drills: real processes on loopback, with faults, and claims that are kept or not.

pub mod recovery;
pub mod registry;
pub mod release;
pub mod scgi;
pub mod shared;

use std::fmt::Display;

/// Claims with their figures, as they are printed.
#[derive(Debug, Default)]
pub struct Claims {
    lines: Vec<(bool, String)>,
}

impl Claims {
    /// A claim, whether it is kept, and its figure.
    pub fn claim(&mut self, kept: bool, what: &str, figure: impl Display) {
        let word = if kept { "kept" } else { "NOT KEPT" };
        let line = format!("{word:<9} {what}: {figure}");
        println!("{line}");
        self.lines.push((kept, line));
    }

    /// Whether all are kept.
    pub fn all_kept(&self) -> bool {
        self.lines.iter().all(|(kept, _)| *kept)
    }
}

/// The share of a sorted list at a quantile.
pub fn quantile(sorted: &[u64], q: f64) -> u64 {
    let place = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(place).copied().unwrap_or(0)
}
