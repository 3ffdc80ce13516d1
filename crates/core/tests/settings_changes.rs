//! Changes of classes and tenants while requests are open, runs are inside their windows and repeats are on their way, compared
//! with a model that goes by names alone.

#[path = "../../admission/tests/common/mod.rs"]
mod common;

use gradepin_admission::{ClassDefinition, ClassProfile, RequestId, Span, Tenant, Time};
use gradepin_config::change::{Change, Name, Transaction};
use gradepin_core::admin::{AdminRequest, AdminResponse};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::messages::{ClientRequest, Effect, Input, NameChange, RunEnd};
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
/// Client proxies may send keys of a class for so long after a change.
const MAX_KEY_DELAY_MS: u64 = 1_200;

/// An attempt as the model knows it: by names.
#[derive(Clone)]
struct Attempt {
    name: String,
    token: Option<Arc<str>>,
    /// Whether its key counted when it arrived: the class may become keyed later, while the attempt is queued.
    keyed: bool,
    t0: u64,
    slot: usize,
    answered: bool,
    runs: bool,
}

/// A run under a key, and when its window ends.
struct KeyedRun {
    name: String,
    token: Arc<str>,
    slot: usize,
    closes: u64,
}

struct World {
    reducer: Reducer,
    pool: Arc<BufferPool>,
    ms: u64,
    inputs: Vec<Input>,
    /// Names that requests may use, by the effects, with the definitions.
    names: HashMap<String, (Handle, Arc<ClassDefinition>)>,
    stale: Vec<(String, Handle)>,
    attempts: BTreeMap<RequestId, Attempt>,
    by_sequence: HashMap<i32, RequestId>,
    running: Vec<RequestId>,
    ran: Vec<KeyedRun>,
    /// When each name was last defined as keyed.
    keyed: HashMap<String, u64>,
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
    settings["customers"] = json!([{"name": "acme", "quota_rps": 5.0}]);
    let address = "127.0.0.1:1";
    let config = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
        "stop_ms": 2000, "limits": {"sockets": 128}, "settings": settings});
    let config = Config::parse(&config.to_string()).expect("a whole configuration");
    let settings = Arc::new(config.settings.clone());
    Reducer::new(&config, settings, Registration::default()).expect("whole")
}

impl World {
    fn new(seed: u64) -> Self {
        let base = common::settings(common::base()).split().classes;
        let known = base.into_iter().enumerate();
        let names = known.map(|(slot, class)| (class.profile.name.clone(), (slot.into(), class)));
        let mut world = Self {
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
            ran: Vec::new(),
            keyed: HashMap::from([("claim".to_string(), 10_000)]),
            counts: BTreeMap::new(),
            notice: 0,
            stats: None,
            seed,
        };
        world.settle();
        world
    }

    fn settle(&mut self) {
        for _ in 0..10_000 {
            let moment = Timestamp { now: Time(self.ms * MS), unix_ms: self.ms };
            let mut effects = Vec::new();
            self.reducer.step(moment, std::mem::take(&mut self.inputs), &mut effects);
            effects.into_iter().for_each(|effect| self.effect(effect));
            if self.inputs.is_empty() && self.reducer.wake_at().is_none_or(|at| at > moment.now) {
                return;
            }
        }
        panic!("seed {}: the reducer never rests", self.seed);
    }

    fn advance(&mut self, ms: u64) {
        let until = self.ms + ms;
        while self.ms < until {
            self.ms = (self.ms + 40).min(until);
            self.settle();
        }
    }

    fn effect(&mut self, effect: Effect) {
        let seed = self.seed;
        match effect {
            Effect::ReadGauges { number, .. } => {
                self.inputs.push(Input::GaugesRead { number, values: vec![0.5, 1.0, 0.1, 9.0] })
            }
            Effect::StartRun { id, class, .. } => {
                let one = self.attempts.get_mut(&id).expect("an attempt");
                assert_eq!(class.profile.name, one.name, "seed {seed}: begun as another class");
                assert!(!std::mem::replace(&mut one.runs, true), "seed {seed}: {} begun twice", id.0);
                self.running.push(id.clone());
                if let Some(token) = one.token.clone() {
                    let twice = self
                        .ran
                        .iter()
                        .find(|ran| ran.name == one.name && ran.token == token && one.t0 < ran.closes);
                    assert!(twice.is_none(), "seed {seed}: {} {token} ran twice at {}", one.name, self.ms);
                    if one.keyed && class.profile.effect == gradepin_admission::Idempotency::Keyed {
                        let closes = one.t0 + class.profile.window.0 / MS;
                        let (name, slot) = (one.name.clone(), one.slot);
                        self.ran.push(KeyedRun { name, token, slot, closes });
                    }
                }
            }
            Effect::Respond { sequence, response, .. } => self.answered(sequence, &response),
            Effect::UpdateNames { changes, .. } => changes.into_iter().for_each(|change| self.name(change)),
            Effect::AnswerAdmin { response: AdminResponse::Stats(stats), .. } => {
                self.stats = Some(stats.classes)
            }
            _ => {}
        }
    }

