//! Plays a day of the peers: datagrams, clocks, processes and the ledger, an event after another.

use super::{Break, Fault, FaultKind, Outcome, Sharing, Spec};
use crate::queue::{At, Heap, Queue, nanos};
use crate::streams::{Streams, unit, within};
use gradepin_admission::{Outcome as Ended, Span, Time, span_from_seconds, span_seconds};
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_cluster::cluster::{CallDecision, Cluster, ClusterEffect, ClusterSettings, Envelope};
use gradepin_cluster::counters::CellId;
use gradepin_cluster::leases::{LeaseSettings, Slot};
use gradepin_cluster::members::{FailureDetection, KnownMember};
use gradepin_cluster::peer::{Incarnation, Peer};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a run waits for its call, and how long a call on an own slot may take, in seconds.
const PATIENCE_S: f64 = 1.0;
const OWN_LIMIT_S: f64 = 4.0;
/// How long the ledger goes on with a call whose caller is gone.
const LINGER_S: f64 = 0.2;
/// Calls take no more than so many times their mean.
const MOST_OF_MEAN: f64 = 30.0;
/// From the decision to call to the call's last look at the clock.
const SEND_S: f64 = 0.000_3;
/// A starved process runs for the first part of each period.
const PERIOD: At = 100_000_000;
const RUNS_FOR: At = 20_000_000;
/// Between looks at what all believe.
const LOOK_S: f64 = 0.25;
/// Observers whose beliefs are looked at for wrong ones, at the most.
const OBSERVERS: usize = 40;
/// A server is well if nothing happened to it for so long.
const WELL_S: f64 = 5.0;
/// Datagrams that wait in the socket of a process that doesn't run.
const SOCKET: usize = 200;
const OFFICES: [(&str, f64); 4] = [("o1", 0.42), ("o2", 0.26), ("o3", 0.18), ("o4", 0.14)];
/// What is told of calls a second, for each office's quota.
const WINDOW_S: f64 = 10.0;

enum Event {
    Wake(usize, u64),
    Arrive(usize),
    Datagram(usize, Arc<Vec<u8>>),
    /// A decided call has its last look at the clock and leaves.
    Leave(u64),
    /// The ledger is done with a call.
    Done(u64),
    /// Its caller gives it up.
    HangUp(u64),
    /// The ledger notices that the caller is gone.
    Gone(u64),
    Fault(usize, bool),
    Look,
}

struct Call {
    server: usize,
    life: u32,
    /// With the ledger.
    there: bool,
    /// The caller waits for it.
    awaited: bool,
    slot: Option<Slot>,
    made: At,
    good: bool,
}

struct Server {
    cluster: Option<Cluster>,
    /// Of its clock: what it shows is `offset + t * rate`.
    rate: f64,
    offset: u64,
    life: u32,
    wall_back_s: f64,
    stopped: bool,
    starved: bool,
    wake: u64,
    inbox: VecDeque<Arc<Vec<u8>>>,
    /// Calls that ended while it was stopped.
    ended: Vec<(u64, Ended)>,
    waiting: VecDeque<At>,
    calls: usize,
    /// Since when nothing happened to it.
    well_since: At,
    /// What it was asked lately, by office.
    asked: Vec<VecDeque<At>>,
}

impl Server {
    fn local(&self, at: At) -> Time {
        Time(self.offset + (at as f64 * self.rate) as u64)
    }

    fn global(&self, local: Time) -> At {
        (local.0.saturating_sub(self.offset) as f64 / self.rate).ceil() as At
    }

    fn runs(&self) -> bool {
        !self.stopped && self.cluster.is_some()
    }

    /// When it has the core next.
    fn slot(&self, at: At) -> At {
        if self.starved && at % PERIOD >= RUNS_FOR { at - at % PERIOD + PERIOD } else { at }
    }
}

