//! Client proxies that keep to the protocol page, and write down what they send and read.

use super::random::Random;
use super::record::{Record, Request};
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

/// How long anything may take before it counts as a hang: far past all that is due, so that no verdict rests on the machine.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Between tries to connect, and looks at whether the case is over.
pub const LOOK: Duration = Duration::from_millis(5);
/// How long a client waits for the end of a connection that it has ended.
const END_PATIENCE: Duration = Duration::from_secs(2);

/// A server as its clients see it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it takes operators' calls.
    pub admin: SocketAddr,
    /// What was sent and read.
    pub record: Arc<Record>,
    /// Its process.
    pub pid: Arc<AtomicU32>,
    /// Whether it has been told to leave: then a refused connection is as it should be.
    pub leaving: Arc<AtomicBool>,
    /// Whether the load is to end.
    pub quiet: Arc<AtomicBool>,
    /// Whether the next answer that comes is dropped: the seeded defect of the answers.
    pub drops_answer: Arc<AtomicBool>,
}

impl Target {
    /// The states of its threads, for the text of a hang.
    pub fn threads(&self) -> String {
        threads::states(self.pid.load(Ordering::SeqCst))
    }

    /// Whether it has been told to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Whether the load is to end.
    pub fn is_quiet(&self) -> bool {
        self.quiet.load(Ordering::SeqCst) || self.is_leaving()
    }

    /// A connection, tried again while the server is killed and started anew. None once it is leaving.
    pub fn connect(&self) -> Option<Connection> {
        let start = Instant::now();
        loop {
            // Before it is made: a server that is killed right after it must count as killed since.
            let connected = Instant::now();
            match TcpStream::connect_timeout(&self.address, PATIENCE) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    return Some(Connection::new(stream, self.clone(), connected));
                }
                Err(_) if self.is_leaving() => return None,
                Err(e) if start.elapsed() > PATIENCE => {
                    let hang = self.threads();
                    self.record.check("a new connection", Err(format!("{e}; threads\n{hang}")));
                    return None;
                }
                Err(_) => thread::sleep(LOOK),
            }
        }
    }
}

/// What is read from a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Came {
    /// An answer, or the notice that the server is draining.
    Message,
    /// Nothing until the time was up.
    Nothing,
    /// The end.
    End,
}

/// A connection, its open requests, and what is left of the bytes read.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    target: Target,
    next: i32,
    /// By their numbers, requests by their places in the record.
    open: BTreeMap<i32, usize>,
    checks: BTreeMap<i32, Option<bool>>,
    bytes: Vec<u8>,
    /// The server asked for no more requests.
    pub draining: bool,
    ended: bool,
    connected: Instant,
}

/// A request that is ready to be written.
#[derive(Debug, Clone)]
pub struct Prepared {
    /// Its frame.
    pub frame: Vec<u8>,
    /// Its place in the record.
    pub place: usize,
}

/// What is special about a request.
#[derive(Debug, Clone, Default)]
pub struct Special {
    /// A further try of the keyed request of this place.
    pub again: Option<usize>,
    /// The same try as that of this place, which crossed the end of another connection.
    pub crossed: Option<usize>,
    /// The length of its body.
    pub body: Option<usize>,
    /// A field that means nothing, of this length.
    pub padding: Option<usize>,
    /// Its class.
    pub class: Option<&'static str>,
    /// Fields in place of the usual ones.
    pub fields: Vec<(&'static str, String)>,
}

impl Connection {
    /// On a socket that was connected after this time.
    pub fn new(stream: TcpStream, target: Target, connected: Instant) -> Self {
        let (open, checks, bytes) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        Self { stream, target, next: 1, open, checks, bytes, draining: false, ended: false, connected }
    }

