//! Requests as the host reports them, their ids, and the outcomes of runs and upstream calls.

use crate::time::Span;
use std::sync::Arc;

/// Opaque id of one attempt. The host never reuses an id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

impl RequestId {
    /// Copies the text into a new id.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl Default for RequestId {
    fn default() -> Self {
        Self::new("")
    }
}

/// A request as it was read from its connection.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Id of this attempt.
    pub id: RequestId,
    /// Time that the caller still waits for this attempt; `None` if the request does not say.
    pub expires_in: Option<Span>,
    /// Slot of the class: its index in [`Settings::profiles`](crate::Settings::profiles) at first.
    pub class: usize,
    /// Whether the request names a subject, so that its response may serve other reads of that subject.
    pub has_subject: bool,
    /// Number that identifies the caller.
    pub caller: u64,
    /// Declared work, as time on a standard core.
    pub work: Option<Span>,
    /// Slot of the tenant: its index in [`Settings::tenants`](crate::Settings::tenants) at first.
    pub tenant: Option<usize>,
    /// Memory that the request takes while it is queued, in kilobytes.
    pub size_kb: f64,
    /// Rank by priority weight, from 0 (inclusive) to 1 (exclusive).
    pub precedence: f64,
    /// Whether the request is marked as a retry or a hedged request.
    pub retry: bool,
    /// Whether the request modifies its subject.
    pub write: bool,
    /// The attempt in the table of idempotency keys that this request repeats.
    pub earlier_attempt: Option<RequestId>,
    /// Time between the arrival of the request at the machine and its reading.
    pub unread_for: Span,
}

/// The outcome of a run or an upstream call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call succeeded.
    Success,
    /// The run or call failed; it may have had its effect.
    Failure,
    /// The dependency rejected the call; it never ran.
    Rejected,
    /// The call exceeded its timeout; it may have had its effect.
    TimedOut,
    /// The dependency was unreachable; the call never ran.
    ConnectFailed,
    /// The call was aborted; it may have had its effect.
    Aborted,
    /// The run was stopped, or ended at an upstream call because its response was no longer needed.
    Stopped,
    /// Nothing was started, because the request had already ended.
    NotStarted,
}
