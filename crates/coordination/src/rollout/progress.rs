//! States of a rollout and its servers, and the transitions between them.

use super::commands::RolloutError;
use super::plan::RolloutPlan;
use crate::ids::{Name, RolloutNumber};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Progress of one server within a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerProgress {
    /// The server has its previous version and hasn't begun.
    #[serde(rename = "Waits")]
    Pending,
    /// The server was allowed to begin its update.
    #[serde(rename = "Changes")]
    Updating,
    /// The server runs the new version and is stable.
    #[serde(rename = "New")]
    Updated,
    /// The update failed for this reason.
    Failed(String),
    /// The server was allowed to begin its rollback.
    #[serde(rename = "GoesBack")]
    RollingBack,
    /// The server runs its previous version again and is stable.
    #[serde(rename = "Back")]
    RolledBack,
    /// The rollback failed for this reason.
    #[serde(rename = "Stuck")]
    RollbackFailed(String),
}

/// A server that takes part in a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutServer {
    /// Batch in which the server is updated, from 0 on.
    #[serde(rename = "wave")]
    pub batch: u32,
    /// Version that the server ran at the start; a rollback restores it.
    #[serde(rename = "before")]
    pub previous_version: String,
    /// Progress that was last committed.
    #[serde(rename = "step")]
    pub progress: ServerProgress,
}

/// State of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Updates servers batch by batch.
    #[serde(rename = "Runs")]
    Running,
    /// Takes no further step until an operator resumes or rolls back; holds the reason.
    Halted(String),
    /// Rolls servers back; holds the reason.
    #[serde(rename = "GoesBack")]
    RollingBack(String),
    /// Closed with all servers updated.
    Done,
    /// Closed with all servers on their previous version; holds the reason of the rollback.
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

/// Whether a command changed the state of the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The command changed the state.
    Applied,
    /// The rollout was in the requested state already.
    AlreadyApplied,
}

/// A rollout with the progress of its servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Index of the log entry that started the rollout.
    pub number: RolloutNumber,
    /// Plan that the operator submitted.
    pub plan: RolloutPlan,
    /// Name of the operator who started the rollout.
    #[serde(rename = "by")]
    pub operator: Name,
    /// Present state.
    pub state: RolloutState,
    /// Batch that is being updated or watched, from 0 on.
    #[serde(rename = "wave")]
    pub batch: u32,
    /// Number of halts so far; a resume names the halt that it ends.
    #[serde(rename = "halts")]
    pub halt_count: u32,
    /// Servers that take part, by name.
    pub servers: BTreeMap<Name, RolloutServer>,
}

impl Rollout {
    /// Whether the rollout is neither done nor rolled back.
    pub fn is_open(&self) -> bool {
        matches!(self.state, RolloutState::Running | RolloutState::Halted(_) | RolloutState::RollingBack(_))
    }

    /// Whether the rollout updates servers or rolls them back, rather than being halted or closed.
    pub fn is_moving(&self) -> bool {
        matches!(self.state, RolloutState::Running | RolloutState::RollingBack(_))
    }

    /// Servers whose step is due. During updates: servers up to the current batch that aren't updated. During a rollback: all
    /// servers that began to update, those of the latest batch first.
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

    /// Version that a server should run in the present state of the rollout.
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

    /// Halts an update or a rollback, until an operator chooses to resume or to roll back.
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

    /// Resumes updates after the halt numbered `halt_count`; servers that failed or were rolled back are updated again.
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

    /// Starts the rollback; servers whose rollback failed earlier are retried.
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

    /// Records the observed progress of a server, unless the rollout changed its direction since the observation.
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

    /// Records that a server may begin its step: its update, or its rollback if it had begun to update.
    pub fn record_step_begun(&mut self, name: &Name) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.progress = match server.progress {
            ServerProgress::Pending | ServerProgress::Updating => ServerProgress::Updating,
            _ => ServerProgress::RollingBack,
        };
    }

    /// Starts the next batch, if the current one is updated.
    pub fn start_batch(&mut self, batch: u32) -> Result<(), RolloutError> {
        let is_next = batch == self.batch + 1;
        if self.state != RolloutState::Running || !is_next || !self.is_batch_updated() {
            return Err(RolloutError::BatchNotDue);
        }
        self.batch = batch;
        Ok(())
    }

    /// Closes the rollout, if all servers are updated or all are rolled back.
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
