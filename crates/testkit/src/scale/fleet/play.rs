//! Run of a fleet of one size: start until complete membership, measured steady state, and optionally a partition and its end.

use super::cut::Cut;
use super::daemons::{Daemons, DaemonsSpec};
use super::figures::{Rates, Snapshot, Window};
use super::hosts::{Hosts, HostsError};
use super::layout::{Region, Shape};
use super::messages::{HostPlan, Neighbour, Report};
use super::resources::{Available, InsufficientResources, MAX_MEMORY_BYTES, RequiredResources, Used};
use super::spend::Spend;
use crate::fleet::memory_of;
use crate::registry::server::unix_ms;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between checks of the fleet.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Poll interval of hollow servers in ms; longer in large fleets, because an answer iterates over all rows.
const POLL_INTERVAL_MS: u64 = 250;
const LARGE_FLEET: usize = 300;
const LARGE_FLEET_POLL_INTERVAL_MS: u64 = 1_000;
/// Number of unconnected servers in the baseline run.
const BASELINE_SERVERS: usize = 3;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Number of servers, including real daemons.
    pub servers: usize,
    /// Number of real daemons.
    pub real: usize,
    /// Number of host processes.
    pub hosts: usize,
    /// Numbers of zones and regions.
    pub shape: Shape,
    /// Requests per second and server.
    pub rate: f64,
    /// Mean time of a run.
    pub run: Duration,
    /// Length of the steady state.
    pub steady: Duration,
    /// Length of the partition of the last region; `None` for no partition.
    pub cut: Option<Duration>,
    /// Time limit for complete membership, at the start and after a partition.
    pub patience: Duration,
    /// Random seed.
    pub seed: u64,
    /// Extra cost of the first hollow server.
    pub spend: Spend,
}

/// Failure of a run.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// Resources are insufficient.
    #[error(transparent)]
    Resources(#[from] InsufficientResources),
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The host processes failed.
    #[error(transparent)]
    Hosts(#[from] HostsError),
    /// The run exceeded its memory limit; in MB.
    #[error("the run holds {0} MB of memory, more than the {most} MB that it may use", most = MAX_MEMORY_BYTES >> 20)]
    Memory(u64),
    /// A signal interrupted the run.
    #[error("interrupted: all processes of the run were ended")]
    Interrupted,
}

/// CPU time of unconnected servers under the same load, in ms per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Alone {
    /// Hollow server.
    pub hollow_cpu_ms: f64,
    /// Real daemon.
    pub real_cpu_ms: f64,
}

/// Results of a run.
#[derive(Debug, Clone)]
pub struct Played {
    /// Seconds from the start of the last host until complete membership; `None` if the time limit passed.
    pub known_s: Option<f64>,
    /// Seconds from the end of the partition until complete membership.
    pub healed_s: Option<f64>,
    /// Whether a region was partitioned.
    pub cut: bool,
    /// Datagrams dropped by the partition.
    pub cut_dropped: u64,
    /// Rates in the steady state.
    pub steady: Window,
    /// Snapshot at the end of the steady state.
    pub last: Snapshot,
    /// Memory of the hosts per hollow server, in bytes.
    pub hollow_memory: u64,
    /// Memory of each real daemon, in bytes.
    pub real_memory: Vec<u64>,
    /// Resource usage of the whole run.
    pub used: Used,
}

/// A running fleet.
struct Running<'a> {
    plan: &'a Plan,
    daemons: Daemons,
    hosts: Hosts,
    used: Used,
    stop: &'a AtomicBool,
}

/// Runs a fleet; files go into `folder`.
pub fn play(plan: &Plan, folder: &Path, stop: &AtomicBool) -> Result<Played, PlayError> {
    let hollow = plan.servers.saturating_sub(plan.real);
    let required = RequiredResources { hollow, real: plan.real, hosts: plan.hosts };
    required.check(&Available::now())?;
    let daemons = Daemons::start(&plan.daemons(true), folder, plan.servers - 1)?;
    interrupted(stop)?;
    let hosts = Hosts::start(&plan.hosts(&daemons), folder)?;
    let mut running = Running { plan, daemons, hosts, used: Used::default(), stop };
    let known_s = running.until_known(unix_ms())?;
    let (steady, last) = running.steady()?;
    let (hollow_memory, real_memory) = (running.memory_of_hollow(hollow), running.daemons.memory());
    let healed_s = match plan.cut {
        Some(length) => running.cut(length)?,
        None => None,
    };
    running.used.cores = cores(&steady);
    let used = running.used;
    let cut = plan.cut.is_some();
    let cut_dropped = running.hosts.report()?.iter().map(|report| report.cut).sum();
    Ok(Played { known_s, healed_s, cut, cut_dropped, steady, last, hollow_memory, real_memory, used })
}

/// Measures the CPU time of unconnected hollow and real servers under the same load, side by side.
pub fn alone(plan: &Plan, folder: &Path, stop: &AtomicBool) -> Result<Alone, PlayError> {
    let daemons = Daemons::start(&plan.daemons(false), folder, 0)?;
    let places = plan.shape.hollow(BASELINE_SERVERS, std::process::id());
    let host = HostPlan { settings: None, ..plan.host(&daemons, places, Vec::new(), 0) };
    let mut hosts = Hosts::start(&[host], folder)?;
    // Excludes the start-up itself.
    wait(CHECK_INTERVAL * 4, stop)?;
    let from = Snapshot::new(&hosts.report()?, daemons.figures_alone());
    wait(plan.steady, stop)?;
    let to = Snapshot::new(&hosts.report()?, daemons.figures_alone());
    let window = Window::between(&from, &to);
    Ok(Alone { hollow_cpu_ms: window.host_cpu_ms, real_cpu_ms: Rates::mean(&window.real).cpu_ms })
}

