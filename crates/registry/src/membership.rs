//! One server's own registration: what the registry is told, when, and what is believed of it.
//!
//! A state machine without I/O. It is told what is true here ([`Membership::processor`], [`Membership::health`],
//! [`Membership::leave`], ..) and what became of its questions ([`Membership::reply`]); [`Membership::poll`] gives the
//! next question to put to a registry, and [`Membership::wake_at`] says when to ask again. Nothing waits for it.
//!
//! What it keeps to:
//!
//! - The state at the registry becomes the state here, whatever is lost, late or answered twice. Each change is looked
//!   at afterwards (`GET` of the own instance), and what is found there counts, not what was sent.
//! - One question is open at a time, so that changes arrive in their order. Leaving has a lane of its own: it waits
//!   for no answer to anything else, and is looked at again once the other lane is empty.
//! - `OUT_OF_SERVICE` is told as an override, since a registration with a state does not change a lease that is up, and
//!   an override outlives a registration. Coming back removes it first.
//! - An override that was there before this server was first up is the predecessor's under the same id, and is removed
//!   when this one is ready. One that somebody else sets later is an operator's, and is left.
//! - `UP` is told only once a cold server can meet the aims, and after its health was good for a while.

use crate::backoff::Backoff;
use crate::instance::{Instance, InstanceStatus};
use gradepin_admission::{Span, Time, time_after};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

const MS: u64 = 1_000_000;
/// First wait after a question that failed; it doubles up to the heartbeat interval.
const RETRY: Span = Span(250 * MS);
/// The same on leaving, where there is little time, and its bound.
const RETRY_LEAVING: Span = Span(50 * MS);
const MOST_RETRY_LEAVING: Span = Span(400 * MS);
/// For an exchange on leaving: another registry is to be tried before the drain ends.
const TIMEOUT_LEAVING: Span = Span(400 * MS);
/// Past its own time-out a question that the shell never answered counts as failed.
const OVERDUE: Span = Span(500 * MS);
/// How long after the first registration an override that nobody here set counts as the predecessor's.
const INHERITED: Span = Span(30_000 * MS);
/// How long after it heartbeats come more often: a predecessor's late cancel takes the lease away meanwhile.
const YOUNG: Span = Span(30_000 * MS);
/// Between those heartbeats, where the interval is longer.
const YOUNG_HEARTBEAT: Span = Span(2_000 * MS);
/// Between registrations at the least: a registry that forgets at once is not stormed.
const REGISTER_AGAIN: Span = Span(1_000 * MS);
/// Heartbeats after which the own record is looked at again.
const LOOK_EVERY: u32 = 2;

/// What an operator sets, and what the server knows of itself.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// What is registered; its state and its times are filled in here.
    pub instance: Instance,
    /// Service URLs in the order of preference.
    pub urls: usize,
    /// Between heartbeats.
    pub heartbeat: Span,
    /// For one whole exchange.
    pub timeout: Span,
    /// Between changes of state that are told, at the least; leaving is told at once.
    pub tell_every: Span,
    /// How long health must be good before `UP` is told.
    pub steady: Span,
    /// The share of full speed from which on a cold server can meet the aims.
    pub ready_share: f64,
    /// The speed that a cold server begins with at the least, and the time after which it is warm at the latest.
    pub cold_capacity: f64,
    /// See `cold_capacity`.
    pub cold: Span,
    /// Between tries to come back to a service URL of higher preference.
    pub prefer_every: Span,
    /// Whether the registration is removed once all is answered. A removal that arrives late takes out a successor
    /// under the same id until its next heartbeat; without it the lease runs out by itself.
    pub cancel: bool,
}

/// What a registry is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryOperation {
    /// Register, or replace the record.
    Register(Box<Instance>),
    /// Renew the lease.
    Heartbeat {
        /// The state here.
        status: InstanceStatus,
        /// The time of the last change here, in Unix milliseconds.
        dirty_ms: u64,
    },
    /// Set an override.
    Override {
        /// To this state.
        status: InstanceStatus,
        /// As for a heartbeat.
        dirty_ms: u64,
    },
    /// Remove the override and take this state.
    ClearOverride {
        /// The state then.
        status: InstanceStatus,
        /// As for a heartbeat.
        dirty_ms: u64,
    },
    /// Tell the own record.
    FetchOwnRecord,
    /// Remove the registration.
    Cancel,
}

/// Which worker of the shell carries a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestLane {
    /// Everything but leaving.
    Routine,
    /// Leaving, which waits for nothing.
    Urgent,
}

