//! Seeded streams of valid events, several thousand steps each, over all modes of the settings. The invariants of
//! the platform's rules are checked after each batch, and the same stream must produce the same actions.

mod common;
use common::*;
use gradepin_admission::{Action, Controller, Event, Gauges, Outcome, Request, RequestId, Span, Time};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Where an open request stands.
#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    Queued,
    Joined,
    Running,
    AwaitingCall,
    Calling,
}

/// An open request, as the host knows it. Times are in ns.
struct Open {
    at: At,
    class: usize,
    kb: f64,
    arrived: u64,
    due: u64,
    key: u64,
    earlier: bool,
    answered: bool,
    may_call: bool,
}

/// The host: applies the actions to its state and checks the invariants.
struct Server {
    set: Value,
    open: BTreeMap<RequestId, Open>,
    /// Idempotency table: key and expiry of each entry.
    retained: BTreeMap<RequestId, (u64, u64)>,
    /// Key and arrival of each run of a keyed request.
    keyed_runs: Vec<(u64, u64)>,
    /// While draining: latest arrival that may run, and time of the stop.
    drain_times: Option<(u64, u64)>,
    /// Number of running requests after each batch.
    concurrency: Vec<f64>,
}

impl Server {
    fn effect(&self, class: usize) -> &str {
        self.set["profiles"][class]["effect"].as_str().expect("text")
    }

    fn apply(&mut self, now: u64, action: &Action) {
        let factor = self.set["specifics"]["run_factor"].as_f64().expect("number");
        assert!(factor >= 1.0);
        match action {
            Action::Run(id) => {
                let t = self.open.get(id).expect("known");
                assert_eq!(t.at, At::Queued, "only queued requests are started: {id:?}");
                if let Some((last, _)) = self.drain_times {
                    assert!(t.arrived <= last, "a request that arrived after the grace period runs");
                }
                if self.effect(t.class) == "by_key" {
                    let again = self
                        .keyed_runs
                        .iter()
                        .any(|&(key, from)| key == t.key && t.arrived < from + 9000 * MS);
                    assert!(!again, "duplicate run of key {}", t.key);
                    self.keyed_runs.push((t.key, t.arrived));
                }
                self.open.get_mut(id).expect("known").at = At::Running;
            }
            Action::Reject { id, .. } => {
                let t = self.open.remove(id).expect("known, and rejected only once");
                assert_eq!(t.at, At::Queued, "a rejected request has never run");
            }
            Action::Fail(id) => {
                let t = self.open.get_mut(id).expect("known");
                assert!(!t.answered, "one response per request");
                t.answered = true;
                if matches!(t.at, At::Queued | At::Joined) {
                    self.open.remove(id);
                }
            }
            Action::JoinRun(id) => {
                let t = self.open.get_mut(id).expect("known");
                assert!(
                    t.at == At::Queued && t.earlier,
                    "only a request that names an earlier attempt is joined"
                );
                t.at = At::Joined;
            }
            Action::RetainIdempotencyKey { id, retain_for } => {
                let key = self.open.get(id).expect("known").key;
                // The key has one live entry. An expired one still counts for requests that arrived before its expiry.
                self.retained.retain(|_, &mut (k, until)| k != key || until <= now);
                self.retained.insert(id.clone(), (key, now + retain_for.0));
            }
            Action::ReleaseIdempotencyKey(id) => {
                self.retained.remove(id);
            }
            Action::CallUpstream { id, timeout } => {
                let t = self.open.get_mut(id).expect("known");
                assert!(
                    t.at == At::AwaitingCall && t.may_call && timeout.0 > 0,
                    "calls are repeated only where that is safe"
                );
                t.at = At::Calling;
            }
            Action::SkipUpstreamCall(id) => {
                let t = self.open.get_mut(id).expect("known");
                assert_eq!(
                    (t.at, t.class),
                    (At::AwaitingCall, 0),
                    "the other class earns nothing without its call"
                );
                t.at = At::Running;
            }
            Action::StopRun(id) => {
                assert_ne!(self.set["specifics"]["stop_mode"], "off", "runs cannot be stopped");
                assert!(
                    self.open.get(id).is_some_and(|t| t.answered),
                    "only runs without need of a response are stopped"
                );
            }
            Action::AdvertiseCapacity(value) => {
                assert_ne!(self.set["specifics"]["advert"], "off", "nothing is advertised without a signal");
                assert!(*value >= 0.0 && value.is_finite());
            }
            Action::SetTimer(_)
            | Action::ReportHealth { .. }
            | Action::SetIdleTimeout(_)
            | Action::Log(_) => {}
        }
    }

