//! The server's part of the fleet, where servers talk to each other: what it counts for them, calls to the shared ledger
//! that wait for a slot, and what the module is told of the slots and quotas that it may go by.
//!
//! Not here: what is lent, believed or judged, which is [`gradepin_cluster`]'s, and which calls are made in which order,
//! which is the module's. Without a cluster nothing here does anything.

use super::cells::Cells;
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

/// Between looks at the quotas, which move over seconds.
const QUOTAS: Span = Span(500 * MS);
/// Between two tellings of a limit to the module at the least.
const LIMITS: Span = Span(20 * MS);
/// The part of its class's aim that a run is estimated to take before any was seen.
const FIRST_ESTIMATE: u64 = 8;
/// Names of cells kept for people, some 400 KB; a cell without one is told by its number.
const MOST_NAMES: usize = 4_096;

/// A call that the module made and that has no slot yet.
#[derive(Debug)]
struct Waiting {
    id: RequestId,
    timeout: Span,
    until: Time,
}

/// What the reducer holds of it.
#[derive(Default)]
pub(super) struct Fleet {
    cluster: Option<Box<Cluster>>,
    waiting: VecDeque<Waiting>,
    /// Requests whose calls hold a slot, and since when.
    slots: HashMap<UpstreamCallId, Time>,
    /// Runs that asked for a call which the module has not made yet.
    asking: HashSet<RequestId>,
    /// What a run of each class takes, as seen here.
    estimates: Vec<Span>,
    /// The cells of the counts that requests here fall into.
    cells: Cells,
    /// The limit that the module goes by, and the quotas that it was told by slot; and when the next may be told.
    limit: Option<f64>,
    quotas: BTreeMap<usize, f64>,
    next_limit: Time,
    next_quotas: Time,
}

impl Fleet {
    pub(super) fn is_on(&self) -> bool {
        self.cluster.is_some()
    }

    fn estimate(&self, classes: &Classes, class: usize) -> Span {
        let seen = self.estimates.get(class).copied().filter(|span| span.0 > 0);
        seen.unwrap_or(Span(classes.profile(class).latency_objective.0 / FIRST_ESTIMATE))
    }

    fn ended(&mut self, class: usize, took: Span) {
        if self.estimates.len() <= class {
            self.estimates.resize(class + 1, Span(0));
        }
        let estimate = &mut self.estimates[class];
        *estimate = if estimate.0 == 0 { took } else { Span(estimate.0 - estimate.0 / 16 + took.0 / 16) };
    }

    /// When something is due though nothing comes in.
    pub(super) fn wake_at(&self, now: Time) -> Option<Time> {
        let cluster = self.cluster.as_ref()?;
        let waits = self.waiting.iter().map(|waiting| waiting.until).min();
        let slot = cluster.slot_at(now).filter(|_| !self.waiting.is_empty());
        earliest(Some(cluster.wake_at(now)), earliest(waits, slot))
    }

    /// The fleet as it is seen from here, where there is a cluster.
    pub(super) fn view(&self, now: Time) -> Option<Box<FleetView>> {
        self.cluster.as_ref().map(|cluster| Box::new(cluster.view(now)))
    }

    /// The figures, where there is a cluster.
    pub(super) fn status(&self, now: Time) -> Option<Box<ClusterStatus>> {
        self.cluster.as_ref().map(|cluster| Box::new(cluster.status(now)))
    }
}

/// What the cells of these settings are called, for people: of classes and tenants as far as there is room, and of their
/// pairs where all of those have room.
pub fn cell_names(settings: &Settings) -> BTreeMap<u32, String> {
    let classes = || settings.profiles.iter().map(|class| class.name.as_str());
    let tenants = || settings.customers.iter().map(|tenant| tenant.name.as_str());
    let of_classes = classes().map(|class| (CellId::of("", class).0, class.to_string()));
    let of_tenants = tenants().map(|tenant| (CellId::of(tenant, "").0, tenant.to_string()));
    let mut names: BTreeMap<u32, String> = of_classes.chain(of_tenants).take(MOST_NAMES).collect();
    if settings.profiles.len().saturating_mul(settings.customers.len()) <= MOST_NAMES {
        for tenant in tenants() {
            let name = |class: &str| (CellId::of(tenant, class).0, format!("{class} of {tenant}"));
            names.extend(classes().map(name));
        }
    }
    names
}

