//! A seeded stream of legal events, several thousand steps, over every kind of setting: the four rules' invariants
//! are checked after each batch, and the same stream gives the same actions.

mod common;
use common::*;
use gradepin_admission::{Action, Controller, Event, Gauges, Outcome, Request, RequestId, Span, Time};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    Held,
    Joined,
    Running,
    Gate,
    Calling,
}

struct Seen {
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

/// The server's side of the stream: what it holds, and what must hold of it.
struct Server {
    set: Value,
    seen: BTreeMap<RequestId, Seen>,
    kept: BTreeMap<RequestId, (u64, u64)>,
    ran: Vec<(u64, u64)>,
    stop_from: Option<(u64, u64)>,
    crowd: Vec<f64>,
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
                let t = self.seen.get(id).expect("known");
                assert_eq!(t.at, At::Held, "only what is held is started: {id:?}");
                if let Some((last, _)) = self.stop_from {
                    assert!(t.arrived <= last, "drain");
                }
                if self.effect(t.class) == "by_key" {
                    let again =
                        self.ran.iter().any(|&(key, from)| key == t.key && t.arrived < from + 9000 * MS);
                    assert!(!again, "duplicate run of key {}", t.key);
                    self.ran.push((t.key, t.arrived));
                }
                self.seen.get_mut(id).expect("known").at = At::Running;
            }
            Action::Reject { id, .. } => {
                let t = self.seen.remove(id).expect("refused once, and known");
                assert_eq!(t.at, At::Held, "a refusal promises that it never ran");
            }
            Action::Fail(id) => {
                let t = self.seen.get_mut(id).expect("known");
                assert!(!t.answered, "one answer each");
                t.answered = true;
                if matches!(t.at, At::Held | At::Joined) {
                    self.seen.remove(id);
                }
            }
            Action::JoinRun(id) => {
                let t = self.seen.get_mut(id).expect("known");
                assert!(t.at == At::Held && t.earlier, "join needs an earlier try");
                t.at = At::Joined;
            }
            Action::RetainIdempotencyKey { id, retain_for } => {
                let key = self.seen.get(id).expect("known").key;
                // The entry moves; one that has ended still counts for what reached the machine before.
                self.kept.retain(|_, &mut (k, until)| k != key || until <= now);
                self.kept.insert(id.clone(), (key, now + retain_for.0));
            }
            Action::ReleaseIdempotencyKey(id) => {
                self.kept.remove(id);
            }
            Action::CallUpstream { id, timeout } => {
                let t = self.seen.get_mut(id).expect("known");
                assert!(t.at == At::Gate && t.may_call && timeout.0 > 0, "calls are not blindly repeated");
                t.at = At::Calling;
            }
            Action::SkipUpstreamCall(id) => {
                let t = self.seen.get_mut(id).expect("known");
                assert_eq!((t.at, t.class), (At::Gate, 0), "the other class earns nothing without its call");
                t.at = At::Running;
            }
            Action::StopRun(id) => {
                assert_ne!(self.set["specifics"]["stop_mode"], "off", "a fault where it is off");
                assert!(self.seen.get(id).is_some_and(|t| t.answered), "only unwanted work is stopped");
            }
            Action::AdvertiseCapacity(value) => {
                assert_ne!(self.set["specifics"]["advert"], "off", "a fault where it is off");
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
        // An entry that was alive when a repeat reached the machine counts, however late that is read.
        self.kept.retain(|_, &mut (_, until)| until + 1000 * MS > now);
        let alive = self.kept.values().filter(|&&(_, until)| until > now).count();
        let held = |t: &Seen| if matches!(t.at, At::Held | At::Joined) { 1.0 } else { number("run_factor") };
        let need: f64 = self.seen.values().map(|t| t.kb * held(t)).sum::<f64>();
        let need = need + alive as f64 * number("kb_per_key");
        assert!(need <= number("memory_kb"), "memory: {need}");
        let overdue = self.seen.values().filter(|t| !t.answered && t.due + 60 * MS < now).count();
        assert_eq!(overdue, 0, "lost");
        let running = self.seen.values().filter(|t| t.at == At::Running).count() as f64;
        self.crowd.push(running);
        let last = &self.crowd[self.crowd.len().saturating_sub(300)..];
        let cores = number("n_cores");
        let mean = last.iter().sum::<f64>() / 300.0;
        assert!(mean <= cores * 4.0, "crowd {mean}");
        let (calls, share) =
            (self.seen.values().filter(|t| t.at == At::Calling).count() as f64, number("calls_out"));
        assert!(
            self.set["specifics"]["below"] != "shared" || calls <= share.max(1.0),
            "{calls} calls in hand"
        );
    }
}

