//! What the leader of the consensus group does: it answers requests for permits, ends permits, carries out operators'
//! orders and moves the rollout. A voter that doesn't lead names the one that does.
//!
//! The controller proposes; the replicated state decides. What the controller goes by beside that state, who is heard, is its
//! own and dies with its term: a new leader has heard nobody, so that all count as out until they are heard.

mod orders;
mod permits;
mod proposals;
mod requests;
mod rollout_controller;
mod servers;
mod settings;

pub use settings::ControllerSettings;

use crate::consensus::ConsensusVoter;
use crate::messages::{OperatorCommandReply, PermitReply, ServerReport, StepAssignment};
use crate::replicated_state::{Command, DenialReason, Name, ReplicatedState, Target};
use gradepin_admission::{Span, Time, time_after};
use permits::PermitController;
use proposals::Proposals;
use rollout_controller::RolloutController;
use servers::ServerTable;
use std::collections::BTreeSet;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Between two steps.
const TICK: Span = Span(100 * MS);
/// Servers enrolled in one step.
const MAX_ENROLLED: usize = 16;

/// What the controller wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerEffect {
    /// Reply to a server's request.
    Reply {
        /// The server.
        to: Name,
        /// The number of its request.
        number: u64,
        /// What it is told.
        reply: PermitReply,
    },
    /// Tell a server that it is its turn.
    Turn {
        /// The server.
        to: Name,
        /// Its turn.
        turn: StepAssignment,
    },
    /// Tell what an operator's order came to.
    OrderReply {
        /// The ticket under which it was given.
        ticket: u64,
        /// What it came to.
        reply: OperatorCommandReply,
    },
    /// Write a line into the log; whether it is bad.
    Log(bool, String),
}

/// A command to propose, unless the one of the same key is under way.
#[derive(Debug)]
struct KeyedCommand {
    key: String,
    command: Command,
}

/// What one step goes by.
struct Context<'a> {
    now: Time,
    settings: &'a ControllerSettings,
    record: &'a ReplicatedState,
    servers: &'a ServerTable,
}

impl Context<'_> {
    /// Servers of the roster that aren't heard to be ready.
    fn unplanned(&self) -> BTreeSet<Name> {
        self.servers.unplanned(self.now, self.record)
    }

    /// Whether one more may be out, by all that is known here.
    fn fits(&self, target: &Target) -> Result<(), DenialReason> {
        if self.settings.ignore_limits {
            return Ok(());
        }
        self.record.fits(target, &self.unplanned())
    }
}

/// The controller of one voter.
pub struct Controller {
    settings: ControllerSettings,
    term: Option<u64>,
    servers: ServerTable,
    permits: PermitController,
    rollout: RolloutController,
    proposals: Proposals,
    next_step: Time,
    effects: Vec<ControllerEffect>,
}

impl Controller {
    /// A voter's controller; its proposals are numbered from here on, greater than those of any earlier incarnation.
    pub fn new(settings: ControllerSettings, number: u64, now: Time) -> Self {
        Self {
            term: None,
            servers: ServerTable::new(settings.fresh_for),
            permits: PermitController::default(),
            rollout: RolloutController::new(now),
            proposals: Proposals::new(number),
            next_step: now,
            effects: Vec::new(),
            settings,
        }
    }

    fn context<'a>(&'a self, now: Time, record: &'a ReplicatedState) -> Context<'a> {
        Context { now, settings: &self.settings, record, servers: &self.servers }
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<ControllerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Controller::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        self.next_step
    }

    /// What a server last reported, and how long ago.
    pub fn report(&self, now: Time, name: &str) -> Option<(&ServerReport, Span)> {
        self.servers.report(now, name)
    }

    /// Everybody that ever reported here.
    pub fn reports(&self) -> impl Iterator<Item = (&Name, &ServerReport)> {
        self.servers.reports()
    }

    /// Servers of the roster that aren't heard to be ready.
    pub fn unplanned(&self, now: Time, record: &ReplicatedState) -> BTreeSet<Name> {
        self.servers.unplanned(now, record)
    }

    /// A server reported.
    pub fn reported(
        &mut self,
        now: Time,
        record: &ReplicatedState,
        name: &Name,
        incarnation: u64,
        report: ServerReport,
    ) {
        if !self.servers.accepts(name, incarnation) {
            return;
        }
        self.rollout.reported(record, name, incarnation, &report);
        self.permits.reported(record, name, incarnation);
        self.servers.reported(now, name, incarnation, report);
    }

    /// A halt was ordered somewhere: no further step here, agreed or not.
    pub fn halt(&mut self, record: &ReplicatedState, name: &str) {
        self.rollout.halt(record, name);
    }

    /// Does what is due.
    pub fn step(&mut self, now: Time, council: &mut ConsensusVoter) {
        if now < self.next_step {
            return;
        }
        self.next_step = time_after(now, TICK);
        let term = council.leads();
        if term != self.term {
            self.begin_term(now, term);
        }
        self.proposals.expire(now);
        if term.is_none() {
            return;
        }
        self.enrol(now, council);
        self.end_permits(now, council);
        self.step_rollout(now, council);
    }

    fn begin_term(&mut self, now: Time, term: Option<u64>) {
        self.term = term;
        self.permits = PermitController::default();
        self.proposals.forget_keys();
        self.rollout.begin_term();
        // What was heard before counts by its age, but nobody is stable by it.
        self.servers.restart_stabilization(now);
        if term.is_some() {
            self.effects.push(ControllerEffect::Log(false, "this server leads the council".into()));
        }
    }

    fn propose_all(&mut self, now: Time, council: &mut ConsensusVoter, commands: Vec<KeyedCommand>) {
        for KeyedCommand { key, command } in commands {
            self.proposals.propose_once(now, council, key, command);
        }
    }

    /// Proposes limits that differ from the settings', and servers that the roster lacks.
    fn enrol(&mut self, now: Time, council: &mut ConsensusVoter) {
        let record = council.record();
        let mut commands = Vec::new();
        if record.limits != self.settings.limits {
            let command = Command::Limits(self.settings.limits.clone());
            commands.push(KeyedCommand { key: "limits".into(), command });
        }
        let unknown = self.servers.fresh(now).filter(|(name, report)| {
            record.roster.get(*name).is_none_or(|member| *member.zone != *report.zone)
        });
        for (name, report) in unknown.take(MAX_ENROLLED) {
            let (name, zone) = (Arc::clone(name), Arc::from(report.zone.as_str()));
            commands.push(KeyedCommand {
                key: format!("enrol {name}"),
                command: Command::AddServer { name, zone },
            });
        }
        self.propose_all(now, council, commands);
    }

    fn end_permits(&mut self, now: Time, council: &mut ConsensusVoter) {
        let record = council.record();
        let context = Context { now, settings: &self.settings, record, servers: &self.servers };
        let commands = self.permits.ended(&context);
        self.propose_all(now, council, commands);
    }

    fn step_rollout(&mut self, now: Time, council: &mut ConsensusVoter) {
        let record = council.record();
        let context = Context { now, settings: &self.settings, record, servers: &self.servers };
        let step = self.rollout.step(&context, &mut self.permits);
        self.effects.extend(step.effects);
        self.propose_all(now, council, step.commands);
    }
}
