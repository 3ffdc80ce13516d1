//! What is kept of a day beside the account: the course of each second, counts, and the stories of tries.

use super::{Event, Got, MS, S, World};
use crate::queue::{At, Queue};
use crate::scenario::Scenario;
use crate::service_report::rules::{SlowStart, ViolationRecord};
use crate::service_report::service::{Report, Sum};
use serde::{Deserialize, Serialize};

/// A second of the whole fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Runs, and requests that were read or wait to be read, as it ends.
    pub running: u64,
    /// See `running`.
    pub waiting: u64,
    /// Servers that are up.
    pub up: u64,
    /// First tries, all tries, and requests answered with a result.
    pub asked: u64,
    /// See `asked`.
    pub tries: u64,
    /// See `asked`.
    pub served: u64,
    /// Tries that came to nothing: turned away by a server, failed by one, timed out.
    pub refused: u64,
    /// See `refused`.
    pub failed: u64,
    /// See `refused`.
    pub timed_out: u64,
    /// What client proxies didn't send: to be stayed away from, below the level, no server left.
    pub away: u64,
    /// See `away`.
    pub below_level: u64,
    /// See `away`.
    pub exhausted: u64,
    /// Requests given up.
    pub given_up: u64,
}

/// A day's course, second by second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Course {
    /// Of the fleet.
    pub seconds: Vec<Second>,
    /// Worth asked for and earned by first tries of each second: by class, and by office.
    pub classes: Vec<Vec<Sum>>,
    /// See `classes`.
    #[serde(rename = "offices")]
    pub tenants: Vec<Vec<Sum>>,
}

/// What became of a try, for a story.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// No answer was sent.
    #[default]
    Open,
    /// Served.
    Served,
    /// Turned away.
    Refused,
    /// Failed.
    Failed,
}

impl AttemptOutcome {
    pub(super) fn of(got: &Got) -> Self {
        match got {
            Got::Served(_) => Self::Served,
            Got::Refused { .. } => Self::Refused,
            _ => Self::Failed,
        }
    }
}

/// A try's life: nanoseconds from the day's beginning.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptTrace {
    /// Its request and its machine.
    pub request: u32,
    /// See `request`.
    pub machine: u32,
    /// Sent by its client proxy.
    pub sent: At,
    /// At the machine, read, begun, ended, answered.
    #[serde(rename = "came")]
    pub arrived: Option<At>,
    /// See `came`.
    pub read: Option<At>,
    /// See `came`.
    #[serde(rename = "began")]
    pub started: Option<At>,
    /// See `came`.
    pub ended: Option<At>,
    /// See `came`.
    pub answered: Option<At>,
    /// With what.
    #[serde(rename = "got")]
    pub outcome: AttemptOutcome,
}

impl AttemptTrace {
    pub(super) fn sent(request: u32, machine: u32, now: At) -> Self {
        Self { request, machine, sent: now, ..Self::default() }
    }
}

/// What a day came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The day's seed.
    pub seed: u64,
    /// The account.
    pub report: Report,
    /// Rules that were broken.
    #[serde(rename = "broken")]
    pub violations: Vec<ViolationRecord>,
    /// What cold servers were given, beside their budget.
    #[serde(default)]
    pub slow_start: SlowStart,
    /// Events that were played.
    pub events: u64,
    /// Totals of the whole day.
    pub total: Second,
    /// Further tries and second copies among the tries.
    pub retries: u64,
    /// Machines whose server never came to rest at one moment, with the time in ms. There are none.
    #[serde(rename = "restless")]
    pub unsettled: Vec<(u64, usize)>,
    /// Second by second.
    pub course: Course,
    /// Each try's life, where that was asked for.
    #[serde(skip)]
    pub traces: Vec<AttemptTrace>,
}

/// What is counted while a day is played.
#[derive(Debug)]
pub(super) struct Watch {
    /// Counts of the second that goes on.
    pub now: Second,
    total: Second,
    retries: u64,
    pub unsettled: Vec<(u64, usize)>,
    seconds: Vec<Second>,
}

impl Watch {
    pub fn new(scenario: &Scenario) -> Self {
        let seconds = Vec::with_capacity(scenario.seconds as usize + 8);
        Self { now: Second::default(), total: Second::default(), retries: 0, unsettled: Vec::new(), seconds }
    }

    pub fn tried(&mut self, again: bool) {
        self.now.tries += 1;
        self.retries += u64::from(again);
    }

    fn close(&mut self, running: u64, waiting: u64, up: u64) {
        let second = Second { running, waiting, up, ..std::mem::take(&mut self.now) };
        let total = &mut self.total;
        total.running = total.running.max(running);
        total.waiting = total.waiting.max(waiting);
        total.up = total.up.max(up);
        total.asked += second.asked;
        total.tries += second.tries;
        total.served += second.served;
        total.refused += second.refused;
        total.failed += second.failed;
        total.timed_out += second.timed_out;
        total.away += second.away;
        total.below_level += second.below_level;
        total.exhausted += second.exhausted;
        total.given_up += second.given_up;
        self.seconds.push(second);
    }
}

impl World {
    /// A second has passed.
    pub(super) fn second(&mut self, number: u32) {
        self.close_second();
        self.rules.pass(self.now / MS);
        if self.now < self.end() {
            self.queue.push(self.now + S, Event::Second(number + 1));
        }
    }

    fn close_second(&mut self) {
        let running: usize = self.machines.iter().filter(|m| m.up).map(|m| m.cores.running()).sum();
        let there: usize = self.machines.iter().filter(|m| m.up).map(|m| m.at.len()).sum();
        let up = self.machines.iter().filter(|machine| machine.up).count();
        self.watch.close(running as u64, there.saturating_sub(running) as u64, up as u64);
    }

    pub(super) fn trace(&mut self, make: impl FnOnce(At) -> AttemptTrace) {
        let now = self.now;
        if let Some(traces) = &mut self.traces {
            traces.push(make(now));
        }
    }

    pub(super) fn tell(&mut self, id: u32, change: impl FnOnce(&mut AttemptTrace, At)) {
        let now = self.now;
        if let Some(trace) = self.traces.as_mut().and_then(|traces| traces.get_mut(id as usize)) {
            change(trace, now);
        }
    }

    /// Closes the books.
    pub(super) fn finish(mut self) -> Outcome {
        self.rules.pass(self.now / MS + 1_000);
        self.close_second();
        // Reading is work too; only that of the tries which brought an answer was of use.
        let useless = self.reads.saturating_sub(self.watch.total.served);
        self.service.wasted(useless as f64 * self.read_s * 1e3);
        let (classes, tenants) = self.service.seconds();
        Outcome {
            seed: self.scenario.seed,
            report: self.service.report(),
            violations: self.rules.violations().to_vec(),
            slow_start: self.rules.slow_start(),
            events: self.events,
            total: self.watch.total,
            retries: self.watch.retries,
            unsettled: self.watch.unsettled,
            course: Course { seconds: self.watch.seconds, classes, tenants },
            traces: self.traces.unwrap_or_default(),
        }
    }
}
