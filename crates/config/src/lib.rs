//! Revisions of the configuration of the fleet: changes, validation, digests, snapshots and dissemination. No I/O, no clock.
//!
//! A configuration is the result of applying a prefix of the committed log to the base, which is revision 0. Invariant: every
//! server has the result of such a prefix in force, and its revision never falls.
//!
//! - [`change`]: typed changes of classes, tenants and rules, and the commit that carries them under one revision.
//! - [`document`]: a transaction as operators write it.
//! - [`configuration`]: the state that commits are applied to, with its [`digest`], in [`chunk`]s, and its [`rules`].
//! - [`validation`]: the check of transactions.
//! - [`snapshot`]: a state in chunks that are checked one by one.
//! - [`log`]: the last commits.
//! - [`difference`]: the transactions that turn one state into another.
//! - [`dissemination`]: the state machine by which commits and snapshots reach every server.
//! - [`admin`]: requests and responses of the admin endpoints.

#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

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
pub use configuration::{ApplyError, Configuration, ProposalCheckError};
pub use digest::{Digest, Version};
pub use document::Document;
pub use log::{CommitLog, LogLimits};
pub use snapshot::{Assembly, Manifest, Snapshot};
pub use validation::Invalid;
