//! Counters of what happens to connections and requests beside their responses: why connections ended, why requests were
//! refused, runs that were sent to the processor again, and requests whose callers were gone. They start at 0 with the
//! process and never decrease.

use std::collections::BTreeMap;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The peer closed or reset it, or its socket failed.
    Peer,
    /// It was idle for too long, and its peer didn't close it when it was asked to.
    IdleTimeout,
    /// It was the longest idle one when a new connection needed its slot.
    Evicted,
    /// It completed no message within the time limit.
    MessageTimeout,
    /// The peer closed its half or sent malformed bytes, and all open requests were answered.
    HalfClosed,
    /// It used a reserved slot, or reused a sequence number, and its requests were answered.
    RejectsRequests,
    /// The process hands over or closes down.
    Shutdown,
}

impl CloseReason {
    /// All reasons, in the order in which they are published.
    pub const ALL: [Self; 7] = [
        Self::Peer,
        Self::IdleTimeout,
        Self::Evicted,
        Self::MessageTimeout,
        Self::HalfClosed,
        Self::RejectsRequests,
        Self::Shutdown,
    ];
}

/// Why a valid request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The admission module decided so.
    Admission,
    /// Too many requests are open on its connection, their bodies use up the memory, or its connection rejects all.
    OpenRequestLimit,
    /// No processor has connected yet.
    NoProcessor,
    /// The store can't record its run.
    Store,
    /// The retry budget of the cluster is used up.
    RetryBudget,
}

impl RefusalReason {
    /// All reasons, in the order in which they are published.
    pub const ALL: [Self; 5] =
        [Self::Admission, Self::OpenRequestLimit, Self::NoProcessor, Self::Store, Self::RetryBudget];
}

/// The counters of one process, or their values at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LifecycleCounters {
    closed: BTreeMap<CloseReason, u64>,
    refused: BTreeMap<RefusalReason, u64>,
    /// Runs that were sent to the processor again, because a link ended before their start was confirmed.
    pub runs_repeated: u64,
    /// Requests whose connection ended while a response was owed.
    pub callers_gone: u64,
    /// How often the server's wall clock was set.
    pub clock_steps: u64,
    /// Actions that violated an invariant of [`crate::lifecycle_guard`].
    pub violations: u64,
}

impl LifecycleCounters {
    /// Counts the end of a connection.
    pub fn count_close(&mut self, reason: CloseReason) {
        *self.closed.entry(reason).or_default() += 1;
    }

    /// Counts the refusal of a request.
    pub fn count_refusal(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }

    /// Number of connections that ended for this reason.
    pub fn closed(&self, reason: CloseReason) -> u64 {
        self.closed.get(&reason).copied().unwrap_or_default()
    }

    /// Number of requests that were refused for this reason. A refused request may still be answered otherwise if its
    /// key has run.
    pub fn refused(&self, reason: RefusalReason) -> u64 {
        self.refused.get(&reason).copied().unwrap_or_default()
    }
}
