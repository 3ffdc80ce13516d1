//! Observations of the shared upstream: the outcomes of this server's calls over a sliding window, and a
//! summary of the observations that other servers gossip.

use crate::MS;
use gradepin_admission::{Outcome, Span, Time, time_after};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The period that an observation covers.
pub const WINDOW: Span = Span(5_000 * MS);
/// The step by which the window moves.
const STEP: Span = Span(250 * MS);
/// Maximum age of another server's observation; older ones are ignored.
pub(super) const MAX_OBSERVATION_AGE: Span = Span(3_000 * MS);
/// Minimum number of failed calls, without a successful one, for the upstream to count as dead.
const MIN_FAILURES: u16 = 4;

/// The outcomes of one server's calls to the upstream within the window. The order of the fields is the wire
/// format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Observation {
    /// Successful calls.
    pub succeeded: u16,
    /// Failed calls other than timeouts, such as refused or lost connections.
    pub failed: u16,
    /// Calls abandoned without a response.
    pub timed_out: u16,
    /// Mean duration of the successful calls, in ms.
    pub mean_ms: u16,
}

impl Observation {
    /// Whether the upstream looks dead to this server: at least `MIN_FAILURES` calls failed and none
    /// succeeded.
    pub fn is_dead(&self) -> bool {
        self.succeeded == 0 && self.failed.saturating_add(self.timed_out) >= MIN_FAILURES
    }

    fn of(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self { succeeded: 1, ..Self::default() },
            Outcome::TimedOut => Self { timed_out: 1, ..Self::default() },
            _ => Self { failed: 1, ..Self::default() },
        }
    }

    fn add(&mut self, other: &Self) {
        self.succeeded = self.succeeded.saturating_add(other.succeeded);
        self.failed = self.failed.saturating_add(other.failed);
        self.timed_out = self.timed_out.saturating_add(other.timed_out);
    }
}

/// Summary of the recent observations of other servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerObservations {
    /// Servers that got a response from the upstream.
    pub answered: usize,
    /// Servers to which the upstream looked dead.
    pub dead: usize,
}

impl PeerObservations {
    /// Adds the observation of one server; ignored if it is older than `MAX_OBSERVATION_AGE`.
    pub fn add(&mut self, observation: &Observation, age: Span) {
        if age > MAX_OBSERVATION_AGE {
            return;
        }
        if observation.succeeded > 0 {
            self.answered += 1;
        } else if observation.is_dead() {
            self.dead += 1;
        }
    }
}

#[derive(Debug)]
struct WindowStep {
    since: Time,
    observation: Observation,
    /// Total duration of the successful calls, in ms.
    took_ms: u32,
}

/// The outcomes of this server's calls over the [`WINDOW`], with at most one entry for each [`STEP`].
#[derive(Debug, Default)]
pub(super) struct ObservationWindow {
    steps: VecDeque<WindowStep>,
}

impl ObservationWindow {
    /// Records the outcome of a call that ended.
    pub(super) fn add(&mut self, now: Time, outcome: Outcome, took: Span) {
        let observation = Observation::of(outcome);
        let took_ms = if observation.succeeded > 0 { (took.0 / MS) as u32 } else { 0 };
        self.steps.retain(|step| time_after(step.since, WINDOW) > now);
        match self.steps.back_mut() {
            Some(last) if now < time_after(last.since, STEP) => {
                last.observation.add(&observation);
                last.took_ms = last.took_ms.saturating_add(took_ms);
            }
            _ => self.steps.push_back(WindowStep { since: now, observation, took_ms }),
        }
    }

    /// The sum over the window.
    pub(super) fn sum(&self, now: Time) -> Observation {
        let mut sum = Observation::default();
        let mut took_ms = 0;
        for step in self.steps.iter().filter(|step| time_after(step.since, WINDOW) > now) {
            sum.add(&step.observation);
            took_ms += u64::from(step.took_ms);
        }
        sum.mean_ms = (took_ms / u64::from(sum.succeeded.max(1))).min(u64::from(u16::MAX)) as u16;
        sum
    }

    /// Forgets all outcomes so far.
    pub(super) fn clear(&mut self) {
        self.steps.clear();
    }
}
