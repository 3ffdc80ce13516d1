//! `gradepin-testkit drill`: fault drills against real servers, with one line per claim.

use super::shared::daemon;
use crate::drill::due_times::{self, ClientProtocol, FloodKind};
use crate::drill::{Verdict, faults, recovery, registry, release, scgi, shared, soak};
use crate::fault_proxy::LinkFault;
use crate::fleet;
use clap::{Args, Subcommand, ValueEnum};
use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

/// Arguments of `drill`.
#[derive(Debug, Args)]
pub struct DrillArgs {
    #[command(subcommand)]
    which: Drill,
}

/// Drill to run.
#[derive(Debug, Subcommand)]
pub enum Drill {
    /// Faults of clients, processor link, control plane, signals and files, alone and in pairs, judged by four oracles
    Faults(FaultsArgs),
    /// Servers in upgrade under faults that overlap in time, for many seeds
    Soak(SoakArgs),
    /// Answers by their due times at any rate, on few and many connections, while the link to the processor breaks
    DueTimes(DueTimesArgs),
    /// Kills under load: each save runs once, and clients that retry get their answers
    Recovery(RecoveryArgs),
    /// Permits under load: a rollout, and a faulty one that halts and rolls back
    Release(ReleaseArgs),
    /// Shared ledger slots with network and process faults: total bound, leases and membership
    Shared(SharedArgs),
    /// Mixed Thrift and SCGI traffic beyond capacity
    Scgi(ScgiArgs),
    /// Drains under load while the registry fails
    Registry(RegistryArgs),
}

/// Arguments of `drill faults`.
#[derive(Debug, Args)]
pub struct FaultsArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Play a smaller selection of faults and pairs, as the tests do
    #[arg(long)]
    pub small: bool,
    /// Number of random pairs of faults, beside each fault alone
    #[arg(long)]
    pub pairs: Option<usize>,
    /// Play only the case with this number
    #[arg(long)]
    pub only: Option<usize>,
    /// Concurrent cases
    #[arg(long, default_value_t = 6)]
    pub beside: usize,
    /// Inject a defect that the oracle of this name must detect. The drill must fail
    #[arg(long)]
    pub defect: Option<DefectArg>,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Oracle that must detect the injected defect.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum DefectArg {
    /// A server is killed
    Alive,
    /// A client drops an answer
    Answers,
    /// Another process holds a server's address
    Starts,
    /// The processor reports a result that it didn't compute
    Provenance,
}

/// Arguments of `drill due-times`.
#[derive(Debug, Args)]
pub struct DueTimesArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Connections of the clients
    #[arg(long, default_value_t = 8)]
    pub connections: usize,
    /// Requests per second over all connections
    #[arg(long, default_value_t = 300.0)]
    pub rate: f64,
    /// Mean work of a run in ms; the processor has six cores
    #[arg(long, default_value_t = 60)]
    pub run_ms: u64,
    /// Shortest budget of a request in ms
    #[arg(long, default_value_t = 20)]
    pub min_budget_ms: u64,
    /// Longest budget of a request in ms
    #[arg(long, default_value_t = 3_000)]
    pub max_budget_ms: u64,
    /// What happens to the link to the processor
    #[arg(long, value_enum, default_value_t = LinkFault::Reset)]
    pub link: LinkFault,
    /// Protocol of the clients
    #[arg(long, value_enum, default_value_t = ClientProtocol::Thrift)]
    pub protocol: ClientProtocol,
    /// Nine in ten callers cancel a request when they give up
    #[arg(long)]
    pub cancels: bool,
    /// What other clients send at full speed
    #[arg(long, value_enum)]
    pub flood: Option<FloodKind>,
    /// Number of these clients
    #[arg(long, default_value_t = 1)]
    pub flooding: usize,
    /// Length in seconds
    #[arg(long, default_value_t = 8)]
    pub seconds: u64,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `drill soak`.
