//! The council's files: what a voter must not forget, in segments of which the last whole one counts.
//!
//! ```text
//! identity:  "gpcouncl" | version u16 | id u64 | crc u32                                    (all little-endian)
//! segment:   "gpcouncl" | version u16 | number u64 | id u64 | crc u32, then frames
//! frame:     length u32 | crc u32 of (number, place, length) | crc u32 of (number, place, payload) | payload
//! payload:   postcard of the records of one write
//! ```
//!
//! A write that begins with a snapshot begins a new segment: all that counts from then on is in it, so the ones before go
//! once it is durable. A segment counts if its first frame is whole; the one with the greatest number that counts is read, up to
//! its first frame that is not whole. What comes after a frame that is damaged is not taken: a voter whose files end sooner
//! than they did is found out by what it acknowledged (`gradepin_coordination::consensus`).

use crate::disk::{Disk, Segment};
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use std::io;

const MAGIC: &[u8; 8] = b"gpcouncl";
const VERSION: u16 = 1;
const IDENTITY: &str = "identity";
const SUFFIX: &str = ".council";
const HEAD: usize = 8 + 2 + 8 + 8 + 4;
const FRAME_HEAD: usize = 12;
/// The longest payload.
const MOST_PAYLOAD: usize = 16 << 20;

/// Why the files can't be used.
#[derive(Debug, thiserror::Error)]
pub enum VoterLogError {
    /// The disk fails.
    #[error("{name}: {why}")]
    Disk {
        /// Which file, or what was to be done.
        name: String,
        /// What the system says.
        why: io::Error,
    },
    /// A file is of another version, of another program, or damaged where it may not be.
    #[error("{name}: {what}")]
    Foreign {
        /// Which file.
        name: String,
        /// How.
        what: &'static str,
    },
    /// There are segments and no identity: the folder was not copied whole.
    #[error("the folder has segments of a council and no identity")]
    NoIdentity,
    /// A write is longer than any frame may be.
    #[error("expected writes of {MOST_PAYLOAD} bytes at the most")]
    Long,
}

fn disk(name: &str) -> impl FnOnce(io::Error) -> VoterLogError + '_ {
    move |why| VoterLogError::Disk { name: name.to_string(), why }
}

/// The council's files, open for writing.
pub struct VoterLog {
    disk: Box<dyn Disk>,
    id: u64,
    next: u64,
    active: Option<Active>,
    /// Segments before the active one.
    old: Vec<u64>,
    broken: bool,
}

struct Active {
    number: u64,
    place: u32,
    segment: Box<dyn Segment>,
}

/// The name of a segment.
pub fn name_of(number: u64) -> String {
    format!("{number:016x}{SUFFIX}")
}

fn number_of(name: &str) -> Option<u64> {
    crate::framing::number_of(name, SUFFIX)
}

fn sealed(mut bytes: Vec<u8>) -> Vec<u8> {
    let crc = crc32fast::hash(&bytes);
    bytes.extend(crc.to_le_bytes());
    bytes
}

/// Whether what stands before its crc is what was written.
fn whole(bytes: &[u8]) -> bool {
    bytes.split_last_chunk::<4>().is_some_and(|(bytes, crc)| crc32fast::hash(bytes).to_le_bytes() == *crc)
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..).and_then(|rest| rest.first_chunk()).map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..).and_then(|rest| rest.first_chunk()).map_or(0, |bytes| u32::from_le_bytes(*bytes))
}

/// The crc of a part of a frame, which counts nowhere else.
fn placed(number: u64, place: u32, bytes: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&number.to_le_bytes());
    crc.update(&place.to_le_bytes());
    crc.update(bytes);
    crc.finalize()
}

fn head(number: u64, id: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(id.to_le_bytes());
    sealed(bytes)
}

