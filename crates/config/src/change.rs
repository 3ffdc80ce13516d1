//! Typed changes of the configuration and the commit that carries them.
//!
//! A [`Transaction`] is applied completely or not at all. A [`Commit`] is a transaction that the consensus group has given a
//! [`Revision`]; commits are applied in the order of their revisions, without gaps.

pub use gradepin_admission::ClassDefinition;
use gradepin_admission::{Span, Tenant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Classes in force at a time. Bounds the tables of every server.
pub const MAX_CLASSES: usize = 16_384;
/// Tenants in force at a time. Bounds the tables of every server.
pub const MAX_TENANTS: usize = 131_072;
/// Changes in one transaction. The author splits a larger file into several transactions.
pub const MAX_CHANGES: usize = 1_024;
/// The longest name of a class, tenant or author, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The longest reason or request id, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;

/// A shared text: the name of a class, tenant, server or author, a request id or a reason.
pub type Name = Arc<str>;

/// The number of a commit. The base has revision 0, the first commit revision 1, each next commit one more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One rule of the configuration file (`settings.rules`) with its value. Variants are encoded by their order and, in JSON, by
/// their names.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// How late a response may be.
    AnswerSlack(Span),
    /// Duration of the slow start of a server.
    Cold(Span),
    /// The fraction of its capacity that a server begins its slow start with, above 0 and at most 1.
    ColdShare(f64),
    /// How long requests may still start once a server drains.
    DrainGrace(Span),
    /// Duration over which the concurrency is averaged.
    Fall(Span),
    /// Maximum concurrent requests per core after the slow start.
    TipMultiple(f64),
    /// Priority weight of a request over its tenant's quota, as a fraction of the weight of its class
    /// (`settings.over_share_worth`).
    OverShareWorth(f64),
}

/// One change of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a class, or replaces the one of this name.
    PutClass(Arc<ClassDefinition>),
    /// Removes a class.
    RemoveClass(Name),
    /// Adds a tenant, or replaces the one of this name.
    PutTenant(Arc<Tenant>),
    /// Removes a tenant.
    RemoveTenant(Name),
    /// Sets a rule.
    PutRule(Rule),
}

/// Changes that are applied together, in order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The changes.
    pub changes: Vec<Change>,
}

/// A request of an author to commit a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Chosen by the caller. Proposals are idempotent: the same id gives the same revision.
    pub request_id: Name,
    /// The person or program that requested the change.
    pub author: Name,
    /// The reason for the change, for the history.
    pub reason: Name,
    /// The revision that the author expects in force; the proposal is rejected if another one is.
    pub expected: Option<Revision>,
    /// The changes.
    pub transaction: Transaction,
}

/// A committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// The position in the committed log.
    pub revision: Revision,
    /// The person or program that requested the change.
    pub author: Name,
    /// The reason for the change, for the history.
    pub reason: Name,
    /// The request id of the proposal.
    pub request_id: Name,
    /// Unix time in ms at which the leader proposed it.
    pub proposed_at_ms: u64,
    /// The changes.
    pub transaction: Transaction,
}
