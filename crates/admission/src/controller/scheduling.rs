//! Scheduling of the wait queue: which queued requests are rejected, and which one starts next.

use super::Controller;
use super::endings::RejectionCause;
use crate::actions::Action;
use crate::class_estimates::ClassEstimate;
use crate::density::{self, RankedRequest};
use crate::open_requests::{OpenRequest, RequestState, Sequence};
use crate::settings::WeightBasis;
use crate::wait_queue::SojournCheck;

/// Lower bound of the core time by which a priority weight is divided.
const MIN_RUN_SECONDS: f64 = 1e-4;

impl Controller {
    pub(super) fn class_of(&self, request: &OpenRequest) -> &ClassEstimate {
        self.classes.estimate(request.class)
    }

    /// Expected core time of a request's run, in seconds.
    pub(super) fn run_seconds(&self, request: &OpenRequest) -> f64 {
        self.class_of(request).run_seconds(request.work_seconds)
    }

    /// Expected seconds from the start of a request's run to its response, including the wait for its call.
    fn base_latency_seconds(&self, request: &OpenRequest) -> f64 {
        let class = self.class_of(request);
        let specifics = &self.settings.specifics;
        let call_wait_seconds =
            self.call_limiter.expected_wait_seconds(class.definition(), &self.requests, specifics, self.now);
        class.base_latency_seconds(self.run_seconds(request)) + call_wait_seconds
    }

    /// Priority weight that a request can still earn per core second of its run. Where the weight already
    /// counts per unit of work, it is not divided by the run time.
    pub(super) fn density(&self, sequence: Sequence) -> f64 {
        let request = self.requests.open(sequence);
        let profile = &self.class_of(request).definition().profile;
        let base_latency_seconds = self.base_latency_seconds(request);
        let earned_part = if request.seconds_to_objective(self.now) >= base_latency_seconds {
            1.0
        } else if request.seconds_to_expiry(self.now) >= base_latency_seconds {
            profile.late_value
        } else {
            0.0
        };
        let tenant_factor = self.tenants.weight_factor(request.tenant, &self.settings);
        let cost = match self.settings.weight_basis {
            WeightBasis::Work => 1.0,
            WeightBasis::Request => self.run_seconds(request).max(MIN_RUN_SECONDS),
        };
        earned_part * request.attempts_served * profile.priority_weight * tenant_factor / cost
    }

    /// Requests of a queue with their present densities.
    pub(super) fn ranked(
        &self,
        queue: impl Iterator<Item = Sequence>,
    ) -> impl Iterator<Item = RankedRequest> {
        queue.map(|sequence| RankedRequest { density: self.density(sequence), sequence })
    }

    /// Seconds to run all queued requests under the concurrency limit.
    pub(super) fn queue_seconds(&self) -> f64 {
        let run_seconds = |sequence| self.run_seconds(self.requests.open(sequence));
        let total: f64 = self.wait_queue.iter().map(run_seconds).sum();
        total / self.concurrency.limit().max(1.0)
    }

    /// Rejects queued requests past their sojourn bound. The predicted wait of a request is the run time of
    /// all requests that rank before it and are not rejected.
    pub(super) fn enforce_sojourn_bound(&mut self, out: &mut Vec<Action>) {
        let mut seconds_ahead = 0.0;
        for ranked in density::highest_first(self.ranked(self.wait_queue.iter())) {
            let Some(request) = self.requests.get(ranked.sequence) else { continue };
            let run_seconds = self.run_seconds(request);
            if self.health.is_stalled() || self.sojourn_check(request, seconds_ahead).is_past_bound() {
                self.reject(ranked.sequence, RejectionCause::Capacity, out);
            } else {
                seconds_ahead += run_seconds;
            }
        }
    }

    fn sojourn_check(&self, request: &OpenRequest, seconds_ahead: f64) -> SojournCheck {
        let class = self.class_of(request);
        let base_latency_seconds = self.base_latency_seconds(request);
        let earns_after_objective = class.definition().profile.late_value > 0.0
            && request.seconds_to_expiry(self.now) > base_latency_seconds;
        let has_short_queue = self.wait_queue.len() as f64 <= self.concurrency.limit();
        let marks_retries = self.settings.callers.marks_retries;
        SojournCheck {
            seconds_to_start: request.seconds_to_objective(self.now) - base_latency_seconds,
            predicted_wait_seconds: self.predicted_wait_seconds(request, seconds_ahead),
            may_miss_objective: earns_after_objective && has_short_queue,
            is_movable_first_attempt: marks_retries && !request.is_retry && !self.is_fleet_overloaded(),
            class_core_seconds: class.core_seconds(),
        }
    }

    /// Seconds until the requests ahead have run. On a warm server, an initial run time estimate predicts no
    /// wait until that time has passed without progress.
    fn predicted_wait_seconds(&self, request: &OpenRequest, seconds_ahead: f64) -> f64 {
        let is_guess = !self.class_of(request).has_completed_runs() && !self.settings.specifics.cold_start;
        if is_guess && self.health.seconds_since_progress(self.now) < self.run_seconds(request) {
            0.0
        } else {
            seconds_ahead / self.concurrency.limit().max(1.0)
        }
    }

    /// Starts the queued requests of the highest density while concurrency limit and memory allow.
    pub(super) fn start_runs(&mut self, out: &mut Vec<Action>) {
        while !self.wait_queue.is_empty() && self.concurrency.admits_run() {
            let highest = density::highest(self.ranked(self.wait_queue.iter()));
            let Some(ranked) = highest.filter(|ranked| ranked.density > 0.0) else { break };
            let specifics = &self.settings.specifics;
            let run_kb = self.requests.open(ranked.sequence).queued_kb * (specifics.run_factor - 1.0);
            if run_kb > self.memory.free_kb(specifics.memory_kb) {
                break;
            }
            self.memory.reserve(run_kb);
            self.start_run(ranked.sequence, out);
        }
    }

    fn start_run(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        self.wait_queue.remove(sequence);
        self.concurrency.run_started();
        if let Some(request) = self.requests.get_mut(sequence) {
            request.state = RequestState::Running;
            out.push(Action::Run(request.id.clone()));
        }
    }
}
