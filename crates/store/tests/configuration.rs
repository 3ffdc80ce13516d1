//! The last good configuration under `kill -9`, crashes of the machine and full disks at each write. A start must recover a
//! complete configuration that was in force, and none older than the last durable one.

use gradepin_admission::{Idempotency, Settings, Span};
use gradepin_config::document::{ClassEntry, TenantEntry};
use gradepin_config::{Change, Commit, Configuration, Document, Revision, Snapshot, Transaction, Version};
use gradepin_store::configuration::{ConfigurationStore, MAX_COMMIT_BYTES, Opened};
use gradepin_store::disk::Folder;
use gradepin_store::sim::{Fault, Files, SimDisk};
use std::collections::BTreeMap;

/// Seeds that determine which unsynced bytes a crash loses at each crash point.
const SEEDS: std::ops::Range<u64> = 0..12;

fn class(name: &str) -> ClassEntry {
    ClassEntry {
        name: name.into(),
        latency_objective: Span(100_000_000),
        deadline: Span(200_000_000),
        effect: Idempotency::Idempotent,
        priority_weight: 1.0,
        late_value: 0.0,
        window: Span(0),
        objective_stretch: 0.0,
        calls: true,
        skip_weight: 0.0,
    }
}

/// A configuration that is longer than two disk sectors, so that a crash can tear its snapshot.
fn base() -> Configuration {
    let mut settings = Settings::default();
    settings.profiles.push(gradepin_config::ClassDefinition::from(class("c0")).profile);
    settings.tenants = (0..40)
        .map(|n| TenantEntry { name: format!("tenant-{n:030}"), quota_rps: 1.0, portion: 0.0 }.into())
        .collect();
    Configuration::from_settings(&settings).expect("a valid base")
}

fn commit(revision: u64) -> Commit {
    let document = Document { classes: vec![class(&format!("c{}", revision % 5))], ..Document::default() };
    let mut transaction = Transaction::from(document);
    let Change::PutClass(put) = &mut transaction.changes[0] else { panic!("a class") };
    std::sync::Arc::make_mut(put).profile.priority_weight = revision as f64;
    Commit {
        revision: Revision(revision),
        author: "ada".into(),
        reason: "test".into(),
        request_id: format!("r{revision}").into(),
        proposed_at_ms: 0,
        transaction,
    }
}

fn open(files: Files, seed: u64) -> (ConfigurationStore, Opened, SimDisk) {
    let disk = SimDisk::with(files, seed);
    let (store, opened) =
        ConfigurationStore::open(Box::new(disk.clone())).expect("a folder that can be listed");
    (store, opened, disk)
}

/// A test case: a configuration that changes, the store that it is written to, and the last revision that was durable.
struct Case {
    disk: SimDisk,
    store: ConfigurationStore,
    state: Configuration,
    /// The version (revision and digest) of each configuration that was ever in force.
    known: BTreeMap<Revision, Version>,
    durable: Option<Revision>,
}

impl Case {
    fn start(disk: SimDisk) -> Self {
        let (store, opened) = ConfigurationStore::open(Box::new(disk.clone())).expect("a folder");
        let state = opened.state.unwrap_or_else(base);
        let known = BTreeMap::from([(state.revision(), state.version())]);
        Self { disk, store, state, known, durable: None }
    }

    fn save(&mut self) -> bool {
        let saved = self.store.save(&Snapshot::of(&self.state)).is_ok();
        if saved {
            self.durable = Some(self.state.revision());
        }
        saved
    }

    fn commit(&mut self) {
        let commit = commit(self.state.revision().0 + 1);
        self.state.apply(&commit).expect("valid");
        self.known.insert(self.state.revision(), self.state.version());
        if self.store.wants_snapshot() {
            self.save();
        } else if self.store.append(&commit).is_ok() {
            self.durable = Some(self.state.revision());
        }
    }

    /// Asserts that a start on these files recovers a configuration that was in force and is not older than `durable`.
    fn assert_recoverable(&self, files: Files, seed: u64, durable: Option<Revision>, context: &str) {
        let (mut store, opened, _) = open(files, seed);
        let found = opened.state.as_ref().map(Configuration::version);
        if let Some(found) = found {
            assert_eq!(self.known.get(&found.revision), Some(&found), "{context}, seed {seed}");
        }
        assert!(
            found.map(|found| found.revision) >= durable,
            "{context}, seed {seed}: {found:?} < {durable:?}"
        );
        // The next process must be able to write.
        store.save(&Snapshot::of(&self.state)).expect("a disk without faults");
    }
}

#[test]
fn a_crash_or_kill_at_each_write_leaves_a_complete_state() {
    let mut case = Case::start(SimDisk::new(1));
    let mut boundaries: Vec<(Files, Option<Revision>)> = Vec::new();
    case.disk.record();
    for step in 0..8 {
        let before = case.durable;
        match step % 4 {
            0 => assert!(case.save()),
            _ => case.commit(),
        }
        // Until a step has ended, only the revision before it must be recovered.
        boundaries.extend(case.disk.boundaries().into_iter().map(|files| (files, before)));
        boundaries.push((case.disk.files(), case.durable));
    }
    assert!(boundaries.len() > 25, "{}", boundaries.len());
    for (index, (files, durable)) in boundaries.iter().enumerate() {
        case.assert_recoverable(files.killed(), 0, *durable, &format!("killed at {index}"));
        for seed in SEEDS {
            case.assert_recoverable(files.crash(seed), seed, *durable, &format!("crashed at {index}"));
        }
    }
}

