//! Checks the four rules of the specification at every event: no lost or duplicate answer, no second run within the
//! window, a safe drain, no overload. A violation is recorded with its time, server and attempt.

use super::Ms;
use super::slow_start::{MeanOver, budget, sustained_concurrency};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Limits used by the rules.
#[derive(Debug, Clone, PartialEq)]
pub struct RuleLimits {
    /// Tolerance after the deadline within which an answer still counts as on time.
    pub slack_ms: Ms,
    /// Requests that arrive later than this after the shutdown notice must not run.
    pub grace_ms: Ms,
    /// Concurrent runs per core, averaged over `overload_window_ms`, above which a warm server fails.
    pub max_concurrency_per_core: f64,
    /// Window of the average in `max_concurrency_per_core`.
    pub overload_window_ms: Ms,
}

impl Default for RuleLimits {
    /// Values of sections 8.1 to 8.3 of the specification.
    fn default() -> Self {
        Self { slack_ms: 100, grace_ms: 1_800, max_concurrency_per_core: 8.0, overload_window_ms: 1_500 }
    }
}

/// Identifies an attempt; assigned by the caller and never reused.
pub type AttemptId = u64;
/// Identifies a server; a restarted server gets a new number.
pub type Server = u32;

/// A violated rule.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Violation {
    /// An attempt that the server read got no final answer in time.
    #[error("lost: no final answer by {due_ms} ms")]
    Lost {
        /// Deadline of the attempt plus `slack_ms`.
        due_ms: Ms,
    },
    /// An attempt got a second final answer.
    #[error("duplicate: a second final answer")]
    #[serde(rename = "Answered")]
    AnsweredTwice,
    /// A keyed request ran twice within its window.
    #[error("duplicate: ran at {before_ms} ms already")]
    #[serde(rename = "Ran")]
    RanTwice {
        /// Arrival of the attempt that ran first.
        before_ms: Ms,
    },
    /// A keyed request was rejected although it had run.
    #[error("duplicate: turned away though it ran at {before_ms} ms")]
    #[serde(rename = "TurnedAway")]
    RejectedAfterRun {
        /// Arrival of the attempt that ran.
        before_ms: Ms,
    },
    /// An attempt ran although it arrived more than `grace_ms` after the shutdown notice.
    #[error("drain: ran though it came {after_ms} ms after the notice")]
    #[serde(rename = "Drain")]
    RanDuringDrain {
        /// Time from the notice to the arrival.
        after_ms: Ms,
    },
    /// Too many concurrent runs for too long, or the memory was full.
    #[error("fall-over: {0}")]
    #[serde(rename = "Fell")]
    Overloaded(String),
    /// A server in slow start ran more requests at once than its budget.
    #[error("slow start: {runs} runs at once, the budget is {limit}")]
    SlowStart {
        /// Concurrent runs.
        runs: u32,
        /// The budget, rounded down.
        #[serde(rename = "most")]
        limit: u32,
    },
}

/// Largest load of servers in slow start, as a fraction of their limits.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct SlowStart {
    /// Events checked on servers in slow start.
    pub events: u64,
    /// Largest number of concurrent runs, as a fraction of the budget at that time.
    #[serde(rename = "most_at_once")]
    pub max_concurrent_fraction: f64,
    /// Largest average of concurrent runs, as a fraction of what the server sustains at that time.
    #[serde(rename = "most_mean")]
    pub max_mean_fraction: f64,
}

/// A violation and where it happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationRecord {
    /// Time of the violation.
    #[serde(rename = "at")]
    pub at_ms: Ms,
    /// Server that violated the rule.
    pub server: Server,
    /// Attempt concerned, if the rule applies to a single attempt.
    #[serde(rename = "request")]
    pub attempt: Option<AttemptId>,
    /// The rule and its figures.
    #[serde(rename = "breach")]
    pub violation: Violation,
}

