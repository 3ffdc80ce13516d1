//! One server in virtual time over a simulated disk, with a processor that may outlive it: the real reducer, the real log,
//! and books of what ran and what was answered, by which the rules are checked across lives.
#![allow(dead_code)]

#[path = "../../../admission/tests/common/mod.rs"]
mod common;

use gradepin_admission::{RequestId, Span, Time};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::idempotency_log::{IdempotencyLog, RecordBatch};
use gradepin_core::idempotency_table::MAX_READ_DELAY;
use gradepin_core::messages::{ClientRequest, Effect, Input, Response, RunEnd};
use gradepin_core::reducer::Reducer;
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use gradepin_store::log::{Limits, Log, Stamp};
use gradepin_store::sim::{Files, SimDisk};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

pub const MS: u64 = 1_000_000;
/// The window of the keyed class, and how long an intent may take.
pub const WINDOW_MS: u64 = 9_000;
pub const PATIENCE_MS: u64 = 250;
/// Segments are small, so that they change often.
pub const SEGMENT: u64 = 2_000;
const CONN: u64 = 1;

/// The seed of a random test: told, and taken from the environment.
pub fn seed(default: u64) -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(default);
    println!("SEED={seed}");
    seed
}

/// What a final answer was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    Served(Vec<u8>),
    Refused(u64),
    Failed,
    Unknown,
    Other,
}

/// What ran under a token, and when its window closes by real time.
#[derive(Debug, Clone, Default)]
pub struct Ran {
    pub ids: Vec<String>,
    pub closes_ms: u64,
}

/// What all lives share: the truth.
#[derive(Debug, Clone, Default)]
pub struct Truth {
    /// Real milliseconds.
    pub ms: u64,
    /// What was begun at the processor, by body, which stands for the request.
    pub ran: BTreeMap<String, Ran>,
    /// The processor's runs with their ends in real ms, and the notices that it keeps.
    pub running: Vec<(u64, String, String)>,
    pub notices: Vec<(u64, String, String)>,
}

/// How a life's disk is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// At once.
    Prompt,
    /// So many milliseconds late.
    Slow(u64),
    /// Not at all, until it is let go on.
    Held,
}

pub struct World {
    reducer: Reducer,
    pool: Arc<BufferPool>,
    log: Option<Log>,
    pub disk: SimDisk,
    pub mode: Disk,
    queue: VecDeque<(u64, u64, RecordBatch)>,
    pub truth: Truth,
    /// Real ms at which this life began, and what its Unix clock is ahead by.
    start_ms: u64,
    skew_ms: i64,
    seq: i32,
    inputs: Vec<Input>,
    /// Requests by their numbers: body, due in real ms, and their answers.
    pub asked: BTreeMap<i32, (String, u64, Vec<Got>)>,
    pub exited: bool,
    pub logged: Vec<String>,
    told: usize,
    link: u64,
    /// Truth at the time of each boundary of the disk, while they are recorded.
    pub moments: Vec<(Files, Truth)>,
    recording: bool,
    rng: Pcg64Mcg,
    recovered: Option<Input>,
    /// Answers to questions for the gauges wait here, while that is set, until the recovery is told.
    pub gauges_wait: bool,
    gauges: Vec<Input>,
}