#[derive(Debug, Args)]
pub struct SoakArgs {
    /// The first seed; every fifth one has a crowd
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Play fewer servers for a shorter time, as the tests do
    #[arg(long)]
    pub small: bool,
    /// Play only the server with this number
    #[arg(long)]
    pub only: Option<usize>,
    /// Inject a defect that an oracle must detect. The drill must fail
    #[arg(long)]
    pub defect: Option<SoakDefectArg>,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Defect of a soak.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum SoakDefectArg {
    /// A process is killed
    Alive,
    /// A client drops an answer
    Answers,
    /// Old processes are killed right after SIGTERM
    EarlyKill,
    /// The processor reports a result that it didn't compute
    Provenance,
}

/// Arguments of `drill recovery`.
#[derive(Debug, Args)]
pub struct RecoveryArgs {
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of kills with the store; half as many without
    #[arg(long, default_value_t = 50)]
    pub kills: usize,
    /// Disable the protection: servers have no store. The drill must fail
    #[arg(long)]
    pub plain: bool,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `drill release`.
#[derive(Debug, Args)]
pub struct ReleaseArgs {
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of servers in three zones; three of them are voters
    #[arg(long, default_value_t = 9)]
    pub servers: usize,
    /// Add random faults: kills, suspensions and partitions
    #[arg(long)]
    pub faults: bool,
    /// Disable the limits on servers out. The drill must fail
    #[arg(long)]
    pub plain: bool,
    /// Load as a fraction of the capacity of all cores
    #[arg(long, default_value_t = 0.8)]
    pub load: f64,
    /// Seconds of load without a rollout, as a baseline
    #[arg(long, default_value_t = 15)]
    pub quiet: u64,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `drill shared`.
#[derive(Debug, Args)]
pub struct SharedArgs {
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of servers
    #[arg(long, default_value_t = 8)]
    pub servers: usize,
    /// Length in seconds; faults begin after 12 s and end 9 s before the end
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Disable the protection: leases don't expire. The drill must fail
    #[arg(long)]
    pub plain: bool,
    /// Write the history of observations to this file, one per line
    #[arg(long)]
    pub history: Option<PathBuf>,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `drill scgi`.
#[derive(Debug, Args)]
pub struct ScgiArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of runs with consecutive seeds
    #[arg(long, default_value_t = 5)]
    pub runs: usize,
    /// Seconds per run
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Load as a fraction of the capacity of the cores
    #[arg(long, default_value_t = 1.1)]
    pub load: f64,
    /// Disable the protection: duplicates don't share an idempotency key. The drill must fail
    #[arg(long)]
    pub plain: bool,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `drill registry`.
#[derive(Debug, Args)]
pub struct RegistryArgs {
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Total number of drains
    #[arg(long, default_value_t = 100)]
    pub drains: usize,
    /// Concurrent fleets
    #[arg(long, default_value_t = 5)]
    pub fleets: usize,
    /// Servers per fleet
    #[arg(long, default_value_t = 4)]
    pub servers: usize,
    /// Requests per second and fleet, without retries
    #[arg(long, default_value_t = 120.0)]
    pub rate: f64,
    /// Disable the protection: servers don't register. The drill must fail
    #[arg(long)]
    pub plain: bool,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Runs the drill; returns whether every claim was kept.
pub fn run(args: DrillArgs) -> Result<bool, Box<dyn Error>> {
    match args.which {
        Drill::Faults(args) => faults(args),
        Drill::Soak(args) => soak(args),
        Drill::DueTimes(args) => due_times(args),
        Drill::Recovery(RecoveryArgs { seed, kills, plain, daemon: daemon_arg }) => {
            Ok(recovery::run(&recovery::Drill { daemon: daemon(daemon_arg)?, seed, kills, plain })?)
        }
        Drill::Release(args) => release(args),
        Drill::Shared(SharedArgs { seed, servers, seconds, plain, history, daemon: daemon_arg }) => {
            let daemon = daemon(daemon_arg)?;
            Ok(shared::run(&shared::Drill { daemon, seed, servers, seconds, plain, history })?)
        }
        Drill::Scgi(ScgiArgs { seed, runs, seconds, load, plain, daemon: daemon_arg }) => {
            let daemon = daemon(daemon_arg)?;
            Ok(scgi::run(&scgi::Drill { daemon, seed, runs, seconds, load, plain })?)
        }
        Drill::Registry(RegistryArgs { seed, drains, fleets, servers, rate, plain, daemon: daemon_arg }) => {
            let daemon = daemon(daemon_arg)?;
            Ok(registry::run(&registry::Drill { daemon, seed, drains, fleets, servers, rate, plain })?)
        }
    }
}

fn release(args: ReleaseArgs) -> Result<bool, Box<dyn Error>> {
    let ReleaseArgs { seed, servers, faults, plain, load, quiet, daemon: daemon_arg } = args;
    let (daemon, quiet_s) = (daemon(daemon_arg)?, quiet);
    let drill = release::Drill { daemon, seed, servers, faults, plain, timed: true, load, quiet_s };
    Ok(release::run(&drill)?.kept()?)
}

fn faults(args: FaultsArgs) -> Result<bool, Box<dyn Error>> {
    let FaultsArgs { seed: first, seeds, small, pairs, only, beside, defect, daemon: daemon_arg } = args;
    let daemon = daemon(daemon_arg)?;
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

fn due_times(args: DueTimesArgs) -> Result<bool, Box<dyn Error>> {
    let (daemon, kit) = (daemon(args.daemon)?, fleet::kit()?);
    let mut verdict = Verdict::Kept;
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let drill = due_times::Drill {
            daemon: daemon.clone(),
            kit: kit.clone(),
            seed,
            connections: args.connections,
            requests_per_second: args.rate,
            run_time: Duration::from_millis(args.run_ms),
            budget_ms: [args.min_budget_ms, args.max_budget_ms],
            link: args.link,
            protocol: args.protocol,
            cancels: args.cancels,
            flood: args.flood.map(|kind| due_times::Flood { kind, clients: args.flooding }),
            duration: Duration::from_secs(args.seconds),
        };
        verdict = verdict.and(due_times::run(&drill)?.verdict);
    }
    Ok(verdict.kept()?)
}

fn soak(args: SoakArgs) -> Result<bool, Box<dyn Error>> {
    let daemon = daemon(args.daemon)?;
    let defect = args.defect.map(|defect| match defect {
        SoakDefectArg::Alive => soak::Defect::Alive,
        SoakDefectArg::Answers => soak::Defect::Answers,
        SoakDefectArg::EarlyKill => soak::Defect::EarlyKill,
        SoakDefectArg::Provenance => soak::Defect::Provenance,
    });
    let mut verdict = Verdict::Kept;
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let full = soak::Soak::full(daemon.clone(), seed);
        let played = if args.small { soak::Soak::small(daemon.clone(), seed) } else { full };
        let report = soak::run(&soak::Soak { only: args.only, defect, ..played })?;
        verdict = verdict.and(report.verdict);
    }
    Ok(verdict.kept()?)
}
