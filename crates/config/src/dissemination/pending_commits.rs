//! Commits that were received but not applied yet, mostly because a preceding commit is missing.
//!
//! There is at most one commit per revision, and only for the [`MAX_PENDING`] revisions after the one in force.

use super::messages::CommitRecord;
use crate::change::{Commit, Name, Revision};
use crate::digest::Digest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of pending commits. A commit takes one datagram on average.
pub const MAX_PENDING: usize = 512;

/// Which source a commit was received from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitSource {
    /// Delivered by the consensus group, which happens on voters only.
    Consensus,
    /// Pushed by this peer.
    Push(Name),
    /// Received from this peer in response to a request.
    Fetch(Name),
}

/// A commit that is not applied yet.
#[derive(Debug, Clone)]
pub struct PendingCommit {
    /// The commit to apply.
    pub commit: Arc<Commit>,
    /// The digest that the state must have after the commit; `None` if the consensus group delivered it.
    pub expected_digest: Option<Digest>,
    /// The source to quarantine if the commit turns out to be bad.
    pub source: CommitSource,
}

/// The commits that were not applied yet, by revision.
#[derive(Debug, Default)]
pub struct PendingCommits {
    by_revision: BTreeMap<Revision, PendingCommit>,
}

fn is_within_window(in_force: Revision, revision: Revision) -> bool {
    revision > in_force && revision.0 - in_force.0 <= MAX_PENDING as u64
}

impl PendingCommits {
    /// Adds a record of a peer, unless there already is a commit of the same revision.
    pub fn add_from_peer(&mut self, in_force: Revision, record: CommitRecord, source: CommitSource) {
        let revision = record.commit.revision;
        if is_within_window(in_force, revision) {
            let CommitRecord { commit, digest, .. } = record;
            let pending = PendingCommit { commit, expected_digest: Some(digest), source };
            self.by_revision.entry(revision).or_insert(pending);
        }
    }

    /// Adds a commit of the consensus group. It replaces a commit of the same revision that a peer sent.
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

    /// Takes the commit of the lowest revision even if there is a gap before it.
    pub fn take_lowest(&mut self, in_force: Revision) -> Option<PendingCommit> {
        self.drop_through(in_force);
        self.by_revision.pop_first().map(|(_, pending)| pending)
    }

    fn drop_through(&mut self, in_force: Revision) {
        if self.by_revision.first_key_value().is_some_and(|(first, _)| *first <= in_force) {
            self.by_revision = self.by_revision.split_off(&in_force.next());
        }
    }

    /// Drops all commits that this peer sent.
    pub fn drop_from_peer(&mut self, name: &str) {
        self.by_revision.retain(|_, pending| match &pending.source {
            CommitSource::Consensus => true,
            CommitSource::Push(peer) | CommitSource::Fetch(peer) => peer.as_ref() != name,
        });
    }
}
