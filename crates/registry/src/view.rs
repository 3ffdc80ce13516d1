//! A fleet as a caller sees it through a registry: kept up by full fetches and deltas, doubted where it shrinks all at
//! once, and kept where the registry is away.
//!
//! No I/O: [`View::poll`] says what to fetch, [`View::fetched`] takes what came, [`View::pick`] chooses an instance.
//! What a registry holds may be 10,000 instances, so an entry is compact: words that repeat (applications, names, zones)
//! are kept once, and what a caller doesn't go by is not kept at all.

use crate::backoff::Backoff;
use crate::instance::{ActionType, Applications, Instance, InstanceStatus, hash_code};
use gradepin_admission::{Span, Time, time_after};
use hashbrown::HashTable;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Slots looked at from a random start before a whole group is searched.
const TRIES: usize = 8;

/// How a view behaves.
#[derive(Debug, Clone)]
pub struct ViewSettings {
    /// Between fetches.
    pub refresh: Span,
    /// Between fetches after one that failed, at first.
    pub retry: Span,
    /// A full fetch that leaves less than this part of the instances that were up is doubted.
    pub least_left: f64,
    /// How long it is doubted, while later fetches say the same.
    pub doubt: Span,
    /// The zone whose instances are chosen first; none to choose among all alike.
    pub zone: Option<String>,
    /// The part of all instances that must be up in that zone for it to be chosen first. Guards against a zone's last
    /// instance that would get what a whole zone took.
    pub least_in_zone: f64,
}

impl Default for ViewSettings {
    fn default() -> Self {
        Self {
            refresh: Span(30_000_000_000),
            retry: Span(500_000_000),
            least_left: 0.5,
            doubt: Span(90_000_000_000),
            zone: None,
            least_in_zone: 0.1,
        }
    }
}

/// What is to be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fetch {
    /// Everything.
    Full,
    /// What changed of late.
    Delta,
}

/// Words kept once.
#[derive(Debug, Default)]
struct Words {
    places: HashMap<Box<str>, u32>,
    words: Vec<Box<str>>,
}

impl Words {
    fn place(&mut self, word: &str) -> u32 {
        if let Some(&place) = self.places.get(word) {
            return place;
        }
        let place = u32::try_from(self.words.len()).unwrap_or(u32::MAX);
        self.words.push(word.into());
        self.places.insert(word.into(), place);
        place
    }
}

/// An instance, as far as a caller goes by it.
#[derive(Debug, Clone)]
struct Entry {
    id: Box<str>,
    address: SocketAddr,
    updated_ms: u64,
    app: u32,
    vip: u32,
    zone: u32,
    status: InstanceStatus,
    /// The registry no longer tells it, and that is not believed yet.
    doubted: bool,
}

/// An instance chosen by [`View::pick`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Picked<'a> {
    /// Its id.
    pub id: &'a str,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether it is in the caller's zone.
    pub near: bool,
}

/// The entries and the ways to find them.
#[derive(Debug, Default)]
struct Table {
    words: Words,
    slots: Vec<Option<Entry>>,
    free: Vec<u32>,
    /// Slots by application and id.
    by_id: HashTable<u32>,
    /// By name and zone.
    groups: BTreeMap<(u32, u32), Group>,
}

/// The instances of one name in one zone.
#[derive(Debug, Default)]
struct Group {
    slots: Vec<u32>,
    /// How many of them are up and not doubted.
    up: usize,
}

fn id_hash(app: u32, id: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (app, id).hash(&mut hasher);
    hasher.finish()
}

impl Entry {
    fn good(&self) -> bool {
        self.status == InstanceStatus::Up && !self.doubted
    }
}

impl Table {
    fn find(&self, app: u32, id: &str) -> Option<u32> {
        let is = |slot: &u32| self.entry(*slot).is_some_and(|entry| entry.app == app && *entry.id == *id);
        self.by_id.find(id_hash(app, id), is).copied()
    }

    fn entry(&self, slot: u32) -> Option<&Entry> {
        self.slots.get(slot as usize)?.as_ref()
    }

    fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.slots.iter().flatten()
    }

    fn insert(&mut self, entry: Entry) {
        let key = id_hash(entry.app, &entry.id);
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
        });
        let group = self.groups.entry((entry.vip, entry.zone)).or_default();
        group.slots.push(slot);
        group.up += usize::from(entry.good());
        self.slots[slot as usize] = Some(entry);
        let slots = &self.slots;
        let hash =
            |slot: &u32| slots[*slot as usize].as_ref().map_or(0, |entry| id_hash(entry.app, &entry.id));
        self.by_id.insert_unique(key, slot, hash);
    }

    fn remove(&mut self, slot: u32) {
        let Some(entry) = self.slots[slot as usize].take() else { return };
        if let Ok(found) = self.by_id.find_entry(id_hash(entry.app, &entry.id), |&other| other == slot) {
            found.remove();
        }
        if let Some(group) = self.groups.get_mut(&(entry.vip, entry.zone)) {
            group.slots.retain(|&other| other != slot);
            group.up -= usize::from(entry.good());
            if group.slots.is_empty() {
                self.groups.remove(&(entry.vip, entry.zone));
            }
        }
        self.free.push(slot);
    }

    /// Changes an entry that stays in its group.
    fn change(&mut self, slot: u32, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.slots[slot as usize].as_mut() else { return };
        let was = entry.good();
        change(entry);
        if let Some(group) = self.groups.get_mut(&(entry.vip, entry.zone)) {
            group.up = group.up + usize::from(entry.good()) - usize::from(was);
        }
    }

    /// The groups of a name, in one zone or in all.
    fn of(&self, vip: u32, zone: Option<u32>) -> impl Iterator<Item = &Group> {
        let range = (vip, zone.unwrap_or(0))..=(vip, zone.unwrap_or(u32::MAX));
        self.groups.range(range).map(|(_, group)| group)
    }

    /// Takes an instance in, in place of what was known of it.
    fn put(&mut self, instance: &Instance) {
        let (app, vip) = (self.words.place(&instance.app), self.words.place(&instance.vip));
        let zone = self.words.place(instance.zone().unwrap_or_default());
        let ip =
            instance.ip.or_else(|| instance.host.parse().ok()).unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        let entry = Entry {
            id: instance.id.as_str().into(),
            address: SocketAddr::new(ip, instance.port.number),
            updated_ms: instance.updated_ms,
            app,
            vip,
            zone,
            status: instance.status,
            doubted: false,
        };
        match self.find(app, &instance.id) {
            Some(slot) if self.entry(slot).is_some_and(|old| (old.vip, old.zone) == (vip, zone)) => {
                self.change(slot, |old| *old = entry);
            }
            Some(slot) => {
                self.remove(slot);
                self.insert(entry);
            }
            None => self.insert(entry),
        }
    }
}

/// A fleet as a registry tells it. See the module's own page.
#[derive(Debug)]
pub struct View {
    set: ViewSettings,
    rng: Pcg64Mcg,
    table: Table,
    /// Whether the next fetch must be a full one.
    whole: bool,
    fetching: bool,
    next_fetch: Time,
    backoff: Backoff,
    /// Since when the registry tells too few, and how many it told.
    doubts: Option<(Time, usize)>,
    last_good: Option<Time>,
    mismatches: u64,
    full_fetches: u64,
}

