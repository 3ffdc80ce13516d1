//! `gradepin-testkit bench`: measurements that compare two ways in one run.

use super::shared::daemon;
use crate::{bench, fleet};
use clap::{Args, Subcommand};
use std::error::Error;
use std::path::PathBuf;

/// Settings of `bench`.
#[derive(Debug, Args)]
pub struct BenchArgs {
    #[command(subcommand)]
    what: Benchmark,
}

/// What is measured.
#[derive(Debug, Subcommand)]
pub enum Benchmark {
    /// Calls at a registry, bytes, memory, and the daemon's CPU with and without
    Registry(RegistryArgs),
    /// The table of keyed requests: the wheel, a sweep over everything, an ordered set
    Keys(KeysArgs),
    /// The model's queue of events: calendar, heap, ordered map
    Queue(QueueArgs),
    /// Servers that talk: a merge, the membership by itself, the daemon's CPU and memory with it and without
    Peers(PeersArgs),
    /// What a permit costs: time until a server may begin, syncs, bytes kept
    Council(CouncilArgs),
    /// The sketch of heavy clients beside a map of all, and two ways to take turns
    Doors(DoorsArgs),
    /// Ways to keep keyed runs: the segmented log, redb and fjall, on the same load
    Store(StoreArgs),
    /// What a server loses by what its module learns again after a restart
    Restart(RestartArgs),
    /// How soon servers that are started anew under load answer health checks as good
    Ready(ReadyArgs),
    /// How long a start takes with so many records in the store, and what memory
    Starts(StartsArgs),
    /// CPU a request and bytes a connection: Thrift, SCGI, another build, and a bare forwarder of the same bytes
    Fronts(FrontsArgs),
    /// Callers that ask once, with so many requests open: how many are turned away, and how long the others take
    Door(DoorArgs),
}

/// Settings of `bench registry`.
#[derive(Debug, Args)]
pub struct RegistryArgs {
    /// Seconds of load for the CPU
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `bench keys`.
#[derive(Debug, Args)]
pub struct KeysArgs {
    /// Keys
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 10_000, 100_000, 1_000_000])]
    pub sizes: Vec<usize>,
}

/// Settings of `bench queue`.
#[derive(Debug, Args)]
pub struct QueueArgs {
    /// Pending events
    #[arg(long, value_delimiter = ',', default_values_t = [10_000, 100_000, 1_000_000, 10_000_000])]
    pub sizes: Vec<usize>,
}

/// Settings of `bench peers`.
#[derive(Debug, Args)]
pub struct PeersArgs {
    /// Members of the membership by itself
    #[arg(long, value_delimiter = ',', default_values_t = [12, 300, 2_000])]
    pub sizes: Vec<usize>,
    /// Requests a second of each of three servers
    #[arg(long, value_delimiter = ',', default_values_t = [50.0, 400.0])]
    pub rates: Vec<f64>,
    /// Seconds of load for the CPU
    #[arg(long, default_value_t = 6)]
    pub seconds: u64,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `bench council`.
#[derive(Debug, Args)]
pub struct CouncilArgs {
    /// Voters
    #[arg(long, value_delimiter = ',', default_values_t = [3, 5])]
    pub sizes: Vec<usize>,
    /// Grants of each
    #[arg(long, default_value_t = 10_000)]
    pub grants: u64,
}

/// Settings of `bench doors`.
#[derive(Debug, Args)]
pub struct DoorsArgs {
    /// Clients
    #[arg(long, value_delimiter = ',', default_values_t = [100, 10_000, 1_000_000])]
    pub sizes: Vec<usize>,
}

/// Settings of `bench store`.
#[derive(Debug, Args)]
pub struct StoreArgs {
    /// Keyed requests a second
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1_000, 10_000])]
    pub rates: Vec<u64>,
    /// Seconds of each
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Where the files go; a folder that doesn't survive is made there
    #[arg(long)]
    pub folder: Option<PathBuf>,
}

