//! Open requests: what came, what is held, and the one final answer that each is owed. The module hears of every request
//! that can be taken; what can't be is turned away here, and it never hears of that.
//! Not here: runs ([`super::runs`]) and the connections that the requests came on ([`super::connections`]).

use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::config::Config;
use crate::idempotency_table::{Fingerprint, RunOutcome};
use crate::messages::{
    ClientRequest, ConnectionId, Effect, RequestError, Response, SequenceId, UpstreamCallId,
};
use gradepin_admission::{Event, Outcome, Request, RequestId, Span, Time};
use siphasher::sip::SipHasher13;
use slog::Level;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;
use std::sync::Arc;

/// Part of the memory for the bodies of open requests.
const BODIES_PART: usize = 4;
/// What an open request takes beside its body.
const BESIDE: usize = 1024;
/// A budget is at most this many times the deadline of its class.
const BUDGET_MULTIPLE: u64 = 2;
/// How long the first requests of a connection may have waited to be read: none came before the connection.
const UNREAD_FIRST: Span = Span(100 * MS);
/// Requests open on one connection.
const WINDOW: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Held,
    /// Waits for another try's run, since a time.
    Joined(Time),
    Running,
    /// Its run was stopped, and its answer is still owed: no notice of it is to come.
    Stopped,
}

/// A request that is open or runs.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) conn: ConnectionId,
    pub(super) seq: SequenceId,
    pub(super) class: usize,
    pub(super) tenant: Option<usize>,
    pub(super) t0: u64,
    /// When its caller stops waiting, in Unix milliseconds.
    pub(super) due_ms: u64,
    pub(super) token: Option<Arc<str>>,
    /// Of its body and class, if it has a token.
    pub(super) print: Fingerprint,
    pub(super) state: State,
    /// Whether its caller still waits for an answer.
    pub(super) owed: bool,
    /// Whether it is the first try of its caller.
    pub(super) first: bool,
    pub(super) body: Arc<Buffer>,
    /// Times that its run was asked for.
    pub(super) begins: u32,
    /// The call its run waits for, since when that call is to be made or out, and its number once it is out.
    pub(super) call: Option<Arc<Buffer>>,
    pub(super) call_since: Option<Time>,
    pub(super) call_number: Option<UpstreamCallId>,
}

impl Open {
    /// Its token and the print that goes with it.
    pub(super) fn key(&self) -> Option<(&Arc<str>, Fingerprint)> {
        self.token.as_ref().map(|token| (token, self.print))
    }
}

/// The requests that are open or run, and what their bodies take.
#[derive(Debug)]
pub(super) struct Requests {
    open: HashMap<RequestId, Open>,
    /// What they take, and may take before more are refused.
    body_bytes: usize,
    most_bodies: usize,
    /// Held requests whose caller left in this batch.
    left: Vec<RequestId>,
    /// Keyed requests of this batch, not in the table yet.
    batch: HashMap<Arc<str>, RequestId>,
}

impl Requests {
    pub(super) fn new(config: &Config) -> Self {
        let (open, batch) = (HashMap::new(), HashMap::new());
        Self { open, body_bytes: 0, most_bodies: config.memory(BODIES_PART), left: Vec::new(), batch }
    }

    pub(super) fn get(&self, id: &RequestId) -> Option<&Open> {
        self.open.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut Open> {
        self.open.get_mut(id)
    }

    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.open.contains_key(id)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// One that runs.
    pub(super) fn running(&self, id: &RequestId) -> Option<&Open> {
        self.open.get(id).filter(|open| open.state == State::Running)
    }

    /// All that run, in the order of their ids: the same inputs give the same effects.
    pub(super) fn all_running(&self) -> BTreeSet<RequestId> {
        let running = self.open.iter().filter(|(_, open)| open.state == State::Running);
        running.map(|(id, _)| id.clone()).collect()
    }

    /// How many run.
    pub(super) fn count_running(&self) -> usize {
        self.open.values().filter(|open| open.state == State::Running).count()
    }

    /// How many are owed an answer.
    pub(super) fn owed(&self) -> usize {
        self.open.values().filter(|open| open.owed).count()
    }

    /// The module has had its turn: what of this batch it hadn't seen is in its books now. Those whose callers left.
    pub(super) fn decided(&mut self) -> Vec<RequestId> {
        self.batch.clear();
        std::mem::take(&mut self.left)
    }

    /// Takes a request out of the books.
    fn remove(&mut self, id: &RequestId) -> Option<Open> {
        let open = self.open.remove(id)?;
        // Its id may come again in this batch, and that request's caller waits.
        self.left.retain(|left| left != id);
        self.body_bytes -= open.body.len() + BESIDE;
        Some(open)
    }
}

impl Reducer {
    /// Whether a message that is owed an answer came under the number of an open request. Two answers under one number
    /// could not be told apart: the first keeps its own, and nothing more is taken.
    pub(super) fn came_twice(&mut self, conn: ConnectionId, seq: SequenceId) -> bool {
        let connection = self.conns.touch(conn, self.moment.now);
        if !connection.is_some_and(|connection| connection.open.contains_key(&seq)) {
            return false;
        }
        self.log(Level::Warning, format!("closing connection {conn}: request {seq} came twice"));
        self.conns.refuse(conn);
        self.ask_to_drain(conn);
        true
    }

