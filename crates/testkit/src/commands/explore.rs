//! `gradepin-testkit explore`: exhaustive exploration of the permit protocol within small bounds.

use crate::explore::permits::{self, Bounds, Without};
use clap::Args;
use std::error::Error;
use std::time::Duration;

/// Arguments of `explore`.
#[derive(Debug, Args)]
pub struct ExploreArgs {
    /// Number of servers, of which one may be out
    #[arg(long, default_value_t = 4)]
    pub servers: usize,
    /// Maximum number of log entries
    #[arg(long, default_value_t = 6)]
    pub entries: u64,
    /// Number of eras of time
    #[arg(long, default_value_t = 1)]
    pub eras: u8,
    /// Maximum number of crashes
    #[arg(long, default_value_t = 1)]
    pub crashes: u8,
    /// Maximum number of permits that an operator releases
    #[arg(long, default_value_t = 1)]
    pub frees: u8,
    /// Time limit in seconds for each rule set
    #[arg(long, default_value_t = 300)]
    pub seconds: u64,
    /// Number of threads
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

/// Explores all rule sets; returns whether each result is as expected.
pub fn run(args: ExploreArgs) -> Result<bool, Box<dyn Error>> {
    let ExploreArgs { servers, entries, eras, crashes, frees, seconds, threads } = args;
    let bounds = Bounds { servers, entries, eras, crashes, frees, without: Without::Nothing };
    Ok(permits::run(&bounds, threads, Duration::from_secs(seconds)))
}
