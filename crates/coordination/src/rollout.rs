//! A release as the council agrees on it: the plan, the waves, where each server stands, and the way back. What is done next
//! is the leader's to say ([`crate::controller`]); what a server does in its turn is the server's.
//!
//! Nothing here goes on by itself: each step is a command of the log, so that any process may die at any moment and
//! another goes on where the record stands.

use crate::replicated_state::{
    CommandOutcome, DenialReason, MAX_TEXT_BYTES, Name, PermitStage, Purpose, ReplicatedState, Target,
};
use gradepin_admission::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Waves of a plan at the most.
pub const MAX_BATCHES: usize = 32;

/// What is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseKind {
    /// A program: a command of the operators' own replaces the process.
    Program,
    /// Settings: staged to each server, checked as a whole there, put in force as at SIGHUP.
    Settings,
}

/// Servers that are changed before anything is looked at again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The share of all servers that is changed when it is over, from 0 to 1; at least one server more than before.
    pub share: f64,
    /// How long is looked after it, in ms.
    pub pause_ms: u64,
}

impl Batch {
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
pub struct RolloutPlan {
    /// Its name: the same name with the same plan is the same release.
    pub name: String,
    /// What.
    pub kind: ReleaseKind,
    /// The version, as servers tell it: of settings the digest of the staged text.
    pub version: String,
    /// The waves, in order; the last one has a share of 1.
    pub waves: Vec<Batch>,
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

impl RolloutPlan {
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
        if texts.iter().any(|text| text.is_empty() || text.len() > MAX_TEXT_BYTES) {
            return Err(format!("expected a name and a version of 1 to {MAX_TEXT_BYTES} bytes"));
        }
        if self.waves.is_empty() || self.waves.len() > MAX_BATCHES {
            return Err(format!("expected 1 to {MAX_BATCHES} waves, got {}", self.waves.len()));
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
pub enum ServerProgress {
    /// Not yet its turn.
    #[serde(rename = "Waits")]
    Pending,
    /// It began to change.
    #[serde(rename = "Changes")]
    Updating,
    /// It has the new version, and is steady.
    #[serde(rename = "New")]
    Updated,
    /// It couldn't take it, and why.
    Failed(String),
    /// It began to change back.
    #[serde(rename = "GoesBack")]
    RollingBack,
    /// It has what it had before, and is steady.
    #[serde(rename = "Back")]
    RolledBack,
    /// It couldn't go back, and why.
    #[serde(rename = "Stuck")]
    RollbackFailed(String),
}

/// A server of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutServer {
    /// In which wave.
    pub wave: u32,
    /// What it had before.
    pub before: String,
    /// Where it stands.
    pub step: ServerProgress,
}

/// Where a release stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// It goes forward.
    #[serde(rename = "Runs")]
    Running,
    /// It stands still, and why.
    Halted(String),
    /// It goes back, and why.
    #[serde(rename = "GoesBack")]
    RollingBack(String),
    /// All have the new version.
    Done,
    /// All have what they had before.
    #[serde(rename = "Undone")]
    RolledBack(String),
}

impl fmt::Display for RolloutState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running => write!(f, "running"),
            Self::Halted(why) => write!(f, "halted: {why}"),
            Self::RollingBack(why) => write!(f, "going back: {why}"),
            Self::Done => write!(f, "done"),
            Self::RolledBack(why) => write!(f, "undone: {why}"),
        }
    }
}

/// A release.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The index of the entry that started it.
    pub number: u64,
    /// What and how.
    pub plan: RolloutPlan,
    /// Who started it.
    pub by: Name,
    /// Where it stands.
    pub state: RolloutState,
    /// The wave that is changed or looked at.
    pub wave: u32,
    /// How often it was halted: a resume names the halt that it is for.
    pub halts: u32,
    /// Its servers.
    pub servers: BTreeMap<Name, RolloutServer>,
}

impl Rollout {
    /// Whether it is neither over nor undone.
    pub fn is_open(&self) -> bool {
        matches!(self.state, RolloutState::Running | RolloutState::Halted(_) | RolloutState::RollingBack(_))
    }

