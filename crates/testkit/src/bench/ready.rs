//! Time until restarted servers pass a health check: under load, several at once, alternately after a graceful shutdown and
//! after a kill.

use crate::drill::quantile;
use crate::fleet::{self, Fleet, FleetSpec, Node};
use crate::load::{Proxy, ProxyBehavior, StaticServers, classes};
use crate::processor::Spec;
use crate::thrift::{self, Answer, Message};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Nine in ten servers must be ready within this time.
const READY_WITHIN_P90: Duration = Duration::from_secs(10);
/// All servers must be ready within this time.
const READY_WITHIN_MAX: Duration = Duration::from_secs(30);
/// Mean work of a request, in ms.
const WORK_MS: u64 = 40;
/// Load as a fraction of the capacity of all cores.
const LOAD: f64 = 0.8;
const PROXIES: usize = 4;
const STOP_TIME: Duration = Duration::from_millis(1_000);

/// Whether a health check over a new connection passes.
fn is_good(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(READY_WITHIN_MAX))?;
        socket.write_all(&thrift::health(1))?;
        let mut prefix = [0; 4];
        socket.read_exact(&mut prefix)?;
        let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
        socket.read_exact(&mut frame)?;
        Ok(matches!(thrift::decode(&frame), Ok(Message::Answer(1, Answer::Served(..)))))
    };
    ask().unwrap_or(false)
}

fn ready(node: &mut Node) -> io::Result<Option<Duration>> {
    let (start, address) = (Instant::now(), node.address);
    node.spawn()?;
    while start.elapsed() < READY_WITHIN_MAX {
        if is_good(address) {
            return Ok(Some(start.elapsed()));
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(None)
}

/// Restarts `at_once` servers in each of `rounds` rounds; returns whether enough were ready in time.
pub fn run(daemon: PathBuf, servers: usize, at_once: usize, rounds: usize, seed: u64) -> io::Result<bool> {
    let folder = fleet::folder(&format!("bench-ready-{seed}"))?;
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(WORK_MS))).collect();
    let spec = FleetSpec {
        daemon,
        servers,
        processor: Spec { classes: work, seed, ..Spec::default() },
        callers: PROXIES,
        stop: STOP_TIME,
        folder: folder.clone(),
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&spec)?;
    let all: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address).collect();
    let rate = LOAD * servers as f64 * f64::from(spec.processor.cores) * 1e3 / WORK_MS as f64;
    let proxies = (0..PROXIES)
        .map(|n| {
            let behavior = ProxyBehavior::thrift(rate / PROXIES as f64, 1, true);
            let list = StaticServers { all: all.clone(), turn: n };
            Proxy::start(n as u64 + 1, 100 * seed + n as u64, behavior, Box::new(list))
        })
        .collect::<io::Result<Vec<Proxy>>>()?;
    let (mut took, mut never) = (Vec::new(), 0);
    for round in 0..rounds {
        let first = round * at_once % servers;
        let mut chosen: Vec<&mut Node> = fleet.nodes.iter_mut().collect();
        chosen.rotate_left(first);
        chosen.truncate(at_once);
        if round % 2 == 0 {
            chosen.iter().for_each(|node| node.terminate());
            thread::sleep(STOP_TIME);
        }
        chosen.iter_mut().for_each(|node| node.kill());
        let times = thread::scope(|scope| {
            let starts: Vec<_> = chosen.into_iter().map(|node| scope.spawn(move || ready(node))).collect();
            starts.into_iter().map(|start| start.join().expect("a thread of the bench")).collect::<Vec<_>>()
        });
        for time in times {
            match time? {
                Some(time) => took.push(time),
                None => never += 1,
            }
        }
    }
    proxies.into_iter().for_each(|proxy| drop(proxy.stop()));
    drop(fleet);
    fleet::remove(&folder);
    took.sort();
    let starts = took.len() + never;
    let us: Vec<u64> = took.iter().map(|time| time.as_micros() as u64).collect();
    let ms = |q| quantile(&us, q) as f64 / 1e3;
    println!(
        "{starts} starts of {servers} servers, {at_once} at once, at {:.0}% load, seed {seed}: ready after {:.0} ms at the soonest, p50 {:.0}, p90 {:.0}, p99 {:.0}, {:.0} at the latest, {never} never",
        100.0 * LOAD,
        ms(0.0),
        ms(0.5),
        ms(0.9),
        ms(0.99),
        ms(1.0),
    );
    let in_time = took.iter().filter(|time| **time <= READY_WITHIN_P90).count();
    Ok(never == 0 && in_time * 10 >= starts * 9)
}
