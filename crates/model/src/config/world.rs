//! Plays a day, an event after another.

use super::network::Network;
use super::script::{Action, Disk, actions};
use super::tamper::tamper;
use super::traffic::TrafficCounter;
use super::truth::{Truth, class, tenant};
use super::{Outcome, PROMISE_S, Spec};
use crate::queue::{At, Calendar, Queue, nanos};
use crate::streams::{Streams, chance, one_of, within};
use gradepin_admission::Time;
use gradepin_config::change::{Name, Revision};
use gradepin_config::dissemination::{Dissemination, DisseminationEffect, Member};
use gradepin_config::{Configuration, Version};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;
use std::collections::VecDeque;
use std::sync::Arc;

/// That a server is up or down, or out of reach, is learned within this long by a zone.
const NEWS_S: [f64; 2] = [1.0, 4.0];
/// A server that starts knows the voters, and all others after this long.
const LEARN_S: [f64; 2] = [0.5, 2.0];
/// Until a voter that was away has the log of the others.
const CATCH_UP_S: [f64; 2] = [0.5, 1.5];
/// A proposal that finds no majority is tried again after so long.
const RETRY_S: f64 = 0.5;
/// The state is written to the disk this often at the most.
const WRITE_S: f64 = 5.0;
/// A step does not ask to be called again sooner.
const LEAST_WAKE: At = 1_000_000;
/// Breaches that are kept in words.
const MOST_WORDS: usize = 5;

enum Event {
    Wake(usize),
    Message {
        from: usize,
        to: usize,
        bytes: Arc<Vec<u8>>,
    },
    Act(Action),
    /// A voter is told the log up to a revision by the consensus group.
    Agreed(usize, Revision),
    /// A zone learns whether a server is up and in reach.
    News {
        zone: usize,
        about: usize,
    },
    /// A server that started learns who is up.
    Learn(usize, u32),
}

struct Server {
    machine: Option<Dissemination>,
    /// What came into force here, as the world saw it.
    in_force: Revision,
    disk: Configuration,
    written: At,
    life: u32,
    started: At,
    /// Since when it is up and in reach.
    reachable: At,
    wake: At,
}

struct World<'s> {
    spec: &'s Spec,
    now: At,
    queue: Calendar<Event>,
    servers: Vec<Server>,
    members: Vec<Arc<Member>>,
    by_zone: Vec<Vec<usize>>,
    network: Network,
    truth: Truth,
    committed_at: Vec<At>,
    base: Revision,
    proposed: VecDeque<At>,
    traffic: TrafficCounter,
    messages_rng: Pcg64Mcg,
    world_rng: Pcg64Mcg,
    out: Outcome,
}

/// Plays a day.
pub fn play(spec: &Spec) -> Outcome {
    let mut world = World::new(spec);
    world.run();
    world.sum_up()
}

fn members(spec: &Spec, network: &Network) -> Vec<Arc<Member>> {
    let zones: Vec<Name> = (0..spec.zones).map(|zone| Arc::from(format!("zone-{zone}"))).collect();
    let regions: Vec<Name> = (0..spec.regions).map(|region| Arc::from(format!("region-{region}"))).collect();
    let member = |n: usize| {
        let place = network.place(n);
        Arc::new(Member {
            name: Arc::from(format!("s{n:05}")),
            zone: zones[place.zone].clone(),
            region: regions[place.region].clone(),
            voter: n < spec.voters,
        })
    };
    (0..spec.servers).map(member).collect()
}

impl<'s> World<'s> {
    fn new(spec: &'s Spec) -> Self {
        let streams = Streams::new(spec.seed);
        let network = Network::new(spec);
        let truth = Truth::new(spec.classes, spec.tenants);
        let server = |_| Server {
            machine: None,
            in_force: Revision(0),
            disk: truth.base().clone(),
            written: 0,
            life: 0,
            started: 0,
            reachable: 0,
            wake: 0,
        };
        let mut by_zone = vec![Vec::new(); spec.zones];
        (0..spec.servers).for_each(|n| by_zone[network.place(n).zone].push(n));
        Self {
            spec,
            now: 0,
            queue: Calendar::default(),
            servers: (0..spec.servers).map(server).collect(),
            members: members(spec, &network),
            by_zone,
            network,
            committed_at: vec![0; truth.revision().0 as usize + 1],
            base: truth.revision(),
            truth,
            proposed: VecDeque::new(),
            traffic: TrafficCounter::new(spec),
            messages_rng: streams.of("config messages", 0),
            world_rng: streams.of("config world", 0),
            out: Outcome::default(),
        }
    }

