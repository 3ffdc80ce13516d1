//! The four rules of the brief, checked at every event: no request lost or answered twice, no second run within a window,
//! a safe drain, no fall-over. A broken one is told with its time, its server and its request.

use super::Ms;
use super::slow_start::{MeanOver, budget, survived};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// The figures of the rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// An answer may be so late.
    pub slack_ms: Ms,
    /// Arrivals later than this after the notice to leave are not run.
    pub grace_ms: Ms,
    /// Running requests a core, in the mean of a span, past which a warm server falls over; and the span.
    pub tip: f64,
    /// See `tip`.
    pub span_ms: Ms,
}

impl Default for Figures {
    /// Those of the brief, 8.1 to 8.3.
    fn default() -> Self {
        Self { slack_ms: 100, grace_ms: 1_800, tip: 8.0, span_ms: 1_500 }
    }
}

/// A try of a request, as whoever tells of it names it; never used again.
pub type Try = u64;
/// A server; one that is replaced is another.
pub type Server = u32;

/// Which rule, and how it was broken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Violation {
    /// A try that was read got no final answer in its time.
    #[error("lost: no final answer by {due_ms} ms")]
    Lost {
        /// When it was due, with the slack.
        due_ms: Ms,
    },
    /// It got two.
    #[error("duplicate: a second final answer")]
    Answered,
    /// A keyed request ran twice within its window.
    #[error("duplicate: ran at {before_ms} ms already")]
    Ran {
        /// When the first run began.
        before_ms: Ms,
    },
    /// A keyed request was turned away though it had run.
    #[error("duplicate: turned away though it ran at {before_ms} ms")]
    TurnedAway {
        /// When the run began.
        before_ms: Ms,
    },
    /// A try that came too late after the notice to leave was run.
    #[error("drain: ran though it came {after_ms} ms after the notice")]
    Drain {
        /// How long after.
        after_ms: Ms,
    },
    /// Too much ran for too long, or the memory was full.
    #[error("fall-over: {0}")]
    Fell(String),
    /// A cold server was given more at once than its budget.
    #[error("slow start: {runs} runs at once, the budget is {most}")]
    SlowStart {
        /// How many.
        runs: u32,
        /// The whole part of the budget.
        most: u32,
    },
}

/// What cold servers had on their cores, beside what they may have there.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct SlowStart {
    /// Events at which a cold server was looked at.
    pub events: u64,
    /// The most runs at once, as a part of the budget then.
    #[serde(rename = "most_at_once")]
    pub max_concurrent_fraction: f64,
    /// The most in the mean of the span, as a part of what is survived then.
    #[serde(rename = "most_mean")]
    pub max_mean_fraction: f64,
}

/// A breach with its place in the day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationRecord {
    /// When.
    #[serde(rename = "at")]
    pub at_ms: Ms,
    /// Where.
    pub server: Server,
    /// Which try, if one.
    #[serde(rename = "request")]
    pub attempt: Option<Try>,
    /// How.
    #[serde(rename = "breach")]
    pub violation: Violation,
}

#[derive(Debug, Clone, Copy)]
struct Read {
    server: Server,
    came: Ms,
    due: Ms,
    key: Option<(u64, Ms)>,
}

#[derive(Debug)]
struct Machine {
    cores: f64,
    memory_kb: f64,
    /// The part of its speed that it has: a cold one falls over with so much fewer.
    warmth: f64,
    notice: Option<Ms>,
    running: u32,
    course: MeanOver,
}

/// What was told so far.
#[derive(Debug)]
pub struct RuleChecker {
    figures: Figures,
    machines: HashMap<Server, Machine>,
    /// Tries that were read and are owed an answer, and those that may still get a second one.
    owed: HashMap<Try, Read>,
    /// Tries that are owed nothing any more, and whether an answer to them does harm: one that crosses a cancel doesn't.
    over: HashMap<Try, (Read, bool)>,
    dues: BTreeMap<(Ms, Try), ()>,
    /// When a key ran last at a server, and its window.
    ran: HashMap<(Server, u64), (Ms, Ms)>,
    slow_start: SlowStart,
    violations: Vec<ViolationRecord>,
}

