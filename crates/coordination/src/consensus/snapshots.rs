//! Takes snapshots of the replicated state, which compacts the log, and resends snapshots that were lost.

use super::{ConsensusVoter, DurableRecord, VoterId};
use crate::replicated_snapshot;
use raft::{ProgressState, SnapshotStatus, StateRole};

/// Entries since the last snapshot after which the next one is taken.
const SNAPSHOT_ENTRIES: u64 = 128;
/// Entries since the last snapshot after which the next one is taken even if the configuration isn't durable here yet.
const MAX_SNAPSHOT_ENTRIES: u64 = 4 * SNAPSHOT_ENTRIES;
/// Ticks after which an unacknowledged snapshot is sent again; a snapshot takes many datagrams, so its transfer takes a while.
const SNAPSHOT_RETRY_TICKS: u32 = 10;

impl ConsensusVoter {
    /// Takes a snapshot if enough entries were applied since the last one, or if the membership changed. The deferred records
    /// are then replaced by the complete new content of the files. Returns whether a snapshot was taken.
    pub(super) fn take_snapshot_if_due(&mut self) -> bool {
        let Some(node) = &mut self.node else { return false };
        let last_snapshot = node.store().snapshot.get_metadata().index;
        let applied = self.state.index.saturating_sub(last_snapshot);
        let membership_changed = std::mem::take(&mut self.membership_changed);
        // The log is bounded even if the host fails to make the configuration durable: peers have the content.
        let is_due = applied >= SNAPSHOT_ENTRIES && (self.may_compact() || applied >= MAX_SNAPSHOT_ENTRIES);
        if !is_due && !membership_changed {
            return false;
        }
        let Some(node) = &mut self.node else { return false };
        let index = self.state.index;
        let log = node.mut_store();
        log.compact(index, replicated_snapshot::encode(&self.state));
        let later_entries = log.entries.iter().filter(|entry| entry.index > index);
        let hard_state = &log.hard_state;
        let term = DurableRecord::Term {
            term: hard_state.term,
            vote: hard_state.vote,
            commit: hard_state.commit.max(index),
        };
        self.deferred_records = vec![DurableRecord::of_snapshot(&log.snapshot)];
        self.deferred_records.extend(later_entries.map(DurableRecord::of_entry));
        self.deferred_records.push(term);
        true
    }

    /// Resends snapshots that seem lost. The library waits for the transport to report a failure, but this transport reports
    /// none.
    pub(super) fn resend_snapshots(&mut self) {
        let Some(node) = self.node.as_mut().filter(|node| node.raft.state == StateRole::Leader) else {
            return self.snapshots_sent.clear();
        };
        let progress = node.raft.prs().iter();
        let awaits_snapshot = progress.filter(|(_, progress)| progress.state == ProgressState::Snapshot);
        let voters: Vec<VoterId> = awaits_snapshot.map(|(id, _)| *id).collect();
        self.snapshots_sent.retain(|id, _| voters.contains(id));
        for id in voters {
            let ticks = self.snapshots_sent.entry(id).or_default();
            *ticks += 1;
            if *ticks >= SNAPSHOT_RETRY_TICKS {
                *ticks = 0;
                node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }
}
