//! The leader's controller: replies to permit requests, ends permits, executes operator commands and advances the rollout. On a
//! voter that doesn't lead it redirects requests to the leader.
//!
//! Input: reports and requests of servers, operator commands, outcomes of the controller's proposals, and time. Output:
//! proposals to the consensus group and [`ControllerEffect`]s. The controller proposes; the replicated state decides.
//! Observations of servers beyond that state are local and start anew in each term; a server without a fresh report counts as
//! out of service.

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
/// Interval between two steps of the controller.
const STEP_INTERVAL: Span = Span(100 * NANOS_PER_MS);
/// Maximum servers proposed for the roster in one step.
const MAX_ADDED_SERVERS: usize = 16;

/// An effect that the server's agent executes for the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerEffect {
    /// Reply to a server's permit request.
    Reply {
        /// The server that sent the request.
        to: Name,
        /// Number of the request.
        number: Ticket,
        /// Reply to send.
        reply: PermitReply,
    },
    /// Assign a rollout step to a server.
    AssignStep {
        /// The server that is to take the step.
        to: Name,
        /// Rollout, permit and version of the step.
        assignment: StepAssignment,
    },
    /// Reply to an operator's command.
    CommandReply {
        /// Ticket of the command.
        ticket: Ticket,
        /// Reply to send.
        reply: OperatorCommandReply,
    },
    /// Write a line to the log.
    Log {
        /// Level of the line.
        level: Level,
        /// Text of the line.
        text: String,
    },
}

/// A command to propose, unless the last proposal with the same key is still in flight.
#[derive(Debug)]
struct KeyedCommand {
    key: String,
    command: Command,
}

/// The read-only inputs of one step of the controller.
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

    /// Checks whether `target` may be out in addition to permits and to servers that don't report ready.
    fn fits(&self, target: &Target) -> Result<(), DenialReason> {
        if self.settings.ignore_limits {
            return Ok(());
        }
        self.state.fits(target, &self.not_ready())
    }
}

/// The controller of one voter; it acts only while the voter leads.
pub struct Controller {
    settings: ControllerSettings,
    /// The term in which this voter leads; none while it doesn't lead.
    term: Option<Term>,
    servers: ServerTable,
    permits: PermitController,
    rollout: RolloutController,
    proposals: Proposals,
    next_step: Time,
    effects: Vec<ControllerEffect>,
}

impl Controller {
    /// Creates a voter's controller. Its proposals get numbers above `last_number`, which must exceed the numbers of all
    /// earlier incarnations.
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

    /// Takes the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<ControllerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Time at which [`Controller::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        self.next_step
    }

    /// Returns the last report of a server and the report's age.
    pub fn report(&self, now: Time, name: &str) -> Option<(&ServerReport, Span)> {
        self.servers.report(now, name)
    }

    /// Returns the last report of each server, regardless of age.
    pub fn reports(&self) -> impl Iterator<Item = (&Name, &ServerReport)> {
        self.servers.reports()
    }

    /// Servers of the roster without a fresh report that they are ready.
    pub fn not_ready(&self, now: Time, state: &ReplicatedState) -> BTreeSet<Name> {
        self.servers.not_ready(now, state)
    }

    /// Records a server's report; a report of an earlier incarnation is ignored.
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

    /// An operator halted the rollout: this leader takes no further step of it, even before the halt is committed.
    pub fn halt(&mut self, state: &ReplicatedState, name: &str) {
        self.rollout.halt(state, name);
    }

    /// Takes the periodic step if it is due: expires proposals and, on the leader, proposes what the state needs.
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
        // Earlier reports still show readiness while they are fresh, but don't count towards stabilization.
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

    /// Proposes the limits of the settings if the state has others, and servers that the roster lacks or has in another zone.
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
