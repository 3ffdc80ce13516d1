//! Operators' requests about the committed configuration: changes proposed at this server, and its status.
//!
//! Owns [`PendingProposals`], the latest proposals at this server with their outcomes. The consensus group decides
//! about them, and each outcome is matched to its proposal by a ticket.

use super::{MS, Reducer};
use crate::configuration::{ConfigurationAdminRequest, ConfigurationAdminResponse};
use gradepin_admission::{Time, span_seconds};
use gradepin_config::admin::{AdminError, ApplyReply, ApplyRequest, StatusReply};
use gradepin_config::configuration::ProposalCheckError;
use gradepin_config::{Invalid, Name, Proposal, Revision};
use gradepin_coordination::configuration_log::{ConfigurationRejected, ConfigurationRequest};
use gradepin_coordination::proposal_client::ProposalResponse;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of proposals retained with their outcomes. Rejections are recorded nowhere else.
const MAX_PROPOSALS: usize = 256;
/// Advised wait before a retry if there are too many proposals, in milliseconds.
const BUSY_RETRY_AFTER_MS: u64 = 500;
/// Minimum time for which a proposal is retained. A pending one ends within 1.8 s and is therefore never dropped.
const MIN_PROPOSAL_AGE_NS: u64 = 10_000 * MS;

/// A change that was proposed at this server, pending or decided.
struct PendingProposal {
    ticket: u64,
    /// Id chosen by the author; a repeat has the same one.
    request_id: Name,
    /// Newest revision that this server knew when the change was first proposed ([`ConfigurationRequest::seen`]).
    seen: Revision,
    /// When the change was first proposed, in Unix milliseconds ([`ConfigurationRequest::requested_at_ms`]).
    requested_at_ms: u64,
    /// When the change was proposed or, once it is decided, when its outcome arrived.
    since: Time,
    /// `None` while the proposal is pending.
    outcome: Option<Result<Revision, AdminError>>,
    /// Whether the change had already been committed under the same request id.
    is_repeated: bool,
}

/// The latest changes proposed at this server, at most [`MAX_PROPOSALS`].
#[derive(Default)]
pub(super) struct PendingProposals {
    proposals: VecDeque<PendingProposal>,
    last_ticket: u64,
}

/// A proposal for the consensus group, with the ticket that identifies its outcome.
struct TicketedRequest {
    ticket: u64,
    request: ConfigurationRequest,
}

impl PendingProposals {
    /// Records the outcome of a proposal.
    pub(super) fn answered(&mut self, now: Time, response: ProposalResponse) {
        let proposal = self.proposals.iter_mut().find(|proposal| proposal.ticket == response.ticket);
        if let Some(proposal) = proposal {
            proposal.since = now;
            proposal.outcome = Some(response.result.map_err(admin_error));
        }
    }

    fn find(&self, request_id: &Name) -> Option<&PendingProposal> {
        self.proposals.iter().rev().find(|proposal| proposal.request_id == *request_id)
    }

    /// Adds a proposal under a new ticket. A repeat replaces the earlier proposal, and keeps its revision and request
    /// time. Returns an error if the table is full of proposals that are younger than [`MIN_PROPOSAL_AGE_NS`].
    fn add(
        &mut self,
        now: Time,
        proposal: Proposal,
        seen: Revision,
        requested_at_ms: u64,
    ) -> Result<TicketedRequest, AdminError> {
        let before = self.take(&proposal.request_id);
        let (seen, requested_at_ms, is_repeated) = match &before {
            Some(before) => {
                let was_committed = matches!(before.outcome, Some(Ok(_)));
                (before.seen, before.requested_at_ms, before.is_repeated || was_committed)
            }
            None => (seen, requested_at_ms, false),
        };
        self.drop_oldest_if_full(now)?;
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.proposals.push_back(PendingProposal {
            ticket,
            request_id: Arc::clone(&proposal.request_id),
            seen,
            requested_at_ms,
            since: now,
            outcome: None,
            is_repeated,
        });
        let request = ConfigurationRequest { proposal, seen, requested_at_ms };
        Ok(TicketedRequest { ticket, request })
    }

    fn take(&mut self, request_id: &Name) -> Option<PendingProposal> {
        let index = self.proposals.iter().position(|proposal| proposal.request_id == *request_id)?;
        self.proposals.remove(index)
    }

    fn drop_oldest_if_full(&mut self, now: Time) -> Result<(), AdminError> {
        if self.proposals.len() < MAX_PROPOSALS {
            return Ok(());
        }
        let is_young =
            |proposal: &PendingProposal| now.0.saturating_sub(proposal.since.0) < MIN_PROPOSAL_AGE_NS;
        if self.proposals.front().is_some_and(is_young) {
            return Err(AdminError::TooBusy { retry_ms: BUSY_RETRY_AFTER_MS });
        }
        self.proposals.pop_front();
        Ok(())
    }

    fn remove(&mut self, ticket: u64) {
        self.proposals.retain(|proposal| proposal.ticket != ticket);
    }
}

