//! The table of client connections: what each has open, which are idle, and which of those close for newcomers.
//!
//! A connection knows its requests by their ids alone. Not here: sockets, which are the front ends'; they close an idle
//! connection only if nothing of it is under way. Invariant: a connection from which nothing more comes is closed once it is
//! owed nothing.

use super::{MS, Reducer};
use crate::idle_connections::{IdleConnections, IdleEntry};
use crate::messages::{ConnectionId, Effect, SequenceId};
use crate::timer_wheel::{DueEntry, TimerWheel};
use gradepin_admission::{RequestId, Span, Time, time_after};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Connections that one sweep checks for idleness.
const MAX_IDLE_CHECKS: usize = 64;
/// Between checks of a connection at the most: the admission module may shorten the idle timeout.
const IDLE_CHECK_INTERVAL: Span = Span(1_000 * MS);
/// A peer that was asked to drain an idle connection has so long to close it.
const DRAIN_TIMEOUT: Span = Span(1_000 * MS);
/// A connection that is idle for less is not closed for a newcomer; half of it for one that never sent a message.
const MIN_IDLE_BEFORE_EVICTION: Span = Span(200 * MS);
/// How long an idle connection takes to close. One that still stands after it was not idle.
const CLOSE_TIMEOUT: Span = Span(250 * MS);
/// Newcomers take the places of idle connections when no more places are free than the size of the table divided by this.
const FREE_PLACES_DIVISOR: usize = 8;
/// A connection that never sent a message counts as idle for this many times as long as it is.
const SILENT_WEIGHT: u64 = 2;

/// The state of a client connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    /// Requests that are owed a response.
    pub(super) open: HashMap<SequenceId, RequestId>,
    /// When it was accepted.
    pub(super) opened: Time,
    /// When it was last used.
    last_used: Time,
    /// Whether it ever sent a complete message.
    sent_message: bool,
    /// Since when it is asked to drain.
    draining_since: Option<Time>,
    /// Nothing more comes from it; it is closed once what is open is answered.
    is_half_closed: bool,
    /// Nothing more is accepted from it; it is closed once nothing of it is under way.
    pub(super) is_refused: bool,
    /// No message of it was complete in its time, and none came since.
    is_late: bool,
    /// Messages received from it.
    messages_received: u64,
    /// Until when nothing was read from it, the last time that it was throttled.
    pub(super) throttled_until: Option<Time>,
    /// When the shell was last asked to close it if it is idle.
    closing_since: Option<Time>,
}

impl ConnectionState {
    /// Whether it is being closed, as far as is known here.
    fn is_closing(&self, now: Time) -> bool {
        self.closing_since.is_some_and(|since| now < time_after(since, CLOSE_TIMEOUT))
    }
}

/// All client connections.
#[derive(Debug)]
pub(super) struct Connections {
    table: BTreeMap<ConnectionId, ConnectionState>,
    /// From this many connections on newcomers take the places of idle ones.
    evict_from: usize,
    /// From this many connections on newcomers have reserved places.
    max_connections: usize,
    /// Connections with nothing open.
    idle: IdleConnections,
    /// When to check which connection for idleness.
    idle_checks: TimerWheel<ConnectionId>,
    /// How long one may be idle, once the admission module has set it.
    idle_timeout: Option<Span>,
}

