//! The durable state of a voter of the consensus group, in segments of which the last complete one counts.
//!
//! ```text
//! identity:  "gpcouncl" | version u16 | id u64 | crc u32                                    (all little-endian)
//! segment:   "gpcouncl" | version u16 | number u64 | id u64 | crc u32, then frames
//! frame:     length u32 | crc u32 of (number, place, length) | crc u32 of (number, place, payload) | payload
//! payload:   postcard of the records of one write
//! ```
//!
//! A write that begins with a snapshot starts a new segment, and the earlier ones are removed once it is durable. A segment
//! counts if its first frame is complete; the one with the greatest number that counts is read, up to its first incomplete
//! frame. Frames after a damaged one are ignored: a voter that lost what it once acknowledged is detected by the group
//! (`gradepin_coordination::consensus`).

use crate::disk::{Disk, Segment};
use crate::framing::{FRAME_HEADER_BYTES, decode_frame, encode_frame, has_valid_checksum, with_checksum};
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use std::io;

const MAGIC: &[u8; 8] = b"gpcouncl";
const VERSION: u16 = 1;
const IDENTITY: &str = "identity";
/// Bytes of the identity file.
const IDENTITY_BYTES: usize = 8 + 2 + 8 + 4;
const SUFFIX: &str = ".council";
/// Bytes of a segment before its frames.
const HEADER_BYTES: usize = 8 + 2 + 8 + 8 + 4;
/// The longest payload.
const MAX_PAYLOAD_BYTES: usize = 16 << 20;

/// Why the files can't be used.
#[derive(Debug, thiserror::Error)]
pub enum VoterLogError {
    /// The disk failed.
    #[error("{name}: {why}")]
    Disk {
        /// The file, or the operation.
        name: String,
        /// The system's error.
        why: io::Error,
    },
    /// A file is of another version, of another program, or damaged where it may not be.
    #[error("{name}: {what}")]
    Foreign {
        /// The file.
        name: String,
        /// What was expected.
        what: &'static str,
    },
    /// There are segments and no identity: the folder was copied incompletely.
    #[error("the folder has segments of a council and no identity")]
    NoIdentity,
    /// A write is longer than any frame may be.
    #[error("expected writes of {MAX_PAYLOAD_BYTES} bytes at the most")]
    TooLong,
}

fn disk(name: &str) -> impl FnOnce(io::Error) -> VoterLogError + '_ {
    move |why| VoterLogError::Disk { name: name.to_string(), why }
}

/// The files of a voter, open for writing.
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

fn header(number: u64, id: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(id.to_le_bytes());
    with_checksum(bytes)
}

fn encode_records(number: u64, place: u32, records: &[DurableRecord]) -> Result<Vec<u8>, VoterLogError> {
    let payload = postcard::to_stdvec(records).map_err(|_| VoterLogError::TooLong)?;
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(VoterLogError::TooLong);
    }
    Ok(encode_frame(number, place, &payload))
}

/// The records of all complete frames of a segment.
fn decode_records(number: u64, mut bytes: &[u8]) -> Vec<DurableRecord> {
    let mut records = Vec::new();
    for place in 0.. {
        let Some(payload) = decode_frame(number, place, bytes) else { break };
        let Ok(more) = postcard::from_bytes::<Vec<DurableRecord>>(payload) else { break };
        records.extend(more);
        bytes = &bytes[FRAME_HEADER_BYTES + payload.len()..];
    }
    records
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..).and_then(|rest| rest.first_chunk()).map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

impl VoterLog {
    /// Opens the files and reads their state. `new_id` is the identity if the folder is new.
    pub fn open(mut files: Box<dyn Disk>, new_id: u64) -> Result<(Self, VoterState), VoterLogError> {
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
                create_identity(&mut *files, new_id, names.iter().any(|name| name == IDENTITY))?
            }
            None => return Err(VoterLogError::NoIdentity),
        };
        let mut records = Vec::new();
        for &number in numbers.iter().rev() {
            let name = name_of(number);
            let bytes = files.read(&name).map_err(disk(&name))?;
            // A segment whose header or first frame is torn was never durable: the one before still counts.
            if bytes.len() < HEADER_BYTES || !has_valid_checksum(&bytes[..HEADER_BYTES]) {
                continue;
            }
            if bytes[..8] != *MAGIC || bytes[8..10] != VERSION.to_le_bytes() {
                return Err(VoterLogError::Foreign { name, what: "expected a segment of version 1" });
            }
            if (u64_at(&bytes, 10), u64_at(&bytes, 18)) != (number, id) {
                return Err(VoterLogError::Foreign { name, what: "a segment of another folder" });
            }
            records = decode_records(number, &bytes[HEADER_BYTES..]);
            if matches!(records.first(), Some(DurableRecord::Snapshot { .. })) {
                break;
            }
            records.clear();
        }
        let next = numbers.last().map_or(0, |last| last + 1);
        let log = Self { disk: files, id, next, active: None, old: numbers, broken: false };
        Ok((log, VoterState { id, records }))
    }

    /// Makes records durable. The first write of a process contains the complete state, as does each that begins with a
    /// snapshot, so nothing is written behind a frame that an earlier process tore. After an error all further writes fail;
    /// the files are to be opened again.
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
        let starts_with_snapshot = matches!(records.first(), Some(DurableRecord::Snapshot { .. }));
        if !starts_with_snapshot && self.active.is_none() {
            let all: Vec<DurableRecord> = found.records.iter().chain(records).cloned().collect();
            return self.begin(&all);
        }
        if starts_with_snapshot {
            return self.begin(records);
        }
        let Some(active) = &mut self.active else { return Ok(()) };
        let bytes = encode_records(active.number, active.place, records)?;
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
                // Writes are retried while the disk fails: what each attempt leaves would fill the folder.
                let _ = self.disk.remove(&name_of(number));
                return Err(error);
            }
        };
        let before = self.active.replace(Active { number, place: 1, segment });
        self.old.extend(before.map(|active| active.number));
        // A file that can't be removed is ignored when read, as a later one counts.
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
        let mut bytes = header(number, self.id);
        bytes.extend(encode_records(number, 0, records)?);
        let mut segment = self.disk.create(&name).map_err(disk(&name))?;
        segment.append(&bytes).map_err(disk(&name))?;
        segment.sync().map_err(disk(&name))?;
        Ok(segment)
    }
}

/// The identity of the folder; `None` if its file is torn.
fn identity(files: &mut dyn Disk) -> Result<Option<u64>, VoterLogError> {
    let bytes = files.read(IDENTITY).map_err(disk(IDENTITY))?;
    if bytes.len() != IDENTITY_BYTES || !has_valid_checksum(&bytes) {
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

/// Writes the identity of a new folder, in place of a torn one.
fn create_identity(files: &mut dyn Disk, id: u64, torn: bool) -> Result<u64, VoterLogError> {
    if torn {
        files.remove(IDENTITY).map_err(disk(IDENTITY))?;
    }
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(id.to_le_bytes());
    let mut file = files.create(IDENTITY).map_err(disk(IDENTITY))?;
    file.append(&with_checksum(bytes)).map_err(disk(IDENTITY))?;
    file.sync().map_err(disk(IDENTITY))?;
    Ok(id)
}

#[cfg(test)]
mod tests;
