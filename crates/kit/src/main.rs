//! The command line of the kit.

use clap::{Parser, Subcommand};
use gradepin_kit::control::Control;
use gradepin_kit::explore::permits::{Small, Without};
use gradepin_kit::fleet::{self, Fleet, FleetSpec};
use gradepin_kit::load::{Fixed, Habit, Live, Proxy, Repeats, Retry, classes};
use gradepin_kit::model::cli::{self as model, ModelCommand};
use gradepin_kit::processor::{Processor, Spec};
use gradepin_kit::registry::faults::Script;
use gradepin_kit::registry::server::{Server, ServerSettings};
use gradepin_kit::registry::state::RegistrySettings;
use gradepin_kit::{bench, drill, explore, forward, measure};
use gradepin_node::registry::Client;
use gradepin_node::settings::ServiceUrl;
use gradepin_registry::instance::{Applications, Instance, Status};
use gradepin_registry::membership::{Op, Reply};
use gradepin_registry::view::Fetch;
use gradepin_registry::wire::Format;
use hdrhistogram::Histogram;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Parser)]
#[command(version, about = "Stand-ins, fleets and drills for gradepin, all on loopback addresses")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Explore permits exhaustively in the small, with every rule and without each of three
    Explore {
        /// Servers; one may be out
        #[arg(long, default_value_t = 4)]
        servers: usize,
        /// Entries at the most
        #[arg(long, default_value_t = 6)]
        entries: u64,
        /// Eras of time
        #[arg(long, default_value_t = 1)]
        eras: u8,
        /// Crashes, and permits that an operator frees
        #[arg(long, default_value_t = 1)]
        crashes: u8,
        /// See `crashes`
        #[arg(long, default_value_t = 1)]
        frees: u8,
        /// Seconds for each of the four at the most
        #[arg(long, default_value_t = 300)]
        seconds: u64,
        /// Threads
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// A fleet of real servers with all their stand-ins and client proxies; a line a second, Ctrl-C drains it
    Fleet {
        /// Servers
        #[arg(long, default_value_t = 3)]
        servers: usize,
        /// First tries a second, of all proxies
        #[arg(long, default_value_t = 120.0)]
        rate: f64,
        /// Client proxies
        #[arg(long, default_value_t = 3)]
        proxies: usize,
        /// Seconds until it drains by itself; 0 for no end
        #[arg(long, default_value_t = 0)]
        seconds: u64,
        /// Seed of everything that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Servers start cold, at 21% of their speed
        #[arg(long)]
        cold: bool,
        /// Take SCGI too
        #[arg(long)]
        scgi: bool,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// A stand-in processor
    Processor {
        /// Where to listen
        #[arg(long, default_value = "127.0.0.1:9300")]
        listen: SocketAddr,
        /// Cores
        #[arg(long, default_value_t = 6)]
        cores: u32,
        /// Speed of a core; 1 is the yardstick
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
        /// Share of the speed that it begins with
        #[arg(long, default_value_t = 1.0)]
        cold_share: f64,
        /// Seconds until it is warm
        #[arg(long, default_value_t = 18.0)]
        warms_in_s: f64,
        /// Mean work of a run, ms on a core of speed 1
        #[arg(long, default_value_t = 60)]
        work_ms: u64,
        /// Seed of the work of each run
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// Slowdowns by time, as '5000 8.4; 20000 1': from 5 s on 8.4 times slower, from 20 s on as usual
        #[arg(long, default_value = "", value_parser = slowdowns)]
        slow: Arc<[(u64, f64)]>,
    },
    /// A stand-in control plane; a line a second with who is ready
    Control {
        /// Where to listen
        #[arg(long, default_value = "127.0.0.1:7946")]
        listen: SocketAddr,
    },
    /// A stand-in registry with Eureka's API; a line a second with what it holds
    Registry {
        /// Where to listen
        #[arg(long, default_value = "127.0.0.1:8761")]
        listen: SocketAddr,
        /// User and password to ask for, as USER:PASSWORD
        #[arg(long)]
        login: Option<String>,
        /// How old an answer with all applications may be, ms
        #[arg(long, default_value_t = 30_000)]
        cache_ms: u64,
        /// Between looks for leases that ran out, ms
        #[arg(long, default_value_t = 60_000)]
        evict_every_ms: u64,
        /// Evict whatever ran out, however many heartbeats are missing
        #[arg(long)]
        no_self_preservation: bool,
        /// Faults by time, as '500 hang; 2500 none'
        #[arg(long, default_value = "")]
        faults: Script,
    },
    /// Asks a registry, or takes an instance out there: for people, and for trying a registry out
    Ask {
        /// Its service URL
        #[arg(long, default_value = "http://127.0.0.1:8761/eureka/v2")]
        url: String,
        /// Speak XML
        #[arg(long)]
        xml: bool,
        #[command(subcommand)]
        what: Question,
    },
    /// Measurements that compare two ways in one run
    Bench {
        #[command(subcommand)]
        what: What,
    },
    /// Open-loop load on servers that run already: Poisson arrivals, times from the schedule, whatever the servers do
    Load {
        /// Where servers take Thrift; several are possible
        #[arg(long, required = true, value_delimiter = ',')]
        thrift: Vec<SocketAddr>,
        /// Where the same servers take SCGI, in the same order
        #[arg(long, value_delimiter = ',')]
        scgi: Vec<SocketAddr>,
        /// The part of the requests that goes over SCGI
        #[arg(long, default_value_t = 0.0, value_parser = share)]
        scgi_share: f64,
        /// First tries a second, of all proxies
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// Client proxies
        #[arg(long, default_value_t = 3)]
        proxies: usize,
        /// Seconds
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Seed of the requests and their arrivals
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// What becomes of a refused request
        #[arg(long, value_enum, default_value_t = RetryHabit::Listed)]
        retry: RetryHabit,
        /// Tries of one request with the habit 'listed'
        #[arg(long, default_value_t = 3)]
        tries: usize,
        /// Go on asking a server that told to stay away
        #[arg(long)]
        deaf: bool,
        /// The part of the keyed requests that is sent a second time, over the other front
        #[arg(long, default_value_t = 0.0, value_parser = share)]
        repeats: f64,
        /// Times the classes' aims and deadlines are those of the brief, in quarters
        #[arg(long, default_value_t = 4)]
        scale: u32,
    },
    /// A bare forwarder, for measurements: a thread and a processor link a connection, no decisions
    Forward {
        /// Where it listens for Thrift
        #[arg(long)]
        listen: SocketAddr,
        /// The processor of each connection
        #[arg(long, required = true)]
        processor: Vec<SocketAddr>,
    },
    /// The fleet in virtual time: days, sweeps of them, plots
    Model {
        #[command(subcommand)]
        command: ModelCommand,
    },
    /// Plays failures against real servers; a line a claim, status 1 if any is not kept, 3 if the machine was too late to say
    Drill {
        #[command(subcommand)]
        which: Which,
    },
}

/// What a client proxy does about a refusal.
#[derive(Debug, Clone, Copy, clap::ValueEnum)]
enum RetryHabit {
    /// Tries each other server of its list, up to a number of tries
    Listed,
    /// Tries at once, down the list and round again
    Unlimited,
    /// Waits as long as the refusal says
    Patient,
}

fn share(text: &str) -> Result<f64, String> {
    let share = text.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
    share.ok_or_else(|| format!("expected a number from 0 to 1, got '{text}'"))
}

#[derive(Subcommand)]
enum Question {
    /// All instances
    Apps,
    /// What changed of late
    Delta,
    /// The instances of one application
    App { app: String },
    /// The instances under one VIP address
    Vip { vip: String },
    /// One instance
    Instance { app: String, id: String },
    /// Set an override: out of service
    Out { app: String, id: String },
    /// Remove the override: up
    In { app: String, id: String },
    /// Set one key of an instance's metadata
    Metadata { app: String, id: String, key: String, value: String },
    /// Remove a registration
    Cancel { app: String, id: String },
}

#[derive(Subcommand)]
enum What {
    /// Calls at a registry, bytes, memory, and the daemon's CPU with and without
    Registry {
        /// Seconds of load for the CPU
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// The table of keyed requests: the wheel, a sweep over everything, an ordered set
    Keys {
        /// Keys
        #[arg(long, value_delimiter = ',', default_values_t = [1_000, 10_000, 100_000, 1_000_000])]
        sizes: Vec<usize>,
    },
    /// The model's queue of events: calendar, heap, ordered map
    Queue {
        /// Pending events
        #[arg(long, value_delimiter = ',', default_values_t = [10_000, 100_000, 1_000_000, 10_000_000])]
        sizes: Vec<usize>,
    },
    /// Servers that talk: a merge, the membership by itself, the daemon's CPU and memory with it and without
    Peers {
        /// Members of the membership by itself
        #[arg(long, value_delimiter = ',', default_values_t = [12, 300, 2_000])]
        sizes: Vec<usize>,
        /// Requests a second of each of three servers
        #[arg(long, value_delimiter = ',', default_values_t = [50.0, 400.0])]
        rates: Vec<f64>,
        /// Seconds of load for the CPU
        #[arg(long, default_value_t = 6)]
        seconds: u64,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// What a permit costs: time until a server may begin, syncs, bytes kept
    Council {
        /// Voters
        #[arg(long, value_delimiter = ',', default_values_t = [3, 5])]
        sizes: Vec<usize>,
        /// Grants of each
        #[arg(long, default_value_t = 10_000)]
        grants: u64,
    },
    /// The sketch of heavy clients beside a map of all, and two ways to take turns
    Doors {
        /// Clients
        #[arg(long, value_delimiter = ',', default_values_t = [100, 10_000, 1_000_000])]
        sizes: Vec<usize>,
    },
    /// Ways to keep keyed runs: the segmented log, redb and fjall, on the same load
    Store {
        /// Keyed requests a second
        #[arg(long, value_delimiter = ',', default_values_t = [100, 1_000, 10_000])]
        rates: Vec<u64>,
        /// Seconds of each
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Where the files go; a folder that doesn't survive is made there
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// What a server loses by what its module learns again after a restart
    Restart {
        /// Seeds
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Loads, as parts of what the cores can do
        #[arg(long, value_delimiter = ',', default_values_t = [0.9, 1.1])]
        loads: Vec<f64>,
        /// Seconds from the start
        #[arg(long, default_value_t = 18)]
        seconds: u64,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// How soon servers that are started anew under load answer health checks as good
    Ready {
        /// Servers
        #[arg(long, default_value_t = 6)]
        servers: usize,
        /// Started anew at a time
        #[arg(long, default_value_t = 3)]
        at_once: usize,
        /// Times
        #[arg(long, default_value_t = 10)]
        rounds: usize,
        /// Seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// How long a start takes with so many records in the store, and what memory
    Starts {
        /// Records
        #[arg(long, value_delimiter = ',', default_values_t = [1_000, 100_000, 1_000_000])]
        sizes: Vec<usize>,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// CPU a request and bytes a connection: Thrift, SCGI, another build, and a bare forwarder of the same bytes
    Fronts {
        /// Connections at work
        #[arg(long, default_value_t = 16)]
        connections: usize,
        /// Requests open on each
        #[arg(long, default_value_t = 1)]
        open: usize,
        /// Requests of each measurement
        #[arg(long, default_value_t = 30_000)]
        requests: usize,
        /// Measurements of each way
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Hold what is measured to this core, as on a machine with one
        #[arg(long)]
        core: Option<usize>,
        /// Another build of the daemon, measured beside it
        #[arg(long)]
        before: Option<PathBuf>,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// Callers that ask once, with so many requests open: how many are turned away, and how long the others take
    Door {
        /// Connections
        #[arg(long, default_value_t = 16)]
        connections: usize,
        /// Requests open on each
        #[arg(long, default_value_t = 4)]
        open: usize,
        /// Requests in all
        #[arg(long, default_value_t = 30_000)]
        requests: usize,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum Which {
    /// Kills under load: saves run once, and stations that insist get their answers
    Recovery {
        /// Seed of everything that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Kills with the store; half as many without
        #[arg(long, default_value_t = 50)]
        kills: usize,
        /// Without the protection: servers have no store. Must fail
        #[arg(long)]
        plain: bool,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// Servers that agree on who may be out: a release, and a bad one that stops and goes back, under load
    Release {
        /// Seed of everything that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Servers, in three zones; three are voters
        #[arg(long, default_value_t = 9)]
        servers: usize,
        /// With faults drawn between them: kills, stops, cuts
        #[arg(long)]
        faults: bool,
        /// Without limits on what may be out. Must fail
        #[arg(long)]
        plain: bool,
        /// The part of all cores that is asked for
        #[arg(long, default_value_t = 0.8)]
        load: f64,
        /// Seconds of load without a release, to hold the others against
        #[arg(long, default_value_t = 15)]
        quiet: u64,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// Servers that share the ledger's slots, with faults between them: the bound, leases, and who is there
    Shared {
        /// Seed of everything that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Servers
        #[arg(long, default_value_t = 8)]
        servers: usize,
        /// Seconds; faults begin after 12 and end 9 before the end
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Without the protection: leases have no rules of time. Must fail
        #[arg(long)]
        plain: bool,
        /// Write what was seen there, an entry a line
        #[arg(long)]
        history: Option<PathBuf>,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// Mixed traffic over both fronts, past capacity
    Scgi {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs, each with the next seed
        #[arg(long, default_value_t = 5)]
        runs: usize,
        /// Seconds of each
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Load as a part of what the cores can do
        #[arg(long, default_value_t = 1.1)]
        load: f64,
        /// Without the protection: repeats don't share a token, as if each front had a table of its own. Must fail
        #[arg(long)]
        plain: bool,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
    /// Drains under load while the registry fails
    Registry {
        /// Seed of everything that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Drains in all
        #[arg(long, default_value_t = 100)]
        drains: usize,
        /// Fleets beside one another
        #[arg(long, default_value_t = 5)]
        fleets: usize,
        /// Servers in each
        #[arg(long, default_value_t = 4)]
        servers: usize,
        /// First tries a second in each
        #[arg(long, default_value_t = 120.0)]
        rate: f64,
        /// Without the protection: servers register nowhere. Must fail
        #[arg(long)]
        plain: bool,
        /// The daemon's program, if it is not beside this one
        #[arg(long)]
        daemon: Option<PathBuf>,
    },
}

/// Steps of so many milliseconds since the start, and how many times slower from then on.
fn slowdowns(text: &str) -> Result<Arc<[(u64, f64)]>, String> {
    let steps = text.split(';').map(str::trim).filter(|step| !step.is_empty()).map(|step| {
        let (ms, times) = step.split_once(' ').ok_or("expected MS TIMES")?;
        let ms = ms.parse().map_err(|_| format!("expected milliseconds, got '{ms}'"))?;
        let times: f64 = times.trim().parse().map_err(|_| format!("expected a number, got '{times}'"))?;
        if times >= 1.0 { Ok((ms, times)) } else { Err(format!("expected 1 or more, got {times}")) }
    });
    steps.collect()
}

/// Set by Ctrl-C and SIGTERM.
fn end() -> std::io::Result<Arc<AtomicBool>> {
    let end = Arc::<AtomicBool>::default();
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&end))?;
    }
    Ok(end)
}

/// Calls once a second until the end.
fn each_second(mut line: impl FnMut(u64) -> bool) -> std::io::Result<()> {
    let (end, start) = (end()?, Instant::now());
    for second in 1.. {
        while start.elapsed() < Duration::from_secs(second) {
            if end.load(Ordering::Relaxed) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        if !line(second) {
            return Ok(());
        }
    }
    Ok(())
}

fn daemon(told: Option<PathBuf>) -> std::io::Result<PathBuf> {
    told.map_or_else(fleet::daemon, Ok)
}

fn run(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::Fleet { servers, rate, proxies, seconds, seed, cold, scgi, daemon: told } => {
            let folder = fleet::folder("fleet")?;
            let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(60))).collect();
            let cold_share = if cold { 0.21 } else { 1.0 };
            let spec = FleetSpec {
                daemon: daemon(told)?,
                servers,
                processor: Spec { classes: work, seed, cold_share, ..Spec::default() },
                callers: proxies,
                scgi,
                folder: folder.clone(),
                ..FleetSpec::default()
            };
            let mut fleet = Fleet::start(&spec)?;
            println!(
                "{servers} servers, {proxies} proxies, {rate} requests a second; logs in {}",
                folder.display()
            );
            let all: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address).collect();
            let list = |of: &dyn Fn(SocketAddr) -> SocketAddr| {
                all.iter().map(|&server| of(server).to_string()).collect::<Vec<_>>().join(",")
            };
            println!("Thrift at {}", list(&|server| server));
            if scgi {
                println!("SCGI at {}", list(&fleet::scgi_of));
            }
            let start = |n: usize| {
                let list = Fixed { all: all.clone(), turn: n };
                let habit = Habit::thrift(rate / proxies.max(1) as f64, 3, true);
                Proxy::start(n as u64 + 1, seed + n as u64, habit, Box::new(list))
            };
            let running = (0..proxies).map(start).collect::<std::io::Result<Vec<Proxy>>>()?;
            each_second(|second| {
                let mut sum = Live::default();
                running.iter().map(Proxy::live).for_each(|live| sum.add(live));
                let mut times = Histogram::<u64>::new(3).ok();
                for &us in &sum.times_us {
                    times.iter_mut().for_each(|all| all.record(us).unwrap_or_default());
                }
                let at = |q| times.as_ref().map_or(0, |all| all.value_at_quantile(q)) / 1000;
                let running: Vec<String> =
                    fleet.nodes.iter().map(|node| node.processor.running().to_string()).collect();
                println!(
                    "{second:>4} s  asked {:>5}  in time {:>5}  late {:>3}  unserved {:>3}  refused {:>4}  p50 {:>4} ms  p99 {:>4} ms  running {}",
                    sum.arrived,
                    sum.served,
                    sum.late,
                    sum.unserved,
                    sum.refused,
                    at(0.5),
                    at(0.99),
                    running.join(" ")
                );
                seconds == 0 || second < seconds
            })?;
            println!("draining");
            let books: Vec<_> = running.into_iter().map(Proxy::stop).collect();
            fleet.drain();
            let requests: usize = books.iter().map(|books| books.requests.len()).sum();
            let served = books
                .iter()
                .flat_map(|books| &books.requests)
                .filter(|asked| asked.took_ms.is_some())
                .count();
            println!("{requests} requests, {served} served");
            fleet::remove(&folder);
            Ok(true)
        }
        Command::Processor { listen, cores, speed, cold_share, warms_in_s, work_ms, seed, slow } => {
            let classes = vec![("any".to_string(), Duration::from_millis(work_ms))];
            let warms_in = Duration::from_secs_f64(warms_in_s.max(0.0));
            let spec = Spec { cores, speed, cold_share, warms_in, classes, seed, ..Spec::default() };
            let processor = Processor::start(listen, spec)?;
            println!("a processor of {cores} cores at {}", processor.address());
            each_second(|second| {
                let steps = slow.iter().filter(|(ms, _)| *ms <= second * 1000);
                processor.slow_down(steps.max_by_key(|(ms, _)| *ms).map_or(1.0, |(_, times)| *times));
                println!(
                    "{second:>4} s  running {:>3}  begun {:>4}",
                    processor.running(),
                    processor.begun().len()
                );
                true
            })?;
            Ok(true)
        }
        Command::Control { listen } => {
            let control = Control::start(listen)?;
            println!("a control plane at {}", control.address());
            each_second(|second| {
                println!(
                    "{second:>4} s  ready: {}",
                    control.roster().ready(Instant::now(), Duration::ZERO).join(" ")
                );
                true
            })?;
            Ok(true)
        }
        Command::Registry { listen, login, cache_ms, evict_every_ms, no_self_preservation, faults } => {
            let rules = RegistrySettings {
                cache_ms,
                evict_every_ms,
                preserves: !no_self_preservation,
                ..RegistrySettings::default()
            };
            let login = login.map(|login| {
                let (user, password) = login.split_once(':').ok_or("expected USER:PASSWORD")?;
                Ok::<_, &str>((user.to_string(), password.to_string()))
            });
            let set = ServerSettings {
                rules,
                login: login.transpose()?,
                script: faults,
                ..ServerSettings::default()
            };
            let server = Server::start(listen, set)?;
            println!("a registry at {}", server.url());
            each_second(|second| {
                println!("{second:>4} s  {}", server.summary());
                true
            })?;
            Ok(true)
        }
        Command::Ask { url, xml, what } => ask(&url, if xml { Format::Xml } else { Format::Json }, what),
        Command::Bench { what: What::Registry { seconds, daemon: told } } => {
            bench::registry(daemon(told)?, seconds)?;
            Ok(true)
        }
        Command::Load {
            thrift,
            scgi,
            scgi_share,
            rate,
            proxies,
            seconds,
            seed,
            retry,
            tries,
            deaf,
            repeats,
            scale,
        } => {
            let retry = match retry {
                RetryHabit::Listed => Retry::Listed(tries),
                RetryHabit::Unlimited => Retry::Unlimited,
                RetryHabit::Patient => Retry::Patient,
            };
            let repeats = Repeats { share: repeats, within_ms: 250 * u64::from(scale), strangers: false };
            let heeds = !deaf && retry != Retry::Unlimited;
            let habit = Habit { rate, retry, heeds, scgi_share, repeats };
            Ok(measure::run(&measure::Load { thrift, scgi, proxies, seconds, seed, habit, scale })?)
        }
        Command::Forward { listen, processor } => {
            forward::forward(listen, &processor)?;
            Ok(true)
        }
        Command::Bench {
            what: What::Fronts { connections, open, requests, rounds, core, before, daemon: told },
        } => {
            let daemon = daemon(told)?;
            let rounds = rounds.max(1);
            bench::fronts::run(&bench::fronts::Measure {
                daemon,
                before,
                connections,
                open,
                requests,
                rounds,
                core,
            })?;
            Ok(true)
        }
        Command::Bench { what: What::Door { connections, open, requests, daemon: told } } => {
            bench::door(daemon(told)?, connections, open, requests)?;
            Ok(true)
        }
        Command::Bench { what: What::Keys { sizes } } => {
            bench::keys::run(&sizes);
            Ok(true)
        }
        Command::Bench { what: What::Peers { sizes, rates, seconds, daemon: told } } => {
            bench::peers::run(&daemon(told)?, &sizes, &rates, seconds)?;
            Ok(true)
        }
        Command::Bench { what: What::Council { sizes, grants } } => {
            let folder = fleet::folder("bench-council")?;
            let result = bench::council::run(&folder, &sizes, grants);
            fleet::remove(&folder);
            result?;
            Ok(true)
        }
        Command::Bench { what: What::Doors { sizes } } => {
            bench::doors::run(&sizes);
            Ok(true)
        }
        Command::Bench { what: What::Queue { sizes } } => {
            bench::queue::run(&sizes);
            Ok(true)
        }
        Command::Bench { what: What::Store { rates, seconds, folder } } => {
            let folder = match folder {
                Some(folder) => folder.join(format!("gradepin-bench-{}", std::process::id())),
                None => fleet::folder("bench-store")?,
            };
            std::fs::create_dir_all(&folder)?;
            let done = bench::store::ways(&folder, &rates, seconds);
            fleet::remove(&folder);
            done?;
            Ok(true)
        }
        Command::Bench { what: What::Restart { seeds, loads, seconds, daemon: told } } => {
            bench::restart::run(daemon(told)?, seeds, &loads, seconds)?;
            Ok(true)
        }
        Command::Bench { what: What::Ready { servers, at_once, rounds, seed, daemon: told } } => {
            Ok(bench::ready::run(daemon(told)?, servers, at_once.min(servers), rounds, seed)?)
        }
        Command::Bench { what: What::Starts { sizes, daemon: told } } => {
            bench::store::starts(daemon(told)?, &sizes)?;
            Ok(true)
        }
        Command::Model { command } => model::run(command, &*end()?),
        Command::Explore { servers, entries, eras, crashes, frees, seconds, threads } => {
            let small = Small { servers, entries, eras, crashes, frees, without: Without::Nothing };
            Ok(explore::permits::run(&small, threads, Duration::from_secs(seconds)))
        }
        Command::Drill { which: Which::Recovery { seed, kills, plain, daemon: told } } => {
            let daemon = daemon(told)?;
            Ok(drill::recovery::run(&drill::recovery::Drill { daemon, seed, kills, plain })?)
        }
        Command::Drill {
            which: Which::Release { seed, servers, faults, plain, load, quiet, daemon: told },
        } => {
            let (daemon, quiet_s) = (daemon(told)?, quiet);
            Ok(drill::release::run(&drill::release::Drill {
                daemon,
                seed,
                servers,
                faults,
                plain,
                timed: true,
                load,
                quiet_s,
            })?
            .kept()?)
        }
        Command::Drill { which: Which::Shared { seed, servers, seconds, plain, history, daemon: told } } => {
            let daemon = daemon(told)?;
            Ok(drill::shared::run(&drill::shared::Drill { daemon, seed, servers, seconds, plain, history })?)
        }
        Command::Drill { which: Which::Scgi { seed, runs, seconds, load, plain, daemon: told } } => {
            let daemon = daemon(told)?;
            Ok(drill::scgi::run(&drill::scgi::Drill { daemon, seed, runs, seconds, load, plain })?)
        }
        Command::Drill {
            which: Which::Registry { seed, drains, fleets, servers, rate, plain, daemon: told },
        } => {
            let daemon = daemon(told)?;
            Ok(drill::registry::run(&drill::registry::Drill {
                daemon,
                seed,
                drains,
                fleets,
                servers,
                rate,
                plain,
            })?)
        }
    }
}

/// Puts one question; false if the registry doesn't know the instance, or won't.
fn ask(url: &str, format: Format, what: Question) -> Result<bool, Box<dyn Error>> {
    const TIMEOUT: Duration = Duration::from_secs(5);
    let client = Client::new(&ServiceUrl::parse(url)?, format);
    let line = |i: &Instance| {
        let (zone, address) = (i.zone().unwrap_or("-"), i.ip.map_or(i.host.clone(), |ip| ip.to_string()));
        println!("{} {} {} {address}:{} zone {zone} vip {}", i.app, i.id, i.status, i.port.number, i.vip);
    };
    let all = |came: Applications| {
        came.instances.iter().for_each(line);
        println!("{} instances, code {}", came.instances.len(), came.hash_code);
        Ok(true)
    };
    let (app, id, op) = match what {
        Question::Apps => return all(client.fetch(Fetch::Full, TIMEOUT)?),
        Question::Delta => return all(client.fetch(Fetch::Delta, TIMEOUT)?),
        Question::App { app } => return all(client.application(&app, TIMEOUT)?),
        Question::Vip { vip } => return all(client.vip(&vip, TIMEOUT)?),
        Question::Metadata { app, id, key, value } => {
            client.metadata(&app, &id, &key, &value, TIMEOUT)?;
            return Ok(true);
        }
        Question::Instance { app, id } => (app, id, Op::Look),
        Question::Out { app, id } => (app, id, Op::Override { status: Status::OutOfService, dirty_ms: 0 }),
        Question::In { app, id } => (app, id, Op::ClearOverride { status: Status::Up, dirty_ms: 0 }),
        Question::Cancel { app, id } => (app, id, Op::Cancel),
    };
    let reply = client.ask(&app, &id, &op, TIMEOUT);
    match &reply {
        Reply::Done => println!("done"),
        Reply::Record(instance) => line(instance),
        Reply::NotFound => println!("no {id} in {app}"),
        Reply::Rejected(status) => println!("answered with status {status}"),
        Reply::Failed(why) => println!("failed: {why}"),
    }
    Ok(matches!(reply, Reply::Done | Reply::Record(_)))
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("gradepin-kit: {message}");
            let not_scored = message.is::<drill::NotScored>();
            ExitCode::from(if not_scored { drill::NotScored::EXIT_STATUS } else { 2 })
        }
    }
}
