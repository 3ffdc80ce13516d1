//! Messages between the agents of servers. The order of variants and fields is the wire format.

use super::{AgentEffect, ServerAgent};
use crate::configuration_log::ConfigurationRequest;
use crate::consensus::VoterId;
use crate::ids::{Incarnation, Name, Ticket};
use crate::messages::{
    OperatorCommand, OperatorCommandReply, PermitReply, PermitRequest, ServerReport, StepAssignment,
};
use crate::proposal_client::VoterReply;
use crate::replicated_state::ReplicatedState;
use gradepin_admission::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A message between agents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum AgentMessage {
    /// A message of the consensus group, from voter to voter.
    Voter {
        /// Identity of the sending voter.
        from: VoterId,
        /// Identity of the receiving voter.
        to: VoterId,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// A server's report, to a voter.
    Report(Box<ServerReport>),
    /// A server's permit request, to a voter.
    PermitRequest(PermitRequest),
    /// A voter's reply to a permit request.
    PermitReply {
        /// Number of the request.
        number: Ticket,
        /// Reply to the request.
        reply: PermitReply,
    },
    /// A rollout step, from the leader to the server that is to take it.
    StepAssignment(StepAssignment),
    /// An operator's command, to a voter.
    Command {
        /// Ticket at the sender.
        ticket: Ticket,
        /// Command to execute.
        command: OperatorCommand,
    },
    /// A voter's reply to a command.
    CommandReply {
        /// Ticket of the command, as sent.
        ticket: Ticket,
        /// Reply to the command.
        reply: OperatorCommandReply,
    },
    /// Tells a voter to take no further step of the rollout with this name, before the halt is committed.
    Halt(String),
    /// Tells a voter to found a group with these voters.
    Found(BTreeMap<VoterId, Name>),
    /// Asks a voter for the replicated state.
    StateRequest,
    /// The replicated state as the sending voter has it.
    State(Box<ReplicatedState>),
    /// A request for a configuration change, to a voter.
    ConfigurationRequest {
        /// Ticket at the sender.
        ticket: Ticket,
        /// Requested change.
        request: Box<ConfigurationRequest>,
    },
    /// A voter's reply to a request for a configuration change.
    ConfigurationReply {
        /// Ticket of the request, as sent.
        ticket: Ticket,
        /// Reply to the request.
        reply: VoterReply,
    },
}

impl ServerAgent {
    /// Handles a message that this incarnation of server `from` sent. Messages that can't be decoded are dropped.
    pub fn receive(&mut self, now: Time, from: &Name, incarnation: Incarnation, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<AgentMessage>(bytes) else { return };
        match message {
            AgentMessage::Voter { from, to, bytes } => {
                if let Some(voter) = self.voter.as_mut().filter(|voter| voter.id() == to) {
                    voter.receive(now, from, &bytes);
                }
            }
            AgentMessage::Report(report) => self.record_report(now, from, incarnation, *report),
            AgentMessage::PermitRequest(request) => {
                self.receive_permit_request(now, from, incarnation, request);
            }
            AgentMessage::PermitReply { number, reply } => self.receive_permit_reply(now, number, reply),
            AgentMessage::StepAssignment(assignment) => self.receive_step(now, assignment),
            AgentMessage::Command { ticket, command } => self.receive_command(now, from, ticket, command),
            AgentMessage::CommandReply { ticket, reply } => self.receive_command_reply(now, ticket, reply),
            AgentMessage::Halt(name) => self.halt(&name),
            AgentMessage::Found(voters) => self.found_with(&voters),
            AgentMessage::StateRequest => self.send_state(from),
            AgentMessage::ConfigurationRequest { ticket, request } => {
                self.receive_configuration_request(now, from, ticket, &request);
            }
            AgentMessage::ConfigurationReply { ticket, reply } => {
                self.receive_configuration_reply(now, ticket, reply);
            }
            AgentMessage::State(state) => self.record_polled_state(now, *state),
        }
    }

    /// Encodes a message and sends it to a server.
    pub(super) fn send(&mut self, to: &Name, message: &AgentMessage) {
        if let Ok(message) = postcard::to_stdvec(message) {
            self.effects.push(AgentEffect::Send { to: Arc::clone(to), message });
        }
    }
}
