//! `gradepin-testkit fleet`: real servers under load, with one line per second.

use super::shared::{daemon, each_second};
use crate::fleet::{self, Fleet, FleetSpec};
use crate::load::{IntervalCounts, Proxy, ProxyBehavior, Records, StaticServers, classes};
use crate::processor::Spec;
use clap::Args;
use hdrhistogram::Histogram;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Arguments of `fleet`.
#[derive(Debug, Args)]
pub struct FleetArgs {
    /// Number of servers
    #[arg(long, default_value_t = 3)]
    pub servers: usize,
    /// Requests per second of all proxies, without retries
    #[arg(long, default_value_t = 120.0)]
    pub rate: f64,
    /// Number of client proxies
    #[arg(long, default_value_t = 3)]
    pub proxies: usize,
    /// Seconds until the fleet drains; 0 to run until a signal
    #[arg(long, default_value_t = 0)]
    pub seconds: u64,
    /// Random seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Start processors cold, at 21% of their speed
    #[arg(long)]
    pub cold: bool,
    /// Accept SCGI too
    #[arg(long)]
    pub scgi: bool,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Starts the fleet and its proxies, prints one line per second until the end, and drains the fleet.
pub fn run(args: FleetArgs) -> Result<bool, Box<dyn Error>> {
    let folder = fleet::folder("fleet")?;
    let mut fleet = start(&args, &folder)?;
    let servers: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address).collect();
    print_addresses(&args, &servers, &folder);
    let running = proxies(&args, &servers)?;
    each_second(|second| {
        print_second(second, &running, &fleet);
        args.seconds == 0 || second < args.seconds
    })?;
    println!("draining");
    let books: Vec<Records> = running.into_iter().map(Proxy::stop).collect();
    fleet.drain();
    let requests: usize = books.iter().map(|books| books.requests.len()).sum();
    let served =
        books.iter().flat_map(|books| &books.requests).filter(|asked| asked.took_ms.is_some()).count();
    println!("{requests} requests, {served} served");
    fleet::remove(&folder);
    Ok(true)
}

fn start(args: &FleetArgs, folder: &Path) -> io::Result<Fleet> {
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(60))).collect();
    let cold_capacity = if args.cold { 0.21 } else { 1.0 };
    Fleet::start(&FleetSpec {
        daemon: daemon(args.daemon.clone())?,
        servers: args.servers,
        processor: Spec { classes: work, seed: args.seed, cold_capacity, ..Spec::default() },
        callers: args.proxies,
        scgi: args.scgi,
        folder: folder.to_path_buf(),
        ..FleetSpec::default()
    })
}

fn print_addresses(args: &FleetArgs, servers: &[SocketAddr], folder: &Path) {
    println!(
        "{} servers, {} proxies, {} requests a second; logs in {}",
        args.servers,
        args.proxies,
        args.rate,
        folder.display()
    );
    let list = |of: &dyn Fn(SocketAddr) -> SocketAddr| {
        servers.iter().map(|&server| of(server).to_string()).collect::<Vec<_>>().join(",")
    };
    println!("Thrift at {}", list(&|server| server));
    if args.scgi {
        println!("SCGI at {}", list(&fleet::scgi_of));
    }
}

fn proxies(args: &FleetArgs, servers: &[SocketAddr]) -> io::Result<Vec<Proxy>> {
    let start = |n: usize| {
        let list = StaticServers { all: servers.to_vec(), turn: n };
        let habit = ProxyBehavior::thrift(args.rate / args.proxies.max(1) as f64, 3, true);
        Proxy::start(n as u64 + 1, args.seed + n as u64, habit, Box::new(list))
    };
    (0..args.proxies).map(start).collect()
}

fn print_second(second: u64, proxies: &[Proxy], fleet: &Fleet) {
    let mut sum = IntervalCounts::default();
    proxies.iter().map(Proxy::live).for_each(|live| sum.add(live));
    let mut times = Histogram::<u64>::new(3).ok();
    for &us in &sum.times_us {
        times.iter_mut().for_each(|all| all.record(us).unwrap_or_default());
    }
    let at = |q| times.as_ref().map_or(0, |all| all.value_at_quantile(q)) / 1000;
    let running: Vec<String> = fleet.nodes.iter().map(|node| node.processor.running().to_string()).collect();
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
}
