//! Durable records and their order, like the library's `Ready`: what must be durable before a message leaves.
//!
//! Each `Ready` is processed in this order: its log changes go to the library's view of the log, its immediate messages
//! leave, its committed entries are applied, its records are written, and once they are durable its held messages leave.
//! Held messages leave in the order of their writes.

use super::raft_log::{RaftLog, snapshot};
use super::{ConsensusVoter, ELECTION_TICKS, HEARTBEAT_TICKS, VoterEffect, VoterId};
use crate::ids::{LogIndex, Term};
use crate::replicated_snapshot;
use gradepin_admission::Time;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, Snapshot};
use raft::{Config, RawNode, Ready};
use rand_pcg::rand_core::Rng;
use serde::{Deserialize, Serialize};
use slog::Level;

/// Bytes of entries in one message, beyond the first entry.
const MAX_MESSAGE_ENTRY_BYTES: u64 = 900;
/// Messages in flight to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 16;
/// Bytes of entries that aren't committed yet.
const MAX_UNCOMMITTED_BYTES: u64 = 64 * 1024;

/// What has to be on the disk, in this order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DurableRecord {
    /// The replicated state as of an entry. It replaces all records before it.
    Snapshot {
        /// The last entry that is in it.
        index: LogIndex,
        /// The term of that entry.
        term: Term,
        /// The voters.
        voters: Vec<VoterId>,
        /// The encoded state.
        data: Vec<u8>,
    },
    /// An entry. It replaces those from its index on.
    Entry {
        /// Its index.
        index: LogIndex,
        /// Its term.
        term: Term,
        /// Whether it changes the membership.
        changes: bool,
        /// Its encoded content.
        data: Vec<u8>,
    },
    /// The term, the vote in it, and how far the log is committed.
    Term {
        /// The term.
        term: Term,
        /// The voter that got this voter's vote; 0 for none.
        vote: VoterId,
        /// The last entry that is known to be committed.
        commit: LogIndex,
    },
}

impl DurableRecord {
    /// The record of a snapshot.
    pub(super) fn of_snapshot(snapshot: &Snapshot) -> Self {
        let meta = snapshot.get_metadata();
        Self::Snapshot {
            index: meta.index,
            term: meta.term,
            voters: meta.get_conf_state().voters.clone(),
            data: snapshot.get_data().to_vec(),
        }
    }

    /// The record of an entry.
    pub(super) fn of_entry(entry: &Entry) -> Self {
        Self::Entry {
            index: entry.index,
            term: entry.term,
            changes: entry.get_entry_type() == EntryType::EntryConfChange,
            data: entry.get_data().to_vec(),
        }
    }

    fn of_hard_state(hard_state: &HardState) -> Self {
        Self::Term { term: hard_state.term, vote: hard_state.vote, commit: hard_state.commit }
    }
}

/// What a voter's disk holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VoterState {
    /// The identity of the disk.
    pub id: VoterId,
    /// All records in order; empty if no group was founded here.
    pub records: Vec<DurableRecord>,
}

/// Why a voter is excluded until an operator replaces it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExclusionReason {
    /// A snapshot on its disk can't be decoded.
    #[error("the state as of entry {index} on its disk can't be read")]
    UnreadableSnapshot {
        /// The last entry in it.
        index: LogIndex,
    },
    /// The library rejects the records on its disk.
    #[error("what is on its disk makes no sense: {error}")]
    InconsistentRecords {
        /// The library's error.
        error: String,
    },
    /// The leader counts on an entry that isn't on its disk.
    #[error("it acknowledged entry {acknowledged} and has {last}: its disk is an old copy")]
    ForgottenEntry {
        /// The entry that is committed.
        acknowledged: LogIndex,
        /// The last entry here.
        last: LogIndex,
    },
}

/// A processed `Ready` whose messages wait for its write.
pub(super) struct PendingReady {
    /// The library's number of it; 0 for the founding.
    pub number: u64,
    /// Whether its write is completed.
    pub is_durable: bool,
    /// Whether it has another voter's snapshot, which counts as applied once it is durable.
    pub has_snapshot: bool,
    /// The messages that are held.
    pub messages: Vec<Message>,
}

impl ConsensusVoter {
    /// Starts from the records of the disk.
    pub(super) fn load(&mut self, records: Vec<DurableRecord>) {
        let mut log = RaftLog::default();
        for record in records {
            match record {
                DurableRecord::Snapshot { index, term, voters, data } => {
                    let Some(state) = replicated_snapshot::decode(&data) else {
                        return self.exclude(ExclusionReason::UnreadableSnapshot { index });
                    };
                    self.state = state;
                    let conf_state = ConfState { voters, ..ConfState::default() };
                    log.restore(snapshot(index, term, conf_state, data));
                }
                DurableRecord::Entry { index, term, changes, data } => {
                    let is_next_or_replaces = index > log.before.index && index <= log.last_index() + 1;
                    if is_next_or_replaces {
                        log.append(&[entry(index, term, changes, data)]);
                    }
                }
                DurableRecord::Term { term, vote, commit } => {
                    log.hard_state.term = term;
                    log.hard_state.vote = vote;
                    log.hard_state.commit = commit;
                }
            }
        }
        log.hard_state.commit = log.hard_state.commit.clamp(log.before.index, log.last_index());
        self.content.restart(self.state.configuration.version());
        self.start_node(log);
    }

