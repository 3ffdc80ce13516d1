//! The last good configuration on disk: a snapshot and the commits after it.
//!
//! ```text
//! file:     "gpconfig" | version u16 | number u64 | crc u32        (all little-endian), then frames
//! frame:    length u32 | crc u32 of (number, index, length) | crc u32 of (number, index, payload) | payload
//! payload:  a snapshot in the first frame, one commit in each further frame, as `gradepin_config` encodes them
//! ```
//!
//! A snapshot starts a new file, and the earlier files are removed only once it is durable, so the disk always has a complete
//! snapshot. Commits are appended to the file: a snapshot of several megabytes for each change would wear the disk and keep it
//! busy. Once the commits exceed [`MAX_COMMIT_BYTES`], the next write is a snapshot. The first write of a process and the
//! first one after an error are snapshots too, so nothing is ever appended after a torn frame.
//!
//! Opening a folder reads the newest complete file; incomplete files and files of another version are skipped. The folder isn't
//! authoritative: other servers provide the revisions that are missing here.

use crate::disk::{Disk, Segment};
use crate::framing::{
    FRAME_HEADER_BYTES, decode_frame, encode_frame, has_valid_checksum, parse_file_number, with_checksum,
};
use gradepin_config::{Commit, Configuration, Revision, Snapshot};
use std::io;

const MAGIC: &[u8; 8] = b"gpconfig";
const VERSION: u16 = 1;
const SUFFIX: &str = ".config";
/// Length of a file header in bytes.
const HEADER_BYTES: usize = 8 + 2 + 8 + 4;
/// Maximum length of a payload in bytes: a snapshot of full tables with the longest names is under 40 MB.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;
/// Bytes of commits in a file above which the next write must be a snapshot.
pub const MAX_COMMIT_BYTES: usize = 1 << 20;
/// A snapshot is appended in pieces of this many bytes, so that no single call blocks for long.
const PIECE_BYTES: usize = 256 << 10;

/// Why a folder can't be opened or a write failed. Revisions that were durable before remain so.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationStoreError {
    /// A disk operation failed.
    #[error("{name}: {why}")]
    Disk {
        /// The file, or `the folder` if listing it failed.
        name: String,
        /// The error from the operating system.
        why: io::Error,
    },
    /// The commit doesn't follow the last one, or a snapshot must be written first.
    #[error("expected a snapshot, or the commit after revision {last}")]
    Order {
        /// The last durable revision.
        last: Revision,
    },
    /// The encoded snapshot exceeds the maximum length of a frame, or the commit can't be encoded.
    #[error("expected at most {MAX_PAYLOAD_BYTES} bytes")]
    TooLong,
}

impl ConfigurationStoreError {
    /// The reason without the file name. Each attempt writes to another file, so without this a disk that stays full would
    /// be reported as a new failure each time.
    pub fn reason(&self) -> String {
        match self {
            Self::Disk { why, .. } => why.to_string(),
            Self::Order { .. } | Self::TooLong => self.to_string(),
        }
    }
}

fn disk_error(name: &str) -> impl FnOnce(io::Error) -> ConfigurationStoreError + '_ {
    move |why| ConfigurationStoreError::Disk { name: name.to_string(), why }
}

/// The content of a folder when it is opened.
#[derive(Debug, Default)]
pub struct Opened {
    /// The newest complete configuration; `None` if the folder has none.
    pub state: Option<Configuration>,
    /// The commits between the snapshot in the file and `state`; the last one has the revision of `state`.
    pub commits: Vec<Commit>,
    /// The names of newer files that were skipped as incomplete, damaged or of another version.
    pub skipped: Vec<String>,
}

/// A folder with the last good configuration, open for writing.
pub struct ConfigurationStore {
    disk: Box<dyn Disk>,
    next_number: u64,
    /// The file that commits are appended to; `None` until a snapshot is written, and after an error.
    active: Option<Active>,
    /// The numbers of the files before the active one, which are removed once a later snapshot is durable.
    old_numbers: Vec<u64>,
    last: Revision,
}

struct Active {
    number: u64,
    frame_index: u32,
    commit_bytes: usize,
    segment: Box<dyn Segment>,
}

/// The name of the file with this number.
pub fn name_of(number: u64) -> String {
    format!("{number:016x}{SUFFIX}")
}

fn header(number: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    with_checksum(bytes)
}

