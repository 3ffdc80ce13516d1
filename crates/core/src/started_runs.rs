//! The ids of requests without an idempotency key whose runs were started. A request that comes again under the id of such a
//! run is not run again, whatever became of the connection that it came on first.
//!
//! An id is kept for as long as its request may come again. Invariants: the number of ids is bounded; beyond it the oldest
//! is forgotten.

use gradepin_admission::{RequestId, Span, Time, time_after};
use std::collections::{HashSet, VecDeque};

/// Memory of an id in the set and in the queue, in bytes.
const ID_BYTES: usize = 128;

/// An id, and when it is forgotten.
#[derive(Debug)]
struct StartedRun {
    id: RequestId,
    expires_at: Time,
}

/// The ids of the runs that were started lately.
#[derive(Debug)]
pub struct StartedRuns {
    ids: HashSet<RequestId>,
    /// In the order of the starts.
    by_age: VecDeque<StartedRun>,
    max_ids: usize,
}

impl StartedRuns {
    /// Creates an empty set that uses at most this memory.
    pub fn new(max_bytes: usize) -> Self {
        Self { ids: HashSet::new(), by_age: VecDeque::new(), max_ids: (max_bytes / ID_BYTES).max(1) }
    }

    /// Number of ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Whether a run was started under this id.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.ids.contains(id)
    }

    /// Adds the id of a run that is started now, to be kept for `retention`, and forgets those that have expired.
    pub fn add(&mut self, id: &RequestId, now: Time, retention: Span) {
        self.forget_expired(now);
        if self.contains(id) {
            return;
        }
        if self.ids.len() >= self.max_ids {
            self.forget_oldest();
        }
        self.ids.insert(id.clone());
        self.by_age.push_back(StartedRun { id: id.clone(), expires_at: time_after(now, retention) });
    }

    /// Forgets expired ids, the oldest first; each addition pays for the removal of two.
    fn forget_expired(&mut self, now: Time) {
        for _ in 0..2 {
            if self.by_age.front().is_some_and(|oldest| oldest.expires_at <= now) {
                self.forget_oldest();
            }
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            self.ids.remove(&oldest.id);
        }
    }
}

#[cfg(test)]
mod tests;
