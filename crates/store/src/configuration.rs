//! The last good configuration on disk: a snapshot and the commits after it. The newest complete one counts.
//!
//! ```text
//! file:     "gpconfig" | version u16 | number u64 | crc u32        (all little-endian), then frames
//! frame:    length u32 | crc u32 of (number, place, length) | crc u32 of (number, place, payload) | payload
//! payload:  of the first frame a snapshot, of each further frame one commit, as `gradepin_config` encodes them
//! ```
//!
//! A snapshot starts a new file, and the earlier files are removed once it is durable: at each moment a complete snapshot is
//! on the disk. Commits are appended to it, since a snapshot of some megabytes for each change would wear a disk and keep it
//! busy; past [`MAX_COMMIT_BYTES`] of them the next write is a snapshot. The first write of a process and the first after
//! an error are snapshots too, so nothing is ever written behind a torn frame.
//!
//! An incomplete file, or one of another version, is skipped at the start. This folder isn't authoritative: what is missing
//! comes from other servers.

use crate::disk::{Disk, Segment};
use crate::framing::{
    FRAME_HEADER_BYTES, decode_frame, encode_frame, has_valid_checksum, number_of, with_checksum,
};
use gradepin_config::{Commit, Configuration, Revision, Snapshot};
use std::io;

const MAGIC: &[u8; 8] = b"gpconfig";
const VERSION: u16 = 1;
const SUFFIX: &str = ".config";
/// Bytes of a file before its frames.
const HEADER_BYTES: usize = 8 + 2 + 8 + 4;
/// The longest payload: a snapshot of full tables with the longest names is under 40 MB.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;
/// Maximum bytes of commits after a snapshot.
pub const MAX_COMMIT_BYTES: usize = 1 << 20;
/// A snapshot is appended in pieces of this size, so that no single call blocks for long.
const PIECE_BYTES: usize = 256 << 10;

/// Why a write failed. What was durable before still is.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationStoreError {
    /// The disk failed.
    #[error("{name}: {why}")]
    Disk {
        /// The file, or the operation.
        name: String,
        /// The system's error.
        why: io::Error,
    },
    /// The commit doesn't follow the last one, or a snapshot must be written first.
    #[error("expected a snapshot, or the commit after revision {last}")]
    Order {
        /// The last revision that was written.
        last: Revision,
    },
    /// It is longer than a frame may be.
    #[error("expected at most {MAX_PAYLOAD_BYTES} bytes")]
    TooLong,
}

impl ConfigurationStoreError {
    /// The reason without the file name: each attempt writes another file, but a disk that stays full is one failure.
    pub fn reason(&self) -> String {
        match self {
            Self::Disk { why, .. } => why.to_string(),
            Self::Order { .. } | Self::TooLong => self.to_string(),
        }
    }
}

fn disk(name: &str) -> impl FnOnce(io::Error) -> ConfigurationStoreError + '_ {
    move |why| ConfigurationStoreError::Disk { name: name.to_string(), why }
}

/// The content of a folder at the start.
#[derive(Debug, Default)]
pub struct Opened {
    /// The newest complete state.
    pub state: Option<Configuration>,
    /// The commits after its snapshot, the last one being the state's.
    pub commits: Vec<Commit>,
    /// Incomplete files that were skipped.
    pub skipped: Vec<String>,
}

/// The folder, open for writing.
pub struct ConfigurationStore {
    disk: Box<dyn Disk>,
    next: u64,
    /// None until a snapshot is written.
    active: Option<Active>,
    /// Files before the active one.
    old: Vec<u64>,
    last: Revision,
}

struct Active {
    number: u64,
    place: u32,
    commit_bytes: usize,
    segment: Box<dyn Segment>,
}

/// The name of a file.
pub fn name_of(number: u64) -> String {
    format!("{number:016x}{SUFFIX}")
}

fn header(number: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    with_checksum(bytes)
}

