//! Durable logs in files, written through the [`disk::Disk`] trait, which has a real and a simulated implementation.
//!
//! - [`log`]: the log of keyed runs. [`frame`] defines its segment format, and [`recovery`] rebuilds the known runs from the
//!   segments of earlier processes. `gradepin_core::idempotency_log` decides which records must be durable, and when.
//! - [`voter_log`]: the state of a voter of the consensus group.
//! - [`configuration`]: the last good configuration.
//! - [`disk`]: the operations that the logs need from a disk. [`sim`]: a disk in memory for tests, which loses, tears and
//!   reorders unsynced bytes.
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
