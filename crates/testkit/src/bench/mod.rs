//! Benchmarks that compare alternatives in one run, and a closed-loop client for a single server.

use crate::fleet::{self, Fleet, FleetSpec};
use crate::load::{Proxy, ProxyBehavior, StaticServers, classes};
use crate::processor::Spec;
use crate::registry::member as settings_of;
use crate::registry::server::{Server, ServerSettings, unix_ms};
use crate::registry::state::{Outcome, Registry, RegistrySettings};
use crate::thrift::{self, Answer, Message};
use flate2::Compression;
use flate2::write::GzEncoder;
use gradepin_admission::Time;
use gradepin_registry::instance::{Applications, Instance, InstanceStatus, Port, hash_code};
use gradepin_registry::membership::{Membership, RegistryOperation, RegistryReply};
use gradepin_registry::view::{Fetch, View, ViewSettings};
use gradepin_registry::wire::{self, Format};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::hint::black_box;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

pub mod council;
pub mod doors;
pub mod fronts;
pub mod keys;
pub mod peers;
pub mod queue;
pub mod ready;
pub mod restart;
pub mod store;

const MS: u64 = 1_000_000;

fn instance(n: usize) -> Instance {
    let zones = ["tampere-1", "jyvaskyla-1", "lahti-1"];
    Instance {
        id: format!("tile-server-{n:05}.{}", zones[n % 3]),
        app: "TILE-SERVER".into(),
        host: format!("10.{}.{}.{}", n >> 16, (n >> 8) & 255, n & 255),
        ip: Some([10, (n >> 16) as u8, (n >> 8) as u8, n as u8].into()),
        status: InstanceStatus::Up,
        port: Port { number: 8443, enabled: true },
        vip: "tiles".into(),
        metadata: [("zone".to_string(), zones[n % 3].to_string())].into(),
        dirty_ms: 1,
        updated_ms: 1,
        ..Instance::default()
    }
}

fn all(count: usize) -> Applications {
    let instances: Vec<Instance> = (0..count).map(instance).collect();
    let hash_code = hash_code(instances.iter().map(|i| i.status));
    Applications { version: "1".into(), hash_code, instances }
}

/// Counts registry calls of `servers` servers in virtual time: the total of the first 30 s, and the rate per second after it.
fn calls(servers: usize) -> (u64, f64) {
    let rules = RegistrySettings { preserves: false, ..RegistrySettings::default() };
    let mut registry = Registry::new(rules, 0);
    let mut members: Vec<Membership> = (0..servers)
        .map(|n| {
            let mut member = Membership::new(settings_of(instance(n)), n as u64, Time(0));
            member.processor(Some((Time(0), false)));
            member.health(Time(0), true);
            member
        })
        .collect();
    let total = |members: &[Membership]| members.iter().map(Membership::requests_sent).sum::<u64>();
    let (mut startup_calls, until) = (0, 330_000);
    for ms in (0..until).step_by(50) {
        let now = Time(ms * MS);
        for (n, member) in members.iter_mut().enumerate() {
            while let Some(ask) = member.poll(now, ms) {
                let (app, id) = ("TILE-SERVER", instance(n).id);
                let done = |outcome| {
                    if outcome == Outcome::Done { RegistryReply::Done } else { RegistryReply::NotFound }
                };
                let reply = match &ask.operation {
                    RegistryOperation::Register(instance) => {
                        registry.register(Instance::clone(instance), false, ms);
                        RegistryReply::Done
                    }
                    RegistryOperation::Heartbeat { dirty_ms, .. } => {
                        done(registry.renew(app, &id, Some(*dirty_ms), ms))
                    }
                    RegistryOperation::FetchOwnRecord => registry
                        .instance(app, &id)
                        .map_or(RegistryReply::NotFound, |i| RegistryReply::Record(Box::new(i.clone()))),
                    _ => RegistryReply::Done,
                };
                member.reply(now, ask.ticket, reply);
            }
        }
        if ms == 30_000 {
            startup_calls = total(&members);
        }
    }
    (startup_calls, (total(&members) - startup_calls) as f64 / 300.0)
}

fn zipped(bytes: &[u8]) -> usize {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.map_or(0, |bytes| bytes.len())
}

