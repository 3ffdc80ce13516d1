//! The client side of permits: which voter this server asks, when it asks again, and until when it may begin.
//!
//! The right to begin counts from when the request left that was answered, by this server's own clock: whoever is stopped
//! between the reply and its leaving finds its time over. Not here: what leaving is, which is the server's.

use crate::messages::{BEGIN_TIMEOUT, PermitAction, PermitReply, PermitRequest};
use crate::replicated_state::{DenialReason, Name};
use gradepin_admission::{Span, Time, span_seconds, time_after};
use std::collections::VecDeque;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// A reply that doesn't come is waited for so long before the next voter is asked.
const REPLY_TIMEOUT: Span = Span(400 * MS);
/// After a reply that says wait, the request is sent again after this.
const RETRY_AFTER: Span = Span(1_000 * MS);
/// Between two requests at the least, however often it is redirected.
const MIN_INTERVAL: Span = Span(50 * MS);
/// Requests whose times are known.
const MAX_SENT: usize = 8;

/// What a reply comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientEvent {
    /// Nothing yet.
    Nothing,
    /// It may begin by this permit, until then by its own clock.
    MayBegin {
        /// The permit.
        epoch: u64,
        /// The end of the right to begin.
        until: Time,
    },
    /// The permit of this epoch is no longer there: what it was for may not begin.
    Stale(u64),
}

/// A request and the voter that it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The voter.
    pub to: Name,
    /// The request.
    pub request: PermitRequest,
}

/// How long and why a request waits.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingRequest {
    /// Since when, in seconds.
    pub for_s: f64,
    /// What the last reply said.
    pub why: String,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    number: u64,
    at: Time,
}

#[derive(Debug, Clone)]
struct CurrentRequest {
    action: PermitAction,
    since: Time,
    next: Time,
    /// When which request left, of at most [`MAX_SENT`].
    sent: VecDeque<SentRequest>,
    why: String,
}

impl CurrentRequest {
    fn retry(&mut self, at: Time) {
        self.sent.clear();
        self.next = at;
    }
}

/// The requests of one server: one action at a time.
#[derive(Debug)]
pub struct PermitClient {
    voters: Vec<Name>,
    /// The place of the voter that is asked.
    target: usize,
    current: Option<CurrentRequest>,
    last_number: u64,
}

impl PermitClient {
    /// With the voters that may be asked, and numbers from `number` on: greater than any that an earlier incarnation used.
    pub fn new(voters: Vec<Name>, number: u64) -> Self {
        Self { voters, target: 0, current: None, last_number: number }
    }

    /// The voters as they are known now.
    pub fn set_voters(&mut self, voters: Vec<Name>) {
        if !voters.is_empty() && voters != self.voters {
            self.voters = voters;
            self.target = 0;
        }
    }

    /// Asks for this from now on, unless that is what is asked for already.
    pub fn request(&mut self, now: Time, action: PermitAction) {
        if self.current.as_ref().is_some_and(|current| current.action == action) {
            return;
        }
        let why = "nobody of the council has answered yet".to_string();
        self.current = Some(CurrentRequest { action, since: now, next: now, sent: VecDeque::new(), why });
    }

    /// Asks for nothing any more.
    pub fn stop(&mut self) {
        self.current = None;
    }

    /// What is asked for.
    pub fn wanted(&self) -> Option<&PermitAction> {
        self.current.as_ref().map(|current| &current.action)
    }

    /// Why it waits and for how long already.
    pub fn waits(&self, now: Time) -> Option<WaitingRequest> {
        let current = self.current.as_ref()?;
        let for_s = span_seconds(Span(now.0.saturating_sub(current.since.0)));
        Some(WaitingRequest { for_s, why: current.why.clone() })
    }

    /// The request that is due, and to whom.
    pub fn step(&mut self, now: Time) -> Option<OutgoingRequest> {
        let current = self.current.as_mut().filter(|current| now >= current.next)?;
        if self.voters.is_empty() {
            return None;
        }
        if !current.sent.is_empty() {
            // The last one went unanswered: perhaps another voter hears.
            self.target += 1;
        }
        self.last_number += 1;
        current.next = time_after(now, REPLY_TIMEOUT);
        current.sent.push_back(SentRequest { number: self.last_number, at: now });
        if current.sent.len() > MAX_SENT {
            current.sent.pop_front();
        }
        let to = Arc::clone(&self.voters[self.target % self.voters.len()]);
        let request = PermitRequest { number: self.last_number, action: current.action.clone() };
        Some(OutgoingRequest { to, request })
    }

    /// When [`PermitClient::step`] has something to do.
    pub fn wake_at(&self) -> Option<Time> {
        self.current.as_ref().map(|current| current.next)
    }

    /// A voter replied to the request of this number.
    pub fn receive(&mut self, now: Time, number: u64, reply: PermitReply) -> ClientEvent {
        let Some(current) = &mut self.current else { return ClientEvent::Nothing };
        // To a request of another incarnation, or one that was given up long ago.
        let Some(sent) = current.sent.iter().find(|sent| sent.number == number).copied() else {
            return ClientEvent::Nothing;
        };
        match reply {
            PermitReply::Redirect(leader) => self.redirected(now, leader),
            PermitReply::Wait(why) => return self.told_to_wait(now, why),
            PermitReply::Reserved(epoch) => {
                if current.action == PermitAction::Reserve {
                    current.action = PermitAction::Begin(epoch);
                    current.why = format!("permit {epoch} is reserved");
                    current.retry(now);
                }
            }
            PermitReply::Begin(epoch) => {
                if current.action == PermitAction::Begin(epoch) {
                    self.current = None;
                    return ClientEvent::MayBegin { epoch, until: time_after(sent.at, BEGIN_TIMEOUT) };
                }
            }
            PermitReply::Ended => {
                if matches!(current.action, PermitAction::Cancel(_)) {
                    self.current = None;
                }
            }
        }
        ClientEvent::Nothing
    }

    /// Another voter leads, or none that is known.
    fn redirected(&mut self, now: Time, leader: Option<Name>) {
        let Some(current) = &mut self.current else { return };
        match leader.and_then(|leader| self.voters.iter().position(|voter| *voter == leader)) {
            Some(place) => {
                self.target = place;
                current.retry(time_after(now, MIN_INTERVAL));
            }
            None => {
                self.target += 1;
                current.retry(time_after(now, REPLY_TIMEOUT));
                current.why = "the council has no leader that is heard".into();
            }
        }
    }

    fn told_to_wait(&mut self, now: Time, why: DenialReason) -> ClientEvent {
        let Some(current) = &mut self.current else { return ClientEvent::Nothing };
        current.why = why.to_string();
        current.retry(time_after(now, RETRY_AFTER));
        if let (DenialReason::Stale(epoch), PermitAction::Begin(_)) = (why, &current.action) {
            self.current = None;
            return ClientEvent::Stale(epoch);
        }
        ClientEvent::Nothing
    }
}

#[cfg(test)]
mod tests;
