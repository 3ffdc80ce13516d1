//! The server's part of the fleet, where servers talk to each other: what it counts for them, calls to the shared ledger
//! that wait for a slot, and what the module is told of the slots and quotas that it may go by.
//!
//! Not here: what is lent, believed or judged, which is [`gradepin_cluster`]'s, and which calls are made in which order,
//! which is the module's. Without a cluster nothing here does anything.

use super::{MS, Reducer};
use crate::messages::{Effect, sooner};
use gradepin_cluster::authentication::{DropReason, Keys};
use gradepin_cluster::cluster::{
    CallDecision, Cluster, Effect as ClusterEffect, Envelope, FleetView, Severity, Status,
};
use gradepin_cluster::counters::CellId;
use gradepin_cluster::leases::Slot;
use gradepin_decisions::{Below, Outcome, RequestId, Settings, Span, Time, after};
use slog::Level;
use std::collections::{HashMap, HashSet, VecDeque};

/// Between looks at the quotas, which move over seconds.
const QUOTAS: Span = Span(500 * MS);
/// Between two tellings of a limit to the module at the least.
const LIMITS: Span = Span(20 * MS);
/// The part of its class's aim that a run is estimated to take before any was seen.
const FIRST_ESTIMATE: u64 = 8;

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
    slots: HashMap<RequestId, Time>,
    /// Runs that asked for a call which the module has not made yet.
    asking: HashSet<RequestId>,
    /// What a run of each class takes, as seen here.
    estimates: Vec<Span>,
    /// The cells of the counts by place: a row of classes for no office, and one for each office.
    cells: Vec<CellId>,
    offices: Vec<CellId>,
    /// The limit and quotas that the module goes by, and when the next may be told.
    told: Option<(f64, Vec<f64>)>,
    next_limit: Time,
    next_quotas: Time,
}

impl Fleet {
    pub(super) fn is_on(&self) -> bool {
        self.cluster.is_some()
    }

    /// The cell of an office's part of a class; of a place that these settings don't know, the rest's.
    pub(super) fn cell(&self, settings: &Settings, tenant: Option<usize>, class: usize) -> CellId {
        let row = tenant.filter(|tenant| *tenant < settings.customers.len()).map_or(0, |tenant| tenant + 1);
        self.cells.get(row * settings.profiles.len() + class).copied().unwrap_or(CellId(0))
    }

    /// The cell of a whole office.
    pub(super) fn office(&self, settings: &Settings, tenant: Option<usize>) -> Option<CellId> {
        tenant
            .filter(|tenant| *tenant < settings.customers.len())
            .and_then(|tenant| self.offices.get(tenant).copied())
    }

    fn estimate(&self, settings: &Settings, class: usize) -> Span {
        let seen = self.estimates.get(class).copied().filter(|span| span.0 > 0);
        seen.unwrap_or(Span(settings.profiles[class].promise.0 / FIRST_ESTIMATE))
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
        sooner(Some(cluster.wake_at(now)), sooner(waits, slot))
    }

    /// The fleet as it is seen from here, where there is a cluster.
    pub(super) fn view(&self, now: Time) -> Option<Box<FleetView>> {
        self.cluster.as_ref().map(|cluster| Box::new(cluster.view(now)))
    }

    /// The figures, where there is a cluster.
    pub(super) fn status(&self, now: Time) -> Option<Box<Status>> {
        self.cluster.as_ref().map(|cluster| Box::new(cluster.status(now)))
    }
}

/// The cells of these settings, by place, and those of whole offices. Made at the start and at a reload: each is a hash of two
/// names.
fn cells(settings: &Settings) -> (Vec<CellId>, Vec<CellId>) {
    let offices = std::iter::once("").chain(settings.customers.iter().map(|office| office.name.as_str()));
    let of_classes = offices
        .flat_map(|office| settings.profiles.iter().map(move |class| CellId::of(office, &class.name)))
        .collect();
    (of_classes, settings.customers.iter().map(|office| CellId::of(&office.name, "")).collect())
}

/// What the cells of these settings are called, for people.
pub fn cell_names(settings: &Settings) -> std::collections::BTreeMap<u32, String> {
    let office = |row: usize| match row.checked_sub(1).and_then(|office| settings.customers.get(office)) {
        Some(office) => format!(" of {}", office.name),
        None => String::new(),
    };
    let classes = settings.profiles.len().max(1);
    let (of_classes, offices) = cells(settings);
    let name =
        |place: usize| format!("{}{}", settings.profiles[place % classes].name, office(place / classes));
    let parts = of_classes.into_iter().enumerate().map(|(place, cell)| (cell.0, name(place)));
    let wholes =
        offices.into_iter().zip(&settings.customers).map(|(cell, office)| (cell.0, office.name.clone()));
    parts.chain(wholes).collect()
}

