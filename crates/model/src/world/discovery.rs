//! Service discovery by the platform's list or the registry, and what client proxies learn from it.

use super::{EPOCH_MS, Event, MS, S, World};
use crate::discovery::registry::Outcome;
use crate::discovery::{self, APP, VIP};
use crate::queue::{At, Queue, nanos};
use crate::scenario::DiscoverySpec;
use crate::streams::within;
use gradepin_admission::span_from_seconds;
use gradepin_registry::instance::{Applications, InstanceStatus};
use gradepin_registry::membership::{RegistryOperation, RegistryReply, RegistryRequest};
use gradepin_registry::view::{Fetch, View, ViewSettings};
use rand_pcg::rand_core::Rng;

/// Zone of the registry.
const REGISTRY_ZONE: usize = 0;

impl World {
    /// At the start of the scenario every server that runs is listed and known to all client proxies.
    pub(super) fn init_discovery(&mut self) {
        for proxy in &mut self.proxies {
            for (machine, spec) in self.scenario.machines.iter().enumerate() {
                proxy.list(machine as u32, !spec.spare);
            }
        }
        let DiscoverySpec::Registry { heartbeat_s, refresh_s, lease_s, .. } = self.scenario.discovery else {
            for machine in
                (0..self.machines.len()).filter(|machine| self.entries[*machine].listed).collect::<Vec<_>>()
            {
                self.watch_silence(machine);
            }
            return;
        };
        for (machine, spec) in self.scenario.machines.iter().enumerate().filter(|(_, spec)| !spec.spare) {
            let mut instance = discovery::instance(machine, spec.zone, heartbeat_s, lease_s);
            instance.status = InstanceStatus::Up;
            self.registry.register(instance, false, EPOCH_MS);
        }
        let set = ViewSettings { refresh: span_from_seconds(refresh_s), ..ViewSettings::default() };
        for proxy in 0..self.proxies.len() {
            let seed = self.proxy_rngs[proxy].next_u64();
            let mut view = View::new(set.clone(), seed, discovery::time(0));
            if let Some(fetch) = view.poll(discovery::time(0)) {
                view.fetched(discovery::time(0), fetch, Some(self.registry.full(EPOCH_MS)));
            }
            self.views.push(view);
            self.plan_fetch(proxy);
        }
    }

    // ---- platform list

    fn silent_after(&self) -> At {
        match self.scenario.discovery {
            DiscoverySpec::List { silent_s, .. } => nanos(silent_s),
            DiscoverySpec::Registry { .. } => 0,
        }
    }

    fn watch_silence(&mut self, machine: usize) {
        let at = self.entries[machine].reported.max(self.away_until).max(self.now) + self.silent_after();
        self.queue.push(at, Event::CheckSilence(machine));
    }

    /// Handles a readiness report of a server.
    pub(super) fn reported(&mut self, machine: usize, ready: bool) {
        if matches!(self.scenario.discovery, DiscoverySpec::Registry { .. }) || self.now < self.away_until {
            return;
        }
        let entry = &mut self.entries[machine];
        entry.reported = self.now;
        if entry.is(ready) {
            if ready {
                self.watch_silence(machine);
            }
            self.notify_proxies(machine);
        }
    }

    /// Removes a server that stopped reporting. Entries don't expire while the list service is down.
    pub(super) fn check_silence(&mut self, machine: usize) {
        let entry = &mut self.entries[machine];
        if !entry.listed {
            return;
        }
        let since = entry.reported.max(self.away_until);
        if self.now < since + self.silent_after() {
            return self.watch_silence(machine);
        }
        self.entries[machine].is(false);
        self.notify_proxies(machine);
    }

    /// Notifies each client proxy of a change after a delay of its own.
    fn notify_proxies(&mut self, machine: usize) {
        let DiscoverySpec::List { notice_s, .. } = self.scenario.discovery else { return };
        let entry = self.entries[machine];
        for proxy in 0..self.proxies.len() {
            let delay = nanos(within(&mut self.proxy_rngs[proxy], notice_s));
            let (listed, version) = (entry.listed, entry.version);
            self.queue.push(self.now + delay, Event::ListChange { proxy, machine, listed, version });
        }
    }

    pub(super) fn list_change(&mut self, proxy: usize, machine: usize, listed: bool, version: u32) {
        // Ignore notifications that a newer one has overtaken.
        if version > self.seen[proxy][machine] {
            self.seen[proxy][machine] = version;
            self.proxies[proxy].list(machine as u32, listed);
        }
    }

    // ---- registry

    fn unix(&self) -> u64 {
        EPOCH_MS + self.now / MS
    }

    /// Round-trip time of a request to the registry; `None` while the registry is unreachable.
    fn exchange(&mut self, zone: usize, by_machine: Option<usize>, by_proxy: usize) -> Option<At> {
        if self.now < self.away_until || self.now < self.net.cut_until(zone, REGISTRY_ZONE) {
            return None;
        }
        let rng = match by_machine {
            Some(machine) => &mut self.machine_rngs[machine],
            None => &mut self.proxy_rngs[by_proxy],
        };
        let there = self.net.arrives(self.now, zone, REGISTRY_ZONE, rng);
        Some(self.net.arrives(there, REGISTRY_ZONE, zone, rng) - self.now)
    }

