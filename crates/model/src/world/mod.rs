//! Simulation engine: plays a scenario in virtual time, with real servers or comparison policies.
//!
//!
//! All events go through one queue. The node of a server makes its decisions, and a client proxy its own; the world
//! carries messages between them, tracks the attempts, and reports the events to the service counter and the rules.

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
use crate::service_report::rules::{RuleChecker, RuleLimits};
use crate::service_report::service::ServiceCounter;
use crate::service_report::{Ms, TermsError};
use crate::streams::Streams;
use clients::{Attempt, Conn, Request};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::Effect;
use gradepin_core::registration::Registration;
use gradepin_registry::view::View;
use machines::Machine;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::Arc;

/// Nanoseconds per millisecond.
pub const MS: At = 1_000_000;
/// Nanoseconds per second.
pub const S: At = 1_000 * MS;
/// Unix time in milliseconds at the start of a scenario.
const EPOCH_MS: u64 = 1_760_000_000_000;
/// Limit of events per first attempt and per server and second; a scenario that exceeds it is reported as endless.
const MOST_EVENTS: u64 = 2_000;

/// Reason why a scenario can't be played.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// Invalid parameters of the score.
    #[error(transparent)]
    Terms(#[from] TermsError),
    /// The scenario lacks machines, client proxies, classes or tenants.
    #[error("expected at least one {0}")]
    Empty(&'static str),
    /// A fault names a machine that doesn't exist.
    #[error("expected machines 0 to {last}, got a fault on {got}")]
    Machine {
        /// Largest valid machine number.
        last: usize,
        /// Machine number of the fault.
        got: usize,
    },
    /// The event limit was reached.
    #[error("expected the scenario to end within {0} events")]
    Endless(u64),
}

/// Order in which the parts of the world are built. The result must not depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// First to last.
    Forward,
    /// Last to first.
    Backward,
}

/// Creates the node of a server at each start; the default creates nodes of a policy.
pub type NodeFactory = Box<dyn Fn(&NodeFactories, Start, Registration) -> Box<dyn Node> + Send>;

/// Index of an attempt.
type AttemptId = u32;
/// Index of a request.
type RequestNo = u32;

#[derive(Debug)]
enum Event {
    /// A tenant sends the next first attempt.
    FirstAttempt(usize),
    /// An attempt, or its cancellation, reaches the machine.
    Arrives(AttemptId),
    Cancelled(AttemptId),
    /// The close of a connection by its client proxy reaches the server.
    ClientClosed(u64),
    /// An answer, a reset or a refused connection reaches the client proxy.
    Answered(AttemptId, AttemptReply),
    /// The request to drain a connection, or its close, reaches the client proxy.
    Draining(u64),
    ServerClosed(u64),
    /// At a client proxy: an attempt times out, a retry is due, a hedged request is due.
    TimedOut(AttemptId),
    Retry(RequestNo),
    Hedge(RequestNo),
    /// Work on the cores may be finished; the node's wake-up time is reached.
    Cores(usize),
    Wake(usize),
    /// The list checks whether a server stopped reporting; a client proxy learns of a change.
    CheckSilence(usize),
    ListChange {
        proxy: usize,
        machine: usize,
        listed: bool,
        version: u32,
    },
    /// A request reaches the registry, its reply reaches the server's incarnation, a client proxy polls, a poll
    /// completes.
    RegistryAsked {
        machine: usize,
        incarnation: u32,
        request: Box<gradepin_registry::membership::RegistryRequest>,
    },
    RegistryReplied {
        machine: usize,
        incarnation: u32,
        ticket: u64,
        reply: Box<gradepin_registry::membership::RegistryReply>,
    },
    Fetches(usize),
    Fetched {
        proxy: usize,
        fetch: gradepin_registry::view::Fetch,
        apps: Option<Box<gradepin_registry::instance::Applications>>,
    },
    /// A fault starts or continues with its next step; a fault ends.
    Fault(usize, u32),
    FaultEnds(usize),
    /// Stops a machine's server if it is still the given incarnation; starts a server.
    Stops(usize, u32),
    NodeFactories(usize),
    /// A second has passed.
    Second(u32),
}

