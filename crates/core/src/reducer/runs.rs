//! Runs: what the module begins, what the processor ends, and what of it is kept for repeats of a keyed request.
//! Owns no state of its own: the requests are [`super::requests`]', what may be lost on the way is [`super::link`]'s, and
//! keyed runs are the key table's.

use super::requests::State;
use super::{MS, Reducer};
use crate::keys::End;
use crate::messages::{Answer, Effect, RunEnd};
use crate::pool::Buffer;
use gradepin_decisions::{Event, Outcome, RequestId, Span};
use std::sync::Arc;

impl Reducer {
    pub(super) fn process(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get_mut(id).filter(|open| open.state == State::Held) else {
            let (id, outcome) = (id.clone(), Outcome::Unused);
            return self.events.push(Event::Completed { id, outcome, took: Span(0) });
        };
        open.state = State::Running;
        if let Some(token) = &open.token {
            let window_ms = self.classes.profile(open.class).window.0.div_ceil(MS);
            let closes_ms = open.t0.saturating_add(window_ms);
            self.keys.began(token, open.print, id, closes_ms, self.moment);
            if self.claims.is_on() {
                return self.claim(id);
            }
            if self.ledger.is_on() {
                // It begins once its intent is durable.
                let known = self.keys.known(token, self.moment.now);
                if !known.is_some_and(|known| self.ledger.intent(self.moment.now, known)) {
                    self.never_ran(id);
                }
                return;
            }
        }
        self.begin(id);
    }

    /// Sends a request to its run, now or once the link stands and is settled.
    pub(super) fn begin(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get(id) else { return };
        self.link.unproven.push((id.clone(), self.link.asked));
        if let Some(link) = self.link.settled() {
            self.tally.relayed();
            let class = Arc::clone(self.classes.get(open.class));
            self.effects.push(Effect::Begin(link, id.clone(), class, Arc::clone(&open.body)));
        }
    }

    pub(super) fn complete(&mut self, id: &RequestId, end: RunEnd, took: Span, result: Buffer) {
        let result = Arc::new(result);
        if !self.requests.contains(id) {
            return self.learned(id, end, &result);
        }
        self.ended(id, end, took, Some(result));
    }

    /// A processor that outlived an earlier life tells the end of a run of that.
    pub(super) fn learned(&mut self, id: &RequestId, end: RunEnd, result: &Buffer) {
        let Some(token) = self.keys.learned(id) else { return };
        let end = match end {
            RunEnd::Ok => Some(End::Served(Arc::new(result.exact()))),
            RunEnd::Error | RunEnd::Stopped => Some(End::Failed),
            RunEnd::Moot => None,
        };
        self.settle(&token, id, end);
    }

    /// A keyed run has its end, or with none never was: it is kept and written, and its repeats are answered.
    pub(super) fn settle(&mut self, token: &Arc<str>, id: &RequestId, end: Option<End>) {
        let waiters = self.keys.ended(token, id, end.clone());
        self.claim_ended(token, end.clone());
        if end.is_none() {
            self.ledger.void(token, id);
        } else if self.ledger.is_on()
            && let Some(known) = self.keys.known(token, self.moment.now)
        {
            self.ledger.end(known);
        }
        for waiter in waiters {
            self.joined(&waiter, end.clone().unwrap_or(End::Failed));
        }
    }

    /// A run that the module began will not be: its intent is not durable. It and its repeats are turned away at once.
    pub(super) fn never_ran(&mut self, id: &RequestId) {
        let Some(open) = self.requests.running(id) else { return };
        let token = open.token.clone();
        let waiters = token.as_ref().map(|token| self.keys.ended(token, id, None)).unwrap_or_default();
        if let Some(token) = &token {
            self.claim_ended(token, None);
        }
        for id in std::iter::once(id.clone()).chain(waiters) {
            self.answer(&id, Answer::Refused { backoff: self.store_advice(), last: false });
            self.forget(&id);
            self.events.push(Event::Completed { id, outcome: Outcome::Unused, took: Span(0) });
        }
    }

    /// A run is over, or was never begun.
    pub(super) fn ended(&mut self, id: &RequestId, end: RunEnd, took: Span, result: Option<Arc<Buffer>>) {
        let Some(open) = self.requests.running(id) else { return };
        let token = open.token.clone();
        if end == RunEnd::Ok {
            let (tenant, class) = (open.tenant, open.class);
            self.fleet_served(tenant, class, took);
        }
        self.link.ended(id);
        let (outcome, kept) = match (end, result) {
            // Kept for repeats in no more room than it needs.
            (RunEnd::Ok, Some(result)) => {
                let kept = if token.is_some() { Arc::new(result.exact()) } else { result };
                (Outcome::Delivered, Some(End::Served(kept)))
            }
            (RunEnd::Moot, _) => (Outcome::Unused, None),
            (RunEnd::Stopped, _) => (Outcome::Revoked, Some(End::Failed)),
            (RunEnd::Ok | RunEnd::Error, _) => (Outcome::AppError, Some(End::Failed)),
        };
        let answer = kept.clone().unwrap_or(End::Failed);
        if outcome != Outcome::Revoked {
            self.answer_end(id, answer.clone());
        }
        self.events.push(Event::Completed { id: id.clone(), outcome, took });
        match self.requests.get_mut(id) {
            // No notice comes after this one: it leaves the books with its answer.
            Some(open) if outcome == Outcome::Revoked && open.owed => open.state = State::Stopped,
            _ => self.forget(id),
        }
        if let Some(token) = token {
            self.settle(&token, id, kept);
        }
    }
}
