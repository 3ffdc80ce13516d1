//! What clients, processor and control plane of one server really sent and read. The oracles judge by this alone.

use crate::thrift::Answer;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that was written, whole or in part.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id, new with every try.
    pub rid: String,
    /// Its class.
    pub class: &'static str,
    /// Its body.
    pub body: Vec<u8>,
    /// The same for all tries of one keyed request.
    pub token: Option<String>,
    /// When its connection was made.
    pub connected: Instant,
    /// When its last byte was written; none while it is not whole.
    pub written: Option<Instant>,
    /// From then until an answer is due.
    pub due: Duration,
    /// Whether one is owed: not where the client reset, cancelled, or sent what can't be taken.
    pub owed: bool,
    /// What came for it, and when.
    pub answers: Vec<(Instant, Answer)>,
    /// How its connection ended while it was open, if it did.
    pub ended: Option<String>,
    /// Threads of the server at the time when the wait for its answer was given up.
    pub hang: Option<String>,
    /// Where it crossed the end of a connection and was sent again once, as the protocol page has it.
    pub crossed: bool,
}

/// A health check or an operator's call.
#[derive(Debug, Clone)]
pub struct Check {
    /// What was asked.
    pub what: String,
    /// How it was answered; an error says how it was not.
    pub answer: Result<String, String>,
    /// When its connection was made, where it had one of its own.
    pub connected: Option<Instant>,
}

/// A run that the processor was told to begin.
#[derive(Debug, Clone)]
pub struct Command {
    /// The request.
    pub rid: String,
    /// Its class.
    pub class: String,
    /// Its body.
    pub body: Vec<u8>,
    /// On which link.
    pub link: u64,
    /// In which life of the processor, and of the server.
    pub processor_life: u64,
    /// See `processor_life`.
    pub server_life: u64,
    /// Whether the processor said that it would not run.
    pub refused: bool,
}

/// A result that the processor told.
#[derive(Debug, Clone)]
pub struct Made {
    /// Of the run of this request.
    pub rid: String,
    /// The bytes.
    pub result: Vec<u8>,
}

/// Bytes that were told for a request: a run's call, the dependency's reply, or what the processor read of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Told {
    /// The request.
    pub rid: String,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// All of it.
#[derive(Debug, Default)]
pub struct Entries {
    /// Requests, in the order of their writes.
    pub requests: Vec<Request>,
    /// Health checks and calls.
    pub checks: Vec<Check>,
    /// What the processor read.
    pub commands: Vec<Command>,
    /// And what it made.
    pub made: Vec<Made>,
    /// Calls that runs asked for, and what was read of replies to them.
    pub asks: Vec<Told>,
    /// See `asks`.
    pub answered: Vec<Told>,
    /// Calls that the dependency read, and its whole replies.
    pub calls: Vec<Told>,
    /// See `calls`.
    pub replies: Vec<Told>,
    /// Datagrams that the control plane read.
    pub reports: Vec<Vec<u8>>,
    /// What nobody can have sent or asked for, in words.
    pub foreign: Vec<String>,
    /// When the server was killed: what was open then is owed no answer.
    pub kills: Vec<Instant>,
    /// Time in which the server was kept from running.
    pub paused: Duration,
    /// By what is sent with each.
    places: HashMap<String, Vec<usize>>,
}

impl Entries {
    /// A request is about to be written; its place.
    pub fn request(&mut self, request: Request) -> usize {
        let place = self.requests.len();
        self.places.entry(request.rid.clone()).or_default().push(place);
        self.requests.push(request);
        place
    }

    /// The requests of an id: more than one where it crossed the end of a connection.
    pub fn of(&self, rid: &str) -> impl Iterator<Item = &Request> {
        self.places.get(rid).into_iter().flatten().map(|place| &self.requests[*place])
    }

    /// Whether the processor has read of this one.
    pub fn began(&self, rid: &str) -> bool {
        self.commands.iter().any(|command| command.rid == rid)
    }

    /// Whether the server was killed after a connection was made: what is written to it is not owed an answer then, also
    /// where the client had not heard of the end yet.
    pub fn killed_since(&self, connected: Instant) -> bool {
        self.kills.iter().any(|at| *at >= connected)
    }
}

/// The entries of one server, shared by all that write them.
#[derive(Debug, Default)]
pub struct Record(Mutex<Entries>);

impl Record {
    /// To read and to add.
    pub fn entries(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something came that nobody can have sent or asked for.
    pub fn foreign(&self, what: String) {
        self.entries().foreign.push(what);
    }

    /// A check was answered, or was not.
    pub fn check(&self, what: &str, answer: Result<String, String>) {
        self.entries().checks.push(Check { what: what.to_string(), answer, connected: None });
    }

    /// The same for one on a connection of its own, which was made then: whether the server was killed meanwhile is known only
    /// once its process has ended, and that may be told after the connection's end.
    pub fn check_on(&self, connected: Instant, what: &str, answer: Result<String, String>) {
        self.entries().checks.push(Check { what: what.to_string(), answer, connected: Some(connected) });
    }
}
