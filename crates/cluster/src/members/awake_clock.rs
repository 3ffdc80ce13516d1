//! The time that this process was awake, which the failure detector's timers run on.
//!
//! A process that was stopped finds all its timers overdue; by this clock none is, so that it never suspects others for the
//! time that it was stopped itself (the idea of Lifeguard's local health, Dadgar, Phillips and Currey, 2017).

use crate::MS;
use gradepin_admission::{Span, Time, time_after, time_before};

/// Time beyond this between the wake that was asked for and the one that came was not this process's: it was stopped, or
/// starved.
const MAX_LATENESS: Span = Span(40 * MS);
/// A pause of this length is written into the log.
const REPORTED_PAUSE: Span = Span(1_000 * MS);

/// A clock that stands still while the process does.
#[derive(Debug)]
pub(super) struct AwakeClock {
    /// The time that it was paused so far, in ns.
    paused: u64,
    /// When the process is to run again.
    expected_at: Time,
}

impl AwakeClock {
    /// A clock that starts now.
    pub(super) fn new(now: Time) -> Self {
        Self { paused: 0, expected_at: now }
    }

    /// The process runs now; how long it was paused, if for long.
    pub(super) fn resume(&mut self, now: Time) -> Option<Span> {
        let lateness = now.0.saturating_sub(time_after(self.expected_at, MAX_LATENESS).0);
        self.paused += lateness;
        (lateness >= REPORTED_PAUSE.0).then_some(Span(lateness))
    }

    /// It asks to run again then.
    pub(super) fn expect_at(&mut self, at: Time) {
        self.expected_at = at;
    }

    /// The time awake at a time of the real clock.
    pub(super) fn awake(&self, now: Time) -> Time {
        time_before(now, Span(self.paused))
    }

    /// The time of the real clock at a time awake, if no pause is to come.
    pub(super) fn real(&self, awake: Time) -> Time {
        time_after(awake, Span(self.paused))
    }
}