    /// Servers whose turn it is: of the wave forward, and all that have or began something new when it goes back, the
    /// latest first.
    pub fn turns(&self) -> Vec<&Name> {
        match self.state {
            RolloutState::Running => {
                let due = |server: &RolloutServer| {
                    server.wave <= self.wave
                        && matches!(server.step, ServerProgress::Pending | ServerProgress::Updating)
                };
                self.servers.iter().filter(|(_, server)| due(server)).map(|(name, _)| name).collect()
            }
            RolloutState::RollingBack(_) => {
                let due = |server: &RolloutServer| {
                    !matches!(
                        server.step,
                        ServerProgress::Pending
                            | ServerProgress::RolledBack
                            | ServerProgress::RollbackFailed(_)
                    )
                };
                let mut all: Vec<(&Name, &RolloutServer)> =
                    self.servers.iter().filter(|(_, server)| due(server)).collect();
                all.sort_by_key(|(_, server)| std::cmp::Reverse(server.wave));
                all.into_iter().map(|(name, _)| name).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The version that a server shall have as things stand.
    pub fn wanted(&self, server: &RolloutServer) -> String {
        match self.state {
            RolloutState::RollingBack(_) | RolloutState::RolledBack(_) => server.before.clone(),
            _ if matches!(server.step, ServerProgress::Pending) => server.before.clone(),
            _ => self.plan.version.clone(),
        }
    }

    /// Whether all of the wave stand where they should.
    pub fn wave_is_whole(&self) -> bool {
        let of = |server: &&RolloutServer| server.wave <= self.wave;
        self.servers.values().filter(of).all(|server| server.step == ServerProgress::Updated)
    }
}

/// What is ordered about a release. Orders name what they are for, so that two that cross can't do what neither wanted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Begin one.
    Start {
        /// What and how.
        plan: Box<RolloutPlan>,
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
        step: ServerProgress,
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

fn refused(text: impl Into<String>) -> CommandOutcome {
    CommandOutcome::Denied(DenialReason::Invalid(text.into()))
}

impl ReplicatedState {
    /// Whether a step of this release may be taken.
    pub(crate) fn release_goes_on(&self, number: u64) -> Result<(), DenialReason> {
        match &self.release {
            Some(release) if release.number != number => {
                Err(DenialReason::Release("another one by now".into()))
            }
            Some(release)
                if matches!(release.state, RolloutState::Running | RolloutState::RollingBack(_)) =>
            {
                Ok(())
            }
            Some(release) => Err(DenialReason::Release(release.state.to_string())),
            None => Err(DenialReason::Release("not there".into())),
        }
    }

    fn named(&mut self, name: &str) -> Result<&mut Rollout, CommandOutcome> {
        let release = self.release.as_mut().ok_or_else(|| refused(format!("there is no release {name}")))?;
        if release.plan.name != name {
            return Err(refused(format!("expected the release {}, got {name}", release.plan.name)));
        }
        Ok(release)
    }

    /// Applies an order.
    pub(crate) fn order(&mut self, index: u64, order: RolloutCommand) -> CommandOutcome {
        match self.try_order(index, order) {
            Ok(outcome) | Err(outcome) => outcome,
        }
    }

    fn try_order(&mut self, index: u64, order: RolloutCommand) -> Result<CommandOutcome, CommandOutcome> {
        match order {
            RolloutCommand::Start { plan, by, before } => return Ok(self.start(index, *plan, by, before)),
            RolloutCommand::Halt { name, by, why } => {
                let release = self.named(&name)?;
                match &release.state {
                    RolloutState::Running => {}
                    RolloutState::Halted(_) => return Ok(CommandOutcome::Done),
                    // A way back is halted too: then nothing moves until somebody says which way.
                    RolloutState::RollingBack(_) => {}
                    over => return Err(refused(format!("the release is {over}"))),
                }
                release.halts += 1;
                release.state = RolloutState::Halted(why.clone());
                self.act(index, by, format!("release {name} halted"), why);
            }
            RolloutCommand::Resume { name, halts, by } => {
                let release = self.named(&name)?;
                let RolloutState::Halted(_) = &release.state else {
                    return Err(refused(format!("the release is {}", release.state)));
                };
                if release.halts != halts {
                    return Err(refused(format!("it was halted again meanwhile: {}", release.state)));
                }
                // What failed is tried again: somebody has looked at it.
                for server in release.servers.values_mut() {
                    if matches!(
                        server.step,
                        ServerProgress::Failed(_)
                            | ServerProgress::RollingBack
                            | ServerProgress::RolledBack
                            | ServerProgress::RollbackFailed(_)
                    ) {
                        server.step = ServerProgress::Pending;
                    }
                }
                release.state = RolloutState::Running;
                self.act(index, by, format!("release {name} resumed"), String::new());
            }
            RolloutCommand::Back { name, by, why } => {
                let release = self.named(&name)?;
                match &release.state {
                    RolloutState::RollingBack(_) | RolloutState::RolledBack(_) => {
                        return Ok(CommandOutcome::Done);
                    }
                    _ => {}
                }
                for server in release.servers.values_mut() {
                    if let ServerProgress::RollbackFailed(_) = server.step {
                        server.step = ServerProgress::Failed("tried again".into());
                    }
                }
                release.state = RolloutState::RollingBack(why.clone());
                self.act(index, by, format!("release {name} goes back"), why);
            }
            RolloutCommand::Stepped { number, server, step } => {
                let release = self.release.as_mut().filter(|release| release.number == number);
                let release = release.ok_or_else(|| refused("another release by now"))?;
                let back = matches!(release.state, RolloutState::RollingBack(_));
                let Some(server) = release.servers.get_mut(&server) else {
                    return Err(refused(format!("{server} takes no part")));
                };
                // What was seen before the way turned says nothing of the way that it goes now.
                let fits = match step {
                    ServerProgress::Updated | ServerProgress::Failed(_) => !back,
                    ServerProgress::RolledBack | ServerProgress::RollbackFailed(_) => back,
                    _ => true,
                };
                if !fits {
                    return Err(refused("the release goes the other way by now"));
                }
                server.step = step;
            }
            RolloutCommand::Wave { number, wave } => {
                let release = self.release.as_mut().filter(|release| release.number == number);
                let release = release.ok_or_else(|| refused("another release by now"))?;
                if release.state != RolloutState::Running
                    || wave != release.wave + 1
                    || !release.wave_is_whole()
                {
                    return Err(refused("not the time for the next wave"));
                }
                release.wave = wave;
            }
            RolloutCommand::Over { number } => {
                let release = self.release.as_mut().filter(|release| release.number == number);
                let release = release.ok_or_else(|| refused("another release by now"))?;
                let all = |holds: fn(&ServerProgress) -> bool| {
                    release.servers.values().all(|server| holds(&server.step))
                };
                match &release.state {
                    RolloutState::Running if all(|step| *step == ServerProgress::Updated) => {
                        release.state = RolloutState::Done
                    }
                    RolloutState::RollingBack(why)
                        if all(|step| {
                            matches!(step, ServerProgress::Pending | ServerProgress::RolledBack)
                        }) =>
                    {
                        release.state = RolloutState::RolledBack(why.clone());
                    }
                    _ => return Err(refused("not all are there yet")),
                }
            }
        }
        Ok(CommandOutcome::Done)
    }

    fn start(
        &mut self,
        index: u64,
        plan: RolloutPlan,
        by: Name,
        before: Vec<(Name, String)>,
    ) -> CommandOutcome {
        if let Some(release) = &self.release
            && (release.is_open() || release.plan.name == plan.name)
        {
            // Said twice it is one, also where the second word of it comes after its end; another has to wait.
            return if release.plan == plan && !matches!(release.state, RolloutState::RolledBack(_)) {
                CommandOutcome::Done
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
        for (wave, Batch { share, .. }) in plan.waves.iter().enumerate() {
            // At least one more than the wave before, as long as there are any.
            let until = ((share * order.len() as f64).floor() as usize).max(upto + 1).min(order.len());
            for name in &order[upto..until] {
                let before = before.get(*name).cloned().unwrap_or_default();
                let server = RolloutServer { wave: wave as u32, before, step: ServerProgress::Pending };
                servers.insert(Arc::clone(name), server);
            }
            upto = until;
        }
        self.act(index, Arc::clone(&by), format!("release {} started", plan.name), String::new());
        let release =
            Rollout { number: index, plan, by, state: RolloutState::Running, wave: 0, halts: 0, servers };
        self.release = Some(release);
        CommandOutcome::Done
    }

    /// The program that the release, if there is one, wants a server to have: for whoever starts its process.
    pub fn program_for(&self, name: &str) -> Option<String> {
        let release = self.release.as_ref().filter(|release| release.plan.kind == ReleaseKind::Program)?;
        Some(release.wanted(release.servers.get(name)?))
    }

    /// Permits of a release, by server.
    pub fn release_permits(&self, number: u64) -> impl Iterator<Item = (u64, &Name, &PermitStage)> {
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
