//! The rules that each connection and request must satisfy, whatever decides about them: one final response to each request
//! read, no run of a refused request, no close while a response is owed, no exit while messages may still be read.
//!
//! The guard follows the life of connections and requests by itself, from what arrives and what is sent, and knows nothing
//! of the reducer's own tables. The reducer asks it before it sends a response, starts a run, closes a connection or exits. A
//! denied action is a defect of the server; it is counted, logged with its ids, and not carried out, except the exit.
//!
//! A connection goes from open to reading ended (by its peer, or by the shell at the end of a shutdown), closing (its
//! responses are flushed and its sending half is shut) and closed. A request goes from owed to answered, refused or given
//! up by its caller.

use crate::messages::{ConnectionId, SequenceId};
use gradepin_admission::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// Progress of a connection that is not fully closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionPhase {
    /// Messages are read.
    Open,
    /// No more messages are read; responses are still sent.
    ReadingEnded,
    /// The shell flushes the responses, shuts its half and waits for the peer's end.
    Closing,
}

/// Progress of a request that is open or running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestPhase {
    /// A response is owed.
    Owed,
    /// It was served or has failed.
    Answered,
    /// It was refused, with the promise that it never ran.
    Refused,
    /// Its caller no longer waits.
    GivenUp,
}

/// Why an action is denied.
#[derive(Debug, Clone, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Violation {
    /// A response to a request that is owed none, because it was answered, given up or never read.
    #[error(
        "connection {connection}: expected a response that is owed, got one to sequence number {sequence}"
    )]
    NotOwed {
        /// Connection of the response.
        connection: ConnectionId,
        /// Sequence number of the request.
        sequence: SequenceId,
    },
    /// A response on a connection that is being closed, which would not be sent.
    #[error(
        "connection {connection}: expected an open connection, got a response to {sequence} while it is closed"
    )]
    ResponseWhileClosing {
        /// Connection of the response.
        connection: ConnectionId,
        /// Sequence number of the request.
        sequence: SequenceId,
    },
    /// A close of a connection whose messages are still read, other than a close on the condition that it is idle.
    #[error("connection {connection}: expected the end of reading before the close")]
    CloseWhileReading {
        /// The connection.
        connection: ConnectionId,
    },
    /// A close of a connection on which responses are owed.
    #[error("connection {connection}: expected all requests to be answered before the close, {owed} are not")]
    CloseWhileOwed {
        /// The connection.
        connection: ConnectionId,
        /// Number of requests that are owed a response.
        owed: usize,
    },
    /// A run of a request that was refused or is not known.
    #[error("request {}: expected a request that may run, got one that {found}", id.0)]
    StartNotAllowed {
        /// The request.
        id: RequestId,
        /// What is known about it.
        found: &'static str,
    },
    /// An exit while messages of a connection are still read.
    #[error("expected the end of reading before the exit, got {connections} connections that are read")]
    ExitWhileReading {
        /// Number of such connections.
        connections: usize,
    },
    /// An exit while responses are owed.
    #[error("expected all requests to be answered before the exit, {owed} are not")]
    ExitWhileOwed {
        /// Number of requests that are owed a response.
        owed: usize,
    },
}

/// How a connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseKind {
    /// On the condition that nothing of it is unread, which the shell checks.
    IfIdle,
    /// Whatever its peer sends, as no more messages of it are read.
    AfterReading,
}

/// A connection that is not fully closed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GuardedConnection {
    phase: ConnectionPhase,
    /// Sequence numbers of the requests that are owed a response. As many as the reducer and the queue of messages allow.
    owed: BTreeSet<SequenceId>,
}

/// The guard of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LifecycleGuard {
    connections: BTreeMap<ConnectionId, GuardedConnection>,
    requests: BTreeMap<RequestId, RequestPhase>,
    violations: u64,
}

impl LifecycleGuard {
    /// Number of denied actions.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// A connection was accepted.
    pub fn connection_opened(&mut self, connection: ConnectionId) {
        let state = GuardedConnection { phase: ConnectionPhase::Open, owed: BTreeSet::new() };
        self.connections.insert(connection, state);
    }