/// Result of an attempt as it reaches the client proxy.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptReply {
    Served(Option<f64>),
    Refused { away: At, last: bool, level: Option<f64> },
    Failed(Option<f64>),
    Reset,
    NotConnected,
}

/// A scenario being played.
pub struct World {
    scenario: Arc<Scenario>,
    /// First attempts per second before the traffic shape is applied, and the largest rate.
    base_rate: f64,
    max_rate: f64,
    now: At,
    queue: Calendar<Event>,
    events: u64,
    machines: Vec<Machine>,
    proxies: Vec<Proxy>,
    views: Vec<View>,
    /// Version of each list entry known to each client proxy.
    seen: Vec<Vec<u32>>,
    conns: Vec<Conn>,
    /// Usable connections of each client proxy to each machine.
    connections: Vec<HashMap<u32, Vec<u64>>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    traces: Option<Vec<AttemptTrace>>,
    entries: Vec<Entry>,
    registry: Registry,
    /// The list service or registry is unreachable until this time.
    away_until: At,
    net: Net,
    starts: NodeFactories,
    node_factory: NodeFactory,
    service: ServiceCounter,
    rules: RuleChecker,
    counters: outcome::Counters,
    pool: Arc<BufferPool>,
    effects: Vec<Effect>,
    /// Random number generators of each tenant, client proxy and machine.
    tenants: Vec<Pcg64Mcg>,
    proxy_rngs: Vec<Pcg64Mcg>,
    machine_rngs: Vec<Pcg64Mcg>,
    /// Seconds of work for reading a request.
    read_s: f64,
    reads: u64,
    last_server_number: u32,
}

impl World {
    /// Builds a scenario with servers of one policy.
    pub fn new(scenario: Scenario, kind: Kind) -> Result<Self, ScenarioError> {
        Self::with(
            scenario,
            Box::new(move |factories, start, registration| factories.node(kind, start, registration)),
            Order::Forward,
        )
    }

    /// Builds a scenario with nodes from a factory, in the given order of construction.
    pub fn with(scenario: Scenario, node_factory: NodeFactory, order: Order) -> Result<Self, ScenarioError> {
        for (what, none) in [
            ("machine", scenario.machines.is_empty()),
            ("client proxy", scenario.proxies.is_empty()),
            ("class and tenant", scenario.classes.is_empty() || scenario.tenants.is_empty()),
        ] {
            if none {
                return Err(ScenarioError::Empty(what));
            }
        }
        let last = scenario.machines.len() - 1;
        if let Some(&got) = scenario.faults.iter().flat_map(|fault| fault.machines()).find(|on| **on > last) {
            return Err(ScenarioError::Machine { last, got });
        }
        let streams = Streams::new(scenario.seed);
        let weights: Vec<f64> = scenario.machines.iter().map(|machine| machine.weight).collect();
        let proxies = build_all(scenario.proxies.len(), order, |n| {
            Proxy::new(scenario.proxies[n].clone(), &weights, streams.of("proxy", n as u64))
        });
        let machines = build_all(scenario.machines.len(), order, |n| Machine::down(&scenario, n));
        let rngs = |kind: &str, count: usize| build_all(count, order, |n| streams.of(kind, n as u64));
        let cache_ms = match scenario.discovery {
            DiscoverySpec::Registry { cache_s, .. } => (cache_s * 1e3) as u64,
            DiscoverySpec::List { .. } => 0,
        };
        let registry = RegistrySettings { cache_ms, evict_every_ms: 5_000, ..RegistrySettings::default() };
        let base_rate = scenario.base_rate();
        let mut world = Self {
            base_rate,
            max_rate: scenario.max_rate(base_rate),
            now: 0,
            queue: Calendar::default(),
            events: 0,
            views: Vec::new(),
            seen: vec![vec![0; machines.len()]; proxies.len()],
            conns: Vec::new(),
            connections: vec![HashMap::new(); proxies.len()],
            requests: Vec::new(),
            attempts: Vec::new(),
            traces: None,
            entries: vec![Entry::default(); machines.len()],
            registry: Registry::new(registry, EPOCH_MS),
            away_until: 0,
            net: Net::new(scenario.net.clone()),
            starts: NodeFactories::new(&scenario),
            node_factory,
            service: ServiceCounter::new(scenario.terms())?,
            rules: RuleChecker::new(RuleLimits::default()),
            counters: outcome::Counters::new(&scenario),
            pool: BufferPool::new(64),
            effects: Vec::new(),
            tenants: rngs("office", scenario.tenants.len()),
            proxy_rngs: rngs("wire", proxies.len()),
            machine_rngs: rngs("machine-wire", machines.len()),
            read_s: scenario.read_share * scenario.mean_work_ms() / 1e3,
            reads: 0,
            last_server_number: 0,
            machines,
            proxies,
            scenario: Arc::new(scenario),
        };
        world.open();
        Ok(world)
    }