    pub(super) fn call(&mut self, conn: ConnectionId, seq: SequenceId, mut call: ClientRequest) {
        let Some(connection) = self.conns.touch(conn, self.moment.now) else { return };
        let (opened, paced, open) = (connection.opened, connection.paced, connection.open.len());
        let refused = connection.refused;
        let Some(class) = self.classes.resolve(call.class) else {
            // Its slot was freed since it was read, and may be another's.
            let why = "unknown method: the class was dropped".into();
            return self.invalid(conn, seq, None, RequestError::NotFound, why);
        };
        if !self.classes.takes(class, self.moment.now) {
            let name = &self.classes.profile(class).name;
            let why = format!("unknown method \"{name}\": the class was dropped");
            return self.invalid(conn, seq, Some(class), RequestError::NotFound, why);
        }
        // One whose slot is another's by now is of no tenant's share.
        let tenant = call.tenant.and_then(|tenant| self.tenants.resolve(tenant));
        if refused || open >= WINDOW || self.requests.body_bytes > self.requests.most_bodies {
            // Guards against hundreds of requests at once: left unread, they would hide cancels and the close. And
            // against more bodies than the memory holds, on many connections.
            return self.turn_away(conn, seq, class, Span(0));
        }
        if self.classes.profile(class).effect != gradepin_admission::Idempotency::Keyed {
            // Where no class is keyed by it, a token means nothing.
            call.idempotency_key = None;
        }
        let deadline = self.classes.profile(class).deadline;
        if call.budget_ms > BUDGET_MULTIPLE * deadline.0.div_ceil(MS) {
            return self.invalid(
                conn,
                seq,
                Some(class),
                RequestError::Malformed,
                "budget out of range".into(),
            );
        }
        if self.requests.open.contains_key(&call.id) {
            let why = format!("the rid {} is open already", call.id.0);
            return self.invalid(conn, seq, Some(class), RequestError::Conflict, why);
        }
        if !call.retry {
            // Whatever becomes of it: what is turned away before the module hears of it came too.
            self.agreed_count(tenant, class, 1, 0);
        }
        if self.controller.is_none() {
            // No processor yet, so nobody to ask; nothing has run.
            return self.turn_away(conn, seq, class, Span(0));
        }
        let unix = self.moment.unix_ms;
        // Nothing came later than it is read. Guards against a stamp that keeps a key's run for ever.
        let t0 = call.arrived_unix_ms.min(unix);
        let due = t0.saturating_add(call.budget_ms);
        if let Some(token) = &call.idempotency_key
            && !self.classes.takes_new_tokens(class, self.moment.now)
            && self.earlier(token, t0).is_none()
        {
            call.idempotency_key = None;
        }
        // It did not wait here before there was a connection. Guards against stamps of long ago, which would tell
        // the module that requests wait unread.
        let queued = Span(unix.saturating_sub(t0).saturating_mul(MS));
        let since = Span(self.moment.now.0.saturating_sub(opened.0));
        let queued = queued.min(Span(since.0.saturating_add(UNREAD_FIRST.0)));
        // Nor did it wait for this server while its own connection's pace held it back. Guards against a flood that
        // makes a server with time to read count as one that doesn't get to it, and health that goes bad by it.
        let queued =
            paced.map_or(queued, |until| queued.min(Span(self.moment.now.0.saturating_sub(until.0))));
        if let Some(token) = &call.idempotency_key
            && !self.keys.ran(token, t0)
            && self.ledger.refuses(self.moment.now).is_some()
        {
            // It can't be made sure that this never runs twice. Whatever ran before is answered all the same.
            return self.turn_away(conn, seq, class, self.store_advice());
        }
        let print = if call.idempotency_key.is_some() { self.print(class, &call.body) } else { 0 };
        let earlier = call.idempotency_key.as_ref().and_then(|token| self.earlier(token, t0));
        if earlier.as_ref().is_some_and(|(_, first)| *first != print) {
            // Guards against a stranger who learnt a token: its request would be served another's result.
            let why = "the token came before with another body or class".into();
            return self.invalid(conn, seq, Some(class), RequestError::Conflict, why);
        }
        let earlier = earlier.map(|(id, _)| id);
        // A repeat of what is there is answered from it, and costs the fleet nothing.
        let repeats = call.retry && earlier.is_none();
        if !self.fleet_takes(tenant, class, repeats) {
            let limits = &self.settings.limits;
            let advice = if limits.retry_after { limits.max_retry_after } else { Span(0) };
            return self.turn_away(conn, seq, class, advice);
        }
        let Some(connection) = self.conns.get_mut(conn) else { return };
        connection.open.insert(seq, call.id.clone());
        if let Some(token) = &call.idempotency_key {
            self.requests.batch.insert(Arc::clone(token), call.id.clone());
        }
        self.events.push(Event::Arrived(Request {
            id: call.id.clone(),
            expires_in: Some(Span(due.saturating_sub(unix).saturating_mul(MS))),
            class,
            has_key: call.has_subject,
            caller: call.client_proxy,
            work: None,
            tenant,
            size_kb: call.size_kb,
            precedence: call.precedence,
            retry: call.retry,
            write: call.idempotency_key.is_some(),
            earlier,
            queued_for: queued,
        }));
        let open = Open {
            first: !call.retry,
            conn,
            seq,
            class,
            tenant,
            t0,
            due_ms: due,
            token: call.idempotency_key,
            print,
            state: State::Held,
            owed: true,
            body: Arc::new(call.body),
            begins: 0,
            call: None,
            call_since: None,
            call_number: None,
        };
        self.requests.body_bytes += open.body.len() + BESIDE;
        self.classes.acquire(class);
        tenant.into_iter().for_each(|tenant| self.tenants.acquire(tenant));
        self.requests.open.insert(call.id, open);
    }

