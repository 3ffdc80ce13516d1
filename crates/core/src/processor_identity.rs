//! Detects whether the processor that greets on a link is the same as before or a new one, whose notices are numbered
//! from 1 again. Only this module decides that: the shell calls it at each greeting, uses the result when it sends the
//! number of the latest notice, and informs the reducer.
//!
//! A greeting contains the age of the processor. It is written after the shell began to connect and before it is read,
//! so the processor started no earlier than its age before the former time and no later than its age before the latter.
//! It is a new processor if its earliest start is after the latest start of the previous one, or its latest start is
//! after the last message of the previous one.
//!
//! Invariants: a new processor is detected unless it claims to be older than the previous one was. The same processor
//! is taken for a new one only if its greeting is read later than it had been up. If both are possible, the processor
//! counts as new: some runs then fail, whereas otherwise all results would be dropped.

use crate::messages::MIN_PROCESSOR_RESTART;
use gradepin_admission::{Span, Time, time_after, time_before};

/// Maximum difference between the clocks of two processes on one machine.
const MAX_CLOCK_DIFFERENCE: Span = Span(1_000_000_000);

/// The shell's knowledge of the processor across links.
#[derive(Debug, Default)]
pub struct ProcessorIdentity {
    /// When the latest message of the processor was read.
    last_message_at: Option<Time>,
    /// Latest possible start of the processor.
    started_by: Option<Time>,
}

impl ProcessorIdentity {
    /// Notes that a message of the processor was read.
    pub fn message_read(&mut self, now: Time) {
        self.last_message_at = Some(now);
    }

    /// Handles a greeting on a link that the shell began to make at `connecting`; `age` is the time since the processor
    /// started. Returns whether the processor is a new one.
    pub fn greeted(&mut self, connecting: Time, now: Time, age: Span) -> bool {
        let earliest_start = time_before(connecting, age);
        let latest_start = time_before(now, age);
        // The latest message may have been read long after it was written, and a new processor may have started in
        // between. Therefore the start times are compared too.
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
