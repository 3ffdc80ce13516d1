//! The files that outlive a process must be written byte for byte as earlier versions wrote them, and must be readable.

mod golden;

use golden::MemoryFolder;
use gradepin_admission::{ClassProfile, Idempotency, RequestId, Settings, Span, Tenant};
use gradepin_config::{
    Change, ClassDefinition, Commit, Configuration, Revision, Rule, Snapshot, Transaction,
};
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::idempotency_log::{LogRecord, SavedOutcome};
use gradepin_store::configuration::ConfigurationStore;
use gradepin_store::log::{Limits, Log, Stamp};
use gradepin_store::voter_log::VoterLog;
use std::sync::Arc;

const ID: u64 = 0x0102_0304_0506_0708;
const MS: u64 = 1_000_000;

fn snapshot() -> DurableRecord {
    DurableRecord::Snapshot { index: 300, term: 4, voters: vec![ID, 7], data: vec![9, 8] }
}

fn term(commit: u64) -> DurableRecord {
    DurableRecord::Term { term: 5, vote: ID, commit }
}

fn entry(index: u64, changes: bool) -> DurableRecord {
    DurableRecord::Entry { index, term: 5, changes, data: vec![1, 2, index as u8] }
}

fn open_voter_log(folder: &MemoryFolder, new_id: u64) -> (VoterLog, VoterState) {
    VoterLog::open(Box::new(folder.clone()), new_id).expect("a folder")
}

#[test]
fn writes_the_files_of_a_voter_as_golden_bytes() {
    let folder = MemoryFolder::default();
    let (mut log, found) = open_voter_log(&folder, ID);
    log.write(&found, &[snapshot(), term(300)]).expect("written");
    log.write(&found, &[entry(301, false), term(301)]).expect("written");
    log.write(&found, &[entry(302, true)]).expect("written");
    folder.assert_golden("council.txt");
}

#[test]
fn reads_the_golden_files_of_a_voter_and_rewrites_them() {
    let folder = MemoryFolder::golden("council.txt");
    let (mut log, found) = open_voter_log(&folder, 1);
    let records = vec![snapshot(), term(300), entry(301, false), term(301), entry(302, true)];
    assert_eq!(found, VoterState { id: ID, records });
    log.write(&found, &[term(302)]).expect("written");
    folder.assert_golden("council-anew.txt");
}

fn limits() -> Limits {
    Limits {
        segment_bytes: 1 << 20,
        max_bytes: 1 << 24,
        max_result_bytes: 1 << 20,
        max_records: 1_000,
        window: Span(60_000 * MS),
    }
}

fn id(text: &str) -> RequestId {
    RequestId(Arc::from(text))
}

fn intent(key: &str, request_fingerprint: u64) -> LogRecord {
    LogRecord::Intent {
        key: key.into(),
        fingerprint: request_fingerprint,
        id: id(&format!("{key}-1")),
        window_left: Span(12_075 * MS + 1),
    }
}

fn outcome(key: &str, request_fingerprint: u64, result: Option<&[u8]>) -> LogRecord {
    let result = result.map(|bytes| Arc::new(BufferPool::new(1).exact(bytes).expect("short")));
    let (id, window_left) = (id(&format!("{key}-1")), Span(11_000 * MS));
    LogRecord::Outcome { key: key.into(), fingerprint: request_fingerprint, id, window_left, result }
}

/// Writes every kind of record in two frames: attempts with a result, with a failure, that never ran, and with unknown outcome.
fn write_runs(log: &mut Log) {
    let runs = ["served", "failed", "void", "open"].into_iter().zip(300..);
    let intents: Vec<LogRecord> = runs.map(|(key, fingerprint)| intent(key, fingerprint)).collect();
    log.add(Stamp { mono_ms: 1_000, unix_ms: 1_700_000_000_000 }, &intents).expect("written");
    let outcomes = [
        outcome("served", 300, Some(b"result")),
        outcome("failed", 301, None),
        LogRecord::Void { key: "void".into(), id: id("void-1") },
    ];
    log.add(Stamp { mono_ms: 2_000, unix_ms: 1_700_000_001_000 }, &outcomes).expect("written");
}

fn open_runs(folder: &MemoryFolder) -> (Log, gradepin_store::recovery::RecoveredLog) {
    Log::open(Box::new(folder.clone()), limits(), ID).expect("a folder")
}

#[test]
fn writes_the_segment_of_keyed_runs_as_golden_bytes() {
    let folder = MemoryFolder::default();
    write_runs(&mut open_runs(&folder).0);
    folder.assert_golden("runs.txt");
}

#[test]
fn recovers_keyed_runs_from_a_golden_segment() {
    let (_, found) = open_runs(&MemoryFolder::golden("runs.txt"));
    let recovered = found.recovered;
    assert_eq!((recovered.salt, recovered.incomplete_for, recovered.notes), (ID, None, Vec::<String>::new()));
    let runs = recovered.runs.iter().map(|run| {
        (run.key.as_str(), run.fingerprint, run.id.as_str(), run.window_left.0 / MS, run.outcome.clone())
    });
    let expected = [
        ("failed", 301, "failed-1", 11_000, SavedOutcome::Failed),
        ("open", 303, "open-1", 11_076, SavedOutcome::Unknown),
        ("served", 300, "served-1", 11_000, SavedOutcome::Served(b"result".to_vec())),
    ];
    assert_eq!(runs.collect::<Vec<_>>(), expected);
    let segment = &found.segments[0];
    let summary = (
        segment.number,
        segment.incarnation,
        segment.frames,
        segment.records,
        segment.torn,
        segment.time_left,
    );
    assert_eq!((found.segments.len(), summary), (1, (0, Some(0), 2, 7, None, Some(Span(11_076 * MS)))));
}

