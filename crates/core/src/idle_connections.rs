//! An index of idle connections that finds the longest-idle one without checking all of them for each new connection.
//!
//! A connection is added whenever it becomes idle. It is not removed when it is used again: its entry is stale then,
//! and is dropped when it reaches the front. Stale entries are removed once they outnumber the connections, so that the
//! index stays within twice the size of the table, and the cost is constant for each message.

use crate::messages::ConnectionId;
use gradepin_admission::Time;
use std::collections::VecDeque;

/// Number of entries beyond twice the connections that trigger the removal of stale ones.
const STALE_ENTRY_SLACK: usize = 64;

/// A connection that became idle, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct IdleEntry {
    /// When the connection became idle.
    pub since: Time,
    /// Id of the connection.
    pub connection: ConnectionId,
}

/// The longest-idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LongestIdle {
    /// Longest-idle connection of those that have sent a message.
    pub with_messages: Option<IdleEntry>,
    /// Longest-idle connection of those that never have.
    pub silent: Option<IdleEntry>,
}

/// Idle connections, in the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    /// Connections that have sent a message.
    with_messages: VecDeque<IdleEntry>,
    /// Connections that never have.
    silent: VecDeque<IdleEntry>,
}

impl IdleConnections {
    /// Adds a connection that became idle. Times must not decrease from call to call.
    pub(crate) fn add(&mut self, entry: IdleEntry, sent_message: bool) {
        if sent_message { &mut self.with_messages } else { &mut self.silent }.push_back(entry);
    }

    /// Returns the longest-idle connections. `is_current` says whether an entry of a connection that did or didn't send
    /// a message is still valid; `skip` excludes a connection for now.
    pub(crate) fn longest(
        &mut self,
        is_current: impl Fn(IdleEntry, bool) -> bool,
        skip: impl Fn(ConnectionId) -> bool,
    ) -> LongestIdle {
        LongestIdle {
            with_messages: first_current(&mut self.with_messages, |entry| is_current(entry, true), &skip),
            silent: first_current(&mut self.silent, |entry| is_current(entry, false), &skip),
        }
    }

    /// Removes stale entries once they outnumber the connections.
    pub(crate) fn drop_stale(&mut self, connections: usize, is_current: impl Fn(IdleEntry, bool) -> bool) {
        for (queue, sent_message) in [(&mut self.with_messages, true), (&mut self.silent, false)] {
            if queue.len() > 2 * connections + STALE_ENTRY_SLACK {
                queue.retain(|entry| is_current(*entry, sent_message));
            }
        }
    }
}

/// Returns the first current entry that isn't skipped, and drops stale ones from the front.
fn first_current(
    queue: &mut VecDeque<IdleEntry>,
    is_current: impl Fn(IdleEntry) -> bool,
    skip: impl Fn(ConnectionId) -> bool,
) -> Option<IdleEntry> {
    while queue.front().is_some_and(|entry| !is_current(*entry)) {
        queue.pop_front();
    }
    queue.iter().find(|entry| !skip(entry.connection) && is_current(**entry)).copied()
}

#[cfg(test)]
mod tests;
