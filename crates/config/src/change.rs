//! Typed changes of the configuration, and proposals and commits of them.
//!
//! A [`Transaction`] is applied atomically. A [`Commit`] is a transaction to which the consensus group has assigned a
//! [`Revision`]; commits are applied in the order of their revisions, without gaps.

pub use gradepin_admission::ClassDefinition;
use gradepin_admission::{Span, Tenant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum number of classes in force. Bounds the memory of the tables on every server.
pub const MAX_CLASSES: usize = 16_384;
/// Maximum number of tenants in force. Bounds the memory of the tables on every server.
pub const MAX_TENANTS: usize = 131_072;
/// Maximum number of changes in one transaction. A larger document must be split into several transactions by its author.
pub const MAX_CHANGES: usize = 1_024;
/// Maximum length of the name of a class, tenant or author, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a reason or request id, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;

/// A short text that is cheap to clone: the name of a class, tenant, server or author, and also a request id or a reason.
pub type Name = Arc<str>;

/// The position of a commit in the committed log. The base is revision 0, the first commit is revision 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of the commit that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One rule of the configuration file (`settings.rules`) with its value. Postcard encodes a variant by its position, JSON by
/// its name.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// How long after its deadline a response still counts.
    AnswerSlack(Span),
    /// Duration of the slow start of a server.
    Cold(Span),
    /// Fraction of its capacity with which a server begins its slow start, above 0 and at most 1.
    ColdShare(f64),
    /// Requests that arrive later than this after the notice of a shutdown are not run.
    DrainGrace(Span),
    /// Duration over which the number of concurrent requests is averaged.
    Fall(Span),
    /// Maximum concurrent requests per core after the slow start.
    TipMultiple(f64),
    /// Priority weight of a request above its tenant's quota, as a fraction from 0 to 1 of the weight of its class
    /// (`settings.over_share_worth` in the configuration file).
    OverShareWorth(f64),
}

/// One change of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a class, or replaces the class of the same name.
    PutClass(Arc<ClassDefinition>),
    /// Removes the class of this name, which must be in force.
    RemoveClass(Name),
    /// Adds a tenant, or replaces the tenant of the same name.
    PutTenant(Arc<Tenant>),
    /// Removes the tenant of this name, which must be in force.
    RemoveTenant(Name),
    /// Sets the value of a rule.
    PutRule(Rule),
}

/// Changes that are applied together, in order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// From 1 to [`MAX_CHANGES`] changes; each name and each rule may occur only once.
    pub changes: Vec<Change>,
}

/// A request of an author to commit a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Chosen by the caller. Proposals are idempotent: a repeated proposal with the same id yields the same revision.
    pub request_id: Name,
    /// The person or program that requested the change.
    pub author: Name,
    /// Why the change is made, as shown in the history.
    pub reason: Name,
    /// The revision that the author expects to be in force. If another one is, the proposal is rejected; `None` skips this check.
    pub expected: Option<Revision>,
    /// The changes to commit.
    pub transaction: Transaction,
}

/// A transaction that the consensus group has committed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// The position in the committed log.
    pub revision: Revision,
    /// The person or program that requested the change.
    pub author: Name,
    /// Why the change was made, as shown in the history.
    pub reason: Name,
    /// The request id of the proposal that was committed.
    pub request_id: Name,
    /// When the leader proposed the commit to the consensus group, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
    /// The committed changes.
    pub transaction: Transaction,
}
