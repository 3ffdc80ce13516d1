//! The admission module's part of a step: it handles all events of the step at once, and its actions are applied to the
//! state.
//!
//! All decisions are made by [`gradepin_admission::Controller`]; they are carried out here in their order.

use super::Reducer;
use super::open_requests::{OpenRequest, RequestState};
use super::refusals::Refusal;
use crate::idempotency_table::RunOutcome;
use crate::lifecycle_counters::RefusalReason;
use crate::messages::Response;
use crate::request_timeline::Stage;
use gradepin_admission::{Action, RequestId, Span, time_after};
use slog::Level;

impl Reducer {
    /// Lets the admission module handle the events of this step, if there are any or one of its timers is due.
    pub(super) fn decide(&mut self) {
        let Some(controller) = &mut self.controller else { return };
        if self.events.is_empty() && !self.schedule.admission_is_due(self.timestamp.now) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        controller.handle(self.timestamp.now, &self.events, &mut actions);
        self.events.clear();
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        for id in self.requests.end_batch() {
            self.forget_request(&id);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.start_run(&id),
            Action::Reject { id, retry_after, is_final } => {
                self.metrics.lifecycle.count_refusal(RefusalReason::Admission);
                self.refuse(&id, Refusal { retry_after, no_failover: is_final });
            }
            Action::Fail(id) => self.fail_request(&id),
            Action::RetainIdempotencyKey { id, retain_for } => self.retain_idempotency_key(&id, retain_for),
            Action::ReleaseIdempotencyKey(id) => self.release_idempotency_key(&id),
            Action::JoinRun(id) => self.join_run(&id),
            Action::ReportHealth { active, .. } => self.set_health(active),
            Action::AdvertiseCapacity(hint) => self.capacity_hint = Some(hint),
            Action::SetIdleTimeout(span) => self.connections.set_idle_timeout(span),
            Action::SetTimer(time) => self.schedule.set_timer(time),
            Action::Log(text) => self.log(Level::Info, text),
            Action::CallUpstream { id, timeout } => self.start_upstream_call(&id, timeout),
            Action::StopRun(id) => self.stop_run(&id),
            Action::SkipUpstreamCall(_) => {
                // The processor has no such command, so the admission module must not be configured to use it.
                let text = "admission: request to skip an upstream call ignored, as the processor does not support it";
                self.log(Level::Error, text.into());
            }
        }
    }

    fn fail_request(&mut self, id: &RequestId) {
        let timed_out = self.is_past_deadline(id);
        self.respond_and_release(id, Response::Failed { timed_out });
    }

    /// Treats later attempts with the key of a request as repeats of it, for `retain_for`.
    fn retain_idempotency_key(&mut self, id: &RequestId, retain_for: Span) {
        let until = time_after(self.timestamp.now, retain_for);
        if let Some((key, fingerprint)) = self.requests.get(id).and_then(OpenRequest::key_and_fingerprint) {
            self.idempotency_table.retain(key, fingerprint, id, until);
        }
    }

    fn release_idempotency_key(&mut self, id: &RequestId) {
        if let Some(key) = self.requests.get(id).and_then(|open| open.idempotency_key.as_ref()) {
            self.idempotency_table.release(key, id);
        }
    }

    /// Answers a repeat with the outcome of its key's run, now or once that run has ended.
    fn join_run(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get_mut(id) else { return };
        open.state = RequestState::Joined { since: self.timestamp.now };
        open.timeline.enter(Stage::OtherRun, self.timestamp.now);
        let outcome = match open.idempotency_key.clone() {
            Some(key) => self.idempotency_table.join(&key, id),
            None => Some(RunOutcome::Failed),
        };
        if let Some(outcome) = outcome {
            self.respond_to_repeat(id, outcome);
        }
    }

    fn set_health(&mut self, healthy: bool) {
        if healthy == self.healthy {
            return;
        }
        self.healthy = healthy;
        self.registration.publish_health(self.timestamp.now, healthy);
        self.report_change();
        self.log(Level::Info, format!("health is {}", if healthy { "good" } else { "bad" }));
    }
}
