//! Estimates of each request class, by slot: core time and latency of its runs, and its recent demand.
//!
//! Estimates start at a fraction of the class's latency objective and follow the runs by exponential
//! averages. An estimate that has grown so long that no request of the class is started would never be
//! corrected by a run, so estimates decay to their initial value while the class has no runs.

use crate::class_definition::ClassDefinition;
use crate::demand::NEGLIGIBLE_COUNT;
use crate::time::{Span, span_seconds};
use std::sync::Arc;

/// Estimated run time before the first run, as a fraction of the class's latency objective.
const INITIAL_RUN_FRACTION: f64 = 0.125;
/// Weight of a run in the estimates of its class: about a dozen runs replace them.
const RUN_WEIGHT: f64 = 0.12;
/// Lower bound of the core time of a run; avoids a division by 0.
const MIN_CORE_SECONDS: f64 = 1e-4;
/// Upper bound of the core seconds per second of declared work that one run contributes to the estimate.
const MAX_CORE_SECONDS_PER_WORK: f64 = 100.0;
/// Lower bound of an estimate from declared work, as a multiple of the mean run of the class.
const MIN_RUN_RATIO: f64 = 0.1;
/// Upper bound of an estimate from declared work, as a multiple of the mean run of the class.
const MAX_RUN_RATIO: f64 = 10.0;
/// Requests that count towards the demand for each defined class, even if it receives none.
const BASE_DEMAND: f64 = 0.1;
/// Sampling periods without a run after which estimates start to decay.
const PERIODS_BEFORE_DECAY: f64 = 10.0;
/// Fraction of the distance to the initial estimate by which estimates decay per sampling period.
const DECAY_RATE: f64 = 0.03;
/// Sampling periods without a run after which every estimate has decayed to its initial value.
const PERIODS_UNTIL_DECAYED: f64 = 4_000.0;

/// The estimates of one class. A free slot has an empty class name and no base demand.
#[derive(Debug, Default)]
pub(crate) struct ClassEstimate {
    definition: Arc<ClassDefinition>,
    /// [`BASE_DEMAND`], or 0 where the slot is free.
    base_demand: f64,
    /// Whether the slot is listed in [`ClassEstimates::recently_used`].
    is_recently_used: bool,
    /// Mean time that a run spends on the cores.
    core_seconds: f64,
    /// Mean latency of a run, including waits for the disk and for upstream calls.
    latency_seconds: f64,
    core_seconds_per_work: f64,
    completed_runs: f64,
    /// Decaying count of first attempts.
    first_attempts: f64,
    /// Estimate of the core time and of the latency before the first run.
    initial_seconds: f64,
    periods_without_run: f64,
}

impl ClassEstimate {
    fn new(definition: Arc<ClassDefinition>) -> Self {
        let initial_seconds = span_seconds(definition.profile.latency_objective) * INITIAL_RUN_FRACTION;
        let is_free = definition.profile.name.is_empty();
        Self {
            definition,
            base_demand: if is_free { 0.0 } else { BASE_DEMAND },
            core_seconds: initial_seconds,
            latency_seconds: initial_seconds,
            initial_seconds,
            core_seconds_per_work: 1.0,
            ..Self::default()
        }
    }

    pub(crate) fn definition(&self) -> &Arc<ClassDefinition> {
        &self.definition
    }

    /// Mean core time of the runs of the class, in seconds.
    pub(crate) fn core_seconds(&self) -> f64 {
        self.core_seconds
    }

    /// Estimated run time before the first run, in seconds.
    pub(crate) fn initial_seconds(&self) -> f64 {
        self.initial_seconds
    }

    /// Whether the estimates come from at least one run, and not from the latency objective alone.
    pub(crate) fn has_completed_runs(&self) -> bool {
        self.completed_runs != 0.0
    }

    /// Estimated core time, in seconds, of a run with the given declared work.
    pub(crate) fn run_seconds(&self, work_seconds: Option<f64>) -> f64 {
        match work_seconds {
            Some(work) if self.completed_runs > 0.0 => {
                let (min, max) = (self.core_seconds * MIN_RUN_RATIO, self.core_seconds * MAX_RUN_RATIO);
                (work * self.core_seconds_per_work).clamp(min, max)
            }
            _ => self.core_seconds,
        }
    }

    /// Estimated latency, in seconds, of a run that starts now and takes `run_seconds` on the cores.
    pub(crate) fn base_latency_seconds(&self, run_seconds: f64) -> f64 {
        self.latency_seconds.min(self.latency_seconds - self.core_seconds + run_seconds)
    }

    /// Adds a run that succeeded. Its upstream calls count as latency, but not as core time.
    fn learn_run(&mut self, took: Span, call_seconds: f64, work_seconds: Option<f64>) {
        let core_seconds = (span_seconds(took) - call_seconds).max(MIN_CORE_SECONDS);
        self.completed_runs += 1.0;
        self.periods_without_run = 0.0;
        let weight = RUN_WEIGHT.max(1.0 / self.completed_runs);
        self.core_seconds += weight * (core_seconds - self.core_seconds);
        self.latency_seconds += weight * (span_seconds(took) - self.latency_seconds);
        if let Some(work) = work_seconds.filter(|&work| work > 0.0) {
            let per_work = (core_seconds / work).min(MAX_CORE_SECONDS_PER_WORK);
            self.core_seconds_per_work += weight * (per_work - self.core_seconds_per_work);
        }
    }

