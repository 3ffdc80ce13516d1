//! What the fleet agrees on, in virtual time: servers with their parts of it, processes that drain, end and come back, a
//! supervisor that starts them with the version that the fleet wants, and a net between them. Load is not modelled: a ready
//! server counts what came and what it served, at a rate and a share that its version has.
//!
//! [`Fleet::check_permit_limits`] holds the promise against what those saw who see the truth.

mod scenario;

pub use scenario::{Outcome, Scenario, play};

use gradepin_admission::{Span, Time, time_after};
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use gradepin_coordination::controller::ControllerSettings;
use gradepin_coordination::messages::{FailedStep, OperatorCommand, ServerReport};
use gradepin_coordination::replicated_state::{Limits, Name};
use gradepin_coordination::rollback::{Cell, ServiceTotal};
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutCommand, RolloutPlan, RolloutState};
use gradepin_coordination::server_agent::{AgentEffect, AgentSettings, CommandStatus, ServerAgent};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const MS: u64 = 1_000_000;
const TURN: Span = Span(10 * MS);
/// What a drain takes, and a start.
const DRAINS: Span = Span(800 * MS);
const STARTS: Span = Span(1_200 * MS);
/// Between a server's counts, and what comes in each.
const COUNTS: Span = Span(250 * MS);
const COME: u32 = 12;
/// The cells: views and saves.
pub const VIEW: Cell = 1;
/// See `VIEW`.
pub const SAVE: Cell = 2;
/// What a sound version serves of them.
pub const HEALTHY_SERVICE: f64 = 0.97;

/// What happens to a process next.
#[derive(Debug, Clone, PartialEq)]
enum Next {
    Ends { version: Option<String> },
    NodeFactories { version: String },
}

/// A server, and what its machine has.
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its process's part, while there is one.
    pub part: Option<ServerAgent>,
    life: u64,
    /// Whether it serves.
    pub ready: bool,
    /// What it runs.
    pub program: String,
    /// See `program`.
    pub settings: String,
    staged: Vec<String>,
    failed: Option<(u64, String)>,
    totals: BTreeMap<Cell, ServiceTotal>,
    next: Option<(Time, Next)>,
    durable: Vec<DurableRecord>,
    pending: VecDeque<(Time, u64, Vec<DurableRecord>)>,
    /// Whether its process is stopped.
    pub stopped: bool,
    told: Option<(Time, bool)>,
    /// Since when it isn't ready, as those know who see the truth, and whether by what was agreed.
    pub out: Option<(Time, bool)>,
    /// No power: it doesn't come back by itself.
    pub dark: bool,
    inbox: Vec<(Name, u64, Vec<u8>)>,
}

/// The moment at which somebody began to be out.
#[derive(Debug, Clone)]
pub struct Began {
    /// When.
    pub at: Time,
    /// Which server.
    pub who: usize,
    /// Who was out by agreement, that one among them, and who was known to be out otherwise.
    pub consensus: Vec<usize>,
    /// See `consensus`.
    pub unplanned: Vec<usize>,
}

/// The servers and what lies between them.
pub struct Fleet {
    /// The time.
    pub now: Time,
    /// The servers.
    pub servers: Vec<Server>,
    rng: Pcg64Mcg,
    net: Vec<(Time, usize, usize, u64, Vec<u8>)>,
    /// Who hears nothing of whom: sender and receiver.
    pub cut: BTreeSet<(usize, usize)>,
    /// The part of words that is lost.
    pub loss: f64,
    voters: usize,
    controller: ControllerSettings,
    next_life: u64,
    next_count: Time,
    /// Each beginning of an agreed outage.
    pub began: Vec<Began>,
    /// What the servers' logs say.
    pub notes: Vec<String>,
    /// What `v-slight` serves.
    pub slight: f64,
    /// What a sound version serves.
    pub sound: f64,
    ticket: u64,
    /// Whether the supervisor asks which version is wanted when it starts a process.
    pub supervised: bool,
}

/// Limits of a fleet and of a zone, and of one service.
pub fn limits(fleet: u32, zone: u32) -> Limits {
    Limits { fleet, zone, zones: 0, services: [(Arc::from("ledger"), 1)].into() }
}

/// A plan of one server first, then two shares.
pub fn plan(version: &str, kind: ReleaseKind) -> RolloutPlan {
    let waves = [(0.0, 2_000), (0.4, 2_000), (1.0, 0)].map(|(share, pause_ms)| Batch { share, pause_ms });
    RolloutPlan {
        name: format!("to {version}"),
        kind,
        version: version.into(),
        batches: waves.into(),
        zone_by_zone: false,
        ready_timeout_ms: 8_000,
        stabilization_ms: 1_000,
        tolerated_regression: 0.02,
        rolls_back: true,
    }
}

