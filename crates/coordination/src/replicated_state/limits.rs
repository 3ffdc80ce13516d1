//! Limits on what may be out of service at a time, and the check of one more outage against them.
//!
//! Invariant: servers out by permit, together with those known to be out without one, never exceed the limits of the fleet, of
//! a zone or of a service at the time of a grant.

use super::{DenialReason, Permit, ReplicatedState, Target};
use crate::ids::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Permits for services at a time, in addition to those for servers and zones.
const MAX_SERVICE_PERMITS: usize = 256;
/// Names that a denial lists before it only counts.
const MAX_LISTED_NAMES: usize = 6;

/// How much may be out of service at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Servers of the fleet.
    pub fleet: u32,
    /// Servers of one zone.
    pub zone: u32,
    /// Zones that are out by a permit for a zone.
    pub zones: u32,
    /// Members of each service; a service that isn't listed has no permits.
    pub services: BTreeMap<Name, u32>,
}

impl Default for Limits {
    fn default() -> Self {
        Self { fleet: 1, zone: 1, zones: 0, services: BTreeMap::new() }
    }
}

/// Lists names for a denial.
fn list_names<'a>(names: impl Iterator<Item = &'a Name>) -> String {
    let names: Vec<&str> = names.map(|name| &**name).collect();
    if names.is_empty() {
        return "none is out now".into();
    }
    let listed = names[..names.len().min(MAX_LISTED_NAMES)].join(", ");
    match names.len().saturating_sub(MAX_LISTED_NAMES) {
        0 => listed,
        more => format!("{listed} and {more} more"),
    }
}

fn is_service(permit: &Permit) -> bool {
    matches!(permit.target, Target::Service { .. })
}

fn is_member_of(permit: &Permit, expected: &Name) -> bool {
    matches!(&permit.target, Target::Service { service, .. } if service == expected)
}

impl ReplicatedState {
    /// Servers that are out or may be by a permit.
    pub fn out_by_permit(&self) -> BTreeSet<Name> {
        self.permits.values().flat_map(|permit| self.servers_of(&permit.target)).collect()
    }

    fn servers_of(&self, target: &Target) -> Vec<Name> {
        match target {
            Target::Server(name) => vec![Arc::clone(name)],
            Target::Zone(zone) => {
                let members = self.roster.iter().filter(|(_, member)| member.zone == *zone);
                members.map(|(name, _)| Arc::clone(name)).collect()
            }
            Target::Service { .. } => Vec::new(),
        }
    }

    fn zone_of(&self, name: &Name) -> Option<&Name> {
        self.roster.get(name).map(|member| &member.zone)
    }

    /// Whether one more may be out, in addition to all permits and to `unplanned`: servers that are out without a permit.
    pub fn fits(&self, target: &Target, unplanned: &BTreeSet<Name>) -> Result<(), DenialReason> {
        if let Target::Service { service, .. } = target {
            return self.fits_service(target, service);
        }
        let requested = self.servers_of(target);
        // A server that isn't in the roster has no zone to be counted in.
        if requested.is_empty() || requested.iter().any(|name| !self.roster.contains_key(name)) {
            return Err(DenialReason::Unknown(target.to_string()));
        }
        let mut out_before = self.out_by_permit();
        out_before.extend(unplanned.iter().filter(|name| self.roster.contains_key(*name)).cloned());
        let mut out = out_before.clone();
        out.extend(requested.iter().cloned());
        if out.len() as u32 > self.limits.fleet {
            return Err(DenialReason::Fleet {
                out: out.len() as u32,
                max: self.limits.fleet,
                who: list_names(out_before.iter()),
            });
        }
        if let Target::Zone(zone) = target {
            return self.fits_zones(zone);
        }
        requested.iter().try_for_each(|name| self.fits_zone_of(name, &out, &out_before))
    }

    fn fits_service(&self, target: &Target, service: &Name) -> Result<(), DenialReason> {
        let others = self.permits.values().filter(|permit| is_member_of(permit, service));
        let out = others.filter(|permit| permit.target != *target).count() as u32 + 1;
        let max = self.limits.services.get(service).copied();
        let max = max.ok_or_else(|| DenialReason::Unknown(target.to_string()))?;
        let service_permits = self.permits.values().filter(|permit| is_service(permit)).count();
        if out > max || service_permits >= MAX_SERVICE_PERMITS {
            return Err(DenialReason::Service { service: Arc::clone(service), out, max });
        }
        Ok(())
    }

    fn fits_zones(&self, zone: &Name) -> Result<(), DenialReason> {
        let is_other_zone = |permit: &&Permit| matches!(&permit.target, Target::Zone(other) if other != zone);
        let out = self.permits.values().filter(is_other_zone).count() as u32 + 1;
        let max = self.limits.zones;
        if out > max { Err(DenialReason::Zones { out, max }) } else { Ok(()) }
    }

    fn fits_zone_of(
        &self,
        name: &Name,
        out: &BTreeSet<Name>,
        out_before: &BTreeSet<Name>,
    ) -> Result<(), DenialReason> {
        let Some(zone) = self.zone_of(name) else { return Ok(()) };
        let is_in_zone = |name: &&Name| self.zone_of(name) == Some(zone);
        let (out, max) = (out.iter().filter(is_in_zone).count() as u32, self.limits.zone);
        if out <= max {
            return Ok(());
        }
        let who = list_names(out_before.iter().filter(is_in_zone));
        Err(DenialReason::Zone { out, max, who, zone: Arc::clone(zone) })
    }

    /// Whether all that is out by permits is within these limits: the promise as far as the log alone keeps it. Permits that
    /// were granted before the limits were lowered may exceed them.
    pub fn holds(&self, limits: &Limits) -> bool {
        let out = self.out_by_permit();
        let zones: BTreeSet<&Name> = self.roster.values().map(|member| &member.zone).collect();
        let has_zone_permit = |zone: &Name| self.permit_of(&Target::Zone(Arc::clone(zone))).is_some();
        let out_in_zone =
            |zone: &Name| out.iter().filter(|name| self.zone_of(name) == Some(zone)).count() as u32;
        let out_of_service = |service: &Name| {
            self.permits.values().filter(|permit| is_member_of(permit, service)).count() as u32
        };
        out.len() as u32 <= limits.fleet
            && zones.into_iter().all(|zone| has_zone_permit(zone) || out_in_zone(zone) <= limits.zone)
            && limits.services.iter().all(|(service, max)| out_of_service(service) <= *max)
    }
}
