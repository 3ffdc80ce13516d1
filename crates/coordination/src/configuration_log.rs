//! The replicated order of configuration changes: the revision, request id, author and reason of each commit.
//!
//! The order is replicated and not the content: a leader validates a transaction against the content of a revision, and its
//! entry names that revision and the digests before and after. So applying an entry costs the size of its texts, needs no
//! content and has the same result on every voter. Invariant: revisions have no gaps, and one request id gets one revision for
//! as long as it is remembered.

use crate::ids::Name;
use gradepin_config::change::{Commit, MAX_TEXT_BYTES, Proposal, Revision};
use gradepin_config::digest::Version;
use gradepin_config::validation::Invalid;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Commits remembered at most, whatever the setting: they are in the group's snapshot with the roster.
pub const MAX_HISTORY: u32 = 1_024;
/// Bytes of texts remembered at most. With a roster of 4,096 a snapshot fits into the longest message between servers.
pub const MAX_HISTORY_BYTES: usize = 48 * 1024;
/// The longest entry that a setting may allow; one entry and the next fit into what may wait to be committed.
pub const MAX_ENTRY_BYTES: u32 = 32 * 1024;

/// What an operator sets for configuration changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationSettings {
    /// Commits whose author, reason and request id are remembered; at most [`MAX_HISTORY`].
    pub history: u32,
    /// The longest transaction, in bytes of its entry; at most [`MAX_ENTRY_BYTES`].
    pub entry_bytes: u32,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self { history: 256, entry_bytes: MAX_ENTRY_BYTES }
    }
}

/// A proposal on its way from the server that accepted it to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// The change.
    pub proposal: Proposal,
    /// The newest revision known where it was first requested, the same on retries: a request is rejected if its id may have been
    /// committed since and forgotten, instead of being committed twice.
    pub seen: Revision,
    /// Unix time in ms at which it was first requested.
    #[serde(rename = "asked_at_ms")]
    pub requested_at_ms: u64,
}

/// Why a change isn't committed. Nothing was changed, unless said otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ConfigurationRejected {
    /// The author saw another revision than the one in force.
    #[error("expected revision {expected} in force, got {in_force}")]
    Moved {
        /// What the author saw.
        expected: Revision,
        /// What is in force.
        in_force: Revision,
    },
    /// The transaction is not valid.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// The transaction is too long for one entry.
    #[error("expected a transaction of at most {limit} bytes, got {got}; split it")]
    TooLong {
        /// The setting.
        limit: u32,
        /// Its length in bytes.
        #[serde(rename = "came")]
        got: usize,
    },
    /// The request is older than what is remembered, so that it may be committed already.
    #[error(
        "first asked for at revision {seen}, request ids are known since {known_since}; see the history, then ask anew"
    )]
    Forgotten {
        /// The newest revision known where it was first requested.
        seen: Revision,
        /// Request ids committed after this revision are remembered.
        known_since: Revision,
    },
    /// The leader doesn't have the content of the last revision yet.
    #[error(
        "the leader has the configuration of revision {has:?} and {committed} is committed; ask again once it has caught up"
    )]
    Behind {
        /// The revision that it has.
        has: Option<Revision>,
        /// The revision that is committed.
        committed: Revision,
    },
    /// Too many changes aren't committed yet.
    #[error("too many changes wait to be committed; ask again")]
    Busy,
    /// No voter that replied knows a leader.
    #[error("no leader is heard; nothing can be changed from here, serving goes on")]
    NoLeader,
    /// No voter replied.
    #[error("no voter is heard; nothing can be changed from here, serving goes on")]
    NoVoter,
    /// A leader proposed it and too few voters acknowledged it in time. It may still be committed.
    #[error("too few voters are heard to commit it; it may still be: ask again with the same request id")]
    Unconfirmed,
    /// The configuration service is off here.
    #[error("the configuration service is off")]
    Off,
}