impl Reducer {
    /// With a part in a fleet whose servers talk to each other.
    pub fn with_cluster(mut self, cluster: Cluster) -> Self {
        self.fleet.cluster = Some(Box::new(cluster));
        (self.fleet.cells, self.fleet.offices) = cells(&self.settings);
        self
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
    pub(super) fn fleet_keys(&mut self, keys: Keys) {
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
        let estimate = self.fleet.estimate(&self.settings, class);
        let cell = self.fleet.cell(&self.settings, tenant, class);
        let Some(cluster) = &mut self.fleet.cluster else { return true };
        cluster.arrived(self.moment.now, cell, repeat, estimate);
        !repeat || cluster.admits_retry(self.moment.now)
    }

    /// A run went well.
    pub(super) fn fleet_served(&mut self, tenant: Option<usize>, class: usize, took: Span) {
        let cell = self.fleet.cell(&self.settings, tenant, class);
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
        let until = after(self.moment.now, timeout);
        self.fleet.waiting.push_back(Waiting { id: id.clone(), timeout, until });
        self.calls_out();
    }

    /// Makes the calls that have a slot now; those whose time is up, or that the ledger can't take, never leave.
    pub(super) fn calls_out(&mut self) {
        let now = self.moment.now;
        while let Some(first) = self.fleet.waiting.front() {
            let still = self.requests.get(&first.id).is_some_and(|open| open.call.is_some());
            let over = first.until <= now;
            let Some(cluster) = &mut self.fleet.cluster else { return };
            let decision = if still && !over { cluster.call(now) } else { CallDecision::Rejected };
            if decision == CallDecision::Wait {
                break;
            }
            let Some(Waiting { id, timeout, until }) = self.fleet.waiting.pop_front() else { return };
            match decision {
                CallDecision::Proceed(slot) => {
                    self.fleet.slots.insert(id.clone(), now);
                    let left = Span(until.0 - now.0).min(timeout);
                    let (left, leaves) = match slot {
                        Slot::Own => (left, None),
                        Slot::Borrowed { until, max_call } => (left.min(max_call), Some(until)),
                    };
                    self.make_call(&id, left, leaves);
                }
                CallDecision::Rejected if still => self.called(&id, Outcome::Shed, None),
                CallDecision::Rejected | CallDecision::Wait => {}
            }
        }
        self.tell_waiting();
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
    pub(super) fn fleet_called(&mut self, id: &RequestId, outcome: Outcome) {
        if let Some(since) = self.fleet.slots.remove(id)
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
                ClusterEffect::Send { to, datagram } => self.effects.push(Effect::Peer(to, datagram)),
                ClusterEffect::Post { from, incarnation, content } => {
                    self.agreed_word(&from, incarnation.0, &content);
                }
                ClusterEffect::Log(severity, text) => {
                    let level = if severity == Severity::Warning { Level::Warning } else { Level::Info };
                    self.log(level, format!("fleet: {text}"));
                }
            }
        }
        self.tell_module();
    }

    /// The module goes by the slots that may be used now, and by each office's quota as the fleet's counts tell it.
    fn tell_module(&mut self) {
        let now = self.moment.now;
        let Some(cluster) = &self.fleet.cluster else { return };
        let limit = cluster.limit(now).unwrap_or(self.settings.specifics.calls_out);
        let told = self.fleet.told.as_ref();
        let moved = told.is_none_or(|(told, _)| *told != limit) && now >= self.fleet.next_limit;
        if !moved && now < self.fleet.next_quotas {
            return;
        }
        let settings = &self.settings;
        let quotas: Vec<f64> = if now >= self.fleet.next_quotas {
            self.fleet.next_quotas = after(now, QUOTAS);
            let classes = settings.profiles.len();
            let of = |tenant: usize| {
                let cells = self.fleet.cells.chunks(classes.max(1)).nth(tenant + 1).unwrap_or_default();
                cluster.quota(now, settings.customers[tenant].quota_rps, |id| cells.contains(&id))
            };
            (0..settings.customers.len()).map(of).collect()
        } else {
            told.map(|(_, quotas)| quotas.clone()).unwrap_or_default()
        };
        self.fleet.next_limit = after(now, LIMITS);
        if told.is_some_and(|(known, old)| *known == limit && *old == quotas) {
            return;
        }
        if let Some(controller) = &mut self.controller {
            let mut settings = Settings::clone(&self.settings);
            settings.specifics.calls_out = limit;
            for (customer, quota) in settings.customers.iter_mut().zip(&quotas) {
                customer.quota_rps = *quota;
            }
            controller.retune(settings);
            self.fleet.told = Some((limit, quotas));
        }
    }

    /// Settings changed at a reload: the fleet's part goes by them, and the module is told anew.
    pub(super) fn fleet_retuned(&mut self) {
        if let Some(cluster) = &mut self.fleet.cluster {
            cluster.reconfigure(self.settings.servers as usize, lent_share(&self.settings));
            self.fleet.told = None;
            (self.fleet.cells, self.fleet.offices) = cells(&self.settings);
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
                self.effects.push(Effect::Peer(to, datagram));
            }
        }
    }
}

/// The share of the ledger's slots that takes part in lending: a share under one call is kept as a mean over a span by the
/// module, which leases don't move.
pub fn lent_share(settings: &Settings) -> Option<f64> {
    let specifics = &settings.specifics;
    (specifics.below == Below::Shared && specifics.calls_out >= 1.0).then_some(specifics.calls_out)
}
