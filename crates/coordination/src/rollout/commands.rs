//! The commands that change a rollout, and the reasons for rejecting them.

use super::plan::{PlanError, RolloutPlan};
use super::progress::{RolloutState, ServerProgress};
use crate::ids::{Name, RolloutNumber};
use serde::{Deserialize, Serialize};

/// A change of the rollout. Each command names the rollout, halt or batch that it applies to, so a command that was overtaken
/// by another is rejected. The order of variants and fields is the log format; their serde names are those of the admin
/// endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Starts a rollout.
    Start {
        /// The plan that the operator submitted.
        plan: Box<RolloutPlan>,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
        /// Reporting servers with the version that each runs; other servers take no part.
        #[serde(rename = "before")]
        versions: Vec<(Name, String)>,
    },
    /// Halts the rollout until an operator resumes it or rolls it back.
    Halt {
        /// Name of the rollout.
        name: String,
        /// Name of the operator, or the fixed name that leaders use for automatic actions.
        #[serde(rename = "by")]
        operator: Name,
        /// Reason, shown in the status.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Resumes the rollout after a halt.
    Resume {
        /// Name of the rollout.
        name: String,
        /// Halt count that the operator knows of; a later halt makes the command fail.
        #[serde(rename = "halts")]
        halt_count: u32,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Rolls back all servers that began to update.
    #[serde(rename = "Back")]
    RollBack {
        /// Name of the rollout.
        name: String,
        /// Name of the operator, or the fixed name that leaders use for automatic actions.
        #[serde(rename = "by")]
        operator: Name,
        /// Reason, shown in the status.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Records the progress that the leader observed of a server.
    #[serde(rename = "Stepped")]
    RecordProgress {
        /// Number of the rollout.
        number: RolloutNumber,
        /// Name of the server.
        server: Name,
        /// New progress of the server.
        #[serde(rename = "step")]
        progress: ServerProgress,
    },
    /// Starts the next batch.
    #[serde(rename = "Wave")]
    StartBatch {
        /// Number of the rollout.
        number: RolloutNumber,
        /// Batch to start; must be the one after the current batch.
        #[serde(rename = "wave")]
        batch: u32,
    },
    /// Closes the rollout once all servers are updated or all are rolled back.
    #[serde(rename = "Over")]
    Finish {
        /// Number of the rollout.
        number: RolloutNumber,
    },
}

/// Reason for rejecting a rollout command.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RolloutError {
    /// No rollout was ever started.
    #[error("there is no release {0}")]
    NoRollout(String),
    /// The last rollout has another name.
    #[error("expected release {expected}, got {got}")]
    OtherName {
        /// The name of the last rollout.
        expected: String,
        /// The name in the command.
        got: String,
    },
    /// The command is for an earlier rollout than the last one.
    #[error("another release has replaced it")]
    Superseded,
    /// The command isn't allowed in this state.
    #[error("the release is {0}")]
    WrongState(RolloutState),
    /// The rollout was halted again after the halt that the operator wants to end.
    #[error("the release was halted again since; it is {0}")]
    HaltedAgain(RolloutState),
    /// The server isn't part of the rollout.
    #[error("server {0} takes no part in the release")]
    NotEnrolled(Name),
    /// The progress was observed before the rollout changed between update and rollback.
    #[error("the release has changed its direction since the observation")]
    OtherDirection,
    /// The current batch isn't updated yet, or the command names a batch other than the next one.
    #[error("the wave is not due")]
    BatchNotDue,
    /// Some server isn't in its final state.
    #[error("some servers are not in their final state yet")]
    NotFinished,
    /// Another rollout is in progress.
    #[error("release {name} is {state}")]
    InProgress {
        /// Name of the rollout in progress.
        name: String,
        /// State of the rollout in progress.
        state: RolloutState,
    },
    /// The last rollout had the same name and a different plan, or was rolled back.
    #[error("release {name} is {state}; start the next one under another name")]
    NameUsed {
        /// Name of the last rollout.
        name: String,
        /// State of the last rollout.
        state: RolloutState,
    },
    /// The plan failed its checks.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// No server of the roster reported its version.
    #[error("no server of the roster reports its version")]
    NoServers,
}
