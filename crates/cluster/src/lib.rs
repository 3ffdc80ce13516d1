//! Coordination between tile servers, as a pure state machine: `(now, inputs) -> effects`, without I/O and
//! without a clock.
//!
//! - [`authentication`] and [`rate_limit`]: the keyed tag of each datagram, and the limit on datagrams per
//!   second.
//! - [`replay_window`]: drops replays, delayed datagrams and datagrams of an earlier incarnation.
//! - [`peer`] and [`members`]: membership and failure detection with SWIM.
//! - [`counters`]: work requested and served by tenant and class, summed over the fleet, with the age of
//!   each figure.
//! - [`leases`]: slots of the shared upstream that one server lends to another for a limited time.
//! - [`circuit_breaker`]: whether the shared upstream responds, by this server's observations first and by
//!   recent ones of other servers second.
//! - [`fragments`]: messages that are longer than a datagram.
//! - [`cluster`]: combines the other modules for the reducer.
//!
//! Invariant: a server that receives nothing never uses more slots of the shared upstream than its own share,
//! and the slots in use over the fleet never exceed the upstream's limit. The argument is in
//! `docs/design/cluster.md`, and the terms are in `docs/GLOSSARY.md`.
#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

pub mod authentication;
pub mod circuit_breaker;
pub mod cluster;
pub mod counters;
pub mod fragments;
pub mod leases;
pub mod members;
pub mod peer;
pub mod rate_limit;
pub mod replay_window;

/// Nanoseconds in a millisecond.
const MS: u64 = 1_000_000;
