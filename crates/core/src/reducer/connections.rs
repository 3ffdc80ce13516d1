//! The table of client connections: the open requests of each, which connections are idle, and which idle ones are
//! closed to make room for new ones.
//!
//! A connection refers to its requests only by id. The front ends own the sockets, and close an idle connection only if
//! no message on it is in progress. Invariant: a connection from which no more messages can come is closed once no
//! response is owed on it.

use super::{MS, Reducer};
use crate::idle_connections::{IdleConnections, IdleEntry};
use crate::lifecycle_counters::CloseReason;
use crate::lifecycle_guard::CloseKind;
use crate::messages::{ConnectionId, Effect, ProtocolViolation, SequenceId};
use crate::timer_wheel::{DueEntry, TimerWheel};
use crate::wall_clock::ClientClock;
use gradepin_admission::{RequestId, Span, Time, time_after};
use slog::Level;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of connections that one sweep checks for idleness.
const MAX_IDLE_CHECKS: usize = 64;
/// Maximum interval between idleness checks of a connection, since the admission module may shorten the idle timeout.
const IDLE_CHECK_INTERVAL: Span = Span(1_000 * MS);
/// Time that a peer has to close an idle connection after it was asked to drain it.
const DRAIN_TIMEOUT: Span = Span(1_000 * MS);
/// Minimum idle time before a connection is evicted for a new one; half of it for a connection that never sent a
/// message.
const MIN_IDLE_BEFORE_EVICTION: Span = Span(200 * MS);
/// Maximum time that closing an idle connection takes. A connection that is still open after that was not idle.
const CLOSE_TIMEOUT: Span = Span(250 * MS);
/// Idle connections are evicted once the free capacity is at most the maximum number of connections divided by this.
const FREE_CAPACITY_DIVISOR: usize = 8;
/// Factor on the idle time of a connection that never sent a message.
const SILENT_WEIGHT: u64 = 2;

/// A request to the shell to close a connection if it is idle.
#[derive(Debug)]
struct RequestedClose {
    since: Time,
    /// Number of messages that had been received from the connection.
    messages_received: u64,
}

/// The state of a client connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    /// Requests that are owed a response, by sequence number.
    pub(super) open: HashMap<SequenceId, RequestId>,
    /// When the connection was accepted.
    pub(super) opened: Time,
    /// When the latest message was received or response sent.
    last_used: Time,
    /// Whether a complete message was ever received.
    sent_message: bool,
    /// When the peer was asked to drain the connection.
    draining_since: Option<Time>,
    /// No more messages can come; the connection is closed once all open requests are answered.
    is_half_closed: bool,
    /// New requests are rejected; the connection is closed once no message on it is in progress.
    pub(super) rejects_requests: bool,
    /// No message was completed within the time limit, and none has come since.
    is_late: bool,
    /// Number of complete messages received.
    messages_received: u64,
    /// The clock of its client, if it differs from all known ones.
    pub(super) client_clock: ClientClock,
    /// Requests that were received and not cancelled.
    uncancelled_requests: u64,
    /// The latest message that broke the protocol.
    last_violation: Option<ProtocolViolation>,
    /// Whether a pause of its reading was logged.
    pause_logged: bool,
    /// End of the latest period in which nothing was read because of throttling.
    pub(super) throttled_until: Option<Time>,
    /// The latest request to the shell to close the connection if it is idle.
    closing: Option<RequestedClose>,
    /// Why the shell was last asked to close the connection.
    close_reason: Option<CloseReason>,
}

impl ConnectionState {
    /// Whether the shell may still be carrying out a request to close the connection. It drops the request if another
    /// message arrives.
    fn is_closing(&self, now: Time) -> bool {
        self.closing.as_ref().is_some_and(|closing| {
            closing.messages_received == self.messages_received
                && now < time_after(closing.since, CLOSE_TIMEOUT)
        })
    }
}

