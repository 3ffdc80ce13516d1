//! Simulates a fleet of server agents whose messages arrive at once and whose writes are durable at once. A partitioned server
//! neither sends nor receives.
#![allow(dead_code)]

#[path = "start_configuration.rs"]
mod start_configuration;

use gradepin_admission::{Span, Time, time_after};
use gradepin_coordination::configuration_log::ConfigurationSettings;
use gradepin_coordination::consensus::VoterState;
use gradepin_coordination::controller::ControllerSettings;
use gradepin_coordination::founding::FoundingError;
use gradepin_coordination::messages::ServerReport;
use gradepin_coordination::replicated_state::Name;
use gradepin_coordination::server_agent::{AgentEffect, AgentSettings, ConfigurationEffect, ServerAgent};
use std::collections::BTreeSet;
use std::sync::Arc;

const STEP_INTERVAL: Span = Span(10_000_000);
pub const SECOND: Span = Span(1_000_000_000);
pub const ALL_VOTERS: &[usize] = &[0, 1, 2];

pub fn name(n: usize) -> Name {
    Arc::from(format!("n{n}"))
}

pub struct Fleet {
    pub now: Time,
    pub agents: Vec<ServerAgent>,
    pub partitioned: BTreeSet<usize>,
    /// Program version of each server; a granted rollout step changes it at once.
    pub programs: Vec<String>,
    /// Messages sent so far, if they are recorded: receiver and bytes.
    pub sent_messages: Option<Vec<(usize, Vec<u8>)>>,
    /// Effects on the configuration: server, time and effect.
    pub events: Vec<(usize, Time, ConfigurationEffect)>,
}

impl Fleet {
    /// Server `n` names the voters `voters_of[n]` in its settings; the first three servers have a voter state.
    pub fn new(voters_of: &[&[usize]]) -> Self {
        let now = Time(SECOND.0);
        let agent = |(n, voters): (usize, &&[usize])| {
            let voter_state = VoterState { id: 100 + n as u64, records: Vec::new() };
            let settings = AgentSettings {
                name: name(n),
                incarnation: 1,
                zone: format!("z{n}"),
                voters: voters.iter().copied().map(name).collect(),
                voter_state: (n < 3).then_some(voter_state),
                controller: ControllerSettings::default(),
                waits_for_permit: true,
                seed: 5 + n as u64,
            };
            let mut agent =
                ServerAgent::new(settings, now).with_configuration(ConfigurationSettings::default());
            agent.offer_configuration(&start_configuration::start_configuration());
            agent
        };
        Self {
            now,
            agents: voters_of.iter().enumerate().map(agent).collect(),
            partitioned: BTreeSet::new(),
            sent_messages: None,
            programs: vec![String::new(); voters_of.len()],
            events: Vec::new(),
        }
    }

    pub fn run(&mut self, span: Span) {
        let until = time_after(self.now, span);
        while self.now < until {
            self.now = time_after(self.now, STEP_INTERVAL);
            (0..self.agents.len()).for_each(|n| self.step(n));
        }
    }

    /// Steps all agents at the present time until none is due any more; panics if that doesn't end.
    pub fn step_until_idle(&mut self) {
        for _ in 0..50 {
            (0..self.agents.len()).for_each(|n| self.step(n));
            if self.agents.iter().all(|agent| agent.wake_at() > self.now) {
                return;
            }
        }
        panic!("an agent stays due at {} after 50 steps", self.now.0);
    }

    fn step(&mut self, n: usize) {
        let mut effects = Vec::new();
        let program = self.programs[n].clone();
        let report = ServerReport { zone: format!("z{n}"), ready: true, program, ..ServerReport::default() };
        self.agents[n].set_report(self.now, report);
        self.agents[n].step(self.now, &mut effects);
        for effect in effects {
            match effect {
                AgentEffect::Send { to, message: bytes } => {
                    // Other services' messages start with a byte of 0x80 or above.
                    assert!(bytes[0] < 0x80, "a consensus message began with {:#x}", bytes[0]);
                    // Malformed messages may make an agent address a server that doesn't exist.
                    let Some(to) = (0..self.agents.len()).find(|other| name(*other) == to) else {
                        assert!(self.sent_messages.is_some(), "expected a server, got {to}");
                        continue;
                    };
                    if let Some(sent) = &mut self.sent_messages {
                        sent.push((to, bytes.clone()));
                    }
                    if !self.partitioned.contains(&n) && !self.partitioned.contains(&to) {
                        self.agents[to].receive(self.now, &name(n), 1, &bytes);
                    }
                }
                AgentEffect::Configuration(effect) => self.events.push((n, self.now, effect)),
                AgentEffect::Write { number, .. } => self.agents[n].write_completed(number),
                AgentEffect::StepGranted { assignment, .. } => self.programs[n] = assignment.version,
                _ => {}
            }
        }
    }

    pub fn found(&mut self, n: usize) -> Result<String, FoundingError> {
        self.agents[n].found(self.now)
    }

    pub fn leader(&self, n: usize) -> Option<Name> {
        self.agents[n].status(self.now).leader
    }
}
