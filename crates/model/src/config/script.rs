//! What happens in a day: ordinary changes and faults at their rates, and the incidents.

use super::Spec;
use crate::queue::{At, nanos};
use crate::streams::{Streams, one_of, shuffle, unit, within};
use rand_pcg::Pcg64Mcg;

/// An ordinary day at 1,100 servers.
const CHANGES_A_DAY: f64 = 1_900.0;
const MACHINES_A_DAY: f64 = 97.0;
const RESTARTS_A_DAY: f64 = 1_700.0;
const FLEET: f64 = 1_100.0;
const DAY_S: f64 = 86_400.0;
/// A restart takes this long, from the last message to the first one.
const RESTART_S: [f64; 2] = [2.0, 5.0];
/// A machine that is lost is replaced within this long; every other one comes back with an empty disk.
const REPLACE_S: [f64; 2] = [20.0, 60.0];
/// At the end of a day nothing happens any more.
pub const QUIET_S: f64 = 20.0;
/// Servers of a rack.
const RACK: usize = 20;

/// Something beside the ordinary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Incident {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// What.
    pub kind: Kind,
}

/// Kinds of incidents.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// A region is cut off for so long, with so many changes meanwhile.
    Region {
        /// How long, in seconds.
        seconds: f64,
        /// Changes, spread over it.
        changes: usize,
    },
    /// A fifth of the servers, of all zones and without voters, is cut off in the same way.
    Fifth {
        /// How long, in seconds.
        seconds: f64,
        /// Changes, spread over it.
        changes: usize,
    },
    /// Twenty changes a second for ten seconds, while a tenth of the servers starts with an empty disk.
    Burst,
    /// Seven in ten servers restart within 7 s.
    MassRestart,
    /// Twenty servers of a zone are off for 30 s.
    Rack,
    /// A zone is off for 30 s.
    Zone,
    /// One change.
    Change,
}

/// The incidents of an ordinary day's model, spread over it.
pub fn scenario(spec: &Spec) -> Vec<Incident> {
    let at = |part: f64, kind| Incident { at_s: part * spec.seconds, kind };
    // The split lasts three minutes where the day has room for it.
    let seconds = (spec.seconds * 0.45).min(180.0);
    vec![
        at(0.05, Kind::Rack),
        at(0.12, Kind::Burst),
        at(0.22, Kind::Region { seconds, changes: 40 }),
        at(0.74, Kind::MassRestart),
        at(0.84, Kind::Zone),
    ]
}

/// What a server has on its disk when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// The last state that was written.
    Kept,
    /// Nothing.
    Empty,
}

/// Something that the world does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Somebody proposes a change.
    Propose,
    /// A server stops without a word.
    Kill(usize),
    /// A server starts, if it is off.
    Start(usize, Disk),
    /// Servers are cut off.
    Cut(Vec<usize>),
    /// They are back.
    Heal(Vec<usize>),
}

/// All actions of a day with their times; in no order.
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
    fn put(&mut self, at_s: f64, action: Action) {
        self.actions.push((nanos(at_s.max(0.0)), action));
    }

    /// Moments of a Poisson process over the day but its end.
    fn moments(&mut self, a_day: f64) -> Vec<f64> {
        let rate = a_day * self.spec.compression / DAY_S;
        let mut moments = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - unit(&mut self.rng)).ln() / rate.max(1e-9);
            if at >= self.spec.seconds - QUIET_S {
                return moments;
            }
            moments.push(at);
        }
    }

    fn ordinary(&mut self) {
        let scale = self.spec.servers as f64 / FLEET;
        for at in self.moments(CHANGES_A_DAY) {
            self.put(at, Action::Propose);
        }
        for at in self.moments(RESTARTS_A_DAY * scale) {
            let n = one_of(&mut self.rng, self.spec.servers);
            self.restart(n, at, RESTART_S, Disk::Kept);
        }
        for at in self.moments(MACHINES_A_DAY * scale) {
            let n = one_of(&mut self.rng, self.spec.servers);
            let empty = n >= self.spec.voters && unit(&mut self.rng) < 0.5;
            self.restart(n, at, REPLACE_S, if empty { Disk::Empty } else { Disk::Kept });
        }
    }

    /// A server goes and comes back; before the quiet end of the day.
    fn restart(&mut self, n: usize, at: f64, off_s: [f64; 2], disk: Disk) {
        let back = at + within(&mut self.rng, off_s);
        if back < self.spec.seconds - QUIET_S {
            self.put(at, Action::Kill(n));
            self.put(back, Action::Start(n, disk));
        }
    }

    fn all(&self) -> Vec<usize> {
        (0..self.spec.servers).collect()
    }

    fn incident(&mut self, incident: &Incident) {
        let at = incident.at_s;
        let zones = self.spec.zones;
        match incident.kind {
            Kind::Change => self.put(at, Action::Propose),
            Kind::Region { seconds, changes } => {
                let region = one_of(&mut self.rng, self.spec.regions);
                let there = |n: &usize| n % zones % self.spec.regions == region;
                let cut = self.all().into_iter().filter(there).collect();
                self.cut(at, seconds, changes, cut);
            }
            Kind::Fifth { seconds, changes } => {
                let mut some: Vec<usize> = (self.spec.voters..self.spec.servers).collect();
                shuffle(&mut self.rng, &mut some);
                some.truncate(self.spec.servers / 5);
                self.cut(at, seconds, changes, some);
            }
            Kind::Burst => {
                for n in 0..200 {
                    self.put(at + f64::from(n) / 20.0, Action::Propose);
                }
                let mut some: Vec<usize> = (self.spec.voters..self.spec.servers).collect();
                shuffle(&mut self.rng, &mut some);
                for n in some.into_iter().take(self.spec.servers / 10) {
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
                let some: Vec<usize> =
                    self.all().into_iter().filter(|n| n % zones == zone).take(most).collect();
                for n in some {
                    self.restart(n, at, [30.0, 32.0], Disk::Kept);
                }
            }
        }
    }

    fn cut(&mut self, at: f64, seconds: f64, changes: usize, servers: Vec<usize>) {
        for n in 0..changes {
            let part = (n as f64 + 0.5) / changes as f64;
            self.put(at + part * seconds, Action::Propose);
        }
        self.put(at, Action::Cut(servers.clone()));
        self.put(at + seconds, Action::Heal(servers));
    }
}
