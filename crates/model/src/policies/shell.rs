//! Duties of every server, whatever its policy: a single final answer before the deadline, one run per idempotency key,
//! and a drain that answers everything. Admission, concurrency and order are up to the [`Policy`].

use super::Node;
use gradepin_admission::{RequestId, Settings, Span, Time, time_after, time_before};
use gradepin_core::buffer_pool::Buffer;
use gradepin_core::messages::{
    ClientRequest, ConnectionId, Effect, Input, Response, RunEnd, SequenceId, earliest,
};
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Interval of readiness reports to the control plane.
const REPORT_EVERY: Span = Span(400 * MS);
/// Time before the stop by which everything is answered.
const STOP_MARGIN: Span = Span(150 * MS);
/// Fractions of the memory up to which requests are admitted and started.
const MEMORY_FRACTIONS: [f64; 2] = [0.85, 0.95];
/// Time for which a result is kept after its window, which starts at the arrival.
const RESULT_RETENTION: Span = Span(1_000 * MS);

/// Properties of a request that a policy sees.
#[derive(Debug, Clone, Copy)]
pub struct RequestInfo {
    /// Precedence, from 0 to 1.
    pub rank: f64,
    /// Arrival at the machine.
    pub arrived: Time,
    /// Time at which the request was read.
    pub read: Time,
    /// Deadline of the client.
    pub due: Time,
}

/// Load of the server.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Number of runs.
    pub running: usize,
    /// Number of requests waiting to run.
    pub waiting: usize,
}

/// Admission, concurrency and order of requests.
pub trait Policy: Send {
    /// Whether a request that was read is admitted.
    fn admits(&mut self, now: Time, info: &RequestInfo, load: Load) -> bool;

    /// Whether another run may start.
    fn may_run(&self, load: Load) -> bool;

    /// Whether the newest waiting request runs next.
    fn newest_first(&self) -> bool {
        false
    }

    /// Whether the next request should be discarded instead of run.
    fn discards(&mut self, now: Time, info: &RequestInfo) -> bool;

    /// Called when no request is waiting.
    fn idle(&mut self, _now: Time) {}

    /// Called when a run starts.
    fn run_started(&mut self, _now: Time, _ask: &RequestInfo) {}

    /// Called when a run ended, with its duration and the load.
    fn run_ended(&mut self, _now: Time, _took: Span, _load: Load) {}

    /// Precedence threshold announced to client proxies.
    fn threshold(&self) -> Option<f64> {
        None
    }
}

/// Settings of the shell.
#[derive(Debug, Clone)]
pub struct ShellSpec {
    windows: Vec<Option<Span>>,
    advice: Span,
    stop: Span,
    grace: Span,
    memory_kb: f64,
    run_factor: f64,
    key_kb: f64,
}

impl ShellSpec {
    /// Derives the settings from those of the real server.
    pub fn new(settings: &Settings, stop_ms: u64) -> Self {
        let windows = settings.profiles.iter().map(|p| Some(p.window).filter(|window| window.0 > 0));
        Self {
            windows: windows.collect(),
            // Half of the site's maximum: plain servers ask for a fixed Retry-After.
            advice: Span(settings.limits.max_retry_after.0 / 2),
            stop: Span(stop_ms * MS),
            grace: settings.rules.drain_grace,
            memory_kb: settings.specifics.memory_kb,
            run_factor: settings.specifics.run_factor,
            key_kb: settings.specifics.idempotency_key_kb,
        }
    }
}

#[derive(Debug)]
struct Open {
    conn: ConnectionId,
    seq: SequenceId,
    class: usize,
    kb: f64,
    info: RequestInfo,
    token: Option<Arc<str>>,
    body: Arc<Buffer>,
    unanswered: bool,
    run_started: Option<Time>,
}

#[derive(Debug)]
enum Key {
    /// Waiting or running, with the requests that wait for its result.
    Pending(RequestId, Vec<RequestId>),
    /// Completed, with the result unless it failed; kept until this time.
    Completed(Option<Arc<Buffer>>, Time),
}

