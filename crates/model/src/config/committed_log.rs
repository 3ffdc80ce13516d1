//! The committed log, and the check that a server's state is a prefix of it.

use gradepin_admission::{ClassProfile, Idempotency, Tenant, span_from_seconds};
use gradepin_config::change::{Change, ClassDefinition, Commit, Revision, Transaction};
use gradepin_config::{Configuration, Snapshot, Version};
use std::sync::Arc;

/// Changes per transaction of the initial state.
const CHANGES_PER_TRANSACTION: usize = 500;

/// The committed log; only the simulation writes it.
#[derive(Debug, Clone)]
pub struct CommittedLog {
    state: Configuration,
    base: Configuration,
    commits: Vec<Arc<Commit>>,
    versions: Vec<Version>,
}

/// A change that defines a class.
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

/// A change that defines a tenant.
pub fn tenant(name: &str, quota_rps: f64) -> Change {
    Change::PutTenant(Arc::new(Tenant { name: name.to_string(), quota_rps, portion: 0.001 }))
}

impl CommittedLog {
    /// Creates a log whose initial state has this many classes and tenants.
    pub fn new(classes: usize, tenants: usize) -> Self {
        let mut committed_log = Self {
            state: Configuration::default(),
            base: Configuration::default(),
            commits: Vec::new(),
            versions: vec![Configuration::default().version()],
        };
        let classes = (0..classes.max(1)).map(|n| class(&format!("class-{n}"), 1.0));
        let tenants = (0..tenants).map(|n| tenant(&format!("tenant-{n}"), 10.0));
        let all: Vec<Change> = classes.chain(tenants).collect();
        for changes in all.chunks(CHANGES_PER_TRANSACTION) {
            committed_log.commit(changes.to_vec(), 0);
        }
        committed_log.base = committed_log.state.clone();
        committed_log
    }

    /// Initial state of the run.
    pub fn base(&self) -> &Configuration {
        &self.base
    }

    /// Latest state.
    pub fn state(&self) -> &Configuration {
        &self.state
    }

    /// Latest revision.
    pub fn revision(&self) -> Revision {
        self.state.revision()
    }

    /// Commits a change; returns false if it can't be applied.
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

    /// Returns a commit by its revision.
    pub fn get(&self, revision: Revision) -> Option<&Arc<Commit>> {
        self.commits.get(revision.0.checked_sub(1)? as usize)
    }

    /// Describes why a version is no prefix of the log; `None` if it is one.
    pub fn violation(&self, version: Version) -> Option<String> {
        let expected = self.versions.get(version.revision.0 as usize);
        (expected != Some(&version)).then(|| format!("state {version} is no prefix of the log"))
    }

    /// Describes why a commit must not come into force after a revision.
    pub fn commit_violation(&self, before: Revision, commit: &Commit) -> Option<String> {
        if commit.revision != before.next() {
            return Some(format!("{} came into force after {before}", commit.revision));
        }
        let same = self.get(commit.revision).is_some_and(|known| **known == *commit);
        (!same).then(|| format!("another commit of revision {} came into force", commit.revision))
    }

    /// Describes why a snapshot must not come into force after a revision.
    pub fn snapshot_violation(&self, before: Revision, snapshot: &Snapshot) -> Option<String> {
        let version = snapshot.version();
        if version.revision < before {
            return Some(format!("a snapshot of {} came into force after {before}", version.revision));
        }
        self.violation(version)
    }
}
