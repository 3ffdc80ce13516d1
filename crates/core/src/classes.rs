//! The classes in force. Each has a slot that it keeps while anything refers to it, so that an open request, an idempotency key
//! or a count that names the class by its slot means the same after a change.
//!
//! A class that is removed is dropped first: its requests are still accepted for [`DROP_GRACE`], since client proxies learn of
//! new settings late, and rejected as unknown after that; open requests keep their class. Its slot is free once the grace is
//! over, no request of it is open, and no attempt can ask for a run under one of its keys. If it is put again before that, it
//! gets its slot back.
//!
//! A class that was keyed and is no longer stays keyed for the admission module until the window of the last attempt with a key
//! is over ([`Classes::get`]): what ran under a key must not run again because the settings changed. Attempts without a key run
//! as the settings say meanwhile.
//!
//! Invariants: a name has one slot; a slot that is referred to keeps its name; a change costs the same however many classes
//! there are. Not here: which changes are valid, and what the admission module makes of a definition.

use crate::slots::{Handle, Slots};
use gradepin_admission::{ClassDefinition, ClassProfile, Idempotency, Settings, Span, Time, time_after};
use gradepin_config::change::MAX_CLASSES;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Requests of a dropped class are accepted for so long: client proxies use new settings 1.2 s after a reload, and some
/// requests that were on their way arrive later.
pub const DROP_GRACE: Span = Span(2_500_000_000);
/// The longest name of a class or tenant. One of each fits into a message beside the longest body and all other fields at their
/// longest. Guards against classes whose requests can't be read.
pub const MAX_CLASS_NAME_BYTES: usize = 1_024;
/// Slots beside those of all classes in force are for as many that are dropped and still referred to.
pub const MAX_CLASS_SLOTS: usize = 2 * MAX_CLASSES;

/// Why the names of settings can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NamesError {
    /// Two classes or two tenants share a name.
    #[error("expected each name once in settings.{what}, got '{name}' twice")]
    Twice {
        /// The list in the settings.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A name leaves no room for the longest body in a message of a client proxy.
    #[error(
        "expected names of at most {MAX_CLASS_NAME_BYTES} bytes in settings.{what}, got {got} in '{start}..'"
    )]
    TooLong {
        /// The list in the settings.
        what: &'static str,
        /// The first characters of the name.
        start: String,
        /// Its length, in bytes.
        got: usize,
    },
    /// More are named than may be in force at a time.
    #[error("expected at most {max} of settings.{what}, got {got}")]
    TooMany {
        /// The list in the settings.
        what: &'static str,
        /// How many may be in force.
        max: usize,
        /// How many the settings have.
        got: usize,
    },
}

/// The result of putting a definition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Put {
    /// Its name was in no slot.
    Added,
    /// It was in force with another definition.
    Changed,
    /// It had been removed, and is in force again in the same slot.
    Back,
    /// It was in force with the same definition.
    Same,
}

/// A slot whose state changed because its time got.
#[derive(Debug, PartialEq)]
pub enum Settled {
    /// Nothing refers to the slot any more; the class that was in it.
    Freed(usize, Arc<ClassDefinition>),
    /// The class in the slot is no longer keyed for the admission module either.
    Unkeyed(usize),
}

/// Runs of former definitions of a class that attempts may still ask for.
#[derive(Debug, Clone, Copy, Default)]
struct KeyedRuns {
    /// Until when.
    until: Time,
    /// The longest window of those definitions.
    longest_window: Span,
}

/// What is known of a class beside its definition.
#[derive(Debug, Default)]
struct ClassState {
    /// Since when it is dropped.
    dropped_since: Option<Time>,
    /// Runs under idempotency keys by definitions before this one.
    keyed_runs: Option<KeyedRuns>,
    /// What holds in place of its definition while it stays keyed though that isn't.
    keyed_definition: Option<Arc<ClassDefinition>>,
    /// Until when keys without a run are accepted then: client proxies may send them for as long as requests of a dropped class
    /// come.
    new_keys_until: Time,
}

