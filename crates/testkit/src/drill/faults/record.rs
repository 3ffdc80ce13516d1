//! The traffic that the clients, the processor, the dependency and the control plane of one server sent and read. The
//! oracles judge by this record alone.

use crate::thrift::Answer;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that was written completely or in part.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request id; each attempt has a new one.
    pub rid: String,
    /// Class named in the request.
    pub class: &'static str,
    /// Request body.
    pub body: Vec<u8>,
    /// Idempotency key, shared by all attempts of one keyed request.
    pub token: Option<String>,
    /// When the connection was opened.
    pub connected: Instant,
    /// When the last byte was written; `None` while the request is incomplete.
    pub written: Option<Instant>,
    /// Time from `written` until an answer is due.
    pub due: Duration,
    /// Whether an answer is owed: false if the client reset or cancelled, or sent an invalid request.
    pub owed: bool,
    /// Answers read, with the time of each.
    pub answers: Vec<(Instant, Answer)>,
    /// How the connection closed while the request was open, if it did.
    pub ended: Option<String>,
    /// Thread states of the server when the wait for the answer timed out.
    pub hang: Option<String>,
    /// Whether the request crossed the close of its connection and was sent once more on a new one, as the protocol
    /// page allows.
    pub sent_again: bool,
}

/// A time in which a process was stopped by SIGSTOP.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// When it was stopped.
    pub from: Instant,
    /// When it was continued.
    pub until: Instant,
}

/// A health check or an operator's call.
#[derive(Debug, Clone)]
pub struct Check {
    /// Description of the check, used in failure messages.
    pub what: String,
    /// The answer, or the reason why there was none.
    pub answer: Result<String, String>,
    /// When its connection was opened, if it had one of its own.
    pub connected: Option<Instant>,
}

/// A command to the processor to begin a run.
#[derive(Debug, Clone)]
pub struct Command {
    /// Request id.
    pub rid: String,
    /// Class in the command.
    pub class: String,
    /// Body in the command.
    pub body: Vec<u8>,
    /// Number of the link, counted over all links to this processor.
    pub link: u64,
    /// Number of the processor's start that received the command.
    pub processor_generation: u64,
    /// Number of the server's start that sent the command.
    pub server_generation: u64,
    /// Whether the processor rejected the run.
    pub refused: bool,
}

/// The result of a run, as the processor produced it.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Request id.
    pub rid: String,
    /// Result bytes.
    pub result: Vec<u8>,
}

/// A payload that belongs to a request: a run's call, the dependency's reply, or the reply as the processor read it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Payload {
    /// Request id.
    pub rid: String,
    /// Payload bytes.
    pub bytes: Vec<u8>,
}

/// All records of one server.
#[derive(Debug, Default)]
pub struct Entries {
    /// Requests in the order in which clients prepared them.
    pub requests: Vec<Request>,
    /// Health checks and operators' calls.
    pub checks: Vec<Check>,
    /// Commands that the processor read.
    pub commands: Vec<Command>,
    /// Results that the processor produced.
    pub results: Vec<RunResult>,
    /// Calls that runs asked the server to make.
    pub requested_calls: Vec<Payload>,
    /// Replies that the processor read from the server.
    pub received_replies: Vec<Payload>,
    /// Calls that the dependency read.
    pub received_calls: Vec<Payload>,
    /// Complete replies that the dependency sent.
    pub sent_replies: Vec<Payload>,
    /// Datagrams that the control plane read.
    pub reports: Vec<Vec<u8>>,
    /// Descriptions of traffic that no client or stand-in can have caused.
    pub unattributed: Vec<String>,
    /// When the server was killed; requests open at that time are owed no answer.
    pub kills: Vec<Instant>,
    /// When a process of the server was stopped by SIGSTOP.
    pub pauses: Vec<Pause>,
    /// Indexes of the requests by request id.
    indexes_by_id: HashMap<String, Vec<usize>>,
}

impl Entries {
    /// Adds a request before it is written; returns its index.
    pub fn request(&mut self, request: Request) -> usize {
        let index = self.requests.len();
        self.indexes_by_id.entry(request.rid.clone()).or_default().push(index);
        self.requests.push(request);
        index
    }

    /// The requests with an id: several if one was sent again after a connection closed.
    pub fn requests_of(&self, rid: &str) -> impl Iterator<Item = &Request> {
        self.indexes_by_id.get(rid).into_iter().flatten().map(|index| &self.requests[*index])
    }

    /// For how long a process of the server was stopped between two times. Pauses of several processes that overlap count
    /// more than once.
    pub fn paused_between(&self, from: Instant, until: Instant) -> Duration {
        let overlap = |pause: &Pause| pause.until.min(until).saturating_duration_since(pause.from.max(from));
        self.pauses.iter().map(overlap).sum()
    }

    /// Whether the processor has read a command to run the request.
    pub fn began(&self, rid: &str) -> bool {
        self.commands.iter().any(|command| command.rid == rid)
    }

    /// Whether the server was killed after a connection was opened. Nothing written to that connection is owed an
    /// answer, even if the client had not noticed the close yet.
    pub fn killed_since(&self, connected: Instant) -> bool {
        self.kills.iter().any(|at| *at >= connected)
    }
}

/// The record of one server, shared by its clients and stand-ins.
#[derive(Debug, Default)]
pub struct Record(Mutex<Entries>);

impl Record {
    /// Locks the entries for reading and writing.
    pub fn entries(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records traffic that no client or stand-in can have caused.
    pub fn unattributed(&self, what: String) {
        self.entries().unattributed.push(what);
    }

    /// Records the outcome of a check.
    pub fn check(&self, what: &str, answer: Result<String, String>) {
        self.entries().checks.push(Check { what: what.to_string(), answer, connected: None });
    }

    /// Records the outcome of a check on its own connection, opened at `connected`. Whether the server was killed
    /// meanwhile is known only once the process has ended, possibly after the connection closed.
    pub fn check_on(&self, connected: Instant, what: &str, answer: Result<String, String>) {
        self.entries().checks.push(Check { what: what.to_string(), answer, connected: Some(connected) });
    }
}
