//! A simulation of one server in virtual time: the real reducer and the real log on a simulated disk, and a processor that may
//! survive the server. It records which runs were started and which answers were given across restarts, and asserts at each
//! start of a run and at each answer that no request runs twice within its window and that no answer is wrong or late.
#![allow(dead_code)]

#[path = "../../../admission/tests/common/mod.rs"]
mod common;

use gradepin_admission::{RequestId, Span, Time};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::idempotency_log::{IdempotencyLog, RecordBatch};
use gradepin_core::idempotency_table::MAX_READ_DELAY;
use gradepin_core::messages::{ClientRequest, Effect, Input, Receipt, Response, RunEnd};
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
/// The idempotency window of the keyed class.
pub const WINDOW_MS: u64 = 9_000;
/// How long the server waits for an intent to become durable before it rejects the request.
pub const INTENT_TIMEOUT_MS: u64 = 250;
/// Segments are small, so that new ones are started often.
pub const SEGMENT_BYTES: u64 = 2_000;
const CONNECTION: u64 = 1;

/// The seed of a randomized test: printed, and overridden by the environment variable `SEED`.
pub fn seed(default: u64) -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(default);
    println!("SEED={seed}");
    seed
}

/// The final answer to a request; `Rejected` has the advised delay in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    Rejected(u64),
    Failed,
    Unknown,
    Other,
}

/// The attempts that ran under an idempotency key, and the real time at which its window ends.
#[derive(Debug, Clone, Default)]
pub struct KeyRuns {
    pub request_ids: Vec<String>,
    pub window_end_ms: u64,
}

/// The history outside the server process, which survives its restarts: real time, and the work at the processor.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Real time, in milliseconds.
    pub now_ms: u64,
    /// The runs started at the processor, by request body, which identifies the request.
    pub runs_by_body: BTreeMap<String, KeyRuns>,
    /// Current runs of the processor: end in real milliseconds, request id and body.
    pub running: Vec<(u64, String, String)>,
    /// The completion notices that the processor retains: number, request id and body.
    pub notices: Vec<(u64, String, String)>,
}

/// How fast the disk makes records durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskSpeed {
    /// Immediately.
    Prompt,
    /// After this many milliseconds.
    Slow(u64),
    /// Not before `resume_disk` is called.
    Blocked,
}

pub struct Simulation {
    reducer: Reducer,
    pool: Arc<BufferPool>,
    log: Option<Log>,
    pub disk: SimDisk,
    pub disk_speed: DiskSpeed,
    pending_writes: VecDeque<(u64, u64, RecordBatch)>,
    pub history: History,
    /// The real time at which this process started, in milliseconds.
    start_ms: u64,
    /// How far the Unix clock of this process is ahead of real time, in milliseconds.
    skew_ms: i64,
    request_number: i32,
    inputs: Vec<Input>,
    /// Requests by number: body, deadline in real milliseconds, and all answers.
    pub requests: BTreeMap<i32, (String, u64, Vec<Answer>)>,
    pub exited: bool,
    pub log_lines: Vec<String>,
    recorded_run_count: usize,
    link: u64,
    /// The files and the outside state at each point where a machine may crash, while recording.
    pub crash_points: Vec<(Files, History)>,
    recording: bool,
    rng: Pcg64Mcg,
    recovered: Option<Input>,
    /// Whether gauge readings are held back until the recovery is delivered.
    pub hold_gauges: bool,
    held_gauge_readings: Vec<Input>,
}

impl Simulation {
    /// Starts a process on these files. `processor_survived` tells whether the processor survived the previous process.
    pub fn start(files: Files, history: History, skew_ms: i64, processor_survived: bool, seed: u64) -> Self {
        let mut settings = common::base();
        settings["specifics"]["below"] = json!("off");
        settings["specifics"]["gauges"] = json!(["core_use", "on_cores", "heap_share", "links"]);
        settings["customers"] = json!([{"name": "acme", "quota_rps": 100.0, "portion": 1.0}]);
        let address = "127.0.0.1:1";
        let config = json!({"name": "n1", "listen": address, "processor": address, "control": address,
            "seed": format!("{seed:016x}"), "stop_ms": 2000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings});
        let config = Config::parse(&config.to_string()).expect("a valid configuration");
        let pool = BufferPool::new(8);
        let reducer = Reducer::new(&config, Arc::new(config.settings.clone()), Registration::default())
            .expect("a valid configuration");
        let reducer =
            reducer.with_store(IdempotencyLog::opening(Span(INTENT_TIMEOUT_MS * MS)), Arc::clone(&pool));
        let mut simulation = Self {
            reducer,
            pool,
            log: None,
            disk: SimDisk::with(files, seed),
            disk_speed: DiskSpeed::Prompt,
            pending_writes: VecDeque::new(),
            start_ms: history.now_ms,
            history,
            skew_ms,
            request_number: 0,
            inputs: vec![Input::ConnectionOpened(CONNECTION)],
            requests: BTreeMap::new(),
            exited: false,
            log_lines: Vec::new(),
            recorded_run_count: 0,
            link: 0,
            crash_points: Vec::new(),
            recording: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            recovered: None,
            hold_gauges: false,
            held_gauge_readings: Vec::new(),
        };
        if !processor_survived {
            simulation.history.running.clear();
            simulation.history.notices.clear();
        }
        simulation.connect_processor(processor_survived);
        simulation.settle();
        simulation
    }