impl Fleet {
    /// So many servers in three zones, the first `voters` of which found a council.
    pub fn new(count: usize, voters: usize, limits: Limits, seed: u64) -> Self {
        let now = Time(1_000 * MS);
        let controller =
            ControllerSettings { limits, stabilization: Span(1_000 * MS), ..ControllerSettings::default() };
        let mut fleet = Self {
            now,
            servers: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            net: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            voters,
            controller,
            next_life: 10,
            next_count: now,
            began: Vec::new(),
            notes: Vec::new(),
            slight: HEALTHY_SERVICE - 0.05,
            sound: HEALTHY_SERVICE,
            ticket: 0,
            supervised: true,
        };
        for n in 0..count {
            fleet.servers.push(Server {
                name: Arc::from(format!("n{n}")),
                part: None,
                life: 0,
                ready: false,
                program: "v1".into(),
                settings: "s1".into(),
                staged: vec!["s1".into(), "s2".into(), "s-bad".into(), "s-broken".into()],
                failed: None,
                totals: BTreeMap::new(),
                next: None,
                durable: Vec::new(),
                pending: VecDeque::new(),
                stopped: false,
                told: None,
                out: Some((now, false)),
                dark: false,
                inbox: Vec::new(),
            });
            fleet.start(n);
        }
        fleet.run(1_500);
        let text = fleet.servers[0].part.as_mut().unwrap().found(fleet.now);
        text.expect("all voters are heard");
        fleet.run(6_000);
        fleet
    }

    /// A process starts with what its machine has.
    pub fn start(&mut self, n: usize) {
        self.next_life += 1 << 20;
        let (now, life) = (self.now, self.next_life);
        let voters = (0..self.voters).map(|n| Arc::from(format!("n{n}"))).collect();
        let server = &mut self.servers[n];
        server.pending.clear();
        let folder =
            (n < self.voters).then(|| VoterState { id: 1_000 + n as u64, records: server.durable.clone() });
        let set = AgentSettings {
            name: Arc::clone(&server.name),
            incarnation: life,
            zone: format!("z{}", n % 3),
            voters,
            voter_state: folder,
            controller: self.controller.clone(),
            waits_for_permit: true,
            seed: life ^ n as u64,
        };
        server.part = Some(ServerAgent::new(set, now));
        (server.life, server.next, server.failed, server.told) = (life, None, None, None);
        server.totals.clear();
        // One that crashes at its start is never ready, and ends again.
        if server.program == "v-crash" {
            server.next = Some((time_after(now, Span(400 * MS)), Next::Ends { version: None }));
        } else {
            (server.ready, server.out) = (true, None);
        }
    }

    /// Its process ends, at once.
    pub fn kill(&mut self, n: usize) {
        let now = self.now;
        let server = &mut self.servers[n];
        (server.part, server.ready, server.stopped, server.next) = (None, false, false, None);
        server.inbox.clear();
        server.out.get_or_insert((now, false));
    }

    /// It is started again, as a supervisor would.
    pub fn revive(&mut self, n: usize) {
        if self.servers[n].part.is_none() && !self.servers[n].dark {
            let version = self.wanted(n);
            self.servers[n].program = version;
            self.start(n);
        }
    }

    /// The version that the fleet wants a server to have, as a supervisor asks any that answers.
    fn wanted(&self, n: usize) -> String {
        let name = &self.servers[n].name;
        let all = self.servers.iter().filter(|server| !server.stopped && server.ready);
        let records = all.filter_map(|server| server.part.as_ref()?.state());
        let newest = records.max_by_key(|record| record.index);
        let wanted = newest.and_then(|record| record.program_for(name));
        wanted.filter(|_| self.supervised).unwrap_or_else(|| self.servers[n].program.clone())
    }