/// A question to put to a registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryRequest {
    /// Comes back with the reply.
    pub ticket: u64,
    /// Index of the service URL.
    pub url: usize,
    /// Who carries it.
    pub lane: RequestLane,
    /// For the whole exchange.
    pub timeout: Span,
    /// What is asked.
    pub op: RegistryOperation,
}

/// What became of a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryReply {
    /// It was done.
    Done,
    /// The own record, as asked by [`RegistryOperation::FetchOwnRecord`].
    Record(Box<Instance>),
    /// The registry doesn't know this instance.
    NotFound,
    /// The registry understood and won't, with this HTTP status.
    Rejected(u16),
    /// No usable answer: refused, cut, late, garbage, a failing server. The text is for the log.
    Failed(String),
}

/// How far a leave has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    No,
    /// `OUT_OF_SERVICE` is to be told, or told again.
    Tell,
    /// The registry doesn't know this instance: it is registered as it is now, then told.
    Register,
    /// Told, to be looked at.
    Look,
    /// Seen there.
    Seen,
}

/// An open question.
#[derive(Debug)]
struct Open {
    ticket: u64,
    url: usize,
    op: RegistryOperation,
    since: Time,
    /// Told to another registry than the one in use, for callers that ask there: what becomes of it changes nothing.
    beside: bool,
}

/// The registration of one server. See the module's own page.
#[derive(Debug)]
pub struct Membership {
    set: MembershipSettings,
    rng: Pcg64Mcg,
    // What is true here.
    /// Since when a processor has run, and whether it began cold; none while there is none.
    processor: Option<(Time, bool)>,
    had_processor: bool,
    health: bool,
    health_since: Time,
    leaving: Leaving,
    /// Service URLs beside the one in use that are still to be told of a leave.
    beside: Vec<usize>,
    // What is believed of the registry.
    registered: bool,
    /// The state there, as last seen or told.
    told: Option<InstanceStatus>,
    /// Whether an override is there that this server set or inherited.
    overridden: bool,
    /// An override that somebody else set.
    foreign: Option<InstanceStatus>,
    ever_up: bool,
    first_registered: Option<Time>,
    dirty_ms: u64,
    // What goes on.
    url: usize,
    routine: Option<Open>,
    urgent: Option<Open>,
    tickets: u64,
    backoff: Backoff,
    leave_backoff: Backoff,
    next_try: Time,
    next_urgent: Time,
    next_heartbeat: Time,
    next_register: Time,
    next_change: Time,
    next_prefer: Time,
    heartbeats: u32,
    look: bool,
    /// All is answered and the registration is to be removed, once.
    cancel: bool,
    /// It is removed: nothing more is told.
    ended: bool,
    calls: u64,
    notes: Vec<String>,
}

impl Membership {
    /// A server that starts now, and is not yet ready.
    pub fn new(set: MembershipSettings, seed: u64, now: Time) -> Self {
        Self {
            backoff: Backoff::new(RETRY, set.heartbeat),
            leave_backoff: Backoff::new(RETRY_LEAVING, MOST_RETRY_LEAVING),
            rng: Pcg64Mcg::seed_from_u64(seed),
            processor: None,
            had_processor: false,
            health: false,
            health_since: now,
            leaving: Leaving::No,
            beside: Vec::new(),
            registered: false,
            told: None,
            overridden: false,
            foreign: None,
            ever_up: false,
            first_registered: None,
            dirty_ms: 0,
            url: 0,
            routine: None,
            urgent: None,
            tickets: 0,
            next_try: now,
            next_urgent: now,
            next_heartbeat: now,
            next_register: now,
            next_change: now,
            next_prefer: now,
            heartbeats: 0,
            look: false,
            cancel: false,
            ended: false,
            calls: 0,
            notes: Vec::new(),
            set,
        }
    }

    // ---- what is true here

    /// The processor is there and started at that time, cold or warm; or it is gone.
    pub fn processor(&mut self, up: Option<(Time, bool)>) {
        self.processor = up;
        self.had_processor |= up.is_some();
    }

    /// The module's health.
    pub fn health(&mut self, now: Time, good: bool) {
        if good != self.health {
            (self.health, self.health_since) = (good, now);
        }
    }

    /// What is told beside the state; a change is told with a registration of its own, the state unchanged.
    pub fn metadata(&mut self, key: &str, value: &str) {
        let known = self.set.instance.metadata.insert(key.to_string(), value.to_string());
        if known.as_deref() != Some(value) && self.registered && self.leaving == Leaving::No {
            self.registered = false;
        }
    }

