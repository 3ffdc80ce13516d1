//! `gradepin-testkit bench`: benchmarks that compare alternatives in one run.

use super::shared::daemon;
use crate::{bench, fleet};
use clap::{Args, Subcommand};
use std::error::Error;
use std::path::PathBuf;

/// Arguments of `bench`.
#[derive(Debug, Args)]
pub struct BenchArgs {
    #[command(subcommand)]
    what: Benchmark,
}

/// Benchmark to run.
#[derive(Debug, Subcommand)]
pub enum Benchmark {
    /// Registry client: calls, bytes and memory, and CPU time of the daemon with and without a registry
    Registry(RegistryArgs),
    /// Idempotency table: timing wheel, full sweep and ordered set
    Keys(KeysArgs),
    /// Event queue of the model: calendar queue, heap and ordered map
    Queue(QueueArgs),
    /// Gossip: counter merges, membership alone, and CPU time and memory of the daemon with and without it
    Peers(PeersArgs),
    /// Permits: time until granted, disk syncs and stored bytes
    Council(CouncilArgs),
    /// Heavy-client sketch compared to a complete map, and two fair queueing algorithms
    Doors(DoorsArgs),
    /// Stores for keyed runs: segmented log, redb and fjall under the same load
    Store(StoreArgs),
    /// Loss while the admission control of a restarted server learns its estimates again
    Restart(RestartArgs),
    /// Time until servers restarted under load pass health checks
    Ready(ReadyArgs),
    /// Start-up time and memory by the number of records in the store
    Starts(StartsArgs),
    /// CPU time per request and memory per connection: Thrift, SCGI, another build, and a minimal forwarder
    Fronts(FrontsArgs),
    /// Closed-loop clients without retries: fraction of rejected requests and latency of the others
    Door(DoorArgs),
}

/// Arguments of `bench registry`.
#[derive(Debug, Args)]
pub struct RegistryArgs {
    /// Seconds of load for the CPU
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `bench keys`.
#[derive(Debug, Args)]
pub struct KeysArgs {
    /// Numbers of keys
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 10_000, 100_000, 1_000_000])]
    pub sizes: Vec<usize>,
}

/// Arguments of `bench queue`.
#[derive(Debug, Args)]
pub struct QueueArgs {
    /// Numbers of pending events
    #[arg(long, value_delimiter = ',', default_values_t = [10_000, 100_000, 1_000_000, 10_000_000])]
    pub sizes: Vec<usize>,
}

/// Arguments of `bench peers`.
#[derive(Debug, Args)]
pub struct PeersArgs {
    /// Numbers of members in the benchmark of membership alone
    #[arg(long, value_delimiter = ',', default_values_t = [12, 300, 2_000])]
    pub sizes: Vec<usize>,
    /// Request rates per second and server, for three servers
    #[arg(long, value_delimiter = ',', default_values_t = [50.0, 400.0])]
    pub rates: Vec<f64>,
    /// Seconds of load for the CPU
    #[arg(long, default_value_t = 6)]
    pub seconds: u64,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `bench council`.
#[derive(Debug, Args)]
pub struct CouncilArgs {
    /// Numbers of voters
    #[arg(long, value_delimiter = ',', default_values_t = [3, 5])]
    pub sizes: Vec<usize>,
    /// Grants per number of voters
    #[arg(long, default_value_t = 10_000)]
    pub grants: u64,
}

/// Arguments of `bench doors`.
#[derive(Debug, Args)]
pub struct DoorsArgs {
    /// Numbers of clients
    #[arg(long, value_delimiter = ',', default_values_t = [100, 10_000, 1_000_000])]
    pub sizes: Vec<usize>,
}

/// Arguments of `bench store`.
#[derive(Debug, Args)]
pub struct StoreArgs {
    /// Rates of keyed requests per second
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1_000, 10_000])]
    pub rates: Vec<u64>,
    /// Seconds per measurement
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Parent folder of the files; they are removed at the end
    #[arg(long)]
    pub folder: Option<PathBuf>,
}

/// Arguments of `bench restart`.
#[derive(Debug, Args)]
pub struct RestartArgs {
    /// Number of seeds
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Loads as fractions of the capacity of the cores
    #[arg(long, value_delimiter = ',', default_values_t = [0.9, 1.1])]
    pub loads: Vec<f64>,
    /// Seconds measured after the restart
    #[arg(long, default_value_t = 18)]
    pub seconds: u64,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `bench ready`.
#[derive(Debug, Args)]
pub struct ReadyArgs {
    /// Number of servers
    #[arg(long, default_value_t = 6)]
    pub servers: usize,
    /// Servers restarted at once
    #[arg(long, default_value_t = 3)]
    pub at_once: usize,
    /// Rounds of restarts
    #[arg(long, default_value_t = 10)]
    pub rounds: usize,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `bench starts`.
#[derive(Debug, Args)]
pub struct StartsArgs {
    /// Numbers of records
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 100_000, 1_000_000])]
    pub sizes: Vec<usize>,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `bench fronts`.
#[derive(Debug, Args)]
pub struct FrontsArgs {
    /// Active connections
    #[arg(long, default_value_t = 16)]
    pub connections: usize,
    /// Open requests per connection
    #[arg(long, default_value_t = 1)]
    pub open: usize,
    /// Requests per measurement
    #[arg(long, default_value_t = 30_000)]
    pub requests: usize,
    /// Measurements per alternative
    #[arg(long, default_value_t = 3)]
    pub rounds: usize,
    /// Pin the measured process to this core, as on a machine with one core
    #[arg(long)]
    pub core: Option<usize>,
    /// Another build of the daemon to compare with
    #[arg(long)]
    pub before: Option<PathBuf>,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `bench door`.
#[derive(Debug, Args)]
pub struct DoorArgs {
    /// Number of connections
    #[arg(long, default_value_t = 16)]
    pub connections: usize,
    /// Open requests per connection
    #[arg(long, default_value_t = 4)]
    pub open: usize,
    /// Total number of requests
    #[arg(long, default_value_t = 30_000)]
    pub requests: usize,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Runs a benchmark.
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
    let result = bench::store::compare(&folder, &args.rates, args.seconds);
    fleet::remove(&folder);
    Ok(result?)
}

fn ready(args: ReadyArgs) -> Result<bool, Box<dyn Error>> {
    let at_once = args.at_once.min(args.servers);
    Ok(bench::ready::run(daemon(args.daemon)?, args.servers, at_once, args.rounds, args.seed)?)
}

fn fronts(args: FrontsArgs) -> Result<(), Box<dyn Error>> {
    let FrontsArgs { connections, open, requests, rounds, core, before, daemon: daemon_arg } = args;
    let (daemon, rounds) = (daemon(daemon_arg)?, rounds.max(1));
    let measure = bench::fronts::Measure { daemon, before, connections, open, requests, rounds, core };
    Ok(bench::fronts::run(&measure)?)
}
