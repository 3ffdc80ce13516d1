//! JSON requests and responses of the configuration admin endpoints, shared by the server and the command line.
//!
//! Names of fields and variants are part of the interface; a field or variant that is renamed here keeps its JSON name through a
//! serde attribute. The calls, statuses and limits are documented in `docs/design/configuration-admin.md`.

use crate::change::{Change, ClassDefinition, Name, Proposal, Revision, Rule};
use crate::validation::Invalid;
use gradepin_admission::Tenant;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

pub mod query;

/// Maximum number of entries in one page of [`ShowReply`], so that a page fits into one response of the endpoint.
pub const MAX_PAGE: u32 = 500;
/// Maximum number of commits in one page of [`HistoryReply`].
pub const MAX_HISTORY_PAGE: u32 = 200;
/// Maximum number of servers in [`StatusReply::lagging`]; [`StatusReply::lagging_servers`] counts all of them.
pub const MAX_LAGGING_NAMED: usize = 100;
/// Maximum number of revisions in [`StatusReply::revisions`].
pub const MAX_STATUS_REVISIONS: usize = 20;

/// The body of `POST /config/apply`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The changes to commit, with author, reason and request id.
    pub proposal: Proposal,
    /// Only validates the proposal, against the state in force at the receiving server, and does not commit it.
    #[serde(default)]
    pub dry_run: bool,
}

/// The body of `POST /config/rollback`, which commits a new revision with the content of an earlier one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollbackRequest {
    /// The revision whose content is restored.
    pub to: Revision,
    /// Chosen by the caller. Calls are idempotent: a repeated call with the same id yields the same revision.
    pub request_id: Name,
    /// The person or program that requested the change.
    pub author: Name,
    /// Why the change is made, as shown in the history.
    pub reason: Name,
    /// The revision that the author expects to be in force. If another one is, the rollback is rejected; `None` skips this check.
    pub expected: Option<Revision>,
    /// Only computes and validates the changes, and does not commit them.
    #[serde(default)]
    pub dry_run: bool,
}

/// The response to an apply or rollback call that was not rejected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ApplyReply {
    /// Not decided yet. `GET /config/apply?request-id=ID` returns the outcome later.
    Pending {
        /// The request id of the proposal, with which to query the outcome.
        request_id: Name,
    },
    /// Committed by a majority of the voters.
    Committed {
        /// The revision assigned to the commit.
        revision: Revision,
        /// Whether an earlier call with the same request id had already been committed, so that this call changed nothing.
        repeated: bool,
    },
    /// The dry run found the proposal valid.
    Valid {
        /// The revision in force at the receiving server, which the proposal was validated against.
        against: Revision,
        /// Number of changes that would be committed.
        changes: u32,
    },
}

/// Why a call was rejected. A rejected call changes nothing.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "refused", rename_all = "snake_case")]
pub enum AdminError {
    /// The revision in force is not the expected one: another change was committed in the meantime.
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
    /// The request id was already used for a different change.
    #[error("request id {request_id} was used for another change, committed as revision {revision}")]
    RequestIdReused {
        /// The reused request id.
        request_id: Name,
        /// The revision of the change that was committed with this id.
        revision: Revision,
    },
    /// No leader is known, or the leader did not respond in time. Retrying with the same request id is safe.
    #[error("no leader: {reason}")]
    NoLeader {
        /// What is known about the failure.
        reason: String,
    },
    /// Too many proposals are in progress. Retrying with the same request id is safe.
    #[error("too busy, ask again in {retry_ms} ms")]
    TooBusy {
        /// Recommended delay before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// The revision is no longer retained, or was never committed.
    #[error("revision {revision} is not retained: the oldest is {oldest}, the newest is {newest}")]
    UnknownRevision {
        /// The requested revision.
        revision: Revision,
        /// The oldest revision retained.
        oldest: Revision,
        /// The newest committed revision.
        newest: Revision,
    },
    /// More servers than the settings allow can't apply a committed change. Further changes are rejected until an operator
    /// acknowledges this.
    #[error(
        "{servers} servers can't apply revision {revision}, at most {max_servers} are allowed: \
         changes are rejected until an operator acknowledges this"
    )]
    #[serde(rename = "servers_fail")]
    TooManyFailedServers {
        /// Number of servers that can't apply the change.
        servers: u32,
        /// Maximum number of such servers allowed by the settings.
        #[serde(rename = "most")]
        max_servers: u32,
        /// The revision that can't be applied.
        revision: Revision,
    },
    /// No entry of this kind and name is in force at the receiving server.
    #[error("there is no {kind} '{name}' in revision {revision}")]
    UnknownEntry {
        /// The requested kind: `class` or `tenant`.
        kind: String,
        /// The requested name.
        name: Name,
        /// The revision in force at the receiving server.
        revision: Revision,
    },
    /// This server has no record of a request with this id; another server may have one.
    #[error("this server has no record of request {request_id}")]
    UnknownRequest {
        /// The request id that was queried.
        request_id: Name,
    },
    /// The call is malformed.
    #[error("{reason}")]
    BadCall {
        /// What is malformed.
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

    /// Whether the same call with the same request id may succeed later or at another server.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::NoLeader { .. } | Self::TooBusy { .. } | Self::UnknownRequest { .. })
    }
}

