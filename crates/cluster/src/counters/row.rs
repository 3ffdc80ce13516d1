//! The rows that servers gossip. The order of their fields is the wire format.

use crate::circuit_breaker::Observation;
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::sync::Arc;

/// Names a tenant's part of a class: a hash of both names, since the order of a settings file may differ from server to
/// server while settings change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u32);

impl CellId {
    /// Of a tenant and a class by their names; of no tenant by an empty one. Never 0, which is the cell of the rest.
    pub fn of(tenant: &str, class: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(tenant.len() as u64).to_be_bytes());
        hasher.update(tenant.as_bytes());
        hasher.update(class.as_bytes());
        let hash = hasher.finalize();
        let id = hash.as_bytes().first_chunk().map_or(1, |bytes| u32::from_be_bytes(*bytes));
        Self(id.max(1))
    }
}

/// Work within a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkCount {
    /// Core time that was requested, as the class estimates say, in ms.
    pub requested_ms: u32,
    /// Core time of what was served, in ms.
    pub served_ms: u32,
    /// First attempts that came.
    pub first_attempts: u32,
    /// Retries that came.
    pub retries: u32,
}

impl WorkCount {
    /// Adds another count, saturating.
    pub(super) fn add(&mut self, other: &Self) {
        self.requested_ms = self.requested_ms.saturating_add(other.requested_ms);
        self.served_ms = self.served_ms.saturating_add(other.served_ms);
        self.first_attempts = self.first_attempts.saturating_add(other.first_attempts);
        self.retries = self.retries.saturating_add(other.retries);
    }

    /// Subtracts another count, down to 0.
    pub(super) fn subtract(&mut self, other: &Self) {
        self.requested_ms = self.requested_ms.saturating_sub(other.requested_ms);
        self.served_ms = self.served_ms.saturating_sub(other.served_ms);
        self.first_attempts = self.first_attempts.saturating_sub(other.first_attempts);
        self.retries = self.retries.saturating_sub(other.retries);
    }
}

/// The work of one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterCell {
    /// Which cell.
    pub id: CellId,
    /// Its work.
    pub work: WorkCount,
}

/// What one server reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRow {
    /// Whose it is.
    pub name: Arc<str>,
    /// Of which incarnation.
    pub incarnation: Incarnation,
    /// Greater with each change.
    pub version: u32,
    /// The server's zone.
    pub zone: Arc<str>,
    /// Thousandths of slots of the shared upstream that it would lend now.
    pub spare: u32,
    /// What it saw of the shared upstream.
    pub observation: Observation,
    /// What it counted.
    pub cells: Vec<CounterCell>,
}

impl CounterRow {
    /// Which of two rows of one server is the later one.
    pub(super) fn order(&self) -> (Incarnation, u32) {
        (self.incarnation, self.version)
    }
}

/// A row on its way, with its age where it left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipedRow {
    /// The row.
    pub row: CounterRow,
    /// Its age in ms.
    pub age_ms: u32,
}

/// A row as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// The row.
    pub row: CounterRow,
    /// When it was true, by the own clock, and no later than that.
    pub at: Time,
}

impl StoredRow {
    /// Whether this row replaces another of the same server: it has the later incarnation, then the later version, then the
    /// greater age.
    pub(super) fn is_newer_than(&self, other: &Self) -> bool {
        let order = self.row.incarnation.cmp(&other.row.incarnation);
        let order = order.then(self.row.version.cmp(&other.row.version));
        order.then(other.at.cmp(&self.at)) == Ordering::Greater
    }

    /// How old it is.
    pub fn age(&self, now: Time) -> Span {
        Span(now.0.saturating_sub(self.at.0))
    }
}
