//! `gradepin-testkit drill`: failures against real servers, a line a claim.

use super::shared::daemon;
use crate::drill::{Verdict, faults, recovery, registry, release, scgi, shared};
use clap::{Args, Subcommand, ValueEnum};
use std::error::Error;
use std::path::PathBuf;

/// Settings of `drill`.
#[derive(Debug, Args)]
pub struct DrillArgs {
    #[command(subcommand)]
    which: Drill,
}

/// Which failures are played.
#[derive(Debug, Subcommand)]
pub enum Drill {
    /// Faults of clients, processor link, control plane, signals and files, alone and in pairs, with four oracles
    Faults(FaultsArgs),
    /// Kills under load: saves run once, and stations that insist get their answers
    Recovery(RecoveryArgs),
    /// Servers that agree on who may be out: a release, and a bad one that stops and goes back, under load
    Release(ReleaseArgs),
    /// Servers that share the ledger's slots, with faults between them: the bound, leases, and who is there
    Shared(SharedArgs),
    /// Mixed traffic over both fronts, past capacity
    Scgi(ScgiArgs),
    /// Drains under load while the registry fails
    Registry(RegistryArgs),
}

/// Settings of `drill faults`.
#[derive(Debug, Args)]
pub struct FaultsArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seeds, one after another
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Some of the faults and pairs, as in the tests
    #[arg(long)]
    pub small: bool,
    /// Drawn pairs of faults; each fault is played alone too
    #[arg(long)]
    pub pairs: Option<usize>,
    /// Only the case of this number
    #[arg(long)]
    pub only: Option<usize>,
    /// Cases beside each other
    #[arg(long, default_value_t = 6)]
    pub beside: usize,
    /// A fault of the drill itself, which the oracle of that name must see. Must fail
    #[arg(long)]
    pub defect: Option<DefectArg>,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Which oracle is to fail.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum DefectArg {
    /// A server is killed
    Alive,
    /// A client drops an answer
    Answers,
    /// Another process holds a server's address
    Starts,
    /// The processor tells another result than it made
    Provenance,
}

/// Settings of `drill recovery`.
#[derive(Debug, Args)]
pub struct RecoveryArgs {
    /// Seed of everything that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Kills with the store; half as many without
    #[arg(long, default_value_t = 50)]
    pub kills: usize,
    /// Without the protection: servers have no store. Must fail
    #[arg(long)]
    pub plain: bool,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `drill release`.
#[derive(Debug, Args)]
pub struct ReleaseArgs {
    /// Seed of everything that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Servers, in three zones; three are voters
    #[arg(long, default_value_t = 9)]
    pub servers: usize,
    /// With faults drawn between them: kills, stops, cuts
    #[arg(long)]
    pub faults: bool,
    /// Without limits on what may be out. Must fail
    #[arg(long)]
    pub plain: bool,
    /// The part of all cores that is asked for
    #[arg(long, default_value_t = 0.8)]
    pub load: f64,
    /// Seconds of load without a release, to hold the others against
    #[arg(long, default_value_t = 15)]
    pub quiet: u64,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `drill shared`.
#[derive(Debug, Args)]
pub struct SharedArgs {
    /// Seed of everything that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Servers
    #[arg(long, default_value_t = 8)]
    pub servers: usize,
    /// Seconds; faults begin after 12 and end 9 before the end
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Without the protection: leases have no rules of time. Must fail
    #[arg(long)]
    pub plain: bool,
    /// Write what was seen there, an entry a line
    #[arg(long)]
    pub history: Option<PathBuf>,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `drill scgi`.
#[derive(Debug, Args)]
pub struct ScgiArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Runs, each with the next seed
    #[arg(long, default_value_t = 5)]
    pub runs: usize,
    /// Seconds of each
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Load as a part of what the cores can do
    #[arg(long, default_value_t = 1.1)]
    pub load: f64,
    /// Without the protection: repeats don't share a token, as if each front had a table of its own. Must fail
    #[arg(long)]
    pub plain: bool,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `drill registry`.
#[derive(Debug, Args)]
pub struct RegistryArgs {
    /// Seed of everything that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Drains in all
    #[arg(long, default_value_t = 100)]
    pub drains: usize,
    /// Fleets beside one another
    #[arg(long, default_value_t = 5)]
    pub fleets: usize,
    /// Servers in each
    #[arg(long, default_value_t = 4)]
    pub servers: usize,
    /// First tries a second in each
    #[arg(long, default_value_t = 120.0)]
    pub rate: f64,
    /// Without the protection: servers register nowhere. Must fail
    #[arg(long)]
    pub plain: bool,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Plays it, and says whether every claim was kept.
pub fn run(args: DrillArgs) -> Result<bool, Box<dyn Error>> {
    match args.which {
        Drill::Faults(args) => faults(args),
        Drill::Recovery(RecoveryArgs { seed, kills, plain, daemon: told }) => {
            Ok(recovery::run(&recovery::Drill { daemon: daemon(told)?, seed, kills, plain })?)
        }
        Drill::Release(args) => release(args),
        Drill::Shared(SharedArgs { seed, servers, seconds, plain, history, daemon: told }) => {
            let daemon = daemon(told)?;
            Ok(shared::run(&shared::Drill { daemon, seed, servers, seconds, plain, history })?)
        }
        Drill::Scgi(ScgiArgs { seed, runs, seconds, load, plain, daemon: told }) => {
            let daemon = daemon(told)?;
            Ok(scgi::run(&scgi::Drill { daemon, seed, runs, seconds, load, plain })?)
        }
        Drill::Registry(RegistryArgs { seed, drains, fleets, servers, rate, plain, daemon: told }) => {
            let daemon = daemon(told)?;
            Ok(registry::run(&registry::Drill { daemon, seed, drains, fleets, servers, rate, plain })?)
        }
    }
}

fn release(args: ReleaseArgs) -> Result<bool, Box<dyn Error>> {
    let ReleaseArgs { seed, servers, faults, plain, load, quiet, daemon: told } = args;
    let (daemon, quiet_s) = (daemon(told)?, quiet);
    let drill = release::Drill { daemon, seed, servers, faults, plain, timed: true, load, quiet_s };
    Ok(release::run(&drill)?.kept()?)
}

fn faults(args: FaultsArgs) -> Result<bool, Box<dyn Error>> {
    let FaultsArgs { seed: first, seeds, small, pairs, only, beside, defect, daemon: told } = args;
    let daemon = daemon(told)?;
    let size = if small { faults::plan::Size::SMALL } else { faults::plan::Size::FULL };
    let size = faults::plan::Size { pairs: pairs.unwrap_or(size.pairs), ..size };
    let defect = defect.map(|defect| match defect {
        DefectArg::Alive => faults::Defect::Alive,
        DefectArg::Answers => faults::Defect::Answers,
        DefectArg::Starts => faults::Defect::Starts,
        DefectArg::Provenance => faults::Defect::Provenance,
    });
    let mut verdict = Verdict::Kept;
    for seed in first..first.saturating_add(seeds) {
        let drill = faults::Drill { daemon: daemon.clone(), seed, size, only, beside, defect };
        verdict = verdict.and(faults::run(&drill)?.verdict);
    }
    Ok(verdict.kept()?)
}
