//! Commits that were received before the ones that they follow.
//!
//! One commit per revision, none at or below the revision in force, and none more than [`MAX_PENDING`] past it.

use super::messages::CommitRecord;
use crate::change::{Commit, Name, Revision};
use crate::digest::Digest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Commits that wait; each takes one datagram on average.
pub const MAX_PENDING: usize = 512;

/// Where a commit was received from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitSource {
    /// The consensus group, on a voter.
    Consensus,
    /// A peer that pushed it.
    Push(Name),
    /// A peer that it was requested from.
    Fetch(Name),
}

/// A commit that is not applied yet.
#[derive(Debug, Clone)]
pub struct PendingCommit {
    /// The commit.
    pub commit: Arc<Commit>,
    /// The digest that the state must have after it; `None` where the consensus group delivered the commit.
    pub expected_digest: Option<Digest>,
    /// Where it was received from.
    pub source: CommitSource,
}

/// The commits that are not applied yet, by revision.
#[derive(Debug, Default)]
pub struct PendingCommits {
    by_revision: BTreeMap<Revision, PendingCommit>,
}

fn is_within_window(in_force: Revision, revision: Revision) -> bool {
    revision > in_force && revision.0 - in_force.0 <= MAX_PENDING as u64
}

impl PendingCommits {
    /// Adds a record of a peer. A commit of the same revision that is there already stays.
    pub fn add_from_peer(&mut self, in_force: Revision, record: CommitRecord, source: CommitSource) {
        let revision = record.commit.revision;
        if is_within_window(in_force, revision) {
            let CommitRecord { commit, digest, .. } = record;
            let pending = PendingCommit { commit, expected_digest: Some(digest), source };
            self.by_revision.entry(revision).or_insert(pending);
        }
    }

    /// Adds a commit of the consensus group, which replaces one that a peer sent.
    pub fn add_from_consensus(&mut self, in_force: Revision, commit: Arc<Commit>) {
        let revision = commit.revision;
        if is_within_window(in_force, revision) {
            let pending = PendingCommit { commit, expected_digest: None, source: CommitSource::Consensus };
            self.by_revision.insert(revision, pending);
        }
    }

    /// Takes the commit that follows the revision in force.
    pub fn take_next(&mut self, in_force: Revision) -> Option<PendingCommit> {
        self.drop_through(in_force);
        self.by_revision.remove(&in_force.next())
    }

    /// Takes the commit of the lowest revision, with or without a gap before it.
    pub fn take_lowest(&mut self, in_force: Revision) -> Option<PendingCommit> {
        self.drop_through(in_force);
        self.by_revision.pop_first().map(|(_, pending)| pending)
    }

    fn drop_through(&mut self, in_force: Revision) {
        if self.by_revision.first_key_value().is_some_and(|(first, _)| *first <= in_force) {
            self.by_revision = self.by_revision.split_off(&in_force.next());
        }
    }

    /// Drops all commits that a peer sent.
    pub fn drop_from_peer(&mut self, name: &str) {
        self.by_revision.retain(|_, pending| match &pending.source {
            CommitSource::Consensus => true,
            CommitSource::Push(peer) | CommitSource::Fetch(peer) => peer.as_ref() != name,
        });
    }
}
