//! Readings of the system's clocks, taken by a shell.

use gradepin_admission::Time;

/// A simultaneous reading of both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Timestamp {
    /// Monotonic clock, used by the admission module and all timers.
    pub now: Time,
    /// Unix clock in milliseconds, used for the time stamps of requests.
    pub unix_ms: u64,
}
