//! What a request is answered, in terms of no protocol. Fronts write it out, the figures count it.

use crate::buffer_pool::Buffer;
use gradepin_admission::Span;
use std::sync::Arc;

/// How a message is wrong; each front has its own words for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// It makes no sense.
    Malformed,
    /// It asks for something that there isn't.
    NotFound,
    /// There is, but not in this way.
    MethodNotAllowed,
    /// Another request has its token or its id.
    Conflict,
    /// Its length is not told.
    LengthRequired,
    /// Its body is too long.
    BodyTooLarge,
    /// What stands before its body is too long.
    HeaderTooLarge,
}

/// A final answer.
#[derive(Debug, Clone)]
pub enum Response {
    /// The result of a run.
    Served(Arc<Buffer>),
    /// Turned away; it never ran.
    Rejected {
        /// How long to stay away.
        backoff: Span,
        /// Whether to ask that no other server be tried.
        last: bool,
    },
    /// Failed; and whether because nothing came of it by its due time.
    Failed {
        /// Whether its time was up.
        late: bool,
    },
    /// It was begun before a crash, and what became of it can't be learned: it must not run again.
    OutcomeUnknown,
    /// The message can't be taken: how it is wrong, and a text for its sender.
    Invalid(RequestError, String),
    /// To a health check: whether all is well, and how it is with the store, if there is one.
    Health(bool, Option<&'static str>),
}

/// What is said of a run whose outcome is unknown.
pub const UNKNOWN_OUTCOME_TEXT: &str =
    "outcome unknown: it was begun before a crash of this server and must not run again";
