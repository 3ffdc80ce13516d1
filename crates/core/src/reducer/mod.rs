//! All state of the tile server, and all changes to it: inputs in, effects out.
//!
//! The reducer hosts one [`Controller`] and decides nothing itself. It does no I/O and reads no clock, so a
//! test can drive it through any course of events.

mod calls;
mod claims;
mod operators;

use crate::admin::Door;
use crate::claims::Claims;
use crate::classes::Classes;
use crate::config::{Config, ConfigError};
use crate::handover::{Handover, Left};
use crate::keys::{End, Keys, Print};
use crate::ledger::{Ledger, Recovered, Standing};
use crate::messages::{Answer, Call, ConnId, Effect, Input, LEAST_RESTART, Misuse, RunEnd, SeqId, sooner};
use crate::moment::Moment;
use crate::pool::{Buffer, Pool};
use crate::registration::Registration;
use crate::resting::Resting;
use crate::tally::Tally;
use crate::wheel::{Due, Wheel};
use gradepin_decisions::{
    Action, Controller, Event, Gauges, Outcome, Request, RequestId, Settings, Span, Time, after, before,
};
use siphasher::sip::SipHasher13;
use slog::Level;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hasher;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Between reports to the control plane, which forgets a server after 3 s.
const REPORT_EVERY: Span = Span(400 * MS);
/// How long a due timer waits for its gauges; then it fires without.
const GAUGES_WAIT: Span = Span(15 * MS);
/// How long the processor may leave a question for the gauges open before the link counts as dead.
const LINK_PATIENCE: Span = Span(1_500 * MS);
/// How much sooner than told the module is to be done when the process will be stopped: the notice and the
/// last answers take their time to cross.
const STOP_MARGIN: Span = Span(100 * MS);
/// After the told stop: the end of a process that nobody stopped.
const STOP_OVERDUE: Span = Span(2_000 * MS);
/// Parts of the memory for the bodies of open requests and for the results of keyed ones.
const BODIES_PART: usize = 4;
const RESULTS_PART: usize = 6;
/// What an open request takes beside its body.
const BESIDE: usize = 1024;
/// A budget is at most this many times the deadline of its class.
const BUDGET_MULTIPLE: u64 = 2;
/// How long the first requests of a connection may have waited to be read: none came before the connection.
const UNREAD_FIRST: Span = Span(100 * MS);
/// A change of state is reported this many times in a row, so often: reports get lost.
const REPORTS_OF_A_CHANGE: u32 = 3;
const REPORT_AGAIN: Span = Span(60 * MS);
/// Between sweeps through connections and keys.
const SWEEP_EVERY: Span = Span(250 * MS);
/// Connections looked at in one sweep, and how long one of them is not looked at again at the most: the module may
/// shorten the time that they may be idle.
const LOOKS: usize = 64;
const LOOK_AGAIN: Span = Span(1_000 * MS);
/// A run of an earlier life is waited for, with a processor that outlived that, so many times the longest deadline.
const HOPE_MULTIPLE: u64 = 2;
/// How long a peer that was asked to drain an idle connection has before it is closed from here.
const DRAIN_PATIENCE: Span = Span(1_000 * MS);

/// A connection that came or spoke so lately is not closed for room; half of it for one that never spoke.
const REST: Span = Span(200 * MS);
/// How long a resting connection takes to close; after that it must have spoken.
const CLOSE_PATIENCE: Span = Span(250 * MS);
/// Requests open on one connection.
const WINDOW: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Held,
    /// Waits for another try's run, since a time.
    Joined(Time),
    Running,
}

/// A request that is open or runs.
#[derive(Debug)]
struct Open {
    conn: ConnId,
    seq: SeqId,
    class: usize,
    t0: u64,
    /// When its caller stops waiting, in Unix milliseconds.
    due_ms: u64,
    token: Option<Arc<str>>,
    /// Of its body and class, if it has a token.
    print: Print,
    state: State,
    /// Whether its caller still waits for an answer.
    owed: bool,
    body: Arc<Buffer>,
    /// The call its run waits for, and since when that call is out.
    call: Option<Arc<Buffer>>,
    call_since: Option<Time>,
}

impl Open {
    /// Its token and the print that goes with it.
    fn key(&self) -> Option<(&Arc<str>, Print)> {
        self.token.as_ref().map(|token| (token, self.print))
    }
}

#[derive(Debug, Default)]
struct Connection {
    open: HashMap<SeqId, RequestId>,
    opened: Time,
    last: Time,
    /// Whether a whole message ever came.
    spoke: bool,
    /// Since when it is asked to drain.
    draining: Option<Time>,
    /// Messages taken in from it.
    taken: u64,
    /// Until when nothing was read from it, the last time that its pace held it back.
    paced: Option<Time>,
    /// When it was last to be closed if it rests.
    closing: Option<Time>,
}

impl Connection {
    /// Whether it is being closed, as far as is known.
    fn closes(&self, now: Time) -> bool {
        self.closing.is_some_and(|since| now < after(since, CLOSE_PATIENCE))
    }
}

/// The link to the processor.
#[derive(Debug, Default)]
struct Link {
    /// Its number, while it stands.
    number: Option<u64>,
    /// The question after which begins left over from an earlier link are sent again.
    settles: Option<u64>,
    /// The question behind all kept notices, told since runs of an earlier life were found; none before they are.
    retold: Option<u64>,
    /// When the processor last told anything.
    heard: Time,
    last_notice: u64,
    /// Questions asked so far, and when the open one was.
    asked: u64,
    open_since: Option<Time>,
    gauges: Option<(Time, Gauges)>,
    /// Begins that may not have arrived, with the questions asked before each.
    unproven: Vec<(RequestId, u64)>,
    /// Replies to calls that may not have arrived, one a run at the most, with the questions asked before each.
    replies: Vec<(RequestId, Arc<Buffer>, u64)>,
}

