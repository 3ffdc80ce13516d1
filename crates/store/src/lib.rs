//! Durable records on files, behind a small trait for the disk, real or simulated.
//!
//! - [`log`]: keyed runs in segments, whose format is in [`frame`]; [`recovery`] reads what earlier processes left. What must
//!   be durable, and when, is decided in `gradepin_core::idempotency_log`.
//! - [`voter_log`]: the state of a voter of the consensus group.
//! - [`configuration`]: the last good configuration.
//! - [`disk`]: the disk as these logs use it; [`sim`]: a disk in memory that loses, tears and reorders unsynced bytes, for
//!   tests.
//!
//! File formats and the guarantees after a crash are in `docs/design/recovery.md`.
#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

pub mod configuration;
pub mod disk;
pub mod frame;
mod framing;
pub mod log;
pub mod recovery;
pub mod sim;
pub mod voter_log;
