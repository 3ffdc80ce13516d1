//! Ranking of requests by density: the priority weight that can still be earned per core second.
//!
//! Of equal densities, the request that was read first ranks higher.

use crate::open_requests::Sequence;
use std::cmp::Ordering;

/// A request with its density at the time of ranking.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RankedRequest {
    pub(crate) density: f64,
    pub(crate) sequence: Sequence,
}

impl RankedRequest {
    /// Orders from the lowest rank to the highest.
    fn compare(&self, other: &Self) -> Ordering {
        self.density.total_cmp(&other.density).then(other.sequence.cmp(&self.sequence))
    }
}

/// The request that ranks highest.
pub(crate) fn highest(requests: impl Iterator<Item = RankedRequest>) -> Option<RankedRequest> {
    requests.max_by(RankedRequest::compare)
}

/// The request that ranks lowest.
pub(crate) fn lowest(requests: impl Iterator<Item = RankedRequest>) -> Option<RankedRequest> {
    requests.min_by(RankedRequest::compare)
}

/// All requests by rank, from the highest.
pub(crate) fn highest_first(requests: impl Iterator<Item = RankedRequest>) -> Vec<RankedRequest> {
    let mut ranked: Vec<RankedRequest> = requests.collect();
    ranked.sort_by(|a, b| b.compare(a));
    ranked
}
