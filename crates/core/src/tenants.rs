//! The tenants in force, each in a slot that it keeps while anything refers to it.
//!
//! A tenant that is removed is of no share from then on. Its name stays known while there is room: requests that name it
//! are taken as of no tenant's share, since client proxies hear of new settings late. Where a new name needs a slot and
//! none is free, the one removed longest ago that no open request is of gives its slot up.
//!
//! Invariants: a name has one slot; a slot that is referred to keeps its name; a change costs the same however many
//! tenants there are.

use crate::classes::Put;
use crate::slots::{Handle, Slots};
use gradepin_admission::Tenant;
use gradepin_config::change::MAX_TENANTS;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Slots at the most: besides all tenants in force, as many that are removed and that open requests are of.
pub const MAX_TENANT_SLOTS: usize = 2 * MAX_TENANTS;
/// Removed tenants looked at for one that gives its slot up.
const LOOKS: usize = 64;

/// A tenant as it was put.
#[derive(Debug)]
pub struct Placed {
    /// Its slot.
    pub slot: usize,
    /// What became of it.
    pub put: Put,
    /// Whose slot it took.
    pub gone: Option<Arc<Tenant>>,
}

/// The tenants in force, and those removed whose slots are not used again.
#[derive(Debug, Default)]
pub struct Tenants {
    /// With the number of its removal, where it is removed.
    slots: Slots<Tenant, Option<u64>>,
    in_force: usize,
    /// Slots of removed ones by the numbers of their removals, the longest ago first.
    removed: BTreeMap<u64, usize>,
    removals: u64,
}

impl Tenants {
    /// The tenants that the process starts with, in slots by their order.
    pub fn new(tenants: impl IntoIterator<Item = Arc<Tenant>>) -> Self {
        let mut all = Self::default();
        for tenant in tenants {
            all.put(tenant);
        }
        all
    }

    /// How many are in force.
    pub fn in_force(&self) -> usize {
        self.in_force
    }

    /// How many names more would find a slot now, whatever open requests are of.
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

    /// The slot that a handle means, unless it was given to another name since.
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
        self.slots.iter().filter(|(.., removed)| removed.is_none()).map(|(slot, tenant, _)| (slot, tenant))
    }

    /// Adds a tenant, or replaces the one of this name.
    pub fn put(&mut self, tenant: Arc<Tenant>) -> Placed {
        let Some(slot) = self.slots.find(&tenant.name) else {
            let gone = self.make_room();
            self.in_force += 1;
            return Placed { slot: self.slots.insert(tenant, None), put: Put::Added, gone };
        };
        if self.get(slot).is_some_and(|known| *known == tenant) {
            return Placed { slot, put: Put::Same, gone: None };
        }
        self.slots.replace(slot, tenant);
        let removal = self.slots.state_mut(slot).and_then(Option::take);
        let back = removal.is_some_and(|number| self.removed.remove(&number).is_some());
        self.in_force += usize::from(back);
        Placed { slot, put: if back { Put::Back } else { Put::Changed }, gone: None }
    }

    /// Removes the tenant of a name; its slot, if it was in force.
    pub fn remove(&mut self, name: &str) -> Option<usize> {
        let slot = self.slots.find(name)?;
        self.get(slot)?;
        self.note_removal(slot);
        self.in_force -= 1;
        Some(slot)
    }

    /// A slot is the last of the removed ones to give itself up.
    fn note_removal(&mut self, slot: usize) {
        self.removals += 1;
        if let Some(removed) = self.slots.state_mut(slot) {
            *removed = Some(self.removals);
            self.removed.insert(self.removals, slot);
        }
    }

    /// Frees the slot of the tenant removed longest ago that nothing refers to, where a new name would find none.
    fn make_room(&mut self) -> Option<Arc<Tenant>> {
        if self.slots.free() > 0 || self.slots.len() < MAX_TENANTS {
            return None;
        }
        for _ in 0..LOOKS {
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

    /// It is no longer.
    pub fn release(&mut self, slot: usize) {
        self.slots.release(slot);
    }
}

#[cfg(test)]
mod tests;
