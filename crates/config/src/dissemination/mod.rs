//! How committed changes reach every server of the fleet, as a state machine without I/O and without a clock.
//!
//! [`Dissemination`] owns one server's configuration. Its inputs are the time, messages of peers, membership changes and, on
//! voters, the commits of the consensus group. Its outputs are [`DisseminationEffect`]s: messages to send, commits and
//! snapshots to apply, and log lines.
//!
//! - [`messages`]: the messages between servers, which may be lost, duplicated, reordered or delayed.
//! - [`peers`]: the servers that are up, by zone, region and vote, and the selection among them.
//! - [`commit_requests`]: fetching missing commits, nearest peer first, with timeouts and backoff.
//! - [`transfer`]: fetching a snapshot from several peers, where commits do not reach back far enough.
//! - [`responses`], [`history`]: what peers that are behind may fetch.
//! - [`pending_commits`]: commits received before the ones that they follow.
//! - [`peer_digests`], [`quarantine`]: peers that confirm or contradict this state; sources of bad data.
//! - [`in_flight`], [`cooldown`], [`peer_view`]: what both kinds of fetching share.
//! - [`outbox`], [`budget`]: effects, and bounds on bytes per second.
//!
//! Invariants: the state is always a prefix of the committed log; its revision never falls; a commit or snapshot whose
//! digest does not match changes nothing; the bytes sent and requested per second are bounded.

pub mod budget;
pub mod commit_requests;
pub mod cooldown;
pub mod history;
pub mod in_flight;
mod machine;
pub mod messages;
pub mod outbox;
pub mod peer_digests;
pub mod peer_view;
pub mod peers;
pub mod pending_commits;
pub mod quarantine;
pub mod responses;
pub mod settings;
pub mod transfer;

pub use machine::{Dissemination, Status};
pub use messages::{CommitRecord, Message};
pub use outbox::{DisseminationEffect, SentCounters};
pub use peers::Member;
pub use settings::{DisseminationSettings, Selection};
