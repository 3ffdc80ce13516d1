//! The server's part in a cluster of servers that communicate: its counters, calls to the shared upstream that wait for
//! a slot, and the limits that the admission module gets from the cluster's counters and leases.
//!
//! [`gradepin_cluster`] decides about lending, membership and outliers; the admission module decides which calls are
//! made and in which order. Without a cluster nothing here has an effect.

use super::counter_cells::CounterCells;
use super::{MS, Reducer};
use crate::classes::Classes;
use crate::messages::{Effect, UpstreamCallId, earliest};
use gradepin_admission::{Outcome, RequestId, Settings, Span, Time, UpstreamKind, time_after};
use gradepin_cluster::authentication::{AuthenticationKeys, DropReason};
use gradepin_cluster::cluster::{
    CallDecision, Cluster, ClusterEffect, ClusterStatus, Envelope, FleetView, Severity,
};
use gradepin_cluster::counters::CellId;
use gradepin_cluster::leases::Slot;
use slog::Level;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Interval between updates of tenant quotas, which change over seconds.
const QUOTA_UPDATE_INTERVAL: Span = Span(500 * MS);
/// Minimum interval between updates of the call limit.
const MIN_LIMIT_UPDATE_INTERVAL: Span = Span(20 * MS);
/// Initial estimate of a class's run time: its latency objective divided by this.
const INITIAL_ESTIMATE_DIVISOR: u64 = 8;
/// Smoothing of the run time estimate: each run moves it by the difference divided by this.
const ESTIMATE_SMOOTHING: u64 = 16;
/// Maximum number of named cells, which take about 400 KB. Cells without a name are shown by their number.
const MAX_CELL_NAMES: usize = 4_096;

/// An upstream call that the admission module made and that has no slot yet.
#[derive(Debug)]
struct WaitingCall {
    id: RequestId,
    /// Maximum time to wait for the reply.
    timeout: Span,
    /// When the call is given up.
    expires_at: Time,
}

/// The reducer's state of the cluster.
#[derive(Default)]
pub(super) struct ClusterState {
    cluster: Option<Box<Cluster>>,
    /// Calls without a slot, in the order in which they were made. Limited by the number of open requests.
    waiting_calls: VecDeque<WaitingCall>,
    /// Calls that hold a slot, with the time at which each got it.
    slots_in_use: HashMap<UpstreamCallId, Time>,
    /// Requests whose runs wait for a call that the admission module has not made yet.
    requested_calls: HashSet<RequestId>,
    /// Estimated run time, indexed by class slot; 0 if no run of the class was seen.
    run_time_estimates: Vec<Span>,
    cells: CounterCells,
    /// Call limit that the admission module was given last.
    reported_limit: Option<f64>,
    /// Quotas that the admission module was given, by tenant slot, where they differ from the settings.
    reported_quotas: BTreeMap<usize, f64>,
    next_limit_at: Time,
    next_quotas_at: Time,
}

impl ClusterState {
    pub(super) fn is_enabled(&self) -> bool {
        self.cluster.is_some()
    }

    fn estimated_run_time(&self, classes: &Classes, class: usize) -> Span {
        let seen = self.run_time_estimates.get(class).copied().filter(|span| span.0 > 0);
        seen.unwrap_or(Span(classes.profile(class).latency_objective.0 / INITIAL_ESTIMATE_DIVISOR))
    }

    fn record_run_time(&mut self, class: usize, took: Span) {
        if self.run_time_estimates.len() <= class {
            self.run_time_estimates.resize(class + 1, Span(0));
        }
        let estimate = &mut self.run_time_estimates[class];
        *estimate = match estimate.0 {
            0 => took,
            before => Span(before - before / ESTIMATE_SMOOTHING + took.0 / ESTIMATE_SMOOTHING),
        };
    }

    /// Next time at which a step is due without input.
    pub(super) fn wake_at(&self, now: Time) -> Option<Time> {
        let cluster = self.cluster.as_ref()?;
        let expires_at = self.waiting_calls.iter().map(|call| call.expires_at).min();
        let slot_at = cluster.slot_at(now).filter(|_| !self.waiting_calls.is_empty());
        earliest(Some(cluster.wake_at(now)), earliest(expires_at, slot_at))
    }

    /// This server's view of the cluster; `None` without a cluster.
    pub(super) fn view(&self, now: Time) -> Option<Box<FleetView>> {
        self.cluster.as_ref().map(|cluster| Box::new(cluster.view(now)))
    }

    /// The cluster's metrics; `None` without a cluster.
    pub(super) fn status(&self, now: Time) -> Option<Box<ClusterStatus>> {
        self.cluster.as_ref().map(|cluster| Box::new(cluster.status(now)))
    }
}