impl RuleChecker {
    /// With these figures.
    pub fn new(figures: Figures) -> Self {
        Self {
            figures,
            machines: HashMap::new(),
            owed: HashMap::new(),
            over: HashMap::new(),
            dues: BTreeMap::new(),
            ran: HashMap::new(),
            slow_start: SlowStart::default(),
            violations: Vec::new(),
        }
    }

    /// All breaches so far, in their order.
    pub fn violations(&self) -> &[ViolationRecord] {
        &self.violations
    }

    /// What cold servers had so far.
    pub fn slow_start(&self) -> SlowStart {
        self.slow_start
    }

    fn record_violation(&mut self, at: Ms, server: Server, request: Option<Try>, violation: Violation) {
        self.violations.push(ViolationRecord { at_ms: at, server, attempt: request, violation });
    }

    /// A server has started.
    pub fn started(&mut self, server: Server, cores: f64, memory_kb: f64) {
        let course = MeanOver::new(self.figures.span_ms);
        let machine = Machine { cores, memory_kb, warmth: 1.0, notice: None, running: 0, course };
        self.machines.insert(server, machine);
    }

    /// How warm it is, from 0 to 1.
    pub fn warmth(&mut self, server: Server, warmth: f64) {
        if let Some(machine) = self.machines.get_mut(&server) {
            machine.warmth = warmth;
        }
    }

    /// It was told to leave.
    pub fn told_to_leave(&mut self, server: Server, at: Ms) {
        if let Some(machine) = self.machines.get_mut(&server) {
            machine.notice.get_or_insert(at);
        }
    }

    /// It has read a try that came then, whose caller waits until `due`; with its key and its window, if it has one.
    pub fn read(&mut self, server: Server, request: Try, came: Ms, due: Ms, key: Option<(u64, Ms)>) {
        self.dues.insert((due.saturating_add(self.figures.slack_ms), request), ());
        self.owed.insert(request, Read { server, came, due, key });
    }

    /// A server's machine pauses for so long from now on: that is not counted against it.
    pub fn pauses(&mut self, server: Server, for_ms: Ms) {
        let slack = self.figures.slack_ms;
        for (request, read) in self.owed.iter_mut().filter(|(_, read)| read.server == server) {
            self.dues.remove(&(read.due.saturating_add(slack), *request));
            read.due = read.due.saturating_add(for_ms);
            self.dues.insert((read.due.saturating_add(slack), *request), ());
        }
    }

    /// The server was told that nobody waits any more: one answer that crosses that does no harm.
    pub fn gone(&mut self, request: Try) {
        self.settle(request, false);
    }

    fn settle(&mut self, request: Try, answered: bool) -> Option<Read> {
        let read = self.owed.remove(&request)?;
        self.dues.remove(&(read.due.saturating_add(self.figures.slack_ms), request));
        self.over.insert(request, (read, answered));
        Some(read)
    }

    /// It gave a final answer; `ran` says whether that is the word that it was never run.
    pub fn answered(&mut self, request: Try, at: Ms, turned_away: bool) {
        self.pass(at);
        let Some(read) = self.settle(request, true) else {
            if let Some((Read { server, .. }, answered)) = self.over.get_mut(&request) {
                let server = *server;
                if std::mem::replace(answered, true) {
                    self.record_violation(at, server, Some(request), Violation::Answered);
                }
            }
            return;
        };
        let run = read.key.and_then(|(key, _)| self.ran.get(&(read.server, key)).copied());
        if let Some((before_ms, _)) = run.filter(|(ran, window)| turned_away && read.came < ran + window) {
            self.record_violation(at, read.server, Some(request), Violation::TurnedAway { before_ms });
        }
    }

