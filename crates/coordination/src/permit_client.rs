//! The client of permits on one server: which voter gets its request, when it retries, and until when it may begin.
//!
//! Input: the action that is wanted, replies, and time. Output: requests and [`ClientEvent`]s. Invariant: the right to begin
//! counts from when the request was sent that was answered, by this server's own clock, so that a server which was stopped
//! between the reply and its leaving finds it expired. Not here: what the server does then.

use crate::ids::{Epoch, Name, Ticket};
use crate::messages::{BEGIN_TIMEOUT, PermitAction, PermitReply, PermitRequest};
use crate::replicated_state::DenialReason;
use gradepin_admission::{Span, Time, span_seconds, time_after};
use std::collections::VecDeque;
use std::sync::Arc;

const NANOS_PER_MS: u64 = 1_000_000;
/// Without a reply within this the next voter is asked.
const REPLY_TIMEOUT: Span = Span(400 * NANOS_PER_MS);
/// Between a reply that says wait and the retry.
const RETRY_AFTER: Span = Span(1_000 * NANOS_PER_MS);
/// Before a redirected request.
const REDIRECT_DELAY: Span = Span(50 * NANOS_PER_MS);
/// Requests in flight whose replies count.
const MAX_SENT_REQUESTS: usize = 8;

/// The effect of a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientEvent {
    /// None yet.
    Nothing,
    /// The server may begin by this permit, until then by its own clock.
    MayBegin {
        /// The permit.
        epoch: Epoch,
        /// The end of the right to begin.
        expires_at: Time,
    },
    /// The permit has ended: what it was for may not begin.
    Stale {
        /// The permit.
        epoch: Epoch,
    },
}

/// A request and its voter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The voter.
    pub to: Name,
    /// The request.
    pub request: PermitRequest,
}

/// A request that isn't granted yet.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingRequest {
    /// How long it has been waiting, in seconds.
    pub waiting_s: f64,
    /// The reason in the last reply.
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
    /// The last requests in flight, at most [`MAX_SENT_REQUESTS`].
    sent: VecDeque<SentRequest>,
    /// Why it isn't granted yet.
    reason: String,
}

impl CurrentRequest {
    fn retry_at(&mut self, at: Time) {
        self.sent.clear();
        self.next_request = at;
    }
}

/// The requests of one server: one action at a time.
#[derive(Debug)]
pub struct PermitClient {
    voters: Vec<Name>,
    /// The position of the voter that is asked, modulo their number.
    target: usize,
    current: Option<CurrentRequest>,
    last_number: Ticket,
}

impl PermitClient {
    /// With the voters that may be asked. Requests have numbers greater than `last_number`, which is to be greater than those of
    /// any earlier incarnation.
    pub fn new(voters: Vec<Name>, last_number: Ticket) -> Self {
        Self { voters, target: 0, current: None, last_number }
    }

    /// Sets the voters that are known now.
    pub fn set_voters(&mut self, voters: Vec<Name>) {
        if !voters.is_empty() && voters != self.voters {
            self.voters = voters;
            self.target = 0;
        }
    }

    /// Requests this action from now on, unless it is requested already.
    pub fn request(&mut self, now: Time, action: PermitAction) {
        if self.current.as_ref().is_some_and(|current| current.action == action) {
            return;
        }
        let reason = "nobody of the council has answered yet".to_string();
        self.current =
            Some(CurrentRequest { action, since: now, next_request: now, sent: VecDeque::new(), reason });
    }

    /// Stops requesting.
    pub fn stop(&mut self) {
        self.current = None;
    }

    /// The action that is requested.
    pub fn action(&self) -> Option<&PermitAction> {
        self.current.as_ref().map(|current| &current.action)
    }

    /// The request that isn't granted yet.
    pub fn waiting_request(&self, now: Time) -> Option<WaitingRequest> {
        let current = self.current.as_ref()?;
        let waiting_s = span_seconds(Span(now.0.saturating_sub(current.since.0)));
        Some(WaitingRequest { waiting_s, reason: current.reason.clone() })
    }

    /// The request that is due.
    pub fn step(&mut self, now: Time) -> Option<OutgoingRequest> {
        let current = self.current.as_mut().filter(|current| now >= current.next_request)?;
        if self.voters.is_empty() {
            return None;
        }
        if !current.sent.is_empty() {
            // No reply to the last one: perhaps another voter can be reached.
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

    /// When [`PermitClient::step`] has something to do.
    pub fn wake_at(&self) -> Option<Time> {
        self.current.as_ref().map(|current| current.next_request)
    }

    /// Receives a voter's reply to the request of this number.
    pub fn receive(&mut self, now: Time, number: Ticket, reply: PermitReply) -> ClientEvent {
        let Some(current) = &mut self.current else { return ClientEvent::Nothing };
        // Otherwise it is for a request of an earlier incarnation, or one that isn't in flight any more.
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

    /// Another voter leads, or none that is known.
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
                current.reason = "the council has no leader that is heard".into();
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
