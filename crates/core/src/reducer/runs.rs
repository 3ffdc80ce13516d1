//! Runs: what the module begins, what the processor ends, and what of it is kept for repeats of a keyed request.
//! Owns no state of its own: the requests are [`super::open_requests`]', what may be lost on the way is [`super::processor_link`]'s, and
//! keyed runs are the key table's.

use super::open_requests::State;
use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::idempotency_table::RunOutcome;
use crate::messages::{Effect, Response, RunEnd};
use gradepin_admission::{Event, Outcome, RequestId, Span};
use slog::Level;
use std::sync::Arc;

impl Reducer {
    pub(super) fn start_run(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get_mut(id).filter(|open| open.state == State::Held) else {
            let (id, outcome) = (id.clone(), Outcome::NotStarted);
            return self.events.push(Event::Completed { id, outcome, took: Span(0) });
        };
        open.state = State::Running;
        if let Some(token) = &open.token {
            let window_ms = self.classes.profile(open.class).window.0.div_ceil(MS);
            let closes_ms = open.t0.saturating_add(window_ms);
            self.idempotency_table.began(token, open.print, id, closes_ms, self.timestamp);
            if self.pending_claims.is_on() {
                return self.claim_run(id);
            }
            if self.idempotency_log.is_on() {
                // It begins once its intent is durable.
                let known = self.idempotency_table.known(token, self.timestamp.now);
                if !known.is_some_and(|known| self.idempotency_log.intent(self.timestamp.now, known)) {
                    self.reject_unstarted_run(id);
                }
                return;
            }
        }
        self.send_run(id);
    }

    /// Sends a request to its run, now or once the link stands and is settled.
    pub(super) fn send_run(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get(id) else { return };
        self.processor.unconfirmed_runs.push((id.clone(), self.processor.last_reading));
        if let Some(link) = self.processor.usable_link() {
            self.metrics.relayed();
            let class = Arc::clone(self.classes.get(open.class));
            self.effects.push(Effect::StartRun { link, id: id.clone(), class, body: Arc::clone(&open.body) });
            if let Some(open) = self.requests.get_mut(id) {
                open.begins = open.begins.saturating_add(1);
            }
        }
    }

    /// A begin was not carried out. Where it was the only one, and nothing tells that it was read before, its run never
    /// was. Guards against an effect twice: any other may have begun, and must not run again under its token.
    pub(super) fn run_not_started(&mut self, id: &RequestId) {
        self.log(Level::Error, format!("the processor rejected the run of {}", id.0));
        let once = self.requests.running(id).is_some_and(|open| open.begins == 1);
        let end = if once && self.processor.is_unconfirmed(id) { RunEnd::NotStarted } else { RunEnd::Failed };
        self.end_run(id, end, Span(0), None);
    }

    pub(super) fn run_completed(&mut self, id: &RequestId, end: RunEnd, took: Span, result: Buffer) {
        let result = Arc::new(result);
        if !self.requests.contains(id) {
            return self.recovered_run_completed(id, end, &result);
        }
        self.end_run(id, end, took, Some(result));
    }

    /// A processor that outlived an earlier life tells the end of a run of that.
    pub(super) fn recovered_run_completed(&mut self, id: &RequestId, end: RunEnd, result: &Buffer) {
        let Some(token) = self.idempotency_table.learned(id) else { return };
        let end = match end {
            RunEnd::Ok => Some(RunOutcome::Served(Arc::new(result.exact()))),
            RunEnd::Failed | RunEnd::Stopped => Some(RunOutcome::Failed),
            RunEnd::NotStarted => None,
        };
        self.complete_keyed_run(&token, id, end);
    }

    /// A keyed run has its end, or with none never was: it is kept and written, and its repeats are answered.
    pub(super) fn complete_keyed_run(&mut self, token: &Arc<str>, id: &RequestId, end: Option<RunOutcome>) {
        let replaced = self.idempotency_table.is_replaced(token, id);
        let waiters = self.idempotency_table.ended(token, id, end.clone());
        if !replaced {
            self.publish_outcome(token, id, end.clone());
        }
        for waiter in waiters {
            self.respond_to_repeat(&waiter, end.clone().unwrap_or(RunOutcome::Failed));
        }
    }

    /// The last run of a token has its end: the other process of an upgrade and the store are to know.
    fn publish_outcome(&mut self, token: &Arc<str>, id: &RequestId, end: Option<RunOutcome>) {
        let void = end.is_none();
        self.release_claim(token, end);
        if void {
            self.idempotency_log.void(token, id);
        } else if self.idempotency_log.is_on()
            && let Some(known) = self.idempotency_table.known(token, self.timestamp.now)
        {
            self.idempotency_log.end(known);
        }
    }

    /// A run that the module began will not be: its intent is not durable. It and its repeats are turned away at once.
    pub(super) fn reject_unstarted_run(&mut self, id: &RequestId) {
        let Some(open) = self.requests.running(id) else { return };
        let token = open.token.clone();
        let waiters =
            token.as_ref().map(|token| self.idempotency_table.ended(token, id, None)).unwrap_or_default();
        if let Some(token) = &token {
            self.release_claim(token, None);
        }
        for id in std::iter::once(id.clone()).chain(waiters) {
            self.respond(
                &id,
                Response::Rejected { retry_after: self.store_retry_after(), no_failover: false },
            );
            self.forget_request(&id);
            self.events.push(Event::Completed { id, outcome: Outcome::NotStarted, took: Span(0) });
        }
    }

    /// A run is over, or was never begun.
    pub(super) fn end_run(&mut self, id: &RequestId, end: RunEnd, took: Span, result: Option<Arc<Buffer>>) {
        let Some(open) = self.requests.running(id) else { return };
        let token = open.token.clone();
        if end == RunEnd::Ok {
            let (tenant, class) = (open.tenant, open.class);
            self.cluster_run_served(tenant, class, took);
        }
        self.processor.run_ended(id);
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
            self.respond_with_outcome(id, answer.clone());
        }
        self.events.push(Event::Completed { id: id.clone(), outcome, took });
        match self.requests.get_mut(id) {
            // The module answers it. Guards against one that stays in the books for good, as if its run were to end yet.
            Some(open) if outcome == Outcome::Stopped && open.owed => open.state = State::Stopped,
            _ => self.forget_request(id),
        }
        if let Some(token) = token {
            self.complete_keyed_run(&token, id, kept);
        }
    }
}
