//! What servers say to each other about permits, rollouts and operators' orders. The order of variants and fields is the
//! wire format.

use crate::consensus::VoterId;
use crate::replicated_state::{DenialReason, Name, Target};
use crate::rollback::{Cell, ServiceTotal};
use crate::rollout::{ReleaseKind, RolloutCommand, RolloutPlan};
use gradepin_admission::Span;
use serde::{Deserialize, Serialize};

/// How long the holder of a permit may begin after it asked, by its own clock.
pub const BEGIN_TIMEOUT: Span = Span(5_000_000_000);

/// What a server asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAction {
    /// A permit for this server to be out.
    Reserve,
    /// To begin by a permit.
    Begin(u64),
    /// Nothing any more: the permit may end.
    Cancel(u64),
}

/// A request to a voter. Its number tells which of them a reply is to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Greater with each one of this incarnation.
    pub number: u64,
    /// What is asked for.
    pub action: PermitAction,
}

/// What a voter replies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// Ask this one, or if nobody is named, another.
    Redirect(Option<Name>),
    /// Not now.
    Wait(DenialReason),
    /// The permit of this epoch is reserved for you: ask to begin when you do.
    Reserved(u64),
    /// Begin, within [`BEGIN_TIMEOUT`] of your request.
    Begin(u64),
    /// It is over.
    Ended,
}

/// What a server reports of itself to the voters, again and again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Its zone.
    pub zone: String,
    /// Whether it is ready to serve: not draining, its processor there.
    pub ready: bool,
    /// The program that it runs.
    pub program: String,
    /// The settings that it runs.
    pub settings: String,
    /// Settings that are staged here and whole, by their digests.
    pub staged: Vec<String>,
    /// The identity of its voter's folder, if it has one.
    pub voter: Option<VoterId>,
    /// Whether that folder belongs to a consensus group.
    pub founded: bool,
    /// The release whose step it couldn't take, and why.
    pub failed: Option<(u64, String)>,
    /// What it counted in its incarnation.
    pub totals: Vec<(Cell, ServiceTotal)>,
}

impl ServerReport {
    /// What the server runs of a kind.
    pub fn version(&self, kind: ReleaseKind) -> &String {
        match kind {
            ReleaseKind::Program => &self.program,
            ReleaseKind::Settings => &self.settings,
        }
    }
}

/// What an operator orders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// A permit for a zone or a member of a service.
    #[serde(rename = "Out")]
    GrantPermit {
        /// What.
        target: Target,
        /// Who.
        by: Name,
    },
    /// Such a permit is over.
    #[serde(rename = "In")]
    EndPermit {
        /// What.
        target: Target,
        /// Who.
        by: Name,
    },
    /// A permit's holder won't come back.
    #[serde(rename = "Free")]
    ReleasePermit {
        /// The permit.
        epoch: u64,
        /// Who.
        by: Name,
        /// Why.
        why: String,
    },
    /// A server won't come back.
    #[serde(rename = "Strike")]
    RemoveServer {
        /// Which.
        name: Name,
        /// Who.
        by: Name,
        /// Why.
        why: String,
    },
    /// A server becomes a voter, by what it reports of its folder; or one that was is none any more.
    #[serde(rename = "Voter")]
    ChangeVoter {
        /// Which.
        name: Name,
        /// In, or out.
        puts_in: bool,
        /// Who.
        by: Name,
    },
    /// A release begins.
    #[serde(rename = "Start")]
    StartRollout {
        /// What and how.
        plan: Box<RolloutPlan>,
        /// Who.
        by: Name,
    },
    /// Something about the release that is there.
    #[serde(rename = "Release")]
    Rollout(RolloutCommand),
}

/// What an order came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommandReply {
    /// Send it to this one, or if nobody is named, to another.
    Redirect(Option<Name>),
    /// It is done, or why not.
    Done(Result<String, String>),
}

/// A server's turn in a release.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepAssignment {
    /// The release.
    pub release: u64,
    /// The permit to ask to begin by.
    pub epoch: u64,
    /// What is changed.
    pub kind: ReleaseKind,
    /// What it shall have then.
    pub version: String,
}

#[cfg(test)]
mod tests;
