//! The state: all classes, tenants and rules in force after a prefix of the committed log.
//!
//! Copies are cheap and share what they have in common. A commit costs the size of its transaction.
//! Invariant: the digest is the sum over the entries, however the state was reached.

use crate::change::{
    Change, ClassDefinition, Commit, MAX_CLASSES, MAX_TENANTS, Proposal, Revision, Rule, Transaction,
};
use crate::chunk::{CHUNKS, Chunk, ChunkNumber};
use crate::digest::{Digest, Entry, Version};
use crate::rules::RuleSet;
use crate::validation::{self, EntryIndex, Invalid};
use gradepin_admission::{Settings, Tenant};
use std::sync::Arc;

/// All classes, tenants and rules at one revision.
#[derive(Debug, Clone)]
pub struct Configuration {
    revision: Revision,
    digest: Digest,
    classes: usize,
    tenants: usize,
    pub(crate) rules: RuleSet,
    pub(crate) chunks: Arc<Vec<Option<Arc<Chunk>>>>,
}

/// Why a commit can't be applied. The state is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// It does not follow what was applied before.
    #[error("expected revision {expected}, got {came}")]
    Gap {
        /// The one that would follow.
        expected: Revision,
        /// The one of the commit.
        came: Revision,
    },
    /// Its transaction is not valid here.
    #[error(transparent)]
    Invalid(#[from] Invalid),
}

/// Why a proposal is refused before it is proposed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommitRejected {
    /// The author saw another revision than the one in force.
    #[error("expected revision {expected} in force, got {in_force}")]
    Moved {
        /// What the author saw.
        expected: Revision,
        /// What is in force.
        in_force: Revision,
    },
    /// It is not valid.
    #[error(transparent)]
    Invalid(#[from] Invalid),
}

impl Default for Configuration {
    fn default() -> Self {
        Self {
            revision: Revision(0),
            digest: Digest::default(),
            classes: 0,
            tenants: 0,
            rules: RuleSet::default(),
            chunks: Arc::new(vec![None; usize::from(CHUNKS)]),
        }
    }
}

impl Configuration {
    /// The classes, tenants and rules of the start file, at revision 0. Servers that start from the same entries have
    /// the same digest, in whichever order the file names them.
    pub fn from_settings(settings: &Settings) -> Result<Self, Invalid> {
        let (classes, tenants) = (settings.profiles.len(), settings.customers.len());
        validation::at_most("settings.profiles", classes, MAX_CLASSES, "classes")?;
        validation::at_most("settings.customers", tenants, MAX_TENANTS, "tenants")?;
        let mut configuration = Self::default();
        for rule in RuleSet::of(settings).iter() {
            configuration.put_rule(rule);
        }
        for class in definitions(settings) {
            let path = format!("settings.profiles.{}", class.profile.name);
            validation::check_chunk_capacity(&configuration, &path, &class.profile.name)?;
            configuration.put_class(Arc::new(class));
        }
        for tenant in &settings.customers {
            let path = format!("settings.customers.{}", tenant.name);
            validation::check_chunk_capacity(&configuration, &path, &tenant.name)?;
            configuration.put_tenant(Arc::new(tenant.clone()));
        }
        if configuration.classes < classes || configuration.tenants < tenants {
            return Err(Invalid::new("settings", "each name once", "a name twice"));
        }
        Ok(configuration)
    }

    /// From the parts of a snapshot.
    pub(crate) fn assembled(revision: Revision, rules: RuleSet, chunks: Vec<Option<Arc<Chunk>>>) -> Self {
        let there = || chunks.iter().flatten();
        Self {
            revision,
            digest: there().fold(rules.digest(), |sum, chunk| sum.plus(chunk.digest)),
            classes: there().map(|chunk| chunk.classes.len()).sum(),
            tenants: there().map(|chunk| chunk.tenants.len()).sum(),
            rules,
            chunks: Arc::new(chunks),
        }
    }

    /// The last commit applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The digest of all entries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Revision and digest, to be compared with another server's.
    pub fn version(&self) -> Version {
        Version { revision: self.revision, digest: self.digest }
    }

    /// How many classes there are.
    pub fn class_count(&self) -> usize {
        self.classes
    }

    /// How many tenants there are.
    pub fn tenant_count(&self) -> usize {
        self.tenants
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<&Arc<ClassDefinition>> {
        self.chunk(ChunkNumber::of(name))?.classes.get(name)
    }

    /// The tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.chunk(ChunkNumber::of(name))?.tenants.get(name)
    }

