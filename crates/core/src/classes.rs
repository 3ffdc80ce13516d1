//! The classes in force, each in a slot that it keeps while anything refers to it, so that an open request, a key or a
//! count that names it by its slot means the same after a change.
//!
//! A class that is removed is dropped first: its requests are still taken for [`DROP_GRACE`], since client proxies hear
//! of new settings late, and turned away as unknown after that; those open keep their class. Its slot is free once the
//! grace is over, no request in it is open, and no run under a token of it can be asked for again. Put back before that,
//! it takes its slot back.
//!
//! A class that was keyed and is so no more stays keyed for the module until the window of the last try that came with a
//! token is past ([`Classes::get`]): what ran under a token must not run again because the settings changed. Tries
//! without a token run meanwhile as the settings say.
//!
//! Invariants: a name has one slot; a slot that is referred to keeps its name; a change costs the same however many
//! classes there are. Not here: which changes are valid, and what the module makes of the figures.

use crate::slots::{Handle, Slots};
use gradepin_admission::{ClassDefinition, ClassProfile, Idempotency, Settings, Span, Time, time_after};
use gradepin_config::change::MAX_CLASSES;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long requests of a dropped class are still taken: client proxies use new settings 1.2 s after a reload,
/// and some that were on their way come later.
pub const DROP_GRACE: Span = Span(2_500_000_000);
/// The longest name of a class or tenant, in bytes: one of each fits into a message beside the longest body and all other
/// fields at their longest. Guards against requests of a class that can't be read.
pub const MAX_CLASS_NAME_BYTES: usize = 1_024;
/// Slots at the most: besides all classes in force, as many that are dropped and still referred to.
pub const MAX_CLASS_SLOTS: usize = 2 * MAX_CLASSES;

/// Why settings can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NamesError {
    /// Two classes or two tenants share a name.
    #[error("expected each name once in settings.{what}, got '{name}' twice")]
    Twice {
        /// Of classes or tenants.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A name leaves no room for the longest body in a message of a client proxy.
    #[error(
        "expected names of at most {MAX_CLASS_NAME_BYTES} bytes in settings.{what}, got {came} in '{start}..'"
    )]
    TooLong {
        /// Of classes or tenants.
        what: &'static str,
        /// What it begins with.
        start: String,
        /// How long it is.
        came: usize,
    },
    /// More are named than may be in force at a time.
    #[error("expected at most {most} of settings.{what}, got {came}")]
    TooMany {
        /// Of classes or tenants.
        what: &'static str,
        /// The bound.
        most: usize,
        /// How many came.
        came: usize,
    },
}

/// What putting a definition made of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Put {
    /// Its name was in no slot.
    Added,
    /// It was in force with other figures.
    Changed,
    /// It was removed before, and its slot was not used again.
    Back,
    /// It was in force as it is.
    Same,
}

/// A slot whose time came.
#[derive(Debug, PartialEq)]
pub enum Settled {
    /// Nothing refers to it any more; what was in it.
    Freed(usize, Arc<ClassDefinition>),
    /// Its class is keyed no more for the module either.
    Unkeyed(usize),
}

/// How it is with a class.
#[derive(Debug, Default)]
struct Standing {
    dropped: Option<Time>,
    /// Until when runs under its tokens may be asked for again by definitions before this one, and their longest window.
    keyed: Option<(Time, Span)>,
    /// What holds in the place of its definition while it stays keyed against that.
    still: Option<Arc<ClassDefinition>>,
    /// Until when tokens that nothing is known of are taken then; client proxies may send them for as long as requests of
    /// a dropped class come.
    new_tokens: Time,
}

/// The classes in force, and those dropped that something still refers to.
#[derive(Debug, Default)]
pub struct Classes {
    slots: Slots<ClassDefinition, Standing>,
    in_force: usize,
    /// When to look at which slot.
    due: BTreeSet<(Time, usize)>,
    /// The windows of the definitions in slots, with how many have each.
    windows: BTreeMap<Span, usize>,
    /// In the place of a class that is in no slot.
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

