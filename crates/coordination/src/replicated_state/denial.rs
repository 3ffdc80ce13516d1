//! Why a command is denied. Voters send the reasons to servers: the order of variants and fields is the wire format.

use crate::ids::{Epoch, Name};
use serde::{Deserialize, Serialize};

/// Why a command is denied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum DenialReason {
    /// The limit of the fleet.
    #[error("{out} servers of the fleet would be out, {max} may be: {who}")]
    Fleet {
        /// How many servers would be out.
        out: u32,
        /// How many may be.
        #[serde(rename = "most")]
        max: u32,
        /// The servers that are out already.
        who: String,
    },
    /// The limit of a zone.
    #[error("{out} servers of zone {zone} would be out, {max} may be: {who}")]
    Zone {
        /// The zone.
        zone: Name,
        /// How many of its servers would be out.
        out: u32,
        /// How many may be.
        #[serde(rename = "most")]
        max: u32,
        /// The servers that are out already.
        who: String,
    },
    /// The limit of zones.
    #[error("{out} zones would be out, {max} may be")]
    Zones {
        /// How many zones would be out.
        out: u32,
        /// How many may be.
        #[serde(rename = "most")]
        max: u32,
    },
    /// The limit of a service.
    #[error("{out} members of service {service} would be out, {max} may be")]
    Service {
        /// The service.
        #[serde(rename = "group")]
        service: Name,
        /// How many of its members would be out.
        out: u32,
        /// How many may be.
        #[serde(rename = "most")]
        max: u32,
    },
    /// No server or zone of this name belongs to the fleet.
    #[error("expected a server or zone of the roster, got {0}")]
    Unknown(String),
    /// The permit has ended.
    #[error("permit {0} is over or was freed; ask anew")]
    Stale(Epoch),
    /// Another holder has the permit.
    #[error("permit {epoch} is {holder}'s")]
    #[serde(rename = "Other")]
    OtherHolder {
        /// The permit.
        epoch: Epoch,
        /// Its holder.
        holder: Name,
    },
    /// The rollout doesn't move.
    #[error("the release is {0}")]
    #[serde(rename = "Release")]
    Rollout(String),
    /// The command doesn't fit the state.
    #[error("{0}")]
    #[serde(rename = "Sense")]
    Invalid(String),
}