impl World {
    /// A life on these files; `processor_lives` says whether the processor outlived the one before.
    pub fn start(files: Files, truth: Truth, skew_ms: i64, processor_lives: bool, seed: u64) -> Self {
        let mut settings = common::base();
        settings["specifics"]["below"] = json!("off");
        settings["specifics"]["gauges"] = json!(["core_use", "on_cores", "heap_share", "links"]);
        settings["customers"] = json!([{"name": "acme", "quota_rps": 100.0, "portion": 1.0}]);
        let address = "127.0.0.1:1";
        let config = json!({"name": "n1", "listen": address, "processor": address, "control": address,
            "seed": format!("{seed:016x}"), "stop_ms": 2000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings});
        let config = Config::parse(&config.to_string()).expect("a whole configuration");
        let pool = BufferPool::new(8);
        let reducer =
            Reducer::new(&config, Arc::new(config.settings.clone()), Registration::default()).expect("whole");
        let reducer = reducer.with_store(IdempotencyLog::opening(Span(PATIENCE_MS * MS)), Arc::clone(&pool));
        let mut world = Self {
            reducer,
            pool,
            log: None,
            disk: SimDisk::with(files, seed),
            mode: Disk::Prompt,
            queue: VecDeque::new(),
            start_ms: truth.ms,
            truth,
            skew_ms,
            seq: 0,
            inputs: vec![Input::ConnectionOpened(CONN)],
            asked: BTreeMap::new(),
            exited: false,
            logged: Vec::new(),
            told: 0,
            link: 0,
            moments: Vec::new(),
            recording: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            recovered: None,
            gauges_wait: false,
            gauges: Vec::new(),
        };
        if !processor_lives {
            world.truth.running.clear();
            world.truth.notices.clear();
        }
        world.link_up(processor_lives);
        world.settle();
        world
    }

    /// The link to the processor stands: it greets and tells all the notices that it keeps.
    fn link_up(&mut self, older: bool) {
        self.link += 1;
        // One that outlived the server started an hour before it.
        let age = if older { Span(3_600_000 * MS) } else { Span(self.life_ms() * MS) };
        self.inputs.push(Input::LinkUp { link: self.link, cold: false, age });
        let kept: Vec<_> = self.truth.notices.clone();
        kept.into_iter().for_each(|(number, id, body)| self.notice(number, id, &body));
    }

    fn notice(&mut self, notice: u64, id: String, body: &str) {
        let result = self.pool.copy(format!("result of {body}").as_bytes()).expect("it fits");
        let (id, took) = (RequestId::new(&id), Span(20 * MS));
        self.inputs.push(Input::RunCompleted { notice, id, end: RunEnd::Ok, took, result });
    }

    /// Keeps the files and the truth at each boundary of the disk from now on.
    pub fn record(&mut self) {
        self.recording = true;
        self.disk.record();
    }

    pub fn life_ms(&self) -> u64 {
        self.truth.ms - self.start_ms
    }

    fn moment(&self) -> Timestamp {
        let unix = 1_700_000_000_000_i64 + self.truth.ms as i64 + self.skew_ms;
        Timestamp { now: Time((1_000_000 + self.life_ms()) * MS), unix_ms: unix as u64 }
    }

    fn stamp(&self) -> Stamp {
        Stamp { mono_ms: self.life_ms(), unix_ms: self.moment().unix_ms }
    }

    /// Reads the folder; what it held is not told to the reducer yet.
    pub fn open(&mut self) {
        let limits = Limits {
            segment_bytes: SEGMENT,
            max_bytes: 1 << 30,
            max_result_bytes: 1 << 20,
            max_records: usize::MAX,
            window: Span(WINDOW_MS * MS),
        };
        let salt = self.rng.next_u64();
        match Log::open(Box::new(self.disk.clone()), limits, salt) {
            Ok((log, found)) => {
                self.log = Some(log);
                self.recovered = Some(Input::StoreRecovered(Box::new(found.recovered)));
            }
            Err(why) => self.inputs.push(Input::StoreFailed { number: 0, reason: why.to_string() }),
        }
    }

    /// Tells it.
    pub fn tell(&mut self) {
        self.inputs.extend(self.recovered.take());
        self.inputs.append(&mut self.gauges);
        self.gauges_wait = false;
        self.settle();
    }

    /// Both.
    pub fn recover(&mut self) {
        self.open();
        self.tell();
    }

    /// A label-save, sent now. The body stands for the request, and so does its token.
    pub fn save(&mut self, body: &str) -> i32 {
        self.ask(1, body, Some(Arc::from(format!("token of {body}"))))
    }

    /// A read, which the store has nothing to do with.
    pub fn read(&mut self) -> i32 {
        self.ask(0, "read", None)
    }

