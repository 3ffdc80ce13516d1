//! Requests to a registry and their replies.

use crate::instance::{Instance, InstanceStatus};
use gradepin_admission::{Span, Time};

/// An operation of the registry API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryOperation {
    /// Registers the instance, or replaces its record.
    Register(Box<Instance>),
    /// Renews the lease.
    Heartbeat {
        /// The status here.
        status: InstanceStatus,
        /// The time of the last change here, in Unix milliseconds.
        dirty_ms: u64,
    },
    /// Sets a status override.
    Override {
        /// The overriding status.
        status: InstanceStatus,
        /// The time of the last change here, in Unix milliseconds.
        dirty_ms: u64,
    },
    /// Removes the override and sets a status.
    ClearOverride {
        /// The status without the override.
        status: InstanceStatus,
        /// The time of the last change here, in Unix milliseconds.
        dirty_ms: u64,
    },
    /// Fetches the record of this instance.
    FetchOwnRecord,
    /// Removes the registration.
    Cancel,
}

/// The worker of the shell that sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestLane {
    /// Everything but leaving.
    Routine,
    /// Leaving, which waits for no other reply.
    Urgent,
}

/// A request to send to a registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryRequest {
    /// The ticket to pass back with the reply.
    pub ticket: u64,
    /// Index of the service URL.
    pub url: usize,
    /// The worker that sends it.
    pub lane: RequestLane,
    /// Timeout of the exchange.
    pub timeout: Span,
    /// The operation.
    pub operation: RegistryOperation,
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryReply {
    /// The operation succeeded.
    Done,
    /// The record of this instance, for [`RegistryOperation::FetchOwnRecord`].
    Record(Box<Instance>),
    /// The registry doesn't know this instance.
    NotFound,
    /// The registry rejected the operation with this HTTP status.
    Rejected(u16),
    /// No usable reply: connection refused or reset, timeout, malformed reply, server error. The text is for the log.
    Failed(String),
}

/// A request whose reply is outstanding.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub ticket: u64,
    pub url: usize,
    pub operation: RegistryOperation,
    pub sent_at: Time,
    /// Whether it went to another registry than the one in use, for clients that read there; its reply changes nothing.
    pub secondary: bool,
}

/// A request that is due, before it gets its ticket.
pub(super) struct DueRequest {
    pub lane: RequestLane,
    pub url: usize,
    /// See [`OpenRequest::secondary`].
    pub secondary: bool,
    pub operation: RegistryOperation,
}
