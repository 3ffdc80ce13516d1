//! What tile servers share with each other, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! - [`authentication`] and [`rate_limit`]: the keyed tag of each datagram, and how many are looked at.
//! - [`replay_window`]: what is a replay, delayed for too long, or of an earlier incarnation.
//! - [`peer`] and [`members`]: membership and failure detection, by SWIM.
//! - [`counters`]: work requested and served by tenant and class, counted over the fleet, each figure with its age.
//! - [`leases`]: slots of the shared upstream that one server lends to another for a time.
//! - [`circuit_breaker`]: whether the shared upstream answers, by own observations first and others' where they are fresh.
//! - [`fragments`]: messages that are longer than a datagram.
//! - [`cluster`]: the parts together, as the reducer holds them.
//!
//! The invariant that all of it keeps: a server that receives nothing never uses more than its own share, and
//! the sum over the fleet never passes the bound. The argument is in `docs/design/cluster.md`, and terms are in
//! `docs/GLOSSARY.md`.
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
