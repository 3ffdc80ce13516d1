//! The four oracles, which every run must satisfy whatever was injected. They judge only by the recorded traffic and
//! don't use the server's code.
//!
//! - alive: the process doesn't end before it is stopped, no thread panics or ends early, and no failed invariant is
//!   logged;
//! - answers: each request whose last byte was written on an accepted connection gets exactly one final answer by its
//!   due time, and health checks and operators' calls are answered;
//! - starts: a server with a valid configuration serves within 10 s; an invalid one ends with status 1 and a message
//!   that names the path and the expected and actual values;
//! - provenance: each command, result and report was sent by a client or processor, with the same id and content.

use super::record::{Command, Entries, Payload, Request};
use super::settings;
use crate::thrift::Answer;
use rustix::process::Signal;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt::{self, Display};
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;

/// A property that every run must satisfy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Oracle {
    /// No process or thread ends before it is stopped.
    Alive,
    /// Each request gets exactly one final answer.
    Answers,
    /// A server with a valid configuration serves; any other ends with a reason.
    Starts,
    /// Every command, result and report originates from a client or a processor.
    Provenance,
}

impl Oracle {
    /// All oracles, in the order of their claims.
    pub const ALL: [Self; 4] = [Self::Alive, Self::Answers, Self::Starts, Self::Provenance];

    /// The text of the claim in the drill's output.
    pub fn claim(self) -> &'static str {
        match self {
            Self::Alive => "alive: no process or thread ended before its stop, no panic, no failed invariant",
            Self::Answers => "answers: one final answer to each whole request; checks and calls answered",
            Self::Starts => "starts: valid settings serve, others end with status 1 and path, expected, got",
            Self::Provenance => "provenance: every command, result and report is what somebody sent",
        }
    }
}

/// A violation of an oracle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The violated oracle.
    pub oracle: Oracle,
    /// The observation that violates it, with the server's name.
    pub seen: String,
}

impl Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.oracle, self.seen)
    }
}

/// The observed end of a server process.
#[derive(Debug, Clone, Default)]
pub struct ProcessOutcome {
    /// The server's name.
    pub name: String,
    /// The exit status if the process ended before it was told to stop.
    pub ended_early: Option<ExitStatus>,
    /// Names of threads that existed when the server became ready and were gone right before its stop.
    pub missing_threads: BTreeSet<String>,
    /// The exit status after the stop; `None` if the process did not end within the timeout.
    pub end: Option<ExitStatus>,
    /// Whether the process received SIGTERM.
    pub was_stopped: bool,
    /// The states of the threads of a process that did not end.
    pub hang: String,
    /// The standard error of the process.
    pub log: String,
}

/// Texts on standard error that indicate a panic or a failed invariant.
const FAILURE_TEXTS: [&str; 5] =
    ["panicked at", "invariant", "assertion", "RUST_BACKTRACE", "stack overflow"];
/// Maximum lines of a log shown in a failure.
const SHOWN_LOG_LINES: usize = 12;
/// Maximum bytes of a payload shown in a failure.
const SHOWN_BYTES: usize = 48;

fn log_tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    let from = lines.len().saturating_sub(SHOWN_LOG_LINES);
    lines[from..].iter().map(|line| format!("\n      {line}")).collect()
}

/// Checks that the process and its threads ran until the stop, and that the drain succeeded.
pub fn alive(life: &ProcessOutcome) -> Vec<Failure> {
    let mut failures = Vec::new();
    let mut fail = |seen: String| failures.push(Failure { oracle: Oracle::Alive, seen });
    let name = &life.name;
    if let Some(status) = life.ended_early {
        fail(format!("{name} ended before its stop: {status}; its log ends{}", log_tail(&life.log)));
    }
    if !life.missing_threads.is_empty() {
        let (missing, log) = (&life.missing_threads, log_tail(&life.log));
        fail(format!("threads of {name} ended while it ran: {missing:?}; its log ends{log}"));
    }
    if life.was_stopped && life.ended_early.is_none() {
        match life.end {
            Some(status) if status.success() => {}
            Some(status) => fail(format!("{name} ended its drain with {status}{}", log_tail(&life.log))),
            None => fail(format!("{name} did not end after SIGTERM; its threads\n{}", life.hang)),
        }
    }
    for line in life.log.lines().filter(|line| FAILURE_TEXTS.iter().any(|words| line.contains(words))) {
        fail(format!("{name} wrote '{line}'"));
    }
    failures
}