    fn ask(&mut self, class: usize, body: &str, token: Option<Arc<str>>) -> i32 {
        self.seq += 1;
        let (seq, budget) = (self.seq, 4_000);
        let call = ClientRequest {
            id: RequestId::new(&format!("{:016x}", self.rng.next_u64())),
            class: class.into(),
            tenant: Some(0.into()),
            client_proxy: 1,
            arrived_unix_ms: self.moment().unix_ms,
            budget_ms: budget,
            retry: false,
            size_kb: 20.0,
            precedence: 0.5,
            idempotency_key: token,
            has_subject: false,
            body: self.pool.copy(body.as_bytes()).expect("it fits"),
        };
        self.asked.insert(seq, (body.to_string(), self.truth.ms + budget, Vec::new()));
        self.inputs.push(Input::Request { connection: CONN, sequence: seq, request: Box::new(call) });
        self.settle();
        seq
    }

    pub fn terminate(&mut self) {
        self.inputs.push(Input::ShutdownNotice);
        self.settle();
    }

    /// The disk goes on with what was held.
    pub fn let_go(&mut self) {
        self.mode = Disk::Prompt;
        while let Some((_, number, batch)) = self.queue.pop_front() {
            self.persist(number, &batch);
        }
        self.settle();
    }

    /// Lets so many milliseconds pass.
    pub fn wait(&mut self, ms: u64) {
        let until = self.truth.ms + ms;
        while self.truth.ms < until {
            let own = |at: Time| at.0.div_ceil(MS).saturating_sub(1_000_000) + self.start_ms;
            let wake = self.reducer.wake_at().map_or(until, own);
            let run = self.truth.running.iter().map(|(at, ..)| *at).min().unwrap_or(until);
            let write = self.queue.front().map_or(until, |(at, ..)| *at);
            self.truth.ms = wake.min(run).min(write).clamp(self.truth.ms + 1, until);
            self.finish_runs();
            let now = self.truth.ms;
            while let Some((_, number, batch)) = self.queue.pop_front_if(|(at, ..)| *at <= now) {
                self.persist(number, &batch);
            }
            self.settle();
        }
        if let Some(log) = &mut self.log {
            let _ = log.expire(self.truth.ms - self.start_ms);
        }
        self.see();
    }

    fn finish_runs(&mut self) {
        let now = self.truth.ms;
        let over: Vec<_> = self.truth.running.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        self.truth.running.retain(|(at, ..)| *at > now);
        for (_, id, body) in over {
            let number = self.truth.notices.last().map_or(1, |(number, ..)| number + 1);
            self.truth.notices.push((number, id.clone(), body.clone()));
            if self.truth.notices.len() > 200 {
                self.truth.notices.remove(0);
            }
            self.notice(number, id, &body);
        }
    }

