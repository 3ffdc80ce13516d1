//! The commands of the consensus group's log, and how the state applies them. The order of variants and fields is the log
//! format.

use super::permits::Reservation;
use super::{DenialReason, Limits, PermitEnd, PermitStage, Purpose, ReplicatedState, Target};
use crate::configuration_log::{ConfigurationEntry, ConfigurationRejected};
use crate::ids::{Epoch, Incarnation, LogIndex, Name};
use crate::rollout::RolloutCommand;
use gradepin_config::change::Revision;
use serde::{Deserialize, Serialize};

/// A command in the consensus group's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the limits on outages.
    Limits(Limits),
    /// Adds a server to the roster, or changes its zone.
    #[serde(rename = "Enrol")]
    AddServer {
        /// Name of the server.
        name: Name,
        /// Zone of the server.
        zone: Name,
    },
    /// Removes a server from the roster, as an operator ordered.
    #[serde(rename = "Strike")]
    RemoveServer {
        /// Name of the server.
        name: Name,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
        /// Reason that the operator gave.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Reserves a permit for an outage.
    Reserve {
        /// The server, zone or service member that is to be out of service.
        target: Target,
        /// The server or operator that requests the permit.
        holder: Name,
        /// Incarnation of the holder.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// Why the permit is requested.
        purpose: Purpose,
    },
    /// Allows the holder of a permit to begin its outage.
    Begin {
        /// Epoch of the permit.
        epoch: Epoch,
        /// The server or operator that requests to begin.
        holder: Name,
        /// Incarnation of the holder.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Ends a permit because its target is back and stable, or because the holder cancelled it.
    End {
        /// Epoch of the permit.
        epoch: Epoch,
        /// The observation that justifies the end.
        #[serde(rename = "by")]
        observed: PermitEnd,
    },
    /// Marks a permit as released, as an operator ordered. It counts against the limits until [`Command::PermitExpired`].
    #[serde(rename = "Free")]
    ReleasePermit {
        /// Epoch of the permit.
        epoch: Epoch,
        /// Name of the operator.
        #[serde(rename = "by")]
        operator: Name,
        /// Reason that the operator gave.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Removes a released permit once the holder's right to begin has expired.
    #[serde(rename = "Gone")]
    PermitExpired {
        /// Epoch of the permit.
        epoch: Epoch,
    },
    /// Starts or changes the rollout.
    #[serde(rename = "Release")]
    Rollout(RolloutCommand),
    /// Changes the configuration. The last variant, so logs written before it existed decode unchanged.
    Configuration(Box<ConfigurationEntry>),
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command was applied.
    Done,
    /// A permit was reserved or begun, or the holder has it already.
    Permit {
        /// Epoch of the permit.
        epoch: Epoch,
        /// Stage of the permit after the command.
        stage: PermitStage,
    },
    /// The command was denied and changed nothing.
    Denied(DenialReason),
    /// A configuration change was committed as this revision.
    Revision(Revision),
    /// A configuration change was rejected and changed nothing.
    NotCommitted(ConfigurationRejected),
}

impl ReplicatedState {
    /// Applies the command of the entry at `index` and returns its outcome.
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
