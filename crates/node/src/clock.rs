//! The clock of the reducer; the only module that reads the system clocks for it.

use gradepin_admission::Time;
use gradepin_core::timestamp::Timestamp;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reading of a new clock, in nanoseconds.
const ORIGIN_NANOS: u64 = 1_000_000_000_000;

/// A monotonic clock that starts at 1,000 s, so that times before its start can be represented. Each reading also has
/// the Unix time.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at the current instant.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Converts a time of this clock to an [`Instant`], for threads that use the system's monotonic clock.
    pub fn instant(&self, time: Time) -> Instant {
        self.0 + Duration::from_nanos(time.0.saturating_sub(ORIGIN_NANOS))
    }

    /// Converts an [`Instant`] to a time of this clock.
    pub fn time(&self, instant: Instant) -> Time {
        let nanos = instant.saturating_duration_since(self.0).as_nanos();
        Time(ORIGIN_NANOS.saturating_add(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }

    /// Reads the monotonic clock and the Unix time.
    pub fn read(&self) -> Timestamp {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp {
            now: self.time(Instant::now()),
            unix_ms: u64::try_from(unix.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