/// A change whose spread is watched.
struct Watched {
    since: At,
    name: Arc<str>,
    life: u32,
    up: bool,
}

struct World<'s> {
    spec: &'s Spec,
    now: At,
    queue: Heap<Event>,
    servers: Vec<Server>,
    names: Vec<Arc<str>>,
    keys: AuthenticationKeys,
    net: Pcg64Mcg,
    work: Pcg64Mcg,
    calls: HashMap<u64, Call>,
    call_no: u64,
    /// Calls with the ledger.
    there: usize,
    /// Runs that wait, oldest first, where one pool serves all.
    pool: VecDeque<(usize, At)>,
    on: Vec<bool>,
    watched: Vec<Watched>,
    wrong: HashMap<(usize, usize), At>,
    wrongs: usize,
    judged: [f64; 2],
    heard: [f64; 2],
    out: Outcome,
}

/// Plays a day.
pub fn play(spec: &Spec) -> Outcome {
    let streams = Streams::new(spec.seed);
    let mut rng = streams.of("peers", 0);
    let servers = (0..spec.servers).map(|n| Server {
        cluster: None,
        rate: 1.0 + within(&mut rng, [-spec.drift, spec.drift]),
        offset: nanos(within(&mut rng, [1.0, 1e6])),
        life: 0,
        wall_back_s: 0.0,
        stopped: false,
        starved: spec.starved > 0 && n.is_multiple_of(spec.starved),
        wake: 0,
        inbox: VecDeque::new(),
        ended: Vec::new(),
        waiting: VecDeque::new(),
        calls: 0,
        well_since: 0,
        asked: vec![VecDeque::new(); OFFICES.len()],
    });
    let world = World {
        spec,
        now: 0,
        queue: Heap::default(),
        servers: servers.collect(),
        names: (0..spec.servers).map(|n| Arc::from(format!("n{n}"))).collect(),
        keys: AuthenticationKeys::of([7; 32]),
        net: streams.of("peer net", 0),
        work: streams.of("peer work", 0),
        calls: HashMap::new(),
        call_no: 0,
        there: 0,
        pool: VecDeque::new(),
        on: vec![false; spec.faults.0.len()],
        watched: Vec::new(),
        wrong: HashMap::new(),
        wrongs: 0,
        judged: [0.0; 2],
        heard: [0.0; 2],
        out: Outcome { bound: (spec.share * spec.servers as f64).floor() as usize, ..Outcome::default() },
    };
    world.run()
}

