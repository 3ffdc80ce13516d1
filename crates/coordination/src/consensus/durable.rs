//! Durable records of a voter, and the processing of the library's `Ready`s, which ensures that records are durable before
//! messages that depend on them are sent.
//!
//! Each `Ready` is processed in this order: its log changes are taken into [`RaftLog`], its immediate messages are sent, its
//! committed entries are applied, its records are written, and once they are durable its held messages are sent. Held messages
//! are sent in the order of their writes.

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

/// Maximum bytes of entries in one message; the first entry is sent whatever its length.
const MAX_MESSAGE_ENTRY_BYTES: u64 = 900;
/// Maximum messages with entries in flight to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 16;
/// Maximum bytes of uncommitted entries; beyond it proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 64 * 1024;

/// A record on a voter's disk; records must be written in order. The order of variants and fields is the stored form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DurableRecord {
    /// The replicated state as of an entry; replaces all earlier records.
    Snapshot {
        /// Index of the last entry applied to the state.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// Identities of the voters as of that entry.
        voters: Vec<VoterId>,
        /// Encoded state, as [`crate::replicated_snapshot`] writes it.
        data: Vec<u8>,
    },
    /// A log entry; replaces all entries from its index on.
    Entry {
        /// Index of the entry.
        index: LogIndex,
        /// Term in which the entry was proposed.
        term: Term,
        /// Whether the entry changes the membership rather than holding a command.
        changes: bool,
        /// Encoded content of the entry.
        data: Vec<u8>,
    },
    /// The current term, the vote in it, and the commit index.
    Term {
        /// Current term.
        term: Term,
        /// Voter that got this voter's vote in the term; 0 for none.
        vote: VoterId,
        /// Index of the last entry known to be committed.
        commit: LogIndex,
    },
}

impl DurableRecord {
    /// Converts a snapshot of the library to a record.
    pub(super) fn of_snapshot(snapshot: &Snapshot) -> Self {
        let meta = snapshot.get_metadata();
        Self::Snapshot {
            index: meta.index,
            term: meta.term,
            voters: meta.get_conf_state().voters.clone(),
            data: snapshot.get_data().to_vec(),
        }
    }

    /// Converts an entry of the library to a record.
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

/// The state on a voter's disk.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VoterState {
    /// Identity of the voter, created with the disk's directory.
    pub id: VoterId,
    /// All records in order; empty if no group was founded here.
    pub records: Vec<DurableRecord>,
}

/// Reason for excluding a voter until an operator replaces it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExclusionReason {
    /// A snapshot on the voter's disk can't be decoded.
    #[error("the snapshot at entry {index} on its disk can't be decoded")]
    UnreadableSnapshot {
        /// Index of the last entry in the snapshot.
        index: LogIndex,
    },
    /// The library rejects the records on the voter's disk.
    #[error("the records on its disk are inconsistent: {error}")]
    InconsistentRecords {
        /// Error of the library.
        error: String,
    },
    /// The leader relies on an entry that the voter acknowledged and its disk doesn't have.
    #[error(
        "it acknowledged entry {acknowledged} but has entries only up to {last}: its disk is an old copy"
    )]
    ForgottenEntry {
        /// Index of the committed entry that the voter acknowledged.
        acknowledged: LogIndex,
        /// Index of the last entry on the disk.
        last: LogIndex,
    },
}

/// A processed `Ready` whose messages are held until its write is durable.
pub(super) struct PendingReady {
    /// Number that the library gave the `Ready`; 0 for the founding.
    pub number: u64,
    /// Whether the write is durable, or none was needed.
    pub is_durable: bool,
    /// Whether the `Ready` has a snapshot of another voter, which counts as applied once it is durable.
    pub has_snapshot: bool,
    /// Messages to send once the write is durable.
    pub messages: Vec<Message>,
}

impl ConsensusVoter {
    /// Starts from the records on the disk.
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

    /// Starts the library's state machine with a log; excludes the voter if the library rejects the log.
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

    /// Excludes this voter from the group until an operator replaces it.
    pub(super) fn exclude(&mut self, reason: ExclusionReason) {
        self.log(
            Level::Warning,
            format!("this voter is excluded from the council until it is replaced: {reason}"),
        );
        self.node = None;
        self.excluded = Some(reason);
        self.pending.clear();
    }

    /// Handles a failed write: drops the messages that wait for it, and restarts the voter from the state on its disk.
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

    /// Records that writes up to this number are durable, and sends the messages that were held for them.
    pub fn write_completed(&mut self, number: u64) {
        for pending in self.pending.iter_mut().filter(|pending| pending.number <= number) {
            pending.is_durable = true;
        }
        self.send_durable();
    }

    /// Sends held messages whose writes are durable, in order.
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

    /// Processes every `Ready` that the library has.
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

    /// Takes the log changes of a `Ready` into the [`RaftLog`], and returns the records to write for them.
    fn append(&mut self, ready: &Ready) -> Vec<DurableRecord> {
        let Some(node) = &mut self.node else { return Vec::new() };
        let mut records = Vec::new();
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            // Always decodable: the validation of messages rejects other snapshots.
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
