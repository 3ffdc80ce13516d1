//! Actions: what the controller has the host carry out.

use crate::request::RequestId;
use crate::time::{Span, Time};

/// What the worker is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Run a held request, or take up a paused one.
    Process(RequestId),
    /// Stop a running request.
    Suspend(RequestId),
    /// Final answer: turned away, never ran.
    Refuse {
        /// Which request.
        id: RequestId,
        /// How long the caller should stay away.
        come_back: Span,
        /// Whether the caller should not try elsewhere.
        last: bool,
    },
    /// Final answer: failed, no promises.
    Error(RequestId),
    /// Make the call a request waits for.
    AskBelow {
        /// Which request.
        id: RequestId,
        /// Give the call up after this.
        timeout: Span,
    },
    /// Go on without the call.
    Degrade(RequestId),
    /// Enter a request in the table of keys.
    Remember {
        /// Which request.
        id: RequestId,
        /// How long the entry lasts.
        hold_for: Span,
    },
    /// Take its entry out.
    ReleaseKey(RequestId),
    /// Serve a held request from the one it repeats.
    Join(RequestId),
    /// Set the answer to health checks.
    ReportHealth {
        /// Answer from store.
        shallow: bool,
        /// Good.
        active: bool,
    },
    /// Set the free value sent with every answer.
    Signal(f64),
    /// Close connections idle for this long.
    IdleLimit(Span),
    /// Ask for a [`Event::Timer`] at this time.
    Remind(Time),
    /// A line for the log.
    Emit(String),
}
