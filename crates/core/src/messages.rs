//! What the reducer is told and what it asks for, in terms of no protocol.

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

/// Names a call to the ledger; never used again. A request may make several, and its id may come again.
pub type UpstreamCallId = u64;

/// Names a request on its connection.
pub type SequenceId = i32;

/// A request as its client proxy sent it.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its id, new with every try.
    pub id: RequestId,
    /// Its class.
    pub class: Handle,
    /// Its tenant, if it names one.
    pub tenant: Option<Handle>,
    /// Number of the client proxy.
    pub caller: u64,
    /// When it came to the machine, in Unix milliseconds.
    pub t0: u64,
    /// Milliseconds from `t0` that its caller waits.
    pub budget: u64,
    /// A further try or a second copy.
    pub retry: bool,
    /// Memory booked for it while it is held.
    pub size_kb: f64,
    /// Its rank.
    pub precedence: f64,
    /// What all tries of a keyed request share.
    pub token: Option<Arc<str>>,
    /// Whether it names a subject.
    pub has_key: bool,
    /// Its body, as it came.
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

/// What came in.
#[derive(Debug)]
pub enum Input {
    /// A client connection was accepted.
    ConnectionOpened(ConnectionId),
    /// Nothing more comes from it: its peer has shut its half, or sent what is no message. All that came before was
    /// passed on, and is owed its answers.
    ConnectionHalfClosed(ConnectionId),
    /// It has not said a whole message in its time. It is closed once it is owed nothing, unless one comes before that.
    ConnectionLate(ConnectionId),
    /// It is over, or can't be used any more.
    ConnectionClosed(ConnectionId),
    /// A request.
    Request(ConnectionId, SequenceId, Box<ClientRequest>),
    /// A message that asks for an answer but can't be taken: how it is wrong, and a text for its sender.
    InvalidRequest(ConnectionId, SequenceId, RequestError, String),
    /// Nobody waits for a request any more.
    Cancel(ConnectionId, SequenceId),
    /// A health check.
    HealthCheck(ConnectionId, SequenceId),
    /// The processor greets on a new link: the link's number, whether it began cold, and how long ago.
    LinkUp {
        /// Number of the link, from 1.
        link: u64,
        /// Whether the processor was cold when it started.
        cold: bool,
        /// How long ago it started.
        age: Span,
    },
    /// The link has ended.
    LinkDown,
    /// The processor that greets is another one than before: nothing of that one's runs any more, and notices begin at 1
    /// again. Its [`Input::LinkUp`] follows, on this link or on a later one.
    ProcessorRestarted,
    /// A run is over: the number of the notice, the request, its end, the time it took and the result.
    RunCompleted {
        /// Number of the notice.
        notice: u64,
        /// Which request.
        id: RequestId,
        /// How it ended.
        end: RunEnd,
        /// How long it took.
        took: Span,
        /// What it made.
        result: Buffer,
    },
    /// A run waits for a call to the ledger, with this body: the number of the notice, the request and the body.
    UpstreamCallRequested {
        /// Number of the notice.
        notice: u64,
        /// Which request.
        id: RequestId,
        /// What the call is to carry.
        body: Buffer,
    },
    /// A call to the ledger ended: how, and with its reply where it went well.
    UpstreamCallEnded {
        /// For which request.
        id: RequestId,
        /// Which call.
        number: UpstreamCallId,
        /// How it ended.
        outcome: Outcome,
        /// The reply's body, on `Delivered`.
        reply: Option<Buffer>,
    },
    /// The gauges in the order of the settings, asked for under this number; no number where one is not told.
    GaugesRead(u64, Vec<f64>),
    /// Whose the run of a keyed request is, where two processes of an upgrade share them.
    RunClaimed(RequestId, RunClaim),
    /// A run was not begun.
    RunNotStarted(RequestId),
    /// Nothing more is read from a connection for so long, as it sends too much of what is turned away.
    ConnectionThrottled(ConnectionId, Span),
    /// The notice to leave.
    ShutdownNotice,
    /// The fronts accept no more connections; all they accepted before were told.
    StoppedAccepting,
    /// An operator takes the server out: told to those who list it, and drained once that may be known.
    TakeOutOfService,
    /// An operator takes it back in, if its drain has not begun.
    ReturnToService,
    /// What became of a question to a registry.
    RegistryReply(u64, RegistryReply),
    /// The configuration was read again, and compared with the classes and tenants in force.
    Reload(Box<Reload>),
    /// The configuration was read again and can't be used, for this reason; what is in force stays.
    ReloadRejected(String),
    /// An operator's call at the door, owed an answer under its id.
    AdminRequest(AdminRequestId, AdminRequest),
    /// The store was opened, and this is what it held.
    StoreRecovered(Box<RecoveredRuns>),
    /// The folder in which the two processes of an upgrade claim keyed runs can be used from now on; this salt keys the
    /// prints of both.
    RunsShared(u64),
    /// All batches for the store up to this one are durable.
    StorePersisted(u64),
    /// What was written up to this batch can't be relied on, and why. With no batch: the store can't be opened.
    StoreFailed(u64, String),
    /// A tagged datagram of another server.
    PeerDatagram(Box<Envelope>),
    /// Datagrams at the fleet's address were dropped, so many for each reason.
    PeerDatagramsDropped(Vec<(DropReason, u64)>),
    /// The fleet's keys, read again.
    AuthenticationKeysReloaded(AuthenticationKeys),
    /// What was written in the council's folder up to this number is durable.
    VoterStateWritten(u64),
    /// It couldn't be, and why; the folder was read anew and holds this.
    VoterStateFailed(Box<VoterState>, String),
    /// What became of a configuration that was to be written.
    ConfigurationWritten(ConfigurationSaveResult),
    /// The digest of the settings in force, if they changed, and those that are staged.
    StagedSettingsChanged(Option<String>, Vec<String>),
    /// A step of this release could not be taken here, and why.
    RolloutStepFailed(u64, String),
}