/// Answers after their due time. A late machine causes them too, so they are claimed separately.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Late {
    /// Number of late answers.
    pub count: usize,
    /// Delay of the latest answer past its due time.
    pub max_delay: Duration,
    /// The request with the latest answer.
    pub latest_rid: Option<String>,
}

/// Checks that each complete request has exactly one final answer, and counts the late ones.
pub fn answers(name: &str, entries: &Entries) -> (Vec<Failure>, Late) {
    let (mut failures, mut late) = (Vec::new(), Late::default());
    let mut fail = |seen: String| failures.push(Failure { oracle: Oracle::Answers, seen });
    for request in &entries.requests {
        let Request { rid, class, .. } = request;
        if request.answers.len() > 1 {
            let all: Vec<String> = request.answers.iter().map(|(_, answer)| shown(answer)).collect();
            fail(format!("{name}: request {rid} ({class}) got {} answers: {all:?}", all.len()));
        }
        let Some(written) = request.written.filter(|_| request.owed) else { continue };
        if let Some((at, _)) = request.answers.first() {
            let due = written + request.due + entries.paused_between(written, *at);
            if let Some(by) = at.checked_duration_since(due).filter(|by| !by.is_zero()) {
                late.count += 1;
                late.max_delay = late.max_delay.max(by);
                late.latest_rid = if late.max_delay == by { Some(rid.clone()) } else { late.latest_rid };
            }
        } else if !entries.killed_since(request.connected) && !request.sent_again {
            let began = if entries.began(rid) { "its run began" } else { "it never began to run" };
            let end = request.ended.clone().unwrap_or_else(|| "no answer within the wait".to_string());
            let hang = request.hang.as_ref().map(|states| format!("; threads\n{states}")).unwrap_or_default();
            fail(format!("{name}: request {rid} ({class}) has no answer: {end}; {began}{hang}"));
        }
    }
    for check in &entries.checks {
        let killed = check.connected.is_some_and(|connected| entries.killed_since(connected));
        if let Err(why) = &check.answer
            && !killed
        {
            fail(format!("{name}: {} was not answered: {why}", check.what));
        }
    }
    (failures, late)
}

fn shown(answer: &Answer) -> String {
    match answer {
        Answer::Served(body, _) => format!("served {} bytes {}", body.len(), shown_bytes(body)),
        other => format!("{other:?}"),
    }
}

fn shown_bytes(bytes: &[u8]) -> String {
    bytes[..bytes.len().min(SHOWN_BYTES)].escape_ascii().to_string()
}

/// Checks that everything read by a client, the processor or the control plane was sent by a known sender.
pub fn provenance(name: &str, entries: &Entries) -> Vec<Failure> {
    let mut failures: Vec<String> = entries.unattributed.clone();
    failures.extend(entries.commands.iter().filter_map(|command| unattributed_command(entries, command)));
    failures.extend(repeated_runs(entries));
    failures.extend(unattributed_results(entries));
    failures.extend(unattributed_calls(entries));
    for report in &entries.reports {
        let known =
            ["Ready", "NotReady"].iter().any(|state| *report == format!("lease {name} {state}").as_bytes());
        if !known {
            failures.push(format!("the report '{}'", report.escape_ascii()));
        }
    }
    let failure = |seen| Failure { oracle: Oracle::Provenance, seen: format!("{name}: {seen}") };
    failures.into_iter().map(failure).collect()
}

