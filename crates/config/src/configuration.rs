//! The state: all classes, tenants and rules in force after a prefix of the committed log.
//!
//! A clone is cheap because it shares all chunks with the original. The cost of applying a commit is proportional to the size of
//! its transaction.
//!
//! Invariant: the digest is the sum of the digests of the entries, independent of the commits that led to them.

use crate::change::{
    Change, ClassDefinition, Commit, MAX_CLASSES, MAX_TENANTS, Proposal, Revision, Rule, Transaction,
};
use crate::chunk::{CHUNKS, Chunk, ChunkNumber};
use crate::digest::{Digest, StateEntry, Version};
use crate::rules::RuleSet;
use crate::validation::{self, EntryIndex, Invalid};
use gradepin_admission::{Settings, Tenant};
use std::sync::Arc;

/// All classes, tenants and rules at one revision. The default is an empty configuration at revision 0.
#[derive(Debug, Clone)]
pub struct Configuration {
    revision: Revision,
    digest: Digest,
    class_count: usize,
    tenant_count: usize,
    pub(crate) rules: RuleSet,
    /// Indexed by chunk number, [`CHUNKS`] elements; `None` for an empty chunk.
    pub(crate) chunks: Arc<Vec<Option<Arc<Chunk>>>>,
}

/// Why a commit can't be applied. The state is unchanged after an error.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The revision of the commit is not the one after the state's revision.
    #[error("expected revision {expected}, got {actual}")]
    Gap {
        /// The revision after that of the state.
        expected: Revision,
        /// The revision of the commit.
        actual: Revision,
    },
    /// The transaction is not valid for this state.
    #[error(transparent)]
    Invalid(#[from] Invalid),
}

/// Why a proposal is rejected before it is proposed to the consensus group.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposalCheckError {
    /// The revision in force is not the one that the author expected.
    #[error("expected revision {expected} in force, got {in_force}")]
    Stale {
        /// The revision that the author expected.
        expected: Revision,
        /// The revision in force.
        in_force: Revision,
    },
    /// A text or the transaction of the proposal is not valid.
    #[error(transparent)]
    Invalid(#[from] Invalid),
}

impl Default for Configuration {
    fn default() -> Self {
        Self {
            revision: Revision(0),
            digest: Digest::default(),
            class_count: 0,
            tenant_count: 0,
            rules: RuleSet::default(),
            chunks: Arc::new(vec![None; usize::from(CHUNKS)]),
        }
    }
}

impl Configuration {
    /// The classes, tenants and rules of the start file, at revision 0. Servers that start from the same entries have the same
    /// digest, whatever the order in their files. Returns an error if a limit is exceeded or a name occurs twice.
    pub fn from_settings(settings: &Settings) -> Result<Self, Invalid> {
        let (classes, tenants) = (settings.profiles.len(), settings.tenants.len());
        validation::check_max("settings.profiles", classes, MAX_CLASSES, "classes")?;
        validation::check_max("settings.customers", tenants, MAX_TENANTS, "tenants")?;
        let mut configuration = Self::default();
        for rule in RuleSet::of(settings).iter() {
            configuration.put_rule(rule);
        }
        for class in settings.class_definitions() {
            let path = format!("settings.profiles.{}", class.profile.name);
            validation::check_chunk_capacity(&configuration, &path, &class.profile.name)?;
            configuration.put_class(Arc::new(class));
        }
        for tenant in &settings.tenants {
            let path = format!("settings.customers.{}", tenant.name);
            validation::check_chunk_capacity(&configuration, &path, &tenant.name)?;
            configuration.put_tenant(Arc::new(tenant.clone()));
        }
        if configuration.class_count < classes || configuration.tenant_count < tenants {
            return Err(Invalid::new("settings", "each name once", "a name twice"));
        }
        Ok(configuration)
    }

    /// A state built from chunks that were verified against a manifest.
    pub(crate) fn from_chunks(revision: Revision, rules: RuleSet, chunks: Vec<Option<Arc<Chunk>>>) -> Self {
        let non_empty = || chunks.iter().flatten();
        Self {
            revision,
            digest: non_empty().fold(rules.digest(), |sum, chunk| sum.plus(chunk.digest)),
            class_count: non_empty().map(|chunk| chunk.classes.len()).sum(),
            tenant_count: non_empty().map(|chunk| chunk.tenants.len()).sum(),
            rules,
            chunks: Arc::new(chunks),
        }
    }

    /// The revision of the last applied commit; 0 if there was none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The sum of the digests of all entries and rules.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Revision and digest, for comparison with another server.
    pub fn version(&self) -> Version {
        Version { revision: self.revision, digest: self.digest }
    }

    /// Number of classes in force.
    pub fn class_count(&self) -> usize {
        self.class_count
    }

    /// Number of tenants in force.
    pub fn tenant_count(&self) -> usize {
        self.tenant_count
    }

    /// The class with this name, if it is in force.
    pub fn class(&self, name: &str) -> Option<&Arc<ClassDefinition>> {
        self.chunk(ChunkNumber::of(name))?.classes.get(name)
    }

