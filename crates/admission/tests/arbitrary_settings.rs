//! Drawn settings of other customers, through the module alone: a stream of events with odd gauges, and another customer's
//! settings put in force in the middle of it. Arithmetic has to hold at every value that the pages allow.

#[path = "common/generated_settings.rs"]
mod generated_settings;

use generated_settings::{MS, settings};
use gradepin_admission::{
    Action, Controller, Event, Gauges, Outcome, Request, RequestId, Settings, Span, SplitSettings, Time,
};
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngAlgorithm, TestRng, TestRunner};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// What the module was told of a try, and what it said.
#[derive(Default)]
struct Try {
    due: Time,
    answered: bool,
    ran: bool,
    running: bool,
    joined: bool,
    calling: bool,
    gone: bool,
}

struct World {
    controller: Controller,
    set: Settings,
    now: Time,
    rng: Pcg64Mcg,
    tries: BTreeMap<RequestId, Try>,
    remind: Option<Time>,
}

impl World {
    fn new(set: &Settings, seed: u64, now: Time) -> Self {
        let controller = Controller::new(set.clone(), seed, now);
        let (set, rng, tries) = (set.clone(), Pcg64Mcg::seed_from_u64(seed), BTreeMap::new());
        Self { controller, set, now, rng, tries, remind: None }
    }

    fn below(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn pick(&mut self, wanted: impl Fn(&Try) -> bool) -> Option<RequestId> {
        let found: Vec<RequestId> =
            self.tries.iter().filter(|(_, t)| wanted(t)).map(|(id, _)| id.clone()).collect();
        let place = self.below(found.len() as u64) as usize;
        found.get(place).cloned()
    }

    fn event(&mut self) -> Option<Event> {
        let took = Span([0, 1, 20 * MS, 60_000 * MS, u64::MAX][self.below(5) as usize]);
        Some(match self.below(10) {
            0..5 => return Some(self.arrive()),
            5 | 6 => {
                let id = self.pick(|t| t.running || t.joined)?;
                let t = self.tries.get_mut(&id)?;
                let ends = if t.joined {
                    [Outcome::Success, Outcome::Failure]
                } else {
                    [Outcome::Success, Outcome::Stopped]
                };
                (t.running, t.joined, t.calling) = (false, false, false);
                let outcome = ends[self.below(2) as usize];
                let t = self.tries.get_mut(&id)?;
                t.answered |= outcome != Outcome::Stopped;
                Event::Completed { id, outcome, took }
            }
            7 => {
                let id = self.pick(|t| !t.gone)?;
                self.tries.get_mut(&id)?.gone = true;
                Event::CallerGone(id)
            }
            8 => Event::UpstreamCallNeeded(self.pick(|t| t.running && !t.calling)?),
            _ => {
                let id = self.pick(|t| t.calling)?;
                self.tries.get_mut(&id)?.calling = false;
                let ends = [
                    Outcome::Success,
                    Outcome::Rejected,
                    Outcome::TimedOut,
                    Outcome::ConnectFailed,
                    Outcome::Aborted,
                ];
                Event::UpstreamCallEnded { id, outcome: ends[self.below(5) as usize], took }
            }
        })
    }

    fn arrive(&mut self) -> Event {
        let id = RequestId::new(&format!("t/{}", self.tries.len()));
        let class = self.below(self.set.profiles.len() as u64) as usize;
        let deadline = self.set.profiles[class].deadline.0;
        let wait = Span(self.below(deadline.min(60_000 * MS)) + 1);
        let told = self.below(4) > 0;
        let unread_for = Span([0, 1, 50 * MS, 3_600_000 * MS, u64::MAX][self.below(5) as usize]);
        // With nothing told the deadline counts, from when it came.
        let whole = Time(self.now.0.saturating_sub(unread_for.0).saturating_add(deadline));
        let due = if told { Time(self.now.0 + wait.0) } else { whole.max(self.now) };
        let tenants = self.set.tenants.len() as u64;
        let earlier_attempt = if self.below(3) == 0 { self.pick(|_| true) } else { None };
        let work = [None, Some(Span(0)), Some(Span(1)), Some(Span(90 * MS)), Some(Span(u64::MAX))];
        self.tries.insert(id.clone(), Try { due, ..Try::default() });
        let sizes = [0.0, 1e-9, 20.0, 1_999.0, 1e300];
        Event::Arrived(Request {
            id,
            expires_in: told.then_some(wait),
            class,
            has_subject: self.below(2) == 0,
            caller: self.below(9),
            work: work[self.below(5) as usize],
            tenant: (tenants > 0).then(|| self.below(tenants) as usize),
            size_kb: sizes[self.below(5) as usize],
            precedence: self.below(100) as f64 / 100.0,
            retry: self.below(3) == 0,
            write: self.below(2) == 0,
            earlier_attempt,
            unread_for,
        })
    }

    fn gauges(&mut self) -> Event {
        let mut gauges = Gauges::default();
        let odd = [0.0, 0.5, 1.0, 7.0, -1.0, f64::NAN, f64::INFINITY, f64::MAX, f64::MIN_POSITIVE];
        for name in ["core_use", "on_cores", "heap_share", "links", "warp"] {
            if self.below(3) > 0 {
                gauges.set(name, odd[self.below(9) as usize]);
            }
        }
        Event::Timer(gauges)
    }

    fn turn(&mut self, events: &[Event]) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        self.controller.handle(self.now, events, &mut out);
        for action in out {
            self.action(action)?;
        }
        for (id, t) in &self.tries {
            prop_assert!(t.answered || t.gone || t.due > self.now, "{} has no answer when it is due", id.0);
        }
        Ok(())
    }

