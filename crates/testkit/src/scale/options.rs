//! Settings that all commands share, and what they check before they start.

use super::report::Report;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use rustix::process::{Resource, getrlimit};
use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Settings on the command line.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Sizes, five or more, spaced evenly in the logarithm; the command's own without
    #[arg(long, value_delimiter = ',')]
    pub sizes: Vec<u64>,
    /// The planned size, if that is not the page's
    #[arg(long)]
    pub target: Option<u64>,
    /// Seed of everything that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Write all of it as JSON here
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Draw points and fits here, as SVG
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

impl Options {
    /// The sizes that were told, in order, or the command's own.
    pub fn sizes_or(&self, own: &[u64]) -> Vec<u64> {
        let mut sizes = if self.sizes.is_empty() { own.to_vec() } else { self.sizes.clone() };
        sizes.sort_unstable();
        sizes
    }

    /// The planned size that was told, or the page's.
    pub fn target_or(&self, own: f64) -> f64 {
        self.target.map_or(own, |target| target as f64)
    }

    /// Prints and writes a report; whether the claims are kept.
    pub fn finish(&self, report: &Report) -> Result<bool, Box<dyn Error>> {
        report.finish(self.json.as_deref(), self.plot.as_deref())
    }
}

/// Ended by a signal: what was started has been ended, and nothing is told.
#[derive(Debug, thiserror::Error)]
#[error("ended by a signal; nothing is left running")]
pub struct Interrupted;

/// Ends a command between two steps if a signal came.
pub fn go_on(end: &AtomicBool) -> Result<(), Interrupted> {
    if end.load(Ordering::Relaxed) { Err(Interrupted) } else { Ok(()) }
}

/// Waits so many seconds, or until a signal ends the command.
pub fn rest(end: &AtomicBool, seconds: f64) -> Result<(), Interrupted> {
    const LOOK: Duration = Duration::from_millis(20);
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    loop {
        go_on(end)?;
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        thread::sleep(left.min(LOOK));
    }
}

/// What a run would need more than there is.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Lacking {
    /// Descriptors.
    #[error(
        "{needed} descriptors are needed, and this process may open {may}: raise the limit (ulimit -n), or take smaller sizes"
    )]
    Descriptors {
        /// So many.
        needed: u64,
        /// The limit.
        may: u64,
    },
    /// Memory.
    #[error("{needed_mb} MB of memory are needed, and {free_mb} MB are free: take smaller sizes")]
    Memory {
        /// So much.
        needed_mb: u64,
        /// What is free.
        free_mb: u64,
    },
}

/// Checks before the start that there are so many descriptors and so much memory.
pub fn check_resources(descriptors: u64, memory_mb: u64) -> Result<(), Lacking> {
    let may = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    enough(descriptors, may, memory_mb, free_mb())
}

fn enough(needed: u64, may: u64, needed_mb: u64, free_mb: u64) -> Result<(), Lacking> {
    if needed > may {
        return Err(Lacking::Descriptors { needed, may });
    }
    if needed_mb > free_mb {
        return Err(Lacking::Memory { needed_mb, free_mb });
    }
    Ok(())
}

/// Memory that new processes may have, in MB; without the system's table nothing is refused.
fn free_mb() -> u64 {
    let table = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = table.lines().find_map(|line| line.strip_prefix("MemAvailable:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.map_or(u64::MAX, |kb| kb / 1024)
}

/// A bar for long work; shown only where standard error is a terminal.
pub fn progress(steps: usize, what: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(steps as u64);
    if let Ok(style) = ProgressStyle::with_template("{prefix} {bar:30} {pos}/{len} {msg} {elapsed}") {
        bar.set_style(style);
    }
    bar.with_prefix(what)
}

#[cfg(test)]
mod tests;
