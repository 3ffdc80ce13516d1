//! The library's view of a voter's log: what is durable, or will be before anything depends on it.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot, SnapshotMetadata};
use raft::storage::{GetEntriesContext, RaftState};
use raft::{Storage, StorageError};

/// Entries that stay behind a snapshot for voters that are a little behind.
const KEPT_BEHIND: u64 = 32;

/// The library's view of what is durable or will be before anything depends on it.
#[derive(Debug, Clone, Default)]
pub(super) struct Log {
    pub hard: HardState,
    pub conf: ConfState,
    pub snapshot: Snapshot,
    /// What lies right before the first entry here.
    pub before: (u64, u64),
    pub entries: Vec<Entry>,
}

impl Log {
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.before.0, |entry| entry.index)
    }

    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.before.0 + 1) as usize;
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }

    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.before = (meta.index, meta.term);
        self.conf = meta.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Takes a snapshot at an entry that was applied; entries that a slow voter may still need stay.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) {
        let term = self.term(index).unwrap_or(self.before.1);
        self.snapshot = snapshot(index, term, self.conf.clone(), data);
        let behind = index.saturating_sub(KEPT_BEHIND);
        if behind > self.before.0
            && let Ok(term) = self.term(behind)
        {
            self.entries.drain(..(behind - self.before.0) as usize);
            self.before = (behind, term);
        }
    }
}

/// A snapshot as of an entry.
pub(super) fn snapshot(index: u64, term: u64, conf: ConfState, data: Vec<u8>) -> Snapshot {
    let mut meta = SnapshotMetadata::default();
    meta.set_conf_state(conf);
    (meta.index, meta.term) = (index, term);
    let mut snapshot = Snapshot::default();
    snapshot.set_metadata(meta);
    snapshot.set_data(data.into());
    snapshot
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.before.0 {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let place = |index: u64| (index - self.before.0 - 1) as usize;
        let mut entries = self.entries[place(low)..place(high)].to_vec();
        raft::util::limit_size(&mut entries, max.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        if index < self.before.0 {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.before.0 - 1) as usize);
        entry.map(|entry| entry.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
