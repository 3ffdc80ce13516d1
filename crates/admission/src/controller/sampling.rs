//! The end of a sampling period: adapts estimates and limits to the gauges, and updates advice and health.

use super::Controller;
use crate::actions::Action;
use crate::advice::Capacity;
use crate::concurrency_limit::CoreLoad;
use crate::demand::decay_factor;
use crate::events::Gauges;
use crate::idle_connections::IntakeLoad;
use crate::time::{Span, time_after};

/// The period that the tests of MemLimiter use.
const SAMPLING_PERIOD: Span = Span(100_000_000);
/// Lower bound of the advertised fraction of the capacity while requests wait unread.
const MIN_OPEN_SHARE: f64 = 0.05;

impl Controller {
    /// Ends a sampling period. Gauges that were not reported count as absent.
    pub(super) fn sample_period(&mut self, out: &mut Vec<Action>) {
        self.next_sampling_at = time_after(self.now, SAMPLING_PERIOD);
        let gauges = self.latest_gauges.take().unwrap_or_default();
        self.classes.refresh_shortest_objective();
        self.sample_memory(&gauges, out);
        self.adapt_concurrency_limit(&gauges);
        self.call_limiter.end_period();
        self.decay_counts();
        let mean_run_seconds = self.classes.mean_run_seconds();
        self.check_stall(mean_run_seconds);
        self.enforce_sojourn_bound(out);
        self.adapt_idle_timeout(&gauges, out);
        self.adapt_advice(mean_run_seconds, out);
    }

    fn cores(&self) -> f64 {
        f64::from(self.settings.specifics.n_cores)
    }

    fn sample_memory(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let utilization = self.memory.sample(gauges.memory_utilization, self.settings.specifics.memory_kb);
        if self.throttle.sample(utilization) {
            out.push(Action::Log(format!("danger zone: utilization {utilization:.2}")));
        }
    }

    fn adapt_concurrency_limit(&mut self, gauges: &Gauges) {
        let shortest_objective_seconds = self.classes.shortest_objective_seconds();
        let load = CoreLoad {
            cores: self.cores(),
            has_queued_requests: !self.wait_queue.is_empty(),
            floor_share: self.health.unread_wait_margin(shortest_objective_seconds).clamp(0.0, 1.0),
        };
        self.concurrency.adapt(gauges, &load);
    }

    fn decay_counts(&mut self) {
        let factor = decay_factor(SAMPLING_PERIOD);
        self.demand.decay(factor);
        self.classes.end_period(factor);
        self.tenants.decay(factor);
        self.retry_patterns.decay(factor);
    }

    fn check_stall(&mut self, mean_run_seconds: f64) {
        let shortest_objective_seconds = self.classes.shortest_objective_seconds();
        let reading_fills_cores = self.idle_connections.reading_fills_cores();
        self.health.check_stall(self.now, mean_run_seconds, shortest_objective_seconds, reading_fills_cores);
    }

    fn adapt_idle_timeout(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let load = IntakeLoad {
            cores: self.cores(),
            runs_on_cores: self.concurrency.runs_on_cores(),
            has_queued_requests: !self.wait_queue.is_empty(),
            has_rejected: self.advice.has_rejected(),
            callers_idle_timeout: self.settings.specifics.client_idle_timeout,
        };
        if let Some(timeout) = self.idle_connections.sample(gauges, &load) {
            out.push(Action::SetIdleTimeout(timeout));
        }
    }

    /// Updates the capacity signal and the response to health checks.
    fn adapt_advice(&mut self, mean_run_seconds: f64, out: &mut Vec<Action>) {
        let shortest_objective_seconds = self.classes.shortest_objective_seconds();
        self.advice.end_period(self.queue_seconds(), shortest_objective_seconds);
        self.health.decay_unread_wait();
        self.report_health(shortest_objective_seconds, out);
        let capacity = Capacity {
            open_share: self.open_share(shortest_objective_seconds),
            concurrency_limit: self.concurrency.limit(),
            mean_run_seconds,
            shortest_objective_seconds,
        };
        if let Some(value) = self.advice.advertise(&capacity, &self.settings) {
            out.push(Action::AdvertiseCapacity(value));
        }
    }

    fn report_health(&mut self, shortest_objective_seconds: f64, out: &mut Vec<Action>) {
        if self.is_draining() {
            return;
        }
        let list_follows_health = self.settings.specifics.endpoint_list_follows_health;
        let is_unhealthy = self.health.should_be_unhealthy(shortest_objective_seconds, list_follows_health);
        if self.health.set_unhealthy(is_unhealthy) {
            out.push(Action::ReportHealth { shallow: true, active: !is_unhealthy });
        }
    }

    /// Fraction of the capacity that is open to callers: none while draining or stalled, less than all while
    /// requests wait unread. Reading takes some time in any case, so a wait up to the healthy bound takes
    /// nothing off.
    fn open_share(&self, shortest_objective_seconds: f64) -> f64 {
        if self.is_draining() || self.health.is_stalled() {
            return 0.0;
        }
        self.health.unread_wait_margin(shortest_objective_seconds).clamp(MIN_OPEN_SHARE, 1.0)
    }
}
