//! Advice to callers: the capacity signal that is sent with every response.
//!
//! Callers that heed the signal reduce their load before this server has to reject requests.

use crate::settings::Settings;
use crate::specifics::CapacitySignal;

/// Time to run the wait queue, as a fraction of the shortest latency objective, above which the accepted
/// share shrinks.
const MAX_QUEUE_OBJECTIVE_FRACTION: f64 = 0.5;
/// Fraction of that time below which the accepted share grows.
const LOW_QUEUE_FILL: f64 = 0.5;
/// Time to run the requests that the concurrency windows allow beyond the concurrency limit, as a fraction
/// of the shortest latency objective.
const WINDOW_QUEUE_OBJECTIVE_FRACTION: f64 = 0.25;
/// Multiplicative decrease of the accepted share per sampling period.
const ACCEPTED_SHARE_DECREASE: f64 = 0.95;
/// Additive increase of the accepted share per sampling period.
const ACCEPTED_SHARE_INCREASE: f64 = 0.02;
/// Lower bound of the accepted share.
const MIN_ACCEPTED_SHARE: f64 = 0.05;
/// Relative change above which a new value is advertised.
const MIN_RELATIVE_CHANGE: f64 = 0.1;
/// Advertised values are rounded to a millionth.
const STEPS_PER_UNIT: f64 = 1e6;
/// Lower bound of the mean run time; avoids a division by 0.
const MIN_MEAN_RUN_SECONDS: f64 = 1e-3;

/// The state of the server from which the capacity signal is computed.
pub(crate) struct Capacity {
    /// Fraction of the capacity that is open to callers, from 0 (closed) to 1.
    pub(crate) open_share: f64,
    pub(crate) concurrency_limit: f64,
    pub(crate) mean_run_seconds: f64,
    pub(crate) shortest_objective_seconds: f64,
}

impl Capacity {
    /// Number of requests that all callers together may have open on this server.
    fn requests(&self) -> f64 {
        let mean_run_seconds = self.mean_run_seconds.max(MIN_MEAN_RUN_SECONDS);
        let queued_per_run =
            WINDOW_QUEUE_OBJECTIVE_FRACTION * self.shortest_objective_seconds / mean_run_seconds;
        self.open_share * self.concurrency_limit * (1.0 + queued_per_run)
    }
}

/// Computes the capacity signal and decides when it has changed enough to be advertised again.
#[derive(Debug, Default)]
pub(crate) struct Advice {
    /// Fraction of their requests that callers should send here, from [`MIN_ACCEPTED_SHARE`] to 1.
    accepted_share: f64,
    /// Whether a request was rejected for lack of capacity in the current sampling period.
    has_rejected: bool,
    last_advertised: f64,
}

impl Advice {
    /// The negative `last_advertised` differs from every value, so the first one is always advertised.
    pub(crate) fn new() -> Self {
        Self { last_advertised: -1.0, ..Self::default() }
    }

    /// Starts again from the given share. A cold server needs a low one, because callers send it as much as a
    /// warm server until its first responses reach them.
    pub(crate) fn restart(&mut self, accepted_share: f64) {
        self.accepted_share = accepted_share;
    }

    /// Records a rejection for lack of capacity.
    pub(crate) fn note_rejection(&mut self) {
        self.has_rejected = true;
    }

    /// Whether a request was rejected for lack of capacity in the current sampling period.
    pub(crate) fn has_rejected(&self) -> bool {
        self.has_rejected
    }

    /// Adapts the accepted share to the length of the wait queue and the rejections of one sampling period.
    pub(crate) fn end_period(&mut self, queue_seconds: f64, shortest_objective_seconds: f64) {
        let queue_fill = queue_seconds / (MAX_QUEUE_OBJECTIVE_FRACTION * shortest_objective_seconds);
        if self.has_rejected || queue_fill > 1.0 {
            self.accepted_share = (self.accepted_share * ACCEPTED_SHARE_DECREASE).max(MIN_ACCEPTED_SHARE);
        } else if queue_fill < LOW_QUEUE_FILL {
            self.accepted_share = (self.accepted_share + ACCEPTED_SHARE_INCREASE).min(1.0);
        }
        self.has_rejected = false;
    }

    /// The value to advertise in the configured form, or `None` while it has hardly changed.
    pub(crate) fn advertise(&mut self, capacity: &Capacity, settings: &Settings) -> Option<f64> {
        let value = match settings.specifics.capacity_signal {
            CapacitySignal::Off => return None,
            CapacitySignal::ConcurrencyWindow => {
                capacity.requests() / f64::from(settings.specifics.clients_total.max(1))
            }
            CapacitySignal::AcceptanceProbability => capacity.open_share * self.accepted_share,
            CapacitySignal::PrecedenceThreshold => 1.0 - capacity.open_share * self.accepted_share,
        };
        let change = (value - self.last_advertised).abs();
        if change > MIN_RELATIVE_CHANGE * self.last_advertised.abs() {
            self.last_advertised = value;
            Some((value * STEPS_PER_UNIT).round() / STEPS_PER_UNIT)
        } else {
            None
        }
    }
}
