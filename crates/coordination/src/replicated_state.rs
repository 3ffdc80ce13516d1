//! The replicated state: roster, limits, permits, operator actions, the rollout and the order of configuration changes.
//!
//! Input: commands of the consensus group's log, in order. Output: the outcome of each. Invariant: the state is a function of
//! the applied commands alone, so that all voters that applied the same entries have the same state.
//!
//! Not here: which servers report to be ready ([`crate::controller`]), and how commands are committed ([`crate::consensus`]).

mod commands;
mod denial;
mod limits;
mod operator_actions;
mod permits;
mod rollout_commands;
mod roster;

pub use commands::{Command, CommandOutcome};
pub use denial::DenialReason;
pub use limits::Limits;
pub use operator_actions::OperatorAction;
pub use permits::{Permit, PermitEnd, PermitStage, Purpose, Target};
pub use roster::{MAX_SERVERS, Member};

pub use crate::ids::{MAX_TEXT_BYTES, Name};

use crate::configuration_log::ReplicatedConfiguration;
use crate::ids::{Epoch, LogIndex, VoterId};
use crate::rollout::Rollout;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What the consensus group agrees on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The last entry that was applied.
    pub index: LogIndex,
    /// The voters: the identities of their disks, and the servers that they belong to.
    pub voters: BTreeMap<VoterId, Name>,
    /// The limits in force.
    pub limits: Limits,
    /// The servers that belong to the fleet, at most [`MAX_SERVERS`].
    pub roster: BTreeMap<Name, Member>,
    /// Permits by epoch; their number is bounded by the limits, and by a bound on those for services.
    pub permits: BTreeMap<Epoch, Permit>,
    /// The last operator actions, the newest at the back.
    #[serde(rename = "acts")]
    pub operator_actions: VecDeque<OperatorAction>,
    /// The rollout in progress, or the last one.
    #[serde(rename = "release")]
    pub rollout: Option<Rollout>,
    /// The order of configuration changes; [`crate::replicated_snapshot`] encodes it, and servers that poll don't get it.
    #[serde(skip)]
    pub configuration: ReplicatedConfiguration,
}

#[cfg(test)]
mod tests;
