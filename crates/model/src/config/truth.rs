//! The committed log, and the check that a server's state is a prefix of it.

use gradepin_admission::{ClassProfile, Idempotency, Tenant, span_from_seconds};
use gradepin_config::change::{Change, ClassDefinition, Commit, Revision, Transaction};
use gradepin_config::{Configuration, Snapshot, Version};
use std::sync::Arc;

/// Changes in one of the transactions that the first state is made of.
const FIRST: usize = 500;

/// The committed log. It is written by the world alone.
#[derive(Debug, Clone)]
pub struct Truth {
    state: Configuration,
    base: Configuration,
    commits: Vec<Arc<Commit>>,
    versions: Vec<Version>,
}

/// A class of this name.
pub fn class(name: &str, priority_weight: f64) -> Change {
    let profile = ClassProfile {
        name: name.to_string(),
        latency_objective: span_from_seconds(1.0),
        deadline: span_from_seconds(4.0),
        effect: Idempotency::Idempotent,
        late_value: 0.3,
        window: span_from_seconds(0.0),
        priority_weight,
        objective_stretch: 0.0,
    };
    Change::PutClass(Arc::new(ClassDefinition { profile, calls: false, skip_weight: 0.0 }))
}

/// A tenant of this name.
pub fn tenant(name: &str, quota_rps: f64) -> Change {
    Change::PutTenant(Arc::new(Tenant { name: name.to_string(), quota_rps, portion: 0.001 }))
}

impl Truth {
    /// With so many classes and tenants to begin with.
    pub fn new(classes: usize, tenants: usize) -> Self {
        let mut truth = Self {
            state: Configuration::default(),
            base: Configuration::default(),
            commits: Vec::new(),
            versions: vec![Configuration::default().version()],
        };
        let classes = (0..classes.max(1)).map(|n| class(&format!("class-{n}"), 1.0));
        let tenants = (0..tenants).map(|n| tenant(&format!("tenant-{n}"), 10.0));
        let all: Vec<Change> = classes.chain(tenants).collect();
        for changes in all.chunks(FIRST) {
            truth.commit(changes.to_vec(), 0);
        }
        truth.base = truth.state.clone();
        truth
    }

    /// The state that the day begins with.
    pub fn base(&self) -> &Configuration {
        &self.base
    }

    /// The last state.
    pub fn state(&self) -> &Configuration {
        &self.state
    }

    /// The last revision.
    pub fn revision(&self) -> Revision {
        self.state.revision()
    }

    /// Commits a change; whether it could be applied.
    pub fn commit(&mut self, changes: Vec<Change>, proposed_at_ms: u64) -> bool {
        let revision = self.revision().next();
        let commit = Arc::new(Commit {
            revision,
            author: Arc::from("operator@example"),
            reason: Arc::from("raise the quota after the call of this morning"),
            request_id: Arc::from(format!("request-{revision}")),
            proposed_at_ms,
            transaction: Transaction { changes },
        });
        let good = self.state.apply(&commit).is_ok();
        if good {
            self.commits.push(commit);
            self.versions.push(self.state.version());
        }
        good
    }

    /// A commit by its revision.
    pub fn get(&self, revision: Revision) -> Option<&Arc<Commit>> {
        self.commits.get(revision.0.checked_sub(1)? as usize)
    }

    /// Why a state can't be one of a server; none if it is a prefix.
    pub fn breach(&self, version: Version) -> Option<String> {
        let expected = self.versions.get(version.revision.0 as usize);
        (expected != Some(&version)).then(|| format!("state {version} is no prefix of the log"))
    }

    /// Why a commit can't come into force after a revision.
    pub fn breach_of_commit(&self, before: Revision, commit: &Commit) -> Option<String> {
        if commit.revision != before.next() {
            return Some(format!("{} came into force after {before}", commit.revision));
        }
        let same = self.get(commit.revision).is_some_and(|known| **known == *commit);
        (!same).then(|| format!("another commit of revision {} came into force", commit.revision))
    }

    /// Why a snapshot can't come into force after a revision.
    pub fn breach_of_snapshot(&self, before: Revision, snapshot: &Snapshot) -> Option<String> {
        let version = snapshot.version();
        if version.revision < before {
            return Some(format!("a snapshot of {} came into force after {before}", version.revision));
        }
        self.breach(version)
    }
}
