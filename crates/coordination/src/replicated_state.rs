//! The replicated state: roster, limits, permits, operator actions, the rollout and the order of configuration changes.
//!
//! Input: the commands of the consensus group's log, in order. Output: the outcome of each command. Invariant: the state
//! depends only on the applied commands, so all voters that applied the same entries have the same state.
//!
//! Readiness reports of servers are handled in [`crate::controller`], the commit of commands in [`crate::consensus`].

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

/// The state that all voters of the consensus group replicate.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Index of the last applied entry.
    pub index: LogIndex,
    /// The voters by the identity of their voter state, with the name of the server of each.
    pub voters: BTreeMap<VoterId, Name>,
    /// The limits in force, as the leader's settings had them when it proposed them.
    pub limits: Limits,
    /// The servers of the fleet, at most [`MAX_SERVERS`].
    pub roster: BTreeMap<Name, Member>,
    /// Permits by epoch; bounded by the limits, and for services also by a fixed maximum.
    pub permits: BTreeMap<Epoch, Permit>,
    /// The latest operator actions, oldest first.
    #[serde(rename = "acts")]
    pub operator_actions: VecDeque<OperatorAction>,
    /// The rollout in progress, otherwise the last one.
    #[serde(rename = "release")]
    pub rollout: Option<Rollout>,
    /// The order of configuration changes. Skipped by serde: [`crate::replicated_snapshot`] encodes it separately, and servers
    /// that poll the state don't receive it.
    #[serde(skip)]
    pub configuration: ReplicatedConfiguration,
}

#[cfg(test)]
mod tests;
