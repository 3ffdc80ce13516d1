//! Properties of states, snapshots and differences over random histories. A failure prints the smallest history and
//! the seed that led to it.

mod common;

use common::{base, commit, digest_anew, some_settings, transactions};
use gradepin_config::{ApplyError, Change, Configuration, Snapshot, Transaction};
use gradepin_config::{Assembly, Commit};
use proptest::prelude::*;
use proptest::sample::Index;

/// The state and the valid commits of a history, in order.
fn play(history: Vec<Vec<Change>>) -> (Configuration, Vec<Commit>) {
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

    /// Snapshot plus later commits is the same state as all commits, wherever the snapshot was taken.
    #[test]
    fn a_snapshot_plus_later_commits_equals_all_commits(history in transactions(), cut in any::<Index>()) {
        let (whole, commits) = play(history);
        let cut = cut.index(commits.len() + 1);
        let mut early = base();
        commits[..cut].iter().for_each(|commit| early.apply(commit).expect("a prefix"));
        let snapshot = Snapshot::of(&early);
        // Later commits don't reach into a snapshot that was taken before.
        commits[cut..].iter().for_each(|commit| early.apply(commit).expect("the rest"));
        let read = Snapshot::decode(&snapshot.encode()).expect("own snapshot");
        prop_assert_eq!(read.version(), snapshot.version());
        let mut late = read.configuration().clone();
        commits[cut..].iter().for_each(|commit| late.apply(commit).expect("the rest"));
        prop_assert_eq!(late.version(), whole.version());
        prop_assert_eq!(early.version(), whole.version());
        prop_assert_eq!(late.class_count(), whole.class_count());
        prop_assert_eq!(late.tenant_count(), whole.tenant_count());
        prop_assert!(late.classes().eq(whole.classes()) && late.tenants().eq(whole.tenants()));
    }

    /// The incremental digest is the sum over the entries, however the state was reached.
    #[test]
    fn the_digest_is_that_of_the_entries(history in transactions()) {
        let (state, _) = play(history);
        prop_assert_eq!(state.digest(), digest_anew(&state));
        let again = Configuration::from_settings(&state.over(&common::settings(&[], &[])));
        let again = again.expect("the entries of a state");
        prop_assert_eq!(again.digest(), state.digest());
    }

    /// A commit that is refused changes nothing.
    #[test]
    fn what_is_not_valid_changes_nothing(history in transactions()) {
        let mut state = base();
        for changes in history {
            let commit = commit(state.revision().0 + 1, changes);
            let before = state.clone();
            if let Err(why) = state.apply(&commit) {
                prop_assert!(matches!(why, ApplyError::Invalid(_)));
                prop_assert_eq!(state.version(), before.version());
                prop_assert_eq!(digest_anew(&state), before.digest());
                prop_assert!(state.classes().eq(before.classes()) && state.tenants().eq(before.tenants()));
            }
        }
    }

    /// The difference to a file, applied, gives the file's entries, and what it gives is the same each time.
    #[test]
    fn the_difference_leads_to_its_target(history in transactions(), target in some_settings()) {
        let (mut state, _) = play(history);
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

    /// Chunks may come in any order, and what a state has already need not come.
    #[test]
    fn an_assembly_takes_chunks_in_any_order(
        history in transactions(),
        cut in any::<Index>(),
        order in any::<prop::sample::Selector>(),
    ) {
        let (whole, commits) = play(history);
        let mut early = base();
        let cut = cut.index(commits.len() + 1);
        commits[..cut].iter().for_each(|commit| early.apply(commit).expect("a prefix"));
        let source = Snapshot::of(&whole);
        let mut assembly = Assembly::new(source.manifest()).expect("own manifest");
        assembly.adopt(&early);
        while assembly.missing_count() > 0 {
            let number = order.select(assembly.missing());
            let bytes = source.chunk(number).expect("a chunk of the manifest");
            assembly.add(number, &bytes).expect("its own chunk");
        }
        let read = assembly.finish().expect("all chunks");
        prop_assert_eq!(read.version(), whole.version());
        prop_assert_eq!(digest_anew(read.configuration()), whole.digest());
    }
}