    pub(super) fn asks_registry(&mut self, machine: usize, request: RegistryRequest) {
        let zone = self.scenario.machines[machine].zone;
        let incarnation = self.machines[machine].incarnation;
        match self.exchange(zone, Some(machine), 0) {
            Some(took) => {
                let request = Box::new(request);
                self.queue.push(self.now + took / 2, Event::RegistryAsked { machine, incarnation, request });
            }
            None => {
                let (ticket, reply) =
                    (request.ticket, Box::new(RegistryReply::Failed("the command got no result".into())));
                let at = self.now + request.timeout.0;
                self.queue.push(at, Event::RegistryReplied { machine, incarnation, ticket, reply });
            }
        }
    }

    /// Carries out a request in the registry, even if the server that sent it has ended since.
    pub(super) fn registry_asked(&mut self, machine: usize, incarnation: u32, request: RegistryRequest) {
        let (now_ms, id) = (self.unix(), format!("n{machine}"));
        self.registry.evict(now_ms);
        let done = |outcome| match outcome {
            Outcome::Done => RegistryReply::Done,
            Outcome::NotFound => RegistryReply::NotFound,
        };
        let reply = match request.operation {
            RegistryOperation::Register(instance) => {
                self.registry.register(*instance, false, now_ms);
                RegistryReply::Done
            }
            RegistryOperation::Heartbeat { dirty_ms, .. } => {
                done(self.registry.renew(APP, &id, Some(dirty_ms), now_ms))
            }
            RegistryOperation::Override { status, dirty_ms } => {
                done(self.registry.override_status(APP, &id, status, dirty_ms, now_ms))
            }
            RegistryOperation::ClearOverride { status, dirty_ms } => {
                done(self.registry.clear_override(APP, &id, status, dirty_ms, now_ms))
            }
            RegistryOperation::FetchOwnRecord => {
                let found = self.registry.instance(APP, &id);
                found.map_or(RegistryReply::NotFound, |instance| {
                    RegistryReply::Record(Box::new(instance.clone()))
                })
            }
            RegistryOperation::Cancel => done(self.registry.cancel(APP, &id, now_ms)),
        };
        let zone = self.scenario.machines[machine].zone;
        let at = self.net.arrives(self.now, REGISTRY_ZONE, zone, &mut self.machine_rngs[machine]);
        let (ticket, reply) = (request.ticket, Box::new(reply));
        self.queue.push(at, Event::RegistryReplied { machine, incarnation, ticket, reply });
    }

    pub(super) fn registry_replied(
        &mut self,
        machine: usize,
        incarnation: u32,
        ticket: u64,
        reply: RegistryReply,
    ) {
        let here = &mut self.machines[machine];
        if here.up && here.incarnation == incarnation {
            here.inputs.push(gradepin_core::messages::Input::RegistryReply { ticket, reply });
            self.run_node(machine);
        }
    }

    fn plan_fetch(&mut self, proxy: usize) {
        if let Some(at) = self.views[proxy].wake_at() {
            let wait = at.0.saturating_sub(discovery::time(self.now).0);
            self.queue.push(self.now + wait.max(1), Event::Fetches(proxy));
        }
    }

    pub(super) fn fetches(&mut self, proxy: usize) {
        let Some(fetch) = self.views[proxy].poll(discovery::time(self.now)) else {
            return self.plan_fetch(proxy);
        };
        let (zone, now_ms) = (self.scenario.proxies[proxy].zone, self.unix());
        let (at, apps) = match self.exchange(zone, None, proxy) {
            None => (self.now + S, None),
            Some(took) => {
                self.registry.evict(now_ms);
                let apps = match fetch {
                    Fetch::Full => self.registry.full(now_ms),
                    Fetch::Delta => self.registry.delta(now_ms),
                };
                (self.now + took, Some(Box::new(apps.clone())))
            }
        };
        self.queue.push(at, Event::Fetched { proxy, fetch, apps });
    }

    pub(super) fn fetched(&mut self, proxy: usize, fetch: Fetch, apps: Option<&Applications>) {
        let view = &mut self.views[proxy];
        view.fetched(discovery::time(self.now), fetch, apps);
        if apps.is_some() {
            let mut up = vec![false; self.machines.len()];
            for machine in view.all_up(VIP).into_iter().filter_map(discovery::machine) {
                if let Some(up) = up.get_mut(machine) {
                    *up = true;
                }
            }
            for (machine, up) in up.into_iter().enumerate() {
                if self.proxies[proxy].lists(machine as u32) != up {
                    self.proxies[proxy].list(machine as u32, up);
                }
            }
        }
        self.plan_fetch(proxy);
    }
}