/// All client connections.
#[derive(Debug)]
pub(super) struct Connections {
    table: BTreeMap<ConnectionId, ConnectionState>,
    /// Number of connections from which on new ones evict idle ones.
    evict_from: usize,
    /// Number of connections from which on new ones use the reserved connections.
    max_connections: usize,
    /// Index of the connections without open requests.
    idle: IdleConnections,
    /// Times of the connections' next idleness checks.
    idle_checks: TimerWheel<ConnectionId>,
    /// How long a connection may be idle; `None` until the admission module sets it.
    idle_timeout: Option<Span>,
}

impl Connections {
    /// Creates a table for at most `max_connections`, not counting the reserved connections.
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            table: BTreeMap::new(),
            evict_from: max_connections - max_connections / FREE_CAPACITY_DIVISOR,
            max_connections,
            idle: IdleConnections::default(),
            idle_checks: TimerWheel::default(),
            idle_timeout: None,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns the ids of all connections in ascending order.
    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.table.keys().copied().collect()
    }

    pub(super) fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut ConnectionState> {
        self.table.get_mut(&connection)
    }

    fn insert(&mut self, connection: ConnectionId, now: Time) {
        let state = ConnectionState { opened: now, last_used: now, ..ConnectionState::default() };
        self.table.insert(connection, state);
        self.idle.add(IdleEntry { since: now, connection }, false);
        self.idle_checks.insert(time_after(now, IDLE_CHECK_INTERVAL), connection);
    }

    /// Counts a complete message from a connection.
    pub(super) fn message_received(&mut self, connection: ConnectionId) {
        if let Some(state) = self.table.get_mut(&connection) {
            state.messages_received += 1;
            state.is_late = false;
        }
    }

    /// Counts a message that is owed a response.
    pub(super) fn request_received(&mut self, connection: ConnectionId) {
        if let Some(state) = self.table.get_mut(&connection) {
            state.uncancelled_requests += 1;
        }
    }

    /// Counts a cancellation; returns false if there are more of them than requests.
    fn cancellation_received(&mut self, connection: ConnectionId) -> bool {
        let Some(state) = self.table.get_mut(&connection) else { return true };
        let has_request = state.uncancelled_requests > 0;
        state.uncancelled_requests = state.uncancelled_requests.saturating_sub(1);
        has_request
    }

    /// Sets how long a connection may be idle; 0 stands for the settings' timeout.
    pub(super) fn set_idle_timeout(&mut self, idle_timeout: Span) {
        self.idle_timeout = Some(idle_timeout);
    }

    /// Marks a connection as used by a message of its peer.
    pub(super) fn touch(&mut self, connection: ConnectionId, now: Time) -> Option<&mut ConnectionState> {
        let state = self.table.get_mut(&connection)?;
        state.last_used = now;
        state.sent_message = true;
        Some(state)
    }

    /// Marks a connection as used, and as idle from now on if it has no open requests.
    pub(super) fn touch_and_mark_idle(&mut self, connection: ConnectionId, now: Time) {
        if self.touch(connection, now).is_some_and(|state| state.open.is_empty()) {
            self.idle.add(IdleEntry { since: now, connection }, true);
        }
    }

    /// Removes an answered request from its connection.
    pub(super) fn response_sent(&mut self, connection: ConnectionId, sequence: SequenceId, now: Time) {
        if let Some(state) = self.table.get_mut(&connection) {
            state.open.remove(&sequence);
        }
        self.touch_and_mark_idle(connection, now);
    }

    /// Has all further requests of a connection rejected.
    pub(super) fn stop_accepting_from(&mut self, connection: ConnectionId) {
        if let Some(state) = self.table.get_mut(&connection) {
            state.rejects_requests = true;
        }
    }

    /// Returns the longest-idle connection, to be evicted for a new one, if the table is almost full. The idle time of
    /// a connection that never sent a message is multiplied by [`SILENT_WEIGHT`]. The connection may have sent data
    /// that is not read yet, so the shell closes it only if it has not. Guards against silent connections that fill the
    /// table and exclude all others, including health checks.
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

    /// Returns the connections without open requests that satisfy `wanted`. It is given the time at which the
    /// connection was asked to drain, and the time of its last use.
    pub(super) fn idle_where(
        &self,
        now: Time,
        wanted: impl Fn(Option<Time>, Time) -> bool,
    ) -> Vec<ConnectionId> {
        let idle = self.table.iter().filter(|(_, state)| state.open.is_empty() && !state.is_closing(now));
        let wanted = idle.filter(|(_, state)| wanted(state.draining_since, state.last_used));
        wanted.map(|(connection, _)| *connection).collect()
    }

    /// Removes stale entries from the index of idle connections.
    pub(super) fn drop_stale_entries(&mut self) {
        let table = &self.table;
        self.idle.drop_stale(table.len(), |entry, sent_message| is_idle(table, entry, sent_message));
    }
}

