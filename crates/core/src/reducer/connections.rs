//! The table of client connections: who is there, what each has open, which rest, and which make room for newcomers.
//! Not here: sockets, which are the fronts', and the requests themselves, of which a connection knows ids alone.

use super::{MS, Reducer};
use crate::idle_connections::IdleConnections;
use crate::messages::{ConnectionId, Effect, SequenceId};
use crate::timer_wheel::{DueEntry, TimerWheel};
use gradepin_admission::{RequestId, Span, Time, time_after};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Connections looked at in one sweep, and how long one of them is not looked at again at the most: the module may
/// shorten the time that they may be idle.
const LOOKS: usize = 64;
const LOOK_AGAIN: Span = Span(1_000 * MS);
/// How long a peer that was asked to drain an idle connection has before it is closed from here.
const DRAIN_PATIENCE: Span = Span(1_000 * MS);
/// A connection that came or spoke so lately is not closed for room; half of it for one that never spoke.
const REST: Span = Span(200 * MS);
/// How long a resting connection takes to close; after that it must have spoken.
const CLOSE_PATIENCE: Span = Span(250 * MS);

#[derive(Debug, Default)]
pub(super) struct Connection {
    pub(super) open: HashMap<SequenceId, RequestId>,
    pub(super) opened: Time,
    pub(super) last: Time,
    /// Whether a whole message ever came.
    spoke: bool,
    /// Since when it is asked to drain.
    draining: Option<Time>,
    /// Nothing more comes from it; it is closed once what is open is answered.
    ended: bool,
    /// Nothing more is taken from it; the same holds once nothing of it is under way.
    pub(super) refused: bool,
    /// No message of it was whole in its time, and none has come since.
    late: bool,
    /// Messages taken in from it.
    taken: u64,
    /// Until when nothing was read from it, the last time that its pace held it back.
    pub(super) paced: Option<Time>,
    /// When it was last to be closed if it rests.
    closing: Option<Time>,
}

impl Connection {
    /// Whether it is being closed, as far as is known.
    fn closes(&self, now: Time) -> bool {
        self.closing.is_some_and(|since| now < time_after(since, CLOSE_PATIENCE))
    }
}

/// All client connections.
#[derive(Debug)]
pub(super) struct Connections {
    table: BTreeMap<ConnectionId, Connection>,
    /// Connections from which on newcomers take the places of resting ones, and from which on they have spare places.
    crowded_from: usize,
    max_connections: usize,
    /// Those with nothing open, and when to look at which whether it is idle.
    resting: IdleConnections,
    idle_checks: TimerWheel<ConnectionId>,
    /// How long one may be idle, as the module says; none before it says so.
    idle_timeout: Option<Span>,
}

impl Connections {
    /// For so many connections at the most.
    pub(super) fn new(max_connections: usize) -> Self {
        let (table, resting, idle_checks) =
            (BTreeMap::new(), IdleConnections::default(), TimerWheel::default());
        Self {
            table,
            crowded_from: max_connections - max_connections / 8,
            max_connections,
            resting,
            idle_checks,
            idle_timeout: None,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.table.len()
    }

    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.table.keys().copied().collect()
    }

    pub(super) fn get_mut(&mut self, conn: ConnectionId) -> Option<&mut Connection> {
        self.table.get_mut(&conn)
    }

    /// One more was accepted.
    fn insert(&mut self, conn: ConnectionId, now: Time) {
        self.table.insert(conn, Connection { opened: now, last: now, ..Connection::default() });
        self.resting.rests(conn, now, false);
        self.idle_checks.insert(time_after(now, LOOK_AGAIN), conn);
    }

    /// A whole message was taken in from it.
    pub(super) fn message_received(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.table.get_mut(&conn) {
            connection.taken += 1;
            connection.late = false;
        }
    }

    /// Nothing more is read from it until then.
    pub(super) fn throttled(&mut self, conn: ConnectionId, until: Time) {
        if let Some(connection) = self.table.get_mut(&conn) {
            connection.paced = Some(until);
        }
    }

    /// The module says how long one may be idle.
    pub(super) fn set_idle_timeout(&mut self, idle: Span) {
        self.idle_timeout = Some(idle);
    }

    /// It has said something now.
    pub(super) fn touch(&mut self, conn: ConnectionId, now: Time) -> Option<&mut Connection> {
        let connection = self.table.get_mut(&conn)?;
        connection.last = now;
        connection.spoke = true;
        Some(connection)
    }

    /// It has said something, or was answered, and may rest from now on.
    pub(super) fn touch_and_rest(&mut self, conn: ConnectionId, now: Time) {
        if self.touch(conn, now).is_some_and(|connection| connection.open.is_empty()) {
            self.resting.rests(conn, now, true);
        }
    }

    /// A request of it is answered.
    pub(super) fn response_sent(&mut self, conn: ConnectionId, seq: SequenceId, now: Time) {
        if let Some(connection) = self.table.get_mut(&conn) {
            connection.open.remove(&seq);
        }
        self.touch_and_rest(conn, now);
    }

    /// Nothing more is taken from it.
    pub(super) fn stop_accepting_from(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.table.get_mut(&conn) {
            connection.refused = true;
        }
    }

