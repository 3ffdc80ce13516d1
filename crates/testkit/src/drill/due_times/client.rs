//! A client proxy with one connection. Over SCGI it has one for each request, one after the other.

use super::caller::{Callers, Request};
use super::{ClientProtocol, Drill, MAX_OPEN_REQUESTS, SLACK};
use crate::fleet::scgi_of;
use crate::thrift::{self, Answer, Message};
use gradepin_node::frontend::scgi::codec::{self as scgi, ScgiResponse};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for bytes before the callers are looked at again.
const MAX_READ_WAIT: Duration = Duration::from_millis(20);
/// Time after the last request in which answers are awaited; also the longest wait of one read or write.
const LAST_ANSWERS: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests of one in this many callers are never cancelled.
const PATIENT_CALLERS: i32 = 10;

/// What the clients saw.
#[derive(Debug, Default)]
pub struct ClientReport {
    /// Requests that were written.
    pub written: usize,
    /// Requests served.
    pub served: usize,
    /// Requests refused.
    pub refused: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Requests cancelled before they were answered.
    pub cancelled: usize,
    /// Requests without an answer.
    pub unanswered: usize,
    /// Requests whose caller gave up before there was a place on the connection.
    pub not_sent: usize,
    /// A line for each late answer.
    pub late: Vec<String>,
    /// Longest time from `t0 + budget` to an answer.
    pub latest: Duration,
    /// Time from the write to the answer of each request, in ms.
    pub response_ms: Vec<u64>,
}

impl ClientReport {
    /// Adds what another client saw.
    pub(super) fn add(&mut self, other: Self) {
        self.written += other.written;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.unanswered += other.unanswered;
        self.not_sent += other.not_sent;
        self.late.extend(other.late);
        self.latest = self.latest.max(other.latest);
        self.response_ms.extend(other.response_ms);
    }

    fn answered(&mut self, request: &Open, answer: &Answer, now: Instant) {
        match answer {
            Answer::Served(..) => self.served += 1,
            Answer::Refused { .. } => self.refused += 1,
            Answer::Bad | Answer::Failed(_) => self.failed += 1,
        }
        self.response_ms.push(now.saturating_duration_since(request.written).as_millis() as u64);
        let after = now.saturating_duration_since(request.expires_at);
        self.latest = self.latest.max(after);
        if after > SLACK {
            self.late.push(format!(
                "{} ({}): written {} ms after it came, budget {} ms, answered {} ms after the write, {:?}",
                request.rid,
                request.class,
                (request.written - request.came).as_millis(),
                (request.expires_at - request.came).as_millis(),
                (now - request.written).as_millis(),
                answer
            ));
        }
    }
}

/// An open request.
struct Open {
    rid: String,
    class: String,
    came: Instant,
    written: Instant,
    expires_at: Instant,
    is_cancelled: bool,
}

impl Open {
    fn new(request: &Request, written: Instant) -> Self {
        Self {
            rid: request.rid.clone(),
            class: request.class.to_string(),
            came: request.came,
            written,
            expires_at: request.expires_at(),
            is_cancelled: false,
        }
    }
}

/// Sends the requests of a client's callers and reads the answers.
pub(super) fn play(drill: &Drill, server: SocketAddr, number: usize) -> ClientReport {
    match drill.protocol {
        ClientProtocol::Thrift => play_thrift(drill, server, number),
        ClientProtocol::Scgi => play_scgi(drill, server, number),
    }
}

/// A Thrift connection.
struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
    last_sequence: i32,
    open: HashMap<i32, Open>,
    is_draining: bool,
}

impl Connection {
    fn connect(server: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&server, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_write_timeout(Some(LAST_ANSWERS)).ok()?;
        let (bytes, open) = (Vec::new(), HashMap::new());
        Some(Self { stream, bytes, last_sequence: 0, open, is_draining: false })
    }

    /// Requests whose answers are awaited.
    fn awaited(&self) -> usize {
        self.open.values().filter(|open| !open.is_cancelled).count()
    }

    /// Writes waiting requests in one call while there are places. False if the connection is broken.
    fn write(&mut self, callers: &mut Callers, report: &mut ClientReport) -> bool {
        let mut frames = Vec::new();
        let now = Instant::now();
        let mut awaited = self.awaited();
        while awaited < MAX_OPEN_REQUESTS && !self.is_draining {
            let Some(request) = callers.waiting.pop_front() else { break };
            if request.expires_at() <= now {
                report.not_sent += 1;
                continue;
            }
            self.last_sequence += 1;
            awaited += 1;
            frames.extend(encode_thrift(self.last_sequence, &request));
            self.open.insert(self.last_sequence, Open::new(&request, now));
            report.written += 1;
        }
        frames.is_empty() || self.stream.write_all(&frames).is_ok()
    }

    /// Cancels expired requests of callers that do.
    fn cancel(&mut self, report: &mut ClientReport) -> bool {
        let now = Instant::now();
        let mut frames = Vec::new();
        for (sequence, open) in &mut self.open {
            if open.is_cancelled || open.expires_at > now || sequence % PATIENT_CALLERS == 0 {
                continue;
            }
            open.is_cancelled = true;
            report.cancelled += 1;
            self.last_sequence += 1;
            frames.extend(thrift::cancel(self.last_sequence, *sequence));
        }
        frames.is_empty() || self.stream.write_all(&frames).is_ok()
    }

