//! Inputs of the reducer.

use super::{ClientRequest, ConnectionId, RequestError, RunEnd, SequenceId, UpstreamCallId};
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
