//! Dissemination of committed changes to every server of the fleet, as a state machine without I/O and without a clock.
//!
//! [`Dissemination`] owns the configuration of one server. Its inputs are the time, messages from peers, membership changes and,
//! on voters, the commits of the consensus group. Its outputs are [`DisseminationEffect`]s: messages to send, commits and
//! snapshots to apply, and log lines.
//!
//! - [`messages`]: the messages between servers, which may be lost, duplicated, reordered or delayed.
//! - [`peers`]: the servers that are up, by zone, region and vote, and the selection of peers among them.
//! - [`commit_requests`]: fetches missing commits, nearest peer first, with timeouts and backoff.
//! - [`transfer`]: fetches a snapshot from several peers when the commits retained by peers don't reach back far enough.
//! - [`history`], [`responses`]: the commits and digests retained for peers, and the responses to their requests.
//! - [`pending_commits`]: commits that were received before the ones that precede them.
//! - [`peer_digests`]: which peers confirm or contradict the state of this server.
//! - [`quarantine`]: temporary exclusion of peers that sent bad data.
//! - [`in_flight`], [`cooldown`], [`peer_view`]: used for fetching both commits and snapshots.
//! - [`outbox`], [`budget`]: pending effects, and limits on bytes per second.
//!
//! Invariants: the state is always the result of a prefix of the committed log; its revision never decreases; a commit or
//! snapshot whose digest does not match has no effect; the bytes sent and requested per second are bounded.

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
