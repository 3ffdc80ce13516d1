//! The classes in force. Each class keeps its slot while anything refers to it, so that open requests, idempotency keys
//! and counts, which refer to the class by slot, remain valid across changes.
//!
//! A removed class is first dropped. Its requests are still accepted for [`DROP_GRACE`], since client proxies learn of
//! new settings late, and rejected as unknown after that; open requests keep their class. The slot is freed once the
//! grace period is over, no request of the class is open, and no attempt can ask for a run under one of its keys. A
//! class that is put again before that gets its slot back.
//!
//! A class that changes from keyed to not keyed remains keyed for the admission module until the window of the last
//! attempt with a key is over ([`Classes::get`]): what ran under a key must not run again because the settings changed.
//! Meanwhile attempts without a key run according to the new settings.
//!
//! Invariants: a name has one slot; a slot that is referred to keeps its name; the cost of a change does not depend on
//! the number of classes. Whether a change is valid is checked elsewhere, and the admission module interprets the
//! definitions.

use crate::slots::{Handle, Slots};
use gradepin_admission::{ClassDefinition, ClassProfile, Idempotency, Settings, Span, Time, time_after};
use gradepin_config::change::MAX_CLASSES;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long requests of a dropped class are accepted. Client proxies use new settings 1.2 s after a reload, and
/// requests that were in transit arrive later.
pub const DROP_GRACE: Span = Span(2_500_000_000);
/// Maximum length of a class or tenant name, in bytes. One of each fits into a message together with the longest body
/// and all other fields at their longest. Guards against classes whose requests can't be read.
pub const MAX_NAME_BYTES: usize = 1_024;
/// Maximum number of class slots. Those beyond [`MAX_CLASSES`] are for dropped classes that are still referred to.
pub const MAX_CLASS_SLOTS: usize = 2 * MAX_CLASSES;

/// Why the class or tenant names of settings are invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NamesError {
    /// Two classes or two tenants have the same name.
    #[error("expected each name once in settings.{list}, got '{name}' twice")]
    Duplicate {
        /// Key of the list in the settings.
        list: &'static str,
        /// The duplicate name.
        name: String,
    },
    /// A name is longer than [`MAX_NAME_BYTES`], so that the longest body would not fit into a message of a client
    /// proxy.
    #[error("expected names of at most {MAX_NAME_BYTES} bytes in settings.{list}, got {got} in '{start}..'")]
    TooLong {
        /// Key of the list in the settings.
        list: &'static str,
        /// First 40 characters of the name.
        start: String,
        /// Length of the name in bytes.
        got: usize,
    },
    /// More classes or tenants are listed than may be in force.
    #[error("expected at most {max} of settings.{list}, got {got}")]
    TooMany {
        /// Key of the list in the settings.
        list: &'static str,
        /// Maximum number in force.
        max: usize,
        /// Number in the settings.
        got: usize,
    },
}

/// How putting a definition changed the classes or tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutResult {
    /// The name had no slot.
    Added,
    /// The name was in force with another definition.
    Changed,
    /// The name had been removed, and is in force again in the same slot.
    Restored,
    /// The name was in force with the same definition.
    Unchanged,
}

/// A change of a slot that is due by time.
#[derive(Debug, PartialEq)]
pub enum SlotExpiry {
    /// The slot was freed, as nothing refers to it any more. Holds the class that was in it.
    Freed(usize, Arc<ClassDefinition>),
    /// The class in the slot is now treated as not keyed, as its settings say.
    Unkeyed(usize),
}

/// Runs under former definitions of a class that attempts may still ask for.
#[derive(Debug, Clone, Copy, Default)]
struct KeyedRuns {
    /// Until when attempts may ask for them.
    until: Time,
    /// The longest window of those definitions.
    longest_window: Span,
}

/// State of a class in addition to its definition.
#[derive(Debug, Default)]
struct ClassState {
    /// When the class was dropped; `None` while it is in force.
    dropped_since: Option<Time>,
    /// Runs under idempotency keys by former definitions.
    keyed_runs: Option<KeyedRuns>,
    /// Effective definition, while the class remains keyed although its own definition is not.
    keyed_definition: Option<Arc<ClassDefinition>>,
    /// Until when new keys are accepted in that case. Client proxies may send them for as long as they send requests of
    /// a dropped class.
    new_keys_until: Time,
}

impl ClassState {
    /// Records a replaced definition. If it was keyed, attempts may ask for its runs until the last window is over.
    fn note_former_keys(&mut self, now: Time, former: &ClassDefinition) {
        if former.profile.effect != Idempotency::Keyed {
            return;
        }
        self.new_keys_until = time_after(now, DROP_GRACE);
        let before = self.keyed_runs.filter(|runs| runs.until > now).unwrap_or_default();
        // Runs that start under new keys until then use the longest window, not the latest one.
        let longest_window = before.longest_window.max(former.profile.window);
        let until = before.until.max(time_after(self.new_keys_until, longest_window));
        self.keyed_runs = Some(KeyedRuns { until, longest_window });
    }