    fn answered(&mut self, sequence: i32, answer: &Response) {
        let id = self.by_sequence[&sequence].clone();
        let one = self.attempts.get_mut(&id).expect("an attempt");
        assert!(!std::mem::replace(&mut one.answered, true), "seed {}: two answers", self.seed);
        if matches!(answer, Response::Invalid { text: why, .. } if why.starts_with("unknown method:")) {
            return; // Its slot was freed: nobody knows what class that was.
        }
        let counts = self.counts.entry(one.name.clone()).or_default();
        match answer {
            Response::Served(_) => counts.fulfilled += 1,
            Response::Rejected { .. } => counts.throttled += 1,
            _ => counts.faulted += 1,
        }
    }

    fn name(&mut self, change: NameChange) {
        match change {
            NameChange::Class { handle, class } => {
                let name = &class.profile.name;
                let open = self.attempts.values().filter(|one| !one.answered || one.runs);
                let taken = open.filter(|one| one.slot == handle.slot()).find(|one| one.name != *name);
                assert!(taken.is_none(), "seed {}: {name} took a slot with a request open", self.seed);
                let kept = self.ran.iter().filter(|ran| ran.closes > self.ms);
                let taken = kept.filter(|ran| ran.slot == handle.slot()).find(|ran| ran.name != *name);
                assert!(taken.is_none(), "seed {}: {name} took a slot inside a window", self.seed);
                self.names.insert(name.clone(), (handle, class));
            }
            NameChange::ClassForgotten(class) => {
                let gone = self.names.remove(&class.profile.name).expect("a known name");
                self.stale.push((class.profile.name.clone(), gone.0));
            }
            _ => {}
        }
    }

    fn call(&mut self, name: &str, handle: Handle, token: Option<Arc<str>>) {
        let sequence = self.by_sequence.len() as i32 + 1;
        let id = RequestId::new(&format!("{sequence:016x}"));
        let body = token.as_deref().unwrap_or("body");
        let call = ClientRequest {
            id: id.clone(),
            class: handle,
            tenant: Some(0.into()),
            client_proxy: 1,
            arrived_unix_ms: self.ms,
            budget_ms: 4_000,
            retry: false,
            size_kb: 1.0,
            precedence: 0.5,
            idempotency_key: token.clone(),
            has_subject: false,
            body: self.pool.copy(body.as_bytes()).expect("fits"),
        };
        let (name, slot, t0) = (name.to_string(), handle.slot(), self.ms);
        let keyed =
            self.is_keyed(&name) || self.keyed.get(&name).is_some_and(|at| t0 < at + MAX_KEY_DELAY_MS);
        let one = Attempt { name, token, keyed, t0, slot, answered: false, runs: false };
        self.attempts.insert(id.clone(), one);
        self.by_sequence.insert(sequence, id);
        self.inputs.push(Input::Request { connection: 1, sequence, request: Box::new(call) });
    }

    fn complete(&mut self, place: usize) {
        let id = self.running.swap_remove(place);
        self.notice += 1;
        let (end, took) = (RunEnd::Ok, Span(20 * MS));
        let result = self.pool.copy(b"out").expect("fits");
        self.attempts.get_mut(&id).expect("an attempt").runs = false;
        self.inputs.push(Input::RunCompleted { notice: self.notice, id, end, took, result });
    }

    /// One of the things that may happen, at random.
    fn happens(&mut self, rng: &mut Pcg64Mcg) {
        let mut pick = |most: usize| (rng.next_u64() % most.max(1) as u64) as usize;
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
                let late = self.keyed.get(&name).is_some_and(|at| self.ms < at + MAX_KEY_DELAY_MS);
                let old: Vec<_> = self.ran.iter().filter(|ran| ran.name == name).collect();
                let repeat = old.get(pick(old.len())).filter(|_| pick(2) == 0).map(|ran| ran.token.clone());
                let fresh = (keyed || late).then(|| Arc::from(format!("token-{}", self.attempts.len())));
                self.call(&name, handle, repeat.or(fresh));
            }
            5..=6 if !self.running.is_empty() => {
                let place = pick(self.running.len());
                self.complete(place);
            }
            7 => {
                let effect = ["repeatable", "by_key", "by_key", "once"][pick(4)];
                let put = definition(name, effect, [300, 1_000, 4_000][pick(3)]);
                self.note_keyed(name);
                let changes = vec![Change::PutClass(put)];
                self.reducer.apply_transaction(&Transaction { changes }).expect("it can be applied");
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
        self.settle();
    }

    fn is_keyed(&self, name: &str) -> bool {
        let class = self.names.get(name).map(|(_, class)| class);
        class.is_some_and(|class| class.profile.effect == gradepin_admission::Idempotency::Keyed)
    }

    /// A name that was defined as keyed until now.
    fn note_keyed(&mut self, name: &str) {
        if self.is_keyed(name) {
            self.keyed.entry(name.to_string()).and_modify(|at| *at = self.ms.max(*at)).or_insert(self.ms);
        }
    }
}

