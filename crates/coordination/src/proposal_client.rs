//! Client for configuration changes submitted at this server: sends each request to a voter, retries it at the next one, and
//! returns its result. On a voter, [`CommitWaiters`] records the servers that wait for the commit of a request.
//!
//! Invariant: each request gets one result within [`PROPOSAL_TIMEOUT`]. Requests are idempotent by their request ids.

use crate::configuration_log::{ConfigurationRejected, ConfigurationRequest};
use crate::ids::{Name, Ticket};
use gradepin_admission::{Span, Time, time_after};
use gradepin_config::change::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const NANOS_PER_MS: u64 = 1_000_000;
/// Maximum time until a request has a result. Callers are promised one within 2 s.
pub const PROPOSAL_TIMEOUT: Span = Span(1_800 * NANOS_PER_MS);
/// Time to wait for a reply before the next voter is asked. A commit takes two disk writes and a round trip.
const REPLY_TIMEOUT: Span = Span(350 * NANOS_PER_MS);
/// Delay before the next voter is asked after a reply that no leader is known. An election takes one to two seconds.
const NO_LEADER_DELAY: Span = Span(150 * NANOS_PER_MS);
/// Maximum requests in flight; bounds memory, as each holds a transaction.
const MAX_REQUESTS: usize = 64;
/// Maximum requests of servers that wait for a commit at one voter.
const MAX_COMMIT_WAITERS: usize = 4 * MAX_REQUESTS;

/// Result of a request: the committed revision, or why it wasn't committed.
pub type ProposalResult = Result<Revision, ConfigurationRejected>;

/// A voter's reply to a request for a configuration change. The order of variants is the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterReply {
    /// The voter doesn't lead; names the leader if it is known.
    NotLeader(Option<Name>),
    /// The leader proposed the change; the result follows in another reply.
    Proposed,
    /// Final result of the request.
    Finished(ProposalResult),
}

/// The result of a request, for its submitter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposalResponse {
    /// Ticket under which the request was submitted.
    pub ticket: Ticket,
    /// Committed revision, or why the change wasn't committed.
    pub result: ProposalResult,
}

/// A request to send to a voter.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingProposal {
    /// Name of the voter.
    pub to: Name,
    /// Ticket of the request, which the reply repeats.
    pub ticket: Ticket,
    /// Request to send, the same on each retry.
    pub request: ConfigurationRequest,
}

/// A request in flight.
#[derive(Debug)]
struct PendingRequest {
    request: ConfigurationRequest,
    submitted_at: Time,
    next_send: Time,
    /// Index of the voter to ask next, modulo the number of voters.
    target: usize,
    /// Result to return if none is received in time.
    result_on_timeout: ConfigurationRejected,
}

impl PendingRequest {
    fn expires_at(&self) -> Time {
        time_after(self.submitted_at, PROPOSAL_TIMEOUT)
    }
}

/// The requests in flight of one server, at most [`MAX_REQUESTS`].
#[derive(Debug, Default)]
pub struct ProposalClient {
    pending: BTreeMap<Ticket, PendingRequest>,
}

impl ProposalClient {
    /// Submits a request. [`ProposalClient::receive`] or [`ProposalClient::expired`] returns its result.
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

    /// Returns the requests to send now.
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

    /// Removes requests that timed out and returns their results.
    pub fn expired(&mut self, now: Time) -> Vec<ProposalResponse> {
        let expired = self.pending.extract_if(.., |_, pending| now >= pending.expires_at());
        let response = |(ticket, pending): (Ticket, PendingRequest)| ProposalResponse {
            ticket,
            result: Err(pending.result_on_timeout),
        };
        expired.map(response).collect()
    }

    /// Handles a voter's reply; returns the result of the request if the reply is final.
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
                // A request that a leader proposed may be committed although no leader is known now.
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

    /// Time at which [`ProposalClient::due`] or [`ProposalClient::expired`] has something to return.
    pub fn wake_at(&self) -> Option<Time> {
        self.pending.values().map(|pending| pending.next_send.min(pending.expires_at())).min()
    }
}

/// The servers that wait at this voter for the commit of a request, at most [`MAX_COMMIT_WAITERS`].
#[derive(Debug, Default)]
pub struct CommitWaiters {
    waiters: Vec<CommitWaiter>,
}

/// A server that waits for the commit of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitWaiter {
    /// Id of the request, as the commit has it.
    pub request_id: Name,
    /// Name of the server.
    pub server: Name,
    /// Ticket of the request at that server.
    pub ticket: Ticket,
    /// Time at which the request arrived; older than [`PROPOSAL_TIMEOUT`] it is forgotten.
    pub since: Time,
}

impl CommitWaiter {
    fn is_same_request(&self, other: &Self) -> bool {
        self.server == other.server && self.ticket == other.ticket
    }
}

impl CommitWaiters {
    /// Adds a waiter. At [`MAX_COMMIT_WAITERS`] the oldest is dropped; its server retries.
    pub fn add(&mut self, waiter: CommitWaiter) {
        let oldest_since = Time(waiter.since.0.saturating_sub(PROPOSAL_TIMEOUT.0));
        self.waiters.retain(|other| !other.is_same_request(&waiter) && other.since >= oldest_since);
        if self.waiters.len() >= MAX_COMMIT_WAITERS {
            self.waiters.remove(0);
        }
        self.waiters.push(waiter);
    }

    /// Removes and returns the waiters of a request that was committed.
    pub fn committed(&mut self, request_id: &str) -> Vec<CommitWaiter> {
        self.waiters.extract_if(.., |waiter| &*waiter.request_id == request_id).collect()
    }
}