    /// The server leaves, or an operator takes it out: told at once, and held against everything.
    pub fn leave(&mut self, now: Time) {
        if self.leaving == Leaving::No {
            self.leaving = Leaving::Tell;
            self.next_urgent = now;
            self.leave_backoff.reset();
            // Registries tell one another, but not while they are cut apart.
            self.beside = (0..self.set.urls).rev().collect();
        }
    }

    /// An operator takes the server back in.
    pub fn retry_after(&mut self) {
        self.leaving = Leaving::No;
        self.beside.clear();
    }

    /// Everything is answered, and nothing more will come.
    pub fn answered(&mut self) {
        self.cancel = self.set.cancel;
    }

    /// The state that the registry should show.
    pub fn wanted(&self, now: Time) -> InstanceStatus {
        if self.leaving != Leaving::No {
            return InstanceStatus::OutOfService;
        }
        match self.processor {
            None if self.had_processor => InstanceStatus::Down,
            None => InstanceStatus::Starting,
            Some((since, cold)) if cold && now < self.ready_at(since) => InstanceStatus::Starting,
            Some(_) if !self.health => InstanceStatus::Down,
            // Guards against a state that flaps: good is believed late, bad at once.
            Some(_)
                if now < time_after(self.health_since, self.set.steady)
                    && self.told != Some(InstanceStatus::Up) =>
            {
                if self.ever_up {
                    InstanceStatus::Down
                } else {
                    InstanceStatus::Starting
                }
            }
            Some(_) => InstanceStatus::Up,
        }
    }

    /// When a processor that began cold at that time reaches the ready share at the latest: it warms no more slowly
    /// than evenly.
    fn ready_at(&self, since: Time) -> Time {
        let (least, ready) = (self.set.cold_capacity, self.set.ready_share);
        let part = if least < 1.0 { ((ready - least) / (1.0 - least)).clamp(0.0, 1.0) } else { 0.0 };
        time_after(since, Span((self.set.cold.0 as f64 * part) as u64))
    }

    /// Whether the registry shows this server as out of service, as far as was seen.
    pub fn left(&self) -> bool {
        self.leaving == Leaving::Seen
    }

    /// The state last seen or told at the registry; none before any was.
    pub fn shown(&self) -> Option<InstanceStatus> {
        self.told.filter(|_| self.registered)
    }

    /// Questions asked so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Lines for the log since the last call.
    pub fn notes(&mut self) -> Vec<String> {
        std::mem::take(&mut self.notes)
    }

    // ---- questions

    /// The next question to put, if one is due. To be called again until there is none.
    pub fn poll(&mut self, now: Time, unix_ms: u64) -> Option<RegistryRequest> {
        if self.ended {
            return None;
        }
        self.give_up_overdue(now);
        self.urgent_op(now, unix_ms)
            .map(|(url, beside, op)| (RequestLane::Urgent, url, beside, op))
            .or_else(|| self.routine_op(now, unix_ms).map(|(url, op)| (RequestLane::Routine, url, false, op)))
            .map(|(lane, url, beside, op)| {
                self.tickets += 1;
                self.calls += 1;
                let open = Open { ticket: self.tickets, url, op: op.clone(), since: now, beside };
                *self.lane(lane) = Some(open);
                RegistryRequest { ticket: self.tickets, url, lane, timeout: self.timeout(lane), op }
            })
    }

    /// When [`Membership::poll`] may have something new to say though nothing happens before.
    pub fn wake_at(&self, now: Time) -> Time {
        let never = Time(u64::MAX);
        if self.ended {
            return never;
        }
        let overdue = |open: &Open, lane| time_after(open.since, Span(self.timeout(lane).0 + OVERDUE.0));
        let urgent = match (&self.urgent, self.leaving) {
            (Some(open), _) => overdue(open, RequestLane::Urgent),
            (None, Leaving::No) => never,
            (None, Leaving::Seen) if self.beside.is_empty() => never,
            (None, _) => self.next_urgent,
        };
        let routine = match &self.routine {
            Some(open) => overdue(open, RequestLane::Routine),
            None => self.next_try.max(self.next_routine(now)),
        };
        urgent.min(routine)
    }

