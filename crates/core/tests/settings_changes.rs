//! Changes of classes and tenants while requests are open, windows of runs are open and repeats are in transit,
//! compared with a model that uses only names.

#[path = "../../admission/tests/common/mod.rs"]
mod common;

use gradepin_admission::{ClassDefinition, ClassProfile, RequestId, Span, Tenant, Time};
use gradepin_config::change::{Change, Name, Transaction};
use gradepin_core::admin::{AdminRequest, AdminResponse};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::messages::{ClientRequest, Effect, Input, NameChange, Receipt, RunEnd};
use gradepin_core::reducer::{ApplyError, Reducer};
use gradepin_core::registration::Registration;
use gradepin_core::request_metrics::ResponseCounts;
use gradepin_core::response::Response;
use gradepin_core::slots::Handle;
use gradepin_core::timestamp::Timestamp;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const MS: u64 = 1_000_000;
const NAMES: [&str; 5] = ["read", "claim", "x", "y", "z"];
/// How long client proxies may still send keys of a class after a change.
const MAX_KEY_DELAY_MS: u64 = 1_200;

/// An attempt in the model, which refers to its class by name.
#[derive(Clone)]
struct Attempt {
    name: String,
    key: Option<Arc<str>>,
    /// Whether the key was accepted when the attempt arrived; the class may become keyed later, while the attempt is
    /// queued.
    keyed: bool,
    arrived_ms: u64,
    slot: usize,
    answered: bool,
    is_running: bool,
}

/// A run under a key, with the end of its window.
struct KeyedRun {
    name: String,
    key: Arc<str>,
    slot: usize,
    end_ms: u64,
}

struct Harness {
    reducer: Reducer,
    pool: Arc<BufferPool>,
    ms: u64,
    inputs: Vec<Input>,
    /// Names that requests may use according to the effects, with their definitions.
    names: HashMap<String, (Handle, Arc<ClassDefinition>)>,
    stale: Vec<(String, Handle)>,
    attempts: BTreeMap<RequestId, Attempt>,
    by_sequence: HashMap<i32, RequestId>,
    running: Vec<RequestId>,
    keyed_runs: Vec<KeyedRun>,
    /// When each name was last known to be keyed.
    last_keyed_ms: HashMap<String, u64>,
    counts: BTreeMap<String, ResponseCounts>,
    notice: u64,
    stats: Option<Vec<(Arc<str>, ResponseCounts)>>,
    seed: u64,
}

fn definition(name: &str, effect: &str, window_ms: u64) -> Arc<ClassDefinition> {
    let profile: ClassProfile = serde_json::from_value(json!({"name": name, "promise": 1000 * MS,
        "deadline": 4000 * MS, "effect": effect, "window": window_ms * MS, "worth": 1.0}))
    .expect("a class");
    Arc::new(ClassDefinition { profile, calls: true, skip_weight: 0.0 })
}

fn reducer() -> Reducer {
    let mut settings = common::base();
    settings["specifics"]["below"] = json!("off");
    settings["specifics"]["memory_kb"] = json!(400_000.0);
    settings["customers"] = json!([{"name": "acme", "quota_rps": 5.0, "portion": 1.0}]);
    let address = "127.0.0.1:1";
    let config = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
        "stop_ms": 2000, "limits": {"memory_mb": 192, "sockets": 128}, "settings": settings});
    let config = Config::parse(&config.to_string()).expect("a valid configuration");
    let settings = Arc::new(config.settings.clone());
    Reducer::new(&config, settings, Registration::default()).expect("a valid seed")
}

impl Harness {
    fn new(seed: u64) -> Self {
        let base = common::settings(common::base()).split().classes;
        let known = base.into_iter().enumerate();
        let names = known.map(|(slot, class)| (class.profile.name.clone(), (slot.into(), class)));
        let mut harness = Self {
            reducer: reducer(),
            pool: BufferPool::new(64),
            ms: 10_000,
            inputs: vec![
                Input::LinkUp { link: 1, cold: false, age: Span(60_000 * MS) },
                Input::ConnectionOpened(1),
            ],
            names: names.collect(),
            stale: Vec::new(),
            attempts: BTreeMap::new(),
            by_sequence: HashMap::new(),
            running: Vec::new(),
            keyed_runs: Vec::new(),
            last_keyed_ms: HashMap::from([("claim".to_string(), 10_000)]),
            counts: BTreeMap::new(),
            notice: 0,
            stats: None,
            seed,
        };
        harness.run_until_idle();
        harness
    }