/// Guards hard case 6: no run twice within its window, no slot reused that something refers to, no response counted under
/// another class, whatever is removed, restored with another effect and reused meanwhile.
#[test]
fn settings_changes_at_any_time_run_no_key_twice_and_mix_no_classes() {
    let mut reused = 0;
    for seed in 1..=40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new(seed);
        for _ in 0..400 {
            world.happens(&mut rng);
        }
        while !world.running.is_empty() {
            world.complete(0);
            world.settle();
        }
        world.advance(6_000);
        assert!(world.attempts.values().all(|one| one.answered), "seed {seed}: an answer is owed");
        world.inputs.push(Input::AdminRequest { id: 1, request: AdminRequest::Stats });
        world.settle();
        let counted = world.stats.take().expect("figures").into_iter();
        let counted: BTreeMap<String, ResponseCounts> =
            counted.map(|(name, n)| (name.to_string(), n)).collect();
        assert_eq!(counted, world.counts, "seed {seed}");
        reused += world.stale.len();
    }
    assert!(reused > 100, "slots were freed and used again: {reused}");
}

/// Guards hard case 6 step by step: a class is removed while a request is open and another one's run is inside its window, its
/// slot is not reused meanwhile, it is restored with another effect, and a repeat on its way is answered from the run.
#[test]
fn class_restored_with_another_effect_answers_repeats_from_its_run() {
    let mut world = World::new(0);
    let (claim, _) = world.names["claim"];
    let token: Arc<str> = Arc::from("t");
    world.call("claim", claim, Some(Arc::clone(&token)));
    world.settle();
    world.complete(0);
    world.settle();
    let remove = Change::RemoveClass(Name::from("claim"));
    world.reducer.apply_transaction(&Transaction { changes: vec![remove] }).expect("applied");
    world.advance(3_000);
    let other = Change::PutClass(definition("other", "once", 0));
    let back = Change::PutClass(definition("claim", "repeatable", 0));
    world.reducer.apply_transaction(&Transaction { changes: vec![other, back] }).expect("applied");
    world.settle();
    assert_eq!((world.names["claim"].0, world.names["other"].0.slot()), (claim, 2));
    world.call("claim", claim, Some(token));
    world.settle();
    assert!(world.running.is_empty(), "answered from the run");
    assert_eq!(world.counts["claim"], ResponseCounts { fulfilled: 2, throttled: 0, faulted: 0 });
    // Past all windows its restored definition holds, and once it is removed its slot is free for another name.
    world.advance(20_000);
    let remove = Change::RemoveClass(Name::from("claim"));
    world.reducer.apply_transaction(&Transaction { changes: vec![remove] }).expect("applied");
    world.advance(4_000);
    let third = Change::PutClass(definition("third", "once", 0));
    world.reducer.apply_transaction(&Transaction { changes: vec![third] }).expect("applied");
    world.settle();
    assert_eq!(world.names["third"].0.slot(), claim.slot());
    world.call("claim", claim, None);
    world.settle();
    assert!(world.running.is_empty(), "a handle of before is nobody's");
}

/// Guards against a transaction that is applied in part: whatever is wrong with its last change, nothing of it is in force.
#[test]
fn rejected_transaction_changes_nothing() {
    let tenant = |name: &str| Arc::new(Tenant { name: name.into(), quota_rps: 1.0, portion: 0.0 });
    type IsWhy = fn(&ApplyError) -> bool;
    let bad: [(Change, IsWhy); 6] = [
        (Change::RemoveClass("none".into()), |e| matches!(e, ApplyError::UnknownClass(_))),
        (Change::RemoveTenant("none".into()), |e| matches!(e, ApplyError::UnknownTenant(_))),
        (Change::PutClass(definition("", "once", 0)), |e| matches!(e, ApplyError::BadClass(_))),
        (Change::PutTenant(tenant("")), |e| *e == ApplyError::BadTenant),
        (Change::RemoveClass("added".into()), |e| *e == ApplyError::NoClass),
        (Change::RemoveTenant("acme".into()), |e| matches!(e, ApplyError::UnknownTenant(_))),
    ];
    for (last, is_why) in bad {
        let mut world = World::new(0);
        let changes = vec![
            Change::PutClass(definition("added", "once", 0)),
            Change::RemoveClass("read".into()),
            Change::RemoveClass("claim".into()),
            Change::RemoveTenant("acme".into()),
            last,
        ];
        let why = world.reducer.apply_transaction(&Transaction { changes }).expect_err("refused");
        assert!(is_why(&why), "{why:?}");
        world.settle();
        let mut names: Vec<_> = world.names.keys().map(String::as_str).collect();
        names.sort_unstable();
        assert_eq!(names, ["claim", "read"]);
        let (read, _) = world.names["read"];
        world.call("read", read, None);
        world.settle();
        assert_eq!(world.running.len(), 1);
        world.advance(5_000);
    }
}
