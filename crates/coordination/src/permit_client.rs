//! The permit client of one server: chooses the voter to ask, retries, and computes when a grant to begin expires.
//!
//! Input: the requested action, replies, and time. Output: requests and [`ClientEvent`]s. Invariant: the right to begin counts
//! from the time at which the granted request was sent, on this server's own clock. So a server that was suspended between the
//! reply and the outage finds its right expired.

use crate::ids::{Epoch, Name, Ticket};
use crate::messages::{BEGIN_TIMEOUT, PermitAction, PermitReply, PermitRequest};
use crate::replicated_state::DenialReason;
use gradepin_admission::{Span, Time, span_seconds, time_after};
use std::collections::VecDeque;
use std::sync::Arc;

const NANOS_PER_MS: u64 = 1_000_000;
/// Time to wait for a reply before the next voter is asked.
const REPLY_TIMEOUT: Span = Span(400 * NANOS_PER_MS);
/// Delay of the retry after a reply to wait.
const RETRY_AFTER: Span = Span(1_000 * NANOS_PER_MS);
/// Delay of a request that was redirected to the leader.
const REDIRECT_DELAY: Span = Span(50 * NANOS_PER_MS);
/// Maximum requests in flight; replies to older ones are ignored.
const MAX_SENT_REQUESTS: usize = 8;

/// Event that a reply causes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientEvent {
    /// The request isn't granted yet.
    Nothing,
    /// The server may begin its outage.
    MayBegin {
        /// Epoch of the permit.
        epoch: Epoch,
        /// End of the right to begin, on this server's clock.
        expires_at: Time,
    },
    /// The permit has ended before it was begun, and the outage may not begin.
    Stale {
        /// Epoch of the permit.
        epoch: Epoch,
    },
}

/// A permit request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// Name of the voter to ask.
    pub to: Name,
    /// Request with a fresh number.
    pub request: PermitRequest,
}

/// A request that isn't granted yet, for the status.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingRequest {
    /// Time since the request was made, in seconds.
    pub waiting_s: f64,
    /// Reason in the last reply, or that there was none.
    pub reason: String,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    number: Ticket,
    sent_at: Time,
}

#[derive(Debug, Clone)]
struct CurrentRequest {
    action: PermitAction,
    since: Time,
    next_request: Time,
    /// The latest requests in flight, at most [`MAX_SENT_REQUESTS`].
    sent: VecDeque<SentRequest>,
    /// Why the request isn't granted yet.
    reason: String,
}

impl CurrentRequest {
    fn retry_at(&mut self, at: Time) {
        self.sent.clear();
        self.next_request = at;
    }
}

/// The permit client of one server; it requests one action at a time.
#[derive(Debug)]
pub struct PermitClient {
    voters: Vec<Name>,
    /// Index of the voter to ask, modulo the number of voters.
    target: usize,
    current: Option<CurrentRequest>,
    last_number: Ticket,
}

impl PermitClient {
    /// Creates a client that asks these voters. Requests get numbers above `last_number`, which must exceed the numbers of all
    /// earlier incarnations.
    pub fn new(voters: Vec<Name>, last_number: Ticket) -> Self {
        Self { voters, target: 0, current: None, last_number }
    }

    /// Replaces the voters that may be asked; an empty list is ignored.
    pub fn set_voters(&mut self, voters: Vec<Name>) {
        if !voters.is_empty() && voters != self.voters {
            self.voters = voters;
            self.target = 0;
        }
    }

    /// Requests an action until it is granted, replacing any other; the same action keeps its waiting time.
    pub fn request(&mut self, now: Time, action: PermitAction) {
        if self.current.as_ref().is_some_and(|current| current.action == action) {
            return;
        }
        let reason = "no voter of the council has replied yet".to_string();
        self.current =
            Some(CurrentRequest { action, since: now, next_request: now, sent: VecDeque::new(), reason });
    }

    /// Drops the current request; late replies to it are ignored.
    pub fn stop(&mut self) {
        self.current = None;
    }