impl ClassState {
    /// The class had this definition: attempts may ask for runs under its keys until the last window is over.
    fn note_former_keys(&mut self, now: Time, former: &ClassDefinition) {
        if former.profile.effect != Idempotency::Keyed {
            return;
        }
        self.new_keys_until = time_after(now, DROP_GRACE);
        let before = self.keyed_runs.filter(|runs| runs.until > now).unwrap_or_default();
        // Runs that start under new keys until then go by the longest window, not by the last one.
        let longest_window = before.longest_window.max(former.profile.window);
        let until = before.until.max(time_after(self.new_keys_until, longest_window));
        self.keyed_runs = Some(KeyedRuns { until, longest_window });
    }

    /// Keeps the class keyed though its new definition isn't, if attempts may ask for runs. Returns until when.
    fn keep_keyed(&mut self, definition: &ClassDefinition) -> Option<Time> {
        self.keyed_definition = None;
        let runs = self.keyed_runs.filter(|_| definition.profile.effect != Idempotency::Keyed)?;
        let mut keyed = definition.clone();
        (keyed.profile.effect, keyed.profile.window) = (Idempotency::Keyed, runs.longest_window);
        self.keyed_definition = Some(Arc::new(keyed));
        Some(runs.until)
    }
}

/// The classes in force, and those dropped that something still refers to.
#[derive(Debug, Default)]
pub struct Classes {
    slots: Slots<ClassDefinition, ClassState>,
    in_force: usize,
    /// When to check which slot.
    due: BTreeSet<(Time, usize)>,
    /// The idempotency windows of the definitions in slots, with how many have each.
    windows: BTreeMap<Span, usize>,
    /// In place of a class that is in no slot.
    none: Arc<ClassDefinition>,
}

impl Classes {
    /// The classes that the process starts with, in slots by their order.
    pub fn new(definitions: impl IntoIterator<Item = Arc<ClassDefinition>>) -> Self {
        let mut classes = Self::default();
        for definition in definitions {
            classes.put(Time(0), definition);
        }
        classes
    }

    /// How many are in force.
    pub fn in_force(&self) -> usize {
        self.in_force
    }

    /// How many more names would get a slot now.
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

    /// The slot that a handle refers to, unless it was freed since.
    pub fn resolve(&self, handle: Handle) -> Option<usize> {
        self.slots.resolve(handle)
    }

    /// The handle of the class in a slot.
    pub fn handle(&self, slot: usize) -> Handle {
        self.slots.handle(slot)
    }

    /// The definition that holds for the class in a slot: as it was put, but keyed while attempts may ask for runs under its
    /// keys.
    pub fn get(&self, slot: usize) -> &Arc<ClassDefinition> {
        match self.slots.get(slot) {
            Some((_, ClassState { keyed_definition: Some(keyed), .. })) => keyed,
            Some((definition, _)) => definition,
            None => &self.none,
        }
    }

    /// The profile that holds for the class in a slot.
    pub fn profile(&self, slot: usize) -> &ClassProfile {
        &self.get(slot).profile
    }

    /// The definition of the class in a slot as it was put.
    pub fn defined(&self, slot: usize) -> &Arc<ClassDefinition> {
        self.slots.get(slot).map_or(&self.none, |(definition, _)| definition)
    }