impl Reducer {
    /// Charges a connection for a message that breaks the protocol.
    pub(super) fn charge(&mut self, connection: ConnectionId, violation: ProtocolViolation) {
        if let Some(state) = self.connections.table.get_mut(&connection) {
            state.last_violation = Some(violation);
            self.effects.push(Effect::ChargeConnection { connection, violation });
        }
    }

    /// Charges a connection for a cancellation if it sent more of them than requests.
    pub(super) fn charge_surplus_cancel(&mut self, connection: ConnectionId) {
        if !self.connections.cancellation_received(connection) {
            self.charge(connection, ProtocolViolation::SurplusCancel);
        }
    }

    /// Notes that nothing is read from a connection for a while. The first pause for violations is logged.
    pub(super) fn reading_paused(&mut self, connection: ConnectionId, pause: Span) {
        let until = time_after(self.timestamp.now, pause);
        let Some(state) = self.connections.table.get_mut(&connection) else { return };
        state.throttled_until = Some(until);
        if pause.0 == 0 {
            return;
        }
        self.metrics.lifecycle.reading_paused += 1;
        if !std::mem::replace(&mut state.pause_logged, true) {
            let latest = state.last_violation;
            let text = format!(
                "reading of connection {connection} is paused, as too many of its messages break the protocol, the latest: \
                 {latest:?}; its further pauses are not logged"
            );
            self.log(Level::Warning, text);
        }
    }

    /// Adds an accepted connection. If the table is almost full, an idle connection is evicted for it.
    pub(super) fn connection_opened(&mut self, connection: ConnectionId) {
        if let Some(idle) = self.connections.find_evictable(self.timestamp.now) {
            self.close_if_idle(idle, CloseReason::Evicted);
        }
        let uses_reserved_capacity = self.connections.len() >= self.connections.max_connections;
        self.connections.insert(connection, self.timestamp.now);
        self.guard.connection_opened(connection);
        if uses_reserved_capacity {
            // A reserved connection serves one exchange, a health check or a rejection, and is then free for the next
            // peer.
            self.connections.stop_accepting_from(connection);
        }
        if uses_reserved_capacity || self.drain.is_draining() {
            self.request_drain(connection);
        }
    }

    /// Removes a connection that has ended. The callers of its requests no longer wait.
    pub(super) fn connection_closed(&mut self, connection: ConnectionId) {
        self.guard.connection_closed(connection);
        if let Some(state) = self.connections.table.remove(&connection) {
            let counters = &mut self.metrics.lifecycle;
            counters.count_close(state.close_reason.unwrap_or(CloseReason::Peer));
            counters.callers_gone += state.open.len() as u64;
            for id in state.open.into_values().collect::<BTreeSet<_>>() {
                self.caller_gone(&id);
            }
        }
    }

    /// Handles a connection from which no more messages come: it is closed once all its open requests are answered.
    /// Until then its peer is asked to drain it, which is harmless to a peer that still reads, and makes a host that is
    /// gone answer with a reset.
    pub(super) fn connection_half_closed(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.table.get_mut(&connection) else { return };
        state.is_half_closed = true;
        self.guard.reading_ended(connection);
        if !state.open.is_empty() {
            self.request_drain(connection);
        }
        self.close_if_done(connection);
    }

