//! Which of the messages that come in the library gets to see.
//!
//! The library takes whoever speaks for a voter like itself: a number past its log, entries with gaps or a snapshot that
//! names nobody end the process there. The tag of a datagram says that its sender has the fleet's key, and not that it is of
//! this version, whole, or that its disk is. So what no voter sends is dropped before; what is merely late, or of an earlier
//! term, is the library's to refuse.

use super::log::Log;
use crate::replicated_snapshot;
use raft::Raft;
use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType};

/// Terms and indexes are less: no log gets there, and sums with them don't overflow.
const NUMBER_BOUND: u64 = 1 << 62;

/// Whether a voter like this one may have sent it.
pub(super) fn is_sound(raft: &Raft<Log>, message: &Message) -> bool {
    let is_another = message.from != raft.id && message.from != raft::INVALID_ID;
    is_another && has_numbers(message) && has_sound_content(raft, message)
}

/// Every message of voters has a term, and none asks for a snapshot by itself.
fn has_numbers(message: &Message) -> bool {
    let Message { term, log_term, index, commit, commit_term, reject_hint, .. } = message;
    let all = [term, log_term, index, commit, commit_term, reject_hint];
    *term > 0 && message.request_snapshot == 0 && all.into_iter().all(|number| *number < NUMBER_BOUND)
}

fn has_sound_content(raft: &Raft<Log>, message: &Message) -> bool {
    match message.get_msg_type() {
        MessageType::MsgAppend => continues(message),
        // Nobody has more of this log than was sent from here.
        MessageType::MsgAppendResponse => {
            message.index.max(message.reject_hint) <= raft.raft_log.last_index()
        }
        MessageType::MsgSnapshot => is_whole_snapshot(message),
        MessageType::MsgHeartbeat
        | MessageType::MsgHeartbeatResponse
        | MessageType::MsgRequestVote
        | MessageType::MsgRequestVoteResponse
        | MessageType::MsgRequestPreVote
        | MessageType::MsgRequestPreVoteResponse => true,
        // The library's words to itself, and those that voters here don't use.
        _ => false,
    }
}

/// Whether the entries follow the one that the message names, without gaps and with terms that don't fall.
fn continues(message: &Message) -> bool {
    let (mut index, mut term) = (message.index, message.log_term);
    let follows = |entry: &Entry| {
        index += 1;
        let fits = entry.index == index && (term.max(1)..=message.term).contains(&entry.term);
        term = entry.term;
        fits && entry.get_entry_type() != EntryType::EntryConfChangeV2
    };
    // Only the beginning of the log, before the first entry, has no term.
    (message.index == 0) == (message.log_term == 0) && message.entries.iter().all(follows)
}

/// Whether a snapshot holds the state of the entry that it names, and its voters are as voters are added here.
fn is_whole_snapshot(message: &Message) -> bool {
    let snapshot = message.get_snapshot();
    let meta = snapshot.get_metadata();
    let is_of_a_term = (1..=message.term).contains(&meta.term) && (1..NUMBER_BOUND).contains(&meta.index);
    let record = replicated_snapshot::decode(snapshot.get_data());
    is_of_a_term
        && has_plain_voters(meta.get_conf_state())
        && record.is_some_and(|record| record.index == meta.index)
}

/// Whether there are voters, each once, and nobody else.
fn has_plain_voters(conf: &ConfState) -> bool {
    let mut voters = conf.voters.clone();
    voters.sort_unstable();
    let is_each_once = voters.windows(2).all(|pair| pair[0] != pair[1]);
    let has_others =
        !conf.learners.is_empty() || !conf.voters_outgoing.is_empty() || !conf.learners_next.is_empty();
    let has_nobody = voters.first().is_none_or(|first| *first == raft::INVALID_ID);
    is_each_once && !has_nobody && !has_others && !conf.auto_leave
}
