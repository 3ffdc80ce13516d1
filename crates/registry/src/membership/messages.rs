//! The requests that a membership sends to a registry, and the replies to them.

use crate::instance::{Instance, InstanceStatus};
use gradepin_admission::{Span, Time};

/// An operation of the registry API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryOperation {
    /// Registers the instance, or replaces its record if it is registered.
    Register(Box<Instance>),
    /// Renews the lease.
    Heartbeat {
        /// The status that the registry should show.
        status: InstanceStatus,
        /// The time of the last change of the instance's own record, in Unix milliseconds.
        dirty_ms: u64,
    },
    /// Sets a status override, which outlives registrations.
    Override {
        /// The overriding status.
        status: InstanceStatus,
        /// The time of the last change of the instance's own record, in Unix milliseconds.
        dirty_ms: u64,
    },
    /// Removes the override and sets a status.
    ClearOverride {
        /// The status of the record once the override is removed.
        status: InstanceStatus,
        /// The time of the last change of the instance's own record, in Unix milliseconds.
        dirty_ms: u64,
    },
    /// Fetches the registry's record of this instance, to verify a change.
    FetchOwnRecord,
    /// Removes the registration.
    Cancel,
}

/// The lane of a request. At most one request is open in each lane, and the caller sends each lane on a worker of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestLane {
    /// All requests except those of a leave.
    Routine,
    /// The requests of a leave, which must not wait for other replies.
    Urgent,
}

/// A request to send to a registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryRequest {
    /// Identifies the request; must be passed to `Membership::reply` with the reply.
    pub ticket: u64,
    /// Index of the service URL, in the order of preference.
    pub url: usize,
    /// The lane on which to send the request.
    pub lane: RequestLane,
    /// The time within which the reply must be received.
    pub timeout: Span,
    /// The operation to perform.
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
    /// Whether the request was sent to a registry other than the one in use, so that clients that read there see the override
    /// too. The reply changes no state.
    pub secondary: bool,
}

/// A request that is due, before a ticket is assigned.
pub(super) struct DueRequest {
    pub lane: RequestLane,
    pub url: usize,
    /// Becomes [`OpenRequest::secondary`].
    pub secondary: bool,
    pub operation: RegistryOperation,
}