    /// When the routine lane has something to ask, however the last question went.
    fn next_routine(&self, now: Time) -> Time {
        if self.cancel || (self.registered && self.look) {
            return now;
        }
        if !self.registered {
            return if self.leaving == Leaving::No { self.next_register } else { Time(u64::MAX) };
        }
        // States change by the clock too: a cold server becomes ready, good health steady.
        let ready = self.processor.filter(|(_, cold)| *cold).map(|(since, _)| self.ready_at(since));
        let turns = [ready, Some(time_after(self.health_since, self.set.steady))];
        let turns = turns.into_iter().flatten().filter(|&at| at > now).min();
        let change = if self.change_wanted(now) { Some(self.next_change) } else { turns };
        self.next_heartbeat.min(change.unwrap_or(Time(u64::MAX)))
    }

    /// Whether the registry shows another state than it should, and it is for this server to change it.
    fn change_wanted(&self, now: Time) -> bool {
        let mine = self.leaving == Leaving::No && self.foreign.is_none();
        self.registered && mine && self.told != Some(self.wanted(now))
    }

    fn timeout(&self, lane: RequestLane) -> Span {
        match lane {
            RequestLane::Routine => self.set.timeout,
            RequestLane::Urgent => self.set.timeout.min(TIMEOUT_LEAVING),
        }
    }

    fn lane(&mut self, lane: RequestLane) -> &mut Option<Open> {
        match lane {
            RequestLane::Routine => &mut self.routine,
            RequestLane::Urgent => &mut self.urgent,
        }
    }

    fn give_up_overdue(&mut self, now: Time) {
        for lane in [RequestLane::Routine, RequestLane::Urgent] {
            let overdue = Span(self.timeout(lane).0 + OVERDUE.0);
            if let Some(open) = self.lane(lane).as_ref().filter(|open| time_after(open.since, overdue) <= now)
            {
                let ticket = open.ticket;
                self.reply(now, ticket, RegistryReply::Failed("no answer in its time".into()));
            }
        }
    }

    /// A change here, later than any before it. A record at the registry may say any time; past the last one there is none.
    fn changed(&mut self, unix_ms: u64) {
        self.dirty_ms = unix_ms.max(self.dirty_ms.saturating_add(1));
    }

    fn record(&mut self, status: InstanceStatus, unix_ms: u64) -> RegistryOperation {
        self.changed(unix_ms);
        let mut instance = self.set.instance.clone();
        (instance.status, instance.dirty_ms, instance.updated_ms) = (status, self.dirty_ms, unix_ms);
        RegistryOperation::Register(Box::new(instance))
    }

    /// The service URL, whether it is only beside the one in use, and the question.
    fn urgent_op(&mut self, now: Time, unix_ms: u64) -> Option<(usize, bool, RegistryOperation)> {
        if self.urgent.is_some() || now < self.next_urgent {
            return None;
        }
        let url = self.url;
        let own = |op| Some((url, false, op));
        match self.leaving {
            Leaving::No => None,
            Leaving::Tell => {
                self.changed(unix_ms);
                own(RegistryOperation::Override {
                    status: InstanceStatus::OutOfService,
                    dirty_ms: self.dirty_ms,
                })
            }
            Leaving::Register => {
                let op = self.record(InstanceStatus::OutOfService, unix_ms);
                own(op)
            }
            Leaving::Look => own(RegistryOperation::FetchOwnRecord),
            Leaving::Seen => {
                let other = std::iter::from_fn(|| self.beside.pop()).find(|other| *other != url)?;
                Some((
                    other,
                    true,
                    RegistryOperation::Override {
                        status: InstanceStatus::OutOfService,
                        dirty_ms: self.dirty_ms,
                    },
                ))
            }
        }
    }

    fn routine_op(&mut self, now: Time, unix_ms: u64) -> Option<(usize, RegistryOperation)> {
        if self.routine.is_some() || now < self.next_try {
            return None;
        }
        if std::mem::take(&mut self.cancel) {
            return Some((self.url, RegistryOperation::Cancel));
        }
        let wanted = self.wanted(now);
        if !self.registered {
            // On leaving the urgent lane registers, in its order.
            if now < self.next_register || self.leaving != Leaving::No {
                return None;
            }
            self.next_register = time_after(now, REGISTER_AGAIN);
            return Some((self.url, self.record(wanted, unix_ms)));
        }
        if std::mem::take(&mut self.look) {
            return Some((self.url, RegistryOperation::FetchOwnRecord));
        }
        if self.change_wanted(now) && now >= self.next_change {
            self.next_change = time_after(now, self.set.tell_every);
            if wanted == InstanceStatus::Up && self.overridden {
                self.changed(unix_ms);
                return Some((
                    self.url,
                    RegistryOperation::ClearOverride { status: wanted, dirty_ms: self.dirty_ms },
                ));
            }
            // A registry trusts a lease that is out of service more than a registration that says up, but not more
            // than one that says starting: the way back leads over that.
            let over = wanted == InstanceStatus::Up && self.told == Some(InstanceStatus::OutOfService);
            return Some((
                self.url,
                self.record(if over { InstanceStatus::Starting } else { wanted }, unix_ms),
            ));
        }
        if now < self.next_heartbeat {
            return None;
        }
        // The preferred registry is tried with a heartbeat, which changes nothing where it fails.
        let url = if self.url > 0 && now >= self.next_prefer { 0 } else { self.url };
        self.next_prefer =
            if url == self.url { self.next_prefer } else { time_after(now, self.set.prefer_every) };
        Some((url, RegistryOperation::Heartbeat { status: wanted, dirty_ms: self.dirty_ms }))
    }

