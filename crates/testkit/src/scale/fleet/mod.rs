//! `gradepin-testkit scale fleet`: fleets of hollow servers with real daemons among them, in real time on loopback addresses.
//!
//! A hollow server is the real reducer, decision module and cluster on a real UDP socket, without threads, fronts and a
//! processor. Many share a thread of a host process; the host measures how late it is, and what it was late for isn't scored.
//!
//! - [`layout`]: places, zones, regions. [`cut`]: regions that are cut from each other.
//! - [`host`], [`server`], [`requests`], [`spend`]: a host process and its servers.
//! - [`hosts`], [`messages`]: the processes as the supervisor has them, and what they tell each other.
//! - [`daemons`]: the real ones beside. [`play`]: a run. [`resources`]: what it may use and used.
//! - [`figures`], [`budget`], [`report`]: from snapshots to what is printed.

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

use crate::fleet as rig;
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

/// Hollow servers of one host process at least, before another process is started.
const LEAST_A_HOST: usize = 8;

/// Settings of `scale fleet`.
#[derive(Debug, Clone, Args)]
pub struct FleetArgs {
    /// Servers of each fleet, real ones among them
    #[arg(long, value_delimiter = ',', default_values_t = [12, 25, 50, 100, 200])]
    pub sizes: Vec<usize>,
    /// Real daemons in each fleet
    #[arg(long, default_value_t = 3)]
    pub real: usize,
    /// Seconds of the steady span that is measured
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Seconds for which the last region is cut from the others; 0 for no cut
    #[arg(long, default_value_t = 0)]
    pub cut: u64,
    /// Seconds that all may take to know all, at the start and after a cut
    #[arg(long, default_value_t = 60)]
    pub patience: u64,
    /// Requests a second of each server
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// What a run takes in the mean, in ms
    #[arg(long, default_value_t = 20)]
    pub run_ms: u64,
    /// Zones
    #[arg(long, default_value_t = ZONES)]
    pub zones: usize,
    /// Regions
    #[arg(long, default_value_t = REGIONS)]
    pub regions: usize,
    /// Host processes; by the size and the cores where it isn't told
    #[arg(long)]
    pub processes: Option<usize>,
    /// Seed of everything that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the figures go, as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Budgets whose failing ends with status 1
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Claim::Cpu, Claim::Memory])]
    pub claims: Vec<Claim>,
    /// Bytes a second that the first hollow server sends beside its work: must be caught
    #[arg(long, default_value_t = 0)]
    pub spend_bytes: u32,
    /// CPU in microseconds that it burns each tick beside its work: must be caught
    #[arg(long, default_value_t = 0)]
    pub spend_us: u32,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// A budget that is claimed to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Claim {
    /// Bytes sent in a second
    Bytes,
    /// CPU of control
    Cpu,
    /// Memory
    Memory,
}

/// Sizes that can't be played.
#[derive(Debug, thiserror::Error)]
pub enum BadSizes {
    /// No daemon would write the settings that hollow servers take.
    #[error("expected --real of 1 or more: hollow servers take their settings from a real one")]
    NoReal,
    /// Nothing would be hollow.
    #[error("expected --sizes above --real {real}, got {size}")]
    TooSmall {
        /// Real daemons.
        real: usize,
        /// A size.
        size: usize,
    },
}

/// What goes into the file.
#[derive(Debug, Serialize)]
struct Figures {
    outcomes: Vec<Outcome>,
    /// The largest size at which the hosts kept up.
    held: Option<usize>,
}

/// Plays fleets of all sizes; false if a claimed budget doesn't hold, or a server costs more than the others.
pub fn run(args: FleetArgs) -> Result<bool, Box<dyn Error>> {
    args.check()?;
    let stop = crate::interrupt::flag()?;
    let daemon = args.daemon.clone().map_or_else(rig::daemon, Ok)?;
    let folder = rig::folder("scale-fleet")?;
    let played = all_sizes(&args, &daemon, &folder, &stop);
    rig::remove(&folder);
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

/// Each size in turn; past the first that isn't held in real time none is played.
fn all_sizes(
    args: &FleetArgs,
    daemon: &Path,
    folder: &Path,
    stop: &AtomicBool,
) -> Result<(Vec<Outcome>, bool), PlayError> {
    let (mut outcomes, mut good) = (Vec::new(), true);
    let mut sizes = args.sizes.clone();
    sizes.sort_unstable();
    sizes.dedup();
    // Without requests all CPU is that of control.
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

/// Prints the budgets and what is uneven; false if anything claimed doesn't hold. What isn't scored breaks no claim.
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
        let hosts = self.processes.unwrap_or(hollow.div_ceil(LEAST_A_HOST).min(cores)).max(1);
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
