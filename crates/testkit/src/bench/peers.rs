//! Cost of gossip: counter merges, the membership protocol alone, and the daemon with and without a cluster in one run.

use super::{nanos, spec};
use crate::fleet::{self, Fleet, FleetSpec, PeersSpec};
use crate::load::{Proxy, ProxyBehavior, StaticServers};
use gradepin_admission::{Span, Time, time_after};
use gradepin_cluster::circuit_breaker::Observation;
use gradepin_cluster::counters::{
    CellId, CounterCell, CounterRow, Counters, GossipedRow, MAX_CELLS, WorkCount,
};
use gradepin_cluster::members::{FailureDetection, Members};
use gradepin_cluster::peer::{Incarnation, Peer};
use std::hint::black_box;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MS: u64 = 1_000_000;
/// Delay of the simulated network, and interval between steps of the members.
const STEP_INTERVAL: Span = Span(20 * MS);
/// Cells of a counter row: four tenants by four classes.
const CELLS: u32 = 16;

fn peer(n: usize) -> Peer {
    let address = SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7947));
    Peer { name: Arc::from(format!("n{n}")), incarnation: Incarnation(1), address, zone: Arc::from("z") }
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    let [_, high, median, low] = address.ip().octets();
    usize::from(high) << 16 | usize::from(median) << 8 | usize::from(low)
}

/// Measures the merge of a row and the reading of the sum, with rows of `servers` servers.
fn merges(servers: usize) {
    let row = |n: usize, version: u32| CounterRow {
        name: Arc::from(format!("n{n}")),
        incarnation: Incarnation(1),
        version,
        zone: Arc::from("z"),
        spare: 0,
        observation: Observation::default(),
        cells: (1..=CELLS.min(MAX_CELLS as u32))
            .map(|cell| CounterCell {
                id: CellId(cell),
                work: WorkCount { requested_ms: 7, ..WorkCount::default() },
            })
            .collect(),
    };
    let mut counts = Counters::new(Arc::from("own"));
    let now = Time(1_000 * MS);
    let rounds = 100;
    let mut rows: Vec<GossipedRow> = (0..rounds)
        .flat_map(|round| (0..servers).map(move |n| (n, round)))
        .map(|(n, round)| GossipedRow { row: row(n, round as u32 + 1), age_ms: 3 })
        .collect();
    rows.reverse();
    let count = rows.len();
    let start = Instant::now();
    while let Some(row) = rows.pop() {
        black_box(counts.merge(now, row, Span(0)));
    }
    let merge = start.elapsed().as_nanos() as f64 / count as f64;
    let stale_rows: Vec<GossipedRow> =
        (0..servers).map(|n| GossipedRow { row: row(n, 1), age_ms: 3 }).collect();
    let mut step = 0;
    let stale = nanos(10_000, || {
        step += 1;
        black_box(counts.merge(now, stale_rows[step % servers].clone(), Span(0)));
    });
    let read = nanos(2_000, || {
        black_box(counts.read(now, |_| true));
    });
    println!(
        "{servers} rows of {CELLS} cells: a merge {merge:.0} ns, of an old row {stale:.0} ns; a reading {read:.0} ns"
    );
}

/// Measures the membership protocol alone: `count` members on a lossless network with a delay of one turn. From a cold start
/// all announce themselves to three seeds at once; later one member dies.
fn members(count: usize) {
    let seeds: Vec<SocketAddr> = (0..3.min(count)).map(|n| peer(n).address).collect();
    let failure_detection = FailureDetection::default();
    let mut now = Time(1_000 * MS);
    let mut all: Vec<Members> =
        (0..count).map(|n| Members::new(peer(n), seeds.clone(), &failure_detection, n as u64, now)).collect();
    let mut inbox: Vec<Vec<Vec<u8>>> = vec![Vec::new(); count];
    let (mut bytes, mut datagrams) = (0_usize, 0_usize);
    let survivors = count - 1;
    let mut step = |all: &mut Vec<Members>, now: Time, alive: usize| {
        for n in 0..alive {
            for data in std::mem::take(&mut inbox[n]) {
                let _ = all[n].receive(now, &data);
            }
            all[n].step(now);
            black_box(all[n].changes());
            for (to, data) in all[n].sends() {
                (bytes, datagrams) = (bytes + data.len(), datagrams + 1);
                let to = index_of(to.address);
                if to < alive {
                    inbox[to].push(data);
                }
            }
        }
        (bytes, datagrams)
    };
    let start = Instant::now();
    let begin = now;
    let mut complete = None;
    while complete.is_none() && now < time_after(begin, Span(60_000 * MS)) {
        now = time_after(now, STEP_INTERVAL);
        step(&mut all, now, count);
        if all.iter().all(|members| members.up_count() == count - 1) {
            complete = Some(Span(now.0 - begin.0));
        }
    }
    // Ten seconds of steady state: health checks and gossip.
    let quiet = now;
    let (bytes_before, datagrams_before) = step(&mut all, now, count);
    let quiet_start = Instant::now();
    while now < time_after(quiet, Span(10_000 * MS)) {
        now = time_after(now, STEP_INTERVAL);
        step(&mut all, now, count);
    }
    let cpu_us = quiet_start.elapsed().as_secs_f64() * 1e6 / 10.0 / count as f64;
    let (bytes_now, datagrams_now) = step(&mut all, now, count);
    let each = |sum: usize| sum as f64 / 10.0 / count as f64;
    let died = now;
    let mut death_known = None;
    while death_known.is_none() && now < time_after(died, Span(60_000 * MS)) {
        now = time_after(now, STEP_INTERVAL);
        step(&mut all, now, survivors);
        if all[..survivors].iter().all(|members| members.up_count() == count - 2) {
            death_known = Some(Span(now.0 - died.0));
        }
    }
    let seconds =
        |span: Option<Span>| span.map_or("over 60".into(), |span| format!("{:.1}", span.0 as f64 / 1e9));
    println!(
        "{count} members: all know all after {} s, a death after {} s; each {:.0} bytes and {:.1} datagrams a second, {cpu_us:.0} us \
         of CPU a second; played in {:.1} s",
        seconds(complete),
        seconds(death_known),
        each(bytes_now - bytes_before),
        each(datagrams_now - datagrams_before),
        start.elapsed().as_secs_f64()
    );
}