/// Reports a run that no client requested, or whose class or body differs from its request.
fn unattributed_command(entries: &Entries, command: &Command) -> Option<String> {
    let Command { rid, class, body, link, .. } = command;
    let Some(request) = entries.requests_of(rid).next() else {
        return Some(format!("a run of {rid} ({class}) began on link {link}, but no client requested it"));
    };
    if request.class != class {
        return Some(format!("request {rid} of class {} began to run as {class}", request.class));
    }
    if request.body != *body {
        let at = request.body.iter().zip(body).take_while(|(a, b)| a == b).count();
        let (sent, came) = (request.body.len(), body.len());
        return Some(format!(
            "the body of {rid} changed at byte {at}: {sent} bytes were sent, {came} received"
        ));
    }
    if entries.requests_of(rid).all(|request| request.written.is_none()) {
        return Some(format!("a run of {rid} began although its request was never complete"));
    }
    None
}

/// Reports runs that began twice on one link, or again for a class that runs at most once.
fn repeated_runs(entries: &Entries) -> Vec<String> {
    let mut found = Vec::new();
    let mut on_link: HashSet<(&str, u64, u64)> = HashSet::new();
    // The first run by idempotency key (or request id) and server generation.
    let mut once: HashMap<(&str, u64), &Command> = HashMap::new();
    for command in entries.commands.iter().filter(|command| !command.refused) {
        let Command { rid, class, link, server_generation, .. } = command;
        if !on_link.insert((rid, *link, command.processor_generation)) {
            found.push(format!("the run of {rid} ({class}) began twice on link {link}"));
        }
        let Some(request) =
            entries.requests_of(rid).next().filter(|request| settings::runs_once(request.class))
        else {
            continue;
        };
        let key = request.token.as_deref().unwrap_or(rid);
        let first = *once.entry((key, *server_generation)).or_insert(command);
        if first.rid != *rid || first.processor_generation != command.processor_generation {
            found.push(format!("{class} ran for {rid} after it ran for {} under the same token", first.rid));
        }
    }
    found
}

/// Reports answers whose result no run produced for the request or for another attempt with its key.
fn unattributed_results(entries: &Entries) -> Vec<String> {
    let mut made: HashMap<&str, Vec<&[u8]>> = HashMap::new();
    for result in &entries.results {
        made.entry(&result.rid).or_default().push(&result.result);
    }
    let mut attempts: HashMap<&str, Vec<&str>> = HashMap::new();
    for request in &entries.requests {
        if let Some(token) = &request.token {
            attempts.entry(token).or_default().push(&request.rid);
        }
    }
    let mut found = Vec::new();
    for request in &entries.requests {
        let own = [request.rid.as_str()];
        let all = request.token.as_deref().and_then(|token| attempts.get(token));
        let all: &[&str] = all.map_or(&own, |all| all);
        for (_, answer) in &request.answers {
            let Answer::Served(body, fields) = answer else { continue };
            let known = all.iter().filter_map(|rid| made.get(rid)).flatten().any(|result| result == body);
            if !known {
                let (len, shown) = (body.len(), shown_bytes(body));
                found.push(format!(
                    "request {} was served {len} bytes that no run made for it: {shown}",
                    request.rid
                ));
            }
            if let Some(hint) = fields.get("hint").filter(|hint| !hint.parse::<f64>().is_ok_and(|h| h >= 0.0))
            {
                found.push(format!("the free value '{hint}' on the answer to {}", request.rid));
            }
        }
    }
    found
}

