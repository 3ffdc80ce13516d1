//! Runs: how they are started on the processor, how they end, and the outcomes that repeats of a keyed request get.
//!
//! Owns no state: requests are in [`super::open_requests`], unconfirmed runs in [`super::processor_link`] and keyed
//! runs in the idempotency table. Invariant: where there are claims or a store, a keyed run is sent to the processor
//! only once it is claimed by this process or its intent is durable.

use super::open_requests::RequestState;
use super::refusals::Refusal;
use super::request_intake::MAX_BUDGET_DEADLINES;
use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::idempotency_table::{MAX_READ_DELAY, RunOutcome};
use crate::messages::{Effect, Response, RunEnd};
use crate::request_timeline::Stage;
use gradepin_admission::{Event, Outcome, RequestId, Span};
use slog::Level;
use std::sync::Arc;

/// How a run ended, for the admission module and for attempts that repeat the request.
struct Completion {
    outcome: Outcome,
    /// `None` if the run never started.
    for_repeats: Option<RunOutcome>,
}

impl Completion {
    /// Creates the completion. The result of a keyed run is copied into a buffer of its exact size, because it is
    /// retained.
    fn of(end: RunEnd, result: Option<Arc<Buffer>>, is_keyed: bool) -> Self {
        let (outcome, for_repeats) = match (end, result) {
            (RunEnd::Ok, Some(result)) => {
                let result = if is_keyed { Arc::new(result.exact()) } else { result };
                (Outcome::Success, Some(RunOutcome::Served(result)))
            }
            (RunEnd::NotStarted, _) => (Outcome::NotStarted, None),
            (RunEnd::Stopped, _) => (Outcome::Stopped, Some(RunOutcome::Failed)),
            (RunEnd::Ok | RunEnd::Failed, _) => (Outcome::Failure, Some(RunOutcome::Failed)),
        };
        Self { outcome, for_repeats }
    }
}

impl Reducer {
    /// Starts the run of a queued request, as decided by the admission module.
    pub(super) fn start_run(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get_mut(id).filter(|open| open.state == RequestState::Queued) else {
            return self.report_not_started(id);
        };
        open.state = RequestState::Running;
        open.timeline.enter(Stage::RunStart, self.timestamp.now);
        let Some(key) = &open.idempotency_key else {
            return if self.claim_key(id).is_some() { self.claim_run(id) } else { self.send_run(id) };
        };
        let window_ms = self.classes.profile(open.class).window.0.div_ceil(MS);
        let closes_unix_ms = open.arrived_unix_ms.saturating_add(window_ms);
        self.idempotency_table.run_started(key, open.fingerprint, id, closes_unix_ms, self.timestamp);
        if self.pending_claims.is_enabled() {
            return self.claim_run(id);
        }
        if !self.idempotency_log.is_enabled() {
            return self.send_run(id);
        }
        // The run is sent once its intent is durable.
        let run = self.idempotency_table.known_run(key, self.timestamp.now);
        if !run.is_some_and(|run| self.idempotency_log.append_intent(self.timestamp.now, run)) {
            self.reject_unstarted_run(id);
        }
    }

    fn report_not_started(&mut self, id: &RequestId) {
        let outcome = Outcome::NotStarted;
        self.events.push(Event::Completed { id: id.clone(), outcome, took: Span(0) });
    }

    /// Sends a run to the processor, now or once there is a usable link.
    pub(super) fn send_run(&mut self, id: &RequestId) {
        if !self.requests.contains(id) {
            return;
        }
        let start = self.guard.start_run(id);
        if !self.is_allowed(start) {
            return;
        }
        self.note_started_run(id);
        let Some(open) = self.requests.get(id) else { return };
        self.processor.add_unconfirmed_run(id.clone());
        let Some(link) = self.processor.usable_link() else { return };
        self.metrics.count_run();
        let class = Arc::clone(self.classes.get(open.class));
        self.effects.push(Effect::StartRun { link, id: id.clone(), class, body: Arc::clone(&open.body) });
        if let Some(open) = self.requests.get_mut(id) {
            open.start_count = open.start_count.saturating_add(1);
            open.timeline.enter(Stage::Run, self.timestamp.now);
            self.metrics.lifecycle.runs_repeated += u64::from(open.start_count > 1);
        }
    }

    /// Notes the start of a run that no idempotency key tells from another one, for as long as its request may come again.
    fn note_started_run(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get(id).filter(|open| open.idempotency_key.is_none()) else { return };
        let deadline = self.classes.profile(open.class).deadline;
        let longest_budget = Span(deadline.0.saturating_mul(MAX_BUDGET_DEADLINES));
        let retention = Span(longest_budget.0.saturating_add(MAX_READ_DELAY.0));
        self.started_runs.add(id, self.timestamp.now, retention);
    }

    /// Handles a start that the processor did not carry out. The run counts as never started only if it was sent once
    /// and is unconfirmed. Guards against running an operation twice: any other start may have been carried out, and
    /// must not be repeated under the same key.
    pub(super) fn run_not_started(&mut self, id: &RequestId) {
        self.log(Level::Error, format!("the processor rejected the run of {}", id.0));
        let was_sent_once = self.requests.running(id).is_some_and(|open| open.start_count == 1);
        let never_started = was_sent_once && self.processor.is_unconfirmed(id);
        let end = if never_started { RunEnd::NotStarted } else { RunEnd::Failed };
        self.end_run(id, end, Span(0), None);
    }

