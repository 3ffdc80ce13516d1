//! The listeners of all front ends and the connection slots that they share.
//!
//! Accepts one connection at a time, or reports why none was accepted; [`super::event_loop`] acts on the result.
//! Limits: all front ends together have `max_connections` slots, plus `RESERVED_CONNECTIONS` on the first one. Every
//! other front end has at most half of the slots, because its clients open a connection for each request and must not
//! crowd out those of the first.

use super::connection::Connection;
use super::listener::Listener;
use super::protocol::Protocol;
use gradepin_core::config::RESERVED_CONNECTIONS;
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Pause before accepting is retried after the system had no descriptor or no memory.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(50);
/// Every front end but the first may use all slots divided by this number.
const SECONDARY_SLOT_DIVISOR: usize = 2;

/// A listener and its quota of the slots.
struct ListenerEntry {
    /// `None` once accepting has stopped.
    listener: Option<Listener>,
    protocol: Arc<dyn Protocol>,
    max_connections: usize,
    open_connections: Arc<AtomicUsize>,
    /// Whether connections may be queued on the listener.
    may_have_queued: bool,
    /// End of the pause after a shortage of descriptors or memory.
    paused_until: Option<Instant>,
    /// Number of accepts that fail as if the system had no descriptors.
    #[cfg(test)]
    pub(super) simulated_shortages: usize,
}

impl ListenerEntry {
    /// Accepts one connection; `None` once accepting has stopped.
    fn accept(&mut self) -> Option<io::Result<OwnedFd>> {
        #[cfg(test)]
        if let Some(remaining) = self.simulated_shortages.checked_sub(1) {
            self.simulated_shortages = remaining;
            return Some(Err(rustix::io::Errno::NFILE.into()));
        }
        self.listener.as_ref().map(Listener::accept)
    }
}

/// Result of one attempt to accept a connection.
pub(super) enum Accepted {
    /// A connection was accepted.
    Connection {
        /// The connection's socket.
        stream: OwnedFd,
        /// Whether all regular slots were in use, so that this connection would use a reserved one.
        slots_full: bool,
    },
    /// The attempt was interrupted, or the connection was reset before it was accepted: retry.
    Interrupted,
    /// No connection is queued, or accepting has stopped.
    NoneQueued,
    /// No slot is free.
    NoSlot,
    /// The system has no descriptor or no memory; accepting pauses.
    Shortage {
        /// Error of the system; `None` if an earlier attempt already returned one and the shortage persists.
        error: Option<io::Error>,
    },
}

/// The listeners of all front ends, by index.
pub(super) struct Acceptor {
    entries: Vec<ListenerEntry>,
    max_connections: usize,
}

impl Acceptor {
    /// Creates an acceptor of these front ends; the first one receives the health checks.
    ///
    /// # Errors
    /// If a listener can't be made non-blocking.
    pub(super) fn new(
        frontends: Vec<(Arc<dyn Protocol>, Listener)>,
        max_connections: usize,
    ) -> io::Result<Self> {
        let mut entries = Vec::with_capacity(frontends.len());
        for (protocol, listener) in frontends {
            listener.set_nonblocking()?;
            let divisor = if entries.is_empty() { 1 } else { SECONDARY_SLOT_DIVISOR };
            entries.push(ListenerEntry {
                listener: Some(listener),
                protocol,
                max_connections: max_connections / divisor,
                open_connections: Arc::default(),
                may_have_queued: true,
                paused_until: None,
                #[cfg(test)]
                simulated_shortages: 0,
            });
        }
        Ok(Self { entries, max_connections })
    }

    /// Number of listeners.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The listeners that still accept, with their indexes.
    pub(super) fn listeners(&self) -> impl Iterator<Item = (usize, &Listener)> {
        let entries = self.entries.iter().enumerate();
        entries.filter_map(|(index, entry)| Some((index, entry.listener.as_ref()?)))
    }

    /// Whether any listener still accepts.
    pub(super) fn is_accepting(&self) -> bool {
        self.entries.iter().any(|entry| entry.listener.is_some())
    }

    /// Whether connections may be queued on any listener.
    pub(super) fn may_have_queued(&self) -> bool {
        self.entries.iter().any(|entry| entry.may_have_queued)
    }

