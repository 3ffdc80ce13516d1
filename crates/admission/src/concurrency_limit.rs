//! The concurrency limit: how many runs may be on the cores at once.
//!
//! The limit grows while cores idle and requests are held, and shrinks while the cores are crowded. Its
//! floor is the number of cores; the floor gives way while requests wait unread, as runs and the reading of
//! requests compete for the cores. Its ceiling is a share of the survivable concurrency: a server dies when
//! the runs on its cores, averaged over a time, exceed what it survives.

use crate::events::Gauges;
use crate::settings::Settings;

/// Share of the survivable concurrency that runs, those at upstream calls included, may reach.
const SURVIVABLE_SHARE: f64 = 0.85;
/// Share of the cores in use below which the limit grows.
const CORE_USE_TO_GROW: f64 = 0.95;
/// Concurrency per core up to which the limit may grow, and above which, smoothed, it shrinks.
const TARGET_CONCURRENCY_PER_CORE: f64 = 1.15;
/// Weight of a new sample in the smoothed concurrency.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Runs per sampling period by which the limit grows.
const GROWTH_STEP: f64 = 0.5;
/// Runs per sampling period by which the limit shrinks.
const SHRINK_STEP: f64 = 0.25;

/// What a sampling period shows of the load on the cores, beside the gauges.
pub(crate) struct CoreLoad {
    pub(crate) cores: f64,
    pub(crate) has_held_requests: bool,
    /// Share of the cores that the limit's floor grants to runs, beside the reading of requests.
    pub(crate) floor_share: f64,
}

/// The limit, and the counts of runs that it applies to.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    runs_on_cores: usize,
    runs_at_calls: usize,
    limit: f64,
    /// Runs that may be on the cores and at calls together: the survivable concurrency less a margin.
    ceiling: f64,
    smoothed_on_cores: f64,
}

impl ConcurrencyLimit {
    /// No runs yet, and a limit of one a core.
    pub(crate) fn new(cores: f64) -> Self {
        Self { limit: cores, ceiling: cores, ..Self::default() }
    }

    /// Sets the ceiling for the present speed of the cores, a share of their full speed.
    pub(crate) fn set_ceiling(&mut self, speed_share: f64, settings: &Settings) {
        let cores = f64::from(settings.specifics.n_cores);
        let survivable = cores * (1.0 + (settings.rules.max_concurrency_per_core - 1.0) * speed_share);
        self.ceiling = (survivable * SURVIVABLE_SHARE).max(1.0);
    }

    /// Adapts the limit to the gauges of one sampling period.
    pub(crate) fn adapt(&mut self, gauges: &Gauges, load: &CoreLoad) {
        let target = load.cores * TARGET_CONCURRENCY_PER_CORE;
        let runnable = gauges.runnable.unwrap_or(self.runs_on_cores as f64);
        self.smoothed_on_cores += SAMPLE_WEIGHT * (runnable - self.smoothed_on_cores);
        let cpu_utilization = gauges.cpu_utilization.unwrap_or(runnable / load.cores);
        if cpu_utilization < CORE_USE_TO_GROW && runnable < target && load.has_held_requests {
            self.limit += GROWTH_STEP;
        } else if self.smoothed_on_cores > target {
            self.limit -= SHRINK_STEP;
        }
        let floor = load.cores * load.floor_share;
        self.limit = self.limit.clamp(floor.min(self.ceiling), self.ceiling.max(1.0));
    }

    /// Whether one more run may start.
    pub(crate) fn admits_run(&self) -> bool {
        let is_within_limit = self.runs_on_cores as f64 + 1.0 <= self.limit.floor();
        let is_within_ceiling =
            (self.runs_on_cores + self.runs_at_calls) as f64 + 1.0 <= self.ceiling.floor().max(1.0);
        is_within_limit && is_within_ceiling
    }

    /// Runs that the limit has capacity for, at least one.
    pub(crate) fn free_runs(&self) -> f64 {
        (self.limit - self.runs_on_cores as f64).max(1.0)
    }

    /// Runs that may be on the cores; a fraction counts as none.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Runs that may be on the cores and at calls together.
    pub(crate) fn ceiling(&self) -> f64 {
        self.ceiling
    }

    /// Runs on the cores now.
    pub(crate) fn runs_on_cores(&self) -> usize {
        self.runs_on_cores
    }

    /// Whether some core has no run now.
    pub(crate) fn has_free_core(&self, cores: u32) -> bool {
        self.runs_on_cores < cores as usize
    }

    /// Whether cores have been free lately, by the smoothed gauge, and are now.
    pub(crate) fn has_idle_cores(&self, cores: f64) -> bool {
        self.smoothed_on_cores < cores && (self.runs_on_cores as f64) < cores
    }

    /// A held request starts to run.
    pub(crate) fn run_started(&mut self) {
        self.runs_on_cores += 1;
    }

    /// A run ended that was on the cores.
    pub(crate) fn run_ended(&mut self) {
        self.runs_on_cores -= 1;
    }

    /// A run left the cores, for it needs an upstream call.
    pub(crate) fn run_awaits_call(&mut self) {
        self.runs_on_cores -= 1;
        self.runs_at_calls += 1;
    }

    /// A run is back on the cores, after its call or without it.
    pub(crate) fn run_resumed(&mut self) {
        self.runs_at_calls -= 1;
        self.runs_on_cores += 1;
    }

    /// A run ended while it needed an upstream call.
    pub(crate) fn run_ended_at_call(&mut self) {
        self.runs_at_calls -= 1;
    }
}
