//! Invalid transactions are rejected with the path, what was expected and what was found, and leave the state unchanged.

mod common;

use common::{base, class, commit, put_class, put_tenant, settings, tenant};
use gradepin_admission::{Idempotency, Span};
use gradepin_config::change::{MAX_CHANGES, MAX_CLASSES, MAX_TENANTS};
use gradepin_config::{
    ApplyError, Change, ClassDefinition, Configuration, Invalid, Proposal, ProposalCheckError, Revision,
    Rule, Transaction,
};

/// Returns the error with which a state rejects changes, and asserts that the state is unchanged.
fn rejection(state: &Configuration, changes: Vec<Change>) -> Invalid {
    let mut after = state.clone();
    let commit = commit(state.revision().0 + 1, changes);
    let Err(ApplyError::Invalid(invalid)) = after.apply(&commit) else {
        panic!("expected a rejection of {commit:?}")
    };
    assert_eq!(after.version(), state.version(), "{invalid}");
    assert_eq!(state.validate(&commit.transaction), Err(invalid.clone()), "validate and apply differ");
    invalid
}

/// A change that replaces the class of the base, modified by `change`.
fn with(change: impl FnOnce(&mut ClassDefinition)) -> Change {
    let mut class = class("label-save", 100);
    change(&mut class);
    put_class(class)
}

#[test]
fn rejects_each_invalid_value_with_its_path() {
    let ok = || put_tenant(tenant("other", 0.1));
    let ms = |n: u64| Span(n * 1_000_000);
    let cases: Vec<(Change, &str, &str, &str)> = vec![
        (
            with(|c| c.profile.deadline = ms(99)),
            "class.label-save.deadline",
            "at least the promise of 100000000 ns",
            "99000000 ns",
        ),
        (
            with(|c| c.profile.latency_objective = ms(0)),
            "class.label-save.promise",
            "from 1 to 86400000000000 ns",
            "0 ns",
        ),
        (
            with(|c| c.profile.priority_weight = f64::NAN),
            "class.label-save.worth",
            "from 0 to 1000000000",
            "NaN",
        ),
        (with(|c| c.profile.priority_weight = -1.0), "class.label-save.worth", "from 0 to 1000000000", "-1"),
        (with(|c| c.profile.late_value = 1.5), "class.label-save.late_value", "from 0 to 1", "1.5"),
        (
            with(|c| c.profile.objective_stretch = f64::INFINITY),
            "class.label-save.aim_stretch",
            "from 0 to 1000000",
            "inf",
        ),
        (with(|c| c.skip_weight = 2.0), "class.label-save.skip_worth", "from 0 to 1", "2"),
        (
            with(|c| c.profile.window = Span(u64::MAX)),
            "class.label-save.window",
            "from 0 to 86400000000000 ns",
            "18446744073709551615 ns",
        ),
        (with(|c| c.profile.name = "a b".into()), "class.a b", "a name without spaces", "'a b'"),
        (with(|c| c.profile.name = String::new()), "class.", "a text", "an empty one"),
        (put_tenant(tenant("acme", 1.01)), "tenant.acme.portion", "from 0 to 1", "1.01"),
        (put_tenant(tenant("ac\nme", 0.1)), "tenant.acme", "no control characters", "one or more"),
        (Change::RemoveClass("gone".into()), "class.gone", "a class in force", "an unknown name"),
        (Change::RemoveTenant("gone".into()), "tenant.gone", "a tenant in force", "an unknown name"),
        (Change::PutRule(Rule::ColdShare(0.0)), "rule.cold_share", "above 0 and at most 1", "0"),
        (
            Change::PutRule(Rule::TipMultiple(f64::NAN)),
            "rule.tip_multiple",
            "above 0 and at most 1000000",
            "NaN",
        ),
        (Change::PutRule(Rule::OverShareWorth(1.1)), "rule.over_share_worth", "from 0 to 1", "1.1"),
        (
            Change::PutRule(Rule::Fall(Span(u64::MAX))),
            "rule.fall",
            "from 0 to 86400000000000 ns",
            "18446744073709551615 ns",
        ),
        (ok(), "tenant.other", "each name once in a transaction", "the name twice"),
    ];
    for (change, path, expected, actual) in cases {
        let found = rejection(&base(), vec![ok(), change]);
        assert_eq!(found, Invalid::new(format!("changes[1].{path}"), expected, actual));
    }
    let long = "x".repeat(129);
    let found = rejection(&base(), vec![put_tenant(tenant(&long, 0.1))]);
    assert_eq!((found.expected.as_str(), found.actual.as_str()), ("at most 128 bytes of text", "129"));
}

