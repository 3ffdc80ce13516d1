//! Load that the modules of 1 to 300 servers together put on a shared dependency while it is cold or hangs: averaged
//! over the span, it never exceeds the sum of their shares at any event. This holds whether servers learn of the start
//! from calls that failed during the downtime, or start together with the dependency.

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

/// Span of the average, and time for which an abandoned call lingers, from `module::base`; in milliseconds.
const SPAN_MS: u64 = 5_000;
const LINGER_MS: u64 = 200;
/// Downtime of the dependency, and the time for which it is cold afterwards; in milliseconds.
const DOWN_MS: u64 = 3_000;
const COLD_MS: u64 = 6_000;
/// Time for which clients wait, in milliseconds.
const CLIENT_WAIT_MS: u64 = 1_000;
/// Duration of a call to the warm dependency, in milliseconds.
const CALL_MS: f64 = 20.0;

/// Behaviour of the dependency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DependencyBehaviour {
    /// It starts together with all servers; none learns of the start.
    StartsWithAll,
    /// It is down at first; each server learns of the start from its own calls.
    WasDown,
    /// It is warm, then calls hang.
    Hangs,
}

/// A fleet and its dependency.
#[derive(Debug, Clone, Copy)]
struct Spec {
    servers: usize,
    /// Average number of concurrent calls that the dependency sustains: the sum of the shares.
    allowed: f64,
    behaviour: DependencyBehaviour,
    /// Factor on the duration of the first calls while cold, or of hanging calls.
    slower: f64,
    /// Whether the module's pacing is disabled, so that every call is made at once.
    unpaced: bool,
    seed: u64,
}

enum FleetEvent {
    /// A request arrives at a server; a server's timer is due.
    Arrives(usize),
    Wakes(usize),
    /// A call returns to its server or is abandoned by it; the dependency finishes a call.
    Returns {
        server: usize,
        name: String,
        sent_at: u64,
        outcome: Outcome,
    },
    Done,
}

struct Fleet {
    spec: Spec,
    rng: Pcg64Mcg,
    queue: Heap<FleetEvent>,
    servers: Vec<Controller>,
    requests: u64,
    concurrent_calls: u64,
    mean: MeanOver,
    max_mean: f64,
    max_concurrent: u64,
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
        // Only calls limit the number of runs.
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
            concurrent_calls: 0,
            mean: MeanOver::new(SPAN_MS * MS),
            max_mean: 0.0,
            max_concurrent: 0,
            delivered: 0,
        };
        for server in 0..spec.servers {
            fleet.queue.push(0, FleetEvent::Wakes(server));
            let at = fleet.within(fleet.request_interval_ms() * MS);
            fleet.queue.push(at, FleetEvent::Arrives(server));
        }
        fleet
    }

    fn within(&mut self, span: u64) -> u64 {
        self.rng.next_u64() % span.max(1)
    }

    /// Interval between the requests of a server: together the servers need twice the allowed calls while calls are
    /// fast, and each server has some requests.
    fn request_interval_ms(&self) -> u64 {
        let wanted = 2.0 * self.spec.allowed * 1e3 / CALL_MS / self.spec.servers as f64;
        (1e3 / wanted.clamp(3.0, 20.0)) as u64
    }

    /// Duration in milliseconds of a call made now; `None` while the dependency is down.
    fn call_duration_ms(&self, now_ms: u64) -> Option<u64> {
        let warm = |since: u64| (since as f64 / COLD_MS as f64).min(1.0);
        let cold = |since: u64| CALL_MS * (self.spec.slower + (1.0 - self.spec.slower) * warm(since));
        match self.spec.behaviour {
            DependencyBehaviour::StartsWithAll => Some(cold(now_ms) as u64),
            DependencyBehaviour::WasDown => now_ms.checked_sub(DOWN_MS).map(|since| cold(since) as u64),
            DependencyBehaviour::Hangs if now_ms < COLD_MS => Some(CALL_MS as u64),
            DependencyBehaviour::Hangs => Some((CALL_MS * self.spec.slower) as u64),
        }
    }

    fn change_concurrency(&mut self, now: u64, change: i64) {
        self.concurrent_calls = self.concurrent_calls.saturating_add_signed(change);
        self.mean.set(now, self.concurrent_calls as f64);
        self.max_concurrent = self.max_concurrent.max(self.concurrent_calls);
        self.max_mean = self.max_mean.max(self.mean.mean(now));
    }

    /// Passes events to a server's module and carries out its actions at once.
    fn handle_events(&mut self, server: usize, now: u64, mut events: Vec<Event>) {
        loop {
            let mut actions = Vec::new();
            self.servers[server].handle(Time(now), &events, &mut actions);
            events = Vec::new();
            for action in actions {
                match action {
                    // Runs take no time and need their call at once.
                    Action::Run(id) => events.push(Event::UpstreamCallNeeded(id)),
                    Action::CallUpstream { id, timeout } => {
                        self.call(server, now, id.0.to_string(), timeout.0 / MS)
                    }
                    // A request that fails during its call ends there.
                    Action::Fail(id) => {
                        events.push(Event::Completed { id, outcome: Outcome::Stopped, took: Span(0) });
                    }
                    Action::SetTimer(at) => self.queue.push(at.0.max(now + 1), FleetEvent::Wakes(server)),
                    _ => {}
                }
            }
            if events.is_empty() {
                return;
            }
        }
    }

    fn call(&mut self, server: usize, now: u64, name: String, limit_ms: u64) {
        let Some(call_duration_ms) = self.call_duration_ms(now / MS) else {
            let outcome = Outcome::ConnectFailed;
            return self.queue.push(now + MS, FleetEvent::Returns { server, name, sent_at: now, outcome });
        };
        // 0 stands for the deadline of the class.
        let limit_ms = if limit_ms == 0 { 4_000 } else { limit_ms };
        let late = call_duration_ms > limit_ms;
        let outcome = if late { Outcome::TimedOut } else { Outcome::Success };
        let back = now + call_duration_ms.min(limit_ms) * MS;
        self.change_concurrency(now, 1);
        self.queue.push(if late { back + LINGER_MS * MS } else { back }, FleetEvent::Done);
        self.queue.push(back, FleetEvent::Returns { server, name, sent_at: now, outcome });
    }

    /// Plays to the end of the longest course.
    fn play(mut self) -> Self {
        let end = (DOWN_MS + COLD_MS + 2 * SPAN_MS) * MS;
        while let Some((now, event)) = self.queue.pop().filter(|(now, _)| *now <= end) {
            match event {
                FleetEvent::Arrives(server) => {
                    self.requests += 1;
                    let gap = self.request_interval_ms() * MS;
                    let next = now + gap / 2 + self.within(gap);
                    self.queue.push(next, FleetEvent::Arrives(server));
                    let request = Request {
                        size_kb: 1.0,
                        expires_in: Some(Span(CLIENT_WAIT_MS * MS)),
                        ..read(&format!("r{}", self.requests))
                    };
                    self.handle_events(server, now, vec![Event::Arrived(request)]);
                }
                FleetEvent::Wakes(server) => self.handle_events(server, now, vec![module::timer(0.1)]),
                FleetEvent::Returns { server, name, sent_at, outcome } => {
                    let took = Span(now - sent_at);
                    let mut events = vec![Event::UpstreamCallEnded { id: id(&name), outcome, took }];
                    if outcome == Outcome::Success {
                        self.delivered += 1;
                        events.push(Event::Completed { id: id(&name), outcome, took });
                    }
                    self.handle_events(server, now, events);
                }
                FleetEvent::Done => self.change_concurrency(now, -1),
            }
        }
        self
    }
}

