//! Work requested and served, by tenant and class, counted over the fleet without counting anything twice.
//!
//! Each server writes only its own row; a row is gossiped unchanged, with its version and its age. Rows
//! are merged by the later incarnation, then the later version, then the greater age: that is a join (a state-based CRDT),
//! so it makes no difference how often, in which order and by whom a row comes. A row counts while it is young, so nothing
//! of a dead server counts for long, and a reader learns how many servers a figure covers, how old each part is and which
//! zones it includes.

mod local;
mod row;

pub use row::{CellId, CounterCell, CounterRow, GossipedRow, StoredRow, WorkCount};

use crate::MS;
use crate::circuit_breaker::Observation;
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time, time_before};
use local::LocalCounters;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a row counts: the last so many seconds of its server.
pub const WINDOW: Span = Span(10_000 * MS);
/// A row older than this says nothing of now.
pub const MAX_AGE: Span = Span(10_000 * MS);
/// Rows stored, those of the dead too until they are too old.
const MAX_ROWS: usize = 4_096;
/// Cells of one row: tenants by classes. What more there is, is counted in one cell.
pub const MAX_CELLS: usize = 48;

/// A figure of the fleet with what it rests on: never a bare number.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Reading {
    /// What the reporting servers counted together.
    pub sum: WorkCount,
    /// How many servers that is, this one among them.
    pub servers: usize,
    /// The age of the oldest part that counts.
    pub oldest: Span,
    /// The age of the median part.
    pub median: Span,
    /// How many servers report in each zone.
    pub zones: BTreeMap<Arc<str>, usize>,
}

impl Reading {
    /// The share of a fleet of so many servers that the figure speaks for, from 0 to 1.
    pub fn coverage(&self, servers: usize) -> f64 {
        (self.servers as f64 / servers.max(1) as f64).min(1.0)
    }
}

/// What several keys come to over the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSums<K> {
    /// How many servers report, this one among them.
    pub servers: usize,
    /// What they counted together, by key.
    pub sums: BTreeMap<K, WorkCount>,
}

/// The rows of the fleet as this server has them, and its own counts.
#[derive(Debug)]
pub struct Counters {
    rows: BTreeMap<Arc<str>, StoredRow>,
    local: LocalCounters,
    name: Arc<str>,
    version: u32,
}

impl Counters {
    /// Nothing counted yet by a server of this name.
    pub fn new(name: Arc<str>) -> Self {
        Self { rows: BTreeMap::new(), local: LocalCounters::default(), name, version: 0 }
    }

    /// Something was requested or served here.
    pub fn count(&mut self, now: Time, cell: CellId, work: WorkCount) {
        self.local.count(now, cell, work);
    }

    /// Writes the own row anew.
    pub fn write(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        zone: &Arc<str>,
        spare: u32,
        observation: Observation,
    ) {
        self.version += 1;
        let row = CounterRow {
            name: Arc::clone(&self.name),
            incarnation,
            version: self.version,
            zone: Arc::clone(zone),
            spare,
            observation,
            cells: self.local.cells(now),
        };
        self.rows.insert(Arc::clone(&self.name), StoredRow { row, at: now });
    }

    /// Takes in a row of another server that was under way for `delay`; whether it was news.
    pub fn merge(&mut self, now: Time, gossiped: GossipedRow, delay: Span) -> bool {
        let at = time_before(now, Span(u64::from(gossiped.age_ms) * MS + delay.0));
        self.join(now, StoredRow { row: gossiped.row, at })
    }

    /// Joins a received row with the stored one: the greater of the two stays.
    fn join(&mut self, now: Time, received: StoredRow) -> bool {
        let too_old = received.age(now) > MAX_AGE;
        if received.row.name == self.name || too_old || received.row.cells.len() > MAX_CELLS {
            return false;
        }
        if let Some(stored) = self.rows.get_mut(&received.row.name) {
            let is_news = received.row.order() > stored.row.order();
            if received.is_newer_than(stored) {
                *stored = received;
            }
            return is_news;
        }
        if self.rows.len() >= MAX_ROWS {
            self.forget(now);
        }
        let has_capacity = self.rows.len() < MAX_ROWS;
        if has_capacity {
            self.rows.insert(Arc::clone(&received.row.name), received);
        }
        has_capacity
    }

    /// Forgets what is too old to count.
    pub fn forget(&mut self, now: Time) {
        self.rows.retain(|_, stored| stored.age(now) <= MAX_AGE);
    }

    /// All rows, the own one among them.
    pub fn rows(&self) -> impl Iterator<Item = &StoredRow> {
        self.rows.values()
    }

    /// The row of a server.
    pub fn row(&self, name: &str) -> Option<&StoredRow> {
        self.rows.get(name)
    }

    /// How many rows are stored.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// What these cells come to over the fleet.
    pub fn read(&self, now: Time, wanted: impl Fn(CellId) -> bool) -> Reading {
        let mut reading = Reading::default();
        let mut ages = Vec::new();
        for stored in self.rows.values().filter(|stored| stored.age(now) <= MAX_AGE) {
            reading.servers += 1;
            *reading.zones.entry(Arc::clone(&stored.row.zone)).or_default() += 1;
            ages.push(stored.age(now));
            for cell in stored.row.cells.iter().filter(|cell| wanted(cell.id)) {
                reading.sum.add(&cell.work);
            }
        }
        ages.sort();
        reading.oldest = ages.last().copied().unwrap_or_default();
        reading.median = ages.get(ages.len() / 2).copied().unwrap_or_default();
        reading
    }

    /// Sums the cells of each key over the fleet; `key_of` maps a cell to its key.
    pub fn sums<K: Ord>(&self, now: Time, key_of: impl Fn(CellId) -> Option<K>) -> FleetSums<K> {
        let mut fleet = FleetSums { servers: 0, sums: BTreeMap::new() };
        for stored in self.rows.values().filter(|stored| stored.age(now) <= MAX_AGE) {
            fleet.servers += 1;
            for cell in &stored.row.cells {
                if let Some(key) = key_of(cell.id) {
                    fleet.sums.entry(key).or_default().add(&cell.work);
                }
            }
        }
        fleet
    }

    /// What was counted here alone, by key.
    pub fn local_sums<K: Ord>(&self, key_of: impl Fn(CellId) -> Option<K>) -> BTreeMap<K, WorkCount> {
        self.local.sums(key_of)
    }

    /// What was counted here alone.
    pub fn local(&self, wanted: impl Fn(CellId) -> bool) -> WorkCount {
        self.local.sum(wanted)
    }
}

#[cfg(test)]
mod tests;
