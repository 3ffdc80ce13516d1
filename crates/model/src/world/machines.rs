//! Machines: the server's life on them, its node's inputs and effects, their cores and their memory.

use super::clients::Place;
use super::{EPOCH_MS, Event, Got, MS, TryId, World};
use crate::discovery;
use crate::policies::{Node, Start};
use crate::processor::{Cores, CoresSpec, Done};
use crate::queue::{At, Queue, nanos};
use crate::scenario::{DiscoverySpec, Scenario};
use crate::service_report::rules::{Server, Violation};
use gradepin_admission::{RequestId, Span};
use gradepin_core::messages::{ClientRequest, Effect, Input, Response, RunEnd};
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use gradepin_registry::membership::Membership;
use rand_pcg::rand_core::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;

/// Of a request's work, what its run takes at the least.
const LEAST_RUN: f64 = 0.05;
/// Steps of a node at one moment at the most.
const MOST_STEPS: usize = 10_000;

/// A machine and the server on it.
pub(super) struct Machine {
    /// Which of its lives, and how the rules name it.
    pub life: u32,
    pub ident: Server,
    pub up: bool,
    node: Option<Box<dyn Node>>,
    pub cores: Cores,
    pub inputs: Vec<Input>,
    pub paused: bool,
    links: u64,
    notices: u64,
    /// Memory of held and running requests and of keys, and when which of these goes.
    held_kb: f64,
    running_kb: f64,
    keys_kb: f64,
    keys: BinaryHeap<Reverse<At>>,
    /// Tries that came and have no answer yet.
    pub at: BTreeSet<TryId>,
    conns: BTreeSet<u64>,
    /// When the next look at the cores, and the next step, are planned.
    cores_at: At,
    wake_at: At,
    /// Whether it fell over before: it starts again once.
    fell: bool,
    /// A successor has its place: nothing starts here again.
    pub succeeded: bool,
}