    /// Draws a number under this one.
    pub fn draw(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Cuts some off from all others.
    pub fn isolate(&mut self, some: &[usize]) {
        for a in 0..self.servers.len() {
            for b in 0..self.servers.len() {
                if some.contains(&a) != some.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = time_after(self.now, Span(ms * MS));
        while self.now < until {
            self.now = time_after(self.now, TURN);
            let due: Vec<_> = self.net.extract_if(.., |(at, ..)| *at <= self.now).collect();
            for (_, from, to, life, bytes) in due {
                let name = Arc::clone(&self.servers[from].name);
                if self.servers[to].part.is_some() && self.servers[to].inbox.len() < 200 {
                    self.servers[to].inbox.push((name, life, bytes));
                }
            }
            if self.now >= self.next_count {
                self.next_count = time_after(self.now, COUNTS);
                self.count();
            }
            for n in 0..self.servers.len() {
                self.next_of(n);
                self.turn(n);
            }
        }
    }

    fn count(&mut self) {
        for n in 0..self.servers.len() {
            if !self.servers[n].ready || self.servers[n].stopped {
                continue;
            }
            for cell in [VIEW, SAVE] {
                let server = &self.servers[n];
                let has = |version: &str| server.program == version || server.settings == version;
                let share = match cell {
                    SAVE if has("v-bad") || has("s-bad") => 0.0,
                    _ if has("v-slight") => self.slight,
                    _ => self.sound,
                };
                let served = (0..COME).filter(|_| self.unit() < share).count() as u32;
                let total = self.servers[n].totals.entry(cell).or_default();
                (total.received, total.served) = (total.received + COME, total.served + served);
            }
        }
    }

    fn next_of(&mut self, n: usize) {
        let now = self.now;
        let Some((_, next)) = self.servers[n].next.take_if(|(at, _)| *at <= now) else { return };
        if self.servers[n].dark {
            return;
        }
        match next {
            Next::Ends { version } => {
                let out = self.servers[n].out;
                self.kill(n);
                let version = version.unwrap_or_else(|| self.wanted(n));
                self.servers[n].out = out.or(Some((now, false)));
                self.servers[n].next = Some((time_after(now, STARTS), Next::NodeFactories { version }));
            }
            Next::NodeFactories { version } => {
                // What was wanted may have changed while it was down.
                let wanted = self.wanted(n);
                self.servers[n].program = if self.supervised { wanted } else { version };
                self.start(n);
            }
        }
    }

    fn turn(&mut self, n: usize) {
        let now = self.now;
        let server = &mut self.servers[n];
        let Some(part) = server.part.as_mut().filter(|_| !server.stopped) else { return };
        while let Some((_, number, records)) = server.pending.pop_front_if(|(at, ..)| *at <= now) {
            if matches!(records.first(), Some(DurableRecord::Snapshot { .. })) {
                server.durable = records;
            } else {
                server.durable.extend(records);
            }
            part.write_completed(number);
        }
        for (from, life, bytes) in std::mem::take(&mut server.inbox) {
            part.receive(now, &from, life, &bytes);
        }
        let due =
            server.told.is_none_or(|(at, ready)| now >= time_after(at, COUNTS) || ready != server.ready);
        if due {
            server.told = Some((now, server.ready));
            let report = ServerReport {
                zone: format!("z{}", n % 3),
                ready: server.ready,
                program: server.program.clone(),
                settings: server.settings.clone(),
                staged: server.staged.clone(),
                failed: server.failed.clone().map(|(rollout, reason)| FailedStep { rollout, reason }),
                totals: server.totals.iter().map(|(cell, total)| (*cell, *total)).collect(),
                ..ServerReport::default()
            };
            part.set_report(now, report);
        }
        let mut effects = Vec::new();
        part.step(now, &mut effects);
        let life = server.life;
        for effect in effects {
            match effect {
                AgentEffect::Send { to, message } => self.send(n, &to, life, message),
                AgentEffect::Write { number, records } => {
                    self.servers[n].pending.push_back((time_after(now, Span(4 * MS)), number, records));
                }
                AgentEffect::PermitGranted { expires_at, .. } if now < expires_at => self.leaves(n, None),
                AgentEffect::PermitGranted { .. } => {
                    self.servers[n].part.as_mut().unwrap().request_permit(now)
                }
                AgentEffect::StepGranted { assignment: turn, expires_at } if now < expires_at => {
                    match turn.kind {
                        ReleaseKind::Program => self.leaves(n, Some(turn.version)),
                        ReleaseKind::Settings if turn.version == "s-broken" => {
                            self.servers[n].failed = Some((turn.rollout, "it can't be read".into()));
                            self.servers[n].told = None;
                        }
                        ReleaseKind::Settings => {
                            self.servers[n].settings = turn.version;
                            self.servers[n].told = None;
                        }
                    }
                }
                AgentEffect::StepGranted { .. } => self.servers[n].part.as_mut().unwrap().step_expired(),
                AgentEffect::PermitDenied { reason } => self.notes.push(format!("n{n}: refused: {reason}")),
                AgentEffect::Configuration(_) => {}
                AgentEffect::Log { text, .. } => self.notes.push(format!("n{n}: {text}")),
            }
        }
    }

    /// It begins to be out, by what was agreed.
    fn leaves(&mut self, n: usize, version: Option<String>) {
        let now = self.now;
        let version = version.or_else(|| Some(self.servers[n].program.clone()));
        self.servers[n].ready = false;
        self.servers[n].out = Some((now, true));
        self.servers[n].next = Some((time_after(now, DRAINS), Next::Ends { version }));
        let roster = self.record().roster.clone();
        let of = |consensus: bool| {
            let of = |(n, server): (usize, &Server)| {
                let (since, by) = server.out?;
                // What happened a moment ago is not known to have happened, and who was struck is no server of the fleet.
                let counts = roster.contains_key(&server.name) && by == consensus;
                (counts && (by || now >= time_after(since, Span(4_000 * MS)))).then_some(n)
            };
            self.servers.iter().enumerate().filter_map(of).collect()
        };
        let began = Began { at: now, who: n, consensus: of(true), unplanned: of(false) };
        self.began.push(began);
    }

    fn send(&mut self, from: usize, to: &Name, life: u64, bytes: Vec<u8>) {
        let Some(to) = self.servers.iter().position(|server| server.name == *to) else { return };
        let late = 1 + self.draw(10);
        if self.unit() >= self.loss && !self.cut.contains(&(from, to)) {
            self.net.push((time_after(self.now, Span(late * MS)), from, to, life, bytes));
        }
    }

    /// Gives an order at a server and waits for what becomes of it.
    pub fn order(&mut self, n: usize, order: OperatorCommand) -> Result<String, String> {
        self.ticket += 1;
        let (now, ticket) = (self.now, self.ticket);
        self.servers[n]
            .part
            .as_mut()
            .expect("it runs")
            .submit(now, ticket, order)
            .map_err(|why| why.to_string())?;
        for _ in 0..1_000 {
            self.run(10);
            if let CommandStatus::Finished(answer) =
                self.servers[n].part.as_ref().expect("it runs").command_status(ticket)
            {
                return answer.map_err(|why| why.to_string());
            }
        }
        panic!("no answer");
    }

    /// A server is told to leave once it may.
    pub fn leave(&mut self, n: usize) {
        let now = self.now;
        self.servers[n].part.as_mut().expect("it runs").request_permit(now);
    }

    /// Starts a release, ordered at n4.
    pub fn release(&mut self, plan: RolloutPlan) -> Result<String, String> {
        self.order(4, OperatorCommand::StartRollout { plan: Box::new(plan), operator: Arc::from("kaisa") })
    }

    /// An order to halt.
    pub fn halt(&self, name: &str) -> OperatorCommand {
        let (by, why) = (Arc::from("kaisa"), "by hand".into());
        OperatorCommand::Rollout(RolloutCommand::Halt { name: name.into(), operator: by, reason: why })
    }

    /// An order to go back.
    pub fn back(&self, name: &str) -> OperatorCommand {
        let (by, why) = (Arc::from("kaisa"), "by hand".into());
        OperatorCommand::Rollout(RolloutCommand::RollBack { name: name.into(), operator: by, reason: why })
    }

    /// The newest record that anybody who runs has.
    pub fn record(&self) -> &gradepin_coordination::replicated_state::ReplicatedState {
        let records = self.servers.iter().filter_map(|server| server.part.as_ref()?.state());
        records.max_by_key(|record| record.index).expect("somebody has one")
    }

    /// Where the release stands.
    pub fn state(&self) -> RolloutState {
        self.record().rollout.as_ref().expect("a release").state.clone()
    }

    /// Runs until the release is over, halted, or the time is up.
    pub fn until(&mut self, within_ms: u64, holds: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..within_ms / 50 {
            if holds(self) {
                return true;
            }
            self.run(50);
        }
        holds(self)
    }

    /// Who leads, as the last that knows says.
    pub fn leader(&self) -> Option<usize> {
        let name =
            self.servers.iter().filter_map(|s| s.part.as_ref()?.status(self.now).leader).next_back()?;
        self.servers.iter().position(|server| server.name == name)
    }

    /// The promise, by those who see the truth: at each moment at which somebody began to be out, those out by agreement and
    /// those known to be out otherwise were no more than the limits allow.
    pub fn check_permit_limits(&self, limits: &Limits) -> Result<(), String> {
        for Began { at, who, consensus, unplanned } in &self.began {
            let all: BTreeSet<usize> = consensus.iter().chain(unplanned).copied().collect();
            let zone = all.iter().filter(|n| *n % 3 == who % 3).count();
            if all.len() > limits.fleet as usize || zone > limits.zone as usize {
                let at_s = at.0 as f64 / 1e9;
                return Err(format!(
                    "at {at_s:.2} s n{who} began beside {consensus:?}, and {unplanned:?} unplanned"
                ));
            }
        }
        Ok(())
    }
}
