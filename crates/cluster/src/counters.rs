//! Work requested and served, by tenant and class, summed over the fleet without counting anything twice.
//!
//! Each server writes only its own row, and a row is gossiped unchanged, with its version and its age. Of two
//! rows of a server the one with the later incarnation, then the later version, then the greater age is kept.
//! This merge is a join (a state-based CRDT), so it doesn't matter how often, in which order and from whom a
//! row is received. Old rows are ignored, so the counts of a dead server expire. A reading includes the
//! number of servers that it covers, the age of its rows and their zones.

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

/// The period that a row covers, up to the time at which it was written.
pub const WINDOW: Span = Span(10_000 * MS);
/// Maximum age of a row; older ones are ignored.
pub const MAX_AGE: Span = Span(10_000 * MS);
/// Maximum number of stored rows, including those of dead servers that haven't expired.
const MAX_ROWS: usize = 4_096;
/// Maximum number of cells of a row, each for a tenant and a class. Further ones are counted together in one
/// cell.
pub const MAX_CELLS: usize = 48;

/// A sum over the fleet, with the number, age and zones of the rows that it covers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Reading {
    /// The work counted by the reporting servers.
    pub sum: WorkCount,
    /// The number of reporting servers, including this one.
    pub servers: usize,
    /// The age of the oldest row in the sum.
    pub oldest: Span,
    /// The median age of the rows in the sum.
    pub median: Span,
    /// The number of reporting servers in each zone.
    pub zones: BTreeMap<Arc<str>, usize>,
}

impl Reading {
    /// The fraction of a fleet of `servers` servers that the sum covers, from 0 to 1.
    pub fn coverage(&self, servers: usize) -> f64 {
        (self.servers as f64 / servers.max(1) as f64).min(1.0)
    }
}

/// The sums of several keys over the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSums<K> {
    /// The number of reporting servers, including this one.
    pub servers: usize,
    /// The work counted by the reporting servers, by key.
    pub sums: BTreeMap<K, WorkCount>,
}

/// The stored rows of the fleet, and the counts of this server.
#[derive(Debug)]
pub struct Counters {
    rows: BTreeMap<Arc<str>, StoredRow>,
    local: LocalCounters,
    name: Arc<str>,
    version: u32,
}

impl Counters {
    /// Empty counters of the server of this name.
    pub fn new(name: Arc<str>) -> Self {
        Self { rows: BTreeMap::new(), local: LocalCounters::default(), name, version: 0 }
    }

    /// Counts work that was requested or served at this server.
    pub fn count(&mut self, now: Time, cell: CellId, work: WorkCount) {
        self.local.count(now, cell, work);
    }

    /// Writes a new version of this server's own row, with the spare slots in thousandths.
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

    /// Merges a received row of another server that took `delay` to arrive; returns whether it was newer than
    /// the stored row.
    pub fn merge(&mut self, now: Time, gossiped: GossipedRow, delay: Span) -> bool {
        let at = time_before(now, Span(u64::from(gossiped.age_ms) * MS + delay.0));
        self.join(now, StoredRow { row: gossiped.row, at })
    }

    /// Joins a received row with the stored one: the newer of the two is kept.
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
            self.drop_expired(now);
        }
        let has_capacity = self.rows.len() < MAX_ROWS;
        if has_capacity {
            self.rows.insert(Arc::clone(&received.row.name), received);
        }
        has_capacity
    }

    /// Drops the rows older than [`MAX_AGE`].
    pub fn drop_expired(&mut self, now: Time) {
        self.rows.retain(|_, stored| stored.age(now) <= MAX_AGE);
    }

    /// All stored rows, including this server's own.
    pub fn rows(&self) -> impl Iterator<Item = &StoredRow> {
        self.rows.values()
    }

    /// The stored row of the server of this name.
    pub fn row(&self, name: &str) -> Option<&StoredRow> {
        self.rows.get(name)
    }

    /// The number of stored rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no row is stored.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Sums the wanted cells over all rows that are recent enough.
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

    /// Sums the cells of each key at this server only; `key_of` maps a cell to its key.
    pub fn local_sums<K: Ord>(&self, key_of: impl Fn(CellId) -> Option<K>) -> BTreeMap<K, WorkCount> {
        self.local.sums(key_of)
    }

    /// Sums the wanted cells at this server only.
    pub fn local(&self, wanted: impl Fn(CellId) -> bool) -> WorkCount {
        self.local.sum(wanted)
    }
}

#[cfg(test)]
mod tests;
