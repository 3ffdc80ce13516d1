//! One fleet of one size, from its start to its end: until all know all, a steady span that is measured, a cut of a region
//! and its end.

use super::cut::Cut;
use super::daemons::{Daemons, DaemonsSpec};
use super::figures::{Rates, Snapshot, Window};
use super::hosts::{Hosts, HostsError};
use super::layout::{Region, Shape};
use super::messages::{HostPlan, Neighbour, Report};
use super::resources::{Available, MOST_MEMORY, Short, Used, Wanted};
use super::spend::Spend;
use crate::fleet::memory_of;
use crate::registry::server::unix_ms;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Between looks at the fleet.
const LOOK: Duration = Duration::from_millis(250);
/// Hollow servers are asked what they know this often, in larger fleets less often: an answer goes through all rows.
const LOOK_MS: u64 = 250;
const LARGE: usize = 300;
const LARGE_LOOK_MS: u64 = 1_000;
/// Servers without others, for what requests alone cost.
const ALONE: usize = 3;

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Servers in all, and how many of them are real.
    pub servers: usize,
    /// See `servers`.
    pub real: usize,
    /// Host processes.
    pub hosts: usize,
    /// Zones and regions.
    pub shape: Shape,
    /// Requests a second of each server, and what a run takes in the mean.
    pub rate: f64,
    /// See `rate`.
    pub run: Duration,
    /// How long the steady span lasts.
    pub steady: Duration,
    /// How long the last region is cut from the others; none for no cut.
    pub cut: Option<Duration>,
    /// How long all may take to know all, at the start and after a cut.
    pub patience: Duration,
    /// For all that is drawn.
    pub seed: u64,
    /// What the first hollow server spends beside its work.
    pub spend: Spend,
}

/// What a run can't go on for.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// There is no room for it.
    #[error(transparent)]
    Short(#[from] Short),
    /// The system denies something.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The hosts.
    #[error(transparent)]
    Hosts(#[from] HostsError),
    /// It grew past what a run may use.
    #[error("the run holds {0} MB of memory, more than the {most} MB that it may use", most = MOST_MEMORY >> 20)]
    Memory(u64),
    /// Somebody interrupted it.
    #[error("interrupted: all processes of the run were ended")]
    Interrupted,
}

/// CPU of a server by itself under the same load, in ms a second of its process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Alone {
    /// A hollow one.
    pub hollow_cpu_ms: f64,
    /// A real one.
    pub real_cpu_ms: f64,
}

/// What was seen.
#[derive(Debug, Clone)]
pub struct Played {
    /// From the start of the last host until all knew all; none if that took longer than the patience.
    pub known_s: Option<f64>,
    /// The same from the end of the cut.
    pub healed_s: Option<f64>,
    /// Whether a region was cut, and how many datagrams were dropped for it.
    pub cut: bool,
    /// See `cut`.
    pub cut_dropped: u64,
    /// The steady span.
    pub steady: Window,
    /// The state at its end.
    pub last: Snapshot,
    /// Memory of a hollow server with its part of its host, and of the real ones, in bytes.
    pub hollow_memory: u64,
    /// See `hollow_memory`.
    pub real_memory: Vec<u64>,
    /// What the run used in all.
    pub used: Used,
}

/// A fleet that runs.
struct Running<'a> {
    plan: &'a Plan,
    daemons: Daemons,
    hosts: Hosts,
    used: Used,
    stop: &'a AtomicBool,
}

