//! Client proxies: each draws its requests from a seed, finds servers by a list, speaks Thrift, tries again elsewhere,
//! and keeps books of every try.

use crate::fleet::scgi_of;
use crate::registry::server::unix_ms;
use crate::thrift::{self, Answer, Message};
use crossbeam_channel::{Receiver, Sender, select, unbounded};
use gradepin_node::fronts::scgi::codec::{self as scgi, Response};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// For a connection to a server on this machine.
const CONNECT: Duration = Duration::from_millis(200);
/// Requests open on one connection, as the protocol allows.
const WINDOW: usize = 32;
/// Past the time that its caller waits an answer is late, and past this again it is none.
const LATE: Duration = Duration::from_millis(150);

/// A class as callers know it.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// How long callers wait.
    pub deadline: Duration,
    /// How long until the full worth is lost.
    pub aim: Duration,
    /// Whether its tries share a token and must run once.
    pub keyed: bool,
}

/// The classes of the brief, at a quarter of its times.
pub fn classes() -> Vec<Class> {
    let class = |name: &str, share, aim, deadline, keyed| Class {
        name: name.to_string(),
        share,
        aim: Duration::from_millis(aim),
        deadline: Duration::from_millis(deadline),
        keyed,
    };
    vec![
        class("sheet-view", 0.36, 400, 1000, false),
        class("deep-zoom", 0.29, 550, 1450, false),
        class("label-read", 0.23, 400, 1000, false),
        class("label-save", 0.12, 400, 1000, true),
    ]
}

/// The same with aims and deadlines so many times as long; 4 gives the brief's own.
pub fn scaled_classes(scale: u32) -> Vec<Class> {
    let scaled = |class: Class| Class { aim: class.aim * scale, deadline: class.deadline * scale, ..class };
    classes().into_iter().map(scaled).collect()
}

/// How a proxy finds servers. A name stands for a server in the books.
pub trait Servers: Send {
    /// A server to send to, none of the avoided ones if there is another.
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr>;
}

/// A list that never changes, each in its turn.
pub struct Fixed {
    /// The servers.
    pub all: Vec<SocketAddr>,
    /// Whose turn it is.
    pub turn: usize,
}

impl Servers for Fixed {
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        self.turn += 1;
        let turns = (0..self.all.len()).map(|n| self.all[(self.turn + n) % self.all.len()]);
        turns.clone().find(|&server| !avoided(server)).or_else(|| turns.clone().next())
    }
}

/// A list that somebody else keeps up.
impl Servers for Arc<Mutex<Fixed>> {
    fn pick(&mut self, avoided: &dyn Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        self.lock().unwrap_or_else(PoisonError::into_inner).pick(avoided)
    }
}

/// What became of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Served.
    Served,
    /// Turned away.
    Refused,
    /// Answered with a failure.
    Failed,
    /// No connection could be had.
    NoConnection,
    /// The connection ended without an answer.
    Lost,
    /// No answer by its time.
    TimedOut,
}

/// One try in the books.
#[derive(Debug, Clone)]
pub struct Try {
    /// Its id on the wire.
    pub rid: String,
    /// What all tries of its request share; also its body.
    pub request: u64,
    /// Index of its class.
    pub class: usize,
    /// Where it went.
    pub server: SocketAddr,
    /// Whether over SCGI.
    pub scgi: bool,
    /// When it was written, in Unix milliseconds.
    pub t0_ms: u64,
    /// How long its caller waits.
    pub budget_ms: u64,
    /// When its end was known.
    pub end_ms: u64,
    /// Its end.
    pub end: End,
    /// Whether what was served is what a run makes of its body.
    pub genuine: bool,
}

/// Counts tries by whether they went over SCGI and by their ends, and prints a line for each.
pub fn tally<'a>(tries: impl Iterator<Item = &'a Try>) -> BTreeMap<(bool, End), usize> {
    let mut ends = BTreeMap::new();
    for one in tries {
        *ends.entry((one.scgi, one.end)).or_default() += 1;
    }
    for ((scgi, end), count) in &ends {
        println!("  {} {:<12} {count:>7} tries", if *scgi { "SCGI  " } else { "Thrift" }, format!("{end:?}"));
    }
    ends
}

