//! Machines: the incarnations of their server, inputs and effects of its node, cores and memory.

use super::clients::AttemptState;
use super::{AttemptId, AttemptReply, EPOCH_MS, Event, MS, World};
use crate::discovery;
use crate::policies::{Node, Start};
use crate::processor::{Cores, CoresSpec, Done};
use crate::queue::{At, Queue, nanos};
use crate::scenario::{DiscoverySpec, Scenario};
use crate::service_report::rules::{Server, Violation};
use gradepin_admission::{RequestId, Span};
use gradepin_core::messages::{ClientRequest, Effect, Input, Receipt, Response, RunEnd};
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use gradepin_registry::membership::Membership;
use rand_pcg::rand_core::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;

/// Smallest work of a run, as a fraction of the request's work.
const LEAST_RUN: f64 = 0.05;
/// Largest number of steps of a node at one point in time.
const MOST_STEPS: usize = 10_000;

/// A machine and its server.
pub(super) struct Machine {
    /// Number of the incarnation, and the server's number in the rules.
    pub incarnation: u32,
    pub server_number: Server,
    pub up: bool,
    node: Option<Box<dyn Node>>,
    pub cores: Cores,
    pub inputs: Vec<Input>,
    pub paused: bool,
    links: u64,
    notices: u64,
    /// Memory of waiting requests, running requests and idempotency keys, and when each key expires.
    held_kb: f64,
    running_kb: f64,
    keys_kb: f64,
    keys: BinaryHeap<Reverse<At>>,
    /// Attempts at the machine without an answer.
    pub at: BTreeSet<AttemptId>,
    conns: BTreeSet<u64>,
    /// Times of the next planned check of the cores and of the next step.
    cores_at: At,
    wake_at: At,
    /// Whether the server failed from overload before: it is restarted only once.
    fell: bool,
    /// A successor replaced this server on another machine; no server starts here again.
    pub succeeded: bool,
}

/// Work left after reading, which is part of the request's work. Even the shortest request has some left.
fn run_work(work_s: f64, read_s: f64) -> f64 {
    (work_s - read_s).max(LEAST_RUN * work_s)
}

fn cores(scenario: &Scenario, number: usize, now: At, is_cold: bool) -> Cores {
    let machine = &scenario.machines[number];
    Cores::new(CoresSpec {
        cores: machine.cores,
        speed: machine.speed,
        knee: machine.knee,
        thrash: machine.thrash,
        cold_from: machine.cold_from,
        cold: nanos(machine.cold_s),
        started: now,
        is_cold,
    })
}

impl Machine {
    /// A machine without a running server.
    pub fn down(scenario: &Scenario, number: usize) -> Self {
        Self {
            incarnation: 0,
            server_number: 0,
            up: false,
            node: None,
            cores: cores(scenario, number, 0, false),
            inputs: Vec::new(),
            paused: false,
            links: 0,
            notices: 0,
            held_kb: 0.0,
            running_kb: 0.0,
            keys_kb: 0.0,
            keys: BinaryHeap::new(),
            at: BTreeSet::new(),
            conns: BTreeSet::new(),
            cores_at: At::MAX,
            wake_at: At::MAX,
            fell: false,
            succeeded: false,
        }
    }

    fn memory_kb(&self) -> f64 {
        self.held_kb + self.running_kb + self.keys_kb
    }
}

impl World {
    /// Starts a server, unless one runs or a successor replaced it.
    pub(super) fn start(&mut self, number: usize, cold: bool) {
        if self.machines[number].up || self.machines[number].succeeded {
            return;
        }
        self.last_server_number += 1;
        let spec = &self.scenario.machines[number];
        self.rules.started(self.last_server_number, f64::from(spec.cores), spec.memory_kb);
        let seed = self.machine_rngs[number].next_u64();
        let registration = match self.scenario.discovery {
            DiscoverySpec::List { .. } => Registration::default(),
            DiscoverySpec::Registry { heartbeat_s, lease_s, .. } => {
                let instance = discovery::instance(number, spec.zone, heartbeat_s, lease_s);
                let set = discovery::membership(instance, heartbeat_s);
                let membership = Membership::new(set, seed, discovery::time(self.now));
                Registration::new(Some(membership), Span(0))
            }
        };
        let node = (self.node_factory)(&self.starts, Start { machine: number, seed }, registration);
        let old = &self.machines[number];
        let (incarnation, fell, paused) = (old.incarnation + 1, old.fell, old.paused);
        let mut machine = Machine::down(&self.scenario, number);
        (machine.incarnation, machine.server_number, machine.up, machine.fell) =
            (incarnation, self.last_server_number, true, fell);
        (machine.node, machine.paused) = (Some(node), paused);
        machine.cores = cores(&self.scenario, number, self.now, cold);
        machine.links = 1;
        machine.inputs.push(Input::LinkUp { link: 1, cold, age: Span(0) });
        self.machines[number] = machine;
        self.apply_faults(number);
        self.run_node(number);
    }

