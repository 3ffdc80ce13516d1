//! Revisions of the fleet's configuration: changes, validation, digests, snapshots and dissemination. Performs no I/O and reads
//! no clock.
//!
//! A configuration is the result of applying a prefix of the committed log to the base. The base is revision 0: the classes,
//! tenants and rules of the start file, which is the configuration file that a server reads at startup.
//!
//! Invariants: the configuration in force at a server is always the result of such a prefix, and its revision never decreases.
//!
//! - [`change`]: typed changes of classes, tenants and rules, and the commit that assigns them a revision.
//! - [`document`]: the JSON form of a transaction that operators write.
//! - [`configuration`]: the state that commits are applied to, with its [`digest`], in [`chunk`]s, and its [`rules`].
//! - [`validation`]: checks of transactions and proposals.
//! - [`snapshot`]: a complete state as a manifest and chunks, each of which is verified on its own.
//! - [`log`]: the most recent commits.
//! - [`difference`]: computes the transactions that turn one state into another.
//! - [`dissemination`]: the state machine that distributes commits and snapshots to every server.
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
