//! One hollow server: the real reducer with its decision module and its cluster, a real UDP socket, synthetic requests, and
//! no processor.
//!
//! Beside the program of a real server it lacks the threads, the fronts, the link and the files. What it sends is counted
//! here, by what leaves its socket; what it knows is asked of the reducer as operators ask it.

use super::cut::{Cut, Regions};
use super::layout::{Place, Region};
use super::messages::{HostPlan, KindFigures, ServerFigures};
use super::requests::Requests;
use super::spend::{Spend, TICK_MS};
use gradepin_admission::{Settings, Span, Time, time_after};
use gradepin_cluster::authentication::{AuthenticationKeys, DropReason, MAX_DATAGRAM_BYTES};
use gradepin_cluster::cluster::{Cluster, Envelope, MessageKind};
use gradepin_cluster::rate_limit::RateLimiter;
use gradepin_core::admin::{AdminRequest, AdminResponse};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::messages::{Effect, Input};
use gradepin_core::reducer::Reducer;
use gradepin_core::registration::Registration;
use gradepin_core::response::Response;
use gradepin_node::clock::Clock;
use gradepin_node::serve::cluster_settings;
use gradepin_node::settings::FleetSettings;
use rustix::time::{ClockId, clock_gettime};
use std::collections::{BTreeMap, HashSet};
use std::error::Error;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// Datagrams read in one turn of a server; more wait for its next one, so that no server keeps the others of its host waiting.
const AT_ONCE: usize = 16;
/// Steps in one turn: what the stand-in processor answers at once is taken in the same turn.
const STEPS: usize = 4;
/// Until it has something to do a server is looked at this often.
const IDLE: Span = Span(1_000_000_000);

/// What servers of one host share.
pub struct Surroundings {
    /// The host's clock.
    pub clock: Clock,
    /// Buffers of bodies and results.
    pub pool: Arc<BufferPool>,
    /// What servers are told.
    pub config: Config,
    /// The same, shared.
    pub settings: Arc<Settings>,
    /// The fleet's keys and settings, where the servers talk.
    pub fleet: Option<(FleetSettings, AuthenticationKeys)>,
    /// Regions by address.
    pub regions: Regions,
    /// The cut in force.
    pub cut: Cut,
    /// Datagrams that it dropped.
    pub cut_dropped: u64,
    /// Addresses of real daemons.
    pub reals: HashSet<SocketAddr>,
    /// What hollow servers received, by kind and by whether a real daemon sent it.
    kinds: BTreeMap<(bool, &'static str), (u64, u64)>,
}

impl Surroundings {
    /// For a host with this plan.
    pub fn new(plan: &HostPlan, config: Config, fleet: Option<(FleetSettings, AuthenticationKeys)>) -> Self {
        let settings = Arc::new(config.settings.clone());
        Self {
            clock: Clock::start(),
            pool: BufferPool::new(256),
            config,
            settings,
            fleet,
            regions: Regions::new(plan.fleet.iter().map(|one| (one.address, one.region))),
            cut: Cut::default(),
            cut_dropped: 0,
            reals: plan.fleet.iter().filter(|one| one.real).map(|one| one.address).collect(),
            kinds: BTreeMap::new(),
        }
    }

