//! Inputs of the reducer.

use super::{ClientRequest, ConnectionId, LookupId, RequestError, RunEnd, SequenceId, UpstreamCallId};
use crate::admin::{AdminRequest, AdminRequestId};
use crate::buffer_pool::Buffer;
use crate::configuration::ConfigurationSaveResult;
use crate::idempotency_log::RecoveredRuns;
use crate::keyed_run::RunOutcome;
use crate::reload::Reload;
use gradepin_admission::{Outcome, RequestId, Span};
use gradepin_cluster::authentication::{AuthenticationKeys, DropReason};
use gradepin_cluster::cluster::Envelope;
use gradepin_coordination::consensus::VoterState;
use gradepin_registry::membership::RegistryReply;

/// An event that a shell passes to the reducer.
#[derive(Debug)]
pub enum Input {
    /// A client connection was accepted.
    ConnectionOpened(ConnectionId),
    /// No more is read from a connection, because its peer closed its half or sent an undecodable message. All messages
    /// before that were passed on and are still answered.
    ConnectionHalfClosed(ConnectionId),
    /// A connection sent no complete message within the time limit. It is closed once no response is owed on it, unless
    /// a message is completed before that.
    ConnectionLate(ConnectionId),
    /// A connection was closed or has become unusable.
    ConnectionClosed(ConnectionId),
    /// A client request.
    Request {
        /// Connection that the message arrived on.
        connection: ConnectionId,
        /// Sequence number of the message on its connection.
        sequence: SequenceId,
        /// The decoded request.
        request: Box<ClientRequest>,
    },
    /// A message that is owed a response but is not a valid request.
    InvalidRequest {
        /// Connection that the message arrived on.
        connection: ConnectionId,
        /// Sequence number of the message on its connection.
        sequence: SequenceId,
        /// Why the message is invalid.
        error: RequestError,
        /// Explanation for the sender.
        text: String,
    },
    /// The caller no longer waits for a request.
    Cancel {
        /// Connection of the request.
        connection: ConnectionId,
        /// Sequence number of the request on its connection.
        sequence: SequenceId,
    },
    /// A client's health check.
    HealthCheck {
        /// Connection that the message arrived on.
        connection: ConnectionId,
        /// Sequence number of the message on its connection.
        sequence: SequenceId,
    },
    /// The processor greeted on a new link.
    LinkUp {
        /// Number of the link, from 1.
        link: u64,
        /// Whether the processor's cores were cold when it started.
        cold: bool,
        /// How long ago the processor started, when it wrote its greeting.
        age: Span,
    },
    /// The link to the processor was lost or closed.
    LinkDown,
    /// The processor that greets is not the one from before. No run of the former one continues, and notices are
    /// numbered from 1 again. [`Input::LinkUp`] follows, on this link or on a later one.
    ProcessorRestarted,
    /// A run has ended.
    RunCompleted {
        /// Number of the processor's notice, from 1 and without gaps.
        notice: u64,
        /// Request of the run.
        id: RequestId,
        /// How the run ended.
        end: RunEnd,
        /// Duration of the run.
        took: Span,
        /// Result of the run; empty unless it ended with [`RunEnd::Ok`].
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
        /// Id of the call.
        call: UpstreamCallId,
        /// How the call ended.
        outcome: Outcome,
        /// Body of the reply; `None` unless the outcome is [`Outcome::Success`].
        reply: Option<Buffer>,
    },
    /// The processor's gauges, in reply to [`super::Effect::ReadGauges`].
    GaugesRead {
        /// Number of the reading that is answered.
        number: u64,
        /// Values in the order in which the settings list the gauges; NaN for a gauge that the processor doesn't
        /// report.
        values: Vec<f64>,
    },
    /// Reply to [`super::Effect::ClaimRun`].
    RunClaimed {
        /// Request whose run was claimed.
        id: RequestId,
        /// Which process owns the run.
        claim: RunClaim,
    },
    /// Reply to [`super::Effect::LookUpRun`].
    RunLookedUp {
        /// Number of the look-up.
        lookup: LookupId,
        /// What is recorded about the key.
        run: RecordedRun,
    },
    /// The shell could not start a run.
    RunNotStarted(RequestId),
    /// Reading from a connection is paused, as too many of its messages break the protocol.
    ConnectionThrottled {
        /// Connection that is throttled.
        connection: ConnectionId,
        /// How long nothing is read from the connection.
        duration: Span,
    },
    /// Responses on a connection were written after its client had taken earlier ones.
    ResponsesDelayed {
        /// Number of these responses.
        count: u64,
        /// Sum of the times that they waited.
        total: Span,
        /// The longest of these times.
        longest: Span,
    },
    /// SIGTERM: shut down gracefully.
    ShutdownNotice,
    /// The front ends accept no more connections, and have reported all that they accepted.
    StoppedAccepting,
    /// The front ends read no more messages, and have passed on all that they read.
    StoppedReading,
    /// An operator takes the server out of service. This is published first, and the drain starts once clients may
    /// know.
    TakeOutOfService,
    /// An operator returns the server to service. Ignored once its drain has begun.
    ReturnToService,
    /// Outcome of a registry request.
    RegistryReply {
        /// Ticket of the request.
        ticket: u64,
        /// Outcome of the request.
        reply: RegistryReply,
    },
    /// The settings file was reloaded and compared with the classes and tenants in force.
    Reload(Box<Reload>),
    /// The reloaded settings file is invalid; the active settings stay in force.
    ReloadRejected {
        /// Error message for the log.
        reason: String,
    },
    /// An operator's request at the admin endpoint. Answered by [`super::Effect::AnswerAdmin`].
    AdminRequest {
        /// Identifies the request in its response.
        id: AdminRequestId,
        /// The request.
        request: AdminRequest,
    },
    /// The store was opened and read.
    StoreRecovered(Box<RecoveredRuns>),
    /// The folder in which the two processes of an upgrade claim keyed runs can be used from now on.
    RunsShared {
        /// Key of the body fingerprints of both processes.
        salt: u64,
    },
    /// All batches up to this one are durable in the store.
    StorePersisted {
        /// Number of the last durable batch.
        number: u64,
    },
    /// Batches up to this one may be missing from the store.
    StoreFailed {
        /// Number of the last batch that failed; 0 if the store could not be opened.
        number: u64,
        /// Error message of the disk.
        reason: String,
    },
    /// An authenticated datagram from another server.
    PeerDatagram(Box<Envelope>),
    /// Number of peer datagrams dropped since the last report, by reason.
    PeerDatagramsDropped(Vec<(DropReason, u64)>),
    /// The keys that authenticate peer datagrams were reloaded.
    AuthenticationKeysReloaded(AuthenticationKeys),
    /// Records of the voter state up to this number are durable.
    VoterStateWritten {
        /// Number of the last durable write.
        number: u64,
    },
    /// Records of the voter state could not be written.
    VoterStateFailed {
        /// The voter state, recovered from the folder after the failure.
        recovered: Box<VoterState>,
        /// Error message of the disk.
        reason: String,
    },
    /// Outcome of [`super::Effect::SaveConfiguration`].
    ConfigurationWritten(ConfigurationSaveResult),
    /// The active or the staged settings have changed.
    StagedSettingsChanged {
        /// Digest of the active settings; `None` if they are unchanged.
        active: Option<String>,
        /// Digests of the staged settings.
        staged: Vec<String>,
    },
    /// A rollout step failed on this server.
    RolloutStepFailed {
        /// Number of the release.
        release: u64,
        /// Error message for operators.
        reason: String,
    },
}

/// Which of the two processes of an upgrade owns the run of an idempotency key.
#[derive(Debug, Clone)]
pub enum RunClaim {
    /// This process, which may start the run.
    Ours,
    /// The other process, whose run ended with this outcome.
    Ended(RunOutcome),
    /// No process, but this one can't claim it, so the run must not start.
    Unavailable,
    /// The owner can't be determined, so the run must not start, and it may have started elsewhere.
    Unknown,
}

/// What the two processes of an upgrade have recorded about the run of an idempotency key.
#[derive(Debug, Clone)]
pub enum RecordedRun {
    /// No process has started a run.
    None,
    /// A run is in progress.
    InProgress,
    /// A run ended with this outcome.
    Ended(RunOutcome),
    /// The record can't be read.
    Unknown,
}
