//! Advice to callers: the capacity that is advertised with every response, before anything must be rejected.

use crate::settings::Settings;
use crate::specifics::CapacitySignal;

/// Part of the shortest latency objective that held requests may take before the advertised share falls.
const MAX_QUEUE_OBJECTIVES: f64 = 0.5;
/// Share of that time below which the advertised share grows.
const LOW_QUEUE_FILL: f64 = 0.5;
/// Part of the shortest latency objective that the windows of all callers may fill with held requests.
const WINDOW_QUEUE_OBJECTIVES: f64 = 0.25;
/// Per sampling period; factor by which the advertised share falls.
const ACCEPTED_SHARE_FALL: f64 = 0.95;
/// Per sampling period; what is added to the advertised share.
const ACCEPTED_SHARE_GROWTH: f64 = 0.02;
/// Least advertised share.
const MIN_ACCEPTED_SHARE: f64 = 0.05;
/// Relative change from which on a value is advertised anew.
const MIN_RELATIVE_CHANGE: f64 = 0.1;
/// Advertised values are rounded to a millionth.
const VALUES_PER_UNIT: f64 = 1e6;
/// Seconds; the least mean run, so that nothing is divided by 0.
const MIN_MEAN_RUN_SECONDS: f64 = 1e-3;

/// What capacity is computed from.
pub(crate) struct Capacity {
    /// Share of the capacity that is open to callers, from 0 (closed) to 1.
    pub(crate) open_share: f64,
    pub(crate) concurrency_limit: f64,
    pub(crate) mean_run_seconds: f64,
    pub(crate) shortest_objective_seconds: f64,
}

impl Capacity {
    /// Requests that all callers together may have open here.
    fn requests(&self) -> f64 {
        let mean_run_seconds = self.mean_run_seconds.max(MIN_MEAN_RUN_SECONDS);
        let held_per_run = WINDOW_QUEUE_OBJECTIVES * self.shortest_objective_seconds / mean_run_seconds;
        self.open_share * self.concurrency_limit * (1.0 + held_per_run)
    }
}

/// What callers were advised last, and what the next advice rests on.
#[derive(Debug, Default)]
pub(crate) struct Advice {
    /// Share of the requests that callers would send here of their own accord.
    accepted_share: f64,
    /// Whether requests were rejected for lack of capacity in this sampling period.
    has_rejected: bool,
    last_advertised: f64,
}

impl Advice {
    /// Nothing advertised yet: a negative value differs from every value.
    pub(crate) fn new() -> Self {
        Self { last_advertised: -1.0, ..Self::default() }
    }

    /// Begins with a share of the requests: until its responses reach callers, a cold server gets all that
    /// they would send to a warm one.
    pub(crate) fn restart(&mut self, accepted_share: f64) {
        self.accepted_share = accepted_share;
    }

    /// Notes that a request was rejected for lack of capacity.
    pub(crate) fn note_rejection(&mut self) {
        self.has_rejected = true;
    }

    /// Whether requests were rejected for lack of capacity in this sampling period.
    pub(crate) fn has_rejected(&self) -> bool {
        self.has_rejected
    }

    /// Adapts the accepted share to the held requests and the rejections of one sampling period.
    pub(crate) fn end_period(&mut self, queue_seconds: f64, shortest_objective_seconds: f64) {
        let queue_fill = queue_seconds / (MAX_QUEUE_OBJECTIVES * shortest_objective_seconds);
        if self.has_rejected || queue_fill > 1.0 {
            self.accepted_share = (self.accepted_share * ACCEPTED_SHARE_FALL).max(MIN_ACCEPTED_SHARE);
        } else if queue_fill < LOW_QUEUE_FILL {
            self.accepted_share = (self.accepted_share + ACCEPTED_SHARE_GROWTH).min(1.0);
        }
        self.has_rejected = false;
    }

    /// The value to advertise, in the form that the site's callers understand; none where it hardly changed.
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
            Some((value * VALUES_PER_UNIT).round() / VALUES_PER_UNIT)
        } else {
            None
        }
    }
}