    /// Connects to the processor, which then repeats all notices that it retains.
    fn connect_processor(&mut self, survived: bool) {
        self.link += 1;
        // A processor that survived the previous server started an hour ago.
        let age = if survived { Span(3_600_000 * MS) } else { Span(self.uptime_ms() * MS) };
        self.inputs.push(Input::LinkUp { link: self.link, cold: false, age });
        let kept_notices: Vec<_> = self.history.notices.clone();
        kept_notices.into_iter().for_each(|(number, id, body)| self.deliver_notice(number, id, &body));
    }

    fn deliver_notice(&mut self, notice: u64, id: String, body: &str) {
        let result =
            self.pool.copy(format!("result of {body}").as_bytes()).expect("the body fits in a buffer");
        let (id, took) = (RequestId::new(&id), Span(20 * MS));
        self.inputs.push(Input::RunCompleted { notice, id, end: RunEnd::Ok, took, result });
    }

    /// Starts recording crash points.
    pub fn record(&mut self) {
        self.recording = true;
        self.disk.record();
    }

    pub fn uptime_ms(&self) -> u64 {
        self.history.now_ms - self.start_ms
    }

    fn timestamp(&self) -> Timestamp {
        let unix = 1_700_000_000_000_i64 + self.history.now_ms as i64 + self.skew_ms;
        Timestamp { now: Time((1_000_000 + self.uptime_ms()) * MS), unix_ms: unix as u64 }
    }

    fn stamp(&self) -> Stamp {
        Stamp { mono_ms: self.uptime_ms(), unix_ms: self.timestamp().unix_ms }
    }

    /// Opens the folder and reads it, without delivering the recovered runs to the reducer yet.
    pub fn open_log(&mut self) {
        let limits = Limits {
            segment_bytes: SEGMENT_BYTES,
            max_bytes: 1 << 30,
            max_result_bytes: 1 << 20,
            max_records: usize::MAX,
            window: Span(WINDOW_MS * MS),
        };
        let salt = self.rng.next_u64();
        match Log::open(Box::new(self.disk.clone()), limits, salt) {
            Ok((log, recovered_log)) => {
                self.log = Some(log);
                self.recovered = Some(Input::StoreRecovered(Box::new(recovered_log.recovered)));
            }
            Err(why) => self.inputs.push(Input::StoreFailed { number: 0, reason: why.to_string() }),
        }
    }

    /// Delivers the recovered runs, and gauge readings that were held back, to the reducer.
    pub fn deliver_recovery(&mut self) {
        self.inputs.extend(self.recovered.take());
        self.inputs.append(&mut self.held_gauge_readings);
        self.hold_gauges = false;
        self.settle();
    }

    /// Opens the folder and delivers the recovered runs at once.
    pub fn recover(&mut self) {
        self.open_log();
        self.deliver_recovery();
    }

    /// Sends a keyed request now. The body identifies the request and determines its idempotency key.
    pub fn save(&mut self, body: &str) -> i32 {
        self.send_request(1, body, Some(Arc::from(format!("token of {body}"))))
    }

    /// Sends a request without a key, which doesn't involve the log.
    pub fn read(&mut self) -> i32 {
        self.send_request(0, "read", None)
    }

    fn send_request(&mut self, class: usize, body: &str, key: Option<Arc<str>>) -> i32 {
        self.request_number += 1;
        let (request_number, time_budget_ms) = (self.request_number, 4_000);
        let request = ClientRequest {
            id: RequestId::new(&format!("{:016x}", self.rng.next_u64())),
            class: class.into(),
            tenant: Some(0.into()),
            client_proxy: 1,
            arrived_unix_ms: self.timestamp().unix_ms,
            budget_ms: time_budget_ms,
            retry: false,
            size_kb: 20.0,
            precedence: 0.5,
            idempotency_key: key,
            has_subject: false,
            receipt: Receipt::default(),
            body: self.pool.copy(body.as_bytes()).expect("the body fits in a buffer"),
        };
        self.requests
            .insert(request_number, (body.to_string(), self.history.now_ms + time_budget_ms, Vec::new()));
        self.inputs.push(Input::Request {
            connection: CONNECTION,
            sequence: request_number,
            request: Box::new(request),
        });
        self.settle();
        request_number
    }

