//! What crosses the reducer's border for the configuration service: what a server starts with, what is to be made durable,
//! operators' requests, and the metrics.

use gradepin_admission::Span;
use gradepin_config::admin::{AdminError, ApplyReply, ApplyRequest, Source, StatusReply};
use gradepin_config::dissemination::{DisseminationSettings, Member};
use gradepin_config::{Commit, Configuration, Name, Revision, Snapshot};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The first byte of a message of the configuration service between servers. A consensus message begins with the index of its
/// variant, which is far below; so every program can distinguish the two, also one without this service.
pub const CONFIGURATION_TAG: u8 = 0xC0;

/// What a server starts with.
#[derive(Debug, Clone)]
pub struct ConfigurationStart {
    /// The state in force: the classes, tenants and rules that the reducer was made with.
    pub state: Configuration,
    /// Where the state came from.
    pub source: Source,
    /// How changes spread.
    pub dissemination: DisseminationSettings,
    /// This server.
    pub own: Member,
    /// The voters that the settings name.
    pub voters: Vec<Name>,
    /// The region of each zone that is in one.
    pub regions: BTreeMap<String, String>,
    /// The age past which the state is reported as stale.
    pub stale_after: Span,
    /// Seed of all random choices.
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

/// The outcome of a [`ConfigurationSave`].
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

/// An operator's request about the committed configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationAdminRequest {
    /// Propose a change, or validate one.
    Apply(Box<ApplyRequest>),
    /// Status of the proposal with this request id.
    RequestStatus(Name),
    /// Status of the configuration on this server.
    Status,
}

/// The response to a [`ConfigurationAdminRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationAdminResponse {
    /// To a proposal, or to a question about one.
    Apply(ApplyReply),
    /// Status of the configuration on this server.
    Status(Box<StatusReply>),
    /// Nothing was changed.
    Rejected(AdminError),
}

/// The metrics of the committed configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConfigurationMetrics {
    /// The revision in force.
    pub revision: u64,
    /// Seconds since the state was last confirmed as the newest one.
    pub age_s: f64,
}