    /// Starts the library's state machine with a log.
    pub(super) fn start_node(&mut self, log: RaftLog) {
        let config = Config {
            id: self.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: log.before.index,
            max_size_per_msg: MAX_MESSAGE_ENTRY_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&config, log, &logger) {
            Ok(node) => self.node = Some(node),
            Err(error) => self.exclude(ExclusionReason::InconsistentRecords { error: error.to_string() }),
        }
    }

    /// Takes this voter out of the group until an operator replaces it.
    pub(super) fn exclude(&mut self, reason: ExclusionReason) {
        self.log(Level::Warning, format!("out of the council until it is replaced: {reason}"));
        self.node = None;
        self.excluded = Some(reason);
        self.pending.clear();
    }

    /// A write failed: messages that wait for it are dropped, and the voter restarts from what its disk has.
    pub fn write_failed(&mut self, stored: VoterState, now: Time) {
        let excluded = self.excluded.take();
        let content = std::mem::take(&mut self.content);
        let seed = self.rng.next_u64();
        let effects = std::mem::take(&mut self.effects);
        *self = Self::new(stored, seed, now);
        self.content = content;
        self.content.restart(self.state.configuration.version());
        let is_log = |effect: &VoterEffect| matches!(effect, VoterEffect::Log { .. });
        self.effects.splice(0..0, effects.into_iter().filter(is_log));
        if excluded.is_some() {
            self.node = None;
            self.excluded = excluded;
        }
    }

    /// Writes up to this number are durable.
    pub fn write_completed(&mut self, number: u64) {
        for pending in self.pending.iter_mut().filter(|pending| pending.number <= number) {
            pending.is_durable = true;
        }
        self.send_durable();
    }

    /// Sends messages whose writes are durable, in order.
    fn send_durable(&mut self) {
        while self.pending.front().is_some_and(|pending| pending.is_durable) {
            let Some(pending) = self.pending.pop_front() else { return };
            let Some(node) = &mut self.node else { return };
            if pending.number > 0 {
                node.on_persist_ready(pending.number);
            }
            if pending.has_snapshot {
                node.advance_apply();
            }
            self.send_raft(pending.messages);
        }
    }

    /// Processes all that the library has ready.
    pub(super) fn process_ready(&mut self) {
        self.send_durable();
        while let Some(node) = self.node.as_mut().filter(|node| node.has_ready()) {
            let ready = node.ready();
            self.process(ready);
            self.send_durable();
        }
        self.draw_election_timeout();
    }

    fn process(&mut self, mut ready: Ready) {
        let number = ready.number();
        let (immediate, messages) = (ready.take_messages(), ready.take_persisted_messages());
        let has_snapshot = !ready.snapshot().is_empty();
        let must_sync = ready.must_sync();
        let records = self.append(&ready);
        let committed = ready.take_committed_entries();
        if let Some(node) = &mut self.node {
            node.advance_append_async(ready);
        }
        self.send_raft(immediate);
        self.apply(committed);
        let waits_for_snapshot = has_snapshot || self.pending.iter().any(|pending| pending.has_snapshot);
        if let Some(node) = self.node.as_mut().filter(|_| !waits_for_snapshot) {
            node.advance_apply();
        }
        self.deferred_records.extend(records);
        let has_own_snapshot = self.take_snapshot_if_due();
        let must_write = must_sync || has_own_snapshot;
        self.pending.push_back(PendingReady { number, is_durable: !must_write, has_snapshot, messages });
        if must_write {
            let records = std::mem::take(&mut self.deferred_records);
            self.effects.push(VoterEffect::Write { number, records });
        }
    }

    /// Takes the log changes of a `Ready` into the library's view of the log; their records.
    fn append(&mut self, ready: &Ready) -> Vec<DurableRecord> {
        let Some(node) = &mut self.node else { return Vec::new() };
        let mut records = Vec::new();
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            // One that can't be decoded doesn't pass the validation of messages.
            if let Some(state) = replicated_snapshot::decode(snapshot.get_data()) {
                self.state = state;
            }
            self.content.restart(self.state.configuration.version());
            records.push(DurableRecord::of_snapshot(&snapshot));
            node.mut_store().restore(snapshot);
        }
        records.extend(ready.entries().iter().map(DurableRecord::of_entry));
        node.mut_store().append(ready.entries());
        if let Some(hard_state) = ready.hs() {
            node.mut_store().hard_state = hard_state.clone();
            records.push(DurableRecord::of_hard_state(hard_state));
        }
        records
    }
}

fn entry(index: LogIndex, term: Term, changes_membership: bool, data: Vec<u8>) -> Entry {
    let kind = if changes_membership { EntryType::EntryConfChange } else { EntryType::EntryNormal };
    let mut entry = Entry::default();
    entry.set_entry_type(kind);
    entry.index = index;
    entry.term = term;
    entry.set_data(data.into());
    entry
}
