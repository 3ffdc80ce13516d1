//! Loss while the admission control of a restarted server learns its estimates again, which bounds the gain of a snapshot.
//!
//! Two fleets of one server each have the same seed and the same load near capacity. In one, the server is restarted just
//! before the measurement, with its processor warm; in the other, it continues.

use crate::fleet::{self, Fleet, FleetSpec};
use crate::load::{Proxy, ProxyBehavior, Records, StaticServers, classes};
use crate::processor::Spec;
use std::io;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

const WORK_MS: u64 = 40;
const PROXIES: usize = 3;
/// Length of the load before the measurement, long enough for the estimates to settle.
const WARM_UP: Duration = Duration::from_secs(12);

fn spec(daemon: &Path, seed: u64, folder: PathBuf) -> FleetSpec {
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(WORK_MS))).collect();
    FleetSpec {
        daemon: daemon.into(),
        processor: Spec { classes: work, seed, ..Spec::default() },
        callers: PROXIES,
        folder,
        ..FleetSpec::default()
    }
}

fn load(fleet: &Fleet, spec: &FleetSpec, seed: u64, load: f64, time: Duration) -> io::Result<Vec<Records>> {
    let capacity = f64::from(spec.processor.cores) * 1e3 / WORK_MS as f64;
    let proxies = (0..PROXIES)
        .map(|n| {
            let behavior = ProxyBehavior::thrift(load * capacity / PROXIES as f64, 1, true);
            let list = StaticServers { all: vec![fleet.nodes[0].address], turn: n };
            Proxy::start(n as u64 + 1, 100 * seed + n as u64, behavior, Box::new(list))
        })
        .collect::<io::Result<Vec<Proxy>>>()?;
    thread::sleep(time);
    Ok(proxies.into_iter().map(Proxy::stop).collect())
}

/// Percentage of the requests served within their latency objective.
fn percent_in_time(records: &[Records]) -> f64 {
    let all = || records.iter().flat_map(|records| &records.requests);
    let aim = |class: usize| classes()[class].aim.as_millis() as u64;
    let served = all().filter(|asked| asked.took_ms.is_some_and(|ms| ms <= aim(asked.class))).count();
    100.0 * served as f64 / all().count().max(1) as f64
}

fn one(daemon: &Path, seed: u64, at: f64, seconds: u64, restarted: bool) -> io::Result<f64> {
    let folder = fleet::folder(&format!("bench-restart-{seed}-{restarted}-{at}"))?;
    let spec = spec(daemon, seed, folder.clone());
    let mut fleet = Fleet::start(&spec)?;
    load(&fleet, &spec, seed + 1_000, at, WARM_UP)?;
    if restarted {
        fleet.nodes[0].kill();
        fleet.nodes[0].spawn()?;
        let start = Instant::now();
        while std::net::TcpStream::connect(fleet.nodes[0].address).is_err() {
            if start.elapsed() > WARM_UP {
                return Err(io::Error::other("the restarted server didn't accept connections in time"));
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
    let records = load(&fleet, &spec, seed, at, Duration::from_secs(seconds))?;
    drop(fleet);
    fleet::remove(&folder);
    Ok(percent_in_time(&records))
}

/// Measures `seeds` seeds at each load and prints the means of both alternatives.
pub fn run(daemon: PathBuf, seeds: u64, loads: &[f64], seconds: u64) -> io::Result<()> {
    for &at in loads {
        let mut sums = [0.0; 2];
        for seed in 1..=seeds {
            let pair = [false, true].map(|restarted| {
                let daemon = daemon.clone();
                thread::spawn(move || one(&daemon, seed, at, seconds, restarted))
            });
            for (sum, one) in sums.iter_mut().zip(pair) {
                *sum += one.join().map_err(|_| io::Error::other("a fleet's thread has panicked"))??;
            }
        }
        let [on, restarted] = sums.map(|sum| sum / seeds.max(1) as f64);
        println!(
            "{:.0}% load, the first {seconds} s: {on:.2}% in time by a server that goes on, {restarted:.2}% by one started anew: {:+.2} to be gained",
            100.0 * at,
            on - restarted
        );
    }
    Ok(())
}
