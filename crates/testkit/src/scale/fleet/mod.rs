//! `gradepin-testkit scale fleet`: fleets of hollow servers and some real daemons, in real time on loopback addresses.
//!
//! A hollow server has the real reducer, admission control and cluster on a real UDP socket, but no threads, front ends or
//! processor. Many of them share the thread of a host process. The host measures its own delay, and a run with a late host
//! isn't scored.
//!
//! - [`layout`]: addresses, zones and regions. [`cut`]: partitions between regions.
//! - [`host`], [`server`], [`requests`], [`spend`]: a host process and its hollow servers.
//! - [`hosts`], [`messages`]: the host processes as seen by the supervising process, and the messages between them.
//! - [`daemons`]: the real daemons. [`play`]: a run. [`resources`]: resource limits and usage.
//! - [`figures`], [`budget`], [`report`]: evaluation of snapshots.

pub mod budget;
pub mod cut;
pub mod daemons;
pub mod figures;
pub mod host;
pub mod hosts;
pub mod layout;
pub mod messages;
pub mod play;
pub mod report;
pub mod requests;
pub mod resources;
pub mod server;
pub mod spend;

use crate::fleet as daemon_fleet;
use clap::Args;
use layout::{REGIONS, Shape, ZONES};
use play::{Alone, Plan, PlayError, play};
use report::Outcome;
use serde::Serialize;
use spend::Spend;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

/// Minimum number of hollow servers per host process, unless `--processes` is given.
const MIN_SERVERS_PER_HOST: usize = 8;

/// Arguments of `scale fleet`.
#[derive(Debug, Clone, Args)]
pub struct FleetArgs {
    /// Numbers of servers per fleet, including the real daemons
    #[arg(long, value_delimiter = ',', default_values_t = [12, 25, 50, 100, 200])]
    pub sizes: Vec<usize>,
    /// Real daemons per fleet
    #[arg(long, default_value_t = 3)]
    pub real: usize,
    /// Length of the measured steady state, in seconds
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Seconds for which the last region is partitioned from the others; 0 for no partition
    #[arg(long, default_value_t = 0)]
    pub cut: u64,
    /// Time limit in seconds for complete membership, at the start and after a partition
    #[arg(long, default_value_t = 60)]
    pub patience: u64,
    /// Requests per second and server
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Mean time of a run, in ms
    #[arg(long, default_value_t = 20)]
    pub run_ms: u64,
    /// Number of zones
    #[arg(long, default_value_t = ZONES)]
    pub zones: usize,
    /// Number of regions
    #[arg(long, default_value_t = REGIONS)]
    pub regions: usize,
    /// Number of host processes; by default chosen by size and cores
    #[arg(long)]
    pub processes: Option<usize>,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Write the figures as JSON to this file
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Budgets that must hold; a failure gives status 1
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Claim::Cpu, Claim::Memory])]
    pub claims: Vec<Claim>,
    /// Extra bytes per second sent by the first hollow server, which the check must detect
    #[arg(long, default_value_t = 0)]
    pub spend_bytes: u32,
    /// Extra CPU time per tick of the first hollow server, in microseconds, which the check must detect
    #[arg(long, default_value_t = 0)]
    pub spend_us: u32,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Budget that is claimed to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Claim {
    /// Bytes sent per second
    Bytes,
    /// CPU time for control
    Cpu,
    /// Resident memory
    Memory,
}

/// Invalid sizes.
#[derive(Debug, thiserror::Error)]
pub enum BadSizes {
    /// Without a real daemon there are no settings for the hollow servers.
    #[error("expected --real of 1 or more: hollow servers take their settings from a real one")]
    NoReal,
    /// The fleet would have no hollow servers.
    #[error("expected --sizes above --real {real}, got {size}")]
    TooSmall {
        /// Number of real daemons.
        real: usize,
        /// Requested number of servers.
        size: usize,
    },
}

/// Content of the JSON file.
#[derive(Debug, Serialize)]
struct Figures {
    outcomes: Vec<Outcome>,
    /// Largest size with a scored run.
    held: Option<usize>,
}