/// Decodes a file into its latest configuration and the commits after its snapshot; `None` without a complete snapshot.
fn read(number: u64, bytes: &[u8]) -> Option<(Configuration, Vec<Commit>)> {
    let (file_header, mut rest) = bytes.split_at_checked(HEADER_BYTES)?;
    if !has_valid_checksum(file_header) || file_header != header(number) {
        return None;
    }
    let snapshot = decode_frame(number, 0, rest)?;
    let mut state = Snapshot::decode(snapshot).ok()?.configuration().clone();
    rest = &rest[FRAME_HEADER_BYTES + snapshot.len()..];
    let mut commits = Vec::new();
    for frame_index in 1.. {
        let Some(payload) = decode_frame(number, frame_index, rest) else { break };
        let Ok(commit) = postcard::from_bytes::<Commit>(payload) else { break };
        // This program writes no commit that can't be applied: the state before it is used.
        if state.apply(&commit).is_err() {
            break;
        }
        commits.push(commit);
        rest = &rest[FRAME_HEADER_BYTES + payload.len()..];
    }
    Some((state, commits))
}

impl ConfigurationStore {
    /// Opens a folder and reads the newest complete configuration.
    pub fn open(mut files: Box<dyn Disk>) -> Result<(Self, Opened), ConfigurationStoreError> {
        let names = files.list().map_err(disk_error("the folder"))?;
        let mut numbers: Vec<u64> = names.iter().filter_map(|name| parse_file_number(name, SUFFIX)).collect();
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
        let next_number = numbers.last().map_or(0, |last| last + 1);
        let last = opened.state.as_ref().map_or(Revision(0), Configuration::revision);
        Ok((Self { disk: files, next_number, active: None, old_numbers: numbers, last }, opened))
    }

    /// The last durable revision, including that read when the folder was opened; 0 if there is none.
    pub fn last(&self) -> Revision {
        self.last
    }

    /// Whether the next write must be [`ConfigurationStore::save`].
    pub fn wants_snapshot(&self) -> bool {
        self.active.as_ref().is_none_or(|active| active.commit_bytes > MAX_COMMIT_BYTES)
    }

    /// Makes a snapshot durable in a new file and then removes the earlier files. After an error the earlier files remain.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), ConfigurationStoreError> {
        let number = self.next_number;
        self.next_number += 1;
        // The file that was active stays until the new snapshot is durable.
        self.old_numbers.extend(self.active.take().map(|active| active.number));
        match self.write(number, snapshot) {
            Ok(segment) => {
                self.active = Some(Active { number, frame_index: 1, commit_bytes: 0, segment });
                self.last = snapshot.version().revision;
                // A file that can't be removed does no harm: only the newest complete file is read.
                for number in std::mem::take(&mut self.old_numbers) {
                    let _ = self.disk.remove(&name_of(number));
                }
                Ok(())
            }
            Err(error) => {
                // The incomplete file is useless and takes space on a full disk.
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
        let mut segment = self.disk.create(&name).map_err(disk_error(&name))?;
        for piece in bytes.chunks(PIECE_BYTES) {
            segment.append(piece).map_err(disk_error(&name))?;
        }
        segment.sync().map_err(disk_error(&name))?;
        Ok(segment)
    }

    /// Appends the commit that follows the last durable revision, and makes it durable. After an error the next write must
    /// be a snapshot.
    pub fn append(&mut self, commit: &Commit) -> Result<(), ConfigurationStoreError> {
        let follows = commit.revision == self.last.next() && !self.wants_snapshot();
        let Some(mut active) = self.active.take_if(|_| follows) else {
            return Err(ConfigurationStoreError::Order { last: self.last });
        };
        let payload = postcard::to_stdvec(commit).map_err(|_| ConfigurationStoreError::TooLong)?;
        let name = name_of(active.number);
        // After an error there is no active file, since the frame may be torn.
        self.old_numbers.push(active.number);
        active
            .segment
            .append(&encode_frame(active.number, active.frame_index, &payload))
            .map_err(disk_error(&name))?;
        active.segment.sync().map_err(disk_error(&name))?;
        self.old_numbers.pop();
        active.frame_index += 1;
        active.commit_bytes += FRAME_HEADER_BYTES + payload.len();
        self.active = Some(active);
        self.last = commit.revision;
        Ok(())
    }
}