    /// Steps until nothing more happens at this moment.
    fn settle(&mut self) {
        for _ in 0..1_000 {
            let moment = self.moment();
            let mut effects = Vec::new();
            self.reducer.step(moment, std::mem::take(&mut self.inputs), &mut effects);
            for effect in effects {
                self.carry_out(effect);
            }
            if self.inputs.is_empty() && self.reducer.wake_at().is_none_or(|at| at > moment.now) {
                return;
            }
        }
        panic!("the reducer never rests");
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { sequence: seq, response: answer, .. } => {
                let got = match answer {
                    Response::Served(result) => Got::Served(result.to_vec()),
                    Response::Rejected { retry_after: backoff, .. } => Got::Refused(backoff.0 / MS),
                    Response::Failed { .. } => Got::Failed,
                    Response::OutcomeUnknown => Got::Unknown,
                    _ => Got::Other,
                };
                let (body, due, answers) = self.asked.get_mut(&seq).expect("an answer to what was asked");
                assert!(answers.is_empty(), "{body} is answered twice");
                assert!(self.truth.ms <= *due + 100, "{body} is answered late");
                if let Got::Served(result) = &got
                    && body != "read"
                {
                    let made = self.truth.ran.contains_key(body.as_str());
                    assert!(
                        made && *result == format!("result of {body}").into_bytes(),
                        "{body}: a result no run made"
                    );
                }
                answers.push(got);
            }
            Effect::StartRun { id, class, body, .. } => {
                let body = String::from_utf8_lossy(&body).into_owned();
                // Runs take from 20 ms to 1.3 s.
                let takes = 20 + self.rng.next_u64() % 16 * (self.rng.next_u64() % 80);
                if class.profile.effect == gradepin_admission::Idempotency::Keyed {
                    let now = self.truth.ms;
                    let ran = self.truth.ran.entry(body.clone()).or_default();
                    // A run begun again on a new link is the same run.
                    if !ran.ids.iter().any(|known| *known == *id.0) {
                        assert!(
                            ran.ids.is_empty() || ran.closes_ms <= now,
                            "{body} ran at {} and again {} ms before its window closes",
                            ran.closes_ms - WINDOW_MS,
                            ran.closes_ms - now
                        );
                        ran.ids.push(id.0.to_string());
                        // The window counts from the try that ran; no try here waits for longer.
                        ran.closes_ms = now + WINDOW_MS - 4_000;
                    }
                }
                self.truth.running.push((self.truth.ms + takes, id.0.to_string(), body));
            }
            Effect::ReadGauges { number: tag, .. } => {
                let on = self.truth.running.len() as f64;
                let to = if self.gauges_wait { &mut self.gauges } else { &mut self.inputs };
                to.push(Input::GaugesRead { number: tag, values: vec![0.5, on, 0.1, 9.0] });
            }
            Effect::PersistRecords { number, batch } => match self.mode {
                Disk::Prompt => self.persist(number, &batch),
                Disk::Held => self.queue.push_back((u64::MAX, number, batch)),
                Disk::Slow(ms) => {
                    // One sync after another, and all that waits shares the next.
                    let last = self.queue.back().map_or(0, |(at, ..)| *at);
                    let at = if last > self.truth.ms + ms { last } else { last.max(self.truth.ms) + ms };
                    self.queue.push_back((at, number, batch));
                }
            },
            Effect::ReplayNotices => {
                self.inputs.push(Input::LinkDown);
                self.link_up(true);
            }
            Effect::Log { text, .. } => self.logged.push(text),
            Effect::Exit => self.exited = true,
            _ => {}
        }
    }

    fn persist(&mut self, number: u64, batch: &RecordBatch) {
        self.see();
        let stamp = self.stamp();
        let Some(log) = &mut self.log else { return };
        let result = match batch {
            RecordBatch::Append(records) => log.add(stamp, records),
            RecordBatch::Rewrite(records) => log.rewrite(stamp, records),
        };
        self.see();
        self.inputs.push(match result {
            Ok(()) => Input::StorePersisted { number },
            Err(why) => Input::StoreFailed { number, reason: why.to_string() },
        });
    }

    /// Files at boundaries that were not seen yet, with the truth of now; and the last of them again where the truth
    /// has moved on: a crash just before the next boundary.
    fn see(&mut self) {
        if !self.recording {
            return;
        }
        let files = self.disk.boundaries();
        if files.is_empty() && self.told != self.truth.ran.len() {
            self.moments.push((self.disk.files(), self.truth.clone()));
        }
        self.told = self.truth.ran.len();
        let truth = &self.truth;
        self.moments.extend(files.into_iter().map(|files| (files, truth.clone())));
    }

    /// What a request was answered with.
    pub fn got(&self, seq: i32) -> Option<&Got> {
        self.asked.get(&seq).and_then(|(_, _, answers)| answers.first())
    }

    /// Everything asked so far has its one answer.
    pub fn check_answered(&self) {
        for (body, due, answers) in self.asked.values() {
            assert!(answers.len() == 1 || self.truth.ms < *due, "{body} has {} answers", answers.len());
        }
    }

    /// Counts of answers by kind.
    pub fn tally(&self) -> HashMap<&'static str, usize> {
        let mut tally = HashMap::new();
        for (_, _, answers) in self.asked.values() {
            for got in answers {
                let kind = match got {
                    Got::Served(_) => "served",
                    Got::Refused(_) => "refused",
                    Got::Failed => "failed",
                    Got::Unknown => "unknown",
                    Got::Other => "other",
                };
                *tally.entry(kind).or_default() += 1;
            }
        }
        tally
    }
}

/// How long a segment is needed past the last window in it, in ms.
pub fn late_ms() -> u64 {
    MAX_READ_DELAY.0 / MS
}