impl Connections {
    /// For at most so many connections beside the reserved places.
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            table: BTreeMap::new(),
            evict_from: max_connections - max_connections / FREE_PLACES_DIVISOR,
            max_connections,
            idle: IdleConnections::default(),
            idle_checks: TimerWheel::default(),
            idle_timeout: None,
        }
    }

    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.table.len()
    }

    /// All of them, in their order.
    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.table.keys().copied().collect()
    }

    /// The state of a connection, to be changed.
    pub(super) fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut ConnectionState> {
        self.table.get_mut(&connection)
    }

    fn insert(&mut self, connection: ConnectionId, now: Time) {
        let state = ConnectionState { opened: now, last_used: now, ..ConnectionState::default() };
        self.table.insert(connection, state);
        self.idle.add(IdleEntry { since: now, connection }, false);
        self.idle_checks.insert(time_after(now, IDLE_CHECK_INTERVAL), connection);
    }

    /// A complete message came from a connection.
    pub(super) fn message_received(&mut self, connection: ConnectionId) {
        if let Some(state) = self.table.get_mut(&connection) {
            state.messages_received += 1;
            state.is_late = false;
        }
    }

    /// Nothing more is read from a connection until then.
    pub(super) fn throttled(&mut self, connection: ConnectionId, until: Time) {
        if let Some(state) = self.table.get_mut(&connection) {
            state.throttled_until = Some(until);
        }
    }

    /// The admission module sets how long a connection may be idle; 0 stands for the settings' timeout.
    pub(super) fn set_idle_timeout(&mut self, idle_timeout: Span) {
        self.idle_timeout = Some(idle_timeout);
    }

    /// A connection is used by a message of its peer.
    pub(super) fn touch(&mut self, connection: ConnectionId, now: Time) -> Option<&mut ConnectionState> {
        let state = self.table.get_mut(&connection)?;
        state.last_used = now;
        state.sent_message = true;
        Some(state)
    }

    /// A connection is used, and idle from now on if nothing is open on it.
    pub(super) fn touch_and_rest(&mut self, connection: ConnectionId, now: Time) {
        if self.touch(connection, now).is_some_and(|state| state.open.is_empty()) {
            self.idle.add(IdleEntry { since: now, connection }, true);
        }
    }

    /// A request of a connection is answered.
    pub(super) fn response_sent(&mut self, connection: ConnectionId, sequence: SequenceId, now: Time) {
        if let Some(state) = self.table.get_mut(&connection) {
            state.open.remove(&sequence);
        }
        self.touch_and_rest(connection, now);
    }

    /// Nothing more is accepted from a connection.
    pub(super) fn stop_accepting_from(&mut self, connection: ConnectionId) {
        if let Some(state) = self.table.get_mut(&connection) {
            state.is_refused = true;
        }
    }

    /// Near the bound, the connection that is idle for longest, whose place a newcomer takes. One that never sent a message
    /// counts with [`SILENT_WEIGHT`]. It may have sent what was not read yet, so the shell closes it only if it has not. Guards
    /// against silent connections that keep all others, health checks too, out of a full table.
    fn find_evictable(&mut self, now: Time) -> Option<ConnectionId> {
        if self.table.len() < self.evict_from {
            return None;
        }
        let table = &self.table;
        let longest = self.idle.longest(
            |entry, sent_message| is_idle(table, entry, sent_message),
            |connection| table.get(&connection).is_some_and(|state| state.is_closing(now)),
        );
        let weighted = |entry: Option<IdleEntry>, weight| {
            entry.map_or((0, 0), |entry| ((now.0 - entry.since.0) * weight, entry.connection))
        };
        let (idle_ns, connection) =
            weighted(longest.with_messages, 1).max(weighted(longest.silent, SILENT_WEIGHT));
        (idle_ns >= MIN_IDLE_BEFORE_EVICTION.0).then_some(connection)
    }

    /// The connections with nothing open of which this holds: since when they are asked to drain, and when they were last used.
    pub(super) fn idle_where(
        &self,
        now: Time,
        wanted: impl Fn(Option<Time>, Time) -> bool,
    ) -> Vec<ConnectionId> {
        let idle = self.table.iter().filter(|(_, state)| state.open.is_empty() && !state.is_closing(now));
        let wanted = idle.filter(|(_, state)| wanted(state.draining_since, state.last_used));
        wanted.map(|(connection, _)| *connection).collect()
    }

    /// Drops entries of the index of idle connections that no longer hold.
    pub(super) fn drop_stale_entries(&mut self) {
        let table = &self.table;
        self.idle.drop_stale(table.len(), |entry, sent_message| is_idle(table, entry, sent_message));
    }
}

impl Reducer {
    /// A connection was accepted. Near the bound it takes the place of an idle one.
    pub(super) fn connection_opened(&mut self, connection: ConnectionId) {
        if let Some(idle) = self.connections.find_evictable(self.timestamp.now) {
            self.close_if_idle(idle);
        }
        let has_reserved_place = self.connections.len() >= self.connections.max_connections;
        self.connections.insert(connection, self.timestamp.now);
        if has_reserved_place {
            // It has one exchange, a health check or a rejection, and leaves the place to the next.
            self.connections.stop_accepting_from(connection);
        }
        if has_reserved_place || self.drain.is_draining() {
            self.request_drain(connection);
        }
    }

    /// A connection has ended: the callers of its requests no longer wait.
    pub(super) fn connection_closed(&mut self, connection: ConnectionId) {
        if let Some(state) = self.connections.table.remove(&connection) {
            for id in state.open.into_values().collect::<BTreeSet<_>>() {
                self.caller_gone(&id);
            }
        }
    }

