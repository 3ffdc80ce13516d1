//! The idle timeout of connections.
//!
//! Open connections cost core time and places in a table of unknown size, new ones cost work. While cores
//! idle, rare callers give their places back for others; while work is rejected beside many readings and
//! new connections, callers keep their places: those that find no place cost nothing here.

use crate::events::Gauges;
use crate::time::{Span, span_from_seconds, span_seconds};

/// Least part of the callers' own idle timeout after which connections are closed.
const MIN_TIMEOUT_FRACTION: f64 = 0.1;
/// Per sampling period; by which the part moves, which takes it through its range in some 3 s.
const TIMEOUT_STEP: f64 = 0.1;
/// Share of the cores in use below which connections are closed sooner, so that more callers find
/// a place.
const IDLE_CORE_USE: f64 = 0.9;
/// Readings and new connections per core, beside the runs, from which on there are too many of them.
const MAX_INTAKE_PER_CORE: f64 = 0.8;
/// Weight of a new sample in the smoothed intake.
const SAMPLE_WEIGHT: f64 = 0.1;

/// What a sampling period shows of the load, beside the gauges.
pub(crate) struct IntakeLoad {
    pub(crate) cores: f64,
    pub(crate) runs_on_cores: usize,
    pub(crate) has_held_requests: bool,
    /// Whether requests were rejected for lack of capacity in this period.
    pub(crate) has_rejected: bool,
    /// After which callers close idle connections themselves.
    pub(crate) callers_idle_timeout: Span,
}

/// The timeout in force, as a part of the callers' own.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    timeout_fraction: f64,
    last_reported_fraction: f64,
    /// Smoothed number of readings and new connections on the cores.
    smoothed_intake: f64,
    reading_fills_cores: bool,
}

impl IdleConnections {
    /// Nothing reported yet, and the shortest timeout.
    pub(crate) fn new() -> Self {
        Self { timeout_fraction: MIN_TIMEOUT_FRACTION, ..Self::default() }
    }

    /// Whether readings and new connections alone fill the cores.
    pub(crate) fn reading_fills_cores(&self) -> bool {
        self.reading_fills_cores
    }

    /// Takes in one sampling period. Returns the idle timeout where it has changed enough to be set anew.
    pub(crate) fn sample(&mut self, gauges: &Gauges, load: &IntakeLoad) -> Option<Span> {
        let intake = gauges.runnable.map_or(0.0, |runnable| runnable - load.runs_on_cores as f64);
        self.smoothed_intake += SAMPLE_WEIGHT * (intake - self.smoothed_intake);
        let is_idle = gauges.cpu_utilization.is_some_and(|cpu_utilization| cpu_utilization < IDLE_CORE_USE);
        self.reading_fills_cores = !is_idle && intake >= load.cores && !load.has_held_requests;
        let has_too_much_intake = self.smoothed_intake > MAX_INTAKE_PER_CORE * load.cores;
        let is_overloaded = !is_idle && load.has_rejected && has_too_much_intake;
        self.move_timeout(is_overloaded, is_idle);
        self.timeout_to_report(load.callers_idle_timeout)
    }

    /// Keeps connections longer while overloaded, closes them sooner while idle.
    fn move_timeout(&mut self, is_overloaded: bool, is_idle: bool) {
        let direction = f64::from(u8::from(is_overloaded)) - f64::from(u8::from(is_idle));
        let step = TIMEOUT_STEP * direction;
        self.timeout_fraction = (self.timeout_fraction * (1.0 + step)).clamp(MIN_TIMEOUT_FRACTION, 1.0);
    }

    fn timeout_to_report(&mut self, callers_idle_timeout: Span) -> Option<Span> {
        let change = (self.timeout_fraction - self.last_reported_fraction).abs();
        if change > TIMEOUT_STEP * self.last_reported_fraction {
            self.last_reported_fraction = self.timeout_fraction;
            Some(span_from_seconds(span_seconds(callers_idle_timeout) * self.timeout_fraction))
        } else {
            None
        }
    }
}
