//! Proposes commands to the group, and applies committed entries.

use super::raft_log::RaftLog;
use super::{ConsensusVoter, NO_VOTER, VoterEffect, VoterId};
use crate::ids::Ticket;
use crate::replicated_state::Command;
use raft::eraftpb::{Entry, EntryType};
use raft::{RawNode, StateRole};
use serde::{Deserialize, Serialize};

/// Maximum length of an encoded proposal. It has to fit into one message between servers (259 kB): an entry that can't be sent
/// is never acknowledged, and blocks all later entries while its leader leads.
const MAX_COMMAND_BYTES: usize = 199_999;

/// Content of a log entry with a command. The order of fields is the log format.
#[derive(Serialize, Deserialize)]
pub(super) struct Proposal {
    /// Voter that proposed the command.
    pub proposer: VoterId,
    /// Number that the proposer gave the proposal.
    pub number: Ticket,
    /// Proposed command.
    pub command: Command,
}

/// Reason for rejecting a proposal at this voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// The voter with this identity leads.
    #[error("another voter leads")]
    NotLeader(VoterId),
    /// No leader is known here.
    #[error("no leader of the council is known here")]
    NoLeader,
    /// No group is founded here, or this voter is excluded from it.
    #[error("this server is not a voter of the council")]
    NotVoter,
    /// Too many bytes of entries are uncommitted, or another change of the membership is.
    #[error("too many commands or a membership change are still uncommitted")]
    Busy,
    /// The encoded command is too long for an entry.
    #[error("expected a command of at most {MAX_COMMAND_BYTES} bytes")]
    TooLong,
}

impl ConsensusVoter {
    /// Proposes a command. Its outcome follows as [`VoterEffect::Applied`] with this number. If none follows, the command may
    /// or may not have been committed.
    pub fn propose(&mut self, number: Ticket, command: Command) -> Result<(), ProposalError> {
        let proposal = Proposal { proposer: self.id, number, command };
        let data = postcard::to_stdvec(&proposal).unwrap_or_default();
        if data.len() > MAX_COMMAND_BYTES {
            return Err(ProposalError::TooLong);
        }
        self.leading_node()?.propose(Vec::new(), data).map_err(|_| ProposalError::Busy)
    }

    /// Returns the library's state machine if this voter leads.
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
            // A leader starts its term with an empty entry, which doesn't decode to a proposal.
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