    /// Decays demand and estimates by one sampling period. Returns false once neither changes any more.
    fn end_period(&mut self, decay_factor: f64) -> bool {
        self.first_attempts *= decay_factor;
        self.periods_without_run += 1.0;
        if self.periods_without_run > PERIODS_BEFORE_DECAY {
            self.core_seconds -= DECAY_RATE * (self.core_seconds - self.initial_seconds).max(0.0);
            self.latency_seconds -= DECAY_RATE * (self.latency_seconds - self.initial_seconds).max(0.0);
        }
        self.first_attempts > NEGLIGIBLE_COUNT || self.periods_without_run < PERIODS_UNTIL_DECAYED
    }
}

/// The defined classes, by slot. Grows with the slots that the host assigns.
#[derive(Debug, Default)]
pub(crate) struct ClassEstimates {
    classes: Vec<ClassEstimate>,
    /// Slots whose estimates or demand still change between periods; no slot is listed twice.
    recently_used: Vec<usize>,
    /// Shortest latency objective of all classes; infinite without classes.
    shortest_objective_seconds: f64,
    is_shortest_objective_stale: bool,
}

impl ClassEstimates {
    pub(crate) fn new() -> Self {
        Self { shortest_objective_seconds: f64::INFINITY, ..Self::default() }
    }

    /// Sets the class of a slot. The estimates are kept if the name of the class stays the same.
    pub(crate) fn put(&mut self, slot: usize, definition: Arc<ClassDefinition>) {
        self.classes.resize_with(self.classes.len().max(slot + 1), ClassEstimate::default);
        self.shortest_objective_seconds =
            self.shortest_objective_seconds.min(span_seconds(definition.profile.latency_objective));
        self.is_shortest_objective_stale = true;
        let class = &mut self.classes[slot];
        if class.definition.profile.name == definition.profile.name {
            class.definition = definition;
        } else {
            // Keeps the flag, because a listed slot would otherwise be listed twice.
            let is_recently_used = class.is_recently_used;
            *class = ClassEstimate { is_recently_used, ..ClassEstimate::new(definition) };
        }
    }

    /// The estimates of the class in a slot, which must have been set before.
    pub(crate) fn estimate(&self, slot: usize) -> &ClassEstimate {
        &self.classes[slot]
    }

    /// Whether a slot has a class, and is not free.
    pub(crate) fn is_defined(&self, slot: usize) -> bool {
        self.classes.get(slot).is_some_and(|class| class.base_demand > 0.0)
    }

    /// Records the arrival of a request, after which the estimates of its class decay from period to period.
    pub(crate) fn note_arrival(&mut self, slot: usize) {
        let class = &mut self.classes[slot];
        if !class.is_recently_used {
            self.recently_used.push(slot);
        }
        class.is_recently_used = true;
        class.periods_without_run = class.periods_without_run.min(PERIODS_BEFORE_DECAY);
    }

    /// Counts a first attempt towards the demand of its class.
    pub(crate) fn count_first_attempt(&mut self, slot: usize) {
        self.classes[slot].first_attempts += 1.0;
    }

    /// Adds a run that succeeded to the estimates of its class.
    pub(crate) fn learn_run(
        &mut self,
        slot: usize,
        took: Span,
        call_seconds: f64,
        work_seconds: Option<f64>,
    ) {
        self.classes[slot].learn_run(took, call_seconds, work_seconds);
    }

    /// Recomputes the shortest objective if classes were changed or removed.
    pub(crate) fn refresh_shortest_objective(&mut self) {
        if std::mem::take(&mut self.is_shortest_objective_stale) {
            let objectives =
                self.classes.iter().map(|class| span_seconds(class.definition.profile.latency_objective));
            self.shortest_objective_seconds = objectives.fold(f64::INFINITY, f64::min);
        }
    }

    /// Decays demand, and the estimates of classes without runs, by one sampling period.
    pub(crate) fn end_period(&mut self, decay_factor: f64) {
        let classes = &mut self.classes;
        self.recently_used.retain(|&slot| {
            let class = &mut classes[slot];
            class.is_recently_used = class.end_period(decay_factor);
            class.is_recently_used
        });
    }

    /// Shortest latency objective of all classes, in seconds. Limits that are not per class scale with it.
    pub(crate) fn shortest_objective_seconds(&self) -> f64 {
        self.shortest_objective_seconds
    }

    /// Mean core time of a run in seconds, over all classes weighted by their demand.
    pub(crate) fn mean_run_seconds(&self) -> f64 {
        let demand = |class: &ClassEstimate| class.first_attempts + class.base_demand;
        let total: f64 = self.classes.iter().map(demand).sum();
        self.classes.iter().map(|class| class.core_seconds * demand(class) / total).sum()
    }
}
