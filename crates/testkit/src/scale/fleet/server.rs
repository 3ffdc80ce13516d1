//! Hollow server: the real reducer with admission control and cluster, a real UDP socket, synthetic requests, and no processor.
//!
//! Compared to the daemon it lacks the threads, the front ends, the processor link and the files. Sent datagrams are counted at
//! the socket; the membership comes from the reducer's answers to admin requests.

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

/// Maximum number of datagrams read in one pass of a server, so that it doesn't delay the other servers of its host.
const MAX_DATAGRAMS_PER_PASS: usize = 16;
/// Maximum number of reducer steps in one pass; immediate answers of the simulated processor are handled in the same pass.
const MAX_STEPS_PER_PASS: usize = 4;
/// Due time of a server that has nothing to do.
const IDLE_INTERVAL: Span = Span(1_000_000_000);

/// State shared by the servers of a host.
pub struct HostContext {
    /// Clock of the host.
    pub clock: Clock,
    /// Buffer pool for request bodies and results.
    pub pool: Arc<BufferPool>,
    /// Configuration of all servers, up to name and seed.
    pub config: Config,
    /// Settings of the configuration, shared by the reducers.
    pub settings: Arc<Settings>,
    /// Cluster settings and keys; `None` if the servers are unconnected.
    pub fleet: Option<(FleetSettings, AuthenticationKeys)>,
    /// Regions of all servers by address.
    pub regions: Regions,
    /// Partition in force.
    pub cut: Cut,
    /// Number of datagrams dropped by partitions.
    pub cut_dropped: u64,
    /// Addresses of the real daemons.
    pub real_addresses: HashSet<SocketAddr>,
    /// Received datagrams and bytes, by kind and by whether a real daemon sent them.
    kinds: BTreeMap<(bool, &'static str), (u64, u64)>,
}

impl HostContext {
    /// Creates the shared state for a plan.
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
            real_addresses: plan.fleet.iter().filter(|one| one.real).map(|one| one.address).collect(),
            kinds: BTreeMap::new(),
        }
    }

    /// Datagrams received so far.
    pub fn kinds(&self) -> Vec<KindFigures> {
        let figures = |(&(from_real, kind), &(datagrams, bytes)): (&(bool, &'static str), &(u64, u64))| {
            KindFigures { kind: kind.to_string(), from_real, datagrams, bytes }
        };
        self.kinds.iter().map(figures).collect()
    }
}

/// CPU time of this thread so far, in nanoseconds.
pub fn thread_cpu_ns() -> u64 {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    used.tv_sec as u64 * 1_000_000_000 + used.tv_nsec as u64
}

/// A hollow server.
pub struct HollowServer {
    reducer: Reducer,
    socket: UdpSocket,
    region: Region,
    requests: Requests,
    limiter: RateLimiter,
    inputs: Vec<Input>,
    effects: Vec<Effect>,
    /// Datagrams dropped at the socket and not yet reported to the reducer.
    dropped: BTreeMap<DropReason, u64>,
    due: Time,
    polls: u64,
    others: u64,
    spend: Spend,
    next_spend: Option<Time>,
    /// Destination of the extra bytes: another server, which drops them.
    spend_to: Option<SocketAddr>,
    figures: ServerFigures,
}

