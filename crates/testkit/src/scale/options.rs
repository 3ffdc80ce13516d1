//! Common arguments of the commands, and resource checks before the start.

use super::report::Report;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use rustix::process::{Resource, getrlimit};
use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Arguments of the command.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Sizes, at least five, evenly spaced in the logarithm; by default those of the command
    #[arg(long, value_delimiter = ',')]
    pub sizes: Vec<u64>,
    /// Planned size; by default that of the capacity page
    #[arg(long)]
    pub target: Option<u64>,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Write the report as JSON to this file
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Draw points and fits as SVG to this file
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

impl Options {
    /// Sizes from the command line or else `own`, in ascending order.
    pub fn sizes_or(&self, own: &[u64]) -> Vec<u64> {
        let mut sizes = if self.sizes.is_empty() { own.to_vec() } else { self.sizes.clone() };
        sizes.sort_unstable();
        sizes
    }

    /// Planned size from the command line, or else `own`.
    pub fn target_or(&self, own: f64) -> f64 {
        self.target.map_or(own, |target| target as f64)
    }

    /// Prints and writes a report; returns whether the claims are kept.
    pub fn finish(&self, report: &Report) -> Result<bool, Box<dyn Error>> {
        report.finish(self.json.as_deref(), self.plot.as_deref())
    }
}

/// The command was ended by a signal; all its processes have ended, and nothing is reported.
#[derive(Debug, thiserror::Error)]
#[error("ended by a signal; nothing is left running")]
pub struct Interrupted;

/// Returns an error if a signal has arrived; called between steps.
pub fn check_interrupted(end: &AtomicBool) -> Result<(), Interrupted> {
    if end.load(Ordering::Relaxed) { Err(Interrupted) } else { Ok(()) }
}

/// Waits for `seconds`, or until a signal arrives.
pub fn wait(end: &AtomicBool, seconds: f64) -> Result<(), Interrupted> {
    const CHECK_INTERVAL: Duration = Duration::from_millis(20);
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    loop {
        check_interrupted(end)?;
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        thread::sleep(left.min(CHECK_INTERVAL));
    }
}

/// Resource that a run would need more of than there is.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InsufficientResources {
    /// Too few descriptors.
    #[error(
        "{needed} descriptors are needed, and this process may open {may}: raise the limit (ulimit -n), or take smaller sizes"
    )]
    Descriptors {
        /// Required descriptors.
        needed: u64,
        /// Limit of this process.
        may: u64,
    },
    /// Too little memory.
    #[error("{needed_mb} MB of memory are needed, and {free_mb} MB are free: take smaller sizes")]
    Memory {
        /// Required memory in MB.
        needed_mb: u64,
        /// Available memory in MB.
        free_mb: u64,
    },
}

/// Checks that enough descriptors and memory are available for a run.
pub fn check_resources(descriptors: u64, memory_mb: u64) -> Result<(), InsufficientResources> {
    let may = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    check_limits(descriptors, may, memory_mb, free_mb())
}

fn check_limits(needed: u64, may: u64, needed_mb: u64, free_mb: u64) -> Result<(), InsufficientResources> {
    if needed > may {
        return Err(InsufficientResources::Descriptors { needed, may });
    }
    if needed_mb > free_mb {
        return Err(InsufficientResources::Memory { needed_mb, free_mb });
    }
    Ok(())
}

/// Memory available to new processes, in MB; unlimited if it can't be read.
fn free_mb() -> u64 {
    let table = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = table.lines().find_map(|line| line.strip_prefix("MemAvailable:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.map_or(u64::MAX, |kb| kb / 1024)
}

/// Progress bar; visible only if standard error is a terminal.
pub fn progress(steps: usize, what: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(steps as u64);
    if let Ok(style) = ProgressStyle::with_template("{prefix} {bar:30} {pos}/{len} {msg} {elapsed}") {
        bar.set_style(style);
    }
    bar.with_prefix(what)
}

#[cfg(test)]
mod tests;
