//! Slow start: while the processor is cold, the server runs no more than the settings say that such a processor
//! survives, whenever the processor started.

#[path = "../../admission/tests/common/mod.rs"]
mod common;

use gradepin_admission::{RequestId, Span, Time};
use gradepin_config::change::{Change, Rule, Transaction};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::messages::{ClientRequest, Effect, Input, Receipt, RunEnd};
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
/// Duration of a run. It waits for the disk most of the time, so that the cores look idle and the running limit grows.
const RUN_MS: u64 = 400;
/// Time between the end of a processor and the greeting of the next one, without the age of the latter.
const DOWN_MS: u64 = 300;
/// Number of random sequences tested.
const SEEDS: u64 = 80;

/// Settings of slow start.
#[derive(Debug, Clone, Copy)]
struct SlowStartSettings {
    cores: u32,
    /// Runs per core that a warm processor survives, the fraction of that when cold, and the warm-up time in
    /// milliseconds.
    max_runs_per_core: f64,
    cold_share: f64,
    warm_up_ms: u64,
}

/// The settings of `common::base`.
const BASE_SETTINGS: SlowStartSettings =
    SlowStartSettings { cores: 4, max_runs_per_core: 4.0, cold_share: 0.25, warm_up_ms: 10_000 };

impl SlowStartSettings {
    /// Returns the number of runs that a processor of this age survives, with the slowest warm-up that rule 4 of the
    /// wire protocol allows.
    fn survivable_runs(&self, cold: bool, age_ms: u64) -> f64 {
        let warm = if self.warm_up_ms == 0 { 1.0 } else { (age_ms as f64 / self.warm_up_ms as f64).min(1.0) };
        let share = if cold { self.cold_share + (1.0 - self.cold_share) * warm } else { 1.0 };
        (1.0 + (self.max_runs_per_core - 1.0) * share) * f64::from(self.cores)
    }
}

/// A reducer and a simulated processor, in virtual time.
struct Server {
    slow_start: SlowStartSettings,
    reducer: Reducer,
    pool: Arc<BufferPool>,
    now_ms: u64,
    /// When the processor started, and whether it was cold.
    started_ms: u64,
    cold: bool,
    link: u64,
    notices: u64,
    sent: u64,
    runs: VecDeque<(u64, RequestId)>,
    /// Maximum number of simultaneous runs, and their largest excess over what a processor of that age survives.
    max_runs: usize,
    excess: f64,
}

