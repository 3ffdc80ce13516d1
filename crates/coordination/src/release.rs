//! A release as the council agrees on it: the plan, the waves, where each server stands, and the way back. What is done next
//! is the leader's to say ([`crate::controller`]); what a server does in its turn is the server's.
//!
//! Nothing here goes on by itself: each step is a command of the log, so that any process may die at any moment and
//! another goes on where the record stands.

use crate::record::{MOST_TEXT, Name, Outcome, Purpose, Record, Stage, Target, Why};
use gradepin_admission::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Waves of a plan at the most.
pub const MOST_WAVES: usize = 32;

/// What is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A program: a command of the operators' own replaces the process.
    Program,
    /// Settings: staged to each server, checked as a whole there, put in force as at SIGHUP.
    Settings,
}

/// Servers that are changed before anything is looked at again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// The share of all servers that is changed when it is over, from 0 to 1; at least one server more than before.
    pub share: f64,
    /// How long is looked after it, in ms.
    pub pause_ms: u64,
}

impl Wave {
    /// How long is looked after it.
    pub fn pause(&self) -> Span {
        millis(self.pause_ms)
    }
}

/// A time of a plan. One that doesn't fit is as good as endless.
fn millis(ms: u64) -> Span {
    Span(ms.saturating_mul(MS))
}

/// What is to be released, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its name: the same name with the same plan is the same release.
    pub name: String,
    /// What.
    pub kind: Kind,
    /// The version, as servers tell it: of settings the digest of the staged text.
    pub version: String,
    /// The waves, in order; the last one has a share of 1.
    pub waves: Vec<Wave>,
    /// Zone after zone within a wave, rather than by turns.
    pub zone_by_zone: bool,
    /// How long a changed server may take to be ready, in ms.
    pub ready_ms: u64,
    /// How long it must have been ready to count, in ms.
    pub steady_ms: u64,
    /// Service that is worse by less than this, from 0 to 1, halts nothing.
    pub worse: f64,
    /// Whether a halt for a cause of its own goes back by itself.
    pub goes_back: bool,
}

impl Plan {
    /// How long a changed server may take to be ready.
    pub fn ready(&self) -> Span {
        millis(self.ready_ms)
    }

    /// How long it must have been ready to count.
    pub fn steady(&self) -> Span {
        millis(self.steady_ms)
    }

    /// What is wrong with it, if something is.
    pub fn check(&self) -> Result<(), String> {
        let texts = [&self.name, &self.version];
        if texts.iter().any(|text| text.is_empty() || text.len() > MOST_TEXT) {
            return Err(format!("expected a name and a version of 1 to {MOST_TEXT} bytes"));
        }
        if self.waves.is_empty() || self.waves.len() > MOST_WAVES {
            return Err(format!("expected 1 to {MOST_WAVES} waves, got {}", self.waves.len()));
        }
        let shares: Vec<f64> = self.waves.iter().map(|wave| wave.share).collect();
        if !shares.iter().all(|share| (0.0..=1.0).contains(share)) || !shares.is_sorted() {
            return Err(format!("expected shares from 0 to 1 that grow, got {shares:?}"));
        }
        if shares.last() != Some(&1.0) {
            return Err("expected the last wave to have a share of 1".into());
        }
        if !(0.0..=1.0).contains(&self.worse) {
            return Err(format!("expected worse from 0 to 1, got {}", self.worse));
        }
        if self.ready_ms == 0 || self.steady_ms == 0 {
            return Err("expected ready and steady of more than 0 ms".into());
        }
        Ok(())
    }
}

/// Where a server stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Not yet its turn.
    Waits,
    /// It began to change.
    Changes,
    /// It has the new version, and is steady.
    New,
    /// It couldn't take it, and why.
    Failed(String),
    /// It began to change back.
    GoesBack,
    /// It has what it had before, and is steady.
    Back,
    /// It couldn't go back, and why.
    Stuck(String),
}

