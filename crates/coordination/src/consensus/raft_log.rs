//! A voter's log as the library sees it. Its content is durable, or will be before a message that depends on it is sent.

use crate::ids::{LogIndex, Term};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot, SnapshotMetadata};
use raft::storage::{GetEntriesContext, RaftState};
use raft::{Storage, StorageError};

/// Entries retained before a snapshot, so that voters slightly behind need no snapshot.
const RETAINED_ENTRIES: u64 = 32;

/// Position of an entry in the log, with its term.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EntryId {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term in which the entry was proposed.
    pub term: Term,
}

/// A voter's log in memory, with its last snapshot.
#[derive(Debug, Clone, Default)]
pub(super) struct RaftLog {
    /// Current term, vote in it, and commit index.
    pub hard_state: HardState,
    /// Members of the group.
    pub conf_state: ConfState,
    /// Last snapshot, taken here or received.
    pub snapshot: Snapshot,
    /// The entry right before the first one in `entries`.
    pub before: EntryId,
    /// Retained entries, without gaps.
    pub entries: Vec<Entry>,
}

impl RaftLog {
    /// Index of the last entry, or of the last compacted one if there are none.
    pub(super) fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.before.index, |entry| entry.index)
    }

    /// Appends entries, which replace all existing ones from the index of the first on.
    pub(super) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let kept = first.index.saturating_sub(self.before.index + 1) as usize;
        self.entries.truncate(kept);
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.before = EntryId { index: meta.index, term: meta.term };
        self.conf_state = meta.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Sets the snapshot as of an applied entry, and drops older entries except the last [`RETAINED_ENTRIES`].
    pub(super) fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        let term = self.term(index).unwrap_or(self.before.term);
        self.snapshot = snapshot(index, term, self.conf_state.clone(), data);
        let new_before = index.saturating_sub(RETAINED_ENTRIES);
        if new_before > self.before.index
            && let Ok(term) = self.term(new_before)
        {
            self.entries.drain(..(new_before - self.before.index) as usize);
            self.before = EntryId { index: new_before, term };
        }
    }

    /// Index into [`RaftLog::entries`] of an entry after [`RaftLog::before`].
    fn position(&self, index: LogIndex) -> usize {
        (index - self.before.index - 1) as usize
    }
}

/// Builds a snapshot as of an entry.
pub(super) fn snapshot(index: LogIndex, term: Term, conf_state: ConfState, data: Vec<u8>) -> Snapshot {
    let mut meta = SnapshotMetadata::default();
    meta.set_conf_state(conf_state);
    meta.index = index;
    meta.term = term;
    let mut snapshot = Snapshot::default();
    snapshot.set_metadata(meta);
    snapshot.set_data(data.into());
    snapshot
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_bytes: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.before.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if high > self.last_index() + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let mut entries = self.entries[self.position(low)..self.position(high)].to_vec();
        raft::util::limit_size(&mut entries, max_bytes.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.index {
            return Ok(self.before.term);
        }
        if index < self.before.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get(self.position(index));
        entry.map(|entry| entry.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
