//! The wait queue of requests that have not started, and the bound on their sojourn.
//!
//! A queued request is rejected once its wait, past or predicted, leaves less time until its latency
//! objective than the base latency of its class. The bound keeps cores from working on responses that are too
//! late, whatever filled the queue. The memory account bounds the length of the queue: the requests of the
//! lowest density are rejected to free memory.

use crate::open_requests::Sequence;

/// Upper bound of the predicted wait, as a fraction of the time in which the request must start. The rest
/// allows for the variation of run times.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Wait that a first attempt is always allowed, as a fraction of the time in which it must start, however
/// short the runs of its class are.
const MIN_FIRST_ATTEMPT_WAIT_FRACTION: f64 = 0.125;

/// The queued requests, in the order in which they were read.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queued: Vec<Sequence>,
}

impl WaitQueue {
    /// Adds the request that was read last.
    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.queued.push(sequence);
    }

    /// Removes a request. Does nothing if it is not queued.
    pub(crate) fn remove(&mut self, sequence: Sequence) {
        self.queued.retain(|&queued| queued != sequence);
    }

    /// The queued requests, in the order in which they were read.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Sequence> {
        self.queued.iter().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }
}

/// The figures that decide whether a queued request is past its sojourn bound.
pub(crate) struct SojournCheck {
    /// Seconds until the request must start to meet its objective; below 0 if it cannot meet it any more.
    pub(crate) seconds_to_start: f64,
    /// Seconds until the requests ahead of it have run.
    pub(crate) predicted_wait_seconds: f64,
    /// Whether a late response still earns priority weight, and the queue is short enough to attempt it.
    pub(crate) may_miss_objective: bool,
    /// Whether it is a first attempt that its caller can send to another server with spare capacity.
    pub(crate) is_movable_first_attempt: bool,
    /// Mean core time of a run of its class, in seconds.
    pub(crate) class_core_seconds: f64,
}

impl SojournCheck {
    /// Whether the request should be rejected.
    pub(crate) fn is_past_bound(&self) -> bool {
        let is_hopeless = self.seconds_to_start < 0.0 && !self.may_miss_objective;
        let exceeds_max_wait =
            self.seconds_to_start >= 0.0 && self.predicted_wait_seconds > self.max_wait_seconds();
        is_hopeless || exceeds_max_wait
    }

    /// Upper bound of the predicted wait in seconds. A first attempt that another server can still serve may
    /// wait only for one mean run of its class, or for a small fraction of its time.
    fn max_wait_seconds(&self) -> f64 {
        let max_wait = self.seconds_to_start * MAX_WAIT_FRACTION;
        if self.is_movable_first_attempt {
            max_wait.min(self.class_core_seconds.max(MIN_FIRST_ATTEMPT_WAIT_FRACTION * self.seconds_to_start))
        } else {
            max_wait
        }
    }
}
