//! Client proxies that follow the protocol page and record everything they send and read.

use super::random::Random;
use super::record::{Record, Request};
pub use super::request_options::RequestOptions;
use super::settings::{BUDGET, CLAIM, CLASSES};
use super::threads;
use crate::registry::server::unix_ms;
use crate::thrift::{self, Answer, Message};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which an operation counts as hung; far above all due times, so that no verdict depends on the machine's
/// speed.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between attempts to connect, and between checks whether the case is over.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest time for which a client reads what has arrived.
const MIN_READ_TIME: Duration = Duration::from_millis(1);
/// Maximum wait for the server to close a connection that the client has finished.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A server as its clients see it.
#[derive(Debug, Clone)]
pub struct Target {
    /// The server's name.
    pub name: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for operators' calls.
    pub admin: SocketAddr,
    /// Record of everything sent to and read from the server.
    pub record: Arc<Record>,
    /// Id of the current process; changes when the server is started again.
    pub pid: Arc<AtomicU32>,
    /// Whether the server received SIGTERM; a refused connection is then expected.
    pub stopping: Arc<AtomicBool>,
    /// Set when the steady clients shall stop.
    pub load_stopped: Arc<AtomicBool>,
    /// Whether the next successful answer is dropped: the seeded defect of
    /// [`Oracle::Answers`](super::oracles::Oracle::Answers).
    pub drops_answer: Arc<AtomicBool>,
}

impl Target {
    /// The states of the server's threads, for the message of a hang.
    pub fn threads(&self) -> String {
        threads::states(self.pid.load(Ordering::SeqCst))
    }

    /// Whether the server received SIGTERM.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Whether the steady clients shall stop; also true once the server is stopping.
    pub fn load_is_over(&self) -> bool {
        self.load_stopped.load(Ordering::SeqCst) || self.is_stopping()
    }

    /// Opens a connection, and retries while the server is killed and started again. Returns `None` once the server
    /// is stopping or after [`HANG_TIMEOUT`].
    pub fn connect(&self) -> Option<Connection> {
        let start = Instant::now();
        loop {
            // Taken before connecting: a kill right after the connect must count as later.
            let connected = Instant::now();
            match TcpStream::connect_timeout(&self.address, HANG_TIMEOUT) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    return Some(Connection::new(stream, self.clone(), connected));
                }
                Err(_) if self.is_stopping() => return None,
                Err(e) if start.elapsed() > HANG_TIMEOUT => {
                    let hang = self.threads();
                    self.record.check("a new connection", Err(format!("{e}; threads\n{hang}")));
                    return None;
                }
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }
}

/// The outcome of one read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// An answer, or the notice that the server is draining.
    Message,
    /// No message until the deadline.
    TimedOut,
    /// The connection closed or broke.
    Closed,
}

/// A connection with its open requests and the unparsed bytes.
pub struct Connection {
    /// The socket; misbehaving clients also use it directly.
    pub stream: TcpStream,
    target: Target,
    next: i32,
    /// Indexes in the record by sequence number, of requests without an answer.
    open: BTreeMap<i32, usize>,
    /// The same of answered requests, so that a second answer is noticed.
    answered: BTreeMap<i32, usize>,
    checks: BTreeMap<i32, Option<bool>>,
    bytes: Vec<u8>,
    /// Whether the server has announced that it drains and takes no more requests here.
    pub draining: bool,
    ended: bool,
    /// When the end of the connection was read.
    ended_at: Option<Instant>,
    connected: Instant,
}

/// A recorded request that is ready to be written.
#[derive(Debug, Clone)]
pub struct Prepared {
    /// The encoded frame.
    pub frame: Vec<u8>,
    /// Index in the record.
    pub index: usize,
}

