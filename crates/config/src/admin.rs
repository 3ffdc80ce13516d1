//! Requests and responses of the admin endpoints of the configuration, as JSON: one set of types for server and command line.
//!
//! Names of fields and variants are part of the interface; one that is renamed here keeps its name in JSON. The calls, statuses
//! and bounds are in `docs/design/configuration-admin.md`.

use crate::change::{Change, ClassDefinition, Name, Proposal, Revision, Rule};
use crate::validation::Invalid;
use gradepin_admission::Tenant;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

pub mod query;

/// Entries in one page of [`ShowReply`], so that a page fits into one response of the endpoint.
pub const MAX_PAGE: u32 = 500;
/// Commits in one page of [`HistoryReply`].
pub const MAX_HISTORY_PAGE: u32 = 200;
/// Servers listed in [`StatusReply::lagging`]; [`StatusReply::lagging_servers`] counts all of them.
pub const MAX_LAGGING_NAMED: usize = 100;
/// Revisions listed in [`StatusReply::revisions`], the newest first.
pub const MAX_STATUS_REVISIONS: usize = 20;

/// The body of `POST /config/apply`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The proposal to commit.
    pub proposal: Proposal,
    /// Whether the proposal is only validated, against the state in force at the receiving server.
    #[serde(default)]
    pub dry_run: bool,
}

/// The body of `POST /config/rollback`, which commits a new revision with the content of an earlier one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollbackRequest {
    /// The revision whose content is restored.
    pub to: Revision,
    /// Chosen by the caller. Calls are idempotent: the same id gives the same revision.
    pub request_id: Name,
    /// The person or program that requested the change.
    pub author: Name,
    /// The reason for the change, for the history.
    pub reason: Name,
    /// The revision that the author expects in force; the rollback is rejected if another one is.
    pub expected: Option<Revision>,
    /// Whether the changes are only computed and validated.
    #[serde(default)]
    pub dry_run: bool,
}

/// The response to an apply or rollback that was not rejected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ApplyReply {
    /// Not decided yet: `GET /config/apply?request-id=ID` returns the outcome.
    Pending {
        /// The request id of the proposal.
        request_id: Name,
    },
    /// Committed: a majority of the voters has it.
    Committed {
        /// The position in the committed log.
        revision: Revision,
        /// Whether an earlier call with this request id was committed.
        repeated: bool,
    },
    /// The dry run found the proposal valid.
    Valid {
        /// The revision in force at the receiving server.
        against: Revision,
        /// Entries of the configuration that would change.
        changes: u32,
    },
}

/// Why a call was rejected. Nothing was changed then.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "refused", rename_all = "snake_case")]
pub enum AdminError {
    /// Another change was committed in the meantime.
    #[error("expected revision {expected} to be in force, revision {in_force} is")]
    Stale {
        /// The revision that the author expected.
        expected: Revision,
        /// The revision in force.
        in_force: Revision,
    },
    /// The transaction is not valid.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// The request id was used for another change.
    #[error("request id {request_id} was used for another change, committed as revision {revision}")]
    RequestIdReused {
        /// The request id.
        request_id: Name,
        /// The revision of that change.
        revision: Revision,
    },
    /// No leader is known, or it did not respond in time. A retry with the same request id is safe.
    #[error("no leader: {reason}")]
    NoLeader {
        /// Details.
        reason: String,
    },
    /// Too many proposals are in progress. A retry with the same request id is safe.
    #[error("too busy, ask again in {retry_ms} ms")]
    TooBusy {
        /// When to retry, in milliseconds.
        retry_ms: u64,
    },
    /// The revision is no longer retained, or was never committed.
    #[error("revision {revision} is not kept: the oldest is {oldest}, the newest {newest}")]
    UnknownRevision {
        /// The requested revision.
        revision: Revision,
        /// The oldest revision retained.
        oldest: Revision,
        /// The newest revision.
        newest: Revision,
    },
    /// More servers than the settings allow can't apply a committed change; an operator must acknowledge it.
    #[error(
        "{servers} servers can't apply revision {revision}, {max_servers} may be: changes wait for an operator"
    )]
    #[serde(rename = "servers_fail")]
    TooManyFailedServers {
        /// Servers that can't apply it.
        servers: u32,
        /// Servers that the settings allow.
        #[serde(rename = "most")]
        max_servers: u32,
        /// The revision of the change.
        revision: Revision,
    },
    /// There is no entry of this name.
    #[error("there is no {kind} '{name}' in revision {revision}")]
    UnknownEntry {
        /// `class` or `tenant`.
        kind: String,
        /// The requested name.
        name: Name,
        /// The revision in force at this server.
        revision: Revision,
    },
    /// This server knows no request of this id; another one may.
    #[error("no request {request_id} is known here")]
    UnknownRequest {
        /// The request id.
        request_id: Name,
    },
    /// The call is malformed.
    #[error("{reason}")]
    BadCall {
        /// The reason for the change, for the history.
        reason: String,
    },
    /// The settings of this server have no `config` block.
    #[error("the configuration service is off at this server")]
    Off,
}

