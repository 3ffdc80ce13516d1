//! The agent of one server: its permit requests and rollout steps, and on servers configured as voters also the voter and its
//! controller. Messages are addressed by server name; the transport authenticates senders.
//!
//! Input: messages of other servers, reports and requests of this one, operator commands, completed writes and time. Output:
//! [`AgentEffect`]s, to be executed in order. Invariants: a request, command or change submitted here gets one result; every
//! queue is bounded.

mod configuration_requests;
mod messages;
mod operator_commands;
mod reports;
mod status;
mod steps;
mod voter;

pub use configuration_requests::ConfigurationEffect;
pub use operator_commands::{CommandStatus, SubmitError};
pub use status::{AgentStatus, KnownState, RunningVersions};

use crate::configuration_log::ConfigurationSettings;
use crate::consensus::{ConsensusVoter, DurableRecord, VoterState};
use crate::controller::{Controller, ControllerSettings};
use crate::founding::Founding;
use crate::ids::{Epoch, Incarnation, Name};
use crate::messages::{ServerReport, StepAssignment};
use crate::permit_client::PermitClient;
use crate::proposal_client::{CommitWaiters, ProposalClient};
use crate::replicated_state::ReplicatedState;
use gradepin_admission::{Span, Time, time_after};
use operator_commands::OperatorCommands;
use reports::PolledState;
use slog::Level;
use std::sync::Arc;

const NANOS_PER_MS: u64 = 1_000_000;
/// Interval between reports of a server to the voters.
const REPORT_INTERVAL: Span = Span(500 * NANOS_PER_MS);
/// Interval between polls of the replicated state by a server that isn't a voter.
const STATE_POLL_INTERVAL: Span = Span(2_000 * NANOS_PER_MS);
/// A time that is never reached.
const NEVER: Time = Time(u64::MAX);

/// The settings of a server's agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Name of the server.
    pub name: Name,
    /// Incarnation of this process, greater than those of all earlier processes of the server.
    pub incarnation: Incarnation,
    /// Zone of the server, which its reports carry.
    pub zone: String,
    /// Names of the voters in the settings; the replicated state may add others.
    pub voters: Vec<Name>,
    /// Voter state on the server's disk, if it is configured as a voter.
    pub voter_state: Option<VoterState>,
    /// Settings of the voter's controller.
    pub controller: ControllerSettings,
    /// Whether a request to leave waits for a permit, rather than being denied if none is available at once.
    pub waits_for_permit: bool,
    /// Seed of all random draws, for reproducible runs.
    pub seed: u64,
}

/// An effect that the host executes for the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEffect {
    /// Send a message to a server; it may be lost.
    Send {
        /// Name of the receiver.
        to: Name,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Make records durable in the voter's files, then call [`ServerAgent::write_completed`] with the number.
    Write {
        /// Number of the write; increases with each write, 0 for the founding.
        number: u64,
        /// Records in order.
        records: Vec<DurableRecord>,
    },
    /// This server may leave, if it begins before the right expires.
    PermitGranted {
        /// Epoch of the permit.
        epoch: Epoch,
        /// End of the right to begin, on this server's clock.
        expires_at: Time,
    },
    /// The request to leave is denied.
    PermitDenied {
        /// Reason, for the operator.
        reason: String,
    },
    /// This server may take a rollout step, if it begins before the right expires.
    StepGranted {
        /// Step to take.
        assignment: StepAssignment,
        /// End of the right to begin, on this server's clock.
        expires_at: Time,
    },
    /// An effect on the configuration.
    Configuration(ConfigurationEffect),
    /// Write a line to the log.
    Log {
        /// Level of the line.
        level: Level,
        /// Text of the line.
        text: String,
    },
}

/// The agent of one server; see the [module](self) for inputs and effects.
pub struct ServerAgent {
    settings: AgentSettings,
    /// The voter, if the settings make this server one.
    voter: Option<ConsensusVoter>,
    controller: Controller,
    permit_client: PermitClient,
    /// The rollout step that this server requests to begin.
    requested_step: Option<StepAssignment>,
    /// Epoch of the permit for the step that this incarnation has begun.
    begun_step: Option<Epoch>,
    report: ServerReport,
    next_report: Time,
    next_state_poll: Time,
    /// The replicated state that a voter sent last, on a server that isn't a voter.
    polled_state: Option<PolledState>,
    commands: OperatorCommands,
    founding: Founding,
    /// Set if the group commits configuration changes.
    configuration: Option<ConfigurationSettings>,
    proposal_client: ProposalClient,
    commit_waiters: CommitWaiters,
    effects: Vec<AgentEffect>,
}

impl ServerAgent {
    /// Creates the agent of a server whose process starts.
    pub fn new(settings: AgentSettings, now: Time) -> Self {
        // Request numbers start from the incarnation, so they exceed those of earlier incarnations.
        let last_number = settings.incarnation;
        let stored = settings.voter_state.clone();
        Self {
            voter: stored.map(|stored| ConsensusVoter::new(stored, settings.seed, now)),
            controller: Controller::new(settings.controller.clone(), last_number, now),
            permit_client: PermitClient::new(settings.voters.clone(), last_number),
            requested_step: None,
            begun_step: None,
            report: ServerReport { zone: settings.zone.clone(), ..ServerReport::default() },
            next_report: now,
            next_state_poll: now,
            polled_state: None,
            commands: OperatorCommands::default(),
            founding: Founding::new(&settings.voters),
            configuration: None,
            proposal_client: ProposalClient::default(),
            commit_waiters: CommitWaiters::default(),
            effects: Vec::new(),
            settings,
        }
    }

    /// Returns the replicated state as it is known here: the voter's own, otherwise the last one polled.
    pub fn state(&self) -> Option<&ReplicatedState> {
        let own = self.founded_voter().map(ConsensusVoter::state);
        own.or(self.polled_state.as_ref().map(|polled| &polled.state))
    }

    fn founded_voter(&self) -> Option<&ConsensusVoter> {
        self.voter.as_ref().filter(|voter| voter.is_founded())
    }

    fn is_own_name(&self, name: &Name) -> bool {
        *name == self.settings.name
    }

    fn own_name(&self) -> Name {
        Arc::clone(&self.settings.name)
    }

    /// Takes all steps that are due, and appends the effects to execute.
    pub fn step(&mut self, now: Time, effects: &mut Vec<AgentEffect>) {
        self.step_voter(now);
        if let Some(voter) = &mut self.voter {
            self.controller.step(now, voter);
        }
        self.apply_controller_effects(now);
        self.step_commands(now);
        self.step_configuration_requests(now);
        self.step_permit_client(now);
        if now >= self.next_report {
            self.next_report = time_after(now, REPORT_INTERVAL);
            self.send_report(now);
        }
        if now >= self.next_state_poll {
            self.next_state_poll = time_after(now, STATE_POLL_INTERVAL);
            self.poll_state();
        }
        self.step_voter(now);
        effects.append(&mut self.effects);
    }

    /// Time at which [`ServerAgent::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        let voter = self.voter.as_ref().map_or(NEVER, ConsensusVoter::wake_at);
        let controller = if self.voter.is_some() { self.controller.wake_at() } else { NEVER };
        let periodic = [self.next_report, self.next_state_poll, voter, controller];
        let requests =
            [self.proposal_client.wake_at(), self.commands.wake_at(), self.permit_client.wake_at()];
        periodic.into_iter().chain(requests.into_iter().flatten()).min().unwrap_or(NEVER)
    }

    fn log(&mut self, level: Level, text: String) {
        self.effects.push(AgentEffect::Log { level, text });
    }
}

#[cfg(test)]
mod tests;
