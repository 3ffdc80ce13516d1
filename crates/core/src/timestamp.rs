//! One reading of the system's clocks, as a shell makes it.

use gradepin_admission::Time;

/// One reading of both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Timestamp {
    /// The monotonic clock, which the module and all timers go by.
    pub now: Time,
    /// The Unix clock in milliseconds, which the stamps of requests go by.
    pub unix_ms: u64,
}