    fn check(&mut self, now: u64) {
        let number = |name: &str| self.set["specifics"][name].as_f64().expect("number");
        // An entry counts if it was live when a repeat reached the machine, however late the repeat is read.
        self.retained.retain(|_, &mut (_, until)| until + 1000 * MS > now);
        let alive = self.retained.values().filter(|&&(_, until)| until > now).count();
        let mul = |t: &Open| if matches!(t.at, At::Queued | At::Joined) { 1.0 } else { number("run_factor") };
        let need: f64 = self.open.values().map(|t| t.kb * mul(t)).sum::<f64>();
        let need = need + alive as f64 * number("kb_per_key");
        assert!(need <= number("memory_kb"), "memory: {need}");
        let unanswered = self.open.values().filter(|t| !t.answered && t.due + 60 * MS < now).count();
        assert_eq!(unanswered, 0, "requests past their deadline without a response");
        let running = self.open.values().filter(|t| t.at == At::Running).count() as f64;
        self.concurrency.push(running);
        let last = &self.concurrency[self.concurrency.len().saturating_sub(300)..];
        let cores = number("n_cores");
        let mean = last.iter().sum::<f64>() / 300.0;
        assert!(mean <= cores * 4.0, "mean concurrency {mean}");
        let (calls, share) =
            (self.open.values().filter(|t| t.at == At::Calling).count() as f64, number("calls_out"));
        assert!(
            self.set["specifics"]["below"] != "shared" || calls <= share.max(1.0),
            "{calls} calls in flight"
        );
    }
}

fn run_stream(set: &Value, seed: u64, drain: bool) -> Vec<Action> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut c = Controller::new(settings(set.clone()), seed, Time(0));
    let (open, retained, keyed_runs, concurrency) =
        (BTreeMap::new(), BTreeMap::new(), Vec::new(), Vec::new());
    let mut s = Server { set: set.clone(), open, retained, keyed_runs, drain_times: None, concurrency };
    let mut all = Vec::new();
    let propagates_deadline = set["specifics"]["passes_deadline"] == true;
    for step in 0..4000_u64 {
        let now = step * 5 * MS;
        let (mut events, mut batch) = (Vec::new(), Vec::new());
        let burst = if step % 700 < 60 { 6 } else { 1 };
        for n in 0..rng.next_u64() % (burst + 1) {
            let (class, key) = ((rng.next_u64() % 2) as usize, rng.next_u64() % 40);
            let (queued, wait) = (rng.next_u64() % (900 * MS), 1 + rng.next_u64() % (4000 * MS));
            let arrived = now.saturating_sub(queued);
            let keyed = s.effect(class) != "repeatable";
            let once = s.effect(class) == "once";
            // Attempts of one batch know each other, even without an entry in the table.
            let class_key = key + class as u64 * 100;
            let in_batch =
                batch.iter().rev().find(|(k, _)| *k == class_key).map(|(_, id)| RequestId::clone(id));
            let retained = s
                .retained
                .iter()
                .find(|(_, (k, until))| *k == class_key && *until > arrived)
                .map(|(id, _)| id.clone());
            // Requests of a non-idempotent class have no key, so their repeats cannot be recognized.
            let earlier = in_batch.or(retained).filter(|_| !once);
            let id = RequestId::new(&format!("t{step}-{n}"));
            let kb = (5 + rng.next_u64() % 60) as f64;
            let due = if propagates_deadline { now + wait } else { (arrived + 4000 * MS).max(now) };
            let r = Request {
                id: id.clone(),
                class,
                expires_in: propagates_deadline.then_some(Span(wait)),
                has_subject: !keyed,
                size_kb: kb,
                retry: rng.next_u64().is_multiple_of(5),
                work: rng.next_u64().is_multiple_of(2).then_some(Span(rng.next_u64() % (900 * MS))),
                tenant: Some((rng.next_u64() % 3) as usize),
                earlier_attempt: earlier.clone(),
                unread_for: Span(now - arrived),
                ..Request::default()
            };
            let key = class_key;
            batch.push((class_key, id.clone()));
            let earlier = earlier.is_some();
            let t = Open {
                at: At::Queued,
                class,
                kb,
                arrived,
                due,
                key,
                earlier,
                answered: false,
                may_call: false,
            };
            s.open.insert(id, t);
            events.push(Event::Arrived(r));
        }
        // Runs and calls advance at random, and not at all while the processor hangs.
        let hang = (1500..1800).contains(&step);
        let busy: Vec<RequestId> =
            s.open.iter().filter(|(_, t)| t.at != At::Queued).map(|(id, _)| id.clone()).collect();
        for id in busy.into_iter().filter(|_| !hang) {
            let roll = rng.next_u64() % 100;
            let is_idempotent = s.open.get(&id).is_some_and(|t| s.effect(t.class) == "repeatable");
            let t = s.open.get_mut(&id).expect("known");
            let arrived_now = t.arrived / MS == now / MS;
            match t.at {
                At::Running if roll < 3 && !t.answered => {
                    (t.at, t.may_call) = (At::AwaitingCall, true);
                    events.push(Event::UpstreamCallNeeded(id));
                }
                At::Running | At::Joined if roll < 8 && !arrived_now => {
                    let outcome = if roll == 4 { Outcome::Failure } else { Outcome::Success };
                    s.open.remove(&id);
                    events.push(Event::Completed { id, outcome, took: Span(200 * MS) });
                }
                At::AwaitingCall | At::Calling if t.answered => {
                    s.open.remove(&id);
                    events.push(Event::Completed { id, outcome: Outcome::Stopped, took: Span(300 * MS) });
                }
                At::Calling if roll < 15 => {
                    let all = [Outcome::Success, Outcome::Rejected, Outcome::TimedOut, Outcome::Failure];
                    let outcome = all[(rng.next_u64() % 4) as usize];
                    t.at = if outcome == Outcome::Success { At::Running } else { At::AwaitingCall };
                    t.may_call = outcome == Outcome::Rejected || is_idempotent;
                    events.push(Event::UpstreamCallEnded { id, outcome, took: Span(40 * MS) });
                }
                _ => {}
            }
        }
        if step % 20 == 0 {
            let runnable = set["specifics"]["n_cores"].as_f64().map(|cores| cores / 2.0);
            let gauges = Gauges {
                cpu_utilization: Some(0.5),
                runnable,
                memory_utilization: Some(0.3),
                links: Some(9.0),
            };
            events.push(Event::Timer(gauges));
        }
        if drain && step == 3000 {
            events.push(Event::ShutdownNotice(Span(3000 * MS)));
            s.drain_times = Some((now + 1000 * MS, now + 3000 * MS));
        }
        let mut out = Vec::new();
        c.handle(Time(now), &events, &mut out);
        for action in &out {
            s.apply(now, action);
        }
        s.check(now);
        if s.drain_times.is_some_and(|(_, stop)| now >= stop) {
            assert!(s.open.values().all(|t| t.answered), "all requests have a response before the stop");
        }
        all.extend(out);
    }
    assert!(all.iter().filter(|a| matches!(a, Action::Run(_))).count() > 100, "the server runs requests");
    all
}

