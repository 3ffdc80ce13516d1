//! `gradepin-testkit explore`: permits, exhaustively in the small.

use crate::explore::permits::{self, Small, Without};
use clap::Args;
use std::error::Error;
use std::time::Duration;

/// Settings of `explore`.
#[derive(Debug, Args)]
pub struct ExploreArgs {
    /// Servers; one may be out
    #[arg(long, default_value_t = 4)]
    pub servers: usize,
    /// Entries at the most
    #[arg(long, default_value_t = 6)]
    pub entries: u64,
    /// Eras of time
    #[arg(long, default_value_t = 1)]
    pub eras: u8,
    /// Crashes, and permits that an operator frees
    #[arg(long, default_value_t = 1)]
    pub crashes: u8,
    /// See `crashes`
    #[arg(long, default_value_t = 1)]
    pub frees: u8,
    /// Seconds for each of the four at the most
    #[arg(long, default_value_t = 300)]
    pub seconds: u64,
    /// Threads
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

/// Explores, and says whether each expectation was met.
pub fn run(args: ExploreArgs) -> Result<bool, Box<dyn Error>> {
    let ExploreArgs { servers, entries, eras, crashes, frees, seconds, threads } = args;
    let small = Small { servers, entries, eras, crashes, frees, without: Without::Nothing };
    Ok(permits::run(&small, threads, Duration::from_secs(seconds)))
}
