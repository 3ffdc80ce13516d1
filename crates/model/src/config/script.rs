//! Events of a run: ordinary changes and faults at their rates, and the incidents.

use super::Spec;
use crate::queue::{At, nanos};
use crate::streams::{Streams, one_of, shuffle, unit, within};
use rand_pcg::Pcg64Mcg;

/// Events of an ordinary day in a fleet of 1,100 servers.
const CHANGES_A_DAY: f64 = 1_900.0;
const MACHINES_A_DAY: f64 = 97.0;
const RESTARTS_A_DAY: f64 = 1_700.0;
const FLEET: f64 = 1_100.0;
const DAY_S: f64 = 86_400.0;
/// Seconds that a restart takes, from the last message to the first.
const RESTART_S: [f64; 2] = [2.0, 5.0];
/// Seconds until a failed machine is replaced; half of them return with an empty disk.
const REPLACE_S: [f64; 2] = [20.0, 60.0];
/// Seconds at the end of a run without any event.
pub const QUIET_S: f64 = 20.0;
/// Servers in a rack.
const RACK: usize = 20;

/// An event beyond the ordinary ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Incident {
    /// Start in seconds.
    pub at_s: f64,
    /// Kind of the incident.
    pub kind: Kind,
}

/// Kinds of incidents.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// A region is partitioned while changes are committed.
    Region {
        /// Duration in seconds.
        seconds: f64,
        /// Number of changes, spread over the duration.
        changes: usize,
    },
    /// A fifth of the servers, from all zones and without voters, is partitioned while changes are committed.
    Fifth {
        /// Duration in seconds.
        seconds: f64,
        /// Number of changes, spread over the duration.
        changes: usize,
    },
    /// Twenty changes per second for 10 s, while a tenth of the servers starts with an empty disk.
    Burst,
    /// Seven in ten servers restart within 7 s.
    MassRestart,
    /// Twenty servers of a zone are down for 30 s.
    Rack,
    /// A zone is down for 30 s.
    Zone,
    /// A single change.
    Change,
}

/// The incidents of a compressed day, spread over the run.
pub fn scenario(spec: &Spec) -> Vec<Incident> {
    let at = |part: f64, kind| Incident { at_s: part * spec.seconds, kind };
    // The partition lasts three minutes if the run is long enough.
    let seconds = (spec.seconds * 0.45).min(180.0);
    vec![
        at(0.05, Kind::Rack),
        at(0.12, Kind::Burst),
        at(0.22, Kind::Region { seconds, changes: 40 }),
        at(0.74, Kind::MassRestart),
        at(0.84, Kind::Zone),
    ]
}

/// Disk content of a server that starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// The last state written.
    Kept,
    /// No state.
    Empty,
}

/// An action of the simulation.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A change is proposed.
    Propose,
    /// A server is killed.
    Kill(usize),
    /// A server starts, unless it is running.
    Start(usize, Disk),
    /// Servers are partitioned.
    Cut(Vec<usize>),
    /// The partition of these servers ends.
    Heal(Vec<usize>),
}

/// All actions of a run with their times, unordered.
pub fn actions(spec: &Spec) -> Vec<(At, Action)> {
    let mut script =
        Script { spec, rng: Streams::new(spec.seed).of("config script", 0), actions: Vec::new() };
    if spec.ordinary {
        script.ordinary();
    }
    for incident in &spec.incidents {
        script.incident(incident);
    }
    script.actions
}

struct Script<'s> {
    spec: &'s Spec,
    rng: Pcg64Mcg,
    actions: Vec<(At, Action)>,
}

