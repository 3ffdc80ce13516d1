//! Requests for configuration changes that were submitted at this server: which voter gets each, when it is retried at the
//! next one, and its result; on a voter, who waits for the commit of a request id.
//!
//! Invariant: each request has one result, within [`PROPOSAL_TIMEOUT`]. Requests are idempotent by their ids.

use crate::configuration_log::{ConfigurationRejected, ConfigurationRequest};
use crate::ids::{Name, Ticket};
use gradepin_admission::{Span, Time, time_after};
use gradepin_config::change::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const NANOS_PER_MS: u64 = 1_000_000;
/// Each request has a result by then: within the 2 s that its caller is promised.
pub const PROPOSAL_TIMEOUT: Span = Span(1_800 * NANOS_PER_MS);
/// Without a reply within this the next voter is asked. A commit takes two writes and a round trip.
const REPLY_TIMEOUT: Span = Span(350 * NANOS_PER_MS);
/// Before another voter is asked where one knows no leader: an election takes a second or two.
const NO_LEADER_DELAY: Span = Span(150 * NANOS_PER_MS);
/// Requests in flight at most; each has one transaction.
const MAX_REQUESTS: usize = 64;
/// Servers that wait at a voter at most.
const MAX_COMMIT_WAITERS: usize = 4 * MAX_REQUESTS;

/// The result of a request.
pub type ProposalResult = Result<Revision, ConfigurationRejected>;

/// A voter's reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterReply {
    /// Another voter leads: this one, if it is known.
    NotLeader(Option<Name>),
    /// It is proposed; the result follows.
    Proposed,
    /// Its result.
    Finished(ProposalResult),
}

/// The result of a request, for whoever submitted it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposalResponse {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// Its result.
    pub result: ProposalResult,
}

/// A request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingProposal {
    /// The voter.
    pub to: Name,
    /// Its ticket.
    pub ticket: Ticket,
    /// The request.
    pub request: ConfigurationRequest,
}

/// A request in flight.
#[derive(Debug)]
struct PendingRequest {
    request: ConfigurationRequest,
    submitted_at: Time,
    next_send: Time,
    /// The position of the voter that is asked next, modulo their number.
    target: usize,
    /// Its result if no other is received in time.
    result_on_timeout: ConfigurationRejected,
}

impl PendingRequest {
    fn expires_at(&self) -> Time {
        time_after(self.submitted_at, PROPOSAL_TIMEOUT)
    }
}

/// The requests of one server, at most [`MAX_REQUESTS`].
#[derive(Debug, Default)]
pub struct ProposalClient {
    pending: BTreeMap<Ticket, PendingRequest>,
}

impl ProposalClient {
    /// Submits a request; its result comes from [`ProposalClient::receive`] or [`ProposalClient::expired`].
    pub fn submit(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: ConfigurationRequest,
    ) -> Result<(), ConfigurationRejected> {
        if self.pending.len() >= MAX_REQUESTS {
            return Err(ConfigurationRejected::Busy);
        }
        let pending = PendingRequest {
            request,
            submitted_at: now,
            next_send: now,
            target: 0,
            result_on_timeout: ConfigurationRejected::NoVoter,
        };
        self.pending.insert(ticket, pending);
        Ok(())
    }

    /// Requests that are due to be sent.
    pub fn due(&mut self, now: Time, voters: &[Name]) -> Vec<OutgoingProposal> {
        if voters.is_empty() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (ticket, pending) in self.pending.iter_mut().filter(|(_, pending)| now >= pending.next_send) {
            let to = voters[pending.target % voters.len()].clone();
            pending.target += 1;
            pending.next_send = time_after(now, REPLY_TIMEOUT);
            due.push(OutgoingProposal { to, ticket: *ticket, request: pending.request.clone() });
        }
        due
    }

    /// The results of requests that time out.
    pub fn expired(&mut self, now: Time) -> Vec<ProposalResponse> {
        let expired = self.pending.extract_if(.., |_, pending| now >= pending.expires_at());
        let response = |(ticket, pending): (Ticket, PendingRequest)| ProposalResponse {
            ticket,
            result: Err(pending.result_on_timeout),
        };
        expired.map(response).collect()
    }

    /// Receives a voter's reply; the result of the request, if that is it.
    pub fn receive(
        &mut self,
        now: Time,
        ticket: Ticket,
        reply: VoterReply,
        voters: &[Name],
    ) -> Option<ProposalResponse> {
        let pending = self.pending.get_mut(&ticket)?;
        match reply {
            VoterReply::Finished(result) => {
                self.pending.remove(&ticket);
                return Some(ProposalResponse { ticket, result });
            }
            VoterReply::Proposed => pending.result_on_timeout = ConfigurationRejected::Unconfirmed,
            VoterReply::NotLeader(leader) => {
                // Once a leader proposed it, it may be committed though no leader is known now.
                if pending.result_on_timeout == ConfigurationRejected::NoVoter {
                    pending.result_on_timeout = ConfigurationRejected::NoLeader;
                }
                match leader.and_then(|leader| voters.iter().position(|voter| *voter == leader)) {
                    Some(position) => {
                        pending.target = position;
                        pending.next_send = now;
                    }
                    None => pending.next_send = time_after(now, NO_LEADER_DELAY),
                }
            }
        }
        None
    }

    /// When [`ProposalClient::due`] or [`ProposalClient::expired`] has something.
    pub fn wake_at(&self) -> Option<Time> {
        self.pending.values().map(|pending| pending.next_send.min(pending.expires_at())).min()
    }
}

/// The servers that wait at a voter for the commit of a request id, at most [`MAX_COMMIT_WAITERS`].
#[derive(Debug, Default)]
pub struct CommitWaiters {
    waiters: Vec<CommitWaiter>,
}

/// A server that waits for the commit of a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitWaiter {
    /// The request id.
    pub request_id: Name,
    /// The server.
    pub server: Name,
    /// The server's ticket of the request.
    pub ticket: Ticket,
    /// Since when it waits.
    pub since: Time,
}

impl CommitWaiter {
    fn is_same_request(&self, other: &Self) -> bool {
        self.server == other.server && self.ticket == other.ticket
    }
}

impl CommitWaiters {
    /// Adds a waiter. At [`MAX_COMMIT_WAITERS`] the oldest is dropped: its server retries by itself.
    pub fn add(&mut self, waiter: CommitWaiter) {
        let oldest_since = Time(waiter.since.0.saturating_sub(PROPOSAL_TIMEOUT.0));
        self.waiters.retain(|other| !other.is_same_request(&waiter) && other.since >= oldest_since);
        if self.waiters.len() >= MAX_COMMIT_WAITERS {
            self.waiters.remove(0);
        }
        self.waiters.push(waiter);
    }

    /// Removes and returns those that wait for a request id that was committed.
    pub fn committed(&mut self, request_id: &str) -> Vec<CommitWaiter> {
        self.waiters.extract_if(.., |waiter| &*waiter.request_id == request_id).collect()
    }
}
