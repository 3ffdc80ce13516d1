//! Property test of the controller with arbitrary valid settings: random events with extreme gauges, a reload
//! of other settings while requests are open, and a graceful shutdown.

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

/// The state of an attempt, from the events and actions so far.
#[derive(Default)]
struct Attempt {
    due: Time,
    answered: bool,
    ran: bool,
    running: bool,
    joined: bool,
    calling: bool,
    disconnected: bool,
}

/// A host that drives a controller with random events and checks its actions.
struct Host {
    controller: Controller,
    set: Settings,
    now: Time,
    rng: Pcg64Mcg,
    attempts: BTreeMap<RequestId, Attempt>,
    timer_at: Option<Time>,
}

impl Host {
    fn new(set: &Settings, seed: u64, now: Time) -> Self {
        let controller = Controller::new(set.clone(), seed, now);
        let (set, rng, attempts) = (set.clone(), Pcg64Mcg::seed_from_u64(seed), BTreeMap::new());
        Self { controller, set, now, rng, attempts, timer_at: None }
    }

    fn draw_below(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn choose(&mut self, wanted: impl Fn(&Attempt) -> bool) -> Option<RequestId> {
        let found: Vec<RequestId> =
            self.attempts.iter().filter(|(_, t)| wanted(t)).map(|(id, _)| id.clone()).collect();
        let index = self.draw_below(found.len() as u64) as usize;
        found.get(index).cloned()
    }

    fn event(&mut self) -> Option<Event> {
        let took = Span([0, 1, 20 * MS, 60_000 * MS, u64::MAX][self.draw_below(5) as usize]);
        Some(match self.draw_below(10) {
            0..5 => return Some(self.arrive()),
            5 | 6 => {
                let id = self.choose(|t| t.running || t.joined)?;
                let t = self.attempts.get_mut(&id)?;
                let outcomes = if t.joined {
                    [Outcome::Success, Outcome::Failure]
                } else {
                    [Outcome::Success, Outcome::Stopped]
                };
                (t.running, t.joined, t.calling) = (false, false, false);
                let outcome = outcomes[self.draw_below(2) as usize];
                let t = self.attempts.get_mut(&id)?;
                t.answered |= outcome != Outcome::Stopped;
                Event::Completed { id, outcome, took }
            }
            7 => {
                let id = self.choose(|t| !t.disconnected)?;
                self.attempts.get_mut(&id)?.disconnected = true;
                Event::CallerGone(id)
            }
            8 => Event::UpstreamCallNeeded(self.choose(|t| t.running && !t.calling)?),
            _ => {
                let id = self.choose(|t| t.calling)?;
                self.attempts.get_mut(&id)?.calling = false;
                let outcomes = [
                    Outcome::Success,
                    Outcome::Rejected,
                    Outcome::TimedOut,
                    Outcome::ConnectFailed,
                    Outcome::Aborted,
                ];
                Event::UpstreamCallEnded { id, outcome: outcomes[self.draw_below(5) as usize], took }
            }
        })
    }

    fn arrive(&mut self) -> Event {
        let id = RequestId::new(&format!("t/{}", self.attempts.len()));
        let class = self.draw_below(self.set.profiles.len() as u64) as usize;
        let deadline = self.set.profiles[class].deadline.0;
        let wait = Span(self.draw_below(deadline.min(60_000 * MS)) + 1);
        let has_timeout = self.draw_below(4) > 0;
        let unread_for = Span([0, 1, 50 * MS, 3_600_000 * MS, u64::MAX][self.draw_below(5) as usize]);
        // A request without a timeout expires at the deadline of its class, counted from its arrival.
        let class_deadline_at = Time(self.now.0.saturating_sub(unread_for.0).saturating_add(deadline));
        let due = if has_timeout { Time(self.now.0 + wait.0) } else { class_deadline_at.max(self.now) };
        let tenants = self.set.tenants.len() as u64;
        let earlier_attempt = if self.draw_below(3) == 0 { self.choose(|_| true) } else { None };
        let work = [None, Some(Span(0)), Some(Span(1)), Some(Span(90 * MS)), Some(Span(u64::MAX))];
        self.attempts.insert(id.clone(), Attempt { due, ..Attempt::default() });
        let sizes = [0.0, 1e-9, 20.0, 1_999.0, 1e300];
        Event::Arrived(Request {
            id,
            expires_in: has_timeout.then_some(wait),
            class,
            has_subject: self.draw_below(2) == 0,
            caller: self.draw_below(9),
            work: work[self.draw_below(5) as usize],
            tenant: (tenants > 0).then(|| self.draw_below(tenants) as usize),
            size_kb: sizes[self.draw_below(5) as usize],
            precedence: self.draw_below(100) as f64 / 100.0,
            retry: self.draw_below(3) == 0,
            write: self.draw_below(2) == 0,
            earlier_attempt,
            unread_for,
        })
    }

    fn gauges(&mut self) -> Event {
        let mut gauges = Gauges::default();
        let extremes = [0.0, 0.5, 1.0, 7.0, -1.0, f64::NAN, f64::INFINITY, f64::MAX, f64::MIN_POSITIVE];
        for name in ["core_use", "on_cores", "heap_share", "links", "warp"] {
            if self.draw_below(3) > 0 {
                gauges.set(name, extremes[self.draw_below(9) as usize]);
            }
        }
        Event::Timer(gauges)
    }

    fn handle_batch(&mut self, events: &[Event]) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        self.controller.handle(self.now, events, &mut out);
        for action in out {
            self.check_action(action)?;
        }
        for (id, t) in &self.attempts {
            prop_assert!(
                t.answered || t.disconnected || t.due > self.now,
                "{} has no response at its deadline",
                id.0
            );
        }
        Ok(())
    }

