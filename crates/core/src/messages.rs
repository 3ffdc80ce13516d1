//! What crosses the reducer's border, independent of any protocol: client requests, inputs and effects.

mod effect;
mod input;

use crate::buffer_pool::Buffer;
pub use crate::response::{RequestError, Response, UNKNOWN_OUTCOME_TEXT};
use crate::slots::Handle;
pub use effect::{Effect, NameChange};
use gradepin_admission::{RequestId, Span, Time};
pub use input::{Input, RunClaim};
use std::sync::Arc;

/// Names a client connection; never used again.
pub type ConnectionId = u64;

/// Names a call to the shared upstream; never used again. A request may make several calls, and its id may come again.
pub type UpstreamCallId = u64;

/// Names a request on its connection.
pub type SequenceId = i32;

/// A request as its client proxy sent it.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its id, new with every attempt.
    pub id: RequestId,
    /// Its class.
    pub class: Handle,
    /// Its tenant, if it names one.
    pub tenant: Option<Handle>,
    /// Number of the client proxy.
    pub client_proxy: u64,
    /// When it reached the machine, in Unix milliseconds.
    pub arrived_unix_ms: u64,
    /// How long its caller waits, in milliseconds from `arrived_unix_ms`.
    pub budget_ms: u64,
    /// Whether it is a retry or a hedged request.
    pub retry: bool,
    /// Memory that is reserved for it while it is queued, in kB.
    pub size_kb: f64,
    /// Its rank by priority weight, from 0 to below 1.
    pub precedence: f64,
    /// Idempotency key that all attempts of the request share.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether it names a subject.
    pub has_subject: bool,
    /// Its body, as it was sent.
    pub body: Buffer,
}

/// How the processor says that a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// With a result.
    Ok,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Nothing was started.
    NotStarted,
}

/// No processor ends and starts again faster: a greeting with a later start than this is of a restarted processor, and not
/// one that was delayed on its way.
pub const MIN_PROCESSOR_RESTART: Span = Span(50_000_000);

/// The earlier of two times, where either may be absent.
pub fn earliest(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
