//! The reducer's interface for the configuration service: initial state, states to be made durable, operators'
//! requests, and metrics.

use gradepin_admission::Span;
use gradepin_config::admin::{AdminError, ApplyReply, ApplyRequest, Source, StatusReply};
use gradepin_config::dissemination::{DisseminationSettings, Member};
use gradepin_config::{Commit, Configuration, Name, Revision, Snapshot};
use std::collections::BTreeMap;
use std::sync::Arc;

/// First byte of the configuration service's messages between servers. A consensus message starts with its variant
/// index, which is much lower, so every program can distinguish the two, even one without this service.
pub const CONFIGURATION_TAG: u8 = 0xC0;

/// Initial state and settings of the configuration service.
#[derive(Debug, Clone)]
pub struct ConfigurationStart {
    /// The state in force, whose classes, tenants and rules the reducer was created with.
    pub state: Configuration,
    /// Where the initial state came from.
    pub source: Source,
    /// Settings of dissemination.
    pub dissemination: DisseminationSettings,
    /// Name, zone, region and voter role of this server.
    pub own: Member,
    /// Voters named in the settings, used until the consensus group's own record is known.
    pub voters: Vec<Name>,
    /// Region of each zone that belongs to one.
    pub regions: BTreeMap<String, String>,
    /// Age from which on the state is reported as stale.
    pub stale_after: Span,
    /// Seed of dissemination's random choices.
    pub seed: u64,
}

/// A state to be made durable, if there is a folder for it.
#[derive(Debug, Clone)]
pub struct ConfigurationSave {
    /// The complete state.
    pub state: Snapshot,
    /// The commit that leads to this state from the previous one; `None` if it was installed as a complete state.
    pub commit: Option<Arc<Commit>>,
}

/// The outcome of a [`ConfigurationSave`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationSaveResult {
    /// The state of this revision is durable.
    Durable(Revision),
    /// The state could not be written; the shell retries.
    Failed {
        /// Error message of the disk.
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
    /// The response to a proposal, or to a query about one.
    Apply(ApplyReply),
    /// Status of the configuration on this server.
    Status(Box<StatusReply>),
    /// The request was rejected and changed nothing.
    Rejected(AdminError),
}

/// Metrics of the committed configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConfigurationMetrics {
    /// The revision in force.
    pub revision: u64,
    /// Seconds since the state was last confirmed to be the newest.
    pub age_s: f64,
}