    /// How many names more would find a slot now.
    pub fn free_slots(&self) -> usize {
        MAX_CLASS_SLOTS - (self.slots.len() - self.slots.free())
    }

    /// Whether a class of this name is in force.
    pub fn is_in_force(&self, name: &str) -> bool {
        let standing = self.slots.find(name).and_then(|slot| self.slots.get(slot));
        standing.is_some_and(|(_, standing)| standing.dropped.is_none())
    }

    /// Whether a name has a slot, in force or not.
    pub fn has_slot(&self, name: &str) -> bool {
        self.slots.find(name).is_some()
    }

    /// The slot that a handle means, unless it was freed since.
    pub fn resolve(&self, handle: Handle) -> Option<usize> {
        self.slots.resolve(handle)
    }

    /// The handle of the class in a slot.
    pub fn handle(&self, slot: usize) -> Handle {
        self.slots.handle(slot)
    }

    /// What holds for the class in a slot: as it was defined, but keyed while runs under its tokens may be asked for again.
    pub fn get(&self, slot: usize) -> &Arc<ClassDefinition> {
        match self.slots.get(slot) {
            Some((_, Standing { still: Some(still), .. })) => still,
            Some((definition, _)) => definition,
            None => &self.none,
        }
    }

    /// What holds for the class in a slot.
    pub fn profile(&self, slot: usize) -> &ClassProfile {
        &self.get(slot).profile
    }

    /// The class in a slot as it was defined.
    pub fn defined(&self, slot: usize) -> &Arc<ClassDefinition> {
        self.slots.get(slot).map_or(&self.none, |(definition, _)| definition)
    }