/// Estimates the heap size of a plain map of complete instances, in bytes.
fn map_bytes(map: &HashMap<String, Instance>) -> usize {
    let text = |i: &Instance| {
        let strings = [&i.id, &i.app, &i.host, &i.vip, &i.secure_vip, &i.health_url, &i.status_url];
        let pairs: usize = i.metadata.iter().map(|(k, v)| k.capacity() + v.capacity()).sum();
        // A node of the metadata's B-tree holds eleven pairs.
        strings.iter().map(|s| s.capacity()).sum::<usize>() + pairs + 11 * 48 + 16
    };
    let slots = map.capacity() * 8 / 7 * (size_of::<(String, Instance)>() + 1);
    slots + map.iter().map(|(key, i)| key.capacity() + text(i)).sum::<usize>()
}

fn nanos(times: u32, mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..times {
        work();
    }
    start.elapsed().as_nanos() as f64 / f64::from(times)
}

/// Measures the registry client: calls, bytes and memory, and CPU time of the daemon with and without a registry.
pub fn registry(daemon: PathBuf, seconds: u64) -> io::Result<()> {
    let (startup_calls, later) = calls(1_000);
    println!("1,000 servers: {startup_calls} calls in their first 30 s, then {later:.1} a second");

    let everything = all(1_000);
    let mut changed = everything.clone();
    changed.instances.truncate(5);
    for format in [Format::Json, Format::Xml] {
        let (full, delta) =
            (wire::write_applications(&everything, format), wire::write_applications(&changed, format));
        println!(
            "{format:?}: full fetch of 1,000 {} B ({} B gzip), delta of 5 {} B ({} B gzip): 1 to {:.0}",
            full.len(),
            zipped(&full),
            delta.len(),
            zipped(&delta),
            full.len() as f64 / delta.len() as f64
        );
    }

    let large = all(10_000);
    let map: HashMap<String, Instance> = large.instances.iter().map(|i| (i.id.clone(), i.clone())).collect();
    let mut view =
        View::new(ViewSettings { zone: Some("lahti-1".into()), ..ViewSettings::default() }, 7, Time(0));
    view.poll(Time(0));
    view.fetched(Time(0), Fetch::Full, Some(&large));
    let (plain, compact) = (map_bytes(&map), view.heap_bytes());
    println!(
        "10,000 instances: view {} kB, plain map {} kB: 1 to {:.1}",
        compact / 1000,
        plain / 1000,
        plain as f64 / compact as f64
    );
    let mut iteration = 0;
    let scan = nanos(200, || {
        iteration += 1;
        let up = map.values().filter(|i| i.status == InstanceStatus::Up && i.zone() == Some("lahti-1"));
        black_box(up.clone().nth(iteration % 3_000));
    });
    let pick = nanos(100_000, || {
        black_box(view.pick("tiles", |_| false));
    });
    println!(
        "a choice in the own zone: view {pick:.0} ns, scan of the map {scan:.0} ns: 1 to {:.0}",
        scan / pick
    );

    let server = Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), ServerSettings::default())?;
    let fleets = [Vec::new(), vec![server.url()]].map(|registries| {
        let daemon = daemon.clone();
        thread::spawn(move || -> io::Result<(f64, usize)> {
            let with = !registries.is_empty();
            let folder = fleet::folder(if with { "bench-with" } else { "bench-without" })?;
            let mut fleet = Fleet::start(&spec(daemon, registries, folder.clone(), 10))?;
            let behavior = ProxyBehavior::thrift(200.0, 1, true);
            let list = StaticServers { all: vec![fleet.nodes[0].address], turn: 0 };
            let proxy = Proxy::start(1, 3, behavior, Box::new(list))?;
            let before = fleet.nodes[0].cpu().unwrap_or_default();
            thread::sleep(Duration::from_secs(seconds));
            let used = fleet.nodes[0].cpu().unwrap_or_default() - before;
            let requests = proxy.stop().requests.len();
            fleet.drain();
            fleet::remove(&folder);
            Ok((used.as_secs_f64() * 1e3, requests))
        })
    });
    for (fleet, word) in fleets.into_iter().zip(["without", "with"]) {
        let (cpu, requests) =
            fleet.join().map_err(|_| io::Error::other("a fleet's thread has panicked"))??;
        println!(
            "daemon {word} a registry: {cpu:.0} ms of CPU in {seconds} s for {requests} requests, {:.1} us each",
            1e3 * cpu / requests.max(1) as f64
        );
    }
    Ok(())
}

