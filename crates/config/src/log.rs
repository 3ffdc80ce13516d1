//! The most recent commits, for servers that are slightly behind and for operators.
//!
//! The log is bounded in number and bytes; the oldest commits are dropped first. Invariant: the revisions have no gaps.

use crate::change::{Commit, Revision};
use std::collections::VecDeque;
use std::sync::Arc;

/// The bounds of a [`CommitLog`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Maximum number of commits retained, at least 1.
    pub commits: usize,
    /// Maximum total size of the encoded commits, in bytes. The newest commit is retained regardless of its size.
    pub bytes: usize,
}

impl Default for LogLimits {
    /// Covers a few hours at 1,900 changes per day, in 1 MB.
    fn default() -> Self {
        Self { commits: 256, bytes: 1 << 20 }
    }
}

/// A commit was rejected because its revision does not follow that of the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected revision {expected}, got {actual}")]
pub struct Gap {
    /// The revision after that of the last commit.
    pub expected: Revision,
    /// The revision of the rejected commit.
    pub actual: Revision,
}

#[derive(Debug, Clone)]
struct RetainedCommit {
    commit: Arc<Commit>,
    bytes: usize,
}

/// The most recent commits, without gaps.
#[derive(Debug, Clone)]
pub struct CommitLog {
    limits: LogLimits,
    entries: VecDeque<RetainedCommit>,
    /// Total size of the encoded commits.
    bytes: usize,
    last: Revision,
}

impl CommitLog {
    /// An empty log whose next commit has the revision after `last`.
    pub fn after_revision(last: Revision, limits: LogLimits) -> Self {
        Self { limits, entries: VecDeque::new(), bytes: 0, last }
    }

    /// The revision of the last commit, or the one after which the log starts if it is empty.
    pub fn last(&self) -> Revision {
        self.last
    }

    /// The revision before the oldest retained commit. All commits after it are retained.
    pub fn base(&self) -> Revision {
        Revision(self.last.0 - self.entries.len() as u64)
    }

    /// Total size of the encoded commits retained, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the next commit and drops the oldest ones above the limits.
    pub fn push(&mut self, commit: Arc<Commit>) -> Result<(), Gap> {
        let expected = self.last.next();
        if commit.revision != expected {
            return Err(Gap { expected, actual: commit.revision });
        }
        let bytes = postcard::to_stdvec(&*commit).map_or(0, |bytes| bytes.len());
        self.last = commit.revision;
        self.bytes += bytes;
        self.entries.push_back(RetainedCommit { commit, bytes });
        self.compact();
        Ok(())
    }

    fn compact(&mut self) {
        let is_over_limits =
            |log: &Self| log.entries.len() > log.limits.commits.max(1) || log.bytes > log.limits.bytes;
        while self.entries.len() > 1 && is_over_limits(self) {
            self.bytes -= self.entries.pop_front().map_or(0, |entry| entry.bytes);
        }
    }

    /// Drops all commits and continues after revision `last`, for example after a snapshot was installed.
    pub fn restart(&mut self, last: Revision) {
        *self = Self::after_revision(last, self.limits);
    }

    /// All commits after a revision, in order. `None` if some were already dropped or the revision is in the future.
    pub fn after(&self, revision: Revision) -> Option<impl Iterator<Item = &Arc<Commit>>> {
        let skipped = revision.0.checked_sub(self.base().0).filter(|_| revision <= self.last)?;
        Some(self.entries.iter().skip(skipped as usize).map(|entry| &entry.commit))
    }

    /// The commit of a revision, if it is retained.
    pub fn get(&self, revision: Revision) -> Option<&Arc<Commit>> {
        let index = revision.0.checked_sub(self.base().0 + 1)?;
        self.entries.get(index as usize).map(|entry| &entry.commit)
    }

    /// The retained commits, newest first.
    pub fn history(&self) -> impl Iterator<Item = &Arc<Commit>> {
        self.entries.iter().rev().map(|entry| &entry.commit)
    }
}