/// Converts the rejection of a proposal to the error that an operator gets.
fn admin_error(rejected: ConfigurationRejected) -> AdminError {
    match rejected {
        ConfigurationRejected::Moved { expected, in_force } => AdminError::Stale { expected, in_force },
        ConfigurationRejected::Invalid(invalid) => AdminError::Invalid(invalid),
        ConfigurationRejected::TooLong { limit, got } => {
            let expected = format!("at most {limit} bytes");
            AdminError::Invalid(Invalid::new("transaction", expected, format!("{got} bytes")))
        }
        ConfigurationRejected::Busy | ConfigurationRejected::Behind { .. } => {
            AdminError::TooBusy { retry_ms: BUSY_RETRY_AFTER_MS }
        }
        ConfigurationRejected::NoLeader
        | ConfigurationRejected::NoVoter
        | ConfigurationRejected::Unconfirmed => AdminError::NoLeader { reason: rejected.to_string() },
        ConfigurationRejected::Forgotten { .. } => AdminError::BadCall { reason: rejected.to_string() },
        ConfigurationRejected::Off => AdminError::Off,
    }
}

impl Reducer {
    /// Answers an operator's request about the configuration. A proposal is answered as pending; its outcome is queried
    /// with [`ConfigurationAdminRequest::RequestStatus`].
    pub(super) fn configuration_request(
        &mut self,
        request: ConfigurationAdminRequest,
    ) -> ConfigurationAdminResponse {
        if self.configuration.service.is_none() {
            return ConfigurationAdminResponse::Rejected(AdminError::Off);
        }
        let reply = match request {
            ConfigurationAdminRequest::Status => return self.configuration_status(),
            ConfigurationAdminRequest::RequestStatus(request_id) => self.proposal_status(request_id),
            ConfigurationAdminRequest::Apply(request) if request.dry_run => self.dry_run(&request.proposal),
            ConfigurationAdminRequest::Apply(request) => self.propose(*request),
        };
        reply.map_or_else(ConfigurationAdminResponse::Rejected, ConfigurationAdminResponse::Apply)
    }

    fn proposal_status(&self, request_id: Name) -> Result<ApplyReply, AdminError> {
        let service = self.configuration.service.as_ref().ok_or(AdminError::Off)?;
        let Some(proposal) = service.proposals.find(&request_id) else {
            return Err(AdminError::UnknownRequest { request_id });
        };
        match &proposal.outcome {
            None => Ok(ApplyReply::Pending { request_id }),
            Some(Ok(revision)) => {
                Ok(ApplyReply::Committed { revision: *revision, repeated: proposal.is_repeated })
            }
            Some(Err(error)) => Err(error.clone()),
        }
    }

    /// Validates a proposal against the state in force, without proposing it.
    fn dry_run(&self, proposal: &Proposal) -> Result<ApplyReply, AdminError> {
        let service = self.configuration.service.as_ref().ok_or(AdminError::Off)?;
        service.in_force.check_proposal(proposal).map_err(|rejected| match rejected {
            ProposalCheckError::Stale { expected, in_force } => AdminError::Stale { expected, in_force },
            ProposalCheckError::Invalid(invalid) => AdminError::Invalid(invalid),
        })?;
        let changes = u32::try_from(proposal.transaction.changes.len()).unwrap_or(u32::MAX);
        Ok(ApplyReply::Valid { against: service.in_force.revision(), changes })
    }

    fn propose(&mut self, request: ApplyRequest) -> Result<ApplyReply, AdminError> {
        let (now, unix_ms) = (self.timestamp.now, self.wall_unix_ms);
        let service = self.configuration.service.as_mut().ok_or(AdminError::Off)?;
        let agent = self.agreements.agent.as_mut().ok_or(AdminError::Off)?;
        let request_id = Arc::clone(&request.proposal.request_id);
        let seen = service.dissemination.state().revision();
        let TicketedRequest { ticket, request } =
            service.proposals.add(now, request.proposal, seen, unix_ms)?;
        if let Err(rejected) = agent.submit_change(now, ticket, request) {
            service.proposals.remove(ticket);
            return Err(admin_error(rejected));
        }
        Ok(ApplyReply::Pending { request_id })
    }

    fn configuration_status(&self) -> ConfigurationAdminResponse {
        let now = self.timestamp.now;
        let Some(service) = &self.configuration.service else {
            return ConfigurationAdminResponse::Rejected(AdminError::Off);
        };
        let spread = service.dissemination.status();
        let cannot_apply = service.failure.as_ref().map(|failure| failure.reason.clone());
        let invalid = spread.cannot_apply.map(|revision| format!("revision {revision} is not valid here"));
        let newest = spread.newest.unwrap_or_default().max(spread.version.revision);
        let status = StatusReply {
            server: Some(Arc::clone(&service.start.own.name)),
            revision: service.in_force.revision(),
            digest: service.in_force.digest().to_string(),
            newest,
            leader: self.agreements.agent.as_ref().and_then(|agent| agent.status(now).leader),
            age_s: Some(span_seconds(service.age(now))),
            stale: service.is_stale(now),
            source: service.source,
            cannot_apply: cannot_apply.or(invalid),
            ..StatusReply::default()
        };
        ConfigurationAdminResponse::Status(Box::new(status))
    }
}
