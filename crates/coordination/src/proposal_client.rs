//! Requests for configuration changes that were handed in at this server: which voter each is sent to, when it is sent to the
//! next one, and what it is answered at the latest.
//!
//! Invariant: each request is answered once, within [`PROPOSAL_TIMEOUT`]. Sending a request again is safe by its id.

use crate::configuration_log::{ConfigurationRejected, ConfigurationRequest};
use crate::replicated_state::Name;
use gradepin_admission::{Span, Time, time_after};
use gradepin_config::change::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MS: u64 = 1_000_000;
/// A request is answered after so long whatever happens: inside the 2 s that its caller is promised.
pub const PROPOSAL_TIMEOUT: Span = Span(1_800 * MS);
/// A voter that doesn't answer is passed over for the next after this. A commit takes two writes and a round trip.
const AGAIN: Span = Span(350 * MS);
/// Before another voter is asked because one knows no leader: an election takes a second or two.
const LEADERLESS: Span = Span(150 * MS);
/// Requests under way at the most; each holds at most one transaction.
const MAX_REQUESTS: usize = 64;

/// What a request came to.
pub type ProposalResult = Result<Revision, ConfigurationRejected>;

/// What a voter says to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterReply {
    /// This voter leads; nobody, if none is known.
    NotLeader(Option<Name>),
    /// It is proposed; what it came to follows.
    Proposed,
    /// What it came to.
    Finished(ProposalResult),
}

/// An answer to whoever handed a request in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposalResponse {
    /// The ticket under which it was handed in.
    pub ticket: u64,
    /// What it came to.
    pub answer: ProposalResult,
}

/// A request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingProposal {
    /// To which voter.
    pub to: Name,
    /// Under which ticket.
    pub ticket: u64,
    /// What.
    pub request: ConfigurationRequest,
}

#[derive(Debug)]
struct Waiting {
    request: ConfigurationRequest,
    since: Time,
    next: Time,
    turn: usize,
    /// What it is answered if nothing better is heard in time.
    otherwise: ConfigurationRejected,
}

/// The requests of one server.
#[derive(Debug, Default)]
pub struct ProposalClient {
    waiting: BTreeMap<u64, Waiting>,
}

impl ProposalClient {
    /// Takes a request under a ticket; its answer comes from [`ProposalClient::answered`] or [`ProposalClient::expired`].
    pub fn ask(
        &mut self,
        now: Time,
        ticket: u64,
        request: ConfigurationRequest,
    ) -> Result<(), ConfigurationRejected> {
        if self.waiting.len() >= MAX_REQUESTS {
            return Err(ConfigurationRejected::Busy);
        }
        let otherwise = ConfigurationRejected::NoVoter;
        self.waiting.insert(ticket, Waiting { request, since: now, next: now, turn: 0, otherwise });
        Ok(())
    }

    /// Requests that are due to be sent.
    pub fn due(&mut self, now: Time, voters: &[Name]) -> Vec<OutgoingProposal> {
        if voters.is_empty() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (ticket, waiting) in self.waiting.iter_mut().filter(|(_, waiting)| now >= waiting.next) {
            let to = voters[waiting.turn % voters.len()].clone();
            waiting.turn += 1;
            waiting.next = time_after(now, AGAIN);
            due.push(OutgoingProposal { to, ticket: *ticket, request: waiting.request.clone() });
        }
        due
    }

    /// Requests whose time is up.
    pub fn expired(&mut self, now: Time) -> Vec<ProposalResponse> {
        let over =
            self.waiting.extract_if(.., |_, waiting| now >= time_after(waiting.since, PROPOSAL_TIMEOUT));
        over.map(|(ticket, waiting)| ProposalResponse { ticket, answer: Err(waiting.otherwise) }).collect()
    }

    /// A voter answered.
    pub fn answered(
        &mut self,
        now: Time,
        ticket: u64,
        answer: VoterReply,
        voters: &[Name],
    ) -> Option<ProposalResponse> {
        let waiting = self.waiting.get_mut(&ticket)?;
        match answer {
            VoterReply::Finished(answer) => {
                self.waiting.remove(&ticket);
                return Some(ProposalResponse { ticket, answer });
            }
            VoterReply::Proposed => waiting.otherwise = ConfigurationRejected::Unconfirmed,
            VoterReply::NotLeader(leader) => {
                // Once a leader took it, that nobody leads now doesn't say that it won't be committed.
                if waiting.otherwise == ConfigurationRejected::NoVoter {
                    waiting.otherwise = ConfigurationRejected::NoLeader;
                }
                match leader.and_then(|leader| voters.iter().position(|voter| *voter == leader)) {
                    Some(place) => (waiting.turn, waiting.next) = (place, now),
                    None => waiting.next = time_after(now, LEADERLESS),
                }
            }
        }
        None
    }

    /// When [`ProposalClient::due`] or [`ProposalClient::expired`] has something.
    pub fn wake_at(&self) -> Option<Time> {
        self.waiting
            .values()
            .map(|waiting| waiting.next.min(time_after(waiting.since, PROPOSAL_TIMEOUT)))
            .min()
    }
}

/// Those who wait at a voter for the commit of a request id.
#[derive(Debug, Default)]
pub struct Waiters {
    waiting: Vec<Waiter>,
}

/// Who waits for a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// The request id.
    pub request_id: Name,
    /// Which server.
    pub server: Name,
    /// Its ticket.
    pub ticket: u64,
    /// Since when.
    pub since: Time,
}

impl Waiters {
    /// Somebody waits. Past [`MAX_REQUESTS`] a server the oldest gives way: it asks again by itself.
    pub fn wait(&mut self, waiter: Waiter) {
        let same = |other: &Waiter| other.server == waiter.server && other.ticket == waiter.ticket;
        self.waiting.retain(|other| {
            !same(other) && other.since >= Time(waiter.since.0.saturating_sub(PROPOSAL_TIMEOUT.0))
        });
        if self.waiting.len() >= 4 * MAX_REQUESTS {
            self.waiting.remove(0);
        }
        self.waiting.push(waiter);
    }

    /// A request id was committed: who waited for it.
    pub fn committed(&mut self, request_id: &str) -> Vec<Waiter> {
        self.waiting.extract_if(.., |waiter| &*waiter.request_id == request_id).collect()
    }
}
