//! Event loop of the simulation.

use super::committed_log::{CommittedLog, class, tenant};
use super::network::Network;
use super::script::{Action, Disk, actions};
use super::tamper::tamper;
use super::traffic::TrafficCounter;
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

/// Seconds until a zone learns that a server went up, down or out of reach.
const MEMBERSHIP_DELAY_S: [f64; 2] = [1.0, 4.0];
/// Seconds until a server that starts learns of all others; it knows the voters at once.
const STARTUP_LEARN_S: [f64; 2] = [0.5, 2.0];
/// Seconds until a voter that was away has the log of the others.
const CATCH_UP_S: [f64; 2] = [0.5, 1.5];
/// Seconds until a proposal without a majority is retried.
const RETRY_S: f64 = 0.5;
/// Minimum interval in seconds between writes of the state to disk.
const WRITE_S: f64 = 5.0;
/// Minimum time in nanoseconds between two steps.
const MIN_WAKE_INTERVAL: At = 1_000_000;
/// Number of violations that are described.
const MAX_DESCRIPTIONS: usize = 5;

enum Event {
    Wake(usize),
    Message {
        from: usize,
        to: usize,
        bytes: Arc<Vec<u8>>,
    },
    CarryOut(Action),
    /// The consensus group delivers the log up to a revision to a voter.
    Committed(usize, Revision),
    /// A zone learns whether a server is up and reachable.
    ZoneUpdate {
        zone: usize,
        about: usize,
    },
    /// A server that started learns which servers are up.
    Learn(usize, u32),
}

struct Server {
    dissemination: Option<Dissemination>,
    /// Latest revision in force on the server.
    in_force: Revision,
    disk: Configuration,
    written: At,
    incarnation: u32,
    started: At,
    /// Since when the server has been up and reachable.
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
    committed_log: CommittedLog,
    committed_at: Vec<At>,
    base: Revision,
    proposed: VecDeque<At>,
    traffic: TrafficCounter,
    messages_rng: Pcg64Mcg,
    world_rng: Pcg64Mcg,
    out: Outcome,
}

/// Plays a run.
pub fn play(spec: &Spec) -> Outcome {
    let mut world = World::new(spec);
    world.run();
    world.finish()
}

fn members(spec: &Spec, network: &Network) -> Vec<Arc<Member>> {
    let zones: Vec<Name> = (0..spec.zones).map(|zone| Arc::from(format!("zone-{zone}"))).collect();
    let regions: Vec<Name> = (0..spec.regions).map(|region| Arc::from(format!("region-{region}"))).collect();
    let member = |n: usize| {
        let location = network.location(n);
        Arc::new(Member {
            name: Arc::from(format!("s{n:05}")),
            zone: zones[location.zone].clone(),
            region: regions[location.region].clone(),
            voter: n < spec.voters,
        })
    };
    (0..spec.servers).map(member).collect()
}