    fn run_until_idle(&mut self) {
        for _ in 0..10_000 {
            let timestamp = Timestamp { now: Time(self.ms * MS), unix_ms: self.ms };
            let mut effects = Vec::new();
            self.reducer.step(timestamp, std::mem::take(&mut self.inputs), &mut effects);
            effects.into_iter().for_each(|effect| self.effect(effect));
            if self.inputs.is_empty() && self.reducer.wake_at().is_none_or(|at| at > timestamp.now) {
                return;
            }
        }
        panic!("seed {}: the reducer never becomes idle", self.seed);
    }

    fn advance(&mut self, ms: u64) {
        let until = self.ms + ms;
        while self.ms < until {
            self.ms = (self.ms + 40).min(until);
            self.run_until_idle();
        }
    }

    fn effect(&mut self, effect: Effect) {
        let seed = self.seed;
        match effect {
            Effect::ReadGauges { number, .. } => {
                self.inputs.push(Input::GaugesRead { number, values: vec![0.5, 1.0, 0.1, 9.0] })
            }
            Effect::StartRun { id, class, .. } => {
                let attempt = self.attempts.get_mut(&id).expect("an attempt");
                assert_eq!(class.profile.name, attempt.name, "seed {seed}: started as another class");
                assert!(
                    !std::mem::replace(&mut attempt.is_running, true),
                    "seed {seed}: {} started twice",
                    id.0
                );
                self.running.push(id.clone());
                if let Some(key) = attempt.key.clone() {
                    let twice = self
                        .keyed_runs
                        .iter()
                        .find(|r| r.name == attempt.name && r.key == key && attempt.arrived_ms < r.end_ms);
                    assert!(twice.is_none(), "seed {seed}: {} {key} ran twice at {}", attempt.name, self.ms);
                    if attempt.keyed && class.profile.effect == gradepin_admission::Idempotency::Keyed {
                        let end_ms = attempt.arrived_ms + class.profile.window.0 / MS;
                        let (name, slot) = (attempt.name.clone(), attempt.slot);
                        self.keyed_runs.push(KeyedRun { name, key, slot, end_ms });
                    }
                }
            }
            Effect::Respond { sequence, response, .. } => self.response_sent(sequence, &response),
            Effect::UpdateNames { changes, .. } => changes.into_iter().for_each(|c| self.name_changed(c)),
            Effect::AnswerAdmin { response: AdminResponse::Stats(stats), .. } => {
                self.stats = Some(stats.classes)
            }
            _ => {}
        }
    }

    fn response_sent(&mut self, sequence: i32, response: &Response) {
        let id = self.by_sequence[&sequence].clone();
        let attempt = self.attempts.get_mut(&id).expect("an attempt");
        assert!(!std::mem::replace(&mut attempt.answered, true), "seed {}: answered twice", self.seed);
        if matches!(response, Response::Invalid { text: explanation, .. } if explanation.starts_with("unknown method:"))
        {
            return; // Its slot was freed, so its class is unknown.
        }
        let counts = self.counts.entry(attempt.name.clone()).or_default();
        match response {
            Response::Served(_) => counts.fulfilled += 1,
            Response::Rejected { .. } => counts.throttled += 1,
            _ => counts.faulted += 1,
        }
    }

    fn name_changed(&mut self, change: NameChange) {
        match change {
            NameChange::Class { handle, class } => {
                let name = &class.profile.name;
                let open = self.attempts.values().filter(|attempt| !attempt.answered || attempt.is_running);
                let taken = open
                    .filter(|attempt| attempt.slot == handle.slot())
                    .find(|attempt| attempt.name != *name);
                assert!(taken.is_none(), "seed {}: {name} took a slot with a request open", self.seed);
                let kept = self.keyed_runs.iter().filter(|run| run.end_ms > self.ms);
                let taken = kept.filter(|run| run.slot == handle.slot()).find(|run| run.name != *name);
                assert!(taken.is_none(), "seed {}: {name} took a slot inside a window", self.seed);
                self.names.insert(name.clone(), (handle, class));
            }
            NameChange::ClassForgotten(class) => {
                let removed = self.names.remove(&class.profile.name).expect("a known name");
                self.stale.push((class.profile.name.clone(), removed.0));
            }
            _ => {}
        }
    }

    fn send_request(&mut self, name: &str, handle: Handle, key: Option<Arc<str>>) {
        let sequence = self.by_sequence.len() as i32 + 1;
        let id = RequestId::new(&format!("{sequence:016x}"));
        let body = key.as_deref().unwrap_or("body");
        let request = ClientRequest {
            id: id.clone(),
            class: handle,
            tenant: Some(0.into()),
            client_proxy: 1,
            arrived_unix_ms: self.ms,
            budget_ms: 4_000,
            retry: false,
            size_kb: 1.0,
            precedence: 0.5,
            idempotency_key: key.clone(),
            has_subject: false,
            receipt: Receipt::default(),
            body: self.pool.copy(body.as_bytes()).expect("fits"),
        };
        let (name, slot, arrived_ms) = (name.to_string(), handle.slot(), self.ms);
        let keyed = self.is_keyed(&name)
            || self.last_keyed_ms.get(&name).is_some_and(|at| arrived_ms < at + MAX_KEY_DELAY_MS);
        let attempt = Attempt { name, key, keyed, arrived_ms, slot, answered: false, is_running: false };
        self.attempts.insert(id.clone(), attempt);
        self.by_sequence.insert(sequence, id);
        self.inputs.push(Input::Request { connection: 1, sequence, request: Box::new(request) });
    }