/// What is left of a request's work once it was read: reading is part of it. Some is left of the shortest too.
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
    /// One on which nothing runs yet.
    pub fn down(scenario: &Scenario, number: usize) -> Self {
        Self {
            life: 0,
            ident: 0,
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
    /// A server starts on a machine, unless one is there.
    pub(super) fn start(&mut self, number: usize, cold: bool) {
        if self.machines[number].up || self.machines[number].succeeded {
            return;
        }
        self.idents += 1;
        let spec = &self.scenario.machines[number];
        self.rules.started(self.idents, f64::from(spec.cores), spec.memory_kb);
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
        let (life, fell, paused) = (old.life + 1, old.fell, old.paused);
        let mut machine = Machine::down(&self.scenario, number);
        (machine.life, machine.ident, machine.up, machine.fell) = (life, self.idents, true, fell);
        (machine.node, machine.paused) = (Some(node), paused);
        machine.cores = cores(&self.scenario, number, self.now, cold);
        machine.links = 1;
        machine.inputs.push(Input::LinkUp { link: 1, cold, age: Span(0) });
        self.machines[number] = machine;
        self.strike(number);
        self.settle(number);
    }

    /// A server ends: with its machine, or stopped by whoever told it to leave. What it had read and owes ends with it.
    pub(super) fn stop(&mut self, number: usize, died: bool) {
        let at = self.ms();
        let machine = &mut self.machines[number];
        if !machine.up {
            return;
        }
        machine.up = false;
        machine.node = None;
        let (ident, tries) = (machine.ident, std::mem::take(&mut machine.at));
        let conns = std::mem::take(&mut machine.conns);
        self.rules.stopped(ident, at, died);
        for id in tries {
            let conn = self.tries[id as usize].conn;
            self.tries[id as usize].place = Place::Down;
            self.downward(conn, Event::Answered(id, Got::Reset));
        }
        for conn in conns {
            self.downward(conn, Event::ClosedDown(conn));
        }
    }

    /// A new breach of this server's that its machine does not outlive.
    fn falls(&mut self, number: usize, violations_before: usize) {
        let ident = self.machines[number].ident;
        let fell = self.rules.violations()[violations_before..]
            .iter()
            .any(|record| record.server == ident && matches!(record.violation, Violation::Fell(_)));
        if !fell {
            return;
        }
        self.stop(number, true);
        if !std::mem::replace(&mut self.machines[number].fell, true) {
            let at = self.now + nanos(self.scenario.restart_s);
            self.queue.push(at, Event::NodeFactories(number));
        }
    }

    /// A try reaches its machine.
    pub(super) fn reaches(&mut self, id: TryId) {
        let one = &self.tries[id as usize];
        let (conn, number) = (one.conn, one.machine as usize);
        let way = &self.conns[conn as usize];
        let machine = &mut self.machines[number];
        let here = machine.up && machine.life == way.life;
        let room = machine.cores.reading()
            < (self.scenario.backlog_per_core * self.scenario.machines[number].cores) as usize;
        if !here || !way.accepted && !room {
            // A connection that was never made proves that nothing ran.
            let got = if way.accepted { Got::Reset } else { Got::Unreached };
            self.tries[id as usize].place = Place::Down;
            return self.downward(conn, Event::Answered(id, got));
        }
        machine.cores.advance(self.now);
        machine.cores.read(id, self.read_s);
        machine.at.insert(id);
        let one = &mut self.tries[id as usize];
        (one.came, one.place) = (self.now, Place::Unread);
        self.tell(id, |trace, now| trace.arrived = Some(now));
        if !std::mem::replace(&mut self.conns[conn as usize].accepted, true) {
            let machine = &mut self.machines[number];
            machine.conns.insert(conn);
            machine.inputs.push(Input::ConnectionOpened(conn));
            self.settle(number);
        }
        self.plan_cores(number);
    }

    /// It was read.
    fn read(&mut self, number: usize, id: TryId) {
        self.reads += 1;
        let one = &mut self.tries[id as usize];
        if self.conns[one.conn as usize].closed {
            // Its connection ended while it waited unread.
            one.place = Place::Over;
            self.machines[number].at.remove(&id);
            return;
        }
        one.place = Place::Held;
        let request = &self.requests[one.request as usize];
        let class = request.class as usize;
        let window = self.scenario.classes[class].class.window_ms;
        let came_ms = one.came / MS;
        let call = ClientRequest {
            id: RequestId::new(&format!("{id:016x}")),
            class: class.into(),
            tenant: Some((request.tenant as usize).into()),
            client_proxy: u64::from(self.conns[one.conn as usize].proxy),
            arrived_unix_ms: EPOCH_MS + came_ms,
            budget_ms: one.budget_ms,
            retry: one.retry,
            size_kb: request.size_kb,
            precedence: request.rank,
            idempotency_key: window.map(|_| Arc::from(format!("{:032x}", one.request))),
            has_subject: false,
            body: self.pool.exact(&one.request.to_be_bytes()).unwrap_or_else(|| self.pool.take()),
        };
        let (conn, told_left, size_kb) = (one.conn, one.told_left, request.size_kb);
        let key = window.map(|window| (u64::from(one.request), window));
        let machine = &mut self.machines[number];
        // One that was read only after its time is answered at once.
        let due = (came_ms + call.budget_ms).max(self.now / MS);
        self.rules.read(machine.ident, u64::from(id), came_ms, due, key);
        machine.inputs.push(Input::Request {
            connection: conn,
            sequence: id as i32,
            request: Box::new(call),
        });
        machine.held_kb += size_kb;
        self.tell(id, |trace, now| trace.read = Some(now));
        if told_left {
            self.hears_cancel(number, id);
        }
        self.book(number);
    }

    /// Word that nobody waits for a try.
    pub(super) fn cancelled(&mut self, id: TryId) {
        let one = &mut self.tries[id as usize];
        one.told_left = true;
        let (number, conn, place) = (one.machine as usize, one.conn, one.place);
        let machine = &mut self.machines[number];
        if !machine.up || machine.life != self.conns[conn as usize].life {
            return;
        }
        if place == Place::Unread {
            // What waits to be read and is wanted no more is never read.
            if machine.cores.forget(id) {
                machine.at.remove(&id);
                self.tries[id as usize].place = Place::Over;
            }
            return;
        }
        self.hears_cancel(number, id);
        self.settle(number);
    }

    fn hears_cancel(&mut self, number: usize, id: TryId) {
        let one = &self.tries[id as usize];
        self.machines[number].inputs.push(Input::Cancel { connection: one.conn, sequence: id as i32 });
        if one.place == Place::Held {
            self.leaves(number, id);
        }
    }

    /// The server knows that nobody waits for a try that it holds.
    fn leaves(&mut self, number: usize, id: TryId) {
        let one = &mut self.tries[id as usize];
        one.place = Place::Over;
        let (runs, request) = (one.runs, one.request as usize);
        let machine = &mut self.machines[number];
        machine.at.remove(&id);
        if !runs {
            machine.held_kb -= self.requests[request].size_kb;
        }
        self.rules.gone(u64::from(id));
    }

    /// A client proxy's close reaches the server.
    pub(super) fn closed_up(&mut self, conn: u64) {
        let way = &self.conns[conn as usize];
        let (number, life) = (way.machine as usize, way.life);
        let machine = &mut self.machines[number];
        if machine.up && machine.life == life && machine.conns.remove(&conn) {
            machine.inputs.push(Input::ConnectionClosed(conn));
            self.conns[conn as usize].closed = true;
            // Nobody waits for what was still open on it: a caller that gave up without a word.
            let tries = &self.tries;
            let held = |id: &&TryId| {
                let one = &tries[**id as usize];
                one.conn == conn && one.place == Place::Held
            };
            let open: Vec<TryId> = self.machines[number].at.iter().filter(held).copied().collect();
            open.into_iter().for_each(|id| self.leaves(number, id));
            self.settle(number);
        }
    }

    /// Something may be done on the cores.
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
            self.settle(number);
        } else {
            self.plan_cores(number);
        }
    }

    fn ran(&mut self, number: usize, id: TryId) {
        let one = &mut self.tries[id as usize];
        one.runs = false;
        let took = Span(self.now - one.began);
        let request = &self.requests[one.request as usize];
        let (size_kb, work_s, done) = (request.size_kb, request.work_s, request.done);
        let ident = self.machines[number].ident;
        let result = self.pool.exact(&one.request.to_be_bytes()).unwrap_or_else(|| self.pool.take());
        let machine = &mut self.machines[number];
        machine.running_kb -= size_kb * self.scenario.run_factor;
        machine.notices += 1;
        let id_text = RequestId::new(&format!("{id:016x}"));
        let (notice, end) = (machine.notices, RunEnd::Ok);
        machine.inputs.push(Input::RunCompleted { notice, id: id_text, end, took, result });
        if done {
            // Whoever asked has the answer already, or waits no more.
            self.service.wasted(run_work(work_s, self.read_s) * 1e3);
        }
        self.rules.ended(ident, self.now / MS);
        self.tell(id, |trace, now| trace.ended = Some(now));
        self.book(number);
    }

    /// The server has something to do.
    pub(super) fn wake(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if machine.wake_at == self.now {
            machine.wake_at = At::MAX;
        }
        self.settle(number);
    }

    /// Steps a node until nothing more happens at this moment.
    pub(super) fn settle(&mut self, number: usize) {
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
        self.watch.unsettled.push((self.now / MS, number));
    }

    /// Has the cores looked at when something is done there next.
    pub(super) fn plan_cores(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if let Some(at) = machine.cores.next_at().filter(|at| *at < machine.cores_at) {
            machine.cores_at = at;
            self.queue.push(at, Event::Cores(number));
        }
    }

    /// Counts the memory; a machine that is full does not outlive it.
    fn book(&mut self, number: usize) {
        let (now, kept) = (self.now, self.scenario.key_kb);
        let machine = &mut self.machines[number];
        while machine.keys.peek().is_some_and(|Reverse(at)| *at <= now) {
            machine.keys.pop();
            machine.keys_kb -= kept;
        }
        let (ident, kb) = (machine.ident, machine.memory_kb());
        let violations_before = self.rules.violations().len();
        self.rules.memory(ident, now / MS, kb);
        self.falls(number, violations_before);
    }

    fn effect(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Respond { connection: conn, sequence: seq, response: answer, capacity_hint: level } => {
                self.answers(number, conn, seq as TryId, answer, level)
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
            Effect::RequestDrain(conn) => self.downward(conn, Event::Draining(conn)),
            Effect::CloseIdleConnection { connection: conn, messages_received: taken } => {
                // Only what the server has taken in was sent: nothing is under way on it.
                let way = &self.conns[conn as usize];
                if way.sent == taken && self.machines[number].conns.remove(&conn) {
                    self.machines[number].inputs.push(Input::ConnectionClosed(conn));
                    self.downward(conn, Event::ClosedDown(conn));
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
            Effect::AskRegistry(ask) => self.asks_registry(number, ask),
            Effect::Exit => {
                self.stop(number, false);
                self.start(number, true);
            }
            _ => {}
        }
    }

    fn answers(&mut self, number: usize, conn: u64, id: TryId, answer: Response, level: Option<f64>) {
        let got = match answer {
            Response::Served(_) => Got::Served(level),
            Response::Rejected { retry_after: backoff, no_failover: last } => {
                self.watch.now.refused += 1;
                Got::Refused { away: backoff.0, last, level }
            }
            Response::Failed { .. } | Response::OutcomeUnknown | Response::Invalid { .. } => {
                self.watch.now.failed += 1;
                Got::Failed(level)
            }
            Response::Health { .. } => return,
        };
        self.rules.answered(u64::from(id), self.now / MS, matches!(got, Got::Refused { .. }));
        let one = &mut self.tries[id as usize];
        let held = one.place == Place::Held;
        let (runs, request) = (one.runs, one.request as usize);
        let machine = &mut self.machines[number];
        machine.at.remove(&id);
        if held {
            self.tries[id as usize].place = Place::Down;
            if !runs && !self.tries[id as usize].began_once() {
                machine.held_kb -= self.requests[request].size_kb;
            }
        }
        self.tell(id, |trace, now| {
            (trace.answered, trace.outcome) = (Some(now), super::AttemptOutcome::of(&got))
        });
        self.downward(conn, Event::Answered(id, got));
    }

    fn begins(&mut self, number: usize, id: TryId) {
        let one = &mut self.tries[id as usize];
        let request = &self.requests[one.request as usize];
        let (size_kb, work_s) = (request.size_kb, request.work_s);
        let keyed = self.scenario.classes[request.class as usize].class.window_ms;
        let (was_held, came) = (one.place == Place::Held, one.came);
        (one.began, one.runs) = (self.now, true);
        let machine = &mut self.machines[number];
        machine.cores.run(id, run_work(work_s, self.read_s));
        if was_held {
            machine.held_kb -= size_kb;
        }
        machine.running_kb += size_kb * self.scenario.run_factor;
        if let Some(window) = keyed {
            // The window counts from when it came.
            machine.keys.push(Reverse(came + window * MS));
            machine.keys_kb += self.scenario.key_kb;
        }
        let (ident, warmth) = (machine.ident, machine.cores.warmth());
        let violations_before = self.rules.violations().len();
        self.rules.warmth(ident, warmth);
        self.rules.began(u64::from(id), self.now / MS);
        self.tell(id, |trace, now| trace.started = Some(now));
        self.falls(number, violations_before);
        if self.machines[number].up {
            self.book(number);
        }
    }
}