fn spec(daemon: PathBuf, registries: Vec<String>, folder: PathBuf, work_ms: u64) -> FleetSpec {
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(work_ms))).collect();
    FleetSpec {
        daemon,
        servers: 1,
        processor: Spec { classes: work, ..Spec::default() },
        registries,
        folder,
        ..FleetSpec::default()
    }
}

/// Results of a closed-loop client.
#[derive(Debug, Default)]
struct LoopResults {
    served: u64,
    refused: u64,
    other: u64,
    times_us: Vec<u64>,
}

/// Measures rejections, latency and CPU time with `connections` closed-loop clients, each with `open` requests open and
/// without retries. Runs take about a millisecond, so that no request needs to be rejected.
pub fn door(daemon: PathBuf, connections: usize, open: usize, requests: usize) -> io::Result<()> {
    let folder = fleet::folder("bench-door")?;
    // Each run ends within a millisecond and cores are never exhausted; the classes have their full times.
    let mut spec = spec(daemon, Vec::new(), folder.clone(), 1);
    (spec.scale, spec.processor.speed) = (4, 16.0);
    let fleet = Fleet::start(&spec)?;
    let address = fleet.nodes[0].address;
    let before = fleet.nodes[0].cpu().unwrap_or_default();
    let start = Instant::now();
    let each = requests.div_ceil(connections.max(1));
    let loops: Vec<_> =
        (0..connections).map(|n| thread::spawn(move || closed_loop(address, n as u64, open, each))).collect();
    let mut sum = LoopResults::default();
    for one in loops {
        let results = one.join().map_err(|_| io::Error::other("a client's thread has panicked"))??;
        sum.served += results.served;
        sum.refused += results.refused;
        sum.other += results.other;
        sum.times_us.extend(results.times_us);
    }
    let (took, cpu) = (start.elapsed().as_secs_f64(), fleet.nodes[0].cpu().unwrap_or_default() - before);
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    for &us in &sum.times_us {
        times.record(us).map_err(io::Error::other)?;
    }
    let total = (sum.served + sum.refused + sum.other).max(1);
    println!(
        "{connections} connections with {open} open: {total} asked in {took:.2} s, {:.2}% refused, {} else; p50 {} us, p99 {} us; {:.1} us of CPU each",
        100.0 * sum.refused as f64 / total as f64,
        sum.other,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        cpu.as_secs_f64() * 1e6 / total as f64
    );
    drop(fleet);
    fleet::remove(&folder);
    Ok(())
}

/// Keeps `open` requests open on a Thrift connection until `requests` are answered.
fn closed_loop(address: SocketAddr, client: u64, open: usize, requests: usize) -> io::Result<LoopResults> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let (mut results, mut sent, mut answered) = (LoopResults::default(), 0, 0);
    let mut started = HashMap::new();
    let (mut bytes, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    while answered < requests {
        while sent < requests && sent - answered < open {
            sent += 1;
            let (rid, t0) = (format!("{:016x}", (client << 32) | sent as u64), unix_ms().to_string());
            let fields = [
                ("method", "sheet-view"),
                ("rid", &rid),
                ("t0", &t0),
                ("peer", "1"),
                ("acct", "etela-kasvio"),
                ("budget", "4000"),
                ("mem", "8.0"),
                ("prio", "0.5"),
            ];
            started.insert(sent as i32, Instant::now());
            stream.write_all(&thrift::call(sent as i32, &fields, b"x"))?;
        }
        let len = stream.read(&mut chunk)?;
        if len == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the server closed the connection"));
        }
        bytes.extend_from_slice(&chunk[..len]);
        while let Some(len) = thrift::frame(&bytes).map_err(io::Error::other)? {
            let message = thrift::decode(&bytes[4..len]).map_err(io::Error::other)?;
            bytes.drain(..len);
            let Message::Answer(seq, answer) = message else { continue };
            answered += 1;
            let took = started.remove(&seq).map_or(0, |at| at.elapsed().as_micros() as u64);
            match answer {
                Answer::Served(..) => {
                    results.served += 1;
                    results.times_us.push(took);
                }
                Answer::Refused { .. } => results.refused += 1,
                _ => results.other += 1,
            }
        }
    }
    Ok(results)
}
