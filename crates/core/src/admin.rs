//! Operators' requests at the admin endpoint, their responses, and the one command whose effect is kept here: a drain.
//!
//! No I/O: the shell decodes requests and encodes responses. It answers for the reducer where that is late.

use crate::configuration::{ConfigurationAdminRequest, ConfigurationAdminResponse};
use crate::request_metrics::MetricsSnapshot;
use gradepin_admission::Time;
use gradepin_cluster::cluster::FleetView;
use gradepin_coordination::messages::{CommandResult, OperatorCommand};
use gradepin_coordination::server_agent::{AgentStatus as Agreements, CommandStatus};

/// Names a request of the admin endpoint until it is answered; never used again.
pub type AdminRequestId = u64;

/// An operator's request.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminRequest {
    /// Whether this process is ready to serve.
    Health,
    /// The metrics.
    Stats,
    /// The cluster as this server sees it.
    Fleet,
    /// Send clients away: the health check fails until the drain ends.
    StartDrain,
    /// End the drain.
    EndDrain,
    /// About permits, rollouts and the consensus group.
    Agreement(AgreementRequest),
    /// About the committed configuration.
    Configuration(ConfigurationAdminRequest),
}

/// An operator's request about permits, rollouts and the consensus group.
#[derive(Debug, Clone, PartialEq)]
pub enum AgreementRequest {
    /// The agreements as far as this server knows them.
    Status,
    /// Propose a command to the consensus group.
    Command(Box<OperatorCommand>),
    /// Status of a command.
    CommandStatus {
        /// Ticket of the command.
        ticket: u64,
    },
    /// Found the consensus group.
    FoundGroup,
    /// Which version a server shall run, for whoever starts its process.
    TargetVersion {
        /// Name of the server.
        server: String,
    },
    /// This server asks for a permit to leave, and leaves by it.
    Leave,
    /// This server stays.
    Stay,
}

/// The response to an [`AgreementRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum AgreementResponse {
    /// This server has no consensus group.
    Off,
    /// The agreements.
    Status(Box<Agreements>),
    /// The command is under way, under this ticket.
    Ticket(u64),
    /// Status of a command.
    CommandStatus(CommandStatus),
    /// Done, with a text for the operator; or why not.
    Completed(CommandResult),
    /// The version, if a release has one for the server.
    TargetVersion(Option<String>),
}

/// The response to an [`AdminRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum AdminResponse {
    /// Ready to serve, or why not.
    Health(Result<(), NotReadyReason>),
    /// The metrics.
    Stats(Box<MetricsSnapshot>),
    /// About permits, rollouts and the consensus group.
    Agreement(AgreementResponse),
    /// About the committed configuration.
    Configuration(Box<ConfigurationAdminResponse>),
    /// The cluster as this server sees it; none where servers don't talk to each other.
    Fleet(Option<Box<FleetView>>),
    /// The drain was started or ended.
    DrainState {
        /// Whether an operator drains the process from now on.
        draining: bool,
        /// Whether it was otherwise before.
        changed: bool,
    },
}

/// Why a process is not ready to serve; the first that holds, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReadyReason {
    /// It shuts down.
    ShuttingDown,
    /// An operator drains it.
    OperatorDrain,
    /// Its processor has not greeted yet: nothing could run.
    NoProcessor,
    /// The admission module reports that it is unhealthy, or an operator took it out of service.
    Unhealthy,
}

impl NotReadyReason {
    /// In a word, for the response and the log.
    pub fn word(self) -> &'static str {
        match self {
            Self::ShuttingDown => "leaving",
            Self::OperatorDrain => "drained",
            Self::NoProcessor => "no processor",
            Self::Unhealthy => "unwell",
        }
    }
}

/// The state of the process that its readiness depends on, beside an operator's drain.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadinessInputs {
    /// Whether the processor has greeted.
    pub processor: bool,
    /// Whether the admission module takes requests, and no operator took the server out of service.
    pub healthy: bool,
    /// Whether the notice to shut down has come.
    pub shutting_down: bool,
}

/// The drain that operators order at the admin endpoint.
#[derive(Debug, Default)]
pub struct OperatorDrain {
    draining_since: Option<Time>,
}

impl OperatorDrain {
    /// Starts or ends the drain; the response says whether that changed anything.
    pub fn set(&mut self, now: Time, draining: bool) -> AdminResponse {
        let changed = if draining {
            self.draining_since.replace(self.draining_since.unwrap_or(now)).is_none()
        } else {
            self.draining_since.take().is_some()
        };
        AdminResponse::DrainState { draining, changed }
    }

    /// Since when an operator drains the process; none if not.
    pub fn draining_since(&self) -> Option<Time> {
        self.draining_since
    }

    /// Whether the process is ready to serve, or the first reason why not.
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
