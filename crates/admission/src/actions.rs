//! Actions: the decisions of the controller, which the host carries out.

use crate::request::RequestId;
use crate::time::{Span, Time};

/// A decision of the controller, which the host carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a queued request, or resume a paused one.
    Run(RequestId),
    /// Stop a running request whose response is no longer needed.
    StopRun(RequestId),
    /// Respond that the request was rejected, which promises that it never ran.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// Retry-After: time during which the caller should send nothing more; 0 for no advice.
        retry_after: Span,
        /// Whether the caller should not fail over to another server.
        is_final: bool,
    },
    /// Respond that the request failed; it may have run.
    Fail(RequestId),
    /// Make the upstream call that a run waits for.
    CallUpstream {
        /// The request whose run needs the call.
        id: RequestId,
        /// Time after which the host gives the call up.
        timeout: Span,
    },
    /// Resume a run without the upstream call that it waits for.
    SkipUpstreamCall(RequestId),
    /// Add a request to the table of idempotency keys, in place of an entry with the same key.
    RetainIdempotencyKey {
        /// The request whose key is retained.
        id: RequestId,
        /// Time after which the entry expires.
        retain_for: Span,
    },
    /// Remove a request from the table of idempotency keys.
    ReleaseIdempotencyKey(RequestId),
    /// Respond to a queued request with the result of the earlier attempt that it repeats.
    JoinRun(RequestId),
    /// Set the response to health checks.
    ReportHealth {
        /// Whether checks report this status alone, without doing real work.
        shallow: bool,
        /// Whether checks succeed.
        active: bool,
    },
    /// Set the value that is sent with every response; [`crate::CapacitySignal`] defines its meaning.
    AdvertiseCapacity(f64),
    /// Close client connections that have been idle for this long.
    SetIdleTimeout(Span),
    /// Deliver an [`Event::Timer`](crate::Event::Timer) at this time.
    SetTimer(Time),
    /// Write a line to the log.
    Log(String),
}