    /// Takes a request out of the books; nothing of it refers to its class and its tenant any more.
    pub(super) fn forget(&mut self, id: &RequestId) {
        if let Some(open) = self.requests.remove(id) {
            if let (State::Joined(_), Some(token)) = (open.state, &open.token) {
                self.keys.leave(token, id);
            }
            self.classes.release(open.class);
            open.tenant.into_iter().for_each(|tenant| self.tenants.release(tenant));
        }
    }

    /// Turns away what the module never hears of.
    pub(super) fn turn_away(&mut self, conn: ConnectionId, seq: SequenceId, class: usize, backoff: Span) {
        self.conns.rest(conn, self.moment.now);
        let answer = Response::Rejected { retry_after: backoff, no_failover: false };
        self.tally.answered(&self.classes.profile(class).name, &answer);
        self.effects.push(Effect::Respond {
            connection: conn,
            sequence: seq,
            response: answer,
            capacity_hint: self.hint,
        });
        self.close_if_over(conn);
    }

    /// Keyed, so that nobody can choose two bodies with one print; and by name, which a store outlives.
    fn print(&self, class: usize, body: &[u8]) -> Fingerprint {
        let mut hasher = SipHasher13::new_with_keys(self.past.salt, !self.past.salt);
        let name = self.classes.profile(class).name.as_bytes();
        hasher.write_usize(name.len());
        hasher.write(name);
        hasher.write(body);
        hasher.finish()
    }

