//! Operators' calls about the configuration: changes that are handed in here, and how it stands.

use super::{MS, Reducer};
use crate::configuration::{ConfigurationAdminRequest, ConfigurationAdminResponse};
use gradepin_admission::{Time, span_seconds};
use gradepin_config::admin::{AdminError, ApplyReply, ApplyRequest, StatusReply};
use gradepin_config::configuration::CommitRejected;
use gradepin_config::{Invalid, Name, Proposal, Revision};
use gradepin_coordination::configuration_log::{ConfigurationRejected, ConfigurationRequest};
use gradepin_coordination::proposal_client::ProposalResponse;
use std::collections::VecDeque;
use std::sync::Arc;

/// Requests whose end is remembered here; refusals are remembered nowhere else.
const MOST_REQUESTS: usize = 256;
/// What a caller is told to wait when there are too many.
const BUSY_MS: u64 = 500;
/// A request that is under way stays so for 1.8 s at the most, and is never forgotten before.
const LEAST_KEPT: u64 = 10_000 * MS;

/// A request that was handed in here.
struct Known {
    ticket: u64,
    request_id: Name,
    /// See [`ConfigurationRequest::seen`] and [`ConfigurationRequest::requested_at_ms`].
    seen: Revision,
    asked_at_ms: u64,
    since: Time,
    /// What it came to, once it has.
    end: Option<Result<Revision, AdminError>>,
    repeated: bool,
}

/// The requests that were handed in here, the latest ones.
#[derive(Default)]
pub(super) struct Requests {
    known: VecDeque<Known>,
    tickets: u64,
}

impl Requests {
    /// What a request came to.
    pub(super) fn answered(&mut self, now: Time, answered: ProposalResponse) {
        if let Some(known) = self.known.iter_mut().find(|known| known.ticket == answered.ticket) {
            known.since = now;
            known.end = Some(answered.result.map_err(refusal));
        }
    }

    fn find(&self, request_id: &Name) -> Option<&Known> {
        self.known.iter().rev().find(|known| known.request_id == *request_id)
    }

    /// Takes a request in, under a ticket; refused if too many are too young to be forgotten.
    fn take(
        &mut self,
        now: Time,
        proposal: Proposal,
        seen: Revision,
        asked_at_ms: u64,
    ) -> Result<(u64, ConfigurationRequest), AdminError> {
        let before = self.known.iter().position(|known| known.request_id == proposal.request_id);
        let before = before.and_then(|place| self.known.remove(place));
        let repeated =
            before.as_ref().is_some_and(|known| known.repeated || matches!(known.end, Some(Ok(_))));
        let (seen, asked_at_ms) =
            before.map_or((seen, asked_at_ms), |before| (before.seen, before.asked_at_ms));
        if self.known.len() >= MOST_REQUESTS {
            let young = |known: &Known| now.0.saturating_sub(known.since.0) < LEAST_KEPT;
            if self.known.front().is_some_and(young) {
                return Err(AdminError::TooBusy { retry_ms: BUSY_MS });
            }
            self.known.pop_front();
        }
        self.tickets += 1;
        let request_id = Arc::clone(&proposal.request_id);
        let ticket = self.tickets;
        self.known.push_back(Known {
            ticket,
            request_id,
            seen,
            asked_at_ms,
            since: now,
            end: None,
            repeated,
        });
        Ok((ticket, ConfigurationRequest { proposal, seen, requested_at_ms: asked_at_ms }))
    }

    fn forget(&mut self, ticket: u64) {
        self.known.retain(|known| known.ticket != ticket);
    }
}

/// What a caller is told of a refused proposal.
fn refusal(why: ConfigurationRejected) -> AdminError {
    match why {
        ConfigurationRejected::Moved { expected, in_force } => AdminError::Stale { expected, in_force },
        ConfigurationRejected::Invalid(invalid) => AdminError::Invalid(invalid),
        ConfigurationRejected::TooLong { limit, got: came } => {
            let expected = format!("at most {limit} bytes");
            AdminError::Invalid(Invalid::new("transaction", expected, format!("{came} bytes")))
        }
        ConfigurationRejected::Busy | ConfigurationRejected::Behind { .. } => {
            AdminError::TooBusy { retry_ms: BUSY_MS }
        }
        ConfigurationRejected::NoLeader
        | ConfigurationRejected::NoVoter
        | ConfigurationRejected::Unconfirmed => AdminError::NoLeader { reason: why.to_string() },
        ConfigurationRejected::Forgotten { .. } => AdminError::BadCall { reason: why.to_string() },
        ConfigurationRejected::Off => AdminError::Off,
    }
}

