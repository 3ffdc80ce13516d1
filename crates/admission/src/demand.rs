//! Recent demand: counts of arrived, retried and rejected requests that decay exponentially.

use crate::time::{Span, span_seconds};

/// Time constant of all decaying counts.
pub(crate) const COUNT_TIME_CONSTANT_SECONDS: f64 = 8.0;
/// Requests; a count below it changes no sum any more and need not decay further.
pub(crate) const NEGLIGIBLE_COUNT: f64 = 1e-18;

/// Share of retries among the arrivals past which the fleet counts as overloaded.
const OVERLOADED_RETRY_SHARE: f64 = 0.1;
/// Share of own rejections among the arrivals that says the same where retries are not marked.
const OVERLOADED_REJECTION_SHARE: f64 = 0.2;
/// Arrivals; fewer count as this many, or a single retry would stand for a trend.
const MIN_ARRIVALS: f64 = 5.0;

/// Factor by which a decaying count shrinks over a period.
pub(crate) fn decay_factor(period: Span) -> f64 {
    (-span_seconds(period) / COUNT_TIME_CONSTANT_SECONDS).exp()
}

/// Decaying counts of requests on this server.
#[derive(Debug, Default)]
pub(crate) struct RecentDemand {
    arrivals: f64,
    retries: f64,
    rejections: f64,
}

impl RecentDemand {
    /// Counts an attempt that was read.
    pub(crate) fn count_arrival(&mut self, is_retry: bool) {
        self.arrivals += 1.0;
        if is_retry {
            self.retries += 1.0;
        }
    }

    /// Counts an attempt that this server rejected.
    pub(crate) fn count_rejection(&mut self) {
        self.rejections += 1.0;
    }

    /// Ends a period; see [`decay_factor`].
    pub(crate) fn decay(&mut self, factor: f64) {
        self.arrivals *= factor;
        self.retries *= factor;
        self.rejections *= factor;
    }

    /// Arrivals that were not marked as retries.
    pub(crate) fn first_attempts(&self) -> f64 {
        self.arrivals - self.retries
    }

    /// Mean time between two requests of one of so many callers.
    pub(crate) fn seconds_per_caller_request(&self, callers: u32) -> f64 {
        f64::from(callers) * COUNT_TIME_CONSTANT_SECONDS / self.arrivals.max(1.0)
    }

    /// Whether many arrivals were rejected elsewhere before, so that the fleet is full and not this server
    /// alone. Where retries are not marked, this server's own rejections stand in, and more of them are
    /// needed.
    pub(crate) fn is_fleet_overloaded(&self, marks_retries: bool) -> bool {
        let arrivals = self.arrivals.max(MIN_ARRIVALS);
        if marks_retries {
            self.retries > OVERLOADED_RETRY_SHARE * arrivals
        } else {
            self.rejections > OVERLOADED_REJECTION_SHARE * arrivals
        }
    }
}
