//! The tenants in force. Each keeps its slot while anything refers to it.
//!
//! A removed tenant no longer has a quota. Its name stays known while there are free slots: requests that name it are
//! accepted without a quota, since client proxies learn of new settings late. If a new name needs a slot and none is
//! free, the tenant that was removed longest ago and has no open request is evicted.
//!
//! Invariants: a name has one slot; a slot that is referred to keeps its name; the cost of a change does not depend on
//! the number of tenants.

use crate::classes::PutResult;
use crate::slots::{Handle, Slots};
use gradepin_admission::Tenant;
use gradepin_config::change::MAX_TENANTS;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of tenant slots. Those beyond [`MAX_TENANTS`] are for removed tenants that have open requests.
pub const MAX_TENANT_SLOTS: usize = 2 * MAX_TENANTS;
/// Maximum number of removed tenants that are checked to find one to evict.
const MAX_EVICTION_CHECKS: usize = 64;

/// The result of putting a tenant.
#[derive(Debug)]
pub struct PlacedTenant {
    /// Slot of the tenant.
    pub slot: usize,
    /// Whether the tenant is new, changed, restored or unchanged.
    pub put: PutResult,
    /// The removed tenant that was evicted from the slot.
    pub evicted: Option<Arc<Tenant>>,
}

/// The tenants in force, and removed ones whose slots were not reused.
#[derive(Debug, Default)]
pub struct Tenants {
    /// The state of each is the number of its removal; `None` while it is in force.
    slots: Slots<Tenant, Option<u64>>,
    in_force: usize,
    /// Slots of removed tenants by removal number, longest ago first.
    removed: BTreeMap<u64, usize>,
    removals: u64,
}

impl Tenants {
    /// Creates the initial tenants, in slots in the order given.
    pub fn new(tenants: impl IntoIterator<Item = Arc<Tenant>>) -> Self {
        let mut placed = Self::default();
        for tenant in tenants {
            placed.put(tenant);
        }
        placed
    }

    /// Number of tenants in force.
    pub fn in_force(&self) -> usize {
        self.in_force
    }

    /// Number of further names that would get a slot now, provided that enough removed tenants have no open requests.
    pub fn free_slots(&self) -> usize {
        MAX_TENANT_SLOTS - (self.slots.len() - self.slots.free())
    }

    /// Whether a tenant of this name is in force.
    pub fn is_in_force(&self, name: &str) -> bool {
        self.slots.find(name).and_then(|slot| self.get(slot)).is_some()
    }

    /// Returns the slot of a name, in force or not.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.slots.find(name)
    }

    /// Whether a name has a slot, in force or not.
    pub fn has_slot(&self, name: &str) -> bool {
        self.slots.find(name).is_some()
    }

    /// Returns the slot that a handle refers to, unless the slot was given to another name since.
    pub fn resolve(&self, handle: Handle) -> Option<usize> {
        self.slots.resolve(handle)
    }

    /// Returns the handle of the tenant in a slot.
    pub fn handle(&self, slot: usize) -> Handle {
        self.slots.handle(slot)
    }

    /// Returns the tenant in a slot if it is in force.
    pub fn get(&self, slot: usize) -> Option<&Arc<Tenant>> {
        self.slots.get(slot).filter(|(_, removed)| removed.is_none()).map(|(tenant, _)| tenant)
    }

    /// Returns the name of the tenant in a slot, in force or not.
    pub fn name(&self, slot: usize) -> Option<&str> {
        self.slots.get(slot).map(|(tenant, _)| tenant.name.as_str())
    }

    /// Iterates over the tenants in force and their slots.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Arc<Tenant>)> {
        let in_force = self.slots.iter().filter(|filled| filled.state.is_none());
        in_force.map(|filled| (filled.slot, filled.definition))
    }

    /// Adds a tenant, or replaces the definition of this name.
    pub fn put(&mut self, tenant: Arc<Tenant>) -> PlacedTenant {
        let Some(slot) = self.slots.find(&tenant.name) else {
            let evicted = self.evict_if_full();
            self.in_force += 1;
            return PlacedTenant { slot: self.slots.insert(tenant, None), put: PutResult::Added, evicted };
        };
        if self.get(slot).is_some_and(|known| *known == tenant) {
            return PlacedTenant { slot, put: PutResult::Unchanged, evicted: None };
        }
        self.slots.replace(slot, tenant);
        let removal = self.slots.state_mut(slot).and_then(Option::take);
        let is_restored = removal.is_some_and(|number| self.removed.remove(&number).is_some());
        self.in_force += usize::from(is_restored);
        PlacedTenant {
            slot,
            put: if is_restored { PutResult::Restored } else { PutResult::Changed },
            evicted: None,
        }
    }

    /// Removes the tenant of this name. Returns its slot if it was in force.
    pub fn remove(&mut self, name: &str) -> Option<usize> {
        let slot = self.slots.find(name)?;
        self.get(slot)?;
        self.note_removal(slot);
        self.in_force -= 1;
        Some(slot)
    }

    /// Records the removal of the tenant in a slot, which becomes the last in the order of eviction.
    fn note_removal(&mut self, slot: usize) {
        self.removals += 1;
        if let Some(removed) = self.slots.state_mut(slot) {
            *removed = Some(self.removals);
            self.removed.insert(self.removals, slot);
        }
    }

    /// If there is no free slot, evicts the tenant that was removed longest ago and to which nothing refers.
    fn evict_if_full(&mut self) -> Option<Arc<Tenant>> {
        if self.slots.free() > 0 || self.slots.len() < MAX_TENANTS {
            return None;
        }
        for _ in 0..MAX_EVICTION_CHECKS {
            let (_, slot) = self.removed.pop_first()?;
            if self.slots.is_referenced(slot) {
                self.note_removal(slot);
                continue;
            }
            return self.slots.remove(slot).map(|(tenant, _)| tenant);
        }
        None
    }

    /// Adds a reference to a slot, for a request that is opened.
    pub fn acquire(&mut self, slot: usize) {
        self.slots.acquire(slot);
    }

    /// Removes a reference from a slot, for a request that is no longer open.
    pub fn release(&mut self, slot: usize) {
        self.slots.release(slot);
    }
}

#[cfg(test)]
mod tests;
