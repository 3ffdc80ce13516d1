//! An index of idle connections: which one is idle for longest is found without a look at all of them for each newcomer.
//!
//! A connection is added whenever it becomes idle. It is not removed when it is used again: its entry is stale then, and is
//! dropped when it comes to the front. Stale entries are swept out once they outnumber the connections, so the index stays
//! within twice the table, and each message pays for a constant part of it.

use crate::messages::ConnectionId;
use gradepin_admission::Time;
use std::collections::VecDeque;

/// A sweep takes place when so many entries are beyond the bound.
const MIN_SWEPT_ENTRIES: usize = 64;

/// A connection that became idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct IdleEntry {
    /// Since when.
    pub since: Time,
    /// Which one.
    pub connection: ConnectionId,
}

/// The connections that are idle for longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LongestIdle {
    /// Of those that have sent a message.
    pub with_messages: Option<IdleEntry>,
    /// Of those that never have.
    pub silent: Option<IdleEntry>,
}

/// Idle connections, each queue in the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    /// Those that have sent a message.
    with_messages: VecDeque<IdleEntry>,
    /// Those that never have.
    silent: VecDeque<IdleEntry>,
}

impl IdleConnections {
    /// A connection became idle. Times must not go back.
    pub(crate) fn add(&mut self, entry: IdleEntry, sent_message: bool) {
        if sent_message { &mut self.with_messages } else { &mut self.silent }.push_back(entry);
    }

    /// The connections that are idle for longest. `holds` says whether an entry of a connection that did or didn't send a
    /// message is still true; `skip` leaves a connection out for now.
    pub(crate) fn longest(
        &mut self,
        holds: impl Fn(IdleEntry, bool) -> bool,
        skip: impl Fn(ConnectionId) -> bool,
    ) -> LongestIdle {
        LongestIdle {
            with_messages: first(&mut self.with_messages, |entry| holds(entry, true), &skip),
            silent: first(&mut self.silent, |entry| holds(entry, false), &skip),
        }
    }

    /// Sweeps stale entries out once they outnumber the connections.
    pub(crate) fn drop_stale(&mut self, connections: usize, holds: impl Fn(IdleEntry, bool) -> bool) {
        for (queue, sent_message) in [(&mut self.with_messages, true), (&mut self.silent, false)] {
            if queue.len() > 2 * connections + MIN_SWEPT_ENTRIES {
                queue.retain(|entry| holds(*entry, sent_message));
            }
        }
    }
}

/// The first entry that holds and isn't skipped; drops stale ones before it from the front.
fn first(
    queue: &mut VecDeque<IdleEntry>,
    holds: impl Fn(IdleEntry) -> bool,
    skip: impl Fn(ConnectionId) -> bool,
) -> Option<IdleEntry> {
    while queue.front().is_some_and(|entry| !holds(*entry)) {
        queue.pop_front();
    }
    queue.iter().find(|entry| !skip(entry.connection) && holds(**entry)).copied()
}

#[cfg(test)]
mod tests;