/// How a proxy behaves.
#[derive(Debug, Clone)]
pub struct Habit {
    /// First tries a second, Poisson.
    pub rate: f64,
    /// Whether and where it tries again.
    pub retry: Retry,
    /// Whether it stays away from a server as long as a refusal asks.
    pub heeds: bool,
    /// The part of its requests that it sends over SCGI.
    pub scgi_share: f64,
    /// Keyed requests that it sends a second time over the other front, to the same server.
    pub repeats: Repeats,
}

impl Habit {
    /// So many first tries a second over Thrift, each with so many tries at the most.
    pub fn thrift(rate: f64, tries: usize, heeds: bool) -> Self {
        Self { rate, retry: Retry::Listed(tries), heeds, scgi_share: 0.0, repeats: Repeats::default() }
    }
}

/// Whether and where a proxy tries again, for as long as the caller waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// So many tries at the most, each at another server.
    Listed(usize),
    /// At once, down the list and round again, whatever a refusal says.
    Unlimited,
    /// Not before the time that the refusal tells, and somewhat spread.
    Patient,
}

/// Second copies of keyed requests, some time after the first.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Repeats {
    /// The part of the keyed requests.
    pub share: f64,
    /// Milliseconds after the first, at the most.
    pub within_ms: u64,
    /// Without the protection: each has a token of its own, as if the fronts shared no table.
    pub strangers: bool,
}

/// A request in the books, its tries folded into one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    /// Index of its class.
    pub class: usize,
    /// Whether over SCGI.
    pub scgi: bool,
    /// When it came, in Unix milliseconds.
    pub arrived_ms: u64,
    /// Milliseconds until it was served, if it was.
    pub took_ms: Option<u64>,
}

/// What one proxy counted.
#[derive(Debug, Default)]
pub struct Books {
    /// Every try that ended.
    pub tries: Vec<Try>,
    /// Every request that ended.
    pub requests: Vec<Asked>,
}

/// What a try is made of.
struct Sent {
    class: usize,
    again: bool,
    token: String,
    scgi: bool,
    repeat: bool,
}

enum Event {
    Frame(u64, Message),
    Ended(u64),
}

struct Conn {
    /// Whether it carries one request.
    once: bool,
    id: u64,
    stream: TcpStream,
    next_seq: i32,
    open: HashMap<i32, Open>,
    draining: bool,
}

#[derive(Clone)]
struct Open {
    rid: String,
    request: u64,
    t0_ms: u64,
    due: Instant,
    scgi: bool,
    /// A second copy: what becomes of it ends nothing but itself, unless it is served.
    repeat: bool,
}

/// What is to be sent later.
enum Later {
    /// A request's next try.
    Again(u64),
    /// A second copy of a keyed request.
    Repeat { request: u64, class: usize, token: String, server: SocketAddr, scgi: bool },
}

struct Pending {
    class: usize,
    arrived: Instant,
    arrived_ms: u64,
    tries: usize,
    tried: HashSet<SocketAddr>,
    token: String,
    scgi: bool,
    /// When its first try was written.
    written: Option<Instant>,
}

impl Pending {
    fn asked(&self, took_ms: Option<u64>) -> Asked {
        Asked { class: self.class, scgi: self.scgi, arrived_ms: self.arrived_ms, took_ms }
    }
}

/// A proxy that runs in threads of its own until it is told to stop.
pub struct Proxy {
    stop: Arc<AtomicBool>,
    done: Receiver<Books>,
    live: Arc<Mutex<Live>>,
}

/// Counts since the last look.
#[derive(Debug, Default, Clone)]
pub struct Live {
    /// Requests that came.
    pub arrived: u64,
    /// Served within their aim, and after it.
    pub served: u64,
    /// See `served`.
    pub late: u64,
    /// Given up: no try was served.
    pub unserved: u64,
    /// Tries turned away.
    pub refused: u64,
    /// Microseconds until served, from the moment at which the schedule has the request come: what the sender itself
    /// is late by counts.
    pub times_us: Vec<u64>,
    /// The same from the first write: what a client that waits for answers would measure.
    pub writes_us: Vec<u64>,
}