    /// Those in slots, with what holds for them.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Arc<ClassDefinition>)> {
        self.slots.iter().map(|(slot, ..)| (slot, self.get(slot)))
    }

    /// The longest in which a keyed request may come again.
    pub fn longest_window(&self) -> Span {
        self.windows.keys().next_back().copied().unwrap_or_default()
    }

    /// Adds a class, or replaces the one of this name.
    pub fn put(&mut self, now: Time, definition: Arc<ClassDefinition>) -> (usize, Put) {
        let Some(slot) = self.slots.find(&definition.profile.name) else {
            self.in_force += 1;
            self.count_window(definition.profile.window);
            return (self.slots.insert(definition, Standing::default()), Put::Added);
        };
        if self.is_in_force(&definition.profile.name) && **self.defined(slot) == *definition {
            return (slot, Put::Same);
        }
        self.count_window(definition.profile.window);
        let Some(old) = self.slots.replace(slot, Arc::clone(&definition)) else { return (slot, Put::Same) };
        self.forget_window(old.profile.window);
        let Some(standing) = self.slots.state_mut(slot) else { return (slot, Put::Same) };
        if old.profile.effect == Idempotency::Keyed {
            standing.new_tokens = time_after(now, DROP_GRACE);
            let (before, window) = standing.keyed.filter(|(until, _)| *until > now).unwrap_or_default();
            // What begins under a new token until then goes by the longest window, not by the last.
            let window = window.max(old.profile.window);
            standing.keyed = Some((before.max(time_after(standing.new_tokens, window)), window));
        }
        let back = standing.dropped.take().is_some();
        standing.still = None;
        if let Some((until, window)) = standing.keyed
            && definition.profile.effect != Idempotency::Keyed
        {
            let mut still = ClassDefinition::clone(&definition);
            (still.profile.effect, still.profile.window) = (Idempotency::Keyed, window);
            standing.still = Some(Arc::new(still));
            self.due.insert((until, slot));
        }
        self.in_force += usize::from(back);
        (slot, if back { Put::Back } else { Put::Changed })
    }

    /// Drops the class of a name; its slot, if it was in force.
    pub fn remove(&mut self, now: Time, name: &str) -> Option<usize> {
        let slot = self.slots.find(name)?;
        let standing = self.slots.state_mut(slot).filter(|standing| standing.dropped.is_none())?;
        standing.dropped = Some(now);
        self.in_force -= 1;
        let free_at = self.free_at(slot)?;
        self.due.insert((free_at, slot));
        Some(slot)
    }

    /// When the slot of a dropped class may be free at the earliest.
    fn free_at(&self, slot: usize) -> Option<Time> {
        let (definition, standing) = self.slots.get(slot)?;
        let grace = time_after(standing.dropped?, DROP_GRACE);
        let keyed = definition.profile.effect == Idempotency::Keyed;
        let window = if keyed { time_after(grace, definition.profile.window) } else { grace };
        Some(standing.keyed.map_or(window, |(until, _)| until.max(window)))
    }

    /// A request of the class in a slot is open from now on.
    pub fn acquire(&mut self, slot: usize) {
        self.slots.acquire(slot);
    }

    /// It is no longer.
    pub fn release(&mut self, slot: usize) {
        if self.slots.release(slot)
            && let Some(free_at) = self.free_at(slot)
        {
            self.due.insert((free_at, slot));
        }
    }

    /// The slots whose time has come, so many at the most. The caller's books hold nothing more of what is freed.
    pub fn settle(&mut self, now: Time, most: usize) -> Vec<Settled> {
        let mut settled = Vec::new();
        for _ in 0..most {
            let Some(slot) = self.next_due(now) else { break };
            let unreferred = !self.slots.is_referred_to(slot);
            if unreferred && self.free_at(slot).is_some_and(|free_at| free_at <= now) {
                if let Some((definition, _)) = self.slots.remove(slot) {
                    self.forget_window(definition.profile.window);
                    settled.push(Settled::Freed(slot, definition));
                }
                continue;
            }
            let Some(standing) = self.slots.state_mut(slot) else { continue };
            if standing.keyed.take_if(|(until, _)| *until <= now).is_some() && standing.still.take().is_some()
            {
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

    /// Whether the time of a slot has come.
    pub fn is_due(&self, now: Time) -> bool {
        self.due.first().is_some_and(|(at, _)| *at <= now)
    }

    /// Whether a token that nothing is known of counts now. Past the grace of a class that is keyed no more it doesn't: a run
    /// that began under one then would be inside its window when the class stops being keyed.
    pub fn accepts_new_keys(&self, slot: usize, now: Time) -> bool {
        let standing = self.slots.get(slot).map(|(_, standing)| standing);
        standing.is_none_or(|standing| standing.still.is_none() || now < standing.new_tokens)
    }

    /// Whether a request of the class in this slot is taken now.
    pub fn accepts_requests(&self, slot: usize, now: Time) -> bool {
        match self.slots.get(slot) {
            Some((_, Standing { dropped: None, .. })) => true,
            Some((_, Standing { dropped: Some(since), .. })) => now < time_after(*since, DROP_GRACE),
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

/// Whether settings name each class and each tenant once, and no more of them than may be in force.
pub fn check(settings: &Settings) -> Result<(), NamesError> {
    let classes = settings.profiles.iter().map(|profile| profile.name.as_str());
    once("profiles", MAX_CLASSES, classes)?;
    let tenants = settings.customers.iter().map(|customer| customer.name.as_str());
    once("customers", gradepin_config::change::MAX_TENANTS, tenants)
}

fn once<'a>(
    what: &'static str,
    most: usize,
    names: impl ExactSizeIterator<Item = &'a str>,
) -> Result<(), NamesError> {
    let came = names.len();
    if came > most {
        return Err(NamesError::TooMany { what, most, came });
    }
    let mut seen = std::collections::HashSet::with_capacity(came);
    for name in names {
        if name.len() > MAX_CLASS_NAME_BYTES {
            let start = name.chars().take(40).collect();
            return Err(NamesError::TooLong { what, start, came: name.len() });
        }
        if !seen.insert(name) {
            return Err(NamesError::Twice { what, name: name.to_string() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
