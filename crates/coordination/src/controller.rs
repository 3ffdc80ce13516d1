//! The leader's controller: replies to permit requests, ends permits, executes operator commands and moves the rollout. On a
//! voter that doesn't lead it names the leader.
//!
//! Input: reports and requests of servers, operator commands, outcomes of its proposals, and time. Output: proposals to the
//! consensus group and [`ControllerEffect`]s. The controller proposes; the replicated state decides. What it knows of servers
//! beyond that state belongs to its term: a new leader has no reports, so that all servers count as out until they report.

mod operator_commands;
mod permits;
mod proposals;
mod requests;
mod rollout_controller;
mod servers;
mod settings;

pub use settings::ControllerSettings;

use crate::consensus::ConsensusVoter;
use crate::ids::{Incarnation, Name, Term, Ticket};
use crate::messages::{OperatorCommandReply, PermitReply, ServerReport, StepAssignment};
use crate::replicated_state::{Command, DenialReason, ReplicatedState, Target};
use gradepin_admission::{Span, Time, time_after};
use permits::PermitController;
use proposals::Proposals;
use rollout_controller::RolloutController;
use servers::ServerTable;
use slog::Level;
use std::collections::BTreeSet;
use std::sync::Arc;

const NANOS_PER_MS: u64 = 1_000_000;
/// Between two steps.
const STEP_INTERVAL: Span = Span(100 * NANOS_PER_MS);
/// Servers added to the roster in one step at most.
const MAX_ADDED_SERVERS: usize = 16;

/// What the controller wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerEffect {
    /// Reply to a server's request.
    Reply {
        /// The server.
        to: Name,
        /// The number of its request.
        number: Ticket,
        /// The reply.
        reply: PermitReply,
    },
    /// Assign a rollout step to a server.
    AssignStep {
        /// The server.
        to: Name,
        /// The step.
        assignment: StepAssignment,
    },
    /// Reply to an operator's command.
    CommandReply {
        /// The ticket of the command.
        ticket: Ticket,
        /// The reply.
        reply: OperatorCommandReply,
    },
    /// Write a line to the log.
    Log {
        /// Its level.
        level: Level,
        /// Its text.
        text: String,
    },
}

/// A command to propose, unless the last one of the same key is in flight.
#[derive(Debug)]
struct KeyedCommand {
    key: String,
    command: Command,
}

/// The inputs of one step.
struct Context<'a> {
    now: Time,
    settings: &'a ControllerSettings,
    state: &'a ReplicatedState,
    servers: &'a ServerTable,
}

impl Context<'_> {
    fn not_ready(&self) -> BTreeSet<Name> {
        self.servers.not_ready(self.now, self.state)
    }

    /// Whether one more may be out, by permits and by reports.
    fn fits(&self, target: &Target) -> Result<(), DenialReason> {
        if self.settings.ignore_limits {
            return Ok(());
        }
        self.state.fits(target, &self.not_ready())
    }
}

/// The controller of one voter.
pub struct Controller {
    settings: ControllerSettings,
    /// The term in which this voter leads.
    term: Option<Term>,
    servers: ServerTable,
    permits: PermitController,
    rollout: RolloutController,
    proposals: Proposals,
    next_step: Time,
    effects: Vec<ControllerEffect>,
}

impl Controller {
    /// A voter's controller. Its proposals have numbers greater than `last_number`, which is to be greater than those of any
    /// earlier incarnation.
    pub fn new(settings: ControllerSettings, last_number: Ticket, now: Time) -> Self {
        Self {
            term: None,
            servers: ServerTable::new(settings.fresh_for),
            permits: PermitController::default(),
            rollout: RolloutController::new(now),
            proposals: Proposals::new(last_number),
            next_step: now,
            effects: Vec::new(),
            settings,
        }
    }

    fn context<'a>(&'a self, now: Time, state: &'a ReplicatedState) -> Context<'a> {
        Context { now, settings: &self.settings, state, servers: &self.servers }
    }

