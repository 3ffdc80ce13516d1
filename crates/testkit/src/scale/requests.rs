//! `gradepin-testkit scale requests`: CPU time and added latency of a request by the size of the settings, under open-loop load.

use super::budgets::{ADDED_MS, REQUESTS_S, TENANTS};
use super::figure::{Budget, Claim, Figure};
use super::load_delay::{LoadDelay, times};
use super::options::{Options, check_interrupted, check_resources, progress};
use super::report::Report;
use super::server::{Server, ServerSpec};
use crate::load::{IntervalCounts, Proxy, ProxyBehavior, StaticServers};
use crate::{fleet, interrupt};
use clap::Args;
use hdrhistogram::Histogram;
use serde_json::json;
use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

/// Default sizes, in tenants.
const SIZES: [u64; 5] = [11, 110, 1_100, 11_000, 110_000];
const MEMORY_NEEDED_MB: u64 = 600;
const DESCRIPTORS: u64 = 256;
/// Interval between two disturbances.
const DISTURBANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Latency that a request without a result counts with, in microseconds.
const UNSERVED_LATENCY_US: u64 = 10_000_000;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct RequestsArgs {
    /// Common arguments; sizes are tenants, with one class per eleven tenants
    #[command(flatten)]
    pub options: Options,
    /// Requests per second
    #[arg(long, default_value_t = REQUESTS_S)]
    pub rate: f64,
    /// Seconds per measurement
    #[arg(long, default_value_t = 6.0)]
    pub seconds: f64,
    /// Maximum 99th percentile of the load generator's own delay, in ms; beyond it a run isn't scored
    #[arg(long, default_value_t = 1.0)]
    pub most_lag_ms: f64,
    /// Skip the reloads, which keep some older daemons busy for most of a minute
    #[arg(long)]
    pub no_reloads: bool,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Disturbance during a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    Nothing,
    Reloads,
    Links,
}

/// Results of one measurement.
struct Measured {
    cpu_us: f64,
    p50_ms: f64,
    p99_ms: f64,
    unserved: u64,
    lag: LoadDelay,
}

