//! Messages between servers about permits, rollouts and operator commands. The order of variants and fields is the wire format;
//! the serde names of [`OperatorCommand`] are also those of the admin endpoint.

use crate::ids::{Epoch, Name, RolloutNumber, Ticket, VoterId};
use crate::regression::{Cell, ServiceTotal};
use crate::replicated_state::{DenialReason, Target};
use crate::rollout::{ReleaseKind, RolloutCommand, RolloutPlan};
use gradepin_admission::Span;
use serde::{Deserialize, Serialize};

/// Time after its request within which the holder of a permit may begin, on the holder's own clock.
pub const BEGIN_TIMEOUT: Span = Span(5_000_000_000);

/// Action that a server requests of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAction {
    /// Reserve a permit to be out of service.
    Reserve,
    /// Begin the outage that a permit is for.
    Begin {
        /// Epoch of the permit.
        epoch: Epoch,
    },
    /// End a permit that the server no longer needs.
    Cancel {
        /// Epoch of the permit.
        epoch: Epoch,
    },
}

/// A permit request to a voter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number that the reply repeats; greater than those of all earlier requests, also of earlier incarnations.
    pub number: Ticket,
    /// Requested action.
    pub action: PermitAction,
}

/// A voter's reply to a permit request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The voter doesn't lead; the server asks the leader, or another voter if no leader is known.
    Redirect {
        /// Name of the leader, if it is known.
        leader: Option<Name>,
    },
    /// Denied for now; the server retries later.
    Wait(DenialReason),
    /// The permit is reserved; the server has to request to begin.
    Reserved {
        /// Epoch of the permit.
        epoch: Epoch,
    },
    /// The server may begin, within [`BEGIN_TIMEOUT`] of its request.
    Begin {
        /// Epoch of the permit.
        epoch: Epoch,
    },
    /// The permit has ended, or belongs to another holder.
    Ended,
}

/// A rollout step that failed on the reporting server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedStep {
    /// Number of the rollout.
    pub rollout: RolloutNumber,
    /// Why the step failed, for operators.
    pub reason: String,
}

/// A server's report to the voters, sent periodically and on a change of readiness.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Zone from the server's settings.
    pub zone: String,
    /// Whether the server is ready to serve: not draining, and its processor is connected.
    pub ready: bool,
    /// Program version that the server runs.
    pub program: String,
    /// Digest of the settings that the server runs.
    pub settings: String,
    /// Digests of settings that are completely staged on the server.
    pub staged: Vec<String>,
    /// Identity of the server's voter state, if it has one and isn't excluded.
    pub voter: Option<VoterId>,
    /// Whether the voter state belongs to a consensus group.
    pub founded: bool,
    /// Last rollout step that failed on the server.
    pub failed: Option<FailedStep>,
    /// First attempts counted since the process started, by cell.
    pub totals: Vec<(Cell, ServiceTotal)>,
}

impl ServerReport {
    /// Returns the version of this kind that the server runs.
    pub fn version(&self, kind: ReleaseKind) -> &String {
        match kind {
            ReleaseKind::Program => &self.program,
            ReleaseKind::Settings => &self.settings,
        }
    }
}

/// An operator's command, submitted at any server and executed by the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Grants a permit for a zone or a member of a service.
    #[serde(rename = "Out")]
    GrantPermit {
        /// Zone or service member that may be out of service.
        target: Target,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Ends a permit that the operator was granted.
    #[serde(rename = "In")]
    EndPermit {
        /// Zone or service member that is back in service.
        target: Target,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Releases a permit whose holder won't come back.
    #[serde(rename = "Free")]
    ReleasePermit {
        /// Epoch of the permit.
        epoch: Epoch,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
        /// Reason, shown in the status.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Removes a server that won't come back from the roster.
    #[serde(rename = "Strike")]
    RemoveServer {
        /// Name of the server.
        name: Name,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
        /// Reason, shown in the status.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Adds a server to the voters, with the voter identity that it reports, or removes it from them.
    #[serde(rename = "Voter")]
    ChangeVoter {
        /// Name of the server.
        name: Name,
        /// Whether the server is added rather than removed.
        #[serde(rename = "puts_in")]
        add: bool,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Starts a rollout.
    #[serde(rename = "Start")]
    StartRollout {
        /// Plan of the rollout.
        plan: Box<RolloutPlan>,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Halts, resumes or rolls back the rollout in progress.
    #[serde(rename = "Release")]
    Rollout(RolloutCommand),
}

/// Why an operator's command failed, as text for the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{0}")]
#[serde(transparent)]
pub struct CommandFailure(pub String);

/// Result of an operator's command: a description of what was done, or why it failed.
pub type CommandResult = Result<String, CommandFailure>;

/// A voter's reply to an operator's command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommandReply {
    /// The voter doesn't lead; names the leader if it is known.
    Redirect(Option<Name>),
    /// Result of the command.
    Done(CommandResult),
}

/// A step of a rollout, assigned to the server that is to take it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepAssignment {
    /// Number of the rollout.
    pub rollout: RolloutNumber,
    /// Epoch of the permit for the step.
    pub epoch: Epoch,
    /// Kind of artifact that changes.
    pub kind: ReleaseKind,
    /// Version to run after the step.
    pub version: String,
}

#[cfg(test)]
mod tests;
