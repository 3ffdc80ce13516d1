//! The concurrency limit: the number of runs that may be on the cores at the same time.
//!
//! The limit grows while cores idle and requests are queued, and shrinks while the cores are overcommitted.
//! Its floor is the number of cores. The floor is lowered while requests wait unread, because runs compete
//! with the reading of requests for the cores. Its ceiling is a fraction of the survivable concurrency: a
//! server fails when the runs on its cores, averaged over `rules.fall`, exceed that concurrency.

use crate::events::Gauges;
use crate::settings::Settings;

/// Fraction of the survivable concurrency that all runs, including those at upstream calls, may reach.
const SURVIVABLE_SHARE: f64 = 0.85;
/// CPU utilization below which the limit grows.
const MAX_UTILIZATION_TO_GROW: f64 = 0.95;
/// Concurrency per core below which the limit may grow, and above whose smoothed value it shrinks.
const TARGET_CONCURRENCY_PER_CORE: f64 = 1.15;
/// Weight of a new sample in the smoothed concurrency.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Runs added to the limit per sampling period while it grows.
const INCREASE_STEP: f64 = 0.5;
/// Runs taken off the limit per sampling period while it shrinks.
const DECREASE_STEP: f64 = 0.25;

/// The load on the cores in a sampling period, in addition to the gauges.
pub(crate) struct CoreLoad {
    pub(crate) cores: f64,
    pub(crate) has_queued_requests: bool,
    /// Fraction of the cores that the floor of the limit reserves for runs; the rest reads requests.
    pub(crate) floor_share: f64,
}

/// The limit, and the numbers of runs that count against it.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    runs_on_cores: usize,
    runs_at_calls: usize,
    limit: f64,
    /// Upper bound of the runs on the cores and at upstream calls together.
    ceiling: f64,
    smoothed_on_cores: f64,
}

impl ConcurrencyLimit {
    /// Starts with a limit of one run per core.
    pub(crate) fn new(cores: f64) -> Self {
        Self { limit: cores, ceiling: cores, ..Self::default() }
    }

    /// Sets the ceiling for the present speed of the cores, given as a fraction of their full speed.
    pub(crate) fn set_ceiling(&mut self, speed_share: f64, settings: &Settings) {
        let cores = f64::from(settings.specifics.n_cores);
        let survivable = cores * (1.0 + (settings.rules.max_concurrency_per_core - 1.0) * speed_share);
        self.ceiling = (survivable * SURVIVABLE_SHARE).max(1.0);
    }

    /// Adapts the limit to the load of one sampling period.
    pub(crate) fn adapt(&mut self, gauges: &Gauges, load: &CoreLoad) {
        let target = load.cores * TARGET_CONCURRENCY_PER_CORE;
        let runnable = gauges.runnable.unwrap_or(self.runs_on_cores as f64);
        self.smoothed_on_cores += SAMPLE_WEIGHT * (runnable - self.smoothed_on_cores);
        let cpu_utilization = gauges.cpu_utilization.unwrap_or(runnable / load.cores);
        if cpu_utilization < MAX_UTILIZATION_TO_GROW && runnable < target && load.has_queued_requests {
            self.limit += INCREASE_STEP;
        } else if self.smoothed_on_cores > target {
            self.limit -= DECREASE_STEP;
        }
        let floor = load.cores * load.floor_share;
        self.limit = self.limit.clamp(floor.min(self.ceiling), self.ceiling.max(1.0));
    }

    /// Whether limit and ceiling allow one more run to start.
    pub(crate) fn admits_run(&self) -> bool {
        let is_within_limit = self.runs_on_cores as f64 + 1.0 <= self.limit.floor();
        let is_within_ceiling =
            (self.runs_on_cores + self.runs_at_calls) as f64 + 1.0 <= self.ceiling.floor().max(1.0);
        is_within_limit && is_within_ceiling
    }

    /// Number of runs that the limit still allows, at least 1.
    pub(crate) fn free_runs(&self) -> f64 {
        (self.limit - self.runs_on_cores as f64).max(1.0)
    }

    /// Number of runs that may be on the cores; its fractional part admits no run.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Number of runs that may be on the cores and at upstream calls together.
    pub(crate) fn ceiling(&self) -> f64 {
        self.ceiling
    }

    pub(crate) fn runs_on_cores(&self) -> usize {
        self.runs_on_cores
    }

    /// Whether fewer runs than `cores` are on the cores now.
    pub(crate) fn has_free_core(&self, cores: u32) -> bool {
        self.runs_on_cores < cores as usize
    }

    /// Whether some core is free now and, by the smoothed gauge, has been free lately.
    pub(crate) fn has_idle_cores(&self, cores: f64) -> bool {
        self.smoothed_on_cores < cores && (self.runs_on_cores as f64) < cores
    }

    /// Counts a queued request that starts to run.
    pub(crate) fn run_started(&mut self) {
        self.runs_on_cores += 1;
    }

    /// Removes a run that ended on the cores.
    pub(crate) fn run_ended(&mut self) {
        self.runs_on_cores -= 1;
    }

    /// Moves a run that needs an upstream call off the cores.
    pub(crate) fn run_awaits_call(&mut self) {
        self.runs_on_cores -= 1;
        self.runs_at_calls += 1;
    }

    /// Moves a run back onto the cores, after its upstream call or without it.
    pub(crate) fn run_resumed(&mut self) {
        self.runs_at_calls -= 1;
        self.runs_on_cores += 1;
    }

    /// Removes a run that ended while it needed an upstream call.
    pub(crate) fn run_ended_at_call(&mut self) {
        self.runs_at_calls -= 1;
    }
}
