//! Results besides the service report: counters for each second, totals, and traces of attempts.

use super::{AttemptReply, Event, MS, S, World};
use crate::queue::{At, Queue};
use crate::scenario::Scenario;
use crate::service_report::rules::{SlowStart, ViolationRecord};
use crate::service_report::service::{Report, Sum};
use serde::{Deserialize, Serialize};

/// Counters of the whole fleet for one second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Concurrent runs at the end of the second.
    pub running: u64,
    /// Requests at the servers that are waiting or not read yet, at the end of the second.
    pub waiting: u64,
    /// Servers that are up.
    pub up: u64,
    /// First attempts.
    pub asked: u64,
    /// All attempts.
    pub tries: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Attempts rejected by a server.
    pub refused: u64,
    /// Attempts failed by a server.
    pub failed: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Requests not sent because of a Retry-After.
    pub away: u64,
    /// Requests not sent because their precedence was below the server's threshold.
    pub below_level: u64,
    /// Requests not sent because no listed server was left.
    pub exhausted: u64,
    /// Requests given up.
    pub given_up: u64,
}

/// Results of each second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Course {
    /// Counters of the fleet.
    pub seconds: Vec<Second>,
    /// Priority weight requested and earned by the first attempts of each second, by class.
    pub classes: Vec<Vec<Sum>>,
    /// Same by tenant.
    #[serde(rename = "offices")]
    pub tenants: Vec<Vec<Sum>>,
}

/// Answer to an attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// No answer was sent.
    #[default]
    Open,
    /// A result.
    Served,
    /// A rejection.
    Refused,
    /// An error.
    Failed,
}

impl AttemptOutcome {
    pub(super) fn of(got: &AttemptReply) -> Self {
        match got {
            AttemptReply::Served(_) => Self::Served,
            AttemptReply::Refused { .. } => Self::Refused,
            _ => Self::Failed,
        }
    }
}

/// Times of an attempt, in nanoseconds from the start of the scenario.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptTrace {
    /// Index of the request.
    pub request: u32,
    /// Machine that the attempt was sent to.
    pub machine: u32,
    /// Sent by the client proxy.
    pub sent: At,
    /// Arrived at the machine.
    #[serde(rename = "came")]
    pub arrived: Option<At>,
    /// Read by the server.
    pub read: Option<At>,
    /// Started to run.
    #[serde(rename = "began")]
    pub started: Option<At>,
    /// Run ended.
    pub ended: Option<At>,
    /// Answered by the server.
    pub answered: Option<At>,
    /// Kind of answer.
    #[serde(rename = "got")]
    pub outcome: AttemptOutcome,
}

impl AttemptTrace {
    pub(super) fn sent(request: u32, machine: u32, now: At) -> Self {
        Self { request, machine, sent: now, ..Self::default() }
    }
}

/// Result of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Seed of the scenario.
    pub seed: u64,
    /// Service report.
    pub report: Report,
    /// Rule violations.
    #[serde(rename = "broken")]
    pub violations: Vec<ViolationRecord>,
    /// Load of servers in slow start, relative to their budget.
    #[serde(default)]
    pub slow_start: SlowStart,
    /// Number of events handled.
    pub events: u64,
    /// Totals of the scenario; `running`, `waiting` and `up` are maxima.
    pub total: Second,
    /// Retries and hedged requests among the attempts.
    pub retries: u64,
    /// Nodes that exceeded the step limit at one point in time: milliseconds and machine. Expected to be empty.
    #[serde(rename = "restless")]
    pub unsettled: Vec<(u64, usize)>,
    /// Results of each second.
    pub course: Course,
    /// Trace of each attempt, if recorded.
    #[serde(skip)]
    pub traces: Vec<AttemptTrace>,
}

/// Counters kept while a scenario is played.
#[derive(Debug)]
pub(super) struct Counters {
    /// Counters of the current second.
    pub now: Second,
    total: Second,
    retries: u64,
    pub unsettled: Vec<(u64, usize)>,
    seconds: Vec<Second>,
}

impl Counters {
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
    /// Closes the current second and plans the next.
    pub(super) fn second(&mut self, number: u32) {
        self.close_second();
        self.rules.advance(self.now / MS);
        if self.now < self.end() {
            self.queue.push(self.now + S, Event::Second(number + 1));
        }
    }

    fn close_second(&mut self) {
        let running: usize = self.machines.iter().filter(|m| m.up).map(|m| m.cores.running()).sum();
        let there: usize = self.machines.iter().filter(|m| m.up).map(|m| m.at.len()).sum();
        let up = self.machines.iter().filter(|machine| machine.up).count();
        self.counters.close(running as u64, there.saturating_sub(running) as u64, up as u64);
    }

    pub(super) fn trace(&mut self, make: impl FnOnce(At) -> AttemptTrace) {
        let now = self.now;
        if let Some(traces) = &mut self.traces {
            traces.push(make(now));
        }
    }

    pub(super) fn update_trace(&mut self, id: u32, change: impl FnOnce(&mut AttemptTrace, At)) {
        let now = self.now;
        if let Some(trace) = self.traces.as_mut().and_then(|traces| traces.get_mut(id as usize)) {
            change(trace, now);
        }
    }

    /// Computes the result.
    pub(super) fn finish(mut self) -> Outcome {
        self.rules.advance(self.now / MS + 1_000);
        self.close_second();
        // Reading is work too; it is of use only for attempts that brought a result.
        let useless = self.reads.saturating_sub(self.counters.total.served);
        self.service.wasted(useless as f64 * self.read_s * 1e3);
        let (classes, tenants) = self.service.seconds();
        Outcome {
            seed: self.scenario.seed,
            report: self.service.report(),
            violations: self.rules.violations().to_vec(),
            slow_start: self.rules.slow_start(),
            events: self.events,
            total: self.counters.total,
            retries: self.counters.retries,
            unsettled: self.counters.unsettled,
            course: Course { seconds: self.counters.seconds, classes, tenants },
            traces: self.traces.unwrap_or_default(),
        }
    }
}