    /// Records the times of each attempt.
    pub fn record(&mut self) {
        self.traces = Some(Vec::new());
    }

    /// Starts the servers and plans the first events, in the order of machine and tenant numbers whatever the order
    /// of construction.
    fn open(&mut self) {
        for machine in 0..self.machines.len() {
            let spare = self.scenario.machines[machine].spare;
            self.entries[machine].listed = !spare;
            if !spare {
                self.start(machine, false);
            }
        }
        self.init_discovery();
        for tenant in 0..self.scenario.tenants.len() {
            self.plan_first_attempt(tenant);
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

    /// Time at which the simulation ends: every request has ended, and messages under way had a second to arrive.
    /// Servers alone would never stop.
    pub fn end(&self) -> At {
        nanos(self.scenario.seconds) + (self.scenario.longest_deadline_ms() + 1_000) * MS
    }

    /// Plays the scenario to its end.
    pub fn play(mut self) -> Result<Outcome, ScenarioError> {
        let end = self.end();
        let seconds = (end / S + 1) * self.machines.len() as u64;
        let most = MOST_EVENTS * (seconds + (self.max_rate * self.scenario.seconds) as u64 + 1);
        while self.step(end) {
            if self.events > most {
                return Err(ScenarioError::Endless(most));
            }
        }
        Ok(self.finish())
    }

    /// Handles the next event; returns false if none is left before `end`.
    pub fn step(&mut self, end: At) -> bool {
        let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= end) else { return false };
        self.now = at;
        self.events += 1;
        self.carry_out(event);
        true
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::FirstAttempt(tenant) => self.first_attempt(tenant),
            Event::Arrives(id) => self.arrive(id),
            Event::Cancelled(id) => self.cancel_arrives(id),
            Event::ClientClosed(conn) => self.client_closed(conn),
            Event::Answered(id, got) => self.answered(id, got),
            Event::Draining(conn) => self.draining(conn),
            Event::ServerClosed(conn) => self.retire_connection(conn),
            Event::TimedOut(id) => self.timed_out(id),
            Event::Retry(request) => {
                self.requests[request as usize].pending = false;
                self.start_attempt(request);
            }
            Event::Hedge(request) => self.hedge(request),
            Event::Cores(machine) => self.cores(machine),
            Event::Wake(machine) => self.wake(machine),
            Event::CheckSilence(machine) => self.check_silence(machine),
            Event::ListChange { proxy, machine, listed, version } => {
                self.list_change(proxy, machine, listed, version)
            }
            Event::RegistryAsked { machine, incarnation, request } => {
                self.registry_asked(machine, incarnation, *request)
            }
            Event::RegistryReplied { machine, incarnation, ticket, reply } => {
                self.registry_replied(machine, incarnation, ticket, *reply)
            }
            Event::Fetches(proxy) => self.fetches(proxy),
            Event::Fetched { proxy, fetch, apps } => self.fetched(proxy, fetch, apps.as_deref()),
            Event::Fault(number, step) => self.fault(number, step),
            Event::FaultEnds(number) => self.fault_ends(number),
            Event::Stops(machine, incarnation) => {
                if self.machines[machine].incarnation == incarnation {
                    self.stop(machine, false);
                    self.start(machine, true);
                }
            }
            Event::NodeFactories(machine) => self.start(machine, true),
            Event::Second(number) => self.second(number),
        }
    }
}

fn build_all<T>(count: usize, order: Order, make: impl Fn(usize) -> T) -> Vec<T> {
    match order {
        Order::Forward => (0..count).map(make).collect(),
        Order::Backward => {
            let mut all: Vec<T> = (0..count).rev().map(make).collect();
            all.reverse();
            all
        }
    }
}
