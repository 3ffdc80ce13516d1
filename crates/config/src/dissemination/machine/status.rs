//! The status of dissemination at one server.

use crate::change::Revision;
use crate::digest::Version;
use crate::dissemination::outbox::SentCounters;
use gradepin_admission::Time;

/// The state of one server and the progress of its requests, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The state in force.
    pub version: Version,
    /// The newest revision that a peer reported, if it is past the one in force.
    pub newest: Option<Revision>,
    /// Since when this server is behind without progress.
    pub behind_since: Option<Time>,
    /// When the consensus group last delivered a commit or a peer last reported the same version.
    pub confirmed_at: Option<Time>,
    /// A committed revision that this program could not apply.
    pub cannot_apply: Option<Revision>,
    /// Whether a snapshot is being fetched.
    pub is_fetching_snapshot: bool,
    /// Snapshots installed since the start.
    pub installed_snapshots: u64,
    /// How often a source was quarantined since the start.
    pub quarantine_count: u64,
    /// Bytes sent since the start.
    pub sent: SentCounters,
}
