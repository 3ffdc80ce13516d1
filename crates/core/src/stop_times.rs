//! The times before the platform stops a process. All of them are derived here from the time of the stop, so that they
//! keep their order: the last answer, then the exit of a process that hands over, then SIGKILL.

use gradepin_admission::{Span, Time, time_after, time_before};

const MS: u64 = 1_000_000;
/// A process that hands over exits this long before SIGKILL, which would reset all its connections.
const EXIT_MARGIN: Span = Span(150 * MS);
/// Every request has its answer this long before the process ends, which leaves time for the last answers and the
/// shutdown notice to arrive.
const ANSWER_MARGIN: Span = Span(100 * MS);
/// A margin takes at most this part of the time that is left, so that a short time to the stop is not used up by it.
const MAX_MARGIN_DIVISOR: u64 = 4;

/// How a process ends after its shutdown notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The platform stops it; it serves what still arrives until then.
    Stopped,
    /// It exits by itself after it has handed over to its successor.
    HandedOver,
}

/// The times of one shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    notified_at: Time,
    stop_at: Time,
    ending: Ending,
}

impl StopTimes {
    /// Creates the times of a process that is stopped `stop_after` its shutdown notice, which arrived at `notified_at`.
    pub fn new(notified_at: Time, stop_after: Span, ending: Ending) -> Self {
        Self { notified_at, stop_at: time_after(notified_at, stop_after), ending }
    }

    /// When the shutdown notice arrived.
    pub fn notified_at(&self) -> Time {
        self.notified_at
    }

    /// When the platform stops the process.
    pub fn stop_at(&self) -> Time {
        self.stop_at
    }

    /// When the process ends, whatever remains: at the stop, or before it if it hands over.
    pub fn latest_end(&self) -> Time {
        match self.ending {
            Ending::Stopped => self.stop_at,
            Ending::HandedOver => self.before(self.stop_at, EXIT_MARGIN),
        }
    }

    /// Time by which every request must have its answer; always before [`StopTimes::latest_end`].
    pub fn answers_due_at(&self) -> Time {
        self.before(self.latest_end(), ANSWER_MARGIN)
    }

    fn before(&self, end: Time, margin: Span) -> Time {
        let time_left = end.0.saturating_sub(self.notified_at.0);
        time_before(end, Span(margin.0.min(time_left / MAX_MARGIN_DIVISOR)))
    }
}

#[cfg(test)]
mod tests;
