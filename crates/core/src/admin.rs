//! Operators' requests at the admin endpoint and their responses, and the state of an operator's drain.
//!
//! Does no I/O: the shell decodes requests and encodes responses, and responds itself if the reducer is late.

use crate::configuration::{ConfigurationAdminRequest, ConfigurationAdminResponse};
use crate::request_metrics::MetricsSnapshot;
use gradepin_admission::Time;
use gradepin_cluster::cluster::FleetView;
use gradepin_coordination::messages::{CommandResult, OperatorCommand};
use gradepin_coordination::server_agent::{AgentStatus as Agreements, CommandStatus};

/// Id of a request at the admin endpoint; never reused.
pub type AdminRequestId = u64;

/// An operator's request at the admin endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminRequest {
    /// Query whether this process is ready to serve.
    Health,
    /// Query the metrics.
    Stats,
    /// Query this server's view of the cluster.
    Fleet,
    /// Start a drain: the health check fails until the drain ends, so that clients go elsewhere.
    StartDrain,
    /// End the drain.
    EndDrain,
    /// A request about permits, rollouts or the consensus group.
    Agreement(AgreementRequest),
    /// A request about the committed configuration.
    Configuration(ConfigurationAdminRequest),
}

/// An operator's request about permits, rollouts and the consensus group.
#[derive(Debug, Clone, PartialEq)]
pub enum AgreementRequest {
    /// Query the agreements as this server knows them.
    Status,
    /// Propose a command to the consensus group.
    Command(Box<OperatorCommand>),
    /// Query the status of a command.
    CommandStatus {
        /// Ticket of the command.
        ticket: u64,
    },
    /// Found the consensus group.
    FoundGroup,
    /// Query the program version that a server must run, before its process is started.
    TargetVersion {
        /// Name of the server.
        server: String,
    },
    /// Have this server request a permit and leave once it is granted.
    Leave,
    /// Have this server stay in service, and withdraw its request for a permit.
    Stay,
}

/// The response to an [`AgreementRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum AgreementResponse {
    /// There is no consensus group.
    Off,
    /// The agreements as this server knows them.
    Status(Box<Agreements>),
    /// The command was submitted under this ticket.
    Ticket(u64),
    /// Status of a command.
    CommandStatus(CommandStatus),
    /// The request is completed, with a text for the operator, or failed.
    Completed(CommandResult),
    /// Program version of the server; `None` if no release assigns one.
    TargetVersion(Option<String>),
}

/// The response to an [`AdminRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum AdminResponse {
    /// Whether the process is ready, or why it is not.
    Health(Result<(), NotReadyReason>),
    /// Values of the metrics.
    Stats(Box<MetricsSnapshot>),
    /// The response about permits, rollouts or the consensus group.
    Agreement(AgreementResponse),
    /// The response about the committed configuration.
    Configuration(Box<ConfigurationAdminResponse>),
    /// This server's view of the cluster; `None` without a cluster.
    Fleet(Option<Box<FleetView>>),
    /// The drain was started or ended.
    DrainState {
        /// Whether an operator drains the process now.
        draining: bool,
        /// Whether the request changed that.
        changed: bool,
    },
}

/// Why a process is not ready to serve. If several reasons apply, the first in this order is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReadyReason {
    /// The process shuts down.
    ShuttingDown,
    /// An operator drains the process.
    OperatorDrain,
    /// The processor has not greeted yet, so nothing could run.
    NoProcessor,
    /// The admission module reports that the server is unhealthy, or an operator took it out of service.
    Unhealthy,
}

impl NotReadyReason {
    /// Returns the reason in one or two words, for the response and the log.
    pub fn word(self) -> &'static str {
        match self {
            Self::ShuttingDown => "leaving",
            Self::OperatorDrain => "drained",
            Self::NoProcessor => "no processor",
            Self::Unhealthy => "unwell",
        }
    }
}

/// State of the process that its readiness depends on, in addition to an operator's drain.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadinessInputs {
    /// Whether the processor has greeted.
    pub processor: bool,
    /// Whether the admission module takes requests and no operator took the server out of service.
    pub healthy: bool,
    /// Whether the shutdown notice has arrived.
    pub shutting_down: bool,
}

/// The drain that operators start and end at the admin endpoint.
#[derive(Debug, Default)]
pub struct OperatorDrain {
    draining_since: Option<Time>,
}

impl OperatorDrain {
    /// Starts or ends the drain. The response says whether that changed anything.
    pub fn set(&mut self, now: Time, draining: bool) -> AdminResponse {
        let changed = if draining {
            self.draining_since.replace(self.draining_since.unwrap_or(now)).is_none()
        } else {
            self.draining_since.take().is_some()
        };
        AdminResponse::DrainState { draining, changed }
    }

    /// Returns when the drain started; `None` if there is none.
    pub fn draining_since(&self) -> Option<Time> {
        self.draining_since
    }

    /// Returns whether the process is ready to serve, or the first reason why it is not.
    pub fn readiness(&self, server: ReadinessInputs) -> Result<(), NotReadyReason> {
        if server.shutting_down {
            Err(NotReadyReason::ShuttingDown)
        } else if self.draining_since.is_some() {
            Err(NotReadyReason::OperatorDrain)
        } else if !server.processor {
            Err(NotReadyReason::NoProcessor)
        } else if !server.healthy {
            Err(NotReadyReason::Unhealthy)
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests;
