//! Small configurations and random histories for the tests of this crate.
#![allow(dead_code)]

use gradepin_admission::{ClassProfile, Idempotency, Settings, Span, Tenant};
use gradepin_config::{Change, ClassDefinition, Commit, Configuration, Revision, Rule, Transaction};
use proptest::prelude::*;
use std::sync::Arc;

const MS: u64 = 1_000_000;

pub fn class(name: &str, latency_objective_ms: u64) -> ClassDefinition {
    let profile = ClassProfile {
        name: name.into(),
        latency_objective: Span(latency_objective_ms * MS),
        deadline: Span(2 * latency_objective_ms * MS),
        effect: Idempotency::Idempotent,
        late_value: 0.0,
        window: Span(0),
        priority_weight: 1.0,
        objective_stretch: 0.0,
    };
    ClassDefinition { profile, calls: true, skip_weight: 0.0 }
}

pub fn tenant(name: &str, portion: f64) -> Tenant {
    Tenant { name: name.into(), quota_rps: 10.0, portion }
}

pub fn put_class(class: ClassDefinition) -> Change {
    Change::PutClass(Arc::new(class))
}

pub fn put_tenant(tenant: Tenant) -> Change {
    Change::PutTenant(Arc::new(tenant))
}

/// Settings with these classes and tenants, and valid values of all rules.
pub fn settings(classes: &[ClassDefinition], tenants: &[Tenant]) -> Settings {
    let mut settings = Settings {
        profiles: classes.iter().map(|class| class.profile.clone()).collect(),
        tenants: tenants.to_vec(),
        over_quota_weight: 1.0,
        ..Settings::default()
    };
    settings.rules.max_concurrency_per_core = 4.0;
    settings.rules.cold_capacity = 1.0;
    settings.specifics.calls_by_class = classes.iter().map(|class| class.calls).collect();
    settings.specifics.class_skip_weights = classes.iter().map(|class| class.skip_weight).collect();
    settings
}

/// A base configuration with one class and one tenant.
pub fn base() -> Configuration {
    let settings = settings(&[class("label-save", 100)], &[tenant("acme", 0.5)]);
    Configuration::from_settings(&settings).expect("a valid base")
}

pub fn commit(revision: u64, changes: Vec<Change>) -> Commit {
    Commit {
        revision: Revision(revision),
        author: "ada".into(),
        reason: "test".into(),
        request_id: format!("request-{revision}").into(),
        proposed_at_ms: 0,
        transaction: Transaction { changes },
    }
}

fn name() -> impl Strategy<Value = String> {
    // Few names, so that changes concern the same entries, but enough for several chunks.
    (0..12u8).prop_map(|n| format!("name-{n}"))
}

/// A change that is valid by itself in most cases.
pub fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (name(), 0..40u64).prop_map(|(name, latency_objective)| put_class(class(&name, latency_objective))),
        2 => name().prop_map(|name| Change::RemoveClass(name.into())),
        4 => (name(), 0..40u8).prop_map(|(name, part)| put_tenant(tenant(&name, f64::from(part) / 30.0))),
        2 => name().prop_map(|name| Change::RemoveTenant(name.into())),
        1 => (0..20u64).prop_map(|ms| Change::PutRule(Rule::Cold(Span(ms * MS)))),
        1 => (0..12u8).prop_map(|part| Change::PutRule(Rule::ColdShare(f64::from(part) / 10.0))),
    ]
}

/// A history of transactions, some of which are not valid for the state before them.
pub fn transactions() -> impl Strategy<Value = Vec<Vec<Change>>> {
    prop::collection::vec(prop::collection::vec(change(), 0..5), 1..40)
}

/// The settings of a start file with a few classes and tenants.
pub fn start_file_settings() -> impl Strategy<Value = Settings> {
    let classes = prop::collection::btree_map(name(), 1..40u64, 1..10);
    let tenants = prop::collection::btree_map(name(), 0..10u8, 0..10);
    (classes, tenants, 1..9u64).prop_map(|(classes, tenants, cold)| {
        let classes: Vec<_> =
            classes.iter().map(|(name, latency_objective)| class(name, *latency_objective)).collect();
        let tenants: Vec<_> =
            tenants.iter().map(|(name, part)| tenant(name, f64::from(*part) / 10.0)).collect();
        let mut settings = settings(&classes, &tenants);
        settings.rules.warm_up_time = Span(cold * MS);
        settings
    })
}

/// The digest of a state, recomputed as the sum over all entries without the incrementally updated digest.
pub fn recomputed_digest(state: &Configuration) -> gradepin_config::Digest {
    use gradepin_config::digest::StateEntry;
    let classes = state.classes().cloned().map(StateEntry::Class);
    let tenants = state.tenants().cloned().map(StateEntry::Tenant);
    let entries = classes.chain(tenants).chain(state.rules().map(StateEntry::Rule));
    entries.fold(gradepin_config::Digest::default(), |sum, entry| sum.plus(entry.digest()))
}