    fn complete_run(&mut self, index: usize) {
        let id = self.running.swap_remove(index);
        self.notice += 1;
        let (end, took) = (RunEnd::Ok, Span(20 * MS));
        let result = self.pool.copy(b"out").expect("fits");
        self.attempts.get_mut(&id).expect("an attempt").is_running = false;
        self.inputs.push(Input::RunCompleted { notice: self.notice, id, end, took, result });
    }

    /// Performs one random event.
    fn perform_random_event(&mut self, rng: &mut Pcg64Mcg) {
        let mut pick = |count: usize| (rng.next_u64() % count.max(1) as u64) as usize;
        let name = NAMES[pick(NAMES.len())];
        match pick(12) {
            0..=4 => {
                let stale = self.stale.get(pick(self.stale.len())).cloned().filter(|_| pick(4) == 0);
                let (name, handle, keyed) = match (stale, self.names.get(name)) {
                    (Some((name, handle)), _) => (name, handle, false),
                    (None, Some((handle, class))) => {
                        let keyed = class.profile.effect == gradepin_admission::Idempotency::Keyed;
                        (name.to_string(), *handle, keyed)
                    }
                    (None, None) => return,
                };
                let keys_accepted =
                    self.last_keyed_ms.get(&name).is_some_and(|at| self.ms < at + MAX_KEY_DELAY_MS);
                let old: Vec<_> = self.keyed_runs.iter().filter(|run| run.name == name).collect();
                let repeated_key =
                    old.get(pick(old.len())).filter(|_| pick(2) == 0).map(|run| run.key.clone());
                let new_key =
                    (keyed || keys_accepted).then(|| Arc::from(format!("token-{}", self.attempts.len())));
                self.send_request(&name, handle, repeated_key.or(new_key));
            }
            5..=6 if !self.running.is_empty() => {
                let index = pick(self.running.len());
                self.complete_run(index);
            }
            7 => {
                let effect = ["repeatable", "by_key", "by_key", "once"][pick(4)];
                let put = definition(name, effect, [300, 1_000, 4_000][pick(3)]);
                self.note_keyed(name);
                let changes = vec![Change::PutClass(put)];
                self.reducer.apply_transaction(&Transaction { changes }).expect("the transaction is valid");
            }
            8..=9 => {
                self.note_keyed(name);
                let changes = vec![Change::RemoveClass(Name::from(name))];
                let removed = self.reducer.apply_transaction(&Transaction { changes });
                assert!(matches!(removed, Ok(_) | Err(ApplyError::UnknownClass(_) | ApplyError::NoClass)));
            }
            _ => {
                let ms = [1, 30, 400, 1_500, 3_000][pick(5)];
                self.advance(ms);
            }
        }
        self.run_until_idle();
    }

    fn is_keyed(&self, name: &str) -> bool {
        let class = self.names.get(name).map(|(_, class)| class);
        class.is_some_and(|class| class.profile.effect == gradepin_admission::Idempotency::Keyed)
    }

    /// Records that a name was keyed until now, if it was.
    fn note_keyed(&mut self, name: &str) {
        if self.is_keyed(name) {
            self.last_keyed_ms
                .entry(name.to_string())
                .and_modify(|at| *at = self.ms.max(*at))
                .or_insert(self.ms);
        }
    }
}

/// Guards against keys that run twice within their window, slots that are reused while something refers to them, and
/// responses that are counted under another class, whatever is removed, restored with another effect and reused
/// meanwhile (hard case 6).
#[test]
fn random_settings_changes_never_rerun_keys_or_mix_classes() {
    let mut reused = 0;
    for seed in 1..=40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut harness = Harness::new(seed);
        for _ in 0..400 {
            harness.perform_random_event(&mut rng);
        }
        while !harness.running.is_empty() {
            harness.complete_run(0);
            harness.run_until_idle();
        }
        harness.advance(6_000);
        assert!(harness.attempts.values().all(|attempt| attempt.answered), "seed {seed}: a response is owed");
        harness.inputs.push(Input::AdminRequest { id: 1, request: AdminRequest::Stats });
        harness.run_until_idle();
        let counted = harness.stats.take().expect("metrics").into_iter();
        let counted: BTreeMap<String, ResponseCounts> =
            counted.map(|(name, n)| (name.to_string(), n)).collect();
        assert_eq!(counted, harness.counts, "seed {seed}");
        reused += harness.stale.len();
    }
    assert!(reused > 100, "slots were freed and used again: {reused}");
}

