//! Which keyed requests wait to hear whether their run is this process's, where the two processes of an upgrade share
//! them. No I/O: the shell makes the claims, and what became of each is told.

use gradepin_admission::{RequestId, Span};
use std::collections::BTreeSet;

/// The end of another process's run is waited for so many times the deadline of its class: it was begun no later
/// than the request that waits, and its process lives no longer than that after its notice to leave.
const PATIENCE_MULTIPLE: u64 = 2;

/// The claims of one server. Bounded: an entry for a request that is open.
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

    /// A request of a class with this deadline waits from now on; how long it may.
    pub fn add(&mut self, id: &RequestId, deadline: Span) -> Span {
        self.waiting.insert(id.clone());
        Span(deadline.0.saturating_mul(PATIENCE_MULTIPLE))
    }

    /// A claim is told; false if nothing waits for it any more.
    pub fn remove(&mut self, id: &RequestId) -> bool {
        self.waiting.remove(id)
    }
}
