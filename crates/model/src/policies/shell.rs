//! What any server keeps, whatever it decides: one final answer by the due time, a keyed request run once, a drain that answers
//! all. What is let in, how many run and in what order is its [`Policy`]'s.

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
/// Between reports to the control plane.
const REPORT_EVERY: Span = Span(400 * MS);
/// How much sooner than the stop all that is owed is answered.
const STOP_MARGIN: Span = Span(150 * MS);
/// Parts of the memory that requests may fill as they come, and as they begin.
const FILL: [f64; 2] = [0.85, 0.95];
/// A window counts from the arrival; a run is remembered that much longer.
const KEEP: Span = Span(1_000 * MS);

/// What a policy is told of a request.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Its rank.
    pub rank: f64,
    /// When it came to the machine, and when it was read.
    pub came: Time,
    /// See `came`.
    pub read: Time,
    /// When its caller stops waiting.
    pub due: Time,
}

/// What goes on at the server.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Runs.
    pub running: usize,
    /// Requests that wait to run.
    pub waiting: usize,
}

/// What is let in and run.
pub trait Policy: Send {
    /// Whether a request that was read is taken.
    fn takes(&mut self, now: Time, ask: &Ask, load: Load) -> bool;

    /// Whether another may run.
    fn may_run(&self, load: Load) -> bool;

    /// Whether the newest of the waiting is the next.
    fn newest_first(&self) -> bool {
        false
    }

    /// Whether one whose turn it is has become pointless.
    fn drops(&mut self, now: Time, ask: &Ask) -> bool;

    /// No request waits any more.
    fn idle(&mut self, _now: Time) {}

    /// A request begins.
    fn began(&mut self, _now: Time, _ask: &Ask) {}

    /// A run is over, so long after it began, with so many at once.
    fn ended(&mut self, _now: Time, _took: Span, _load: Load) {}

    /// The level for those who heed it.
    fn level(&self) -> Option<f64> {
        None
    }
}

