//! What is learnt of each request class, by slot: core time and latency of its runs, and recent demand.
//!
//! Estimates begin at a fraction of the class's latency objective and follow the runs by exponential
//! averages. An estimate grown so long that nothing of its class is started any more would never be
//! corrected: without runs it returns to where it began.

use crate::class_definition::ClassDefinition;
use crate::demand::NEGLIGIBLE_COUNT;
use crate::time::{Span, span_seconds};
use std::sync::Arc;

/// Fraction of its class's latency objective that a run is taken to need before any was seen.
const INITIAL_RUN_FRACTION: f64 = 0.125;
/// Weight of a run in its class's estimates: a dozen runs replace them.
const RUN_WEIGHT: f64 = 0.12;
/// Seconds; the least core time of a run, so that nothing is divided by 0.
const MIN_CORE_SECONDS: f64 = 1e-4;
/// Core seconds per second of declared work; the most that one run contributes to the estimate.
const MAX_CORE_SECONDS_PER_WORK: f64 = 100.0;
/// Least estimate of a run by its declared work, as a multiple of its class's mean run.
const MIN_RUN_RATIO: f64 = 0.1;
/// Greatest estimate of a run by its declared work, as a multiple of its class's mean run.
const MAX_RUN_RATIO: f64 = 10.0;
/// Requests by which each class in force counts in the mean run, whether it is in demand or not.
const BASE_DEMAND: f64 = 0.1;
/// Sampling periods without a run after which estimates return to where they began.
const PERIODS_BEFORE_RETURN: f64 = 10.0;
/// Per sampling period; the part of the way back to the initial estimate.
const RETURN_RATE: f64 = 0.03;
/// Sampling periods without a run after which every estimate is back where it began.
const PERIODS_UNTIL_RETURNED: f64 = 4_000.0;

/// The estimates of one class. A slot without a class has no name and no base demand.
#[derive(Debug, Default)]
pub(crate) struct ClassEstimate {
    definition: Arc<ClassDefinition>,
    /// [`BASE_DEMAND`], or 0 where the slot is free.
    base_demand: f64,
    /// Whether the slot is listed as recently used.
    is_recently_used: bool,
    /// Mean time on the cores of a run.
    core_seconds: f64,
    /// Mean latency of a run, waits for disk and upstream calls included.
    latency_seconds: f64,
    core_seconds_per_work: f64,
    completed_runs: f64,
    /// Decaying count of first attempts.
    first_attempts: f64,
    /// Run time assumed before any run was seen.
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

    /// The class as the configuration defines it.
    pub(crate) fn definition(&self) -> &Arc<ClassDefinition> {
        &self.definition
    }

    /// Mean core time of the class's runs.
    pub(crate) fn core_seconds(&self) -> f64 {
        self.core_seconds
    }

    /// Run time assumed before any run was seen, in seconds.
    pub(crate) fn initial_seconds(&self) -> f64 {
        self.initial_seconds
    }

    /// Whether the estimates rest on a run, and not on the class's latency objective alone.
    pub(crate) fn has_completed_runs(&self) -> bool {
        self.completed_runs != 0.0
    }

    /// Core time of a run with so much declared work, in seconds.
    pub(crate) fn run_seconds(&self, work_seconds: Option<f64>) -> f64 {
        match work_seconds {
            Some(work) if self.completed_runs > 0.0 => {
                let (min, max) = (self.core_seconds * MIN_RUN_RATIO, self.core_seconds * MAX_RUN_RATIO);
                (work * self.core_seconds_per_work).clamp(min, max)
            }
            _ => self.core_seconds,
        }
    }

    /// Latency, in seconds, of a run that starts at once and takes so long on the cores.
    pub(crate) fn base_latency_seconds(&self, run_seconds: f64) -> f64 {
        self.latency_seconds.min(self.latency_seconds - self.core_seconds + run_seconds)
    }

    /// Takes in a run that succeeded. Its time at upstream calls is latency, but no core time.
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

    /// Ends a sampling period. False once neither demand nor estimates change any more.
    fn end_period(&mut self, decay_factor: f64) -> bool {
        self.first_attempts *= decay_factor;
        self.periods_without_run += 1.0;
        if self.periods_without_run > PERIODS_BEFORE_RETURN {
            self.core_seconds -= RETURN_RATE * (self.core_seconds - self.initial_seconds).max(0.0);
            self.latency_seconds -= RETURN_RATE * (self.latency_seconds - self.initial_seconds).max(0.0);
        }
        self.first_attempts > NEGLIGIBLE_COUNT || self.periods_without_run < PERIODS_UNTIL_RETURNED
    }
}

