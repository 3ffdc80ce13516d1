//! A client's view of a fleet through a registry. The view is updated by full fetches and deltas, and stays as it is while the
//! registry is unavailable. If a full fetch lists far fewer instances than before, the missing ones are kept until later
//! fetches confirm the loss.
//!
//! No I/O: [`View::poll`] returns the next fetch, [`View::fetched`] takes the reply, [`View::pick`] chooses an instance. A
//! registry may hold 10,000 instances, so the table of instances is compact.

mod table;

use crate::backoff::Backoff;
use crate::instance::{ActionType, Applications, InstanceStatus, hash_code};
use gradepin_admission::{Span, Time, time_after};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::HashSet;
use std::net::SocketAddr;
use table::{Entry, InstanceTable};

/// Settings of a view.
#[derive(Debug, Clone)]
pub struct ViewSettings {
    /// Interval between fetches.
    pub refresh: Span,
    /// Delay after the first failed fetch; it doubles up to `refresh`.
    pub retry: Span,
    /// A full fetch that lists less than this fraction of the instances that were up isn't trusted at once.
    pub min_remaining_share: f64,
    /// How long later fetches must confirm such a loss until it is trusted.
    pub confirmation_period: Span,
    /// The client's own zone, whose instances are preferred; `None` for no preference.
    pub zone: Option<String>,
    /// The fraction of all available instances that must be in the own zone for it to be preferred. Without this bound the
    /// last available instance of a zone would get the load of the whole zone.
    pub min_zone_share: f64,
}

impl Default for ViewSettings {
    fn default() -> Self {
        Self {
            refresh: Span(30_000_000_000),
            retry: Span(500_000_000),
            min_remaining_share: 0.5,
            confirmation_period: Span(90_000_000_000),
            zone: None,
            min_zone_share: 0.1,
        }
    }
}

/// A fetch from a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fetch {
    /// All instances.
    Full,
    /// The recent changes.
    Delta,
}

/// An instance chosen by [`View::pick`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Picked<'a> {
    /// The instance id.
    pub id: &'a str,
    /// The address to send requests to.
    pub address: SocketAddr,
    /// Whether the instance is in the client's own zone.
    pub in_own_zone: bool,
}

/// A full fetch that listed fewer instances than the view holds.
#[derive(Debug, Clone, Copy)]
struct Shrinkage {
    since: Time,
    /// The number of instances that the fetch listed as up.
    listed: usize,
}

/// The instances of a fleet, as a registry listed them and as far as the lists are trusted.
#[derive(Debug)]
pub struct View {
    settings: ViewSettings,
    rng: Pcg64Mcg,
    table: InstanceTable,
    /// Whether the next fetch must be full.
    needs_full_fetch: bool,
    fetching: bool,
    next_fetch: Time,
    backoff: Backoff,
    /// The last comparison of a full fetch with the view; cleared once its losses are accepted.
    shrinkage: Option<Shrinkage>,
    last_good: Option<Time>,
    mismatches: u64,
    full_fetches: u64,
}

