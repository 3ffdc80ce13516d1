//! Permits: who may be out of service, from reservation to end.
//!
//! Invariants: a target has at most one permit; an epoch is never reused; a granted permit fits the limits at its entry. Ends
//! name what was observed, so that a grant which was committed in between isn't revoked unseen.

use super::{CommandOutcome, DenialReason, ReplicatedState};
use crate::ids::{Epoch, Incarnation, LogIndex, Name, RolloutNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// What may be out of service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A server.
    Server(Name),
    /// All servers of a zone.
    Zone(Name),
    /// A member of a dependency: a processor, a replica of the ledger.
    Service {
        /// The service, as the limits name it.
        #[serde(rename = "group")]
        service: Name,
        /// The member.
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

/// The reason for which a permit was requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// A drain that a person or a script requested.
    Drain,
    /// A step of the rollout with this number.
    #[serde(rename = "Release")]
    Rollout(RolloutNumber),
}

/// The state of a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitStage {
    /// The capacity is reserved.
    Reserved,
    /// The holder was allowed to begin, or may have been.
    Begun,
    /// An operator released it; it counts until the holder's right to begin has expired.
    #[serde(rename = "Freed")]
    Released,
}

/// A permit. Its epoch is its key in [`ReplicatedState::permits`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// What may be out of service.
    pub target: Target,
    /// The requester: the name of a server or of a person.
    pub holder: Name,
    /// The reason of the request.
    pub purpose: Purpose,
    /// Its state.
    pub stage: PermitStage,
    /// How often the holder was allowed to begin; each time is a right of its own.
    #[serde(rename = "begins")]
    pub begin_grants: u32,
    /// The holder's incarnation that requested last; 0 for a person.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// The observation by which a permit ends. The end is denied if the holder was allowed to begin again since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitEnd {
    /// A leader saw the target stable after this many grants to begin.
    #[serde(rename = "Steady")]
    Stable(u32),
    /// The holder cancelled it, in this incarnation.
    #[serde(rename = "Word")]
    HolderCancelled(Incarnation),
}

impl PermitEnd {
    /// Whether nothing was granted to the holder since the observation.
    fn is_current(self, permit: &Permit) -> bool {
        match self {
            Self::Stable(begin_grants) => permit.begin_grants == begin_grants,
            Self::HolderCancelled(incarnation) => permit.incarnation == incarnation,
        }
    }
}

/// A request to reserve capacity.
pub(super) struct Reservation {
    pub target: Target,
    pub holder: Name,
    pub incarnation: Incarnation,
    pub purpose: Purpose,
}

impl ReplicatedState {
    /// The permit of a target, with its epoch.
    pub fn permit_of(&self, target: &Target) -> Option<(Epoch, &Permit)> {
        self.permits
            .iter()
            .find(|(_, permit)| permit.target == *target)
            .map(|(epoch, permit)| (*epoch, permit))
    }

    /// Reserves a permit at this entry. A repeated request of the same holder gets the permit that it has.
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
        // The leader that proposed it saw other permits, perhaps: what is committed has to fit those at this entry.
        self.fits(&target, &BTreeSet::new())?;
        let stage = PermitStage::Reserved;
        let permit = Permit { target, holder, purpose, stage: stage.clone(), begin_grants: 0, incarnation };
        self.permits.insert(index, permit);
        Ok(CommandOutcome::Permit { epoch: index, stage })
    }

    /// Allows the holder of a permit to begin.
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

    /// A permit for a rollout step needs a rollout that moves.
    fn check_purpose(&self, purpose: &Purpose) -> Result<(), DenialReason> {
        match purpose {
            Purpose::Rollout(number) => self.rollout_is_moving(*number),
            Purpose::Drain => Ok(()),
        }
    }

    /// Ends a permit, if nothing was granted since the observation.
    pub(super) fn end_permit(
        &mut self,
        epoch: Epoch,
        observed: PermitEnd,
    ) -> Result<CommandOutcome, DenialReason> {
        let permit = self.permits.get(&epoch).ok_or(DenialReason::Stale(epoch))?;
        if !observed.is_current(permit) {
            return Err(DenialReason::Invalid(format!("permit {epoch} was asked for again meanwhile")));
        }
        self.permits.remove(&epoch);
        Ok(CommandOutcome::Done)
    }

    /// An operator releases a permit whose holder won't come back.
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

    /// Removes a released permit whose holder has no right to begin left.
    pub(super) fn expire_permit(&mut self, epoch: Epoch) {
        if self.permits.get(&epoch).is_some_and(|permit| permit.stage == PermitStage::Released) {
            self.permits.remove(&epoch);
        }
    }
}