    /// A run began.
    pub fn began(&mut self, request: Try, at: Ms) {
        self.pass(at);
        // Also one that nobody waits for any more: it takes its part of the cores.
        let over = || self.over.get(&request).map(|(read, _)| read);
        let Some(&Read { server, came, key, .. }) = self.owed.get(&request).or_else(over) else { return };
        let notice = self.machines.get(&server).and_then(|machine| machine.notice);
        let after_ms = notice.and_then(|notice| came.checked_sub(notice)).unwrap_or(0);
        if after_ms > self.figures.grace_ms {
            self.record_violation(at, server, Some(request), Violation::Drain { after_ms });
        }
        if let Some((key, window)) = key {
            // The window counts from when the try that ran came.
            let before = self.ran.insert((server, key), (came, window));
            if let Some((before_ms, _)) = before.filter(|(ran, window)| came < ran + window) {
                self.record_violation(at, server, Some(request), Violation::Ran { before_ms });
            }
        }
        self.count(server, at, 1);
    }

    /// A run ended.
    pub fn ended(&mut self, server: Server, at: Ms) {
        self.pass(at);
        self.count(server, at, -1);
    }

    fn count(&mut self, server: Server, at: Ms, change: i32) {
        let (span, tip) = (self.figures.span_ms, self.figures.tip);
        let Some(machine) = self.machines.get_mut(&server) else { return };
        machine.running = machine.running.saturating_add_signed(change);
        machine.course.set(at, f64::from(machine.running));
        let (runs, mean) = (machine.running, machine.course.mean(at));
        let most = survived(machine.cores, tip, machine.warmth);
        let (cold, cores) = (machine.warmth < 1.0, machine.cores.max(1e-9));
        let fell = mean > most;
        if fell {
            machine.course.clear();
        }
        if cold {
            self.looked_at_cold(server, at, runs, most);
            self.slow_start.max_mean_fraction = self.slow_start.max_mean_fraction.max(mean / most);
        }
        if fell {
            let text = format!("{:.1} running a core in the mean of {span} ms", mean / cores);
            self.record_violation(at, server, None, Violation::Fell(text));
        }
    }

    /// The budget of a server in slow start, at each event there.
    fn looked_at_cold(&mut self, server: Server, at: Ms, runs: u32, allowed: f64) {
        let most = budget(allowed);
        self.slow_start.events += 1;
        self.slow_start.max_concurrent_fraction =
            self.slow_start.max_concurrent_fraction.max(f64::from(runs) / most);
        if f64::from(runs) > most {
            self.record_violation(at, server, None, Violation::SlowStart { runs, most: most as u32 });
        }
    }

    /// What it holds, runs and remembers takes so much memory now.
    pub fn memory(&mut self, server: Server, at: Ms, used_kb: f64) {
        let most = self.machines.get(&server).map_or(f64::INFINITY, |machine| machine.memory_kb);
        if used_kb > most {
            self.record_violation(
                at,
                server,
                None,
                Violation::Fell(format!("{used_kb:.0} kB of memory, there are {most:.0}")),
            );
        }
    }

