//! The most recent commits and state digests, which peers that are behind can fetch.

use super::messages::CommitRecord;
use crate::change::{Commit, Revision};
use crate::digest::{Digest, Version};
use crate::log::{CommitLog, LogLimits};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of digests retained, 128 KB in total. They reach back farther than the commits, so that old snapshots can still
/// be confirmed.
const MAX_DIGESTS: usize = 8_192;

/// The most recent commits and state digests. Invariant: the last digest is that of the state in force.
#[derive(Debug)]
pub struct CommitHistory {
    log: CommitLog,
    limits: LogLimits,
    digests: VecDeque<Digest>,
}

impl CommitHistory {
    /// A history that begins at the state of `version` and has no commits.
    pub fn new(version: Version, limits: LogLimits) -> Self {
        let log = CommitLog::after_revision(version.revision, limits);
        Self { log, limits, digests: VecDeque::from([version.digest]) }
    }

    /// Clears the history and begins again at the state of `version`.
    pub fn restart(&mut self, version: Version) {
        *self = Self::new(version, self.limits);
    }

    /// Adds an applied commit and the digest of the state after it; drops the oldest above the limits. A commit that does not
    /// follow the last one is ignored.
    pub fn push(&mut self, commit: Arc<Commit>, digest: Digest) {
        if self.log.push(commit).is_err() {
            return;
        }
        self.digests.push_back(digest);
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_front();
        }
    }

    /// The digest of the state at a revision, if it is retained.
    pub fn digest_at(&self, revision: Revision) -> Option<Digest> {
        let distance_from_last = usize::try_from(self.log.last().0.checked_sub(revision.0)?).ok()?;
        let index = self.digests.len().checked_sub(distance_from_last + 1)?;
        self.digests.get(index).copied()
    }

    /// The record of a revision, if it is retained.
    pub fn get(&self, revision: Revision) -> Option<CommitRecord> {
        let commit = self.log.get(revision)?;
        Some(CommitRecord::new(Arc::clone(commit), self.digest_at(revision)?))
    }

    /// The records after a revision, in order. `None` if some of them were already dropped or the revision is in the future.
    pub fn after(&self, revision: Revision) -> Option<impl Iterator<Item = CommitRecord> + '_> {
        let commits = self.log.after(revision)?;
        Some(commits.filter_map(|commit| {
            let digest = self.digest_at(commit.revision)?;
            Some(CommitRecord::new(Arc::clone(commit), digest))
        }))
    }
}