    /// Ends a server, because its machine died or after the drain. Unanswered requests are lost with it.
    pub(super) fn stop(&mut self, number: usize, died: bool) {
        let at = self.ms();
        let machine = &mut self.machines[number];
        if !machine.up {
            return;
        }
        machine.up = false;
        machine.node = None;
        let (server_number, attempts) = (machine.server_number, std::mem::take(&mut machine.at));
        let conns = std::mem::take(&mut machine.conns);
        self.rules.stopped(server_number, at, died);
        for id in attempts {
            let conn = self.attempts[id as usize].conn;
            self.attempts[id as usize].state = AttemptState::Down;
            self.send_down(conn, Event::Answered(id, AttemptReply::Reset));
        }
        for conn in conns {
            self.send_down(conn, Event::ServerClosed(conn));
        }
    }

    /// Crashes the machine if the server violated a rule that it doesn't survive.
    fn crash_if_overloaded(&mut self, number: usize, violations_before: usize) {
        let server_number = self.machines[number].server_number;
        let fell = self.rules.violations()[violations_before..].iter().any(|record| {
            record.server == server_number && matches!(record.violation, Violation::Overloaded(_))
        });
        if !fell {
            return;
        }
        self.stop(number, true);
        if !std::mem::replace(&mut self.machines[number].fell, true) {
            let at = self.now + nanos(self.scenario.restart_s);
            self.queue.push(at, Event::NodeFactories(number));
        }
    }