    fn check_action(&mut self, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::SetTimer(at) => {
                prop_assert!(at > self.now, "a timer in the past");
                self.timer_at = Some(self.timer_at.map_or(at, |known| known.min(at)));
            }
            Action::AdvertiseCapacity(value) => {
                prop_assert!(value.is_finite() && value >= 0.0, "advertised value {value}");
            }
            Action::Run(id) => {
                let t = self.attempts.get_mut(&id).expect("known");
                prop_assert!(!t.answered && !t.running, "{} is run after its response, or twice", id.0);
                (t.ran, t.running) = (true, true);
            }
            Action::Reject { id, .. } => {
                let t = self.attempts.get_mut(&id).expect("known");
                prop_assert!(!t.ran && !t.joined, "{} ran and was rejected", id.0);
                prop_assert!(!std::mem::replace(&mut t.answered, true), "two responses to {}", id.0);
            }
            Action::Fail(id) => {
                let t = self.attempts.get_mut(&id).expect("known");
                prop_assert!(!std::mem::replace(&mut t.answered, true), "two responses to {}", id.0);
                t.joined = false;
            }
            Action::JoinRun(id) => self.attempts.get_mut(&id).expect("known").joined = true,
            Action::CallUpstream { id, .. } => self.attempts.get_mut(&id).expect("known").calling = true,
            Action::SkipUpstreamCall(id) => {
                prop_assert!(
                    self.set
                        .specifics
                        .class_skip_weights
                        .iter()
                        .any(|priority_weight| *priority_weight > 0.0)
                );
                self.attempts.get_mut(&id).expect("known").calling = false;
            }
            Action::ReleaseIdempotencyKey(id)
            | Action::RetainIdempotencyKey { id, .. }
            | Action::StopRun(id) => {
                prop_assert!(self.attempts.contains_key(&id));
            }
            Action::ReportHealth { .. } | Action::SetIdleTimeout(_) | Action::Log(_) => {}
        }
        Ok(())
    }

    fn run_batches(&mut self, batches: usize) -> Result<(), TestCaseError> {
        for _ in 0..batches {
            let pause = [0, 1, MS, 30 * MS, 100 * MS, 2_000 * MS][self.draw_below(6) as usize];
            self.advance_to(Time(self.now.0.saturating_add(pause)))?;
            let events: Vec<Event> = (0..self.draw_below(4)).filter_map(|_| self.event()).collect();
            self.handle_batch(&events)?;
        }
        Ok(())
    }

    /// Advances the time, with a batch at each timer.
    fn advance_to(&mut self, until: Time) -> Result<(), TestCaseError> {
        let mut batches = 0;
        while let Some(at) = self.timer_at.filter(|at| *at <= until) {
            (self.now, self.timer_at, batches) = (self.now.max(at), None, batches + 1);
            prop_assert!(batches < 10_000, "timers form a busy loop");
            let gauges = self.gauges();
            self.handle_batch(&[gauges])?;
        }
        self.now = until;
        Ok(())
    }

    /// Reloads other settings in the order of the reducer: classes, tenants, then global settings. The classes
    /// get new slots, because the slots of open requests must not be reassigned.
    fn reload(&mut self, set: &Settings) {
        let first_slot = self.set.profiles.len();
        let SplitSettings { mut global, classes, tenants } = set.clone().split();
        for (slot, class) in classes.iter().enumerate() {
            self.controller.put_class(first_slot + slot, std::sync::Arc::clone(class));
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

/// Guards against panics, missing or duplicate responses, and advertised values that callers cannot parse.
#[test]
fn controller_serves_with_arbitrary_valid_settings() {
    let cases = std::env::var("CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(400);
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1_u64);
    println!("SEED={seed} CASES={cases}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let runs = Runs { cases, failure_persistence: None, max_shrink_iters: 300, ..Runs::default() };
    let mut runner = TestRunner::new_with_rng(runs, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let starts = prop_oneof![Just(0_u64), Just(1_000_000 * MS)];
    let drawn = (settings(), settings(), any::<u64>(), starts, 0..3_u8);
    let result = runner.run(&drawn, |(first, second, seed, start, steps)| {
        let parsed = |value| serde_json::from_value::<Settings>(value).expect("valid settings");
        let (first, second) = (parsed(first), parsed(second));
        prop_assert!(first.check().is_ok() && second.check().is_ok());
        let mut host = Host::new(&first, seed, Time(start));
        host.run_batches(150)?;
        if steps > 0 {
            host.reload(&second);
            host.run_batches(150)?;
        }
        if steps > 1 {
            let wait = Span([0, 3_000 * MS, u64::MAX][host.draw_below(3) as usize]);
            host.handle_batch(&[Event::ShutdownNotice(wait)])?;
            host.run_batches(50)?;
            let end = Time(host.now.0.saturating_add(wait.0.min(5_000 * MS)));
            host.advance_to(end)?;
            let unanswered = host.attempts.values().filter(|t| !t.answered && !t.disconnected).count();
            prop_assert!(
                wait.0 == u64::MAX || unanswered == 0,
                "{unanswered} without a response at the stop"
            );
        }
        Ok(())
    });
    if let Err(why) = result {
        panic!("{why}");
    }
}
