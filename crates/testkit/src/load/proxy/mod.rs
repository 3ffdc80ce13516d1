//! A proxy: its threads, its schedule, and what becomes of its requests. Connections and what goes over them are in the modules below.

mod connections;
mod events;
mod tries;

use super::{Asked, Books, Class, Habit, Live, Retry, Servers, classes, scaled_classes};
use crate::registry::server::unix_ms;
use crate::thrift::Message;
use connections::Conn;
use crossbeam_channel::{Receiver, Sender, select, unbounded};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Shutdown, SocketAddr};
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

enum Event {
    Frame(u64, Message),
    Ended(u64),
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
}