impl View {
    /// An empty view, whose first full fetch is due at once. The seed randomizes delays and the choice of instances.
    pub fn new(settings: ViewSettings, seed: u64, now: Time) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            table: InstanceTable::default(),
            needs_full_fetch: true,
            fetching: false,
            next_fetch: now,
            backoff: Backoff::new(settings.retry, settings.refresh),
            shrinkage: None,
            last_good: None,
            mismatches: 0,
            full_fetches: 0,
            settings,
        }
    }

    /// The fetch that is due, if any. The caller must pass its outcome to [`View::fetched`].
    pub fn poll(&mut self, now: Time) -> Option<Fetch> {
        if self.fetching || now < self.next_fetch {
            return None;
        }
        self.fetching = true;
        Some(if self.needs_full_fetch { Fetch::Full } else { Fetch::Delta })
    }

    /// When the next fetch is due; `None` while one is in flight.
    pub fn wake_at(&self) -> Option<Time> {
        (!self.fetching).then_some(self.next_fetch)
    }

    /// Handles the outcome of a fetch; `None` if it failed, which leaves the instances unchanged.
    pub fn fetched(&mut self, now: Time, fetch: Fetch, reply: Option<&Applications>) {
        self.fetching = false;
        let Some(applications) = reply else {
            let mut rng = self.rng.clone();
            self.next_fetch = time_after(now, self.backoff.failed(&mut rng));
            self.rng = rng;
            return;
        };
        self.backoff.reset();
        self.last_good = Some(now);
        // Randomized, so that clients that started together don't fetch together.
        let spread = self.settings.refresh.0 / 10;
        let spread = if spread == 0 { 0 } else { self.rng.next_u64() % spread };
        self.next_fetch = time_after(now, Span(self.settings.refresh.0 - spread));
        match fetch {
            Fetch::Full => self.apply_full(now, applications),
            Fetch::Delta => self.apply_delta(now, applications),
        }
    }

    fn apply_full(&mut self, now: Time, fetched: &Applications) {
        self.full_fetches += 1;
        let missing = self.upsert_all(fetched);
        if self.is_sudden_shrinkage(now, &missing, fetched.instances.is_empty()) {
            for slot in missing {
                self.table.change(slot, |entry| entry.unconfirmed = true);
            }
            // Deltas don't mention the missing instances, so full fetches continue until they return or the loss is confirmed.
            self.needs_full_fetch = true;
            return;
        }
        for slot in missing {
            self.table.remove(slot);
        }
        self.shrinkage = None;
        self.needs_full_fetch = false;
        // The strings of removed instances stay in memory until the table is rebuilt.
        if self.table.strings.len() > 64 + 4 * fetched.instances.len() {
            self.table = InstanceTable::default();
            fetched.instances.iter().for_each(|instance| self.table.upsert(instance));
        }
    }

    /// Inserts or replaces all fetched instances; returns the slots of the instances that were not fetched.
    fn upsert_all(&mut self, fetched: &Applications) -> Vec<u32> {
        let mut listed = HashSet::new();
        for instance in &fetched.instances {
            self.table.upsert(instance);
            let app = self.table.strings.intern(&instance.app);
            listed.extend(self.table.find(app, &instance.id));
        }
        let is_missing = |slot: &u32| self.table.entry(*slot).is_some() && !listed.contains(slot);
        (0..self.table.slot_count()).filter(is_missing).collect()
    }

    /// Whether the fleet shrank so much at once that the loss isn't trusted yet. A registry that has just restarted, or that
    /// is cut off from the servers, lists only few of them.
    fn is_sudden_shrinkage(&mut self, now: Time, missing: &[u32], nothing_fetched: bool) -> bool {
        let was_up =
            |slot: &&u32| self.table.entry(**slot).is_some_and(|entry| entry.status == InstanceStatus::Up);
        let lost = missing.iter().filter(was_up).count();
        let up = self.table.entries().filter(|entry| entry.status == InstanceStatus::Up).count();
        let listed = up - lost;
        let is_sudden = lost > 0 && (listed as f64) < self.settings.min_remaining_share * up as f64;
        // While each fetch lists more instances than the one before, servers are still registering again.
        let since = match &self.shrinkage {
            Some(earlier) if listed <= earlier.listed => earlier.since,
            _ => now,
        };
        self.shrinkage = Some(Shrinkage { since, listed });
        is_sudden && (nothing_fetched || now < time_after(since, self.settings.confirmation_period))
    }

    fn apply_delta(&mut self, now: Time, delta: &Applications) {
        for instance in &delta.instances {
            let app = self.table.strings.intern(&instance.app);
            let known = self.table.find(app, &instance.id);
            let is_outdated = known
                .and_then(|slot| self.table.entry(slot))
                .is_some_and(|entry| entry.updated_ms > instance.updated_ms);
            match (instance.action, known) {
                // The registry's queue of changes may still contain changes from before the last full fetch.
                _ if is_outdated => {}
                (ActionType::Deleted, Some(slot)) => self.table.remove(slot),
                (ActionType::Deleted, None) => {}
                _ => self.table.upsert(instance),
            }
        }
        // An empty registry sends an empty code. The full fetch that this causes isn't trusted at once.
        if delta.hash_code != self.hash_code() {
            self.mismatches += 1;
            self.needs_full_fetch = true;
            self.next_fetch = now;
        }
    }

    /// The reconciliation code of the instances in the view.
    pub fn hash_code(&self) -> String {
        hash_code(self.table.entries().map(|entry| entry.status))
    }

    /// The number of instances in the view, unconfirmed ones included.
    pub fn len(&self) -> usize {
        self.table.entries().count()
    }

    /// Whether the view contains no instance.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The time since the last successful fetch; `None` before the first.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.last_good.map(|good| Span(now.0.saturating_sub(good.0)))
    }

    /// The number of deltas after which the reconciliation code differed from the registry's.
    pub fn mismatches(&self) -> u64 {
        self.mismatches
    }

    /// The number of full fetches that succeeded.
    pub fn full_fetches(&self) -> u64 {
        self.full_fetches
    }

    /// The status of an instance; `None` if the view doesn't contain it.
    pub fn status(&self, app: &str, id: &str) -> Option<InstanceStatus> {
        let app = self.table.strings.find(app)?;
        self.table.entry(self.table.find(app, id)?).map(|entry| entry.status)
    }

    /// Picks a random instance of a service name that is up: first in the own zone if it has enough available instances, then
    /// in any zone, then among the instances whose loss is unconfirmed. Instances for which `avoided` returns true are the last
    /// choice. Instances that are down, starting or out of service are never chosen.
    pub fn pick(&mut self, vip: &str, avoided: impl Fn(SocketAddr) -> bool) -> Option<Picked<'_>> {
        let vip = self.table.strings.find(vip)?;
        let own_zone = self.own_zone();
        let preferred = own_zone.filter(|&zone| self.has_enough_in(vip, zone));
        let start = self.rng.next_u64() as usize;
        let table = &self.table;
        let is_up = |entry: &Entry| entry.status == InstanceStatus::Up;
        let is_wanted = |entry: &Entry| entry.is_available() && !avoided(entry.address);
        let found = preferred
            .and_then(|zone| table.pick(vip, Some(zone), start, is_wanted))
            .or_else(|| table.pick(vip, None, start, is_wanted))
            .or_else(|| table.pick(vip, None, start, |entry| is_up(entry) && !avoided(entry.address)))
            .or_else(|| table.pick(vip, None, start, is_up));
        let entry = table.entry(found?)?;
        Some(Picked { id: &entry.id, address: entry.address, in_own_zone: Some(entry.zone) == own_zone })
    }

    /// The addresses of all instances of a service name that are up, for clients that try them in order: confirmed instances
    /// first, and among them those in the own zone.
    pub fn all_up(&self, vip: &str) -> Vec<SocketAddr> {
        let Some(vip) = self.table.strings.find(vip) else { return Vec::new() };
        let own_zone = self.own_zone();
        let up = self.table.entries().filter(|entry| entry.vip == vip && entry.status == InstanceStatus::Up);
        let mut entries: Vec<&Entry> = up.collect();
        entries.sort_by_key(|entry| (entry.unconfirmed, Some(entry.zone) != own_zone, entry.address));
        entries.iter().map(|entry| entry.address).collect()
    }

    fn own_zone(&self) -> Option<u32> {
        self.table.strings.find(self.settings.zone.as_ref()?)
    }

    fn has_enough_in(&self, vip: u32, zone: u32) -> bool {
        let in_zone = self.table.available(vip, Some(zone)) as f64;
        in_zone > 0.0 && in_zone >= self.settings.min_zone_share * self.table.available(vip, None) as f64
    }

    /// The approximate number of bytes that the view has on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.table.heap_bytes()
    }
}