/// Plays a fleet; files go into the folder.
pub fn play(plan: &Plan, folder: &Path, stop: &AtomicBool) -> Result<Played, PlayError> {
    let hollow = plan.servers.saturating_sub(plan.real);
    let wanted = Wanted { hollow, real: plan.real, hosts: plan.hosts };
    wanted.check(&Available::now())?;
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

/// What servers use under this load without others, hollow and real, side by side.
pub fn alone(plan: &Plan, folder: &Path, stop: &AtomicBool) -> Result<Alone, PlayError> {
    let daemons = Daemons::start(&plan.daemons(false), folder, 0)?;
    let places = plan.shape.hollow(ALONE, std::process::id());
    let host = HostPlan { settings: None, ..plan.host(&daemons, places, Vec::new(), 0) };
    let mut hosts = Hosts::start(&[host], folder)?;
    // The first seconds hold the start itself.
    wait(LOOK * 4, stop)?;
    let from = Snapshot::new(&hosts.report()?, daemons.figures_alone());
    wait(plan.steady, stop)?;
    let to = Snapshot::new(&hosts.report()?, daemons.figures_alone());
    let window = Window::between(&from, &to);
    Ok(Alone { hollow_cpu_ms: window.host_cpu_ms, real_cpu_ms: Rates::mean(&window.real).cpu_ms })
}

impl Plan {
    fn daemons(&self, talks: bool) -> DaemonsSpec {
        DaemonsSpec {
            daemon: self.daemon.clone(),
            servers: self.real,
            talks,
            rate: self.rate,
            run: self.run,
            seed: self.seed,
            shape: self.shape,
        }
    }

    /// A plan for each host: hollow servers are dealt to them in turn, so that each has some of all zones.
    fn hosts(&self, daemons: &Daemons) -> Vec<HostPlan> {
        let places = self.shape.hollow(self.servers.saturating_sub(self.real), std::process::id());
        let mut fleet = daemons.neighbours();
        fleet.extend(places.iter().map(|place| Neighbour {
            address: place.address,
            region: place.region,
            real: false,
        }));
        let of = |host: usize| places.iter().skip(host).step_by(self.hosts).cloned().collect();
        (0..self.hosts).map(|host| self.host(daemons, of(host), fleet.clone(), host)).collect()
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
            look_ms: if self.servers > LARGE { LARGE_LOOK_MS } else { LOOK_MS },
            spend: if host == 0 { self.spend } else { Spend::default() },
        }
    }
}

impl Running<'_> {
    /// Waits until all know all since this time, and says how long that took.
    fn until_known(&mut self, since_ms: u64) -> Result<Option<f64>, PlayError> {
        let begin = Instant::now();
        while begin.elapsed() < self.plan.patience {
            self.look()?;
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
                let whole: Option<Vec<u64>> = servers.map(|one| one.whole_since_ms).chain(real).collect();
                if let Some(last) = whole.filter(|_| all).and_then(|whole| whole.into_iter().max()) {
                    return Ok(Some(last.saturating_sub(since_ms) as f64 / 1e3));
                }
            }
        }
        Ok(None)
    }

    /// The steady span.
    fn steady(&mut self) -> Result<(Window, Snapshot), PlayError> {
        let from = self.snapshot()?;
        let begin = Instant::now();
        while begin.elapsed() < self.plan.steady {
            self.look()?;
        }
        let to = self.snapshot()?;
        Ok((Window::between(&from, &to), to))
    }

    /// Cuts the last region for so long, and waits until all know all again.
    fn cut(&mut self, length: Duration) -> Result<Option<f64>, PlayError> {
        let last = Region(self.plan.shape.regions.saturating_sub(1) as u8);
        self.hosts.cut(&Cut::of([last]))?;
        let begin = Instant::now();
        while begin.elapsed() < length {
            self.look()?;
        }
        self.hosts.cut(&Cut::default())?;
        // A report of before the cut's end knows nothing of it.
        let healed = unix_ms();
        self.hosts.report()?;
        self.until_known(healed)
    }

    fn snapshot(&mut self) -> Result<Snapshot, PlayError> {
        let reports = self.hosts.report()?;
        Ok(Snapshot::new(&reports, self.daemons.figures()))
    }

    /// Waits a little, and looks at what the run uses and whether it is to end.
    fn look(&mut self) -> Result<(), PlayError> {
        wait(LOOK, self.stop)?;
        let mut pids = self.hosts.pids();
        pids.extend(self.daemons.pids());
        pids.push(std::process::id());
        self.used.look(&pids);
        self.hosts.latest()?;
        if self.used.memory > MOST_MEMORY {
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

/// Cores that hosts and daemons use between them.
fn cores(window: &Window) -> f64 {
    let hosts = window.host_cpu_ms * window.hollow.len() as f64 + window.beside_cpu_ms;
    let real: f64 = window.real.iter().map(|rates| rates.cpu_ms).sum();
    (hosts + real) / 1e3
}

fn interrupted(stop: &AtomicBool) -> Result<(), PlayError> {
    if stop.load(Ordering::Relaxed) { Err(PlayError::Interrupted) } else { Ok(()) }
}

/// Waits so long, or until the run is interrupted.
fn wait(length: Duration, stop: &AtomicBool) -> Result<(), PlayError> {
    let begin = Instant::now();
    while begin.elapsed() < length {
        interrupted(stop)?;
        thread::sleep(LOOK.min(length.saturating_sub(begin.elapsed())));
    }
    interrupted(stop)
}
