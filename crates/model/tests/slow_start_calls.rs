//! What the module of 1 to 300 servers together gives the dependency that all share, while it is cold or hangs: in the mean
//! of its span no more than the sum of their shares, at every event, whether its callers were told of its start (by calls
//! that failed while it was down) or all begin with it.

mod common;
#[path = "../../admission/tests/common/mod.rs"]
mod module;

use common::seed;
use gradepin_admission::{Action, Controller, Event, Outcome, Request, Span, Time};
use gradepin_model::queue::{Heap, Queue};
use gradepin_model::service_report::slow_start::{MeanOver, budget};
use module::{MS, base, id, read, settings};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::json;

/// The span of the mean and how long an abandoned call lingers, from `module::base`; in ms.
const SPAN_MS: u64 = 5_000;
const LINGER_MS: u64 = 200;
/// How long the dependency is down where it is, and cold for so long after; in ms.
const DOWN_MS: u64 = 3_000;
const COLD_MS: u64 = 6_000;
/// Callers wait so long; in ms.
const PATIENCE_MS: u64 = 1_000;
/// A call of a warm one takes so long; in ms.
const CALL_MS: f64 = 20.0;

/// What becomes of the dependency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Course {
    /// It starts in the moment in which all servers do: none is told.
    StartsWithAll,
    /// It is down at first; each server learns of its start by its own tries.
    WasDown,
    /// It is warm, and then calls hang.
    Hangs,
}

/// A fleet and its dependency.
#[derive(Debug, Clone, Copy)]
struct Spec {
    servers: usize,
    /// Calls that the dependency survives in its hands in the mean: the sum of the shares.
    allowed: f64,
    course: Course,
    /// How many times longer the first calls take that it gets cold, or that hang.
    slower: f64,
    /// The module's own pacing is left out: every call that is asked for is made at once.
    unpaced: bool,
    seed: u64,
}

enum Happens {
    /// A request comes to a server; its timer is due.
    Arrives(usize),
    Wakes(usize),
    /// A call comes back to its server, or is given up by it; the dependency is done with one.
    Returns {
        server: usize,
        name: String,
        made: u64,
        outcome: Outcome,
    },
    Done,
}

struct Fleet {
    spec: Spec,
    rng: Pcg64Mcg,
    queue: Heap<Happens>,
    servers: Vec<Controller>,
    requests: u64,
    in_hand: u64,
    mean: MeanOver,
    most_mean: f64,
    most_at_once: u64,
    delivered: u64,
}

