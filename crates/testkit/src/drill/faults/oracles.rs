//! The four oracles that hold for each run, whatever was injected. They judge by what was recorded, and know nothing of the
//! server's code.
//!
//! - alive: the process doesn't end before its stop, no thread panics or ends unnoticed, no invariant is logged as failed;
//! - answers: each request whose last byte was written on an accepted connection gets exactly one final answer by its due
//!   time, and health checks and operators' calls are answered;
//! - starts: a valid configuration serves within 10 s; an invalid one ends with status 1 and a message that names path,
//!   expected and got;
//! - provenance: each command, result and report is what some client or processor really sent, by id and by content.

use super::record::{Command, Entries, Request, Told};
use super::settings;
use crate::thrift::Answer;
use rustix::process::Signal;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt::{self, Display};
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;

/// What is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Oracle {
    /// No process or thread ends before its time.
    Alive,
    /// Exactly one final answer.
    Answers,
    /// Valid configurations serve, others end with a reason.
    Starts,
    /// Nothing is sent that nobody sent.
    Provenance,
}

impl Oracle {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Alive, Self::Answers, Self::Starts, Self::Provenance];

    /// What is claimed.
    pub fn claim(self) -> &'static str {
        match self {
            Self::Alive => "alive: no process or thread ended before its stop, no panic, no failed invariant",
            Self::Answers => "answers: one final answer to each whole request; checks and calls answered",
            Self::Starts => "starts: valid settings serve, others end with status 1 and path, expected, got",
            Self::Provenance => "provenance: every command, result and report is what somebody sent",
        }
    }
}

/// An oracle that was not held, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Which.
    pub oracle: Oracle,
    /// What was seen.
    pub seen: String,
}

impl Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.oracle, self.seen)
    }
}

/// How the life of a process ended, as far as it is known.
#[derive(Debug, Clone, Default)]
pub struct Life {
    /// Its name.
    pub name: String,
    /// The status, where it ended before it was told to.
    pub ended_early: Option<ExitStatus>,
    /// Threads that were there when it was ready, and not before its stop.
    pub missing_threads: BTreeSet<String>,
    /// How it ended after its stop; none if it did not within the wait.
    pub end: Option<ExitStatus>,
    /// Whether it was told to leave.
    pub was_told: bool,
    /// The states of its threads where it did not end.
    pub hang: String,
    /// What it wrote to standard error.
    pub log: String,
}

/// Words on standard error that only a failed invariant or a panic writes.
const FAILED: [&str; 5] = ["panicked at", "invariant", "assertion", "RUST_BACKTRACE", "stack overflow"];
/// Of a log, at the most, in a failure.
const SHOWN_LOG_LINES: usize = 12;
/// Of bytes.
const SHOWN_BYTES: usize = 48;

/// A tail of a log.
fn tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    let from = lines.len().saturating_sub(SHOWN_LOG_LINES);
    lines[from..].iter().map(|line| format!("\n      {line}")).collect()
}

/// The process is there until its stop, and ends well then.
pub fn alive(life: &Life) -> Vec<Failure> {
    let mut failures = Vec::new();
    let mut fail = |seen: String| failures.push(Failure { oracle: Oracle::Alive, seen });
    let name = &life.name;
    if let Some(status) = life.ended_early {
        fail(format!("{name} ended before its stop: {status}; its log ends{}", tail(&life.log)));
    }
    if !life.missing_threads.is_empty() {
        let (missing, log) = (&life.missing_threads, tail(&life.log));
        fail(format!("threads of {name} ended while it ran: {missing:?}; its log ends{log}"));
    }
    if life.was_told && life.ended_early.is_none() {
        match life.end {
            Some(status) if status.success() => {}
            Some(status) => fail(format!("{name} ended its drain with {status}{}", tail(&life.log))),
            None => fail(format!("{name} did not end after SIGTERM; its threads\n{}", life.hang)),
        }
    }
    for line in life.log.lines().filter(|line| FAILED.iter().any(|words| line.contains(words))) {
        fail(format!("{name} wrote '{line}'"));
    }
    failures
}

/// Answers that came after they were due, which a late machine changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Late {
    /// How many.
    pub count: usize,
    /// By how much at the most.
    pub most: Duration,
}