/// A server with a policy.
pub struct Shell<P> {
    spec: ShellSpec,
    policy: P,
    open: HashMap<RequestId, Open>,
    ids_by_sequence: HashMap<(ConnectionId, SequenceId), RequestId>,
    conns: BTreeMap<ConnectionId, BTreeSet<SequenceId>>,
    waiting_queue: VecDeque<RequestId>,
    deadlines: BTreeSet<(Time, RequestId)>,
    keys: HashMap<Arc<str>, Key>,
    key_expiries: VecDeque<(Time, Arc<str>)>,
    running: usize,
    /// Memory of all open requests, running requests and stored keys.
    kb: f64,
    link: Option<u64>,
    notice: Option<Time>,
    answer_all_by: Option<Time>,
    next_report: Time,
    now: Time,
    registration: Registration,
}

impl<P: Policy> Shell<P> {
    /// Creates a server that has just started.
    pub fn new(spec: ShellSpec, policy: P, registration: Registration) -> Self {
        Self {
            spec,
            policy,
            open: HashMap::new(),
            ids_by_sequence: HashMap::new(),
            conns: BTreeMap::new(),
            waiting_queue: VecDeque::new(),
            deadlines: BTreeSet::new(),
            keys: HashMap::new(),
            key_expiries: VecDeque::new(),
            running: 0,
            kb: 0.0,
            link: None,
            notice: None,
            answer_all_by: None,
            next_report: Time(0),
            now: Time(0),
            registration,
        }
    }

    fn load(&self) -> Load {
        Load { running: self.running, waiting: self.waiting_queue.len() }
    }

    /// Removes a request and releases its memory.
    fn forget(&mut self, id: &RequestId) {
        if let Some(open) = self.open.remove(id) {
            self.kb -= open.kb * if open.run_started.is_some() { self.spec.run_factor } else { 1.0 };
        }
    }

    fn rejection(&self) -> Response {
        Response::Rejected { retry_after: self.spec.advice, no_failover: false }
    }

    fn answer(&mut self, id: &RequestId, answer: Response, effects: &mut Vec<Effect>) {
        let threshold = self.policy.threshold();
        let Some(open) = self.open.get_mut(id).filter(|open| open.unanswered) else { return };
        open.unanswered = false;
        let (conn, seq, due, run_started) = (open.conn, open.seq, open.info.due, open.run_started);
        self.deadlines.remove(&(due, id.clone()));
        self.ids_by_sequence.remove(&(conn, seq));
        if let Some(seqs) = self.conns.get_mut(&conn) {
            seqs.remove(&seq);
        }
        effects.push(Effect::Respond {
            connection: conn,
            sequence: seq,
            response: answer,
            capacity_hint: threshold,
        });
        if run_started.is_none() {
            self.forget(id);
        }
    }

    fn call(
        &mut self,
        moment: Timestamp,
        conn: ConnectionId,
        seq: SequenceId,
        call: ClientRequest,
        effects: &mut Vec<Effect>,
    ) {
        let now = moment.now;
        let total_wait = Span(moment.unix_ms.saturating_sub(call.arrived_unix_ms).saturating_mul(MS));
        let arrived = time_before(now, total_wait);
        let info = RequestInfo {
            rank: call.precedence,
            arrived,
            read: now,
            due: time_after(arrived, Span(call.budget_ms * MS)),
        };
        let id = call.id.clone();
        let open = Open {
            conn,
            seq,
            class: call.class.slot(),
            kb: call.size_kb,
            info,
            token: call.idempotency_key.clone(),
            body: Arc::new(call.body),
            unanswered: true,
            run_started: None,
        };
        self.ids_by_sequence.insert((conn, seq), id.clone());
        self.conns.entry(conn).or_default().insert(seq);
        self.deadlines.insert((info.due, id.clone()));
        self.kb += open.kb;
        self.open.insert(id.clone(), open);
        match call.idempotency_key.as_ref().and_then(|token| self.keys.get_mut(token)) {
            Some(Key::Pending(_, waiters)) => return waiters.push(id),
            Some(Key::Completed(result, until)) if arrived < *until => {
                let answer = result.clone().map_or(Response::Failed { timed_out: false }, Response::Served);
                return self.answer(&id, answer, effects);
            }
            _ => {}
        }
        let late = self.notice.is_some_and(|notice| arrived > time_after(notice, self.spec.grace));
        let full = self.kb > MEMORY_FRACTIONS[0] * self.spec.memory_kb;
        if self.link.is_none() || late || full || !self.policy.admits(now, &info, self.load()) {
            return self.answer(&id, self.rejection(), effects);
        }
        if let Some(token) = call.idempotency_key {
            self.keys.insert(token, Key::Pending(id.clone(), Vec::new()));
        }
        self.waiting_queue.push_back(id);
    }