/// The state of one tile server.
pub struct Reducer {
    settings: Arc<Settings>,
    config: Config,
    seed: u64,
    stop: Span,
    controller: Option<Controller>,
    moment: Moment,
    requests: HashMap<RequestId, Open>,
    /// What they take, and may take before more are refused.
    body_bytes: usize,
    most_bodies: usize,
    /// Held requests whose caller left in this batch.
    left: Vec<RequestId>,
    /// Keyed requests of this batch, not in the table yet.
    batch: HashMap<Arc<str>, RequestId>,
    connections: BTreeMap<ConnId, Connection>,
    /// Connections from which on newcomers take the places of resting ones.
    room: usize,
    /// Those with nothing open, and when to look at which whether it is idle.
    resting: Resting,
    looks: Wheel<ConnId>,
    keys: Keys,
    ledger: Ledger,
    /// Where the process after this one in an upgrade shares what runs.
    claims: Claims,
    /// Buffers for what the store held.
    pool: Arc<Pool>,
    /// Of the prints: of this life, or of the store that outlives it.
    salt: u64,
    /// When the first step was, and until when the ends of runs of an earlier life may still be told.
    began: Option<Time>,
    hope: Option<Time>,
    /// Whether the processor is no older than this process.
    young: bool,
    /// How it was with the store when that was last told.
    standing: Standing,
    timers: BTreeSet<Time>,
    link: Link,
    active: bool,
    hint: Option<f64>,
    idle: Option<Span>,
    /// Whether the notice to leave has come, and when the process ends if nobody stops it.
    leaving: bool,
    exit_at: Option<Time>,
    next_report: Time,
    /// Reports still to come soon of the last change.
    changes: u32,
    next_sweep: Time,
    registration: Registration,
    /// The classes and tenants in force across reloads; `settings` are theirs.
    classes: Classes,
    /// The drain that operators order at their door, and the figures they scrape.
    door: Door,
    tally: Tally,
    /// Where the listener is shared with a successor: what SIGTERM means then.
    handover: Handover,
    /// For the module's next turn.
    events: Vec<Event>,
    actions: Vec<Action>,
    effects: Vec<Effect>,
}

impl Reducer {
    /// The state at the start of a server.
    pub fn new(
        config: &Config,
        settings: Arc<Settings>,
        registration: Registration,
    ) -> Result<Self, ConfigError> {
        let classes = Classes::new(Arc::clone(&settings));
        Ok(Self {
            seed: config.seed()?,
            config: config.clone(),
            stop: Span(config.stop_ms.saturating_mul(MS)),
            settings,
            controller: None,
            moment: Moment::default(),
            requests: HashMap::new(),
            body_bytes: 0,
            most_bodies: config.memory(BODIES_PART),
            left: Vec::new(),
            batch: HashMap::new(),
            connections: BTreeMap::new(),
            room: config.connections() * 7 / 8,
            resting: Resting::default(),
            looks: Wheel::default(),
            keys: Keys::new(config.memory(RESULTS_PART)),
            ledger: Ledger::off(),
            claims: Claims::default(),
            pool: Pool::new(0),
            salt: config.seed()?,
            began: None,
            hope: None,
            young: false,
            standing: Standing::Off,
            timers: BTreeSet::new(),
            link: Link::default(),
            active: false,
            hint: None,
            idle: None,
            leaving: false,
            exit_at: None,
            next_report: Time(0),
            changes: 0,
            next_sweep: Time(0),
            registration,
            classes,
            door: Door::default(),
            tally: Tally::default(),
            handover: Handover::default(),
            events: Vec::new(),
            actions: Vec::new(),
            effects: Vec::new(),
        })
    }

    /// For a process whose listener is inherited and shared with the one that comes after it in an upgrade.
    pub fn sharing_listener(mut self) -> Self {
        self.handover = Handover::shared();
        self
    }

    /// For a process that shares its keyed runs with the other one of an upgrade; this salt keys the prints of both. Not
    /// beside a store, which has one owner and a salt of its own.
    pub fn sharing_runs(mut self, salt: u64) -> Self {
        (self.claims, self.salt) = (Claims::shared(), salt);
        self
    }

    /// With a store that is being opened, whose records go by this ledger.
    pub fn with_store(mut self, ledger: Ledger, pool: Arc<Pool>) -> Self {
        (self.ledger, self.pool) = (ledger, pool);
        self
    }

    /// Takes in all inputs, lets the module decide once, and appends what is to be done.
    pub fn step(
        &mut self,
        moment: Moment,
        inputs: impl IntoIterator<Item = Input>,
        effects: &mut Vec<Effect>,
    ) {
        self.moment = moment;
        self.began.get_or_insert(moment.now);
        for input in inputs {
            self.input(input);
        }
        self.fire();
        self.decide();
        self.housekeeping();
        effects.append(&mut self.effects);
    }

    /// When [`Reducer::step`] must be called again though nothing came in.
    pub fn wake_at(&self) -> Option<Time> {
        if !self.events.is_empty() {
            return Some(self.moment.now);
        }
        let timer = self.timers.first().map(|&due| match self.link.open_since {
            Some(since) if due <= self.moment.now => after(since, GAUGES_WAIT),
            _ => due,
        });
        // Until the end is told; a hand-over's last moment is past after it.
        let exit = sooner(self.exit_at, self.exit_at.and(self.handover.wake_at()));
        let own = sooner(sooner(timer, exit), sooner(self.ledger.wake_at(), self.hope));
        sooner(
            sooner(own, self.registration.wake_at(self.moment.now)),
            Some(self.next_sweep.min(self.next_report)),
        )
    }

    fn log(&mut self, level: Level, text: String) {
        self.effects.push(Effect::Log(level, text));
    }

    // ---- inputs

