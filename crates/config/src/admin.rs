//! What the admin endpoints of the configuration take and give, as JSON: one set of types for the server and for the
//! command line. The calls, statuses and bounds are in `docs/design/configuration-admin.md`.

use crate::change::{Change, ClassDefinition, Name, Proposal, Revision, Rule};
use crate::validation::Invalid;
use gradepin_admission::Tenant;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

pub mod query;

/// Entries of one page of [`ShowReply`], at the most: a page stays below the answer bound of the endpoint.
pub const MAX_PAGE: u32 = 500;
/// Commits of one page of [`HistoryReply`], at the most.
pub const MAX_HISTORY_PAGE: u32 = 200;
/// Servers named in [`StatusReply::lagging`], at the most; [`StatusReply::lagging_servers`] counts them all.
pub const MAX_LAGGING_NAMED: usize = 100;
/// Revisions listed in [`StatusReply::revisions`], the newest first, at the most.
pub const MAX_STATUS_REVISIONS: usize = 20;

/// `POST /config/apply`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// What is to be committed.
    pub proposal: Proposal,
    /// Whether it is only validated against what is in force at the server that is asked.
    #[serde(default)]
    pub dry_run: bool,
}

/// `POST /config/rollback`: commits a new revision whose content is that of an earlier one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollbackRequest {
    /// The revision whose content is to be in force again.
    pub to: Revision,
    /// Chosen by the caller; the same id again gives the same revision.
    pub request_id: Name,
    /// Who.
    pub author: Name,
    /// Why.
    pub reason: Name,
    /// The revision that the author saw; another one in force refuses the rollback.
    pub expected: Option<Revision>,
    /// Whether it is only worked out and validated.
    #[serde(default)]
    pub dry_run: bool,
}

/// What came of an apply or a rollback that was not refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ApplyReply {
    /// Under way: `GET /config/apply?request-id=ID` tells what came of it.
    Pending {
        /// The id under which it was asked for.
        request_id: Name,
    },
    /// A majority of the voters has it.
    Committed {
        /// Its place in the order.
        revision: Revision,
        /// Whether this id was committed by an earlier call.
        repeated: bool,
    },
    /// A dry run: valid against this revision.
    Valid {
        /// The revision in force at the server that was asked.
        against: Revision,
        /// How many entries of the configuration would change.
        changes: u32,
    },
}

/// Why a call changed nothing.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Serialize, Deserialize)]
#[serde(tag = "refused", rename_all = "snake_case")]
pub enum AdminError {
    /// Somebody else committed a change since.
    #[error("expected revision {expected} to be in force, revision {in_force} is")]
    Stale {
        /// What the author saw.
        expected: Revision,
        /// What is in force.
        in_force: Revision,
    },
    /// The transaction is not valid. Nothing of it was proposed.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// The request id was used for another content.
    #[error("request id {request_id} was used for another change, committed as revision {revision}")]
    RequestIdReused {
        /// The id.
        request_id: Name,
        /// What it was used for.
        revision: Revision,
    },
    /// No leader is known, or it did not answer in time; asking again under the same id is safe.
    #[error("no leader: {reason}")]
    NoLeader {
        /// What is known of it.
        reason: String,
    },
    /// Too many proposals are under way; asking again under the same id is safe.
    #[error("too busy, ask again in {retry_ms} ms")]
    TooBusy {
        /// After this long.
        retry_ms: u64,
    },
    /// The revision is not kept, or was never committed.
    #[error("revision {revision} is not kept: the oldest is {oldest}, the newest {newest}")]
    UnknownRevision {
        /// The one that was asked for.
        revision: Revision,
        /// The oldest that is kept.
        oldest: Revision,
        /// The newest one.
        newest: Revision,
    },
    /// More servers than the settings allow can't apply a committed change; an operator has to acknowledge it.
    #[error("{servers} servers can't apply revision {revision}, {most} may be: changes wait for an operator")]
    ServersFail {
        /// How many.
        servers: u32,
        /// How many may be.
        most: u32,
        /// Which revision.
        revision: Revision,
    },
    /// No entry of this name.
    #[error("there is no {kind} '{name}' in revision {revision}")]
    UnknownEntry {
        /// `class` or `tenant`.
        kind: String,
        /// The name.
        name: Name,
        /// In force here.
        revision: Revision,
    },
    /// No request of this id is known at this server; it may be known at another one.
    #[error("no request {request_id} is known here")]
    UnknownRequest {
        /// The id.
        request_id: Name,
    },
    /// The call itself makes no sense.
    #[error("{reason}")]
    BadCall {
        /// Why.
        reason: String,
    },
    /// This server has no `config` block in its settings.
    #[error("the configuration service is off at this server")]
    Off,
}

