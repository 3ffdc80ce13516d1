//! What a request costs and what a connection takes: over Thrift, over SCGI, with another build of the daemon, and beside a
//! bare forwarder of the same bytes, side by side in one run.

use super::{Met, closed_loop, spec};
use crate::fleet::{self, Fleet, scgi_of};
use crate::processor::{Processor, Spec};
use gradepin_node::frontend::scgi::codec::{ScgiResponse, encode};
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Connections opened to see what each takes: under half of the places, since SCGI has no more.
const STANDING: usize = 400;

/// What is measured.
#[derive(Debug, Clone)]
pub struct Measure {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Another build of it, to be measured beside it.
    pub before: Option<PathBuf>,
    /// Connections at work.
    pub connections: usize,
    /// Requests open on each.
    pub open: usize,
    /// Requests of each measurement.
    pub requests: usize,
    /// Measurements of each way, in turn; the middle one counts.
    pub rounds: usize,
    /// The core that what is measured has to itself and may not leave, as on the platform; any if none.
    pub core: Option<usize>,
}

/// A way of serving, and what each round came to: CPU a request in microseconds, requests a second.
struct Way {
    name: &'static str,
    rounds: Vec<(f64, f64)>,
}

/// A forwarder's process; it ends with this.
struct Forwarder(Child);

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Keeps a process to one core: all the threads that it has, and so those that they start.
fn hold_to(core: Option<usize>, pid: Option<u32>) -> io::Result<()> {
    let (Some(core), Some(pid)) = (core, pid) else { return Ok(()) };
    let mut only = CpuSet::new();
    only.set(core);
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let task = task?.file_name().to_str().and_then(|name| name.parse().ok()).and_then(Pid::from_raw);
        sched_setaffinity(task, &only)?;
    }
    Ok(())
}

/// Measures all ways in turn and prints a line for each, and the ratios.
pub fn run(measure: &Measure) -> io::Result<()> {
    let mut ways: Vec<Way> = [("Thrift", true), ("SCGI", true), ("Thrift, before", measure.before.is_some())]
        .into_iter()
        .chain([("SCGI, before", measure.before.is_some()), ("bare forwarder", true)])
        .filter(|(_, on)| *on)
        .map(|(name, _)| Way { name, rounds: Vec::new() })
        .collect();
    // In turn, so that a machine that slows down slows all of them.
    for round in 0..measure.rounds {
        for way in &mut ways {
            let daemon = match (way.name, &measure.before) {
                ("Thrift, before" | "SCGI, before", Some(before)) => before,
                _ => &measure.daemon,
            };
            way.rounds.push(match way.name {
                "bare forwarder" => forwarder(measure, round)?,
                name => daemon_cpu(measure, daemon, name.starts_with("SCGI"))?,
            });
        }
    }
    let mut middles = Vec::new();
    for way in &mut ways {
        way.rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (cpu, rate) = way.rounds[way.rounds.len() / 2];
        let (least, most) = (way.rounds[0].0, way.rounds[way.rounds.len() - 1].0);
        println!(
            "{:<15} {cpu:>6.1} us of CPU a request ({least:.1} to {most:.1}), {rate:.0} a second",
            way.name
        );
        middles.push((way.name, cpu));
    }
    let bare = middles.last().map_or(1.0, |(_, cpu)| *cpu);
    for (name, cpu) in &middles[..middles.len() - 1] {
        println!("{name:<15} {:>6.2} times the bare forwarder", cpu / bare);
    }
    let builds = [("", Some(&measure.daemon)), (", before", measure.before.as_ref())];
    for (scgi, half) in [(false, false), (true, false), (false, true), (true, true)] {
        for (build, daemon) in builds.iter().filter_map(|(name, daemon)| Some((name, (*daemon)?))) {
            let bytes = standing(daemon, scgi, half)?;
            let what = if half { "with half a request" } else { "that says nothing" };
            println!(
                "a connection over {}{build} {what}: {bytes:.0} bytes",
                if scgi { "SCGI" } else { "Thrift" }
            );
        }
    }
    Ok(())
}

/// Plays so many closed loops, and says how many requests they had answered.
fn play(
    measure: &Measure,
    one: impl Fn(u64, usize) -> io::Result<Met> + Copy + Send + 'static,
) -> io::Result<u64> {
    let each = measure.requests.div_ceil(measure.connections.max(1));
    let loops: Vec<_> =
        (0..measure.connections as u64).map(|n| thread::spawn(move || one(n, each))).collect();
    let mut total = 0;
    for one in loops {
        let met = one.join().map_err(|_| io::Error::other("a client's thread has panicked"))??;
        total += met.served + met.refused + met.other;
    }
    Ok(total.max(1))
}