    /// Handles the arrival of an attempt at its machine.
    pub(super) fn arrive(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id as usize];
        let (conn, number) = (attempt.conn, attempt.machine as usize);
        let connection = &self.conns[conn as usize];
        let machine = &mut self.machines[number];
        let here = machine.up && machine.incarnation == connection.incarnation;
        let room = machine.cores.reading()
            < (self.scenario.backlog_per_core * self.scenario.machines[number].cores) as usize;
        if !here || !connection.accepted && !room {
            // A connection that was never accepted proves that nothing ran.
            let got = if connection.accepted { AttemptReply::Reset } else { AttemptReply::NotConnected };
            self.attempts[id as usize].state = AttemptState::Down;
            return self.send_down(conn, Event::Answered(id, got));
        }
        machine.cores.advance(self.now);
        machine.cores.read(id, self.read_s);
        machine.at.insert(id);
        let attempt = &mut self.attempts[id as usize];
        (attempt.came, attempt.state) = (self.now, AttemptState::Unread);
        self.update_trace(id, |trace, now| trace.arrived = Some(now));
        if !std::mem::replace(&mut self.conns[conn as usize].accepted, true) {
            let machine = &mut self.machines[number];
            machine.conns.insert(conn);
            machine.inputs.push(Input::ConnectionOpened(conn));
            self.run_node(number);
        }
        self.plan_cores(number);
    }

    /// Handles a request that the cores finished reading.
    fn read(&mut self, number: usize, id: AttemptId) {
        self.reads += 1;
        let attempt = &mut self.attempts[id as usize];
        if self.conns[attempt.conn as usize].closed {
            // The connection was closed while the request waited to be read.
            attempt.state = AttemptState::Over;
            self.machines[number].at.remove(&id);
            return;
        }
        attempt.state = AttemptState::Held;
        let request = &self.requests[attempt.request as usize];
        let class = request.class as usize;
        let window = self.scenario.classes[class].class.window_ms;
        let came_ms = attempt.came / MS;
        let call = ClientRequest {
            id: RequestId::new(&format!("{id:016x}")),
            class: class.into(),
            tenant: Some((request.tenant as usize).into()),
            client_proxy: u64::from(self.conns[attempt.conn as usize].proxy),
            arrived_unix_ms: EPOCH_MS + came_ms,
            budget_ms: attempt.budget_ms,
            retry: attempt.retry,
            size_kb: request.size_kb,
            precedence: request.rank,
            idempotency_key: window.map(|_| Arc::from(format!("{:032x}", attempt.request))),
            has_subject: false,
            receipt: Receipt::default(),
            body: self.pool.exact(&attempt.request.to_be_bytes()).unwrap_or_else(|| self.pool.take()),
        };
        let (conn, server_notified, size_kb) = (attempt.conn, attempt.server_notified, request.size_kb);
        let key = window.map(|window| (u64::from(attempt.request), window));
        let machine = &mut self.machines[number];
        // A request read after its deadline needs an answer immediately.
        let due = (came_ms + call.budget_ms).max(self.now / MS);
        self.rules.read(machine.server_number, u64::from(id), came_ms, due, key);
        machine.inputs.push(Input::Request {
            connection: conn,
            sequence: id as i32,
            request: Box::new(call),
        });
        machine.held_kb += size_kb;
        self.update_trace(id, |trace, now| trace.read = Some(now));
        if server_notified {
            self.deliver_cancel(number, id);
        }
        self.update_memory(number);
    }

    /// Handles the cancellation of an attempt at the machine.
    pub(super) fn cancel_arrives(&mut self, id: AttemptId) {
        let attempt = &mut self.attempts[id as usize];
        attempt.server_notified = true;
        let (number, conn, state) = (attempt.machine as usize, attempt.conn, attempt.state);
        let machine = &mut self.machines[number];
        if !machine.up || machine.incarnation != self.conns[conn as usize].incarnation {
            return;
        }
        if state == AttemptState::Unread {
            // A cancelled request that was not read yet is never read.
            if machine.cores.remove_unread(id) {
                machine.at.remove(&id);
                self.attempts[id as usize].state = AttemptState::Over;
            }
            return;
        }
        self.deliver_cancel(number, id);
        self.run_node(number);
    }

    fn deliver_cancel(&mut self, number: usize, id: AttemptId) {
        let attempt = &self.attempts[id as usize];
        self.machines[number].inputs.push(Input::Cancel { connection: attempt.conn, sequence: id as i32 });
        if attempt.state == AttemptState::Held {
            self.release_cancelled(number, id);
        }
    }

    /// The server learned that the client no longer waits for an attempt.
    fn release_cancelled(&mut self, number: usize, id: AttemptId) {
        let attempt = &mut self.attempts[id as usize];
        attempt.state = AttemptState::Over;
        let (runs, request) = (attempt.runs, attempt.request as usize);
        let machine = &mut self.machines[number];
        machine.at.remove(&id);
        if !runs {
            machine.held_kb -= self.requests[request].size_kb;
        }
        self.rules.cancelled(u64::from(id));
    }

    /// Handles the close of a connection by its client proxy.
    pub(super) fn client_closed(&mut self, conn: u64) {
        let connection = &self.conns[conn as usize];
        let (number, incarnation) = (connection.machine as usize, connection.incarnation);
        let machine = &mut self.machines[number];
        if machine.up && machine.incarnation == incarnation && machine.conns.remove(&conn) {
            machine.inputs.push(Input::ConnectionClosed(conn));
            self.conns[conn as usize].closed = true;
            // Requests still open on the connection were abandoned by a client that sent no cancellation.
            let attempts = &self.attempts;
            let held = |id: &&AttemptId| {
                let attempt = &attempts[**id as usize];
                attempt.conn == conn && attempt.state == AttemptState::Held
            };
            let open: Vec<AttemptId> = self.machines[number].at.iter().filter(held).copied().collect();
            open.into_iter().for_each(|id| self.release_cancelled(number, id));
            self.run_node(number);
        }
    }

    /// Handles work that the cores finished.
    pub(super) fn cores(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if machine.cores_at == self.now {
            machine.cores_at = At::MAX;
        }
        if !machine.up || machine.paused {
            return;
        }
        machine.cores.advance(self.now);
        let mut any = false;
        while let Some(done) = self.machines[number].cores.done() {
            any = true;
            match done {
                Done::Read(id) => self.read(number, id),
                Done::Run(id) => self.ran(number, id),
            }
            if !self.machines[number].up {
                return;
            }
        }
        if any {
            self.run_node(number);
        } else {
            self.plan_cores(number);
        }
    }

    fn ran(&mut self, number: usize, id: AttemptId) {
        let attempt = &mut self.attempts[id as usize];
        attempt.runs = false;
        let took = Span(self.now - attempt.began);
        let request = &self.requests[attempt.request as usize];
        let (size_kb, work_s, done) = (request.size_kb, request.work_s, request.done);
        let server_number = self.machines[number].server_number;
        let result = self.pool.exact(&attempt.request.to_be_bytes()).unwrap_or_else(|| self.pool.take());
        let machine = &mut self.machines[number];
        machine.running_kb -= size_kb * self.scenario.run_factor;
        machine.notices += 1;
        let id_text = RequestId::new(&format!("{id:016x}"));
        let (notice, end) = (machine.notices, RunEnd::Ok);
        machine.inputs.push(Input::RunCompleted { notice, id: id_text, end, took, result });
        if done {
            // The client already has an answer, or has given up.
            self.service.wasted(run_work(work_s, self.read_s) * 1e3);
        }
        self.rules.ended(server_number, self.now / MS);
        self.update_trace(id, |trace, now| trace.ended = Some(now));
        self.update_memory(number);
    }

    /// Handles the wake-up time of a node.
    pub(super) fn wake(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if machine.wake_at == self.now {
            machine.wake_at = At::MAX;
        }
        self.run_node(number);
    }

    /// Steps a node until it has no more input at this point in time.
    pub(super) fn run_node(&mut self, number: usize) {
        for _ in 0..MOST_STEPS {
            let machine = &mut self.machines[number];
            if !machine.up || machine.paused {
                return;
            }
            let Some(node) = &mut machine.node else { return };
            machine.cores.advance(self.now);
            let now = discovery::time(self.now);
            let moment = Timestamp { now, unix_ms: EPOCH_MS + self.now / MS };
            let mut effects = std::mem::take(&mut self.effects);
            node.step(moment, &mut machine.inputs, &mut effects);
            for effect in effects.drain(..) {
                self.effect(number, effect);
            }
            self.effects = effects;
            let machine = &mut self.machines[number];
            let Some(node) = machine.node.as_ref() else { return };
            let wake = node.wake_at();
            if machine.inputs.is_empty() && wake.is_none_or(|at| at > now) {
                if let Some(at) = wake {
                    let at = self.now + (at.0 - now.0);
                    if at < machine.wake_at {
                        machine.wake_at = at;
                        self.queue.push(at, Event::Wake(number));
                    }
                }
                return self.plan_cores(number);
            }
        }
        self.counters.unsettled.push((self.now / MS, number));
    }

    /// Plans the next check of the cores.
    pub(super) fn plan_cores(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if let Some(at) = machine.cores.next_at().filter(|at| *at < machine.cores_at) {
            machine.cores_at = at;
            self.queue.push(at, Event::Cores(number));
        }
    }

    /// Updates the memory in use; a machine whose memory is full crashes.
    fn update_memory(&mut self, number: usize) {
        let (now, kept) = (self.now, self.scenario.key_kb);
        let machine = &mut self.machines[number];
        while machine.keys.peek().is_some_and(|Reverse(at)| *at <= now) {
            machine.keys.pop();
            machine.keys_kb -= kept;
        }
        let (server_number, kb) = (machine.server_number, machine.memory_kb());
        let violations_before = self.rules.violations().len();
        self.rules.memory(server_number, now / MS, kb);
        self.crash_if_overloaded(number, violations_before);
    }

    fn effect(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Respond { connection: conn, sequence: seq, response: answer, capacity_hint: level } => {
                self.answers(number, conn, seq as AttemptId, answer, level)
            }
            Effect::StartRun { id, .. } => {
                if let Ok(id) = u32::from_str_radix(&id.0, 16) {
                    self.begins(number, id);
                }
            }
            Effect::ReadGauges { number: tag, .. } => {
                let machine = &mut self.machines[number];
                let heap = machine.memory_kb() / self.scenario.machines[number].memory_kb.max(1.0);
                let links = machine.conns.len() as f64;
                let gauges = vec![machine.cores.cpu_utilization(), machine.cores.runnable(), heap, links];
                machine.inputs.push(Input::GaugesRead { number: tag, values: gauges });
            }
            Effect::RequestDrain(conn) => self.send_down(conn, Event::Draining(conn)),
            Effect::CloseIdleConnection { connection: conn, messages_received: taken } => {
                // All messages sent on the connection were received, so none is in flight.
                let connection = &self.conns[conn as usize];
                if connection.sent == taken && self.machines[number].conns.remove(&conn) {
                    self.machines[number].inputs.push(Input::ConnectionClosed(conn));
                    self.send_down(conn, Event::ServerClosed(conn));
                }
            }
            Effect::ReconnectProcessor { .. } => {
                let machine = &mut self.machines[number];
                machine.links += 1;
                let age = Span(self.now - machine.cores.started());
                let link = machine.links;
                machine.inputs.extend([Input::LinkDown, Input::LinkUp { link, cold: false, age }]);
            }
            Effect::ReportReadiness { ready } => self.reported(number, ready),
            Effect::AskRegistry(request) => self.asks_registry(number, request),
            Effect::Exit => {
                self.stop(number, false);
                self.start(number, true);
            }
            _ => {}
        }
    }

    fn answers(&mut self, number: usize, conn: u64, id: AttemptId, answer: Response, level: Option<f64>) {
        let got = match answer {
            Response::Served(_) => AttemptReply::Served(level),
            Response::Rejected { retry_after: backoff, no_failover: last } => {
                self.counters.now.refused += 1;
                AttemptReply::Refused { away: backoff.0, last, level }
            }
            Response::Failed { .. } | Response::OutcomeUnknown | Response::Invalid { .. } => {
                self.counters.now.failed += 1;
                AttemptReply::Failed(level)
            }
            Response::Health { .. } => return,
        };
        self.rules.answered(u64::from(id), self.now / MS, matches!(got, AttemptReply::Refused { .. }));
        let attempt = &mut self.attempts[id as usize];
        let held = attempt.state == AttemptState::Held;
        let (runs, request) = (attempt.runs, attempt.request as usize);
        let machine = &mut self.machines[number];
        machine.at.remove(&id);
        if held {
            self.attempts[id as usize].state = AttemptState::Down;
            if !runs && !self.attempts[id as usize].began_once() {
                machine.held_kb -= self.requests[request].size_kb;
            }
        }
        self.update_trace(id, |trace, now| {
            (trace.answered, trace.outcome) = (Some(now), super::AttemptOutcome::of(&got))
        });
        self.send_down(conn, Event::Answered(id, got));
    }

    fn begins(&mut self, number: usize, id: AttemptId) {
        let attempt = &mut self.attempts[id as usize];
        let request = &self.requests[attempt.request as usize];
        let (size_kb, work_s) = (request.size_kb, request.work_s);
        let keyed = self.scenario.classes[request.class as usize].class.window_ms;
        let (was_held, came) = (attempt.state == AttemptState::Held, attempt.came);
        (attempt.began, attempt.runs) = (self.now, true);
        let machine = &mut self.machines[number];
        machine.cores.run(id, run_work(work_s, self.read_s));
        if was_held {
            machine.held_kb -= size_kb;
        }
        machine.running_kb += size_kb * self.scenario.run_factor;
        if let Some(window) = keyed {
            // The window starts at the arrival of the attempt.
            machine.keys.push(Reverse(came + window * MS));
            machine.keys_kb += self.scenario.key_kb;
        }
        let (server_number, speed_fraction) = (machine.server_number, machine.cores.speed_fraction());
        let violations_before = self.rules.violations().len();
        self.rules.speed_fraction(server_number, speed_fraction);
        self.rules.began(u64::from(id), self.now / MS);
        self.update_trace(id, |trace, now| trace.started = Some(now));
        self.crash_if_overloaded(number, violations_before);
        if self.machines[number].up {
            self.update_memory(number);
        }
    }
}
