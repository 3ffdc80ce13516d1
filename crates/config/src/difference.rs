//! What turns one state into another: the transactions for a whole file, and for going back.
//!
//! A removal and an addition of one kind are paired and never parted by the end of a transaction, so that no
//! transaction in between takes the last class or goes past the bounds where both ends are within them.

use crate::change::{Change, MAX_CHANGES, Rule, Transaction};
use crate::configuration::Configuration;
use crate::digest::Entry;
use crate::validation::Invalid;
use gradepin_admission::Settings;
use std::sync::Arc;

impl Configuration {
    /// The transactions that make this state's entries those of some settings. Deterministic; none where nothing differs.
    pub fn difference(&self, settings: &Settings) -> Result<Vec<Transaction>, Invalid> {
        Ok(self.difference_to(&Self::from_settings(settings)?))
    }

    /// The transactions that make this state's entries those of another state. Chunks that both share cost nothing.
    pub fn difference_to(&self, target: &Self) -> Vec<Transaction> {
        let mut parts = Parts::default();
        for (ours, theirs) in self.chunks.iter().zip(target.chunks.iter()) {
            if ours.as_ref().map(|chunk| chunk.digest) == theirs.as_ref().map(|chunk| chunk.digest) {
                continue;
            }
            if let Some(chunk) = theirs {
                chunk.entries().for_each(|entry| parts.put(self, entry));
            }
            if let Some(chunk) = ours {
                chunk.entries().for_each(|entry| parts.remove(target, &entry));
            }
        }
        let digest = |rule: Rule| Entry::Rule(rule).digest();
        let same = |rule: &Rule| self.rules.same_kind(rule).map(digest) == Some(digest(*rule));
        let rules = target.rules().filter(|rule| !same(rule));
        let rules: Vec<Group> = rules.map(|rule| vec![Change::PutRule(rule)]).collect();
        let classes = paired(parts.put_classes, parts.removed_classes);
        let tenants = paired(parts.put_tenants, parts.removed_tenants);
        packed(rules.into_iter().chain(classes).chain(tenants))
    }
}

/// Changes that belong into one transaction.
type Group = Vec<Change>;

#[derive(Default)]
struct Parts {
    put_classes: Vec<Change>,
    removed_classes: Vec<Change>,
    put_tenants: Vec<Change>,
    removed_tenants: Vec<Change>,
}

impl Parts {
    fn put(&mut self, from: &Configuration, entry: Entry) {
        let before = match &entry {
            Entry::Class(class) => from.class(&class.profile.name).cloned().map(Entry::Class),
            Entry::Tenant(tenant) => from.tenant(&tenant.name).cloned().map(Entry::Tenant),
            Entry::Rule(_) => None,
        };
        // By the encoding: 0 and -0 are equal as numbers, and not as states.
        if before.is_some_and(|before| before.digest() == entry.digest()) {
            return;
        }
        match entry {
            Entry::Class(class) => self.put_classes.push(Change::PutClass(class)),
            Entry::Tenant(tenant) => self.put_tenants.push(Change::PutTenant(tenant)),
            Entry::Rule(_) => {}
        }
    }

    fn remove(&mut self, target: &Configuration, entry: &Entry) {
        match entry {
            Entry::Class(class) if target.class(&class.profile.name).is_none() => {
                self.removed_classes.push(Change::RemoveClass(Arc::from(class.profile.name.as_str())));
            }
            Entry::Tenant(tenant) if target.tenant(&tenant.name).is_none() => {
                self.removed_tenants.push(Change::RemoveTenant(Arc::from(tenant.name.as_str())));
            }
            _ => {}
        }
    }
}

fn paired(put: Vec<Change>, removed: Vec<Change>) -> Vec<Group> {
    let mut removed = removed.into_iter();
    let mut groups: Vec<Group> =
        put.into_iter().map(|put| removed.next().into_iter().chain(std::iter::once(put)).collect()).collect();
    groups.extend(removed.map(|one| vec![one]));
    groups
}

fn packed(groups: impl Iterator<Item = Group>) -> Vec<Transaction> {
    let mut transactions: Vec<Transaction> = Vec::new();
    for group in groups {
        match transactions.last_mut().filter(|last| last.changes.len() + group.len() <= MAX_CHANGES) {
            Some(last) => last.changes.extend(group),
            None => transactions.push(Transaction { changes: group }),
        }
    }
    transactions
}
