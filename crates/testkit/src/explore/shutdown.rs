//! Exhaustive exploration of the end of a process: clients that send until their connections end, a reading thread, a queue
//! and the reducer's order of a shutdown, in every order of read, answer, close, signal and exit. It uses the daemon's own
//! `Shutdown` and `LifecycleGuard`.
//!
//! Nothing is assumed of the speed of anybody: time may pass over every due time before the next step is taken, as in a
//! process that is stopped for a while, and messages may arrive at any moment. Only the order within a queue is given.

use gradepin_admission::{Span, Time};
use gradepin_core::lifecycle_guard::{CloseKind, LifecycleGuard};
use gradepin_core::messages::{ConnectionId, SequenceId};
use gradepin_core::shutdown::{RemainingWork, Shutdown, ShutdownStep};
use gradepin_core::stop_times::StopTimes;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const MS: u64 = 1_000_000;
/// Time from the notice to the stop.
const STOP_AFTER: Span = Span(4_000 * MS);
/// Times that pass, in ms after the notice: around each due time, and past the stop.
const TIMES_MS: [u64; 7] = [0, 1_000, 3_750, 3_850, 4_000, 4_900, 6_000];
const NO_UNANSWERED: &str = "all that was read is answered before the exit, and no invariant is violated";
const EXITS: &str = "the process exits";
const CLOSES_BUSY: &str = "a connection is closed that was in use until the end of reading";

/// Rule that an exploration leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    /// No rule is left out.
    Nothing,
    /// The end of reading is reported before the last messages, as if it were decided by the reducer alone.
    TheEndOfReading,
    /// Connections are closed without answering what is owed.
    TheLastAnswers,
}

/// Bounds of an exploration.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Number of connections.
    pub connections: usize,
    /// Number of messages that each client sends at most.
    pub messages: SequenceId,
    /// Whether the listening socket is shared.
    pub shares_listener: bool,
    /// Rule to leave out.
    pub without: Without,
}

/// Input in the reducer's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Queued {
    /// A message of a connection.
    Message(ConnectionId, SequenceId),
    /// No more connections are accepted.
    StoppedAccepting,
    /// No more messages are read.
    StoppedReading,
    /// A connection is closed.
    Closed(ConnectionId),
}

/// A connection as its client and the reading thread see it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Socket {
    /// Number of messages sent so far.
    sent: SequenceId,
    /// Messages that were sent and not read.
    unread: Vec<SequenceId>,
    /// Messages that were read.
    read: BTreeSet<SequenceId>,
    /// Messages that were answered.
    answered: BTreeSet<SequenceId>,
    /// Whether the server has shut its half.
    shut: bool,
    closed: bool,
}

/// Complete state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    sockets: Vec<Socket>,
    queue: Vec<Queued>,
    shutdown: Shutdown,
    guard: LifecycleGuard,
    /// Messages that the reducer owes an answer.
    owed: BTreeSet<(ConnectionId, SequenceId)>,
    /// Connections that the reducer knows.
    open: BTreeSet<ConnectionId>,
    /// Index of the current time.
    time: usize,
    stop_reading: bool,
    reading_ended: bool,
    exited: bool,
}

/// Event of the model. The names are printed in counterexamples.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A client sends a message.
    Send(usize),
    /// The reading thread reads a message.
    Read(usize),
    /// The reading thread ends reading, as it was asked.
    EndReading,
    /// The reducer handles its queue.
    Handle,
    /// The reducer takes the steps of the shutdown that are due, by what it has handled.
    Step,
    /// A request is answered.
    Answer(ConnectionId, SequenceId),
    /// A client closes its half, after the server has closed its own.
    PeerCloses(usize),
    /// The shutdown notice arrives.
    Notice,
    /// Time passes.
    Pass,
}

impl State {
    fn now(&self) -> Time {
        Time(TIMES_MS[self.time] * MS)
    }

    fn read_all(&mut self, index: usize) {
        let socket = &mut self.sockets[index];
        let messages = std::mem::take(&mut socket.unread);
        socket.read.extend(&messages);
        let connection = index as ConnectionId;
        self.queue.extend(messages.into_iter().map(|sequence| Queued::Message(connection, sequence)));
    }

    fn answer(&mut self, connection: ConnectionId, sequence: SequenceId) {
        self.owed.remove(&(connection, sequence));
        if self.guard.send_response(connection, sequence).is_ok() {
            self.sockets[connection as usize].answered.insert(sequence);
        }
    }

    fn handle(&mut self, input: Queued) {
        match input {
            Queued::Message(connection, sequence) => {
                self.guard.message_read(connection, sequence);
                self.owed.insert((connection, sequence));
            }
            Queued::StoppedAccepting => self.shutdown.accepting_stopped(),
            Queued::StoppedReading => {
                self.guard.all_reading_ended();
                self.shutdown.reading_stopped();
            }
            Queued::Closed(connection) => {
                self.guard.connection_closed(connection);
                self.open.remove(&connection);
            }
        }
    }

