//! Validates received messages before they are passed to the library.
//!
//! The library trusts the sender of a message: an index beyond the log, entries with gaps or a snapshot without voters make it
//! panic. The authentication of a datagram proves that its sender has the fleet's key, but not that it runs this version or
//! that its disk is intact. So messages that no voter of this version sends are dropped here. Late messages and those of
//! earlier terms pass; the library rejects them.

use super::NO_VOTER;
use super::raft_log::RaftLog;
use crate::replicated_snapshot;
use raft::Raft;
use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType};

/// Exclusive upper bound of terms and indexes: no log grows that long, and sums with them can't overflow.
const NUMBER_BOUND: u64 = 1 << 62;

/// Whether a voter of this version may have sent the message.
pub(super) fn is_valid(raft: &Raft<RaftLog>, message: &Message) -> bool {
    let is_from_another = message.from != raft.id && message.from != NO_VOTER;
    is_from_another && has_valid_numbers(message) && has_valid_content(raft, message)
}

/// Whether the numbers are in range. Every message of a voter has a term, and none requests a snapshot.
fn has_valid_numbers(message: &Message) -> bool {
    let Message { term, log_term, index, commit, commit_term, reject_hint, .. } = message;
    let numbers = [term, log_term, index, commit, commit_term, reject_hint];
    *term > 0 && message.request_snapshot == 0 && numbers.into_iter().all(|number| *number < NUMBER_BOUND)
}

fn has_valid_content(raft: &Raft<RaftLog>, message: &Message) -> bool {
    match message.get_msg_type() {
        MessageType::MsgAppend => has_consecutive_entries(message),
        // No voter can acknowledge more of this log than it has here.
        MessageType::MsgAppendResponse => {
            message.index.max(message.reject_hint) <= raft.raft_log.last_index()
        }
        MessageType::MsgSnapshot => has_valid_snapshot(message),
        MessageType::MsgHeartbeat
        | MessageType::MsgHeartbeatResponse
        | MessageType::MsgRequestVote
        | MessageType::MsgRequestVoteResponse
        | MessageType::MsgRequestPreVote
        | MessageType::MsgRequestPreVoteResponse => true,
        // Messages that the library sends to itself, and those that voters of this version don't send.
        _ => false,
    }
}

/// Whether the entries follow the entry that the message names, without gaps and with terms that don't decrease.
fn has_consecutive_entries(message: &Message) -> bool {
    let (mut index, mut term) = (message.index, message.log_term);
    let follows = |entry: &Entry| {
        index += 1;
        let is_next = entry.index == index && (term.max(1)..=message.term).contains(&entry.term);
        term = entry.term;
        is_next && entry.get_entry_type() != EntryType::EntryConfChangeV2
    };
    // Only the position before the first entry has term 0.
    (message.index == 0) == (message.log_term == 0) && message.entries.iter().all(follows)
}

/// Whether a snapshot contains the state as of the entry that it names, and a valid list of voters.
fn has_valid_snapshot(message: &Message) -> bool {
    let snapshot = message.get_snapshot();
    let meta = snapshot.get_metadata();
    let has_valid_position =
        (1..=message.term).contains(&meta.term) && (1..NUMBER_BOUND).contains(&meta.index);
    let state = replicated_snapshot::decode(snapshot.get_data());
    has_valid_position
        && has_only_voters(meta.get_conf_state())
        && state.is_some_and(|state| state.index == meta.index)
}

/// Whether there are voters, each listed once, and no other kinds of members.
fn has_only_voters(conf_state: &ConfState) -> bool {
    let mut voters = conf_state.voters.clone();
    voters.sort_unstable();
    let are_unique = voters.windows(2).all(|pair| pair[0] != pair[1]);
    let has_other_members = !conf_state.learners.is_empty()
        || !conf_state.voters_outgoing.is_empty()
        || !conf_state.learners_next.is_empty();
    let has_no_identity = voters.first().is_none_or(|first| *first == NO_VOTER);
    are_unique && !has_no_identity && !has_other_members && !conf_state.auto_leave
}
