//! Counters of what happens to connections and requests beside their responses: why connections ended, why requests were
//! refused, how runs ended, runs that were sent to the processor again, requests whose callers were gone, how long requests
//! waited to be read, and responses after their due time. They start at 0 with the process and never decrease.

use crate::messages::RunEnd;
use crate::request_timeline::{ReadWait, Stage};
use gradepin_admission::Span;
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

/// How long requests or responses waited for one reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitTotals {
    /// Number of those that waited.
    pub count: u64,
    /// Sum of all waits.
    pub total: Span,
    /// The longest wait.
    pub longest: Span,
}

impl WaitTotals {
    /// Counts waits that have this sum and this longest one.
    pub fn add(&mut self, count: u64, total: Span, longest: Span) {
        self.count = self.count.saturating_add(count);
        self.total = Span(self.total.0.saturating_add(total.0));
        self.longest = self.longest.max(longest);
    }
}

/// The counters of one process, or their values at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LifecycleCounters {
    closed: BTreeMap<CloseReason, u64>,
    refused: BTreeMap<RefusalReason, u64>,
    runs_ended: BTreeMap<RunEnd, u64>,
    read_waits: BTreeMap<ReadWait, WaitTotals>,
    late: BTreeMap<Stage, u64>,
    /// Responses that waited until their client took earlier ones.
    pub unsent_responses: WaitTotals,
    /// How often the reading of a connection was paused, because messages on it broke the protocol.
    pub reading_paused: u64,
    /// How often the link to the processor ended.
    pub links_ended: u64,
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

    /// Counts the end of a run.
    pub fn count_run_end(&mut self, end: RunEnd) {
        *self.runs_ended.entry(end).or_default() += 1;
    }

    /// Counts a request that waited this long to be read.
    pub fn count_read_wait(&mut self, cause: ReadWait, wait: Span) {
        self.read_waits.entry(cause).or_default().add(1, wait, wait);
    }

    /// Counts a response after its due time, by the stage that its request was in when it was due.
    pub fn count_late(&mut self, stage: Stage) {
        *self.late.entry(stage).or_default() += 1;
    }

    /// Number of runs that ended in this way.
    pub fn runs_ended(&self, end: RunEnd) -> u64 {
        self.runs_ended.get(&end).copied().unwrap_or_default()
    }

    /// How long requests waited to be read for this reason.
    pub fn read_waits(&self, cause: ReadWait) -> WaitTotals {
        self.read_waits.get(&cause).copied().unwrap_or_default()
    }

    /// Number of responses after their due time whose requests were in this stage when they were due.
    pub fn late(&self, stage: Stage) -> u64 {
        self.late.get(&stage).copied().unwrap_or_default()
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