    /// Keeps the class keyed although its new definition is not, if attempts may still ask for its runs. Returns until
    /// when.
    fn keep_keyed(&mut self, definition: &ClassDefinition) -> Option<Time> {
        self.keyed_definition = None;
        let runs = self.keyed_runs.filter(|_| definition.profile.effect != Idempotency::Keyed)?;
        let mut keyed = definition.clone();
        (keyed.profile.effect, keyed.profile.window) = (Idempotency::Keyed, runs.longest_window);
        self.keyed_definition = Some(Arc::new(keyed));
        Some(runs.until)
    }
}

/// The classes in force, and dropped ones that are still referred to.
#[derive(Debug, Default)]
pub struct Classes {
    slots: Slots<ClassDefinition, ClassState>,
    in_force: usize,
    /// Times at which slots must be checked.
    due: BTreeSet<(Time, usize)>,
    /// Idempotency windows of the definitions in slots, with the number of definitions that have each.
    windows: BTreeMap<Span, usize>,
    /// Default definition, returned for an empty slot.
    placeholder: Arc<ClassDefinition>,
}

impl Classes {
    /// Creates the initial classes, in slots in the order given.
    pub fn new(definitions: impl IntoIterator<Item = Arc<ClassDefinition>>) -> Self {
        let mut classes = Self::default();
        for definition in definitions {
            classes.put(Time(0), definition);
        }
        classes
    }

    /// Number of classes in force.
    pub fn in_force(&self) -> usize {
        self.in_force
    }

    /// Number of further names that would get a slot now.
    pub fn free_slots(&self) -> usize {
        MAX_CLASS_SLOTS - (self.slots.len() - self.slots.free())
    }

    /// Whether a class of this name is in force.
    pub fn is_in_force(&self, name: &str) -> bool {
        let class = self.slots.find(name).and_then(|slot| self.slots.get(slot));
        class.is_some_and(|(_, state)| state.dropped_since.is_none())
    }

    /// Whether a name has a slot, in force or not.
    pub fn has_slot(&self, name: &str) -> bool {
        self.slots.find(name).is_some()
    }

    /// Returns the slot that a handle refers to, unless the slot was freed since.
    pub fn resolve(&self, handle: Handle) -> Option<usize> {
        self.slots.resolve(handle)
    }

    /// Returns the handle of the class in a slot.
    pub fn handle(&self, slot: usize) -> Handle {
        self.slots.handle(slot)
    }

    /// Returns the effective definition of the class in a slot: the definition as put, but keyed while attempts may ask
    /// for runs under its keys.
    pub fn get(&self, slot: usize) -> &Arc<ClassDefinition> {
        match self.slots.get(slot) {
            Some((_, ClassState { keyed_definition: Some(keyed), .. })) => keyed,
            Some((definition, _)) => definition,
            None => &self.placeholder,
        }
    }

    /// Returns the profile of the effective definition ([`Classes::get`]).
    pub fn profile(&self, slot: usize) -> &ClassProfile {
        &self.get(slot).profile
    }

    /// Returns the definition of the class in a slot as it was put.
    pub fn configured(&self, slot: usize) -> &Arc<ClassDefinition> {
        self.slots.get(slot).map_or(&self.placeholder, |(definition, _)| definition)
    }