    /// Makes a request of drawn class and body, and writes it down as not sent yet.
    pub fn prepare(&mut self, random: &mut Random, special: &Special) -> Prepared {
        let mut entries = self.target.record.entries();
        let earlier = special.again.or(special.crossed).map(|place| entries.requests[place].clone());
        let class = special.class.unwrap_or_else(|| random.one_of(&CLASSES));
        let class = earlier.as_ref().map_or(class, |earlier| earlier.class);
        let body = earlier.as_ref().map(|earlier| earlier.body.clone());
        let body = body.unwrap_or_else(|| body_of(random, special.body));
        let token = earlier.as_ref().and_then(|earlier| earlier.token.clone());
        let new_token = || format!("{:016x}{:016x}", random.number(), random.number());
        let token = token.or_else(|| (class == CLAIM).then(new_token));
        let same = earlier.as_ref().filter(|_| special.crossed.is_some());
        let rid = same.map_or_else(|| format!("{:016x}", random.number()), |same| same.rid.clone());
        let place = entries.request(Request {
            rid: rid.clone(),
            class,
            body: body.clone(),
            token: token.clone(),
            connected: self.connected,
            written: None,
            due: BUDGET + super::settings::SLACK,
            owed: true,
            answers: Vec::new(),
            ended: None,
            hang: None,
            crossed: false,
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
        fields.extend(special.again.map(|_| ("again", "1".to_string())));
        fields.extend(special.padding.map(|length| ("padding", "p".repeat(length))));
        for (name, value) in &special.fields {
            fields.retain(|(known, _)| known != name);
            fields.push((name, value.clone()));
        }
        let fields: Vec<(&str, &str)> = fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
        let seq = self.next;
        self.next += 1;
        self.open.insert(seq, place);
        Prepared { frame: thrift::call(seq, &fields, &body), place }
    }

    /// A health check; how it was answered is told by [`Connection::checked`].
    pub fn prepare_check(&mut self) -> Vec<u8> {
        let seq = self.next;
        self.next += 1;
        self.checks.insert(seq, None);
        thrift::health(seq)
    }

    /// Whether all health checks so far are answered.
    pub fn checked(&self) -> bool {
        self.checks.values().all(Option::is_some)
    }

    /// Whether the health checks were answered well.
    pub fn is_good(&self) -> bool {
        self.checks.values().all(|good| *good == Some(true))
    }

    /// Whether its server was killed since it was made: then nothing is owed on it.
    pub fn was_killed(&self) -> bool {
        self.target.record.entries().killed_since(self.connected)
    }

    /// When it was made.
    pub fn connected(&self) -> Instant {
        self.connected
    }

    /// How long ago it was made.
    pub fn age(&self) -> Duration {
        self.connected.elapsed()
    }

    /// Writes bytes, whatever they are.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The last byte of these was written.
    pub fn written(&self, all: &[Prepared]) {
        let mut entries = self.target.record.entries();
        for prepared in all {
            entries.requests[prepared.place].written = Some(Instant::now());
        }
    }

    /// No answer is owed to these.
    pub fn not_owed(&self, all: &[Prepared]) {
        let mut entries = self.target.record.entries();
        for prepared in all {
            entries.requests[prepared.place].owed = false;
        }
    }

    /// Writes whole requests in one go.
    pub fn send(&mut self, all: &[Prepared]) -> io::Result<()> {
        let bytes: Vec<u8> = all.iter().flat_map(|prepared| prepared.frame.clone()).collect();
        self.write(&bytes)?;
        self.written(all);
        Ok(())
    }

    /// Reads one message, waiting until then.
    pub fn read(&mut self, until: Instant) -> Came {
        loop {
            match thrift::frame(&self.bytes) {
                Ok(Some(len)) => {
                    let frame: Vec<u8> = self.bytes.drain(..len).collect();
                    self.message(&frame[4..]);
                    return Came::Message;
                }
                Ok(None) => {}
                Err(why) => {
                    let shown = self.bytes[..self.bytes.len().min(64)].escape_ascii();
                    self.target
                        .record
                        .foreign(format!("bytes to a client that are no frame, {why}: '{shown}'"));
                    return self.end("bytes that are no frame".to_string());
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Came::Nothing;
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

    fn end(&mut self, how: String) -> Came {
        self.ended = true;
        let mut entries = self.target.record.entries();
        for place in self.open.values() {
            entries.requests[*place].ended = Some(how.clone());
        }
        if !self.bytes.is_empty() {
            let shown = self.bytes[..self.bytes.len().min(64)].escape_ascii().to_string();
            if entries.kills.is_empty() {
                entries.foreign.push(format!("half a frame to a client before the end: '{shown}'"));
            }
        }
        Came::End
    }

    fn message(&mut self, frame: &[u8]) {
        match thrift::decode(frame) {
            Ok(Message::Draining) => self.draining = true,
            Ok(Message::Answer(seq, answer)) => self.answer(seq, answer),
            Err(why) => {
                let shown = frame[..frame.len().min(64)].escape_ascii();
                self.target.record.foreign(format!("a message to a client that is none, {why}: '{shown}'"));
            }
        }
    }

    fn answer(&mut self, seq: i32, answer: Answer) {
        if let Some(check) = self.checks.get_mut(&seq) {
            let good = matches!(answer, Answer::Served(..));
            if check.replace(good).is_some() {
                self.target.record.foreign(format!("a second answer to health check {seq}"));
            }
            return;
        }
        // It stays known after its answer, so that a second one is told as such.
        let Some(place) = self.open.get(&seq) else {
            // With number 0 a peer is told that its bytes make no sense, which is no answer to any request.
            if seq != 0 {
                self.target
                    .record
                    .foreign(format!("an answer to number {seq}, which was not sent: {answer:?}"));
            }
            return;
        };
        // Of a run that began: a rejected request counts as crossed, and is sent again, where the connection drains meanwhile.
        if matches!(answer, Answer::Served(..)) && self.target.drops_answer.swap(false, Ordering::SeqCst) {
            return;
        }
        self.target.record.entries().requests[*place].answers.push((Instant::now(), answer));
    }

    /// The places of the requests that have no answer yet.
    fn unanswered(&self) -> Vec<usize> {
        let entries = self.target.record.entries();
        let open = self.open.values().copied();
        open.filter(|place| {
            let request = &entries.requests[*place];
            request.owed && request.written.is_some() && request.answers.is_empty()
        })
        .collect()
    }

    /// Reads until all is answered, or the connection ends; where the wait is over, writes down what the threads do.
    pub fn wait_for_answers(&mut self) -> Came {
        let until = Instant::now() + PATIENCE;
        while !self.unanswered().is_empty() || !self.checked() {
            match self.read(until) {
                Came::Message => {}
                Came::End => return Came::End,
                Came::Nothing => {
                    let hang = self.target.threads();
                    let mut entries = self.target.record.entries();
                    for place in self.open.values() {
                        let request = &mut entries.requests[*place];
                        request.hang = Some(hang.clone());
                    }
                    return Came::Nothing;
                }
            }
        }
        Came::Message
    }

    /// Ends the connection's half, and reads what still comes: an answer too many would be seen.
    pub fn finish(mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let until = Instant::now() + END_PATIENCE;
        while !self.ended && self.read(until) == Came::Message {}
    }

    /// Sends what crossed the end of this connection once more on a new one, as the protocol page has it: only what the
    /// server had not read, and only where it had asked for no more requests.
    pub fn send_crossed_again(self, target: &Target) {
        let unanswered = self.unanswered();
        if !self.draining || unanswered.is_empty() {
            return;
        }
        let crossed: Vec<usize> = {
            let mut entries = target.record.entries();
            let of = |place: &usize| !entries.began(&entries.requests[*place].rid);
            let crossed: Vec<usize> = unanswered.into_iter().filter(of).collect();
            for place in &crossed {
                entries.requests[*place].crossed = true;
            }
            crossed
        };
        let Some(mut again) = target.connect() else { return };
        // Nothing is drawn for what is sent as it was.
        let mut random = Random::new(0, 0);
        let special = |place: usize| Special { crossed: Some(place), ..Special::default() };
        let prepared: Vec<Prepared> =
            crossed.into_iter().map(|place| again.prepare(&mut random, &special(place))).collect();
        if again.send(&prepared).is_ok() {
            again.wait_for_answers();
            again.finish();
        }
    }
}

/// A body of any bytes; lengths at the limits come often.
fn body_of(random: &mut Random, length: Option<usize>) -> Vec<u8> {
    let limits = [0, 1, 2, 2_047, 2_048];
    let drawn = if random.once_in(4) { random.one_of(&limits) } else { random.count(0..=500) };
    let mut body = random.bytes(length.unwrap_or(drawn));
    if body.len() > 40 {
        // What a reader that looks for line ends would trip over.
        body[..10].copy_from_slice(b"\r\nbegin x ");
    }
    body
}