/// Reports calls to the dependency that no run made, and replies to a run that the dependency did not send. An empty
/// reply stands for a call that the server skipped.
fn unattributed_calls(entries: &Entries) -> Vec<String> {
    let asks: HashSet<&Payload> = entries.requested_calls.iter().collect();
    let replies: HashSet<&Payload> = entries.sent_replies.iter().collect();
    let calls = entries.received_calls.iter().filter(|call| !asks.contains(call));
    let calls = calls.map(|call| (call, "a call to the dependency that no run asked for"));
    let answered =
        entries.received_replies.iter().filter(|reply| !reply.bytes.is_empty() && !replies.contains(reply));
    let answered = answered.map(|reply| (reply, "a reply to a run that the dependency did not give"));
    let text = |(payload, what): (&Payload, &str)| {
        let Payload { rid, bytes } = payload;
        format!("{what}, for {rid}: {} bytes '{}'", bytes.len(), shown_bytes(bytes))
    };
    calls.chain(answered).map(text).collect()
}

/// The observed course of one server start.
#[derive(Debug, Clone)]
pub struct Started {
    /// Description of the configuration, used in failure messages.
    pub what: String,
    /// Names that the error message must contain if the configuration is invalid; `None` if it is valid.
    pub required_names: Option<Vec<String>>,
    /// Whether SIGTERM was sent during the start.
    pub stopped: bool,
    /// Time from the start to the first answered health check.
    pub served: Option<Duration>,
    /// The exit status if the process ended by itself.
    pub ended: Option<ExitStatus>,
    /// The standard error of the process.
    pub log: String,
    /// The states of the threads if the process neither served nor ended.
    pub hang: String,
}

/// A message that rejects a configuration contains one text of each list.
const EXPECTED_TEXTS: [&str; 1] = ["expected"];
const ACTUAL_TEXTS: [&str; 5] = ["got", "found", "invalid type", "missing field", "unknown"];

/// Checks that a valid configuration serves, and that an invalid one ends with status 1 and a complete message.
pub fn starts(started: &Started) -> Vec<Failure> {
    let mut failures = Vec::new();
    let what = &started.what;
    let mut fail =
        |seen: String| failures.push(Failure { oracle: Oracle::Starts, seen: format!("{what}: {seen}") });
    match &started.required_names {
        None if started.stopped => match started.ended {
            // Until its signal handlers are installed, SIGTERM ends the process by default; it doesn't listen yet.
            Some(status) if status.success() => {}
            Some(status)
                if status.signal() == Some(Signal::TERM.as_raw()) && !started.log.contains("serving") => {}
            Some(status) => fail(format!("an early stop ended with {status}{}", log_tail(&started.log))),
            None => fail(format!("did not end after an early stop; threads\n{}", started.hang)),
        },
        None => {
            if let Some(status) = started.ended {
                fail(format!(
                    "the configuration is valid, but the server ended with {status}{}",
                    log_tail(&started.log)
                ));
            } else if started.served.is_none() {
                fail(format!(
                    "the configuration is valid, but the server doesn't serve{}\n{}",
                    log_tail(&started.log),
                    started.hang
                ));
            }
        }
        Some(names) => {
            let message = &started.log;
            match started.ended {
                Some(status) if status.code() == Some(1) => {}
                Some(status) => fail(format!(
                    "the configuration is invalid, but the server ended with {status}{}",
                    log_tail(message)
                )),
                None => fail(format!(
                    "the configuration is invalid, but the server did not end{}",
                    log_tail(message)
                )),
            }
            let has = |words: &[&str]| words.iter().any(|word| message.contains(word));
            for name in names.iter().filter(|name| !message.contains(name.as_str())) {
                fail(format!("the message doesn't name '{name}'{}", log_tail(message)));
            }
            if !has(&EXPECTED_TEXTS) || !has(&ACTUAL_TEXTS) {
                fail(format!(
                    "the message doesn't state the expected and the actual value{}",
                    log_tail(message)
                ));
            }
        }
    }
    for line in started.log.lines().filter(|line| FAILURE_TEXTS.iter().any(|words| line.contains(words))) {
        fail(format!("the server wrote '{line}'"));
    }
    failures
}

#[cfg(test)]
mod tests;