impl World<'_> {
    fn run(mut self) -> Outcome {
        for n in 0..self.servers.len() {
            self.start(n);
            self.next_arrival(n);
        }
        for (n, fault) in self.spec.faults.0.iter().enumerate() {
            self.queue.push(nanos(fault.from_s), Event::Fault(n, true));
            self.queue.push(nanos(fault.to_s), Event::Fault(n, false));
        }
        self.queue.push(nanos(LOOK_S), Event::Look);
        let end = nanos(self.spec.seconds);
        while let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= end) {
            self.now = at;
            self.event(event);
        }
        self.now = end;
        self.sum_up()
    }

    fn sum_up(mut self) -> Outcome {
        let minutes = self.spec.seconds / 60.0 * self.servers.len() as f64;
        for server in &self.servers {
            if let Some(cluster) = &server.cluster {
                let status = cluster.status(server.local(self.now));
                let rate = status.bytes_sent as f64 / self.spec.seconds;
                self.out.bytes_s += rate / self.servers.len() as f64;
                self.out.most_bytes_s = self.out.most_bytes_s.max(rate);
            }
        }
        self.out.unknown = self.watched.len();
        self.out.wrongly_dead = self.wrongs as f64 / minutes;
        self.out.misjudged = self.judged[0] / self.judged[1].max(1.0);
        self.out.heard = self.heard[0] / self.heard[1].max(1.0);
        self.out
    }

    fn shares(&self) -> bool {
        matches!(self.spec.sharing, Sharing::Lending | Sharing::Plain)
    }

    fn address(n: usize) -> SocketAddr {
        SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250) as u8], 7946))
    }

    fn start(&mut self, n: usize) {
        let spec = self.spec;
        let server = &mut self.servers[n];
        server.life += 1;
        server.well_since = self.now;
        // The wall clock of a machine may be set back between two lives.
        let wall_ms = (1_700_000_000.0 + self.now as f64 / 1e9 - server.wall_back_s) * 1e3;
        let draw = Streams::new(spec.seed).of("life", (n as u64) << 32 | u64::from(server.life)).next_u64();
        let own = Peer {
            name: Arc::clone(&self.names[n]),
            incarnation: Incarnation::starting(wall_ms as u64, draw),
            address: Self::address(n),
            zone: Arc::from(format!("z{}", n % spec.zones)),
        };
        let plain = spec.sharing == Sharing::Plain;
        let settings = ClusterSettings {
            own,
            seeds: (0..3.min(spec.servers)).map(Self::address).collect(),
            keys: self.keys.clone(),
            failure_detection: FailureDetection::default(),
            max_bytes_per_second: 32_000,
            servers: spec.servers,
            share: Some(spec.share),
            leases: LeaseSettings { ignore_expiry: plain, ..LeaseSettings::default() },
            probes_per_second: 2.0,
            retry_ratio: None,
            seed: draw,
        };
        let local = server.local(self.now);
        server.cluster = Some(Cluster::new(settings, local));
        server.calls = 0;
        server.waiting.clear();
        server.inbox.clear();
        server.ended.clear();
        if self.shares() {
            let (name, life) = (Arc::clone(&self.names[n]), self.servers[n].life);
            if self.now > 0 {
                self.watched.retain(|watched| watched.name != name);
                self.watched.push(Watched { since: self.now, name, life, up: true });
            }
            self.wake(n, self.now);
        }
    }

    fn wake(&mut self, n: usize, at: At) {
        let server = &mut self.servers[n];
        server.wake += 1;
        let at = server.slot(at.max(self.now));
        self.queue.push(at, Event::Wake(n, server.wake));
    }

    fn counts_now(&self) -> bool {
        self.now >= nanos(self.spec.count_from_s)
    }

    fn next_arrival(&mut self, n: usize) {
        let spec = self.spec;
        let capacity = spec.share * spec.servers as f64 / spec.call_s;
        let first = (0..spec.servers).filter(|n| n.is_multiple_of(spec.zones)).count() as f64;
        let weights = first * spec.lean + (spec.servers as f64 - first);
        let weight = if n.is_multiple_of(spec.zones) { spec.lean } else { 1.0 };
        let rate = capacity * spec.load * weight / weights;
        let gap = -(1.0 - unit(&mut self.work)).ln() / rate;
        self.queue.push(self.now + nanos(gap).max(1), Event::Arrive(n));
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Wake(n, number) => {
                if self.servers[n].wake == number && self.servers[n].runs() {
                    self.step(n);
                }
            }
            Event::Arrive(n) => {
                self.next_arrival(n);
                self.arrive(n);
            }
            Event::Datagram(n, data) => {
                let server = &mut self.servers[n];
                if server.cluster.is_some() && server.inbox.len() < SOCKET {
                    server.inbox.push_back(data);
                }
                if server.runs() {
                    if server.slot(self.now) == self.now {
                        self.step(n);
                    } else {
                        self.wake(n, self.now);
                    }
                }
            }
            Event::Leave(call) => self.leave(call),
            Event::Done(call) => self.done(call, None),
            Event::HangUp(call) => self.hang_up(call),
            Event::Gone(call) => self.gone(call),
            Event::Fault(n, begins) => self.fault(n, begins),
            Event::Look => {
                self.look();
                self.send_of_stand_ins();
                self.queue.push(self.now + nanos(LOOK_S), Event::Look);
            }
        }
    }

    // ---- processes and datagrams

    /// One turn of a server's process.
    fn step(&mut self, n: usize) {
        let server = &mut self.servers[n];
        let local = server.local(self.now);
        let Some(cluster) = &mut server.cluster else { return };
        for data in server.inbox.drain(..) {
            match Envelope::open(&self.keys, &data) {
                Ok(envelope) => cluster.receive(local, &envelope),
                Err(why) => cluster.dropped(why, 1),
            }
        }
        let mut effects = Vec::new();
        cluster.step(local, &mut effects);
        let next = cluster.wake_at(local);
        for (call, how) in std::mem::take(&mut server.ended) {
            self.told(n, call, how);
        }
        for effect in effects {
            if let ClusterEffect::Send { to, datagram: data } = effect {
                self.send(n, to, data);
            }
        }
        let at = self.servers[n].global(next);
        self.wake(n, at);
        self.serve(n);
    }

    fn send(&mut self, from: usize, to: SocketAddr, data: Vec<u8>) {
        if self.counts_now() {
            self.out.traffic.add(&data);
        }
        let SocketAddr::V4(to) = to else { return };
        let [_, _, high, low] = to.ip().octets();
        let to = usize::from(high) * 250 + usize::from(low);
        let data = Arc::new(data);
        let copies = if unit(&mut self.net) < self.spec.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let delay = within(&mut self.net, self.spec.delay_s) + unit(&mut self.net) * self.slow_s();
            let lost = unit(&mut self.net) < self.spec.loss || self.is_cut(from, to);
            if !lost && to < self.servers.len() {
                self.queue.push(self.now + nanos(delay), Event::Datagram(to, Arc::clone(&data)));
            }
        }
    }

    /// What stand-ins send more: an envelope of no name and no tag that says membership, for nobody to take.
    fn send_of_stand_ins(&mut self) {
        const HEAD: usize = 2 + 4 * 8 + 1;
        let bytes = (self.spec.stand_in_bytes_s as f64 * LOOK_S) as usize;
        if bytes <= HEAD || !self.shares() {
            return;
        }
        let mut data = vec![0; bytes];
        data[0] = 1;
        for from in 0..self.servers.len() {
            let to = Self::address((from + 1) % self.servers.len());
            self.send(from, to, data.clone());
        }
    }

    fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.spec.faults.0.iter().zip(&self.on).filter(|(_, on)| **on).map(|(fault, _)| fault)
    }

    fn slow_s(&self) -> f64 {
        let slow = self.faults().map(|fault| if let FaultKind::Slow(s) = fault.what { s } else { 0.0 });
        slow.fold(0.0, f64::max)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.faults().any(|fault| match &fault.what {
            FaultKind::Deaf(some) => some.contains(&to) && !some.contains(&from),
            FaultKind::Cut(some) => some.contains(&to) != some.contains(&from),
            _ => false,
        })
    }

    fn fault(&mut self, number: usize, begins: bool) {
        self.on[number] = begins;
        match &self.spec.faults.0[number].what {
            FaultKind::Stop(some) => {
                for &n in some {
                    self.servers[n].stopped = begins;
                    self.servers[n].well_since = self.now;
                    if !begins && self.servers[n].runs() {
                        self.step(n);
                    }
                }
            }
            FaultKind::Kill(some, back_s) => {
                for &n in some {
                    if begins {
                        self.kill(n);
                    } else if self.servers[n].cluster.is_none() {
                        self.servers[n].wall_back_s += back_s;
                        self.start(n);
                    }
                }
            }
            FaultKind::Deaf(_) | FaultKind::Cut(_) | FaultKind::Slow(_) => {
                let now = self.now;
                self.servers.iter_mut().for_each(|server| server.well_since = now);
            }
            FaultKind::NoLedger(_) | FaultKind::SlowLedger(_) => {}
        }
    }

    fn kill(&mut self, n: usize) {
        if self.servers[n].cluster.take().is_none() {
            return;
        }
        self.servers[n].stopped = false;
        self.servers[n].well_since = self.now;
        let mut open: Vec<u64> =
            self.calls.iter().filter(|(_, call)| call.server == n).map(|(id, _)| *id).collect();
        open.sort_unstable();
        for id in open {
            self.queue.push(self.now + nanos(LINGER_S), Event::Gone(id));
        }
        if self.shares() {
            let (name, life) = (Arc::clone(&self.names[n]), self.servers[n].life);
            self.watched.retain(|watched| watched.name != name);
            self.watched.push(Watched { since: self.now, name, life, up: false });
        }
        self.pool.retain(|(server, _)| *server != n);
    }

    // ---- runs and calls

    fn arrive(&mut self, n: usize) {
        self.out.asked += usize::from(self.counts_now());
        let mut dice = unit(&mut self.work);
        let tenant = OFFICES.iter().position(|(_, part)| {
            dice -= part;
            dice < 0.0
        });
        let tenant = tenant.unwrap_or(0);
        let server = &mut self.servers[n];
        server.asked[tenant].push_back(self.now);
        let local = server.local(self.now);
        let Some(cluster) = &mut server.cluster else { return };
        cluster.arrived(
            local,
            CellId::of(OFFICES[tenant].0, "c"),
            false,
            span_from_seconds(self.spec.call_s),
        );
        server.waiting.push_back(self.now);
        if self.spec.sharing == Sharing::AllKnowing {
            self.pool.push_back((n, self.now));
            self.pour();
        } else {
            self.serve(n);
        }
    }

    /// Makes the calls that may be made.
    fn serve(&mut self, n: usize) {
        if self.spec.sharing == Sharing::AllKnowing {
            return self.pour();
        }
        loop {
            let lends = self.shares();
            let server = &mut self.servers[n];
            let patience = nanos(PATIENCE_S);
            while server.waiting.front().is_some_and(|since| since + patience < self.now) {
                server.waiting.pop_front();
            }
            if !server.runs() || server.slot(self.now) != self.now {
                return;
            }
            let (local, waiting) = (server.local(self.now), server.waiting.len());
            let Some(cluster) = &mut server.cluster else { return };
            if !lends {
                if waiting == 0 || server.calls + 1 > self.spec.share as usize {
                    return;
                }
                server.waiting.pop_front();
                self.decide(n, None);
                continue;
            }
            cluster.set_waiting(local, waiting);
            if waiting == 0 {
                return;
            }
            match cluster.call(local) {
                CallDecision::Proceed(slot) => {
                    server.waiting.pop_front();
                    let waiting = server.waiting.len();
                    cluster.set_waiting(local, waiting);
                    self.decide(n, Some(slot));
                }
                CallDecision::Wait => return,
                // As in the server: what finds the door closed is given up at once, and asks no second time.
                CallDecision::Rejected => drop(server.waiting.pop_front()),
            }
        }
    }

    /// One pool for all, and whoever waits longest.
    fn pour(&mut self) {
        let patience = nanos(PATIENCE_S);
        while self.pool.front().is_some_and(|(_, since)| since + patience < self.now) {
            self.pool.pop_front();
        }
        while self.there < self.out.bound {
            let runs = |(n, _): &(usize, At)| self.servers[*n].runs();
            let Some(place) = self.pool.iter().position(runs) else { return };
            if let Some((n, _)) = self.pool.remove(place) {
                self.servers[n].waiting.pop_front();
                self.decide(n, None);
            }
        }
    }

    fn decide(&mut self, n: usize, slot: Option<Slot>) {
        self.call_no += 1;
        let (id, life) = (self.call_no, self.servers[n].life);
        self.servers[n].calls += 1;
        let call = Call { server: n, life, there: false, awaited: true, slot, made: self.now, good: true };
        self.calls.insert(id, call);
        if slot.is_some() {
            self.queue.push(self.now + nanos(SEND_S), Event::Leave(id));
        } else {
            self.leave(id);
        }
    }

    /// The last look at the clock before a call leaves.
    fn leave(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let n = call.server;
        if self.servers[n].life != call.life || self.servers[n].cluster.is_none() {
            self.calls.remove(&id);
            return;
        }
        if self.servers[n].stopped {
            // It goes on where it was when the process does.
            self.queue.push(self.now + nanos(0.01), Event::Leave(id));
            return;
        }
        let local = self.servers[n].local(self.now);
        let mut limit = OWN_LIMIT_S;
        if let Some(Slot::Borrowed { until, max_call }) = call.slot {
            if local >= until {
                self.calls.remove(&id);
                return self.told_of(n, id, Ended::Rejected, Span(0));
            }
            limit = span_seconds(max_call) / self.servers[n].rate;
        }
        let closed = self.faults().any(|t| matches!(&t.what, FaultKind::NoLedger(some) if some.contains(&n)));
        if closed {
            self.calls.remove(&id);
            self.out.refused += 1;
            return self.told_of(n, id, Ended::ConnectFailed, Span(0));
        }
        let slower =
            self.faults().map(|t| if let FaultKind::SlowLedger(times) = t.what { times } else { 1.0 });
        let slower = slower.fold(1.0, f64::max);
        let tail = -(1.0 - unit(&mut self.work)).ln();
        let took = (self.spec.call_s * slower * tail).min(self.spec.call_s * MOST_OF_MEAN);
        if let Some(call) = self.calls.get_mut(&id) {
            call.there = true;
            call.made = self.now;
        }
        self.there += 1;
        self.out.most = self.out.most.max(self.there);
        if self.there > self.out.bound {
            self.out.breaks.push(Break { at_s: self.now as f64 / 1e9, server: n, calls: self.there });
        }
        self.queue.push(self.now + nanos(took).max(1), Event::Done(id));
        if took > limit {
            self.queue.push(self.now + nanos(limit), Event::HangUp(id));
        }
    }

    /// The ledger has an answer, or with none gives it up.
    fn done(&mut self, id: u64, gone: Option<()>) {
        let Some(call) = self.calls.remove(&id) else { return };
        if call.there {
            self.there -= 1;
        }
        let n = call.server;
        if gone.is_none() && call.awaited && self.servers[n].life == call.life && call.good {
            let took = span_from_seconds((self.now - call.made) as f64 / 1e9);
            self.told_of(n, id, Ended::Success, took);
        }
        if self.spec.sharing == Sharing::AllKnowing {
            self.pour();
        }
    }

    fn hang_up(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let n = call.server;
        if self.servers[n].life != call.life || self.servers[n].cluster.is_none() {
            return;
        }
        if self.servers[n].stopped {
            // The ledger was told its limit, and goes by it.
            self.queue.push(self.now + nanos(LINGER_S), Event::Gone(id));
            return;
        }
        call.awaited = false;
        let took = span_from_seconds((self.now - call.made) as f64 / 1e9);
        self.queue.push(self.now + nanos(LINGER_S), Event::Gone(id));
        self.told_of(n, id, Ended::TimedOut, took);
    }

    fn gone(&mut self, id: u64) {
        let awaited = self.calls.get(&id).is_some_and(|call| {
            call.awaited
                && self.servers[call.server].life == call.life
                && self.servers[call.server].cluster.is_some()
        });
        let server = self.calls.get(&id).map(|call| call.server);
        self.done(id, Some(()));
        if let (true, Some(n)) = (awaited, server) {
            self.told_of(n, id, Ended::TimedOut, span_from_seconds(OWN_LIMIT_S));
        }
    }

    /// The server's process is told, now or when it goes on.
    fn told_of(&mut self, n: usize, id: u64, how: Ended, took: Span) {
        self.out.served += usize::from(how == Ended::Success && self.counts_now());
        if self.servers[n].stopped {
            self.servers[n].ended.push((id, how));
            return;
        }
        self.tell(n, how, took);
        self.serve(n);
    }

    fn told(&mut self, n: usize, _id: u64, how: Ended) {
        self.tell(n, how, span_from_seconds(self.spec.call_s));
    }

    fn tell(&mut self, n: usize, how: Ended, took: Span) {
        let server = &mut self.servers[n];
        server.calls = server.calls.saturating_sub(1);
        let local = server.local(self.now);
        if let Some(cluster) = server.cluster.as_mut().filter(|_| server.life > 0) {
            cluster.call_ended(local, how, took);
        }
    }

    // ---- what is looked at

    fn look(&mut self) {
        if !self.shares() {
            return self.judge();
        }
        let now = self.now;
        let lives: Vec<Incarnation> = self
            .servers
            .iter()
            .map(|s| s.cluster.as_ref().map_or(Incarnation(0), |c| c.members().own().incarnation))
            .collect();
        let servers = &self.servers;
        let names = &self.names;
        let known = &mut self.out.known_s;
        self.watched.retain(|watched| {
            let n = names.iter().position(|name| *name == watched.name).unwrap_or(0);
            let knows = |seen: Option<&KnownMember>| match watched.up {
                true => seen.is_some_and(|seen| seen.up && seen.peer.incarnation == lives[n]),
                false => seen.is_some_and(|seen| !seen.up),
            };
            let mut others = servers.iter().enumerate().filter(|(m, server)| *m != n && server.runs());
            let all = servers[n].life == watched.life
                && others.all(|(_, server)| {
                    server
                        .cluster
                        .as_ref()
                        .is_some_and(|cluster| knows(cluster.members().find(&watched.name)))
                });
            if all {
                known.push((now - watched.since) as f64 / 1e9);
            }
            !all
        });
        self.beliefs(now);
        self.judge();
    }

    /// Those that are there and well, and believed dead by one that is well.
    fn beliefs(&mut self, now: At) {
        let apart = self
            .faults()
            .any(|t| matches!(t.what, FaultKind::Deaf(_) | FaultKind::Cut(_) | FaultKind::Slow(_)));
        if apart {
            return self.wrong.clear();
        }
        let well = |server: &Server| server.runs() && now >= server.well_since + nanos(WELL_S);
        let step = self.servers.len().div_ceil(OBSERVERS);
        let mut still = HashSet::new();
        for observer in (0..self.servers.len()).step_by(step).filter(|n| well(&self.servers[*n])) {
            let Some(cluster) = &self.servers[observer].cluster else { continue };
            for seen in cluster.members().known().filter(|seen| !seen.up) {
                let number = seen.peer.name.get(1..).and_then(|number| number.parse::<usize>().ok());
                let Some(n) = number.filter(|n| well(&self.servers[*n])) else { continue };
                still.insert((observer, n));
            }
        }
        self.wrong.retain(|pair, _| still.contains(pair));
        for pair in still {
            let since = *self.wrong.entry(pair).or_insert_with(|| {
                self.wrongs += 1;
                now
            });
            self.out.longest_wrong_s = self.out.longest_wrong_s.max((now - since) as f64 / 1e9);
        }
    }

    /// What each server takes an office's part beyond its share to be, and what it is.
    fn judge(&mut self) {
        let window = nanos(WINDOW_S);
        let mut sums = [0.0; OFFICES.len()];
        for server in &mut self.servers {
            for (tenant, asked) in server.asked.iter_mut().enumerate() {
                while asked.front().is_some_and(|at| at + window < self.now) {
                    asked.pop_front();
                }
                sums[tenant] += asked.len() as f64;
            }
        }
        if self.now < window {
            return;
        }
        let spec = self.spec;
        let capacity = spec.share * spec.servers as f64 / spec.call_s;
        let mut heard = BTreeMap::new();
        for (n, server) in self.servers.iter().enumerate().filter(|(_, server)| server.runs()) {
            let Some(cluster) = &server.cluster else { continue };
            let local = server.local(self.now);
            for (tenant, (name, part)) in OFFICES.iter().enumerate() {
                let quota = capacity * part * spec.load;
                let cell = CellId::of(name, "c");
                let told = match spec.sharing {
                    Sharing::Static => quota,
                    Sharing::AllKnowing => f64::INFINITY,
                    _ => cluster.quota(local, quota, |id| id == cell),
                };
                let own = server.asked[tenant].len() as f64;
                let within = |quota: f64, asked: f64| (quota * WINDOW_S / asked.max(1e-9)).min(1.0);
                let truth = within(quota, sums[tenant]);
                let judged = if told.is_infinite() { truth } else { within(told / spec.servers as f64, own) };
                self.judged[0] += own * (judged - truth).abs();
                self.judged[1] += own;
            }
            heard.insert(n, cluster.read(local, |_| true).coverage(spec.servers));
        }
        self.heard[0] += heard.values().sum::<f64>();
        self.heard[1] += heard.len() as f64;
    }
}