impl Script<'_> {
    fn add_action(&mut self, at_s: f64, action: Action) {
        self.actions.push((nanos(at_s.max(0.0)), action));
    }

    /// Draws the times of a Poisson process, up to the quiet end of the run.
    fn poisson_times(&mut self, a_day: f64) -> Vec<f64> {
        let rate = a_day * self.spec.compression / DAY_S;
        let mut poisson_times = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - unit(&mut self.rng)).ln() / rate.max(1e-9);
            if at >= self.spec.seconds - QUIET_S {
                return poisson_times;
            }
            poisson_times.push(at);
        }
    }

    fn ordinary(&mut self) {
        let scale = self.spec.servers as f64 / FLEET;
        for at in self.poisson_times(CHANGES_A_DAY) {
            self.add_action(at, Action::Propose);
        }
        for at in self.poisson_times(RESTARTS_A_DAY * scale) {
            let n = one_of(&mut self.rng, self.spec.servers);
            self.restart(n, at, RESTART_S, Disk::Kept);
        }
        for at in self.poisson_times(MACHINES_A_DAY * scale) {
            let n = one_of(&mut self.rng, self.spec.servers);
            let empty = n >= self.spec.voters && unit(&mut self.rng) < 0.5;
            self.restart(n, at, REPLACE_S, if empty { Disk::Empty } else { Disk::Kept });
        }
    }

    /// Restarts a server, unless it would return during the quiet end of the run.
    fn restart(&mut self, n: usize, at: f64, off_s: [f64; 2], disk: Disk) {
        let back = at + within(&mut self.rng, off_s);
        if back < self.spec.seconds - QUIET_S {
            self.add_action(at, Action::Kill(n));
            self.add_action(back, Action::Start(n, disk));
        }
    }

    fn all(&self) -> Vec<usize> {
        (0..self.spec.servers).collect()
    }

    fn incident(&mut self, incident: &Incident) {
        let at = incident.at_s;
        let zones = self.spec.zones;
        match incident.kind {
            Kind::Change => self.add_action(at, Action::Propose),
            Kind::Region { seconds, changes } => {
                let region = one_of(&mut self.rng, self.spec.regions);
                let in_region = |n: &usize| n % zones % self.spec.regions == region;
                let cut = self.all().into_iter().filter(in_region).collect();
                self.cut(at, seconds, changes, cut);
            }
            Kind::Fifth { seconds, changes } => {
                let mut sample: Vec<usize> = (self.spec.voters..self.spec.servers).collect();
                shuffle(&mut self.rng, &mut sample);
                sample.truncate(self.spec.servers / 5);
                self.cut(at, seconds, changes, sample);
            }
            Kind::Burst => {
                for n in 0..200 {
                    self.add_action(at + f64::from(n) / 20.0, Action::Propose);
                }
                let mut sample: Vec<usize> = (self.spec.voters..self.spec.servers).collect();
                shuffle(&mut self.rng, &mut sample);
                for n in sample.into_iter().take(self.spec.servers / 10) {
                    let begins = at + within(&mut self.rng, [-2.0, 3.0]);
                    self.restart(n, begins, RESTART_S, Disk::Empty);
                }
            }
            Kind::MassRestart => {
                let mut all = self.all();
                shuffle(&mut self.rng, &mut all);
                for n in all.into_iter().take(self.spec.servers * 7 / 10) {
                    let begins = at + within(&mut self.rng, [0.0, 7.0]);
                    self.restart(n, begins, RESTART_S, Disk::Kept);
                }
            }
            Kind::Rack | Kind::Zone => {
                let zone = one_of(&mut self.rng, zones);
                let most = if incident.kind == Kind::Rack { RACK } else { usize::MAX };
                let sample: Vec<usize> =
                    self.all().into_iter().filter(|n| n % zones == zone).take(most).collect();
                for n in sample {
                    self.restart(n, at, [30.0, 32.0], Disk::Kept);
                }
            }
        }
    }

    fn cut(&mut self, at: f64, seconds: f64, changes: usize, servers: Vec<usize>) {
        for n in 0..changes {
            let part = (n as f64 + 0.5) / changes as f64;
            self.add_action(at + part * seconds, Action::Propose);
        }
        self.add_action(at, Action::Cut(servers.clone()));
        self.add_action(at + seconds, Action::Heal(servers));
    }
}