#[test]
fn a_full_disk_at_each_size_leaves_a_complete_state() {
    let with_one_commit = || {
        let mut case = Case::start(SimDisk::new(2));
        assert!(case.save());
        case.commit();
        case
    };
    let stored_bytes: usize = with_one_commit().disk.lengths().iter().map(|(_, length)| length).sum();
    for free_bytes in (0..=2 * stored_bytes + 400).step_by(97) {
        let mut case = with_one_commit();
        case.disk.fail(Fault::Full(stored_bytes + free_bytes));
        case.save();
        case.commit();
        case.commit();
        let context = format!("{free_bytes} bytes free");
        case.assert_recoverable(case.disk.files().killed(), 0, case.durable, &context);
        for seed in SEEDS {
            case.assert_recoverable(case.disk.files().crash(seed), seed, case.durable, &context);
        }
        // Once there is space again, the same process must continue to write.
        case.disk.fail(Fault::None);
        case.commit();
        assert_eq!(case.durable, Some(case.state.revision()), "{context}");
        case.assert_recoverable(case.disk.files().killed(), 0, case.durable, &context);
    }
}

#[test]
fn after_a_failed_sync_the_next_write_is_a_snapshot() {
    for seed in SEEDS {
        let mut case = Case::start(SimDisk::new(seed));
        assert!(case.save());
        case.disk.fail(Fault::SyncFails);
        case.commit();
        assert!(case.store.wants_snapshot(), "seed {seed}: a frame may be torn");
        assert!(!case.save());
        case.assert_recoverable(case.disk.files().crash(seed), seed, case.durable, "sync fails");
        case.disk.fail(Fault::None);
        case.commit();
        assert_eq!(case.durable, Some(case.state.revision()));
        case.assert_recoverable(case.disk.files().crash(seed), seed, case.durable, "sync works again");
    }
}

#[test]
fn damage_to_the_newest_file_falls_back_or_starts_empty() {
    let mut case = Case::start(SimDisk::new(3));
    assert!(case.save());
    case.commit();
    let (name, length) = case.disk.lengths().into_iter().next().expect("one file");
    for at in (0..length).step_by(5) {
        let disk = SimDisk::with(case.disk.files().killed(), 0);
        assert!(disk.damage(&name, |bytes| bytes[at] ^= 0x10));
        let (_, opened) = ConfigurationStore::open(Box::new(disk)).expect("a folder");
        match opened.state {
            Some(state) => assert_eq!(case.known.get(&state.revision()), Some(&state.version()), "byte {at}"),
            None => assert_eq!(opened.skipped, std::slice::from_ref(&name), "byte {at}"),
        }
    }
}

#[test]
fn commits_must_be_in_order_and_their_size_is_bounded() {
    let mut case = Case::start(SimDisk::new(4));
    assert!(case.store.append(&commit(1)).is_err(), "a snapshot has to come first");
    assert!(case.save());
    assert!(case.store.append(&commit(2)).is_err(), "a gap");
    case.commit();
    let before: usize = case.disk.lengths().iter().map(|(_, length)| length).sum();
    while case.store.last() < Revision(30_000) && !case.store.wants_snapshot() {
        case.commit();
    }
    let stored_bytes: usize = case.disk.lengths().iter().map(|(_, length)| length).sum();
    assert!(
        stored_bytes > MAX_COMMIT_BYTES && stored_bytes < MAX_COMMIT_BYTES + before + 1_000,
        "{stored_bytes}"
    );
    case.commit();
    let (_, opened, _) = open(case.disk.files().killed(), 0);
    assert!(opened.commits.is_empty() && case.disk.lengths().len() == 1);
    assert_eq!(opened.state.map(|state| state.version()), Some(case.state.version()));
}

#[test]
fn a_real_folder_restores_snapshot_and_commits() {
    let path = std::env::temp_dir().join(format!("gradepin-configuration-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let open = || ConfigurationStore::open(Box::new(Folder::open(&path).expect("a folder"))).expect("files");
    let (mut store, opened) = open();
    assert!(opened.state.is_none());
    let mut state = base();
    store.save(&Snapshot::of(&state)).expect("a disk");
    state.apply(&commit(1)).expect("valid");
    store.append(&commit(1)).expect("a disk");
    drop(store);
    let (_, opened) = open();
    assert_eq!(opened.state.map(|state| state.version()), Some(state.version()));
    assert_eq!(opened.commits, [commit(1)]);
    let _ = std::fs::remove_dir_all(&path);
}

/// Guards against a log line for each attempt while the disk stays full: each attempt writes another file, so the reason must not
/// contain the file name.
#[test]
fn a_disk_that_stays_full_gives_the_same_reason_for_each_file() {
    let (mut store, _, disk) = open(Files::default(), 7);
    disk.fail(Fault::Full(0));
    let state = Snapshot::of(&base());
    let failures: Vec<_> = (0..3).map(|_| store.save(&state).expect_err("a full disk")).collect();
    assert_ne!(failures[0].to_string(), failures[1].to_string(), "another file each time");
    assert!(failures.iter().all(|failure| failure.reason() == failures[0].reason()), "{failures:?}");
}