    /// Answers a request that never ran, and all requests that waited for its result.
    fn answer_unstarted(&mut self, id: &RequestId, answer: Response, effects: &mut Vec<Effect>) {
        let token = self.open.get(id).and_then(|open| open.token.clone());
        self.answer(id, answer.clone(), effects);
        self.forget(id);
        let Some(token) = token else { return };
        if matches!(self.keys.get(&token), Some(Key::Pending(first, _)) if first == id)
            && let Some(Key::Pending(_, waiters)) = self.keys.remove(&token)
        {
            for waiter in waiters {
                self.answer(&waiter, answer.clone(), effects);
                self.forget(&waiter);
            }
        }
    }

    fn cancelled(&mut self, conn: ConnectionId, seq: SequenceId, effects: &mut Vec<Effect>) {
        let Some(id) = self.ids_by_sequence.remove(&(conn, seq)) else { return };
        if let Some(seqs) = self.conns.get_mut(&conn) {
            seqs.remove(&seq);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        open.unanswered = false;
        let (due, run_started, token) = (open.info.due, open.run_started, open.token.clone());
        self.deadlines.remove(&(due, id.clone()));
        let Some(index) = self.waiting_queue.iter().position(|other| *other == id) else {
            if run_started.is_none() {
                // It waits for the run of another request.
                self.forget(&id);
                if let Some(Key::Pending(_, waiters)) = token.and_then(|token| self.keys.get_mut(&token)) {
                    waiters.retain(|waiter| *waiter != id);
                }
            }
            return;
        };
        // Other requests wait for its result, so it stays in the queue.
        let waited_for = token.as_ref().and_then(|token| self.keys.get(token)).is_some_and(
            |key| matches!(key, Key::Pending(first, waiters) if *first == id && !waiters.is_empty()),
        );
        if !waited_for {
            self.waiting_queue.remove(index);
            self.answer_unstarted(&id, self.rejection(), effects);
        }
    }

    fn run_completed(
        &mut self,
        id: &RequestId,
        end: RunEnd,
        took: Span,
        result: Buffer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get(id).filter(|open| open.run_started.is_some()) else { return };
        self.running = self.running.saturating_sub(1);
        let (class, arrived, token) = (open.class, open.info.arrived, open.token.clone());
        let result = (end == RunEnd::Ok).then(|| Arc::new(result));
        let answer = result.clone().map_or(Response::Failed { timed_out: false }, Response::Served);
        self.answer(id, answer.clone(), effects);
        self.forget(id);
        self.policy.run_ended(self.now, took, self.load());
        let Some(token) = token else { return };
        let window = self.spec.windows.get(class).copied().flatten().unwrap_or_default();
        let until = time_after(time_after(arrived, window), RESULT_RETENTION);
        let kept = self.keys.insert(Arc::clone(&token), Key::Completed(result, until));
        self.key_expiries.push_back((until, token));
        if let Some(Key::Pending(_, waiters)) = kept {
            for waiter in waiters {
                self.answer(&waiter, answer.clone(), effects);
                self.forget(&waiter);
            }
        }
    }

    /// Starts the runs that the policy and the memory allow.
    fn start_runs(&mut self, effects: &mut Vec<Effect>) {
        let Some(link) = self.link else { return };
        while !self.waiting_queue.is_empty() && self.policy.may_run(self.load()) {
            let newest = self.policy.newest_first();
            let Some(id) =
                (if newest { self.waiting_queue.pop_back() } else { self.waiting_queue.pop_front() })
            else {
                return;
            };
            let Some(open) = self.open.get_mut(&id) else { continue };
            if self.policy.discards(self.now, &open.info) {
                self.answer_unstarted(&id, self.rejection(), effects);
                continue;
            }
            let extra = open.kb * (self.spec.run_factor - 1.0);
            let keyed = if open.token.is_some() { self.spec.key_kb } else { 0.0 };
            if self.running > 0 && self.kb + extra + keyed > MEMORY_FRACTIONS[1] * self.spec.memory_kb {
                // It runs once there is memory.
                if newest {
                    self.waiting_queue.push_back(id)
                } else {
                    self.waiting_queue.push_front(id)
                }
                return;
            }
            self.kb += extra + keyed;
            open.run_started = Some(self.now);
            let (info, body) = (open.info, Arc::clone(&open.body));
            self.running += 1;
            self.policy.run_started(self.now, &info);
            effects.push(Effect::StartRun { link, id, class: Arc::default(), body });
        }
        if self.waiting_queue.is_empty() {
            self.policy.idle(self.now);
        }
    }

    /// Answers every request due by `by` with a failure.
    fn fail_expired(&mut self, by: Time, effects: &mut Vec<Effect>) {
        while let Some((due, id)) = self.deadlines.first().cloned()
            && due <= by
        {
            self.waiting_queue.retain(|other| *other != id);
            let run_started = self.open.get(&id).is_some_and(|open| open.run_started.is_some());
            if run_started {
                self.answer(&id, Response::Failed { timed_out: true }, effects);
            } else {
                self.answer_unstarted(&id, Response::Failed { timed_out: true }, effects);
            }
            self.deadlines.remove(&(due, id));
        }
    }
}

impl<P: Policy> Node for Shell<P> {
    fn step(&mut self, moment: Timestamp, inputs: &mut Vec<Input>, effects: &mut Vec<Effect>) {
        self.now = moment.now;
        for input in inputs.drain(..) {
            match input {
                Input::ConnectionOpened(conn) => {
                    self.conns.entry(conn).or_default();
                    if self.notice.is_some() {
                        effects.push(Effect::RequestDrain(conn));
                    }
                }
                Input::ConnectionClosed(conn) => {
                    for seq in self.conns.remove(&conn).unwrap_or_default() {
                        self.cancelled(conn, seq, effects);
                    }
                }
                Input::Request { connection: conn, sequence: seq, request: call } => {
                    self.call(moment, conn, seq, *call, effects)
                }
                Input::Cancel { connection: conn, sequence: seq } => self.cancelled(conn, seq, effects),
                Input::HealthCheck { connection: conn, sequence: seq } => {
                    let good = Response::Health {
                        healthy: self.link.is_some() && self.notice.is_none(),
                        store: None,
                    };
                    effects.push(Effect::Respond {
                        connection: conn,
                        sequence: seq,
                        response: good,
                        capacity_hint: self.policy.threshold(),
                    });
                }
                Input::RegistryReply { ticket, reply } => self.registration.reply(self.now, ticket, reply),
                Input::LinkUp { link, cold, age } => {
                    self.registration.processor_up(time_before(self.now, age), cold);
                    self.registration.publish_health(self.now, true);
                    self.link = Some(link);
                    self.next_report = self.now;
                }
                Input::LinkDown => self.link = None,
                Input::RunCompleted { id, end, took, result, .. } => {
                    self.run_completed(&id, end, took, result, effects)
                }
                Input::RunNotStarted(id) => {
                    self.running = self.running.saturating_sub(1);
                    self.answer_unstarted(&id, Response::Failed { timed_out: false }, effects);
                }
                Input::ShutdownNotice if self.notice.is_none() => {
                    self.notice = Some(self.now);
                    self.answer_all_by = Some(time_before(time_after(self.now, self.spec.stop), STOP_MARGIN));
                    self.next_report = self.now;
                    self.registration.leave(self.now);
                    effects.extend(self.conns.keys().map(|conn| Effect::RequestDrain(*conn)));
                }
                _ => {}
            }
        }
        let last = self.answer_all_by.is_some_and(|at| at <= self.now);
        self.fail_expired(if last { Time(u64::MAX) } else { self.now }, effects);
        while let Some((until, token)) = self.key_expiries.pop_front_if(|(until, _)| *until <= moment.now) {
            if matches!(self.keys.get(&token), Some(Key::Completed(_, at)) if *at <= until) {
                self.keys.remove(&token);
            }
            self.kb -= self.spec.key_kb;
        }
        self.start_runs(effects);
        if self.link.is_some() && self.now >= self.next_report {
            self.next_report = time_after(self.now, REPORT_EVERY);
            effects.push(Effect::ReportReadiness { ready: self.notice.is_none() });
        }
        let answered = self.answer_all_by.is_some() && self.open.is_empty();
        self.registration.step(moment, answered, effects);
    }

    fn wake_at(&self) -> Option<Time> {
        let due = self.deadlines.first().map(|(due, _)| *due);
        let last = self.answer_all_by.filter(|_| !self.deadlines.is_empty());
        let told = earliest(self.link.map(|_| self.next_report), self.registration.wake_at(self.now));
        earliest(earliest(due, last), told)
    }
}