impl Plan {
    fn daemons(&self, connected: bool) -> DaemonsSpec {
        DaemonsSpec {
            daemon: self.daemon.clone(),
            servers: self.real,
            connected,
            rate: self.rate,
            run: self.run,
            seed: self.seed,
            shape: self.shape,
        }
    }

    /// Plans of the hosts. Hollow servers are assigned round robin, so that each host has some of all zones.
    fn hosts(&self, daemons: &Daemons) -> Vec<HostPlan> {
        let places = self.shape.hollow(self.servers.saturating_sub(self.real), std::process::id());
        let mut fleet = daemons.neighbours();
        fleet.extend(places.iter().map(|place| Neighbour {
            address: place.address,
            region: place.region,
            real: false,
        }));
        let places_of = |host: usize| places.iter().skip(host).step_by(self.hosts).cloned().collect();
        (0..self.hosts).map(|host| self.host(daemons, places_of(host), fleet.clone(), host)).collect()
    }

    fn host(
        &self,
        daemons: &Daemons,
        places: Vec<super::layout::Place>,
        fleet: Vec<Neighbour>,
        host: usize,
    ) -> HostPlan {
        let (config, settings) = daemons.files();
        HostPlan {
            config,
            settings: Some(settings),
            places,
            fleet,
            rate: self.rate,
            run_ms: self.run.as_secs_f64() * 1e3,
            seed: self.seed,
            look_ms: if self.servers > LARGE_FLEET { LARGE_FLEET_POLL_INTERVAL_MS } else { POLL_INTERVAL_MS },
            spend: if host == 0 { self.spend } else { Spend::default() },
        }
    }
}

impl Running<'_> {
    /// Waits for complete membership and returns the seconds from `since_ms` until then.
    fn until_known(&mut self, since_ms: u64) -> Result<Option<f64>, PlayError> {
        let begin = Instant::now();
        while begin.elapsed() < self.plan.patience {
            self.check()?;
            let real: Vec<Option<u64>> = self
                .daemons
                .figures()
                .into_iter()
                .map(|figures| figures.and_then(|figures| figures.whole_since_ms))
                .collect();
            if let Some(reports) = self.hosts.latest()? {
                let fresh = |report: &&Report| report.at_ms >= since_ms;
                let all = reports.iter().all(fresh);
                let servers = reports.iter().flat_map(|report| &report.servers);
                let complete_since: Option<Vec<u64>> =
                    servers.map(|one| one.whole_since_ms).chain(real).collect();
                if let Some(last) =
                    complete_since.filter(|_| all).and_then(|complete_since| complete_since.into_iter().max())
                {
                    return Ok(Some(last.saturating_sub(since_ms) as f64 / 1e3));
                }
            }
        }
        Ok(None)
    }

    /// Rates in the steady state.
    fn steady(&mut self) -> Result<(Window, Snapshot), PlayError> {
        let from = self.snapshot()?;
        let begin = Instant::now();
        while begin.elapsed() < self.plan.steady {
            self.check()?;
        }
        let to = self.snapshot()?;
        Ok((Window::between(&from, &to), to))
    }

    /// Partitions the last region for `length`, then waits for complete membership.
    fn cut(&mut self, length: Duration) -> Result<Option<f64>, PlayError> {
        let last = Region(self.plan.shape.regions.saturating_sub(1) as u8);
        self.hosts.cut(&Cut::of([last]))?;
        let begin = Instant::now();
        while begin.elapsed() < length {
            self.check()?;
        }
        self.hosts.cut(&Cut::default())?;
        // Reports from before the end of the partition don't count.
        let healed = unix_ms();
        self.hosts.report()?;
        self.until_known(healed)
    }

    fn snapshot(&mut self) -> Result<Snapshot, PlayError> {
        let reports = self.hosts.report()?;
        Ok(Snapshot::new(&reports, self.daemons.figures()))
    }

    /// Waits for an interval, then records resource usage and checks limits and interruption.
    fn check(&mut self) -> Result<(), PlayError> {
        wait(CHECK_INTERVAL, self.stop)?;
        let mut pids = self.hosts.pids();
        pids.extend(self.daemons.pids());
        pids.push(std::process::id());
        self.used.update(&pids);
        self.hosts.latest()?;
        if self.used.memory > MAX_MEMORY_BYTES {
            return Err(PlayError::Memory(self.used.memory >> 20));
        }
        Ok(())
    }

    fn hosts_memory(&self) -> u64 {
        self.hosts.pids().into_iter().filter_map(|pid| memory_of(pid, "VmRSS")).sum()
    }

    fn memory_of_hollow(&self, servers: usize) -> u64 {
        self.hosts_memory() / servers.max(1) as u64
    }
}

/// Number of cores used by hosts and daemons together.
fn cores(window: &Window) -> f64 {
    let hosts = window.host_cpu_ms * window.hollow.len() as f64 + window.beside_cpu_ms;
    let real: f64 = window.real.iter().map(|rates| rates.cpu_ms).sum();
    (hosts + real) / 1e3
}

fn interrupted(stop: &AtomicBool) -> Result<(), PlayError> {
    if stop.load(Ordering::Relaxed) { Err(PlayError::Interrupted) } else { Ok(()) }
}

/// Waits for `length`, or until the run is interrupted.
fn wait(length: Duration, stop: &AtomicBool) -> Result<(), PlayError> {
    let begin = Instant::now();
    while begin.elapsed() < length {
        interrupted(stop)?;
        thread::sleep(CHECK_INTERVAL.min(length.saturating_sub(begin.elapsed())));
    }
    interrupted(stop)
}
