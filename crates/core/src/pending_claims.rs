//! The keyed requests that wait for their runs' claims, where the two processes of an upgrade share their runs. No I/O: the
//! shell makes the claims and reports each result.

use gradepin_admission::{RequestId, Span};
use std::collections::BTreeSet;

/// The outcome of the other process's run is waited for this many times the deadline of its class: the run started no later
/// than the request that waits, and its process ends within that time after its notice to shut down.
const WAIT_DEADLINES: u64 = 2;

/// The claims that are pending. Bounded: one for each open request at the most.
#[derive(Debug, Default)]
pub struct PendingClaims {
    shared: bool,
    waiting: BTreeSet<RequestId>,
}

impl PendingClaims {
    /// For a process that shares its keyed runs.
    pub fn shared() -> Self {
        Self { shared: true, waiting: BTreeSet::new() }
    }

    /// Whether runs are shared.
    pub fn is_enabled(&self) -> bool {
        self.shared
    }

    /// A request waits for its claim. Returns how long it may, by the deadline of its class.
    pub fn add(&mut self, id: &RequestId, deadline: Span) -> Span {
        self.waiting.insert(id.clone());
        Span(deadline.0.saturating_mul(WAIT_DEADLINES))
    }

    /// The result of a claim came; false if no request waits for it any more.
    pub fn remove(&mut self, id: &RequestId) -> bool {
        self.waiting.remove(id)
    }
}