    /// Near the limit, a newcomer takes the place of a connection with nothing open: of the one that rested longest,
    /// and one that never said anything counts as if for twice as long. It may have sent what was not read yet, so
    /// it is closed only where that is not so, and one that has only just come or spoken stays. Guards against silent
    /// connections that keep all others, health checks too, out of a full table.
    fn find_evictable(&mut self, now: Time) -> Option<ConnectionId> {
        if self.table.len() < self.crowded_from {
            return None;
        }
        let connections = &self.table;
        let [spoke, silent] = self.resting.longest(
            |conn, since, spoke| rests(connections, conn, since, spoke),
            |conn| connections.get(&conn).is_some_and(|c| c.closes(now)),
        );
        let rested = |found: Option<(Time, ConnectionId)>, times| {
            found.map_or((0, 0), |(since, conn)| ((now.0 - since.0) * times, conn))
        };
        let (longest, conn) = rested(spoke, 1).max(rested(silent, 2));
        (longest >= REST.0).then_some(conn)
    }

    /// Those with nothing open of which this holds: when each was asked to drain, and when it last spoke.
    pub(super) fn idle_where(
        &self,
        now: Time,
        wanted: impl Fn(Option<Time>, Time) -> bool,
    ) -> Vec<ConnectionId> {
        let rested = self.table.iter().filter(|(_, c)| c.open.is_empty() && !c.closes(now));
        rested.filter(|(_, c)| wanted(c.draining, c.last)).map(|(conn, _)| *conn).collect()
    }

    /// Forgets what the index of resting ones holds of others.
    pub(super) fn drop_stale_entries(&mut self) {
        let connections = &self.table;
        self.resting.tidy(connections.len(), |conn, since, spoke| rests(connections, conn, since, spoke));
    }
}

impl Reducer {
    /// A connection was accepted, and may take the place of another.
    pub(super) fn connection_opened(&mut self, conn: ConnectionId) {
        if let Some(rested) = self.connections.find_evictable(self.timestamp.now) {
            self.close_if_idle(rested);
        }
        let spare = self.connections.len() >= self.connections.max_connections;
        self.connections.insert(conn, self.timestamp.now);
        if spare {
            // A health check is answered there and a request turned away; then it makes room for the next.
            self.connections.stop_accepting_from(conn);
        }
        if spare || self.drain.is_draining() {
            self.request_drain(conn);
        }
    }

    pub(super) fn connection_closed(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.table.remove(&conn) {
            for id in connection.open.into_values().collect::<BTreeSet<_>>() {
                self.caller_gone(&id);
            }
        }
    }

    /// Nothing more comes from a connection: it is closed once what is open on it is answered. Until then it is asked
    /// to drain, which costs a peer that reads nothing, and makes one that is gone altogether answer with a reset.
    pub(super) fn connection_half_closed(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.table.get_mut(&conn) else { return };
        connection.ended = true;
        if !connection.open.is_empty() {
            self.request_drain(conn);
        }
        self.close_if_done(conn);
    }

    /// A connection said no whole message in its time: it is closed once it is owed nothing, unless one comes yet.
    pub(super) fn connection_late(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.table.get_mut(&conn) {
            connection.late = true;
            self.close_if_done(conn);
        }
    }

    /// Closes a connection from which nothing more is to come, once it is owed nothing.
    pub(super) fn close_if_done(&mut self, conn: ConnectionId) {
        match self.connections.table.get(&conn) {
            Some(connection) if !connection.open.is_empty() => {}
            Some(connection) if connection.ended => self.effects.push(Effect::CloseConnection(conn)),
            Some(connection) if connection.late => {
                self.effects.push(Effect::CloseLateConnection {
                    connection: conn,
                    messages_received: connection.taken,
                });
            }
            // What is on its way from it yet is answered first.
            Some(connection) if connection.refused => self.close_if_idle(conn),
            _ => {}
        }
    }

    pub(super) fn request_drain(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.table.get_mut(&conn).filter(|c| c.draining.is_none()) {
            connection.draining = Some(self.timestamp.now);
            self.effects.push(Effect::RequestDrain(conn));
        }
    }

    pub(super) fn close_if_idle(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.table.get_mut(&conn) {
            connection.closing = Some(self.timestamp.now);
            self.effects
                .push(Effect::CloseIdleConnection { connection: conn, messages_received: connection.taken });
        }
    }

    /// Idle connections are asked to drain, which no request can cross unanswered, and closed only if their
    /// peers don't. Looks at some of those whose time may have come; whether there may be more.
    pub(super) fn drain_idle_connections(&mut self) -> bool {
        let (now, mut budget) = (self.timestamp.now, LOOKS);
        let idle = self
            .connections
            .idle_timeout
            .map(|idle| if idle.0 == 0 { self.settings.specifics.idle } else { idle });
        loop {
            let conn = match self.connections.idle_checks.next_due(now, &mut budget) {
                DueEntry::Entry(conn) => conn,
                DueEntry::None => return false,
                DueEntry::Later => return true,
            };
            let Some(connection) = self.connections.table.get(&conn) else { continue };
            let rested = idle.map(|idle| time_after(connection.last, idle));
            let again = connection.draining.map(|since| time_after(since, DRAIN_PATIENCE)).or(rested);
            let again = again.filter(|at| *at > now).unwrap_or(time_after(now, LOOK_AGAIN));
            self.connections.idle_checks.insert(again.min(time_after(now, LOOK_AGAIN)), conn);
            let quiet = connection.open.is_empty() && rested.is_some_and(|at| at <= now);
            match connection.draining {
                None if quiet => self.request_drain(conn),
                Some(since)
                    if quiet && time_after(since, DRAIN_PATIENCE) <= now && !self.drain.is_draining() =>
                {
                    self.close_if_idle(conn)
                }
                _ => {}
            }
        }
    }
}

/// Whether a connection has nothing open, and said its last word then.
fn rests(
    connections: &BTreeMap<ConnectionId, Connection>,
    conn: ConnectionId,
    since: Time,
    spoke: bool,
) -> bool {
    connections.get(&conn).is_some_and(|c| c.open.is_empty() && c.last == since && c.spoke == spoke)
}
