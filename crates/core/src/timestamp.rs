//! One reading of the system's clocks, as a shell makes it.

use gradepin_admission::Time;

/// One reading of both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Timestamp {
    /// The monotonic clock: the admission module and all timers go by it.
    pub now: Time,
    /// The Unix clock in milliseconds: the stamps of requests go by it.
    pub unix_ms: u64,
}
