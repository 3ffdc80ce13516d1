//! Revisions of the fleet's configuration, without I/O and without a clock.
//!
//! - [`admin`]: what the admin endpoints take and give.
//! - [`change`]: typed changes of classes, tenants and rules, and the commit that carries them under one revision.
//! - [`configuration`]: the state that commits are applied to, with its [`digest`], in [`chunk`]s; the [`rules`].
//! - [`validation`]: the one check of transactions.
//! - [`snapshot`]: a state in chunks that are checked one by one.
//! - [`log`]: the last commits.
//! - [`difference`]: what turns one state into another.
//! - [`dissemination`]: how commits and snapshots reach every server.
//! - [`document`]: a transaction as people write it.
//!
//! A configuration is the result of applying a prefix of the committed log to the one base, revision 0. Every server of
//! the fleet holds such a prefix, and never anything else.

pub mod admin;
pub mod change;
pub mod chunk;
pub mod configuration;
pub mod difference;
pub mod digest;
pub mod dissemination;
pub mod document;
pub mod log;
pub mod rules;
pub mod snapshot;
pub mod validation;
mod well_formed;

pub use change::{Change, ClassDefinition, Commit, Name, Proposal, Revision, Rule, Transaction};
pub use configuration::{ApplyError, CommitRejected, Configuration};
pub use digest::{Digest, Version};
pub use document::Document;
pub use log::{CommitLog, LogLimits};
pub use snapshot::{Assembly, Manifest, Snapshot};
pub use validation::Invalid;
