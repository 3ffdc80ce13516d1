//! Whether what lies below answers: servers share evidence with its age, and each forms its own judgement of it.
//!
//! The own evidence comes first. What others saw closes a door here only if several of them saw it lately, none saw it
//! answer, and nothing is known here; so one server whose own network is ill convinces nobody, and one for which the
//! dependency works goes on. What is closed is probed at a rate that is the fleet's, and opens in steps.

use crate::MS;
use gradepin_decisions::{Outcome, Span, Time, after};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What evidence covers, and in which steps it moves on.
pub const WINDOW: Span = Span(5_000 * MS);
const STEP: Span = Span(250 * MS);
/// Evidence of others counts for so long.
const FRESH: Span = Span(3_000 * MS);
/// Calls without one that went well before it counts as dead.
const ENOUGH: u16 = 4;
/// Others that must have seen it dead, where nothing is known here.
const OBSERVERS: usize = 3;
/// The part of calls that are made while a door opens, in eighths, a step each time that enough went well.
const OPENING: [u32; 3] = [1, 2, 4];
const OPENS_EVERY: Span = Span(500 * MS);
/// A door that had to be closed again while it opened stays closed for so long, doubled each time up to a bound, unless
/// an own probe goes well.
const AGAIN: Span = Span(1_000 * MS);
const MOST_AGAIN: Span = Span(16_000 * MS);

/// What one server saw of a dependency within the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evidence {
    /// Calls that ended well.
    pub good: u16,
    /// Calls that were refused, lost or failed.
    pub failed: u16,
    /// Calls that were given up without an answer.
    pub late: u16,
    /// The mean time of those that ended well, in ms.
    pub mean_ms: u16,
}

impl Evidence {
    /// Whether it looks dead from there: enough calls, and none went well.
    pub fn is_dead(&self) -> bool {
        self.good == 0 && self.failed.saturating_add(self.late) >= ENOUGH
    }
}

/// Others' evidence taken together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Others {
    /// Servers for which it answered lately.
    pub good: usize,
    /// Servers for which it looked dead.
    pub dead: usize,
}

impl Others {
    /// One more server's evidence, of this age.
    pub fn add(&mut self, evidence: &Evidence, age: Span) {
        if age > FRESH {
            return;
        }
        if evidence.good > 0 {
            self.good += 1;
        } else if evidence.is_dead() {
            self.dead += 1;
        }
    }
}

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Call,
    /// It is a probe: one of the few that a closed door lets through.
    Probe,
    /// It may not.
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Door {
    Open,
    /// Since when, and when the next probe may be made.
    Closed {
        since: Time,
        probe: Time,
    },
    /// How far, since when, what went well in this step, and what is saved up for the next call, in eighths of one.
    Opening {
        step: usize,
        since: Time,
        good: u16,
        saved: u32,
    },
}

/// One server's judgement of one dependency.
#[derive(Debug)]
pub struct Judge {
    steps: VecDeque<(Time, Evidence, u32)>,
    door: Door,
    /// Probes a second of the whole fleet, and how many servers share them.
    probes_s: f64,
    servers: f64,
    others: Others,
    /// Closed while it opened so many times in a row, and until when others' good evidence opens nothing.
    relapses: u32,
    deaf: Time,
    notes: Vec<String>,
}

impl Judge {
    /// For a fleet of so many servers that may probe a dead dependency so many times a second together.
    pub fn new(probes_s: f64, servers: usize) -> Self {
        Self {
            steps: VecDeque::new(),
            door: Door::Open,
            probes_s: probes_s.max(0.01),
            servers: servers.max(1) as f64,
            others: Others::default(),
            relapses: 0,
            deaf: Time(0),
            notes: Vec::new(),
        }
    }

    /// What was seen here within the window.
    pub fn evidence(&self, now: Time) -> Evidence {
        let mut sum = Evidence::default();
        let mut took = 0;
        for (since, step, ms) in &self.steps {
            if after(*since, WINDOW) > now {
                sum.good = sum.good.saturating_add(step.good);
                sum.failed = sum.failed.saturating_add(step.failed);
                sum.late = sum.late.saturating_add(step.late);
                took += u64::from(*ms);
            }
        }
        sum.mean_ms = (took / u64::from(sum.good.max(1))).min(u64::from(u16::MAX)) as u16;
        sum
    }

