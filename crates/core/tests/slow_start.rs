//! What a server begins while its processor is cold: within what the settings say that such a processor survives, whenever
//! it started.

#[path = "../../admission/tests/common/mod.rs"]
mod common;

use gradepin_admission::{RequestId, Span, Time};
use gradepin_config::change::{Change, Rule, Transaction};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::messages::{ClientRequest, Effect, Input, RunEnd};
use gradepin_core::reducer::Reducer;
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::json;
use std::collections::VecDeque;
use std::sync::Arc;

const MS: u64 = 1_000_000;
const TICK_MS: u64 = 10;
/// A run waits for the disk most of the time, so that the cores look idle and the running limit grows.
const RUN_MS: u64 = 400;
/// Between the end of a processor and the greeting of the next, beside that one's age.
const DOWN_MS: u64 = 300;
/// Seeds of the drawn courses.
const SEEDS: u64 = 80;

/// What the settings say of a cold server.
#[derive(Debug, Clone, Copy)]
struct Cold {
    cores: u32,
    /// Runs a core that a warm server survives, the least share of its speed, and the time until it is warm.
    tip: f64,
    share: f64,
    ms: u64,
}

/// Those of `common::base`.
const USUAL: Cold = Cold { cores: 4, tip: 4.0, share: 0.25, ms: 10_000 };

impl Cold {
    /// What a processor survives at an age: the wire page's rule 4, with the slowest warming that it allows.
    fn survives(&self, cold: bool, age_ms: u64) -> f64 {
        let warm = if self.ms == 0 { 1.0 } else { (age_ms as f64 / self.ms as f64).min(1.0) };
        let share = if cold { self.share + (1.0 - self.share) * warm } else { 1.0 };
        (1.0 + (self.tip - 1.0) * share) * f64::from(self.cores)
    }
}

/// A reducer and its processor, in steps of virtual time.
struct Server {
    set: Cold,
    reducer: Reducer,
    pool: Arc<BufferPool>,
    now_ms: u64,
    /// The processor's start, and whether that was cold.
    started_ms: u64,
    cold: bool,
    link: u64,
    notices: u64,
    sent: u64,
    runs: VecDeque<(u64, RequestId)>,
    /// The most that ran at once, and by how much at the worst that was more than a processor of its age survives.
    most: usize,
    excess: f64,
}

