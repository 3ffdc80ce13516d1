//! The replicated order of configuration changes: the revision, request id, author and reason of each commit.
//!
//! Only the order is replicated, not the content: a leader validates a transaction against the content of a revision, and its
//! log entry names that revision and the digests before and after. Applying an entry therefore costs only the size of its
//! texts, needs no content and has the same result on every voter. Invariants: revisions have no gaps, and a request id has one
//! revision for as long as it is remembered.

use crate::ids::Name;
use gradepin_config::change::{Commit, MAX_TEXT_BYTES, Proposal, Revision};
use gradepin_config::digest::Version;
use gradepin_config::validation::Invalid;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Upper bound of [`ConfigurationSettings::history`]: the history is part of the group's snapshots.
pub const MAX_HISTORY: u32 = 1_024;
/// Maximum bytes of remembered texts. With a roster of 4,096 servers a snapshot then fits into the longest message between
/// servers.
pub const MAX_HISTORY_BYTES: usize = 48 * 1024;
/// Upper bound of [`ConfigurationSettings::entry_bytes`]: two such entries fit into the bound on uncommitted bytes.
pub const MAX_ENTRY_BYTES: u32 = 32 * 1024;

/// Settings for configuration changes, from the operator's settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationSettings {
    /// Number of commits whose author, reason and request id are remembered; at most [`MAX_HISTORY`].
    pub history: u32,
    /// Maximum encoded length of a commit, in bytes; at most [`MAX_ENTRY_BYTES`].
    pub entry_bytes: u32,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self { history: 256, entry_bytes: MAX_ENTRY_BYTES }
    }
}

/// A request for a change, sent from the server that accepted it to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// The proposed change.
    pub proposal: Proposal,
    /// Newest revision known where the change was first requested; the same on retries. A request whose id may have been
    /// committed since and forgotten is rejected, rather than committed twice.
    pub seen: Revision,
    /// Unix time of the first request, in ms.
    #[serde(rename = "asked_at_ms")]
    pub requested_at_ms: u64,
}

/// Reason for not committing a change. Nothing was changed, except possibly with [`ConfigurationRejected::Unconfirmed`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ConfigurationRejected {
    /// The author expected another revision than the one in force.
    #[error("expected revision {expected} in force, got {in_force}")]
    Moved {
        /// Revision that the author expected.
        expected: Revision,
        /// Revision in force.
        in_force: Revision,
    },
    /// The transaction is invalid.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// The commit is too long for one log entry.
    #[error("expected a transaction of at most {limit} bytes, got {got}; split it")]
    TooLong {
        /// Maximum length in bytes, from the settings.
        limit: u32,
        /// Encoded length of the commit, in bytes.
        #[serde(rename = "came")]
        got: usize,
    },
    /// The request is older than the remembered history, so it may have been committed already.
    #[error(
        "first requested at revision {seen}, but request ids are remembered only since {known_since}; check the history, then submit a new request"
    )]
    Forgotten {
        /// Newest revision known where the change was first requested.
        seen: Revision,
        /// Request ids committed after this revision are remembered.
        known_since: Revision,
    },
    /// The leader doesn't have the content of the last committed revision yet.
    #[error(
        "the leader has the configuration of revision {has:?}, but {committed} is committed; retry once it has caught up"
    )]
    Behind {
        /// Revision that the leader has, if any.
        has: Option<Revision>,
        /// Last committed revision.
        committed: Revision,
    },
    /// Too many changes are in flight.
    #[error("too many uncommitted changes; retry later")]
    Busy,
    /// Voters replied, but none knows a leader.
    #[error("no leader is known; no change can be committed from here, serving continues")]
    NoLeader,
    /// No voter replied.
    #[error("no voter replied; no change can be committed from here, serving continues")]
    NoVoter,
    /// A leader proposed the change, but too few voters acknowledged it in time. It may still be committed.
    #[error(
        "too few voters acknowledged the change in time; it may still be committed: retry with the same request id"
    )]
    Unconfirmed,
    /// The configuration service is off at the voter or server that was asked.
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

/// A change as an entry of the group's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationEntry {
    /// Revision and digest of the content that the leader validated the change against.
    pub base: Version,
    /// Revision and digest of the content after the change.
    pub result: Version,
    /// Newest revision known where the change was first requested, as in [`ConfigurationRequest::seen`].
    pub seen: Revision,
    /// Number of commits to remember from here on. In the entry, so that all voters use the leader's setting.
    pub history: u32,
    /// The committed change.
    pub commit: Arc<Commit>,
}

/// A remembered commit, without its transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitHistoryEntry {
    /// Revision that the commit created.
    pub revision: Revision,
    /// Id of the request; a retry with the same id gets the same revision.
    pub request_id: Name,
    /// Author of the change, as the request names them.
    pub author: Name,
    /// Reason for the change, as the request gives it.
    pub reason: Name,
    /// Unix time of the request, in ms.
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

/// The replicated order of changes, the same on all voters.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedConfiguration {
    version: Version,
    /// Newest revision that is no longer remembered; 0 if all are remembered.
    forgotten: Revision,
    history: VecDeque<CommitHistoryEntry>,
    history_bytes: usize,
}

impl ReplicatedConfiguration {
    /// Returns the last committed revision and the digest of its content; before the first commit the digest is unset.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the remembered commits, newest first.
    pub fn history(&self) -> impl Iterator<Item = &CommitHistoryEntry> {
        self.history.iter().rev()
    }

    /// Revision after which all committed request ids are remembered.
    pub fn known_since(&self) -> Revision {
        self.forgotten
    }

    /// Returns the revision that a request id was committed as, if it is remembered.
    pub fn revision_of(&self, request_id: &str) -> Option<Revision> {
        self.history().find(|entry| &*entry.request_id == request_id).map(|entry| entry.revision)
    }

    /// Rejects a request that is so old that its id may have been committed and forgotten.
    pub fn check_seen(&self, seen: Revision) -> Result<(), ConfigurationRejected> {
        if seen < self.forgotten {
            return Err(ConfigurationRejected::Forgotten { seen, known_since: self.forgotten });
        }
        Ok(())
    }

    /// Applies an entry and returns the revision of its request id: a new revision, or the earlier one if the id is remembered.
    pub fn apply(&mut self, entry: &ConfigurationEntry) -> Result<Revision, ConfigurationRejected> {
        let commit = &entry.commit;
        if let Some(revision) = self.revision_of(&commit.request_id) {
            return Ok(revision);
        }
        self.check_seen(entry.seen)?;
        // Before the first commit the content is each server's start file; its digest isn't replicated, so it can't be
        // compared.
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
