//! The durable state of a voter of the consensus group, in segments of which the last valid one is read.
//!
//! ```text
//! identity:  "gpcouncl" | version u16 | id u64 | crc u32                                    (all little-endian)
//! segment:   "gpcouncl" | version u16 | number u64 | id u64 | crc u32, then frames
//! frame:     length u32 | crc u32 of (number, index, length) | crc u32 of (number, index, payload) | payload
//! payload:   postcard of the records of one write
//! ```
//!
//! A write that begins with a snapshot starts a new segment, and the earlier segments are removed once it is durable. A segment
//! is valid if its first frame is complete. Of all valid segments the one with the highest number is read, up to its first
//! incomplete or damaged frame; later frames are ignored. If a voter thereby loses records that it has acknowledged, the
//! group detects that (`gradepin_coordination::consensus`).

use crate::disk::{Disk, Segment};
use crate::framing::{FRAME_HEADER_BYTES, decode_frame, encode_frame, has_valid_checksum, with_checksum};
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use std::io;

const MAGIC: &[u8; 8] = b"gpcouncl";
const VERSION: u16 = 1;
const IDENTITY: &str = "identity";
/// Length of the identity file in bytes.
const IDENTITY_BYTES: usize = 8 + 2 + 8 + 4;
const SUFFIX: &str = ".council";
/// Length of a segment header in bytes.
const HEADER_BYTES: usize = 8 + 2 + 8 + 8 + 4;
/// Maximum length of a payload, the records of one write, in bytes.
const MAX_PAYLOAD_BYTES: usize = 16 << 20;

/// Why the files of a voter can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum VoterLogError {
    /// A disk operation failed, or an earlier one did.
    #[error("{name}: {why}")]
    Disk {
        /// The file, or `the folder` if the error concerns no single file.
        name: String,
        /// The error from the operating system.
        why: io::Error,
    },
    /// A file has another format version, or belongs to another program or to another voter's folder.
    #[error("{name}: {problem}")]
    Foreign {
        /// The name of the file.
        name: String,
        /// Why the file was rejected.
        problem: &'static str,
    },
    /// There are segments but no identity file: the folder was copied incompletely.
    #[error("the folder has segments of a council but no identity file; it was copied incompletely")]
    NoIdentity,
    /// The records of one write exceed the maximum length of a frame.
    #[error("expected writes of at most {MAX_PAYLOAD_BYTES} bytes")]
    TooLong,
}

fn disk_error(name: &str) -> impl FnOnce(io::Error) -> VoterLogError + '_ {
    move |why| VoterLogError::Disk { name: name.to_string(), why }
}

/// The log of a voter, open for writing.
pub struct VoterLog {
    disk: Box<dyn Disk>,
    id: u64,
    next_number: u64,
    active: Option<Active>,
    /// The numbers of the segments before the active one, which are removed once that is durable.
    old_numbers: Vec<u64>,
    broken: bool,
}

struct Active {
    number: u64,
    frame_index: u32,
    segment: Box<dyn Segment>,
}

/// The file name of the segment with this number.
pub fn name_of(number: u64) -> String {
    format!("{number:016x}{SUFFIX}")
}

fn number_of(name: &str) -> Option<u64> {
    crate::framing::parse_file_number(name, SUFFIX)
}

fn header(number: u64, id: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(id.to_le_bytes());
    with_checksum(bytes)
}

fn encode_records(
    number: u64,
    frame_index: u32,
    records: &[DurableRecord],
) -> Result<Vec<u8>, VoterLogError> {
    let payload = postcard::to_stdvec(records).map_err(|_| VoterLogError::TooLong)?;
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(VoterLogError::TooLong);
    }
    Ok(encode_frame(number, frame_index, &payload))
}

