//! The keyed requests that wait for the claims of their runs, if the two processes of an upgrade share keyed runs. Does
//! no I/O: the shell makes the claims and reports the results.

use gradepin_admission::{RequestId, Span};
use std::collections::BTreeSet;

/// How long to wait for the outcome of the other process's run, as a multiple of the deadline of its class. That run
/// started no later than the waiting request, and its process ends within that time after its shutdown notice.
const WAIT_DEADLINES: u64 = 2;

/// The pending claims; at most one for each open request.
#[derive(Debug, Default)]
pub struct PendingClaims {
    shared: bool,
    waiting: BTreeSet<RequestId>,
}

impl PendingClaims {
    /// Creates the state of a process that shares its keyed runs.
    pub fn shared() -> Self {
        Self { shared: true, waiting: BTreeSet::new() }
    }

    /// Whether the process shares its keyed runs.
    pub fn is_enabled(&self) -> bool {
        self.shared
    }

    /// Adds a request that waits for its claim. Returns how long it may wait, by the deadline of its class.
    pub fn add(&mut self, id: &RequestId, deadline: Span) -> Span {
        self.waiting.insert(id.clone());
        Span(deadline.0.saturating_mul(WAIT_DEADLINES))
    }

    /// Removes a request whose claim was reported. Returns false if it no longer waits.
    pub fn remove(&mut self, id: &RequestId) -> bool {
        self.waiting.remove(id)
    }
}
