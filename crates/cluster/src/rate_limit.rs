//! Holds datagrams to so many in a second before anything of them is looked at: a tag takes a microsecond to check, and a
//! stranger may send any number.

use crate::MS;
use gradepin_admission::{Span, Time, time_after};

/// The span over which datagrams are counted.
const WINDOW: Span = Span(100 * MS);
/// Datagrams taken in one window.
pub(crate) const MAX_PER_WINDOW: u32 = 400;

/// A fixed window limiter of received datagrams.
#[derive(Debug, Default)]
pub struct RateLimiter {
    since: Time,
    taken: u32,
}

impl RateLimiter {
    /// Whether one more is taken now.
    pub fn admits(&mut self, now: Time) -> bool {
        if now >= time_after(self.since, WINDOW) {
            self.since = now;
            self.taken = 0;
        }
        self.taken += 1;
        self.taken <= MAX_PER_WINDOW
    }
}

#[cfg(test)]
mod tests;