    // ---- replies

    /// What became of a question. One that is not open, as when it comes twice or after its time, changes nothing.
    pub fn reply(&mut self, now: Time, ticket: u64, reply: RegistryReply) {
        let lanes = [RequestLane::Routine, RequestLane::Urgent];
        let is_open = |lane: &RequestLane| {
            let open = if *lane == RequestLane::Routine { &self.routine } else { &self.urgent };
            open.as_ref().is_some_and(|open| open.ticket == ticket)
        };
        let Some(lane) = lanes.into_iter().find(is_open) else { return };
        let Some(open) = self.lane(lane).take() else { return };
        if open.beside {
            self.next_urgent = now;
            return;
        }
        match (&reply, &open.op) {
            (RegistryReply::Failed(why), _) => return self.failed(now, lane, &open, why),
            (RegistryReply::Rejected(status), _) => {
                return self.failed(now, lane, &open, &format!("answered with status {status}"));
            }
            (RegistryReply::Record(_), op) if *op != RegistryOperation::FetchOwnRecord => {
                return self.failed(now, lane, &open, "answered what was not asked");
            }
            _ => {}
        }
        if lane == RequestLane::Routine {
            self.moved_to(open.url, now);
            self.backoff.reset();
            self.next_try = now;
        } else {
            self.leave_backoff.reset();
            self.next_urgent = now;
        }
        match reply {
            RegistryReply::NotFound => self.forgotten(now, lane),
            // Another registry is in use by now: what this one shows says nothing of that. A leave that goes on is told
            // there; one that was undone meanwhile stays undone.
            RegistryReply::Record(_) if open.url != self.url => {
                if self.leaving != Leaving::No {
                    self.leaving = Leaving::Tell;
                }
            }
            RegistryReply::Record(record) => self.seen(now, lane, &record),
            RegistryReply::Done => self.done(now, lane, open.op),
            RegistryReply::Rejected(_) | RegistryReply::Failed(_) => {}
        }
        // Whatever was under way when the leave was told may have undone it.
        if lane == RequestLane::Routine && matches!(self.leaving, Leaving::Look | Leaving::Seen) {
            self.leaving = Leaving::Look;
        }
    }

    fn moved_to(&mut self, url: usize, now: Time) {
        if url != self.url {
            self.notes.push(format!("the registry at service URL {} is in use", url + 1));
            self.url = url;
            self.look = true;
            self.next_prefer = time_after(now, self.set.prefer_every);
        }
    }

    fn failed(&mut self, now: Time, lane: RequestLane, open: &Open, why: &str) {
        let mut rng = self.rng.clone();
        let wait = match lane {
            RequestLane::Routine => self.backoff.failed(&mut rng),
            RequestLane::Urgent => self.leave_backoff.failed(&mut rng),
        };
        self.rng = rng;
        let next = time_after(now, wait);
        match lane {
            RequestLane::Urgent => {
                self.next_urgent = next;
                if self.leaving == Leaving::Register {
                    self.leaving = Leaving::Tell;
                }
            }
            RequestLane::Routine if open.url != self.url => {
                // The preferred one is still away; the one in use is asked as if nothing had been tried.
                self.next_heartbeat = now;
                return;
            }
            RequestLane::Routine => {
                self.next_try = next;
                self.look |= matches!(
                    open.op,
                    RegistryOperation::FetchOwnRecord
                        | RegistryOperation::Register(_)
                        | RegistryOperation::ClearOverride { .. }
                );
            }
        }
        if self.backoff.failures() <= 1 {
            self.notes.push(format!("the registry at service URL {} failed: {why}", open.url + 1));
        }
        if self.set.urls > 1 && open.url == self.url {
            self.url = (self.url + 1) % self.set.urls;
            self.next_prefer = time_after(now, self.set.prefer_every);
        }
    }