    /// The effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<ControllerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Controller::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        self.next_step
    }

    /// A server's last report, and its age.
    pub fn report(&self, now: Time, name: &str) -> Option<(&ServerReport, Span)> {
        self.servers.report(now, name)
    }

    /// The last reports of all servers, however old.
    pub fn reports(&self) -> impl Iterator<Item = (&Name, &ServerReport)> {
        self.servers.reports()
    }

    /// Servers of the roster that don't report to be ready.
    pub fn not_ready(&self, now: Time, state: &ReplicatedState) -> BTreeSet<Name> {
        self.servers.not_ready(now, state)
    }

    /// Records a server's report.
    pub fn record_report(
        &mut self,
        now: Time,
        state: &ReplicatedState,
        name: &Name,
        incarnation: Incarnation,
        report: ServerReport,
    ) {
        if !self.servers.accepts(name, incarnation) {
            return;
        }
        self.rollout.record_report(state, name, incarnation, &report);
        self.permits.record_report(state, name, incarnation);
        self.servers.record_report(now, name, incarnation, report);
    }

    /// An operator halted the rollout: this leader takes no further step of it, committed or not.
    pub fn halt(&mut self, state: &ReplicatedState, name: &str) {
        self.rollout.halt(state, name);
    }

    /// Does what is due.
    pub fn step(&mut self, now: Time, consensus: &mut ConsensusVoter) {
        if now < self.next_step {
            return;
        }
        self.next_step = time_after(now, STEP_INTERVAL);
        let term = consensus.leader_term();
        if term != self.term {
            self.start_term(now, term);
        }
        self.proposals.expire(now);
        if term.is_none() {
            return;
        }
        self.propose_settings(now, consensus);
        self.end_permits(now, consensus);
        self.step_rollout(now, consensus);
    }

    fn start_term(&mut self, now: Time, term: Option<Term>) {
        self.term = term;
        self.permits = PermitController::default();
        self.proposals.forget_keys();
        self.rollout.start_term();
        // Reports from before count by their age, but no server is stable by them.
        self.servers.restart_stabilization(now);
        if term.is_some() {
            let text = "this server leads the consensus group".into();
            self.effects.push(ControllerEffect::Log { level: Level::Info, text });
        }
    }

    fn propose_all(&mut self, now: Time, consensus: &mut ConsensusVoter, commands: Vec<KeyedCommand>) {
        for KeyedCommand { key, command } in commands {
            self.proposals.propose_once(now, consensus, key, command);
        }
    }

    /// Proposes the limits of the settings where the state has others, and servers that the roster lacks.
    fn propose_settings(&mut self, now: Time, consensus: &mut ConsensusVoter) {
        let state = consensus.state();
        let mut commands = Vec::new();
        if state.limits != self.settings.limits {
            let command = Command::Limits(self.settings.limits.clone());
            commands.push(KeyedCommand { key: "limits".into(), command });
        }
        let differs_from_roster = |(name, report): &(&Name, &ServerReport)| {
            state.roster.get(*name).is_none_or(|member| *member.zone != *report.zone)
        };
        let unknown = self.servers.fresh(now).filter(differs_from_roster);
        for (name, report) in unknown.take(MAX_ADDED_SERVERS) {
            let key = format!("enrol {name}");
            let (name, zone) = (Arc::clone(name), Arc::from(report.zone.as_str()));
            commands.push(KeyedCommand { key, command: Command::AddServer { name, zone } });
        }
        self.propose_all(now, consensus, commands);
    }

    fn end_permits(&mut self, now: Time, consensus: &mut ConsensusVoter) {
        let state = consensus.state();
        let context = Context { now, settings: &self.settings, state, servers: &self.servers };
        let commands = self.permits.ended(&context);
        self.propose_all(now, consensus, commands);
    }

    fn step_rollout(&mut self, now: Time, consensus: &mut ConsensusVoter) {
        let state = consensus.state();
        let context = Context { now, settings: &self.settings, state, servers: &self.servers };
        let step = self.rollout.step(&context, &mut self.permits);
        self.effects.extend(step.effects);
        self.propose_all(now, consensus, step.commands);
    }
}
