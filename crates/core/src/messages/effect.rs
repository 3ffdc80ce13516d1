//! Effects of the reducer.

use super::{ConnectionId, Response, SequenceId, UpstreamCallId};
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

/// What a shell carries out for the reducer. Effects of a step are carried out in their order.
#[derive(Debug)]
pub enum Effect {
    /// Make a configuration durable, where there is a folder for it.
    SaveConfiguration(Box<ConfigurationSave>),
    /// Send a response to a client.
    Respond {
        /// Connection of the request.
        connection: ConnectionId,
        /// Number of the request on its connection.
        sequence: SequenceId,
        /// The response.
        response: Response,
        /// Capacity hint for client proxies, if the admission module has set one.
        capacity_hint: Option<f64>,
    },
    /// Ask the peer of a connection to send no more requests on it.
    RequestDrain(ConnectionId),
    /// Close a connection once all is written; [`Input::ConnectionClosed`] follows when its peer has ended it too.
    CloseConnection(ConnectionId),
    /// Close a connection that is idle. Void if more of its messages were passed on, or if bytes wait unread.
    CloseIdleConnection {
        /// The connection.
        connection: ConnectionId,
        /// Count of its messages that the reducer has received.
        messages_received: u64,
    },
    /// Close a late connection on the same terms; an incomplete message doesn't keep it open.
    CloseLateConnection {
        /// The connection.
        connection: ConnectionId,
        /// Count of its messages that the reducer has received.
        messages_received: u64,
    },
    /// Start a run on the processor.
    StartRun {
        /// Number of the link.
        link: u64,
        /// Request of the run.
        id: RequestId,
        /// Its class.
        class: Arc<ClassDefinition>,
        /// Its body.
        body: Arc<Buffer>,
    },
    /// Call the shared upstream for a run.
    CallUpstream {
        /// Request of the run.
        id: RequestId,
        /// Names the call in [`Input::UpstreamCallEnded`].
        call: UpstreamCallId,
        /// Body of the call.
        body: Arc<Buffer>,
        /// How long to wait for the reply.
        timeout: Span,
        /// The call must not be sent from this time on, as its borrowed slot expires.
        send_before: Option<Time>,
    },
    /// Give a run the reply to its upstream call.
    DeliverUpstreamReply {
        /// Number of the link.
        link: u64,
        /// Request of the run.
        id: RequestId,
        /// Body of the reply.
        reply: Arc<Buffer>,
    },
    /// Stop a run.
    StopRun {
        /// Number of the link.
        link: u64,
        /// Request of the run.
        id: RequestId,
    },
    /// Claim the run of an idempotency key, where two processes of an upgrade share them; answered by
    /// [`Input::RunClaimed`].
    ClaimRun {
        /// Request of the run.
        id: RequestId,
        /// Its idempotency key.
        key: Arc<str>,
        /// Fingerprint of its body and class.
        fingerprint: Fingerprint,
        /// How long to wait for the outcome of the other process's run.
        timeout: Span,
    },
    /// A claimed run ended, or never started.
    ReleaseClaim {
        /// Its idempotency key.
        key: Arc<str>,
        /// Fingerprint of its body and class.
        fingerprint: Fingerprint,
        /// Its outcome; none if it never started.
        outcome: Option<RunOutcome>,
    },
    /// Read the processor's gauges; answered by [`Input::GaugesRead`].
    ReadGauges {
        /// Number of the link.
        link: u64,
        /// Names the reading.
        number: u64,
    },
    /// Give up a link to the processor and connect again.
    ReconnectProcessor {
        /// Number of the link to give up.
        link: u64,
    },
    /// The processor is at this address from now on: connect to it at once.
    SetProcessorAddress(SocketAddr),
    /// Report to the control plane at this address from now on.
    SetControlAddress(SocketAddr),
    /// Call the shared upstream at this address from now on.
    SetUpstreamAddress(SocketAddr),
    /// Report to the control plane whether this server takes requests.
    ReportReadiness {
        /// Whether it does.
        ready: bool,
    },
    /// Send a request to a registry; answered by [`Input::RegistryReply`].
    AskRegistry(RegistryRequest),
    /// Write records to the store; answered by [`Input::StorePersisted`] or [`Input::StoreFailed`].
    PersistRecords {
        /// Number of the batch, from 1 and without gaps.
        number: u64,
        /// The records.
        batch: RecordBatch,
    },
    /// Have the processor repeat all notices that it keeps.
    ReplayNotices,
    /// The names that requests may use have changed; the changes apply in their order.
    UpdateNames {
        /// Number of the last change of the active settings that these are part of.
        edition: u64,
        /// The changes.
        changes: Vec<NameChange>,
    },
    /// An idempotency key may be repeated for this long at the most, from now on.
    SetLongestWindow(Span),
    /// A reload has ended: all of its file is in force, or nothing of it.
    ReloadFinished,
    /// Accept no more connections: the listener belongs to the successor process.
    StopAccepting,
    /// Answer an operator's request.
    AnswerAdmin {
        /// Names the request.
        id: AdminRequestId,
        /// The response.
        response: AdminResponse,
    },
    /// Send a datagram to another server.
    SendPeerDatagram {
        /// Its address.
        to: SocketAddr,
        /// Authenticated and ready to send.
        datagram: Vec<u8>,
    },
    /// Write records of the voter state; answered by [`Input::VoterStateWritten`] or [`Input::VoterStateFailed`].
    WriteVoterState {
        /// Generation of the folder that they belong to.
        generation: u64,
        /// Number of the write.
        number: u64,
        /// The records.
        records: Vec<DurableRecord>,
    },
    /// Change to another program or to other settings.
    StartRolloutStep {
        /// The step.
        step: Box<StepAssignment>,
        /// The step must not start from this time on.
        start_before: Time,
    },
    /// Write a line to the log.
    Log {
        /// Its level.
        level: slog::Level,
        /// The line.
        text: String,
    },
    /// End the process.
    Exit,
}

/// A change of the names that requests may use. Definitions are shared with the reducer, not copied.
#[derive(Debug, Clone)]
pub enum NameChange {
    /// A class is in force.
    Class {
        /// Refers to it in requests.
        handle: Handle,
        /// Its definition.
        class: Arc<ClassDefinition>,
    },
    /// A class was removed. Requests that name it are still passed on and rejected by the reducer.
    ClassRemoved(Arc<ClassDefinition>),
    /// Nothing refers to a removed class any more: its name is unknown.
    ClassForgotten(Arc<ClassDefinition>),
    /// A tenant is in force.
    Tenant {
        /// Refers to it in requests.
        handle: Handle,
        /// Its definition.
        tenant: Arc<Tenant>,
    },
    /// A tenant was removed; requests may still name it.
    TenantRemoved(Arc<Tenant>),
    /// The slot of a removed tenant was reused: its name is unknown.
    TenantForgotten(Arc<Tenant>),
}
