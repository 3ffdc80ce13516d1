//! Slots for named definitions. A slot is found by a hash of the name, counts its references, and can be reused for
//! another name once nothing refers to it.
//!
//! A [`Handle`] identifies a slot and the generation of its definition. A handle from before the slot was reused
//! resolves to `None`, so that a request in transit can't be mistaken for one of another name. The cost of each
//! operation does not depend on the number of slots. The table of names is split into shards, since a map that grows
//! moves all its entries.

use gradepin_admission::{ClassDefinition, Tenant};
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};
use std::sync::Arc;

/// Number of shards of the table of names. With 131,072 names, growing one shard moves about 2,000 entries.
pub const SHARD_COUNT: usize = 64;

/// Reference to a definition by slot and generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Handle {
    slot: u32,
    generation: u32,
}

impl Handle {
    /// Index of the slot, whether or not the handle is still valid.
    pub fn slot(self) -> usize {
        self.slot as usize
    }
}

/// The first generation of a slot. The initial settings fill the slots in order.
impl From<usize> for Handle {
    fn from(slot: usize) -> Self {
        Self { slot: u32::try_from(slot).unwrap_or(u32::MAX), generation: 0 }
    }
}

/// A definition that is found by its name.
pub trait Named {
    /// Unique name among definitions of the same kind.
    fn name(&self) -> &str;
}

impl Named for ClassDefinition {
    fn name(&self) -> &str {
        &self.profile.name
    }
}

impl Named for Tenant {
    fn name(&self) -> &str {
        &self.name
    }
}

/// A definition as a map key, which is compared and hashed by its name, so that the name is stored once.
#[derive(Debug, Clone)]
pub struct ByName<D>(pub Arc<D>);

impl<D: Named> PartialEq for ByName<D> {
    fn eq(&self, other: &Self) -> bool {
        self.0.name() == other.0.name()
    }
}

impl<D: Named> Eq for ByName<D> {}

impl<D: Named> Hash for ByName<D> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.name().hash(state);
    }
}

impl<D: Named> Borrow<str> for ByName<D> {
    fn borrow(&self) -> &str {
        self.0.name()
    }
}

/// Content of a filled slot.
#[derive(Debug)]
struct Filled<D, S> {
    definition: Arc<D>,
    state: S,
}

/// A slot, filled or free.
#[derive(Debug)]
struct Entry<D, S> {
    generation: u32,
    /// Number of references to the slot.
    references: u32,
    /// `None` if the slot is free.
    filled: Option<Filled<D, S>>,
}

/// A filled slot, as returned by [`Slots::iter`].
#[derive(Debug)]
pub struct FilledSlot<'a, D, S> {
    /// Index of the slot.
    pub slot: usize,
    /// Definition in the slot.
    pub definition: &'a Arc<D>,
    /// State of the definition.
    pub state: &'a S,
}

/// The slots of one kind of definition, each with a state that the owner of the slots defines.
#[derive(Debug)]
pub struct Slots<D, S> {
    entries: Vec<Entry<D, S>>,
    free: Vec<u32>,
    shards: Vec<HashMap<ByName<D>, u32>>,
    hash: RandomState,
}

impl<D: Named, S> Default for Slots<D, S> {
    fn default() -> Self {
        let shards = (0..SHARD_COUNT).map(|_| HashMap::new()).collect();
        Self { entries: Vec::new(), free: Vec::new(), shards, hash: RandomState::new() }
    }
}

impl<D: Named, S> Slots<D, S> {
    fn shard_index(&self, name: &str) -> usize {
        self.hash.hash_one(name) as usize % SHARD_COUNT
    }

    /// Number of slots that were ever filled.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no slot was ever filled.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of those slots that are free now.
    pub fn free(&self) -> usize {
        self.free.len()
    }

    /// Returns the slot of a name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.shards[self.shard_index(name)].get(name).map(|slot| *slot as usize)
    }

    /// Returns the slot that a handle refers to, unless the slot was freed since.
    pub fn resolve(&self, handle: Handle) -> Option<usize> {
        let entry = self.entries.get(handle.slot())?;
        (entry.generation == handle.generation && entry.filled.is_some()).then_some(handle.slot())
    }

    /// Returns the handle of the definition in a slot.
    pub fn handle(&self, slot: usize) -> Handle {
        let generation = self.entries.get(slot).map_or(0, |entry| entry.generation);
        Handle { slot: slot as u32, generation }
    }

    /// Returns the definition in a slot, with its state.
    pub fn get(&self, slot: usize) -> Option<(&Arc<D>, &S)> {
        let filled = self.entries.get(slot)?.filled.as_ref()?;
        Some((&filled.definition, &filled.state))
    }

    /// Returns a mutable reference to the state in a slot.
    pub fn state_mut(&mut self, slot: usize) -> Option<&mut S> {
        self.entries.get_mut(slot)?.filled.as_mut().map(|filled| &mut filled.state)
    }

    /// Fills a free slot, or else a new one, with a definition whose name has no slot yet. Returns the slot.
    pub fn insert(&mut self, definition: Arc<D>, state: S) -> usize {
        let slot = match self.free.pop() {
            Some(slot) => slot as usize,
            None => {
                self.entries.push(Entry { generation: 0, references: 0, filled: None });
                self.entries.len() - 1
            }
        };
        let shard = self.shard_index(definition.name());
        let replaced = self.shards[shard].insert(ByName(Arc::clone(&definition)), slot as u32);
        debug_assert!(replaced.is_none(), "a name has one slot");
        self.entries[slot].filled = Some(Filled { definition, state });
        slot
    }

    /// Replaces a definition by another one of the same name. Returns the former one.
    pub fn replace(&mut self, slot: usize, definition: Arc<D>) -> Option<Arc<D>> {
        let shard = self.shard_index(definition.name());
        let filled = self.entries.get_mut(slot)?.filled.as_mut()?;
        debug_assert_eq!(filled.definition.name(), definition.name());
        let old = std::mem::replace(&mut filled.definition, Arc::clone(&definition));
        self.shards[shard].remove(definition.name());
        self.shards[shard].insert(ByName(definition), slot as u32);
        Some(old)
    }

    /// Frees a slot that nothing refers to. Returns its content.
    pub fn remove(&mut self, slot: usize) -> Option<(Arc<D>, S)> {
        let entry = self.entries.get_mut(slot).filter(|entry| entry.references == 0)?;
        let Filled { definition, state } = entry.filled.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        let shard = self.shard_index(definition.name());
        self.shards[shard].remove(definition.name());
        self.free.push(slot as u32);
        Some((definition, state))
    }

    /// Adds a reference to a slot.
    pub fn acquire(&mut self, slot: usize) {
        if let Some(entry) = self.entries.get_mut(slot) {
            entry.references += 1;
        }
    }

    /// Removes a reference from a slot. Returns whether nothing refers to it now.
    pub fn release(&mut self, slot: usize) -> bool {
        let Some(entry) = self.entries.get_mut(slot) else { return false };
        debug_assert!(entry.references > 0, "released more often than acquired");
        entry.references = entry.references.saturating_sub(1);
        entry.references == 0
    }

    /// Whether anything refers to a slot.
    pub fn is_referenced(&self, slot: usize) -> bool {
        self.entries.get(slot).is_some_and(|entry| entry.references > 0)
    }

    /// Iterates over the filled slots in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = FilledSlot<'_, D, S>> {
        self.entries.iter().enumerate().filter_map(|(slot, entry)| {
            let Filled { definition, state } = entry.filled.as_ref()?;
            Some(FilledSlot { slot, definition, state })
        })
    }
}