/// What a shell is told of its site.
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
    /// From what the real server is told.
    pub fn new(settings: &Settings, stop_ms: u64) -> Self {
        let windows = settings.profiles.iter().map(|p| Some(p.window).filter(|window| window.0 > 0));
        Self {
            windows: windows.collect(),
            // Half a second, within the site's most: what plain servers tell.
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
    ask: Ask,
    token: Option<Arc<str>>,
    body: Arc<Buffer>,
    owed: bool,
    began: Option<Time>,
}

#[derive(Debug)]
enum Key {
    /// Waits or runs, with others that wait for it.
    Under(RequestId, Vec<RequestId>),
    /// Ran, with its result unless it failed, until then.
    Ran(Option<Arc<Buffer>>, Time),
}

/// A server with some policy.
pub struct Shell<P> {
    spec: ShellSpec,
    policy: P,
    open: HashMap<RequestId, Open>,
    names: HashMap<(ConnectionId, SequenceId), RequestId>,
    conns: BTreeMap<ConnectionId, BTreeSet<SequenceId>>,
    line: VecDeque<RequestId>,
    dues: BTreeSet<(Time, RequestId)>,
    keys: HashMap<Arc<str>, Key>,
    runs_out: VecDeque<(Time, Arc<str>)>,
    running: usize,
    /// Memory of all that is open, running or remembered.
    kb: f64,
    link: Option<u64>,
    notice: Option<Time>,
    last_call: Option<Time>,
    next_report: Time,
    now: Time,
    registration: Registration,
}

impl<P: Policy> Shell<P> {
    /// One that has just started.
    pub fn new(spec: ShellSpec, policy: P, registration: Registration) -> Self {
        Self {
            spec,
            policy,
            open: HashMap::new(),
            names: HashMap::new(),
            conns: BTreeMap::new(),
            line: VecDeque::new(),
            dues: BTreeSet::new(),
            keys: HashMap::new(),
            runs_out: VecDeque::new(),
            running: 0,
            kb: 0.0,
            link: None,
            notice: None,
            last_call: None,
            next_report: Time(0),
            now: Time(0),
            registration,
        }
    }

    fn load(&self) -> Load {
        Load { running: self.running, waiting: self.line.len() }
    }

    /// Takes a request out of the books.
    fn forget(&mut self, id: &RequestId) {
        if let Some(open) = self.open.remove(id) {
            self.kb -= open.kb * if open.began.is_some() { self.spec.run_factor } else { 1.0 };
        }
    }

    fn refusal(&self) -> Response {
        Response::Rejected { retry_after: self.spec.advice, no_failover: false }
    }

    fn answer(&mut self, id: &RequestId, answer: Response, effects: &mut Vec<Effect>) {
        let level = self.policy.level();
        let Some(open) = self.open.get_mut(id).filter(|open| open.owed) else { return };
        open.owed = false;
        let (conn, seq, due, began) = (open.conn, open.seq, open.ask.due, open.began);
        self.dues.remove(&(due, id.clone()));
        self.names.remove(&(conn, seq));
        if let Some(seqs) = self.conns.get_mut(&conn) {
            seqs.remove(&seq);
        }
        effects.push(Effect::Respond {
            connection: conn,
            sequence: seq,
            response: answer,
            capacity_hint: level,
        });
        if began.is_none() {
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
        let waited = Span(moment.unix_ms.saturating_sub(call.arrived_unix_ms).saturating_mul(MS));
        let came = time_before(now, waited);
        let ask =
            Ask { rank: call.precedence, came, read: now, due: time_after(came, Span(call.budget_ms * MS)) };
        let id = call.id.clone();
        let open = Open {
            conn,
            seq,
            class: call.class.slot(),
            kb: call.size_kb,
            ask,
            token: call.idempotency_key.clone(),
            body: Arc::new(call.body),
            owed: true,
            began: None,
        };
        self.names.insert((conn, seq), id.clone());
        self.conns.entry(conn).or_default().insert(seq);
        self.dues.insert((ask.due, id.clone()));
        self.kb += open.kb;
        self.open.insert(id.clone(), open);
        match call.idempotency_key.as_ref().and_then(|token| self.keys.get_mut(token)) {
            Some(Key::Under(_, waiters)) => return waiters.push(id),
            Some(Key::Ran(result, until)) if came < *until => {
                let answer = result.clone().map_or(Response::Failed { timed_out: false }, Response::Served);
                return self.answer(&id, answer, effects);
            }
            _ => {}
        }
        let late = self.notice.is_some_and(|notice| came > time_after(notice, self.spec.grace));
        let full = self.kb > FILL[0] * self.spec.memory_kb;
        if self.link.is_none() || late || full || !self.policy.takes(now, &ask, self.load()) {
            return self.answer(&id, self.refusal(), effects);
        }
        if let Some(token) = call.idempotency_key {
            self.keys.insert(token, Key::Under(id.clone(), Vec::new()));
        }
        self.line.push_back(id);
    }

    /// A request that never ran, and all that waited for it, get this answer.
    fn never_ran(&mut self, id: &RequestId, answer: Response, effects: &mut Vec<Effect>) {
        let token = self.open.get(id).and_then(|open| open.token.clone());
        self.answer(id, answer.clone(), effects);
        self.forget(id);
        let Some(token) = token else { return };
        if matches!(self.keys.get(&token), Some(Key::Under(first, _)) if first == id)
            && let Some(Key::Under(_, waiters)) = self.keys.remove(&token)
        {
            for waiter in waiters {
                self.answer(&waiter, answer.clone(), effects);
                self.forget(&waiter);
            }
        }
    }

    fn gone(&mut self, conn: ConnectionId, seq: SequenceId, effects: &mut Vec<Effect>) {
        let Some(id) = self.names.remove(&(conn, seq)) else { return };
        if let Some(seqs) = self.conns.get_mut(&conn) {
            seqs.remove(&seq);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        open.owed = false;
        let (due, began, token) = (open.ask.due, open.began, open.token.clone());
        self.dues.remove(&(due, id.clone()));
        let Some(place) = self.line.iter().position(|other| *other == id) else {
            if began.is_none() {
                // One that waits for another's run.
                self.forget(&id);
                if let Some(Key::Under(_, waiters)) = token.and_then(|token| self.keys.get_mut(&token)) {
                    waiters.retain(|waiter| *waiter != id);
                }
            }
            return;
        };
        // Where others wait for it, it keeps its place and runs for them.
        let waited_for = token.as_ref().and_then(|token| self.keys.get(token)).is_some_and(
            |key| matches!(key, Key::Under(first, waiters) if *first == id && !waiters.is_empty()),
        );
        if !waited_for {
            self.line.remove(place);
            self.never_ran(&id, self.refusal(), effects);
        }
    }

    fn complete(
        &mut self,
        id: &RequestId,
        end: RunEnd,
        took: Span,
        result: Buffer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get(id).filter(|open| open.began.is_some()) else { return };
        self.running = self.running.saturating_sub(1);
        let (class, came, token) = (open.class, open.ask.came, open.token.clone());
        let result = (end == RunEnd::Ok).then(|| Arc::new(result));
        let answer = result.clone().map_or(Response::Failed { timed_out: false }, Response::Served);
        self.answer(id, answer.clone(), effects);
        self.forget(id);
        self.policy.ended(self.now, took, self.load());
        let Some(token) = token else { return };
        let window = self.spec.windows.get(class).copied().flatten().unwrap_or_default();
        let until = time_after(time_after(came, window), KEEP);
        let kept = self.keys.insert(Arc::clone(&token), Key::Ran(result, until));
        self.runs_out.push_back((until, token));
        if let Some(Key::Under(_, waiters)) = kept {
            for waiter in waiters {
                self.answer(&waiter, answer.clone(), effects);
                self.forget(&waiter);
            }
        }
    }

    /// Begins what may run.
    fn begin(&mut self, effects: &mut Vec<Effect>) {
        let Some(link) = self.link else { return };
        while !self.line.is_empty() && self.policy.may_run(self.load()) {
            let newest = self.policy.newest_first();
            let Some(id) = (if newest { self.line.pop_back() } else { self.line.pop_front() }) else {
                return;
            };
            let Some(open) = self.open.get_mut(&id) else { continue };
            if self.policy.drops(self.now, &open.ask) {
                self.never_ran(&id, self.refusal(), effects);
                continue;
            }
            let extra = open.kb * (self.spec.run_factor - 1.0);
            let keyed = if open.token.is_some() { self.spec.key_kb } else { 0.0 };
            if self.running > 0 && self.kb + extra + keyed > FILL[1] * self.spec.memory_kb {
                // Its turn comes when there is room.
                if newest {
                    self.line.push_back(id)
                } else {
                    self.line.push_front(id)
                }
                return;
            }
            self.kb += extra + keyed;
            open.began = Some(self.now);
            let (ask, body) = (open.ask, Arc::clone(&open.body));
            self.running += 1;
            self.policy.began(self.now, &ask);
            effects.push(Effect::StartRun { link, id, class: Arc::default(), body });
        }
        if self.line.is_empty() {
            self.policy.idle(self.now);
        }
    }

    /// What is due by then and hasn't its answer gets one: a failure.
    fn fail_due(&mut self, by: Time, effects: &mut Vec<Effect>) {
        while let Some((due, id)) = self.dues.first().cloned()
            && due <= by
        {
            self.line.retain(|other| *other != id);
            let began = self.open.get(&id).is_some_and(|open| open.began.is_some());
            if began {
                self.answer(&id, Response::Failed { timed_out: true }, effects);
            } else {
                self.never_ran(&id, Response::Failed { timed_out: true }, effects);
            }
            self.dues.remove(&(due, id));
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
                        self.gone(conn, seq, effects);
                    }
                }
                Input::Request { connection: conn, sequence: seq, request: call } => {
                    self.call(moment, conn, seq, *call, effects)
                }
                Input::Cancel { connection: conn, sequence: seq } => self.gone(conn, seq, effects),
                Input::HealthCheck { connection: conn, sequence: seq } => {
                    let good = Response::Health {
                        healthy: self.link.is_some() && self.notice.is_none(),
                        store: None,
                    };
                    effects.push(Effect::Respond {
                        connection: conn,
                        sequence: seq,
                        response: good,
                        capacity_hint: self.policy.level(),
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
                    self.complete(&id, end, took, result, effects)
                }
                Input::RunNotStarted(id) => {
                    self.running = self.running.saturating_sub(1);
                    self.never_ran(&id, Response::Failed { timed_out: false }, effects);
                }
                Input::ShutdownNotice if self.notice.is_none() => {
                    self.notice = Some(self.now);
                    self.last_call = Some(time_before(time_after(self.now, self.spec.stop), STOP_MARGIN));
                    self.next_report = self.now;
                    self.registration.leave(self.now);
                    effects.extend(self.conns.keys().map(|conn| Effect::RequestDrain(*conn)));
                }
                _ => {}
            }
        }
        let last = self.last_call.is_some_and(|at| at <= self.now);
        self.fail_due(if last { Time(u64::MAX) } else { self.now }, effects);
        while let Some((until, token)) = self.runs_out.pop_front_if(|(until, _)| *until <= moment.now) {
            if matches!(self.keys.get(&token), Some(Key::Ran(_, at)) if *at <= until) {
                self.keys.remove(&token);
            }
            self.kb -= self.spec.key_kb;
        }
        self.begin(effects);
        if self.link.is_some() && self.now >= self.next_report {
            self.next_report = time_after(self.now, REPORT_EVERY);
            effects.push(Effect::ReportReadiness { ready: self.notice.is_none() });
        }
        let answered = self.last_call.is_some() && self.open.is_empty();
        self.registration.step(moment, answered, effects);
    }

    fn wake_at(&self) -> Option<Time> {
        let due = self.dues.first().map(|(due, _)| *due);
        let last = self.last_call.filter(|_| !self.dues.is_empty());
        let told = earliest(self.link.map(|_| self.next_report), self.registration.wake_at(self.now));
        earliest(earliest(due, last), told)
    }
}
