//! Slots for named definitions: found by a hash of the name, counted while something refers to them, and used again for another
//! name once nothing does.
//!
//! A [`Handle`] names a slot and the generation of its definition. One that was read before the slot was used again resolves to
//! nothing, so a request on its way can't be taken for another name's. Every operation costs the same however many slots there
//! are; the table of names is split, since a map that grows moves all it holds.

use gradepin_admission::{ClassDefinition, Tenant};
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};
use std::sync::Arc;

/// Parts of the table of names. With 131,072 names one of them moves some 2,000 when it grows.
pub const SHARD_COUNT: usize = 64;

/// Refers to a definition by its slot and the generation of that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Handle {
    slot: u32,
    generation: u32,
}

impl Handle {
    /// The slot.
    pub fn slot(self) -> usize {
        self.slot as usize
    }
}

/// The first generation of a slot. The settings of the start fill slots in their order.
impl From<usize> for Handle {
    fn from(slot: usize) -> Self {
        Self { slot: u32::try_from(slot).unwrap_or(u32::MAX), generation: 0 }
    }
}

/// A definition with a name that it is found by.
pub trait Named {
    /// The name.
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

/// A definition as the key of a map: equal and hashed by its name, which is stored once.
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

/// What a filled slot holds.
#[derive(Debug)]
struct Filled<D, S> {
    definition: Arc<D>,
    state: S,
}

/// A slot.
#[derive(Debug)]
struct Entry<D, S> {
    generation: u32,
    /// Count of what refers to it.
    references: u32,
    /// None where the slot is free.
    filled: Option<Filled<D, S>>,
}

/// A slot that is not free.
#[derive(Debug)]
pub struct FilledSlot<'a, D, S> {
    /// Its number.
    pub slot: usize,
    /// The definition in it.
    pub definition: &'a Arc<D>,
    /// The state of that.
    pub state: &'a S,
}

/// The slots of one kind of definition, each with a state that its owner defines.
#[derive(Debug)]
pub struct Slots<D, S> {
    entries: Vec<Entry<D, S>>,
    free: Vec<u32>,
    parts: Vec<HashMap<ByName<D>, u32>>,
    hash: RandomState,
}

impl<D: Named, S> Default for Slots<D, S> {
    fn default() -> Self {
        let parts = (0..SHARD_COUNT).map(|_| HashMap::new()).collect();
        Self { entries: Vec::new(), free: Vec::new(), parts, hash: RandomState::new() }
    }
}

impl<D: Named, S> Slots<D, S> {
    fn part(&self, name: &str) -> usize {
        self.hash.hash_one(name) as usize % SHARD_COUNT
    }

    /// How many slots were ever filled.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no slot was ever filled.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many of the slots are free now.
    pub fn free(&self) -> usize {
        self.free.len()
    }

    /// The slot of a name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.parts[self.part(name)].get(name).map(|slot| *slot as usize)
    }

    /// The slot that a handle refers to, unless it was freed since.
    pub fn resolve(&self, handle: Handle) -> Option<usize> {
        let entry = self.entries.get(handle.slot())?;
        (entry.generation == handle.generation && entry.filled.is_some()).then_some(handle.slot())
    }

    /// The handle of the definition in a slot.
    pub fn handle(&self, slot: usize) -> Handle {
        let generation = self.entries.get(slot).map_or(0, |entry| entry.generation);
        Handle { slot: slot as u32, generation }
    }

    /// The definition in a slot, with its state.
    pub fn get(&self, slot: usize) -> Option<(&Arc<D>, &S)> {
        let filled = self.entries.get(slot)?.filled.as_ref()?;
        Some((&filled.definition, &filled.state))
    }

    /// The state of the definition in a slot, to be changed.
    pub fn state_mut(&mut self, slot: usize) -> Option<&mut S> {
        self.entries.get_mut(slot)?.filled.as_mut().map(|filled| &mut filled.state)
    }

    /// Fills a free slot, or else a new one, with a name that has none yet.
    pub fn insert(&mut self, definition: Arc<D>, state: S) -> usize {
        let slot = match self.free.pop() {
            Some(slot) => slot as usize,
            None => {
                self.entries.push(Entry { generation: 0, references: 0, filled: None });
                self.entries.len() - 1
            }
        };
        let part = self.part(definition.name());
        let replaced = self.parts[part].insert(ByName(Arc::clone(&definition)), slot as u32);
        debug_assert!(replaced.is_none(), "a name has one slot");
        self.entries[slot].filled = Some(Filled { definition, state });
        slot
    }

    /// Puts another definition of the same name into a slot. Returns the one before.
    pub fn replace(&mut self, slot: usize, definition: Arc<D>) -> Option<Arc<D>> {
        let part = self.part(definition.name());
        let filled = self.entries.get_mut(slot)?.filled.as_mut()?;
        debug_assert_eq!(filled.definition.name(), definition.name());
        let old = std::mem::replace(&mut filled.definition, Arc::clone(&definition));
        self.parts[part].remove(definition.name());
        self.parts[part].insert(ByName(definition), slot as u32);
        Some(old)
    }

    /// Frees a slot that nothing refers to. Returns what it held.
    pub fn remove(&mut self, slot: usize) -> Option<(Arc<D>, S)> {
        let entry = self.entries.get_mut(slot).filter(|entry| entry.references == 0)?;
        let Filled { definition, state } = entry.filled.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        let part = self.part(definition.name());
        self.parts[part].remove(definition.name());
        self.free.push(slot as u32);
        Some((definition, state))
    }

    /// Something refers to a slot from now on.
    pub fn acquire(&mut self, slot: usize) {
        if let Some(entry) = self.entries.get_mut(slot) {
            entry.references += 1;
        }
    }

    /// Something no longer refers to a slot. Returns whether nothing does now.
    pub fn release(&mut self, slot: usize) -> bool {
        let Some(entry) = self.entries.get_mut(slot) else { return false };
        debug_assert!(entry.references > 0, "released more often than acquired");
        entry.references = entry.references.saturating_sub(1);
        entry.references == 0
    }

    /// Whether anything refers to a slot.
    pub fn is_referred_to(&self, slot: usize) -> bool {
        self.entries.get(slot).is_some_and(|entry| entry.references > 0)
    }

    /// The filled slots, in their order.
    pub fn iter(&self) -> impl Iterator<Item = FilledSlot<'_, D, S>> {
        self.entries.iter().enumerate().filter_map(|(slot, entry)| {
            let Filled { definition, state } = entry.filled.as_ref()?;
            Some(FilledSlot { slot, definition, state })
        })
    }
}
