//! Membership of the group: its founding, and the addition or removal of one voter at a time.

use super::durable::PendingReady;
use super::raft_log::RaftLog;
use super::{ConsensusVoter, DurableRecord, NO_VOTER, ProposalError, VoterEffect, VoterId};
use crate::ids::Name;
use crate::replicated_snapshot;
use crate::replicated_state::ReplicatedState;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, ConfState, Entry};
use raft::{RawNode, StateRole};
use slog::Level;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Returns the records that a group is founded with, which must be the same on each voter.
pub fn founding_records(voters: &BTreeMap<VoterId, Name>) -> Vec<DurableRecord> {
    let state = ReplicatedState { index: 1, voters: voters.clone(), ..ReplicatedState::default() };
    let data = replicated_snapshot::encode(&state);
    let voters = voters.keys().copied().collect();
    vec![
        DurableRecord::Snapshot { index: 1, term: 1, voters, data },
        DurableRecord::Term { term: 1, vote: NO_VOTER, commit: 1 },
    ]
}

impl ConsensusVoter {
    /// Founds the group with these voters. Must be called once on each of them, with the same voters.
    pub fn found(&mut self, voters: &BTreeMap<VoterId, Name>) -> Result<(), ProposalError> {
        // The library accepts no member with this identity, and a founding can't be undone.
        let has_voter_without_identity = voters.contains_key(&NO_VOTER);
        let is_member = voters.contains_key(&self.id);
        if self.node.is_some() || has_voter_without_identity || !is_member {
            return Err(ProposalError::NotVoter);
        }
        let records = founding_records(voters);
        self.load(records.clone());
        // May vote at once: it has acknowledged nothing before that it could have forgotten.
        self.pending.push_back(PendingReady {
            number: 0,
            is_durable: false,
            has_snapshot: false,
            messages: Vec::new(),
        });
        self.effects.push(VoterEffect::Write { number: 0, records });
        Ok(())
    }

    /// Proposes to add a voter under this name, or to remove it if `name` is none.
    pub fn change_membership(&mut self, id: VoterId, name: Option<&Name>) -> Result<(), ProposalError> {
        let mut change = ConfChange::default();
        let kind = if name.is_some() { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        change.set_change_type(kind);
        change.node_id = id;
        let node = self.leading_node()?;
        if node.raft.has_pending_conf() {
            return Err(ProposalError::Busy);
        }
        let context = name.map(|name| name.as_bytes().to_vec()).unwrap_or_default();
        change.set_context(context.into());
        node.propose_conf_change(Vec::new(), change).map_err(|_| ProposalError::Busy)
    }

    /// Applies a committed change of the membership.
    pub(super) fn apply_membership_change(&mut self, entry: &Entry) {
        let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else { return };
        let Some(node) = &mut self.node else { return };
        let Ok(conf_state) = node.apply_conf_change(&change) else { return };
        // Take a new snapshot: a new voter accepts no snapshot that doesn't list it.
        self.membership_changed = true;
        step_down_if_removed(node, &conf_state);
        node.mut_store().conf_state = conf_state;
        let text = if change.get_change_type() == ConfChangeType::AddNode {
            let name: Name = Arc::from(String::from_utf8_lossy(change.get_context()).as_ref());
            let text = format!("{name} was added to the voters of the council");
            self.state.voters.insert(change.node_id, name);
            text
        } else {
            let name = self.state.voters.remove(&change.node_id).unwrap_or_else(|| Arc::from("?"));
            format!("{name} was removed from the voters of the council")
        };
        self.log(Level::Info, text);
    }
}

/// Makes a leader step down once it is removed from the members. The library doesn't do so: such a leader would accept no
/// proposals but still send heartbeats, which keep the others from an election, and it would panic at the next acknowledged
/// entry when it looks up its own progress among the members.
fn step_down_if_removed(node: &mut RawNode<RaftLog>, conf_state: &ConfState) {
    let raft = &mut node.raft;
    if raft.state == StateRole::Leader && !conf_state.voters.contains(&raft.id) {
        raft.become_follower(raft.term, NO_VOTER);
    }
}
