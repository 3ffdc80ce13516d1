//! Properties of states, snapshots and differences over random histories. A failure prints a minimal history and its seed.

mod common;

use common::{base, commit, recomputed_digest, start_file_settings, transactions};
use gradepin_config::{ApplyError, Change, Configuration, Snapshot, Transaction};
use gradepin_config::{Assembly, Commit};
use proptest::prelude::*;
use proptest::sample::Index;

/// Applies the valid commits of a history; returns the resulting state and the applied commits, in order.
fn apply_valid(history: Vec<Vec<Change>>) -> (Configuration, Vec<Commit>) {
    let (mut state, mut commits) = (base(), Vec::new());
    for changes in history {
        let commit = commit(state.revision().0 + 1, changes);
        if state.apply(&commit).is_ok() {
            commits.push(commit);
        }
    }
    (state, commits)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// A snapshot at any revision plus the later commits leads to the same state as all commits.
    #[test]
    fn snapshot_plus_later_commits_equals_all_commits(history in transactions(), cut in any::<Index>()) {
        let (last, commits) = apply_valid(history);
        let cut = cut.index(commits.len() + 1);
        let mut early = base();
        commits[..cut].iter().for_each(|commit| early.apply(commit).expect("a prefix"));
        let snapshot = Snapshot::of(&early);
        // Later commits must not change an existing snapshot.
        commits[cut..].iter().for_each(|commit| early.apply(commit).expect("the rest"));
        let read = Snapshot::decode(&snapshot.encode()).expect("own snapshot");
        prop_assert_eq!(read.version(), snapshot.version());
        let mut late = read.configuration().clone();
        commits[cut..].iter().for_each(|commit| late.apply(commit).expect("the rest"));
        prop_assert_eq!(late.version(), last.version());
        prop_assert_eq!(early.version(), last.version());
        prop_assert_eq!(late.class_count(), last.class_count());
        prop_assert_eq!(late.tenant_count(), last.tenant_count());
        prop_assert!(late.classes().eq(last.classes()) && late.tenants().eq(last.tenants()));
    }

    /// The incrementally updated digest equals the sum over the entries, independent of the commits that led to them.
    #[test]
    fn digest_equals_sum_over_entries(history in transactions()) {
        let (state, _) = apply_valid(history);
        prop_assert_eq!(state.digest(), recomputed_digest(&state));
        let rebuilt = Configuration::from_settings(&state.to_settings(&common::settings(&[], &[])));
        let rebuilt = rebuilt.expect("the entries of a state");
        prop_assert_eq!(rebuilt.digest(), state.digest());
    }

    /// A rejected commit leaves the state unchanged.
    #[test]
    fn rejected_commit_changes_nothing(history in transactions()) {
        let mut state = base();
        for changes in history {
            let commit = commit(state.revision().0 + 1, changes);
            let before = state.clone();
            if let Err(error) = state.apply(&commit) {
                prop_assert!(matches!(error, ApplyError::Invalid(_)));
                prop_assert_eq!(state.version(), before.version());
                prop_assert_eq!(recomputed_digest(&state), before.digest());
                prop_assert!(state.classes().eq(before.classes()) && state.tenants().eq(before.tenants()));
            }
        }
    }

    /// Applying the difference to a start file results in the entries of the file. The difference is deterministic.
    #[test]
    fn difference_leads_to_its_target(history in transactions(), target in start_file_settings()) {
        let (mut state, _) = apply_valid(history);
        let wanted = Configuration::from_settings(&target).expect("a valid file");
        let difference = state.difference(&target).expect("a valid file");
        prop_assert_eq!(&difference, &state.difference(&target).expect("a valid file"));
        for Transaction { changes } in difference {
            let next = commit(state.revision().0 + 1, changes);
            state.apply(&next).expect("a difference between valid states");
        }
        prop_assert_eq!(state.digest(), wanted.digest());
        prop_assert!(state.difference(&target).expect("a valid file").is_empty());
    }

    /// Chunks may be added in any order, and chunks that an earlier state has need not be added.
    #[test]
    fn assembly_accepts_chunks_in_any_order(
        history in transactions(),
        cut in any::<Index>(),
        order in any::<prop::sample::Selector>(),
    ) {
        let (last, commits) = apply_valid(history);
        let mut early = base();
        let cut = cut.index(commits.len() + 1);
        commits[..cut].iter().for_each(|commit| early.apply(commit).expect("a prefix"));
        let source = Snapshot::of(&last);
        let mut assembly = Assembly::new(source.manifest()).expect("own manifest");
        assembly.reuse_chunks_of_state(&early);
        while assembly.missing_count() > 0 {
            let number = order.select(assembly.missing());
            let bytes = source.chunk(number).expect("a chunk of the manifest");
            assembly.add(number, &bytes).expect("its own chunk");
        }
        let read = assembly.finish().expect("all chunks");
        prop_assert_eq!(read.version(), last.version());
        prop_assert_eq!(recomputed_digest(read.configuration()), last.digest());
    }
}
