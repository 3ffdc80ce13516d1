//! The state of a rollout and of its servers, and the transitions between states.

use super::commands::RolloutError;
use super::plan::RolloutPlan;
use crate::ids::{Name, RolloutNumber};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The progress of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerProgress {
    /// It has the previous version.
    #[serde(rename = "Waits")]
    Pending,
    /// It was allowed to update.
    #[serde(rename = "Changes")]
    Updating,
    /// It runs the new version, and is stable.
    #[serde(rename = "New")]
    Updated,
    /// The update failed, and why.
    Failed(String),
    /// It was allowed to roll back.
    #[serde(rename = "GoesBack")]
    RollingBack,
    /// It runs the previous version again, and is stable.
    #[serde(rename = "Back")]
    RolledBack,
    /// The rollback failed, and why.
    #[serde(rename = "Stuck")]
    RollbackFailed(String),
}

/// A server of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutServer {
    /// The batch in which it is updated.
    #[serde(rename = "wave")]
    pub batch: u32,
    /// The version that it ran at the start.
    #[serde(rename = "before")]
    pub previous_version: String,
    /// Its progress.
    #[serde(rename = "step")]
    pub progress: ServerProgress,
}

/// The state of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// It updates servers.
    #[serde(rename = "Runs")]
    Running,
    /// It takes no further step, and why.
    Halted(String),
    /// It rolls servers back, and why.
    #[serde(rename = "GoesBack")]
    RollingBack(String),
    /// All servers are updated.
    Done,
    /// All servers have their previous version, and why.
    #[serde(rename = "Undone")]
    RolledBack(String),
}

impl fmt::Display for RolloutState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running => write!(formatter, "running"),
            Self::Halted(reason) => write!(formatter, "halted: {reason}"),
            Self::RollingBack(reason) => write!(formatter, "going back: {reason}"),
            Self::Done => write!(formatter, "done"),
            Self::RolledBack(reason) => write!(formatter, "undone: {reason}"),
        }
    }
}

/// Whether a command changed the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// It did.
    Applied,
    /// The rollout was in the requested state before.
    AlreadyApplied,
}

/// A rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The index of the entry that started it.
    pub number: RolloutNumber,
    /// What is rolled out, and how.
    pub plan: RolloutPlan,
    /// The operator who started it.
    #[serde(rename = "by")]
    pub operator: Name,
    /// Its state.
    pub state: RolloutState,
    /// The batch that is updated or watched.
    #[serde(rename = "wave")]
    pub batch: u32,
    /// How often it was halted: a resume names the halt that it is for.
    #[serde(rename = "halts")]
    pub halt_count: u32,
    /// Its servers.
    pub servers: BTreeMap<Name, RolloutServer>,
}

impl Rollout {
    /// Whether it is neither done nor rolled back.
    pub fn is_open(&self) -> bool {
        matches!(self.state, RolloutState::Running | RolloutState::Halted(_) | RolloutState::RollingBack(_))
    }

    /// Whether it updates servers or rolls them back.
    pub fn is_moving(&self) -> bool {
        matches!(self.state, RolloutState::Running | RolloutState::RollingBack(_))
    }

    /// Servers that are due: up to the current batch when it updates; when it rolls back, all that began to update, those of
    /// the latest batch first.
    pub fn servers_due(&self) -> Vec<&Name> {
        let mut due: Vec<(&Name, &RolloutServer)> =
            self.servers.iter().filter(|(_, server)| self.is_due(server)).collect();
        if matches!(self.state, RolloutState::RollingBack(_)) {
            due.sort_by_key(|(_, server)| Reverse(server.batch));
        }
        due.into_iter().map(|(name, _)| name).collect()
    }

    fn is_due(&self, server: &RolloutServer) -> bool {
        use ServerProgress::{Pending, RollbackFailed, RolledBack, Updating};
        match self.state {
            RolloutState::Running => {
                server.batch <= self.batch && matches!(server.progress, Pending | Updating)
            }
            RolloutState::RollingBack(_) => {
                !matches!(server.progress, Pending | RolledBack | RollbackFailed(_))
            }
            _ => false,
        }
    }

    /// The version that a server shall run in the present state.
    pub fn target_version(&self, server: &RolloutServer) -> String {
        match self.state {
            RolloutState::RollingBack(_) | RolloutState::RolledBack(_) => server.previous_version.clone(),
            _ if server.progress == ServerProgress::Pending => server.previous_version.clone(),
            _ => self.plan.version.clone(),
        }
    }