    /// Handles the processor's report of the end of a run. A notice that was read before counts only for runs of an
    /// earlier process.
    pub(super) fn run_completed(
        &mut self,
        notice: u64,
        id: &RequestId,
        end: RunEnd,
        took: Span,
        result: Buffer,
    ) {
        let is_new = self.processor.accept_notice(notice, self.timestamp.now);
        if is_new && self.requests.contains(id) {
            self.end_run(id, end, took, Some(Arc::new(result)));
        } else if is_new || self.idempotency_table.awaits_recovered_runs() {
            self.recovered_run_completed(id, end, &result);
        }
    }

    /// Handles the end of an earlier process's run, on a processor that outlived that process.
    fn recovered_run_completed(&mut self, id: &RequestId, end: RunEnd, result: &Buffer) {
        let Some(key) = self.idempotency_table.take_recovered_run(id) else { return };
        let outcome = match end {
            RunEnd::Ok => Some(RunOutcome::Served(Arc::new(result.exact()))),
            RunEnd::Failed | RunEnd::Stopped => Some(RunOutcome::Failed),
            RunEnd::NotStarted => None,
        };
        self.complete_keyed_run(&key, id, outcome);
    }

    /// Completes a keyed run; without an `outcome` the run never started. Retains and publishes the outcome and answers
    /// the run's repeats.
    fn complete_keyed_run(&mut self, key: &Arc<str>, id: &RequestId, outcome: Option<RunOutcome>) {
        let is_replaced = self.idempotency_table.is_replaced(key, id);
        let waiting = self.idempotency_table.run_ended(key, id, outcome.clone());
        if !is_replaced {
            self.publish_outcome(key, id, outcome.clone());
        }
        for repeat in waiting {
            self.respond_to_repeat(&repeat, outcome.clone().unwrap_or(RunOutcome::Failed));
        }
    }

    /// Publishes the outcome of a key's latest run to the other process of an upgrade and to the store.
    fn publish_outcome(&mut self, key: &Arc<str>, id: &RequestId, outcome: Option<RunOutcome>) {
        let never_started = outcome.is_none();
        self.release_claim(key, outcome);
        if never_started {
            self.idempotency_log.append_void(key, id);
        } else if self.idempotency_log.is_enabled()
            && let Some(run) = self.idempotency_table.known_run(key, self.timestamp.now)
        {
            self.idempotency_log.append_outcome(run);
        }
    }

    /// Rejects a request and its repeats if its run can't be sent to the processor, because its intent is not durable
    /// or its key, which no process has run, can't be claimed.
    pub(super) fn reject_unstarted_run(&mut self, id: &RequestId) {
        let Some(proof) = self.prove_unstarted(id) else { return self.fail_unstarted_run(id) };
        let refusal = Refusal::retry_after(self.store_retry_after());
        self.end_unstarted_run(id, &refusal.response(proof));
    }

    /// Fails a request and its repeats if its run can't be sent to the processor, because the other process of an
    /// upgrade may have run its key.
    pub(super) fn fail_unstarted_run(&mut self, id: &RequestId) {
        self.end_unstarted_run(id, &Response::Failed { timed_out: self.is_past_deadline(id) });
    }

    fn end_unstarted_run(&mut self, id: &RequestId, response: &Response) {
        let Some(open) = self.requests.running(id) else { return };
        let mut waiting = Vec::new();
        if let Some(key) = open.idempotency_key.clone() {
            waiting = self.idempotency_table.run_ended(&key, id, None);
        }
        if let Some((key, _)) = self.claim_key(id) {
            self.release_claim(&key, None);
        }
        for id in std::iter::once(id.clone()).chain(waiting) {
            self.respond(&id, response.clone());
            self.forget_request(&id);
            self.report_not_started(&id);
        }
    }

    /// Ends a run, or one that never started.
    pub(super) fn end_run(&mut self, id: &RequestId, end: RunEnd, took: Span, result: Option<Arc<Buffer>>) {
        let Some(open) = self.requests.running(id) else { return };
        let key = open.idempotency_key.clone();
        let claim_key = self.claim_key(id).filter(|_| key.is_none());
        if end == RunEnd::Ok {
            let (tenant, class) = (open.tenant, open.class);
            self.cluster_run_served(tenant, class, took);
        }
        self.processor.run_ended(id);
        self.metrics.lifecycle.count_run_end(end);
        let Completion { outcome, for_repeats } = Completion::of(end, result, key.is_some());
        let is_stopped = outcome == Outcome::Stopped;
        if !is_stopped {
            self.respond_with_outcome(id, for_repeats.clone().unwrap_or(RunOutcome::Failed));
        }
        self.events.push(Event::Completed { id: id.clone(), outcome, took });
        match self.requests.get_mut(id) {
            // The admission module answers the request. Guards against a request that stays open forever, as if its run
            // could still end.
            Some(open) if is_stopped && open.response_owed => open.state = RequestState::Stopped,
            _ => self.forget_request(id),
        }
        if let Some(key) = key {
            self.complete_keyed_run(&key, id, for_repeats);
        } else if let Some((claim_key, _)) = claim_key {
            self.release_claim(&claim_key, for_repeats);
        }
    }

    /// Stops a run if there is a link. The processor then reports its end as [`RunEnd::Stopped`].
    pub(super) fn stop_run(&mut self, id: &RequestId) {
        if let (true, Some(link)) = (self.requests.contains(id), self.processor.number) {
            self.effects.push(Effect::StopRun { link, id: id.clone() });
        }
    }
}