    /// What was received so far.
    pub fn kinds(&self) -> Vec<KindFigures> {
        let figures = |(&(from_real, kind), &(datagrams, bytes)): (&(bool, &'static str), &(u64, u64))| {
            KindFigures { kind: kind.to_string(), from_real, datagrams, bytes }
        };
        self.kinds.iter().map(figures).collect()
    }
}

/// The CPU that this thread used so far, in nanoseconds.
pub fn thread_cpu_ns() -> u64 {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    used.tv_sec as u64 * 1_000_000_000 + used.tv_nsec as u64
}

/// One server.
pub struct HollowServer {
    reducer: Reducer,
    socket: UdpSocket,
    region: Region,
    requests: Requests,
    limiter: RateLimiter,
    inputs: Vec<Input>,
    effects: Vec<Effect>,
    /// Drops at the socket since the reducer was told.
    dropped: BTreeMap<DropReason, u64>,
    due: Time,
    looks: u64,
    others: u64,
    spend: Spend,
    next_spend: Option<Time>,
    /// Where bytes go that are spent: another server, which drops them unread.
    spend_to: Option<SocketAddr>,
    figures: ServerFigures,
}

impl HollowServer {
    /// The server with this number among those of its host, which begins now.
    pub fn start(plan: &HostPlan, number: usize, around: &Surroundings) -> Result<Self, Box<dyn Error>> {
        let place = &plan.places[number];
        let now = around.clock.read().now;
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(name_number(&place.name));
        let config =
            Config { name: place.name.clone(), seed: format!("{seed:016x}"), ..around.config.clone() };
        let mut reducer =
            Reducer::new(&config, Arc::clone(&around.settings), Registration::new(None, Span(0)))?;
        if let Some((set, keys)) = &around.fleet {
            let set = own_part(set, place);
            let settings = cluster_settings(&set, &config, keys.clone(), around.clock, seed)?;
            reducer = reducer.with_cluster(Cluster::new(settings, now));
        }
        let socket = UdpSocket::bind(place.address)?;
        socket.set_nonblocking(true)?;
        let spend = if number == 0 { plan.spend } else { Spend::default() };
        Ok(Self {
            reducer,
            socket,
            region: place.region,
            requests: Requests::new(name_number(&place.name), plan.seed, plan.rate, plan.run_ms, now),
            limiter: RateLimiter::default(),
            inputs: vec![Requests::greeting()],
            effects: Vec::new(),
            dropped: BTreeMap::new(),
            due: now,
            looks: 0,
            others: plan.fleet.len().saturating_sub(1) as u64,
            spend,
            next_spend: spend.is_any().then_some(now),
            spend_to: plan.fleet.iter().map(|one| one.address).find(|address| *address != place.address),
            figures: ServerFigures::default(),
        })
    }

    /// Its socket.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// When it has something to do though nothing comes.
    pub fn due(&self) -> Time {
        self.due
    }

    /// What it did so far and knew at the last look.
    pub fn figures(&self) -> &ServerFigures {
        &self.figures
    }

    /// Takes what has come, does what is due, and sends; the CPU of it all is counted as the server's.
    pub fn turn(&mut self, around: &mut Surroundings, has_mail: bool) -> io::Result<()> {
        let begun = thread_cpu_ns();
        if has_mail {
            self.receive(around)?;
        }
        for _ in 0..STEPS {
            let moment = around.clock.read();
            let Self { requests, inputs, .. } = self;
            self.figures.asked += requests.due(moment, &around.settings, &around.pool, inputs);
            self.reducer.step(moment, self.inputs.drain(..), &mut self.effects);
            self.carry_out(moment.now, around);
            if self.inputs.is_empty() {
                break;
            }
        }
        self.spend(around, begun);
        let now = around.clock.read().now;
        self.due = self.next_due(now);
        self.figures.cpu_ns += thread_cpu_ns().saturating_sub(begun);
        Ok(())
    }

    fn next_due(&self, now: Time) -> Time {
        if !self.inputs.is_empty() {
            return now;
        }
        let wakes = [self.reducer.wake_at(), self.requests.wake_at(), self.next_spend];
        wakes.into_iter().flatten().min().unwrap_or(time_after(now, IDLE))
    }

    fn receive(&mut self, around: &mut Surroundings) -> io::Result<()> {
        // One byte more than a datagram may have, so that a longer one isn't taken for a whole one.
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..AT_ONCE {
            let (length, from) = match self.socket.recv_from(&mut buffer) {
                Ok(came) => came,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // What ICMP tells of earlier datagrams: a server that is not there any more.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(e) => return Err(e),
            };
            if !around.regions.passes(&around.cut, self.region, from) {
                around.cut_dropped += 1;
                continue;
            }
            self.open(around, &buffer[..length], from);
        }
        if !self.dropped.is_empty() {
            let dropped: Vec<(DropReason, u64)> = std::mem::take(&mut self.dropped).into_iter().collect();
            self.inputs.push(Input::PeerDatagramsDropped(dropped));
        }
        Ok(())
    }

