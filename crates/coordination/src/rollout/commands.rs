//! The commands that change a rollout, and why one is rejected.

use super::plan::{PlanError, RolloutPlan};
use super::progress::{RolloutState, ServerProgress};
use crate::ids::{Name, RolloutNumber};
use serde::{Deserialize, Serialize};

/// A change of the rollout. A command names the rollout, halt or batch that it is for, so that one which was overtaken by
/// another is rejected. The order of variants and fields is the log's format, their serde names the admin endpoint's.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Starts a rollout.
    Start {
        /// What is rolled out, and how.
        plan: Box<RolloutPlan>,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
        /// Servers with the version that each runs; servers that aren't listed take no part.
        #[serde(rename = "before")]
        versions: Vec<(Name, String)>,
    },
    /// Halts it.
    Halt {
        /// The rollout's name.
        name: String,
        /// The operator, or the leader.
        #[serde(rename = "by")]
        operator: Name,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Resumes it after a halt.
    Resume {
        /// The rollout's name.
        name: String,
        /// The number of halts that the operator knows of.
        #[serde(rename = "halts")]
        halt_count: u32,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Rolls it back.
    #[serde(rename = "Back")]
    RollBack {
        /// The rollout's name.
        name: String,
        /// The operator, or the leader.
        #[serde(rename = "by")]
        operator: Name,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Records the progress of a server.
    #[serde(rename = "Stepped")]
    RecordProgress {
        /// The rollout.
        number: RolloutNumber,
        /// The server.
        server: Name,
        /// Its progress.
        #[serde(rename = "step")]
        progress: ServerProgress,
    },
    /// Starts the next batch.
    #[serde(rename = "Wave")]
    StartBatch {
        /// The rollout.
        number: RolloutNumber,
        /// The batch.
        #[serde(rename = "wave")]
        batch: u32,
    },
    /// Ends it: all servers are updated, or all are rolled back.
    #[serde(rename = "Over")]
    Finish {
        /// The rollout.
        number: RolloutNumber,
    },
}

/// Why a command for a rollout is rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RolloutError {
    /// There is no rollout.
    #[error("there is no release {0}")]
    NoRollout(String),
    /// The last rollout has another name.
    #[error("expected the release {expected}, got {got}")]
    OtherName {
        /// The name of the last rollout.
        expected: String,
        /// The name in the command.
        got: String,
    },
    /// The last rollout has another number.
    #[error("another release by now")]
    Superseded,
    /// The command doesn't apply in this state.
    #[error("the release is {0}")]
    WrongState(RolloutState),
    /// The operator who resumes doesn't know of the last halt.
    #[error("it was halted again meanwhile: {0}")]
    HaltedAgain(RolloutState),
    /// The server isn't part of the rollout.
    #[error("{0} takes no part")]
    NotEnrolled(Name),
    /// The progress was observed before the rollout changed its direction.
    #[error("the release goes the other way by now")]
    OtherDirection,
    /// The batch before isn't updated, or it isn't the next one.
    #[error("not the time for the next wave")]
    BatchNotDue,
    /// Some server isn't in its final state.
    #[error("not all are there yet")]
    NotFinished,
    /// Another rollout is in progress.
    #[error("release {name} is {state}")]
    InProgress {
        /// Its name.
        name: String,
        /// Its state.
        state: RolloutState,
    },
    /// The last rollout had this name.
    #[error("release {name} is {state}; give another try another name")]
    NameUsed {
        /// The name.
        name: String,
        /// The state of the last rollout.
        state: RolloutState,
    },
    /// The plan is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// No server of the roster has a known version.
    #[error("no server of the roster is heard")]
    NoServers,
}
