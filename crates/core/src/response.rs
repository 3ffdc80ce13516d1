//! Responses to clients, independent of any protocol. Front ends encode them; [`crate::request_metrics`] counts them.

use crate::buffer_pool::Buffer;
use gradepin_admission::Span;
use std::sync::Arc;

/// Why a message is no valid request; each front end has its own status for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// It can't be decoded, or a value in it is invalid.
    Malformed,
    /// It names something unknown.
    NotFound,
    /// What it names doesn't take this method.
    MethodNotAllowed,
    /// Another request has its idempotency key or its id.
    Conflict,
    /// It doesn't state the length of its body.
    LengthRequired,
    /// Its body is too long.
    BodyTooLarge,
    /// Its header is too long.
    HeaderTooLarge,
}

/// The final response to a request.
#[derive(Debug, Clone)]
pub enum Response {
    /// The result of a run.
    Served(Arc<Buffer>),
    /// Rejected before it ran.
    Rejected {
        /// How long the client should wait before it sends requests again.
        retry_after: Span,
        /// Asks the client not to retry on another server.
        no_failover: bool,
    },
    /// Its run failed, or nothing came of it in time.
    Failed {
        /// Whether its deadline passed.
        timed_out: bool,
    },
    /// Its run was started before a crash and the outcome is lost: it must not run again.
    OutcomeUnknown,
    /// The message is no valid request.
    Invalid {
        /// What is wrong with it.
        error: RequestError,
        /// Explanation for its sender.
        text: String,
    },
    /// To a health check.
    Health {
        /// Whether the server takes requests.
        healthy: bool,
        /// State of the store in a word; none without a store.
        store: Option<&'static str>,
    },
}

/// Text of [`Response::OutcomeUnknown`].
pub const UNKNOWN_OUTCOME_TEXT: &str =
    "outcome unknown: it was begun before a crash of this server and must not run again";
