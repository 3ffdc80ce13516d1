//! The engine: a day in virtual time, with real servers, or others, and all that surrounds them.
//!
//! One queue of events, one after another. What a server decides is its node's, what a client proxy decides its proxy's; the world
//! moves what passes between them, keeps the books of tries, and tells the account what happened.

mod clients;
mod discovery;
mod faults;
mod machines;
mod outcome;

pub use outcome::{AttemptOutcome, AttemptTrace, Course, Outcome, Second};

use crate::discovery::Entry;
use crate::discovery::registry::{Registry, RegistrySettings};
use crate::net::Net;
use crate::policies::{Kind, Node, NodeFactories, Start};
use crate::proxy::Proxy;
use crate::queue::{At, Calendar, Queue, nanos};
use crate::scenario::{DiscoverySpec, Scenario};
use crate::service_report::rules::{Figures, RuleChecker};
use crate::service_report::service::ServiceCounter;
use crate::service_report::{Ms, TermsError};
use crate::streams::Streams;
use clients::{Conn, Request, Try};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::Effect;
use gradepin_core::registration::Registration;
use gradepin_registry::view::View;
use machines::Machine;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::Arc;

/// Nanoseconds of a millisecond and of a second.
pub const MS: At = 1_000_000;
/// See [`MS`].
pub const S: At = 1_000 * MS;
/// What the Unix clocks show as the day begins.
const EPOCH_MS: u64 = 1_760_000_000_000;
/// Events in a day at the most, for each first try and each second of each server: a day that never ends is told.
const MOST_EVENTS: u64 = 2_000;

/// Why a day can't be played.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// Its terms don't count.
    #[error(transparent)]
    Terms(#[from] TermsError),
    /// There is nobody to play it.
    #[error("expected at least one {0}")]
    Nobody(&'static str),
    /// A trouble on a machine that there isn't.
    #[error("expected machines 0 to {last}, got a trouble on {got}")]
    Machine {
        /// The last one.
        last: usize,
        /// What was told.
        got: usize,
    },
    /// It never came to an end.
    #[error("expected an end after {0} events")]
    Endless(u64),
}

/// In which order what makes up the world is built. A day must not depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// First to last.
    Forward,
    /// Last to first.
    Backward,
}

/// What makes the node of a server; the usual one hosts a policy's.
pub type NodeFactory = Box<dyn Fn(&NodeFactories, Start, Registration) -> Box<dyn Node> + Send>;

/// Names a try.
type TryId = u32;
/// Names a request.
type RequestNo = u32;

#[derive(Debug)]
enum Event {
    /// The next first try of an office.
    Ask(usize),
    /// A try reaches its machine, or word that nobody waits for it.
    Reaches(TryId),
    Cancelled(TryId),
    /// A client proxy's close reaches the server.
    ClosedUp(u64),
    /// An answer, a reset or a refused connection reaches the client proxy.
    Answered(TryId, Got),
    /// A connection is to be drained, or is closed, at the client proxy.
    Draining(u64),
    ClosedDown(u64),
    /// The client proxy waits no longer for a try; tries again; sends a second copy.
    TimedOut(TryId),
    Again(RequestNo),
    Copy(RequestNo),
    /// Something may be done on the cores; the server has something to do.
    Cores(usize),
    Wake(usize),
    /// The list's keeper looks whether a server is silent; a proxy hears of a change.
    Silent(usize),
    Listed {
        proxy: usize,
        machine: usize,
        listed: bool,
        version: u32,
    },
    /// A question reaches the registry; its reply reaches the server's life; a proxy fetches; and has fetched.
    RegistryAsked {
        machine: usize,
        life: u32,
        ask: Box<gradepin_registry::membership::RegistryRequest>,
    },
    RegistryReplied {
        machine: usize,
        life: u32,
        ticket: u64,
        reply: Box<gradepin_registry::membership::RegistryReply>,
    },
    Fetches(usize),
    Fetched {
        proxy: usize,
        fetch: gradepin_registry::view::Fetch,
        apps: Option<Box<gradepin_registry::instance::Applications>>,
    },
    /// A trouble begins, goes on to its next step, or ends.
    Fault(usize, u32),
    Eases(usize),
    /// A machine's server is stopped, if it is still that life; one starts.
    Stops(usize, u32),
    NodeFactories(usize),
    /// A second has passed.
    Second(u32),
}