impl<'s> World<'s> {
    fn new(spec: &'s Spec) -> Self {
        let streams = Streams::new(spec.seed);
        let network = Network::new(spec);
        let committed_log = CommittedLog::new(spec.classes, spec.tenants);
        let server = |_| Server {
            dissemination: None,
            in_force: Revision(0),
            disk: committed_log.base().clone(),
            written: 0,
            incarnation: 0,
            started: 0,
            reachable: 0,
            wake: 0,
        };
        let mut by_zone = vec![Vec::new(); spec.zones];
        (0..spec.servers).for_each(|n| by_zone[network.location(n).zone].push(n));
        Self {
            spec,
            now: 0,
            queue: Calendar::default(),
            servers: (0..spec.servers).map(server).collect(),
            members: members(spec, &network),
            by_zone,
            network,
            committed_at: vec![0; committed_log.revision().0 as usize + 1],
            base: committed_log.revision(),
            committed_log,
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
            self.queue.push(at, Event::CarryOut(action));
        }
        let end = nanos(self.spec.seconds);
        while let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= end) {
            self.now = at;
            self.event(event);
        }
        self.now = end;
    }

    fn finish(mut self) -> Outcome {
        for n in 0..self.servers.len() {
            if self.servers[n].dissemination.is_some() {
                let behind = self.missing_change_lag(n).is_some();
                self.out.behind_at_end += usize::from(behind && !self.network.is_cut_off(n));
                self.count_missing_change(n);
                self.add_process_totals(n);
            }
        }
        self.out.changes = (self.committed_log.revision().0 - self.base.0) as usize;
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
            Event::CarryOut(action) => self.carry_out(action),
            Event::Committed(voter, revision) => self.deliver_committed(voter, revision),
            Event::ZoneUpdate { zone, about } => self.update_zone(zone, about),
            Event::Learn(n, incarnation) => {
                if self.servers[n].incarnation == incarnation {
                    self.learn(n);
                }
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Propose => {
                self.proposed.push_back(self.now);
                self.commit();
            }
            Action::Kill(n) => self.kill(n),
            Action::Start(n, disk) => {
                if self.servers[n].dissemination.is_none() {
                    self.start(n, disk);
                    self.notify_zones(n);
                }
            }
            Action::Cut(servers) => {
                servers.iter().for_each(|&n| self.count_missing_change(n));
                self.network.set_side(&servers, 1);
                servers.iter().for_each(|&n| self.notify_zones(n));
            }
            Action::Heal(servers) => {
                self.network.set_side(&servers, 0);
                for &n in &servers {
                    self.servers[n].reachable = self.now;
                    self.notify_zones(n);
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
        let dissemination =
            Dissemination::new(self.spec.settings.clone(), own, server.disk.clone(), draw, now);
        server.in_force = server.disk.revision();
        server.dissemination = Some(dissemination);
        server.incarnation += 1;
        (server.started, server.reachable) = (self.now, self.now);
        for voter in 0..self.spec.voters {
            self.update_member(n, voter);
        }
        self.learn_later(n);
        self.catch_up(n);
        // Processes that start at the same time must not wake at the same time.
        let first = self.now + nanos(within(&mut self.world_rng, [0.0, 1.0]));
        self.schedule(n, first);
    }

    fn kill(&mut self, n: usize) {
        if self.servers[n].dissemination.is_none() {
            return;
        }
        self.count_missing_change(n);
        self.add_process_totals(n);
        self.servers[n].dissemination = None;
        self.notify_zones(n);
    }

    fn add_process_totals(&mut self, n: usize) {
        let server = &self.servers[n];
        let Some(dissemination) = &server.dissemination else { return };
        let status = dissemination.status();
        self.traffic.ended(n, self.now - server.started, status.sent);
        self.out.installed += status.installed_snapshots;
        self.out.left_out += status.quarantine_count;
    }

    fn schedule(&mut self, n: usize, at: At) {
        self.servers[n].wake = at;
        self.queue.push(at, Event::Wake(n));
    }

    fn time(&self) -> Time {
        Time(self.now)
    }

    // ---- membership

    /// Notifies every zone, some seconds later, whether a server is up and reachable.
    fn notify_zones(&mut self, about: usize) {
        for zone in 0..self.spec.zones {
            let lag = nanos(within(&mut self.world_rng, MEMBERSHIP_DELAY_S));
            self.queue.push(self.now + lag, Event::ZoneUpdate { zone, about });
        }
    }

    fn update_zone(&mut self, zone: usize, about: usize) {
        for index in 0..self.by_zone[zone].len() {
            let n = self.by_zone[zone][index];
            self.update_member(n, about);
        }
    }

    fn learn_later(&mut self, n: usize) {
        let lag = nanos(within(&mut self.world_rng, STARTUP_LEARN_S));
        self.queue.push(self.now + lag, Event::Learn(n, self.servers[n].incarnation));
    }

    fn learn(&mut self, n: usize) {
        for about in 0..self.spec.servers {
            self.update_member(n, about);
        }
    }

    fn update_member(&mut self, n: usize, about: usize) {
        if n == about {
            return;
        }
        let up = self.servers[about].dissemination.is_some() && self.network.reaches(n, about);
        let Some(dissemination) = &mut self.servers[n].dissemination else { return };
        let member = &self.members[about];
        if up {
            dissemination.member_up(Arc::clone(member));
        } else {
            dissemination.member_down(&member.name);
        }
    }

    // ---- consensus group

    /// Commits the proposals if a majority of the voters is up on one side.
    fn commit(&mut self) {
        let can = |n: &usize| self.servers[*n].dissemination.is_some() && !self.network.is_cut_off(*n);
        let voters: Vec<usize> = (0..self.spec.voters).filter(can).collect();
        if voters.len() * 2 <= self.spec.voters {
            // In this model the partitioned side never has a majority, so the other side continues.
            let again = self.now + nanos(RETRY_S);
            if self.proposed.pop_front().is_some() {
                self.queue.push(again, Event::CarryOut(Action::Propose));
            }
            return;
        }
        while let Some(at) = self.proposed.pop_front() {
            let changes = self.changes();
            if self.committed_log.commit(changes, at / 1_000_000) {
                self.committed_at.push(self.now);
            }
        }
        let revision = self.committed_log.revision();
        for voter in voters {
            let lag = nanos(within(&mut self.world_rng, [0.002, 0.08]));
            self.queue.push(self.now + lag, Event::Committed(voter, revision));
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

    /// Delivers the log of the others to a voter that was away.
    fn catch_up(&mut self, n: usize) {
        if n < self.spec.voters {
            let lag = nanos(within(&mut self.world_rng, CATCH_UP_S));
            self.queue.push(self.now + lag, Event::Committed(n, self.committed_log.revision()));
        }
    }

    fn deliver_committed(&mut self, voter: usize, revision: Revision) {
        if self.network.is_cut_off(voter) {
            return;
        }
        let now = self.time();
        let Some(dissemination) = &mut self.servers[voter].dissemination else { return };
        let mut next = dissemination.state().revision().next();
        while next <= revision {
            if let Some(commit) = self.committed_log.get(next) {
                dissemination.committed(now, Arc::clone(commit));
            }
            next = next.next();
        }
        self.step(voter);
    }

    // ---- messages

    fn message(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.time();
        let Some(dissemination) = &mut self.servers[to].dissemination else { return };
        self.out.messages += 1;
        dissemination.receive(now, &self.members[from].name, bytes);
        self.step(to);
    }

    fn step(&mut self, n: usize) {
        let now = self.time();
        let mut effects = Vec::new();
        let Some(dissemination) = &mut self.servers[n].dissemination else { return };
        dissemination.step(now, &mut effects);
        let wake = dissemination.wake_at(now).0.max(self.now + MIN_WAKE_INTERVAL);
        let version = dissemination.state().version();
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
                let violation = self.committed_log.commit_violation(before, &commit);
                self.violation(n, violation);
                self.came_into_force(n, commit.revision);
            }
            DisseminationEffect::Install(snapshot) => {
                let violation = self.committed_log.snapshot_violation(before, &snapshot);
                self.violation(n, violation);
                self.came_into_force(n, snapshot.version().revision);
            }
            DisseminationEffect::Log { text, .. } => self.count_wrong_quarantine(&text),
        }
    }

    /// Counts good sources that are quarantined.
    fn count_wrong_quarantine(&mut self, text: &str) {
        let is_quarantine = text.contains(" quarantined: ");
        let quarantined = is_quarantine.then(|| text.get(1..6)?.parse::<usize>().ok()).flatten();
        if quarantined.is_some_and(|n| !self.is_bad(n)) {
            self.out.left_out_wrongly += 1;
        }
    }

    fn send(&mut self, from: usize, to: &Name, bytes: Vec<u8>) {
        let Some(to) = to.get(1..).and_then(|number| number.parse::<usize>().ok()) else { return };
        let bytes = match self.is_bad(from) {
            true => tamper(&bytes, self.committed_log.base(), &mut self.messages_rng),
            false => bytes,
        };
        // One more byte marks the message as configuration.
        let length = bytes.len() + 1;
        self.traffic.sent(self.now, from, self.spec.settings.wire_bytes(length));
        let bytes = Arc::new(bytes);
        for after in self.network.arrivals(from, to, length, &mut self.messages_rng).into_iter().flatten() {
            let message = Event::Message { from, to, bytes: Arc::clone(&bytes) };
            self.queue.push(self.now + after, message);
        }
    }

    /// The last servers are the bad ones.
    fn is_bad(&self, n: usize) -> bool {
        n >= self.spec.servers - self.spec.bad.min(self.spec.servers)
    }

    // ---- checks

    fn violation(&mut self, n: usize, violation: Option<String>) {
        let Some(violation) = violation else { return };
        self.out.broken += 1;
        if self.out.broken_first.len() < MAX_DESCRIPTIONS {
            let at = self.now as f64 / 1e9;
            self.out.broken_first.push(format!("{at:.3} s, {}: {violation}", self.members[n].name));
        }
    }

    fn check_state(&mut self, n: usize, version: Version) {
        let violation = self.committed_log.violation(version);
        self.violation(n, violation);
    }

    fn came_into_force(&mut self, n: usize, revision: Revision) {
        let before = self.servers[n].in_force;
        let server = &mut self.servers[n];
        server.in_force = revision;
        if self.now >= server.written + nanos(WRITE_S)
            && let Some(dissemination) = &server.dissemination
        {
            server.disk = dissemination.state().clone();
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

    /// Time for which a server has lacked a change, if it lacks one.
    fn missing_change_lag(&self, n: usize) -> Option<f64> {
        let server = &self.servers[n];
        if server.dissemination.is_none() || server.in_force >= self.committed_log.revision() {
            return None;
        }
        self.lag(n, server.in_force.next())
    }

    /// Counts a change that a server has lacked for too long, before the server stops.
    fn count_missing_change(&mut self, n: usize) {
        let lack = self.missing_change_lag(n).filter(|_| !self.network.is_cut_off(n));
        if let Some(lack) = lack.filter(|lack| *lack > PROMISE_S) {
            self.out.lags.add(lack);
        }
    }
}