fn play(set: &Value, seed: u64, drain: bool) -> Vec<Action> {
    let mut dice = Pcg64Mcg::seed_from_u64(seed);
    let mut c = Controller::new(settings(set.clone()), seed, Time(0));
    let (seen, kept, ran, crowd) = (BTreeMap::new(), BTreeMap::new(), Vec::new(), Vec::new());
    let mut s = Server { set: set.clone(), seen, kept, ran, stop_from: None, crowd };
    let mut all = Vec::new();
    let told = set["specifics"]["passes_deadline"] == true;
    for step in 0..4000_u64 {
        let now = step * 5 * MS;
        let (mut events, mut batch) = (Vec::new(), Vec::new());
        let burst = if step % 700 < 60 { 6 } else { 1 };
        for n in 0..dice.next_u64() % (burst + 1) {
            let (class, key) = ((dice.next_u64() % 2) as usize, dice.next_u64() % 40);
            let (queued, wait) = (dice.next_u64() % (900 * MS), 1 + dice.next_u64() % (4000 * MS));
            let arrived = now.saturating_sub(queued);
            let keyed = s.effect(class) != "repeatable";
            let once = s.effect(class) == "once";
            // Tries of one batch see each other, even unkept.
            let full = key + class as u64 * 100;
            let same = batch.iter().rev().find(|(k, _)| *k == full).map(|(_, id)| RequestId::clone(id));
            let kept = s
                .kept
                .iter()
                .find(|(_, (k, until))| *k == full && *until > arrived)
                .map(|(id, _)| id.clone());
            // What runs once has no key, so nothing tells its tries apart.
            let earlier = same.or(kept).filter(|_| !once);
            let id = RequestId::new(&format!("t{step}-{n}"));
            let kb = (5 + dice.next_u64() % 60) as f64;
            let due = if told { now + wait } else { (arrived + 4000 * MS).max(now) };
            let r = Request {
                id: id.clone(),
                class,
                expires_in: told.then_some(Span(wait)),
                has_subject: !keyed,
                size_kb: kb,
                retry: dice.next_u64().is_multiple_of(5),
                work: dice.next_u64().is_multiple_of(2).then_some(Span(dice.next_u64() % (900 * MS))),
                tenant: Some((dice.next_u64() % 3) as usize),
                earlier_attempt: earlier.clone(),
                unread_for: Span(now - arrived),
                ..Request::default()
            };
            let key = full;
            batch.push((full, id.clone()));
            let earlier = earlier.is_some();
            let t = Seen {
                at: At::Held,
                class,
                kb,
                arrived,
                due,
                key,
                earlier,
                answered: false,
                may_call: false,
            };
            s.seen.insert(id, t);
            events.push(Event::Arrived(r));
        }
        // What is at work moves on by chance; in a hang nothing does.
        let hang = (1500..1800).contains(&step);
        let busy: Vec<RequestId> =
            s.seen.iter().filter(|(_, t)| t.at != At::Held).map(|(id, _)| id.clone()).collect();
        for id in busy.into_iter().filter(|_| !hang) {
            let roll = dice.next_u64() % 100;
            let safe = s.seen.get(&id).is_some_and(|t| s.effect(t.class) == "repeatable");
            let t = s.seen.get_mut(&id).expect("known");
            let fresh = t.arrived / MS == now / MS;
            match t.at {
                At::Running if roll < 3 && !t.answered => {
                    (t.at, t.may_call) = (At::Gate, true);
                    events.push(Event::UpstreamCallNeeded(id));
                }
                At::Running | At::Joined if roll < 8 && !fresh => {
                    let outcome = if roll == 4 { Outcome::Failure } else { Outcome::Success };
                    s.seen.remove(&id);
                    events.push(Event::Completed { id, outcome, took: Span(200 * MS) });
                }
                At::Gate | At::Calling if t.answered => {
                    s.seen.remove(&id);
                    events.push(Event::Completed { id, outcome: Outcome::Stopped, took: Span(300 * MS) });
                }
                At::Calling if roll < 15 => {
                    let all = [Outcome::Success, Outcome::Rejected, Outcome::TimedOut, Outcome::Failure];
                    let outcome = all[(dice.next_u64() % 4) as usize];
                    t.at = if outcome == Outcome::Success { At::Running } else { At::Gate };
                    t.may_call = outcome == Outcome::Rejected || safe;
                    events.push(Event::UpstreamCallEnded { id, outcome, took: Span(40 * MS) });
                }
                _ => {}
            }
        }
        if step % 20 == 0 {
            let runnable = set["specifics"]["n_cores"].as_f64().map(|cores| cores / 2.0);
            let half = Gauges {
                cpu_utilization: Some(0.5),
                runnable,
                memory_utilization: Some(0.3),
                links: Some(9.0),
            };
            events.push(Event::Timer(half));
        }
        if drain && step == 3000 {
            events.push(Event::ShutdownNotice(Span(3000 * MS)));
            s.stop_from = Some((now + 1000 * MS, now + 3000 * MS));
        }
        let mut out = Vec::new();
        c.handle(Time(now), &events, &mut out);
        for action in &out {
            s.apply(now, action);
        }
        s.check(now);
        if s.stop_from.is_some_and(|(_, stop)| now >= stop) {
            assert!(s.seen.values().all(|t| t.answered), "all is answered before the stop");
        }
        all.extend(out);
    }
    assert!(all.iter().filter(|a| matches!(a, Action::Run(_))).count() > 100, "it does work");
    all
}