    fn input(&mut self, input: Input) {
        if let Input::Call(conn, ..)
        | Input::Invalid(conn, ..)
        | Input::Cancel(conn, _)
        | Input::Health(conn, _) = &input
            && let Some(connection) = self.connections.get_mut(conn)
        {
            connection.taken += 1;
        }
        match input {
            Input::Opened(conn) => {
                self.make_room();
                let now = self.moment.now;
                let connection = Connection { opened: now, last: now, ..Connection::default() };
                self.connections.insert(conn, connection);
                self.resting.rests(conn, now, false);
                self.looks.insert(after(now, LOOK_AGAIN), conn);
                if self.leaving {
                    self.ask_to_drain(conn);
                }
            }
            Input::Closed(conn) => self.closed(conn),
            Input::Call(conn, seq, call) => self.call(conn, seq, *call),
            Input::Invalid(conn, seq, misuse, why) => self.invalid(conn, seq, None, misuse, why),
            Input::Cancel(conn, seq) => self.cancel(conn, seq),
            Input::Health(conn, seq) => {
                self.rest(conn);
                let good = self.active && self.door.failed_since().is_none();
                let health = Answer::Health(good, self.ledger.standing(self.moment.now).word());
                self.effects.push(Effect::Answer(conn, seq, health, self.hint));
            }
            Input::LinkUp { link, cold, age } => self.link_up(link, cold, age),
            Input::LinkDown => {
                self.registration.processor_silent(self.moment.now);
                self.link.number = None;
                self.link.settles = None;
                self.link.open_since = None;
            }
            Input::Complete { notice, id, end, took, result } => {
                self.link.heard = self.moment.now;
                // After a reconnect the processor may tell again what was already read.
                if notice > self.link.last_notice {
                    self.link.last_notice = notice;
                    self.complete(&id, end, took, result);
                } else if self.keys.hopes() {
                    self.learned(&id, end, &result);
                }
            }
            Input::Ask { notice, id, body } => {
                self.link.heard = self.moment.now;
                if notice > self.link.last_notice {
                    self.link.last_notice = notice;
                    self.asks(&id, body);
                }
            }
            Input::Called { id, outcome, reply } => self.called(&id, outcome, reply),
            Input::Claimed(id, claim) => self.claimed(&id, claim),
            Input::Used(tag, values) => {
                self.link.heard = self.moment.now;
                self.used(tag, &values);
            }
            Input::Rejected(id) => {
                self.log(Level::Error, format!("the processor rejected the run of {}", id.0));
                self.ended(&id, RunEnd::Moot, Span(0), None);
            }
            Input::Paced(conn, pause) => {
                let until = after(self.moment.now, pause);
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.paced = Some(until);
                }
            }
            Input::Terminate => self.terminate(),
            Input::NotAccepting => self.handover.stopped(),
            Input::TakeOut => self.take_out(),
            Input::TakeIn => self.take_in(),
            Input::Registry(ticket, reply) => self.registration.reply(self.moment.now, ticket, reply),
            Input::Reload(config) => self.reload(*config),
            Input::ReloadRefused(why) => self.reload_refused(why),
            Input::Admin(id, call) => self.admin(id, call),
            Input::Recovered(recovered) => self.recovered(*recovered),
            Input::Persisted(upto) => {
                for id in self.ledger.persisted(self.moment.now, upto) {
                    if self.requests.get(&id).is_some_and(|open| open.state == State::Running) {
                        self.begin(&id);
                    }
                }
            }
            Input::Unpersisted(upto, why) => {
                for id in self.ledger.failed(self.moment.now, upto, &why) {
                    self.never_ran(&id);
                }
            }
        }
    }

    fn touch(&mut self, conn: ConnId) -> Option<&mut Connection> {
        let connection = self.connections.get_mut(&conn)?;
        connection.last = self.moment.now;
        connection.spoke = true;
        Some(connection)
    }

    /// A connection has said something, or was answered, and may rest from now on.
    fn rest(&mut self, conn: ConnId) {
        if self.touch(conn).is_some_and(|connection| connection.open.is_empty()) {
            self.resting.rests(conn, self.moment.now, true);
        }
    }

    fn call(&mut self, conn: ConnId, seq: SeqId, call: Call) {
        let Some(connection) = self.touch(conn) else { return };
        if connection.open.contains_key(&seq) {
            // Two answers under one number could not be told apart.
            self.log(Level::Warning, format!("closing connection {conn}: request {seq} came twice"));
            return self.closed(conn);
        }
        let (opened, paced, open) = (connection.opened, connection.paced, connection.open.len());
        if !self.classes.takes(call.class, self.moment.now) {
            let why = format!(
                "unknown method \"{}\": the class was dropped",
                self.settings.profiles[call.class].name
            );
            return self.invalid(conn, seq, Some(call.class), Misuse::NotFound, why);
        }
        if open >= WINDOW || self.body_bytes > self.most_bodies {
            // Guards against hundreds of requests at once: left unread, they would hide cancels and the close. And
            // against more bodies than the memory holds, on many connections.
            return self.turn_away(conn, seq, call.class, Span(0));
        }
        let deadline = self.settings.profiles[call.class].deadline;
        if call.budget > BUDGET_MULTIPLE * deadline.0.div_ceil(MS) {
            return self.invalid(conn, seq, Some(call.class), Misuse::Request, "budget out of range".into());
        }
        if self.requests.contains_key(&call.id) {
            let why = format!("the rid {} is open already", call.id.0);
            return self.invalid(conn, seq, Some(call.class), Misuse::Conflict, why);
        }
        if self.controller.is_none() {
            // No processor yet, so nobody to ask; nothing has run.
            return self.turn_away(conn, seq, call.class, Span(0));
        }
        let unix = self.moment.unix_ms;
        // Nothing came later than it is read. Guards against a stamp that keeps a key's run for ever.
        let t0 = call.t0.min(unix);
        let due = t0.saturating_add(call.budget);
        // It did not wait here before there was a connection. Guards against stamps of long ago, which would tell
        // the module that requests wait unread.
        let queued = Span(unix.saturating_sub(t0).saturating_mul(MS));
        let since = Span(self.moment.now.0.saturating_sub(opened.0));
        let queued = queued.min(Span(since.0.saturating_add(UNREAD_FIRST.0)));
        // Nor did it wait for this server while its own connection's pace held it back. Guards against a flood that
        // makes a server with time to read count as one that doesn't get to it, and health that goes bad by it.
        let queued =
            paced.map_or(queued, |until| queued.min(Span(self.moment.now.0.saturating_sub(until.0))));
        if let Some(token) = &call.token
            && !self.keys.ran(token, t0)
            && self.ledger.refuses(self.moment.now).is_some()
        {
            // It can't be made sure that this never runs twice. Whatever ran before is answered all the same.
            return self.turn_away(conn, seq, call.class, self.store_advice());
        }
        let print = if call.token.is_some() { self.print(&call) } else { 0 };
        let earlier = call.token.as_ref().and_then(|token| self.earlier(token, t0));
        if earlier.as_ref().is_some_and(|(_, first)| *first != print) {
            // Guards against a stranger who learnt a token: its request would be served another's result.
            let why = "the token came before with another body or class".into();
            return self.invalid(conn, seq, Some(call.class), Misuse::Conflict, why);
        }
        let earlier = earlier.map(|(id, _)| id);
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.open.insert(seq, call.id.clone());
        if let Some(token) = &call.token {
            self.batch.insert(Arc::clone(token), call.id.clone());
        }
        self.events.push(Event::Arrived(Request {
            id: call.id.clone(),
            expires_in: Some(Span(due.saturating_sub(unix).saturating_mul(MS))),
            class: call.class,
            has_key: call.has_key,
            caller: call.caller,
            work: None,
            tenant: call.tenant,
            size_kb: call.size_kb,
            precedence: call.precedence,
            retry: call.retry,
            write: call.token.is_some(),
            earlier,
            queued_for: queued,
        }));
        let open = Open {
            conn,
            seq,
            class: call.class,
            t0,
            due_ms: due,
            token: call.token,
            print,
            state: State::Held,
            owed: true,
            body: Arc::new(call.body),
            call: None,
            call_since: None,
        };
        self.body_bytes += open.body.len() + BESIDE;
        self.requests.insert(call.id, open);
    }

    /// Turns away what the module never hears of.
    fn turn_away(&mut self, conn: ConnId, seq: SeqId, class: usize, backoff: Span) {
        self.rest(conn);
        let answer = Answer::Refused { backoff, last: false };
        self.tally.answered(&self.settings.profiles[class].name, &answer);
        self.effects.push(Effect::Answer(conn, seq, answer, self.hint));
    }

    /// Keyed, so that nobody can choose two bodies with one print; and by name, which a store outlives.
    fn print(&self, call: &Call) -> Print {
        let mut hasher = SipHasher13::new_with_keys(self.salt, !self.salt);
        let name = self.settings.profiles[call.class].name.as_bytes();
        hasher.write_usize(name.len());
        hasher.write(name);
        hasher.write(&call.body);
        hasher.finish()
    }

    fn earlier(&self, token: &str, t0: u64) -> Option<(RequestId, Print)> {
        let held =
            |id: &RequestId| self.requests.get(id).is_some_and(|open| open.state == State::Held && open.owed);
        // Two of one batch are linked before the module could keep the first.
        let batch = self.batch.get(token).filter(|id| held(id));
        let batch = batch.and_then(|id| Some((id.clone(), self.requests.get(id)?.print)));
        batch.or_else(|| self.keys.earlier(token, t0, self.moment.now, held))
    }

    /// Answers what can't be taken; counted where its class is known, since peers count it under that.
    fn invalid(&mut self, conn: ConnId, seq: SeqId, class: Option<usize>, misuse: Misuse, why: String) {
        self.rest(conn);
        self.log(Level::Warning, format!("a request on connection {conn} made no sense: {why}"));
        let answer = Answer::Invalid(misuse, why);
        if let Some(class) = class {
            self.tally.answered(&self.settings.profiles[class].name, &answer);
        }
        self.effects.push(Effect::Answer(conn, seq, answer, self.hint));
    }

    fn cancel(&mut self, conn: ConnId, seq: SeqId) {
        // Otherwise the cancel has crossed the answer.
        let open = self.touch(conn).and_then(|connection| connection.open.remove(&seq));
        // Also one that only ever cancels what isn't open: it must not hold its place unseen.
        self.rest(conn);
        if let Some(id) = open {
            self.gone(&id);
        }
    }

    fn closed(&mut self, conn: ConnId) {
        if let Some(connection) = self.connections.remove(&conn) {
            for id in connection.open.into_values().collect::<BTreeSet<_>>() {
                self.gone(&id);
            }
            self.effects.push(Effect::Close(conn));
        }
    }

    /// Nobody waits for a request any more.
    fn gone(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get_mut(id) else { return };
        open.owed = false;
        if open.state != State::Running {
            // The module may still release its key: it is taken out after that.
            self.left.push(id.clone());
        }
        self.events.push(Event::Left(id.clone()));
    }

    // ---- the processor

    fn link_up(&mut self, number: u64, cold: bool, age: Span) {
        let now = self.moment.now;
        self.registration.processor_up(before(now, age), cold);
        let first = self.controller.is_none();
        if first {
            // Warmth counts from the start of the processor, which may be long after this process's.
            let mut settings = Settings::clone(&self.settings);
            settings.specifics.just_started = cold;
            self.controller = Some(Controller::new(settings, self.seed, before(now, age)));
            self.active = true;
            self.registration.health(now, true);
            self.changed();
            if self.leaving {
                self.tell_leaving();
            }
            self.log(Level::Info, format!("the processor is up, {}", if cold { "cold" } else { "warm" }));
        }
        // It started with this process or after it: nothing of an earlier life runs there.
        self.young = self.began.is_some_and(|began| after(before(now, age), LEAST_RESTART) >= began);
        if self.young {
            self.hope = self.hope.map(|_| now);
        }
        if !first && before(now, age) > after(self.link.heard, LEAST_RESTART) {
            // It has started since it was last heard. A mere pause of the machine makes the greeting old, not young.
            self.restarted();
        }
        self.link.heard = now;
        self.link.number = Some(number);
        self.link.open_since = None;
        let unproven = !self.link.unproven.is_empty() || !self.link.replies.is_empty();
        if unproven || self.hope.is_some() {
            // The answer comes behind all notices of runs that ended meanwhile.
            self.ask(number);
            self.link.settles = unproven.then_some(self.link.asked);
            self.link.retold = self.hope.map(|_| self.link.asked);
        }
    }

    /// Another processor: what ran on the one before has no end to wait for, and notices begin at 1 again.
    fn restarted(&mut self) {
        self.log(Level::Warning, "the processor has restarted; its runs are lost".into());
        self.link.last_notice = 0;
        let running = self.requests.iter().filter(|(_, open)| open.state == State::Running);
        // In order of their ids: the same inputs give the same effects.
        for id in running.map(|(id, _)| id.clone()).collect::<BTreeSet<_>>() {
            self.ended(&id, RunEnd::Error, Span(0), None);
        }
    }

    /// Asks for the gauges.
    fn ask(&mut self, link: u64) {
        self.link.asked += 1;
        self.link.open_since = Some(self.moment.now);
        self.effects.push(Effect::Usage(link, self.link.asked));
    }

    fn used(&mut self, tag: u64, values: &[f64]) {
        if tag != self.link.asked || self.link.open_since.take().is_none() {
            return;
        }
        let mut gauges = Gauges::default();
        for (name, value) in self.settings.specifics.gauges.iter().zip(values) {
            gauges.set(name, *value);
        }
        self.link.gauges = Some((self.moment.now, gauges));
        if self.link.settles.take_if(|settles| *settles <= tag).is_some() {
            // Begins that the fallen link lost. Guards against requests that hang because a link fell.
            for (id, _) in std::mem::take(&mut self.link.unproven) {
                self.begin(&id);
            }
            for (id, reply, _) in std::mem::take(&mut self.link.replies) {
                self.reply(id, reply);
            }
        }
        self.link.unproven.retain(|(_, asked)| *asked >= tag);
        self.link.replies.retain(|(.., asked)| *asked >= tag);
        // Guards against an answer from before the retelling: the end of an earlier life's run may still be told.
        if self.link.retold.is_some_and(|retold| retold <= tag) {
            self.count_runs(gauges.on_cores);
        }
    }

    /// Where no more runs than were begun here are on the cores, none of an earlier life is, and its end was told before or
    /// never will be. Guards against repeats that wait in life after life for a run that never reached the processor.
    fn count_runs(&mut self, on_cores: Option<f64>) {
        let (Some(_), Some(on)) = (self.hope, on_cores) else { return };
        let running = self.requests.values().filter(|open| open.state == State::Running).count();
        // Those still without an intent, and those begun after the question, aren't among them.
        let own = running.saturating_sub(self.ledger.waiting() + self.link.unproven.len());
        if on < own as f64 + 0.5 {
            self.hope = Some(self.moment.now);
        }
    }

    /// Sends a request to its run, now or once the link stands and is settled.
    fn begin(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get(id) else { return };
        self.link.unproven.push((id.clone(), self.link.asked));
        if let Some(link) = self.link.number.filter(|_| self.link.settles.is_none()) {
            self.tally.relayed();
            self.effects.push(Effect::Begin(link, id.clone(), open.class, Arc::clone(&open.body)));
        }
    }

    fn complete(&mut self, id: &RequestId, end: RunEnd, took: Span, result: Buffer) {
        let result = Arc::new(result);
        if !self.requests.contains_key(id) {
            return self.learned(id, end, &result);
        }
        self.ended(id, end, took, Some(result));
    }

    /// A processor that outlived an earlier life tells the end of a run of that.
    fn learned(&mut self, id: &RequestId, end: RunEnd, result: &Buffer) {
        let Some(token) = self.keys.learned(id) else { return };
        let end = match end {
            RunEnd::Ok => Some(End::Served(Arc::new(result.exact()))),
            RunEnd::Error | RunEnd::Stopped => Some(End::Failed),
            RunEnd::Moot => None,
        };
        self.settle(&token, id, end);
    }

    /// A keyed run has its end, or with none never was: it is kept and written, and its repeats are answered.
    fn settle(&mut self, token: &Arc<str>, id: &RequestId, end: Option<End>) {
        let waiters = self.keys.ended(token, id, end.clone());
        self.claim_ended(token, end.clone());
        if end.is_none() {
            self.ledger.void(token, id);
        } else if self.ledger.is_on()
            && let Some(known) = self.keys.known(token, self.moment.now)
        {
            self.ledger.end(known);
        }
        for waiter in waiters {
            self.joined(&waiter, end.clone().unwrap_or(End::Failed));
        }
    }

    // ---- the store

    /// Takes over what an earlier life knew.
    fn recovered(&mut self, recovered: Recovered) {
        let now = self.moment.now;
        self.salt = recovered.salt;
        self.ledger.recovered(now, &recovered);
        for past in recovered.past {
            self.keys.restore(past, self.moment, &self.pool);
        }
        if self.keys.hopes() {
            let longest = if self.young {
                None
            } else {
                self.settings.profiles.iter().map(|profile| profile.deadline.0).max()
            };
            self.hope = Some(after(now, Span(longest.unwrap_or(0).saturating_mul(HOPE_MULTIPLE))));
            if self.link.heard != Time::default() {
                // What it told so far was about runs that weren't known yet.
                self.effects.push(Effect::Retell);
            }
        }
    }

    /// When a keyed request that the store can't keep now should come back.
    fn store_advice(&self) -> Span {
        let limits = &self.settings.limits;
        let advice = self.ledger.refuses(self.moment.now).unwrap_or_default();
        if limits.retry_after { advice.min(limits.max_retry_after) } else { Span(0) }
    }

    /// A run that the module began will not be: its intent is not durable. It and its repeats are turned away at once.
    fn never_ran(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get(id).filter(|open| open.state == State::Running) else { return };
        let token = open.token.clone();
        let waiters = token.as_ref().map(|token| self.keys.ended(token, id, None)).unwrap_or_default();
        if let Some(token) = &token {
            self.claim_ended(token, None);
        }
        for id in std::iter::once(id.clone()).chain(waiters) {
            self.answer(&id, Answer::Refused { backoff: self.store_advice(), last: false });
            self.forget(&id);
            self.events.push(Event::Completed { id, outcome: Outcome::Unused, took: Span(0) });
        }
    }

    /// A run is over, or was never begun.
    fn ended(&mut self, id: &RequestId, end: RunEnd, took: Span, result: Option<Arc<Buffer>>) {
        let Some(open) = self.requests.get(id).filter(|open| open.state == State::Running) else { return };
        let token = open.token.clone();
        self.link.unproven.retain(|(unproven, _)| unproven != id);
        self.link.replies.retain(|(replied, ..)| replied != id);
        let (outcome, kept) = match (end, result) {
            // Kept for repeats in no more room than it needs.
            (RunEnd::Ok, Some(result)) => {
                let kept = if token.is_some() { Arc::new(result.exact()) } else { result };
                (Outcome::Delivered, Some(End::Served(kept)))
            }
            (RunEnd::Moot, _) => (Outcome::Unused, None),
            (RunEnd::Stopped, _) => (Outcome::Revoked, Some(End::Failed)),
            (RunEnd::Ok | RunEnd::Error, _) => (Outcome::AppError, Some(End::Failed)),
        };
        let answer = kept.clone().unwrap_or(End::Failed);
        if outcome != Outcome::Revoked {
            self.answer_end(id, answer.clone());
        }
        self.events.push(Event::Completed { id: id.clone(), outcome, took });
        if outcome != Outcome::Revoked || !self.requests.get(id).is_some_and(|open| open.owed) {
            self.forget(id);
        }
        if let Some(token) = token {
            self.settle(&token, id, kept);
        }
    }

    fn answer_end(&mut self, id: &RequestId, end: End) {
        let answer = match end {
            End::Served(result) => Answer::Served(result),
            End::Failed => Answer::Failed { late: self.is_late(id) },
            End::Unknown => Answer::Unknown,
        };
        self.answer(id, answer);
    }

    /// Whether the time that a request's caller waits is up.
    fn is_late(&self, id: &RequestId) -> bool {
        self.requests.get(id).is_some_and(|open| self.moment.unix_ms >= open.due_ms)
    }

    /// A repeat is answered from the run of another try.
    fn joined(&mut self, id: &RequestId, end: End) {
        let Some(Open { state: State::Joined(since), owed: true, .. }) = self.requests.get(id) else {
            return;
        };
        let took = Span(self.moment.now.0.saturating_sub(since.0));
        let outcome = if matches!(end, End::Served(_)) { Outcome::Delivered } else { Outcome::AppError };
        self.answer_end(id, end);
        self.forget(id);
        self.events.push(Event::Completed { id: id.clone(), outcome, took });
    }

    /// Sends the one final answer, if it is still owed.
    fn answer(&mut self, id: &RequestId, answer: Answer) {
        let Some(open) = self.requests.get_mut(id).filter(|open| open.owed) else { return };
        open.owed = false;
        let (conn, seq) = (open.conn, open.seq);
        self.tally.answered(&self.settings.profiles[open.class].name, &answer);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.open.remove(&seq);
        }
        self.rest(conn);
        self.effects.push(Effect::Answer(conn, seq, answer, self.hint));
    }

    // ---- timers

    /// Fires what is due, with the gauges of this moment, or without where the processor doesn't tell them.
    fn fire(&mut self) {
        let now = self.moment.now;
        let Some(&due) = self.timers.first().filter(|due| **due <= now) else { return };
        let fresh = self.link.gauges.filter(|(at, _)| *at >= due);
        if fresh.is_none() {
            match (self.link.number, self.link.open_since) {
                (None, _) => {}
                (Some(link), None) => return self.ask(link),
                (Some(_), Some(since)) if now < after(since, GAUGES_WAIT) => return,
                (Some(link), Some(since)) if now >= after(since, LINK_PATIENCE) => {
                    self.log(Level::Warning, "the processor doesn't answer; renewing the link".into());
                    self.effects.push(Effect::Renew(link));
                    self.link.open_since = Some(now);
                }
                _ => {}
            }
        }
        let gauges = fresh.map(|(_, gauges)| gauges).unwrap_or_default();
        while self.timers.first().is_some_and(|due| *due <= now) {
            self.timers.pop_first();
            self.events.push(Event::Timer(gauges));
        }
    }

    /// Takes a request out of the books.
    fn forget(&mut self, id: &RequestId) {
        if let Some(open) = self.requests.remove(id) {
            self.body_bytes -= open.body.len() + BESIDE;
        }
    }

    // ---- the module

    fn decide(&mut self) {
        let Some(controller) = &mut self.controller else { return };
        if self.events.is_empty() && self.timers.first().is_some_and(|due| *due > self.moment.now) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        controller.handle(self.moment.now, &self.events, &mut actions);
        self.events.clear();
        self.batch.clear();
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        for id in std::mem::take(&mut self.left) {
            self.forget(&id);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Process(id) => self.process(&id),
            Action::Refuse { id, come_back, last } => {
                self.finish(&id, Answer::Refused { backoff: come_back, last })
            }
            Action::Error(id) => {
                let late = self.is_late(&id);
                self.finish(&id, Answer::Failed { late });
            }
            Action::Remember { id, hold_for } => {
                let until = after(self.moment.now, hold_for);
                if let Some((token, print)) = self.requests.get(&id).and_then(Open::key) {
                    self.keys.remember(token, print, &id, until);
                }
            }
            Action::ReleaseKey(id) => {
                if let Some(token) = self.requests.get(&id).and_then(|open| open.token.as_ref()) {
                    self.keys.release(token, &id);
                }
            }
            Action::Join(id) => {
                let Some(open) = self.requests.get_mut(&id) else { return };
                open.state = State::Joined(self.moment.now);
                let token = open.token.clone();
                let end = token.map_or(Some(End::Failed), |token| self.keys.join(&token, &id));
                if let Some(end) = end {
                    self.joined(&id, end);
                }
            }
            Action::ReportHealth { active, .. } => {
                if active != self.active {
                    self.active = active;
                    self.registration.health(self.moment.now, active);
                    self.changed();
                    self.log(Level::Info, format!("health is {}", if active { "good" } else { "bad" }));
                }
            }
            Action::Signal(value) => self.hint = Some(value),
            Action::IdleLimit(span) => self.idle = Some(span),
            Action::Remind(time) => drop(self.timers.insert(time)),
            Action::Emit(text) => self.log(Level::Info, text),
            Action::AskBelow { id, timeout } => self.ask_below(&id, timeout),
            Action::Suspend(id) => self.interrupt(&id),
            Action::Degrade(_) => {
                self.log(
                    Level::Error,
                    "the module asked to go on without a call, which the processor can't".into(),
                );
            }
        }
    }

    fn process(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get_mut(id).filter(|open| open.state == State::Held) else {
            let (id, outcome) = (id.clone(), Outcome::Unused);
            return self.events.push(Event::Completed { id, outcome, took: Span(0) });
        };
        open.state = State::Running;
        if let Some(token) = &open.token {
            let window_ms = self.settings.profiles[open.class].window.0.div_ceil(MS);
            let closes_ms = open.t0.saturating_add(window_ms);
            self.keys.began(token, open.print, id, closes_ms, self.moment);
            if self.claims.is_on() {
                return self.claim(id);
            }
            if self.ledger.is_on() {
                // It begins once its intent is durable.
                let known = self.keys.known(token, self.moment.now);
                if !known.is_some_and(|known| self.ledger.intent(self.moment.now, known)) {
                    self.never_ran(id);
                }
                return;
            }
        }
        self.begin(id);
    }

    /// A final answer of the module's own; a run goes on in the books until its notice.
    fn finish(&mut self, id: &RequestId, answer: Answer) {
        self.answer(id, answer);
        if self.requests.get(id).is_some_and(|open| open.state != State::Running) {
            self.forget(id);
        }
    }

    // ---- leaving, connections, reports

    /// Takes over what may change while serving: where the other parties are, and the time to stop.
    fn reload(&mut self, config: Config) {
        // The settings first: where they can't be taken, the file is turned down whole.
        let retuned = match self.classes.retune(self.moment.now, &config.settings) {
            Ok(retuned) => retuned,
            Err(why) => return self.reload_refused(why.to_string()),
        };
        self.tally.reloaded(true);
        self.retuned(&retuned);
        if (&config.name, config.listen) != (&self.config.name, self.config.listen) {
            self.log(Level::Warning, "a new name or address to listen on takes a restart".into());
        }
        if config.processor != self.config.processor {
            self.effects.push(Effect::Processor(config.processor));
        }
        if config.control != self.config.control {
            self.effects.push(Effect::Control(config.control));
        }
        if let Some(ledger) = config.ledger.filter(|ledger| Some(*ledger) != self.config.ledger) {
            // Calls out to the old address end there; new ones go to the new.
            self.effects.push(Effect::Ledger(ledger));
            self.config.ledger = Some(ledger);
        }
        // The new control plane is to hear of this server at once, whether or not it knows the old one's list.
        self.changed();
        self.stop = Span(config.stop_ms.saturating_mul(MS));
        let (processor, control) = (config.processor, config.control);
        self.log(Level::Info, format!("reloaded: the processor is at {processor}, control at {control}"));
        (self.config.processor, self.config.control) = (processor, control);
    }

    fn terminate(&mut self) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        self.exit_at = Some(after(after(self.moment.now, self.stop), STOP_OVERDUE));
        if self.handover.begin(self.moment.now, self.stop) {
            self.effects.push(Effect::StopAccepting);
            self.log(Level::Info, "handing over: the process after this one accepts from now on".into());
        }
        self.registration.leave(self.moment.now);
        if self.controller.is_some() {
            self.tell_leaving();
        }
        for conn in self.connections.keys().copied().collect::<Vec<_>>() {
            self.ask_to_drain(conn);
        }
    }

    /// Out of service for all who list this server, while callers may still think otherwise; then the drain.
    fn take_out(&mut self) {
        if self.leaving || !self.registration.take_out(self.moment.now) {
            return;
        }
        self.changed();
        self.log(Level::Info, "taken out of service, draining later".into());
    }

    fn take_in(&mut self) {
        if self.leaving || !self.registration.take_in() {
            return;
        }
        self.changed();
        self.log(Level::Info, "taken back into service".into());
    }

    /// Tells the module how long it has, a margin less than is left until the stop.
    fn tell_leaving(&mut self) {
        let spent = Span(STOP_OVERDUE.0 + STOP_MARGIN.0);
        let end = self.exit_at.map_or(self.moment.now, |exit| before(exit, spent));
        self.events.push(Event::Sigterm(Span(end.0.saturating_sub(self.moment.now.0))));
    }

    fn leaving_since(&self) -> Time {
        let spent = Span(self.stop.0.saturating_add(STOP_OVERDUE.0));
        self.exit_at.map_or(self.moment.now, |exit| before(exit, spent))
    }

    fn ask_to_drain(&mut self, conn: ConnId) {
        if let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.draining.is_none()) {
            connection.draining = Some(self.moment.now);
            self.effects.push(Effect::Draining(conn));
        }
    }

    /// What is reported has changed, or where to: tells it at once, and some times more.
    fn changed(&mut self) {
        self.changes = REPORTS_OF_A_CHANGE;
        self.next_report = self.moment.now;
    }

    fn housekeeping(&mut self) {
        let now = self.moment.now;
        if now >= self.next_report {
            self.changes = self.changes.saturating_sub(1);
            self.next_report = after(now, if self.changes > 0 { REPORT_AGAIN } else { REPORT_EVERY });
            if self.controller.is_some() && self.handover.reports() {
                let ready = self.active && !self.registration.is_out() && self.door.failed_since().is_none();
                self.effects.push(Effect::Report(ready));
            }
        }
        if now >= self.next_sweep {
            // What is left of a sweep has its turn with the next step, which comes at once.
            let more = self.keys.sweep(now) | self.close_idle();
            self.next_sweep = if more { now } else { after(now, SWEEP_EVERY) };
            let connections = &self.connections;
            self.resting.tidy(connections.len(), |conn, since, spoke| rests(connections, conn, since, spoke));
        }
        self.keep();
        if self.registration.drain_is_due(now) {
            self.terminate();
        }
        let grace = after(self.leaving_since(), self.settings.rules.drain_grace);
        let answered = self.leaving && self.requests.is_empty() && now > grace;
        self.registration.step(self.moment, answered, &mut self.effects);
        let handed = self.handover.is_under_way() && {
            let left = self.left();
            self.handover.may_leave(now, left)
        };
        if self.exit_at.take_if(|at| now >= *at || handed).is_some() {
            self.effects.push(Effect::Exit);
        }
    }

    /// What keeps an old process that hands over: requests owed an answer, and connections. Those that rest after
    /// they were asked to drain are closed where nothing of them is unread.
    fn left(&mut self) -> Left {
        let now = self.moment.now;
        let handover = &self.handover;
        let rested = self
            .connections
            .iter()
            .filter(|(_, c)| c.open.is_empty() && !c.closes(now) && handover.closes(now, c.draining, c.last));
        for conn in rested.map(|(conn, _)| *conn).collect::<Vec<_>>() {
            self.close_resting(conn);
        }
        let open = self.requests.values().filter(|open| open.owed).count();
        Left { open, connections: self.connections.len() }
    }

    /// Has the store keep what must be kept, and says how it is with it.
    fn keep(&mut self) {
        if !self.ledger.is_on() {
            return;
        }
        let now = self.moment.now;
        for id in self.ledger.overdue(now) {
            self.never_ran(&id);
        }
        if self.hope.take_if(|until| *until <= now).is_some() {
            for waiter in self.keys.give_up() {
                self.joined(&waiter, End::Unknown);
            }
        }
        let keys = &self.keys;
        if let Some((number, batch)) = self.ledger.take(self.moment, || keys.all_known(now)) {
            self.effects.push(Effect::Persist(number, batch));
        }
        for (bad, note) in self.ledger.notes() {
            self.log(if bad { Level::Error } else { Level::Info }, note);
        }
        let standing = self.ledger.standing(now);
        if standing != std::mem::replace(&mut self.standing, standing)
            && let Some(word) = standing.word()
        {
            self.registration.store(word);
        }
    }

    /// Near the limit, a newcomer takes the place of a connection with nothing open: of the one that rested longest,
    /// and one that never said anything counts as if for twice as long. It may have sent what was not read yet, so
    /// it is closed only where that is not so, and one that has only just come or spoken stays. Guards against silent connections that keep all others,
    /// health checks too, out of a full table.
    fn make_room(&mut self) {
        let now = self.moment.now;
        if self.connections.len() < self.room {
            return;
        }
        let connections = &self.connections;
        let [spoke, silent] = self.resting.longest(
            |conn, since, spoke| rests(connections, conn, since, spoke),
            |conn| connections.get(&conn).is_some_and(|c| c.closes(now)),
        );
        let rested = |found: Option<(Time, ConnId)>, times| {
            found.map_or((0, 0), |(since, conn)| ((now.0 - since.0) * times, conn))
        };
        let (longest, conn) = rested(spoke, 1).max(rested(silent, 2));
        if longest >= REST.0 {
            self.close_resting(conn);
        }
    }

    fn close_resting(&mut self, conn: ConnId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.closing = Some(self.moment.now);
            self.effects.push(Effect::CloseResting(conn, connection.taken));
        }
    }

    /// Idle connections are asked to drain, which no request can cross unanswered, and closed only if their
    /// peers don't. Looks at some of those whose time may have come; whether there may be more.
    fn close_idle(&mut self) -> bool {
        let (now, mut budget) = (self.moment.now, LOOKS);
        let idle = self.idle.map(|idle| if idle.0 == 0 { self.settings.specifics.idle } else { idle });
        loop {
            let conn = match self.looks.next_due(now, &mut budget) {
                Due::Entry(conn) => conn,
                Due::None => return false,
                Due::Later => return true,
            };
            let Some(connection) = self.connections.get(&conn) else { continue };
            let rested = idle.map(|idle| after(connection.last, idle));
            let again = connection.draining.map(|since| after(since, DRAIN_PATIENCE)).or(rested);
            let again = again.filter(|at| *at > now).unwrap_or(after(now, LOOK_AGAIN));
            self.looks.insert(again.min(after(now, LOOK_AGAIN)), conn);
            let quiet = connection.open.is_empty() && rested.is_some_and(|at| at <= now);
            match connection.draining {
                None if quiet => self.ask_to_drain(conn),
                Some(since) if quiet && after(since, DRAIN_PATIENCE) <= now && !self.leaving => {
                    self.close_resting(conn)
                }
                _ => {}
            }
        }
    }
}

/// Whether a connection has nothing open, and said its last word then.
fn rests(connections: &BTreeMap<ConnId, Connection>, conn: ConnId, since: Time, spoke: bool) -> bool {
    connections.get(&conn).is_some_and(|c| c.open.is_empty() && c.last == since && c.spoke == spoke)
}
