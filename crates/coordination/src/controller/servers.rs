//! What is heard of the servers: their last reports, and since when each has been ready without a break.

use crate::messages::ServerReport;
use crate::replicated_state::{MAX_SERVERS, Name, ReplicatedState};
use gradepin_admission::{Span, Time, time_after};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A server's last report.
#[derive(Debug, Clone)]
pub(super) struct HeardServer {
    at: Time,
    pub incarnation: u64,
    pub report: ServerReport,
    /// Since when it has been ready without a break.
    ready_since: Option<Time>,
}

/// The servers that reported, of at most [`MAX_SERVERS`].
#[derive(Debug)]
pub(super) struct ServerTable {
    heard: BTreeMap<Name, HeardServer>,
    fresh_for: Span,
}

impl ServerTable {
    pub(super) fn new(fresh_for: Span) -> Self {
        Self { heard: BTreeMap::new(), fresh_for }
    }

    /// Whether a report is taken: there is room, and it is of no earlier incarnation.
    pub(super) fn accepts(&self, name: &Name, incarnation: u64) -> bool {
        match self.heard.get(name) {
            Some(known) => known.incarnation <= incarnation,
            None => self.heard.len() < MAX_SERVERS,
        }
    }

    /// A server reported.
    pub(super) fn reported(&mut self, now: Time, name: &Name, incarnation: u64, report: ServerReport) {
        let known = self.heard.get(name);
        let unbroken = known.filter(|known| known.incarnation == incarnation && self.is_fresh(now, known));
        let ready_since = unbroken.and_then(|known| known.ready_since).unwrap_or(now);
        let ready_since = report.ready.then_some(ready_since);
        self.heard.insert(Arc::clone(name), HeardServer { at: now, incarnation, report, ready_since });
    }

    /// A server is struck off.
    pub(super) fn remove(&mut self, name: &Name) {
        self.heard.remove(name);
    }

    /// Nobody counts as stable by what was heard before now.
    pub(super) fn restart_stabilization(&mut self, now: Time) {
        for heard in self.heard.values_mut() {
            heard.ready_since = heard.ready_since.map(|_| now);
        }
    }

    /// What a server last reported, and how long ago.
    pub(super) fn report(&self, now: Time, name: &str) -> Option<(&ServerReport, Span)> {
        let heard = self.heard.get(name)?;
        Some((&heard.report, Span(now.0.saturating_sub(heard.at.0))))
    }

    /// Everybody that ever reported.
    pub(super) fn reports(&self) -> impl Iterator<Item = (&Name, &ServerReport)> {
        self.heard.iter().map(|(name, heard)| (name, &heard.report))
    }

    /// What is known of a server, however old.
    pub(super) fn get(&self, name: &Name) -> Option<&HeardServer> {
        self.heard.get(name)
    }

    /// What is known of a server, if it was heard lately.
    pub(super) fn get_fresh(&self, now: Time, name: &Name) -> Option<&HeardServer> {
        self.heard.get(name).filter(|heard| self.is_fresh(now, heard))
    }

    /// Reports of all that were heard lately.
    pub(super) fn fresh(&self, now: Time) -> impl Iterator<Item = (&Name, &ServerReport)> {
        self.heard
            .iter()
            .filter(move |(_, heard)| self.is_fresh(now, heard))
            .map(|(name, heard)| (name, &heard.report))
    }

    fn is_fresh(&self, now: Time, heard: &HeardServer) -> bool {
        now.0.saturating_sub(heard.at.0) <= self.fresh_for.0
    }

    /// Servers of the roster that aren't heard to be ready.
    pub(super) fn unplanned(&self, now: Time, record: &ReplicatedState) -> BTreeSet<Name> {
        let is_ready = |name: &Name| self.get_fresh(now, name).is_some_and(|heard| heard.report.ready);
        record.roster.keys().filter(|name| !is_ready(name)).cloned().collect()
    }

    /// Whether a server has been ready for so long without a break.
    pub(super) fn is_stable(&self, now: Time, name: &Name, span: Span) -> bool {
        let heard = self.get_fresh(now, name);
        heard.and_then(|heard| heard.ready_since).is_some_and(|since| now >= time_after(since, span))
    }
}
