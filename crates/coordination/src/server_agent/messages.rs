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
    /// Between voters, by the identities of their disks.
    Voter {
        /// The sender.
        from: VoterId,
        /// The receiver.
        to: VoterId,
        /// The message of the consensus group.
        bytes: Vec<u8>,
    },
    /// A server's report, to a voter.
    Report(Box<ServerReport>),
    /// A server's permit request, to a voter.
    PermitRequest(PermitRequest),
    /// A voter's reply to a permit request.
    PermitReply {
        /// The number of the request.
        number: Ticket,
        /// The reply.
        reply: PermitReply,
    },
    /// A rollout step, from the leader to the server that is to take it.
    StepAssignment(StepAssignment),
    /// An operator's command, to a voter.
    Command {
        /// The sender's ticket.
        ticket: Ticket,
        /// The command.
        command: OperatorCommand,
    },
    /// A voter's reply to a command.
    CommandReply {
        /// The ticket of the command.
        ticket: Ticket,
        /// The reply.
        reply: OperatorCommandReply,
    },
    /// Halt the rollout of this name: no further step, committed or not.
    Halt(String),
    /// Found a group with these voters.
    Found(BTreeMap<VoterId, Name>),
    /// Asks a voter for the replicated state.
    StateRequest,
    /// The replicated state, as far as the sender knows it.
    State(Box<ReplicatedState>),
    /// A request for a change of the configuration, to a voter.
    ConfigurationRequest {
        /// The sender's ticket.
        ticket: Ticket,
        /// The request.
        request: Box<ConfigurationRequest>,
    },
    /// A voter's reply to such a request.
    ConfigurationReply {
        /// The ticket of the request.
        ticket: Ticket,
        /// The reply.
        reply: VoterReply,
    },
}

impl ServerAgent {
    /// Receives a message of a server, from this incarnation of it. One that can't be decoded is dropped.
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

    /// Sends a message to a server.
    pub(super) fn send(&mut self, to: &Name, message: &AgentMessage) {
        if let Ok(message) = postcard::to_stdvec(message) {
            self.effects.push(AgentEffect::Send { to: Arc::clone(to), message });
        }
    }
}
