//! Servers whose messages arrive at once and whose writes are durable at once. One that is partitioned neither sends nor receives.
#![allow(dead_code)]

#[path = "base.rs"]
mod base;

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

const TURN: Span = Span(10_000_000);
pub const SECOND: Span = Span(1_000_000_000);
pub const ALL: &[usize] = &[0, 1, 2];

pub fn name(n: usize) -> Name {
    Arc::from(format!("n{n}"))
}

pub struct Fleet {
    pub now: Time,
    pub agents: Vec<ServerAgent>,
    pub cut: BTreeSet<usize>,
    /// The program of each server; a turn changes it at once.
    pub programs: Vec<String>,
    /// What was sent, if it is kept: to whom, and what.
    pub sent: Option<Vec<(usize, Vec<u8>)>>,
    /// What servers were told about the configuration.
    pub events: Vec<(usize, Time, ConfigurationEffect)>,
}

impl Fleet {
    /// Server `n` names these voters in its settings; the first three have a folder.
    pub fn new(voters_of: &[&[usize]]) -> Self {
        let now = Time(SECOND.0);
        let agent = |(n, voters): (usize, &&[usize])| {
            let found = VoterState { id: 100 + n as u64, records: Vec::new() };
            let set = AgentSettings {
                name: name(n),
                incarnation: 1,
                zone: format!("z{n}"),
                voters: voters.iter().copied().map(name).collect(),
                voter_state: (n < 3).then_some(found),
                controller: ControllerSettings::default(),
                waits_for_permit: true,
                seed: 5 + n as u64,
            };
            let mut agent = ServerAgent::new(set, now).with_configuration(ConfigurationSettings::default());
            agent.offer_configuration(&base::base());
            agent
        };
        Self {
            now,
            agents: voters_of.iter().enumerate().map(agent).collect(),
            cut: BTreeSet::new(),
            sent: None,
            programs: vec![String::new(); voters_of.len()],
            events: Vec::new(),
        }
    }

    pub fn run(&mut self, span: Span) {
        let until = time_after(self.now, span);
        while self.now < until {
            self.now = time_after(self.now, TURN);
            (0..self.agents.len()).for_each(|n| self.step(n));
        }
    }

    /// Gives everybody turns at this moment until nobody wants another one.
    pub fn settle(&mut self) {
        for _ in 0..50 {
            (0..self.agents.len()).for_each(|n| self.step(n));
            if self.agents.iter().all(|agent| agent.wake_at() > self.now) {
                return;
            }
        }
        panic!("somebody wants a turn at {} again and again", self.now.0);
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
                    // Other services mark their messages by a first byte of 0x80 and above.
                    assert!(bytes[0] < 0x80, "a consensus message began with {:#x}", bytes[0]);
                    // Odd words name servers that aren't there.
                    let Some(to) = (0..self.agents.len()).find(|other| name(*other) == to) else {
                        assert!(self.sent.is_some(), "expected a server, got {to}");
                        continue;
                    };
                    if let Some(sent) = &mut self.sent {
                        sent.push((to, bytes.clone()));
                    }
                    if !self.cut.contains(&n) && !self.cut.contains(&to) {
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
