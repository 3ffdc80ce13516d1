//! The counter rows that servers gossip. The order of the fields is the wire format.

use crate::circuit_breaker::Observation;
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::sync::Arc;

/// Identifies a pair of tenant and class by a hash of both names. An index would be ambiguous, because the
/// order in the settings file may differ from server to server while settings change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u32);

impl CellId {
    /// The cell of a tenant, empty for requests without one, and a class. Never 0, which is the overflow
    /// cell.
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
    /// Core time requested, as estimated by class, in ms.
    pub requested_ms: u32,
    /// Core time of the requests served, in ms.
    pub served_ms: u32,
    /// Number of first attempts received.
    pub first_attempts: u32,
    /// Number of retries received.
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
    /// The tenant and class of the work.
    pub id: CellId,
    /// The work of the tenant and class within the window.
    pub work: WorkCount,
}

/// The report of one server, which only that server writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterRow {
    /// The name of the server that wrote the row.
    pub name: Arc<str>,
    /// The incarnation of the server that wrote the row.
    pub incarnation: Incarnation,
    /// Greater with each write by the same incarnation.
    pub version: u32,
    /// The server's zone.
    pub zone: Arc<str>,
    /// The amount of the shared upstream's slots that the server would lend, in thousandths of a slot.
    pub spare: u32,
    /// The server's own observation of the shared upstream.
    pub observation: Observation,
    /// The work counted at the server within the window.
    pub cells: Vec<CounterCell>,
}

impl CounterRow {
    /// Orders the rows of one server from earlier to later.
    pub(super) fn order(&self) -> (Incarnation, u32) {
        (self.incarnation, self.version)
    }
}

/// A row in a datagram, with its age at the time of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipedRow {
    /// The row, as its server wrote it.
    pub row: CounterRow,
    /// The age of the row when the datagram was sent, in ms.
    pub age_ms: u32,
}

/// A row in the table of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// The row, as its server wrote it.
    pub row: CounterRow,
    /// The latest time, by this server's clock, at which the row may have been written.
    pub at: Time,
}

impl StoredRow {
    /// Whether this row replaces another of the same server: by the later incarnation, then the later
    /// version, then the greater age.
    pub(super) fn is_newer_than(&self, other: &Self) -> bool {
        let order = self.row.incarnation.cmp(&other.row.incarnation);
        let order = order.then(self.row.version.cmp(&other.row.version));
        order.then(other.at.cmp(&self.at)) == Ordering::Greater
    }

    /// The age of the row, by this server's clock.
    pub fn age(&self, now: Time) -> Span {
        Span(now.0.saturating_sub(self.at.0))
    }
}