impl Server {
    fn new(slow_start: SlowStartSettings) -> Self {
        let mut settings = common::base();
        settings["rules"]["tip_multiple"] = json!(slow_start.max_runs_per_core);
        settings["rules"]["cold_share"] = json!(slow_start.cold_share);
        settings["rules"]["cold"] = json!(slow_start.warm_up_ms * MS);
        settings["specifics"]["n_cores"] = json!(slow_start.cores);
        settings["specifics"]["below"] = json!("off");
        settings["specifics"]["memory_kb"] = json!(400_000.0);
        settings["specifics"]["gauges"] = json!(["core_use", "on_cores"]);
        let address = "127.0.0.1:1";
        let config = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
            "stop_ms": 2000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128}, "settings": settings});
        let config = Config::parse(&config.to_string()).expect("a valid configuration");
        let settings = Arc::new(config.settings.clone());
        let reducer = Reducer::new(&config, settings, Registration::default()).expect("a valid seed");
        let mut server = Self {
            slow_start,
            reducer,
            pool: BufferPool::new(64),
            now_ms: 100_000,
            started_ms: 0,
            cold: false,
            link: 0,
            notices: 0,
            sent: 0,
            runs: VecDeque::new(),
            max_runs: 0,
            excess: 0.0,
        };
        server.step(vec![Input::ConnectionOpened(1)]);
        server
    }

    /// Has a new processor greet that started `age_ms` ago. The runs of the previous one have ended.
    fn start_processor(&mut self, cold: bool, age_ms: u64) {
        self.runs.clear();
        self.now_ms += DOWN_MS + age_ms.min(1_000);
        (self.started_ms, self.cold, self.notices) = (self.now_ms - age_ms, cold, 0);
        self.greet(self.link > 0);
    }

    /// Drops the link, and has the same processor greet on another one.
    fn reconnect(&mut self) {
        self.greet(false);
    }

    /// Has the processor greet on a new link. `is_new` says whether the shell reports a new processor.
    fn greet(&mut self, is_new: bool) {
        self.link += 1;
        let age = Span((self.now_ms - self.started_ms) * MS);
        let mut inputs = Vec::new();
        inputs.extend((self.link > 1).then_some(Input::LinkDown));
        inputs.extend(is_new.then_some(Input::ProcessorRestarted));
        inputs.push(Input::LinkUp { link: self.link, cold: self.cold, age });
        self.step(inputs);
    }

    /// Returns the number of runs that the processor survives now.
    fn survivable_runs(&self) -> f64 {
        self.slow_start.survivable_runs(self.cold, self.now_ms - self.started_ms)
    }

    /// Applies other settings of slow start as a transaction.
    fn commit(&mut self, slow_start: SlowStartSettings) {
        self.slow_start = SlowStartSettings { cores: self.slow_start.cores, ..slow_start };
        let rules = [
            Rule::TipMultiple(slow_start.max_runs_per_core),
            Rule::ColdShare(slow_start.cold_share),
            Rule::Cold(Span(slow_start.warm_up_ms * MS)),
        ];
        let changes = rules.into_iter().map(Change::PutRule).collect();
        self.reducer.apply_transaction(&Transaction { changes }).expect("valid rules");
    }

    fn is_running(&self, id: &RequestId) -> bool {
        self.runs.iter().any(|(_, run)| run == id)
    }

    fn step(&mut self, mut inputs: Vec<Input>) {
        while !inputs.is_empty() || self.reducer.wake_at().is_some_and(|at| at.0 <= self.now_ms * MS) {
            let mut effects = Vec::new();
            let timestamp = Timestamp { now: Time(self.now_ms * MS), unix_ms: self.now_ms };
            self.reducer.step(timestamp, inputs.drain(..), &mut effects);
            for effect in effects {
                match effect {
                    // A second start of a running request has no effect.
                    Effect::StartRun { link, id, .. } if link == self.link && !self.is_running(&id) => {
                        self.runs.push_back((self.now_ms, id));
                        self.max_runs = self.max_runs.max(self.runs.len());
                        self.excess = self.excess.max(self.runs.len() as f64 - self.survivable_runs());
                    }
                    Effect::ReadGauges { number: reading, .. } => {
                        inputs.push(Input::GaugesRead { number: reading, values: vec![0.5, 1.0] })
                    }
                    _ => {}
                }
            }
        }
    }

    /// Advances the time while more requests arrive than the server can run.
    fn run_overloaded(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            let mut inputs = Vec::new();
            while self.runs.front().is_some_and(|(since, _)| since + RUN_MS <= self.now_ms) {
                let Some((since, id)) = self.runs.pop_front() else { break };
                self.notices += 1;
                let (notice, took) = (self.notices, Span((self.now_ms - since) * MS));
                let result = self.pool.copy(b"out").expect("the content fits into a buffer");
                inputs.push(Input::RunCompleted { notice, id, end: RunEnd::Ok, took, result });
            }
            self.sent += 1;
            let request = ClientRequest {
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
                receipt: Receipt::default(),
                body: self.pool.copy(b"in").expect("the content fits into a buffer"),
            };
            inputs.push(Input::Request {
                connection: 1,
                sequence: self.sent as i32,
                request: Box::new(request),
            });
            self.step(inputs);
        }
    }
}

/// Guards against treating a new processor as warm because the previous one was. It restarted while the server kept
/// running, and failed under a load that a warm one survives.
#[test]
fn cold_restart_is_not_overloaded() {
    let mut server = Server::new(BASE_SETTINGS);
    server.start_processor(true, 0);
    server.run_overloaded(BASE_SETTINGS.warm_up_ms + 4_000);
    assert!(server.excess <= 0.0, "{} runs too many after the first start", server.excess);
    assert!(
        server.max_runs as f64 > BASE_SETTINGS.survivable_runs(true, 0),
        "at most {} runs: never more than a cold processor survives",
        server.max_runs
    );
    server.max_runs = 0;
    server.start_processor(true, 20);
    server.run_overloaded(BASE_SETTINGS.warm_up_ms + 4_000);
    assert!(
        server.excess <= 0.0,
        "{:.1} runs more than a cold processor survives after a restart",
        server.excess
    );
    assert!(server.max_runs > 10, "at most {} runs: slow start never ended", server.max_runs);
}