impl View {
    /// An empty view, to be filled by a full fetch at once.
    pub fn new(set: ViewSettings, seed: u64, now: Time) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            table: Table::default(),
            whole: true,
            fetching: false,
            next_fetch: now,
            backoff: Backoff::new(set.retry, set.refresh),
            doubts: None,
            last_good: None,
            mismatches: 0,
            full_fetches: 0,
            set,
        }
    }

    /// What to fetch now, if anything. Its end must be told by [`View::fetched`].
    pub fn poll(&mut self, now: Time) -> Option<Fetch> {
        if self.fetching || now < self.next_fetch {
            return None;
        }
        self.fetching = true;
        Some(if self.whole { Fetch::Full } else { Fetch::Delta })
    }

    /// When the next fetch is due.
    pub fn wake_at(&self) -> Option<Time> {
        (!self.fetching).then_some(self.next_fetch)
    }

    /// What a fetch brought; none if it failed, and then the view stays as it was.
    pub fn fetched(&mut self, now: Time, fetch: Fetch, came: Option<&Applications>) {
        self.fetching = false;
        let Some(came) = came else {
            let mut rng = self.rng.clone();
            self.next_fetch = time_after(now, self.backoff.failed(&mut rng));
            self.rng = rng;
            return;
        };
        self.backoff.reset();
        self.last_good = Some(now);
        // Of random length, so that callers that started together don't ask together.
        let spread = self.set.refresh.0 / 10;
        let spread = if spread == 0 { 0 } else { self.rng.next_u64() % spread };
        self.next_fetch = time_after(now, Span(self.set.refresh.0 - spread));
        match fetch {
            Fetch::Full => self.full(now, came),
            Fetch::Delta => self.delta(now, came),
        }
    }

    fn full(&mut self, now: Time, came: &Applications) {
        self.full_fetches += 1;
        let mut listed = HashSet::new();
        for instance in &came.instances {
            self.table.put(instance);
            let app = self.table.words.place(&instance.app);
            listed.extend(self.table.find(app, &instance.id));
        }
        let gone: Vec<u32> = (0..self.table.slots.len() as u32)
            .filter(|slot| self.table.entry(*slot).is_some() && !listed.contains(slot))
            .collect();
        let was_up =
            |slot: &&u32| self.table.entry(**slot).is_some_and(|entry| entry.status == InstanceStatus::Up);
        let lost = gone.iter().filter(was_up).count();
        let up = self.table.entries().filter(|entry| entry.status == InstanceStatus::Up).count();
        // What a registry tells that has just restarted, or was cut off from its servers, is no news of the fleet.
        let sudden = lost > 0 && ((up - lost) as f64) < self.set.least_left * up as f64;
        // While it still tells more each time, its servers are coming back to it.
        let told = up - lost;
        let since = match self.doubts {
            Some((since, before)) if told <= before => since,
            _ => now,
        };
        self.doubts = Some((since, told));
        let empty = came.instances.is_empty();
        if sudden && (empty || now < time_after(since, self.set.doubt)) {
            for slot in gone {
                self.table.change(slot, |entry| entry.doubted = true);
            }
            // A delta says nothing of those: all is asked for until they are back, or gone for long enough.
            self.whole = true;
            return;
        }
        for slot in gone {
            self.table.remove(slot);
        }
        self.doubts = None;
        self.whole = false;
        // Words of instances long gone stay until the table is made anew.
        if self.table.words.words.len() > 64 + 4 * came.instances.len() {
            self.table = Table::default();
            came.instances.iter().for_each(|instance| self.table.put(instance));
        }
    }

    fn delta(&mut self, now: Time, came: &Applications) {
        for instance in &came.instances {
            let app = self.table.words.place(&instance.app);
            let known = self.table.find(app, &instance.id);
            let newer = known
                .and_then(|slot| self.table.entry(slot))
                .is_some_and(|entry| entry.updated_ms > instance.updated_ms);
            match (instance.action, known) {
                // A registry's queue still holds what a full fetch has overtaken.
                _ if newer => {}
                (ActionType::Deleted, Some(slot)) => self.table.remove(slot),
                (ActionType::Deleted, None) => {}
                _ => self.table.put(instance),
            }
        }
        // An empty registry's code is empty too: it must be asked for everything, and then is doubted.
        if came.hash_code != self.hash_code() {
            self.mismatches += 1;
            self.whole = true;
            self.next_fetch = now;
        }
    }

    /// The reconciliation code of what is held.
    pub fn hash_code(&self) -> String {
        hash_code(self.table.entries().map(|entry| entry.status))
    }

    /// How many instances are held.
    pub fn len(&self) -> usize {
        self.table.entries().count()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How long ago the registry last told something usable.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.last_good.map(|good| Span(now.0.saturating_sub(good.0)))
    }

    /// Deltas after which the code was not the registry's.
    pub fn mismatches(&self) -> u64 {
        self.mismatches
    }

    /// Full fetches so far.
    pub fn full_fetches(&self) -> u64 {
        self.full_fetches
    }

    /// The state of an instance.
    pub fn status(&self, app: &str, id: &str) -> Option<InstanceStatus> {
        let app = *self.table.words.places.get(app)?;
        self.table.entry(self.table.find(app, id)?).map(|entry| entry.status)
    }

    /// An instance that is up under a name, chosen at random: in the own zone while enough of it is up, then among all,
    /// then among those that the registry suddenly no longer tells. Those that are `avoided` come only after all
    /// others. Instances that are down, starting or out of service are never chosen.
    pub fn pick(&mut self, vip: &str, avoided: impl Fn(SocketAddr) -> bool) -> Option<Picked<'_>> {
        let vip = *self.table.words.places.get(vip)?;
        let own = self.set.zone.as_ref().and_then(|zone| self.table.words.places.get(zone.as_str())).copied();
        let near = own.filter(|&zone| self.enough_in(vip, zone));
        let start = self.rng.next_u64() as usize;
        let table = &self.table;
        let found = near
            .and_then(|zone| table.any(vip, Some(zone), start, |e| e.good() && !avoided(e.address)))
            .or_else(|| table.any(vip, None, start, |e| e.good() && !avoided(e.address)))
            .or_else(|| {
                table.any(vip, None, start, |e| e.status == InstanceStatus::Up && !avoided(e.address))
            })
            .or_else(|| table.any(vip, None, start, |e| e.status == InstanceStatus::Up));
        let entry = table.entry(found?)?;
        Some(Picked { id: &entry.id, address: entry.address, near: Some(entry.zone) == own })
    }

    /// All instances that are up under a name, nearest first, for callers that walk a list.
    pub fn all_up(&self, vip: &str) -> Vec<SocketAddr> {
        let Some(&vip) = self.table.words.places.get(vip) else { return Vec::new() };
        let own = self.set.zone.as_ref().and_then(|zone| self.table.words.places.get(zone.as_str())).copied();
        let up = self.table.entries().filter(|entry| entry.vip == vip && entry.status == InstanceStatus::Up);
        let mut all: Vec<&Entry> = up.collect();
        all.sort_by_key(|entry| (entry.doubted, Some(entry.zone) != own, entry.address));
        all.iter().map(|entry| entry.address).collect()
    }

    fn enough_in(&self, vip: u32, zone: u32) -> bool {
        let up = |zone| self.table.of(vip, zone).map(|group| group.up).sum::<usize>() as f64;
        up(Some(zone)) > 0.0 && up(Some(zone)) >= self.set.least_in_zone * up(None)
    }

    /// Bytes that the view takes on the heap, as far as its own structures tell.
    pub fn heap_bytes(&self) -> usize {
        let word = |word: &str| word.len() + 16;
        let entries: usize = self.table.entries().map(|entry| entry.id.len()).sum();
        let words: usize = self.table.words.words.iter().map(|w| 2 * word(w) + 4).sum();
        let groups: usize = self.table.groups.values().map(|group| 48 + 4 * group.slots.capacity()).sum();
        let slots = self.table.slots.capacity() * size_of::<Option<Entry>>();
        // A slot number and a byte of the hash for each.
        slots + entries + words + groups + self.table.by_id.capacity() * 5
    }
}

impl Table {
    /// A slot of the name, in one zone or in any, that is as asked, from a random start on.
    fn any(&self, vip: u32, zone: Option<u32>, start: usize, good: impl Fn(&Entry) -> bool) -> Option<u32> {
        let groups: Vec<&Vec<u32>> = self.of(vip, zone).map(|group| &group.slots).collect();
        let total: usize = groups.iter().map(|slots| slots.len()).sum();
        if total == 0 {
            return None;
        }
        let at = |n: usize| {
            let mut n = n % total;
            for slots in &groups {
                if n < slots.len() {
                    return slots[n];
                }
                n -= slots.len();
            }
            u32::MAX
        };
        let is = |slot: &u32| self.entry(*slot).is_some_and(&good);
        // From starts spread over all, so that the one behind many that are not up gets no more than its part.
        let spread = (0..TRIES).map(|n| at(start.wrapping_add(n.wrapping_mul(0x9e37_79b9)))).find(is);
        spread.or_else(|| (0..total).map(|n| at(start.wrapping_add(n))).find(is))
    }
}
