use super::*;
use crate::disk::Folder;
use std::path::PathBuf;

struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gradepin-council-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }

    fn open(&self, new_id: u64) -> Result<(VoterLog, VoterState), VoterLogError> {
        VoterLog::open(Box::new(Folder::open(&self.0).unwrap()), new_id)
    }

    fn segments(&self) -> Vec<PathBuf> {
        let names = std::fs::read_dir(&self.0).unwrap().map(|entry| entry.unwrap().path());
        let mut names: Vec<PathBuf> = names.filter(|path| path.to_string_lossy().ends_with(SUFFIX)).collect();
        names.sort();
        names
    }
}

impl Drop for TempFolder {
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

/// Guards against a partial write that is recovered after a crash: a segment truncated at any length must give a prefix of the
/// writes and the same voter id.
#[test]
fn torn_tail_gives_complete_writes_only() {
    let folder = TempFolder::new("torn");
    let (mut log, found) = folder.open(42).unwrap();
    assert_eq!(found, VoterState { id: 42, records: Vec::new() });
    log.write(&found, &snapshot(1)).unwrap();
    for index in 2..6 {
        log.write(&found, &entry(index)).unwrap();
    }
    drop(log);
    let segment = folder.segments().pop().unwrap();
    let bytes = std::fs::read(&segment).unwrap();
    let mut lengths = Vec::new();
    for length in (0..=bytes.len()).rev() {
        std::fs::write(&segment, &bytes[..length]).unwrap();
        let (_, found) = folder.open(1).unwrap();
        assert_eq!(found.id, 42);
        let complete_writes: Vec<DurableRecord> =
            snapshot(1).into_iter().chain((2..6).flat_map(entry)).collect();
        assert!(complete_writes.starts_with(&found.records), "cut at {length}");
        lengths.push(found.records.len());
    }
    lengths.dedup();
    assert_eq!(lengths, [6, 5, 4, 3, 2, 0]);
    // A flipped bit must end the recovered records at the damaged frame, and must not change any record.
    for byte in (HEADER_BYTES..bytes.len()).step_by(7) {
        let mut damaged = bytes.clone();
        damaged[byte] ^= 4;
        std::fs::write(&segment, &damaged).unwrap();
        let (_, found) = folder.open(1).unwrap();
        let complete_writes: Vec<DurableRecord> =
            snapshot(1).into_iter().chain((2..6).flat_map(entry)).collect();
        assert!(
            complete_writes.starts_with(&found.records) && found.records.len() < complete_writes.len(),
            "flipped at {byte}"
        );
    }
}

/// Guards against records that are lost after a frame that an earlier process tore: the first write of the next process must
/// repeat the complete state in a new segment.
#[test]
fn next_process_appends_nothing_after_a_torn_frame() {
    let folder = TempFolder::new("next");
    let (mut log, found) = folder.open(42).unwrap();
    log.write(&found, &snapshot(1)).unwrap();
    log.write(&found, &entry(2)).unwrap();
    drop(log);
    let segment = folder.segments().pop().unwrap();
    let mut bytes = std::fs::read(&segment).unwrap();
    bytes.extend([1, 2, 3]);
    std::fs::write(&segment, bytes).unwrap();
    let (mut log, found) = folder.open(1).unwrap();
    assert_eq!(found.records.len(), 3);
    log.write(&found, &entry(3)).unwrap();
    log.write(&found, &entry(4)).unwrap();
    drop(log);
    let (_, found) = folder.open(1).unwrap();
    let all: Vec<DurableRecord> = snapshot(1).into_iter().chain((2..5).flat_map(entry)).collect();
    assert_eq!(found.records, all);
    assert_eq!(folder.segments().len(), 1, "the earlier segment is removed");
}

/// Guards against a log that grows with each snapshot, and against a crash during the write of a new segment: the previous
/// segment must be used then.
#[test]
fn snapshot_replaces_the_segments_and_a_torn_segment_is_ignored() {
    let folder = TempFolder::new("anew");
    let (mut log, found) = folder.open(42).unwrap();
    for index in 0..300 {
        let records = if index % 30 == 0 { snapshot(index) } else { entry(index) };
        log.write(&found, &records).unwrap();
    }
    drop(log);
    assert_eq!(folder.segments().len(), 1);
    let old_segment = std::fs::read(&folder.segments()[0]).unwrap();
    assert!(old_segment.len() < 4_000, "{} bytes", old_segment.len());
    let (mut log, found) = folder.open(1).unwrap();
    assert!(matches!(found.records[0], DurableRecord::Snapshot { index: 270, .. }));
    log.write(&found, &snapshot(300)).unwrap();
    drop(log);
    let new = folder.segments().pop().unwrap();
    let bytes = std::fs::read(&new).unwrap();
    std::fs::write(folder.0.join(name_of(10)), old_segment).unwrap();
    std::fs::write(&new, &bytes[..bytes.len() - 1]).unwrap();
    let (_, found) = folder.open(1).unwrap();
    assert!(found.records.is_empty() || matches!(found.records[0], DurableRecord::Snapshot { .. }));
}

/// Guards against the use of a segment that was copied from another voter, and of segments without an identity file.
#[test]
fn rejects_segments_of_another_folder_and_segments_without_identity() {
    let (a, b) = (TempFolder::new("a"), TempFolder::new("b"));
    for (folder, id) in [(&a, 1), (&b, 2)] {
        let (mut log, found) = folder.open(id).unwrap();
        log.write(&found, &snapshot(1)).unwrap();
    }
    std::fs::copy(&a.segments()[0], b.0.join(name_of(9))).unwrap();
    let error = b.open(3).map(|(_, found)| found).unwrap_err();
    assert!(matches!(error, VoterLogError::Foreign { .. }), "{error}");
    std::fs::remove_file(a.0.join(IDENTITY)).unwrap();
    assert!(matches!(a.open(3).map(drop), Err(VoterLogError::NoIdentity)));
}
