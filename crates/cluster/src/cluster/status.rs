//! The operators' view of the fleet from one server, and its metrics.

use super::Cluster;
use crate::MS;
use crate::authentication::DropReason;
use crate::leases::SLOT;
use crate::peer::Incarnation;
use gradepin_admission::{Time, span_seconds};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Metrics of the cluster.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ClusterStatus {
    /// Other servers that are believed to be up.
    pub up: usize,
    /// Other servers that are believed dead.
    pub down: usize,
    /// Servers whose counts are young enough, this one among them.
    pub reporting: usize,
    /// The age of the oldest of these counts in seconds.
    pub oldest_report_s: f64,
    /// Slots of the own share that may be used here.
    pub retained_slots: f64,
    /// Slots lent to others.
    pub lent_slots: f64,
    /// Slots borrowed from others.
    pub borrowed_slots: f64,
    /// Slots taken by calls.
    pub taken_slots: u32,
    /// Runs that wait for a slot.
    pub waiting_runs: u32,
    /// Whether all calls to the upstream go through.
    pub circuit_closed: bool,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams received and taken.
    pub received: u64,
    /// Datagrams dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Datagrams not sent for the bound on bytes.
    pub suppressed: u64,
}

/// Another server as this one knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Its name.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is believed to be up.
    pub up: bool,
    /// For how long that is so, in ms.
    pub for_ms: u64,
}

/// The fleet as this server sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetView {
    /// This server.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The others, by name.
    pub members: Vec<MemberView>,
    /// The figures.
    pub status: ClusterStatus,
}

impl Cluster {
    /// The fleet as it is seen from here.
    pub fn view(&self, now: Time) -> FleetView {
        let own = self.members.own();
        let member = |known: &crate::members::KnownMember| MemberView {
            name: Arc::clone(&known.peer.name),
            zone: Arc::clone(&known.peer.zone),
            incarnation: known.peer.incarnation,
            up: known.up,
            for_ms: now.0.saturating_sub(known.since.0) / MS,
        };
        FleetView {
            name: Arc::clone(&own.name),
            incarnation: own.incarnation,
            members: self.members.known().map(member).collect(),
            status: self.status(now),
        }
    }

    /// The figures.
    pub fn status(&self, now: Time) -> ClusterStatus {
        let reading = self.counters.read(now, |_| true);
        let slots = |thousandths: u32| f64::from(thousandths) / f64::from(SLOT);
        ClusterStatus {
            up: self.members.up_count(),
            down: self.members.known().filter(|known| !known.up).count(),
            reporting: reading.servers,
            oldest_report_s: span_seconds(reading.oldest),
            retained_slots: slots(self.leases.retained(now)),
            lent_slots: slots(self.leases.lent(now)),
            borrowed_slots: slots(self.leases.borrowed(now)),
            taken_slots: self.leases.taken(now),
            waiting_runs: self.leases.waiting_runs(),
            circuit_closed: self.circuit_breaker.is_closed(),
            ..self.status.clone()
        }
    }
}
