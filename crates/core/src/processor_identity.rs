//! Whether the processor that greets on a link is the one from before, or another one, whose notices are numbered from 1 again.
//! This is the one place that decides it: the shell asks at each greeting, goes by it when it sends the number of the last
//! notice, and informs the reducer.
//!
//! A greeting says how long ago the processor started. It is written after the shell began to connect and before it is read. So
//! the processor started no sooner than that long before the one, and no later than that long before the other. It is another
//! one if its earliest start is past the latest start of the one before, or its latest start past the last message of that.
//!
//! Invariants: another processor is recognized unless it claims to be older than the one before was. The same processor is
//! taken for another only if its greeting is read later than it had been up. A greeting that leaves both possible counts as
//! another's: then runs fail, where otherwise all results would be dropped.

use crate::messages::MIN_PROCESSOR_RESTART;
use gradepin_admission::{Span, Time, time_after, time_before};

/// How far the clocks of two processes on one machine may be apart.
const MAX_CLOCK_DIFFERENCE: Span = Span(1_000_000_000);

/// What is known of the processor across links.
#[derive(Debug, Default)]
pub struct ProcessorIdentity {
    /// When its last message was read.
    last_message_at: Option<Time>,
    /// When it had started at the latest.
    started_by: Option<Time>,
}

impl ProcessorIdentity {
    /// A message of the processor is read.
    pub fn message_read(&mut self, now: Time) {
        self.last_message_at = Some(now);
    }

    /// The processor greets on a link that the shell began to make at `connecting`, and says that it started `age` ago. Returns
    /// whether it is another one than before.
    pub fn greeted(&mut self, connecting: Time, now: Time, age: Span) -> bool {
        let earliest_start = time_before(connecting, age);
        let latest_start = time_before(now, age);
        // The last message may have been read long after it was written, and another processor may have started between the
        // two. So the starts are compared too.
        let started_after_message =
            self.last_message_at.is_some_and(|last| latest_start > time_after(last, MIN_PROCESSOR_RESTART));
        let started_after_former =
            self.started_by.is_some_and(|former| earliest_start > time_after(former, MAX_CLOCK_DIFFERENCE));
        let is_another = started_after_message || started_after_former;
        let known_start = self.started_by.filter(|_| !is_another);
        self.started_by = Some(known_start.map_or(latest_start, |known| known.min(latest_start)));
        self.last_message_at = Some(now);
        is_another
    }
}

#[cfg(test)]
mod tests;
