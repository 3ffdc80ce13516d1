//! Which processor tells what comes on the link: the one that was there before, or another, whose notices begin at 1
//! again. The one place that decides this; the shell asks it at each greeting, says hello by it and tells the reducer.
//!
//! A greeting tells how long ago the processor started. It is written after the link began to be made and before it is
//! read, so the processor started no sooner than that long before the one, and no later than that long before the other.
//! It is another one where its earliest start is past the latest one of the processor before, or its latest start past
//! the last word of that.
//!
//! Invariants: another one is told as such unless it says that it is older than the one before was; the one before is taken
//! for another only where its greeting is read later than it had been up. Where a greeting leaves both open it counts as
//! another's: runs are failed then, where otherwise all results would be dropped.

use crate::messages::MIN_PROCESSOR_RESTART;
use gradepin_admission::{Span, Time, time_after, time_before};

/// How far the clocks of two processes of a machine may be apart, and still tell one start from another.
const CLOCKS_APART: Span = Span(1_000_000_000);

/// What is known of the processor across links.
#[derive(Debug, Default)]
pub struct ProcessorIdentity {
    /// When it last told anything, as far as that was read.
    heard: Option<Time>,
    /// When it had started at the latest.
    started_by: Option<Time>,
}

impl ProcessorIdentity {
    /// It told something, which is read now.
    pub fn told(&mut self, now: Time) {
        self.heard = Some(now);
    }

    /// It greets on a link that began to be made then, and says that it started so long ago; whether it is another one.
    pub fn greets(&mut self, connecting: Time, now: Time, age: Span) -> bool {
        // The last word may have been read long after it was written, with the start of another between the two: that alone
        // would not tell it.
        let since_heard =
            self.heard.is_some_and(|heard| time_before(now, age) > time_after(heard, MIN_PROCESSOR_RESTART));
        let since_started = self
            .started_by
            .is_some_and(|started| time_before(connecting, age) > time_after(started, CLOCKS_APART));
        let another = since_heard || since_started;
        let started_by = time_before(now, age);
        let known = self.started_by.filter(|_| !another);
        self.started_by = Some(known.map_or(started_by, |known| known.min(started_by)));
        self.heard = Some(now);
        another
    }
}

#[cfg(test)]
mod tests;