#[test]
fn the_rules_hold_under_every_kind_of_setting() {
    let mut seed = 0;
    for stop in ["off", "abort", "suspend"] {
        for (below, share) in [("shared", 4.0), ("shared", 0.4), ("tier", 0.0), ("off", 0.0)] {
            for (advert, told) in [("off", true), ("window", false), ("share_of", true), ("threshold", false)]
            {
                let mut set = base();
                set["specifics"]["stop_mode"] = json!(stop);
                set["specifics"]["below"] = json!(below);
                set["specifics"]["calls_out"] = json!(share);
                set["specifics"]["advert"] = json!(advert);
                set["specifics"]["passes_deadline"] = json!(told);
                set["specifics"]["fresh_for"] = json!(if told { 1000 * MS } else { 0 });
                set["specifics"]["memory_kb"] = json!(1500.0);
                set["customers"] = json!([{"name": "a", "quota_rps": 20.0}, {"name": "b", "quota_rps": 5.0}]);
                seed += 1;
                play(&set, seed, seed % 2 == 0);
            }
        }
    }
}

/// Settings of another size: the fleet, its callers, its times, memory and worths.
fn sized(servers: u64, cores: u64, times: u64, effect: &str) -> Value {
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
fn the_rules_hold_at_every_size_and_names_decide_nothing() {
    let mut seed = 100;
    for (servers, cores, times) in [(1, 1, 1), (20, 2, 3), (300, 2, 2), (5000, 16, 1), (40, 64, 4)] {
        for effect in ["by_key", "once", "repeatable"] {
            let set = sized(servers, cores, times, effect);
            let mut renamed = set.clone();
            renamed["profiles"][0]["name"] = json!("x/9");
            renamed["profiles"][1]["name"] = json!("read");
            seed += 1;
            assert_eq!(play(&set, seed, seed % 2 == 0), play(&renamed, seed, seed % 2 == 0));
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play(&base(), 5, true), play(&base(), 5, true));
}
