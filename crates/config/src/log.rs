//! The commits that are kept: for those who are a little behind, and for people.
//!
//! Bounded by number and by bytes; the oldest go first. Revisions in it are without gaps.

use crate::change::{Commit, Revision};
use std::collections::VecDeque;
use std::sync::Arc;

/// How much a [`CommitLog`] keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Commits at the most.
    pub commits: usize,
    /// Bytes of their encodings at the most. The newest commit is kept whatever it takes.
    pub bytes: usize,
}

impl Default for LogLimits {
    /// Some hours of 1,900 changes a day, in at most 1 MB.
    fn default() -> Self {
        Self { commits: 256, bytes: 1 << 20 }
    }
}

/// A commit that does not follow the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected revision {expected}, got {came}")]
pub struct Gap {
    /// The one that would follow.
    pub expected: Revision,
    /// The one that came.
    pub came: Revision,
}

#[derive(Debug, Clone)]
struct Kept {
    commit: Arc<Commit>,
    bytes: usize,
}

/// The last commits.
#[derive(Debug, Clone)]
pub struct CommitLog {
    limits: LogLimits,
    kept: VecDeque<Kept>,
    bytes: usize,
    last: Revision,
}

impl CommitLog {
    /// Nothing kept yet, after a revision.
    pub fn after_revision(last: Revision, limits: LogLimits) -> Self {
        Self { limits, kept: VecDeque::new(), bytes: 0, last }
    }

    /// The last revision.
    pub fn last(&self) -> Revision {
        self.last
    }

    /// The revision after which all commits are kept.
    pub fn base(&self) -> Revision {
        Revision(self.last.0 - self.kept.len() as u64)
    }

    /// Bytes of the commits that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes the next commit, and lets go of the oldest past the limits.
    pub fn push(&mut self, commit: Arc<Commit>) -> Result<(), Gap> {
        let expected = self.last.next();
        if commit.revision != expected {
            return Err(Gap { expected, came: commit.revision });
        }
        let bytes = postcard::to_stdvec(&*commit).map_or(0, |bytes| bytes.len());
        self.last = commit.revision;
        self.bytes += bytes;
        self.kept.push_back(Kept { commit, bytes });
        self.compact();
        Ok(())
    }

    fn compact(&mut self) {
        let over = |log: &Self| log.kept.len() > log.limits.commits.max(1) || log.bytes > log.limits.bytes;
        while self.kept.len() > 1 && over(self) {
            self.bytes -= self.kept.pop_front().map_or(0, |kept| kept.bytes);
        }
    }

    /// A snapshot was installed: what came before it is no history of this log.
    pub fn restart(&mut self, last: Revision) {
        *self = Self::after_revision(last, self.limits);
    }

    /// All commits after a revision, in order; none if some are no longer kept, or the revision is yet to come.
    pub fn after(&self, revision: Revision) -> Option<impl Iterator<Item = &Arc<Commit>>> {
        let skipped = revision.0.checked_sub(self.base().0).filter(|_| revision <= self.last)?;
        Some(self.kept.iter().skip(skipped as usize).map(|kept| &kept.commit))
    }

    /// The commit of a revision, if it is kept.
    pub fn get(&self, revision: Revision) -> Option<&Arc<Commit>> {
        let place = revision.0.checked_sub(self.base().0 + 1)?;
        self.kept.get(place as usize).map(|kept| &kept.commit)
    }

    /// What is kept, the newest first.
    pub fn history(&self) -> impl Iterator<Item = &Arc<Commit>> {
        self.kept.iter().rev().map(|kept| &kept.commit)
    }
}