#[derive(Debug, Clone, Copy)]
struct OpenAttempt {
    server: Server,
    arrived: Ms,
    due: Ms,
    key: Option<(u64, Ms)>,
}

#[derive(Debug)]
struct Machine {
    cores: f64,
    memory_kb: f64,
    /// Fraction of full speed; a server in slow start fails at proportionally fewer runs.
    speed_fraction: f64,
    notice: Option<Ms>,
    running: u32,
    average: MeanOver,
}

/// State of the checks.
#[derive(Debug)]
pub struct RuleChecker {
    limits: RuleLimits,
    machines: HashMap<Server, Machine>,
    /// Attempts that were read and still need an answer.
    unanswered: HashMap<AttemptId, OpenAttempt>,
    /// Finished attempts, and whether a further answer would be a duplicate. One answer that crosses a cancellation
    /// is none.
    finished: HashMap<AttemptId, (OpenAttempt, bool)>,
    dues: BTreeMap<(Ms, AttemptId), ()>,
    /// Arrival of the last attempt that ran for a key at a server, and the window of the key.
    ran: HashMap<(Server, u64), (Ms, Ms)>,
    slow_start: SlowStart,
    violations: Vec<ViolationRecord>,
}

impl RuleChecker {
    /// Creates a checker without servers.
    pub fn new(limits: RuleLimits) -> Self {
        Self {
            limits,
            machines: HashMap::new(),
            unanswered: HashMap::new(),
            finished: HashMap::new(),
            dues: BTreeMap::new(),
            ran: HashMap::new(),
            slow_start: SlowStart::default(),
            violations: Vec::new(),
        }
    }

    /// All violations so far, in order.
    pub fn violations(&self) -> &[ViolationRecord] {
        &self.violations
    }

    /// Load of servers in slow start so far.
    pub fn slow_start(&self) -> SlowStart {
        self.slow_start
    }

    fn record_violation(
        &mut self,
        at_ms: Ms,
        server: Server,
        attempt: Option<AttemptId>,
        violation: Violation,
    ) {
        self.violations.push(ViolationRecord { at_ms, server, attempt, violation });
    }

    /// Records the start of a server.
    pub fn started(&mut self, server: Server, cores: f64, memory_kb: f64) {
        let average = MeanOver::new(self.limits.overload_window_ms);
        let machine = Machine { cores, memory_kb, speed_fraction: 1.0, notice: None, running: 0, average };
        self.machines.insert(server, machine);
    }

    /// Sets the fraction of full speed that a server has, from 0 to 1.
    pub fn speed_fraction(&mut self, server: Server, speed_fraction: f64) {
        if let Some(machine) = self.machines.get_mut(&server) {
            machine.speed_fraction = speed_fraction;
        }
    }

    /// Records the shutdown notice to a server; only the first one counts.
    pub fn shutdown_notice(&mut self, server: Server, at: Ms) {
        if let Some(machine) = self.machines.get_mut(&server) {
            machine.notice.get_or_insert(at);
        }
    }

    /// Records that a server read an attempt that arrived at `arrived`; its client waits until `due`. `key` is the
    /// idempotency key with its window.
    pub fn read(&mut self, server: Server, request: AttemptId, arrived: Ms, due: Ms, key: Option<(u64, Ms)>) {
        self.dues.insert((due.saturating_add(self.limits.slack_ms), request), ());
        self.unanswered.insert(request, OpenAttempt { server, arrived, due, key });
    }

    /// Extends the deadlines of a server whose machine pauses for `for_ms`: the pause is not the server's fault.
    pub fn pauses(&mut self, server: Server, for_ms: Ms) {
        let slack = self.limits.slack_ms;
        for (request, read) in self.unanswered.iter_mut().filter(|(_, read)| read.server == server) {
            self.dues.remove(&(read.due.saturating_add(slack), *request));
            read.due = read.due.saturating_add(for_ms);
            self.dues.insert((read.due.saturating_add(slack), *request), ());
        }
    }

