//! Proposals of commands, and the application of committed entries.

use super::raft_log::RaftLog;
use super::{ConsensusVoter, NO_VOTER, VoterEffect, VoterId};
use crate::ids::Ticket;
use crate::replicated_state::Command;
use raft::eraftpb::{Entry, EntryType};
use raft::{RawNode, StateRole};
use serde::{Deserialize, Serialize};

/// The longest encoded command. It has to fit into one message between servers (259 kB): an entry that can't be sent is never
/// acknowledged, and blocks all entries behind it for as long as its leader leads.
const MAX_COMMAND_BYTES: usize = 199_999;

/// The content of an entry. The order of fields is the log's format.
#[derive(Serialize, Deserialize)]
pub(super) struct Proposal {
    /// The voter that proposed it.
    pub proposer: VoterId,
    /// The proposer's number of it.
    pub number: Ticket,
    /// What is proposed.
    pub command: Command,
}

/// Why a proposal is rejected here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Another voter leads: this one.
    #[error("another voter leads")]
    NotLeader(VoterId),
    /// No leader is known here.
    #[error("the council has no leader that is heard here")]
    NoLeader,
    /// No group was founded, or this server is no voter of it.
    #[error("this server is no voter of the council")]
    NotVoter,
    /// Too many bytes aren't committed yet, or a change of the membership isn't.
    #[error("too much waits to be agreed on")]
    Busy,
    /// The command is longer than an entry may be.
    #[error("expected a command of at most {MAX_COMMAND_BYTES} bytes")]
    TooLong,
}

impl ConsensusVoter {
    /// Proposes a command. [`VoterEffect::Applied`] with this number has its outcome; there may be none, and then the command
    /// may be committed or not.
    pub fn propose(&mut self, number: Ticket, command: Command) -> Result<(), ProposalError> {
        let proposal = Proposal { proposer: self.id, number, command };
        let data = postcard::to_stdvec(&proposal).unwrap_or_default();
        if data.len() > MAX_COMMAND_BYTES {
            return Err(ProposalError::TooLong);
        }
        self.leading_node()?.propose(Vec::new(), data).map_err(|_| ProposalError::Busy)
    }

    /// The library's state machine, where this voter leads.
    pub(super) fn leading_node(&mut self) -> Result<&mut RawNode<RaftLog>, ProposalError> {
        let node = self.node.as_mut().ok_or(ProposalError::NotVoter)?;
        match (node.raft.state, node.raft.leader_id) {
            (StateRole::Leader, _) => Ok(node),
            (_, NO_VOTER) => Err(ProposalError::NoLeader),
            (_, leader) => Err(ProposalError::NotLeader(leader)),
        }
    }

    /// Applies committed entries to the replicated state.
    pub(super) fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.state.index = entry.index;
            if entry.get_entry_type() != EntryType::EntryNormal {
                self.apply_membership_change(&entry);
                continue;
            }
            // An entry without content starts a leader's term.
            if let Ok(proposal) = postcard::from_bytes(&entry.data) {
                self.apply_proposal(&entry, proposal);
            }
        }
    }

    fn apply_proposal(&mut self, entry: &Entry, proposal: Proposal) {
        let Proposal { proposer, number, command } = proposal;
        let configuration_entry = match &command {
            Command::Configuration(entry) => Some(entry.clone()),
            _ => None,
        };
        let revision_before = self.state.configuration.version().revision;
        let outcome = self.state.apply(entry.index, command);
        if let Some(configuration_entry) = configuration_entry
            && self.state.configuration.version().revision > revision_before
        {
            self.configuration_committed(&configuration_entry);
        }
        self.effects.push(VoterEffect::Applied { index: entry.index, proposer, number, outcome });
    }
}