/// The records of a segment up to its first incomplete or damaged frame.
fn decode_records(number: u64, mut bytes: &[u8]) -> Vec<DurableRecord> {
    let mut records = Vec::new();
    for frame_index in 0.. {
        let Some(payload) = decode_frame(number, frame_index, bytes) else { break };
        let Ok(frame_records) = postcard::from_bytes::<Vec<DurableRecord>>(payload) else { break };
        records.extend(frame_records);
        bytes = &bytes[FRAME_HEADER_BYTES + payload.len()..];
    }
    records
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    bytes.get(offset..).and_then(|rest| rest.first_chunk()).map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

impl VoterLog {
    /// Opens a folder and reads the last durable state of its voter. `new_id` becomes the voter's id if the folder is new.
    pub fn open(mut files: Box<dyn Disk>, new_id: u64) -> Result<(Self, VoterState), VoterLogError> {
        let names = files.list().map_err(disk_error("the folder"))?;
        let mut numbers: Vec<u64> = names.iter().filter_map(|name| number_of(name)).collect();
        numbers.sort_unstable();
        let id = match names.iter().any(|name| name == IDENTITY) {
            true => read_identity(&mut *files)?,
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
            let bytes = files.read(&name).map_err(disk_error(&name))?;
            // A segment with a torn header or first frame was never durable, and the previous one was not removed yet.
            if bytes.len() < HEADER_BYTES || !has_valid_checksum(&bytes[..HEADER_BYTES]) {
                continue;
            }
            if bytes[..8] != *MAGIC || bytes[8..10] != VERSION.to_le_bytes() {
                return Err(VoterLogError::Foreign { name, problem: "expected a segment of version 1" });
            }
            if (u64_at(&bytes, 10), u64_at(&bytes, 18)) != (number, id) {
                return Err(VoterLogError::Foreign {
                    name,
                    problem: "expected a segment of this folder, got one of another folder or number",
                });
            }
            records = decode_records(number, &bytes[HEADER_BYTES..]);
            if matches!(records.first(), Some(DurableRecord::Snapshot { .. })) {
                break;
            }
            records.clear();
        }
        let next_number = numbers.last().map_or(0, |last| last + 1);
        let log = Self { disk: files, id, next_number, active: None, old_numbers: numbers, broken: false };
        Ok((log, VoterState { id, records }))
    }

    /// Makes records durable. `recovered` is the state that [`VoterLog::open`] returned: the first write of a process repeats it
    /// in a new segment unless the records begin with a snapshot, so nothing is appended after a frame that an earlier process
    /// tore. After an error all further writes fail, and the folder must be opened again.
    pub fn write(&mut self, recovered: &VoterState, records: &[DurableRecord]) -> Result<(), VoterLogError> {
        if self.broken {
            return Err(VoterLogError::Disk {
                name: "the folder".into(),
                why: io::Error::other("an earlier write failed"),
            });
        }
        let result = self.write_unless_broken(recovered, records);
        self.broken = result.is_err();
        result
    }

    fn write_unless_broken(
        &mut self,
        recovered: &VoterState,
        records: &[DurableRecord],
    ) -> Result<(), VoterLogError> {
        let starts_with_snapshot = matches!(records.first(), Some(DurableRecord::Snapshot { .. }));
        if !starts_with_snapshot && self.active.is_none() {
            let all: Vec<DurableRecord> = recovered.records.iter().chain(records).cloned().collect();
            return self.begin_segment(&all);
        }
        if starts_with_snapshot {
            return self.begin_segment(records);
        }
        let Some(active) = &mut self.active else { return Ok(()) };
        let bytes = encode_records(active.number, active.frame_index, records)?;
        active.frame_index += 1;
        let name = name_of(active.number);
        active.segment.append(&bytes).map_err(disk_error(&name))?;
        active.segment.sync().map_err(disk_error(&name))
    }

    fn begin_segment(&mut self, records: &[DurableRecord]) -> Result<(), VoterLogError> {
        let number = self.next_number;
        self.next_number += 1;
        let segment = match self.write_segment(number, records) {
            Ok(segment) => segment,
            Err(error) => {
                // Writes are retried while the disk fails, and the file that each attempt leaves would fill the folder.
                let _ = self.disk.remove(&name_of(number));
                return Err(error);
            }
        };
        let previous = self.active.replace(Active { number, frame_index: 1, segment });
        self.old_numbers.extend(previous.map(|active| active.number));
        // A file that can't be removed does no harm: only the last valid segment is read.
        for number in std::mem::take(&mut self.old_numbers) {
            let _ = self.disk.remove(&name_of(number));
        }
        Ok(())
    }

    /// Creates a segment with these records in its first frame, and makes it durable.
    fn write_segment(
        &mut self,
        number: u64,
        records: &[DurableRecord],
    ) -> Result<Box<dyn Segment>, VoterLogError> {
        let name = name_of(number);
        let mut bytes = header(number, self.id);
        bytes.extend(encode_records(number, 0, records)?);
        let mut segment = self.disk.create(&name).map_err(disk_error(&name))?;
        segment.append(&bytes).map_err(disk_error(&name))?;
        segment.sync().map_err(disk_error(&name))?;
        Ok(segment)
    }
}

/// Reads the identity of the folder; `None` if its file is torn or damaged.
fn read_identity(files: &mut dyn Disk) -> Result<Option<u64>, VoterLogError> {
    let bytes = files.read(IDENTITY).map_err(disk_error(IDENTITY))?;
    if bytes.len() != IDENTITY_BYTES || !has_valid_checksum(&bytes) {
        return Ok(None);
    }
    if bytes[..8] != *MAGIC || bytes[8..10] != VERSION.to_le_bytes() {
        return Err(VoterLogError::Foreign {
            name: IDENTITY.into(),
            problem: "expected an identity of version 1",
        });
    }
    Ok(Some(u64_at(&bytes, 10)))
}

/// Writes the identity of a new folder, replacing a torn identity file.
fn create_identity(files: &mut dyn Disk, id: u64, torn: bool) -> Result<u64, VoterLogError> {
    if torn {
        files.remove(IDENTITY).map_err(disk_error(IDENTITY))?;
    }
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(id.to_le_bytes());
    let mut file = files.create(IDENTITY).map_err(disk_error(IDENTITY))?;
    file.append(&with_checksum(bytes)).map_err(disk_error(IDENTITY))?;
    file.sync().map_err(disk_error(IDENTITY))?;
    Ok(id)
}

#[cfg(test)]
mod tests;
