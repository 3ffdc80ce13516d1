//! CPU time per request and memory per connection: over Thrift, over SCGI, with another build of the daemon, and with a
//! minimal forwarder of the same bytes, side by side in one run.

use super::{LoopResults, closed_loop, spec};
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

/// Idle connections opened to measure their memory; below half of the connection limit, which is all that SCGI may use.
const IDLE_CONNECTIONS: usize = 400;

/// Parameters of the benchmark.
#[derive(Debug, Clone)]
pub struct Measure {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Path of another build to compare with.
    pub before: Option<PathBuf>,
    /// Number of active connections.
    pub connections: usize,
    /// Open requests per connection.
    pub open: usize,
    /// Requests per measurement.
    pub requests: usize,
    /// Measurements per alternative, interleaved; the median counts.
    pub rounds: usize,
    /// Core that the measured process is pinned to, as on the platform; `None` for no pinning.
    pub core: Option<usize>,
}

/// A measured alternative. Each round has CPU time per request in microseconds, and requests per second.
struct Alternative {
    name: &'static str,
    rounds: Vec<(f64, f64)>,
}

/// Forwarder process; killed when dropped.
struct Forwarder(Child);

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Pins all threads of a process to one core; threads that they start inherit it.
fn pin_to_core(core: Option<usize>, pid: Option<u32>) -> io::Result<()> {
    let (Some(core), Some(pid)) = (core, pid) else { return Ok(()) };
    let mut only = CpuSet::new();
    only.set(core);
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let task = task?.file_name().to_str().and_then(|name| name.parse().ok()).and_then(Pid::from_raw);
        sched_setaffinity(task, &only)?;
    }
    Ok(())
}

/// Measures all alternatives and prints their figures, and their ratios to the minimal forwarder.
pub fn run(measure: &Measure) -> io::Result<()> {
    let mut alternatives: Vec<Alternative> =
        [("Thrift", true), ("SCGI", true), ("Thrift, before", measure.before.is_some())]
            .into_iter()
            .chain([("SCGI, before", measure.before.is_some()), ("bare forwarder", true)])
            .filter(|(_, on)| *on)
            .map(|(name, _)| Alternative { name, rounds: Vec::new() })
            .collect();
    // Interleaved, so that a slower phase of the machine affects all alternatives.
    for round in 0..measure.rounds {
        for alternative in &mut alternatives {
            let daemon = match (alternative.name, &measure.before) {
                ("Thrift, before" | "SCGI, before", Some(before)) => before,
                _ => &measure.daemon,
            };
            alternative.rounds.push(match alternative.name {
                "bare forwarder" => forwarder(measure, round)?,
                name => daemon_cpu(measure, daemon, name.starts_with("SCGI"))?,
            });
        }
    }
    let mut medians = Vec::new();
    for alternative in &mut alternatives {
        alternative.rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (cpu, rate) = alternative.rounds[alternative.rounds.len() / 2];
        let (least, most) = (alternative.rounds[0].0, alternative.rounds[alternative.rounds.len() - 1].0);
        println!(
            "{:<15} {cpu:>6.1} us of CPU a request ({least:.1} to {most:.1}), {rate:.0} a second",
            alternative.name
        );
        medians.push((alternative.name, cpu));
    }
    let bare = medians.last().map_or(1.0, |(_, cpu)| *cpu);
    for (name, cpu) in &medians[..medians.len() - 1] {
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

/// Runs a closed loop per connection and returns the number of answered requests.
fn play(
    measure: &Measure,
    one: impl Fn(u64, usize) -> io::Result<LoopResults> + Copy + Send + 'static,
) -> io::Result<u64> {
    let each = measure.requests.div_ceil(measure.connections.max(1));
    let loops: Vec<_> =
        (0..measure.connections as u64).map(|n| thread::spawn(move || one(n, each))).collect();
    let mut total = 0;
    for one in loops {
        let results = one.join().map_err(|_| io::Error::other("a client's thread has panicked"))??;
        total += results.served + results.refused + results.other;
    }
    Ok(total.max(1))
}

fn daemon_cpu(measure: &Measure, daemon: &Path, scgi: bool) -> io::Result<(f64, f64)> {
    let folder = fleet::folder("bench-fronts")?;
    // Each run ends within a millisecond and cores are never exhausted; the classes have their full times.
    let mut spec = spec(daemon.into(), Vec::new(), folder.clone(), 1);
    (spec.scale, spec.processor.speed, spec.scgi) = (4, 16.0, true);
    let fleet = Fleet::start(&spec)?;
    pin_to_core(measure.core, fleet.nodes[0].pid())?;
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

/// Sends requests one after another, each over a new connection.
fn scgi_loop(address: SocketAddr, requests: usize) -> io::Result<LoopResults> {
    let mut results = LoopResults::default();
    let request = encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", "/sheet-view/7")], b"x");
    for _ in 0..requests {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(&request)?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes)?;
        match ScgiResponse::read(&bytes).map(|response| response.status) {
            Some(200) => results.served += 1,
            Some(503) => results.refused += 1,
            _ => results.other += 1,
        }
    }
    Ok(results)
}

fn forwarder(measure: &Measure, round: usize) -> io::Result<(f64, f64)> {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let classes = vec![("sheet-view".to_string(), Duration::from_millis(1))];
    let one = Spec { classes, speed: 16.0, ..Spec::default() };
    let processors = (0..measure.connections)
        .map(|_| Processor::start(local, one.clone()))
        .collect::<io::Result<Vec<Processor>>>()?;
    // A loopback address that only this process uses, as for fleets.
    let pid = std::process::id();
    let listen = SocketAddr::from(([127, 63, (pid % 256) as u8, (1 + round % 250) as u8], 18_400));
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("forward").arg("--listen").arg(listen.to_string());
    for processor in &processors {
        command.arg("--processor").arg(processor.address().to_string());
    }
    let child = Forwarder(command.stdin(Stdio::null()).spawn()?);
    pin_to_core(measure.core, Some(child.0.id()))?;
    // The forwarder assigns connections in order of arrival, so a probe would take the place of a client; clients retry instead.
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

/// Measures the memory that each of many idle connections adds to the daemon, in bytes.
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
    for _ in 0..IDLE_CONNECTIONS {
        let mut stream = TcpStream::connect(address)?;
        if half {
            stream.write_all(&request[..request.len() / 2])?;
        }
        streams.push(stream);
    }
    // All connections are accepted within a tick, and idle ones are closed only after 2 s.
    thread::sleep(Duration::from_millis(500));
    let after = fleet.nodes[0].memory().unwrap_or(0);
    drop(streams);
    drop(fleet);
    fleet::remove(&folder);
    Ok((after.saturating_sub(before)) as f64 / IDLE_CONNECTIONS as f64)
}
