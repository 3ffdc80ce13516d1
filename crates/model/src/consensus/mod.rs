//! Simulates drains and rollouts in virtual time: servers with their consensus agents, processes that drain, end and
//! restart, a supervisor that starts them with the version that the fleet wants, and a network. Load is not simulated: a
//! ready server counts received and served requests at a fixed rate and with the success fraction of its version.
//!
//!
//! [`Fleet::check_permit_limits`] compares the outages with the limits, using the actual state of every server.

mod scenario;

pub use scenario::{Outcome, Scenario, play};

use gradepin_admission::{Span, Time, time_after};
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use gradepin_coordination::controller::ControllerSettings;
use gradepin_coordination::messages::{FailedStep, OperatorCommand, ServerReport};
use gradepin_coordination::regression::{Cell, ServiceTotal};
use gradepin_coordination::replicated_state::{Limits, Name};
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutCommand, RolloutPlan, RolloutState};
use gradepin_coordination::server_agent::{AgentEffect, AgentSettings, CommandStatus, ServerAgent};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const MS: u64 = 1_000_000;
const STEP: Span = Span(10 * MS);
/// Duration of a drain, and of a start.
const DRAIN_TIME: Span = Span(800 * MS);
const START_TIME: Span = Span(1_200 * MS);
/// Interval at which a server counts requests, and requests per interval and cell.
const COUNT_INTERVAL: Span = Span(250 * MS);
const REQUESTS_PER_COUNT: u32 = 12;
/// Cell of the view requests.
pub const VIEW: Cell = 1;
/// Cell of the save requests.
pub const SAVE: Cell = 2;
/// Fraction of requests that a healthy version serves.
pub const HEALTHY_SERVICE: f64 = 0.97;

/// Next event of a process.
#[derive(Debug, Clone, PartialEq)]
enum Next {
    Ends { version: Option<String> },
    Starts { version: String },
}

/// A server and its machine.
pub struct Server {
    /// Name of the server.
    pub name: Name,
    /// Consensus agent of the process, while it runs.
    pub agent: Option<ServerAgent>,
    incarnation: u64,
    /// Whether it serves requests.
    pub ready: bool,
    /// Program version that it runs.
    pub program: String,
    /// Version of its settings.
    pub settings: String,
    staged: Vec<String>,
    failed: Option<(u64, String)>,
    totals: BTreeMap<Cell, ServiceTotal>,
    next: Option<(Time, Next)>,
    durable: Vec<DurableRecord>,
    pending: VecDeque<(Time, u64, Vec<DurableRecord>)>,
    /// Whether the process is stopped.
    pub stopped: bool,
    last_report: Option<(Time, bool)>,
    /// Since when the server is actually out, and whether the outage was permitted.
    pub out: Option<(Time, bool)>,
    /// No power: it doesn't restart by itself.
    pub unpowered: bool,
    inbox: Vec<(Name, u64, Vec<u8>)>,
}

/// Start of a permitted outage.
#[derive(Debug, Clone)]
pub struct PermittedOutage {
    /// Time of the start.
    pub at: Time,
    /// Server that went out.
    pub server_index: usize,
    /// Servers out by permit at that time, including this one.
    pub planned: Vec<usize>,
    /// Servers known to be out for another reason.
    pub unplanned: Vec<usize>,
}

/// All servers and the network between them.
pub struct Fleet {
    /// Simulated time.
    pub now: Time,
    /// Servers by number.
    pub servers: Vec<Server>,
    rng: Pcg64Mcg,
    net: Vec<(Time, usize, usize, u64, Vec<u8>)>,
    /// Partitioned pairs of sender and receiver.
    pub partitioned: BTreeSet<(usize, usize)>,
    /// Fraction of messages lost.
    pub loss: f64,
    voters: usize,
    controller: ControllerSettings,
    next_incarnation: u64,
    next_count: Time,
    /// All starts of permitted outages.
    pub permitted_outages: Vec<PermittedOutage>,
    /// Log lines of all servers.
    pub log_lines: Vec<String>,
    /// Fraction of requests that version `v-slight_service` serves.
    pub slight_service: f64,
    /// Fraction of requests that a healthy version serves.
    pub healthy_service: f64,
    ticket: u64,
    /// Whether the supervisor asks for the wanted version when it starts a process.
    pub supervised: bool,
}

/// Limits of outages in the fleet, in a zone, and of one service.
pub fn limits(fleet: u32, zone: u32) -> Limits {
    Limits { fleet, zone, zones: 0, services: [(Arc::from("ledger"), 1)].into() }
}