/// Guards against a proposed class whose window closes as it opens, so that each repeat runs again (review, case 6). A commit
/// of an earlier version is still replayed, so that all servers reach the same state; none takes the class into force.
#[test]
fn rejects_a_proposed_keyed_class_without_a_window() {
    let change = with(|c| (c.profile.effect, c.profile.window) = (Idempotency::Keyed, Span(0)));
    let commit = commit(1, vec![change]);
    let invalid =
        Invalid::new("changes[0].class.label-save.window", "above 0, since the effect is by_key", "0");
    assert_eq!(base().validate(&commit.transaction), Err(invalid));
    let mut replayed = base();
    assert_eq!(replayed.apply(&commit), Ok(()));
}

#[test]
fn rejects_changes_and_entries_past_the_bounds() {
    assert_eq!(rejection(&base(), vec![]), Invalid::new("changes", "at least one change", "none"));
    let many = (0..=MAX_CHANGES).map(|n| put_tenant(tenant(&format!("t{n}"), 0.0))).collect();
    assert_eq!(rejection(&base(), many), Invalid::new("changes", "at most 1024 changes", "1025"));
    let last = rejection(&base(), vec![Change::RemoveClass("label-save".into())]);
    assert_eq!(last, Invalid::new("changes", "at least one class left", "the last class removed"));

    let classes: Vec<_> = (0..MAX_CLASSES).map(|n| class(&format!("c{n}"), 10)).collect();
    let tenants: Vec<_> = (0..MAX_TENANTS).map(|n| tenant(&format!("t{n}"), 0.0)).collect();
    let full = Configuration::from_settings(&settings(&classes, &tenants)).expect("a full table");
    let found = rejection(&full, vec![put_class(class("more", 10))]);
    assert_eq!(found, Invalid::new("changes", "at most 16384 classes in force", "16385"));
    let found = rejection(&full, vec![put_tenant(tenant("more", 0.0))]);
    assert_eq!(found, Invalid::new("changes", "at most 131072 tenants in force", "131073"));
    let exchange = vec![put_class(class("more", 10)), Change::RemoveClass("c0".into())];
    full.validate(&Transaction { changes: exchange }).expect("one for another");

    // The difference between two full tables without a common name stays within the limits after each transaction.
    let classes: Vec<_> = (0..MAX_CLASSES).map(|n| class(&format!("d{n}"), 10)).collect();
    let target = Configuration::from_settings(&settings(&classes, &[])).expect("a full table");
    let mut state = full;
    for transaction in state.difference_to(&target) {
        state.apply(&commit(state.revision().0 + 1, transaction.changes)).expect("within the bounds");
    }
    assert_eq!(state.digest(), target.digest());
}

#[test]
fn rejects_proposal_with_empty_reason_or_unexpected_revision() {
    let state = base();
    let proposal = |reason: &str, expected| Proposal {
        request_id: "1".into(),
        author: "ada".into(),
        reason: reason.into(),
        expected,
        transaction: Transaction { changes: vec![put_tenant(tenant("acme", 0.1))] },
    };
    assert_eq!(state.check_proposal(&proposal("why", Some(Revision(0)))), Ok(()));
    let moved = ProposalCheckError::Stale { expected: Revision(3), in_force: Revision(0) };
    assert_eq!(state.check_proposal(&proposal("why", Some(Revision(3)))), Err(moved));
    let empty = Invalid::new("reason", "a text", "an empty one");
    assert_eq!(state.check_proposal(&proposal("", None)), Err(ProposalCheckError::Invalid(empty)));
}

#[test]
fn rejects_commit_that_leaves_a_gap() {
    let mut state = base();
    let change = || vec![put_tenant(tenant("acme", 0.1))];
    for wrong in [0, 2] {
        let gap = ApplyError::Gap { expected: Revision(1), actual: Revision(wrong) };
        assert_eq!(state.apply(&commit(wrong, change())), Err(gap));
    }
    state.apply(&commit(1, change())).expect("the next one");
}
