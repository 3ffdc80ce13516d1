//! The counter cells of this server's requests, computed when first used, and the recently seen tenants and classes.
//! Both are limited in size, so that no table of all classes by all tenants is ever built.

use crate::classes::Classes;
use crate::slots::Handle;
use crate::tenants::Tenants;
use gradepin_admission::{Time, time_after};
use gradepin_cluster::counters::{CellId, MAX_CELLS, WINDOW};
use std::collections::{BTreeMap, HashMap};

/// Number of cache entries, which take about 160 KB. A key whose entry holds another key is hashed again.
const CACHED_CELLS: usize = 4_096;
/// Maximum number of tenants and of classes whose quotas are updated: a server publishes no more cells of its own.
const MAX_RECENT_SLOTS: usize = MAX_CELLS;

/// Identifies a cell: a tenant's requests of a class; without a tenant all requests of the class, without a class all
/// requests of the tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CellKey {
    tenant: Option<Handle>,
    class: Option<Handle>,
}

impl CellKey {
    /// Returns the index of the key's cache entry.
    fn cache_index(self) -> usize {
        let number = |handle: Option<Handle>| handle.map_or(0, |handle| handle.slot() + 1);
        let mixed =
            (number(self.tenant) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number(self.class) as u64;
        (mixed.wrapping_mul(0xff51_afd7_ed55_8ccd) >> 32) as usize % CACHED_CELLS
    }
}

/// Slots seen within the window of the counters, with the time at which each was last seen; at most
/// [`MAX_RECENT_SLOTS`].
#[derive(Debug, Default)]
struct RecentSlots(BTreeMap<usize, Time>);

impl RecentSlots {
    fn note(&mut self, now: Time, slot: usize) {
        if self.0.len() < MAX_RECENT_SLOTS || self.0.contains_key(&slot) {
            self.0.insert(slot, now);
        }
    }

    fn drop_old(&mut self, now: Time) {
        self.0.retain(|_, seen| time_after(*seen, WINDOW) > now);
    }

    fn slots(&self) -> impl Iterator<Item = usize> {
        self.0.keys().copied()
    }
}

/// The recently used cells.
#[derive(Debug, Default)]
pub(super) struct CounterCells {
    cache: Vec<Option<(CellKey, CellId)>>,
    recent_tenants: RecentSlots,
    recent_classes: RecentSlots,
}

impl CounterCells {
    /// Returns the cell that counts a tenant's requests of a class; without a tenant, all requests of the class.
    pub(super) fn cell(
        &mut self,
        classes: &Classes,
        tenants: &Tenants,
        tenant: Option<usize>,
        class: usize,
    ) -> CellId {
        let key = CellKey {
            tenant: tenant.map(|tenant| tenants.handle(tenant)),
            class: Some(classes.handle(class)),
        };
        self.cached(key, || {
            let name = tenant.and_then(|tenant| tenants.name(tenant)).unwrap_or_default();
            CellId::of(name, &classes.profile(class).name)
        })
    }

    /// Returns the cell that counts all requests of a tenant.
    pub(super) fn tenant_cell(&mut self, tenants: &Tenants, tenant: usize) -> Option<CellId> {
        let name = tenants.name(tenant)?;
        let key = CellKey { tenant: Some(tenants.handle(tenant)), class: None };
        Some(self.cached(key, || CellId::of(name, "")))
    }

    fn cached(&mut self, key: CellKey, compute: impl FnOnce() -> CellId) -> CellId {
        if self.cache.is_empty() {
            self.cache.resize(CACHED_CELLS, None);
        }
        let entry = &mut self.cache[key.cache_index()];
        match entry {
            Some((cached_key, cell)) if *cached_key == key => *cell,
            _ => {
                let cell = compute();
                *entry = Some((key, cell));
                cell
            }
        }
    }

    /// Marks a request's tenant and class as recently seen.
    pub(super) fn note_request(&mut self, now: Time, tenant: Option<usize>, class: usize) {
        self.recent_classes.note(now, class);
        if let Some(tenant) = tenant {
            self.recent_tenants.note(now, tenant);
        }
    }

    /// Returns the cells of the recently seen tenants, each with its tenant's slot: for all classes if there are few,
    /// else for the recently seen classes.
    pub(super) fn of_recent_tenants(
        &mut self,
        now: Time,
        classes: &Classes,
        tenants: &Tenants,
    ) -> HashMap<CellId, usize> {
        self.recent_tenants.drop_old(now);
        self.recent_classes.drop_old(now);
        let in_force = |slot: &usize| tenants.get(*slot).is_some();
        let tenant_slots: Vec<usize> = self.recent_tenants.slots().filter(in_force).collect();
        if tenant_slots.is_empty() {
            return HashMap::new();
        }
        let class_slots: Vec<usize> = if classes.in_force() <= MAX_RECENT_SLOTS {
            classes.iter().map(|(slot, _)| slot).collect()
        } else {
            self.recent_classes.slots().collect()
        };
        let mut cells = HashMap::with_capacity(tenant_slots.len() * class_slots.len());
        for &tenant in &tenant_slots {
            for &class in &class_slots {
                cells.insert(self.cell(classes, tenants, Some(tenant), class), tenant);
            }
        }
        cells
    }
}
