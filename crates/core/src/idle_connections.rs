//! Which connection has rested longest: an index in place of a look at all of them for each newcomer.
//!
//! A connection is put in whenever it comes to rest. It is not taken out when it speaks again; the entry is then stale
//! and is dropped when it comes to the front. Stale ones are swept out when they outnumber the connections, so the
//! memory stays within twice the places, and each message pays for a constant part of it.

use crate::messages::ConnectionId;
use gradepin_admission::Time;
use std::collections::VecDeque;

/// Entries that are not worth a sweep.
const FEW: usize = 64;

/// Connections at rest, those that once spoke and those that never did, each in the order of their last word.
#[derive(Debug, Default)]
pub struct IdleConnections {
    spoke: VecDeque<(Time, ConnectionId)>,
    silent: VecDeque<(Time, ConnectionId)>,
}

impl IdleConnections {
    /// A connection rests since then. Times must not go back.
    pub fn rests(&mut self, conn: ConnectionId, since: Time, spoke: bool) {
        if spoke { &mut self.spoke } else { &mut self.silent }.push_back((since, conn));
    }

    /// The ones that rested longest among those that spoke and among those that never did. `holds` says whether one
    /// still rests since a time; `skip` leaves one out for now.
    pub fn longest(
        &mut self,
        holds: impl Fn(ConnectionId, Time, bool) -> bool,
        skip: impl Fn(ConnectionId) -> bool,
    ) -> [Option<(Time, ConnectionId)>; 2] {
        [(&mut self.spoke, true), (&mut self.silent, false)].map(|(queue, spoke)| {
            while queue.front().is_some_and(|&(since, conn)| !holds(conn, since, spoke)) {
                queue.pop_front();
            }
            queue.iter().find(|(since, conn)| !skip(*conn) && holds(*conn, *since, spoke)).copied()
        })
    }

    /// Sweeps stale entries out once they outnumber so many connections.
    pub fn tidy(&mut self, connections: usize, holds: impl Fn(ConnectionId, Time, bool) -> bool) {
        for (queue, spoke) in [(&mut self.spoke, true), (&mut self.silent, false)] {
            if queue.len() > 2 * connections + FEW {
                queue.retain(|&(since, conn)| holds(conn, since, spoke));
            }
        }
    }
}

#[cfg(test)]
mod tests;