/// A server of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// In which wave.
    pub wave: u32,
    /// What it had before.
    pub before: String,
    /// Where it stands.
    pub step: Step,
}

/// Where a release stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It goes forward.
    Runs,
    /// It stands still, and why.
    Halted(String),
    /// It goes back, and why.
    GoesBack(String),
    /// All have the new version.
    Done,
    /// All have what they had before.
    Undone(String),
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Runs => write!(f, "running"),
            Self::Halted(why) => write!(f, "halted: {why}"),
            Self::GoesBack(why) => write!(f, "going back: {why}"),
            Self::Done => write!(f, "done"),
            Self::Undone(why) => write!(f, "undone: {why}"),
        }
    }
}

/// A release.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The index of the entry that started it.
    pub number: u64,
    /// What and how.
    pub plan: Plan,
    /// Who started it.
    pub by: Name,
    /// Where it stands.
    pub state: State,
    /// The wave that is changed or looked at.
    pub wave: u32,
    /// How often it was halted: a resume names the halt that it is for.
    pub halts: u32,
    /// Its servers.
    pub servers: BTreeMap<Name, Server>,
}

impl Release {
    /// Whether it is neither over nor undone.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Runs | State::Halted(_) | State::GoesBack(_))
    }

    /// Servers whose turn it is: of the wave forward, and all that have or began something new when it goes back, the
    /// latest first.
    pub fn turns(&self) -> Vec<&Name> {
        match self.state {
            State::Runs => {
                let due = |server: &Server| {
                    server.wave <= self.wave && matches!(server.step, Step::Waits | Step::Changes)
                };
                self.servers.iter().filter(|(_, server)| due(server)).map(|(name, _)| name).collect()
            }
            State::GoesBack(_) => {
                let due = |server: &Server| !matches!(server.step, Step::Waits | Step::Back | Step::Stuck(_));
                let mut all: Vec<(&Name, &Server)> =
                    self.servers.iter().filter(|(_, server)| due(server)).collect();
                all.sort_by_key(|(_, server)| std::cmp::Reverse(server.wave));
                all.into_iter().map(|(name, _)| name).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The version that a server shall have as things stand.
    pub fn wanted(&self, server: &Server) -> String {
        match self.state {
            State::GoesBack(_) | State::Undone(_) => server.before.clone(),
            _ if matches!(server.step, Step::Waits) => server.before.clone(),
            _ => self.plan.version.clone(),
        }
    }

    /// Whether all of the wave stand where they should.
    pub fn wave_is_whole(&self) -> bool {
        let of = |server: &&Server| server.wave <= self.wave;
        self.servers.values().filter(of).all(|server| server.step == Step::New)
    }
}

/// What is ordered about a release. Orders name what they are for, so that two that cross can't do what neither wanted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReleaseOrder {
    /// Begin one.
    Start {
        /// What and how.
        plan: Box<Plan>,
        /// Who says so.
        by: Name,
        /// What servers have now; those that aren't named take no part.
        before: Vec<(Name, String)>,
    },
    /// Stand still.
    Halt {
        /// The release's name.
        name: String,
        /// Who says so; the council's leader may.
        by: Name,
        /// Why.
        why: String,
    },
    /// Go on, after the halt of this number.
    Resume {
        /// The release's name.
        name: String,
        /// How many halts the one who says so knows of.
        halts: u32,
        /// Who says so.
        by: Name,
    },
    /// Go back.
    Back {
        /// The release's name.
        name: String,
        /// Who says so.
        by: Name,
        /// Why.
        why: String,
    },
    /// A server stands somewhere else.
    Stepped {
        /// The release's number.
        number: u64,
        /// Which server.
        server: Name,
        /// Where.
        step: Step,
    },
    /// The next wave.
    Wave {
        /// The release's number.
        number: u64,
        /// Which wave.
        wave: u32,
    },
    /// It is over, one way or the other.
    Over {
        /// The release's number.
        number: u64,
    },
}

fn refused(text: impl Into<String>) -> Outcome {
    Outcome::Refused(Why::Sense(text.into()))
}

impl Record {
    /// Whether a step of this release may be taken.
    pub(crate) fn release_goes_on(&self, number: u64) -> Result<(), Why> {
        match &self.release {
            Some(release) if release.number != number => Err(Why::Release("another one by now".into())),
            Some(release) if matches!(release.state, State::Runs | State::GoesBack(_)) => Ok(()),
            Some(release) => Err(Why::Release(release.state.to_string())),
            None => Err(Why::Release("not there".into())),
        }
    }

    fn named(&mut self, name: &str) -> Result<&mut Release, Outcome> {
        let release = self.release.as_mut().ok_or_else(|| refused(format!("there is no release {name}")))?;
        if release.plan.name != name {
            return Err(refused(format!("expected the release {}, got {name}", release.plan.name)));
        }
        Ok(release)
    }

    /// Applies an order.
    pub(crate) fn order(&mut self, index: u64, order: ReleaseOrder) -> Outcome {
        match self.try_order(index, order) {
            Ok(outcome) | Err(outcome) => outcome,
        }
    }

    fn try_order(&mut self, index: u64, order: ReleaseOrder) -> Result<Outcome, Outcome> {
        match order {
            ReleaseOrder::Start { plan, by, before } => return Ok(self.start(index, *plan, by, before)),
            ReleaseOrder::Halt { name, by, why } => {
                let release = self.named(&name)?;
                match &release.state {
                    State::Runs => {}
                    State::Halted(_) => return Ok(Outcome::Done),
                    // A way back is halted too: then nothing moves until somebody says which way.
                    State::GoesBack(_) => {}
                    over => return Err(refused(format!("the release is {over}"))),
                }
                release.halts += 1;
                release.state = State::Halted(why.clone());
                self.act(index, by, format!("release {name} halted"), why);
            }
            ReleaseOrder::Resume { name, halts, by } => {
                let release = self.named(&name)?;
                let State::Halted(_) = &release.state else {
                    return Err(refused(format!("the release is {}", release.state)));
                };
                if release.halts != halts {
                    return Err(refused(format!("it was halted again meanwhile: {}", release.state)));
                }
                // What failed is tried again: somebody has looked at it.
                for server in release.servers.values_mut() {
                    if matches!(server.step, Step::Failed(_) | Step::GoesBack | Step::Back | Step::Stuck(_)) {
                        server.step = Step::Waits;
                    }
                }
                release.state = State::Runs;
                self.act(index, by, format!("release {name} resumed"), String::new());
            }
            ReleaseOrder::Back { name, by, why } => {
                let release = self.named(&name)?;
                match &release.state {
                    State::GoesBack(_) | State::Undone(_) => return Ok(Outcome::Done),
                    _ => {}
                }
                for server in release.servers.values_mut() {
                    if let Step::Stuck(_) = server.step {
                        server.step = Step::Failed("tried again".into());
                    }
                }
                release.state = State::GoesBack(why.clone());
                self.act(index, by, format!("release {name} goes back"), why);
            }
            ReleaseOrder::Stepped { number, server, step } => {
                let release = self.release.as_mut().filter(|release| release.number == number);
                let release = release.ok_or_else(|| refused("another release by now"))?;
                let back = matches!(release.state, State::GoesBack(_));
                let Some(server) = release.servers.get_mut(&server) else {
                    return Err(refused(format!("{server} takes no part")));
                };
                // What was seen before the way turned says nothing of the way that it goes now.
                let fits = match step {
                    Step::New | Step::Failed(_) => !back,
                    Step::Back | Step::Stuck(_) => back,
                    _ => true,
                };
                if !fits {
                    return Err(refused("the release goes the other way by now"));
                }
                server.step = step;
            }
            ReleaseOrder::Wave { number, wave } => {
                let release = self.release.as_mut().filter(|release| release.number == number);
                let release = release.ok_or_else(|| refused("another release by now"))?;
                if release.state != State::Runs || wave != release.wave + 1 || !release.wave_is_whole() {
                    return Err(refused("not the time for the next wave"));
                }
                release.wave = wave;
            }
            ReleaseOrder::Over { number } => {
                let release = self.release.as_mut().filter(|release| release.number == number);
                let release = release.ok_or_else(|| refused("another release by now"))?;
                let all =
                    |holds: fn(&Step) -> bool| release.servers.values().all(|server| holds(&server.step));
                match &release.state {
                    State::Runs if all(|step| *step == Step::New) => release.state = State::Done,
                    State::GoesBack(why) if all(|step| matches!(step, Step::Waits | Step::Back)) => {
                        release.state = State::Undone(why.clone());
                    }
                    _ => return Err(refused("not all are there yet")),
                }
            }
        }
        Ok(Outcome::Done)
    }

    fn start(&mut self, index: u64, plan: Plan, by: Name, before: Vec<(Name, String)>) -> Outcome {
        if let Some(release) = &self.release
            && (release.is_open() || release.plan.name == plan.name)
        {
            // Said twice it is one, also where the second word of it comes after its end; another has to wait.
            return if release.plan == plan && !matches!(release.state, State::Undone(_)) {
                Outcome::Done
            } else if release.is_open() {
                refused(format!("release {} is {}", release.plan.name, release.state))
            } else {
                refused(format!("release {} is {}; give another try another name", plan.name, release.state))
            };
        }
        if let Err(why) = plan.check() {
            return refused(why);
        }
        let before: BTreeMap<Name, String> = before.into_iter().collect();
        let mut zones: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for (name, member) in self.roster.iter().filter(|(name, _)| before.contains_key(*name)) {
            zones.entry(&member.zone).or_default().push(name);
        }
        let mut order: Vec<&Name> = Vec::new();
        if plan.zone_by_zone {
            order.extend(zones.values().flatten());
        } else {
            let longest = zones.values().map(Vec::len).max().unwrap_or(0);
            for turn in 0..longest {
                order.extend(zones.values().filter_map(|names| names.get(turn)));
            }
        }
        if order.is_empty() {
            return refused("no server of the roster is heard");
        }
        let mut servers = BTreeMap::new();
        let mut upto = 0;
        for (wave, Wave { share, .. }) in plan.waves.iter().enumerate() {
            // At least one more than the wave before, as long as there are any.
            let until = ((share * order.len() as f64).floor() as usize).max(upto + 1).min(order.len());
            for name in &order[upto..until] {
                let before = before.get(*name).cloned().unwrap_or_default();
                let server = Server { wave: wave as u32, before, step: Step::Waits };
                servers.insert(Arc::clone(name), server);
            }
            upto = until;
        }
        self.act(index, Arc::clone(&by), format!("release {} started", plan.name), String::new());
        let release = Release { number: index, plan, by, state: State::Runs, wave: 0, halts: 0, servers };
        self.release = Some(release);
        Outcome::Done
    }

    /// The program that the release, if there is one, wants a server to have: for whoever starts its process.
    pub fn program_for(&self, name: &str) -> Option<String> {
        let release = self.release.as_ref().filter(|release| release.plan.kind == Kind::Program)?;
        Some(release.wanted(release.servers.get(name)?))
    }

    /// Permits of a release, by server.
    pub fn release_permits(&self, number: u64) -> impl Iterator<Item = (u64, &Name, &Stage)> {
        self.permits.iter().filter_map(move |(epoch, permit)| match (&permit.target, &permit.purpose) {
            (Target::Server(name), Purpose::Release(of)) if *of == number => {
                Some((*epoch, name, &permit.stage))
            }
            _ => None,
        })
    }
}

#[cfg(test)]
mod tests;
