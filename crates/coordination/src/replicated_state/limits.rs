//! Limits on simultaneous outages, and the check of one more outage against them.
//!
//! Invariant: at the time of a grant, servers out by permit plus servers known to be out without one exceed neither the limit
//! of the fleet nor that of a zone or service.

use super::{DenialReason, Permit, ReplicatedState, Target};
use crate::ids::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum permits for service members at a time; bounds the state, since no limit covers the sum over all services.
const MAX_SERVICE_PERMITS: usize = 256;
/// Maximum names listed in a denial; further names are only counted.
const MAX_LISTED_NAMES: usize = 6;

/// Maximum outages at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum servers out of service in the whole fleet.
    pub fleet: u32,
    /// Maximum servers out of service in each zone. A permit for a whole zone isn't subject to this limit.
    pub zone: u32,
    /// Maximum permits for a whole zone.
    pub zones: u32,
    /// Maximum members out of service per service; a service that isn't listed gets no permits.
    pub services: BTreeMap<Name, u32>,
}

impl Default for Limits {
    fn default() -> Self {
        Self { fleet: 1, zone: 1, zones: 0, services: BTreeMap::new() }
    }
}

/// Joins names for the text of a denial, at most [`MAX_LISTED_NAMES`] of them.
fn list_names<'a>(names: impl Iterator<Item = &'a Name>) -> String {
    let names: Vec<&str> = names.map(|name| &**name).collect();
    if names.is_empty() {
        return "none".into();
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
    /// Servers that a permit of their own or of their zone allows to be out.
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

    /// Checks whether `target` may be out in addition to all permits and to `unplanned`, the servers that are out without a
    /// permit. A target that already has a permit is counted once.
    pub fn fits(&self, target: &Target, unplanned: &BTreeSet<Name>) -> Result<(), DenialReason> {
        if let Target::Service { service, .. } = target {
            return self.fits_service(target, service);
        }
        let requested = self.servers_of(target);
        // A server outside the roster has no zone whose limit could apply.
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
                servers_out: list_names(out_before.iter()),
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
        let servers_out = list_names(out_before.iter().filter(is_in_zone));
        Err(DenialReason::Zone { out, max, servers_out, zone: Arc::clone(zone) })
    }

    /// Whether all outages by permit are within `limits`; unplanned outages aren't in the log and don't count here. Permits
    /// granted before the limits were lowered may exceed them.
    pub fn is_within(&self, limits: &Limits) -> bool {
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
