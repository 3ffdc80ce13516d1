//! The classes and tenants in force across reloads of the settings. A class keeps its place for the life of the
//! process, so that an open request, a key or a count that names it by its place means the same after a reload.
//!
//! At a reload a class of a known name takes its new figures in its old place, a new one is added after all others,
//! and one that the file leaves out is dropped: its requests are still taken for [`DROP_GRACE`], since client proxies
//! hear of new settings late, and turned away as unknown after that; those open keep their class. Tenants go the same
//! way but are never dropped: a request of a tenant that is gone is simply of no tenant's share.
//!
//! A class that was keyed and is so no more stays keyed for the module until the window of the last try that came with a
//! token is past ([`Classes::in_force`]): what ran under a token must not run again because the file changed. Tries without
//! a token run meanwhile as the file says.
//! Not here: reading the file, which is the shell's, and what the module makes of the figures.

use gradepin_decisions::{Effect, Settings, Span, Time, after};
use std::sync::Arc;

/// How long requests of a dropped class are still taken: client proxies use new settings 1.2 s after a reload,
/// and some that were on their way come later.
pub const DROP_GRACE: Span = Span(2_500_000_000);
/// Places for classes over the life of the process; a reload that would need more is turned down, since a table that
/// only grows must be bounded.
pub const MOST_CLASSES: usize = 64;
/// Places for tenants, for the same reason.
pub const MOST_TENANTS: usize = 256;

/// Why settings can't be taken at a reload.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RetuneError {
    /// Two classes or two tenants share a name.
    #[error("expected each name once in settings.{what}, got '{name}' twice")]
    Twice {
        /// Of classes or tenants.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// More places would be needed than are kept.
    #[error(
        "expected at most {most} {what} over the life of the process, with those dropped; a restart clears them"
    )]
    TooMany {
        /// Of classes or tenants.
        what: &'static str,
        /// The bound.
        most: usize,
    },
}

/// What a reload changed, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Retuned {
    pub added: Vec<String>,
    pub dropped: Vec<String>,
    /// Classes dropped before that are back.
    pub back: Vec<String>,
}

/// The classes and tenants in force, and since when each dropped class is dropped.
#[derive(Debug, Clone)]
pub struct Classes {
    settings: Arc<Settings>,
    dropped: Vec<Option<Time>>,
    /// Classes that are keyed no more: until when they stay so for the module, and with which window.
    unkeyed: Vec<Option<(Time, Span)>>,
}

impl Classes {
    /// The settings that the process started with.
    pub fn new(settings: Arc<Settings>) -> Self {
        let classes = settings.profiles.len();
        Self { settings, dropped: vec![None; classes], unkeyed: vec![None; classes] }
    }

    /// The settings as the file says: the classes in their places, dropped ones too.
    pub fn settings(&self) -> &Arc<Settings> {
        &self.settings
    }

    /// The settings that the module goes by: the same, with the classes that are still keyed.
    pub fn in_force(&self) -> Arc<Settings> {
        if self.unkeyed.iter().all(Option::is_none) {
            return Arc::clone(&self.settings);
        }
        let mut settings = Settings::clone(&self.settings);
        for (profile, unkeyed) in settings.profiles.iter_mut().zip(&self.unkeyed) {
            if let Some((_, window)) = *unkeyed {
                (profile.effect, profile.window) = (Effect::ByKey, window);
            }
        }
        Arc::new(settings)
    }

    /// Whether the last window of a class that is keyed no more has passed, so that other settings are in force now.
    pub fn lapsed(&mut self, now: Time) -> bool {
        let mut lapsed = false;
        for unkeyed in &mut self.unkeyed {
            lapsed |= unkeyed.take_if(|(until, _)| *until <= now).is_some();
        }
        lapsed
    }

    /// Takes new settings; on an error nothing changes.
    pub fn retune(&mut self, now: Time, new: &Settings) -> Result<Retuned, RetuneError> {
        check(new)?;
        let mut merged = new.clone();
        let (mut dropped, mut unkeyed) = (self.dropped.clone(), self.unkeyed.clone());
        let mut retuned = Retuned::default();
        // Old places first, with new figures where the name is still there.
        let mut profiles = Vec::with_capacity(self.settings.profiles.len() + new.profiles.len());
        for (place, old) in self.settings.profiles.iter().enumerate() {
            match new.profiles.iter().find(|profile| profile.name == old.name) {
                Some(profile) => {
                    if profile.effect == Effect::ByKey {
                        unkeyed[place] = None;
                    } else if old.effect == Effect::ByKey {
                        // Client proxies may send tokens for as long as those of a dropped class come.
                        let until = after(after(now, old.window), DROP_GRACE);
                        unkeyed[place] = Some((until, old.window));
                    }
                    if dropped[place].take().is_some() {
                        retuned.back.push(old.name.clone());
                    }
                    profiles.push(profile.clone());
                }
                None => {
                    if dropped[place].is_none() {
                        dropped[place] = Some(now);
                        retuned.dropped.push(old.name.clone());
                    }
                    profiles.push(old.clone());
                }
            }
        }
        for profile in &new.profiles {
            if !profiles.iter().any(|known| known.name == profile.name) {
                retuned.added.push(profile.name.clone());
                profiles.push(profile.clone());
                dropped.push(None);
                unkeyed.push(None);
            }
        }
        if profiles.len() > MOST_CLASSES {
            return Err(RetuneError::TooMany { what: "classes", most: MOST_CLASSES });
        }
        let mut customers = Vec::with_capacity(self.settings.customers.len() + new.customers.len());
        for old in &self.settings.customers {
            let customer = new.customers.iter().find(|customer| customer.name == old.name).unwrap_or(old);
            customers.push(customer.clone());
        }
        for customer in &new.customers {
            if !customers.iter().any(|known| known.name == customer.name) {
                customers.push(customer.clone());
            }
        }
        if customers.len() > MOST_TENANTS {
            return Err(RetuneError::TooMany { what: "tenants", most: MOST_TENANTS });
        }
        (merged.profiles, merged.customers) = (profiles, customers);
        (self.settings, self.dropped, self.unkeyed) = (Arc::new(merged), dropped, unkeyed);
        Ok(retuned)
    }

    /// Whether a request of the class in this place is taken now.
    pub fn takes(&self, class: usize, now: Time) -> bool {
        match self.dropped.get(class) {
            Some(None) => true,
            Some(Some(since)) => now < after(*since, DROP_GRACE),
            None => false,
        }
    }
}

/// Whether settings name each class and each tenant once.
pub fn check(settings: &Settings) -> Result<(), RetuneError> {
    once("profiles", settings.profiles.iter().map(|profile| &profile.name))?;
    once("customers", settings.customers.iter().map(|customer| &customer.name))
}

fn once<'a>(what: &'static str, names: impl Iterator<Item = &'a String>) -> Result<(), RetuneError> {
    let mut seen = std::collections::BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(RetuneError::Twice { what, name: name.clone() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
