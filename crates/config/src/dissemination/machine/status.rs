//! The dissemination status of one server.

use crate::change::Revision;
use crate::digest::Version;
use crate::dissemination::outbox::SentCounters;
use gradepin_admission::Time;

/// Version, progress and counters of one server, for operators. All counters are since the start of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Revision and digest of the state in force.
    pub version: Version,
    /// The newest revision that a peer reported; `None` if none is newer than the one in force.
    pub newest: Option<Revision>,
    /// Since when this server has been behind without progress; `None` if it is not behind.
    pub behind_since: Option<Time>,
    /// When the consensus group last delivered a commit or a peer last reported the same version.
    pub confirmed_at: Option<Time>,
    /// A committed revision that this version of the program could not apply, if any.
    pub cannot_apply: Option<Revision>,
    /// Whether the transfer of a snapshot is in progress.
    pub is_fetching_snapshot: bool,
    /// Number of snapshots installed.
    pub installed_snapshots: u64,
    /// Number of times that any peer was quarantined.
    pub quarantine_count: u64,
    /// Bytes sent by kind of message, and messages dropped.
    pub sent: SentCounters,
}