    /// Whether all servers up to the current batch are updated.
    pub fn is_batch_updated(&self) -> bool {
        let mut up_to_batch = self.servers.values().filter(|server| server.batch <= self.batch);
        up_to_batch.all(|server| server.progress == ServerProgress::Updated)
    }

    /// Halts it; a rollback too: then nothing moves until an operator says in which direction.
    pub fn halt(&mut self, reason: String) -> Result<Transition, RolloutError> {
        match &self.state {
            RolloutState::Running | RolloutState::RollingBack(_) => {
                self.halt_count += 1;
                self.state = RolloutState::Halted(reason);
                Ok(Transition::Applied)
            }
            RolloutState::Halted(_) => Ok(Transition::AlreadyApplied),
            closed => Err(RolloutError::WrongState(closed.clone())),
        }
    }

    /// Resumes it after the halt of this number; servers that failed are retried.
    pub fn resume(&mut self, halt_count: u32) -> Result<(), RolloutError> {
        use ServerProgress::{Failed, RollbackFailed, RolledBack, RollingBack};
        if !matches!(self.state, RolloutState::Halted(_)) {
            return Err(RolloutError::WrongState(self.state.clone()));
        }
        if self.halt_count != halt_count {
            return Err(RolloutError::HaltedAgain(self.state.clone()));
        }
        for server in self.servers.values_mut() {
            if matches!(server.progress, Failed(_) | RollingBack | RolledBack | RollbackFailed(_)) {
                server.progress = ServerProgress::Pending;
            }
        }
        self.state = RolloutState::Running;
        Ok(())
    }

    /// Rolls it back; servers whose rollback failed are retried.
    pub fn roll_back(&mut self, reason: String) -> Transition {
        if matches!(self.state, RolloutState::RollingBack(_) | RolloutState::RolledBack(_)) {
            return Transition::AlreadyApplied;
        }
        for server in self.servers.values_mut() {
            if let ServerProgress::RollbackFailed(_) = server.progress {
                server.progress = ServerProgress::Failed("tried again".into());
            }
        }
        self.state = RolloutState::RollingBack(reason);
        Transition::Applied
    }

    /// Records what was observed of a server, unless the rollout changed its direction since.
    pub fn record_progress(&mut self, name: &Name, progress: ServerProgress) -> Result<(), RolloutError> {
        let rolls_back = matches!(self.state, RolloutState::RollingBack(_));
        let not_enrolled = || RolloutError::NotEnrolled(Arc::clone(name));
        let server = self.servers.get_mut(name).ok_or_else(not_enrolled)?;
        let is_of_this_direction = match progress {
            ServerProgress::Updated | ServerProgress::Failed(_) => !rolls_back,
            ServerProgress::RolledBack | ServerProgress::RollbackFailed(_) => rolls_back,
            _ => true,
        };
        if !is_of_this_direction {
            return Err(RolloutError::OtherDirection);
        }
        server.progress = progress;
        Ok(())
    }

    /// Records that a server was allowed to begin its step.
    pub fn record_step_begun(&mut self, name: &Name) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.progress = match server.progress {
            ServerProgress::Pending | ServerProgress::Updating => ServerProgress::Updating,
            _ => ServerProgress::RollingBack,
        };
    }

    /// Starts the next batch.
    pub fn start_batch(&mut self, batch: u32) -> Result<(), RolloutError> {
        let is_next = batch == self.batch + 1;
        if self.state != RolloutState::Running || !is_next || !self.is_batch_updated() {
            return Err(RolloutError::BatchNotDue);
        }
        self.batch = batch;
        Ok(())
    }

    /// Ends it, where all servers are updated or all are rolled back.
    pub fn finish(&mut self) -> Result<(), RolloutError> {
        let all_are = |is_final: fn(&ServerProgress) -> bool| {
            self.servers.values().all(|server| is_final(&server.progress))
        };
        let has_previous_version =
            |progress: &_| matches!(progress, ServerProgress::Pending | ServerProgress::RolledBack);
        self.state = match &self.state {
            RolloutState::Running if all_are(|progress| *progress == ServerProgress::Updated) => {
                RolloutState::Done
            }
            RolloutState::RollingBack(reason) if all_are(has_previous_version) => {
                RolloutState::RolledBack(reason.clone())
            }
            _ => return Err(RolloutError::NotFinished),
        };
        Ok(())
    }
}
