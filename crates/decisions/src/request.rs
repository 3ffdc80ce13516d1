//! Requests as the host hands them in, their ids, and how runs and upstream calls end.

use crate::time::Span;
use std::sync::Arc;

/// Names one try of one request; never repeated, and says nothing about it.
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
    /// How long its caller still waits for this try.
    pub expires_in: Option<Span>,
    /// Index into [`Settings::profiles`].
    pub class: usize,
    /// Whether it names a subject whose answer may be shared.
    pub has_key: bool,
    /// Number of the caller.
    pub caller: u64,
    /// Estimated work in standard-core time.
    pub work: Option<Span>,
    /// Index into [`Settings::customers`].
    pub tenant: Option<usize>,
    /// Memory it takes while held.
    pub size_kb: f64,
    /// Its rank by worth, 0 to below 1.
    pub precedence: f64,
    /// A marked retry or second copy.
    pub retry: bool,
    /// Writes.
    pub write: bool,
    /// The kept request that this one repeats.
    pub earlier: Option<RequestId>,
    /// How long since it reached the machine.
    pub queued_for: Span,
}

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Delivered,
    /// It failed and may have had its effect.
    AppError,
    /// The call was bounced without a look.
    Shed,
    /// The call was abandoned.
    Expired,
    /// What lies below was unreachable.
    DialFailed,
    /// The call was broken off.
    Dropped,
    /// The run was stopped.
    Revoked,
    /// Nothing started.
    Unused,
}