    /// What others saw, as it stands now. `dice` is a number drawn from 0 to 1.
    pub fn heard(&mut self, now: Time, others: Others, dice: f64) {
        self.others = others;
        self.judge(now, dice);
    }

    /// A call ended here.
    pub fn called(&mut self, now: Time, outcome: Outcome, took: Span, dice: f64) {
        let mut seen = Evidence::default();
        let mut ms = 0;
        match outcome {
            Outcome::Delivered => (seen.good, ms) = (1, (took.0 / MS) as u32),
            Outcome::Expired => seen.late = 1,
            // Turned away without a look: it is there, and full.
            Outcome::Shed => return,
            _ => seen.failed = 1,
        }
        self.steps.retain(|(since, ..)| after(*since, WINDOW) > now);
        match self.steps.back_mut() {
            Some((since, last, took)) if now < after(*since, STEP) => {
                last.good = last.good.saturating_add(seen.good);
                last.failed = last.failed.saturating_add(seen.failed);
                last.late = last.late.saturating_add(seen.late);
                *took = took.saturating_add(ms);
            }
            _ => self.steps.push_back((now, seen, ms)),
        }
        match &mut self.door {
            Door::Opening { good, .. } if seen.good > 0 => *good = good.saturating_add(1),
            Door::Opening { .. } => {
                self.relapses += 1;
                let pause = AGAIN.0.saturating_mul(1 << self.relapses.min(5)).min(MOST_AGAIN.0);
                self.deaf = after(now, Span(pause));
                self.close(now, dice, "it failed again while its door opened");
            }
            Door::Closed { .. } if seen.good > 0 => {
                self.relapses = 0;
                self.open(now, "a probe went well");
            }
            _ => {}
        }
        self.judge(now, dice);
    }

    /// Whether a call may be made now; a probe that may counts as made.
    pub fn call(&mut self, now: Time, dice: f64) -> Verdict {
        self.judge(now, dice);
        let next = self.probe_at(now, dice);
        match &mut self.door {
            Door::Open => Verdict::Call,
            Door::Closed { probe, .. } if *probe <= now => {
                *probe = next;
                Verdict::Probe
            }
            Door::Closed { .. } => Verdict::Closed,
            Door::Opening { step, saved, .. } => {
                *saved += OPENING[*step];
                if *saved >= 8 {
                    *saved -= 8;
                    Verdict::Call
                } else {
                    Verdict::Closed
                }
            }
        }
    }

    /// Whether calls are made as ever.
    pub fn is_open(&self) -> bool {
        self.door == Door::Open
    }

    /// What changed since the last call, for the log.
    pub fn notes(&mut self) -> Vec<String> {
        std::mem::take(&mut self.notes)
    }

    /// The next probe: this server's part of what the fleet may probe, at random, so that they don't all probe at once.
    fn probe_at(&self, now: Time, dice: f64) -> Time {
        let gap = self.servers / self.probes_s;
        after(now, gradepin_decisions::span(gap * (0.5 + dice)))
    }

    fn close(&mut self, now: Time, dice: f64, why: &str) {
        self.notes.push(format!("calls to the ledger are stopped: {why}"));
        // The first probe at any point of the gap, or all that saw it die together would probe together.
        let gap = self.servers / self.probes_s;
        let probe = after(now, gradepin_decisions::span(gap * dice));
        self.door = Door::Closed { since: now, probe };
    }

    fn open(&mut self, now: Time, why: &str) {
        self.notes.push(format!("calls to the ledger begin again, few at first: {why}"));
        self.steps.clear();
        self.door = Door::Opening { step: 0, since: now, good: 0, saved: 7 };
    }