    /// Records an event of a listener: connections may be queued. False if there is no listener with this index.
    pub(super) fn set_ready(&mut self, index: usize) -> bool {
        let Some(entry) = self.entries.get_mut(index) else { return false };
        entry.may_have_queued = entry.listener.is_some();
        true
    }

    /// Marks every listener as possibly having queued connections, without an event.
    pub(super) fn set_all_ready(&mut self) {
        for entry in &mut self.entries {
            entry.may_have_queued = entry.listener.is_some();
        }
    }

    /// Number of open connections of all front ends.
    pub(super) fn open_connections(&self) -> usize {
        self.entries.iter().map(|entry| entry.open_connections.load(Ordering::Relaxed)).sum()
    }

    /// Whether all regular slots are in use.
    pub(super) fn is_full(&self) -> bool {
        self.open_connections() >= self.max_connections
    }

    /// Whether accepting on a listener is paused after a shortage.
    pub(super) fn is_paused(&self, index: usize, now: Instant) -> bool {
        self.entries[index].paused_until.is_some_and(|until| now < until)
    }

    /// Whether the latest attempt to accept on a listener met a shortage of descriptors or memory.
    pub(super) fn has_shortage(&self, index: usize) -> bool {
        self.entries[index].paused_until.is_some()
    }

    /// Accepts one connection from a listener, if one is queued and a slot is free.
    pub(super) fn accept(&mut self, index: usize, now: Instant) -> Accepted {
        let all_connections = self.open_connections();
        let slots_full = all_connections >= self.max_connections;
        // Only the first front end has reserved slots, because it receives the health checks.
        let reserved_slots = if index == 0 { RESERVED_CONNECTIONS } else { 0 };
        let entry = &mut self.entries[index];
        if !entry.may_have_queued {
            return Accepted::NoneQueued;
        }
        let all_slots_full = all_connections >= self.max_connections + reserved_slots;
        let own_slots_full =
            entry.open_connections.load(Ordering::Relaxed) >= entry.max_connections + reserved_slots;
        if all_slots_full || own_slots_full {
            return Accepted::NoSlot;
        }
        let Some(accepted) = entry.accept() else { return Accepted::NoneQueued };
        match accepted {
            Ok(stream) => {
                entry.paused_until = None;
                Accepted::Connection { stream, slots_full }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                entry.may_have_queued = false;
                Accepted::NoneQueued
            }
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                Accepted::Interrupted
            }
            Err(e) => {
                let is_new = entry.paused_until.is_none();
                entry.paused_until = Some(now + SHORTAGE_BACKOFF);
                Accepted::Shortage { error: is_new.then_some(e) }
            }
        }
    }

    /// Wraps a socket accepted on a listener; the connection uses one of the listener's slots until it is dropped.
    pub(super) fn connection(&self, index: usize, stream: OwnedFd) -> Connection {
        let entry = &self.entries[index];
        Connection::new(stream, Arc::clone(&entry.protocol), &entry.open_connections)
    }

    /// Prepares a listener for its close. Returns whether the close would lose the connections queued on it, so that
    /// they must be accepted first.
    pub(super) fn must_empty_queue(&mut self, index: usize) -> bool {
        let entry = &mut self.entries[index];
        let is_exclusive = entry.listener.as_ref().is_some_and(Listener::is_exclusive);
        if is_exclusive {
            entry.may_have_queued = true;
            entry.paused_until = None;
        }
        is_exclusive
    }

    /// Removes a listener, so that it accepts no more connections.
    pub(super) fn take_listener(&mut self, index: usize) -> Option<Listener> {
        let entry = &mut self.entries[index];
        entry.may_have_queued = false;
        entry.listener.take()
    }

    /// Has the next accepts on a listener fail as if the system had no descriptors.
    #[cfg(test)]
    pub(super) fn simulate_shortages(&mut self, index: usize, count: usize) {
        self.entries[index].simulated_shortages = count;
    }

    /// Clears the mark that connections may be queued on a listener, as an interrupted accept does.
    #[cfg(test)]
    pub(super) fn clear_ready(&mut self, index: usize) {
        self.entries[index].may_have_queued = false;
    }
}