/// Runs the measurements; returns `false` if a budget that is claimed to hold doesn't, or if the load itself was late.
pub fn run(args: &RequestsArgs) -> Result<bool, Box<dyn Error>> {
    let end = interrupt::flag()?;
    check_resources(DESCRIPTORS, MEMORY_NEEDED_MB)?;
    let daemon = args.daemon.clone().map_or_else(fleet::daemon, Ok)?;
    let sizes = args.options.sizes_or(&SIZES);
    let bar = progress(sizes.len() * 3, "requests");
    let mut table = Table::new();
    let mut lag = LoadDelay::default();
    for tenants in sizes {
        let spec = ServerSpec { daemon: &daemon, tenants, sockets: 1_024, seed: args.options.seed };
        let server = Server::start(&spec)?;
        for disturbance in [Disturbance::Nothing, Disturbance::Links, Disturbance::Reloads] {
            check_interrupted(&end)?;
            bar.set_message(format!("{tenants} tenants, beside {disturbance:?}"));
            if disturbance != Disturbance::Reloads || !args.no_reloads {
                let measured = measure(args, &server, disturbance, &end)?;
                lag = lag.worse(measured.lag);
                table.add(tenants, disturbance, &measured);
            }
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    args.options.finish(&Report {
        command: "requests",
        sizes_of: "tenants, with a class for each eleven",
        target: args.options.target_or(TENANTS),
        seed: args.options.seed,
        figures: table.figures(),
        not_scored: lag.not_scored_reason(args.most_lag_ms),
    })
}

fn measure(
    args: &RequestsArgs,
    server: &Server,
    disturbance: Disturbance,
    end: &AtomicBool,
) -> Result<Measured, Box<dyn Error>> {
    let list = StaticServers { all: vec![server.node().address], turn: 0 };
    // Each measurement has its own number and seed, because the server remembers the request IDs of the previous one.
    let number = disturbance as u64 + 1;
    let seed = args.options.seed.wrapping_mul(1_000).wrapping_add(number);
    let proxy = Proxy::start(number, seed, ProxyBehavior::thrift(args.rate, 1, false), Box::new(list))?;
    // Excludes the first requests, which open the connection.
    thread::sleep(Duration::from_millis(300));
    proxy.live();
    let (cpu, begin) = (server.cpu(), Instant::now());
    let (mut next, mut counts) = (begin + DISTURBANCE_INTERVAL / 2, IntervalCounts::default());
    while begin.elapsed().as_secs_f64() < args.seconds {
        check_interrupted(end)?;
        thread::sleep(Duration::from_millis(20));
        counts.add(proxy.live());
        if Instant::now() >= next {
            next += DISTURBANCE_INTERVAL;
            disturb(server, disturbance)?;
        }
    }
    let cpu = server.cpu().saturating_sub(cpu);
    proxy.stop();
    summarize(&counts, cpu)
}

fn disturb(server: &Server, disturbance: Disturbance) -> Result<(), Box<dyn Error>> {
    match disturbance {
        Disturbance::Nothing => {}
        Disturbance::Links => server.node().processor.cut_link(),
        Disturbance::Reloads => {
            server.node().edit(|config| {
                let tenants = config["settings"]["customers"].as_array_mut();
                if let Some(last) = tenants.and_then(|tenants| tenants.last_mut()) {
                    last["quota_rps"] = json!(last["quota_rps"].as_f64().unwrap_or(0.0) + 1.0);
                }
            })?;
            server.node().reload();
        }
    }
    Ok(())
}

fn summarize(counts: &IntervalCounts, cpu: Duration) -> Result<Measured, Box<dyn Error>> {
    let mut added = Histogram::<u64>::new(3)?;
    let unserved = counts.unserved + counts.refused;
    counts.times_us.iter().try_for_each(|&us| added.record(us))?;
    added.record_n(UNSERVED_LATENCY_US, unserved)?;
    let at = |part: f64| added.value_at_quantile(part) as f64 / 1e3;
    Ok(Measured {
        cpu_us: cpu.as_secs_f64() * 1e6 / counts.arrived.max(1) as f64,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        unserved,
        lag: LoadDelay::of(&times(counts))?,
    })
}

/// Figures under construction.
struct Table {
    cpu: Figure,
    p50: Figure,
    p99: Figure,
    links_p99: Figure,
    reloads_p99: Figure,
    unserved: Figure,
    lag: Figure,
}

impl Table {
    fn new() -> Self {
        let p99 = |id, what, claim| Figure::new(id, what, "ms").within(Budget::at_most(ADDED_MS, claim));
        Self {
            cpu: Figure::new("requests.cpu", "CPU of the server a request, idle CPU included", "us"),
            p50: Figure::new("requests.added-p50", "answer less run, half of the requests", "ms"),
            p99: p99("requests.added-p99", "answer less run, 99 in 100", Claim::Holds),
            links_p99: p99("requests.added-p99-links", "the same, the link cut once a second", Claim::Fails),
            reloads_p99: p99(
                "requests.added-p99-reloads",
                "the same, one tenant changed once a second",
                Claim::Fails,
            ),
            unserved: Figure::new("requests.unserved", "not served, of all three measurements", "requests"),
            lag: Figure::new("requests.own-lag", "by which the load was late itself, 99 in 100", "ms"),
        }
    }

    fn add(&mut self, size: u64, disturbance: Disturbance, measured: &Measured) {
        match disturbance {
            Disturbance::Nothing => {
                self.cpu.add(size, measured.cpu_us);
                self.p50.add(size, measured.p50_ms);
                self.p99.add(size, measured.p99_ms);
                self.unserved.add(size, measured.unserved as f64);
                self.lag.add(size, measured.lag.p99_ms);
            }
            Disturbance::Links => self.links_p99.add(size, measured.p99_ms),
            Disturbance::Reloads => self.reloads_p99.add(size, measured.p99_ms),
        }
        if let Some(last) = self.unserved.points.last_mut().filter(|_| disturbance != Disturbance::Nothing) {
            last.value += measured.unserved as f64;
        }
    }

    fn figures(self) -> Vec<Figure> {
        vec![self.cpu, self.p50, self.p99, self.links_p99, self.reloads_p99, self.unserved, self.lag]
    }
}
