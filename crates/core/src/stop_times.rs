//! The times before the platform stops a process. All of them are derived here from the time of the stop, so that they
//! keep their order: the last answer, then the end of reading, then SIGKILL.

use gradepin_admission::{Span, Time, time_after, time_before};

const MS: u64 = 1_000_000;
/// The platform stops a process this long after its notice, plus the longest deadline of its requests.
const STOP_GRACE: Span = Span(700 * MS);
/// The longest deadline that the platform waits for.
const MAX_AWAITED_DEADLINE: Span = Span(3_000 * MS);
/// A process ends reading this long before SIGKILL, which would reset all its connections.
const CLOSE_MARGIN: Span = Span(150 * MS);
/// Every request that was read until then has its answer this long before reading ends, so that connections are idle and
/// can be closed one by one.
const ANSWER_MARGIN: Span = Span(100 * MS);
/// A margin takes at most this part of the time that is left, so that a short time to the stop is not used up by it.
const MAX_MARGIN_DIVISOR: u64 = 4;

/// Returns the time from the notice to the earliest stop: the longest deadline of the classes in force, of which the
/// platform waits for 3 s at most, plus 0.7 s, or the configured time if that is shorter.
pub fn time_to_stop(configured: Span, longest_deadline: Option<Span>) -> Span {
    let Some(deadline) = longest_deadline else { return configured };
    configured.min(Span(deadline.min(MAX_AWAITED_DEADLINE).0 + STOP_GRACE.0))
}

/// The times of one shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StopTimes {
    notified_at: Time,
    stop_at: Time,
}

impl StopTimes {
    /// Creates the times of a process that is stopped `stop_after` its shutdown notice, which arrived at `notified_at`.
    pub fn new(notified_at: Time, stop_after: Span) -> Self {
        Self { notified_at, stop_at: time_after(notified_at, stop_after) }
    }

    /// Brings the stop forward, to `stop_after` the notice; a later stop than before is ignored. Returns whether the
    /// times have changed.
    pub fn bring_forward(&mut self, stop_after: Span) -> bool {
        let stop_at = time_after(self.notified_at, stop_after);
        let is_earlier = stop_at < self.stop_at;
        self.stop_at = self.stop_at.min(stop_at);
        is_earlier
    }

    /// When the shutdown notice arrived.
    pub fn notified_at(&self) -> Time {
        self.notified_at
    }

    /// When the platform stops the process.
    pub fn stop_at(&self) -> Time {
        self.stop_at
    }

    /// When the reading of connections ends that are in use until then; always before [`StopTimes::stop_at`].
    pub fn reading_ends_at(&self) -> Time {
        self.before(self.stop_at, CLOSE_MARGIN)
    }

    /// Time by which every request must have its answer; always before [`StopTimes::reading_ends_at`].
    pub fn answers_due_at(&self) -> Time {
        self.before(self.reading_ends_at(), ANSWER_MARGIN)
    }

    fn before(&self, end: Time, margin: Span) -> Time {
        let time_left = end.0.saturating_sub(self.notified_at.0);
        time_before(end, Span(margin.0.min(time_left / MAX_MARGIN_DIVISOR)))
    }
}

#[cfg(test)]
mod tests;