    /// Records that the server learned of the client's cancellation; one answer that crosses it is not a duplicate.
    pub fn cancelled(&mut self, request: AttemptId) {
        self.settle(request, false);
    }

    fn settle(&mut self, request: AttemptId, answered: bool) -> Option<OpenAttempt> {
        let read = self.unanswered.remove(&request)?;
        self.dues.remove(&(read.due.saturating_add(self.limits.slack_ms), request));
        self.finished.insert(request, (read, answered));
        Some(read)
    }

    /// Records a final answer; `turned_away` is true for a rejection, which states that the request never ran.
    pub fn answered(&mut self, request: AttemptId, at: Ms, turned_away: bool) {
        self.advance(at);
        let Some(read) = self.settle(request, true) else {
            if let Some((OpenAttempt { server, .. }, answered)) = self.finished.get_mut(&request) {
                let server = *server;
                if std::mem::replace(answered, true) {
                    self.record_violation(at, server, Some(request), Violation::AnsweredTwice);
                }
            }
            return;
        };
        let run = read.key.and_then(|(key, _)| self.ran.get(&(read.server, key)).copied());
        if let Some((before_ms, _)) = run.filter(|(ran, window)| turned_away && read.arrived < ran + window) {
            self.record_violation(at, read.server, Some(request), Violation::RejectedAfterRun { before_ms });
        }
    }

    /// Records the start of a run.
    pub fn began(&mut self, request: AttemptId, at: Ms) {
        self.advance(at);
        // Runs whose client has gone count as well: they use the cores.
        let finished = || self.finished.get(&request).map(|(read, _)| read);
        let Some(&OpenAttempt { server, arrived, key, .. }) = self.unanswered.get(&request).or_else(finished)
        else {
            return;
        };
        let notice = self.machines.get(&server).and_then(|machine| machine.notice);
        let after_ms = notice.and_then(|notice| arrived.checked_sub(notice)).unwrap_or(0);
        if after_ms > self.limits.grace_ms {
            self.record_violation(at, server, Some(request), Violation::RanDuringDrain { after_ms });
        }
        if let Some((key, window)) = key {
            // The window starts at the arrival of the attempt that ran.
            let before = self.ran.insert((server, key), (arrived, window));
            if let Some((before_ms, _)) = before.filter(|(ran, window)| arrived < ran + window) {
                self.record_violation(at, server, Some(request), Violation::RanTwice { before_ms });
            }
        }
        self.count(server, at, 1);
    }

    /// Records the end of a run.
    pub fn ended(&mut self, server: Server, at: Ms) {
        self.advance(at);
        self.count(server, at, -1);
    }

    fn count(&mut self, server: Server, at: Ms, change: i32) {
        let (span, max_concurrency_per_core) =
            (self.limits.overload_window_ms, self.limits.max_concurrency_per_core);
        let Some(machine) = self.machines.get_mut(&server) else { return };
        machine.running = machine.running.saturating_add_signed(change);
        machine.average.set(at, f64::from(machine.running));
        let (runs, mean) = (machine.running, machine.average.mean(at));
        let limit = sustained_concurrency(machine.cores, max_concurrency_per_core, machine.speed_fraction);
        let (cold, cores) = (machine.speed_fraction < 1.0, machine.cores.max(1e-9));
        let fell = mean > limit;
        if fell {
            machine.average.clear();
        }
        if cold {
            self.check_slow_start_budget(server, at, runs, limit);
            self.slow_start.max_mean_fraction = self.slow_start.max_mean_fraction.max(mean / limit);
        }
        if fell {
            let text = format!("{:.1} running a core in the mean of {span} ms", mean / cores);
            self.record_violation(at, server, None, Violation::Overloaded(text));
        }
    }

