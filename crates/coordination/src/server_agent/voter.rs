//! Runs the voter and the controller of this server, and executes their effects.

use super::messages::AgentMessage;
use super::{AgentEffect, ConfigurationEffect, ServerAgent};
use crate::consensus::{ConsensusVoter, VoterEffect, VoterId, VoterState};
use crate::controller::ControllerEffect;
use crate::ids::Name;
use gradepin_admission::Time;
use slog::Level;
use std::sync::Arc;

impl ServerAgent {
    /// Records that writes up to this number are durable.
    pub fn write_completed(&mut self, number: u64) {
        if let Some(voter) = &mut self.voter {
            voter.write_completed(number);
        }
    }

    /// Handles a failed write; `stored` is the state that the voter's files have.
    pub fn write_failed(&mut self, now: Time, stored: VoterState) {
        if let Some(voter) = &mut self.voter {
            voter.write_failed(stored, now);
        }
    }

    /// Advances the voter, and executes its effects in order.
    pub(super) fn step_voter(&mut self, now: Time) {
        let Some(voter) = &mut self.voter else { return };
        let mut effects = Vec::new();
        voter.step(now, &mut effects);
        let id = voter.id();
        for effect in effects {
            self.apply_voter_effect(now, id, effect);
        }
        self.apply_controller_effects(now);
    }

    fn apply_voter_effect(&mut self, now: Time, id: VoterId, effect: VoterEffect) {
        match effect {
            VoterEffect::Send { to, message } => {
                if let Some(name) = self.voter_name(to) {
                    self.send(&name, &AgentMessage::Voter { from: id, to, bytes: message });
                }
            }
            VoterEffect::Write { number, records } => {
                self.effects.push(AgentEffect::Write { number, records });
            }
            VoterEffect::Applied { proposer, number, outcome, .. } if proposer == id => {
                if let Some(voter) = &self.voter {
                    self.controller.applied(now, voter.state(), number, outcome);
                }
            }
            VoterEffect::Applied { .. } => {}
            VoterEffect::Committed(commit) => self.configuration_committed(now, commit),
            VoterEffect::MakeDurable(revision) => {
                let effect = ConfigurationEffect::MakeDurable(revision);
                self.effects.push(AgentEffect::Configuration(effect));
            }
            VoterEffect::Log { level, text } => self.log_consensus(level, &text),
        }
    }

    /// Returns the server of a voter, from the replicated state or, if that doesn't list the voter yet, from reports.
    fn voter_name(&self, id: VoterId) -> Option<Name> {
        let state = self.voter.as_ref().map(ConsensusVoter::state);
        if let Some(name) = state.and_then(|state| state.voters.get(&id)) {
            return Some(Arc::clone(name));
        }
        let mut reports = self.controller.reports();
        reports.find(|(_, report)| report.voter == Some(id)).map(|(name, _)| Arc::clone(name))
    }

    /// Executes the effects of the controller, in order.
    pub(super) fn apply_controller_effects(&mut self, now: Time) {
        for effect in self.controller.take_effects() {
            match effect {
                ControllerEffect::Reply { to, number, reply } if self.is_own_name(&to) => {
                    self.receive_permit_reply(now, number, reply);
                }
                ControllerEffect::Reply { to, number, reply } => {
                    self.send(&to, &AgentMessage::PermitReply { number, reply });
                }
                ControllerEffect::AssignStep { to, assignment } if self.is_own_name(&to) => {
                    self.receive_step(now, assignment);
                }
                ControllerEffect::AssignStep { to, assignment } => {
                    self.send(&to, &AgentMessage::StepAssignment(assignment));
                }
                ControllerEffect::CommandReply { ticket, reply } => {
                    self.reply_to_command(now, ticket, reply);
                }
                ControllerEffect::Log { level, text } => self.log_consensus(level, &text),
            }
        }
    }

    fn log_consensus(&mut self, level: Level, text: &str) {
        self.log(level, format!("council: {text}"));
    }
}