    pub(super) fn earlier(&self, token: &str, t0: u64) -> Option<(RequestId, Fingerprint)> {
        let held = |id: &RequestId| {
            self.requests.open.get(id).is_some_and(|open| open.state == State::Held && open.owed)
        };
        // Two of one batch are linked before the module could keep the first.
        let batch = self.requests.batch.get(token).filter(|id| held(id));
        let batch = batch.and_then(|id| Some((id.clone(), self.requests.open.get(id)?.print)));
        batch.or_else(|| self.keys.earlier(token, t0, self.moment.now, held))
    }

    /// Answers what can't be taken; counted where its class is known, since peers count it under that.
    pub(super) fn invalid(
        &mut self,
        conn: ConnectionId,
        seq: SequenceId,
        class: Option<usize>,
        misuse: RequestError,
        why: String,
    ) {
        self.conns.rest(conn, self.moment.now);
        self.log(Level::Warning, format!("a request on connection {conn} made no sense: {why}"));
        let answer = Response::Invalid { error: misuse, text: why };
        if let Some(class) = class {
            self.tally.answered(&self.classes.profile(class).name, &answer);
        }
        self.effects.push(Effect::Respond {
            connection: conn,
            sequence: seq,
            response: answer,
            capacity_hint: self.hint,
        });
        self.close_if_over(conn);
    }

    pub(super) fn cancel(&mut self, conn: ConnectionId, seq: SequenceId) {
        // Otherwise the cancel has crossed the answer.
        let open =
            self.conns.touch(conn, self.moment.now).and_then(|connection| connection.open.remove(&seq));
        // Also one that only ever cancels what isn't open: it must not hold its place unseen.
        self.conns.rest(conn, self.moment.now);
        if let Some(id) = open {
            self.gone(&id);
            self.close_if_over(conn);
        }
    }

    /// Nobody waits for a request any more.
    pub(super) fn gone(&mut self, id: &RequestId) {
        let Some(open) = self.requests.open.get_mut(id) else { return };
        open.owed = false;
        if open.state != State::Running {
            // The module may still release its key: it is taken out after that.
            self.requests.left.push(id.clone());
        }
        self.events.push(Event::CallerGone(id.clone()));
    }

    /// A final answer of the module's own; a run goes on in the books until its notice.
    pub(super) fn finish(&mut self, id: &RequestId, answer: Response) {
        self.answer(id, answer);
        if self.requests.open.get(id).is_some_and(|open| open.state != State::Running) {
            self.forget(id);
        }
    }

    pub(super) fn answer_end(&mut self, id: &RequestId, end: RunOutcome) {
        let answer = match end {
            RunOutcome::Served(result) => Response::Served(result),
            RunOutcome::Failed => Response::Failed { timed_out: self.is_late(id) },
            RunOutcome::Unknown => Response::OutcomeUnknown,
        };
        self.answer(id, answer);
    }

    /// Whether the time that a request's caller waits is up.
    pub(super) fn is_late(&self, id: &RequestId) -> bool {
        self.requests.open.get(id).is_some_and(|open| self.moment.unix_ms >= open.due_ms)
    }

    /// A repeat is answered from the run of another try.
    pub(super) fn joined(&mut self, id: &RequestId, end: RunOutcome) {
        let Some(Open { state: State::Joined(since), owed: true, .. }) = self.requests.open.get(id) else {
            return;
        };
        let took = Span(self.moment.now.0.saturating_sub(since.0));
        let outcome = if matches!(end, RunOutcome::Served(_)) { Outcome::Success } else { Outcome::Failure };
        self.answer_end(id, end);
        self.forget(id);
        self.events.push(Event::Completed { id: id.clone(), outcome, took });
    }

    /// Sends the one final answer, if it is still owed.
    pub(super) fn answer(&mut self, id: &RequestId, answer: Response) {
        let Some(open) = self.requests.open.get_mut(id).filter(|open| open.owed) else { return };
        open.owed = false;
        let (conn, seq) = (open.conn, open.seq);
        let (tenant, class, first) = (open.tenant, open.class, open.first);
        if first && matches!(answer, Response::Served(_)) {
            self.agreed_count(tenant, class, 0, 1);
        }
        let Some(open) = self.requests.open.get(id) else { return };
        self.tally.answered(&self.classes.profile(open.class).name, &answer);
        self.conns.answered(conn, seq, self.moment.now);
        self.effects.push(Effect::Respond {
            connection: conn,
            sequence: seq,
            response: answer,
            capacity_hint: self.hint,
        });
        self.close_if_over(conn);
    }
}
