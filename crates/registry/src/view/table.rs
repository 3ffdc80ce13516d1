//! A compact table of the instances in a view. Repeated strings (applications, service names, zones) are stored once, and
//! fields that clients don't use are not stored.

use crate::instance::{Instance, InstanceStatus};
use hashbrown::HashTable;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Number of random entries that are tried before all entries are searched.
const RANDOM_PICKS: usize = 8;

/// Interned strings, each identified by its index.
#[derive(Debug, Default)]
pub(super) struct StringPool {
    index: HashMap<Box<str>, u32>,
    strings: Vec<Box<str>>,
}

impl StringPool {
    /// The index of a string; adds the string if it is new.
    pub(super) fn intern(&mut self, text: &str) -> u32 {
        if let Some(&index) = self.index.get(text) {
            return index;
        }
        let index = u32::try_from(self.strings.len()).unwrap_or(u32::MAX);
        self.strings.push(text.into());
        self.index.insert(text.into(), index);
        index
    }

    /// The index of a string; `None` if it was never added.
    pub(super) fn find(&self, text: &str) -> Option<u32> {
        self.index.get(text).copied()
    }

    /// The number of distinct strings.
    pub(super) fn len(&self) -> usize {
        self.strings.len()
    }

    /// The approximate number of bytes on the heap.
    fn heap_bytes(&self) -> usize {
        let header = 16;
        self.strings.iter().map(|text| 2 * (text.len() + header) + 4).sum()
    }
}

/// The fields of an instance that clients use. Application, service name and zone are indexes in the [`StringPool`].
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub id: Box<str>,
    pub address: SocketAddr,
    pub updated_ms: u64,
    pub app: u32,
    pub vip: u32,
    pub zone: u32,
    pub status: InstanceStatus,
    /// Whether the registry no longer lists the instance and the loss isn't confirmed yet.
    pub unconfirmed: bool,
}

/// The instances of a view, with indexes by id and by service name and zone.
#[derive(Debug, Default)]
pub(super) struct InstanceTable {
    pub strings: StringPool,
    slots: Vec<Option<Entry>>,
    free: Vec<u32>,
    /// Slots by application and instance id.
    by_id: HashTable<u32>,
    /// Groups by service name and zone.
    groups: BTreeMap<(u32, u32), Group>,
}

/// The instances of one service name in one zone.
#[derive(Debug, Default)]
struct Group {
    slots: Vec<u32>,
    /// The number of instances in the group that are up and confirmed.
    up: usize,
}

fn id_hash(app: u32, id: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (app, id).hash(&mut hasher);
    hasher.finish()
}

impl Entry {
    /// Whether the instance is up and the registry still lists it.
    pub(super) fn is_available(&self) -> bool {
        self.status == InstanceStatus::Up && !self.unconfirmed
    }
}

impl InstanceTable {
    /// The slot of the instance with this application and id.
    pub(super) fn find(&self, app: u32, id: &str) -> Option<u32> {
        let matches =
            |slot: &u32| self.entry(*slot).is_some_and(|entry| entry.app == app && *entry.id == *id);
        self.by_id.find(id_hash(app, id), matches).copied()
    }

    /// The entry in a slot; `None` if the slot is free.
    pub(super) fn entry(&self, slot: u32) -> Option<&Entry> {
        self.slots.get(slot as usize)?.as_ref()
    }

    /// All entries, in the order of their slots.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
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
        group.up += usize::from(entry.is_available());
        self.slots[slot as usize] = Some(entry);
        let slots = &self.slots;
        let hash =
            |slot: &u32| slots[*slot as usize].as_ref().map_or(0, |entry| id_hash(entry.app, &entry.id));
        self.by_id.insert_unique(key, slot, hash);
    }

    /// Removes the entry in a slot.
    pub(super) fn remove(&mut self, slot: u32) {
        let Some(entry) = self.slots[slot as usize].take() else { return };
        if let Ok(found) = self.by_id.find_entry(id_hash(entry.app, &entry.id), |&other| other == slot) {
            found.remove();
        }
        if let Some(group) = self.groups.get_mut(&(entry.vip, entry.zone)) {
            group.slots.retain(|&other| other != slot);
            group.up -= usize::from(entry.is_available());
            if group.slots.is_empty() {
                self.groups.remove(&(entry.vip, entry.zone));
            }
        }
        self.free.push(slot);
    }

    /// Changes an entry in place; its service name and zone must stay the same.
    pub(super) fn change(&mut self, slot: u32, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.slots[slot as usize].as_mut() else { return };
        let was_available = entry.is_available();
        change(entry);
        if let Some(group) = self.groups.get_mut(&(entry.vip, entry.zone)) {
            group.up = group.up + usize::from(entry.is_available()) - usize::from(was_available);
        }
    }

    /// The groups of a service name, in one zone or in all.
    fn groups_of(&self, vip: u32, zone: Option<u32>) -> impl Iterator<Item = &Group> {
        let range = (vip, zone.unwrap_or(0))..=(vip, zone.unwrap_or(u32::MAX));
        self.groups.range(range).map(|(_, group)| group)
    }

    /// Inserts an instance, or replaces its entry if there is one.
    pub(super) fn upsert(&mut self, instance: &Instance) {
        let (app, vip) = (self.strings.intern(&instance.app), self.strings.intern(&instance.vip));
        let zone = self.strings.intern(instance.zone().unwrap_or_default());
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
            unconfirmed: false,
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

    /// A slot of the service name, in one zone or in any, whose entry is suitable. `start` is a random number.
    pub(super) fn pick(
        &self,
        vip: u32,
        zone: Option<u32>,
        start: usize,
        is_suitable: impl Fn(&Entry) -> bool,
    ) -> Option<u32> {
        let groups: Vec<&Vec<u32>> = self.groups_of(vip, zone).map(|group| &group.slots).collect();
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
        let matches = |slot: &u32| self.entry(*slot).is_some_and(&is_suitable);
        // Random tries come first: a linear search alone would prefer an entry that follows many unavailable ones.
        let spread =
            (0..RANDOM_PICKS).map(|n| at(start.wrapping_add(n.wrapping_mul(0x9e37_79b9)))).find(matches);
        spread.or_else(|| (0..total).map(|n| at(start.wrapping_add(n))).find(matches))
    }

    /// The number of available instances of a service name, in one zone or in all.
    pub(super) fn available(&self, vip: u32, zone: Option<u32>) -> usize {
        self.groups_of(vip, zone).map(|group| group.up).sum()
    }

    /// The number of slots, free ones included.
    pub(super) fn slot_count(&self) -> u32 {
        self.slots.len() as u32
    }

    /// The approximate number of bytes on the heap.
    pub(super) fn heap_bytes(&self) -> usize {
        let entries: usize = self.entries().map(|entry| entry.id.len()).sum();
        let groups: usize = self.groups.values().map(|group| 48 + 4 * group.slots.capacity()).sum();
        let slots = self.slots.capacity() * size_of::<Option<Entry>>();
        // The hash table has a slot number (4 bytes) and a control byte for each element.
        let by_id = self.by_id.capacity() * 5;
        slots + entries + self.strings.heap_bytes() + groups + by_id
    }
}
