//! Actions: what the controller has the host carry out.

use crate::request::RequestId;
use crate::time::{Span, Time};

/// What the host is to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a held request, or resume a paused one.
    Run(RequestId),
    /// Stop a running request, which its response does not depend on any more.
    StopRun(RequestId),
    /// Final response: rejected, and never ran.
    Reject {
        /// Which request.
        id: RequestId,
        /// Retry-After: how long the caller should stay away; 0 for no advice.
        retry_after: Span,
        /// Whether the caller should not try another server.
        is_final: bool,
    },
    /// Final response: failed, and may have run.
    Fail(RequestId),
    /// Make the upstream call that a request waits for.
    CallUpstream {
        /// Which request.
        id: RequestId,
        /// Give the call up after this.
        timeout: Span,
    },
    /// Go on without the upstream call.
    SkipUpstreamCall(RequestId),
    /// Enter a request into the table of idempotency keys.
    RetainIdempotencyKey {
        /// Which request.
        id: RequestId,
        /// How long the entry lasts.
        retain_for: Span,
    },
    /// Remove the entry of a request from that table.
    ReleaseIdempotencyKey(RequestId),
    /// Answer a held request from the result of the one that it repeats.
    JoinRun(RequestId),
    /// Set the answer to health checks.
    ReportHealth {
        /// Checks are answered from this status alone, without real work.
        shallow: bool,
        /// Whether checks succeed.
        active: bool,
    },
    /// Set the advertised value that goes with every response.
    AdvertiseCapacity(f64),
    /// Close connections that were idle for this long.
    SetIdleTimeout(Span),
    /// Ask for a [`Event::Timer`] at this time.
    SetTimer(Time),
    /// A line for the log.
    Log(String),
}