/// A rollout plan with one server first, then two larger batches.
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
    /// Creates servers in three zones, the first `voters` of which found the consensus group.
    pub fn new(count: usize, voters: usize, limits: Limits, seed: u64) -> Self {
        let now = Time(1_000 * MS);
        let controller =
            ControllerSettings { limits, stabilization: Span(1_000 * MS), ..ControllerSettings::default() };
        let mut fleet = Self {
            now,
            servers: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            net: Vec::new(),
            partitioned: BTreeSet::new(),
            loss: 0.0,
            voters,
            controller,
            next_incarnation: 10,
            next_count: now,
            permitted_outages: Vec::new(),
            log_lines: Vec::new(),
            slight_service: HEALTHY_SERVICE - 0.05,
            healthy_service: HEALTHY_SERVICE,
            ticket: 0,
            supervised: true,
        };
        for n in 0..count {
            fleet.servers.push(Server {
                name: Arc::from(format!("n{n}")),
                agent: None,
                incarnation: 0,
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
                last_report: None,
                out: Some((now, false)),
                unpowered: false,
                inbox: Vec::new(),
            });
            fleet.start(n);
        }
        fleet.run(1_500);
        let text = fleet.servers[0].agent.as_mut().unwrap().found(fleet.now);
        text.expect("all voters are reachable");
        fleet.run(6_000);
        fleet
    }

    /// Starts a process with the durable state of its machine.
    pub fn start(&mut self, n: usize) {
        self.next_incarnation += 1 << 20;
        let (now, number) = (self.now, self.next_incarnation);
        let voters = (0..self.voters).map(|n| Arc::from(format!("n{n}"))).collect();
        let server = &mut self.servers[n];
        server.pending.clear();
        let folder =
            (n < self.voters).then(|| VoterState { id: 1_000 + n as u64, records: server.durable.clone() });
        let set = AgentSettings {
            name: Arc::clone(&server.name),
            incarnation: number,
            zone: format!("z{}", n % 3),
            voters,
            voter_state: folder,
            controller: self.controller.clone(),
            waits_for_permit: true,
            seed: number ^ n as u64,
        };
        server.agent = Some(ServerAgent::new(set, now));
        (server.incarnation, server.next, server.failed, server.last_report) = (number, None, None, None);
        server.totals.clear();
        // This version crashes at its start: it is never ready and ends again.
        if server.program == "v-crash" {
            server.next = Some((time_after(now, Span(400 * MS)), Next::Ends { version: None }));
        } else {
            (server.ready, server.out) = (true, None);
        }
    }

    /// Kills the process.
    pub fn kill(&mut self, n: usize) {
        let now = self.now;
        let server = &mut self.servers[n];
        (server.agent, server.ready, server.stopped, server.next) = (None, false, false, None);
        server.inbox.clear();
        server.out.get_or_insert((now, false));
    }

    /// Restarts the process, as a supervisor would.
    pub fn restart(&mut self, n: usize) {
        if self.servers[n].agent.is_none() && !self.servers[n].unpowered {
            let version = self.wanted_version(n);
            self.servers[n].program = version;
            self.start(n);
        }
    }

    /// Version that the fleet wants on a server; the supervisor asks any server that answers.
    fn wanted_version(&self, n: usize) -> String {
        let name = &self.servers[n].name;
        let all = self.servers.iter().filter(|server| !server.stopped && server.ready);
        let records = all.filter_map(|server| server.agent.as_ref()?.state());
        let newest = records.max_by_key(|record| record.index);
        let wanted_version = newest.and_then(|record| record.program_for(name));
        wanted_version.filter(|_| self.supervised).unwrap_or_else(|| self.servers[n].program.clone())
    }

    /// Draws a number below `most`.
    pub fn draw(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Partitions some servers from all others.
    pub fn isolate(&mut self, some: &[usize]) {
        for a in 0..self.servers.len() {
            for b in 0..self.servers.len() {
                if some.contains(&a) != some.contains(&b) {
                    self.partitioned.insert((a, b));
                }
            }
        }
    }

    /// Advances the time.
    pub fn run(&mut self, ms: u64) {
        let until = time_after(self.now, Span(ms * MS));
        while self.now < until {
            self.now = time_after(self.now, STEP);
            let due: Vec<_> = self.net.extract_if(.., |(at, ..)| *at <= self.now).collect();
            for (_, from, to, incarnation, bytes) in due {
                let name = Arc::clone(&self.servers[from].name);
                if self.servers[to].agent.is_some() && self.servers[to].inbox.len() < 200 {
                    self.servers[to].inbox.push((name, incarnation, bytes));
                }
            }
            if self.now >= self.next_count {
                self.next_count = time_after(self.now, COUNT_INTERVAL);
                self.count();
            }
            for n in 0..self.servers.len() {
                self.process_event(n);
                self.step_server(n);
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
                    _ if has("v-slight") => self.slight_service,
                    _ => self.healthy_service,
                };
                let served = (0..REQUESTS_PER_COUNT).filter(|_| self.unit() < share).count() as u32;
                let total = self.servers[n].totals.entry(cell).or_default();
                (total.received, total.served) = (total.received + REQUESTS_PER_COUNT, total.served + served);
            }
        }
    }

    fn process_event(&mut self, n: usize) {
        let now = self.now;
        let Some((_, next)) = self.servers[n].next.take_if(|(at, _)| *at <= now) else { return };
        if self.servers[n].unpowered {
            return;
        }
        match next {
            Next::Ends { version } => {
                let out = self.servers[n].out;
                self.kill(n);
                let version = version.unwrap_or_else(|| self.wanted_version(n));
                self.servers[n].out = out.or(Some((now, false)));
                self.servers[n].next = Some((time_after(now, START_TIME), Next::Starts { version }));
            }
            Next::Starts { version } => {
                // The wanted version may have changed while the process was down.
                let wanted_version = self.wanted_version(n);
                self.servers[n].program = if self.supervised { wanted_version } else { version };
                self.start(n);
            }
        }
    }

    fn step_server(&mut self, n: usize) {
        let now = self.now;
        let server = &mut self.servers[n];
        let Some(agent) = server.agent.as_mut().filter(|_| !server.stopped) else { return };
        while let Some((_, number, records)) = server.pending.pop_front_if(|(at, ..)| *at <= now) {
            if matches!(records.first(), Some(DurableRecord::Snapshot { .. })) {
                server.durable = records;
            } else {
                server.durable.extend(records);
            }
            agent.write_completed(number);
        }
        for (from, incarnation, bytes) in std::mem::take(&mut server.inbox) {
            agent.receive(now, &from, incarnation, &bytes);
        }
        let due = server
            .last_report
            .is_none_or(|(at, ready)| now >= time_after(at, COUNT_INTERVAL) || ready != server.ready);
        if due {
            server.last_report = Some((now, server.ready));
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
            agent.set_report(now, report);
        }
        let mut effects = Vec::new();
        agent.step(now, &mut effects);
        let incarnation = server.incarnation;
        for effect in effects {
            match effect {
                AgentEffect::Send { to, message } => self.send(n, &to, incarnation, message),
                AgentEffect::Write { number, records } => {
                    self.servers[n].pending.push_back((time_after(now, Span(4 * MS)), number, records));
                }
                AgentEffect::PermitGranted { expires_at, .. } if now < expires_at => {
                    self.start_outage(n, None)
                }
                AgentEffect::PermitGranted { .. } => {
                    self.servers[n].agent.as_mut().unwrap().request_permit(now)
                }
                AgentEffect::StepGranted { assignment: step, expires_at } if now < expires_at => {
                    match step.kind {
                        ReleaseKind::Program => self.start_outage(n, Some(step.version)),
                        ReleaseKind::Settings if step.version == "s-broken" => {
                            self.servers[n].failed = Some((step.rollout, "it can't be read".into()));
                            self.servers[n].last_report = None;
                        }
                        ReleaseKind::Settings => {
                            self.servers[n].settings = step.version;
                            self.servers[n].last_report = None;
                        }
                    }
                }
                AgentEffect::StepGranted { .. } => self.servers[n].agent.as_mut().unwrap().step_expired(),
                AgentEffect::PermitDenied { reason } => {
                    self.log_lines.push(format!("n{n}: refused: {reason}"))
                }
                AgentEffect::Configuration(_) => {}
                AgentEffect::Log { text, .. } => self.log_lines.push(format!("n{n}: {text}")),
            }
        }
    }

    /// Starts a permitted outage.
    fn start_outage(&mut self, n: usize, version: Option<String>) {
        let now = self.now;
        let version = version.or_else(|| Some(self.servers[n].program.clone()));
        self.servers[n].ready = false;
        self.servers[n].out = Some((now, true));
        self.servers[n].next = Some((time_after(now, DRAIN_TIME), Next::Ends { version }));
        let roster = self.record().roster.clone();
        let of = |planned: bool| {
            let of = |(n, server): (usize, &Server)| {
                let (since, by) = server.out?;
                // A very recent outage is not known yet, and a server removed from the roster doesn't
                // count.
                let counts = roster.contains_key(&server.name) && by == planned;
                (counts && (by || now >= time_after(since, Span(4_000 * MS)))).then_some(n)
            };
            self.servers.iter().enumerate().filter_map(of).collect()
        };
        let outage = PermittedOutage { at: now, server_index: n, planned: of(true), unplanned: of(false) };
        self.permitted_outages.push(outage);
    }

    fn send(&mut self, from: usize, to: &Name, incarnation: u64, bytes: Vec<u8>) {
        let Some(to) = self.servers.iter().position(|server| server.name == *to) else { return };
        let late = 1 + self.draw(10);
        if self.unit() >= self.loss && !self.partitioned.contains(&(from, to)) {
            self.net.push((time_after(self.now, Span(late * MS)), from, to, incarnation, bytes));
        }
    }

    /// Submits an operator command at a server and waits for the result.
    pub fn submit_command(&mut self, n: usize, order: OperatorCommand) -> Result<String, String> {
        self.ticket += 1;
        let (now, ticket) = (self.now, self.ticket);
        self.servers[n]
            .agent
            .as_mut()
            .expect("the server runs")
            .submit(now, ticket, order)
            .map_err(|why| why.to_string())?;
        for _ in 0..1_000 {
            self.run(10);
            if let CommandStatus::Finished(answer) =
                self.servers[n].agent.as_ref().expect("the server runs").command_status(ticket)
            {
                return answer.map_err(|why| why.to_string());
            }
        }
        panic!("the command got no result");
    }

    /// Requests a permit for a server to leave.
    pub fn request_permit_at(&mut self, n: usize) {
        let now = self.now;
        self.servers[n].agent.as_mut().expect("the server runs").request_permit(now);
    }

    /// Starts a rollout by a command at n4.
    pub fn start_rollout(&mut self, plan: RolloutPlan) -> Result<String, String> {
        self.submit_command(
            4,
            OperatorCommand::StartRollout { plan: Box::new(plan), operator: Arc::from("kaisa") },
        )
    }

    /// Command that halts a rollout.
    pub fn halt_command(&self, name: &str) -> OperatorCommand {
        let (by, why) = (Arc::from("kaisa"), "by hand".into());
        OperatorCommand::Rollout(RolloutCommand::Halt { name: name.into(), operator: by, reason: why })
    }

    /// Command that rolls a rollout back.
    pub fn rollback_command(&self, name: &str) -> OperatorCommand {
        let (by, why) = (Arc::from("kaisa"), "by hand".into());
        OperatorCommand::Rollout(RolloutCommand::RollBack { name: name.into(), operator: by, reason: why })
    }

    /// Newest replicated state of any running server.
    pub fn record(&self) -> &gradepin_coordination::replicated_state::ReplicatedState {
        let records = self.servers.iter().filter_map(|server| server.agent.as_ref()?.state());
        records.max_by_key(|record| record.index).expect("a server has a replicated state")
    }

    /// State of the rollout.
    pub fn state(&self) -> RolloutState {
        self.record().rollout.as_ref().expect("a rollout").state.clone()
    }

    /// Runs until the condition holds or the time is up; returns whether it holds.
    pub fn run_until(&mut self, within_ms: u64, holds: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..within_ms / 50 {
            if holds(self) {
                return true;
            }
            self.run(50);
        }
        holds(self)
    }

    /// Current leader, according to the last server that knows one.
    pub fn leader(&self) -> Option<usize> {
        let name =
            self.servers.iter().filter_map(|s| s.agent.as_ref()?.status(self.now).leader).next_back()?;
        self.servers.iter().position(|server| server.name == name)
    }

    /// Checks the limits against the actual state: whenever a permitted outage started, the servers out by permit
    /// and those known to be out otherwise were within the limits.
    pub fn check_permit_limits(&self, limits: &Limits) -> Result<(), String> {
        for PermittedOutage { at, server_index, planned, unplanned } in &self.permitted_outages {
            let all: BTreeSet<usize> = planned.iter().chain(unplanned).copied().collect();
            let zone = all.iter().filter(|n| *n % 3 == server_index % 3).count();
            if all.len() > limits.fleet as usize || zone > limits.zone as usize {
                let at_s = at.0 as f64 / 1e9;
                return Err(format!(
                    "at {at_s:.2} s n{server_index} went out beside {planned:?} by permit and {unplanned:?} unplanned"
                ));
            }
        }
        Ok(())
    }
}