/// The response to `GET /config/status`: the revision of the responding server, and of the fleet as far as that server knows.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StatusReply {
    /// The name of the responding server, if it has one.
    pub server: Option<Name>,
    /// The revision in force at the responding server.
    pub revision: Revision,
    /// The digest of the state, in hexadecimal.
    pub digest: String,
    /// The newest revision that the responding server knows of.
    pub newest: Revision,
    /// The name of the leader of the consensus group, if known.
    pub leader: Option<Name>,
    /// Seconds since a peer or voter last confirmed that the responding server has the newest revision.
    pub age_s: Option<f64>,
    /// Whether `age_s` exceeds the limit in the settings. A stale server continues to serve requests.
    pub stale: bool,
    /// Where the configuration in force came from.
    pub source: Source,
    /// Why the responding server can't apply the next committed change, if it can't.
    pub cannot_apply: Option<String>,
    /// The latest revisions, newest first; at most [`MAX_STATUS_REVISIONS`].
    pub revisions: Vec<RevisionSpread>,
    /// The servers that are not at the newest revision, longest lagging first; at most [`MAX_LAGGING_NAMED`].
    pub lagging: Vec<LaggingServer>,
    /// Total number of lagging servers.
    pub lagging_servers: u32,
}

/// Where a configuration came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The configuration file that the server read at startup.
    #[default]
    StartFile,
    /// The last good snapshot on the disk of the server.
    Snapshot,
    /// Commits or a snapshot received from peers or from the consensus group.
    Fleet,
}

/// How far a revision has been distributed in the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionSpread {
    /// The revision that the counts refer to.
    pub revision: Revision,
    /// When the leader proposed the commit, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
    /// Number of servers at this revision or a later one.
    pub servers: u32,
    /// Number of servers of the fleet.
    #[serde(rename = "of_servers")]
    pub total_servers: u32,
    /// Number of zones whose reachable servers are all at this revision or a later one.
    pub zones: u32,
    /// Number of zones of the fleet.
    #[serde(rename = "of_zones")]
    pub total_zones: u32,
    /// Median time from the proposal until the revision was in force at a server, in milliseconds. Covers the servers that have it.
    pub p50_ms: Option<u64>,
    /// 99th percentile of the same time, in milliseconds.
    pub p99_ms: Option<u64>,
}

/// A server that is not at the newest revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LaggingServer {
    /// The name of the lagging server.
    pub server: Name,
    /// The zone of the lagging server.
    pub zone: Name,
    /// The last revision that the server reported; `None` if it never reported one.
    pub revision: Option<Revision>,
    /// Seconds since the commit of the oldest revision that the server lacks.
    pub since_s: f64,
    /// Whether the server is currently reachable.
    pub reachable: bool,
    /// Why the server can't apply the next revision, if it reported that it can't.
    pub cannot_apply: Option<String>,
}

/// The response to `GET /config/history`: one page of the retained commits.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct HistoryReply {
    /// The newest committed revision.
    pub newest: Revision,
    /// The oldest revision whose commit is retained.
    pub oldest: Revision,
    /// The commits of this page, newest first.
    pub commits: Vec<CommitSummary>,
}

/// One commit in the history, without its changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommitSummary {
    /// The revision of the commit.
    pub revision: Revision,
    /// The person or program that requested the change.
    pub author: Name,
    /// Why the change was made.
    pub reason: Name,
    /// The request id of the proposal.
    pub request_id: Name,
    /// When the leader proposed the commit, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
    /// Number of changes in the transaction.
    pub changes: u32,
}

/// The response to `GET /config/diff?from=A&to=B`: the changes that turn the state at `from` into the state at `to`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DiffReply {
    /// The revision that the changes start from.
    pub from: Revision,
    /// The revision that the changes lead to.
    pub to: Revision,
    /// The changes, at most [`crate::change::MAX_CHANGES`].
    pub changes: Vec<Change>,
    /// Number of further changes that were omitted because of this limit.
    #[serde(rename = "left_out")]
    pub omitted_changes: u32,
}

/// The response to `GET /config/show`: the state in force at the responding server.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ShowReply {
    /// The revision in force at the responding server.
    pub revision: Revision,
    /// The digest of the state, in hexadecimal.
    pub digest: String,
    /// Number of classes in force.
    pub classes: u32,
    /// Number of tenants in force.
    pub tenants: u32,
    /// The rules that are set.
    pub rules: Vec<Rule>,
    /// The entries of this page, sorted by name.
    pub entries: Vec<ShownEntry>,
    /// The last name of this page if there is another page, which starts after this name.
    pub next: Option<Name>,
}

/// A class or tenant in a page of [`ShowReply`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShownEntry {
    /// A class with its profile.
    Class(Arc<ClassDefinition>),
    /// A tenant with its quota.
    Tenant(Arc<Tenant>),
}
