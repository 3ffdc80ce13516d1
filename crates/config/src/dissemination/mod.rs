//! How committed changes reach every server of the fleet, as a state machine without I/O and without a clock.
//!
//! [`Dissemination`] holds the server's state and is told the time, messages, who is up, and on voters what the consensus
//! group committed. It says what to send, which commit comes into force, and which snapshot.
//!
//! - [`messages`]: what goes between servers; facts and requests that may be lost, doubled, reordered or late.
//! - [`peers`]: who is up, by zone, region and vote; whom to tell, push to and fetch from.
//! - [`requests`]: fetching commits that are missing, nearest first, with timeouts and pauses.
//! - [`transfer`]: fetching a snapshot, chunk by chunk and from several peers, where commits don't reach back far enough.
//! - [`serving`], [`history`]: answers to others' requests.
//! - [`pending`], [`witnesses`], [`quarantine`]: order, doubt, and sources that are left out for a time.
//! - [`outbox`], [`budget`]: effects, and bounds on bytes a second.
//!
//! Invariants: the state is always a prefix of the committed log; its revision never falls; a commit or snapshot whose
//! digest doesn't come out changes nothing; bytes sent and asked for are bounded.

pub mod budget;
pub mod history;
mod machine;
pub mod messages;
pub mod outbox;
pub mod peers;
pub mod pending;
pub mod quarantine;
pub mod requests;
pub mod serving;
pub mod settings;
pub mod transfer;
pub mod witnesses;

pub use machine::{Dissemination, Status};
pub use messages::{CommitRecord, Message};
pub use outbox::{DisseminationEffect, Sent};
pub use peers::Member;
pub use settings::{DisseminationSettings, Selection};
