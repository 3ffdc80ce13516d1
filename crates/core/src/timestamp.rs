//! Readings of the system's clocks, taken by a shell.

use gradepin_admission::Time;

/// A simultaneous reading of both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Timestamp {
    /// Monotonic clock, used by the admission module and all timers.
    pub now: Time,
    /// Unix time in milliseconds: the wall clock in a reading of the shell, which may be set at any time. Inside the
    /// reducer it is the reference time of [`crate::wall_clock`].
    pub unix_ms: u64,
}