impl AdminError {
    /// The HTTP status that it goes with.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadCall { .. } => 400,
            Self::UnknownEntry { .. } | Self::UnknownRequest { .. } | Self::Off => 404,
            Self::Stale { .. } | Self::RequestIdReused { .. } | Self::ServersFail { .. } => 409,
            Self::UnknownRevision { .. } => 410,
            Self::Invalid(_) => 422,
            Self::TooBusy { .. } => 429,
            Self::NoLeader { .. } => 503,
        }
    }

    /// Whether the same call, under the same request id, may well be taken a moment later or by another server.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::NoLeader { .. } | Self::TooBusy { .. } | Self::UnknownRequest { .. })
    }
}

/// `GET /config/status`: this server's revision, and the fleet's as far as this server hears of it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StatusReply {
    /// The server that answers.
    pub server: Option<Name>,
    /// In force here.
    pub revision: Revision,
    /// Its digest, in hexadecimal.
    pub digest: String,
    /// The newest revision that this server has heard of.
    pub newest: Revision,
    /// The leader of the consensus group, where one is known.
    pub leader: Option<Name>,
    /// Seconds since this server last heard from a peer or a voter that its revision is the newest.
    pub age_s: Option<f64>,
    /// Whether that is longer than the settings allow. It serves on.
    pub stale: bool,
    /// Where the configuration in force came from.
    pub source: Source,
    /// Why the next committed change can't be applied here, if it can't.
    pub cannot_apply: Option<String>,
    /// The latest revisions, the newest first.
    pub revisions: Vec<RevisionSpread>,
    /// Servers that lag, those first that have lagged the longest; [`MAX_LAGGING_NAMED`] at the most.
    pub lagging: Vec<Lagging>,
    /// How many lag in all.
    pub lagging_servers: u32,
}

/// Where the configuration in force came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The file of the start.
    #[default]
    StartFile,
    /// The last good snapshot on this server's disk.
    Snapshot,
    /// Committed changes, or a snapshot, from peers or voters.
    Fleet,
}

/// How far one revision has come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionSpread {
    /// Which.
    pub revision: Revision,
    /// Unix time in ms at which it was proposed.
    pub proposed_at_ms: u64,
    /// Servers that have it or a later one.
    pub servers: u32,
    /// Servers that are known.
    pub of_servers: u32,
    /// Zones all of whose reachable servers have it.
    pub zones: u32,
    /// Zones that are known.
    pub of_zones: u32,
    /// From the proposal until half of the servers that have it had it in force, in ms.
    pub p50_ms: Option<u64>,
    /// The same for 99 in 100.
    pub p99_ms: Option<u64>,
}

/// A server that does not have the newest revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lagging {
    /// Which.
    pub server: Name,
    /// Its zone.
    pub zone: Name,
    /// What it has, where it was ever heard.
    pub revision: Option<Revision>,
    /// Seconds since the first revision that it lacks was committed.
    pub since_s: f64,
    /// Whether it is heard now.
    pub reachable: bool,
    /// What it says of why it can't apply the next one.
    pub cannot_apply: Option<String>,
}

/// `GET /config/history`: commits, the newest first.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct HistoryReply {
    /// The newest revision.
    pub newest: Revision,
    /// The oldest whose change is kept.
    pub oldest: Revision,
    /// This page.
    pub commits: Vec<CommitLine>,
}

/// One commit of the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommitLine {
    /// Its place in the order.
    pub revision: Revision,
    /// Who.
    pub author: Name,
    /// Why.
    pub reason: Name,
    /// The id under which it was asked for.
    pub request_id: Name,
    /// Unix time in ms at which it was proposed.
    pub proposed_at_ms: u64,
    /// How many changes it holds.
    pub changes: u32,
}

/// `GET /config/diff?from=A&to=B`: the changes that make the content of `to` out of that of `from`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DiffReply {
    /// From which revision.
    pub from: Revision,
    /// To which.
    pub to: Revision,
    /// The changes; [`crate::change::MAX_CHANGES`] at the most.
    pub changes: Vec<Change>,
    /// How many more there are.
    pub left_out: u32,
}

/// `GET /config/show`: what is in force at the server that is asked.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ShowReply {
    /// In force here.
    pub revision: Revision,
    /// Its digest, in hexadecimal.
    pub digest: String,
    /// How many classes are in force.
    pub classes: u32,
    /// How many tenants are in force.
    pub tenants: u32,
    /// All rules.
    pub rules: Vec<Rule>,
    /// The entries of this page, by name.
    pub entries: Vec<Entry>,
    /// The name after which the next page begins, if there is one.
    pub next: Option<Name>,
}

/// A class or a tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A class.
    Class(Arc<ClassDefinition>),
    /// A tenant.
    Tenant(Arc<Tenant>),
}
