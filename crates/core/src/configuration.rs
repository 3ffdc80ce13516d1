//! What the reducer and its shell tell each other of the configuration service: what a server starts with, what is to be
//! written, and how it stands.

use gradepin_admission::Span;
use gradepin_config::admin::{AdminError, ApplyReply, ApplyRequest, Source, StatusReply};
use gradepin_config::dissemination::{DisseminationSettings, Member};
use gradepin_config::{Commit, Configuration, Name, Revision, Snapshot};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The first byte of a message of the configuration service between servers. A consensus message begins with the index of
/// its variant, which is far below; so each program, also one that doesn't know this service, tells the two apart.
pub const CONFIGURATION_TAG: u8 = 0xC0;

/// What a server starts with.
#[derive(Debug, Clone)]
pub struct ConfigurationStart {
    /// The state in force: the classes, tenants and rules that the reducer was made with.
    pub state: Configuration,
    /// Where it came from.
    pub source: Source,
    /// How changes spread.
    pub dissemination: DisseminationSettings,
    /// This server.
    pub own: Member,
    /// The voters that the settings name.
    pub voters: Vec<Name>,
    /// The region of each zone that is in one.
    pub regions: BTreeMap<String, String>,
    /// The age past which the state is told as stale.
    pub stale_after: Span,
    /// For all that is drawn.
    pub seed: u64,
}

/// A state that is to be made durable, where there is a folder for it.
#[derive(Debug, Clone)]
pub struct ConfigurationSave {
    /// The state.
    pub state: Snapshot,
    /// The commit that led to it from the state before; none if it came otherwise.
    pub commit: Option<Arc<Commit>>,
}

/// What became of writing it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationSaveResult {
    /// The state of this revision is durable.
    Durable(Revision),
    /// It couldn't be written; it is tried again.
    Failed {
        /// Error of the disk.
        reason: String,
    },
}

/// What an operator asks of the configuration service.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationAdminRequest {
    /// A change, or the check of one.
    Apply(Box<ApplyRequest>),
    /// What became of the request of this id.
    RequestStatus(Name),
    /// How the configuration stands here.
    Status,
}

/// What that is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationAdminResponse {
    /// To a change, or to a question about one.
    Apply(ApplyReply),
    /// How it stands.
    Status(Box<StatusReply>),
    /// Nothing was changed.
    Rejected(AdminError),
}

/// The figures of a scrape.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConfigurationMetrics {
    /// The revision in force.
    pub revision: u64,
    /// Seconds since the state was last confirmed as the newest one.
    pub age_s: f64,
}
