//! The tenants in force. Each has a slot that it keeps while anything refers to it.
//!
//! A tenant that is removed has no quota from then on. Its name stays known while there are free slots: requests that name it
//! are accepted without a quota, since client proxies learn of new settings late. Where a new name needs a slot and none is
//! free, the tenant that was removed longest ago and has no open request gives up its slot.
//!
//! Invariants: a name has one slot; a slot that is referred to keeps its name; a change costs the same however many tenants
//! there are.

use crate::classes::Put;
use crate::slots::{Handle, Slots};
use gradepin_admission::Tenant;
use gradepin_config::change::MAX_TENANTS;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Slots beside those of all tenants in force are for as many that are removed and have open requests.
pub const MAX_TENANT_SLOTS: usize = 2 * MAX_TENANTS;
/// Removed tenants that are checked for one that gives up its slot.
const MAX_EVICTION_CHECKS: usize = 64;

/// The result of putting a tenant.
#[derive(Debug)]
pub struct Placed {
    /// Its slot.
    pub slot: usize,
    /// Whether it is new, changed or back.
    pub put: Put,
    /// The removed tenant whose slot it took.
    pub evicted: Option<Arc<Tenant>>,
}

/// The tenants in force, and removed ones whose slots are not used again.
#[derive(Debug, Default)]
pub struct Tenants {
    /// Each with the number of its removal, if it is removed.
    slots: Slots<Tenant, Option<u64>>,
    in_force: usize,
    /// Slots of removed tenants by the numbers of their removals, the longest ago first.
    removed: BTreeMap<u64, usize>,
    removals: u64,
}

impl Tenants {
    /// The tenants that the process starts with, in slots by their order.
    pub fn new(tenants: impl IntoIterator<Item = Arc<Tenant>>) -> Self {
        let mut placed = Self::default();
        for tenant in tenants {
            placed.put(tenant);
        }
        placed
    }

    /// How many are in force.
    pub fn in_force(&self) -> usize {
        self.in_force
    }

    /// How many more names would get a slot now, as far as open requests allow.
    pub fn free_slots(&self) -> usize {
        MAX_TENANT_SLOTS - (self.slots.len() - self.slots.free())
    }

    /// Whether a tenant of this name is in force.
    pub fn is_in_force(&self, name: &str) -> bool {
        self.slots.find(name).and_then(|slot| self.get(slot)).is_some()
    }

    /// The slot of a name, in force or not.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.slots.find(name)
    }

    /// Whether a name has a slot, in force or not.
    pub fn has_slot(&self, name: &str) -> bool {
        self.slots.find(name).is_some()
    }

    /// The slot that a handle refers to, unless it was given to another name since.
    pub fn resolve(&self, handle: Handle) -> Option<usize> {
        self.slots.resolve(handle)
    }

    /// The handle of the tenant in a slot.
    pub fn handle(&self, slot: usize) -> Handle {
        self.slots.handle(slot)
    }

    /// The tenant in force in a slot.
    pub fn get(&self, slot: usize) -> Option<&Arc<Tenant>> {
        self.slots.get(slot).filter(|(_, removed)| removed.is_none()).map(|(tenant, _)| tenant)
    }

    /// The name of a slot, in force or not.
    pub fn name(&self, slot: usize) -> Option<&str> {
        self.slots.get(slot).map(|(tenant, _)| tenant.name.as_str())
    }

    /// The tenants in force.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Arc<Tenant>)> {
        let in_force = self.slots.iter().filter(|filled| filled.state.is_none());
        in_force.map(|filled| (filled.slot, filled.definition))
    }

    /// Adds a tenant, or replaces the one of this name.
    pub fn put(&mut self, tenant: Arc<Tenant>) -> Placed {
        let Some(slot) = self.slots.find(&tenant.name) else {
            let evicted = self.evict_if_full();
            self.in_force += 1;
            return Placed { slot: self.slots.insert(tenant, None), put: Put::Added, evicted };
        };
        if self.get(slot).is_some_and(|known| *known == tenant) {
            return Placed { slot, put: Put::Same, evicted: None };
        }
        self.slots.replace(slot, tenant);
        let removal = self.slots.state_mut(slot).and_then(Option::take);
        let is_back = removal.is_some_and(|number| self.removed.remove(&number).is_some());
        self.in_force += usize::from(is_back);
        Placed { slot, put: if is_back { Put::Back } else { Put::Changed }, evicted: None }
    }

    /// Removes the tenant of a name. Returns its slot, if it was in force.
    pub fn remove(&mut self, name: &str) -> Option<usize> {
        let slot = self.slots.find(name)?;
        self.get(slot)?;
        self.note_removal(slot);
        self.in_force -= 1;
        Some(slot)
    }

    /// The tenant in a slot is the last of the removed ones to give up its slot.
    fn note_removal(&mut self, slot: usize) {
        self.removals += 1;
        if let Some(removed) = self.slots.state_mut(slot) {
            *removed = Some(self.removals);
            self.removed.insert(self.removals, slot);
        }
    }

    /// Where a new name would find no free slot, frees that of the tenant which was removed longest ago and to which nothing
    /// refers.
    fn evict_if_full(&mut self) -> Option<Arc<Tenant>> {
        if self.slots.free() > 0 || self.slots.len() < MAX_TENANTS {
            return None;
        }
        for _ in 0..MAX_EVICTION_CHECKS {
            let (_, slot) = self.removed.pop_first()?;
            if self.slots.is_referred_to(slot) {
                self.note_removal(slot);
                continue;
            }
            return self.slots.remove(slot).map(|(tenant, _)| tenant);
        }
        None
    }

    /// A request of the tenant in a slot is open from now on.
    pub fn acquire(&mut self, slot: usize) {
        self.slots.acquire(slot);
    }

    /// A request of the tenant in a slot is no longer open.
    pub fn release(&mut self, slot: usize) {
        self.slots.release(slot);
    }
}

#[cfg(test)]
mod tests;
