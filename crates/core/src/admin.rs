//! The operators' door as the reducer sees it: the calls it takes, what they are answered, and the one order it
//! keeps, a drain by hand. Whether the process is ready is decided here, from what the reducer tells of itself.
//!
//! Owns no socket and speaks no HTTP: the shell makes calls of requests and responses of answers, and it answers on
//! its own where the reducer is late.

use crate::configuration::{ConfigurationAdminRequest, ConfigurationAdminResponse};
use crate::request_metrics::MetricsSnapshot;
use gradepin_admission::Time;
use gradepin_cluster::cluster::FleetView;
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::server_agent::{AgentStatus as Agreements, CommandStatus};

/// Names a call of the door until it is answered; never used again.
pub type AdminRequestId = u64;

/// What an operator asks.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminRequest {
    /// Whether this process is ready to serve.
    Health,
    /// The figures.
    Stats,
    /// The fleet as this server sees it.
    Fleet,
    /// Send clients away: health says no until the drain ends.
    StartDrain,
    /// The drain ends: back to work.
    EndDrain,
    /// About what the fleet agrees on.
    Agreement(AgreementRequest),
    /// About the committed configuration.
    Configuration(ConfigurationAdminRequest),
}

/// What an operator asks of the fleet's agreements.
#[derive(Debug, Clone, PartialEq)]
pub enum AgreementRequest {
    /// How they stand, as far as is known here.
    Status,
    /// Have the council agree on something.
    Command(Box<OperatorCommand>),
    /// Status of a command.
    CommandStatus {
        /// Ticket of the command.
        ticket: u64,
    },
    /// Found the council.
    FoundGroup,
    /// Which version a server shall run, for whoever starts its process.
    TargetVersion {
        /// Name of the server.
        server: String,
    },
    /// This server asks for a permit and leaves by it.
    Leave,
    /// It stays.
    Stay,
}

/// What that is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum AgreementResponse {
    /// This server takes no part.
    Off,
    /// How they stand.
    Status(Box<Agreements>),
    /// The order is under way, under this ticket.
    Ticket(u64),
    /// What became of it.
    CommandStatus(CommandStatus),
    /// Done, or not, and why.
    Completed(Result<String, String>),
    /// The version, if a release has one for it.
    TargetVersion(Option<String>),
}

/// What a call is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum AdminResponse {
    /// Ready to serve, or not, and why not.
    Health(Result<(), NotReadyReason>),
    /// The figures as of now.
    Stats(Box<MetricsSnapshot>),
    /// About what the fleet agrees on.
    Agreement(AgreementResponse),
    /// About the committed configuration.
    Configuration(Box<ConfigurationAdminResponse>),
    /// The fleet as it is seen from here; none where servers don't talk to each other.
    Fleet(Option<Box<FleetView>>),
    /// The order is in force, and whether it changed anything.
    DrainState {
        /// Whether an operator drains the process from now on.
        draining: bool,
        /// Whether it was not so before.
        changed: bool,
    },
}

/// Why a process is not ready to serve; the first that holds, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReadyReason {
    /// It was told to leave.
    ShuttingDown,
    /// An operator drains it.
    OperatorDrain,
    /// Its processor has not greeted yet: nothing could run.
    NoProcessor,
    /// The decision module says it is unwell, or an operator took it out of service.
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

/// What the reducer tells of itself when readiness is asked.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadinessInputs {
    /// The processor has greeted, and the module is there.
    pub processor: bool,
    /// The module says it takes work, and no operator took the server out.
    pub well: bool,
    /// The notice to leave has come.
    pub leaving: bool,
}

/// The drain that operators order at the door, and since when.
#[derive(Debug, Default)]
pub struct OperatorDrain {
    draining_since: Option<Time>,
}

impl OperatorDrain {
    /// Takes a call that changes something, and says what it is answered; the others are the reducer's to answer.
    pub fn order(&mut self, now: Time, call: &AdminRequest) -> Option<AdminResponse> {
        let changed = match call {
            AdminRequest::StartDrain => {
                self.draining_since.replace(self.draining_since.unwrap_or(now)).is_none()
            }
            AdminRequest::EndDrain => self.draining_since.take().is_some(),
            AdminRequest::Health
            | AdminRequest::Stats
            | AdminRequest::Fleet
            | AdminRequest::Agreement(_)
            | AdminRequest::Configuration(_) => return None,
        };
        Some(AdminResponse::DrainState { draining: self.draining_since.is_some(), changed })
    }

    /// Whether an operator drains the process, and since when.
    pub fn draining_since(&self) -> Option<Time> {
        self.draining_since
    }

    /// Whether the process is ready: it answers as it serves, and says no at once after a drain was ordered.
    pub fn ready(&self, standing: ReadinessInputs) -> Result<(), NotReadyReason> {
        if standing.leaving {
            Err(NotReadyReason::ShuttingDown)
        } else if self.draining_since.is_some() {
            Err(NotReadyReason::OperatorDrain)
        } else if !standing.processor {
            Err(NotReadyReason::NoProcessor)
        } else if !standing.well {
            Err(NotReadyReason::Unhealthy)
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const UP: ReadinessInputs = ReadinessInputs { processor: true, well: true, leaving: false };

    /// Guards the drain rule: no good answer from the call on, and a good one again as soon as it ends.
    #[test]
    fn a_drain_says_no_at_once_and_its_end_says_yes_at_once() {
        let mut door = OperatorDrain::default();
        assert_eq!(door.ready(UP), Ok(()));
        let failed = door.order(Time(5), &AdminRequest::StartDrain);
        assert_eq!(failed, Some(AdminResponse::DrainState { draining: true, changed: true }));
        assert_eq!(door.ready(UP), Err(NotReadyReason::OperatorDrain));
        // A second call changes nothing, and the drain counts from the first.
        assert_eq!(
            door.order(Time(9), &AdminRequest::StartDrain),
            Some(AdminResponse::DrainState { draining: true, changed: false })
        );
        assert_eq!(door.draining_since(), Some(Time(5)));
        assert_eq!(
            door.order(Time(12), &AdminRequest::EndDrain),
            Some(AdminResponse::DrainState { draining: false, changed: true })
        );
        assert_eq!(door.ready(UP), Ok(()));
        assert_eq!(
            door.order(Time(13), &AdminRequest::EndDrain),
            Some(AdminResponse::DrainState { draining: false, changed: false })
        );
    }

    /// Guards the upgrade: a new process says yes only once it can serve, and an old one no once it leaves.
    #[test]
    fn readiness_follows_what_the_process_can_do() {
        let mut door = OperatorDrain::default();
        assert_eq!(door.ready(ReadinessInputs::default()), Err(NotReadyReason::NoProcessor));
        assert_eq!(door.ready(ReadinessInputs { well: false, ..UP }), Err(NotReadyReason::Unhealthy));
        assert_eq!(door.ready(ReadinessInputs { leaving: true, ..UP }), Err(NotReadyReason::ShuttingDown));
        assert_eq!(door.order(Time(1), &AdminRequest::Health), None);
    }
}
