//! Commits that came before the ones that they follow.

use super::messages::CommitRecord;
use crate::change::{Commit, Name, Revision};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Commits that wait, at the most; each takes a datagram's worth in the mean.
const MOST: usize = 512;

/// Where a commit came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The own consensus group.
    Consensus,
    /// A peer that pushed it.
    Push(Name),
    /// A peer that was asked.
    Fetch(Name),
}

/// A commit that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The commit.
    pub commit: Arc<Commit>,
    /// The digest that the state should have after it; none where the consensus group itself told the commit.
    pub digest: Option<crate::digest::Digest>,
    /// Where it came from.
    pub origin: Origin,
}

/// Commits that wait, one a revision.
#[derive(Debug, Default)]
pub struct Pending {
    waiting: BTreeMap<Revision, Waiting>,
}

impl Pending {
    /// A record of a peer. One that is there already stays, unless it came from a peer that gave it up.
    pub fn add(&mut self, own: Revision, record: CommitRecord, origin: Origin) {
        let revision = record.commit.revision;
        if revision > own && revision.0 - own.0 <= MOST as u64 {
            let CommitRecord { commit, digest, .. } = record;
            self.waiting.entry(revision).or_insert(Waiting { commit, digest: Some(digest), origin });
        }
    }

    /// A commit of the own consensus group, which wins over what a peer said.
    pub fn add_agreed(&mut self, own: Revision, commit: Arc<Commit>) {
        let revision = commit.revision;
        if revision > own && revision.0 - own.0 <= MOST as u64 {
            self.waiting.insert(revision, Waiting { commit, digest: None, origin: Origin::Consensus });
        }
    }

    /// Takes the commit that follows a revision.
    pub fn take(&mut self, own: Revision) -> Option<Waiting> {
        self.forget_to(own);
        self.waiting.remove(&own.next())
    }

    /// Takes whichever is first.
    pub fn take_any(&mut self, own: Revision) -> Option<Waiting> {
        self.forget_to(own);
        self.waiting.pop_first().map(|(_, waiting)| waiting)
    }

    fn forget_to(&mut self, own: Revision) {
        if self.waiting.first_key_value().is_some_and(|(first, _)| *first <= own) {
            self.waiting = self.waiting.split_off(&own.next());
        }
    }

    /// Drops what a peer told that turned out to be bad.
    pub fn forget(&mut self, name: &str) {
        self.waiting.retain(|_, waiting| match &waiting.origin {
            Origin::Consensus => true,
            Origin::Push(from) | Origin::Fetch(from) => from.as_ref() != name,
        });
    }
}