    /// Handles a connection that sent no complete message within the time limit: it is closed once no response is owed,
    /// unless a message is completed before.
    pub(super) fn connection_late(&mut self, connection: ConnectionId) {
        if let Some(state) = self.connections.table.get_mut(&connection) {
            state.is_late = true;
            self.close_if_done(connection);
        }
    }

    /// Closes a connection that is half-closed, late or rejects requests, once no response is owed on it.
    pub(super) fn close_if_done(&mut self, connection: ConnectionId) {
        match self.connections.table.get(&connection) {
            Some(state) if !state.open.is_empty() => {}
            Some(state) if state.is_half_closed => self.close_now(connection, CloseReason::HalfClosed),
            Some(state) if state.is_late => self.close_if_no_message_arrives(connection),
            // Messages that are still in transit are answered first.
            Some(state) if state.rejects_requests => {
                self.close_if_idle(connection, CloseReason::RejectsRequests);
            }
            _ => {}
        }
    }

    /// Has the shell close a late connection, unless a message of it is complete by then.
    fn close_if_no_message_arrives(&mut self, connection: ConnectionId) {
        let close = self.guard.close(connection, CloseKind::IfIdle);
        if !self.is_allowed(close) {
            return;
        }
        if let Some(state) = self.connections.table.get_mut(&connection) {
            state.close_reason = Some(CloseReason::MessageTimeout);
            let messages_received = state.messages_received;
            self.effects.push(Effect::CloseLateConnection { connection, messages_received });
        }
    }

    /// Asks the peer of a connection to send no more requests on it, unless it was asked before.
    pub(super) fn request_drain(&mut self, connection: ConnectionId) {
        let state = self.connections.table.get_mut(&connection);
        if let Some(state) = state.filter(|state| state.draining_since.is_none()) {
            state.draining_since = Some(self.timestamp.now);
            self.effects.push(Effect::RequestDrain(connection));
        }
    }

    /// Has the shell close a connection from which no more messages come, after all that was sent on it.
    pub(super) fn close_now(&mut self, connection: ConnectionId, reason: CloseReason) {
        let close = self.guard.close(connection, CloseKind::AfterReading);
        if !self.is_allowed(close) {
            return;
        }
        if let Some(state) = self.connections.table.get_mut(&connection) {
            state.close_reason.get_or_insert(reason);
            self.effects.push(Effect::CloseConnection(connection));
        }
    }

    /// Has the shell close a connection if no message on it is in progress.
    pub(super) fn close_if_idle(&mut self, connection: ConnectionId, reason: CloseReason) {
        let close = self.guard.close(connection, CloseKind::IfIdle);
        if !self.is_allowed(close) {
            return;
        }
        if let Some(state) = self.connections.table.get_mut(&connection) {
            let messages_received = state.messages_received;
            state.closing = Some(RequestedClose { since: self.timestamp.now, messages_received });
            state.close_reason = Some(reason);
            self.effects.push(Effect::CloseIdleConnection { connection, messages_received });
        }
    }

    /// Asks the peers of idle connections to drain them, and closes those whose peers don't. A request that crosses
    /// this message is still answered. Checks a limited number of connections; returns whether more may be due.
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
                DueEntry::BudgetUsedUp => return true,
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
                self.close_if_idle(connection, CloseReason::IdleTimeout);
            }
            _ => {}
        }
    }
}

/// Whether a connection has no open requests and was not used since its entry was made.
fn is_idle(table: &BTreeMap<ConnectionId, ConnectionState>, entry: IdleEntry, sent_message: bool) -> bool {
    table.get(&entry.connection).is_some_and(|state| {
        state.open.is_empty() && state.last_used == entry.since && state.sent_message == sent_message
    })
}
