//! Durable records of keyed requests: a segmented log behind a small trait for the disk, real or simulated.
//!
//! [`frame`] is the form of the files, without I/O; [`log`] writes them and reads them back, deciding nothing about
//! requests; [`recovery`] makes of what was read what a new life needs to know. [`disk`] is the border to files, and
//! [`sim`] a disk in memory that loses, tears and reorders what was not synced, for tests. What must be durable, and when,
//! is decided in `gradepin_core::idempotency_log`. [`voter_log`] has the files of a voter of the fleet's council, and
//! [`configuration`] the last good configuration. The form of the files and what holds after a crash: `docs/design/recovery.md`.

pub mod configuration;
pub mod disk;
pub mod frame;
mod framing;
pub mod log;
pub mod recovery;
pub mod sim;
pub mod voter_log;
