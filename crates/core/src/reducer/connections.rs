//! The table of client connections: who is there, what each has open, which rest, and which make room for newcomers.
//! Not here: sockets, which are the fronts', and the requests themselves, of which a connection knows ids alone.

use super::{MS, Reducer};
use crate::messages::{ConnectionId, Effect, SequenceId};
use crate::resting::Resting;
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
    room: usize,
    most: usize,
    /// Those with nothing open, and when to look at which whether it is idle.
    resting: Resting,
    looks: TimerWheel<ConnectionId>,
    /// How long one may be idle, as the module says; none before it says so.
    idle: Option<Span>,
}

impl Connections {
    /// For so many connections at the most.
    pub(super) fn new(most: usize) -> Self {
        let (table, resting, looks) = (BTreeMap::new(), Resting::default(), TimerWheel::default());
        Self { table, room: most - most / 8, most, resting, looks, idle: None }
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
    fn opened(&mut self, conn: ConnectionId, now: Time) {
        self.table.insert(conn, Connection { opened: now, last: now, ..Connection::default() });
        self.resting.rests(conn, now, false);
        self.looks.insert(time_after(now, LOOK_AGAIN), conn);
    }

    /// A whole message was taken in from it.
    pub(super) fn took(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.table.get_mut(&conn) {
            connection.taken += 1;
            connection.late = false;
        }
    }

    /// Nothing more is read from it until then.
    pub(super) fn paced(&mut self, conn: ConnectionId, until: Time) {
        if let Some(connection) = self.table.get_mut(&conn) {
            connection.paced = Some(until);
        }
    }

    /// The module says how long one may be idle.
    pub(super) fn idle_limit(&mut self, idle: Span) {
        self.idle = Some(idle);
    }

    /// It has said something now.
    pub(super) fn touch(&mut self, conn: ConnectionId, now: Time) -> Option<&mut Connection> {
        let connection = self.table.get_mut(&conn)?;
        connection.last = now;
        connection.spoke = true;
        Some(connection)
    }

    /// It has said something, or was answered, and may rest from now on.
    pub(super) fn rest(&mut self, conn: ConnectionId, now: Time) {
        if self.touch(conn, now).is_some_and(|connection| connection.open.is_empty()) {
            self.resting.rests(conn, now, true);
        }
    }

    /// A request of it is answered.
    pub(super) fn answered(&mut self, conn: ConnectionId, seq: SequenceId, now: Time) {
        if let Some(connection) = self.table.get_mut(&conn) {
            connection.open.remove(&seq);
        }
        self.rest(conn, now);
    }

    /// Nothing more is taken from it.
    pub(super) fn refuse(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.table.get_mut(&conn) {
            connection.refused = true;
        }
    }

    /// Near the limit, a newcomer takes the place of a connection with nothing open: of the one that rested longest,
    /// and one that never said anything counts as if for twice as long. It may have sent what was not read yet, so
    /// it is closed only where that is not so, and one that has only just come or spoken stays. Guards against silent
    /// connections that keep all others, health checks too, out of a full table.
    fn makes_room(&mut self, now: Time) -> Option<ConnectionId> {
        if self.table.len() < self.room {
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
    pub(super) fn rested(&self, now: Time, wanted: impl Fn(Option<Time>, Time) -> bool) -> Vec<ConnectionId> {
        let rested = self.table.iter().filter(|(_, c)| c.open.is_empty() && !c.closes(now));
        rested.filter(|(_, c)| wanted(c.draining, c.last)).map(|(conn, _)| *conn).collect()
    }

    /// Forgets what the index of resting ones holds of others.
    pub(super) fn tidy(&mut self) {
        let connections = &self.table;
        self.resting.tidy(connections.len(), |conn, since, spoke| rests(connections, conn, since, spoke));
    }
}

impl Reducer {
    /// A connection was accepted, and may take the place of another.
    pub(super) fn opened(&mut self, conn: ConnectionId) {
        if let Some(rested) = self.conns.makes_room(self.moment.now) {
            self.close_resting(rested);
        }
        let spare = self.conns.len() >= self.conns.most;
        self.conns.opened(conn, self.moment.now);
        if spare {
            // A health check is answered there and a request turned away; then it makes room for the next.
            self.conns.refuse(conn);
        }
        if spare || self.drain.is_told() {
            self.ask_to_drain(conn);
        }
    }

    pub(super) fn closed(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.conns.table.remove(&conn) {
            for id in connection.open.into_values().collect::<BTreeSet<_>>() {
                self.gone(&id);
            }
        }
    }

    /// Nothing more comes from a connection: it is closed once what is open on it is answered. Until then it is asked
    /// to drain, which costs a peer that reads nothing, and makes one that is gone altogether answer with a reset.
    pub(super) fn input_ended(&mut self, conn: ConnectionId) {
        let Some(connection) = self.conns.table.get_mut(&conn) else { return };
        connection.ended = true;
        if !connection.open.is_empty() {
            self.ask_to_drain(conn);
        }
        self.close_if_over(conn);
    }

    /// A connection said no whole message in its time: it is closed once it is owed nothing, unless one comes yet.
    pub(super) fn late(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.conns.table.get_mut(&conn) {
            connection.late = true;
            self.close_if_over(conn);
        }
    }

    /// Closes a connection from which nothing more is to come, once it is owed nothing.
    pub(super) fn close_if_over(&mut self, conn: ConnectionId) {
        match self.conns.table.get(&conn) {
            Some(connection) if !connection.open.is_empty() => {}
            Some(connection) if connection.ended => self.effects.push(Effect::CloseConnection(conn)),
            Some(connection) if connection.late => {
                self.effects.push(Effect::CloseLateConnection {
                    connection: conn,
                    messages_received: connection.taken,
                });
            }
            // What is on its way from it yet is answered first.
            Some(connection) if connection.refused => self.close_resting(conn),
            _ => {}
        }
    }

    pub(super) fn ask_to_drain(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.conns.table.get_mut(&conn).filter(|c| c.draining.is_none()) {
            connection.draining = Some(self.moment.now);
            self.effects.push(Effect::RequestDrain(conn));
        }
    }

    pub(super) fn close_resting(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.conns.table.get_mut(&conn) {
            connection.closing = Some(self.moment.now);
            self.effects
                .push(Effect::CloseIdleConnection { connection: conn, messages_received: connection.taken });
        }
    }

    /// Idle connections are asked to drain, which no request can cross unanswered, and closed only if their
    /// peers don't. Looks at some of those whose time may have come; whether there may be more.
    pub(super) fn close_idle(&mut self) -> bool {
        let (now, mut budget) = (self.moment.now, LOOKS);
        let idle = self.conns.idle.map(|idle| if idle.0 == 0 { self.settings.specifics.idle } else { idle });
        loop {
            let conn = match self.conns.looks.next_due(now, &mut budget) {
                DueEntry::Entry(conn) => conn,
                DueEntry::None => return false,
                DueEntry::Later => return true,
            };
            let Some(connection) = self.conns.table.get(&conn) else { continue };
            let rested = idle.map(|idle| time_after(connection.last, idle));
            let again = connection.draining.map(|since| time_after(since, DRAIN_PATIENCE)).or(rested);
            let again = again.filter(|at| *at > now).unwrap_or(time_after(now, LOOK_AGAIN));
            self.conns.looks.insert(again.min(time_after(now, LOOK_AGAIN)), conn);
            let quiet = connection.open.is_empty() && rested.is_some_and(|at| at <= now);
            match connection.draining {
                None if quiet => self.ask_to_drain(conn),
                Some(since) if quiet && time_after(since, DRAIN_PATIENCE) <= now && !self.drain.is_told() => {
                    self.close_resting(conn)
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