    fn judge(&mut self, now: Time, dice: f64) {
        match self.door {
            Door::Open => {
                let own = self.evidence(now);
                if own.is_dead() {
                    let others = self.others;
                    let why = format!(
                        "none of the last {} went well here; it answers {} other servers, and is dead for {}",
                        own.failed + own.late,
                        others.good,
                        others.dead
                    );
                    self.close(now, dice, &why);
                } else if own == Evidence::default() && self.others.dead >= OBSERVERS && self.others.good == 0
                {
                    let why =
                        format!("{} other servers saw it dead, and none saw it answer", self.others.dead);
                    self.close(now, dice, &why);
                }
            }
            Door::Closed { since, .. } => {
                // Not at once: what others saw may be from before. Where only the way from here is broken, the door closes
                // again with the first call, and what others see opens it ever later.
                if self.others.good > 0 && now >= self.deaf && now >= after(since, FRESH) {
                    let why = format!("it answers {} other servers", self.others.good);
                    self.open(now, &why);
                }
            }
            Door::Opening { step, since, good, .. } => {
                if good > 0 && now >= after(since, OPENS_EVERY) {
                    self.door = if step + 1 < OPENING.len() {
                        Door::Opening { step: step + 1, since: now, good: 0, saved: 0 }
                    } else {
                        self.relapses = 0;
                        self.notes.push("calls to the ledger are made as before".into());
                        Door::Open
                    };
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Time {
        Time(ms * MS)
    }

    fn fail(judge: &mut Judge, from: u64, times: u64) {
        for n in 0..times {
            judge.called(ms(from + 50 * n), Outcome::DialFailed, Span(MS), 0.5);
        }
    }

    fn judge() -> Judge {
        Judge::new(2.0, 8)
    }

    /// Guards against one server whose own network is ill: it stops its own calls, and nobody else's.
    #[test]
    fn one_that_sees_it_dead_convinces_nobody() {
        let (mut ill, mut idle, mut busy) = (judge(), judge(), judge());
        fail(&mut ill, 1_000, 6);
        assert!(!ill.is_open());
        let mut others = Others::default();
        others.add(&ill.evidence(ms(1_300)), Span(0));
        for judge in [&mut idle, &mut busy] {
            judge.heard(ms(1_400), others, 0.5);
            assert_eq!(judge.call(ms(1_400), 0.5), Verdict::Call);
        }
        // It answers the others all along: the ill one tries now and then, and no more than that.
        let mut calls = 0;
        for at in (1_500..41_500).step_by(100) {
            ill.heard(ms(at), Others { good: 7, dead: 0 }, 0.5);
            if ill.call(ms(at), 0.5) != Verdict::Closed {
                calls += 1;
                ill.called(ms(at), Outcome::DialFailed, Span(MS), 0.5);
            }
        }
        assert!((5..30).contains(&calls), "{calls} calls in 40 s");
    }

    /// Guards a large fleet's server whose own way is broken against a call in vain every few seconds: what others see opens its
    /// door ever later. Own probes are rare there, as they are the fleet's.
    #[test]
    fn who_fails_where_others_dont_tries_ever_later() {
        let mut ill = Judge::new(2.0, 300);
        fail(&mut ill, 1_000, 6);
        let mut calls = Vec::new();
        for at in (1_500..201_500).step_by(100) {
            ill.heard(ms(at), Others { good: 250, dead: 1 }, 0.5);
            if ill.call(ms(at), 0.5) != Verdict::Closed {
                calls.push(at);
                ill.called(ms(at), Outcome::DialFailed, Span(MS), 0.5);
            }
        }
        assert!((8..25).contains(&calls.len()), "{} calls in 200 s: {calls:?}", calls.len());
        // Its way is mended: it is back within the longest wait.
        let back = (201_500..230_000).step_by(100).find(|at| {
            ill.heard(ms(*at), Others { good: 250, dead: 0 }, 0.5);
            if ill.call(ms(*at), 0.5) == Verdict::Call {
                ill.called(ms(*at), Outcome::Delivered, Span(50 * MS), 0.5);
            }
            ill.is_open()
        });
        assert!(back.is_some_and(|at| at < 201_500 + 16_000 + 4_000), "{back:?}");
    }

    /// Guards a server for which the dependency works against a fleet that sees it dead.
    #[test]
    fn all_but_one_that_see_it_dead_dont_convince_the_one() {
        let (mut works, mut idle) = (judge(), judge());
        let others = Others { good: 0, dead: 7 };
        for n in 0..40 {
            works.called(ms(1_000 + 100 * n), Outcome::Delivered, Span(80 * MS), 0.5);
            works.heard(ms(1_000 + 100 * n), others, 0.5);
            assert_eq!(works.call(ms(1_000 + 100 * n), 0.5), Verdict::Call);
        }
        idle.heard(ms(5_000), others, 0.5);
        assert_ne!(idle.call(ms(5_000), 0.9), Verdict::Call, "one that knows nothing itself goes by them");
        let mut two = judge();
        two.heard(ms(5_000), Others { good: 0, dead: 2 }, 0.5);
        assert_eq!(two.call(ms(5_000), 0.5), Verdict::Call, "two are not enough");
        let mut one_good = judge();
        one_good.heard(ms(5_000), Others { good: 1, dead: 6 }, 0.5);
        assert_eq!(one_good.call(ms(5_000), 0.5), Verdict::Call, "nor many, while it answers one");
    }

    /// Guards against a dependency that is slow and taken for dead.
    #[test]
    fn one_that_answers_slowly_is_not_dead() {
        let mut judge = judge();
        for n in 0..100 {
            let outcome = if n % 8 == 0 { Outcome::Delivered } else { Outcome::Expired };
            judge.called(ms(1_000 + 100 * n), outcome, Span(900 * MS), 0.5);
            assert_eq!(judge.call(ms(1_000 + 100 * n), 0.5), Verdict::Call, "{n}");
        }
        assert_eq!(judge.evidence(ms(11_000)).mean_ms, 900);
        let mut full = self::judge();
        (0..50).for_each(|n| full.called(ms(n), Outcome::Shed, Span(MS), 0.5));
        assert!(full.is_open(), "one that turns calls away is there");
    }

    /// Guards a dependency that comes back from a fleet that probes it together, and from full load at once.
    #[test]
    fn probes_are_the_fleets_and_the_way_opens_in_steps() {
        let mut fleet: Vec<Judge> = (0..8).map(|_| judge()).collect();
        let mut seed = 7_u64;
        let mut dice = || {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (seed >> 33) as f64 / (1_u64 << 31) as f64
        };
        for judge in &mut fleet {
            (0..5).for_each(|n| judge.called(ms(1_000 + n), Outcome::DialFailed, Span(MS), dice()));
        }
        let mut probes = Vec::new();
        for at in (1_100..61_100).step_by(20) {
            for judge in &mut fleet {
                judge.heard(ms(at), Others { good: 0, dead: 7 }, dice());
                if judge.call(ms(at), dice()) != Verdict::Closed {
                    probes.push(at);
                    judge.called(ms(at), Outcome::DialFailed, Span(MS), dice());
                }
            }
        }
        let rate = probes.len() as f64 / 60.0;
        assert!((1.0..=2.5).contains(&rate), "{rate} probes a second of the fleet");
        let most =
            probes.iter().map(|at| probes.iter().filter(|p| (at - 1_000..=*at).contains(p)).count()).max();
        assert!(most.unwrap() <= 6, "{most:?} probes in one second");
        // It is back: one probe opens the door, and the part of calls that are made grows step by step.
        let judge = &mut fleet[0];
        let mut at = 61_100;
        while judge.call(ms(at), 0.5) == Verdict::Closed {
            at += 20;
        }
        judge.called(ms(at), Outcome::Delivered, Span(50 * MS), 0.5);
        let mut made = Vec::new();
        for _ in 0..4 {
            let mut part = 0;
            for n in 0..40 {
                if judge.call(ms(at + 12 * n), 0.5) == Verdict::Call {
                    part += 1;
                    judge.called(ms(at + 12 * n), Outcome::Delivered, Span(50 * MS), 0.5);
                }
            }
            made.push(part);
            at += 520;
        }
        assert!(made.is_sorted() && made[0] <= 6 && made[3] == 40, "{made:?}");
        assert!(judge.is_open());
    }
}
