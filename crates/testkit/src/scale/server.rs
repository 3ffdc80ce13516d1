//! One real server whose settings have so many classes and tenants, and what is seen of it from outside.

use super::budgets::TENANTS_A_CLASS;
use crate::fleet::{self, Fleet, FleetSpec, Node, Unused};
use crate::load::classes;
use crate::processor::Spec;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Classes, and tenants, that requests name.
const USED: u64 = 4;
/// How long a reload may take until it isn't waited for.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A server of its own, with its processor; all of it ends, and its folder goes, when this is dropped.
pub struct Server {
    fleet: Fleet,
    folder: PathBuf,
}

/// What a server is started with.
pub struct Wanted<'a> {
    /// The daemon's program.
    pub daemon: &'a Path,
    /// Tenants of its settings; a class for each eleven of them.
    pub tenants: u64,
    /// Descriptors that it may have.
    pub sockets: u32,
    /// Of the processor's runs.
    pub seed: u64,
}

/// Classes for so many tenants, four at the least.
pub fn classes_for(tenants: u64) -> u64 {
    (tenants / TENANTS_A_CLASS).max(USED)
}

impl Server {
    /// Starts one whose runs take no time but the stand-in's own tick of a millisecond.
    pub fn start(wanted: &Wanted<'_>) -> io::Result<Self> {
        let folder = fleet::folder(&format!("scale-{}", wanted.tenants))?;
        let work = classes().into_iter().map(|class| (class.name, Duration::from_micros(10))).collect();
        let unused = Unused {
            classes: (classes_for(wanted.tenants) - USED) as usize,
            tenants: wanted.tenants.max(USED + 1).saturating_sub(USED) as usize,
        };
        let spec = FleetSpec {
            daemon: wanted.daemon.to_path_buf(),
            processor: Spec { classes: work, seed: wanted.seed, ..Spec::default() },
            scale: 4,
            sockets: wanted.sockets,
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

    /// The server.
    pub fn node(&self) -> &Node {
        &self.fleet.nodes[0]
    }

    /// Kills it and starts it again; how long it takes until a health check is good.
    pub fn restart(&mut self) -> io::Result<Duration> {
        let node = &mut self.fleet.nodes[0];
        node.kill();
        let begin = Instant::now();
        node.spawn()?;
        while !is_healthy(node.address) {
            if node.crashed() || begin.elapsed() > PATIENCE {
                return Err(io::Error::other("the server did not become well"));
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok(begin.elapsed())
    }

    /// CPU that it used so far, to the nanosecond.
    pub fn cpu(&self) -> Duration {
        self.node().pid().map_or(Duration::ZERO, cpu_of_threads)
    }

    /// Its resident memory in MB, now.
    pub fn memory_mb(&self) -> f64 {
        self.node().memory().unwrap_or(0) as f64 / 1e6
    }

    /// Its resident memory in MB, at the most.
    pub fn peak_mb(&self) -> f64 {
        let peak = self.node().pid().and_then(|pid| fleet::memory_of(pid, "VmHWM"));
        peak.unwrap_or(0) as f64 / 1e6
    }

    /// Has it read its file again, and waits until that is in force or turned down.
    pub fn reload(&self) -> io::Result<Reload> {
        let (accepted, refused) = self.reloads()?;
        let begin = Instant::now();
        self.node().reload();
        while begin.elapsed() < PATIENCE {
            thread::sleep(Duration::from_millis(5));
            // While the main thread is busy the operators' endpoint says so, and has no figures.
            let Ok((accepted_now, refused_now)) = self.reloads() else { continue };
            if accepted_now > accepted || refused_now > refused {
                return Ok(Reload { took: begin.elapsed(), accepted: accepted_now > accepted });
            }
        }
        Ok(Reload { took: PATIENCE, accepted: false })
    }

    /// Files taken and turned down so far.
    fn reloads(&self) -> io::Result<(u64, u64)> {
        let stats = get(self.node().admin(), "/stats")?;
        let figure = |name: &str| {
            let line = stats.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            line.and_then(|value| value.trim().parse::<f64>().ok()).map(|value| value as u64)
        };
        let both = figure("server_cfg_accepted_total").zip(figure("server_cfg_invalid_total"));
        both.ok_or_else(|| io::Error::other("no figures of reloads"))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.fleet.nodes.iter_mut().for_each(Node::kill);
        fleet::remove(&self.folder);
    }
}

/// What became of a reload.
#[derive(Debug, Clone, Copy)]
pub struct Reload {
    /// From the signal until the figures of the server say so.
    pub took: Duration,
    /// Whether the file is in force; not if nothing was heard of it within [`PATIENCE`] either.
    pub accepted: bool,
}

/// CPU of a process's threads, by the scheduler's own count.
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