impl Reducer {
    /// With a part in a fleet whose servers talk to each other.
    pub fn with_cluster(mut self, cluster: Cluster) -> Self {
        self.fleet.cluster = Some(Box::new(cluster));
        self
    }

    /// The cell of a tenant's part of a class, or of all of a class.
    pub(super) fn fleet_cell(&mut self, tenant: Option<usize>, class: usize) -> CellId {
        self.fleet.cells.cell(&self.classes, &self.tenants, tenant, class)
    }

    /// The cell of a whole tenant.
    pub(super) fn fleet_tenant_cell(&mut self, tenant: Option<usize>) -> Option<CellId> {
        tenant.and_then(|tenant| self.fleet.cells.whole(&self.tenants, tenant))
    }

    /// Tells another server something that isn't the cluster's own.
    pub(super) fn fleet_post(&mut self, to: &str, word: &[u8]) {
        if let Some(cluster) = &mut self.fleet.cluster {
            cluster.post(self.moment.now, to, word);
        }
    }

    /// A datagram of another server came.
    pub(super) fn envelope_received(&mut self, envelope: &Envelope) {
        if let Some(cluster) = &mut self.fleet.cluster {
            cluster.receive(self.moment.now, envelope);
        }
    }

    /// Datagrams were dropped at the socket.
    pub(super) fn envelopes_dropped(&mut self, dropped: &[(DropReason, u64)]) {
        if let Some(cluster) = &mut self.fleet.cluster {
            dropped.iter().for_each(|(why, times)| cluster.dropped(*why, *times));
        }
    }

    /// The fleet's keys were read again.
    pub(super) fn fleet_keys(&mut self, keys: AuthenticationKeys) {
        if let Some(cluster) = &mut self.fleet.cluster {
            cluster.set_keys(keys);
            self.log(Level::Info, "the fleet's keys were read again".into());
        }
    }

    /// A request came that can be taken; whether the fleet has room for it, where it repeats another try.
    pub(super) fn fleet_takes(&mut self, tenant: Option<usize>, class: usize, repeat: bool) -> bool {
        if !self.fleet.is_on() {
            return true;
        }
        let estimate = self.fleet.estimate(&self.classes, class);
        let cell = self.fleet_cell(tenant, class);
        self.fleet.cells.seen(self.moment.now, tenant, class);
        let Some(cluster) = &mut self.fleet.cluster else { return true };
        cluster.arrived(self.moment.now, cell, repeat, estimate);
        !repeat || cluster.admits_retry(self.moment.now)
    }

    /// A run went well.
    pub(super) fn fleet_served(&mut self, tenant: Option<usize>, class: usize, took: Span) {
        if !self.fleet.is_on() {
            return;
        }
        let cell = self.fleet_cell(tenant, class);
        if let Some(cluster) = &mut self.fleet.cluster {
            cluster.served(self.moment.now, cell, took);
            self.fleet.ended(class, took);
        }
    }

    /// A run asked for a call, or no longer does.
    pub(super) fn fleet_asks(&mut self, id: &RequestId, asks: bool) {
        if self.fleet.is_on() {
            if asks {
                self.fleet.asking.insert(id.clone());
            } else {
                self.fleet.asking.remove(id);
            }
        }
    }

    /// The module makes a call: it goes once it has a slot.
    pub(super) fn call_waits(&mut self, id: &RequestId, timeout: Span) {
        let until = time_after(self.moment.now, timeout);
        self.fleet.waiting.push_back(Waiting { id: id.clone(), timeout, until });
        self.calls_out();
    }