fn frame(number: u64, place: u32, records: &[DurableRecord]) -> Result<Vec<u8>, VoterLogError> {
    let payload = postcard::to_stdvec(records).map_err(|_| VoterLogError::Long)?;
    if payload.len() > MOST_PAYLOAD {
        return Err(VoterLogError::Long);
    }
    let length = (payload.len() as u32).to_le_bytes();
    let mut bytes = length.to_vec();
    bytes.extend(placed(number, place, &length).to_le_bytes());
    bytes.extend(placed(number, place, &payload).to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

/// The whole frames of a segment, and whether it begins with a snapshot.
fn frames(number: u64, mut bytes: &[u8]) -> Vec<DurableRecord> {
    let mut records = Vec::new();
    for place in 0.. {
        let length = u32_at(bytes, 0);
        if bytes.len() < FRAME_HEAD || placed(number, place, &length.to_le_bytes()) != u32_at(bytes, 4) {
            break;
        }
        let Some(payload) = bytes.get(FRAME_HEAD..FRAME_HEAD + length as usize) else { break };
        if placed(number, place, payload) != u32_at(bytes, 8) {
            break;
        }
        let Ok(more) = postcard::from_bytes::<Vec<DurableRecord>>(payload) else { break };
        records.extend(more);
        bytes = &bytes[FRAME_HEAD + payload.len()..];
    }
    records
}

impl VoterLog {
    /// Opens the files and reads what they hold. `fresh` is the identity of a folder that is new.
    pub fn open(mut files: Box<dyn Disk>, fresh: u64) -> Result<(Self, VoterState), VoterLogError> {
        let names = files.list().map_err(disk("the folder"))?;
        let mut numbers: Vec<u64> = names.iter().filter_map(|name| number_of(name)).collect();
        numbers.sort_unstable();
        let id = match names.iter().any(|name| name == IDENTITY) {
            true => identity(&mut *files)?,
            false => None,
        };
        let id = match id {
            Some(id) => id,
            None if numbers.is_empty() => {
                begin(&mut *files, fresh, names.iter().any(|name| name == IDENTITY))?
            }
            None => return Err(VoterLogError::NoIdentity),
        };
        let mut records = Vec::new();
        for &number in numbers.iter().rev() {
            let name = name_of(number);
            let bytes = files.read(&name).map_err(disk(&name))?;
            // One whose head or first frame is torn was never durable: the one before counts still.
            if bytes.len() < HEAD || !whole(&bytes[..HEAD]) {
                continue;
            }
            if bytes[..8] != *MAGIC || bytes[8..10] != VERSION.to_le_bytes() {
                return Err(VoterLogError::Foreign { name, what: "expected a segment of version 1" });
            }
            if (u64_at(&bytes, 10), u64_at(&bytes, 18)) != (number, id) {
                return Err(VoterLogError::Foreign { name, what: "a segment of another folder" });
            }
            records = frames(number, &bytes[HEAD..]);
            if matches!(records.first(), Some(DurableRecord::Snapshot { .. })) {
                break;
            }
            records.clear();
        }
        let next = numbers.last().map_or(0, |last| last + 1);
        let log = Self { disk: files, id, next, active: None, old: numbers, broken: false };
        Ok((log, VoterState { id, records }))
    }

    /// Makes records durable. The first write of a life holds all that counts, as does each that begins with a snapshot: what
    /// an earlier life tore is never written behind. After an error nothing more is taken; the files are to be opened anew.
    pub fn write(&mut self, found: &VoterState, records: &[DurableRecord]) -> Result<(), VoterLogError> {
        if self.broken {
            return Err(VoterLogError::Disk {
                name: "the folder".into(),
                why: io::Error::other("an earlier write failed"),
            });
        }
        let result = self.try_write(found, records);
        self.broken = result.is_err();
        result
    }

    fn try_write(&mut self, found: &VoterState, records: &[DurableRecord]) -> Result<(), VoterLogError> {
        let anew = matches!(records.first(), Some(DurableRecord::Snapshot { .. }));
        if !anew && self.active.is_none() {
            let all: Vec<DurableRecord> = found.records.iter().chain(records).cloned().collect();
            return self.begin(&all);
        }
        if anew {
            return self.begin(records);
        }
        let Some(active) = &mut self.active else { return Ok(()) };
        let bytes = frame(active.number, active.place, records)?;
        active.place += 1;
        let name = name_of(active.number);
        active.segment.append(&bytes).map_err(disk(&name))?;
        active.segment.sync().map_err(disk(&name))
    }

    fn begin(&mut self, records: &[DurableRecord]) -> Result<(), VoterLogError> {
        let number = self.next;
        self.next += 1;
        let segment = match self.write_segment(number, records) {
            Ok(segment) => segment,
            Err(error) => {
                // It is tried again for as long as the disk fails: what each try leaves would fill the folder.
                let _ = self.disk.remove(&name_of(number));
                return Err(error);
            }
        };
        let before = self.active.replace(Active { number, place: 1, segment });
        self.old.extend(before.map(|active| active.number));
        // One that can't be removed is passed over by a reading, as a later one counts.
        for number in std::mem::take(&mut self.old) {
            let _ = self.disk.remove(&name_of(number));
        }
        Ok(())
    }

    /// A new segment with these records, durable.
    fn write_segment(
        &mut self,
        number: u64,
        records: &[DurableRecord],
    ) -> Result<Box<dyn Segment>, VoterLogError> {
        let name = name_of(number);
        let mut bytes = head(number, self.id);
        bytes.extend(frame(number, 0, records)?);
        let mut segment = self.disk.create(&name).map_err(disk(&name))?;
        segment.append(&bytes).map_err(disk(&name))?;
        segment.sync().map_err(disk(&name))?;
        Ok(segment)
    }
}

/// The identity that the folder was made with; none if it was torn while it was made.
fn identity(files: &mut dyn Disk) -> Result<Option<u64>, VoterLogError> {
    let bytes = files.read(IDENTITY).map_err(disk(IDENTITY))?;
    if bytes.len() != 8 + 2 + 8 + 4 || !whole(&bytes) {
        return Ok(None);
    }
    if bytes[..8] != *MAGIC || bytes[8..10] != VERSION.to_le_bytes() {
        return Err(VoterLogError::Foreign {
            name: IDENTITY.into(),
            what: "expected an identity of version 1",
        });
    }
    Ok(Some(u64_at(&bytes, 10)))
}

fn begin(files: &mut dyn Disk, id: u64, torn: bool) -> Result<u64, VoterLogError> {
    if torn {
        files.remove(IDENTITY).map_err(disk(IDENTITY))?;
    }
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(id.to_le_bytes());
    let mut file = files.create(IDENTITY).map_err(disk(IDENTITY))?;
    file.append(&sealed(bytes)).map_err(disk(IDENTITY))?;
    file.sync().map_err(disk(IDENTITY))?;
    Ok(id)
}

#[cfg(test)]
mod tests {
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
            let mut names: Vec<PathBuf> =
                names.filter(|path| path.to_string_lossy().ends_with(SUFFIX)).collect();
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
    fn a_torn_tail_gives_whole_writes_only() {
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
        for place in (HEAD..bytes.len()).step_by(7) {
            let mut bad = bytes.clone();
            bad[place] ^= 4;
            std::fs::write(&segment, &bad).unwrap();
            let (_, found) = temp.open(1).unwrap();
            let whole: Vec<DurableRecord> = snapshot(1).into_iter().chain((2..6).flat_map(entry)).collect();
            assert!(
                whole.starts_with(&found.records) && found.records.len() < whole.len(),
                "flipped at {place}"
            );
        }
    }

    /// Guards against writing behind what an earlier life tore: the next life's first write holds all that counts.
    #[test]
    fn the_next_life_writes_behind_nothing_torn() {
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
    fn a_snapshot_begins_anew_and_one_that_is_torn_changes_nothing() {
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
    fn another_folders_files_are_not_taken() {
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
}