/// Runs fleets of all sizes; returns `false` if a claimed budget doesn't hold or a server costs more than the others.
pub fn run(args: FleetArgs) -> Result<bool, Box<dyn Error>> {
    args.check()?;
    let stop = crate::interrupt::flag()?;
    let daemon = args.daemon.clone().map_or_else(daemon_fleet::daemon, Ok)?;
    let folder = daemon_fleet::folder("scale-fleet")?;
    let played = run_sizes(&args, &daemon, &folder, &stop);
    daemon_fleet::remove(&folder);
    let (outcomes, good) = played?;
    let scored = outcomes.iter().filter(|outcome| outcome.not_scored.is_none());
    let held = scored.map(|outcome| outcome.servers).max();
    match held {
        Some(servers) => println!("real time was held up to {servers} servers"),
        None => println!("real time was held at no size: nothing is scored"),
    }
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&Figures { outcomes, held })?)?;
    }
    Ok(good && held.is_some())
}

/// Runs the sizes in ascending order, up to the first whose run isn't scored.
fn run_sizes(
    args: &FleetArgs,
    daemon: &Path,
    folder: &Path,
    stop: &AtomicBool,
) -> Result<(Vec<Outcome>, bool), PlayError> {
    let (mut outcomes, mut good) = (Vec::new(), true);
    let mut sizes = args.sizes.clone();
    sizes.sort_unstable();
    sizes.dedup();
    // Without requests, all CPU time is for control.
    let alone = if args.rate > 0.0 { alone(args, daemon, folder, stop)? } else { Alone::default() };
    for servers in sizes {
        if let Some(outcome) = outcomes.last().and_then(|last: &Outcome| last.not_scored.as_ref()) {
            println!("{servers} servers: not run: {outcome}");
            continue;
        }
        let plan = args.plan(servers, daemon);
        let folder = folder.join(servers.to_string());
        std::fs::create_dir_all(&folder)?;
        let played = play(&plan, &folder, stop)?;
        let outcome = Outcome::new(servers, plan.real, plan.rate, plan.seed, &played, &alone);
        outcome.print(played.cut);
        good &= judge(&outcome, &args.claims);
        outcomes.push(outcome);
    }
    Ok((outcomes, good))
}

fn alone(args: &FleetArgs, daemon: &Path, folder: &Path, stop: &AtomicBool) -> Result<Alone, PlayError> {
    let folder = folder.join("alone");
    std::fs::create_dir_all(&folder)?;
    play::alone(&args.plan(0, daemon), &folder, stop)
}

/// Prints budgets and servers with excess cost; returns `false` on failure. A run without score breaks no claim.
fn judge(outcome: &Outcome, claims: &[Claim]) -> bool {
    if outcome.not_scored.is_some() {
        return true;
    }
    let claimed = [Claim::Bytes, Claim::Cpu, Claim::Memory].map(|claim| claims.contains(&claim));
    let mut good = true;
    for (held, claimed) in outcome.budgets().iter().zip(claimed) {
        let word = match (held.holds(), claimed) {
            (true, _) => "holds",
            (false, true) => "FAILS, and is claimed to hold",
            (false, false) => "fails, as is said",
        };
        let times = held.value / held.budget;
        println!(
            "  budget {}: {:.1} of {:.0}, {times:.2} times it: {word}",
            held.what, held.value, held.budget
        );
        good &= held.holds() || !claimed;
    }
    for uneven in &outcome.uneven {
        println!(
            "  CAUGHT: hollow server {} spends {:.1} {}, and half of the servers no more than {:.1}",
            uneven.server,
            uneven.value,
            uneven.cost.words(),
            uneven.median
        );
    }
    good && outcome.uneven.is_empty()
}

impl FleetArgs {
    fn check(&self) -> Result<(), BadSizes> {
        if self.real == 0 {
            return Err(BadSizes::NoReal);
        }
        let small = self.sizes.iter().find(|size| **size <= self.real);
        small.map_or(Ok(()), |size| Err(BadSizes::TooSmall { real: self.real, size: *size }))
    }

    fn plan(&self, servers: usize, daemon: &Path) -> Plan {
        let hollow = servers.saturating_sub(self.real);
        let cores = thread::available_parallelism().map_or(1, usize::from);
        let hosts = self.processes.unwrap_or(hollow.div_ceil(MIN_SERVERS_PER_HOST).min(cores)).max(1);
        Plan {
            daemon: daemon.into(),
            servers,
            real: self.real,
            hosts,
            shape: Shape { zones: self.zones, regions: self.regions },
            rate: self.rate,
            run: Duration::from_millis(self.run_ms),
            steady: Duration::from_secs(self.seconds),
            cut: (self.cut > 0).then(|| Duration::from_secs(self.cut)),
            patience: Duration::from_secs(self.patience),
            seed: self.seed,
            spend: Spend { bytes_s: self.spend_bytes, tick_us: self.spend_us },
        }
    }
}
