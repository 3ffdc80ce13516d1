//! The replicated order of configuration changes: which revision each commit has, under which request id, by whom and why.
//!
//! Replicated is the order and not the content: a leader validates a transaction against the content of the revision it goes
//! by, and its entry names that revision and the digest before and after. So applying an entry costs the size of its texts,
//! needs no content and comes out the same on every voter. Invariant: revisions are given without gaps, and one request id
//! gets one revision for as long as it is known here.

use crate::replicated_state::{Command, Name};
use gradepin_config::change::{Commit, MAX_TEXT_BYTES, Proposal, Revision};
use gradepin_config::digest::Version;
use gradepin_config::validation::Invalid;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Commits remembered at the most, whatever the setting: they travel in the group's snapshot with the roster.
pub const MAX_HISTORY: u32 = 1_024;
/// Bytes of texts remembered at the most. With a roster of 4,096 a snapshot stays under the longest message between servers.
pub const MAX_HISTORY_BYTES: usize = 48 * 1024;
/// The longest entry that a setting may allow; one entry and the next fit into what may wait to be committed.
pub const MAX_ENTRY_BYTES: u32 = 32 * 1024;

/// What an operator sets of the order of changes.
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

/// A proposal as it goes from the server that took it to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// What is asked for.
    pub proposal: Proposal,
    /// The newest revision known where it was first asked for, kept when it is asked again: a request id that was committed
    /// later than this and is no longer remembered refuses the request, instead of committing it twice.
    pub seen: Revision,
    /// Unix time in ms at which it was first asked for.
    pub asked_at_ms: u64,
}

/// Why a change is not committed. Nothing was changed, unless said otherwise.
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
    #[error("expected a transaction of at most {limit} bytes, got {came}; split it")]
    TooLong {
        /// The setting.
        limit: u32,
        /// Its length.
        came: usize,
    },
    /// The request is older than what is remembered, so whether it was committed already can't be told.
    #[error(
        "first asked for at revision {seen}, request ids are known since {known_since}; see the history, then ask anew"
    )]
    Forgotten {
        /// The newest revision known where it was first asked for.
        seen: Revision,
        /// Request ids committed after this revision are remembered.
        known_since: Revision,
    },
    /// The leader hasn't got the content of the last revision yet.
    #[error(
        "the leader has the configuration of revision {has:?} and {committed} is committed; ask again once it has caught up"
    )]
    Behind {
        /// What it has.
        has: Option<Revision>,
        /// What is committed.
        committed: Revision,
    },
    /// Too much waits to be committed.
    #[error("too many changes wait to be committed; ask again")]
    Busy,
    /// No voter that was reached knows a leader.
    #[error("no leader is heard; nothing can be changed from here, serving goes on")]
    NoLeader,
    /// No voter answered.
    #[error("no voter is heard; nothing can be changed from here, serving goes on")]
    NoVoter,
    /// A leader took it and too few voters confirmed it in time. It may still be committed.
    #[error("too few voters are heard to commit it; it may still be: ask again with the same request id")]
    Unconfirmed,
    /// The configuration service is off here.
    #[error("the configuration service is off")]
    Off,
}

impl From<gradepin_config::configuration::CommitRejected> for ConfigurationRejected {
    fn from(refused: gradepin_config::configuration::CommitRejected) -> Self {
        use gradepin_config::configuration::CommitRejected;
        match refused {
            CommitRejected::Moved { expected, in_force } => Self::Moved { expected, in_force },
            CommitRejected::Invalid(invalid) => Self::Invalid(invalid),
        }
    }
}

/// One change as an entry of the group's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationEntry {
    /// The state that the leader validated it against.
    pub base: Version,
    /// The state after it.
    pub result: Version,
    /// See [`ConfigurationRequest::seen`].
    pub seen: Revision,
    /// Commits to remember from here on: the leader's setting, so that all voters remember the same.
    pub history: u32,
    /// What is committed.
    pub commit: Arc<Commit>,
}

impl ConfigurationEntry {
    /// The command of the group's log.
    pub fn command(self) -> Command {
        Command::Configuration(Box::new(self))
    }
}

/// A commit without its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitHistoryEntry {
    /// Its revision.
    pub revision: Revision,
    /// The id under which it was asked for.
    pub request_id: Name,
    /// Who.
    pub author: Name,
    /// Why.
    pub reason: Name,
    /// Unix time in ms at which it was asked for.
    pub asked_at_ms: u64,
}

impl CommitHistoryEntry {
    fn of(commit: &Commit) -> Self {
        Self {
            revision: commit.revision,
            request_id: commit.request_id.clone(),
            author: commit.author.clone(),
            reason: commit.reason.clone(),
            asked_at_ms: commit.proposed_at_ms,
        }
    }

    fn bytes(&self) -> usize {
        self.request_id.len() + self.author.len() + self.reason.len() + size_of::<u64>() * 2
    }
}

/// The order as all voters know it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedConfiguration {
    version: Version,
    /// The newest commit that is no longer remembered; 0 if all are.
    forgotten: Revision,
    history: VecDeque<CommitHistoryEntry>,
    history_bytes: usize,
}

impl ReplicatedConfiguration {
    /// The last committed revision and the digest of its content. Before the first commit the digest says nothing.
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

    /// The revision that a request id was given.
    pub fn revision_of(&self, request_id: &str) -> Option<Revision> {
        self.history().find(|record| &*record.request_id == request_id).map(|record| record.revision)
    }

    /// Refuses a request so old that its id may be forgotten.
    pub fn knows_since(&self, seen: Revision) -> Result<(), ConfigurationRejected> {
        if seen < self.forgotten {
            return Err(ConfigurationRejected::Forgotten { seen, known_since: self.forgotten });
        }
        Ok(())
    }

    /// Applies an entry: the revision of its request id, which is a new one if the entry follows what was committed.
    pub fn apply(&mut self, entry: &ConfigurationEntry) -> Result<Revision, ConfigurationRejected> {
        let commit = &entry.commit;
        if let Some(revision) = self.revision_of(&commit.request_id) {
            return Ok(revision);
        }
        self.knows_since(entry.seen)?;
        // The content that the very first commit goes by is each server's start file, which no entry names.
        let first = self.version.revision == Revision(0);
        let follows = entry.base.revision == self.version.revision && (first || entry.base == self.version);
        if !follows || commit.revision != self.version.revision.next() {
            let (expected, in_force) = (entry.base.revision, self.version.revision);
            return Err(ConfigurationRejected::Moved { expected, in_force });
        }
        self.version = Version { revision: commit.revision, digest: entry.result.digest };
        self.remember(CommitHistoryEntry::of(commit), entry.history);
        Ok(commit.revision)
    }

    fn remember(&mut self, record: CommitHistoryEntry, limit: u32) {
        debug_assert!(record.request_id.len() <= MAX_TEXT_BYTES);
        let limit = limit.clamp(1, MAX_HISTORY) as usize;
        self.history_bytes += record.bytes();
        self.history.push_back(record);
        while self.history.len() > limit || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else { return };
            self.history_bytes -= oldest.bytes();
            self.forgotten = oldest.revision;
        }
    }
}