impl Reducer {
    /// An operator's call about the configuration.
    pub(super) fn configuration_call(
        &mut self,
        call: ConfigurationAdminRequest,
    ) -> ConfigurationAdminResponse {
        if self.committed.0.is_none() {
            return ConfigurationAdminResponse::Rejected(AdminError::Off);
        }
        let answer = match call {
            ConfigurationAdminRequest::Status => return self.configuration_status(),
            ConfigurationAdminRequest::RequestStatus(request_id) => self.request_became(request_id),
            ConfigurationAdminRequest::Apply(request) if request.dry_run => {
                self.check_request(&request.proposal)
            }
            ConfigurationAdminRequest::Apply(request) => self.propose(*request),
        };
        answer.map_or_else(ConfigurationAdminResponse::Rejected, ConfigurationAdminResponse::Apply)
    }

    fn request_became(&self, request_id: Name) -> Result<ApplyReply, AdminError> {
        let service = self.committed.0.as_ref().ok_or(AdminError::Off)?;
        match service.requests.find(&request_id) {
            None => Err(AdminError::UnknownRequest { request_id }),
            Some(known) => match &known.end {
                None => Ok(ApplyReply::Pending { request_id }),
                Some(Ok(revision)) => {
                    Ok(ApplyReply::Committed { revision: *revision, repeated: known.repeated })
                }
                Some(Err(refusal)) => Err(refusal.clone()),
            },
        }
    }

    fn check_request(&self, proposal: &Proposal) -> Result<ApplyReply, AdminError> {
        let service = self.committed.0.as_ref().ok_or(AdminError::Off)?;
        service.in_force.check(proposal).map_err(|refused| match refused {
            CommitRejected::Moved { expected, in_force } => AdminError::Stale { expected, in_force },
            CommitRejected::Invalid(invalid) => AdminError::Invalid(invalid),
        })?;
        let changes = u32::try_from(proposal.transaction.changes.len()).unwrap_or(u32::MAX);
        Ok(ApplyReply::Valid { against: service.in_force.revision(), changes })
    }

    fn propose(&mut self, request: ApplyRequest) -> Result<ApplyReply, AdminError> {
        let (now, unix_ms) = (self.moment.now, self.moment.unix_ms);
        let service = self.committed.0.as_mut().ok_or(AdminError::Off)?;
        let part = self.agreed.part.as_mut().ok_or(AdminError::Off)?;
        let request_id = Arc::clone(&request.proposal.request_id);
        let seen = service.spread.state().revision();
        let (ticket, request) = service.requests.take(now, request.proposal, seen, unix_ms)?;
        if let Err(why) = part.submit_change(now, ticket, request) {
            service.requests.forget(ticket);
            return Err(refusal(why));
        }
        Ok(ApplyReply::Pending { request_id })
    }

    fn configuration_status(&self) -> ConfigurationAdminResponse {
        let now = self.moment.now;
        let Some(service) = &self.committed.0 else {
            return ConfigurationAdminResponse::Rejected(AdminError::Off);
        };
        let spread = service.spread.status();
        let cannot_apply = service.stuck.as_ref().map(|(why, _)| why.clone());
        let refused = spread.cannot_apply.map(|revision| format!("revision {revision} is not valid here"));
        let newest = spread.newest.unwrap_or_default().max(spread.version.revision);
        let status = StatusReply {
            server: Some(Arc::clone(&service.start.own.name)),
            revision: service.in_force.revision(),
            digest: service.in_force.digest().to_string(),
            newest,
            leader: self.agreed.part.as_ref().and_then(|part| part.status(now).leader),
            age_s: Some(span_seconds(service.age(now))),
            stale: service.is_stale(now),
            source: service.source,
            cannot_apply: cannot_apply.or(refused),
            ..StatusReply::default()
        };
        ConfigurationAdminResponse::Status(Box::new(status))
    }
}