    fn run(&mut self) {
        for n in 0..self.spec.servers {
            self.start(n, Disk::Kept);
        }
        for n in 0..self.spec.servers {
            self.learn(n);
        }
        for (at, action) in actions(self.spec) {
            self.queue.push(at, Event::Act(action));
        }
        let end = nanos(self.spec.seconds);
        while let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= end) {
            self.now = at;
            self.event(event);
        }
        self.now = end;
    }

    fn sum_up(mut self) -> Outcome {
        for n in 0..self.servers.len() {
            if self.servers[n].machine.is_some() {
                let behind = self.lacks_for(n).is_some();
                self.out.behind_at_end += usize::from(behind && !self.network.is_cut_off(n));
                self.count_lack(n);
                self.account_of(n);
            }
        }
        self.out.changes = (self.truth.revision().0 - self.base.0) as usize;
        self.out.bytes = self.traffic.sum_up(self.spec.voters);
        self.out
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Wake(n) => {
                if self.servers[n].wake == self.now {
                    self.step(n);
                }
            }
            Event::Message { from, to, bytes } => self.message(from, to, &bytes),
            Event::Act(action) => self.act(action),
            Event::Agreed(voter, revision) => self.consensus(voter, revision),
            Event::News { zone, about } => self.news(zone, about),
            Event::Learn(n, life) => {
                if self.servers[n].life == life {
                    self.learn(n);
                }
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Propose => {
                self.proposed.push_back(self.now);
                self.commit();
            }
            Action::Kill(n) => self.kill(n),
            Action::Start(n, disk) => {
                if self.servers[n].machine.is_none() {
                    self.start(n, disk);
                    self.tell_zones(n);
                }
            }
            Action::Cut(servers) => {
                servers.iter().for_each(|&n| self.count_lack(n));
                self.network.set_side(&servers, 1);
                servers.iter().for_each(|&n| self.tell_zones(n));
            }
            Action::Heal(servers) => {
                self.network.set_side(&servers, 0);
                for &n in &servers {
                    self.servers[n].reachable = self.now;
                    self.tell_zones(n);
                    self.catch_up(n);
                    self.learn_later(n);
                }
            }
        }
    }

    // ---- processes

    fn start(&mut self, n: usize, disk: Disk) {
        let draw = self.world_rng.next_u64();
        let now = self.time();
        let server = &mut self.servers[n];
        if disk == Disk::Empty {
            server.disk = Configuration::default();
        }
        let own = Member::clone(&self.members[n]);
        let machine = Dissemination::new(self.spec.settings.clone(), own, server.disk.clone(), draw, now);
        server.in_force = server.disk.revision();
        server.machine = Some(machine);
        server.life += 1;
        (server.started, server.reachable) = (self.now, self.now);
        for voter in 0..self.spec.voters {
            self.tell(n, voter);
        }
        self.learn_later(n);
        self.catch_up(n);
        // Processes that start together don't wake together.
        let first = self.now + nanos(within(&mut self.world_rng, [0.0, 1.0]));
        self.schedule(n, first);
    }

    fn kill(&mut self, n: usize) {
        if self.servers[n].machine.is_none() {
            return;
        }
        self.count_lack(n);
        self.account_of(n);
        self.servers[n].machine = None;
        self.tell_zones(n);
    }

    fn account_of(&mut self, n: usize) {
        let server = &self.servers[n];
        let Some(machine) = &server.machine else { return };
        let status = machine.status();
        self.traffic.ended(n, self.now - server.started, status.sent);
        self.out.installed += status.installed;
        self.out.left_out += status.quarantined;
    }

    fn schedule(&mut self, n: usize, at: At) {
        self.servers[n].wake = at;
        self.queue.push(at, Event::Wake(n));
    }

    fn time(&self) -> Time {
        Time(self.now)
    }

    // ---- who is up

    /// Every zone learns some seconds later whether a server is up and in reach.
    fn tell_zones(&mut self, about: usize) {
        for zone in 0..self.spec.zones {
            let lag = nanos(within(&mut self.world_rng, NEWS_S));
            self.queue.push(self.now + lag, Event::News { zone, about });
        }
    }

    fn news(&mut self, zone: usize, about: usize) {
        for place in 0..self.by_zone[zone].len() {
            let n = self.by_zone[zone][place];
            self.tell(n, about);
        }
    }

    fn learn_later(&mut self, n: usize) {
        let lag = nanos(within(&mut self.world_rng, LEARN_S));
        self.queue.push(self.now + lag, Event::Learn(n, self.servers[n].life));
    }

    fn learn(&mut self, n: usize) {
        for about in 0..self.spec.servers {
            self.tell(n, about);
        }
    }

    fn tell(&mut self, n: usize, about: usize) {
        if n == about {
            return;
        }
        let up = self.servers[about].machine.is_some() && self.network.reaches(n, about);
        let Some(machine) = &mut self.servers[n].machine else { return };
        let member = &self.members[about];
        if up {
            machine.member_up(Arc::clone(member));
        } else {
            machine.member_down(&member.name);
        }
    }

    // ---- the consensus group

    /// Commits what is proposed if a majority of the voters is up on one side.
    fn commit(&mut self) {
        let can = |n: &usize| self.servers[*n].machine.is_some() && !self.network.is_cut_off(*n);
        let voters: Vec<usize> = (0..self.spec.voters).filter(can).collect();
        if voters.len() * 2 <= self.spec.voters {
            // The side that is cut off is never the one with a majority here: the others go on.
            let again = self.now + nanos(RETRY_S);
            if self.proposed.pop_front().is_some() {
                self.queue.push(again, Event::Act(Action::Propose));
            }
            return;
        }
        while let Some(at) = self.proposed.pop_front() {
            let changes = self.changes();
            if self.truth.commit(changes, at / 1_000_000) {
                self.committed_at.push(self.now);
            }
        }
        let revision = self.truth.revision();
        for voter in voters {
            let lag = nanos(within(&mut self.world_rng, [0.002, 0.08]));
            self.queue.push(self.now + lag, Event::Agreed(voter, revision));
        }
    }

    fn changes(&mut self) -> Vec<gradepin_config::Change> {
        let number = one_of(&mut self.world_rng, 2 * self.spec.tenants.max(1));
        let figure = within(&mut self.world_rng, [1.0, 100.0]);
        if chance(&mut self.world_rng, 0.2) {
            let number = one_of(&mut self.world_rng, 2 * self.spec.classes.max(1));
            return vec![class(&format!("class-{number}"), figure)];
        }
        let first = tenant(&format!("tenant-{number}"), figure);
        let second = tenant(&format!("tenant-{}", number + 1), figure);
        if chance(&mut self.world_rng, 0.3) { vec![first, second] } else { vec![first] }
    }

    /// A voter that was away gets the log of the others.
    fn catch_up(&mut self, n: usize) {
        if n < self.spec.voters {
            let lag = nanos(within(&mut self.world_rng, CATCH_UP_S));
            self.queue.push(self.now + lag, Event::Agreed(n, self.truth.revision()));
        }
    }

    fn consensus(&mut self, voter: usize, revision: Revision) {
        if self.network.is_cut_off(voter) {
            return;
        }
        let now = self.time();
        let Some(machine) = &mut self.servers[voter].machine else { return };
        let mut next = machine.state().revision().next();
        while next <= revision {
            if let Some(commit) = self.truth.get(next) {
                machine.committed(now, Arc::clone(commit));
            }
            next = next.next();
        }
        self.step(voter);
    }

    // ---- messages

    fn message(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.time();
        let Some(machine) = &mut self.servers[to].machine else { return };
        self.out.messages += 1;
        machine.receive(now, &self.members[from].name, bytes);
        self.step(to);
    }

    fn step(&mut self, n: usize) {
        let now = self.time();
        let mut effects = Vec::new();
        let Some(machine) = &mut self.servers[n].machine else { return };
        machine.step(now, &mut effects);
        let wake = machine.wake_at(now).0.max(self.now + LEAST_WAKE);
        let version = machine.state().version();
        for effect in effects {
            self.effect(n, effect);
        }
        self.check_state(n, version);
        let scheduled = self.servers[n].wake;
        if scheduled <= self.now || wake < scheduled {
            self.schedule(n, wake);
        }
    }

    fn effect(&mut self, n: usize, effect: DisseminationEffect) {
        let before = self.servers[n].in_force;
        match effect {
            DisseminationEffect::Send { to, bytes } => self.send(n, &to, bytes),
            DisseminationEffect::Apply(commit) => {
                let breach = self.truth.breach_of_commit(before, &commit);
                self.breach(n, breach);
                self.came_into_force(n, commit.revision);
            }
            DisseminationEffect::Install(snapshot) => {
                let breach = self.truth.breach_of_snapshot(before, &snapshot);
                self.breach(n, breach);
                self.came_into_force(n, snapshot.version().revision);
            }
            DisseminationEffect::Note { text, .. } => self.note(&text),
        }
    }

    /// Counts sources that are quarantined though nothing is wrong with them.
    fn note(&mut self, text: &str) {
        let is_quarantine = text.contains(" quarantined: ");
        let quarantined = is_quarantine.then(|| text.get(1..6)?.parse::<usize>().ok()).flatten();
        if quarantined.is_some_and(|n| !self.is_bad(n)) {
            self.out.left_out_wrongly += 1;
        }
    }

    fn send(&mut self, from: usize, to: &Name, bytes: Vec<u8>) {
        let Some(to) = to.get(1..).and_then(|number| number.parse::<usize>().ok()) else { return };
        let bytes = match self.is_bad(from) {
            true => tamper(&bytes, self.truth.base(), &mut self.messages_rng),
            false => bytes,
        };
        // A byte says that the message is about the configuration.
        let length = bytes.len() + 1;
        self.traffic.sent(self.now, from, self.spec.settings.wire_bytes(length));
        let bytes = Arc::new(bytes);
        for after in self.network.arrivals(from, to, length, &mut self.messages_rng).into_iter().flatten() {
            let message = Event::Message { from, to, bytes: Arc::clone(&bytes) };
            self.queue.push(self.now + after, message);
        }
    }

    /// Bad servers are the last ones.
    fn is_bad(&self, n: usize) -> bool {
        n >= self.spec.servers - self.spec.bad.min(self.spec.servers)
    }

    // ---- what is checked

    fn breach(&mut self, n: usize, breach: Option<String>) {
        let Some(breach) = breach else { return };
        self.out.broken += 1;
        if self.out.broken_first.len() < MOST_WORDS {
            let at = self.now as f64 / 1e9;
            self.out.broken_first.push(format!("{at:.3} s, {}: {breach}", self.members[n].name));
        }
    }

    fn check_state(&mut self, n: usize, version: Version) {
        let breach = self.truth.breach(version);
        self.breach(n, breach);
    }

    fn came_into_force(&mut self, n: usize, revision: Revision) {
        let before = self.servers[n].in_force;
        let server = &mut self.servers[n];
        server.in_force = revision;
        if self.now >= server.written + nanos(WRITE_S)
            && let Some(machine) = &server.machine
        {
            server.disk = machine.state().clone();
            server.written = self.now;
        }
        if self.network.is_cut_off(n) {
            return;
        }
        let first = before.0.max(self.base.0);
        for revision in first + 1..=revision.0 {
            self.count_lag(n, Revision(revision));
        }
    }

    fn lag(&self, n: usize, revision: Revision) -> Option<f64> {
        let committed = self.committed_at.get(revision.0 as usize)?;
        let since = (*committed).max(self.servers[n].reachable);
        Some(self.now.saturating_sub(since) as f64 / 1e9)
    }

    fn count_lag(&mut self, n: usize, revision: Revision) {
        if let Some(lag) = self.lag(n, revision) {
            self.out.lags.add(lag);
        }
    }

    /// How long a server has lacked a change, if it lacks one.
    fn lacks_for(&self, n: usize) -> Option<f64> {
        let server = &self.servers[n];
        if server.machine.is_none() || server.in_force >= self.truth.revision() {
            return None;
        }
        self.lag(n, server.in_force.next())
    }

    /// Before a server goes: a change that it has lacked for too long counts.
    fn count_lack(&mut self, n: usize) {
        let lack = self.lacks_for(n).filter(|_| !self.network.is_cut_off(n));
        if let Some(lack) = lack.filter(|lack| *lack > PROMISE_S) {
            self.out.lags.add(lack);
        }
    }
}
