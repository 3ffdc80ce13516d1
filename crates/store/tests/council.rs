//! The council's folder on a disk that crashes, is killed, fills up or fails at any step: what a start finds is what was written up
//! to a whole write, no less than what was durable, and the folder does not fill with what failed.

use gradepin_coordination::consensus::{DurableRecord, VoterState};
use gradepin_store::disk::Disk;
use gradepin_store::sim::{Fault, Files, SimDisk};
use gradepin_store::voter_log::{VoterLog, VoterLogError};

const ID: u64 = 42;
const SEEDS: std::ops::Range<u64> = 0..24;

fn open(disk: &SimDisk) -> Result<(VoterLog, VoterState), VoterLogError> {
    VoterLog::open(Box::new(disk.clone()) as Box<dyn Disk>, ID)
}

/// The records of a write: a snapshot now and then, else entries and a term.
fn records(step: u64) -> Vec<DurableRecord> {
    let data = vec![step as u8; 700];
    let term = DurableRecord::Term { term: 1 + step, vote: 7, commit: step };
    match step % 5 {
        0 => vec![DurableRecord::Snapshot { index: step, term: 1, voters: vec![7], data }, term],
        _ => vec![DurableRecord::Entry { index: step, term: 1, changes: false, data }, term],
    }
}

/// All that counts after each write, from nothing on.
fn states(steps: u64) -> Vec<Vec<DurableRecord>> {
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

/// What a start on these files finds is a state after a whole write, and none before `durable`.
fn check(files: Files, seed: u64, durable: usize, steps: u64, what: &str) {
    let disk = SimDisk::with(files, seed);
    let (mut log, found) = open(&disk).unwrap_or_else(|why| panic!("{what}, seed {seed}: {why}"));
    let place = states(steps).iter().position(|state| *state == found.records);
    let place = place.unwrap_or_else(|| panic!("{what}, seed {seed}: {:?}", found.records));
    assert!(place >= durable, "{what}, seed {seed}: {place} < {durable}");
    assert_eq!(found.id, ID);
    // And the next life can write.
    log.write(&found, &records(steps)).expect("a disk without faults");
}

#[test]
fn a_crash_or_kill_at_each_write_leaves_whole_writes() {
    let steps = 13;
    let disk = SimDisk::new(1);
    disk.record();
    let (mut log, found) = open(&disk).expect("a new folder");
    let mut boundaries: Vec<(Files, usize)> = disk.boundaries().into_iter().map(|files| (files, 0)).collect();
    for step in 0..steps {
        log.write(&found, &records(step)).expect("a disk without faults");
        // Until a write is over what was durable before it counts.
        boundaries.extend(disk.boundaries().into_iter().map(|files| (files, step as usize)));
        boundaries.push((disk.files(), step as usize + 1));
    }
    assert!(boundaries.len() > 30, "{}", boundaries.len());
    for (at, (files, durable)) in boundaries.iter().enumerate() {
        check(files.killed(), 0, *durable, steps, &format!("killed at {at}"));
        for seed in SEEDS {
            check(files.crash(seed), seed, *durable, steps, &format!("crashed at {at}"));
        }
    }
}

/// Guards a folder on a disk that stays full: the voter tries again each second, and each try would leave a file that takes a
/// name and is read with every try after it.
#[test]
fn a_disk_that_fails_for_long_leaves_no_file_for_each_try() {
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
            assert!(states(2)[1..].contains(&found.records), "{fault:?}: {:?}", found.records);
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