    fn open(&mut self, around: &mut Surroundings, datagram: &[u8], from: SocketAddr) {
        let Some((_, keys)) = &around.fleet else { return };
        let opened = if self.limiter.admits(around.clock.read().now) {
            Envelope::open(keys, datagram)
        } else {
            Err(DropReason::RateLimited)
        };
        match opened {
            Ok(envelope) => {
                let kind =
                    around.kinds.entry((around.reals.contains(&from), kind_word(&envelope))).or_default();
                *kind = (kind.0 + 1, kind.1 + datagram.len() as u64);
                self.inputs.push(Input::PeerDatagram(Box::new(envelope)));
            }
            Err(why) => *self.dropped.entry(why).or_default() += 1,
        }
    }

    fn carry_out(&mut self, now: Time, around: &mut Surroundings) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::SendPeerDatagram { to, datagram } => self.send(around, to, &datagram),
                Effect::Respond { response: Response::Served(_), .. } => self.figures.served += 1,
                Effect::AnswerAdmin { response: AdminResponse::Stats(stats), .. } => {
                    if let Some(status) = stats.fleet {
                        self.figures.up = status.up as u64;
                        self.figures.heard = status.reporting as u64;
                        self.figures.taken = status.received;
                        self.figures.withheld = status.suppressed;
                        self.figures.dropped = status.dropped.values().sum();
                    }
                }
                other => self.requests.take(now, other, &mut self.inputs),
            }
        }
        self.effects = effects;
    }

    fn send(&mut self, around: &mut Surroundings, to: SocketAddr, datagram: &[u8]) {
        self.figures.sent += 1;
        self.figures.sent_bytes += datagram.len() as u64;
        if !around.regions.passes(&around.cut, self.region, to) {
            around.cut_dropped += 1;
            return;
        }
        // A full buffer of the system, or a server that is not there: lost, as on any net.
        let _ = self.socket.send_to(datagram, to);
    }

    /// Spends what it is told to, each tick.
    fn spend(&mut self, around: &mut Surroundings, begun: u64) {
        let now = around.clock.read().now;
        let Some(at) = self.next_spend.filter(|at| *at <= now) else { return };
        self.next_spend = Some(time_after(at, Span(TICK_MS * 1_000_000)));
        let bytes = self.spend.bytes_a_tick();
        if let Some(to) = self.spend_to.filter(|_| bytes > 0) {
            self.send(around, to, &vec![0; bytes]);
        }
        let until = thread_cpu_ns().max(begun) + u64::from(self.spend.tick_us) * 1_000;
        while thread_cpu_ns() < until {
            std::hint::spin_loop();
        }
    }

    /// Asks the reducer what it knows. That is the host's work, not the server's, and not counted as its CPU.
    pub fn look(&mut self, around: &mut Surroundings) {
        let moment = around.clock.read();
        self.looks += 1;
        let asked = Input::AdminRequest { id: self.looks, request: AdminRequest::Stats };
        self.reducer.step(moment, [asked], &mut self.effects);
        self.carry_out(moment.now, around);
        self.due = self.next_due(moment.now);
        let whole = self.figures.up >= self.others;
        let since = self.figures.whole_since_ms.unwrap_or(moment.unix_ms);
        self.figures.whole_since_ms = whole.then_some(since);
    }
}

/// The kind of a datagram's content, in a word.
fn kind_word(envelope: &Envelope) -> &'static str {
    envelope.kind().map_or("unknown", MessageKind::label)
}

/// The number in a hollow server's name.
fn name_number(name: &str) -> u64 {
    name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0)
}

/// The fleet's settings as they would stand in this server's file.
fn own_part(set: &FleetSettings, place: &Place) -> FleetSettings {
    FleetSettings { listen: place.address, advertise: place.address, zone: place.zone.clone(), ..set.clone() }
}