    /// Makes the calls that have a slot now; those whose time is up, or that the ledger can't take, never leave.
    pub(super) fn calls_out(&mut self) {
        let now = self.moment.now;
        self.give_up_overdue_calls();
        while let Some(first) = self.fleet.waiting.front() {
            let still = self.requests.get(&first.id).is_some_and(|open| open.call.is_some());
            let Some(cluster) = &mut self.fleet.cluster else { return };
            let decision = if still { cluster.call(now) } else { CallDecision::Rejected };
            if decision == CallDecision::Wait {
                break;
            }
            let Some(Waiting { id, timeout, until }) = self.fleet.waiting.pop_front() else { return };
            match decision {
                CallDecision::Proceed(slot) => {
                    let left = Span(until.0 - now.0).min(timeout);
                    let (left, leaves) = match slot {
                        Slot::Own => (left, None),
                        Slot::Borrowed { until, max_call } => (left.min(max_call), Some(until)),
                    };
                    let number = self.make_call(&id, left, leaves);
                    self.fleet.slots.insert(number, now);
                }
                CallDecision::Rejected if still => self.call_ended(&id, None, Outcome::Rejected, None),
                CallDecision::Rejected | CallDecision::Wait => {}
            }
        }
        self.tell_waiting();
    }

    /// Gives up the calls whose time is up, wherever they wait. A time that stays behind while one before it waits longer would
    /// be the next turn again and again ([`Fleet::wake_at`]).
    fn give_up_overdue_calls(&mut self) {
        let now = self.moment.now;
        let mut overdue = Vec::new();
        self.fleet.waiting.retain(|waiting| {
            let is_over = waiting.until <= now;
            if is_over {
                overdue.push(waiting.id.clone());
            }
            !is_over
        });
        for id in overdue {
            if self.requests.get(&id).is_some_and(|open| open.call.is_some()) {
                self.call_ended(&id, None, Outcome::Rejected, None);
            }
        }
    }

    fn tell_waiting(&mut self) {
        let requests = &self.requests;
        // One whose call the module gave up waits for no slot, though its run may go on.
        let waits = |id: &RequestId| requests.get(id).is_some_and(|open| open.call.is_some() && open.owed);
        self.fleet.asking.retain(waits);
        let waiting = self.fleet.waiting.len() + self.fleet.asking.len();
        if let Some(cluster) = &mut self.fleet.cluster {
            cluster.set_waiting(self.moment.now, waiting);
        }
    }

    /// A call has ended; its slot, if it had one, is free. What it took counts from the slot: the ledger has no part in the
    /// wait for one.
    pub(super) fn fleet_called(&mut self, number: UpstreamCallId, outcome: Outcome) {
        if let Some(since) = self.fleet.slots.remove(&number)
            && let Some(cluster) = &mut self.fleet.cluster
        {
            let now = self.moment.now;
            cluster.called(now, outcome, Span(now.0.saturating_sub(since.0)));
        }
    }

    /// The fleet's turn in a step.
    pub(super) fn fleet_step(&mut self) {
        let now = self.moment.now;
        if !self.fleet.is_on() {
            return;
        }
        self.calls_out();
        let mut asked = Vec::new();
        if let Some(cluster) = &mut self.fleet.cluster {
            cluster.step(now, &mut asked);
        }
        for effect in asked {
            match effect {
                ClusterEffect::Send { to, datagram } => {
                    self.effects.push(Effect::SendPeerDatagram { to, datagram })
                }
                ClusterEffect::Post { from, incarnation, content } => {
                    if !self.configuration_message(&from, &content) {
                        self.agreed_word(&from, incarnation.0, &content);
                    }
                }
                ClusterEffect::Log(severity, text) => {
                    let level = if severity == Severity::Warning { Level::Warning } else { Level::Info };
                    self.log(level, format!("fleet: {text}"));
                }
            }
        }
        self.tell_module();
    }