/// The state of a file's bytes, and the commits that led to it from its snapshot.
fn read(number: u64, bytes: &[u8]) -> Option<(Configuration, Vec<Commit>)> {
    let (found, mut rest) = bytes.split_at_checked(HEADER_BYTES)?;
    if !has_valid_checksum(found) || found != header(number) {
        return None;
    }
    let snapshot = decode_frame(number, 0, rest)?;
    let mut state = Snapshot::decode(snapshot).ok()?.configuration().clone();
    rest = &rest[FRAME_HEADER_BYTES + snapshot.len()..];
    let mut commits = Vec::new();
    for place in 1.. {
        let Some(payload) = decode_frame(number, place, rest) else { break };
        let Ok(commit) = postcard::from_bytes::<Commit>(payload) else { break };
        // A commit that can't be applied was not written by this program: the state before it still counts.
        if state.apply(&commit).is_err() {
            break;
        }
        commits.push(commit);
        rest = &rest[FRAME_HEADER_BYTES + payload.len()..];
    }
    Some((state, commits))
}

impl ConfigurationStore {
    /// Opens a folder and reads the newest complete state.
    pub fn open(mut files: Box<dyn Disk>) -> Result<(Self, Opened), ConfigurationStoreError> {
        let names = files.list().map_err(disk("the folder"))?;
        let mut numbers: Vec<u64> = names.iter().filter_map(|name| number_of(name, SUFFIX)).collect();
        numbers.sort_unstable();
        let mut opened = Opened::default();
        for &number in numbers.iter().rev() {
            let name = name_of(number);
            match files.read(&name).ok().and_then(|bytes| read(number, &bytes)) {
                Some((state, commits)) => {
                    (opened.state, opened.commits) = (Some(state), commits);
                    break;
                }
                None => opened.skipped.push(name),
            }
        }
        let next = numbers.last().map_or(0, |last| last + 1);
        let last = opened.state.as_ref().map_or(Revision(0), Configuration::revision);
        Ok((Self { disk: files, next, active: None, old: numbers, last }, opened))
    }

    /// The last revision that is durable, or was at the start.
    pub fn last(&self) -> Revision {
        self.last
    }

    /// Whether the next write has to be a snapshot.
    pub fn wants_snapshot(&self) -> bool {
        self.active.as_ref().is_none_or(|active| active.commit_bytes > MAX_COMMIT_BYTES)
    }

    /// Makes a snapshot durable and removes the files before it. On an error they stay.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), ConfigurationStoreError> {
        let number = self.next;
        self.next += 1;
        // An abandoned file stays in the list until a complete one follows it.
        self.old.extend(self.active.take().map(|active| active.number));
        match self.write(number, snapshot) {
            Ok(segment) => {
                self.active = Some(Active { number, place: 1, commit_bytes: 0, segment });
                self.last = snapshot.version().revision;
                // A file that can't be removed is ignored when read, as a later one counts.
                for number in std::mem::take(&mut self.old) {
                    let _ = self.disk.remove(&name_of(number));
                }
                Ok(())
            }
            Err(error) => {
                // Its bytes are useless and take space on a full disk.
                let _ = self.disk.remove(&name_of(number));
                Err(error)
            }
        }
    }

    fn write(
        &mut self,
        number: u64,
        snapshot: &Snapshot,
    ) -> Result<Box<dyn Segment>, ConfigurationStoreError> {
        let payload = snapshot.encode();
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(ConfigurationStoreError::TooLong);
        }
        let name = name_of(number);
        let mut bytes = header(number);
        bytes.extend(encode_frame(number, 0, &payload));
        drop(payload);
        let mut segment = self.disk.create(&name).map_err(disk(&name))?;
        for piece in bytes.chunks(PIECE_BYTES) {
            segment.append(piece).map_err(disk(&name))?;
        }
        segment.sync().map_err(disk(&name))?;
        Ok(segment)
    }

    /// Makes a commit durable after the last one. After an error the next write has to be a snapshot.
    pub fn append(&mut self, commit: &Commit) -> Result<(), ConfigurationStoreError> {
        let follows = commit.revision == self.last.next() && !self.wants_snapshot();
        let Some(mut active) = self.active.take_if(|_| follows) else {
            return Err(ConfigurationStoreError::Order { last: self.last });
        };
        let payload = postcard::to_stdvec(commit).map_err(|_| ConfigurationStoreError::TooLong)?;
        let name = name_of(active.number);
        // After a failure there is no active file: whether the frame was written is unknown.
        self.old.push(active.number);
        active.segment.append(&encode_frame(active.number, active.place, &payload)).map_err(disk(&name))?;
        active.segment.sync().map_err(disk(&name))?;
        self.old.pop();
        active.place += 1;
        active.commit_bytes += FRAME_HEADER_BYTES + payload.len();
        self.active = Some(active);
        self.last = commit.revision;
        Ok(())
    }
}