/// Guards against slow start that never ends: the processor that follows a cold one may be warm.
#[test]
fn warm_restart_skips_slow_start() {
    let mut server = Server::new(BASE_SETTINGS);
    server.start_processor(true, 0);
    server.run_overloaded(1_000);
    server.start_processor(false, 20);
    server.max_runs = 0;
    server.run_overloaded(4_000);
    assert!(server.excess <= 0.0, "{} runs too many", server.excess);
    assert!(server.max_runs > 10, "at most {} runs: treated as a cold processor", server.max_runs);
}

/// Guards the age that slow start uses: losing the link during the warm-up makes the processor neither colder nor
/// warmer, and a server that starts later uses the processor's own age.
#[test]
fn link_loss_does_not_change_slow_start() {
    for (age_ms, falls) in [(0, 0), (0, 3), (6_000, 0), (6_000, 2), (60_000, 1)] {
        let mut server = Server::new(BASE_SETTINGS);
        server.start_processor(true, age_ms);
        for _ in 0..=falls {
            server.run_overloaded(2_000);
            server.reconnect();
        }
        assert!(server.excess <= 0.0, "age {age_ms}, {falls} lost links: {} runs too many", server.excess);
        let warm = age_ms >= BASE_SETTINGS.warm_up_ms;
        assert!(!warm || server.max_runs > 10, "age {age_ms}: at most {} runs", server.max_runs);
    }
}

fn random_settings(rng: &mut Pcg64Mcg) -> SlowStartSettings {
    let mut pick = |values: &[f64]| values[(rng.next_u64() % values.len() as u64) as usize];
    SlowStartSettings {
        cores: pick(&[1.0, 2.0, 6.0, 16.0]) as u32,
        max_runs_per_core: pick(&[1.0, 1.05, 2.0, 4.0, 12.0]),
        cold_share: pick(&[0.0, 0.01, 0.21, 0.5, 1.0]),
        warm_up_ms: pick(&[0.0, 1.0, 800.0, 5_000.0, 60_000.0]) as u64,
    }
}

/// Guards rule 4 of the wire protocol on random sequences of cold and warm restarts, young and old processors, lost
/// links and rules committed during the warm-up, with settings at their limits. Each start of a run is checked against
/// what the processor survives.
#[test]
fn random_restarts_and_rule_changes_never_overload_the_processor() {
    let first = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SEED={first}: running {SEEDS} seeds from this one");
    for seed in first..first + SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut server = Server::new(random_settings(&mut rng));
        let mut events = vec![format!("{:?}", server.slow_start)];
        let mut completed = 0;
        for round in 0..10 {
            let event = if round == 0 { 0 } else { rng.next_u64() % 4 };
            match event {
                0 | 1 => {
                    let (cold, age_ms) =
                        (!rng.next_u64().is_multiple_of(4), [0, 40, 700][rng.next_u64() as usize % 3]);
                    events.push(format!("processor starts: cold {cold}, age {age_ms} ms"));
                    server.start_processor(cold, age_ms);
                }
                2 => {
                    events.push("link lost".into());
                    server.reconnect();
                }
                _ => {
                    let slow_start = random_settings(&mut rng);
                    events.push(format!("settings committed: {slow_start:?}"));
                    server.commit(slow_start);
                }
            }
            server.run_overloaded(100 + rng.next_u64() % 1_500);
            completed += server.notices;
            assert!(
                server.excess <= 1e-9,
                "SEED={seed}: {:.2} runs too many after {events:#?}",
                server.excess
            );
        }
        assert!(completed > 0, "SEED={seed}: no run ever completed after {events:#?}");
    }
}