    /// The module goes by the slots that may be used now, and by the quotas of the tenants seen here as the fleet's counts
    /// tell them.
    fn tell_module(&mut self) {
        let now = self.moment.now;
        if now >= self.fleet.next_limit {
            self.tell_limit();
        }
        if now >= self.fleet.next_quotas {
            self.fleet.next_quotas = time_after(now, QUOTAS);
            self.tell_quotas();
        }
    }

    fn tell_limit(&mut self) {
        let now = self.moment.now;
        let Some(cluster) = &self.fleet.cluster else { return };
        let limit = cluster.limit(now).unwrap_or(self.settings.specifics.calls_out);
        if self.fleet.limit == Some(limit) {
            return;
        }
        let Some(controller) = &mut self.controller else { return };
        let mut settings = Settings::clone(&self.settings);
        settings.specifics.calls_out = limit;
        controller.set_rest(settings);
        self.fleet.limit = Some(limit);
        self.fleet.next_limit = time_after(now, LIMITS);
    }

    /// Tells the quotas that moved; of tenants no longer seen, the one that they are set.
    fn tell_quotas(&mut self) {
        let now = self.moment.now;
        let Some(cluster) = &self.fleet.cluster else { return };
        let Some(controller) = &mut self.controller else { return };
        let cells = self.fleet.cells.of_seen(now, &self.classes, &self.tenants);
        if cells.is_empty() && self.fleet.quotas.is_empty() {
            return;
        }
        let mut parts = cluster.quota_parts(now, |id| cells.get(&id).copied());
        for slot in self.fleet.quotas.keys() {
            parts.entry(*slot).or_insert(1.0);
        }
        for (slot, part) in parts {
            let Some(tenant) = self.tenants.get(slot) else { continue };
            let quota = tenant.quota_rps * part;
            let told = self.fleet.quotas.insert(slot, quota).unwrap_or(tenant.quota_rps);
            if told != quota {
                controller.put_tenant(slot, quota, false);
            }
            if quota == tenant.quota_rps {
                self.fleet.quotas.remove(&slot);
            }
        }
    }

    /// Settings other than classes and tenants have changed: the fleet's part goes by them, and the module is told anew.
    pub(super) fn fleet_retuned(&mut self) {
        if let Some(cluster) = &mut self.fleet.cluster {
            cluster.reconfigure(self.settings.servers as usize, lent_share(&self.settings));
            self.fleet.limit = None;
            self.fleet.next_limit = Time(0);
        }
    }

    /// A tenant has another quota, or is another: what was told of the one before no longer holds.
    pub(super) fn fleet_tenant_changed(&mut self, slot: usize) {
        if self.fleet.quotas.remove(&slot).is_some() {
            self.fleet.next_quotas = self.moment.now;
        }
    }

    /// Nothing refers to the class in a slot any more.
    pub(super) fn fleet_class_gone(&mut self, slot: usize) {
        if let Some(estimate) = self.fleet.estimates.get_mut(slot) {
            *estimate = Span(0);
        }
    }

    /// The process ends: the others needn't suspect it first.
    pub(super) fn fleet_leaves(&mut self) {
        let Some(cluster) = &mut self.fleet.cluster else { return };
        cluster.leave(self.moment.now);
        let mut asked = Vec::new();
        cluster.step(self.moment.now, &mut asked);
        for effect in asked {
            if let ClusterEffect::Send { to, datagram } = effect {
                self.effects.push(Effect::SendPeerDatagram { to, datagram });
            }
        }
    }
}

/// The share of the ledger's slots that takes part in lending: a share under one call is kept as a mean over a span by the
/// module, which leases don't move.
pub fn lent_share(settings: &Settings) -> Option<f64> {
    let specifics = &settings.specifics;
    (specifics.below == UpstreamKind::Shared && specifics.calls_out >= 1.0).then_some(specifics.calls_out)
}
