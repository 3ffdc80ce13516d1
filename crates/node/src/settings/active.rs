//! The classes and tenants in force, for the threads that decode requests: maps names to slots and definitions.
//!
//! The reducer publishes changes and shares the definitions. A name table is divided into chunks with a lock each, so a
//! change blocks readers of one chunk only, and only while it is made. The reducer rejects a handle that was read
//! before its slot was reused ([`gradepin_core::slots`]), so decoding with slightly outdated names is harmless.

use gradepin_admission::{ClassDefinition, Settings, SplitSettings, Tenant};
use gradepin_config::change::Change;
use gradepin_core::config::Config;
use gradepin_core::messages::NameChange;
use gradepin_core::reload::Reload;
use gradepin_core::slots::{ByName, Handle, Named, SHARD_COUNT};
use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

/// A chunk of a name table.
type Chunk<D> = RwLock<HashMap<ByName<D>, Entry>>;

/// The names of all classes or of all tenants, in chunks that are locked separately.
#[derive(Debug)]
struct NameTable<D> {
    chunks: Vec<Chunk<D>>,
    hasher: RandomState,
}

/// The state of a name, in addition to its definition.
#[derive(Debug, Clone, Copy)]
struct Entry {
    handle: Handle,
    /// False after the name was removed; until it is forgotten, requests may still use it.
    in_force: bool,
}

impl<D: Named + PartialEq> NameTable<D> {
    fn new() -> Self {
        Self { chunks: (0..SHARD_COUNT).map(|_| RwLock::default()).collect(), hasher: RandomState::new() }
    }

    fn chunk(&self, name: &str) -> &Chunk<D> {
        &self.chunks[self.hasher.hash_one(name) as usize % SHARD_COUNT]
    }

    fn get(&self, name: &str) -> Option<(Entry, Arc<D>)> {
        let chunk = self.chunk(name).read().unwrap_or_else(PoisonError::into_inner);
        chunk.get_key_value(name).map(|(definition, entry)| (*entry, Arc::clone(&definition.0)))
    }

    fn put(&self, handle: Handle, definition: Arc<D>) {
        let mut chunk = self.chunk(definition.name()).write().unwrap_or_else(PoisonError::into_inner);
        // An insert alone would keep the old key, which holds the old definition.
        chunk.remove(definition.name());
        chunk.insert(ByName(definition), Entry { handle, in_force: true });
    }

    /// Marks a name as no longer in force; requests may still use it until it is forgotten.
    fn remove(&self, name: &str) {
        let mut chunk = self.chunk(name).write().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = chunk.get_mut(name) {
            entry.in_force = false;
        }
    }

    fn forget(&self, name: &str) {
        self.chunk(name).write().unwrap_or_else(PoisonError::into_inner).remove(name);
    }

    /// Names in force that are not among `names`.
    fn in_force_except(&self, names: &HashSet<&str>) -> Vec<Arc<str>> {
        let mut others = Vec::new();
        for chunk in &self.chunks {
            let chunk = chunk.read().unwrap_or_else(PoisonError::into_inner);
            let in_force = chunk.iter().filter(|(_, entry)| entry.in_force);
            let absent = in_force.filter(|(definition, _)| !names.contains(definition.0.name()));
            others.extend(absent.map(|(definition, _)| Arc::from(definition.0.name())));
        }
        others
    }

    /// Compares a definition with the one in force.
    fn compare(&self, definition: &D) -> Difference {
        match self.get(definition.name()) {
            Some((entry, old)) if entry.in_force && *old == *definition => Difference::Unchanged,
            Some(_) => Difference::Changed,
            None => Difference::New,
        }
    }
}

enum Difference {
    Unchanged,
    /// The name has a slot, but its definition differs or was removed.
    Changed,
    /// The name has no slot yet.
    New,
}

