//! The log of a voter on a disk that crashes, fills up or fails at any step. A start must recover the state after some complete
//! write, none older than the last durable one, and failed writes must not fill the folder.

use gradepin_coordination::consensus::{DurableRecord, VoterState};
use gradepin_store::disk::Disk;
use gradepin_store::sim::{Fault, Files, SimDisk};
use gradepin_store::voter_log::{VoterLog, VoterLogError};

const ID: u64 = 42;
const SEEDS: std::ops::Range<u64> = 0..24;

fn open(disk: &SimDisk) -> Result<(VoterLog, VoterState), VoterLogError> {
    VoterLog::open(Box::new(disk.clone()) as Box<dyn Disk>, ID)
}

/// The records of a write: a snapshot at every fifth step, otherwise an entry, and a term.
fn records(step: u64) -> Vec<DurableRecord> {
    let data = vec![step as u8; 700];
    let term = DurableRecord::Term { term: 1 + step, vote: 7, commit: step };
    match step % 5 {
        0 => vec![DurableRecord::Snapshot { index: step, term: 1, voters: vec![7], data }, term],
        _ => vec![DurableRecord::Entry { index: step, term: 1, changes: false, data }, term],
    }
}

/// The state to recover after each number of writes, beginning with the empty state before the first.
fn states_after_each_write(steps: u64) -> Vec<Vec<DurableRecord>> {
    let mut states = vec![Vec::new()];
    for step in 0..steps {
        let records = records(step);
        let mut state = states.last().cloned().unwrap_or_default();
        if matches!(records[0], DurableRecord::Snapshot { .. }) {
            state.clear();
        }
        state.extend(records);
        states.push(state);
    }
    states
}

/// Asserts that a start on these files recovers the state after a complete write, and after no fewer than `durable` writes.
fn assert_recoverable(files: Files, seed: u64, durable: usize, steps: u64, context: &str) {
    let disk = SimDisk::with(files, seed);
    let (mut log, found) = open(&disk).unwrap_or_else(|why| panic!("{context}, seed {seed}: {why}"));
    let position = states_after_each_write(steps).iter().position(|state| *state == found.records);
    let position = position.unwrap_or_else(|| panic!("{context}, seed {seed}: {:?}", found.records));
    assert!(position >= durable, "{context}, seed {seed}: {position} < {durable}");
    assert_eq!(found.id, ID);
    // The next process must be able to write.
    log.write(&found, &records(steps)).expect("a disk without faults");
}

#[test]
fn a_crash_or_kill_at_each_write_leaves_complete_writes() {
    let steps = 13;
    let disk = SimDisk::new(1);
    disk.record();
    let (mut log, found) = open(&disk).expect("a new folder");
    let mut boundaries: Vec<(Files, usize)> = disk.boundaries().into_iter().map(|files| (files, 0)).collect();
    for step in 0..steps {
        log.write(&found, &records(step)).expect("a disk without faults");
        // Until a write has ended, only the state before it must be recovered.
        boundaries.extend(disk.boundaries().into_iter().map(|files| (files, step as usize)));
        boundaries.push((disk.files(), step as usize + 1));
    }
    assert!(boundaries.len() > 30, "{}", boundaries.len());
    for (index, (files, durable)) in boundaries.iter().enumerate() {
        assert_recoverable(files.killed(), 0, *durable, steps, &format!("killed at {index}"));
        for seed in SEEDS {
            assert_recoverable(files.crash(seed), seed, *durable, steps, &format!("crashed at {index}"));
        }
    }
}

/// Guards against a folder that fills up while the disk fails: the voter retries each second, and each attempt would leave a file
/// that all later attempts must read.
#[test]
fn failed_writes_on_a_broken_disk_accumulate_no_files() {
    for fault in [Fault::Full(1_000), Fault::WriteFails, Fault::SyncFails] {
        let disk = SimDisk::new(3);
        let (mut log, mut found) = open(&disk).expect("a new folder");
        log.write(&found, &records(0)).expect("a disk without faults");
        disk.fail(fault);
        for _ in 0..200 {
            let written = log.write(&found, &records(1)).is_ok();
            assert!(!written, "{fault:?}");
            drop(log);
            (log, found) = open(&disk).expect("it can be read");
            assert!(
                states_after_each_write(2)[1..].contains(&found.records),
                "{fault:?}: {:?}",
                found.records
            );
        }
        let files = disk.lengths();
        assert!(files.len() <= 4, "{fault:?}: {} files, the last {:?}", files.len(), files.last());
        disk.fail(Fault::None);
        drop(log);
        (log, found) = open(&disk).expect("it can be read");
        log.write(&found, &records(1)).expect("a disk without faults");
        drop(log);
        let (_, found) = open(&disk).expect("it can be read");
        assert_eq!(found.records.last(), records(1).last(), "{fault:?}");
    }
}
