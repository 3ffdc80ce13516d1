//! The last good configuration under kill -9, crashes of the machine and full disks at each write: a start uses a whole
//! state that was in force, never one older than what was durable.

use gradepin_admission::{Idempotency, Settings, Span};
use gradepin_config::document::{ClassEntry, TenantEntry};
use gradepin_config::{Change, Commit, Configuration, Document, Revision, Snapshot, Transaction, Version};
use gradepin_store::configuration::{ConfigurationStore, MAX_COMMIT_BYTES, Opened};
use gradepin_store::disk::Folder;
use gradepin_store::sim::{Fault, Files, SimDisk};
use std::collections::BTreeMap;

/// Seeds of what a crash leaves at each boundary.
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

/// A state of two sectors and more.
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

/// A history on a disk: what was durable after each step.
struct Play {
    disk: SimDisk,
    store: ConfigurationStore,
    state: Configuration,
    /// The digest of each revision that was ever in force.
    known: BTreeMap<Revision, Version>,
    durable: Option<Revision>,
}

impl Play {
    fn on(disk: SimDisk) -> Self {
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

    /// What a start on these files finds is a state that was in force, and not older than `durable`.
    fn check(&self, files: Files, seed: u64, durable: Option<Revision>, what: &str) {
        let (mut store, opened, _) = open(files, seed);
        let found = opened.state.as_ref().map(Configuration::version);
        if let Some(found) = found {
            assert_eq!(self.known.get(&found.revision), Some(&found), "{what}, seed {seed}");
        }
        assert!(found.map(|found| found.revision) >= durable, "{what}, seed {seed}: {found:?} < {durable:?}");
        // And the next process can write.
        store.save(&Snapshot::of(&self.state)).expect("a disk without faults");
    }
}

#[test]
fn a_crash_or_kill_at_each_write_leaves_a_whole_state() {
    let mut play = Play::on(SimDisk::new(1));
    let mut boundaries: Vec<(Files, Option<Revision>)> = Vec::new();
    play.disk.record();
    for step in 0..8 {
        let before = play.durable;
        match step % 4 {
            0 => assert!(play.save()),
            _ => play.commit(),
        }
        // Until a step is over what was durable before it counts.
        boundaries.extend(play.disk.boundaries().into_iter().map(|files| (files, before)));
        boundaries.push((play.disk.files(), play.durable));
    }
    assert!(boundaries.len() > 25, "{}", boundaries.len());
    for (at, (files, durable)) in boundaries.iter().enumerate() {
        play.check(files.killed(), 0, *durable, &format!("killed at {at}"));
        for seed in SEEDS {
            play.check(files.crash(seed), seed, *durable, &format!("crashed at {at}"));
        }
    }
}

#[test]
fn a_full_disk_at_each_size_leaves_a_whole_state() {
    let start = || {
        let mut play = Play::on(SimDisk::new(2));
        assert!(play.save());
        play.commit();
        play
    };
    let held: usize = start().disk.lengths().iter().map(|(_, length)| length).sum();
    for room in (0..=2 * held + 400).step_by(97) {
        let mut play = start();
        play.disk.fail(Fault::Full(held + room));
        play.save();
        play.commit();
        play.commit();
        let what = format!("room of {room} bytes");
        play.check(play.disk.files().killed(), 0, play.durable, &what);
        for seed in SEEDS {
            play.check(play.disk.files().crash(seed), seed, play.durable, &what);
        }
        // With room again the same process writes on.
        play.disk.fail(Fault::None);
        play.commit();
        assert_eq!(play.durable, Some(play.state.revision()), "{what}");
        play.check(play.disk.files().killed(), 0, play.durable, &what);
    }
}

#[test]
fn a_sync_that_fails_is_not_relied_on() {
    for seed in SEEDS {
        let mut play = Play::on(SimDisk::new(seed));
        assert!(play.save());
        play.disk.fail(Fault::SyncFails);
        play.commit();
        assert!(play.store.wants_snapshot(), "seed {seed}: a frame may be torn");
        assert!(!play.save());
        play.check(play.disk.files().crash(seed), seed, play.durable, "sync fails");
        play.disk.fail(Fault::None);
        play.commit();
        assert_eq!(play.durable, Some(play.state.revision()));
        play.check(play.disk.files().crash(seed), seed, play.durable, "sync works again");
    }
}

#[test]
fn damage_to_the_newest_file_falls_back_or_starts_empty() {
    let mut play = Play::on(SimDisk::new(3));
    assert!(play.save());
    play.commit();
    let (name, length) = play.disk.lengths().into_iter().next().expect("one file");
    for at in (0..length).step_by(5) {
        let disk = SimDisk::with(play.disk.files().killed(), 0);
        assert!(disk.damage(&name, |bytes| bytes[at] ^= 0x10));
        let (_, opened) = ConfigurationStore::open(Box::new(disk)).expect("a folder");
        match opened.state {
            Some(state) => assert_eq!(play.known.get(&state.revision()), Some(&state.version()), "byte {at}"),
            None => assert_eq!(opened.skipped, std::slice::from_ref(&name), "byte {at}"),
        }
    }
}

#[test]
fn commits_are_bounded_and_in_order() {
    let mut play = Play::on(SimDisk::new(4));
    assert!(play.store.append(&commit(1)).is_err(), "a snapshot has to come first");
    assert!(play.save());
    assert!(play.store.append(&commit(2)).is_err(), "a gap");
    play.commit();
    let before: usize = play.disk.lengths().iter().map(|(_, length)| length).sum();
    while play.store.last() < Revision(30_000) && !play.store.wants_snapshot() {
        play.commit();
    }
    let held: usize = play.disk.lengths().iter().map(|(_, length)| length).sum();
    assert!(held > MAX_COMMIT_BYTES && held < MAX_COMMIT_BYTES + before + 1_000, "{held}");
    play.commit();
    let (_, opened, _) = open(play.disk.files().killed(), 0);
    assert!(opened.commits.is_empty() && play.disk.lengths().len() == 1);
    assert_eq!(opened.state.map(|state| state.version()), Some(play.state.version()));
}

#[test]
fn a_real_folder_holds_it() {
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

/// Guards against a disk that stays full and is told of with each try: each writes another file, and that has no part in the
/// reason.
#[test]
fn a_disk_that_stays_full_has_one_reason_whatever_file_was_to_be_written() {
    let (mut store, _, disk) = open(Files::default(), 7);
    disk.fail(Fault::Full(0));
    let state = Snapshot::of(&base());
    let failures: Vec<_> = (0..3).map(|_| store.save(&state).expect_err("a full disk")).collect();
    assert_ne!(failures[0].to_string(), failures[1].to_string(), "another file each time");
    assert!(failures.iter().all(|failure| failure.reason() == failures[0].reason()), "{failures:?}");
}