impl Connection {
    /// Wraps a socket; `connected` must have been taken before it was connected.
    pub fn new(stream: TcpStream, target: Target, connected: Instant) -> Self {
        let (open, answered, checks, bytes) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), Vec::new());
        Self {
            stream,
            target,
            next: 1,
            open,
            answered,
            checks,
            bytes,
            draining: false,
            ended: false,
            ended_at: None,
            connected,
        }
    }

    /// Prepares a request with drawn class and body, and records it as not yet written.
    pub fn prepare(&mut self, random: &mut Random, options: &RequestOptions) -> Prepared {
        let mut entries = self.target.record.entries();
        let earlier = options.retry_of.or(options.resend_of).map(|index| entries.requests[index].clone());
        let class = options.class.unwrap_or_else(|| random.one_of(&CLASSES));
        let class = earlier.as_ref().map_or(class, |earlier| earlier.class);
        let body = earlier.as_ref().map(|earlier| earlier.body.clone());
        let body = body.unwrap_or_else(|| options.draw_body(random));
        let token = earlier.as_ref().and_then(|earlier| earlier.token.clone());
        let new_token = || format!("{:016x}{:016x}", random.number(), random.number());
        let token = token.or_else(|| (class == CLAIM).then(new_token));
        let same = earlier.as_ref().filter(|_| options.resend_of.is_some());
        let rid = same.map_or_else(|| format!("{:016x}", random.number()), |same| same.rid.clone());
        let index = entries.request(Request {
            rid: rid.clone(),
            class,
            body: body.clone(),
            token: token.clone(),
            connected: self.connected,
            written: None,
            due: options.budget().unwrap_or(BUDGET) + super::settings::SLACK,
            owed: true,
            answers: Vec::new(),
            ended: None,
            hang: None,
            sent_again: false,
        });
        drop(entries);
        let mut fields = vec![
            ("method", class.to_string()),
            ("rid", rid),
            ("t0", unix_ms().to_string()),
            ("peer", "4".to_string()),
            ("acct", "acme".to_string()),
            ("budget", BUDGET.as_millis().to_string()),
            ("mem", "4.5".to_string()),
            ("prio", "0.6250".to_string()),
        ];
        fields.extend(token.map(|token| ("token", token)));
        fields.extend(options.retry_of.map(|_| ("again", "1".to_string())));
        fields.extend(options.padding.map(|length| ("padding", "p".repeat(length))));
        for (name, value) in &options.fields {
            fields.retain(|(known, _)| known != name);
            fields.push((name, value.clone()));
        }
        let fields: Vec<(&str, &str)> = fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
        let seq = self.next;
        self.next += 1;
        self.open.insert(seq, index);
        Prepared { frame: thrift::call(seq, &fields, &body), index }
    }

    /// Prepares a health check; [`Connection::checked`] tells whether it was answered.
    pub fn prepare_check(&mut self) -> Vec<u8> {
        let seq = self.next;
        self.next += 1;
        self.checks.insert(seq, None);
        thrift::health(seq)
    }

    /// Whether all health checks sent so far were answered.
    pub fn checked(&self) -> bool {
        self.checks.values().all(Option::is_some)
    }

    /// Whether all health checks were answered positively.
    pub fn is_good(&self) -> bool {
        self.checks.values().all(|good| *good == Some(true))
    }

    /// Whether the server was killed since this connection was opened; nothing is owed on it then.
    pub fn was_killed(&self) -> bool {
        self.target.record.entries().killed_since(self.connected)
    }

    /// When the connection was opened.
    pub fn connected(&self) -> Instant {
        self.connected
    }

    /// Time since the connection was opened.
    pub fn age(&self) -> Duration {
        self.connected.elapsed()
    }

    /// Writes raw bytes, which need not be a valid frame.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Records that the last byte of these requests was written.
    pub fn written(&self, all: &[Prepared]) {
        let mut entries = self.target.record.entries();
        for prepared in all {
            entries.requests[prepared.index].written = Some(Instant::now());
        }
    }

    /// Cancels requests; no answer is owed to them any more.
    pub fn cancel(&mut self, all: &[Prepared]) {
        self.not_owed(all);
        for (seq, index) in &self.open {
            if all.iter().any(|prepared| prepared.index == *index) {
                // Requests and cancellations share one sequence of numbers.
                let _ = self.stream.write_all(&thrift::cancel(self.next, *seq));
                self.next += 1;
            }
        }
    }

    /// Records that no answer is owed to these requests.
    pub fn not_owed(&self, all: &[Prepared]) {
        let mut entries = self.target.record.entries();
        for prepared in all {
            entries.requests[prepared.index].owed = false;
        }
    }

    /// Writes complete requests in one call.
    pub fn send(&mut self, all: &[Prepared]) -> io::Result<()> {
        let bytes: Vec<u8> = all.iter().flat_map(|prepared| prepared.frame.clone()).collect();
        self.write(&bytes)?;
        self.written(all);
        Ok(())
    }

    /// Reads one message, waiting until the deadline.
    pub fn read(&mut self, until: Instant) -> ReadOutcome {
        loop {
            match thrift::frame(&self.bytes) {
                Ok(Some(len)) => {
                    let frame: Vec<u8> = self.bytes.drain(..len).collect();
                    self.message(&frame[4..]);
                    return ReadOutcome::Message;
                }
                Ok(None) => {}
                Err(why) => {
                    let shown = self.bytes[..self.bytes.len().min(64)].escape_ascii();
                    self.target
                        .record
                        .unattributed(format!("bytes to a client that are not a frame, {why}: '{shown}'"));
                    return self.end("bytes that are not a frame".to_string());
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return ReadOutcome::TimedOut;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk) {
                Ok(0) => return self.end("closed with no answer".to_string()),
                Ok(len) => self.bytes.extend_from_slice(&chunk[..len]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return self.end(format!("the connection broke: {e}")),
            }
        }
    }

    fn end(&mut self, how: String) -> ReadOutcome {
        self.ended = true;
        self.ended_at.get_or_insert_with(Instant::now);
        let mut entries = self.target.record.entries();
        for index in self.open.values() {
            entries.requests[*index].ended = Some(how.clone());
        }
        if !self.bytes.is_empty() {
            let shown = self.bytes[..self.bytes.len().min(64)].escape_ascii().to_string();
            if entries.kills.is_empty() {
                entries
                    .unattributed
                    .push(format!("an incomplete frame to a client before the connection closed: '{shown}'"));
            }
        }
        ReadOutcome::Closed
    }

    fn message(&mut self, frame: &[u8]) {
        match thrift::decode(frame) {
            Ok(Message::Draining) => self.draining = true,
            Ok(Message::Answer(seq, answer)) => self.answer(seq, answer),
            Err(why) => {
                let shown = frame[..frame.len().min(64)].escape_ascii();
                self.target
                    .record
                    .unattributed(format!("a message to a client that can't be decoded, {why}: '{shown}'"));
            }
        }
    }

    fn answer(&mut self, seq: i32, answer: Answer) {
        if let Some(check) = self.checks.get_mut(&seq) {
            let good = matches!(answer, Answer::Served(..));
            if check.replace(good).is_some() {
                self.target.record.unattributed(format!("a second answer to health check {seq}"));
            }
            return;
        }
        let Some(index) = self.open.get(&seq).or_else(|| self.answered.get(&seq)).copied() else {
            // Sequence number 0 reports bytes that are not a message; it answers no request.
            if seq != 0 {
                self.target
                    .record
                    .unattributed(format!("an answer to number {seq}, which was not sent: {answer:?}"));
            }
            return;
        };
        // Drops only an answer of a run that began: a rejected request counts as crossed and is sent again if the
        // connection drains meanwhile.
        if matches!(answer, Answer::Served(..)) && self.target.drops_answer.swap(false, Ordering::SeqCst) {
            return;
        }
        self.open.remove(&seq);
        self.answered.insert(seq, index);
        self.target.record.entries().requests[index].answers.push((Instant::now(), answer));
    }

    /// Indexes of the requests that are owed an answer and have none.
    fn unanswered(&self) -> Vec<usize> {
        let entries = self.target.record.entries();
        let open = self.open.values().copied();
        open.filter(|index| {
            let request = &entries.requests[*index];
            request.owed && request.written.is_some() && request.answers.is_empty()
        })
        .collect()
    }

    /// Reads for this time. An end of the connection is so noticed at once, with requests open.
    pub fn read_for(&mut self, time: Duration) -> ReadOutcome {
        let until = Instant::now() + time.max(MIN_READ_TIME);
        loop {
            match self.read(until) {
                ReadOutcome::Message => {}
                outcome => return outcome,
            }
        }
    }

    /// Reads until everything is answered or the connection closes; on a timeout, records the states of the server's
    /// threads.
    pub fn wait_for_answers(&mut self) -> ReadOutcome {
        self.wait_for_answers_until(Instant::now() + HANG_TIMEOUT)
    }

    /// Like [`Self::wait_for_answers`], with another time after which the connection counts as hung.
    pub fn wait_for_answers_until(&mut self, until: Instant) -> ReadOutcome {
        self.wait_for_places_until(0, until)
    }

    /// Like [`Self::wait_for_answers_until`], but leaves up to `max_open` requests unanswered.
    pub fn wait_for_places_until(&mut self, max_open: usize, until: Instant) -> ReadOutcome {
        while self.unanswered().len() > max_open || !self.checked() {
            match self.read(until) {
                ReadOutcome::Message => {}
                ReadOutcome::Closed => return ReadOutcome::Closed,
                ReadOutcome::TimedOut => {
                    let hang = self.target.threads();
                    let mut entries = self.target.record.entries();
                    for index in self.open.values() {
                        let request = &mut entries.requests[*index];
                        request.hang = Some(hang.clone());
                    }
                    return ReadOutcome::TimedOut;
                }
            }
        }
        ReadOutcome::Message
    }

    /// Closes the sending half and reads until the server closes, so that a surplus answer is seen.
    pub fn finish(mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let until = Instant::now() + CLOSE_TIMEOUT;
        while !self.ended && self.read(until) == ReadOutcome::Message {}
    }

    /// Sends requests that crossed the close of this connection once more on a new one. As on the protocol page,
    /// these are only requests that the server had not read, and only after it announced that it drains.
    pub fn send_crossed_again(self, target: &Target) {
        if self.draining {
            self.send_again(target, Duration::MAX);
        }
    }

    /// Sends requests again that were written at most this long before the end of the connection, whether or not the
    /// server has announced that it drains. The others stay unanswered.
    pub fn send_crossing_again(self, target: &Target, crossing: Duration) {
        self.send_again(target, crossing);
    }

    fn send_again(self, target: &Target, crossing: Duration) {
        let ended = self.ended_at.unwrap_or_else(Instant::now);
        let unanswered = self.unanswered();
        let crossed: Vec<usize> = {
            let mut entries = target.record.entries();
            let of = |index: &usize| {
                let request = &entries.requests[*index];
                let is_late =
                    request.written.is_some_and(|at| ended.saturating_duration_since(at) <= crossing);
                is_late && !entries.began(&request.rid)
            };
            let crossed: Vec<usize> = unanswered.into_iter().filter(of).collect();
            for index in &crossed {
                entries.requests[*index].sent_again = true;
            }
            crossed
        };
        if crossed.is_empty() {
            return;
        }
        let Some(mut connection) = target.connect() else { return };
        // The content is copied from the record, so nothing is drawn.
        let mut random = Random::new(0, 0);
        let options = |index: usize| RequestOptions { resend_of: Some(index), ..RequestOptions::default() };
        let prepared: Vec<Prepared> =
            crossed.into_iter().map(|index| connection.prepare(&mut random, &options(index))).collect();
        if connection.send(&prepared).is_ok() {
            connection.wait_for_answers();
            connection.finish();
        }
    }
}