    /// Nothing more comes from a connection: it is closed once what is open on it is answered. Until then it is asked to drain,
    /// which costs a peer that reads nothing, and makes a host that is gone answer with a reset.
    pub(super) fn connection_half_closed(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.table.get_mut(&connection) else { return };
        state.is_half_closed = true;
        if !state.open.is_empty() {
            self.request_drain(connection);
        }
        self.close_if_done(connection);
    }

    /// A connection sent no complete message in its time: it is closed once it is owed nothing, unless one is completed before.
    pub(super) fn connection_late(&mut self, connection: ConnectionId) {
        if let Some(state) = self.connections.table.get_mut(&connection) {
            state.is_late = true;
            self.close_if_done(connection);
        }
    }

    /// Closes a connection from which nothing more is to come, once it is owed nothing.
    pub(super) fn close_if_done(&mut self, connection: ConnectionId) {
        match self.connections.table.get(&connection) {
            Some(state) if !state.open.is_empty() => {}
            Some(state) if state.is_half_closed => self.effects.push(Effect::CloseConnection(connection)),
            Some(state) if state.is_late => {
                let messages_received = state.messages_received;
                self.effects.push(Effect::CloseLateConnection { connection, messages_received });
            }
            // What is on its way from it is answered first.
            Some(state) if state.is_refused => self.close_if_idle(connection),
            _ => {}
        }
    }

    /// Asks the peer of a connection, once, to send no more requests on it.
    pub(super) fn request_drain(&mut self, connection: ConnectionId) {
        let state = self.connections.table.get_mut(&connection);
        if let Some(state) = state.filter(|state| state.draining_since.is_none()) {
            state.draining_since = Some(self.timestamp.now);
            self.effects.push(Effect::RequestDrain(connection));
        }
    }

    /// Has the shell close a connection if nothing of it is under way.
    pub(super) fn close_if_idle(&mut self, connection: ConnectionId) {
        if let Some(state) = self.connections.table.get_mut(&connection) {
            state.closing_since = Some(self.timestamp.now);
            let messages_received = state.messages_received;
            self.effects.push(Effect::CloseIdleConnection { connection, messages_received });
        }
    }

    /// Asks idle connections to drain, which no request can cross unanswered, and closes those whose peers don't. Checks a
    /// bounded number of connections; returns whether more may be due.
    pub(super) fn drain_idle_connections(&mut self) -> bool {
        let now = self.timestamp.now;
        let mut budget = MAX_IDLE_CHECKS;
        let idle_timeout = match self.connections.idle_timeout {
            Some(timeout) if timeout.0 == 0 => Some(self.settings.specifics.client_idle_timeout),
            timeout => timeout,
        };
        loop {
            match self.connections.idle_checks.next_due(now, &mut budget) {
                DueEntry::Entry(connection) => self.drain_if_idle(connection, idle_timeout),
                DueEntry::None => return false,
                DueEntry::Later => return true,
            }
        }
    }

    /// Checks one connection for idleness, and schedules its next check.
    fn drain_if_idle(&mut self, connection: ConnectionId, idle_timeout: Option<Span>) {
        let now = self.timestamp.now;
        let Some(state) = self.connections.table.get(&connection) else { return };
        let idle_at = idle_timeout.map(|timeout| time_after(state.last_used, timeout));
        let drained_at = state.draining_since.map(|since| time_after(since, DRAIN_TIMEOUT));
        let latest_check = time_after(now, IDLE_CHECK_INTERVAL);
        let next_check = drained_at.or(idle_at).filter(|at| *at > now).unwrap_or(latest_check);
        self.connections.idle_checks.insert(next_check.min(latest_check), connection);
        let is_idle = state.open.is_empty() && idle_at.is_some_and(|at| at <= now);
        match drained_at {
            None if is_idle => self.request_drain(connection),
            Some(drained_at) if is_idle && drained_at <= now && !self.drain.is_draining() => {
                self.close_if_idle(connection);
            }
            _ => {}
        }
    }
}

/// Whether a connection has nothing open and was not used since its entry was made.
fn is_idle(table: &BTreeMap<ConnectionId, ConnectionState>, entry: IdleEntry, sent_message: bool) -> bool {
    table.get(&entry.connection).is_some_and(|state| {
        state.open.is_empty() && state.last_used == entry.since && state.sent_message == sent_message
    })
}
