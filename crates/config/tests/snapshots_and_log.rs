//! Corrupted or mismatched parts of snapshots are rejected, and the commit log stays within its limits.

mod common;

use common::{base, class, commit, put_class, put_tenant, settings, tenant};
use gradepin_admission::{Span, Tenant};
use gradepin_config::chunk::{ChunkError, ChunkNumber};
use gradepin_config::log::Gap;
use gradepin_config::snapshot::SnapshotError;
use gradepin_config::{Assembly, ClassDefinition, CommitLog, Configuration, LogLimits, Revision, Snapshot};
use std::sync::Arc;

fn snapshot(first_objective_ms: u64) -> Snapshot {
    let classes: Vec<_> = (0..30).map(|n| class(&format!("c{n}"), first_objective_ms + n)).collect();
    let tenants: Vec<_> = (0..30).map(|n| tenant(&format!("t{n}"), 0.0)).collect();
    Snapshot::of(&Configuration::from_settings(&settings(&classes, &tenants)).expect("valid"))
}

#[test]
fn rejects_snapshot_with_flipped_bit_or_truncated() {
    let valid = snapshot(10);
    let bytes = valid.encode();
    for at in 0..bytes.len() {
        let mut wrong = bytes.clone();
        wrong[at] ^= 1 << (at % 8);
        match Snapshot::decode(&wrong) {
            Err(_) => {}
            // The digest does not cover the revision, but a version contains both.
            Ok(read) => assert_ne!(read.version(), valid.version(), "byte {at}"),
        }
    }
    for length in 0..bytes.len() {
        assert!(Snapshot::decode(&bytes[..length]).is_err(), "truncated to {length} bytes");
    }
}

#[test]
fn rejects_chunk_of_other_state_or_number() {
    let (ours, theirs) = (snapshot(10), snapshot(11));
    let mut assembly = Assembly::new(ours.manifest()).expect("own manifest");
    let number = ChunkNumber::of("c3");
    let other = ChunkNumber::of("c4");
    assert_ne!(number, other);
    let all = assembly.missing_count();
    let foreign = theirs.chunk(number).expect("a chunk of it");
    assert!(matches!(assembly.add(number, &foreign), Err(ChunkError::DigestMismatch { .. })));
    let misplaced = ours.chunk(other).expect("a chunk of it");
    assert!(matches!(assembly.add(number, &misplaced), Err(ChunkError::NotCanonical(_))));
    let empty = (0..u16::MAX).map(ChunkNumber).find(|n| ours.chunk(*n).is_none()).expect("one");
    assert_eq!(assembly.add(empty, &misplaced), Err(ChunkError::UnknownNumber { number: empty.0 }));
    assert_eq!(assembly.missing_count(), all);
    assembly.add(number, &ours.chunk(number).expect("a chunk of it")).expect("its own");
    assert_eq!(assembly.missing_count(), all - 1);
    assert_eq!(assembly.finish().err(), Some(SnapshotError::Incomplete { missing: all - 1 }));
}

#[test]
fn rejects_manifest_that_does_not_sum_to_its_digest() {
    let (ours, theirs) = (snapshot(10), snapshot(11));
    let mut manifest = ours.manifest();
    manifest.chunks = theirs.manifest().chunks;
    assert!(matches!(Assembly::new(manifest), Err(SnapshotError::DigestMismatch { .. })));
    let mut manifest = ours.manifest();
    manifest.chunks.swap(0, 1);
    assert_eq!(Assembly::new(manifest).err(), Some(SnapshotError::NotCanonical));
    let mut manifest = ours.manifest();
    manifest.rules.push(manifest.rules[0]);
    assert_eq!(Assembly::new(manifest).err(), Some(SnapshotError::NotCanonical));
}

#[test]
fn reuses_chunks_of_assembly_at_earlier_revision() {
    let old = snapshot(10);
    let mut state = old.configuration().clone();
    let mut first = Assembly::new(old.manifest()).expect("own manifest");
    let numbers: Vec<_> = first.missing().collect();
    for number in numbers {
        first.add(number, &old.chunk(number).expect("a chunk of it")).expect("its own");
    }
    state.apply(&commit(1, vec![put_class(class("c3", 99))])).expect("valid");
    let new = Snapshot::of(&state);
    let mut second = Assembly::new(new.manifest()).expect("own manifest");
    second.reuse_chunks_of_assembly(&first);
    assert_eq!(second.missing().collect::<Vec<_>>(), [ChunkNumber::of("c3")]);
}

