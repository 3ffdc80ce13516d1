//! The wait queue: held requests, and the bound on their sojourn.
//!
//! A held request is given up once it has waited, or is bound to wait, past its latency objective less its
//! class's base latency. Guards against cores spent on responses that are too late, whatever filled the
//! queue. Bounded by the memory account, which makes room by rejecting the requests of the lowest density.

use crate::open_requests::Sequence;

/// Share of the time to start that a request has, up to which a predicted wait counts as short enough: the
/// time that runs take varies by as much.
const SOJOURN_SLACK: f64 = 0.6;
/// Part of the time to start that a first attempt may wait, however short its class's runs are.
const MIN_FIRST_ATTEMPT_WAIT: f64 = 0.125;

/// The held requests, in the order in which they were read.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    held: Vec<Sequence>,
}

impl WaitQueue {
    /// Adds a request that was just read.
    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.held.push(sequence);
    }

    /// Removes a request, if it is held.
    pub(crate) fn remove(&mut self, sequence: Sequence) {
        self.held.retain(|&held| held != sequence);
    }

    /// The held requests, in the order in which they were read.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Sequence> {
        self.held.iter().copied()
    }

    /// Whether no request is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Number of held requests.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }
}

/// What the sojourn bound of one held request rests on.
pub(crate) struct SojournCheck {
    /// Time until the request must start to meet its objective; below 0 when it cannot.
    pub(crate) seconds_to_start: f64,
    /// Until the requests ahead of it have run.
    pub(crate) predicted_wait_seconds: f64,
    /// Whether it can still earn something after its objective, and the queue is short enough to try.
    pub(crate) may_miss_objective: bool,
    /// Whether its caller would take it to another server that has time for it.
    pub(crate) is_movable_first_attempt: bool,
    /// Mean core time of its class.
    pub(crate) class_core_seconds: f64,
}

impl SojournCheck {
    /// Whether the request is given up.
    pub(crate) fn is_past_bound(&self) -> bool {
        let is_hopeless = self.seconds_to_start < 0.0 && !self.may_miss_objective;
        let exceeds_longest_wait =
            self.seconds_to_start >= 0.0 && self.predicted_wait_seconds > self.longest_wait_seconds();
        is_hopeless || exceeds_longest_wait
    }

    /// A first attempt may wait a mean run of its class, or as much of its time as costs nothing, while
    /// another server has time for it; any other request longer.
    fn longest_wait_seconds(&self) -> f64 {
        let longest = self.seconds_to_start * SOJOURN_SLACK;
        if self.is_movable_first_attempt {
            longest.min(self.class_core_seconds.max(MIN_FIRST_ATTEMPT_WAIT * self.seconds_to_start))
        } else {
            longest
        }
    }
}