/// The classes in force, by slot. Grows with the slots that the host gives out.
#[derive(Debug, Default)]
pub(crate) struct ClassEstimates {
    classes: Vec<ClassEstimate>,
    /// Slots whose figures still change from period to period; each once.
    recently_used: Vec<usize>,
    /// Seconds; the shortest latency objective of all classes.
    shortest_objective_seconds: f64,
    is_shortest_objective_stale: bool,
}

impl ClassEstimates {
    /// No classes yet.
    pub(crate) fn new() -> Self {
        Self { shortest_objective_seconds: f64::INFINITY, ..Self::default() }
    }

    /// Sets the class of a slot. What was learnt stays with the name of the class.
    pub(crate) fn put(&mut self, slot: usize, definition: Arc<ClassDefinition>) {
        self.classes.resize_with(self.classes.len().max(slot + 1), ClassEstimate::default);
        self.shortest_objective_seconds =
            self.shortest_objective_seconds.min(span_seconds(definition.profile.latency_objective));
        self.is_shortest_objective_stale = true;
        let class = &mut self.classes[slot];
        if class.definition.profile.name == definition.profile.name {
            class.definition = definition;
        } else {
            // The slot stays listed as recently used where it was, or it would be listed twice.
            let is_recently_used = class.is_recently_used;
            *class = ClassEstimate { is_recently_used, ..ClassEstimate::new(definition) };
        }
    }

    /// The estimates of a class that an open request is in.
    pub(crate) fn estimate(&self, slot: usize) -> &ClassEstimate {
        &self.classes[slot]
    }

    /// Whether a slot holds a class.
    pub(crate) fn is_in_force(&self, slot: usize) -> bool {
        self.classes.get(slot).is_some_and(|class| class.base_demand > 0.0)
    }

    /// Notes that a request of a class arrived, which keeps its estimates changing.
    pub(crate) fn note_arrival(&mut self, slot: usize) {
        let class = &mut self.classes[slot];
        if !class.is_recently_used {
            self.recently_used.push(slot);
        }
        class.is_recently_used = true;
        class.periods_without_run = class.periods_without_run.min(PERIODS_BEFORE_RETURN);
    }

    /// Counts a first attempt into the demand of its class.
    pub(crate) fn count_first_attempt(&mut self, slot: usize) {
        self.classes[slot].first_attempts += 1.0;
    }

    /// Takes in a run that succeeded.
    pub(crate) fn learn_run(
        &mut self,
        slot: usize,
        took: Span,
        call_seconds: f64,
        work_seconds: Option<f64>,
    ) {
        self.classes[slot].learn_run(took, call_seconds, work_seconds);
    }

    /// Brings the shortest objective up to date with classes that were changed or removed.
    pub(crate) fn refresh_shortest_objective(&mut self) {
        if std::mem::take(&mut self.is_shortest_objective_stale) {
            let objectives =
                self.classes.iter().map(|class| span_seconds(class.definition.profile.latency_objective));
            self.shortest_objective_seconds = objectives.fold(f64::INFINITY, f64::min);
        }
    }

    /// Decays demand, and returns estimates of classes that have no runs.
    pub(crate) fn end_period(&mut self, decay_factor: f64) {
        let classes = &mut self.classes;
        self.recently_used.retain(|&slot| {
            let class = &mut classes[slot];
            class.is_recently_used = class.end_period(decay_factor);
            class.is_recently_used
        });
    }

    /// Shortest latency objective of all classes, in seconds: the yardstick of what may take how long here.
    pub(crate) fn shortest_objective_seconds(&self) -> f64 {
        self.shortest_objective_seconds
    }

    /// Mean core time of a run over all classes, by their demand, in seconds.
    pub(crate) fn mean_run_seconds(&self) -> f64 {
        let demand = |class: &ClassEstimate| class.first_attempts + class.base_demand;
        let total: f64 = self.classes.iter().map(demand).sum();
        self.classes.iter().map(|class| class.core_seconds * demand(class) / total).sum()
    }
}