/// Measures three servers with or without a cluster: CPU time per request in microseconds, and largest memory in kB.
fn daemons(daemon: &Path, shares: bool, rate: f64, seconds: u64, seed: u64) -> io::Result<(f64, f64)> {
    let folder = fleet::folder(if shares { "bench-peers-on" } else { "bench-peers-off" })?;
    let servers = 3;
    let listen: Vec<SocketAddr> = (0..servers).map(|_| fleet::peer_address()).collect();
    // No run calls the ledger; only the cost of gossip is measured.
    let ledgers = vec![SocketAddr::from(([127, 0, 0, 1], 9)); servers];
    let peers = PeersSpec {
        advertise: listen.clone(),
        listen,
        zones: vec!["z".into(); servers],
        ledgers,
        share: 4.0,
        lends: true,
        plain: false,
    };
    let mut spec: FleetSpec = spec(daemon.into(), Vec::new(), folder.clone(), 1);
    (spec.servers, spec.scale, spec.processor.speed) = (servers, 4, 16.0);
    spec.peers = shares.then_some(peers);
    let mut fleet = Fleet::start(&spec)?;
    // Time for the membership to become complete.
    thread::sleep(Duration::from_secs(2));
    let proxies = fleet.nodes.iter().enumerate().map(|(n, node)| {
        let list = StaticServers { all: vec![node.address], turn: 0 };
        Proxy::start(n as u64 + 1, seed + n as u64, ProxyBehavior::thrift(rate, 1, true), Box::new(list))
    });
    let proxies = proxies.collect::<io::Result<Vec<Proxy>>>()?;
    let used = |fleet: &Fleet| fleet.nodes.iter().filter_map(fleet::Node::cpu).sum::<Duration>();
    let before = used(&fleet);
    thread::sleep(Duration::from_secs(seconds));
    let cpu = used(&fleet) - before;
    let memory = fleet.nodes.iter().filter_map(fleet::Node::memory).max().unwrap_or_default();
    let requests: usize = proxies.into_iter().map(|proxy| proxy.stop().requests.len()).sum();
    fleet.drain();
    fleet::remove(&folder);
    Ok((cpu.as_secs_f64() * 1e6 / requests.max(1) as f64, memory as f64 / 1e3))
}

/// Runs all measurements and prints the figures.
pub fn run(daemon: &Path, sizes: &[usize], rates: &[f64], seconds: u64) -> io::Result<()> {
    merges(300);
    sizes.iter().filter(|size| **size > 1).for_each(|size| members(*size));
    for rate in rates {
        let mut rounds = [Vec::new(), Vec::new()];
        // Interleaved, so that a slower phase of the machine affects both alternatives.
        for round in 0..3 {
            for (index, shares) in [false, true].into_iter().enumerate() {
                rounds[index].push(daemons(daemon, shares, *rate, seconds, 10 * round + 1)?);
            }
        }
        let median = |rounds: &mut Vec<(f64, f64)>| {
            rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (min, max) = (rounds[0].0, rounds[rounds.len() - 1].0);
            let (cpu, memory) = rounds[rounds.len() / 2];
            (format!("{cpu:.1} us ({min:.1} to {max:.1}), {memory:.0} kB"), cpu)
        };
        let [(off, off_us), (on, on_us)] = rounds.each_mut().map(median);
        println!(
            "{rate:.0} requests a second a server: off {off}; on {on}; 1 to {:.3} of CPU a request",
            on_us / off_us.max(1e-9)
        );
    }
    Ok(())
}
