//! Quotas of tenants, by slot, and their recent use.
//!
//! A quota applies to the whole fleet; each server enforces an equal part of it. Requests over the quota earn
//! a lower weight. As nothing marks which requests those are, all requests of the tenant get the mean weight.

use crate::demand::{COUNT_TIME_CONSTANT_SECONDS, NEGLIGIBLE_COUNT};
use crate::settings::Settings;

/// Quota and recent use of the tenant in a slot.
#[derive(Debug, Clone, Copy, Default)]
struct TenantUsage {
    /// Quota in requests per second, over all servers together; 0 for no quota.
    fleet_quota_rps: f64,
    /// Decaying count of first attempts.
    first_attempts: f64,
}

/// The tenants, by slot. Grows with the slots that the host assigns.
#[derive(Debug, Default)]
pub(crate) struct TenantQuotas {
    tenants: Vec<TenantUsage>,
    /// Slots whose count is not negligible; only these counts decay.
    recently_used: Vec<usize>,
}

impl TenantQuotas {
    /// Sets the quota of a slot. The count is reset if the slot had another tenant before.
    pub(crate) fn put(&mut self, slot: usize, fleet_quota_rps: f64, is_other_tenant: bool) {
        self.tenants.resize_with(self.tenants.len().max(slot + 1), Default::default);
        let usage = &mut self.tenants[slot];
        usage.fleet_quota_rps = fleet_quota_rps;
        if is_other_tenant {
            // Not 0, because the slot remains in `recently_used` and must not be listed twice.
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

    /// Multiplies all counts by the [`decay_factor`](crate::demand::decay_factor) of a period.
    pub(crate) fn decay(&mut self, factor: f64) {
        let tenants = &mut self.tenants;
        self.recently_used.retain(|&slot| {
            tenants[slot].first_attempts *= factor;
            tenants[slot].first_attempts > NEGLIGIBLE_COUNT
        });
    }

    /// Factor of a request's priority weight: 1 within the quota, else the mean over the requests within the
    /// quota and over it.
    pub(crate) fn weight_factor(&self, tenant: Option<usize>, settings: &Settings) -> f64 {
        let Some(usage) = tenant.and_then(|slot| self.tenants.get(slot)) else { return 1.0 };
        let servers = f64::from(settings.servers.max(1));
        let quota_here = usage.fleet_quota_rps / servers * COUNT_TIME_CONSTANT_SECONDS;
        let is_unlimited = settings.tier > 0 || usage.fleet_quota_rps <= 0.0;
        if is_unlimited || usage.first_attempts <= quota_here {
            return 1.0;
        }
        let within_quota = quota_here / usage.first_attempts;
        within_quota + (1.0 - within_quota) * settings.over_quota_weight
    }
}
