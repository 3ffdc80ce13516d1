//! Graceful shutdown: the latest arrival that may still run, and the time by which all requests are answered.

use crate::settings::Settings;
use crate::time::{Span, Time, time_after, time_before};

/// Margin between the last response and the stop, in batch intervals.
const STOP_MARGIN_BATCHES: u64 = 4;
/// Upper bound of that margin: the time until the stop divided by this number.
const STOP_MARGIN_DIVISOR: u64 = 4;

/// The times of a graceful shutdown in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drain {
    /// Requests that reached the machine after this time are not run.
    last_arrival: Time,
    /// Time by which every request must have its response.
    answered_by: Time,
}

impl Drain {
    /// Starts a shutdown now; the process is stopped after `time_to_stop`.
    pub(crate) fn new(now: Time, time_to_stop: Span, settings: &Settings) -> Self {
        let batches = settings.min_batch_interval.0.saturating_mul(STOP_MARGIN_BATCHES);
        let margin = Span(batches.min(time_to_stop.0 / STOP_MARGIN_DIVISOR));
        Self {
            last_arrival: time_after(now, settings.rules.drain_grace),
            answered_by: time_before(time_after(now, time_to_stop), margin),
        }
    }

    /// Applies the limits of a shutdown that is already in progress; only its stop may come earlier.
    pub(crate) fn or_earlier(self, earlier: Option<Self>) -> Self {
        earlier.map_or(self, |earlier| Self {
            last_arrival: earlier.last_arrival.min(self.last_arrival),
            answered_by: earlier.answered_by.min(self.answered_by),
        })
    }

    /// Whether a request that reached the machine at the given time may still run.
    pub(crate) fn allows_run(&self, arrived_at: Time) -> bool {
        arrived_at <= self.last_arrival
    }

    /// Time by which every request must have its response.
    pub(crate) fn answered_by(&self) -> Time {
        self.answered_by
    }
}
