//! The servers that report to this voter: the last report of each, and how long it has been ready without interruption.

use crate::ids::{Incarnation, Name};
use crate::messages::ServerReport;
use crate::replicated_state::{MAX_SERVERS, ReplicatedState};
use gradepin_admission::{Span, Time, time_after};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A server that reported, with its last report.
#[derive(Debug, Clone)]
pub(super) struct ReportingServer {
    received_at: Time,
    /// Incarnation that sent the report.
    pub incarnation: Incarnation,
    /// The last report, which may be stale.
    pub report: ServerReport,
    /// Start of the uninterrupted time in which the server has been ready; none if it isn't ready.
    ready_since: Option<Time>,
}

/// The servers that reported to this voter, at most [`MAX_SERVERS`].
#[derive(Debug)]
pub(super) struct ServerTable {
    servers: BTreeMap<Name, ReportingServer>,
    fresh_for: Span,
}

impl ServerTable {
    /// Creates an empty table; reports older than `fresh_for` count as stale.
    pub(super) fn new(fresh_for: Span) -> Self {
        Self { servers: BTreeMap::new(), fresh_for }
    }

    /// Whether a report of this incarnation is accepted: the table has capacity and no later incarnation is known.
    pub(super) fn accepts(&self, name: &Name, incarnation: Incarnation) -> bool {
        match self.servers.get(name) {
            Some(known) => known.incarnation <= incarnation,
            None => self.servers.len() < MAX_SERVERS,
        }
    }

    /// Records a report. Readiness is uninterrupted only within one incarnation and while reports stay fresh.
    pub(super) fn record_report(
        &mut self,
        now: Time,
        name: &Name,
        incarnation: Incarnation,
        report: ServerReport,
    ) {
        let last = self.servers.get(name);
        let unbroken = last.filter(|last| last.incarnation == incarnation && self.is_fresh(now, last));
        let ready_since = unbroken.and_then(|last| last.ready_since).unwrap_or(now);
        let ready_since = report.ready.then_some(ready_since);
        let server = ReportingServer { received_at: now, incarnation, report, ready_since };
        self.servers.insert(Arc::clone(name), server);
    }

    /// Forgets a server that an operator removes from the roster.
    pub(super) fn remove(&mut self, name: &Name) {
        self.servers.remove(name);
    }

    /// Restarts the stabilization time of all ready servers.
    pub(super) fn restart_stabilization(&mut self, now: Time) {
        for server in self.servers.values_mut() {
            server.ready_since = server.ready_since.map(|_| now);
        }
    }

    /// Returns the last report of a server and the report's age.
    pub(super) fn report(&self, now: Time, name: &str) -> Option<(&ServerReport, Span)> {
        let server = self.servers.get(name)?;
        Some((&server.report, Span(now.0.saturating_sub(server.received_at.0))))
    }

    /// Returns the last report of each server, regardless of age.
    pub(super) fn reports(&self) -> impl Iterator<Item = (&Name, &ServerReport)> {
        self.servers.iter().map(|(name, server)| (name, &server.report))
    }

    /// Returns a server that reported, regardless of the report's age.
    pub(super) fn get(&self, name: &Name) -> Option<&ReportingServer> {
        self.servers.get(name)
    }

    /// Returns a server whose last report is fresh.
    pub(super) fn get_fresh(&self, now: Time, name: &Name) -> Option<&ReportingServer> {
        self.servers.get(name).filter(|server| self.is_fresh(now, server))
    }

    /// Returns all fresh reports.
    pub(super) fn fresh(&self, now: Time) -> impl Iterator<Item = (&Name, &ServerReport)> {
        self.servers
            .iter()
            .filter(move |(_, server)| self.is_fresh(now, server))
            .map(|(name, server)| (name, &server.report))
    }

    fn is_fresh(&self, now: Time, server: &ReportingServer) -> bool {
        now.0.saturating_sub(server.received_at.0) <= self.fresh_for.0
    }

    /// Servers of the roster without a fresh report that they are ready; they count as out of service.
    pub(super) fn not_ready(&self, now: Time, state: &ReplicatedState) -> BTreeSet<Name> {
        let is_ready = |name: &Name| self.get_fresh(now, name).is_some_and(|server| server.report.ready);
        state.roster.keys().filter(|name| !is_ready(name)).cloned().collect()
    }

    /// Whether a server has been ready without interruption for at least `span`.
    pub(super) fn is_stable(&self, now: Time, name: &Name, span: Span) -> bool {
        let server = self.get_fresh(now, name);
        server.and_then(|server| server.ready_since).is_some_and(|since| now >= time_after(since, span))
    }
}