impl AdminError {
    /// The HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadCall { .. } => 400,
            Self::UnknownEntry { .. } | Self::UnknownRequest { .. } | Self::Off => 404,
            Self::Stale { .. } | Self::RequestIdReused { .. } | Self::TooManyFailedServers { .. } => 409,
            Self::UnknownRevision { .. } => 410,
            Self::Invalid(_) => 422,
            Self::TooBusy { .. } => 429,
            Self::NoLeader { .. } => 503,
        }
    }

    /// Whether a retry of the same call with the same request id, later or at another server, may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::NoLeader { .. } | Self::TooBusy { .. } | Self::UnknownRequest { .. })
    }
}

/// The response to `GET /config/status`: the revision of this server, and of the fleet as far as this server knows it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StatusReply {
    /// The name of this server.
    pub server: Option<Name>,
    /// The revision in force at this server.
    pub revision: Revision,
    /// The digest of the state, in hexadecimal.
    pub digest: String,
    /// The newest revision that this server knows of.
    pub newest: Revision,
    /// The leader of the consensus group, if known.
    pub leader: Option<Name>,
    /// Seconds since a peer or voter last confirmed that the revision of this server is the newest.
    pub age_s: Option<f64>,
    /// Whether `age_s` is above the bound in the settings. The server continues to serve then.
    pub stale: bool,
    /// The source of the configuration in force.
    pub source: Source,
    /// Why this server can't apply the next committed change, if so.
    pub cannot_apply: Option<String>,
    /// The latest revisions, the newest first.
    pub revisions: Vec<RevisionSpread>,
    /// LaggingServer servers, the longest lagging first; up to [`MAX_LAGGING_NAMED`].
    pub lagging: Vec<LaggingServer>,
    /// How many servers lag.
    pub lagging_servers: u32,
}

/// The source of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The start file.
    #[default]
    StartFile,
    /// The last good snapshot on the disk of this server.
    Snapshot,
    /// Committed changes, or a snapshot, from peers or voters.
    Fleet,
}

/// How many servers and zones have a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionSpread {
    /// The revision.
    pub revision: Revision,
    /// Unix time in ms at which it was proposed.
    pub proposed_at_ms: u64,
    /// Servers at this revision or a later one.
    pub servers: u32,
    /// Servers of the fleet.
    #[serde(rename = "of_servers")]
    pub total_servers: u32,
    /// Zones whose reachable servers are all at this revision or a later one.
    pub zones: u32,
    /// Zones of the fleet.
    #[serde(rename = "of_zones")]
    pub total_zones: u32,
    /// Median time from the proposal until a server had the revision in force, over the servers that have it, in milliseconds.
    pub p50_ms: Option<u64>,
    /// The 99th percentile of the same, in milliseconds.
    pub p99_ms: Option<u64>,
}

/// A server that is not at the newest revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LaggingServer {
    /// The name of the server.
    pub server: Name,
    /// Its zone.
    pub zone: Name,
    /// The last revision that the server reported, if it ever did.
    pub revision: Option<Revision>,
    /// Seconds since the first revision that the server lacks was committed.
    pub since_s: f64,
    /// Whether the server is reachable now.
    pub reachable: bool,
    /// The reason that the server reported for not applying the next revision.
    pub cannot_apply: Option<String>,
}

/// The response to `GET /config/history`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct HistoryReply {
    /// The newest revision.
    pub newest: Revision,
    /// The oldest revision whose commit is retained.
    pub oldest: Revision,
    /// The commits of this page, the newest first.
    pub commits: Vec<CommitSummary>,
}

/// One commit in the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommitSummary {
    /// The position in the committed log.
    pub revision: Revision,
    /// The person or program that requested the change.
    pub author: Name,
    /// The reason for the change, for the history.
    pub reason: Name,
    /// The request id of the proposal.
    pub request_id: Name,
    /// Unix time in ms at which it was proposed.
    pub proposed_at_ms: u64,
    /// Number of changes.
    pub changes: u32,
}

/// The response to `GET /config/diff?from=A&to=B`: the changes that turn the content of `from` into that of `to`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DiffReply {
    /// The first revision.
    pub from: Revision,
    /// The second revision.
    pub to: Revision,
    /// The changes, up to [`crate::change::MAX_CHANGES`].
    pub changes: Vec<Change>,
    /// Number of changes past the bound, which are omitted.
    #[serde(rename = "left_out")]
    pub omitted_changes: u32,
}

/// The response to `GET /config/show`: the state in force at the receiving server.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ShowReply {
    /// The revision in force at this server.
    pub revision: Revision,
    /// The digest of the state, in hexadecimal.
    pub digest: String,
    /// Number of classes in force.
    pub classes: u32,
    /// Number of tenants in force.
    pub tenants: u32,
    /// All rules.
    pub rules: Vec<Rule>,
    /// The entries of this page, sorted by name.
    pub entries: Vec<ShownEntry>,
    /// The last name of this page, if there is another page; the next page begins after it.
    pub next: Option<Name>,
}

/// A class or a tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShownEntry {
    /// A class.
    Class(Arc<ClassDefinition>),
    /// A tenant.
    Tenant(Arc<Tenant>),
}