/// Settings of `bench restart`.
#[derive(Debug, Args)]
pub struct RestartArgs {
    /// Seeds
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Loads, as parts of what the cores can do
    #[arg(long, value_delimiter = ',', default_values_t = [0.9, 1.1])]
    pub loads: Vec<f64>,
    /// Seconds from the start
    #[arg(long, default_value_t = 18)]
    pub seconds: u64,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `bench ready`.
#[derive(Debug, Args)]
pub struct ReadyArgs {
    /// Servers
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Started anew at a time
    #[arg(long, default_value_t = 3)]
    pub at_once: usize,
    /// Times
    #[arg(long, default_value_t = 10)]
    pub rounds: usize,
    /// Seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `bench starts`.
#[derive(Debug, Args)]
pub struct StartsArgs {
    /// Records
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 100_000, 1_000_000])]
    pub sizes: Vec<usize>,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `bench fronts`.
#[derive(Debug, Args)]
pub struct FrontsArgs {
    /// Connections at work
    #[arg(long, default_value_t = 16)]
    pub connections: usize,
    /// Requests open on each
    #[arg(long, default_value_t = 1)]
    pub open: usize,
    /// Requests of each measurement
    #[arg(long, default_value_t = 30_000)]
    pub requests: usize,
    /// Measurements of each way
    #[arg(long, default_value_t = 3)]
    pub rounds: usize,
    /// Hold what is measured to this core, as on a machine with one
    #[arg(long)]
    pub core: Option<usize>,
    /// Another build of the daemon, measured beside it
    #[arg(long)]
    pub before: Option<PathBuf>,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Settings of `bench door`.
#[derive(Debug, Args)]
pub struct DoorArgs {
    /// Connections
    #[arg(long, default_value_t = 16)]
    pub connections: usize,
    /// Requests open on each
    #[arg(long, default_value_t = 4)]
    pub open: usize,
    /// Requests in all
    #[arg(long, default_value_t = 30_000)]
    pub requests: usize,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Measures.
pub fn run(args: BenchArgs) -> Result<bool, Box<dyn Error>> {
    match args.what {
        Benchmark::Registry(args) => bench::registry(daemon(args.daemon)?, args.seconds)?,
        Benchmark::Keys(args) => bench::keys::run(&args.sizes),
        Benchmark::Queue(args) => bench::queue::run(&args.sizes),
        Benchmark::Peers(args) => {
            bench::peers::run(&daemon(args.daemon)?, &args.sizes, &args.rates, args.seconds)?;
        }
        Benchmark::Council(args) => council(&args)?,
        Benchmark::Doors(args) => bench::doors::run(&args.sizes),
        Benchmark::Store(args) => store(&args)?,
        Benchmark::Restart(args) => {
            bench::restart::run(daemon(args.daemon)?, args.seeds, &args.loads, args.seconds)?;
        }
        Benchmark::Ready(args) => return ready(args),
        Benchmark::Starts(args) => bench::store::starts(daemon(args.daemon)?, &args.sizes)?,
        Benchmark::Fronts(args) => fronts(args)?,
        Benchmark::Door(args) => {
            bench::door(daemon(args.daemon)?, args.connections, args.open, args.requests)?;
        }
    }
    Ok(true)
}

fn council(args: &CouncilArgs) -> Result<(), Box<dyn Error>> {
    let folder = fleet::folder("bench-council")?;
    let result = bench::council::run(&folder, &args.sizes, args.grants);
    fleet::remove(&folder);
    Ok(result?)
}

fn store(args: &StoreArgs) -> Result<(), Box<dyn Error>> {
    let folder = match &args.folder {
        Some(folder) => folder.join(format!("gradepin-bench-{}", std::process::id())),
        None => fleet::folder("bench-store")?,
    };
    std::fs::create_dir_all(&folder)?;
    let result = bench::store::ways(&folder, &args.rates, args.seconds);
    fleet::remove(&folder);
    Ok(result?)
}

fn ready(args: ReadyArgs) -> Result<bool, Box<dyn Error>> {
    let at_once = args.at_once.min(args.servers);
    Ok(bench::ready::run(daemon(args.daemon)?, args.servers, at_once, args.rounds, args.seed)?)
}

fn fronts(args: FrontsArgs) -> Result<(), Box<dyn Error>> {
    let FrontsArgs { connections, open, requests, rounds, core, before, daemon: told } = args;
    let (daemon, rounds) = (daemon(told)?, rounds.max(1));
    let measure = bench::fronts::Measure { daemon, before, connections, open, requests, rounds, core };
    Ok(bench::fronts::run(&measure)?)
}
