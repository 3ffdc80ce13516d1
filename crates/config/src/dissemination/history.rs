//! What peers that are behind may ask for: the last commits, and the digests of the last states.

use super::messages::CommitRecord;
use crate::change::{Commit, Revision};
use crate::digest::{Digest, Version};
use crate::log::{CommitLog, LogLimits};
use std::collections::VecDeque;
use std::sync::Arc;

/// Digests kept, at the most: 128 KB. They outlast the commits, so that old snapshots can still be confirmed.
const MOST_DIGESTS: usize = 8_192;

/// The last commits and digests. The last digest is the one of the state.
#[derive(Debug)]
pub struct History {
    log: CommitLog,
    limits: LogLimits,
    digests: VecDeque<Digest>,
}

impl History {
    /// Empty, at a state.
    pub fn new(version: Version, limits: LogLimits) -> Self {
        let log = CommitLog::after_revision(version.revision, limits);
        Self { log, limits, digests: VecDeque::from([version.digest]) }
    }

    /// Begins anew at another state.
    pub fn restart(&mut self, version: Version) {
        *self = Self::new(version, self.limits);
    }

    /// Adds the commit that was applied; the oldest ones go where there are too many.
    pub fn push(&mut self, commit: Arc<Commit>, digest: Digest) {
        if self.log.push(commit).is_err() {
            return;
        }
        self.digests.push_back(digest);
        if self.digests.len() > MOST_DIGESTS {
            self.digests.pop_front();
        }
    }

    /// The digest of the state at a revision, where it is known.
    pub fn digest_at(&self, revision: Revision) -> Option<Digest> {
        let back = usize::try_from(self.log.last().0.checked_sub(revision.0)?).ok()?;
        let place = self.digests.len().checked_sub(back + 1)?;
        self.digests.get(place).copied()
    }

    /// The record of a revision, if it is kept.
    pub fn get(&self, revision: Revision) -> Option<CommitRecord> {
        let commit = self.log.get(revision)?;
        Some(CommitRecord::new(Arc::clone(commit), self.digest_at(revision)?))
    }

    /// The records after a revision, in order; none if some of them are gone or the revision is yet to come.
    pub fn after(&self, revision: Revision) -> Option<impl Iterator<Item = CommitRecord> + '_> {
        let records = self.log.after(revision)?;
        Some(records.filter_map(|commit| {
            let digest = self.digest_at(commit.revision)?;
            Some(CommitRecord::new(Arc::clone(commit), digest))
        }))
    }
}
