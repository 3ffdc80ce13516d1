//! A client proxy: threads, arrival schedule, retries and timers. The submodules handle connections, events and attempts.

mod attempts;
mod connections;
mod events;

use super::{
    Class, IntervalCounts, ProxyBehavior, Records, RequestRecord, Retry, Servers, classes, scaled_classes,
};
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

/// Connect timeout; all servers are on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of open requests per connection, as the protocol allows.
const MAX_OPEN_REQUESTS: usize = 32;
/// Grace time after the caller's deadline; without an answer by then, an attempt counts as timed out.
const TIMEOUT_GRACE: Duration = Duration::from_millis(150);

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
    /// Whether this is a duplicate copy; its outcome doesn't affect the request, unless it is served.
    repeat: bool,
}

/// A send scheduled for later.
enum Later {
    /// The next attempt of a request.
    Attempt(u64),
    /// A duplicate copy of a keyed request.
    Repeat { request: u64, class: usize, token: String, server: SocketAddr, scgi: bool },
}

struct Pending {
    class: usize,
    arrived: Instant,
    arrived_ms: u64,
    attempts: usize,
    tried_servers: HashSet<SocketAddr>,
    token: String,
    scgi: bool,
    /// Time of the first attempt.
    written: Option<Instant>,
}

impl Pending {
    fn record(&self, took_ms: Option<u64>) -> RequestRecord {
        RequestRecord { class: self.class, scgi: self.scgi, arrived_ms: self.arrived_ms, took_ms }
    }
}

/// A client proxy that runs in its own threads until it is stopped.
pub struct Proxy {
    stop: Arc<AtomicBool>,
    done: Receiver<Records>,
    live: Arc<Mutex<IntervalCounts>>,
}

impl Proxy {
    /// Starts a proxy; `peer` is its number on the wire.
    pub fn start(
        peer: u64,
        seed: u64,
        behavior: ProxyBehavior,
        servers: Box<dyn Servers>,
    ) -> std::io::Result<Self> {
        Self::start_with(peer, seed, behavior, servers, &HashMap::new(), 1)
    }

    /// Starts a proxy with the SCGI address of each Thrift address, and with the times of all classes multiplied by `scale`.
    pub fn start_with(
        peer: u64,
        seed: u64,
        behavior: ProxyBehavior,
        servers: Box<dyn Servers>,
        scgi_addresses: &HashMap<SocketAddr, SocketAddr>,
        scale: u32,
    ) -> std::io::Result<Self> {
        let (stop, live) = (Arc::<AtomicBool>::default(), Arc::<Mutex<IntervalCounts>>::default());
        let (send, done) = unbounded();
        let (stop_flag, counts) = (Arc::clone(&stop), Arc::clone(&live));
        let scgi_addresses = scgi_addresses.clone();
        let run = move || {
            let mut state = State::new(peer, seed, behavior, servers, counts);
            (state.scgi_addresses, state.classes) = (scgi_addresses, scaled_classes(scale));
            state.run(&stop_flag);
            let _ = send.send(state.records);
        };
        thread::Builder::new().name("proxy".into()).spawn(run)?;
        Ok(Self { stop, done, live })
    }

    /// Takes the counts since the previous call.
    pub fn live(&self) -> IntervalCounts {
        std::mem::take(&mut *self.live.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Stops sending, waits for the open requests and returns all records.
    pub fn stop(self) -> Records {
        self.stop.store(true, Ordering::Relaxed);
        self.done.recv().unwrap_or_default()
    }
}

struct State {
    peer: u64,
    rng: Pcg64Mcg,
    behavior: ProxyBehavior,
    servers: Box<dyn Servers>,
    classes: Vec<Class>,
    /// SCGI addresses by Thrift address, for servers not listed at [`crate::fleet::scgi_of`].
    scgi_addresses: HashMap<SocketAddr, SocketAddr>,
    conns: HashMap<SocketAddr, Vec<Conn>>,
    pending: HashMap<u64, Pending>,
    avoided_until: HashMap<SocketAddr, Instant>,
    /// Scheduled sends by time and sequence number.
    later: BTreeMap<(Instant, u64), Later>,
    records: Records,
    live: Arc<Mutex<IntervalCounts>>,
    events: Receiver<Event>,
    sender: Sender<Event>,
    next_conn: u64,
    next_request: u64,
    next_later: u64,
}

impl State {
    fn new(
        peer: u64,
        seed: u64,
        behavior: ProxyBehavior,
        servers: Box<dyn Servers>,
        live: Arc<Mutex<IntervalCounts>>,
    ) -> Self {
        let (sender, events) = unbounded();
        Self {
            peer,
            rng: Pcg64Mcg::seed_from_u64(seed),
            behavior,
            servers,
            classes: classes(),
            scgi_addresses: HashMap::new(),
            conns: HashMap::new(),
            pending: HashMap::new(),
            avoided_until: HashMap::new(),
            later: BTreeMap::new(),
            records: Records::default(),
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

    fn count(&self, change: impl FnOnce(&mut IntervalCounts)) {
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
                // Times count from the scheduled arrival, so that a delayed sender doesn't hide the wait.
                self.arrive(next);
                let gap = -(1.0 - self.unit()).ln() / self.behavior.rate.max(1e-3);
                next += Duration::from_secs_f64(gap.min(60.0));
            }
            self.expire_attempts(now);
            while let Some(entry) = self.later.first_entry().filter(|entry| entry.key().0 <= now) {
                match entry.remove() {
                    Later::Attempt(request) => self.send(request),
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
        let scgi = self.unit() < self.behavior.scgi_share;
        let (tried_servers, written) = (HashSet::new(), None);
        let pending =
            Pending { class, arrived, arrived_ms, attempts: 0, tried_servers, token, scgi, written };
        self.pending.insert(request, pending);
        self.count(|live| live.arrived += 1);
        self.send(request);
    }

    /// Sends the next attempt of a request, or gives the request up.
    fn send(&mut self, request: u64) {
        loop {
            let Some(pending) = self.pending.get(&request) else { return };
            let deadline = self.classes[pending.class].deadline;
            let left = deadline.saturating_sub(pending.arrived.elapsed());
            let exhausted = matches!(self.behavior.retry, Retry::Listed(limit) if pending.attempts >= limit);
            if exhausted || left < Duration::from_millis(20) {
                return self.give_up(request);
            }
            let now = Instant::now();
            let (avoided_until, tried_servers) = (&self.avoided_until, &pending.tried_servers);
            let avoided = |server| {
                tried_servers.contains(&server)
                    || avoided_until.get(&server).is_some_and(|until| *until > now)
            };
            let Some(server) = self.servers.pick(&avoided) else { return self.give_up(request) };
            if tried_servers.contains(&server) {
                if matches!(self.behavior.retry, Retry::Listed(_)) {
                    return self.give_up(request);
                }
                // All servers were tried; starts over.
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.tried_servers.clear();
                }
            }
            if self.write(request, server, left) {
                return;
            }
            if !matches!(self.behavior.retry, Retry::Listed(_)) {
                // No connection could be established; a short pause avoids a busy loop.
                return self.schedule(CONNECT_TIMEOUT / 10, Later::Attempt(request));
            }
        }
    }

    fn schedule(&mut self, delay: Duration, send: Later) {
        self.next_later += 1;
        self.later.insert((Instant::now() + delay, self.next_later), send);
    }

    fn give_up(&mut self, request: u64) {
        if let Some(pending) = self.pending.remove(&request) {
            self.records.requests.push(pending.record(None));
            self.count(|live| live.unserved += 1);
        }
    }
}
