//! Messages between servers about permits, rollouts and operator commands. The order of variants and fields is the wire
//! format; the serde names of [`OperatorCommand`] are the admin endpoint's.

use crate::ids::{Epoch, Name, RolloutNumber, Ticket, VoterId};
use crate::regression::{Cell, ServiceTotal};
use crate::replicated_state::{DenialReason, Target};
use crate::rollout::{ReleaseKind, RolloutCommand, RolloutPlan};
use gradepin_admission::Span;
use serde::{Deserialize, Serialize};

/// How long the holder of a permit may begin after its request, by its own clock.
pub const BEGIN_TIMEOUT: Span = Span(5_000_000_000);

/// What a server requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAction {
    /// A permit to be out of service.
    Reserve,
    /// To begin by a permit.
    Begin {
        /// The permit.
        epoch: Epoch,
    },
    /// The end of a permit that it no longer wants.
    Cancel {
        /// The permit.
        epoch: Epoch,
    },
}

/// A request to a voter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Matches the reply; greater with each request, also than those of an earlier incarnation.
    pub number: Ticket,
    /// What is requested.
    pub action: PermitAction,
}

/// The reply of a voter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// This voter doesn't lead: ask the leader, or if none is known another voter.
    Redirect {
        /// The leader, as far as it is known.
        leader: Option<Name>,
    },
    /// Not now.
    Wait(DenialReason),
    /// The permit is reserved: ask to begin when that is wanted.
    Reserved {
        /// The permit.
        epoch: Epoch,
    },
    /// Begin, within [`BEGIN_TIMEOUT`] of the request.
    Begin {
        /// The permit.
        epoch: Epoch,
    },
    /// The permit has ended.
    Ended,
}

/// A rollout step that failed on the server that reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedStep {
    /// The rollout.
    pub rollout: RolloutNumber,
    /// Why.
    pub reason: String,
}

/// What a server reports to the voters, periodically and on a change of readiness.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Its zone.
    pub zone: String,
    /// Whether it is ready to serve: not draining, and its processor is connected.
    pub ready: bool,
    /// The program that it runs.
    pub program: String,
    /// The settings that it runs.
    pub settings: String,
    /// The digests of settings that are staged here completely.
    pub staged: Vec<String>,
    /// The identity of its voter state, if it has one.
    pub voter: Option<VoterId>,
    /// Whether that state belongs to a consensus group.
    pub founded: bool,
    /// The last rollout step that failed here.
    pub failed: Option<FailedStep>,
    /// Requests that it counted in its incarnation, by cell.
    pub totals: Vec<(Cell, ServiceTotal)>,
}

impl ServerReport {
    /// The version that the server runs.
    pub fn version(&self, kind: ReleaseKind) -> &String {
        match kind {
            ReleaseKind::Program => &self.program,
            ReleaseKind::Settings => &self.settings,
        }
    }
}

/// A command of an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Grants a permit for a zone or a member of a service.
    #[serde(rename = "Out")]
    GrantPermit {
        /// What may be out of service.
        target: Target,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Ends such a permit.
    #[serde(rename = "In")]
    EndPermit {
        /// What is back in service.
        target: Target,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Releases a permit whose holder won't come back.
    #[serde(rename = "Free")]
    ReleasePermit {
        /// The permit.
        epoch: Epoch,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Removes a server that won't come back.
    #[serde(rename = "Strike")]
    RemoveServer {
        /// The server.
        name: Name,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Adds a server to the voters, with the identity that it reports, or removes it from them.
    #[serde(rename = "Voter")]
    ChangeVoter {
        /// The server.
        name: Name,
        /// Whether it is added.
        #[serde(rename = "puts_in")]
        add: bool,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Starts a rollout.
    #[serde(rename = "Start")]
    StartRollout {
        /// What is rolled out, and how.
        plan: Box<RolloutPlan>,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
    },
    /// Changes the rollout in progress.
    #[serde(rename = "Release")]
    Rollout(RolloutCommand),
}

/// Why a command failed, in the leader's words.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{0}")]
#[serde(transparent)]
pub struct CommandFailure(pub String);

/// The result of a command: what was done, in words, or why it failed.
pub type CommandResult = Result<String, CommandFailure>;

/// The reply of a voter to a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommandReply {
    /// Send it to the leader, or if none is known to another voter.
    Redirect(Option<Name>),
    /// Its result.
    Done(CommandResult),
}

/// A step of a rollout that a server is to take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepAssignment {
    /// The rollout.
    pub rollout: RolloutNumber,
    /// The permit by which to begin.
    pub epoch: Epoch,
    /// What changes.
    pub kind: ReleaseKind,
    /// The version to run then.
    pub version: String,
}

#[cfg(test)]
mod tests;