fn daemon_cpu(measure: &Measure, daemon: &Path, scgi: bool) -> io::Result<(f64, f64)> {
    let folder = fleet::folder("bench-fronts")?;
    // A processor that ends each run within a millisecond, and has cores to spare; the brief's own times.
    let mut spec = spec(daemon.into(), Vec::new(), folder.clone(), 1);
    (spec.scale, spec.processor.speed, spec.scgi) = (4, 16.0, true);
    let fleet = Fleet::start(&spec)?;
    hold_to(measure.core, fleet.nodes[0].pid())?;
    let (address, open) = (fleet.nodes[0].address, measure.open);
    let before = fleet.nodes[0].cpu().unwrap_or_default();
    let start = Instant::now();
    let total = if scgi {
        play(measure, move |_, each| scgi_loop(scgi_of(address), each))?
    } else {
        play(measure, move |n, each| closed_loop(address, n, open, each))?
    };
    let (took, cpu) = (start.elapsed().as_secs_f64(), fleet.nodes[0].cpu().unwrap_or_default() - before);
    drop(fleet);
    fleet::remove(&folder);
    Ok((cpu.as_secs_f64() * 1e6 / total as f64, total as f64 / took))
}

/// A connection a request, one after another.
fn scgi_loop(address: SocketAddr, requests: usize) -> io::Result<Met> {
    let mut met = Met::default();
    let request = encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", "/sheet-view/7")], b"x");
    for _ in 0..requests {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(&request)?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes)?;
        match ScgiResponse::read(&bytes).map(|response| response.status) {
            Some(200) => met.served += 1,
            Some(503) => met.refused += 1,
            _ => met.other += 1,
        }
    }
    Ok(met)
}

fn forwarder(measure: &Measure, round: usize) -> io::Result<(f64, f64)> {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let classes = vec![("sheet-view".to_string(), Duration::from_millis(1))];
    let one = Spec { classes, speed: 16.0, ..Spec::default() };
    let processors = (0..measure.connections)
        .map(|_| Processor::start(local, one.clone()))
        .collect::<io::Result<Vec<Processor>>>()?;
    // A loopback address of this process's own, as the fleets have.
    let pid = std::process::id();
    let listen = SocketAddr::from(([127, 63, (pid % 256) as u8, (1 + round % 250) as u8], 18_400));
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("forward").arg("--listen").arg(listen.to_string());
    for processor in &processors {
        command.arg("--processor").arg(processor.address().to_string());
    }
    let child = Forwarder(command.stdin(Stdio::null()).spawn()?);
    hold_to(measure.core, Some(child.0.id()))?;
    // Its first connection is taken by whoever comes: so nobody asks whether it is there yet but the clients themselves.
    let open = measure.open;
    let start = Instant::now();
    let total = play(measure, move |n, each| {
        loop {
            match closed_loop(listen, n, open, each) {
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused && start.elapsed().as_secs() < 10 => {
                    thread::sleep(Duration::from_millis(5));
                }
                other => return other,
            }
        }
    })?;
    let took = start.elapsed().as_secs_f64();
    let cpu = fleet::cpu_of(child.0.id()).unwrap_or_default();
    Ok((cpu.as_secs_f64() * 1e6 / total as f64, total as f64 / took))
}

/// What each of many connections adds to the daemon's memory, in bytes.
fn standing(daemon: &Path, scgi: bool, half: bool) -> io::Result<f64> {
    let folder = fleet::folder("bench-standing")?;
    let mut spec = spec(daemon.into(), Vec::new(), folder.clone(), 1);
    (spec.scale, spec.scgi) = (4, true);
    let fleet = Fleet::start(&spec)?;
    let address = if scgi { scgi_of(fleet.nodes[0].address) } else { fleet.nodes[0].address };
    let request = if scgi {
        encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", "/sheet-view/7")], b"x")
    } else {
        crate::thrift::health(1)
    };
    let before = fleet.nodes[0].memory().unwrap_or(0);
    let mut streams = Vec::new();
    for _ in 0..STANDING {
        let mut stream = TcpStream::connect(address)?;
        if half {
            stream.write_all(&request[..request.len() / 2])?;
        }
        streams.push(stream);
    }
    // All are accepted within a tick; none is closed for its silence before 2 s.
    thread::sleep(Duration::from_millis(500));
    let after = fleet.nodes[0].memory().unwrap_or(0);
    drop(streams);
    drop(fleet);
    fleet::remove(&folder);
    Ok((after.saturating_sub(before)) as f64 / STANDING as f64)
}