/// Returns display names for the counter cells of these settings: one for each class and tenant, up to the limit, and
/// for each combination of the two if all combinations are within the limit.
pub fn cell_names(settings: &Settings) -> BTreeMap<u32, String> {
    let classes = || settings.profiles.iter().map(|class| class.name.as_str());
    let tenants = || settings.tenants.iter().map(|tenant| tenant.name.as_str());
    let of_classes = classes().map(|class| (CellId::of("", class).0, class.to_string()));
    let of_tenants = tenants().map(|tenant| (CellId::of(tenant, "").0, tenant.to_string()));
    let mut names: BTreeMap<u32, String> = of_classes.chain(of_tenants).take(MAX_CELL_NAMES).collect();
    if settings.profiles.len().saturating_mul(settings.tenants.len()) <= MAX_CELL_NAMES {
        for tenant in tenants() {
            let name = |class: &str| (CellId::of(tenant, class).0, format!("{class} of {tenant}"));
            names.extend(classes().map(name));
        }
    }
    names
}

/// Returns this server's number of shared upstream slots that take part in lending. A share of less than one call
/// doesn't: the admission module enforces it as an average over time, which leases don't change.
pub fn lent_share(settings: &Settings) -> Option<f64> {
    let specifics = &settings.specifics;
    (specifics.upstream == UpstreamKind::Shared && specifics.call_share >= 1.0)
        .then_some(specifics.call_share)
}

impl Reducer {
    /// Adds the server to a cluster of servers that communicate.
    pub fn with_cluster(mut self, cluster: Cluster) -> Self {
        self.cluster.cluster = Some(Box::new(cluster));
        self
    }

    /// Returns the cell that counts a tenant's requests of a class; without a tenant, all requests of the class.
    pub(super) fn counter_cell(&mut self, tenant: Option<usize>, class: usize) -> CellId {
        self.cluster.cells.cell(&self.classes, &self.tenants, tenant, class)
    }

    /// Returns the cell that counts all requests of a tenant.
    pub(super) fn tenant_cell(&mut self, tenant: Option<usize>) -> Option<CellId> {
        tenant.and_then(|tenant| self.cluster.cells.tenant_cell(&self.tenants, tenant))
    }

    /// Sends a consensus or configuration message to the server with this name.
    pub(super) fn send_to_peer(&mut self, to: &str, message: &[u8]) {
        if let Some(cluster) = &mut self.cluster.cluster {
            cluster.post(self.timestamp.now, to, message);
        }
    }

    /// Handles a datagram from another server.
    pub(super) fn peer_datagram_received(&mut self, envelope: &Envelope) {
        if let Some(cluster) = &mut self.cluster.cluster {
            cluster.receive(self.timestamp.now, envelope);
        }
    }

    /// Counts datagrams that the shell dropped at the socket.
    pub(super) fn peer_datagrams_dropped(&mut self, dropped: &[(DropReason, u64)]) {
        if let Some(cluster) = &mut self.cluster.cluster {
            dropped.iter().for_each(|(reason, count)| cluster.dropped(*reason, *count));
        }
    }

    /// Replaces the keys that authenticate peer datagrams.
    pub(super) fn authentication_keys_reloaded(&mut self, keys: AuthenticationKeys) {
        if let Some(cluster) = &mut self.cluster.cluster {
            cluster.set_keys(keys);
            self.log(Level::Info, "fleet: authentication keys reloaded".into());
        }
    }

    /// Counts a valid request. Returns whether it is admitted: a retry only within the cluster's retry budget.
    pub(super) fn cluster_admits(&mut self, tenant: Option<usize>, class: usize, is_retry: bool) -> bool {
        if !self.cluster.is_enabled() {
            return true;
        }
        let now = self.timestamp.now;
        let estimate = self.cluster.estimated_run_time(&self.classes, class);
        let cell = self.counter_cell(tenant, class);
        self.cluster.cells.note_request(now, tenant, class);
        let Some(cluster) = &mut self.cluster.cluster else { return true };
        cluster.arrived(now, cell, is_retry, estimate);
        !is_retry || cluster.admits_retry(now)
    }

    /// Counts a run that ended with a result.
    pub(super) fn cluster_run_served(&mut self, tenant: Option<usize>, class: usize, took: Span) {
        if !self.cluster.is_enabled() {
            return;
        }
        let cell = self.counter_cell(tenant, class);
        if let Some(cluster) = &mut self.cluster.cluster {
            cluster.served(self.timestamp.now, cell, took);
            self.cluster.record_run_time(class, took);
        }
    }