    fn action(&mut self, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::SetTimer(at) => {
                prop_assert!(at > self.now, "a timer of the past");
                self.remind = Some(self.remind.map_or(at, |known| known.min(at)));
            }
            Action::AdvertiseCapacity(value) => {
                prop_assert!(value.is_finite() && value >= 0.0, "a signal of {value}");
            }
            Action::Run(id) => {
                let t = self.tries.get_mut(&id).expect("known");
                prop_assert!(!t.answered && !t.running, "{} is run after its answer, or twice", id.0);
                (t.ran, t.running) = (true, true);
            }
            Action::Reject { id, .. } => {
                let t = self.tries.get_mut(&id).expect("known");
                prop_assert!(!t.ran && !t.joined, "{} ran and was refused", id.0);
                prop_assert!(!std::mem::replace(&mut t.answered, true), "two answers to {}", id.0);
            }
            Action::Fail(id) => {
                let t = self.tries.get_mut(&id).expect("known");
                prop_assert!(!std::mem::replace(&mut t.answered, true), "two answers to {}", id.0);
                t.joined = false;
            }
            Action::JoinRun(id) => self.tries.get_mut(&id).expect("known").joined = true,
            Action::CallUpstream { id, .. } => self.tries.get_mut(&id).expect("known").calling = true,
            Action::SkipUpstreamCall(id) => {
                prop_assert!(
                    self.set
                        .specifics
                        .class_skip_weights
                        .iter()
                        .any(|priority_weight| *priority_weight > 0.0)
                );
                self.tries.get_mut(&id).expect("known").calling = false;
            }
            Action::ReleaseIdempotencyKey(id)
            | Action::RetainIdempotencyKey { id, .. }
            | Action::StopRun(id) => {
                prop_assert!(self.tries.contains_key(&id));
            }
            Action::ReportHealth { .. } | Action::SetIdleTimeout(_) | Action::Log(_) => {}
        }
        Ok(())
    }

    fn play(&mut self, turns: usize) -> Result<(), TestCaseError> {
        for _ in 0..turns {
            let pause = [0, 1, MS, 30 * MS, 100 * MS, 2_000 * MS][self.below(6) as usize];
            self.until(Time(self.now.0.saturating_add(pause)))?;
            let events: Vec<Event> = (0..self.below(4)).filter_map(|_| self.event()).collect();
            self.turn(&events)?;
        }
        Ok(())
    }

    /// Lets time pass, with a turn at each timer.
    fn until(&mut self, until: Time) -> Result<(), TestCaseError> {
        let mut turns = 0;
        while let Some(at) = self.remind.filter(|at| *at <= until) {
            (self.now, self.remind, turns) = (self.now.max(at), None, turns + 1);
            prop_assert!(turns < 10_000, "timers in a busy loop");
            let gauges = self.gauges();
            self.turn(&[gauges])?;
        }
        self.now = until;
        Ok(())
    }

    /// Another customer's file, as the reducer tells it: classes, tenants, then all else. Slots of open requests stay theirs.
    fn reload(&mut self, set: &Settings) {
        let open = self.set.profiles.len();
        let SplitSettings { mut global, classes, tenants } = set.clone().split();
        for (slot, class) in classes.iter().enumerate() {
            self.controller.put_class(open + slot, std::sync::Arc::clone(class));
        }
        for (slot, tenant) in tenants.iter().enumerate() {
            self.controller.put_tenant(slot, tenant.quota_rps, slot % 2 == 0);
        }
        self.controller.set_global_settings(global.clone());
        let mut profiles = self.set.profiles.clone();
        profiles.extend(set.profiles.iter().cloned());
        global.tenants = set.tenants.clone();
        global.specifics.class_skip_weights =
            [&self.set, set].map(|s| s.specifics.class_skip_weights.clone()).concat();
        global.profiles = profiles;
        self.set = global;
    }
}

/// Guards against a panic, an answer that never comes or comes twice, and a value that no caller can read.
#[test]
fn the_module_works_with_every_customers_settings() {
    let cases = std::env::var("CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(400);
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1_u64);
    println!("SEED={seed} CASES={cases}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let runs = Runs { cases, failure_persistence: None, max_shrink_iters: 300, ..Runs::default() };
    let mut runner = TestRunner::new_with_rng(runs, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let starts = prop_oneof![Just(0_u64), Just(1_000_000 * MS)];
    let drawn = (settings(), settings(), any::<u64>(), starts, 0..3_u8);
    let played = runner.run(&drawn, |(first, second, seed, start, last)| {
        let parsed = |value| serde_json::from_value::<Settings>(value).expect("valid settings");
        let (first, second) = (parsed(first), parsed(second));
        prop_assert!(first.check().is_ok() && second.check().is_ok());
        let mut world = World::new(&first, seed, Time(start));
        world.play(150)?;
        if last > 0 {
            world.reload(&second);
            world.play(150)?;
        }
        if last > 1 {
            let wait = Span([0, 3_000 * MS, u64::MAX][world.below(3) as usize]);
            world.turn(&[Event::ShutdownNotice(wait)])?;
            world.play(50)?;
            let end = Time(world.now.0.saturating_add(wait.0.min(5_000 * MS)));
            world.until(end)?;
            let owed = world.tries.values().filter(|t| !t.answered && !t.gone).count();
            prop_assert!(wait.0 == u64::MAX || owed == 0, "{owed} without an answer at the stop");
        }
        Ok(())
    });
    if let Err(why) = played {
        panic!("{why}");
    }
}
