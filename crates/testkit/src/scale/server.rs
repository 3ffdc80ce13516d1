//! One real server with many classes and tenants in its settings, measured from outside.

use super::budgets::TENANTS_A_CLASS;
use crate::fleet::{self, Fleet, FleetSpec, Node, Unused};
use crate::load::classes;
use crate::processor::Spec;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Number of classes, and of tenants, that requests use.
const USED_BY_REQUESTS: u64 = 4;
/// Timeout of start-up and reload.
pub const RELOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Server with its processor; its processes and folder are removed when dropped.
pub struct Server {
    fleet: Fleet,
    folder: PathBuf,
}

/// Parameters of a server.
pub struct ServerSpec<'a> {
    /// Path of the daemon's program.
    pub daemon: &'a Path,
    /// Number of tenants in the settings, with one class per eleven tenants.
    pub tenants: u64,
    /// Limit of sockets.
    pub sockets: u32,
    /// Seed of the processor.
    pub seed: u64,
}

/// Number of classes for `tenants` tenants, at least four.
pub fn classes_for(tenants: u64) -> u64 {
    (tenants / TENANTS_A_CLASS).max(USED_BY_REQUESTS)
}

impl Server {
    /// Starts a server whose runs take only the tick of the stand-in processor, one millisecond.
    pub fn start(server_spec: &ServerSpec<'_>) -> io::Result<Self> {
        let folder = fleet::folder(&format!("scale-{}", server_spec.tenants))?;
        let work = classes().into_iter().map(|class| (class.name, Duration::from_micros(10))).collect();
        let unused = Unused {
            classes: (classes_for(server_spec.tenants) - USED_BY_REQUESTS) as usize,
            tenants: server_spec.tenants.max(USED_BY_REQUESTS + 1).saturating_sub(USED_BY_REQUESTS) as usize,
        };
        let spec = FleetSpec {
            daemon: server_spec.daemon.to_path_buf(),
            processor: Spec { classes: work, seed: server_spec.seed, ..Spec::default() },
            scale: 4,
            sockets: server_spec.sockets,
            unused,
            folder: folder.clone(),
            ..FleetSpec::default()
        };
        match Fleet::start(&spec) {
            Ok(fleet) => Ok(Self { fleet, folder }),
            Err(why) => {
                fleet::remove(&folder);
                Err(why)
            }
        }
    }

    /// The server process.
    pub fn node(&self) -> &Node {
        &self.fleet.nodes[0]
    }

    /// Kills and restarts the server; returns the time until a health check passes.
    pub fn restart(&mut self) -> io::Result<Duration> {
        let node = &mut self.fleet.nodes[0];
        node.kill();
        let begin = Instant::now();
        node.spawn()?;
        while !is_healthy(node.address) {
            if node.crashed() || begin.elapsed() > RELOAD_TIMEOUT {
                return Err(io::Error::other("the restarted server did not pass a health check in time"));
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok(begin.elapsed())
    }

    /// CPU time of the server so far, with nanosecond resolution.
    pub fn cpu(&self) -> Duration {
        self.node().pid().map_or(Duration::ZERO, cpu_of_threads)
    }

    /// Current resident memory in MB.
    pub fn memory_mb(&self) -> f64 {
        self.node().memory().unwrap_or(0) as f64 / 1e6
    }

    /// Peak resident memory in MB.
    pub fn peak_mb(&self) -> f64 {
        let peak = self.node().pid().and_then(|pid| fleet::memory_of(pid, "VmHWM"));
        peak.unwrap_or(0) as f64 / 1e6
    }

    /// Reloads the configuration file and waits until it is in force or rejected.
    pub fn reload(&self) -> io::Result<Reload> {
        let (accepted, rejected) = self.reloads()?;
        let begin = Instant::now();
        self.node().reload();
        while begin.elapsed() < RELOAD_TIMEOUT {
            thread::sleep(Duration::from_millis(5));
            // While the main thread is busy, the admin endpoint has no metrics.
            let Ok((accepted_now, rejected_now)) = self.reloads() else { continue };
            if accepted_now > accepted || rejected_now > rejected {
                return Ok(Reload { took: begin.elapsed(), accepted: accepted_now > accepted });
            }
        }
        Ok(Reload { took: RELOAD_TIMEOUT, accepted: false })
    }

    /// Numbers of accepted and rejected files so far.
    fn reloads(&self) -> io::Result<(u64, u64)> {
        let stats = get(self.node().admin(), "/stats")?;
        let figure = |name: &str| {
            let line = stats.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            line.and_then(|value| value.trim().parse::<f64>().ok()).map(|value| value as u64)
        };
        let both = figure("server_cfg_accepted_total").zip(figure("server_cfg_invalid_total"));
        both.ok_or_else(|| io::Error::other("the admin endpoint has no reload metrics"))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.fleet.nodes.iter_mut().for_each(Node::kill);
        fleet::remove(&self.folder);
    }
}

/// Result of a reload.
#[derive(Debug, Clone, Copy)]
pub struct Reload {
    /// Time from the signal until the metrics of the server show the result.
    pub took: Duration,
    /// Whether the file is in force; `false` also if there was no result within [`RELOAD_TIMEOUT`].
    pub accepted: bool,
}

/// CPU time of all threads of a process, from the scheduler statistics.
fn cpu_of_threads(pid: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let nanos = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

fn get(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

fn is_healthy(address: SocketAddr) -> bool {
    super::gaps::Prober::connect(address).is_ok_and(|mut prober| prober.ask().is_ok_and(|good| good))
}
