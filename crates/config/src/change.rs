//! Typed changes of the configuration and the commit that carries them.
//!
//! A [`Transaction`] is applied whole or not at all. A [`Commit`] is a transaction that the consensus group has given a
//! [`Revision`]; commits are applied in the order of their revisions, without gaps.

pub use gradepin_admission::ClassDefinition;
use gradepin_admission::{Span, Tenant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Classes in force at a time, at the most. Bounds the tables of every server.
pub const MAX_CLASSES: usize = 16_384;
/// Tenants in force at a time, at the most. Bounds the tables of every server.
pub const MAX_TENANTS: usize = 131_072;
/// Changes in one transaction, at the most. A larger file is split by its author into several transactions.
pub const MAX_CHANGES: usize = 1_024;
/// The longest name of a class, tenant or author, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The longest reason or request id, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;

/// The name of a class, a tenant, a server or a person.
pub type Name = Arc<str>;

/// The number of a commit. The empty configuration has revision 0, the first commit revision 1, each next one more.
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

/// One of the rules of the configuration file (`settings.rules`), with its value.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Time that an answer may be late.
    AnswerSlack(Span),
    /// A cold server is warm within this long.
    Cold(Span),
    /// The share of its speed that a cold server begins with, above 0 and at most 1.
    ColdShare(f64),
    /// After a notice to leave nothing starts past this long.
    DrainGrace(Span),
    /// Span over which the concurrency is averaged.
    Fall(Span),
    /// Requests a core that a warm server survives.
    TipMultiple(f64),
    /// Worth of a request over its tenant's share, as a part of its class's worth; `settings.over_share_worth`.
    OverShareWorth(f64),
}

/// One change.
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

/// Changes that are applied together, in this order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The changes.
    pub changes: Vec<Change>,
}

/// What an author asks the consensus group to commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Chosen by the caller; the same id again gives the same revision.
    pub request_id: Name,
    /// Who.
    pub author: Name,
    /// Why.
    pub reason: Name,
    /// The revision that the author saw; another one in force refuses the proposal.
    pub expected: Option<Revision>,
    /// What.
    pub transaction: Transaction,
}

/// A committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// Its place in the order.
    pub revision: Revision,
    /// Who.
    pub author: Name,
    /// Why.
    pub reason: Name,
    /// The id under which it was asked for.
    pub request_id: Name,
    /// Unix time in ms at which the leader proposed it.
    pub proposed_at_ms: u64,
    /// What.
    pub transaction: Transaction,
}
