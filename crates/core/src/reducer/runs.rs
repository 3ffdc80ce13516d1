//! Runs: what the module begins, what the processor ends, and what of it is kept for repeats of a keyed request.
//! Owns no state of its own: the requests are [`super::requests`]', what may be lost on the way is [`super::link`]'s, and
//! keyed runs are the key table's.

use super::requests::State;
use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::idempotency_table::RunOutcome;
use crate::messages::{Effect, Response, RunEnd};
use gradepin_admission::{Event, Outcome, RequestId, Span};
use slog::Level;
use std::sync::Arc;

impl Reducer {
    pub(super) fn process(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get_mut(id).filter(|open| open.state == State::Held) else {
            let (id, outcome) = (id.clone(), Outcome::NotStarted);
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
            self.effects.push(Effect::StartRun { link, id: id.clone(), class, body: Arc::clone(&open.body) });
            if let Some(open) = self.requests.get_mut(id) {
                open.begins = open.begins.saturating_add(1);
            }
        }
    }

    /// A begin was not carried out. Where it was the only one, and nothing tells that it was read before, its run never
    /// was. Guards against an effect twice: any other may have begun, and must not run again under its token.
    pub(super) fn rejected(&mut self, id: &RequestId) {
        self.log(Level::Error, format!("the processor rejected the run of {}", id.0));
        let once = self.requests.running(id).is_some_and(|open| open.begins == 1);
        let end = if once && self.link.is_unproven(id) { RunEnd::NotStarted } else { RunEnd::Failed };
        self.ended(id, end, Span(0), None);
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
            RunEnd::Ok => Some(RunOutcome::Served(Arc::new(result.exact()))),
            RunEnd::Failed | RunEnd::Stopped => Some(RunOutcome::Failed),
            RunEnd::NotStarted => None,
        };
        self.settle(&token, id, end);
    }

    /// A keyed run has its end, or with none never was: it is kept and written, and its repeats are answered.
    pub(super) fn settle(&mut self, token: &Arc<str>, id: &RequestId, end: Option<RunOutcome>) {
        let replaced = self.keys.is_replaced(token, id);
        let waiters = self.keys.ended(token, id, end.clone());
        if !replaced {
            self.told_end(token, id, end.clone());
        }
        for waiter in waiters {
            self.joined(&waiter, end.clone().unwrap_or(RunOutcome::Failed));
        }
    }

    /// The last run of a token has its end: the other process of an upgrade and the store are to know.
    fn told_end(&mut self, token: &Arc<str>, id: &RequestId, end: Option<RunOutcome>) {
        let void = end.is_none();
        self.claim_ended(token, end);
        if void {
            self.ledger.void(token, id);
        } else if self.ledger.is_on()
            && let Some(known) = self.keys.known(token, self.moment.now)
        {
            self.ledger.end(known);
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
            self.answer(&id, Response::Rejected { retry_after: self.store_advice(), no_failover: false });
            self.forget(&id);
            self.events.push(Event::Completed { id, outcome: Outcome::NotStarted, took: Span(0) });
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
                (Outcome::Success, Some(RunOutcome::Served(kept)))
            }
            (RunEnd::NotStarted, _) => (Outcome::NotStarted, None),
            (RunEnd::Stopped, _) => (Outcome::Stopped, Some(RunOutcome::Failed)),
            (RunEnd::Ok | RunEnd::Failed, _) => (Outcome::Failure, Some(RunOutcome::Failed)),
        };
        let answer = kept.clone().unwrap_or(RunOutcome::Failed);
        if outcome != Outcome::Stopped {
            self.answer_end(id, answer.clone());
        }
        self.events.push(Event::Completed { id: id.clone(), outcome, took });
        match self.requests.get_mut(id) {
            // The module answers it. Guards against one that stays in the books for good, as if its run were to end yet.
            Some(open) if outcome == Outcome::Stopped && open.owed => open.state = State::Stopped,
            _ => self.forget(id),
        }
        if let Some(token) = token {
            self.settle(&token, id, kept);
        }
    }
}
