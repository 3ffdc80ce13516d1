//! The idle timeout of client connections.
//!
//! An open connection costs core time and an entry in a connection table of unknown size; a new connection
//! costs work. While cores idle, connections of infrequent callers are closed to free entries for others.
//! While requests are rejected beside many readings and new connections, connections stay open: callers that
//! find the table full cost this server nothing.

use crate::events::Gauges;
use crate::time::{Span, span_from_seconds, span_seconds};

/// Lower bound of the idle timeout, as a fraction of the callers' own idle timeout.
const MIN_TIMEOUT_FRACTION: f64 = 0.1;
/// Relative change of the idle timeout per sampling period. It crosses the whole range in about 3 s.
const TIMEOUT_STEP: f64 = 0.1;
/// CPU utilization below which the cores count as idle.
const IDLE_CPU_UTILIZATION: f64 = 0.9;
/// Readings and new connections per core above which the intake counts as too high.
const MAX_INTAKE_PER_CORE: f64 = 0.8;
/// Weight of a new sample in the smoothed intake.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The load of a sampling period, in addition to the gauges.
pub(crate) struct IntakeLoad {
    pub(crate) cores: f64,
    pub(crate) runs_on_cores: usize,
    pub(crate) has_queued_requests: bool,
    /// Whether a request was rejected for lack of capacity in the period.
    pub(crate) has_rejected: bool,
    /// Time after which callers close idle connections themselves.
    pub(crate) callers_idle_timeout: Span,
}

/// Adapts the idle timeout, as a fraction of the callers' own idle timeout.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    timeout_fraction: f64,
    last_reported_fraction: f64,
    /// Smoothed number of readings and new connections that need a core.
    smoothed_intake: f64,
    reading_fills_cores: bool,
}

impl IdleConnections {
    /// Starts with the shortest timeout, which the first sampling period reports.
    pub(crate) fn new() -> Self {
        Self { timeout_fraction: MIN_TIMEOUT_FRACTION, ..Self::default() }
    }

    /// Whether readings and new connections alone keep all cores busy.
    pub(crate) fn reading_fills_cores(&self) -> bool {
        self.reading_fills_cores
    }

    /// Adapts the timeout to one sampling period. Returns it if it has changed enough to be set again.
    pub(crate) fn sample(&mut self, gauges: &Gauges, load: &IntakeLoad) -> Option<Span> {
        let intake = gauges.runnable.map_or(0.0, |runnable| runnable - load.runs_on_cores as f64);
        self.smoothed_intake += SAMPLE_WEIGHT * (intake - self.smoothed_intake);
        let is_idle =
            gauges.cpu_utilization.is_some_and(|cpu_utilization| cpu_utilization < IDLE_CPU_UTILIZATION);
        self.reading_fills_cores = !is_idle && intake >= load.cores && !load.has_queued_requests;
        let has_too_much_intake = self.smoothed_intake > MAX_INTAKE_PER_CORE * load.cores;
        let is_overloaded = !is_idle && load.has_rejected && has_too_much_intake;
        self.move_timeout(is_overloaded, is_idle);
        self.timeout_to_report(load.callers_idle_timeout)
    }

    /// Raises the timeout while overloaded and lowers it while cores idle.
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
