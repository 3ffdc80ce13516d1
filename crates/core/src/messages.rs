//! The reducer's interface, independent of any protocol: client requests, inputs and effects.

mod effect;
mod input;

use crate::buffer_pool::Buffer;
pub use crate::request_timeline::Receipt;
pub use crate::response::{RequestError, Response, UNKNOWN_OUTCOME_TEXT};
use crate::slots::Handle;
pub use effect::{Effect, NameChange};
use gradepin_admission::{RequestId, Span, Time};
pub use input::{Input, RecordedRun, RunClaim};
use std::sync::Arc;

/// Id of a client connection; never reused.
pub type ConnectionId = u64;

/// Id of a call to the shared upstream; never reused. A request may make several calls, and a request id may be reused.
pub type UpstreamCallId = u64;

/// Number of a look-up of a keyed run; never reused.
pub type LookupId = u64;

/// Sequence number of a request, unique among the open requests of its connection.
pub type SequenceId = i32;

/// A client request, as decoded by the front end.
#[derive(Debug)]
pub struct ClientRequest {
    /// Id of the attempt; each attempt has a new one.
    pub id: RequestId,
    /// Class of the request.
    pub class: Handle,
    /// Tenant of the request, if it names one.
    pub tenant: Option<Handle>,
    /// Number of the client proxy that sent the request.
    pub client_proxy: u64,
    /// When the request reached the machine, in Unix milliseconds.
    pub arrived_unix_ms: u64,
    /// How long the caller waits, in milliseconds from `arrived_unix_ms`.
    pub budget_ms: u64,
    /// Whether this is a retry or a hedged request.
    pub retry: bool,
    /// Memory that is reserved for the request while it is queued, in kB.
    pub size_kb: f64,
    /// Precedence among requests by priority weight, from 0 to below 1.
    pub precedence: f64,
    /// Idempotency key that all attempts of the request share.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether the request names a subject.
    pub has_subject: bool,
    /// The body as it was received.
    pub body: Buffer,
    /// When it was read, and what it waited for before.
    pub receipt: Receipt,
}

/// How a message breaks the protocol of its client. A client that keeps to the protocol sends none of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProtocolViolation {
    /// It is no valid request.
    InvalidMessage,
    /// It is a request beyond those that may be open on a connection, or on a connection that takes no more.
    TooManyOpenRequests,
    /// It cancels although each request of the connection was cancelled before.
    SurplusCancel,
    /// It has the sequence number of an open request.
    ReusedSequence,
}

/// How a run ended, as reported by the processor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunEnd {
    /// The run ended with a result.
    Ok,
    /// The run failed.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run was never started.
    NotStarted,
}

impl RunEnd {
    /// All ends, in the order in which they are published.
    pub const ALL: [Self; 4] = [Self::Ok, Self::Failed, Self::Stopped, Self::NotStarted];
}

/// Minimum time in which a processor can end and restart. A greeting with a start that is later by more than this is
/// from a restarted processor, not one that was delayed in transit.
pub const MIN_PROCESSOR_RESTART: Span = Span(50_000_000);

/// Returns the earlier of two times, either of which may be absent.
pub fn earliest(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