#[test]
fn invariants_hold_in_every_mode_of_the_settings() {
    let mut seed = 0;
    for stop in ["off", "abort", "suspend"] {
        for (below, share) in [("shared", 4.0), ("shared", 0.4), ("tier", 0.0), ("off", 0.0)] {
            for (advert, propagates_deadline) in
                [("off", true), ("window", false), ("share_of", true), ("threshold", false)]
            {
                let mut set = base();
                set["specifics"]["stop_mode"] = json!(stop);
                set["specifics"]["below"] = json!(below);
                set["specifics"]["calls_out"] = json!(share);
                set["specifics"]["advert"] = json!(advert);
                set["specifics"]["passes_deadline"] = json!(propagates_deadline);
                set["specifics"]["fresh_for"] = json!(if propagates_deadline { 1000 * MS } else { 0 });
                set["specifics"]["memory_kb"] = json!(1500.0);
                set["customers"] = json!([{"name": "a", "quota_rps": 20.0}, {"name": "b", "quota_rps": 5.0}]);
                seed += 1;
                run_stream(&set, seed, seed % 2 == 0);
            }
        }
    }
}

/// Settings scaled to a number of servers and cores, and to a multiple of the usual latencies.
fn scaled(servers: u64, cores: u64, times: u64, effect: &str) -> Value {
    let mut set = base();
    set["servers"] = json!(servers);
    set["specifics"]["clients_total"] = json!(servers * 3);
    set["specifics"]["n_cores"] = json!(cores);
    set["specifics"]["memory_kb"] = json!(1500.0 * cores as f64);
    set["specifics"]["calls_out"] = json!(40.0 / servers as f64);
    set["specifics"]["list_follows"] = json!(servers > 100);
    set["specifics"]["calls_by_class"] = json!([true, servers.is_multiple_of(2)]);
    set["specifics"]["stop_mode"] = json!("abort");
    set["callers"]["marks_retry"] = json!(cores > 1);
    for profile in set["profiles"].as_array_mut().expect("a list") {
        profile["promise"] = json!(times * 1000 * MS);
        profile["deadline"] = json!(times * 4000 * MS);
        profile["worth"] = json!(servers as f64);
    }
    set["profiles"][1]["effect"] = json!(effect);
    set
}

#[test]
fn invariants_hold_at_every_scale_and_class_names_have_no_effect() {
    let mut seed = 100;
    for (servers, cores, times) in [(1, 1, 1), (20, 2, 3), (300, 2, 2), (5000, 16, 1), (40, 64, 4)] {
        for effect in ["by_key", "once", "repeatable"] {
            let set = scaled(servers, cores, times, effect);
            let mut renamed = set.clone();
            renamed["profiles"][0]["name"] = json!("x/9");
            renamed["profiles"][1]["name"] = json!("read");
            seed += 1;
            assert_eq!(run_stream(&set, seed, seed % 2 == 0), run_stream(&renamed, seed, seed % 2 == 0));
        }
    }
}

#[test]
fn same_seed_and_events_produce_the_same_actions() {
    assert_eq!(run_stream(&base(), 5, true), run_stream(&base(), 5, true));
}
