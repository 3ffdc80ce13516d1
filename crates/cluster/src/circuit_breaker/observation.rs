//! Observations of the shared upstream: the counts of this server over a sliding window, and the sum of those that others
//! gossip.

use crate::MS;
use gradepin_admission::{Outcome, Span, Time, time_after};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What an observation covers.
pub const WINDOW: Span = Span(5_000 * MS);
/// The window moves in steps of this.
const STEP: Span = Span(250 * MS);
/// Observations of others count for so long.
pub(super) const MAX_OBSERVATION_AGE: Span = Span(3_000 * MS);
/// Calls without one that went well before the upstream counts as dead.
const MIN_FAILURES: u16 = 4;

/// What one server saw of an upstream within the window. The order of the fields is the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Observation {
    /// Calls that ended well.
    pub succeeded: u16,
    /// Calls that were refused, lost or failed.
    pub failed: u16,
    /// Calls that were given up without an answer.
    pub timed_out: u16,
    /// The mean time of those that ended well, in ms.
    pub mean_ms: u16,
}

impl Observation {
    /// Whether the upstream looks dead from there: enough calls, and none went well.
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

/// Others' observations taken together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerObservations {
    /// Servers that the upstream answered lately.
    pub answered: usize,
    /// Servers for which it looked dead.
    pub dead: usize,
}

impl PeerObservations {
    /// One more server's observation, of this age.
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
    seen: Observation,
    /// The time that the calls took which went well, in ms.
    took_ms: u32,
}

/// This server's calls of late; at most one step for each [`STEP`] of the [`WINDOW`].
#[derive(Debug, Default)]
pub(super) struct ObservationWindow {
    steps: VecDeque<WindowStep>,
}

impl ObservationWindow {
    /// A call ended.
    pub(super) fn add(&mut self, now: Time, outcome: Outcome, took: Span) {
        let seen = Observation::of(outcome);
        let took_ms = if seen.succeeded > 0 { (took.0 / MS) as u32 } else { 0 };
        self.steps.retain(|step| time_after(step.since, WINDOW) > now);
        match self.steps.back_mut() {
            Some(last) if now < time_after(last.since, STEP) => {
                last.seen.add(&seen);
                last.took_ms = last.took_ms.saturating_add(took_ms);
            }
            _ => self.steps.push_back(WindowStep { since: now, seen, took_ms }),
        }
    }

    /// What was seen within the window.
    pub(super) fn sum(&self, now: Time) -> Observation {
        let mut sum = Observation::default();
        let mut took_ms = 0;
        for step in self.steps.iter().filter(|step| time_after(step.since, WINDOW) > now) {
            sum.add(&step.seen);
            took_ms += u64::from(step.took_ms);
        }
        sum.mean_ms = (took_ms / u64::from(sum.succeeded.max(1))).min(u64::from(u16::MAX)) as u16;
        sum
    }

    /// What was seen before no longer counts.
    pub(super) fn clear(&mut self) {
        self.steps.clear();
    }
}