    /// It is gone: whatever it owed by itself is lost with it, unless it died (a machine that dies answers nothing, and
    /// that breaks no rule).
    pub fn stopped(&mut self, server: Server, at: Ms, died: bool) {
        self.pass(at);
        let mut open: Vec<Try> = Vec::new();
        open.extend(self.owed.iter().filter(|(_, read)| read.server == server).map(|(request, _)| *request));
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

    /// Time has passed: what was due before and is still owed is lost.
    pub fn pass(&mut self, now: Ms) {
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
        let mut rules = RuleChecker::new(Figures::default());
        rules.started(1, 6.0, 1_000.0);
        rules
    }

    fn violations_of(rules: &RuleChecker) -> Vec<(Ms, Option<Try>, Violation)> {
        rules
            .violations()
            .iter()
            .map(|record| (record.at_ms, record.attempt, record.violation.clone()))
            .collect()
    }

    /// Guards against a checker that sees breaches where there are none.
    #[test]
    fn what_keeps_the_rules_breaks_none() {
        let mut rules = rules();
        rules.read(1, 1, 0, 4_000, Some((7, WINDOW)));
        rules.began(1, 10);
        rules.ended(1, 200);
        rules.answered(1, 200, false);
        // A repeat is answered from the run; one past the window runs; a caller that left is owed nothing.
        rules.read(1, 2, 5_000, 9_000, Some((7, WINDOW)));
        rules.answered(2, 5_001, false);
        rules.read(1, 3, WINDOW, WINDOW + 4_000, Some((7, WINDOW)));
        rules.began(3, WINDOW + 1);
        rules.gone(3);
        rules.ended(1, WINDOW + 9_000);
        // The drain: what came within the grace may run, later ones are turned away.
        rules.told_to_leave(1, 30_000);
        rules.read(1, 4, 31_800, 35_000, None);
        rules.began(4, 31_900);
        rules.ended(1, 32_000);
        rules.answered(4, 32_000, false);
        rules.read(1, 5, 31_801, 35_000, None);
        rules.answered(5, 31_802, true);
        rules.stopped(1, 33_000, false);
        rules.pass(90_000);
        assert_eq!(violations_of(&rules), []);
    }

    /// Guards against a rule that nobody checks: each is broken on purpose, and told with its time and its try.
    #[test]
    fn each_rule_broken_on_purpose_is_caught() {
        let mut lost = rules();
        lost.read(1, 1, 0, 4_000, None);
        lost.pass(4_100);
        assert_eq!(violations_of(&lost), []);
        lost.pass(4_101);
        assert_eq!(violations_of(&lost), [(4_100, Some(1), Violation::Lost { due_ms: 4_100 })]);

        // A pause of the machine is not the server's.
        let mut paused = rules();
        paused.read(1, 1, 0, 4_000, None);
        paused.pauses(1, 500);
        paused.pass(4_600);
        assert_eq!(violations_of(&paused), []);
        paused.pass(4_601);
        assert_eq!(violations_of(&paused), [(4_600, Some(1), Violation::Lost { due_ms: 4_600 })]);

        let mut twice = rules();
        twice.read(1, 1, 0, 4_000, None);
        twice.answered(1, 5, false);
        twice.answered(1, 6, false);
        assert_eq!(violations_of(&twice), [(6, Some(1), Violation::Answered)]);

        // An answer that crosses a cancel does no harm, a second one does.
        let mut crossed = rules();
        crossed.read(1, 1, 0, 4_000, None);
        crossed.gone(1);
        crossed.answered(1, 5, false);
        assert_eq!(violations_of(&crossed), []);
        crossed.answered(1, 6, false);
        assert_eq!(violations_of(&crossed), [(6, Some(1), Violation::Answered)]);

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
                (2_000, Some(2), Violation::Ran { before_ms: 1_000 }),
                (3_001, Some(3), Violation::TurnedAway { before_ms: 2_000 })
            ]
        );

        let mut drain = rules();
        drain.told_to_leave(1, 1_000);
        drain.read(1, 1, 2_801, 6_000, None);
        drain.began(1, 2_802);
        drain.stopped(1, 3_000, false);
        assert_eq!(
            violations_of(&drain),
            [
                (2_802, Some(1), Violation::Drain { after_ms: 1_801 }),
                (3_000, Some(1), Violation::Lost { due_ms: 6_000 })
            ]
        );

        let mut full = rules();
        full.memory(1, 5, 1_000.0);
        full.memory(1, 6, 1_000.5);
        assert!(matches!(violations_of(&full)[..], [(6, None, Violation::Fell(_))]));
    }

    /// Guards against a mean that a short burst tips, and against one that a long crowd doesn't.
    #[test]
    fn a_crowd_falls_over_after_its_span_and_a_burst_does_not() {
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
        // Six cores: 48 running at once are the limit.
        assert_eq!([crowd(48, 5_000), crowd(60, 1_000), crowd(60, 1_500)], [0, 0, 1]);
    }

    /// A machine that dies answers nothing, and what it had read breaks no rule.
    #[test]
    fn a_death_is_no_breach() {
        let mut rules = rules();
        rules.read(1, 1, 0, 4_000, None);
        rules.stopped(1, 100, true);
        rules.pass(9_000);
        assert_eq!(violations_of(&rules), []);
    }
}