    /// Reads what arrives within `wait`. False if the connection has ended.
    fn read(&mut self, wait: Duration, report: &mut ClientReport) -> bool {
        let _ = self.stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => return false,
            Ok(length) => self.bytes.extend_from_slice(&chunk[..length]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                return true;
            }
            Err(_) => return false,
        }
        let now = Instant::now();
        while let Ok(Some(length)) = thrift::frame(&self.bytes) {
            let frame: Vec<u8> = self.bytes.drain(..length).collect();
            match thrift::decode(&frame[4..]) {
                Ok(Message::Draining) => self.is_draining = true,
                Ok(Message::Answer(sequence, answer)) => {
                    let open = self.open.remove(&sequence).filter(|open| !open.is_cancelled);
                    if let Some(open) = open {
                        report.answered(&open, &answer, now);
                    }
                }
                Err(_) => return false,
            }
        }
        true
    }
}

fn play_thrift(drill: &Drill, server: SocketAddr, number: usize) -> ClientReport {
    let mut report = ClientReport::default();
    let mut callers = Callers::new(drill, number);
    let ends_at = Instant::now() + drill.duration + LAST_ANSWERS;
    while let Some(mut connection) = Connection::connect(server) {
        loop {
            let now = Instant::now();
            callers.advance(now);
            let is_open = connection.write(&mut callers, &mut report)
                && (!drill.cancels || connection.cancel(&mut report));
            let next_at = callers.next_at().unwrap_or(now + MAX_READ_WAIT);
            let wait = next_at.saturating_duration_since(Instant::now()).min(MAX_READ_WAIT);
            if !is_open || !connection.read(wait, &mut report) {
                break;
            }
            let is_done = callers.are_done() || now >= ends_at;
            let is_unused = connection.is_draining && !callers.are_done();
            if connection.awaited() == 0 && (is_done || is_unused) || now >= ends_at {
                break;
            }
        }
        report.unanswered += connection.awaited();
        if callers.are_done() || Instant::now() >= ends_at {
            break;
        }
    }
    report
}

/// Over SCGI a request waits until the one before is answered.
fn play_scgi(drill: &Drill, server: SocketAddr, number: usize) -> ClientReport {
    let mut report = ClientReport::default();
    let mut callers = Callers::new(drill, number);
    while !callers.are_done() {
        callers.advance(Instant::now());
        let Some(request) = callers.waiting.pop_front() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        if request.expires_at() <= Instant::now() {
            report.not_sent += 1;
            continue;
        }
        match exchange_scgi(scgi_of(server), &request) {
            Some((open, answer)) => {
                report.written += 1;
                report.answered(&open, &answer, Instant::now());
            }
            None => report.unanswered += 1,
        }
    }
    report
}

/// SCGI has no time stamp: the caller's remaining time counts from the arrival of the request.
fn exchange_scgi(server: SocketAddr, request: &Request) -> Option<(Open, Answer)> {
    let mut stream = TcpStream::connect_timeout(&server, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(LAST_ANSWERS)).ok()?;
    stream.set_write_timeout(Some(LAST_ANSWERS)).ok()?;
    let written = Instant::now();
    let remaining = request.expires_at().saturating_duration_since(written).max(Duration::from_millis(1));
    stream.write_all(&encode_scgi(request, remaining)).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let response = ScgiResponse::read(&bytes)?;
    let answer = match response.status {
        200 => Answer::Served(response.body, HashMap::new()),
        503 => Answer::Refused { backoff_ms: 0, last: false, hint: None },
        _ => Answer::Failed(None),
    };
    Some((Open { expires_at: written + remaining, ..Open::new(request, written) }, answer))
}

pub(super) fn encode_thrift(sequence: i32, request: &Request) -> Vec<u8> {
    let (t0, budget) = (request.t0_ms.to_string(), request.budget.as_millis().to_string());
    let mut fields = vec![
        ("method", request.class.as_ref()),
        ("rid", &request.rid),
        ("t0", &t0),
        ("peer", "4"),
        ("acct", request.tenant),
        ("budget", &budget),
        ("mem", "24.5"),
        ("prio", "0.6250"),
    ];
    fields.extend(request.is_retry.then_some(("again", "1")));
    fields.extend(request.token.as_deref().map(|token| ("token", token)));
    thrift::call(sequence, &fields, &request.body)
}

fn encode_scgi(request: &Request, remaining: Duration) -> Vec<u8> {
    let path = format!("/{}/1", request.class);
    let wait = remaining.as_millis().to_string();
    let token = request.token.as_ref().map(|token| format!("\"{token}\""));
    let mut headers = vec![
        ("REQUEST_METHOD", if token.is_some() { "PUT" } else { "GET" }),
        ("DOCUMENT_URI", &path),
        ("HTTP_X_REQUEST_ID", &request.rid),
        ("HTTP_X_CALLER", "4"),
        ("HTTP_X_TENANT", request.tenant),
        ("HTTP_X_WAIT_MS", &wait),
        ("HTTP_X_MEMORY_KB", "24.5"),
        ("HTTP_X_RANK", "0.6250"),
    ];
    headers.extend(request.is_retry.then_some(("HTTP_X_RETRY", "1")));
    headers.extend(token.as_deref().map(|token| ("HTTP_IDEMPOTENCY_KEY", token)));
    scgi::encode(&headers, &request.body)
}