    /// Records whether a run waits for a call that the admission module has not made yet.
    pub(super) fn note_call_requested(&mut self, id: &RequestId, is_requested: bool) {
        if !self.cluster.is_enabled() {
            return;
        }
        if is_requested {
            self.cluster.requested_calls.insert(id.clone());
        } else {
            self.cluster.requested_calls.remove(id);
        }
    }

    /// Queues a call that the admission module made, until it gets a slot.
    pub(super) fn queue_upstream_call(&mut self, id: &RequestId, timeout: Span) {
        let expires_at = time_after(self.timestamp.now, timeout);
        let call = WaitingCall { id: id.clone(), timeout, expires_at };
        self.cluster.waiting_calls.push_back(call);
        self.send_waiting_calls();
    }

    /// Sends the waiting calls that get a slot now. Calls that have timed out or that the circuit breaker rejects are
    /// not sent.
    fn send_waiting_calls(&mut self) {
        self.drop_overdue_calls();
        while let Some(first) = self.cluster.waiting_calls.front() {
            let is_needed = self.is_call_needed(&first.id);
            let Some(cluster) = &mut self.cluster.cluster else { return };
            let decision = if is_needed { cluster.call(self.timestamp.now) } else { CallDecision::Rejected };
            if decision == CallDecision::Wait {
                break;
            }
            let Some(call) = self.cluster.waiting_calls.pop_front() else { return };
            match decision {
                CallDecision::Proceed(slot) => self.send_with_slot(&call, slot),
                CallDecision::Rejected if is_needed => {
                    self.complete_upstream_call(&call.id, None, Outcome::Rejected, None);
                }
                CallDecision::Rejected | CallDecision::Wait => {}
            }
        }
        self.report_waiting_calls();
    }

    fn is_call_needed(&self, id: &RequestId) -> bool {
        self.requests.get(id).is_some_and(|open| open.upstream_call.is_some())
    }

    fn send_with_slot(&mut self, call: &WaitingCall, slot: Slot) {
        let now = self.timestamp.now;
        let remaining = Span(call.expires_at.0 - now.0).min(call.timeout);
        let (timeout, send_before) = match slot {
            Slot::Own => (remaining, None),
            Slot::Borrowed { until, max_call } => (remaining.min(max_call), Some(until)),
        };
        let number = self.send_upstream_call(&call.id, timeout, send_before);
        self.cluster.slots_in_use.insert(number, now);
    }

    /// Gives up all calls that have timed out, at any position in the queue. Otherwise an overdue call behind one that
    /// waits longer would keep the reducer due without progress ([`ClusterState::wake_at`]).
    fn drop_overdue_calls(&mut self) {
        let now = self.timestamp.now;
        let mut overdue = Vec::new();
        self.cluster.waiting_calls.retain(|call| {
            let is_overdue = call.expires_at <= now;
            if is_overdue {
                overdue.push(call.id.clone());
            }
            !is_overdue
        });
        for id in overdue {
            if self.is_call_needed(&id) {
                self.complete_upstream_call(&id, None, Outcome::Rejected, None);
            }
        }
    }

    /// Reports the number of waiting calls to the cluster, which lends slots accordingly.
    fn report_waiting_calls(&mut self) {
        let requests = &self.requests;
        // A request whose call the admission module gave up needs no slot, although its run may continue.
        let is_waiting = |id: &RequestId| {
            requests.get(id).is_some_and(|open| open.upstream_call.is_some() && open.response_owed)
        };
        self.cluster.requested_calls.retain(is_waiting);
        let waiting = self.cluster.waiting_calls.len() + self.cluster.requested_calls.len();
        if let Some(cluster) = &mut self.cluster.cluster {
            cluster.set_waiting(self.timestamp.now, waiting);
        }
    }

    /// Releases the slot of a call that has ended. The reported duration starts when the call got its slot, since the
    /// upstream is not responsible for the wait before.
    pub(super) fn release_call_slot(&mut self, call: UpstreamCallId, outcome: Outcome) {
        if let Some(since) = self.cluster.slots_in_use.remove(&call)
            && let Some(cluster) = &mut self.cluster.cluster
        {
            let now = self.timestamp.now;
            cluster.call_ended(now, outcome, Span(now.0.saturating_sub(since.0)));
        }
    }

    /// Performs the cluster's part of a step.
    pub(super) fn cluster_step(&mut self) {
        if !self.cluster.is_enabled() {
            return;
        }
        self.send_waiting_calls();
        let mut effects = Vec::new();
        if let Some(cluster) = &mut self.cluster.cluster {
            cluster.step(self.timestamp.now, &mut effects);
        }
        for effect in effects {
            self.cluster_effect(effect);
        }
        self.update_admission_limits();
    }