impl From<gradepin_config::configuration::ProposalCheckError> for ConfigurationRejected {
    fn from(rejected: gradepin_config::configuration::ProposalCheckError) -> Self {
        use gradepin_config::configuration::ProposalCheckError;
        match rejected {
            ProposalCheckError::Stale { expected, in_force } => Self::Moved { expected, in_force },
            ProposalCheckError::Invalid(invalid) => Self::Invalid(invalid),
        }
    }
}

/// One change as an entry of the group's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationEntry {
    /// The content that the leader validated it against.
    pub base: Version,
    /// The content after it.
    pub result: Version,
    /// See [`ConfigurationRequest::seen`].
    pub seen: Revision,
    /// Commits to remember from here on: the leader's setting, so that all voters remember the same.
    pub history: u32,
    /// The commit.
    pub commit: Arc<Commit>,
}

/// A commit without its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitHistoryEntry {
    /// Its revision.
    pub revision: Revision,
    /// The id of its request.
    pub request_id: Name,
    /// Its author.
    pub author: Name,
    /// Its reason.
    pub reason: Name,
    /// Unix time in ms at which it was requested.
    #[serde(rename = "asked_at_ms")]
    pub requested_at_ms: u64,
}

impl CommitHistoryEntry {
    fn of(commit: &Commit) -> Self {
        Self {
            revision: commit.revision,
            request_id: commit.request_id.clone(),
            author: commit.author.clone(),
            reason: commit.reason.clone(),
            requested_at_ms: commit.proposed_at_ms,
        }
    }

    fn bytes(&self) -> usize {
        self.request_id.len() + self.author.len() + self.reason.len() + size_of::<u64>() * 2
    }
}

/// The order of changes, the same on all voters.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedConfiguration {
    version: Version,
    /// The newest commit that is no longer remembered; 0 if all are.
    forgotten: Revision,
    history: VecDeque<CommitHistoryEntry>,
    history_bytes: usize,
}

impl ReplicatedConfiguration {
    /// The last committed revision and the digest of its content. Before the first commit the digest is unset.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The commits that are remembered, the newest first.
    pub fn history(&self) -> impl Iterator<Item = &CommitHistoryEntry> {
        self.history.iter().rev()
    }

    /// Request ids committed after this revision are remembered.
    pub fn known_since(&self) -> Revision {
        self.forgotten
    }

    /// The revision of a request id.
    pub fn revision_of(&self, request_id: &str) -> Option<Revision> {
        self.history().find(|entry| &*entry.request_id == request_id).map(|entry| entry.revision)
    }

    /// Rejects a request so old that its id may be forgotten.
    pub fn check_seen(&self, seen: Revision) -> Result<(), ConfigurationRejected> {
        if seen < self.forgotten {
            return Err(ConfigurationRejected::Forgotten { seen, known_since: self.forgotten });
        }
        Ok(())
    }

    /// Applies an entry; the revision of its request id, which is a new one if the entry follows the last commit.
    pub fn apply(&mut self, entry: &ConfigurationEntry) -> Result<Revision, ConfigurationRejected> {
        let commit = &entry.commit;
        if let Some(revision) = self.revision_of(&commit.request_id) {
            return Ok(revision);
        }
        self.check_seen(entry.seen)?;
        // The content before the first commit is each server's start file, whose digest no entry names.
        let is_first = self.version.revision == Revision(0);
        let follows =
            entry.base.revision == self.version.revision && (is_first || entry.base == self.version);
        if !follows || commit.revision != self.version.revision.next() {
            let (expected, in_force) = (entry.base.revision, self.version.revision);
            return Err(ConfigurationRejected::Moved { expected, in_force });
        }
        self.version = Version { revision: commit.revision, digest: entry.result.digest };
        self.remember(CommitHistoryEntry::of(commit), entry.history);
        Ok(commit.revision)
    }

    fn remember(&mut self, entry: CommitHistoryEntry, limit: u32) {
        debug_assert!(entry.request_id.len() <= MAX_TEXT_BYTES);
        let limit = limit.clamp(1, MAX_HISTORY) as usize;
        self.history_bytes += entry.bytes();
        self.history.push_back(entry);
        while self.history.len() > limit || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else { return };
            self.history_bytes -= oldest.bytes();
            self.forgotten = oldest.revision;
        }
    }
}