/// Shares that are whole numbers, fractions, or so small that a single abandoned call exceeds them within the span; sums
/// below, at and above 30.
const FLEETS: [(usize, [f64; 2]); 7] = [
    (1, [1.0, 30.0]),
    (2, [1.0, 12.0]),
    (5, [1.0, 31.0]),
    (20, [5.0, 29.0]),
    (30, [5.0, 12.0]),
    (100, [5.0, 30.0]),
    (300, [12.0, 100.0]),
];

/// Rule 4 for fleets of every size. Guards against shares that each server keeps but the fleet exceeds: abandoned calls
/// that are forgotten before the span ends, and shares exceeded by one such call.
#[test]
fn dependency_load_stays_within_the_sum_of_shares() {
    let first = seed(100);
    let mut failures = Vec::new();
    for (servers, sums) in FLEETS {
        for (turn, allowed) in sums.into_iter().enumerate() {
            for (behaviour, slower) in [
                (DependencyBehaviour::StartsWithAll, 60.0),
                (DependencyBehaviour::WasDown, 8.0),
                (DependencyBehaviour::WasDown, 60.0),
                (DependencyBehaviour::Hangs, 300.0),
            ] {
                let seed = first + turn as u64;
                let spec = Spec { servers, allowed, behaviour, slower, unpaced: false, seed };
                let Fleet { max_mean, max_concurrent, delivered, .. } = Fleet::new(spec).play();
                let summary =
                    format!("{spec:?}: mean {max_mean:.2}, at once {max_concurrent}, {delivered} delivered");
                println!("{summary}");
                if max_mean > allowed {
                    failures.push(summary);
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a check that can't fail: servers without pacing.
#[test]
fn servers_without_pacing_exceed_the_limit() {
    for servers in [1, 30] {
        let (allowed, behaviour, slower) = (2.0, DependencyBehaviour::Hangs, 300.0);
        let fleet = Fleet::new(Spec { servers, allowed, behaviour, slower, unpaced: true, seed: 1 }).play();
        assert!(fleet.max_mean > allowed, "{servers} servers: {}", fleet.max_mean);
        assert!(fleet.max_concurrent as f64 > budget(allowed), "{servers} servers: {}", fleet.max_concurrent);
    }
}
