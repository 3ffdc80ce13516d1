//! The commands of the consensus group's log, and their application. The order of variants and fields is the log's format.

use super::permits::Reservation;
use super::{DenialReason, Limits, PermitEnd, PermitStage, Purpose, ReplicatedState, Target};
use crate::configuration_log::{ConfigurationEntry, ConfigurationRejected};
use crate::ids::{Epoch, Incarnation, LogIndex, Name};
use crate::rollout::RolloutCommand;
use gradepin_config::change::Revision;
use serde::{Deserialize, Serialize};

/// What the consensus group agrees on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sets the limits.
    Limits(Limits),
    /// Adds a server to the roster.
    #[serde(rename = "Enrol")]
    AddServer {
        /// Its name.
        name: Name,
        /// Its zone.
        zone: Name,
    },
    /// Removes a server from the roster, for an operator.
    #[serde(rename = "Strike")]
    RemoveServer {
        /// The server.
        name: Name,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Reserves a permit.
    Reserve {
        /// What is to be out of service.
        target: Target,
        /// Who requests it.
        holder: Name,
        /// The holder's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The reason of the request.
        purpose: Purpose,
    },
    /// Allows the holder of a permit to begin.
    Begin {
        /// The permit.
        epoch: Epoch,
        /// Who requests it.
        holder: Name,
        /// The holder's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Ends a permit: its target is back and stable, or never left.
    End {
        /// The permit.
        epoch: Epoch,
        /// The observation by which it ends.
        #[serde(rename = "by")]
        observed: PermitEnd,
    },
    /// Releases a permit, for an operator.
    #[serde(rename = "Free")]
    ReleasePermit {
        /// The permit.
        epoch: Epoch,
        /// The operator.
        #[serde(rename = "by")]
        operator: Name,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Removes a released permit: its holder has no right to begin left.
    #[serde(rename = "Gone")]
    PermitExpired {
        /// The permit.
        epoch: Epoch,
    },
    /// Changes the rollout.
    #[serde(rename = "Release")]
    Rollout(RolloutCommand),
    /// Changes the configuration. Last, so that logs of versions without it are read as they were written.
    Configuration(Box<ConfigurationEntry>),
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It was applied.
    Done,
    /// A permit was reserved or begun, or is held already.
    Permit {
        /// The permit.
        epoch: Epoch,
        /// Its stage.
        stage: PermitStage,
    },
    /// It changed nothing.
    Denied(DenialReason),
    /// A change of the configuration has this revision.
    Revision(Revision),
    /// A change of the configuration isn't committed.
    NotCommitted(ConfigurationRejected),
}

impl ReplicatedState {
    /// Applies the command of an entry.
    pub fn apply(&mut self, index: LogIndex, command: Command) -> CommandOutcome {
        self.index = index;
        self.try_apply(index, command).unwrap_or_else(CommandOutcome::Denied)
    }

    fn try_apply(&mut self, index: LogIndex, command: Command) -> Result<CommandOutcome, DenialReason> {
        match command {
            Command::Limits(limits) => self.limits = limits,
            Command::AddServer { name, zone } => return self.add_server(name, zone),
            Command::RemoveServer { name, operator, reason } => {
                return self.remove_server(index, name, operator, reason);
            }
            Command::Reserve { target, holder, incarnation, purpose } => {
                return self.reserve(index, Reservation { target, holder, incarnation, purpose });
            }
            Command::Begin { epoch, holder, incarnation } => return self.begin(epoch, &holder, incarnation),
            Command::End { epoch, observed } => return self.end_permit(epoch, observed),
            Command::ReleasePermit { epoch, operator, reason } => {
                return self.release_permit(index, epoch, operator, reason);
            }
            Command::PermitExpired { epoch } => self.expire_permit(epoch),
            Command::Rollout(command) => return self.apply_rollout_command(index, command),
            Command::Configuration(entry) => return Ok(self.apply_configuration(&entry)),
        }
        Ok(CommandOutcome::Done)
    }

    fn apply_configuration(&mut self, entry: &ConfigurationEntry) -> CommandOutcome {
        match self.configuration.apply(entry) {
            Ok(revision) => CommandOutcome::Revision(revision),
            Err(reason) => CommandOutcome::NotCommitted(reason),
        }
    }
}