impl Server {
    fn new(set: Cold) -> Self {
        let mut settings = common::base();
        settings["rules"]["tip_multiple"] = json!(set.tip);
        settings["rules"]["cold_share"] = json!(set.share);
        settings["rules"]["cold"] = json!(set.ms * MS);
        settings["specifics"]["n_cores"] = json!(set.cores);
        settings["specifics"]["below"] = json!("off");
        settings["specifics"]["memory_kb"] = json!(400_000.0);
        settings["specifics"]["gauges"] = json!(["core_use", "on_cores"]);
        let address = "127.0.0.1:1";
        let config = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
            "stop_ms": 2000, "limits": {"cores": 1.0, "sockets": 128}, "settings": settings});
        let config = Config::parse(&config.to_string()).expect("a whole configuration");
        let settings = Arc::new(config.settings.clone());
        let reducer = Reducer::new(&config, settings, Registration::default()).expect("whole");
        let mut server = Self {
            set,
            reducer,
            pool: BufferPool::new(64),
            now_ms: 100_000,
            started_ms: 0,
            cold: false,
            link: 0,
            notices: 0,
            sent: 0,
            runs: VecDeque::new(),
            most: 0,
            excess: 0.0,
        };
        server.step(vec![Input::ConnectionOpened(1)]);
        server
    }

    /// A processor that started so long ago greets; runs of one before it are gone.
    fn processor_starts(&mut self, cold: bool, age_ms: u64) {
        self.runs.clear();
        self.now_ms += DOWN_MS + age_ms.min(1_000);
        (self.started_ms, self.cold, self.notices) = (self.now_ms - age_ms, cold, 0);
        self.greets_as(self.link > 0);
    }

    /// The link falls, and the processor greets on another.
    fn greets(&mut self) {
        self.greets_as(false);
    }

    /// The same; whether the shell finds that it is another processor than the one before.
    fn greets_as(&mut self, another: bool) {
        self.link += 1;
        let age = Span((self.now_ms - self.started_ms) * MS);
        let mut inputs = Vec::new();
        inputs.extend((self.link > 1).then_some(Input::LinkDown));
        inputs.extend(another.then_some(Input::ProcessorRestarted));
        inputs.push(Input::LinkUp { link: self.link, cold: self.cold, age });
        self.step(inputs);
    }

    /// What the processor survives at its age.
    fn survives(&self) -> f64 {
        self.set.survives(self.cold, self.now_ms - self.started_ms)
    }

    /// Other rules are committed.
    fn commit(&mut self, set: Cold) {
        self.set = Cold { cores: self.set.cores, ..set };
        let rules = [Rule::TipMultiple(set.tip), Rule::ColdShare(set.share), Rule::Cold(Span(set.ms * MS))];
        let changes = rules.into_iter().map(Change::PutRule).collect();
        self.reducer.apply_transaction(&Transaction { changes }).expect("rules that make sense");
    }

    fn runs(&self, id: &RequestId) -> bool {
        self.runs.iter().any(|(_, run)| run == id)
    }

    fn step(&mut self, mut inputs: Vec<Input>) {
        while !inputs.is_empty() || self.reducer.wake_at().is_some_and(|at| at.0 <= self.now_ms * MS) {
            let mut effects = Vec::new();
            let moment = Timestamp { now: Time(self.now_ms * MS), unix_ms: self.now_ms };
            self.reducer.step(moment, inputs.drain(..), &mut effects);
            for effect in effects {
                match effect {
                    // For a request that runs already nothing happens.
                    Effect::StartRun { link, id, .. } if link == self.link && !self.runs(&id) => {
                        self.runs.push_back((self.now_ms, id));
                        self.most = self.most.max(self.runs.len());
                        self.excess = self.excess.max(self.runs.len() as f64 - self.survives());
                    }
                    Effect::ReadGauges { number: tag, .. } => {
                        inputs.push(Input::GaugesRead { number: tag, values: vec![0.5, 1.0] })
                    }
                    _ => {}
                }
            }
        }
    }

    /// Some time under more requests than it can run.
    fn busy(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            let mut inputs = Vec::new();
            while self.runs.front().is_some_and(|(since, _)| since + RUN_MS <= self.now_ms) {
                let Some((since, id)) = self.runs.pop_front() else { break };
                self.notices += 1;
                let (notice, took) = (self.notices, Span((self.now_ms - since) * MS));
                let result = self.pool.copy(b"out").expect("it fits");
                inputs.push(Input::RunCompleted { notice, id, end: RunEnd::Ok, took, result });
            }
            self.sent += 1;
            let call = ClientRequest {
                id: RequestId::new(&format!("{:016x}", self.sent)),
                class: 0.into(),
                tenant: None,
                client_proxy: 1,
                arrived_unix_ms: self.now_ms,
                budget_ms: 4_000,
                retry: false,
                size_kb: 1.0,
                precedence: 0.5,
                idempotency_key: None,
                has_subject: false,
                body: self.pool.copy(b"in").expect("it fits"),
            };
            inputs.push(Input::Request {
                connection: 1,
                sequence: self.sent as i32,
                request: Box::new(call),
            });
            self.step(inputs);
        }
    }
}

