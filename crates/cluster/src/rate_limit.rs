//! Limits the rate of received datagrams before any of them is parsed: verifying a tag takes a microsecond of
//! CPU time, and anyone may send any number of datagrams.

use crate::MS;
use gradepin_admission::{Span, Time, time_after};

/// The window over which datagrams are counted.
const WINDOW: Span = Span(100 * MS);
/// Maximum number of datagrams admitted in one window.
pub(crate) const MAX_PER_WINDOW: u32 = 400;

/// A fixed-window limiter of received datagrams.
#[derive(Debug, Default)]
pub struct RateLimiter {
    since: Time,
    received: u32,
}

impl RateLimiter {
    /// Counts a received datagram; returns whether it is within the limit.
    pub fn admits(&mut self, now: Time) -> bool {
        if now >= time_after(self.since, WINDOW) {
            self.since = now;
            self.received = 0;
        }
        self.received += 1;
        self.received <= MAX_PER_WINDOW
    }
}

#[cfg(test)]
mod tests;
