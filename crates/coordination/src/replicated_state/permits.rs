//! Permits to be out of service, from reservation to end.
//!
//! Invariants: a target has at most one permit; an epoch is never reused; a permit is within the limits at the entry that
//! reserves it. A command that ends a permit names the observation behind it, so it can't revoke a grant committed after that
//! observation.

use super::{CommandOutcome, DenialReason, ReplicatedState};
use crate::ids::{Epoch, Incarnation, LogIndex, Name, RolloutNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// What may be out of service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// One server.
    Server(Name),
    /// All servers of a zone.
    Zone(Name),
    /// One member of a service that servers depend on, such as a processor or a replica of the ledger.
    Service {
        /// Name of the service, as in [`Limits::services`](super::Limits::services).
        #[serde(rename = "group")]
        service: Name,
        /// Name of the member within the service.
        member: Name,
    },
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(name) => write!(formatter, "{name}"),
            Self::Zone(zone) => write!(formatter, "zone {zone}"),
            Self::Service { service, member } => write!(formatter, "{service}/{member}"),
        }
    }
}

/// Why a permit was requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// A drain that an operator or a script requested.
    Drain,
    /// A step of the rollout with this number.
    #[serde(rename = "Release")]
    Rollout(RolloutNumber),
}

/// Stage of a permit between reservation and removal. A permit counts against the limits in all of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitStage {
    /// Reserved; the holder may not begin yet.
    Reserved,
    /// A grant to begin is committed. The holder may or may not have received it.
    Begun,
    /// Released by an operator; counts against the limits until the holder's right to begin has expired.
    #[serde(rename = "Freed")]
    Released,
}

/// A permit to be out of service; [`ReplicatedState::permits`] has it under its epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The server, zone or service member that may be out of service.
    pub target: Target,
    /// Name of the server or operator that requested the permit.
    pub holder: Name,
    /// Why it was requested.
    pub purpose: Purpose,
    /// Stage between reservation and removal.
    pub stage: PermitStage,
    /// Number of committed grants to begin; each grant gives a right to begin with its own expiry.
    #[serde(rename = "begins")]
    pub begin_grants: u32,
    /// Latest incarnation of the holder that made a request; 0 for an operator.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// Observation that justifies ending a permit. The end is denied if the permit was granted or requested anew since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitEnd {
    /// A leader observed the target stable while the permit had this number of grants to begin.
    #[serde(rename = "Steady")]
    Stable(u32),
    /// This incarnation of the holder cancelled the permit.
    #[serde(rename = "Word")]
    HolderCancelled(Incarnation),
}

impl PermitEnd {
    /// Whether the permit is unchanged since the observation.
    fn is_current(self, permit: &Permit) -> bool {
        match self {
            Self::Stable(begin_grants) => permit.begin_grants == begin_grants,
            Self::HolderCancelled(incarnation) => permit.incarnation == incarnation,
        }
    }
}

/// A request to reserve a permit; the fields are those of [`Command::Reserve`](super::Command::Reserve).
pub(super) struct Reservation {
    pub target: Target,
    pub holder: Name,
    pub incarnation: Incarnation,
    pub purpose: Purpose,
}

impl ReplicatedState {
    /// Returns the permit of a target with its epoch.
    pub fn permit_of(&self, target: &Target) -> Option<(Epoch, &Permit)> {
        self.permits
            .iter()
            .find(|(_, permit)| permit.target == *target)
            .map(|(epoch, permit)| (*epoch, permit))
    }

    /// Reserves a permit with the entry's index as its epoch. A repeated request of the same holder returns the existing
    /// permit.
    pub(super) fn reserve(
        &mut self,
        index: LogIndex,
        request: Reservation,
    ) -> Result<CommandOutcome, DenialReason> {
        let Reservation { target, holder, incarnation, purpose } = request;
        let existing = self.permits.iter_mut().find(|(_, permit)| permit.target == target);
        if let Some((&epoch, permit)) = existing {
            if permit.holder != holder {
                return Err(DenialReason::OtherHolder { epoch, holder: Arc::clone(&permit.holder) });
            }
            if permit.stage == PermitStage::Released {
                return Err(DenialReason::Stale(epoch));
            }
            permit.incarnation = permit.incarnation.max(incarnation);
            return Ok(CommandOutcome::Permit { epoch, stage: permit.stage.clone() });
        }
        self.check_purpose(&purpose)?;
        // The proposing leader may have checked against other permits; the ones at this entry are authoritative.
        self.fits(&target, &BTreeSet::new())?;
        let stage = PermitStage::Reserved;
        let permit = Permit { target, holder, purpose, stage: stage.clone(), begin_grants: 0, incarnation };
        self.permits.insert(index, permit);
        Ok(CommandOutcome::Permit { epoch: index, stage })
    }

    /// Records a grant to begin for the holder of a permit.
    pub(super) fn begin(
        &mut self,
        epoch: Epoch,
        holder: &Name,
        incarnation: Incarnation,
    ) -> Result<CommandOutcome, DenialReason> {
        let permit = self.permits.get(&epoch).ok_or(DenialReason::Stale(epoch))?;
        if permit.stage == PermitStage::Released {
            return Err(DenialReason::Stale(epoch));
        }
        if permit.holder != *holder {
            return Err(DenialReason::OtherHolder { epoch, holder: Arc::clone(&permit.holder) });
        }
        self.check_purpose(&permit.purpose)?;
        if let Some(permit) = self.permits.get_mut(&epoch) {
            permit.stage = PermitStage::Begun;
            permit.begin_grants += 1;
            permit.incarnation = permit.incarnation.max(incarnation);
        }
        self.record_step_begun(epoch);
        Ok(CommandOutcome::Permit { epoch, stage: PermitStage::Begun })
    }

    /// Denies permits for a rollout that is halted, closed or replaced.
    fn check_purpose(&self, purpose: &Purpose) -> Result<(), DenialReason> {
        match purpose {
            Purpose::Rollout(number) => self.rollout_is_moving(*number),
            Purpose::Drain => Ok(()),
        }
    }

    /// Ends a permit, unless it was granted or requested anew since the observation.
    pub(super) fn end_permit(
        &mut self,
        epoch: Epoch,
        observed: PermitEnd,
    ) -> Result<CommandOutcome, DenialReason> {
        let permit = self.permits.get(&epoch).ok_or(DenialReason::Stale(epoch))?;
        if !observed.is_current(permit) {
            return Err(DenialReason::Invalid(format!(
                "permit {epoch} was requested again since the observation"
            )));
        }
        self.permits.remove(&epoch);
        Ok(CommandOutcome::Done)
    }

    /// Releases a permit for an operator, who knows that its holder won't come back.
    pub(super) fn release_permit(
        &mut self,
        index: LogIndex,
        epoch: Epoch,
        operator: Name,
        reason: String,
    ) -> Result<CommandOutcome, DenialReason> {
        let permit = self.permits.get_mut(&epoch).ok_or(DenialReason::Stale(epoch))?;
        permit.stage = PermitStage::Released;
        let action = format!("permit {epoch} of {} for {} freed", permit.holder, permit.target);
        self.record_action(index, operator, action, reason);
        Ok(CommandOutcome::Done)
    }

    /// Removes a released permit, after its holder's right to begin has expired.
    pub(super) fn expire_permit(&mut self, epoch: Epoch) {
        if self.permits.get(&epoch).is_some_and(|permit| permit.stage == PermitStage::Released) {
            self.permits.remove(&epoch);
        }
    }
}
