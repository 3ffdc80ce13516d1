//! Requests for configuration changes: those submitted at this server, and those that servers send to this voter.

use super::messages::AgentMessage;
use super::{AgentEffect, ServerAgent};
use crate::configuration_log::{
    ConfigurationRejected, ConfigurationRequest, ConfigurationSettings, ReplicatedConfiguration,
};
use crate::consensus::{ConsensusVoter, ProposalAccepted, ProposalRejected};
use crate::ids::{Name, Ticket};
use crate::proposal_client::{CommitWaiter, OutgoingProposal, ProposalResponse, VoterReply};
use gradepin_admission::Time;
use gradepin_config::change::{Commit, Revision};
use gradepin_config::configuration::Configuration;
use std::sync::Arc;

/// An effect on the configuration that the host executes for the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationEffect {
    /// Apply and disseminate a commit. Only on voters, in the order of revisions; the host ignores commits that aren't newer
    /// than its configuration.
    Committed(Arc<Commit>),
    /// Make the configuration durable at this revision or a later one, then call [`ServerAgent::configuration_durable`].
    MakeDurable(Revision),
    /// Return the result of a request that was submitted here.
    Answered(ProposalResponse),
}

impl ServerAgent {
    /// Enables configuration changes by the group.
    pub fn with_configuration(mut self, settings: ConfigurationSettings) -> Self {
        self.configuration = Some(settings);
        if let Some(voter) = &mut self.voter {
            voter.set_configuration(settings);
        }
        self
    }

    /// Submits a request for a change. The result follows within 2 s as [`ConfigurationEffect::Answered`] with the same ticket.
    pub fn submit_change(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: ConfigurationRequest,
    ) -> Result<(), ConfigurationRejected> {
        if self.configuration.is_none() {
            return Err(ConfigurationRejected::Off);
        }
        self.proposal_client.submit(now, ticket, request)
    }

    /// Offers content from the host: its durable copy, its start file or a copy of a peer. The host calls this at the start,
    /// and when a peer sent newer content; commits in [`ConfigurationEffect::Committed`] are known here already.
    pub fn offer_configuration(&mut self, configuration: &Configuration) {
        if let Some(voter) = &mut self.voter {
            voter.offer_configuration(configuration);
        }
    }

    /// Records that the host's durable copy has this revision.
    pub fn configuration_durable(&mut self, revision: Revision) {
        if let Some(voter) = &mut self.voter {
            voter.configuration_durable(revision);
        }
    }

    /// Returns the replicated order of changes with its history, on a founded voter.
    pub fn replicated_configuration(&self) -> Option<&ReplicatedConfiguration> {
        self.founded_voter().map(|voter| &voter.state().configuration)
    }

    /// Returns the voter's copy of the content, if it has one.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.voter.as_ref().and_then(ConsensusVoter::configuration)
    }

    /// Sends requests that are due, and returns the results of those that timed out.
    pub(super) fn step_configuration_requests(&mut self, now: Time) {
        for OutgoingProposal { to, ticket, request } in self.proposal_client.due(now, &self.settings.voters) {
            if self.is_own_name(&to) {
                self.receive_configuration_request(now, &to, ticket, &request);
            } else {
                let request = Box::new(request);
                self.send(&to, &AgentMessage::ConfigurationRequest { ticket, request });
            }
        }
        for response in self.proposal_client.expired(now) {
            self.report_result(response);
        }
    }

    /// Handles a request for this voter, from this server or another.
    pub(super) fn receive_configuration_request(
        &mut self,
        now: Time,
        from: &Name,
        ticket: Ticket,
        request: &ConfigurationRequest,
    ) {
        let reply = match (&mut self.voter, self.configuration) {
            (None, _) => VoterReply::NotLeader(None),
            (Some(_), None) => VoterReply::Finished(Err(ConfigurationRejected::Off)),
            (Some(voter), Some(_)) => propose(voter, request),
        };
        if reply == VoterReply::Proposed {
            let request_id = request.proposal.request_id.clone();
            let waiter = CommitWaiter { request_id, server: Arc::clone(from), ticket, since: now };
            self.commit_waiters.add(waiter);
        }
        self.send_configuration_reply(now, from, ticket, reply);
    }

    fn send_configuration_reply(&mut self, now: Time, to: &Name, ticket: Ticket, reply: VoterReply) {
        if self.is_own_name(to) {
            self.receive_configuration_reply(now, ticket, reply);
        } else {
            self.send(to, &AgentMessage::ConfigurationReply { ticket, reply });
        }
    }

    /// Handles a voter's reply to a request of this server.
    pub(super) fn receive_configuration_reply(&mut self, now: Time, ticket: Ticket, reply: VoterReply) {
        let response = self.proposal_client.receive(now, ticket, reply, &self.settings.voters);
        if let Some(response) = response {
            self.report_result(response);
        }
    }

    fn report_result(&mut self, response: ProposalResponse) {
        self.effects.push(AgentEffect::Configuration(ConfigurationEffect::Answered(response)));
    }

    /// Handles a committed change: replies to the servers that wait for it, and passes it to the host.
    pub(super) fn configuration_committed(&mut self, now: Time, commit: Arc<Commit>) {
        for waiter in self.commit_waiters.committed(&commit.request_id) {
            let reply = VoterReply::Finished(Ok(commit.revision));
            self.send_configuration_reply(now, &waiter.server, waiter.ticket, reply);
        }
        self.effects.push(AgentEffect::Configuration(ConfigurationEffect::Committed(commit)));
    }
}

/// Passes a request to this voter and returns the reply to send.
fn propose(voter: &mut ConsensusVoter, request: &ConfigurationRequest) -> VoterReply {
    match voter.propose_configuration(request) {
        Ok(ProposalAccepted::Committed(revision)) => VoterReply::Finished(Ok(revision)),
        Ok(ProposalAccepted::Proposed(_)) => VoterReply::Proposed,
        Err(ProposalRejected::Rejected(reason)) => VoterReply::Finished(Err(reason)),
        Err(ProposalRejected::NotLeader(leader)) => {
            let voters = &voter.state().voters;
            VoterReply::NotLeader(leader.and_then(|leader| voters.get(&leader).cloned()))
        }
    }
}
