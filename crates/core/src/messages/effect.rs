//! Effects of the reducer.

use super::{ConnectionId, LookupId, ProtocolViolation, Response, SequenceId, UpstreamCallId};
use crate::admin::{AdminRequestId, AdminResponse};
use crate::buffer_pool::Buffer;
use crate::configuration::ConfigurationSave;
use crate::idempotency_log::RecordBatch;
use crate::keyed_run::{Fingerprint, RunOutcome};
use crate::slots::Handle;
use gradepin_admission::{ClassDefinition, RequestId, Span, Tenant, Time};
use gradepin_coordination::consensus::DurableRecord;
use gradepin_coordination::messages::StepAssignment;
use gradepin_registry::membership::RegistryRequest;
use std::net::SocketAddr;
use std::sync::Arc;

/// An action that a shell carries out for the reducer. The effects of a step are carried out in order.
#[derive(Debug)]
pub enum Effect {
    /// Make a configuration durable, if there is a folder for it. Answered by [`super::Input::ConfigurationWritten`].
    SaveConfiguration(Box<ConfigurationSave>),
    /// Send a response to a client.
    Respond {
        /// Connection of the request.
        connection: ConnectionId,
        /// Sequence number of the request on its connection.
        sequence: SequenceId,
        /// Response to encode.
        response: Response,
        /// Capacity hint for client proxies; `None` if the admission module has not set one.
        capacity_hint: Option<f64>,
    },
    /// Charge a connection for a message that breaks the protocol. Reading from it pauses if there are too many.
    ChargeConnection {
        /// Connection of the message.
        connection: ConnectionId,
        /// What the message breaks.
        violation: ProtocolViolation,
    },
    /// Ask the peer of a connection to send no more requests on it.
    RequestDrain(ConnectionId),
    /// Close a connection once everything is written. [`super::Input::ConnectionClosed`] follows when its peer has
    /// closed it too.
    CloseConnection(ConnectionId),
    /// Close an idle connection, unless further messages of it were passed on or unread bytes are waiting.
    CloseIdleConnection {
        /// Connection to close.
        connection: ConnectionId,
        /// Number of its messages that the reducer has received.
        messages_received: u64,
    },
    /// Close a late connection under the same conditions, except that an incomplete message doesn't keep it open.
    CloseLateConnection {
        /// Connection to close.
        connection: ConnectionId,
        /// Number of its messages that the reducer has received.
        messages_received: u64,
    },
    /// Start a run on the processor.
    StartRun {
        /// Number of the link to use ([`super::Input::LinkUp`]); void if the link has ended.
        link: u64,
        /// Request of the run.
        id: RequestId,
        /// Class of the request.
        class: Arc<ClassDefinition>,
        /// Body of the request.
        body: Arc<Buffer>,
    },
    /// Call the shared upstream for a run.
    CallUpstream {
        /// Request of the run.
        id: RequestId,
        /// Identifies the call in [`super::Input::UpstreamCallEnded`].
        call: UpstreamCallId,
        /// Body of the call.
        body: Arc<Buffer>,
        /// Maximum time to wait for the reply.
        timeout: Span,
        /// Time from which on the call must not be sent, because its borrowed slot expires; `None` for this server's
        /// own slot.
        send_before: Option<Time>,
    },
    /// Deliver the reply of an upstream call to its run.
    DeliverUpstreamReply {
        /// Number of the link to use ([`super::Input::LinkUp`]); void if the link has ended.
        link: u64,
        /// Request of the run.
        id: RequestId,
        /// Body of the reply.
        reply: Arc<Buffer>,
    },
    /// Stop a run.
    StopRun {
        /// Number of the link to use ([`super::Input::LinkUp`]); void if the link has ended.
        link: u64,
        /// Request of the run.
        id: RequestId,
    },
    /// Claim the run of an idempotency key, if the two processes of an upgrade share keyed runs. Answered by
    /// [`super::Input::RunClaimed`].
    ClaimRun {
        /// Request of the run.
        id: RequestId,
        /// Idempotency key of the run.
        key: Arc<str>,
        /// Fingerprint of the request's body and class.
        fingerprint: Fingerprint,
        /// Maximum time to wait for the outcome of the other process's run.
        timeout: Span,
    },
    /// Look up whether a process of an upgrade has run an idempotency key, without claiming it. Answered by
    /// [`super::Input::RunLookedUp`].
    LookUpRun {
        /// Number of the look-up, repeated in the answer.
        lookup: LookupId,
        /// Idempotency key of the request.
        key: Arc<str>,
        /// Fingerprint of the request's body and class.
        fingerprint: Fingerprint,
    },
    /// Release the claim of a run that ended or never started.
    ReleaseClaim {
        /// Idempotency key of the run.
        key: Arc<str>,
        /// Fingerprint of the request's body and class.
        fingerprint: Fingerprint,
        /// Outcome of the run; `None` if it never started.
        outcome: Option<RunOutcome>,
    },
    /// Read the processor's gauges; answered by [`super::Input::GaugesRead`].
    ReadGauges {
        /// Number of the link to use ([`super::Input::LinkUp`]); void if the link has ended.
        link: u64,
        /// Number of the reading, repeated in the answer.
        number: u64,
    },
    /// Close a link to the processor and connect again.
    ReconnectProcessor {
        /// Number of the link to close.
        link: u64,
    },
    /// Use this address of the processor from now on, and connect to it at once.
    SetProcessorAddress(SocketAddr),
    /// Report to the control plane at this address from now on.
    SetControlAddress(SocketAddr),
    /// Call the shared upstream at this address from now on.
    SetUpstreamAddress(SocketAddr),
    /// Report to the control plane whether this server takes requests.
    ReportReadiness {
        /// Whether it takes requests.
        ready: bool,
    },
    /// Send a request to a registry. Answered by [`super::Input::RegistryReply`].
    AskRegistry(RegistryRequest),
    /// Write records to the store; answered by [`super::Input::StorePersisted`] or [`super::Input::StoreFailed`].
    PersistRecords {
        /// Number of the batch, from 1 and without gaps.
        number: u64,
        /// Records to append, or a complete rewrite.
        batch: RecordBatch,
    },
    /// Have the processor repeat all notices that it retains.
    ReplayNotices,
    /// Update the names that requests may use.
    UpdateNames {
        /// Edition of the active names that results from these changes.
        edition: u64,
        /// The changes, in the order in which they apply.
        changes: Vec<NameChange>,
    },
    /// Set the longest time for which an idempotency key may be repeated from now on.
    SetLongestWindow(Span),
    /// Report that a reload has ended: its file is in force completely or not at all.
    ReloadFinished,
    /// Accept no more connections, as the process hands over its listening socket or closes down. Answered by
    /// [`super::Input::StoppedAccepting`].
    StopAccepting,
    /// Read no more messages: read once more what has arrived on each connection, pass its messages on, and discard what
    /// comes later. Answered by [`super::Input::StoppedReading`].
    StopReading,
    /// Answer an operator's request.
    AnswerAdmin {
        /// Id of the request.
        id: AdminRequestId,
        /// Response to encode.
        response: AdminResponse,
    },
    /// Send a datagram to another server.
    SendPeerDatagram {
        /// Address of the other server.
        to: SocketAddr,
        /// The complete datagram, authenticated by the cluster's keys.
        datagram: Vec<u8>,
    },
    /// Write records of the voter state. Answered by [`super::Input::VoterStateWritten`] or
    /// [`super::Input::VoterStateFailed`].
    WriteVoterState {
        /// Generation of the voter state; the write is void if a later write failure has started a new one.
        generation: u64,
        /// Number of the write, repeated in the reply.
        number: u64,
        /// Records to write, in order.
        records: Vec<DurableRecord>,
    },
    /// Change to another program or to other settings, as a rollout step.
    StartRolloutStep {
        /// The assigned step.
        step: Box<StepAssignment>,
        /// Time from which on the step must not start.
        start_before: Time,
    },
    /// Write a line to the log.
    Log {
        /// Log level.
        level: slog::Level,
        /// Text of the line.
        text: String,
    },
    /// End the process.
    Exit,
}

/// A change of the names that requests may use. Definitions are shared with the reducer, not copied.
#[derive(Debug, Clone)]
pub enum NameChange {
    /// A class is in force, newly or with another definition.
    Class {
        /// Handle that requests refer to it by.
        handle: Handle,
        /// Definition in force.
        class: Arc<ClassDefinition>,
    },
    /// A class was removed. Requests that name it must still be passed on; the reducer rejects them once the grace
    /// period is over.
    ClassRemoved(Arc<ClassDefinition>),
    /// Nothing refers to a removed class any more, so its name is now unknown.
    ClassForgotten(Arc<ClassDefinition>),
    /// A tenant is in force, newly or with another definition.
    Tenant {
        /// Handle that requests refer to it by.
        handle: Handle,
        /// Definition in force.
        tenant: Arc<Tenant>,
    },
    /// A tenant was removed. Requests may still name it.
    TenantRemoved(Arc<Tenant>),
    /// The slot of a removed tenant was reused, so its name is now unknown.
    TenantForgotten(Arc<Tenant>),
}