    pub fn terminate(&mut self) {
        self.inputs.push(Input::ShutdownNotice);
        self.settle();
    }

    /// Completes all pending writes and lets the disk work without delay.
    pub fn resume_disk(&mut self) {
        self.disk_speed = DiskSpeed::Prompt;
        while let Some((_, number, batch)) = self.pending_writes.pop_front() {
            self.persist(number, &batch);
        }
        self.settle();
    }

    /// Advances the time by this many milliseconds, in steps from one event to the next.
    pub fn advance(&mut self, ms: u64) {
        let until = self.history.now_ms + ms;
        while self.history.now_ms < until {
            let to_real_ms = |at: Time| at.0.div_ceil(MS).saturating_sub(1_000_000) + self.start_ms;
            let wake = self.reducer.wake_at().map_or(until, to_real_ms);
            let run = self.history.running.iter().map(|(at, ..)| *at).min().unwrap_or(until);
            let write = self.pending_writes.front().map_or(until, |(at, ..)| *at);
            self.history.now_ms = wake.min(run).min(write).clamp(self.history.now_ms + 1, until);
            self.complete_due_runs();
            let now = self.history.now_ms;
            while let Some((_, number, batch)) = self.pending_writes.pop_front_if(|(at, ..)| *at <= now) {
                self.persist(number, &batch);
            }
            self.settle();
        }
        if let Some(log) = &mut self.log {
            let _ = log.expire(self.history.now_ms - self.start_ms);
        }
        self.record_crash_points();
    }

    fn complete_due_runs(&mut self) {
        let now = self.history.now_ms;
        let due_runs: Vec<_> = self.history.running.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        self.history.running.retain(|(at, ..)| *at > now);
        for (_, id, body) in due_runs {
            let number = self.history.notices.last().map_or(1, |(number, ..)| number + 1);
            self.history.notices.push((number, id.clone(), body.clone()));
            if self.history.notices.len() > 200 {
                self.history.notices.remove(0);
            }
            self.deliver_notice(number, id, &body);
        }
    }

