//! Open-loop load on running servers, with a summary of the results.
//!
//! Arrivals are drawn from a seed and don't wait for answers, and each time counts from the scheduled arrival. So a stalled
//! server is charged for all requests that arrive meanwhile, which a closed-loop client would omit (coordinated omission).

use crate::load::{End, IntervalCounts, Proxy, ProxyBehavior, Records, StaticServers, tally};
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Thrift addresses of the servers.
    pub thrift: Vec<SocketAddr>,
    /// SCGI addresses of the same servers, in the same order; may be empty without SCGI requests.
    pub scgi: Vec<SocketAddr>,
    /// Number of client proxies; at least one is used.
    pub proxies: usize,
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Seed of requests and arrivals.
    pub seed: u64,
    /// Behavior of each proxy; `rate` is the total of all proxies.
    pub behavior: ProxyBehavior,
    /// Factor on the times of the classes; 4 gives the full times.
    pub scale: u32,
}

/// Parameters that no load can run with.
#[derive(Debug, thiserror::Error)]
enum InvalidLoad {
    #[error("expected an SCGI address for each of {servers} servers, got {scgi}: some requests go over SCGI")]
    Scgi { servers: usize, scgi: usize },
    #[error("expected a rate above 0, got {0}")]
    Rate(f64),
}

/// Runs the load and prints one line per second and a summary; returns `false` if an attempt got no answer.
pub fn run(load: &Load) -> io::Result<bool> {
    let uses_scgi = load.behavior.scgi_share > 0.0 || load.behavior.repeats.share > 0.0;
    if uses_scgi && load.scgi.len() != load.thrift.len() {
        let (servers, scgi) = (load.thrift.len(), load.scgi.len());
        return Err(io::Error::other(InvalidLoad::Scgi { servers, scgi }));
    }
    if load.behavior.rate.is_nan() || load.behavior.rate <= 0.0 {
        return Err(io::Error::other(InvalidLoad::Rate(load.behavior.rate)));
    }
    let scgi_addresses = load.thrift.iter().copied().zip(load.scgi.iter().copied()).collect();
    let proxies = load.proxies.max(1);
    let behavior = ProxyBehavior { rate: load.behavior.rate / proxies as f64, ..load.behavior.clone() };
    let start = |n: usize| {
        let list = StaticServers { all: load.thrift.clone(), turn: n };
        let seed = load.seed.wrapping_mul(1_000).wrapping_add(n as u64);
        Proxy::start_with(n as u64 + 1, seed, behavior.clone(), Box::new(list), &scgi_addresses, load.scale)
    };
    let running = (0..proxies).map(start).collect::<io::Result<Vec<Proxy>>>()?;
    let (mut times, mut writes) = (histogram()?, histogram()?);
    let mut sum = IntervalCounts::default();
    let start_time = Instant::now();
    for second in 1..=load.seconds {
        thread::sleep(Duration::from_secs(second).saturating_sub(start_time.elapsed()));
        let mut now = IntervalCounts::default();
        running.iter().map(Proxy::live).for_each(|live| now.add(live));
        println!(
            "{second:>4} s  asked {:>6}  in time {:>6}  late {:>5}  unserved {:>5}  refused {:>6}",
            now.arrived, now.served, now.late, now.unserved, now.refused
        );
        record(&mut times, &mut now.times_us)?;
        record(&mut writes, &mut now.writes_us)?;
        sum.add(now);
    }
    let books: Vec<Records> = running.into_iter().map(Proxy::stop).collect();
    println!("{} arrivals, {} served in their aim, {} after it", sum.arrived, sum.served, sum.late);
    for (name, times) in [("from the schedule", &times), ("from the first write", &writes)] {
        let at = |q: f64| times.value_at_quantile(q) as f64 / 1e3;
        println!(
            "time until served, {name}: p50 {:.1} ms, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, most {:.1}",
            at(0.5),
            at(0.9),
            at(0.99),
            at(0.999),
            times.max() as f64 / 1e3
        );
    }
    let ends = tally(books.iter().flat_map(|books| &books.tries));
    Ok(!ends.keys().any(|(_, end)| matches!(end, End::Lost | End::TimedOut)))
}

/// Histogram of microseconds up to a minute, with three significant digits.
fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)
}

fn record(all: &mut Histogram<u64>, times: &mut Vec<u64>) -> io::Result<()> {
    times.drain(..).try_for_each(|us| all.record(us.clamp(1, 60_000_000)).map_err(io::Error::other))
}