/// Guards against a next process that appends to the segment of an earlier one, and against a rewrite that leaves old segments.
#[test]
fn a_later_process_writes_its_own_segment_and_a_rewrite_replaces_all() {
    let folder = MemoryFolder::golden("runs.txt");
    let mut log = open_runs(&folder).0;
    log.add(Stamp { mono_ms: 10, unix_ms: 1_700_000_002_000 }, &[intent("later", 304)]).expect("written");
    folder.assert_golden("runs-later.txt");
    let all = [outcome("served", 300, Some(b"result")), intent("later", 304)];
    log.rewrite(Stamp { mono_ms: 20, unix_ms: 1_700_000_003_000 }, &all).expect("written");
    folder.assert_golden("runs-anew.txt");
    let (_, found) = open_runs(&MemoryFolder::golden("runs-anew.txt"));
    let keys = found.recovered.runs.iter().map(|run| run.key.as_str());
    assert_eq!(keys.collect::<Vec<_>>(), ["later", "served"]);
}

fn class(name: &str, effect: Idempotency) -> ClassDefinition {
    let profile = ClassProfile {
        name: name.into(),
        latency_objective: Span(100 * MS),
        deadline: Span(200 * MS),
        effect,
        late_value: 0.25,
        window: if effect == Idempotency::Keyed { Span(300 * MS) } else { Span(0) },
        priority_weight: 1.5,
        objective_stretch: 0.75,
    };
    ClassDefinition { profile, calls: true, skip_weight: 0.125 }
}

fn base() -> Configuration {
    let tenant = |name: &str| Tenant { name: name.into(), quota_rps: 10.5, portion: 0.25 };
    let settings = Settings {
        profiles: ["old", "c0"].map(|name| class(name, Idempotency::Idempotent).profile).into(),
        tenants: ["gone", "acme"].map(tenant).into(),
        ..Settings::default()
    };
    Configuration::from_settings(&settings).expect("a valid base")
}

/// Two commits that contain every kind of change, of rule and of class effect.
fn commits() -> [Commit; 2] {
    let put = |name, effect| Change::PutClass(Arc::new(class(name, effect)));
    let tenant = Tenant { name: "osm".into(), quota_rps: 20.5, portion: 0.5 };
    let entries = vec![
        put("c1", Idempotency::Idempotent),
        put("c2", Idempotency::Keyed),
        put("c3", Idempotency::NonIdempotent),
        Change::RemoveClass("old".into()),
        Change::PutTenant(Arc::new(tenant)),
        Change::RemoveTenant("gone".into()),
    ];
    let rules = [
        Rule::AnswerSlack(Span(5 * MS)),
        Rule::Cold(Span(2_000 * MS)),
        Rule::ColdShare(0.5),
        Rule::DrainGrace(Span(700 * MS)),
        Rule::Fall(Span(900 * MS)),
        Rule::TipMultiple(4.5),
        Rule::OverShareWorth(0.0625),
    ];
    let commit = |revision: u64, changes| Commit {
        revision: Revision(revision),
        author: "ada".into(),
        reason: "more".into(),
        request_id: format!("r{revision}").into(),
        proposed_at_ms: 1_700_000_000_000 + revision,
        transaction: Transaction { changes },
    };
    [commit(1, entries), commit(2, rules.map(Change::PutRule).into())]
}

fn open_configuration(folder: &MemoryFolder) -> (ConfigurationStore, gradepin_store::configuration::Opened) {
    ConfigurationStore::open(Box::new(folder.clone())).expect("a folder")
}

fn state_after_commits() -> Configuration {
    let mut state = base();
    commits().iter().for_each(|commit| state.apply(commit).expect("valid"));
    state
}

#[test]
fn writes_the_configuration_as_golden_bytes() {
    let folder = MemoryFolder::default();
    let mut store = open_configuration(&folder).0;
    store.save(&Snapshot::of(&base())).expect("written");
    commits().iter().for_each(|commit| store.append(commit).expect("written"));
    folder.assert_golden("configuration.txt");
    store.save(&Snapshot::of(&state_after_commits())).expect("written");
    folder.assert_golden("configuration-anew.txt");
}

#[test]
fn reads_the_golden_configuration_with_its_commits() {
    let opened = open_configuration(&MemoryFolder::golden("configuration.txt")).1;
    assert_eq!((opened.commits, opened.skipped.len()), (commits().to_vec(), 0));
    assert_eq!(opened.state.map(|state| state.version()), Some(state_after_commits().version()));
    let opened = open_configuration(&MemoryFolder::golden("configuration-anew.txt")).1;
    assert_eq!(opened.state.map(|state| state.version()), Some(state_after_commits().version()));
}
