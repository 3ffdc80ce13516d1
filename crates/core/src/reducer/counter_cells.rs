//! The cells of the fleet's counts that requests here fall into, made when they are first asked for, and what the fleet
//! counted of the tenants seen here. Both are bounded: no table of classes by tenants is ever made.

use crate::classes::Classes;
use crate::slots::Handle;
use crate::tenants::Tenants;
use gradepin_admission::{Time, time_after};
use gradepin_cluster::counters::{CellId, MAX_CELLS, WINDOW};
use std::collections::{BTreeMap, HashMap};

/// Cells kept at their pairs, some 160 KB; another pair of the same place is hashed anew.
const KEPT: usize = 4_096;
/// Tenants and classes whose quotas are looked at: a server tells no more cells of its own, so it counts no more apart.
const SEEN: usize = MAX_CELLS;

/// A tenant and a class; none stands for no tenant, or for all classes of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CellKey {
    tenant: Option<Handle>,
    class: Option<Handle>,
}

impl CellKey {
    fn place(self) -> usize {
        let number = |handle: Option<Handle>| handle.map_or(0, |handle| handle.slot() + 1);
        let mixed =
            (number(self.tenant) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number(self.class) as u64;
        (mixed.wrapping_mul(0xff51_afd7_ed55_8ccd) >> 32) as usize % KEPT
    }
}

/// The slots seen within the window of the counts, so many at the most.
#[derive(Debug, Default)]
struct RecentSlots(BTreeMap<usize, Time>);

impl RecentSlots {
    fn note(&mut self, now: Time, slot: usize) {
        if self.0.len() < SEEN || self.0.contains_key(&slot) {
            self.0.insert(slot, now);
        }
    }

    fn forget(&mut self, now: Time) {
        self.0.retain(|_, seen| time_after(*seen, WINDOW) > now);
    }

    fn slots(&self) -> impl Iterator<Item = usize> {
        self.0.keys().copied()
    }
}

/// The cells asked for lately, and whose they are.
#[derive(Debug, Default)]
pub(super) struct CounterCells {
    kept: Vec<Option<(CellKey, CellId)>>,
    tenants: RecentSlots,
    classes: RecentSlots,
}

impl CounterCells {
    /// The cell of a tenant's part of a class, or of all of a class.
    pub(super) fn cell(
        &mut self,
        classes: &Classes,
        tenants: &Tenants,
        tenant: Option<usize>,
        class: usize,
    ) -> CellId {
        let pair = CellKey {
            tenant: tenant.map(|tenant| tenants.handle(tenant)),
            class: Some(classes.handle(class)),
        };
        self.of(pair, || {
            let name = tenant.and_then(|tenant| tenants.name(tenant)).unwrap_or_default();
            CellId::of(name, &classes.profile(class).name)
        })
    }

    /// The cell of a whole tenant.
    pub(super) fn whole(&mut self, tenants: &Tenants, tenant: usize) -> Option<CellId> {
        let name = tenants.name(tenant)?;
        let pair = CellKey { tenant: Some(tenants.handle(tenant)), class: None };
        Some(self.of(pair, || CellId::of(name, "")))
    }

    fn of(&mut self, pair: CellKey, make: impl FnOnce() -> CellId) -> CellId {
        if self.kept.is_empty() {
            self.kept.resize(KEPT, None);
        }
        let kept = &mut self.kept[pair.place()];
        match kept {
            Some((of, cell)) if *of == pair => *cell,
            _ => {
                let cell = make();
                *kept = Some((pair, cell));
                cell
            }
        }
    }

    /// A request of this tenant and class came.
    pub(super) fn seen(&mut self, now: Time, tenant: Option<usize>, class: usize) {
        self.classes.note(now, class);
        if let Some(tenant) = tenant {
            self.tenants.note(now, tenant);
        }
    }

    /// The cells of the tenants seen lately, each with its tenant's slot: those of all classes where there are few, else
    /// of the classes seen here lately.
    pub(super) fn of_seen(
        &mut self,
        now: Time,
        classes: &Classes,
        tenants: &Tenants,
    ) -> HashMap<CellId, usize> {
        self.tenants.forget(now);
        self.classes.forget(now);
        let rows: Vec<usize> = self.tenants.slots().filter(|slot| tenants.get(*slot).is_some()).collect();
        if rows.is_empty() {
            return HashMap::new();
        }
        let columns: Vec<usize> = if classes.in_force() <= SEEN {
            classes.iter().map(|(slot, _)| slot).collect()
        } else {
            self.classes.slots().collect()
        };
        let mut cells = HashMap::with_capacity(rows.len() * columns.len());
        for &tenant in &rows {
            for &class in &columns {
                cells.insert(self.cell(classes, tenants, Some(tenant), class), tenant);
            }
        }
        cells
    }
}