impl Fleet {
    fn new(spec: Spec) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(spec.seed);
        let mut set = base();
        set["servers"] = json!(spec.servers);
        set["specifics"]["calls_out"] =
            json!(if spec.unpaced { 1e6 } else { spec.allowed / spec.servers as f64 });
        set["specifics"]["class_skip_worth"] = json!([0.0, 0.0]);
        set["specifics"]["just_started"] = json!(true);
        // What runs is bounded by the calls alone.
        set["specifics"]["n_cores"] = json!(8);
        set["specifics"]["memory_kb"] = json!(1e6);
        let servers = (0..spec.servers)
            .map(|_| Controller::new(settings(set.clone()), rng.next_u64(), Time(0)))
            .collect();
        let mut fleet = Self {
            spec,
            rng,
            queue: Heap::default(),
            servers,
            requests: 0,
            in_hand: 0,
            mean: MeanOver::new(SPAN_MS * MS),
            most_mean: 0.0,
            most_at_once: 0,
            delivered: 0,
        };
        for server in 0..spec.servers {
            fleet.queue.push(0, Happens::Wakes(server));
            let at = fleet.within(fleet.gap_ms() * MS);
            fleet.queue.push(at, Happens::Arrives(server));
        }
        fleet
    }

    fn within(&mut self, span: u64) -> u64 {
        self.rng.next_u64() % span.max(1)
    }

    /// Between requests of a server: all together want twice what may be in hand while calls are quick, and each some.
    fn gap_ms(&self) -> u64 {
        let wanted = 2.0 * self.spec.allowed * 1e3 / CALL_MS / self.spec.servers as f64;
        (1e3 / wanted.clamp(3.0, 20.0)) as u64
    }

    /// What a call takes that is made now, in ms; none while the dependency is down.
    fn takes_ms(&self, now_ms: u64) -> Option<u64> {
        let warm = |since: u64| (since as f64 / COLD_MS as f64).min(1.0);
        let cold = |since: u64| CALL_MS * (self.spec.slower + (1.0 - self.spec.slower) * warm(since));
        match self.spec.course {
            Course::StartsWithAll => Some(cold(now_ms) as u64),
            Course::WasDown => now_ms.checked_sub(DOWN_MS).map(|since| cold(since) as u64),
            Course::Hangs if now_ms < COLD_MS => Some(CALL_MS as u64),
            Course::Hangs => Some((CALL_MS * self.spec.slower) as u64),
        }
    }

    fn hold(&mut self, now: u64, change: i64) {
        self.in_hand = self.in_hand.saturating_add_signed(change);
        self.mean.set(now, self.in_hand as f64);
        self.most_at_once = self.most_at_once.max(self.in_hand);
        self.most_mean = self.most_mean.max(self.mean.mean(now));
    }

    /// Events reach a server's module; what it does follows at once.
    fn tell(&mut self, server: usize, now: u64, mut events: Vec<Event>) {
        loop {
            let mut actions = Vec::new();
            self.servers[server].handle(Time(now), &events, &mut actions);
            events = Vec::new();
            for action in actions {
                match action {
                    // Its work is nothing: each run asks for its call at once.
                    Action::Run(id) => events.push(Event::UpstreamCallNeeded(id)),
                    Action::CallUpstream { id, timeout } => {
                        self.call(server, now, id.0.to_string(), timeout.0 / MS)
                    }
                    // What is answered at its call ends there.
                    Action::Fail(id) => {
                        events.push(Event::Completed { id, outcome: Outcome::Stopped, took: Span(0) });
                    }
                    Action::SetTimer(at) => self.queue.push(at.0.max(now + 1), Happens::Wakes(server)),
                    _ => {}
                }
            }
            if events.is_empty() {
                return;
            }
        }
    }

    fn call(&mut self, server: usize, now: u64, name: String, limit_ms: u64) {
        let Some(takes_ms) = self.takes_ms(now / MS) else {
            let outcome = Outcome::ConnectFailed;
            return self.queue.push(now + MS, Happens::Returns { server, name, made: now, outcome });
        };
        // 0 stands for the class's own deadline.
        let limit_ms = if limit_ms == 0 { 4_000 } else { limit_ms };
        let late = takes_ms > limit_ms;
        let outcome = if late { Outcome::TimedOut } else { Outcome::Success };
        let back = now + takes_ms.min(limit_ms) * MS;
        self.hold(now, 1);
        self.queue.push(if late { back + LINGER_MS * MS } else { back }, Happens::Done);
        self.queue.push(back, Happens::Returns { server, name, made: now, outcome });
    }

    /// Plays to the end of the longest course.
    fn play(mut self) -> Self {
        let end = (DOWN_MS + COLD_MS + 2 * SPAN_MS) * MS;
        while let Some((now, happens)) = self.queue.pop().filter(|(now, _)| *now <= end) {
            match happens {
                Happens::Arrives(server) => {
                    self.requests += 1;
                    let gap = self.gap_ms() * MS;
                    let next = now + gap / 2 + self.within(gap);
                    self.queue.push(next, Happens::Arrives(server));
                    let request = Request {
                        size_kb: 1.0,
                        expires_in: Some(Span(PATIENCE_MS * MS)),
                        ..read(&format!("r{}", self.requests))
                    };
                    self.tell(server, now, vec![Event::Arrived(request)]);
                }
                Happens::Wakes(server) => self.tell(server, now, vec![module::timer(0.1)]),
                Happens::Returns { server, name, made, outcome } => {
                    let took = Span(now - made);
                    let mut events = vec![Event::UpstreamCallEnded { id: id(&name), outcome, took }];
                    if outcome == Outcome::Success {
                        self.delivered += 1;
                        events.push(Event::Completed { id: id(&name), outcome, took });
                    }
                    self.tell(server, now, events);
                }
                Happens::Done => self.hold(now, -1),
            }
        }
        self
    }
}

/// Shares of a whole number, of a part, of parts so small that one call given up takes more than they are in the span; sums
/// under, at and over 30.
const SIZES: [(usize, [f64; 2]); 7] = [
    (1, [1.0, 30.0]),
    (2, [1.0, 12.0]),
    (5, [1.0, 31.0]),
    (20, [5.0, 29.0]),
    (30, [5.0, 12.0]),
    (100, [5.0, 30.0]),
    (300, [12.0, 100.0]),
];

/// Rule 4 on every day, however few or many servers run. Guards against shares that each server keeps by its own counts and
/// the fleet doesn't: calls given up that are forgotten before the span is over, and shares that one such call passes.
#[test]
fn a_fleet_gives_its_dependency_no_more_than_it_survives() {
    let first = seed(100);
    let mut failures = Vec::new();
    for (servers, sums) in SIZES {
        for (turn, allowed) in sums.into_iter().enumerate() {
            for (course, slower) in [
                (Course::StartsWithAll, 60.0),
                (Course::WasDown, 8.0),
                (Course::WasDown, 60.0),
                (Course::Hangs, 300.0),
            ] {
                let seed = first + turn as u64;
                let spec = Spec { servers, allowed, course, slower, unpaced: false, seed };
                let Fleet { most_mean, most_at_once, delivered, .. } = Fleet::new(spec).play();
                let told =
                    format!("{spec:?}: mean {most_mean:.2}, at once {most_at_once}, {delivered} delivered");
                println!("{told}");
                if most_mean > allowed {
                    failures.push(told);
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a check that can't fail: servers that make each call at once.
#[test]
fn servers_that_pace_nothing_break_it() {
    for servers in [1, 30] {
        let (allowed, course, slower) = (2.0, Course::Hangs, 300.0);
        let fleet = Fleet::new(Spec { servers, allowed, course, slower, unpaced: true, seed: 1 }).play();
        assert!(fleet.most_mean > allowed, "{servers} servers: {}", fleet.most_mean);
        assert!(fleet.most_at_once as f64 > budget(allowed), "{servers} servers: {}", fleet.most_at_once);
    }
}