impl HollowServer {
    /// Starts the server with this index in the plan.
    pub fn start(plan: &HostPlan, number: usize, context: &HostContext) -> Result<Self, Box<dyn Error>> {
        let place = &plan.places[number];
        let now = context.clock.read().now;
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(name_number(&place.name));
        let config =
            Config { name: place.name.clone(), seed: format!("{seed:016x}"), ..context.config.clone() };
        let mut reducer =
            Reducer::new(&config, Arc::clone(&context.settings), Registration::new(None, Span(0)))?;
        if let Some((set, keys)) = &context.fleet {
            let set = own_settings(set, place);
            let settings = cluster_settings(&set, &config, keys.clone(), context.clock, seed)?;
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
            polls: 0,
            others: plan.fleet.len().saturating_sub(1) as u64,
            spend,
            next_spend: spend.is_any().then_some(now),
            spend_to: plan.fleet.iter().map(|one| one.address).find(|address| *address != place.address),
            figures: ServerFigures::default(),
        })
    }

    /// Gossip socket, for the event loop of the host.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Time at which the server must run even without a datagram.
    pub fn due(&self) -> Time {
        self.due
    }

    /// Counters so far, and membership as of the last poll.
    pub fn figures(&self) -> &ServerFigures {
        &self.figures
    }

    /// Receives datagrams, runs due work and sends; the CPU time counts for this server.
    pub fn run_once(&mut self, context: &mut HostContext, has_mail: bool) -> io::Result<()> {
        let cpu_start = thread_cpu_ns();
        if has_mail {
            self.receive(context)?;
        }
        for _ in 0..MAX_STEPS_PER_PASS {
            let moment = context.clock.read();
            let Self { requests, inputs, .. } = self;
            self.figures.asked += requests.due(moment, &context.settings, &context.pool, inputs);
            self.reducer.step(moment, self.inputs.drain(..), &mut self.effects);
            self.carry_out(moment.now, context);
            if self.inputs.is_empty() {
                break;
            }
        }
        self.spend(context, cpu_start);
        let now = context.clock.read().now;
        self.due = self.next_due(now);
        self.figures.cpu_ns += thread_cpu_ns().saturating_sub(cpu_start);
        Ok(())
    }

    fn next_due(&self, now: Time) -> Time {
        if !self.inputs.is_empty() {
            return now;
        }
        let wakes = [self.reducer.wake_at(), self.requests.wake_at(), self.next_spend];
        wakes.into_iter().flatten().min().unwrap_or(time_after(now, IDLE_INTERVAL))
    }

    fn receive(&mut self, context: &mut HostContext) -> io::Result<()> {
        // One byte more than the maximum, so that a truncated datagram isn't mistaken for a complete one.
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_PASS {
            let (length, from) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // ICMP error of an earlier datagram: its receiver has gone.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(e) => return Err(e),
            };
            if !context.regions.passes(&context.cut, self.region, from) {
                context.cut_dropped += 1;
                continue;
            }
            self.open(context, &buffer[..length], from);
        }
        if !self.dropped.is_empty() {
            let dropped: Vec<(DropReason, u64)> = std::mem::take(&mut self.dropped).into_iter().collect();
            self.inputs.push(Input::PeerDatagramsDropped(dropped));
        }
        Ok(())
    }

    fn open(&mut self, context: &mut HostContext, datagram: &[u8], from: SocketAddr) {
        let Some((_, keys)) = &context.fleet else { return };
        let opened = if self.limiter.admits(context.clock.read().now) {
            Envelope::open(keys, datagram)
        } else {
            Err(DropReason::RateLimited)
        };
        match opened {
            Ok(envelope) => {
                let kind = context
                    .kinds
                    .entry((context.real_addresses.contains(&from), kind_label(&envelope)))
                    .or_default();
                *kind = (kind.0 + 1, kind.1 + datagram.len() as u64);
                self.inputs.push(Input::PeerDatagram(Box::new(envelope)));
            }
            Err(why) => *self.dropped.entry(why).or_default() += 1,
        }
    }

    fn carry_out(&mut self, now: Time, context: &mut HostContext) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::SendPeerDatagram { to, datagram } => self.send(context, to, &datagram),
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
                other => self.requests.apply(now, other, &mut self.inputs),
            }
        }
        self.effects = effects;
    }

    fn send(&mut self, context: &mut HostContext, to: SocketAddr, datagram: &[u8]) {
        self.figures.sent += 1;
        self.figures.sent_bytes += datagram.len() as u64;
        if !context.regions.passes(&context.cut, self.region, to) {
            context.cut_dropped += 1;
            return;
        }
        // Fails if a socket buffer is full or the receiver has gone; the datagram is lost as on any network.
        let _ = self.socket.send_to(datagram, to);
    }

    /// Spends the injected extra cost, once per tick.
    fn spend(&mut self, context: &mut HostContext, cpu_start: u64) {
        let now = context.clock.read().now;
        let Some(at) = self.next_spend.filter(|at| *at <= now) else { return };
        self.next_spend = Some(time_after(at, Span(TICK_MS * 1_000_000)));
        let bytes = self.spend.bytes_per_tick();
        if let Some(to) = self.spend_to.filter(|_| bytes > 0) {
            self.send(context, to, &vec![0; bytes]);
        }
        let until = thread_cpu_ns().max(cpu_start) + u64::from(self.spend.tick_us) * 1_000;
        while thread_cpu_ns() < until {
            std::hint::spin_loop();
        }
    }

    /// Polls the reducer for its status. The CPU time counts for the host, not for the server.
    pub fn poll_state(&mut self, context: &mut HostContext) {
        let moment = context.clock.read();
        self.polls += 1;
        let asked = Input::AdminRequest { id: self.polls, request: AdminRequest::Stats };
        self.reducer.step(moment, [asked], &mut self.effects);
        self.carry_out(moment.now, context);
        self.due = self.next_due(moment.now);
        let complete = self.figures.up >= self.others;
        let since = self.figures.whole_since_ms.unwrap_or(moment.unix_ms);
        self.figures.whole_since_ms = complete.then_some(since);
    }
}

/// Label of the message kind of a datagram.
fn kind_label(envelope: &Envelope) -> &'static str {
    envelope.kind().map_or("unknown", MessageKind::label)
}

/// Number in the name of a hollow server.
fn name_number(name: &str) -> u64 {
    name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0)
}

/// Cluster settings with the addresses and zone of this server.
fn own_settings(set: &FleetSettings, place: &Place) -> FleetSettings {
    FleetSettings { listen: place.address, advertise: place.address, zone: place.zone.clone(), ..set.clone() }
}
