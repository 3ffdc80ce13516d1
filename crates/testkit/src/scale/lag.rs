//! The lag of a load itself: what it measures of a server while it is late is of the load.

use crate::load::IntervalCounts;
use hdrhistogram::Histogram;

/// By how much a load was later than its schedule.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Lag {
    /// For 99 in 100 requests, in ms.
    pub p99_ms: f64,
}

/// What a load can't be told from.
#[derive(Debug, thiserror::Error)]
#[error("no request was served: nothing tells the load's own lag")]
pub struct NothingServed;

/// For each request that was served, by how many microseconds it was written later than its schedule has it.
pub fn times(live: &IntervalCounts) -> Vec<u64> {
    live.times_us
        .iter()
        .zip(&live.writes_us)
        .map(|(schedule, write)| schedule.saturating_sub(*write))
        .collect()
}

impl Lag {
    /// Of requests that were so many microseconds late.
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

    /// The worse of two.
    pub fn worse(self, other: Self) -> Self {
        Self { p99_ms: self.p99_ms.max(other.p99_ms) }
    }

    /// Why a run isn't scored, if it isn't.
    pub fn too_late(self, most_ms: f64) -> Option<String> {
        (self.p99_ms > most_ms).then(|| {
            format!("the load itself was late by {:.2} ms for 99 in 100, more than {most_ms} ms", self.p99_ms)
        })
    }
}

#[cfg(test)]
mod tests;