    /// A message that is owed a response was read.
    pub fn message_read(&mut self, connection: ConnectionId, sequence: SequenceId) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.owed.insert(sequence);
        }
    }

    /// A request with this id may run from now on.
    pub fn request_accepted(&mut self, id: &RequestId) {
        self.requests.insert(id.clone(), RequestPhase::Owed);
    }

    /// The caller cancelled a request.
    pub fn request_cancelled(&mut self, connection: ConnectionId, sequence: SequenceId) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.owed.remove(&sequence);
        }
    }

    /// The caller of an accepted request no longer waits.
    pub fn caller_gone(&mut self, id: &RequestId) {
        if let Some(phase) = self.requests.get_mut(id).filter(|phase| **phase == RequestPhase::Owed) {
            *phase = RequestPhase::GivenUp;
        }
    }

    /// An accepted request is neither open nor running any more.
    pub fn request_forgotten(&mut self, id: &RequestId) {
        self.requests.remove(id);
    }

    /// No more messages of a connection are read.
    pub fn reading_ended(&mut self, connection: ConnectionId) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.phase = state.phase.max(ConnectionPhase::ReadingEnded);
        }
    }

    /// No more messages of any connection are read.
    pub fn all_reading_ended(&mut self) {
        for state in self.connections.values_mut() {
            state.phase = state.phase.max(ConnectionPhase::ReadingEnded);
        }
    }

    /// A connection is closed. Nobody waits for its requests.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Asks to send the response to a message; nothing is sent if its connection is gone.
    ///
    /// # Errors
    /// If no response is owed, or the connection is being closed.
    pub fn send_response(&mut self, connection: ConnectionId, sequence: SequenceId) -> Result<(), Violation> {
        let Some(state) = self.connections.get_mut(&connection) else { return Ok(()) };
        let is_owed = state.owed.remove(&sequence);
        let is_closing = state.phase == ConnectionPhase::Closing;
        match (is_owed, is_closing) {
            (true, false) => Ok(()),
            (true, true) => self.deny(Violation::ResponseWhileClosing { connection, sequence }),
            (false, _) => self.deny(Violation::NotOwed { connection, sequence }),
        }
    }

    /// Notes the final response of an accepted request, and whether it promises that the request never ran.
    pub fn request_answered(&mut self, id: &RequestId, is_refusal: bool) {
        if let Some(phase) = self.requests.get_mut(id) {
            *phase = if is_refusal { RequestPhase::Refused } else { RequestPhase::Answered };
        }
    }

    /// Asks to start the run of a request, for the first time or again.
    ///
    /// # Errors
    /// If the request was refused, or is neither open nor running.
    pub fn start_run(&mut self, id: &RequestId) -> Result<(), Violation> {
        let found = match self.requests.get(id) {
            Some(RequestPhase::Owed | RequestPhase::Answered | RequestPhase::GivenUp) => return Ok(()),
            Some(RequestPhase::Refused) => "was refused",
            None => "is not open",
        };
        self.deny(Violation::StartNotAllowed { id: id.clone(), found })
    }

    /// Asks to close a connection.
    ///
    /// # Errors
    /// If a response is owed on it, or messages of it are still read and the close does not depend on that.
    pub fn close(&mut self, connection: ConnectionId, kind: CloseKind) -> Result<(), Violation> {
        let Some(state) = self.connections.get_mut(&connection) else { return Ok(()) };
        let owed = state.owed.len();
        if owed > 0 {
            return self.deny(Violation::CloseWhileOwed { connection, owed });
        }
        match (kind, state.phase) {
            // The shell may find unread bytes, and then the connection stays open.
            (CloseKind::IfIdle, _) => Ok(()),
            (CloseKind::AfterReading, ConnectionPhase::Open) => {
                self.deny(Violation::CloseWhileReading { connection })
            }
            (CloseKind::AfterReading, _) => {
                state.phase = ConnectionPhase::Closing;
                Ok(())
            }
        }
    }

    /// Asks to end the process.
    ///
    /// # Errors
    /// If messages may still be read, or responses are owed.
    pub fn exit(&mut self) -> Result<(), Violation> {
        let owed: usize = self.connections.values().map(|state| state.owed.len()).sum();
        if owed > 0 {
            return self.deny(Violation::ExitWhileOwed { owed });
        }
        let is_read = |state: &&GuardedConnection| state.phase == ConnectionPhase::Open;
        match self.connections.values().filter(is_read).count() {
            0 => Ok(()),
            connections => self.deny(Violation::ExitWhileReading { connections }),
        }
    }

    fn deny(&mut self, violation: Violation) -> Result<(), Violation> {
        self.violations += 1;
        Err(violation)
    }
}

#[cfg(test)]
mod tests;
