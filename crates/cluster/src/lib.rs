//! What tile servers tell each other, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! - [`seal`]: the keyed tag of each datagram, and what is dropped for lack of one.
//! - [`fresh`]: what is a replay, too late, or of an earlier life.
//! - [`peer`] and [`members`]: who is there, by SWIM; a process that was stopped doubts itself first.
//! - [`counts`]: work asked and done by office and class, counted over the fleet, each figure with its age.
//! - [`escrow`]: slots of the shared ledger that one server lends to another for a time.
//! - [`judge`]: whether what lies below answers, by own evidence first and others' where it is fresh.
//! - [`pieces`]: words that are longer than a datagram.
//! - [`cluster`]: the parts together, as the reducer holds them.
//!
//! The promise that all of it keeps: a server that hears nothing is never more generous than its own share allows, and
//! the sum over the fleet never passes the bound. The argument stands in `docs/design/cluster.md`.

pub mod cluster;
pub mod counts;
pub mod escrow;
pub mod fresh;
pub mod judge;
pub mod members;
pub mod peer;
pub mod pieces;
pub mod seal;

/// Nanoseconds in a millisecond.
const MS: u64 = 1_000_000;