    /// Steps the reducer until it has nothing more to do at the current time.
    fn settle(&mut self) {
        for _ in 0..1_000 {
            let timestamp = self.timestamp();
            let mut effects = Vec::new();
            self.reducer.step(timestamp, std::mem::take(&mut self.inputs), &mut effects);
            for effect in effects {
                self.execute(effect);
            }
            if self.inputs.is_empty() && self.reducer.wake_at().is_none_or(|at| at > timestamp.now) {
                return;
            }
        }
        panic!("the reducer doesn't settle after 1,000 steps at one time");
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { sequence: request_number, response: reply, .. } => {
                let answer = match reply {
                    Response::Served(result) => Answer::Served(result.to_vec()),
                    Response::Rejected { retry_after: delay, .. } => Answer::Rejected(delay.0 / MS),
                    Response::Failed { .. } => Answer::Failed,
                    Response::OutcomeUnknown => Answer::Unknown,
                    _ => Answer::Other,
                };
                let (body, deadline_ms, answers) =
                    self.requests.get_mut(&request_number).expect("the answer belongs to a request");
                assert!(answers.is_empty(), "{body} is answered twice");
                assert!(self.history.now_ms <= *deadline_ms + 100, "{body} is answered late");
                if let Answer::Served(result) = &answer
                    && body != "read"
                {
                    let was_run = self.history.runs_by_body.contains_key(body.as_str());
                    assert!(
                        was_run && *result == format!("result of {body}").into_bytes(),
                        "{body}: the answer is not the result of a run"
                    );
                }
                let run = self.history.runs_by_body.get(body.as_str());
                let may_be_repeated = run.is_some_and(|run| self.history.now_ms < run.window_end_ms);
                // A refusal promises that the operation never ran (review, case 7).
                assert!(
                    !(may_be_repeated && matches!(answer, Answer::Rejected(_))),
                    "{body} is refused although it ran"
                );
                answers.push(answer);
            }
            Effect::StartRun { id, class, body, .. } => {
                let body = String::from_utf8_lossy(&body).into_owned();
                // Runs take between 20 ms and 1.3 s.
                let duration_ms = 20 + self.rng.next_u64() % 16 * (self.rng.next_u64() % 80);
                if class.profile.effect == gradepin_admission::Idempotency::Keyed {
                    let now = self.history.now_ms;
                    let key_runs = self.history.runs_by_body.entry(body.clone()).or_default();
                    // A run that is started again on a new link is the same run.
                    if !key_runs.request_ids.iter().any(|known| *known == *id.0) {
                        assert!(
                            key_runs.request_ids.is_empty() || key_runs.window_end_ms <= now,
                            "{body} ran at {} and again {} ms before its window closes",
                            key_runs.window_end_ms - WINDOW_MS,
                            key_runs.window_end_ms - now
                        );
                        key_runs.request_ids.push(id.0.to_string());
                        // The window starts with the arrival of the attempt that ran, at most 4 s (the request budget) ago.
                        key_runs.window_end_ms = now + WINDOW_MS - 4_000;
                    }
                }
                self.history.running.push((self.history.now_ms + duration_ms, id.0.to_string(), body));
            }
            Effect::ReadGauges { number: read_number, .. } => {
                let running_count = self.history.running.len() as f64;
                let target = if self.hold_gauges { &mut self.held_gauge_readings } else { &mut self.inputs };
                target.push(Input::GaugesRead {
                    number: read_number,
                    values: vec![0.5, running_count, 0.1, 9.0],
                });
            }
            Effect::PersistRecords { number, batch } => match self.disk_speed {
                DiskSpeed::Prompt => self.persist(number, &batch),
                DiskSpeed::Blocked => self.pending_writes.push_back((u64::MAX, number, batch)),
                DiskSpeed::Slow(ms) => {
                    // Syncs run one after another, and all writes that wait share the next one.
                    let last = self.pending_writes.back().map_or(0, |(at, ..)| *at);
                    let at = if last > self.history.now_ms + ms {
                        last
                    } else {
                        last.max(self.history.now_ms) + ms
                    };
                    self.pending_writes.push_back((at, number, batch));
                }
            },
            Effect::ReplayNotices => {
                self.inputs.push(Input::LinkDown);
                self.connect_processor(true);
            }
            Effect::Log { text, .. } => self.log_lines.push(text),
            // As the reading thread reports, behind all messages.
            Effect::StopAccepting => self.inputs.push(Input::StoppedAccepting),
            Effect::StopReading => self.inputs.push(Input::StoppedReading),
            Effect::Exit => self.exited = true,
            _ => {}
        }
    }

    fn persist(&mut self, number: u64, batch: &RecordBatch) {
        self.record_crash_points();
        let stamp = self.stamp();
        let Some(log) = &mut self.log else { return };
        let result = match batch {
            RecordBatch::Append(records) => log.add(stamp, records),
            RecordBatch::Rewrite(records) => log.rewrite(stamp, records),
        };
        self.record_crash_points();
        self.inputs.push(match result {
            Ok(()) => Input::StorePersisted { number },
            Err(why) => Input::StoreFailed { number, reason: why.to_string() },
        });
    }

    /// Records the new crash points of the disk with the current outside state. If a run was started since the last one, the
    /// unchanged files are recorded again with the new state, for a crash just before the next write.
    fn record_crash_points(&mut self) {
        if !self.recording {
            return;
        }
        let files = self.disk.boundaries();
        if files.is_empty() && self.recorded_run_count != self.history.runs_by_body.len() {
            self.crash_points.push((self.disk.files(), self.history.clone()));
        }
        self.recorded_run_count = self.history.runs_by_body.len();
        let history = &self.history;
        self.crash_points.extend(files.into_iter().map(|files| (files, history.clone())));
    }

    /// The answer to a request, if there is one yet.
    pub fn answer(&self, request_number: i32) -> Option<&Answer> {
        self.requests.get(&request_number).and_then(|(_, _, answers)| answers.first())
    }

    /// Asserts that each request has exactly one answer, or none before its deadline.
    pub fn assert_answered_once(&self) {
        for (body, deadline_ms, answers) in self.requests.values() {
            assert!(
                answers.len() == 1 || self.history.now_ms < *deadline_ms,
                "{body} has {} answers",
                answers.len()
            );
        }
    }

    /// The number of answers of each kind.
    pub fn answers_by_kind(&self) -> HashMap<&'static str, usize> {
        let mut answers_by_kind = HashMap::new();
        for (_, _, answers) in self.requests.values() {
            for answer in answers {
                let kind = match answer {
                    Answer::Served(_) => "served",
                    Answer::Rejected(_) => "rejected",
                    Answer::Failed => "failed",
                    Answer::Unknown => "unknown",
                    Answer::Other => "other",
                };
                *answers_by_kind.entry(kind).or_default() += 1;
            }
        }
        answers_by_kind
    }
}

/// How long a segment is needed after its last window has ended, in milliseconds.
pub fn max_read_delay_ms() -> u64 {
    MAX_READ_DELAY.0 / MS
}