    fn cluster_effect(&mut self, effect: ClusterEffect) {
        match effect {
            ClusterEffect::Send { to, datagram } => {
                self.effects.push(Effect::SendPeerDatagram { to, datagram });
            }
            ClusterEffect::Post { from, incarnation, content } => {
                if !self.configuration_message(&from, &content) {
                    self.consensus_message_received(&from, incarnation.0, &content);
                }
            }
            ClusterEffect::Log(severity, text) => {
                let level = if severity == Severity::Warning { Level::Warning } else { Level::Info };
                self.log(level, format!("fleet: {text}"));
            }
        }
    }

    /// Updates the admission module's limits: the call slots that are usable now, and the quotas of recently seen
    /// tenants by the cluster's counters.
    fn update_admission_limits(&mut self) {
        let now = self.timestamp.now;
        if now >= self.cluster.next_limit_at {
            self.update_call_limit();
        }
        if now >= self.cluster.next_quotas_at {
            self.cluster.next_quotas_at = time_after(now, QUOTA_UPDATE_INTERVAL);
            self.update_quotas();
        }
    }

    fn update_call_limit(&mut self) {
        let now = self.timestamp.now;
        let Some(cluster) = &self.cluster.cluster else { return };
        let limit = cluster.limit(now).unwrap_or(self.settings.specifics.call_share);
        if self.cluster.reported_limit == Some(limit) {
            return;
        }
        let Some(controller) = &mut self.controller else { return };
        let mut settings = Settings::clone(&self.settings);
        settings.specifics.call_share = limit;
        controller.set_global_settings(settings);
        self.cluster.reported_limit = Some(limit);
        self.cluster.next_limit_at = time_after(now, MIN_LIMIT_UPDATE_INTERVAL);
    }

    /// Updates the quotas that changed. Tenants that were not seen recently get back the quota of the settings.
    fn update_quotas(&mut self) {
        let now = self.timestamp.now;
        let Some(cluster) = &self.cluster.cluster else { return };
        let Some(controller) = &mut self.controller else { return };
        let cells = self.cluster.cells.of_recent_tenants(now, &self.classes, &self.tenants);
        if cells.is_empty() && self.cluster.reported_quotas.is_empty() {
            return;
        }
        let mut shares = cluster.quota_parts(now, |id| cells.get(&id).copied());
        for slot in self.cluster.reported_quotas.keys() {
            shares.entry(*slot).or_insert(1.0);
        }
        for (slot, share) in shares {
            let Some(tenant) = self.tenants.get(slot) else { continue };
            let quota_rps = tenant.quota_rps * share;
            let reported = self.cluster.reported_quotas.insert(slot, quota_rps).unwrap_or(tenant.quota_rps);
            if reported != quota_rps {
                controller.put_tenant(slot, quota_rps, false);
            }
            if quota_rps == tenant.quota_rps {
                self.cluster.reported_quotas.remove(&slot);
            }
        }
    }

    /// Applies changed settings to the cluster, and has the call limit recomputed.
    pub(super) fn cluster_settings_changed(&mut self) {
        if let Some(cluster) = &mut self.cluster.cluster {
            cluster.reconfigure(self.settings.servers as usize, lent_share(&self.settings));
            self.cluster.reported_limit = None;
            self.cluster.next_limit_at = Time(0);
        }
    }

    /// Discards the reported quota of a slot whose tenant or quota has changed.
    pub(super) fn forget_reported_quota(&mut self, slot: usize) {
        if self.cluster.reported_quotas.remove(&slot).is_some() {
            self.cluster.next_quotas_at = self.timestamp.now;
        }
    }

    /// Discards the run time estimate of a freed class slot.
    pub(super) fn forget_run_time_estimate(&mut self, slot: usize) {
        if let Some(estimate) = self.cluster.run_time_estimates.get_mut(slot) {
            *estimate = Span(0);
        }
    }

    /// Announces to the other servers that this process exits, so that they don't have to detect it by suspicion.
    pub(super) fn announce_departure(&mut self) {
        let Some(cluster) = &mut self.cluster.cluster else { return };
        cluster.leave(self.timestamp.now);
        let mut effects = Vec::new();
        cluster.step(self.timestamp.now, &mut effects);
        for effect in effects {
            if let ClusterEffect::Send { to, datagram } = effect {
                self.effects.push(Effect::SendPeerDatagram { to, datagram });
            }
        }
    }
}