    /// Returns the action that is being requested.
    pub fn action(&self) -> Option<&PermitAction> {
        self.current.as_ref().map(|current| &current.action)
    }

    /// Returns the request that isn't granted yet, with its waiting time.
    pub fn waiting_request(&self, now: Time) -> Option<WaitingRequest> {
        let current = self.current.as_ref()?;
        let waiting_s = span_seconds(Span(now.0.saturating_sub(current.since.0)));
        Some(WaitingRequest { waiting_s, reason: current.reason.clone() })
    }

    /// Returns the request to send now, if one is due.
    pub fn step(&mut self, now: Time) -> Option<OutgoingRequest> {
        let current = self.current.as_mut().filter(|current| now >= current.next_request)?;
        if self.voters.is_empty() {
            return None;
        }
        if !current.sent.is_empty() {
            // The last request got no reply; another voter may be reachable.
            self.target += 1;
        }
        self.last_number += 1;
        current.next_request = time_after(now, REPLY_TIMEOUT);
        current.sent.push_back(SentRequest { number: self.last_number, sent_at: now });
        if current.sent.len() > MAX_SENT_REQUESTS {
            current.sent.pop_front();
        }
        let to = Arc::clone(&self.voters[self.target % self.voters.len()]);
        let request = PermitRequest { number: self.last_number, action: current.action.clone() };
        Some(OutgoingRequest { to, request })
    }

    /// Time at which [`PermitClient::step`] has a request to send.
    pub fn wake_at(&self) -> Option<Time> {
        self.current.as_ref().map(|current| current.next_request)
    }

    /// Handles a voter's reply to the request numbered `number`.
    pub fn receive(&mut self, now: Time, number: Ticket, reply: PermitReply) -> ClientEvent {
        let Some(current) = &mut self.current else { return ClientEvent::Nothing };
        // Ignore replies to requests of an earlier incarnation, and to requests no longer in flight.
        let Some(sent) = current.sent.iter().find(|sent| sent.number == number).copied() else {
            return ClientEvent::Nothing;
        };
        match reply {
            PermitReply::Redirect { leader } => self.redirect(now, leader),
            PermitReply::Wait(reason) => return self.wait(now, reason),
            PermitReply::Reserved { epoch } => {
                if current.action == PermitAction::Reserve {
                    current.action = PermitAction::Begin { epoch };
                    current.reason = format!("permit {epoch} is reserved");
                    current.retry_at(now);
                }
            }
            PermitReply::Begin { epoch } => {
                if current.action == (PermitAction::Begin { epoch }) {
                    self.current = None;
                    return ClientEvent::MayBegin {
                        epoch,
                        expires_at: time_after(sent.sent_at, BEGIN_TIMEOUT),
                    };
                }
            }
            PermitReply::Ended => {
                if matches!(current.action, PermitAction::Cancel { .. }) {
                    self.current = None;
                }
            }
        }
        ClientEvent::Nothing
    }

    /// Asks the leader next, or another voter if no leader is known.
    fn redirect(&mut self, now: Time, leader: Option<Name>) {
        let Some(current) = &mut self.current else { return };
        match leader.and_then(|leader| self.voters.iter().position(|voter| *voter == leader)) {
            Some(position) => {
                self.target = position;
                current.retry_at(time_after(now, REDIRECT_DELAY));
            }
            None => {
                self.target += 1;
                current.retry_at(time_after(now, REPLY_TIMEOUT));
                current.reason = "no leader of the council is known".into();
            }
        }
    }

    fn wait(&mut self, now: Time, reason: DenialReason) -> ClientEvent {
        let Some(current) = &mut self.current else { return ClientEvent::Nothing };
        current.reason = reason.to_string();
        current.retry_at(time_after(now, RETRY_AFTER));
        if let (DenialReason::Stale(epoch), PermitAction::Begin { .. }) = (reason, &current.action) {
            self.current = None;
            return ClientEvent::Stale { epoch };
        }
        ClientEvent::Nothing
    }
}

#[cfg(test)]
mod tests;