    /// The tenant with this name, if it is in force.
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.chunk(ChunkNumber::of(name))?.tenants.get(name)
    }

    /// The rules that are set, in the order of their kinds.
    pub fn rules(&self) -> impl Iterator<Item = Rule> + '_ {
        self.rules.iter()
    }

    /// All classes in canonical order: by chunk number, then by name.
    pub fn classes(&self) -> impl Iterator<Item = &Arc<ClassDefinition>> {
        self.chunks.iter().flatten().flat_map(|chunk| chunk.classes.iter())
    }

    /// All tenants in canonical order: by chunk number, then by name.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.chunks.iter().flatten().flat_map(|chunk| chunk.tenants.iter())
    }

    /// The chunk with this number; `None` if it is empty.
    pub(crate) fn chunk(&self, number: ChunkNumber) -> Option<&Arc<Chunk>> {
        self.chunks.get(usize::from(number.0))?.as_ref()
    }

    /// Checks that a transaction can be applied to this state and that its classes are usable.
    pub fn validate(&self, transaction: &Transaction) -> Result<(), Invalid> {
        validation::check_transaction(self, transaction)?;
        validation::check_usable(transaction)
    }

    /// Checks the texts, the expected revision and the transaction of a proposal against this state.
    pub fn check_proposal(&self, proposal: &Proposal) -> Result<(), ProposalCheckError> {
        validation::check_proposal_texts(proposal)?;
        match proposal.expected {
            Some(expected) if expected != self.revision => {
                Err(ProposalCheckError::Stale { expected, in_force: self.revision })
            }
            _ => Ok(self.validate(&proposal.transaction)?),
        }
    }

    /// Applies the commit that follows this state. On an error the state is unchanged. A class that an earlier version
    /// committed may be unusable: all servers must reach the same state, and none takes such a class into force.
    pub fn apply(&mut self, commit: &Commit) -> Result<(), ApplyError> {
        let expected = self.revision.next();
        if commit.revision != expected {
            return Err(ApplyError::Gap { expected, actual: commit.revision });
        }
        validation::check_transaction(self, &commit.transaction)?;
        commit.transaction.changes.iter().for_each(|change| self.apply_change(change));
        self.revision = commit.revision;
        Ok(())
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::PutClass(class) => self.put_class(Arc::clone(class)),
            Change::RemoveClass(name) => self.remove_class(name),
            Change::PutTenant(tenant) => self.put_tenant(Arc::clone(tenant)),
            Change::RemoveTenant(name) => self.remove_tenant(name),
            Change::PutRule(rule) => self.put_rule(*rule),
        }
    }

    /// The chunk of a name, for writing. It is cloned first if another state shares it.
    fn chunk_mut(&mut self, name: &str) -> &mut Chunk {
        let index = usize::from(ChunkNumber::of(name).0);
        Arc::make_mut(Arc::make_mut(&mut self.chunks)[index].get_or_insert_default())
    }

    /// Updates the digests after an entry was added, removed or replaced, and drops the chunk if it became empty.
    fn update_digests(&mut self, name: &str, added: Option<StateEntry>, removed: Option<StateEntry>) {
        let digest = |entry: Option<StateEntry>| entry.map_or(Digest::default(), |entry| entry.digest());
        let (added, removed) = (digest(added), digest(removed));
        self.digest = self.digest.plus(added).minus(removed);
        let chunk = self.chunk_mut(name);
        chunk.digest = chunk.digest.plus(added).minus(removed);
        if chunk.len() == 0 {
            // Equal states must have equal chunk tables, so an empty chunk is always stored as `None`.
            Arc::make_mut(&mut self.chunks)[usize::from(ChunkNumber::of(name).0)] = None;
        }
    }

    fn put_class(&mut self, class: Arc<ClassDefinition>) {
        let name = class.profile.name.clone();
        let replaced = self.chunk_mut(&name).classes.put(Arc::clone(&class));
        self.class_count += usize::from(replaced.is_none());
        self.update_digests(&name, Some(StateEntry::Class(class)), replaced.map(StateEntry::Class));
    }

    fn remove_class(&mut self, name: &str) {
        let replaced = self.chunk_mut(name).classes.remove(name);
        self.class_count -= usize::from(replaced.is_some());
        self.update_digests(name, None, replaced.map(StateEntry::Class));
    }

    fn put_tenant(&mut self, tenant: Arc<Tenant>) {
        let name = tenant.name.clone();
        let replaced = self.chunk_mut(&name).tenants.put(Arc::clone(&tenant));
        self.tenant_count += usize::from(replaced.is_none());
        self.update_digests(&name, Some(StateEntry::Tenant(tenant)), replaced.map(StateEntry::Tenant));
    }

    fn remove_tenant(&mut self, name: &str) {
        let replaced = self.chunk_mut(name).tenants.remove(name);
        self.tenant_count -= usize::from(replaced.is_some());
        self.update_digests(name, None, replaced.map(StateEntry::Tenant));
    }

    fn put_rule(&mut self, rule: Rule) {
        if let Some(replaced) = self.rules.put(rule) {
            self.digest = self.digest.minus(StateEntry::Rule(replaced).digest());
        }
        self.digest = self.digest.plus(StateEntry::Rule(rule).digest());
    }

    /// Settings with the classes, tenants and rules of this state and everything else from `rest`. The cost is proportional to
    /// the size of the state.
    pub fn to_settings(&self, rest: &Settings) -> Settings {
        let mut settings = rest.clone();
        self.rules().for_each(|rule| rule.write(&mut settings));
        settings.profiles = self.classes().map(|class| class.profile.clone()).collect();
        settings.specifics.calls_by_class = self.classes().map(|class| class.calls).collect();
        settings.specifics.class_skip_weights = self.classes().map(|class| class.skip_weight).collect();
        settings.tenants = self.tenants().map(|tenant| Tenant::clone(tenant)).collect();
        settings
    }
}

impl EntryIndex for Configuration {
    fn class_count(&self) -> usize {
        self.class_count
    }

    fn tenant_count(&self) -> usize {
        self.tenant_count
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
