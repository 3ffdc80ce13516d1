//! A clock of the time in which this process was awake. The timers of the failure detector run on it.
//!
//! After a process was stopped, all its timers are overdue by the real clock but not by this one. So it
//! doesn't suspect other servers because of its own pause (the idea of Lifeguard's local health, Dadgar,
//! Phillips and Currey, 2017).

use crate::MS;
use gradepin_admission::{Span, Time, time_after, time_before};

/// Lateness of a wake-up beyond this counts as a pause, in which the process was stopped or starved.
const MAX_LATENESS: Span = Span(40 * MS);
/// Minimum length of a pause that is logged.
const REPORTED_PAUSE: Span = Span(1_000 * MS);

/// A clock that stops while the process is paused.
#[derive(Debug)]
pub(super) struct AwakeClock {
    /// Total length of all pauses, in ns.
    paused: u64,
    /// The time of the next wake-up that the process requested.
    expected_at: Time,
}

impl AwakeClock {
    /// A clock that starts now.
    pub(super) fn new(now: Time) -> Self {
        Self { paused: 0, expected_at: now }
    }

    /// Records a wake-up; returns the length of the pause before it, if it is to be logged.
    pub(super) fn resume(&mut self, now: Time) -> Option<Span> {
        let lateness = now.0.saturating_sub(time_after(self.expected_at, MAX_LATENESS).0);
        self.paused += lateness;
        (lateness >= REPORTED_PAUSE.0).then_some(Span(lateness))
    }

    /// Records the time of the next wake-up that the process requests.
    pub(super) fn expect_at(&mut self, at: Time) {
        self.expected_at = at;
    }

    /// The awake time at this time of the real clock.
    pub(super) fn awake(&self, now: Time) -> Time {
        time_before(now, Span(self.paused))
    }

    /// The time of the real clock at this awake time, if no further pause occurs.
    pub(super) fn real(&self, awake: Time) -> Time {
        time_after(awake, Span(self.paused))
    }
}
