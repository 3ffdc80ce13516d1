//! The roster of servers that belong to the fleet. Leaders add servers that report; only an operator removes a server.

use super::{CommandOutcome, DenialReason, PermitStage, ReplicatedState, Target};
use crate::ids::{LogIndex, MAX_TEXT_BYTES, Name};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum servers in the roster.
pub const MAX_SERVERS: usize = 4_096;

/// A server that belongs to the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Zone of the server; the limit per zone applies to it.
    pub zone: Name,
}

impl ReplicatedState {
    /// Adds a server, or changes the zone of a known one.
    pub(super) fn add_server(&mut self, name: Name, zone: Name) -> Result<CommandOutcome, DenialReason> {
        let is_too_long = name.len() > MAX_TEXT_BYTES || zone.len() > MAX_TEXT_BYTES;
        let is_full = self.roster.len() >= MAX_SERVERS && !self.roster.contains_key(&name);
        if is_too_long || is_full {
            return Err(DenialReason::Invalid(format!(
                "expected at most {MAX_SERVERS} servers, with names and zones of at most {MAX_TEXT_BYTES} bytes"
            )));
        }
        self.roster.insert(name, Member { zone });
        Ok(CommandOutcome::Done)
    }

    /// Removes a server. Its permits are released and count until they expire, as a grant to begin may just have been sent.
    pub(super) fn remove_server(
        &mut self,
        index: LogIndex,
        name: Name,
        operator: Name,
        reason: String,
    ) -> Result<CommandOutcome, DenialReason> {
        if self.roster.remove(&name).is_none() {
            return Err(DenialReason::Unknown(name.to_string()));
        }
        let target = Target::Server(Arc::clone(&name));
        for permit in self.permits.values_mut().filter(|permit| permit.target == target) {
            permit.stage = PermitStage::Released;
        }
        if let Some(rollout) = &mut self.rollout {
            rollout.servers.remove(&name);
        }
        self.record_action(index, operator, format!("{name} struck from the roster"), reason);
        Ok(CommandOutcome::Done)
    }
}