/// Whose the run of a token is, of two processes that share them.
#[derive(Debug, Clone)]
pub enum RunClaim {
    /// This process's: it may begin.
    Ours,
    /// The other one's, which ended so.
    Ended(RunOutcome),
    /// It can't be told: it must not begin.
    Unknown,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Make a configuration durable, where there is a folder for it.
    SaveConfiguration(Box<ConfigurationSave>),
    /// Send an answer, with the free value if one is set.
    Respond(ConnectionId, SequenceId, Response, Option<f64>),
    /// Tell a connection that no more requests should come on it.
    RequestDrain(ConnectionId),
    /// Close a connection once all is written; [`Input::ConnectionClosed`] follows when its peer has ended it too.
    CloseConnection(ConnectionId),
    /// Close a connection if nothing is under way on it: no more than so many of its messages were passed on, and
    /// nothing waits unread.
    CloseIdleConnection(ConnectionId, u64),
    /// The same for one that is late; half a message doesn't hold it.
    CloseLateConnection(ConnectionId, u64),
    /// Run a request: on which link, its id, its class and its body.
    StartRun(u64, RequestId, Arc<ClassDefinition>, Arc<Buffer>),
    /// Call the ledger for a request: its id, the number of the call, the body, how long to wait for the reply, and the time after which it must
    /// not leave here any more, if there is one.
    CallUpstream(RequestId, UpstreamCallId, Arc<Buffer>, Span, Option<Time>),
    /// Give a run on a link the reply to its call.
    DeliverUpstreamReply(u64, RequestId, Arc<Buffer>),
    /// Stop a run on a link.
    StopRun(u64, RequestId),
    /// Say whose the run of a keyed request is: its id, token and print, and how long to wait for another process's end.
    ClaimRun(RequestId, Arc<str>, Fingerprint, Span),
    /// A claimed run has its end, or with none never began: its token and print.
    ReleaseClaim(Arc<str>, Fingerprint, Option<RunOutcome>),
    /// Ask on a link for the gauges, under a number.
    ReadGauges(u64, u64),
    /// Give a link up and make a new one.
    ReconnectProcessor(u64),
    /// Keep the link to this address from now on, and make a new one at once.
    SetProcessorAddress(SocketAddr),
    /// Report to this address from now on.
    SetControlAddress(SocketAddr),
    /// Call the shared ledger at this address from now on.
    SetUpstreamAddress(SocketAddr),
    /// Report to the control plane whether this server takes work.
    ReportReadiness(bool),
    /// Put a question to a registry.
    AskRegistry(RegistryRequest),
    /// Write records to the store, under this number.
    PersistRecords(u64, RecordBatch),
    /// Have the processor tell all the notices again that it keeps.
    ReplayNotices,
    /// The names that requests may use have changed so, in this order.
    UpdateNames {
        /// The number of the last change of what is in force that these are of.
        edition: u64,
        /// The changes.
        changes: Vec<NameChange>,
    },
    /// The longest in which a keyed request may come again is this from now on.
    SetLongestWindow(Span),
    /// A reload is over: all of its file is in force, or nothing of it.
    ReloadFinished,
    /// Accept no more connections: the listener is the successor's now.
    StopAccepting,
    /// Answer an operator's call.
    AnswerAdmin(AdminRequestId, AdminResponse),
    /// Send a datagram to another server.
    SendPeerDatagram(SocketAddr, Vec<u8>),
    /// Write records into the council's folder: of which generation of it, under which number.
    WriteVoterState(u64, u64, Vec<DurableRecord>),
    /// Change to another program or other settings, if that is still before the time.
    StartRolloutStep(Box<StepAssignment>, Time),
    /// Write a line to the log.
    Log(slog::Level, String),
    /// End the process.
    Exit,
}

/// A change of the names that requests may use; what is in a slot is shared, not copied.
#[derive(Debug, Clone)]
pub enum NameChange {
    /// A class is in force, as it was defined.
    Class(Handle, Arc<ClassDefinition>),
    /// A class was removed; requests that name it are still sent on, to be turned away by what is in force.
    ClassRemoved(Arc<ClassDefinition>),
    /// Nothing refers to it any more: its name is unknown.
    ClassForgotten(Arc<ClassDefinition>),
    /// A tenant is in force.
    Tenant(Handle, Arc<Tenant>),
    /// A tenant was removed; requests may still name it.
    TenantRemoved(Arc<Tenant>),
    /// Its slot is another's: its name is unknown.
    TenantForgotten(Arc<Tenant>),
}

/// No processor ends and starts again in less. Tells a restart from a greeting that was on its way for a moment.
pub const MIN_PROCESSOR_RESTART: Span = Span(50_000_000);

/// What a host may have to wait for.
pub fn earliest(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
