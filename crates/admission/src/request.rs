//! Requests as the host hands them in, their ids, and how runs and upstream calls end.

use crate::time::Span;
use std::sync::Arc;

/// Id of one attempt; never used again, and without any meaning.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

impl RequestId {
    /// An id from its text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl Default for RequestId {
    fn default() -> Self {
        Self::new("")
    }
}

/// A request that was read and is now held.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// How long its caller still waits for this attempt.
    pub expires_in: Option<Span>,
    /// Index into [`Settings::profiles`].
    pub class: usize,
    /// Whether it names a subject, whose response may serve others.
    pub has_subject: bool,
    /// Number of the caller.
    pub caller: u64,
    /// Estimated work in standard-core time.
    pub work: Option<Span>,
    /// Index into [`Settings::customers`].
    pub tenant: Option<usize>,
    /// Memory that it takes while held, in kilobytes.
    pub size_kb: f64,
    /// Its rank by priority weight, from 0 to below 1.
    pub precedence: f64,
    /// Whether it is marked as a retry or a hedged request.
    pub retry: bool,
    /// Whether it changes its subject.
    pub write: bool,
    /// The request in the table of idempotency keys that this one repeats.
    pub earlier_attempt: Option<RequestId>,
    /// How long ago it reached the machine.
    pub unread_for: Span,
}

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Success,
    /// It failed and may have had its effect.
    Failure,
    /// The call was rejected without being looked at; it never ran.
    Rejected,
    /// The call was given up; it may have had its effect.
    TimedOut,
    /// The dependency was unreachable; the call never ran.
    ConnectFailed,
    /// The call was interrupted; it may have had its effect.
    Aborted,
    /// The run was stopped, or ended at a call because it was answered or its caller had left.
    Stopped,
    /// Nothing was started, as the request was already over.
    NotStarted,
}