    /// Checks the budget of a server in slow start.
    fn check_slow_start_budget(&mut self, server: Server, at: Ms, runs: u32, allowed: f64) {
        let limit = budget(allowed);
        self.slow_start.events += 1;
        self.slow_start.max_concurrent_fraction =
            self.slow_start.max_concurrent_fraction.max(f64::from(runs) / limit);
        if f64::from(runs) > limit {
            self.record_violation(at, server, None, Violation::SlowStart { runs, limit: limit as u32 });
        }
    }

    /// Records the memory used by waiting requests, running requests and idempotency keys.
    pub fn memory(&mut self, server: Server, at: Ms, used_kb: f64) {
        let limit = self.machines.get(&server).map_or(f64::INFINITY, |machine| machine.memory_kb);
        if used_kb > limit {
            self.record_violation(
                at,
                server,
                None,
                Violation::Overloaded(format!("{used_kb:.0} kB of memory, there are {limit:.0}")),
            );
        }
    }

    /// Records the end of a server. Its open attempts are lost, unless the machine died: a dead machine can't
    /// answer, and that violates no rule.
    pub fn stopped(&mut self, server: Server, at: Ms, died: bool) {
        self.advance(at);
        let mut open: Vec<AttemptId> = Vec::new();
        open.extend(
            self.unanswered.iter().filter(|(_, read)| read.server == server).map(|(request, _)| *request),
        );
        open.sort_unstable();
        for request in open {
            let due_ms = self.settle(request, false).map_or(at, |read| read.due);
            if !died {
                self.record_violation(at, server, Some(request), Violation::Lost { due_ms });
            }
        }
        self.machines.remove(&server);
        self.ran.retain(|(at, _), _| *at != server);
    }