/// What reaches a client proxy for a try.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Got {
    Served(Option<f64>),
    Refused { away: At, last: bool, level: Option<f64> },
    Failed(Option<f64>),
    Reset,
    Unreached,
}

/// A day that is played.
pub struct World {
    scenario: Arc<Scenario>,
    /// First tries a second before the day's course, and at the most.
    pace: f64,
    top_rate: f64,
    now: At,
    queue: Calendar<Event>,
    events: u64,
    machines: Vec<Machine>,
    proxies: Vec<Proxy>,
    views: Vec<View>,
    /// Versions of the list's entries as each proxy knows them.
    seen: Vec<Vec<u32>>,
    conns: Vec<Conn>,
    /// Usable connections of each proxy to each machine.
    ways: Vec<HashMap<u32, Vec<u64>>>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    traces: Option<Vec<AttemptTrace>>,
    entries: Vec<Entry>,
    registry: Registry,
    /// Until when the roster's keeper is away.
    away_until: At,
    net: Net,
    starts: NodeFactories,
    node_factory: NodeFactory,
    service: ServiceCounter,
    rules: RuleChecker,
    watch: outcome::Watch,
    pool: Arc<BufferPool>,
    effects: Vec<Effect>,
    /// Random numbers of each office, proxy and machine.
    tenants: Vec<Pcg64Mcg>,
    proxy_rngs: Vec<Pcg64Mcg>,
    machine_rngs: Vec<Pcg64Mcg>,
    /// Seconds of work of reading a request.
    read_s: f64,
    reads: u64,
    idents: u32,
}

impl World {
    /// A day with servers of a kind.
    pub fn new(scenario: Scenario, kind: Kind) -> Result<Self, ScenarioError> {
        Self::with(
            scenario,
            Box::new(move |starts, start, told| starts.node(kind, start, told)),
            Order::Forward,
        )
    }

    /// A day with nodes of any make, built in some order.
    pub fn with(scenario: Scenario, node_factory: NodeFactory, order: Order) -> Result<Self, ScenarioError> {
        for (what, none) in [
            ("machine", scenario.machines.is_empty()),
            ("client proxy", scenario.proxies.is_empty()),
            ("class and tenant", scenario.classes.is_empty() || scenario.tenants.is_empty()),
        ] {
            if none {
                return Err(ScenarioError::Nobody(what));
            }
        }
        let last = scenario.machines.len() - 1;
        if let Some(&got) = scenario.faults.iter().flat_map(|fault| fault.machines()).find(|on| **on > last) {
            return Err(ScenarioError::Machine { last, got });
        }
        let streams = Streams::new(scenario.seed);
        let weights: Vec<f64> = scenario.machines.iter().map(|machine| machine.weight).collect();
        let proxies = built(scenario.proxies.len(), order, |n| {
            Proxy::new(scenario.proxies[n].clone(), &weights, streams.of("proxy", n as u64))
        });
        let machines = built(scenario.machines.len(), order, |n| Machine::down(&scenario, n));
        let rngs = |kind: &str, count: usize| built(count, order, |n| streams.of(kind, n as u64));
        let cache_ms = match scenario.discovery {
            DiscoverySpec::Registry { cache_s, .. } => (cache_s * 1e3) as u64,
            DiscoverySpec::List { .. } => 0,
        };
        let registry = RegistrySettings { cache_ms, evict_every_ms: 5_000, ..RegistrySettings::default() };
        let pace = scenario.pace();
        let mut world = Self {
            pace,
            top_rate: scenario.top_rate(pace),
            now: 0,
            queue: Calendar::default(),
            events: 0,
            views: Vec::new(),
            seen: vec![vec![0; machines.len()]; proxies.len()],
            conns: Vec::new(),
            ways: vec![HashMap::new(); proxies.len()],
            requests: Vec::new(),
            tries: Vec::new(),
            traces: None,
            entries: vec![Entry::default(); machines.len()],
            registry: Registry::new(registry, EPOCH_MS),
            away_until: 0,
            net: Net::new(scenario.net.clone()),
            starts: NodeFactories::new(&scenario),
            node_factory,
            service: ServiceCounter::new(scenario.terms())?,
            rules: RuleChecker::new(Figures::default()),
            watch: outcome::Watch::new(&scenario),
            pool: BufferPool::new(64),
            effects: Vec::new(),
            tenants: rngs("office", scenario.tenants.len()),
            proxy_rngs: rngs("wire", proxies.len()),
            machine_rngs: rngs("machine-wire", machines.len()),
            read_s: scenario.read_share * scenario.mean_work_ms() / 1e3,
            reads: 0,
            idents: 0,
            machines,
            proxies,
            scenario: Arc::new(scenario),
        };
        world.open();
        Ok(world)
    }

