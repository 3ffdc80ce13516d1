//! The last good configuration on disk: a snapshot and the commits after it, of which the newest whole one counts.
//!
//! ```text
//! file:     "gpconfig" | version u16 | number u64 | crc u32        (all little-endian), then frames
//! frame:    length u32 | crc u32 of (number, place, length) | crc u32 of (number, place, payload) | payload
//! payload:  of the first frame a snapshot, of each further frame one commit, as `gradepin_config` encodes them
//! ```
//!
//! A snapshot begins a new file, and the files before go once it is durable: at each moment one whole snapshot is on the
//! disk. Commits are appended to it, as writing a snapshot of some megabytes for each change would wear a disk and keep
//! it busy; past [`MAX_COMMIT_BYTES`] of them the next write is a snapshot. The first write of a process and the first
//! after an error are one too, so nothing is ever written behind a torn frame.
//! A file that is not whole, or of another version, is passed over at the start. It is not the truth that is kept here:
//! what is missing comes from other servers.

use crate::disk::{Disk, Segment};
use crate::framing::{FRAME_HEADER_BYTES, framed, next_frame, number_of, sealed, whole};
use gradepin_config::{Commit, Configuration, Revision, Snapshot};
use std::io;

const MAGIC: &[u8; 8] = b"gpconfig";
const VERSION: u16 = 1;
const SUFFIX: &str = ".config";
const HEAD: usize = 8 + 2 + 8 + 4;
/// The longest payload: a snapshot of full tables with the longest names is under 40 MB.
const MAX_PAYLOAD: usize = 64 << 20;
/// Commits behind a snapshot, at the most, in bytes.
pub const MAX_COMMIT_BYTES: usize = 1 << 20;
/// A snapshot is appended in pieces of this size, so that no single call holds the disk for long.
const PIECE: usize = 256 << 10;

/// Why something was not written. What was durable before still is.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationStoreError {
    /// The disk fails.
    #[error("{name}: {why}")]
    Disk {
        /// Which file, or what was to be done.
        name: String,
        /// What the system says.
        why: io::Error,
    },
    /// The commit does not follow what was written, or a snapshot has to come first.
    #[error("expected a snapshot, or the commit after revision {last}")]
    Order {
        /// The last revision that was written.
        last: Revision,
    },
    /// It can't be written in one frame.
    #[error("expected at most {MAX_PAYLOAD} bytes")]
    Long,
}

impl ConfigurationStoreError {
    /// Why, without the file that it came with. Each try writes another file, and a disk that stays full is one failure.
    pub fn reason(&self) -> String {
        match self {
            Self::Disk { why, .. } => why.to_string(),
            Self::Order { .. } | Self::Long => self.to_string(),
        }
    }
}

fn disk(name: &str) -> impl FnOnce(io::Error) -> ConfigurationStoreError + '_ {
    move |why| ConfigurationStoreError::Disk { name: name.to_string(), why }
}

/// What a folder held at the start.
#[derive(Debug, Default)]
pub struct Opened {
    /// The newest whole state.
    pub state: Option<Configuration>,
    /// The commits after its snapshot, the last one being the state's.
    pub commits: Vec<Commit>,
    /// Files that were passed over because they are not whole.
    pub passed_over: Vec<String>,
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

fn head(number: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    sealed(bytes)
}

/// The state of a file's bytes, and the commits that led to it from its snapshot.
fn read(number: u64, bytes: &[u8]) -> Option<(Configuration, Vec<Commit>)> {
    let (found, mut rest) = bytes.split_at_checked(HEAD)?;
    if !whole(found) || found != head(number) {
        return None;
    }
    let snapshot = next_frame(number, 0, rest)?;
    let mut state = Snapshot::decode(snapshot).ok()?.configuration().clone();
    rest = &rest[FRAME_HEADER_BYTES + snapshot.len()..];
    let mut commits = Vec::new();
    for place in 1.. {
        let Some(payload) = next_frame(number, place, rest) else { break };
        let Ok(commit) = postcard::from_bytes::<Commit>(payload) else { break };
        // One that can't be applied was not written by this program: the state before it still holds.
        if state.apply(&commit).is_err() {
            break;
        }
        commits.push(commit);
        rest = &rest[FRAME_HEADER_BYTES + payload.len()..];
    }
    Some((state, commits))
}

impl ConfigurationStore {
    /// Opens a folder and reads the newest whole state.
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
                None => opened.passed_over.push(name),
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

    /// Makes a snapshot durable; the files before it go. On an error they stay.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), ConfigurationStoreError> {
        let number = self.next;
        self.next += 1;
        // A file that is given up stays in the list until a whole one is behind it.
        self.old.extend(self.active.take().map(|active| active.number));
        match self.write(number, snapshot) {
            Ok(segment) => {
                self.active = Some(Active { number, place: 1, commit_bytes: 0, segment });
                self.last = snapshot.version().revision;
                // One that can't be removed is passed over by a reading, as a later one counts.
                for number in std::mem::take(&mut self.old) {
                    let _ = self.disk.remove(&name_of(number));
                }
                Ok(())
            }
            Err(error) => {
                // Its bytes are of no use, and on a full disk in the way.
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
        if payload.len() > MAX_PAYLOAD {
            return Err(ConfigurationStoreError::Long);
        }
        let name = name_of(number);
        let mut bytes = head(number);
        bytes.extend(framed(number, 0, &payload));
        drop(payload);
        let mut segment = self.disk.create(&name).map_err(disk(&name))?;
        for piece in bytes.chunks(PIECE) {
            segment.append(piece).map_err(disk(&name))?;
        }
        segment.sync().map_err(disk(&name))?;
        Ok(segment)
    }

    /// Makes a commit durable behind the last one. After an error the next write has to be a snapshot.
    pub fn append(&mut self, commit: &Commit) -> Result<(), ConfigurationStoreError> {
        let follows = commit.revision == self.last.next() && !self.wants_snapshot();
        let Some(mut active) = self.active.take_if(|_| follows) else {
            return Err(ConfigurationStoreError::Order { last: self.last });
        };
        let payload = postcard::to_stdvec(commit).map_err(|_| ConfigurationStoreError::Long)?;
        let name = name_of(active.number);
        // What fails leaves no active file: whether the frame is there is not known.
        self.old.push(active.number);
        active.segment.append(&framed(active.number, active.place, &payload)).map_err(disk(&name))?;
        active.segment.sync().map_err(disk(&name))?;
        self.old.pop();
        active.place += 1;
        active.commit_bytes += FRAME_HEADER_BYTES + payload.len();
        self.active = Some(active);
        self.last = commit.revision;
        Ok(())
    }
}
