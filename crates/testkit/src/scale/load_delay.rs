//! Delay of the load generator itself. While it is late, its measurements describe the generator, not the server.

use crate::load::IntervalCounts;
use hdrhistogram::Histogram;

/// Delay of a load generator behind its schedule.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadDelay {
    /// 99th percentile over requests, in ms.
    pub p99_ms: f64,
}

/// The delay is unknown because no request was served.
#[derive(Debug, thiserror::Error)]
#[error("no request was served: nothing tells the load's own lag")]
pub struct NothingServed;

/// Delay of each served request from its scheduled arrival to its first write, in microseconds.
pub fn times(live: &IntervalCounts) -> Vec<u64> {
    live.times_us
        .iter()
        .zip(&live.writes_us)
        .map(|(schedule, write)| schedule.saturating_sub(*write))
        .collect()
}

impl LoadDelay {
    /// Computes the delay from those of single requests, in microseconds.
    pub fn of(late_us: &[u64]) -> Result<Self, NothingServed> {
        let mut all = Histogram::<u64>::new(3).map_err(|_| NothingServed)?;
        for &us in late_us {
            all.record(us).map_err(|_| NothingServed)?;
        }
        if all.is_empty() {
            return Err(NothingServed);
        }
        Ok(Self { p99_ms: all.value_at_quantile(0.99) as f64 / 1e3 })
    }

    /// The larger of two delays.
    pub fn worse(self, other: Self) -> Self {
        Self { p99_ms: self.p99_ms.max(other.p99_ms) }
    }

    /// Reason why a run isn't scored, if the delay exceeds `max_ms`.
    pub fn not_scored_reason(self, max_ms: f64) -> Option<String> {
        (self.p99_ms > max_ms).then(|| {
            format!("the load itself was late by {:.2} ms for 99 in 100, more than {max_ms} ms", self.p99_ms)
        })
    }
}

#[cfg(test)]
mod tests;
