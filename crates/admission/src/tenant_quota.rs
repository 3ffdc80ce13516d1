//! Quotas of tenants, by slot, and how much of them was used lately.
//!
//! A tenant's quota counts for the fleet; each server holds the tenant to an equal part of it. What a
//! tenant sends over its quota earns little, and nothing marks which requests those are, so the mean over
//! all of them counts.

use crate::demand::{COUNT_TIME_CONSTANT_SECONDS, NEGLIGIBLE_COUNT};
use crate::settings::Settings;

/// A slot's quota, and the decaying count of first attempts of its tenant.
#[derive(Debug, Clone, Copy, Default)]
struct TenantUsage {
    /// Requests a second, of all servers together; 0 for no quota.
    fleet_quota_rps: f64,
    first_attempts: f64,
}

/// The tenants in force. Grows with the slots that the host gives out.
#[derive(Debug, Default)]
pub(crate) struct TenantQuotas {
    tenants: Vec<TenantUsage>,
    /// Slots whose counts are not negligible; only these decay.
    recently_used: Vec<usize>,
}

impl TenantQuotas {
    /// Sets the quota of a slot; the counts of another tenant than before begin anew.
    pub(crate) fn put(&mut self, slot: usize, fleet_quota_rps: f64, is_other_tenant: bool) {
        self.tenants.resize_with(self.tenants.len().max(slot + 1), Default::default);
        let usage = &mut self.tenants[slot];
        usage.fleet_quota_rps = fleet_quota_rps;
        if is_other_tenant {
            // Not 0: the slot stays listed as recently used, and must not be listed twice.
            usage.first_attempts = usage.first_attempts.min(2.0 * NEGLIGIBLE_COUNT);
        }
    }

    /// Counts a first attempt against its tenant's quota.
    pub(crate) fn count_first_attempt(&mut self, slot: usize) {
        let Some(usage) = self.tenants.get_mut(slot) else { return };
        if usage.first_attempts <= NEGLIGIBLE_COUNT {
            self.recently_used.push(slot);
        }
        usage.first_attempts += 1.0;
    }

    /// Ends a period; see [`crate::demand::decay_factor`].
    pub(crate) fn decay(&mut self, factor: f64) {
        let tenants = &mut self.tenants;
        self.recently_used.retain(|&slot| {
            tenants[slot].first_attempts *= factor;
            tenants[slot].first_attempts > NEGLIGIBLE_COUNT
        });
    }

    /// Factor of a request's priority weight: 1 within the quota, and past it the mean over what is inside
    /// and what is over it.
    pub(crate) fn weight_factor(&self, tenant: Option<usize>, settings: &Settings) -> f64 {
        let Some(usage) = tenant.and_then(|slot| self.tenants.get(slot)) else { return 1.0 };
        let servers = f64::from(settings.servers.max(1));
        let quota_here = usage.fleet_quota_rps / servers * COUNT_TIME_CONSTANT_SECONDS;
        let is_unlimited = settings.tier > 0 || usage.fleet_quota_rps <= 0.0;
        if is_unlimited || usage.first_attempts <= quota_here {
            return 1.0;
        }
        let inside = quota_here / usage.first_attempts;
        inside + (1.0 - inside) * settings.over_quota_weight
    }
}
