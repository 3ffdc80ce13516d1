//! Reasons for denied commands. Voters send them to servers, so the order of variants and fields is the wire format.

use crate::ids::{Epoch, Name};
use serde::{Deserialize, Serialize};

/// Why a command is denied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum DenialReason {
    /// The limit on servers of the fleet would be exceeded.
    #[error(
        "{out} servers of the fleet would be out of service, the limit is {max}; out already: {servers_out}"
    )]
    Fleet {
        /// Servers that would be out of service.
        out: u32,
        /// The limit.
        #[serde(rename = "most")]
        max: u32,
        /// Names of servers that are out already, shortened to a few.
        #[serde(rename = "who")]
        servers_out: String,
    },
    /// The limit on servers of one zone would be exceeded.
    #[error(
        "{out} servers of zone {zone} would be out of service, the limit is {max}; out already: {servers_out}"
    )]
    Zone {
        /// Name of the zone.
        zone: Name,
        /// Servers of the zone that would be out of service.
        out: u32,
        /// The limit.
        #[serde(rename = "most")]
        max: u32,
        /// Names of servers that are out already, shortened to a few.
        #[serde(rename = "who")]
        servers_out: String,
    },
    /// The limit on zones with a permit would be exceeded.
    #[error("{out} zones would be out of service, the limit is {max}")]
    Zones {
        /// Zones that would be out of service.
        out: u32,
        /// The limit.
        #[serde(rename = "most")]
        max: u32,
    },
    /// The limit on members of a service, or on all service permits, would be exceeded.
    #[error("{out} members of service {service} would be out of service, the limit is {max}")]
    Service {
        /// Name of the service.
        #[serde(rename = "group")]
        service: Name,
        /// Members of the service that would be out of service.
        out: u32,
        /// The limit.
        #[serde(rename = "most")]
        max: u32,
    },
    /// The target isn't in the roster, or is a service without a limit.
    #[error("expected a server or zone of the roster or a service with a limit, got {0}")]
    Unknown(String),
    /// The permit has ended, or an operator released it.
    #[error("permit {0} has ended or was freed by an operator; request a new one")]
    Stale(Epoch),
    /// The permit belongs to another holder.
    #[error("permit {epoch} is held by {holder}")]
    #[serde(rename = "Other")]
    OtherHolder {
        /// Epoch of the permit.
        epoch: Epoch,
        /// Holder of the permit.
        holder: Name,
    },
    /// The rollout takes no step now.
    #[error("the release takes no step: {0}")]
    #[serde(rename = "Release")]
    Rollout(String),
    /// The command is invalid in the present state.
    #[error("{0}")]
    #[serde(rename = "Sense")]
    Invalid(String),
}
