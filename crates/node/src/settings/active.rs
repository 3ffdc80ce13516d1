//! The names that requests may use, as the reducer last said, for the fronts: from the name of a class or a tenant to its
//! slot and what it was defined as. A change takes the time of what it changes and holds one part of the names for that
//! long; definitions are shared with the reducer. A handle read before its slot was used again resolves to nothing there
//! ([`gradepin_core::slots`]), so a front may act on a name a moment too late.

use gradepin_admission::{ClassDefinition, Settings, Tenant};
use gradepin_config::change::Change;
use gradepin_core::config::Config;
use gradepin_core::messages::NameChange;
use gradepin_core::reload::Reload;
use gradepin_core::slots::{ByName, CHUNK_COUNT, Handle, Named};
use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

/// Names of one kind, in parts that are locked one by one.
#[derive(Debug)]
struct Names<D> {
    parts: Vec<RwLock<HashMap<ByName<D>, Known>>>,
    hash: RandomState,
}

/// What is known of a name beside its definition.
#[derive(Debug, Clone, Copy)]
struct Known {
    handle: Handle,
    /// Whether it was not removed since.
    in_force: bool,
}

impl<D: Named + PartialEq> Names<D> {
    fn new() -> Self {
        Self { parts: (0..CHUNK_COUNT).map(|_| RwLock::default()).collect(), hash: RandomState::new() }
    }

    fn part(&self, name: &str) -> &RwLock<HashMap<ByName<D>, Known>> {
        &self.parts[self.hash.hash_one(name) as usize % CHUNK_COUNT]
    }

    fn get(&self, name: &str) -> Option<(Known, Arc<D>)> {
        let part = self.part(name).read().unwrap_or_else(PoisonError::into_inner);
        part.get_key_value(name).map(|(definition, known)| (*known, Arc::clone(&definition.0)))
    }

    fn put(&self, handle: Handle, definition: Arc<D>) {
        let mut part = self.part(definition.name()).write().unwrap_or_else(PoisonError::into_inner);
        // With its key, which holds the definition.
        part.remove(definition.name());
        part.insert(ByName(definition), Known { handle, in_force: true });
    }

    fn removed(&self, name: &str) {
        let mut part = self.part(name).write().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = part.get_mut(name) {
            known.in_force = false;
        }
    }

    fn gone(&self, name: &str) {
        self.part(name).write().unwrap_or_else(PoisonError::into_inner).remove(name);
    }

    /// Names in force that are none of these.
    fn others(&self, names: &HashSet<&str>) -> Vec<Arc<str>> {
        let mut others = Vec::new();
        for part in &self.parts {
            let part = part.read().unwrap_or_else(PoisonError::into_inner);
            let names_of_part = part.iter().filter(|(_, known)| known.in_force);
            let gone = names_of_part.filter(|(definition, _)| !names.contains(definition.0.name()));
            others.extend(gone.map(|(definition, _)| Arc::from(definition.0.name())));
        }
        others
    }

    /// Whether this is in force as it is, and whether its name has a slot.
    fn compare(&self, definition: &D) -> Compared {
        match self.get(definition.name()) {
            Some((known, old)) if known.in_force && *old == *definition => Compared::Same,
            Some(_) => Compared::Changed,
            None => Compared::New,
        }
    }
}

enum Compared {
    Same,
    Changed,
    New,
}

/// A shared handle on the names that requests may use.
#[derive(Debug, Clone)]
pub struct ActiveSettings(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    classes: Names<ClassDefinition>,
    tenants: Names<Tenant>,
    edition: AtomicU64,
}

impl ActiveSettings {
    /// With the classes and tenants of the start, in slots by their order.
    pub fn new(settings: &Settings) -> Self {
        let (_, classes, tenants) = settings.clone().split();
        Self::of(&classes, &tenants)
    }

    /// With these, in slots by their order.
    pub fn of(classes: &[Arc<ClassDefinition>], tenants: &[Arc<Tenant>]) -> Self {
        let shared = Shared { classes: Names::new(), tenants: Names::new(), edition: AtomicU64::new(0) };
        for (slot, class) in classes.iter().enumerate() {
            shared.classes.put(slot.into(), Arc::clone(class));
        }
        for (slot, tenant) in tenants.iter().enumerate() {
            shared.tenants.put(slot.into(), Arc::clone(tenant));
        }
        Self(Arc::new(shared))
    }

    /// The class of a name, as it was defined.
    pub fn class(&self, name: &str) -> Option<(Handle, Arc<ClassDefinition>)> {
        self.0.classes.get(name).map(|(known, class)| (known.handle, class))
    }

    /// The tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<Handle> {
        self.0.tenants.get(name).map(|(known, _)| known.handle)
    }

    /// The reducer says that the names changed.
    pub fn publish(&self, edition: u64, changes: Vec<NameChange>) {
        for change in changes {
            match change {
                NameChange::Class { handle, class } => self.0.classes.put(handle, class),
                NameChange::ClassRemoved(class) => self.0.classes.removed(class.name()),
                NameChange::ClassForgotten(class) => self.0.classes.gone(class.name()),
                NameChange::Tenant { handle, tenant } => self.0.tenants.put(handle, tenant),
                NameChange::TenantRemoved(tenant) => self.0.tenants.removed(tenant.name()),
                NameChange::TenantForgotten(tenant) => self.0.tenants.gone(tenant.name()),
            }
        }
        self.0.edition.store(edition, Ordering::Release);
    }

    /// What a file that was read again changes. Takes the time of the whole file: not for the reducer's thread.
    pub fn compare(&self, mut config: Config) -> Reload {
        let compared_at = self.0.edition.load(Ordering::Acquire);
        let (rest, classes, tenants) = std::mem::take(&mut config.settings).split();
        config.settings = rest;
        let mut reload = Reload { config, changes: Vec::new(), new_classes: 0, new_tenants: 0, compared_at };
        let names = classes.iter().map(|class| class.name()).collect();
        reload.changes.extend(self.0.classes.others(&names).into_iter().map(Change::RemoveClass));
        let names = tenants.iter().map(|tenant| tenant.name()).collect();
        reload.changes.extend(self.0.tenants.others(&names).into_iter().map(Change::RemoveTenant));
        for class in classes {
            let compared = self.0.classes.compare(&class);
            reload.new_classes += usize::from(matches!(compared, Compared::New));
            if !matches!(compared, Compared::Same) {
                reload.changes.push(Change::PutClass(class));
            }
        }
        for tenant in tenants {
            let compared = self.0.tenants.compare(&tenant);
            reload.new_tenants += usize::from(matches!(compared, Compared::New));
            if !matches!(compared, Compared::Same) {
                reload.changes.push(Change::PutTenant(tenant));
            }
        }
        reload
    }
}

#[cfg(test)]
mod tests;