    /// Iterates over all filled slots, with their effective definitions.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Arc<ClassDefinition>)> {
        self.slots.iter().map(|filled| (filled.slot, self.get(filled.slot)))
    }

    /// Returns the longest deadline of the classes in force; `None` if there are none.
    pub fn longest_deadline(&self) -> Option<Span> {
        let in_force = self.slots.iter().filter(|filled| filled.state.dropped_since.is_none());
        in_force.map(|filled| filled.definition.profile.deadline).max()
    }

    /// Returns the longest time for which an idempotency key may be repeated.
    pub fn longest_window(&self) -> Span {
        self.windows.keys().next_back().copied().unwrap_or_default()
    }

    /// Adds a class, or replaces the definition of this name. Returns its slot.
    pub fn put(&mut self, now: Time, definition: Arc<ClassDefinition>) -> (usize, PutResult) {
        let Some(slot) = self.slots.find(&definition.profile.name) else {
            self.in_force += 1;
            self.count_window(definition.profile.window);
            return (self.slots.insert(definition, ClassState::default()), PutResult::Added);
        };
        if self.is_in_force(&definition.profile.name) && **self.configured(slot) == *definition {
            return (slot, PutResult::Unchanged);
        }
        self.count_window(definition.profile.window);
        let Some(former) = self.slots.replace(slot, Arc::clone(&definition)) else {
            return (slot, PutResult::Unchanged);
        };
        self.forget_window(former.profile.window);
        let Some(state) = self.slots.state_mut(slot) else { return (slot, PutResult::Unchanged) };
        state.note_former_keys(now, &former);
        let is_restored = state.dropped_since.take().is_some();
        if let Some(until) = state.keep_keyed(&definition) {
            self.due.insert((until, slot));
        }
        self.in_force += usize::from(is_restored);
        (slot, if is_restored { PutResult::Restored } else { PutResult::Changed })
    }

    /// Drops the class of this name. Returns its slot if it was in force.
    pub fn remove(&mut self, now: Time, name: &str) -> Option<usize> {
        let slot = self.slots.find(name)?;
        let state = self.slots.state_mut(slot).filter(|state| state.dropped_since.is_none())?;
        state.dropped_since = Some(now);
        self.in_force -= 1;
        let free_at = self.free_at(slot)?;
        self.due.insert((free_at, slot));
        Some(slot)
    }

    /// Returns the earliest time at which the slot of a dropped class may be freed.
    fn free_at(&self, slot: usize) -> Option<Time> {
        let (definition, state) = self.slots.get(slot)?;
        let grace_ends = time_after(state.dropped_since?, DROP_GRACE);
        let is_keyed = definition.profile.effect == Idempotency::Keyed;
        let window_ends =
            if is_keyed { time_after(grace_ends, definition.profile.window) } else { grace_ends };
        Some(state.keyed_runs.map_or(window_ends, |runs| runs.until.max(window_ends)))
    }

    /// Adds a reference to a slot, for a request that is opened.
    pub fn acquire(&mut self, slot: usize) {
        self.slots.acquire(slot);
    }

    /// Removes a reference from a slot, for a request that is no longer open.
    pub fn release(&mut self, slot: usize) {
        if self.slots.release(slot)
            && let Some(free_at) = self.free_at(slot)
        {
            self.due.insert((free_at, slot));
        }
    }

    /// Frees the slots and ends the keyed treatment that are due, for at most `max_slots` slots. The caller must hold
    /// no request or event of a class that may be freed.
    pub fn expire_slots(&mut self, now: Time, max_slots: usize) -> Vec<SlotExpiry> {
        let mut expired = Vec::new();
        for _ in 0..max_slots {
            let Some(slot) = self.next_due(now) else { break };
            let is_referenced = self.slots.is_referenced(slot);
            if !is_referenced && self.free_at(slot).is_some_and(|free_at| free_at <= now) {
                if let Some((definition, _)) = self.slots.remove(slot) {
                    self.forget_window(definition.profile.window);
                    expired.push(SlotExpiry::Freed(slot, definition));
                }
                continue;
            }
            let Some(state) = self.slots.state_mut(slot) else { continue };
            let runs_are_over = state.keyed_runs.take_if(|runs| runs.until <= now).is_some();
            if runs_are_over && state.keyed_definition.take().is_some() {
                expired.push(SlotExpiry::Unkeyed(slot));
            }
        }
        expired
    }

    fn next_due(&mut self, now: Time) -> Option<usize> {
        if !self.is_due(now) {
            return None;
        }
        self.due.pop_first().map(|(_, slot)| slot)
    }

    /// Whether any slot is due to be checked.
    pub fn is_due(&self, now: Time) -> bool {
        self.due.first().is_some_and(|(at, _)| *at <= now)
    }

    /// Whether a new idempotency key is accepted now. It is not once the grace period of a class that is no longer
    /// keyed is over, because the window of a run under the key would still be open when the class stops being keyed.
    pub fn accepts_new_keys(&self, slot: usize, now: Time) -> bool {
        let state = self.slots.get(slot).map(|(_, state)| state);
        state.is_none_or(|state| state.keyed_definition.is_none() || now < state.new_keys_until)
    }

    /// Whether requests of the class in a slot are accepted now.
    pub fn accepts_requests(&self, slot: usize, now: Time) -> bool {
        match self.slots.get(slot) {
            Some((_, ClassState { dropped_since: None, .. })) => true,
            Some((_, ClassState { dropped_since: Some(since), .. })) => now < time_after(*since, DROP_GRACE),
            None => false,
        }
    }

    fn count_window(&mut self, window: Span) {
        *self.windows.entry(window).or_default() += 1;
    }

    fn forget_window(&mut self, window: Span) {
        if let Some(classes) = self.windows.get_mut(&window) {
            *classes -= 1;
            if *classes == 0 {
                self.windows.remove(&window);
            }
        }
    }
}

/// Checks that the class and tenant names of settings are unique, that none is too long, and that there are not more
/// than may be in force.
pub fn check(settings: &Settings) -> Result<(), NamesError> {
    let classes = settings.profiles.iter().map(|profile| profile.name.as_str());
    check_names("profiles", MAX_CLASSES, classes)?;
    let tenants = settings.tenants.iter().map(|customer| customer.name.as_str());
    check_names("customers", gradepin_config::change::MAX_TENANTS, tenants)
}

fn check_names<'a>(
    list: &'static str,
    max_names: usize,
    names: impl ExactSizeIterator<Item = &'a str>,
) -> Result<(), NamesError> {
    let got = names.len();
    if got > max_names {
        return Err(NamesError::TooMany { list, max: max_names, got });
    }
    let mut seen = std::collections::HashSet::with_capacity(got);
    for name in names {
        if name.len() > MAX_NAME_BYTES {
            let start = name.chars().take(40).collect();
            return Err(NamesError::TooLong { list, start, got: name.len() });
        }
        if !seen.insert(name) {
            return Err(NamesError::Duplicate { list, name: name.to_string() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