    fn step(&mut self, without: Without) {
        loop {
            let remaining = RemainingWork { open: self.owed.len(), connections: self.open.len() };
            match self.shutdown.next_step(self.now(), remaining) {
                None => return,
                Some(ShutdownStep::StopAccepting) => self.queue.push(Queued::StoppedAccepting),
                Some(ShutdownStep::StopReading) if without == Without::TheEndOfReading => {
                    self.queue.push(Queued::StoppedReading);
                }
                Some(ShutdownStep::StopReading) => self.stop_reading = true,
                Some(ShutdownStep::CloseConnections) => self.close_all(without),
                Some(ShutdownStep::Exit) => {
                    let _ = self.guard.exit();
                    self.exited = true;
                }
            }
        }
    }

    fn close_all(&mut self, without: Without) {
        if without != Without::TheLastAnswers {
            for (connection, sequence) in self.owed.clone() {
                self.answer(connection, sequence);
            }
        }
        for connection in self.open.clone() {
            self.sockets[connection as usize].shut =
                self.guard.close(connection, CloseKind::AfterReading).is_ok();
        }
    }

    fn is_broken(&self) -> bool {
        let is_lost = |socket: &Socket| !socket.closed && socket.read != socket.answered;
        self.guard.violations() > 0 || (self.exited && self.sockets.iter().any(is_lost))
    }
}

impl Model for Bounds {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut guard = LifecycleGuard::default();
        let open: BTreeSet<ConnectionId> = (0..self.connections as ConnectionId).collect();
        open.iter().for_each(|connection| guard.connection_opened(*connection));
        let shutdown = if self.shares_listener { Shutdown::sharing_listener() } else { Shutdown::default() };
        vec![State {
            sockets: vec![Socket::default(); self.connections],
            queue: Vec::new(),
            shutdown,
            guard,
            owed: BTreeSet::new(),
            open,
            time: 0,
            stop_reading: false,
            reading_ended: false,
            exited: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.exited {
            return;
        }
        for (index, socket) in state.sockets.iter().enumerate() {
            if socket.sent < self.messages && !socket.shut && !socket.closed {
                actions.push(Action::Send(index));
            }
            if !socket.unread.is_empty() && !state.reading_ended && !socket.shut {
                actions.push(Action::Read(index));
            }
            if socket.shut && !socket.closed {
                actions.push(Action::PeerCloses(index));
            }
        }
        let is_notified = state.shutdown.times().is_some();
        if state.stop_reading && !state.reading_ended {
            actions.push(Action::EndReading);
        }
        if !is_notified {
            actions.push(Action::Notice);
        }
        if is_notified && state.time + 1 < TIMES_MS.len() {
            actions.push(Action::Pass);
        }
        actions.push(Action::Handle);
        actions.push(Action::Step);
        let owed = state.owed.iter();
        actions.extend(owed.map(|(connection, sequence)| Action::Answer(*connection, *sequence)));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Send(index) => {
                let socket = &mut state.sockets[index];
                socket.sent += 1;
                socket.unread.push(socket.sent);
            }
            Action::Read(index) => state.read_all(index),
            Action::EndReading => {
                (0..self.connections).for_each(|index| state.read_all(index));
                state.reading_ended = true;
                state.queue.push(Queued::StoppedReading);
            }
            Action::Handle => {
                for input in std::mem::take(&mut state.queue) {
                    state.handle(input);
                }
            }
            Action::Step => state.step(self.without),
            Action::Answer(connection, sequence) => state.answer(connection, sequence),
            Action::PeerCloses(index) => {
                state.sockets[index].closed = true;
                state.queue.push(Queued::Closed(index as ConnectionId));
            }
            Action::Notice => state.shutdown.begin(StopTimes::new(Time(0), STOP_AFTER)),
            Action::Pass => state.time += 1,
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_UNANSWERED, |_, state: &State| !state.is_broken()),
            Property::sometimes(EXITS, |_, state: &State| state.exited),
            Property::sometimes(CLOSES_BUSY, |_, state: &State| {
                state.sockets.iter().any(|socket| socket.shut && !socket.unread.is_empty())
            }),
        ]
    }
}

/// Result of an exploration.
#[derive(Debug, Clone)]
pub struct Exploration {
    /// Number of distinct states.
    pub states: usize,
    /// Sequence of events that breaks the rule, if found.
    pub counterexample: Option<Vec<String>>,
    /// Properties that must be reachable but were never seen.
    pub never: Vec<&'static str>,
    /// Whether all states within the bounds were explored.
    pub complete: bool,
}

/// Explores all states within the bounds, or as many as the time limit allows.
pub fn explore(bounds: &Bounds, threads: usize, time_limit: Duration) -> Exploration {
    let checker = bounds.clone().checker().threads(threads).timeout(time_limit).spawn_bfs().join();
    let counterexample = checker
        .discovery(NO_UNANSWERED)
        .map(|path| path.into_actions().into_iter().map(|action| format!("{action:?}")).collect());
    let never = [EXITS, CLOSES_BUSY].into_iter().filter(|name| checker.discovery(name).is_none()).collect();
    Exploration { states: checker.unique_state_count(), counterexample, never, complete: checker.is_done() }
}

#[cfg(test)]
mod tests;