/// Guards against a processor that is taken to be warm because the one before it was: it started again beside a server that
/// went on, and falls over with what a warm one survives.
#[test]
fn a_processor_that_restarts_cold_gets_what_a_cold_one_survives() {
    let mut server = Server::new(USUAL);
    server.processor_starts(true, 0);
    server.busy(USUAL.ms + 4_000);
    assert!(server.excess <= 0.0, "{} over at the first start", server.excess);
    assert!(server.most as f64 > USUAL.survives(true, 0), "{}: it never ran much", server.most);
    server.most = 0;
    server.processor_starts(true, 20);
    server.busy(USUAL.ms + 4_000);
    assert!(server.excess <= 0.0, "{:.1} runs more than a cold processor survives", server.excess);
    assert!(server.most > 10, "{}: it never got warm", server.most);
}

/// Guards against a server that stays careful for ever: the processor that comes after a cold one may be warm.
#[test]
fn a_processor_that_restarts_warm_gets_what_a_warm_one_survives() {
    let mut server = Server::new(USUAL);
    server.processor_starts(true, 0);
    server.busy(1_000);
    server.processor_starts(false, 20);
    server.most = 0;
    server.busy(4_000);
    assert!(server.excess <= 0.0, "{} over", server.excess);
    assert!(server.most > 10, "{}: it goes on as a cold one", server.most);
}

/// Guards the age that counts: a link that falls and comes again while the processor warms makes it neither colder nor
/// warmer, and a server that finds a cold processor goes by that one's age.
#[test]
fn a_link_that_falls_during_the_warm_up_changes_nothing() {
    for (age_ms, falls) in [(0, 0), (0, 3), (6_000, 0), (6_000, 2), (60_000, 1)] {
        let mut server = Server::new(USUAL);
        server.processor_starts(true, age_ms);
        for _ in 0..=falls {
            server.busy(2_000);
            server.greets();
        }
        assert!(server.excess <= 0.0, "age {age_ms}, {falls} falls: {} over", server.excess);
        let warm = age_ms >= USUAL.ms;
        assert!(!warm || server.most > 10, "age {age_ms}: {} at the most", server.most);
    }
}

fn drawn(rng: &mut Pcg64Mcg) -> Cold {
    let mut one = |of: &[f64]| of[(rng.next_u64() % of.len() as u64) as usize];
    Cold {
        cores: one(&[1.0, 2.0, 6.0, 16.0]) as u32,
        tip: one(&[1.0, 1.05, 2.0, 4.0, 12.0]),
        share: one(&[0.0, 0.01, 0.21, 0.5, 1.0]),
        ms: one(&[0.0, 1.0, 800.0, 5_000.0, 60_000.0]) as u64,
    }
}

/// Guards rule 4 on drawn courses: processors that restart cold or warm, old or new, links that fall, and rules that are
/// committed during the warm-up, with settings at their edges. At each begin of a run no more run than are survived.
#[test]
fn no_course_of_restarts_and_rules_runs_more_than_is_survived() {
    let first = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SEED={first}, and the {SEEDS} from there on");
    for seed in first..first + SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut server = Server::new(drawn(&mut rng));
        let mut course = vec![format!("{:?}", server.set)];
        let mut begun = 0;
        for turn in 0..10 {
            let what = if turn == 0 { 0 } else { rng.next_u64() % 4 };
            match what {
                0 | 1 => {
                    let (cold, age_ms) =
                        (!rng.next_u64().is_multiple_of(4), [0, 40, 700][rng.next_u64() as usize % 3]);
                    course.push(format!("starts, cold {cold}, {age_ms} ms ago"));
                    server.processor_starts(cold, age_ms);
                }
                2 => {
                    course.push("the link falls".into());
                    server.greets();
                }
                _ => {
                    let set = drawn(&mut rng);
                    course.push(format!("committed: {set:?}"));
                    server.commit(set);
                }
            }
            server.busy(100 + rng.next_u64() % 1_500);
            begun += server.notices;
            assert!(server.excess <= 1e-9, "SEED={seed}: {:.2} over, after {course:#?}", server.excess);
        }
        assert!(begun > 0, "SEED={seed}: nothing ever ran, after {course:#?}");
    }
}
