//! Graceful shutdown: until when requests still run, and until when all must have their response.

use crate::settings::Settings;
use crate::time::{Span, Time, time_after, time_before};

/// Batches that may still come between the last response and the stop.
const STOP_MARGIN_BATCHES: u64 = 4;
/// The margin is at most the time until the stop divided by this.
const STOP_MARGIN_DIVISOR: u64 = 4;

/// The times of a shutdown that has begun.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drain {
    /// Requests that reached the machine later are not run.
    last_arrival: Time,
    /// When every request must have its response.
    answered_by: Time,
}

impl Drain {
    /// A shutdown that was announced now, with the process stopped so long from now.
    pub(crate) fn new(now: Time, time_to_stop: Span, settings: &Settings) -> Self {
        let batches = settings.min_batch_interval.0.saturating_mul(STOP_MARGIN_BATCHES);
        let margin = Span(batches.min(time_to_stop.0 / STOP_MARGIN_DIVISOR));
        Self {
            last_arrival: time_after(now, settings.rules.drain_grace),
            answered_by: time_before(time_after(now, time_to_stop), margin),
        }
    }

    /// Whether a request that reached the machine at a time may still run.
    pub(crate) fn allows_run(&self, arrived_at: Time) -> bool {
        arrived_at <= self.last_arrival
    }

    /// When every request must have its response.
    pub(crate) fn answered_by(&self) -> Time {
        self.answered_by
    }
}
