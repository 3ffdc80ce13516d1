use super::*;
use crate::disk::Folder;
use std::path::PathBuf;

struct Temp(PathBuf);

impl Temp {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gradepin-council-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }

    fn open(&self, fresh: u64) -> Result<(VoterLog, VoterState), VoterLogError> {
        VoterLog::open(Box::new(Folder::open(&self.0).unwrap()), fresh)
    }

    fn segments(&self) -> Vec<PathBuf> {
        let names = std::fs::read_dir(&self.0).unwrap().map(|entry| entry.unwrap().path());
        let mut names: Vec<PathBuf> = names.filter(|path| path.to_string_lossy().ends_with(SUFFIX)).collect();
        names.sort();
        names
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn snapshot(index: u64) -> Vec<DurableRecord> {
    let snapshot = DurableRecord::Snapshot { index, term: 1, voters: vec![7], data: vec![9; 50] };
    vec![snapshot, DurableRecord::Term { term: 1, vote: 0, commit: index }]
}

fn entry(index: u64) -> Vec<DurableRecord> {
    vec![DurableRecord::Entry { index, term: 1, changes: false, data: vec![index as u8; 20] }]
}

/// Guards what was written against a life that ends anywhere: each prefix of the files gives a prefix of the writes, and
/// with it the same identity.
#[test]
fn torn_tail_gives_complete_writes_only() {
    let temp = Temp::new("torn");
    let (mut log, found) = temp.open(42).unwrap();
    assert_eq!(found, VoterState { id: 42, records: Vec::new() });
    log.write(&found, &snapshot(1)).unwrap();
    for index in 2..6 {
        log.write(&found, &entry(index)).unwrap();
    }
    drop(log);
    let segment = temp.segments().pop().unwrap();
    let bytes = std::fs::read(&segment).unwrap();
    let mut lengths = Vec::new();
    for cut in (0..=bytes.len()).rev() {
        std::fs::write(&segment, &bytes[..cut]).unwrap();
        let (_, found) = temp.open(1).unwrap();
        assert_eq!(found.id, 42);
        let whole: Vec<DurableRecord> = snapshot(1).into_iter().chain((2..6).flat_map(entry)).collect();
        assert!(whole.starts_with(&found.records), "cut at {cut}");
        lengths.push(found.records.len());
    }
    lengths.dedup();
    assert_eq!(lengths, [6, 5, 4, 3, 2, 0]);
    // A flipped bit ends what is read where it stands, and makes nothing up.
    for place in (HEADER_BYTES..bytes.len()).step_by(7) {
        let mut bad = bytes.clone();
        bad[place] ^= 4;
        std::fs::write(&segment, &bad).unwrap();
        let (_, found) = temp.open(1).unwrap();
        let whole: Vec<DurableRecord> = snapshot(1).into_iter().chain((2..6).flat_map(entry)).collect();
        assert!(whole.starts_with(&found.records) && found.records.len() < whole.len(), "flipped at {place}");
    }
}

/// Guards against writing behind what an earlier life tore: the next life's first write holds all that counts.
#[test]
fn next_process_writes_behind_no_torn_frame() {
    let temp = Temp::new("next");
    let (mut log, found) = temp.open(42).unwrap();
    log.write(&found, &snapshot(1)).unwrap();
    log.write(&found, &entry(2)).unwrap();
    drop(log);
    let segment = temp.segments().pop().unwrap();
    let mut bytes = std::fs::read(&segment).unwrap();
    bytes.extend([1, 2, 3]);
    std::fs::write(&segment, bytes).unwrap();
    let (mut log, found) = temp.open(1).unwrap();
    assert_eq!(found.records.len(), 3);
    log.write(&found, &entry(3)).unwrap();
    log.write(&found, &entry(4)).unwrap();
    drop(log);
    let (_, found) = temp.open(1).unwrap();
    let all: Vec<DurableRecord> = snapshot(1).into_iter().chain((2..5).flat_map(entry)).collect();
    assert_eq!(found.records, all);
    assert_eq!(temp.segments().len(), 1, "the one before went");
}

/// Guards the size, and a new segment that was not whole when the power went: the one before counts.
#[test]
fn snapshot_starts_a_segment_and_a_torn_one_changes_nothing() {
    let temp = Temp::new("anew");
    let (mut log, found) = temp.open(42).unwrap();
    for index in 0..300 {
        let records = if index % 30 == 0 { snapshot(index) } else { entry(index) };
        log.write(&found, &records).unwrap();
    }
    drop(log);
    assert_eq!(temp.segments().len(), 1);
    let kept = std::fs::read(&temp.segments()[0]).unwrap();
    assert!(kept.len() < 4_000, "{} bytes", kept.len());
    let (mut log, found) = temp.open(1).unwrap();
    assert!(matches!(found.records[0], DurableRecord::Snapshot { index: 270, .. }));
    log.write(&found, &snapshot(300)).unwrap();
    drop(log);
    let new = temp.segments().pop().unwrap();
    let bytes = std::fs::read(&new).unwrap();
    std::fs::write(temp.0.join(name_of(10)), kept).unwrap();
    std::fs::write(&new, &bytes[..bytes.len() - 1]).unwrap();
    let (_, found) = temp.open(1).unwrap();
    assert!(found.records.is_empty() || matches!(found.records[0], DurableRecord::Snapshot { .. }));
}

/// Guards against files that are another's: an identity without its segments' number, segments without an identity.
#[test]
fn rejects_files_of_another_folder() {
    let (a, b) = (Temp::new("a"), Temp::new("b"));
    for (temp, id) in [(&a, 1), (&b, 2)] {
        let (mut log, found) = temp.open(id).unwrap();
        log.write(&found, &snapshot(1)).unwrap();
    }
    std::fs::copy(&a.segments()[0], b.0.join(name_of(9))).unwrap();
    let error = b.open(3).map(|(_, found)| found).unwrap_err();
    assert!(matches!(error, VoterLogError::Foreign { .. }), "{error}");
    std::fs::remove_file(a.0.join(IDENTITY)).unwrap();
    assert!(matches!(a.open(3).map(drop), Err(VoterLogError::NoIdentity)));
}