    /// The registry doesn't know this server: it restarted empty, evicted it, or a late cancel came.
    fn forgotten(&mut self, now: Time, lane: RequestLane) {
        if self.registered {
            self.notes.push("the registry has forgotten this server".into());
        }
        self.registered = false;
        self.told = None;
        // A registry that forgot the lease may have forgotten the override, or not: it is looked at again.
        if lane == RequestLane::Urgent || self.leaving != Leaving::No {
            self.leaving = Leaving::Register;
            self.next_urgent = self.next_urgent.max(now);
        }
    }

    fn done(&mut self, now: Time, lane: RequestLane, op: RegistryOperation) {
        match op {
            RegistryOperation::Register(instance) => {
                self.registered = true;
                self.told = Some(instance.status);
                self.first_registered.get_or_insert(now);
                self.heartbeat_after(now);
                self.note_state(instance.status);
                if lane == RequestLane::Urgent {
                    self.leaving = Leaving::Tell;
                } else {
                    self.look = true;
                }
            }
            RegistryOperation::Heartbeat { .. } => {
                self.heartbeats += 1;
                self.look |= self.heartbeats.is_multiple_of(LOOK_EVERY);
                self.heartbeat_after(now);
            }
            RegistryOperation::Override { .. } => {
                self.registered = true;
                self.overridden = true;
                self.told = Some(InstanceStatus::OutOfService);
                self.note_state(InstanceStatus::OutOfService);
                if lane == RequestLane::Urgent && self.leaving != Leaving::No {
                    self.leaving = Leaving::Look;
                }
            }
            RegistryOperation::ClearOverride { .. } => {
                self.overridden = false;
                // The record itself still says what it did before.
                self.told = None;
                self.next_change = now;
            }
            RegistryOperation::FetchOwnRecord => self.failed(
                now,
                lane,
                &Open {
                    ticket: 0,
                    url: self.url,
                    op: RegistryOperation::FetchOwnRecord,
                    since: now,
                    beside: false,
                },
                "answered without the record",
            ),
            RegistryOperation::Cancel => {
                (self.registered, self.ended) = (false, true);
                self.notes.push("the registration is removed".into());
            }
        }
    }

    fn note_state(&mut self, status: InstanceStatus) {
        self.notes.push(format!("the registry is told {status}"));
        self.ever_up |= status == InstanceStatus::Up;
    }

    fn heartbeat_after(&mut self, now: Time) {
        let young = self.first_registered.is_some_and(|first| now < time_after(first, YOUNG));
        let wait = if young { self.set.heartbeat.min(YOUNG_HEARTBEAT) } else { self.set.heartbeat };
        self.next_heartbeat = time_after(now, wait);
    }

    /// The own record as the registry has it.
    fn seen(&mut self, now: Time, lane: RequestLane, record: &Instance) {
        self.told = Some(record.status);
        self.registered = true;
        if record.dirty_ms > self.dirty_ms {
            // Another life's record, later than this one's by its clock: this one's must be the latest.
            self.dirty_ms = record.dirty_ms;
            self.registered = false;
        }
        let theirs = record.overridden != InstanceStatus::Unknown && !self.overridden;
        let inherited =
            !self.ever_up || self.first_registered.is_some_and(|first| now < time_after(first, INHERITED));
        let foreign = self.foreign;
        self.foreign = None;
        if self.leaving == Leaving::No && theirs {
            if inherited {
                self.overridden = true;
                self.notes.push(format!("a predecessor left the override {}", record.overridden));
            } else {
                self.foreign = Some(record.overridden);
            }
        }
        self.overridden &= record.overridden != InstanceStatus::Unknown;
        if foreign != self.foreign {
            let word = self.foreign.map_or("no state".into(), |status| status.to_string());
            self.notes.push(format!("somebody else set {word} at the registry"));
        }
        if lane == RequestLane::Urgent && self.leaving != Leaving::No {
            let there = record.status == InstanceStatus::OutOfService;
            self.leaving = if there { Leaving::Seen } else { Leaving::Tell };
            if there && self.routine.is_some() {
                // Something is still under way that may undo it.
                self.leaving = Leaving::Look;
                self.next_urgent = time_after(now, RETRY_LEAVING);
            }
        }
    }
}