/// A shared handle to the classes and tenants in force.
#[derive(Debug, Clone)]
pub struct ActiveSettings(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    classes: NameTable<ClassDefinition>,
    tenants: NameTable<Tenant>,
    /// Edition of the names last published by the reducer.
    edition: AtomicU64,
}

impl ActiveSettings {
    /// Creates the tables from the classes and tenants of the configuration file, in slots by their order.
    pub fn new(settings: &Settings) -> Self {
        let SplitSettings { classes, tenants, .. } = settings.clone().split();
        Self::of(&classes, &tenants)
    }

    /// Creates the tables from these classes and tenants, in slots by their order.
    pub fn of(classes: &[Arc<ClassDefinition>], tenants: &[Arc<Tenant>]) -> Self {
        let shared =
            Shared { classes: NameTable::new(), tenants: NameTable::new(), edition: AtomicU64::new(0) };
        for (slot, class) in classes.iter().enumerate() {
            shared.classes.put(slot.into(), Arc::clone(class));
        }
        for (slot, tenant) in tenants.iter().enumerate() {
            shared.tenants.put(slot.into(), Arc::clone(tenant));
        }
        Self(Arc::new(shared))
    }

    /// Slot and definition of a class, including one that was removed but is not forgotten yet.
    pub fn class(&self, name: &str) -> Option<(Handle, Arc<ClassDefinition>)> {
        self.0.classes.get(name).map(|(entry, class)| (entry.handle, class))
    }

    /// Slot of a tenant, including one that was removed but is not forgotten yet.
    pub fn tenant(&self, name: &str) -> Option<Handle> {
        self.0.tenants.get(name).map(|(entry, _)| entry.handle)
    }

    /// Applies changes published by the reducer, in their order; `edition` is their edition.
    pub fn publish(&self, edition: u64, changes: Vec<NameChange>) {
        for change in changes {
            match change {
                NameChange::Class { handle, class } => self.0.classes.put(handle, class),
                NameChange::ClassRemoved(class) => self.0.classes.remove(class.name()),
                NameChange::ClassForgotten(class) => self.0.classes.forget(class.name()),
                NameChange::Tenant { handle, tenant } => self.0.tenants.put(handle, tenant),
                NameChange::TenantRemoved(tenant) => self.0.tenants.remove(tenant.name()),
                NameChange::TenantForgotten(tenant) => self.0.tenants.forget(tenant.name()),
            }
        }
        self.0.edition.store(edition, Ordering::Release);
    }

    /// Compares a newly read configuration with the classes and tenants in force. Takes time proportional to the size
    /// of the file, so it must not be called on the reducer's thread.
    pub fn compare(&self, mut config: Config) -> Reload {
        let compared_edition = self.0.edition.load(Ordering::Acquire);
        let SplitSettings { global, classes, tenants } = std::mem::take(&mut config.settings).split();
        config.settings = global;
        let mut reload =
            Reload { config, changes: Vec::new(), new_classes: 0, new_tenants: 0, compared_edition };
        let names = classes.iter().map(|class| class.name()).collect();
        reload.changes.extend(self.0.classes.in_force_except(&names).into_iter().map(Change::RemoveClass));
        let names = tenants.iter().map(|tenant| tenant.name()).collect();
        reload.changes.extend(self.0.tenants.in_force_except(&names).into_iter().map(Change::RemoveTenant));
        for class in classes {
            let difference = self.0.classes.compare(&class);
            reload.new_classes += usize::from(matches!(difference, Difference::New));
            if !matches!(difference, Difference::Unchanged) {
                reload.changes.push(Change::PutClass(class));
            }
        }
        for tenant in tenants {
            let difference = self.0.tenants.compare(&tenant);
            reload.new_tenants += usize::from(matches!(difference, Difference::New));
            if !matches!(difference, Difference::Unchanged) {
                reload.changes.push(Change::PutTenant(tenant));
            }
        }
        reload
    }
}

#[cfg(test)]
mod tests;