    /// The rules that are set.
    pub fn rules(&self) -> impl Iterator<Item = Rule> + '_ {
        self.rules.iter()
    }

    /// All classes, in the canonical order.
    pub fn classes(&self) -> impl Iterator<Item = &Arc<ClassDefinition>> {
        self.chunks.iter().flatten().flat_map(|chunk| chunk.classes.iter())
    }

    /// All tenants, in the canonical order.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.chunks.iter().flatten().flat_map(|chunk| chunk.tenants.iter())
    }

    pub(crate) fn chunk(&self, number: ChunkNumber) -> Option<&Arc<Chunk>> {
        self.chunks.get(usize::from(number.0))?.as_ref()
    }

    /// Whether a transaction can be applied to this state. Servers and the check before a proposal use this.
    pub fn validate(&self, transaction: &Transaction) -> Result<(), Invalid> {
        validation::transaction(self, transaction)
    }

    /// Whether a proposal may be committed next.
    pub fn check(&self, proposal: &Proposal) -> Result<(), CommitRejected> {
        validation::texts(proposal)?;
        match proposal.expected {
            Some(expected) if expected != self.revision => {
                Err(CommitRejected::Moved { expected, in_force: self.revision })
            }
            _ => Ok(self.validate(&proposal.transaction)?),
        }
    }

    /// Applies a commit that follows the ones before; on an error nothing changes.
    pub fn apply(&mut self, commit: &Commit) -> Result<(), ApplyError> {
        let expected = self.revision.next();
        if commit.revision != expected {
            return Err(ApplyError::Gap { expected, came: commit.revision });
        }
        self.validate(&commit.transaction)?;
        commit.transaction.changes.iter().for_each(|change| self.change(change));
        self.revision = commit.revision;
        Ok(())
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::PutClass(class) => self.put_class(Arc::clone(class)),
            Change::RemoveClass(name) => self.remove_class(name),
            Change::PutTenant(tenant) => self.put_tenant(Arc::clone(tenant)),
            Change::RemoveTenant(name) => self.remove_tenant(name),
            Change::PutRule(rule) => self.put_rule(*rule),
        }
    }

    /// The chunk of a name, for writing: a copy where another holder shares it.
    fn chunk_mut(&mut self, name: &str) -> &mut Chunk {
        let place = usize::from(ChunkNumber::of(name).0);
        Arc::make_mut(Arc::make_mut(&mut self.chunks)[place].get_or_insert_default())
    }

    /// Counts an entry that came and one that went, where there were such.
    fn account(&mut self, name: &str, came: Option<Entry>, gone: Option<Entry>) {
        let digest = |entry: Option<Entry>| entry.map_or(Digest::default(), |entry| entry.digest());
        let (came, gone) = (digest(came), digest(gone));
        self.digest = self.digest.plus(came).minus(gone);
        let chunk = self.chunk_mut(name);
        chunk.digest = chunk.digest.plus(came).minus(gone);
        if chunk.len() == 0 {
            // An empty chunk and none are the same state.
            Arc::make_mut(&mut self.chunks)[usize::from(ChunkNumber::of(name).0)] = None;
        }
    }

    fn put_class(&mut self, class: Arc<ClassDefinition>) {
        let name = class.profile.name.clone();
        let before = self.chunk_mut(&name).classes.put(Arc::clone(&class));
        self.classes += usize::from(before.is_none());
        self.account(&name, Some(Entry::Class(class)), before.map(Entry::Class));
    }

    fn remove_class(&mut self, name: &str) {
        let before = self.chunk_mut(name).classes.remove(name);
        self.classes -= usize::from(before.is_some());
        self.account(name, None, before.map(Entry::Class));
    }

    fn put_tenant(&mut self, tenant: Arc<Tenant>) {
        let name = tenant.name.clone();
        let before = self.chunk_mut(&name).tenants.put(Arc::clone(&tenant));
        self.tenants += usize::from(before.is_none());
        self.account(&name, Some(Entry::Tenant(tenant)), before.map(Entry::Tenant));
    }

    fn remove_tenant(&mut self, name: &str) {
        let before = self.chunk_mut(name).tenants.remove(name);
        self.tenants -= usize::from(before.is_some());
        self.account(name, None, before.map(Entry::Tenant));
    }

    fn put_rule(&mut self, rule: Rule) {
        if let Some(before) = self.rules.put(rule) {
            self.digest = self.digest.minus(Entry::Rule(before).digest());
        }
        self.digest = self.digest.plus(Entry::Rule(rule).digest());
    }

    /// These entries over the rest of some settings: what a server goes by. Costs the size of the whole.
    pub fn over(&self, rest: &Settings) -> Settings {
        let mut settings = rest.clone();
        self.rules().for_each(|rule| rule.write(&mut settings));
        settings.profiles = self.classes().map(|class| class.profile.clone()).collect();
        settings.specifics.calls_by_class = self.classes().map(|class| class.calls).collect();
        settings.specifics.class_skip_weights = self.classes().map(|class| class.skip_weight).collect();
        settings.customers = self.tenants().map(|tenant| Tenant::clone(tenant)).collect();
        settings
    }
}

impl EntryIndex for Configuration {
    fn class_count(&self) -> usize {
        self.classes
    }

    fn tenant_count(&self) -> usize {
        self.tenants
    }

    fn has_class(&self, name: &str) -> bool {
        self.class(name).is_some()
    }

    fn has_tenant(&self, name: &str) -> bool {
        self.tenant(name).is_some()
    }

    fn chunk_entries(&self, number: ChunkNumber) -> usize {
        self.chunk(number).map_or(0, |chunk| chunk.len())
    }
}

/// The classes of settings, each with what the settings keep beside it by its place.
pub(crate) fn definitions(settings: &Settings) -> impl Iterator<Item = ClassDefinition> + '_ {
    let specifics = &settings.specifics;
    settings.profiles.iter().enumerate().map(|(place, profile)| ClassDefinition {
        profile: profile.clone(),
        // The decision module takes a class that the list is too short for as one that calls.
        calls: specifics.calls_by_class.get(place).copied().unwrap_or(true),
        skip_weight: specifics.class_skip_weights.get(place).copied().unwrap_or(0.0),
    })
}
