//! Recent demand: exponentially decaying counts of arrived, retried and rejected requests.

use crate::time::{Span, span_seconds};

/// Time constant of all decaying counts.
pub(crate) const COUNT_TIME_CONSTANT_SECONDS: f64 = 8.0;
/// Number of requests below which a count no longer changes any sum and need not decay further.
pub(crate) const NEGLIGIBLE_COUNT: f64 = 1e-18;

/// Fraction of retries among the arrivals above which the fleet counts as overloaded.
const OVERLOADED_RETRY_SHARE: f64 = 0.1;
/// The same for this server's own rejections among the arrivals, used where retries are not marked.
const OVERLOADED_REJECTION_SHARE: f64 = 0.2;
/// Lower bound of the arrivals in these fractions; a single retry is no sign of overload.
const MIN_ARRIVALS: f64 = 5.0;

/// Factor by which a decaying count shrinks in a period.
pub(crate) fn decay_factor(period: Span) -> f64 {
    (-span_seconds(period) / COUNT_TIME_CONSTANT_SECONDS).exp()
}

/// Decaying counts of the requests that reached this server.
#[derive(Debug, Default)]
pub(crate) struct RecentDemand {
    arrivals: f64,
    retries: f64,
    rejections: f64,
}

impl RecentDemand {
    pub(crate) fn count_arrival(&mut self, is_retry: bool) {
        self.arrivals += 1.0;
        if is_retry {
            self.retries += 1.0;
        }
    }

    pub(crate) fn count_rejection(&mut self) {
        self.rejections += 1.0;
    }

    /// Multiplies all counts by the [`decay_factor`] of a period.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.arrivals *= factor;
        self.retries *= factor;
        self.rejections *= factor;
    }

    /// Decayed count of arrivals that were not marked as retries.
    pub(crate) fn first_attempts(&self) -> f64 {
        self.arrivals - self.retries
    }

    /// Mean time in seconds between two requests of one caller, given the number of callers.
    pub(crate) fn seconds_per_caller_request(&self, callers: u32) -> f64 {
        f64::from(callers) * COUNT_TIME_CONSTANT_SECONDS / self.arrivals.max(1.0)
    }

    /// Whether the whole fleet is overloaded and not this server alone: many arrivals are retries of requests
    /// that other servers rejected. Where retries are not marked, a higher fraction of rejections by this
    /// server is used instead.
    pub(crate) fn is_fleet_overloaded(&self, marks_retries: bool) -> bool {
        let arrivals = self.arrivals.max(MIN_ARRIVALS);
        if marks_retries {
            self.retries > OVERLOADED_RETRY_SHARE * arrivals
        } else {
            self.rejections > OVERLOADED_REJECTION_SHARE * arrivals
        }
    }
}
