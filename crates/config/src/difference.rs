//! Computes the transactions that turn one state into another: for applying a complete configuration file, and for rollbacks.
//!
//! Additions and removals of the same kind are paired one to one, and a pair is never split between transactions. So if both states
//! are within the limits, no intermediate state lacks a class or exceeds a limit.

use crate::change::{Change, MAX_CHANGES, Rule, Transaction};
use crate::configuration::Configuration;
use crate::digest::StateEntry;
use crate::validation::Invalid;
use gradepin_admission::Settings;
use std::sync::Arc;

impl Configuration {
    /// The transactions that turn the entries of this state into those of `settings`. Deterministic, and empty if nothing differs.
    pub fn difference(&self, settings: &Settings) -> Result<Vec<Transaction>, Invalid> {
        Ok(self.difference_to(&Self::from_settings(settings)?))
    }

    /// The transactions that turn the entries of this state into those of `target`. Chunks with equal digests are skipped.
    pub fn difference_to(&self, target: &Self) -> Vec<Transaction> {
        let mut changes = ChangesByKind::default();
        for (ours, theirs) in self.chunks.iter().zip(target.chunks.iter()) {
            if ours.as_ref().map(|chunk| chunk.digest) == theirs.as_ref().map(|chunk| chunk.digest) {
                continue;
            }
            if let Some(chunk) = theirs {
                chunk.entries().for_each(|entry| changes.add_put(self, entry));
            }
            if let Some(chunk) = ours {
                chunk.entries().for_each(|entry| changes.add_removal(target, &entry));
            }
        }
        let digest = |rule: Rule| StateEntry::Rule(rule).digest();
        let is_in_force = |rule: &Rule| self.rules.same_kind(rule).map(digest) == Some(digest(*rule));
        let changed_rules = target.rules().filter(|rule| !is_in_force(rule));
        let rules: Vec<Group> = changed_rules.map(|rule| vec![Change::PutRule(rule)]).collect();
        let classes = pair(changes.put_classes, changes.removed_classes);
        let tenants = pair(changes.put_tenants, changes.removed_tenants);
        pack(rules.into_iter().chain(classes).chain(tenants))
    }
}

/// Changes that must stay in the same transaction.
type Group = Vec<Change>;

/// Changes of classes and tenants, by kind and by addition or removal.
#[derive(Default)]
struct ChangesByKind {
    put_classes: Vec<Change>,
    removed_classes: Vec<Change>,
    put_tenants: Vec<Change>,
    removed_tenants: Vec<Change>,
}

impl ChangesByKind {
    fn add_put(&mut self, from: &Configuration, entry: StateEntry) {
        let before = match &entry {
            StateEntry::Class(class) => from.class(&class.profile.name).cloned().map(StateEntry::Class),
            StateEntry::Tenant(tenant) => from.tenant(&tenant.name).cloned().map(StateEntry::Tenant),
            StateEntry::Rule(_) => None,
        };
        // Compared by digest, hence by encoding: 0 and -0 are equal numbers but lead to different state digests.
        if before.is_some_and(|before| before.digest() == entry.digest()) {
            return;
        }
        match entry {
            StateEntry::Class(class) => self.put_classes.push(Change::PutClass(class)),
            StateEntry::Tenant(tenant) => self.put_tenants.push(Change::PutTenant(tenant)),
            StateEntry::Rule(_) => {}
        }
    }

    fn add_removal(&mut self, target: &Configuration, entry: &StateEntry) {
        match entry {
            StateEntry::Class(class) if target.class(&class.profile.name).is_none() => {
                self.removed_classes.push(Change::RemoveClass(Arc::from(class.profile.name.as_str())));
            }
            StateEntry::Tenant(tenant) if target.tenant(&tenant.name).is_none() => {
                self.removed_tenants.push(Change::RemoveTenant(Arc::from(tenant.name.as_str())));
            }
            _ => {}
        }
    }
}

/// Pairs additions with removals one to one; additions and removals without a counterpart form groups of one.
fn pair(put: Vec<Change>, removed: Vec<Change>) -> Vec<Group> {
    let mut removed = removed.into_iter();
    let mut groups: Vec<Group> =
        put.into_iter().map(|put| removed.next().into_iter().chain(std::iter::once(put)).collect()).collect();
    groups.extend(removed.map(|removal| vec![removal]));
    groups
}

/// Packs groups into transactions of at most [`MAX_CHANGES`] changes, in order, without splitting a group.
fn pack(groups: impl Iterator<Item = Group>) -> Vec<Transaction> {
    let mut transactions: Vec<Transaction> = Vec::new();
    for group in groups {
        match transactions.last_mut().filter(|last| last.changes.len() + group.len() <= MAX_CHANGES) {
            Some(last) => last.changes.extend(group),
            None => transactions.push(Transaction { changes: group }),
        }
    }
    transactions
}