    /// Keeps the times of each try, to be told as stories.
    pub fn record(&mut self) {
        self.traces = Some(Vec::new());
    }

    /// The day begins: servers run and are known, and what comes by itself is planned. In the order of numbers, whatever was
    /// built first.
    fn open(&mut self) {
        for machine in 0..self.machines.len() {
            let spare = self.scenario.machines[machine].spare;
            self.entries[machine].listed = !spare;
            if !spare {
                self.start(machine, false);
            }
        }
        self.open_roster();
        for tenant in 0..self.scenario.tenants.len() {
            self.plan_ask(tenant);
        }
        for number in 0..self.scenario.faults.len() {
            let at = (self.scenario.faults[number].at_s * 1e9) as At;
            self.queue.push(at, Event::Fault(number, 0));
        }
        self.queue.push(S, Event::Second(0));
    }

    fn ms(&self) -> Ms {
        self.now / MS
    }

    /// When the day ends: once all that was asked for has its end, and a little later for what is still under way. Servers would
    /// go on for ever.
    pub fn end(&self) -> At {
        nanos(self.scenario.seconds) + (self.scenario.longest_ms() + 1_000) * MS
    }

    /// Plays the day to its end.
    pub fn play(mut self) -> Result<Outcome, ScenarioError> {
        let end = self.end();
        let seconds = (end / S + 1) * self.machines.len() as u64;
        let most = MOST_EVENTS * (seconds + (self.top_rate * self.scenario.seconds) as u64 + 1);
        while self.step(end) {
            if self.events > most {
                return Err(ScenarioError::Endless(most));
            }
        }
        Ok(self.finish())
    }

    /// One event, if any is left before `end`.
    pub fn step(&mut self, end: At) -> bool {
        let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= end) else { return false };
        self.now = at;
        self.events += 1;
        self.carry_out(event);
        true
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::Ask(tenant) => self.ask(tenant),
            Event::Reaches(id) => self.reaches(id),
            Event::Cancelled(id) => self.cancelled(id),
            Event::ClosedUp(conn) => self.closed_up(conn),
            Event::Answered(id, got) => self.answered(id, got),
            Event::Draining(conn) => self.draining(conn),
            Event::ClosedDown(conn) => self.no_more(conn),
            Event::TimedOut(id) => self.timed_out(id),
            Event::Again(request) => {
                self.requests[request as usize].pending = false;
                self.attempt(request);
            }
            Event::Copy(request) => self.second_copy(request),
            Event::Cores(machine) => self.cores(machine),
            Event::Wake(machine) => self.wake(machine),
            Event::Silent(machine) => self.silent(machine),
            Event::Listed { proxy, machine, listed, version } => self.hears(proxy, machine, listed, version),
            Event::RegistryAsked { machine, life, ask } => self.registry_asked(machine, life, *ask),
            Event::RegistryReplied { machine, life, ticket, reply } => {
                self.registry_replied(machine, life, ticket, *reply)
            }
            Event::Fetches(proxy) => self.fetches(proxy),
            Event::Fetched { proxy, fetch, apps } => self.fetched(proxy, fetch, apps.as_deref()),
            Event::Fault(number, step) => self.fault(number, step),
            Event::Eases(number) => self.eases(number),
            Event::Stops(machine, life) => {
                if self.machines[machine].life == life {
                    self.stop(machine, false);
                    self.start(machine, true);
                }
            }
            Event::NodeFactories(machine) => self.start(machine, true),
            Event::Second(number) => self.second(number),
        }
    }
}

fn built<T>(count: usize, order: Order, make: impl Fn(usize) -> T) -> Vec<T> {
    match order {
        Order::Forward => (0..count).map(make).collect(),
        Order::Backward => {
            let mut all: Vec<T> = (0..count).rev().map(make).collect();
            all.reverse();
            all
        }
    }
}
