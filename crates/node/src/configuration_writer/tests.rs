//! The configuration writer on a disk that hangs and on a full disk.

use super::*;
use crossbeam_channel::{Receiver, unbounded};
use gradepin_admission::{ClassProfile, Idempotency, Settings, Span, Tenant};
use gradepin_config::{Change, Configuration, Revision, Transaction};
use gradepin_store::sim::{Fault, SimDisk};

/// Only ends a test that would hang otherwise.
const MAX_WAIT: Duration = Duration::from_secs(60);

fn base() -> Configuration {
    let class = ClassProfile {
        name: "c".into(),
        latency_objective: Span(1),
        deadline: Span(2),
        effect: Idempotency::Idempotent,
        late_value: 0.0,
        window: Span(0),
        priority_weight: 1.0,
        objective_stretch: 0.0,
    };
    let settings = Settings { profiles: vec![class], ..Settings::default() };
    Configuration::from_settings(&settings).expect("a valid base")
}

fn next(state: &mut Configuration) -> Arc<Commit> {
    let revision = state.revision().next();
    let tenant = Tenant { name: format!("t{revision}"), quota_rps: 1.0, portion: 0.0 };
    let commit = Commit {
        revision,
        author: "ada".into(),
        reason: "test".into(),
        request_id: "r".into(),
        proposed_at_ms: 0,
        transaction: Transaction { changes: vec![Change::PutTenant(Arc::new(tenant))] },
    };
    state.apply(&commit).expect("valid");
    Arc::new(commit)
}

fn start(disk: &SimDisk) -> (ConfigurationWriter, Receiver<ConfigurationSaveResult>) {
    let (sender, results) = unbounded();
    let (store, _) = ConfigurationStore::open(Box::new(disk.clone())).expect("a folder");
    let retry = Duration::from_millis(1);
    let writer = ConfigurationWriter::start(store, retry, move |written| {
        let _ = sender.send(written);
    });
    (writer.expect("a thread"), results)
}

/// Waits until a revision is reported as durable.
fn results_until(
    results: &Receiver<ConfigurationSaveResult>,
    revision: Revision,
) -> Vec<ConfigurationSaveResult> {
    let mut all = Vec::new();
    while all.last() != Some(&ConfigurationSaveResult::Durable(revision)) {
        all.push(results.recv_timeout(MAX_WAIT).expect("a result of the writer"));
    }
    all
}

fn found(disk: &SimDisk) -> Option<Configuration> {
    let disk = SimDisk::with(disk.files().killed(), 0);
    ConfigurationStore::open(Box::new(disk)).expect("a folder").1.state
}

#[test]
fn never_blocks_callers_while_the_disk_hangs() {
    let disk = SimDisk::new(1);
    let (writer, results) = start(&disk);
    let mut state = base();
    writer.save(Snapshot::of(&state), None);
    results_until(&results, Revision(0));
    // Syncs hang until all commits are queued: if `save` blocked, the test would never reach the end of the hang.
    disk.fail(Fault::SyncHangs);
    for _ in 0..2 * MAX_PENDING_COMMITS + 3 {
        let commit = next(&mut state);
        writer.save(Snapshot::of(&state), Some(commit));
    }
    assert!(writer.shared.pending().commits.len() <= MAX_PENDING_COMMITS);
    disk.fail(Fault::None);
    results_until(&results, state.revision());
    assert_eq!(found(&disk).map(|found| found.version()), Some(state.version()));
}

#[test]
fn reports_a_full_disk_once_and_retries() {
    let disk = SimDisk::new(2);
    let (writer, results) = start(&disk);
    let mut state = base();
    writer.save(Snapshot::of(&state), None);
    results_until(&results, Revision(0));
    let held = disk.lengths().iter().map(|(_, length)| length).sum();
    disk.fail(Fault::Full(held));
    let commit = next(&mut state);
    writer.save(Snapshot::of(&state), Some(commit));
    let result = results.recv_timeout(MAX_WAIT).expect("a result of the writer");
    assert!(matches!(result, ConfigurationSaveResult::Failed { .. }), "{result:?}");
    assert_eq!(found(&disk).map(|found| found.revision()), Some(Revision(0)), "the previous state");
    disk.fail(Fault::None);
    let all = results_until(&results, Revision(1));
    assert!(all.len() <= 2, "each reason is reported once: {all:?}");
    let commit = next(&mut state);
    writer.save(Snapshot::of(&state), Some(commit));
    drop(writer);
    assert_eq!(
        found(&disk).map(|found| found.version()),
        Some(state.version()),
        "written before the drop returns"
    );
}