#[cfg(test)]
mod tests {
    use super::super::{Faults, draw};
    use super::*;

    fn seeds(count: u64, spec: impl Fn(u64) -> Spec) -> Vec<(u64, Outcome)> {
        (1..=count).map(|seed| (seed, play(&spec(seed)))).collect()
    }

    /// The bound, attacked by drawn troubles; and the same without the rules of time, or this proves nothing.
    #[test]
    fn leases_keep_the_bound_and_without_their_rules_of_time_they_dont() {
        let spec = |seed, sharing| {
            let faults = draw(seed, 12, 20.0);
            Spec { seed, sharing, seconds: 20.0, faults, ..Spec::default() }
        };
        for (seed, outcome) in seeds(24, |seed| spec(seed, Sharing::Lending)) {
            assert_eq!(outcome.breaks, [], "seed {seed}: {:?}", spec(seed, Sharing::Lending).faults);
            assert!(outcome.most <= outcome.bound && outcome.served > 0);
        }
        let broken = seeds(6, |seed| spec(seed, Sharing::Plain));
        assert!(broken.iter().any(|(_, outcome)| !outcome.breaks.is_empty()));
    }

    #[test]
    fn one_seed_one_result() {
        let spec = Spec { faults: draw(3, 12, 12.0), seconds: 12.0, ..Spec::default() };
        assert_eq!(format!("{:?}", play(&spec)), format!("{:?}", play(&spec)));
    }

    /// Guards the point of it all: where traffic leans, lending earns most of what one that knows all would, and a fleet
    /// cut to pieces has what static shares give.
    #[test]
    fn lending_earns_where_traffic_leans_and_costs_nothing_where_all_are_cut_off() {
        let service = |sharing, faults: Faults| {
            let spec = Spec { sharing, faults, seconds: 60.0, count_from_s: 10.0, ..Spec::default() };
            play(&spec).service()
        };
        let none = Faults::default;
        let [fixed, lent, all] =
            [Sharing::Static, Sharing::Lending, Sharing::AllKnowing].map(|sharing| service(sharing, none()));
        assert!(
            (lent - fixed) / (all - fixed) > 0.8,
            "static {fixed:.3}, lent {lent:.3}, all-knowing {all:.3}"
        );
        // Each hears nobody, from before the first word on.
        let alone =
            (0..12).map(|n| Fault { from_s: 0.0, to_s: 59.9, what: FaultKind::Cut(vec![n]) }).collect();
        let cut = service(Sharing::Lending, Faults(alone));
        assert!(cut > fixed - 0.01, "static {fixed:.3}, cut off {cut:.3}");
    }
}