    /// Advances the time: attempts whose deadline has passed without an answer are lost.
    pub fn advance(&mut self, now: Ms) {
        while let Some((&(due_ms, request), ())) = self.dues.first_key_value() {
            if due_ms >= now {
                return;
            }
            let server = self.settle(request, false).map_or(0, |read| read.server);
            self.dues.remove(&(due_ms, request));
            self.record_violation(due_ms, server, Some(request), Violation::Lost { due_ms });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WINDOW: Ms = 12_075;

    fn rules() -> RuleChecker {
        let mut rules = RuleChecker::new(RuleLimits::default());
        rules.started(1, 6.0, 1_000.0);
        rules
    }

    fn violations_of(rules: &RuleChecker) -> Vec<(Ms, Option<AttemptId>, Violation)> {
        rules
            .violations()
            .iter()
            .map(|record| (record.at_ms, record.attempt, record.violation.clone()))
            .collect()
    }

    /// Guards against false alarms.
    #[test]
    fn valid_behaviour_causes_no_violation() {
        let mut rules = rules();
        rules.read(1, 1, 0, 4_000, Some((7, WINDOW)));
        rules.began(1, 10);
        rules.ended(1, 200);
        rules.answered(1, 200, false);
        // A repeat is answered from the stored result, runs again after the window, and needs no answer after a
        // cancellation.
        rules.read(1, 2, 5_000, 9_000, Some((7, WINDOW)));
        rules.answered(2, 5_001, false);
        rules.read(1, 3, WINDOW, WINDOW + 4_000, Some((7, WINDOW)));
        rules.began(3, WINDOW + 1);
        rules.cancelled(3);
        rules.ended(1, WINDOW + 9_000);
        // During the drain, requests that arrived within the grace period may run; later ones are rejected.
        rules.shutdown_notice(1, 30_000);
        rules.read(1, 4, 31_800, 35_000, None);
        rules.began(4, 31_900);
        rules.ended(1, 32_000);
        rules.answered(4, 32_000, false);
        rules.read(1, 5, 31_801, 35_000, None);
        rules.answered(5, 31_802, true);
        rules.stopped(1, 33_000, false);
        rules.advance(90_000);
        assert_eq!(violations_of(&rules), []);
    }

    /// Guards against a rule that is not checked: each is violated once and reported with its time and attempt.
    #[test]
    fn each_rule_violation_is_detected() {
        let mut lost = rules();
        lost.read(1, 1, 0, 4_000, None);
        lost.advance(4_100);
        assert_eq!(violations_of(&lost), []);
        lost.advance(4_101);
        assert_eq!(violations_of(&lost), [(4_100, Some(1), Violation::Lost { due_ms: 4_100 })]);

        // A pause of the machine extends the deadline.
        let mut paused = rules();
        paused.read(1, 1, 0, 4_000, None);
        paused.pauses(1, 500);
        paused.advance(4_600);
        assert_eq!(violations_of(&paused), []);
        paused.advance(4_601);
        assert_eq!(violations_of(&paused), [(4_600, Some(1), Violation::Lost { due_ms: 4_600 })]);

        let mut twice = rules();
        twice.read(1, 1, 0, 4_000, None);
        twice.answered(1, 5, false);
        twice.answered(1, 6, false);
        assert_eq!(violations_of(&twice), [(6, Some(1), Violation::AnsweredTwice)]);

        // The first answer that crosses a cancellation is allowed, a second one is a duplicate.
        let mut crossed = rules();
        crossed.read(1, 1, 0, 4_000, None);
        crossed.cancelled(1);
        crossed.answered(1, 5, false);
        assert_eq!(violations_of(&crossed), []);
        crossed.answered(1, 6, false);
        assert_eq!(violations_of(&crossed), [(6, Some(1), Violation::AnsweredTwice)]);

        let mut ran = rules();
        for request in [1, 2] {
            ran.read(1, request, request * 1_000, 9_000, Some((7, WINDOW)));
            ran.began(request, request * 1_000);
        }
        ran.read(1, 3, 3_000, 9_000, Some((7, WINDOW)));
        ran.answered(3, 3_001, true);
        assert_eq!(
            violations_of(&ran),
            [
                (2_000, Some(2), Violation::RanTwice { before_ms: 1_000 }),
                (3_001, Some(3), Violation::RejectedAfterRun { before_ms: 2_000 })
            ]
        );

        let mut drain = rules();
        drain.shutdown_notice(1, 1_000);
        drain.read(1, 1, 2_801, 6_000, None);
        drain.began(1, 2_802);
        drain.stopped(1, 3_000, false);
        assert_eq!(
            violations_of(&drain),
            [
                (2_802, Some(1), Violation::RanDuringDrain { after_ms: 1_801 }),
                (3_000, Some(1), Violation::Lost { due_ms: 6_000 })
            ]
        );

        let mut full = rules();
        full.memory(1, 5, 1_000.0);
        full.memory(1, 6, 1_000.5);
        assert!(matches!(violations_of(&full)[..], [(6, None, Violation::Overloaded(_))]));
    }

    /// Guards against an average that a short burst exceeds, and against one that a sustained overload doesn't.
    #[test]
    fn sustained_overload_fails_and_a_burst_does_not() {
        let crowd = |runs: u64, ms: Ms| {
            let mut rules = rules();
            for request in 0..runs {
                rules.read(1, request, 0, 90_000, None);
                rules.began(request, 0);
            }
            for request in 0..runs {
                rules.ended(1, ms);
                rules.answered(request, ms, false);
            }
            rules.violations().len()
        };
        // With six cores the limit is 48 concurrent runs.
        assert_eq!([crowd(48, 5_000), crowd(60, 1_000), crowd(60, 1_500)], [0, 0, 1]);
    }

    /// Guards against violations that are charged to a machine that died.
    #[test]
    fn a_dead_machine_violates_no_rule() {
        let mut rules = rules();
        rules.read(1, 1, 0, 4_000, None);
        rules.stopped(1, 100, true);
        rules.advance(9_000);
        assert_eq!(violations_of(&rules), []);
    }
}
