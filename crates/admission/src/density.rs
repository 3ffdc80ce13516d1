//! Ranking of requests by density: the priority weight that a request can still earn per core second.
//!
//! Of two requests with equal densities, the one that was read first ranks higher.

use crate::open_requests::Sequence;
use std::cmp::Ordering;

/// A request with its density at the time of ranking.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RankedRequest {
    pub(crate) density: f64,
    pub(crate) sequence: Sequence,
}

impl RankedRequest {
    /// Orders by rank, lowest first.
    fn compare(&self, other: &Self) -> Ordering {
        self.density.total_cmp(&other.density).then(other.sequence.cmp(&self.sequence))
    }
}

pub(crate) fn highest(requests: impl Iterator<Item = RankedRequest>) -> Option<RankedRequest> {
    requests.max_by(RankedRequest::compare)
}

pub(crate) fn lowest(requests: impl Iterator<Item = RankedRequest>) -> Option<RankedRequest> {
    requests.min_by(RankedRequest::compare)
}

/// All requests by rank, highest first.
pub(crate) fn highest_first(requests: impl Iterator<Item = RankedRequest>) -> Vec<RankedRequest> {
    let mut ranked: Vec<RankedRequest> = requests.collect();
    ranked.sort_by(|a, b| b.compare(a));
    ranked
}