/// Guards the steps of hard case 6: a class is removed while the window of its run is open, its slot is not reused
/// meanwhile, the class is restored with another effect, and a repeat in transit is answered from the run.
#[test]
fn restored_class_with_another_effect_answers_repeats_from_its_run() {
    let mut harness = Harness::new(0);
    let (claim, _) = harness.names["claim"];
    let key: Arc<str> = Arc::from("t");
    harness.send_request("claim", claim, Some(Arc::clone(&key)));
    harness.run_until_idle();
    harness.complete_run(0);
    harness.run_until_idle();
    let remove = Change::RemoveClass(Name::from("claim"));
    harness
        .reducer
        .apply_transaction(&Transaction { changes: vec![remove] })
        .expect("the transaction is valid");
    harness.advance(3_000);
    let other = Change::PutClass(definition("other", "once", 0));
    let back = Change::PutClass(definition("claim", "repeatable", 0));
    harness
        .reducer
        .apply_transaction(&Transaction { changes: vec![other, back] })
        .expect("the transaction is valid");
    harness.run_until_idle();
    assert_eq!((harness.names["claim"].0, harness.names["other"].0.slot()), (claim, 2));
    harness.send_request("claim", claim, Some(key));
    harness.run_until_idle();
    assert!(harness.running.is_empty(), "answered from the run");
    assert_eq!(harness.counts["claim"], ResponseCounts { fulfilled: 2, throttled: 0, faulted: 0 });
    // After all windows its restored definition applies, and once it is removed its slot is free for another name.
    harness.advance(20_000);
    let remove = Change::RemoveClass(Name::from("claim"));
    harness
        .reducer
        .apply_transaction(&Transaction { changes: vec![remove] })
        .expect("the transaction is valid");
    harness.advance(4_000);
    let third = Change::PutClass(definition("third", "once", 0));
    harness
        .reducer
        .apply_transaction(&Transaction { changes: vec![third] })
        .expect("the transaction is valid");
    harness.run_until_idle();
    assert_eq!(harness.names["third"].0.slot(), claim.slot());
    harness.send_request("claim", claim, None);
    harness.run_until_idle();
    assert!(harness.running.is_empty(), "a stale handle resolves to no class");
}

/// Guards against transactions that are applied in part: whatever is wrong with the last change, no other change may be
/// in force.
#[test]
fn rejected_transaction_changes_nothing() {
    let tenant = |name: &str| Arc::new(Tenant { name: name.into(), quota_rps: 1.0, portion: 0.0 });
    type IsExpected = fn(&ApplyError) -> bool;
    let invalid_changes: [(Change, IsExpected); 7] = [
        (Change::RemoveClass("none".into()), |e| matches!(e, ApplyError::UnknownClass(_))),
        (Change::RemoveTenant("none".into()), |e| matches!(e, ApplyError::UnknownTenant(_))),
        (Change::PutClass(definition("", "once", 0)), |e| *e == ApplyError::UnnamedClass),
        // Guards against a class whose window closes as it opens, so that each repeat runs again (review, case 6).
        (Change::PutClass(definition("save", "by_key", 0)), |e| {
            e.to_string().contains("'save': expected window above 0")
        }),
        (Change::PutTenant(tenant("")), |e| *e == ApplyError::BadTenant),
        (Change::RemoveClass("added".into()), |e| *e == ApplyError::NoClass),
        (Change::RemoveTenant("acme".into()), |e| matches!(e, ApplyError::UnknownTenant(_))),
    ];
    for (last, is_expected) in invalid_changes {
        let mut harness = Harness::new(0);
        let changes = vec![
            Change::PutClass(definition("added", "once", 0)),
            Change::RemoveClass("read".into()),
            Change::RemoveClass("claim".into()),
            Change::RemoveTenant("acme".into()),
            last,
        ];
        let error =
            harness.reducer.apply_transaction(&Transaction { changes }).expect_err("an invalid transaction");
        assert!(is_expected(&error), "{error:?}");
        harness.run_until_idle();
        let mut names: Vec<_> = harness.names.keys().map(String::as_str).collect();
        names.sort_unstable();
        assert_eq!(names, ["claim", "read"]);
        let (read, _) = harness.names["read"];
        harness.send_request("read", read, None);
        harness.run_until_idle();
        assert_eq!(harness.running.len(), 1);
        harness.advance(5_000);
    }
}
