//! Responses to clients, independent of any protocol. Front ends encode them, and [`crate::request_metrics`] counts
//! them.

use crate::buffer_pool::Buffer;
use gradepin_admission::Span;
use std::sync::Arc;

/// Why a message is not a valid request. Each front end maps it to a status of its protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The message can't be decoded, or contains an invalid value.
    Malformed,
    /// The message names an unknown class or path.
    NotFound,
    /// The named path doesn't support this method.
    MethodNotAllowed,
    /// Another request has the same id, or the same idempotency key with another body or class.
    Conflict,
    /// The length of the body is missing.
    LengthRequired,
    /// The body is too long.
    BodyTooLarge,
    /// The header is too long.
    HeaderTooLarge,
}

/// The final response to a request.
#[derive(Debug, Clone)]
pub enum Response {
    /// The result of a run.
    Served(Arc<Buffer>),
    /// The request was rejected before it ran.
    Rejected {
        /// How long the client should wait before it sends requests again; 0 for no advice.
        retry_after: Span,
        /// Asks the client not to retry on another server.
        no_failover: bool,
    },
    /// The run failed, or there was no result in time.
    Failed {
        /// Whether the request's deadline has passed.
        timed_out: bool,
    },
    /// The request ran or may have run in another process of this server, and its outcome is not known here, so it must not run
    /// again.
    OutcomeUnknown,
    /// The message is not a valid request.
    Invalid {
        /// Why the message is invalid.
        error: RequestError,
        /// Explanation for the sender.
        text: String,
    },
    /// The answer to a health check.
    Health {
        /// Whether the server takes requests.
        healthy: bool,
        /// Health of the store ([`crate::idempotency_log::StoreHealth::word`]); `None` without a store.
        store: Option<&'static str>,
    },
}

/// Text that front ends send for [`Response::OutcomeUnknown`].
pub const UNKNOWN_OUTCOME_TEXT: &str =
    "outcome unknown: it may have run in another process of this server; never rerun it";