/// Each whole request has one final answer; how many of them were late.
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
            let due = written + request.due + entries.paused;
            if let Some(by) = at.checked_duration_since(due).filter(|by| !by.is_zero()) {
                late = Late { count: late.count + 1, most: late.most.max(by) };
            }
        } else if !entries.killed_since(request.connected) && !request.crossed {
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

/// Everything that was read is what somebody sent.
pub fn provenance(name: &str, entries: &Entries) -> Vec<Failure> {
    let mut failures: Vec<String> = entries.foreign.clone();
    failures.extend(entries.commands.iter().filter_map(|command| foreign_command(entries, command)));
    failures.extend(repeated_runs(entries));
    failures.extend(foreign_results(entries));
    failures.extend(foreign_calls(entries));
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

/// A run that no client asked for, or of another class or body.
fn foreign_command(entries: &Entries, command: &Command) -> Option<String> {
    let Command { rid, class, body, link, .. } = command;
    let Some(request) = entries.of(rid).next() else {
        return Some(format!("a run of {rid} ({class}) began on link {link}, and no client sent it"));
    };
    if request.class != class {
        return Some(format!("request {rid} of class {} began to run as {class}", request.class));
    }
    if request.body != *body {
        let at = request.body.iter().zip(body).take_while(|(a, b)| a == b).count();
        let (sent, came) = (request.body.len(), body.len());
        return Some(format!("the body of {rid} changed at byte {at}: {sent} bytes were sent, {came} came"));
    }
    if entries.of(rid).all(|request| request.written.is_none()) {
        return Some(format!("a run of {rid} began though its request was never whole"));
    }
    None
}

/// Runs that began twice and must not.
fn repeated_runs(entries: &Entries) -> Vec<String> {
    let mut found = Vec::new();
    let mut on_link: HashSet<(&str, u64, u64)> = HashSet::new();
    // By what must run once, the first that ran for it.
    let mut once: HashMap<(&str, u64), &Command> = HashMap::new();
    for command in entries.commands.iter().filter(|command| !command.refused) {
        let Command { rid, class, link, server_life, .. } = command;
        if !on_link.insert((rid, *link, command.processor_life)) {
            found.push(format!("the run of {rid} ({class}) began twice on link {link}"));
        }
        let Some(request) = entries.of(rid).next().filter(|request| settings::runs_once(request.class))
        else {
            continue;
        };
        let key = request.token.as_deref().unwrap_or(rid);
        let first = *once.entry((key, *server_life)).or_insert(command);
        if first.rid != *rid || first.processor_life != command.processor_life {
            found.push(format!("{class} ran for {rid} after it ran for {} under the same token", first.rid));
        }
    }
    found
}

/// Results that no run made for the request.
fn foreign_results(entries: &Entries) -> Vec<String> {
    let mut made: HashMap<&str, Vec<&[u8]>> = HashMap::new();
    for result in &entries.made {
        made.entry(&result.rid).or_default().push(&result.result);
    }
    let mut tries: HashMap<&str, Vec<&str>> = HashMap::new();
    for request in &entries.requests {
        if let Some(token) = &request.token {
            tries.entry(token).or_default().push(&request.rid);
        }
    }
    let mut found = Vec::new();
    for request in &entries.requests {
        let own = [request.rid.as_str()];
        let all = request.token.as_deref().and_then(|token| tries.get(token));
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

/// Calls that no run asked for, and replies that the dependency did not give to it. An empty reply stands for a call that
/// was left out.
fn foreign_calls(entries: &Entries) -> Vec<String> {
    let asks: HashSet<&Told> = entries.asks.iter().collect();
    let replies: HashSet<&Told> = entries.replies.iter().collect();
    let calls = entries.calls.iter().filter(|call| !asks.contains(call));
    let calls = calls.map(|call| (call, "a call to the dependency that no run asked for"));
    let answered =
        entries.answered.iter().filter(|reply| !reply.bytes.is_empty() && !replies.contains(reply));
    let answered = answered.map(|reply| (reply, "a reply to a run that the dependency did not give"));
    let text = |(told, what): (&Told, &str)| {
        let Told { rid, bytes } = told;
        format!("{what}, for {rid}: {} bytes '{}'", bytes.len(), shown_bytes(bytes))
    };
    calls.chain(answered).map(text).collect()
}

/// How a start went that was tried.
#[derive(Debug, Clone)]
pub struct Started {
    /// What is special about the configuration.
    pub what: String,
    /// What a message must name, where it is not valid; none where it is.
    pub names: Option<Vec<String>>,
    /// Whether it was told to leave while it started.
    pub told: bool,
    /// Whether and when it answered a health check.
    pub served: Option<Duration>,
    /// How it ended, where it did by itself.
    pub ended: Option<ExitStatus>,
    /// What it wrote.
    pub log: String,
    /// Its threads, where it neither served nor ended.
    pub hang: String,
}

/// Words of which a message that turns a configuration down has one each.
const EXPECTED: [&str; 1] = ["expected"];
const GOT: [&str; 5] = ["got", "found", "invalid type", "missing field", "unknown"];

/// A valid configuration serves; another ends with status 1 and a message.
pub fn starts(started: &Started) -> Vec<Failure> {
    let mut failures = Vec::new();
    let what = &started.what;
    let mut fail =
        |seen: String| failures.push(Failure { oracle: Oracle::Starts, seen: format!("{what}: {seen}") });
    match &started.names {
        None if started.told => match started.ended {
            // Before it has its handlers, the notice ends it as the system does; nothing listened by then.
            Some(status) if status.success() => {}
            Some(status)
                if status.signal() == Some(Signal::TERM.as_raw()) && !started.log.contains("serving") => {}
            Some(status) => fail(format!("it ended with {status}{}", tail(&started.log))),
            None => fail(format!("it did not end; threads\n{}", started.hang)),
        },
        None => {
            if let Some(status) = started.ended {
                fail(format!("valid, and it ended with {status}{}", tail(&started.log)));
            } else if started.served.is_none() {
                fail(format!("valid, and it doesn't serve{}\n{}", tail(&started.log), started.hang));
            }
        }
        Some(names) => {
            let message = &started.log;
            match started.ended {
                Some(status) if status.code() == Some(1) => {}
                Some(status) => fail(format!("not valid, and it ended with {status}{}", tail(message))),
                None => fail(format!("not valid, and it did not end{}", tail(message))),
            }
            let has = |words: &[&str]| words.iter().any(|word| message.contains(word));
            for name in names.iter().filter(|name| !message.contains(name.as_str())) {
                fail(format!("the message doesn't name '{name}'{}", tail(message)));
            }
            if !has(&EXPECTED) || !has(&GOT) {
                fail(format!("the message doesn't say what was expected and what came{}", tail(message)));
            }
        }
    }
    for line in started.log.lines().filter(|line| FAILED.iter().any(|words| line.contains(words))) {
        fail(format!("it wrote '{line}'"));
    }
    failures
}

#[cfg(test)]
mod tests;