    /// All slots that are not free, with the definitions that hold.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Arc<ClassDefinition>)> {
        self.slots.iter().map(|filled| (filled.slot, self.get(filled.slot)))
    }

    /// How long an idempotency key may be repeated at the most.
    pub fn longest_window(&self) -> Span {
        self.windows.keys().next_back().copied().unwrap_or_default()
    }

    /// Adds a class, or replaces the one of this name. Returns its slot.
    pub fn put(&mut self, now: Time, definition: Arc<ClassDefinition>) -> (usize, Put) {
        let Some(slot) = self.slots.find(&definition.profile.name) else {
            self.in_force += 1;
            self.count_window(definition.profile.window);
            return (self.slots.insert(definition, ClassState::default()), Put::Added);
        };
        if self.is_in_force(&definition.profile.name) && **self.defined(slot) == *definition {
            return (slot, Put::Same);
        }
        self.count_window(definition.profile.window);
        let Some(former) = self.slots.replace(slot, Arc::clone(&definition)) else {
            return (slot, Put::Same);
        };
        self.forget_window(former.profile.window);
        let Some(state) = self.slots.state_mut(slot) else { return (slot, Put::Same) };
        state.note_former_keys(now, &former);
        let is_back = state.dropped_since.take().is_some();
        if let Some(until) = state.keep_keyed(&definition) {
            self.due.insert((until, slot));
        }
        self.in_force += usize::from(is_back);
        (slot, if is_back { Put::Back } else { Put::Changed })
    }

    /// Drops the class of a name. Returns its slot, if it was in force.
    pub fn remove(&mut self, now: Time, name: &str) -> Option<usize> {
        let slot = self.slots.find(name)?;
        let state = self.slots.state_mut(slot).filter(|state| state.dropped_since.is_none())?;
        state.dropped_since = Some(now);
        self.in_force -= 1;
        let free_at = self.free_at(slot)?;
        self.due.insert((free_at, slot));
        Some(slot)
    }

    /// When the slot of a dropped class may be free at the earliest.
    fn free_at(&self, slot: usize) -> Option<Time> {
        let (definition, state) = self.slots.get(slot)?;
        let grace_ends = time_after(state.dropped_since?, DROP_GRACE);
        let is_keyed = definition.profile.effect == Idempotency::Keyed;
        let window_ends =
            if is_keyed { time_after(grace_ends, definition.profile.window) } else { grace_ends };
        Some(state.keyed_runs.map_or(window_ends, |runs| runs.until.max(window_ends)))
    }

    /// A request of the class in a slot is open from now on.
    pub fn acquire(&mut self, slot: usize) {
        self.slots.acquire(slot);
    }

    /// A request of the class in a slot is no longer open.
    pub fn release(&mut self, slot: usize) {
        if self.slots.release(slot)
            && let Some(free_at) = self.free_at(slot)
        {
            self.due.insert((free_at, slot));
        }
    }

    /// Frees slots and ends idempotency where the time for it has come, in at most `max_slots` slots. The caller must hold no
    /// request or event of a class that may be freed.
    pub fn settle(&mut self, now: Time, max_slots: usize) -> Vec<Settled> {
        let mut settled = Vec::new();
        for _ in 0..max_slots {
            let Some(slot) = self.next_due(now) else { break };
            let is_referred_to = self.slots.is_referred_to(slot);
            if !is_referred_to && self.free_at(slot).is_some_and(|free_at| free_at <= now) {
                if let Some((definition, _)) = self.slots.remove(slot) {
                    self.forget_window(definition.profile.window);
                    settled.push(Settled::Freed(slot, definition));
                }
                continue;
            }
            let Some(state) = self.slots.state_mut(slot) else { continue };
            let runs_are_over = state.keyed_runs.take_if(|runs| runs.until <= now).is_some();
            if runs_are_over && state.keyed_definition.take().is_some() {
                settled.push(Settled::Unkeyed(slot));
            }
        }
        settled
    }

    fn next_due(&mut self, now: Time) -> Option<usize> {
        if !self.is_due(now) {
            return None;
        }
        self.due.pop_first().map(|(_, slot)| slot)
    }

    /// Whether a slot is due to be checked.
    pub fn is_due(&self, now: Time) -> bool {
        self.due.first().is_some_and(|(at, _)| *at <= now)
    }

    /// Whether an idempotency key without a run is accepted now. Past the grace of a class that is no longer keyed it isn't: a
    /// run under it would be inside its window when the class stops being keyed.
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

/// Whether settings name each class and each tenant once, with names that fit, and no more of them than may be in force.
pub fn check(settings: &Settings) -> Result<(), NamesError> {
    let classes = settings.profiles.iter().map(|profile| profile.name.as_str());
    check_names("profiles", MAX_CLASSES, classes)?;
    let tenants = settings.tenants.iter().map(|customer| customer.name.as_str());
    check_names("customers", gradepin_config::change::MAX_TENANTS, tenants)
}

fn check_names<'a>(
    what: &'static str,
    max_names: usize,
    names: impl ExactSizeIterator<Item = &'a str>,
) -> Result<(), NamesError> {
    let got = names.len();
    if got > max_names {
        return Err(NamesError::TooMany { what, max: max_names, got });
    }
    let mut seen = std::collections::HashSet::with_capacity(got);
    for name in names {
        if name.len() > MAX_CLASS_NAME_BYTES {
            let start = name.chars().take(40).collect();
            return Err(NamesError::TooLong { what, start, got: name.len() });
        }
        if !seen.insert(name) {
            return Err(NamesError::Twice { what, name: name.to_string() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
