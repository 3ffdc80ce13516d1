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
    /// Number of other servers that are considered up.
    pub up: usize,
    /// Number of other servers that are considered dead.
    pub down: usize,
    /// Number of servers with recent counters, including this one.
    pub reporting: usize,
    /// The age of the oldest of these counters, in seconds.
    pub oldest_report_s: f64,
    /// Slots of the own share that this server may use.
    pub retained_slots: f64,
    /// Slots lent to other servers.
    pub lent_slots: f64,
    /// Slots borrowed from other servers.
    pub borrowed_slots: f64,
    /// Slots in use by calls, including abandoned calls that the upstream may still process.
    pub taken_slots: u32,
    /// Number of runs that wait for a call to the shared upstream.
    pub waiting_runs: u32,
    /// Whether the circuit to the upstream is closed, so that all calls go through.
    pub circuit_closed: bool,
    /// Total bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Number of datagrams sent.
    pub sent: u64,
    /// Number of datagrams received and accepted.
    pub received: u64,
    /// Number of received datagrams that were dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Number of datagrams not sent because of the bound on bytes per second.
    pub suppressed: u64,
}

/// Another server as this one knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The name of the server.
    pub name: Arc<str>,
    /// The zone of the server.
    pub zone: Arc<str>,
    /// The last known incarnation of the server.
    pub incarnation: Incarnation,
    /// Whether the server is considered up.
    pub up: bool,
    /// Time since the server was last reported up or down, in ms.
    pub for_ms: u64,
}

/// The fleet as this server sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetView {
    /// The name of this server.
    pub name: Arc<str>,
    /// The current incarnation of this server.
    pub incarnation: Incarnation,
    /// The other servers, in the order of their names.
    pub members: Vec<MemberView>,
    /// The metrics of this server's cluster state.
    pub status: ClusterStatus,
}

impl Cluster {
    /// The fleet as this server sees it now.
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

    /// The current metrics.
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