impl Live {
    /// Adds another's.
    pub fn add(&mut self, other: Live) {
        self.arrived += other.arrived;
        self.served += other.served;
        self.late += other.late;
        self.unserved += other.unserved;
        self.refused += other.refused;
        self.times_us.extend(other.times_us);
        self.writes_us.extend(other.writes_us);
    }
}

impl Proxy {
    /// Starts one; `peer` is its number.
    pub fn start(peer: u64, seed: u64, habit: Habit, servers: Box<dyn Servers>) -> std::io::Result<Self> {
        Self::start_with(peer, seed, habit, servers, &HashMap::new(), 1)
    }

    /// The same with the addresses of SCGI listeners by those of their servers, and with times so many times as long.
    pub fn start_with(
        peer: u64,
        seed: u64,
        habit: Habit,
        servers: Box<dyn Servers>,
        doors: &HashMap<SocketAddr, SocketAddr>,
        scale: u32,
    ) -> std::io::Result<Self> {
        let (stop, live) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Live>>::default());
        let (send, done) = unbounded();
        let (stops, counts) = (Arc::clone(&stop), Arc::clone(&live));
        let doors = doors.clone();
        let run = move || {
            let mut state = State::new(peer, seed, habit, servers, counts);
            (state.doors, state.classes) = (doors, scaled_classes(scale));
            state.run(&stops);
            let _ = send.send(state.books);
        };
        thread::Builder::new().name("proxy".into()).spawn(run)?;
        Ok(Self { stop, done, live })
    }

    /// Counts since the last call.
    pub fn live(&self) -> Live {
        std::mem::take(&mut *self.live.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sends no more, waits for what is open, and gives the books.
    pub fn stop(self) -> Books {
        self.stop.store(true, Ordering::Relaxed);
        self.done.recv().unwrap_or_default()
    }
}

struct State {
    peer: u64,
    rng: Pcg64Mcg,
    habit: Habit,
    servers: Box<dyn Servers>,
    classes: Vec<Class>,
    /// Where servers take SCGI, if that is not where a fleet's would.
    doors: HashMap<SocketAddr, SocketAddr>,
    conns: HashMap<SocketAddr, Vec<Conn>>,
    pending: HashMap<u64, Pending>,
    away: HashMap<SocketAddr, Instant>,
    /// By time and number.
    later: BTreeMap<(Instant, u64), Later>,
    books: Books,
    live: Arc<Mutex<Live>>,
    events: Receiver<Event>,
    sender: Sender<Event>,
    next_conn: u64,
    next_request: u64,
    next_later: u64,
}

impl State {
    fn new(peer: u64, seed: u64, habit: Habit, servers: Box<dyn Servers>, live: Arc<Mutex<Live>>) -> Self {
        let (sender, events) = unbounded();
        Self {
            peer,
            rng: Pcg64Mcg::seed_from_u64(seed),
            habit,
            servers,
            classes: classes(),
            doors: HashMap::new(),
            conns: HashMap::new(),
            pending: HashMap::new(),
            away: HashMap::new(),
            later: BTreeMap::new(),
            books: Books::default(),
            live,
            events,
            sender,
            next_conn: 0,
            next_request: 0,
            next_later: 0,
        }
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn count(&self, change: impl FnOnce(&mut Live)) {
        change(&mut self.live.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn run(&mut self, stop: &AtomicBool) {
        let mut next = Instant::now();
        let events = self.events.clone();
        loop {
            let stopping = stop.load(Ordering::Relaxed);
            if stopping && self.pending.is_empty() {
                break;
            }
            let now = Instant::now();
            while !stopping && next <= now {
                // Counted from its moment in the schedule: a sender that is held up must not hide the wait.
                self.arrive(next);
                let gap = -(1.0 - self.unit()).ln() / self.habit.rate.max(1e-3);
                next += Duration::from_secs_f64(gap.min(60.0));
            }
            self.time_out(now);
            while let Some(entry) = self.later.first_entry().filter(|entry| entry.key().0 <= now) {
                match entry.remove() {
                    Later::Again(request) => self.send(request),
                    Later::Repeat { request, class, token, server, scgi } => {
                        self.repeat(request, class, token, server, scgi);
                    }
                }
            }
            let tick = Duration::from_millis(20);
            let due = self.later.first_key_value().map_or(next, |((at, _), _)| next.min(*at));
            let wait = if stopping { tick } else { due.saturating_duration_since(Instant::now()).min(tick) };
            select! {
                recv(events) -> event => {
                    self.event(event.ok());
                    while let Ok(event) = events.try_recv() {
                        self.event(Some(event));
                    }
                }
                default(wait) => {}
            }
        }
        for conn in self.conns.drain().flat_map(|(_, conns)| conns) {
            let _ = conn.stream.shutdown(Shutdown::Both);
        }
    }

    fn arrive(&mut self, arrived: Instant) {
        let mut draw = self.unit();
        let class = self.classes.iter().position(|class| {
            draw -= class.share;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        self.next_request += 1;
        let request = (self.peer << 40) | self.next_request;
        let token = format!("{:016x}{:016x}", self.rng.next_u64(), request);
        let arrived_ms = unix_ms();
        let scgi = self.unit() < self.habit.scgi_share;
        let (tried, written) = (HashSet::new(), None);
        let pending = Pending { class, arrived, arrived_ms, tries: 0, tried, token, scgi, written };
        self.pending.insert(request, pending);
        self.count(|live| live.arrived += 1);
        self.send(request);
    }

    /// Sends a request's next try, or gives the request up.
    fn send(&mut self, request: u64) {
        loop {
            let Some(pending) = self.pending.get(&request) else { return };
            let deadline = self.classes[pending.class].deadline;
            let left = deadline.saturating_sub(pending.arrived.elapsed());
            let over = matches!(self.habit.retry, Retry::Listed(most) if pending.tries >= most);
            if over || left < Duration::from_millis(20) {
                return self.give_up(request);
            }
            let now = Instant::now();
            let (away, tried) = (&self.away, &pending.tried);
            let avoided =
                |server| tried.contains(&server) || away.get(&server).is_some_and(|until| *until > now);
            let Some(server) = self.servers.pick(&avoided) else { return self.give_up(request) };
            if tried.contains(&server) {
                if matches!(self.habit.retry, Retry::Listed(_)) {
                    return self.give_up(request);
                }
                // The list begins anew.
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.tried.clear();
                }
            }
            if self.write(request, server, left) {
                return;
            }
            if !matches!(self.habit.retry, Retry::Listed(_)) {
                // No connection is to be had: not again at full speed.
                return self.put_off(CONNECT / 10, Later::Again(request));
            }
        }
    }

    fn put_off(&mut self, by: Duration, what: Later) {
        self.next_later += 1;
        self.later.insert((Instant::now() + by, self.next_later), what);
    }

    fn give_up(&mut self, request: u64) {
        if let Some(pending) = self.pending.remove(&request) {
            self.books.requests.push(pending.asked(None));
            self.count(|live| live.unserved += 1);
        }
    }

    /// Writes a try; false if there is no connection to be had.
    fn write(&mut self, request: u64, server: SocketAddr, left: Duration) -> bool {
        let Some(pending) = self.pending.get_mut(&request) else { return true };
        pending.tries += 1;
        pending.tried.insert(server);
        pending.written.get_or_insert_with(Instant::now);
        let (class, again, token, scgi) =
            (pending.class, pending.tries > 1, pending.token.clone(), pending.scgi);
        let Repeats { share, within_ms, strangers } = self.habit.repeats;
        if !again && self.classes[class].keyed && self.unit() < share {
            let by = Duration::from_secs_f64(within_ms as f64 / 1e3 * self.unit());
            let token = if strangers { format!("{:032x}", self.rng.next_u64()) } else { token.clone() };
            self.put_off(by, Later::Repeat { request, class, token, server, scgi: !scgi });
        }
        self.put(request, server, left, Sent { class, again, token, scgi, repeat: false })
    }

    /// Sends a keyed request's second copy, whatever became of the first.
    fn repeat(&mut self, request: u64, class: usize, token: String, server: SocketAddr, scgi: bool) {
        let left = self.classes[class].deadline;
        self.put(request, server, left, Sent { class, again: true, token, scgi, repeat: true });
    }

    /// Puts a try on a connection; false if there is none to be had.
    fn put(&mut self, request: u64, server: SocketAddr, left: Duration, sent: Sent) -> bool {
        let Sent { class, again, token, scgi: over, repeat } = sent;
        let rid = format!("{:016x}", self.rng.next_u64());
        let memory = 8.0 + 56.0 * self.unit();
        // Cut, not rounded: a rank is under 1, and servers reject what isn't.
        let rank = (self.unit() * 1e4).floor() / 1e4;
        let (keyed, name) = (self.classes[class].keyed, self.classes[class].name.clone());
        let (t0_ms, budget_ms) = (unix_ms(), left.as_millis() as u64);
        let due = Instant::now() + left + LATE;
        let open = Open { rid: rid.clone(), request, t0_ms, due, scgi: over, repeat };
        let conn = if over { self.scgi_connection(server) } else { self.connection(server) };
        let Some(conn) = conn else {
            self.end(server, &open, class, End::NoConnection, false);
            return false;
        };
        conn.next_seq += 1;
        let seq = conn.next_seq;
        let tenants = ["etela-kasvio", "lansi-kasvio", "ita-kasvio", "pohjois-kasvio"];
        let tenant = tenants[(request % 4) as usize];

        let (t0, budget) = (t0_ms.to_string(), budget_ms.to_string());
        let (memory, rank) = (format!("{memory:.1}"), format!("{rank:.4}"));
        let peer = (request >> 40).to_string();
        let mut fields: Vec<(&str, &str)> = vec![
            ("method", &name),
            ("rid", &rid),
            ("t0", &t0),
            ("peer", &peer),
            ("acct", tenant),
            ("budget", &budget),
            ("mem", &memory),
            ("prio", &rank),
        ];
        if again {
            fields.push(("again", "1"));
        }
        if keyed {
            fields.push(("token", &token));
        }
        let bytes = if over {
            let path = format!("/{name}/{request}");
            let quoted = format!("\"{token}\"");
            let mut headers: Vec<(&str, &str)> = vec![
                ("REQUEST_METHOD", if keyed { "PUT" } else { "GET" }),
                ("DOCUMENT_URI", &path),
                ("HTTP_X_REQUEST_ID", &rid),
                ("HTTP_X_CALLER", &peer),
                ("HTTP_X_TENANT", tenant),
                ("HTTP_X_WAIT_MS", &budget),
                ("HTTP_X_MEMORY_KB", &memory),
                ("HTTP_X_RANK", &rank),
            ];
            if again {
                headers.push(("HTTP_X_RETRY", "1"));
            }
            if keyed {
                headers.push(("HTTP_IDEMPOTENCY_KEY", &quoted));
            }
            scgi::encode(&headers, request.to_string().as_bytes())
        } else {
            thrift::call(seq, &fields, request.to_string().as_bytes())
        };
        if conn.stream.write_all(&bytes).is_err() {
            let _ = conn.stream.shutdown(Shutdown::Both);
        }
        conn.open.insert(seq, open);
        true
    }

    /// A connection to a server with room, an open one if there is.
    fn connection(&mut self, server: SocketAddr) -> Option<&mut Conn> {
        let conns = self.conns.entry(server).or_default();
        let usable = |conn: &Conn| !conn.once && !conn.draining && conn.open.len() < WINDOW;
        if !conns.iter().any(usable) {
            let stream = TcpStream::connect_timeout(&server, CONNECT).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_write_timeout(Some(Duration::from_secs(1))).ok()?;
            let mut reads = stream.try_clone().ok()?;
            self.next_conn += 1;
            let (id, events) = (self.next_conn, self.sender.clone());
            let read = move || {
                let (mut bytes, mut chunk) = (Vec::new(), [0; 8192]);
                'conn: while let Ok(len @ 1..) = reads.read(&mut chunk) {
                    bytes.extend_from_slice(&chunk[..len]);
                    loop {
                        match thrift::frame(&bytes) {
                            Ok(Some(len)) => {
                                let Ok(message) = thrift::decode(&bytes[4..len]) else { break 'conn };
                                bytes.drain(..len);
                                let _ = events.send(Event::Frame(id, message));
                            }
                            Ok(None) => break,
                            Err(_) => break 'conn,
                        }
                    }
                }
                let _ = events.send(Event::Ended(id));
            };
            thread::Builder::new().name("proxy-conn".into()).stack_size(128 * 1024).spawn(read).ok()?;
            conns.push(Conn { once: false, id, stream, next_seq: 0, open: HashMap::new(), draining: false });
        }
        conns.iter_mut().find(|conn| usable(conn))
    }

    /// A connection for one request over SCGI.
    fn scgi_connection(&mut self, server: SocketAddr) -> Option<&mut Conn> {
        let door = self.doors.get(&server).copied().unwrap_or_else(|| scgi_of(server));
        let stream = TcpStream::connect_timeout(&door, CONNECT).ok()?;
        stream.set_write_timeout(Some(Duration::from_secs(1))).ok()?;
        let mut reads = stream.try_clone().ok()?;
        self.next_conn += 1;
        let (id, events) = (self.next_conn, self.sender.clone());
        let read = move || {
            let mut bytes = Vec::new();
            let _ = reads.read_to_end(&mut bytes);
            if let Some(answer) = Response::read(&bytes).map(answer_of) {
                let _ = events.send(Event::Frame(id, Message::Answer(1, answer)));
            }
            let _ = events.send(Event::Ended(id));
        };
        thread::Builder::new().name("proxy-scgi".into()).stack_size(128 * 1024).spawn(read).ok()?;
        let conns = self.conns.entry(server).or_default();
        conns.push(Conn { once: true, id, stream, next_seq: 0, open: HashMap::new(), draining: false });
        conns.last_mut()
    }

    fn end(&mut self, server: SocketAddr, open: &Open, class: usize, end: End, genuine: bool) {
        self.books.tries.push(Try {
            rid: open.rid.clone(),
            request: open.request,
            class,
            server,
            scgi: open.scgi,
            t0_ms: open.t0_ms,
            budget_ms: (open.due - LATE).saturating_duration_since(Instant::now()).as_millis() as u64
                + unix_ms().saturating_sub(open.t0_ms),
            end_ms: unix_ms(),
            end,
            genuine,
        });
    }

    fn event(&mut self, event: Option<Event>) {
        match event {
            Some(Event::Frame(id, Message::Draining)) => {
                for conns in self.conns.values_mut() {
                    for conn in conns.iter_mut().filter(|conn| conn.id == id) {
                        conn.draining = true;
                    }
                    // Closed once everything on it is answered.
                    conns.retain(|conn| {
                        let over = conn.draining && conn.open.is_empty();
                        if over {
                            let _ = conn.stream.shutdown(Shutdown::Both);
                        }
                        !over
                    });
                }
            }
            Some(Event::Frame(id, Message::Answer(seq, answer))) => {
                let mut found = None;
                for (&server, conns) in &mut self.conns {
                    if let Some(conn) = conns.iter_mut().find(|conn| conn.id == id) {
                        found = conn.open.remove(&seq).map(|open| (server, open));
                        if conn.draining && conn.open.is_empty() {
                            let _ = conn.stream.shutdown(Shutdown::Both);
                        }
                    }
                }
                if let Some((server, open)) = found {
                    self.answered(server, &open, answer);
                }
            }
            Some(Event::Ended(id)) => {
                let mut lost = Vec::new();
                for (&server, conns) in &mut self.conns {
                    if let Some(place) = conns.iter().position(|conn| conn.id == id) {
                        let conn = conns.remove(place);
                        lost.extend(conn.open.into_values().map(|open| (server, open)));
                    }
                }
                for (server, open) in lost {
                    self.over(server, &open, End::Lost, false);
                    self.again(&open, None);
                }
            }
            None => {}
        }
    }

    fn answered(&mut self, server: SocketAddr, open: &Open, answer: Answer) {
        match answer {
            Answer::Served(result, _) => {
                let genuine = result == [&b"result of "[..], open.request.to_string().as_bytes()].concat();
                self.over(server, open, End::Served, genuine);
                if let Some(pending) = self.pending.remove(&open.request) {
                    let took = pending.arrived.elapsed();
                    let write = pending.written.map_or(took, |at| at.elapsed());
                    let aim = self.classes[pending.class].aim;
                    self.books.requests.push(pending.asked(Some(took.as_millis() as u64)));
                    self.count(|live| {
                        live.times_us.push(took.as_micros() as u64);
                        live.writes_us.push(write.as_micros() as u64);
                        if took <= aim { live.served += 1 } else { live.late += 1 }
                    });
                }
            }
            Answer::Refused { backoff_ms, last, .. } => {
                self.over(server, open, End::Refused, true);
                self.count(|live| live.refused += 1);
                if self.habit.heeds && backoff_ms > 0 {
                    self.away.insert(server, Instant::now() + Duration::from_millis(backoff_ms));
                }
                if self.habit.heeds && last && !open.repeat {
                    self.give_up(open.request)
                } else {
                    self.again(open, Some(Duration::from_millis(backoff_ms)))
                }
            }
            Answer::Failed(_) | Answer::Bad => {
                self.over(server, open, End::Failed, true);
                self.again(open, None);
            }
        }
    }

    /// A try has ended.
    fn over(&mut self, server: SocketAddr, open: &Open, end: End, genuine: bool) {
        let keyed = self.classes.iter().position(|class| class.keyed).unwrap_or(0);
        let class = self.pending.get(&open.request).map_or(keyed, |pending| pending.class);
        self.end(server, open, class, end, genuine);
    }

    /// Tries again: what was refused, with the time to stay away, always; what may have run only if it is safe to
    /// repeat.
    fn again(&mut self, open: &Open, refused: Option<Duration>) {
        if open.repeat {
            return;
        }
        let request = open.request;
        let keyed = self.pending.get(&request).is_some_and(|pending| self.classes[pending.class].keyed);
        match (refused, self.habit.retry) {
            (None, _) if keyed => self.give_up(request),
            (Some(told), Retry::Patient) => {
                // Spread over half as long again, so that those who were turned away together don't return together.
                let spread = 1.0 + 0.5 * self.unit();
                let by = told.max(Duration::from_millis(10)).mul_f64(spread);
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.tried.clear();
                }
                self.put_off(by, Later::Again(request));
            }
            _ => self.send(request),
        }
    }

    fn time_out(&mut self, now: Instant) {
        let mut late = Vec::new();
        for (&server, conns) in &mut self.conns {
            for conn in conns {
                let due: Vec<i32> =
                    conn.open.iter().filter(|(_, open)| open.due <= now).map(|(seq, _)| *seq).collect();
                for seq in due {
                    // Over SCGI a caller that gives up closes.
                    let _ = if conn.once {
                        conn.stream.shutdown(Shutdown::Both)
                    } else {
                        conn.stream.write_all(&thrift::cancel(seq, seq))
                    };
                    late.extend(conn.open.remove(&seq).map(|open| (server, open)));
                }
            }
        }
        for (server, open) in late {
            self.over(server, &open, End::TimedOut, false);
            if !open.repeat {
                self.give_up(open.request);
            }
        }
    }
}

/// An answer over SCGI in the words of the other front.
fn answer_of(response: Response) -> Answer {
    let number = |name: &str| response.header(name).and_then(|text| text.parse::<f64>().ok());
    match response.status {
        200 => Answer::Served(response.body, HashMap::new()),
        503 => Answer::Refused {
            backoff_ms: number("x-gradepin-retry-after-ms").unwrap_or(0.0) as u64,
            last: response.header("x-gradepin-final") == Some("1"),
            hint: number("x-gradepin-hint"),
        },
        _ => Answer::Failed(None),
    }
}
