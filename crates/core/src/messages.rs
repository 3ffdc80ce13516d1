//! Inputs and effects of the reducer, independent of any protocol.

use crate::admin::{AdminRequest, AdminRequestId, AdminResponse};
use crate::buffer_pool::Buffer;
use crate::configuration::{ConfigurationSave, ConfigurationSaveResult};
use crate::idempotency_log::{RecordBatch, RecoveredRuns};
use crate::keyed_run::{Fingerprint, RunOutcome};
use crate::reload::Reload;
pub use crate::response::{RequestError, Response, UNKNOWN_OUTCOME_TEXT};
use crate::slots::Handle;
use gradepin_admission::{ClassDefinition, Outcome, RequestId, Span, Tenant, Time};
use gradepin_cluster::authentication::{AuthenticationKeys, DropReason};
use gradepin_cluster::cluster::Envelope;
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use gradepin_coordination::messages::StepAssignment;
use gradepin_registry::membership::{RegistryReply, RegistryRequest};
use std::net::SocketAddr;
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

/// An event that a shell hands to the reducer.
#[derive(Debug)]
pub enum Input {
    /// A client connection was accepted.
    ConnectionOpened(ConnectionId),
    /// Nothing more is read from a connection: its peer has shut its half, or sent what is no message. All messages
    /// before that were passed on and are answered yet.
    ConnectionHalfClosed(ConnectionId),
    /// A connection sent no complete message in its time. It is closed once it is owed nothing, unless a message is
    /// completed before that.
    ConnectionLate(ConnectionId),
    /// A connection has ended or is unusable.
    ConnectionClosed(ConnectionId),
    /// A client request.
    Request {
        /// Connection that it came on.
        connection: ConnectionId,
        /// Number of the message on its connection.
        sequence: SequenceId,
        /// The decoded request.
        request: Box<ClientRequest>,
    },
    /// A message that is owed a response but is no valid request.
    InvalidRequest {
        /// Connection that it came on.
        connection: ConnectionId,
        /// Number of the message on its connection.
        sequence: SequenceId,
        /// What is wrong with it.
        error: RequestError,
        /// Explanation for its sender.
        text: String,
    },
    /// The caller no longer waits for a request.
    Cancel {
        /// Connection of the request.
        connection: ConnectionId,
        /// Number of the request on its connection.
        sequence: SequenceId,
    },
    /// A client's health check.
    HealthCheck {
        /// Connection that it came on.
        connection: ConnectionId,
        /// Number of the message on its connection.
        sequence: SequenceId,
    },
    /// The processor greeted on a new link.
    LinkUp {
        /// Number of the link, from 1.
        link: u64,
        /// Whether the processor's cores were cold when it started.
        cold: bool,
        /// How long ago it started.
        age: Span,
    },
    /// The link has ended.
    LinkDown,
    /// The processor that greets is another one than before: no run of the former one continues, and its notices are
    /// numbered from 1 again. Its [`Input::LinkUp`] follows, on this link or on a later one.
    ProcessorRestarted,
    /// A run has ended.
    RunCompleted {
        /// Number of the processor's notice, from 1 and without gaps.
        notice: u64,
        /// Request of the run.
        id: RequestId,
        /// How it ended.
        end: RunEnd,
        /// How long it ran.
        took: Span,
        /// Its result; empty unless it ended with [`RunEnd::Ok`].
        result: Buffer,
    },
    /// A run waits for a call to the shared upstream.
    UpstreamCallRequested {
        /// Number of the processor's notice, from 1 and without gaps.
        notice: u64,
        /// Request of the run.
        id: RequestId,
        /// Body of the call.
        body: Buffer,
    },
    /// A call to the shared upstream ended.
    UpstreamCallEnded {
        /// Request that the call was made for.
        id: RequestId,
        /// Which call.
        call: UpstreamCallId,
        /// How it ended.
        outcome: Outcome,
        /// Body of the reply; none unless the outcome is [`Outcome::Success`].
        reply: Option<Buffer>,
    },
    /// The processor's gauges, in reply to [`Effect::ReadGauges`].
    GaugesRead {
        /// Number of the reading that they answer.
        number: u64,
        /// Values in the order of the settings; NaN for a gauge that the processor doesn't report.
        values: Vec<f64>,
    },
    /// Reply to [`Effect::ClaimRun`].
    RunClaimed {
        /// Request whose run was claimed.
        id: RequestId,
        /// Which process owns the run.
        claim: RunClaim,
    },
    /// The shell could not start a run.
    RunNotStarted(RequestId),
    /// Reading from a connection is paused, as too many of its requests are rejected.
    ConnectionThrottled {
        /// The connection.
        connection: ConnectionId,
        /// How long nothing is read from it.
        duration: Span,
    },
    /// SIGTERM: shut down gracefully.
    ShutdownNotice,
    /// The front ends accept no more connections; all that were accepted have been reported.
    StoppedAccepting,
    /// An operator takes the server out of service: that is published first, and it drains once clients may know.
    TakeOutOfService,
    /// An operator returns the server to service; ignored once its drain has begun.
    ReturnToService,
    /// Outcome of a registry request.
    RegistryReply {
        /// Ticket of the request.
        ticket: u64,
        /// Its outcome.
        reply: RegistryReply,
    },
    /// The settings file was read again and compared with the classes and tenants in force.
    Reload(Box<Reload>),
    /// The settings file was read again and is invalid; the active settings stay.
    ReloadRejected {
        /// Why it is invalid.
        reason: String,
    },
    /// An operator's request at the admin endpoint, answered by [`Effect::AnswerAdmin`].
    AdminRequest {
        /// Names the request in its response.
        id: AdminRequestId,
        /// What is asked.
        request: AdminRequest,
    },
    /// The store was opened and read.
    StoreRecovered(Box<RecoveredRuns>),
    /// The folder in which the two processes of an upgrade claim runs can be used from now on.
    RunsShared {
        /// Key of the body fingerprints of both processes.
        salt: u64,
    },
    /// All batches for the store up to this one are durable.
    StorePersisted {
        /// Number of the last durable batch.
        number: u64,
    },
    /// Batches for the store up to this one may be lost.
    StoreFailed {
        /// Number of the last batch that failed; 0 if the store could not be opened.
        number: u64,
        /// Error of the disk.
        reason: String,
    },
    /// An authenticated datagram of another server.
    PeerDatagram(Box<Envelope>),
    /// Count of peer datagrams that were dropped, by reason.
    PeerDatagramsDropped(Vec<(DropReason, u64)>),
    /// The keys that authenticate peer datagrams were read again.
    AuthenticationKeysReloaded(AuthenticationKeys),
    /// Records of the voter state up to this number are durable.
    VoterStateWritten {
        /// Number of the last durable write.
        number: u64,
    },
    /// Records of the voter state could not be written.
    VoterStateFailed {
        /// The voter state as it was read again from the folder.
        recovered: Box<VoterState>,
        /// Error of the disk.
        reason: String,
    },
    /// Outcome of [`Effect::SaveConfiguration`].
    ConfigurationWritten(ConfigurationSaveResult),
    /// The active or the staged settings changed.
    StagedSettingsChanged {
        /// Digest of the active settings; none if they are as before.
        active: Option<String>,
        /// Digests of the staged settings.
        staged: Vec<String>,
    },
    /// A rollout step could not be taken on this server.
    RolloutStepFailed {
        /// Number of the release.
        release: u64,
        /// What failed.
        reason: String,
    },
}

/// Which of the two processes of an upgrade owns the run of an idempotency key.
#[derive(Debug, Clone)]
pub enum RunClaim {
    /// This process: it may start the run.
    Ours,
    /// The other process, whose run ended so.
    Ended(RunOutcome),
    /// The owner can't be determined: the run must not start.
    Unknown,
}

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
        leave_before: Option<Time>,
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