#[test]
fn keeps_log_without_gaps_and_within_bounds() {
    let commit_at = |n: u64| Arc::new(commit(n, vec![put_tenant(tenant("acme", 0.1))]));
    let limits = LogLimits { commits: 3, bytes: 1 << 20 };
    let mut log = CommitLog::after_revision(base().revision(), limits);
    (1..=5).for_each(|n| log.push(commit_at(n)).expect("the next"));
    assert_eq!(log.push(commit_at(7)), Err(Gap { expected: Revision(6), actual: Revision(7) }));
    assert_eq!((log.base(), log.last()), (Revision(2), Revision(5)));
    let revisions = |from| Some(log.after(Revision(from))?.map(|c| c.revision.0).collect::<Vec<_>>());
    assert_eq!(revisions(1), None, "compacted");
    assert_eq!(revisions(2), Some(vec![3, 4, 5]));
    assert_eq!(revisions(4), Some(vec![5]));
    assert_eq!(revisions(5), Some(vec![]));
    assert_eq!(revisions(6), None, "in the future");
    assert_eq!(log.get(Revision(3)).map(|c| c.revision.0), Some(3));
    assert_eq!(log.get(Revision(2)), None);
    assert_eq!(log.get(Revision(0)), None);
    assert_eq!(log.history().map(|c| c.revision.0).collect::<Vec<_>>(), [5, 4, 3]);

    let byte_limits = LogLimits { commits: 100, bytes: log.bytes() };
    let mut log = CommitLog::after_revision(Revision(0), byte_limits);
    (1..=50).for_each(|n| log.push(commit_at(n)).expect("the next"));
    assert!(log.bytes() <= byte_limits.bytes && log.base() >= Revision(46), "{:?}", log.base());
    log.restart(Revision(90));
    assert_eq!((log.base(), log.last(), log.bytes()), (Revision(90), Revision(90), 0));
}

/// A class name is a single word of the processor's line protocol, and the admission module computes with the numbers. So entries
/// that neither a start file nor a commit can have set are rejected in snapshots from peers and files.
#[test]
fn rejects_snapshot_with_entries_that_are_not_well_formed() {
    let good = class("c", 10);
    let with = |change: fn(&mut ClassDefinition)| {
        let mut class = good.clone();
        change(&mut class);
        settings(&[class], &[tenant("t", 0.5)])
    };
    let mut bad = vec![
        with(|class| class.profile.name = "a b".into()),
        with(|class| class.profile.name = "a\nbegin 0000000000000001 c 0".into()),
        with(|class| class.profile.name = "\u{7f}".into()),
        with(|class| class.profile.name = String::new()),
        with(|class| class.profile.latency_objective = Span(0)),
        with(|class| class.profile.deadline = Span(0)),
        with(|class| class.profile.priority_weight = f64::NAN),
        with(|class| class.profile.late_value = f64::INFINITY),
        with(|class| class.profile.objective_stretch = f64::NEG_INFINITY),
        with(|class| class.skip_weight = f64::NAN),
    ];
    let mut other = settings(std::slice::from_ref(&good), &[tenant("t", f64::NAN)]);
    bad.push(other.clone());
    other.tenants = vec![Tenant { quota_rps: f64::INFINITY, ..tenant("t", 0.5) }];
    bad.push(other.clone());
    other.tenants = Vec::new();
    other.rules.cold_capacity = f64::NAN;
    bad.push(other.clone());
    (other.rules.cold_capacity, other.rules.max_concurrency_per_core) = (0.5, f64::INFINITY);
    bad.push(other);
    for settings in bad {
        let snapshot = Snapshot::of(
            &Configuration::from_settings(&settings).expect("a start file is checked for bounds only"),
        );
        assert!(Snapshot::decode(&snapshot.encode()).is_err(), "{settings:?}");
    }
    // An entry that is valid in a start file is accepted even if a change may not set it.
    let invalid_for_a_change = with(|class| class.profile.deadline = Span(1));
    let snapshot = Snapshot::of(&Configuration::from_settings(&invalid_for_a_change).expect("valid"));
    assert!(Snapshot::decode(&snapshot.encode()).is_ok());
}
