//! The log of keyed runs: segments that are appended to, sealed, and removed once all windows in them have expired.
//!
//! A log belongs to one process: it opens a folder, reads what earlier processes left, and writes segments of its own. Records
//! are never added to a segment of an earlier process, so what a crash tore stays apart from what is written after it. A
//! segment is removed once all its windows have expired; nothing is compacted, since all windows are about equally long.

use crate::disk::{Disk, Segment};
use crate::frame::{self, Batch, HEADER_BYTES, HeaderError, MAX_PAYLOAD_BYTES, SegmentHeader, StoredRecord};
use crate::framing;
use crate::recovery::{Reading, RecoveredLog};
use gradepin_admission::Span;
use gradepin_core::idempotency_log::LogRecord;
use gradepin_core::idempotency_table::MAX_READ_DELAY;
use std::collections::VecDeque;
use std::io;

const MS: u64 = 1_000_000;
const SUFFIX: &str = ".log";
/// Maximum bytes of a frame besides its records.
const FRAME_OVERHEAD_BYTES: usize = frame::FRAME_HEADER_BYTES + 32;
/// Maximum bytes of a record besides its texts and its result.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// Bounds of a log.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// A segment is sealed past this size.
    pub segment_bytes: u64,
    /// Maximum bytes of all segments; beyond it nothing is added until some expire.
    pub max_bytes: u64,
    /// Maximum bytes of recovered results; the oldest are dropped first, and their retries fail.
    pub max_result_bytes: usize,
    /// Maximum number of recovered runs. Beyond it the recovery is incomplete: any key may have run.
    pub max_records: usize,
    /// The longest window of a keyed class.
    pub window: Span,
}

/// One reading of the clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stamp {
    /// Milliseconds since this process started, by the monotonic clock.
    pub mono_ms: u64,
    /// Unix milliseconds.
    pub unix_ms: u64,
}

/// Why a folder can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The disk failed.
    #[error("{name}: {why}")]
    Disk {
        /// The file, or the operation.
        name: String,
        /// The system's error.
        why: io::Error,
    },
    /// A file is of another version or of another program; nothing was changed.
    #[error("{name}: {why}")]
    Foreign {
        /// The file.
        name: String,
        /// What is wrong with its header.
        why: HeaderError,
    },
}

/// Why records could not be written. After any of these only [`Log::rewrite`] succeeds.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The disk failed.
    #[error("{0}")]
    Disk(#[from] io::Error),
    /// All segments together have reached their maximum.
    #[error("expected no more than {most} bytes of records, there are {bytes}")]
    Full {
        /// The maximum.
        most: u64,
        /// The current size.
        bytes: u64,
    },
    /// A record is longer than a frame may be.
    #[error("expected records of {MAX_PAYLOAD_BYTES} bytes at the most")]
    TooLong,
    /// An earlier write failed: what it left can't be relied on.
    #[error("an earlier write failed; all must be written anew first")]
    Broken,
}

#[derive(Debug)]
struct Sealed {
    number: u64,
    bytes: u64,
    /// When its last window expires, by this process's clock.
    expires_at_ms: u64,
    /// Part of it can't be read: while it exists, recovery is incomplete.
    damaged: bool,
}

struct Active {
    number: u64,
    segment: Box<dyn Segment>,
    bytes: u64,
    place: u32,
    expires_at_ms: u64,
}

/// A log that is open for writing.
pub struct Log {
    disk: Box<dyn Disk>,
    limits: Limits,
    incarnation: u64,
    salt: u64,
    next: u64,
    sealed: VecDeque<Sealed>,
    active: Option<Active>,
    broken: bool,
    scratch: Vec<u8>,
}

/// The name of a segment.
pub fn name_of(number: u64) -> String {
    format!("{number:016x}{SUFFIX}")
}

/// The number of a segment with this name, if it is one.
pub fn number_of(name: &str) -> Option<u64> {
    framing::number_of(name, SUFFIX)
}

/// Reads all segments of a folder in order, without changing any.
pub fn read(disk: &mut dyn Disk, limits: &Limits) -> Result<Reading, OpenError> {
    let listed = disk.list().map_err(|why| OpenError::Disk { name: "the folder".into(), why })?;
    let mut numbers: Vec<u64> = listed.iter().filter_map(|name| number_of(name)).collect();
    numbers.sort_unstable();
    let mut reading = Reading::new(limits.max_records, limits.max_result_bytes);
    for &number in &numbers {
        let name = name_of(number);
        let bytes = disk.read(&name).map_err(|why| OpenError::Disk { name: name.clone(), why })?;
        match frame::decode_header(&bytes) {
            Ok(header) if header.number == number => reading.add_segment(header, &bytes),
            Ok(_) => reading.add_unreadable(number, bytes.len() as u64, "its head names another segment"),
            Err(why @ (HeaderError::Version(_) | HeaderError::Foreign)) => {
                return Err(OpenError::Foreign { name, why });
            }
            Err(HeaderError::Short(_)) => reading.add_unwritten(number, bytes.len() as u64),
            Err(why @ HeaderError::Damaged) => {
                reading.add_unreadable(number, bytes.len() as u64, &why.to_string());
            }
        }
    }
    reading.finish();
    Ok(reading)
}

impl Log {
    /// Opens a folder for this process, whose clock starts now, and recovers what earlier processes left. `salt` is the key
    /// of all fingerprints if the folder is new.
    pub fn open(
        mut disk: Box<dyn Disk>,
        limits: Limits,
        salt: u64,
    ) -> Result<(Self, RecoveredLog), OpenError> {
        let reading = read(&mut *disk, &limits)?;
        let incarnation = reading.last_incarnation().map_or(0, |incarnation| incarnation.saturating_add(1));
        let salt = reading.salt().unwrap_or(salt);
        let next = reading.segments().iter().map(|segment| segment.number + 1).max().unwrap_or(0);
        let (mut sealed, mut expired) = (VecDeque::new(), Vec::new());
        for segment in reading.segments() {
            let Some(left) = segment.left else {
                expired.push(segment.number);
                continue;
            };
            // What a damaged segment held is unknown: it is kept as long as the recovery is incomplete.
            let damaged = segment.damage.is_some();
            let left = if damaged { Span(left.0.max(limits.window.0)) } else { left };
            let expires_at_ms = left.0.saturating_add(MAX_READ_DELAY.0) / MS;
            sealed.push_back(Sealed { number: segment.number, bytes: segment.bytes, expires_at_ms, damaged });
        }
        let found = reading.found(limits.window, salt);
        let mut log = Self {
            disk,
            limits,
            incarnation,
            salt,
            next,
            sealed,
            active: None,
            broken: false,
            scratch: Vec::new(),
        };
        // Superseded and empty segments: no recovery needs them.
        for number in expired {
            log.disk
                .remove(&name_of(number))
                .map_err(|why| OpenError::Disk { name: name_of(number), why })?;
        }
        Ok((log, found))
    }

    /// The size of all segments.
    pub fn bytes(&self) -> u64 {
        self.sealed.iter().map(|sealed| sealed.bytes).sum::<u64>()
            + self.active.as_ref().map_or(0, |a| a.bytes)
    }

    /// Adds records, and returns when they are durable. Any number of them takes one sync.
    pub fn add(&mut self, stamp: Stamp, records: &[LogRecord]) -> Result<(), WriteError> {
        if self.broken {
            return Err(WriteError::Broken);
        }
        let result = self.try_add(stamp, records.iter().map(frame::stored));
        self.broken = result.is_err();
        result
    }

    fn try_add<'a>(
        &mut self,
        stamp: Stamp,
        records: impl Iterator<Item = StoredRecord<'a>>,
    ) -> Result<(), WriteError> {
        if self.bytes() >= self.limits.max_bytes {
            return Err(WriteError::Full { most: self.limits.max_bytes, bytes: self.bytes() });
        }
        if self.active.as_ref().is_none_or(|active| active.bytes >= self.limits.segment_bytes) {
            self.seal();
            self.start_segment()?;
        }
        self.append(stamp, records)?;
        self.sync()
    }

    /// Writes all known runs to new segments and removes the earlier ones: the recovery after a failed write.
    pub fn rewrite(&mut self, stamp: Stamp, records: &[LogRecord]) -> Result<(), WriteError> {
        self.broken = true;
        self.seal();
        let first = self.next;
        self.start_segment()?;
        self.append(stamp, records.iter().map(frame::stored))?;
        self.append(stamp, std::iter::once(StoredRecord::RewriteComplete))?;
        self.sync()?;
        self.broken = false;
        // From here on the earlier segments no longer count; one that can't be removed is ignored when read.
        let disk = &mut self.disk;
        self.sealed.retain(|sealed| {
            let counts = sealed.damaged || sealed.number >= first;
            if !counts {
                let _ = disk.remove(&name_of(sealed.number));
            }
            counts
        });
        Ok(())
    }

    fn seal(&mut self) {
        if let Some(Active { number, bytes, expires_at_ms, .. }) = self.active.take() {
            self.sealed.push_back(Sealed { number, bytes, expires_at_ms, damaged: false });
        }
    }

    fn start_segment(&mut self) -> Result<(), WriteError> {
        let number = self.next;
        self.next += 1;
        let mut segment = self.disk.create(&name_of(number))?;
        let header =
            frame::encode_header(SegmentHeader { number, incarnation: self.incarnation, salt: self.salt });
        if let Err(error) = segment.append(&header) {
            // Without a header it holds nothing, and writes are retried while the disk fails.
            let _ = self.disk.remove(&name_of(number));
            return Err(error.into());
        }
        self.active =
            Some(Active { number, segment, bytes: HEADER_BYTES as u64, place: 0, expires_at_ms: 0 });
        Ok(())
    }

    /// Appends records in as many frames as needed.
    fn append<'a>(
        &mut self,
        stamp: Stamp,
        records: impl Iterator<Item = StoredRecord<'a>>,
    ) -> Result<(), WriteError> {
        let Some(active) = &mut self.active else { return Err(WriteError::Broken) };
        let mut batch = Batch { mono_ms: stamp.mono_ms, unix_ms: stamp.unix_ms, records: Vec::new() };
        let mut size = FRAME_OVERHEAD_BYTES;
        self.scratch.clear();
        let mut records = records.peekable();
        while let Some(record) = records.next() {
            let left = record.window_left_ms().unwrap_or(0);
            let over = stamp.mono_ms.saturating_add(left).saturating_add(MAX_READ_DELAY.0 / MS);
            active.expires_at_ms = active.expires_at_ms.max(over);
            size += max_encoded_bytes(&record);
            batch.records.push(record);
            let is_frame_full =
                records.peek().is_none_or(|next| size + max_encoded_bytes(next) > MAX_PAYLOAD_BYTES);
            if is_frame_full {
                frame::encode(&mut self.scratch, active.number, active.place, &batch)
                    .map_err(|_| WriteError::TooLong)?;
                active.place += 1;
                batch.records.clear();
                size = FRAME_OVERHEAD_BYTES;
            }
        }
        active.segment.append(&self.scratch)?;
        active.bytes += self.scratch.len() as u64;
        // Releases the memory of a burst.
        if self.scratch.capacity() > 2 * MAX_PAYLOAD_BYTES {
            self.scratch = Vec::new();
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), WriteError> {
        if let Some(active) = &mut self.active {
            active.segment.sync()?;
        }
        Ok(())
    }

    /// Removes expired segments. One that can't be removed now is retried at the next call.
    pub fn expire(&mut self, mono_ms: u64) -> io::Result<()> {
        // Not in the order of numbers: a segment of an earlier process may expire before one with a lower number.
        while let Some(place) = self.sealed.iter().position(|sealed| sealed.expires_at_ms <= mono_ms) {
            let number = self.sealed[place].number;
            match self.disk.remove(&name_of(number)) {
                Err(why) if why.kind() != io::ErrorKind::NotFound => return Err(why),
                _ => drop(self.sealed.remove(place)),
            }
        }
        // An idle active segment expires too, and the next write starts another.
        if self.active.as_ref().is_some_and(|active| active.place > 0 && active.expires_at_ms <= mono_ms) {
            self.seal();
            return self.expire(mono_ms);
        }
        Ok(())
    }
}

fn max_encoded_bytes(record: &StoredRecord<'_>) -> usize {
    RECORD_OVERHEAD_BYTES
        + match record {
            StoredRecord::Intent { key, id, .. }
            | StoredRecord::Failed { key, id, .. }
            | StoredRecord::Void { key, id } => key.len() + id.len(),
            StoredRecord::Served { key, id, result, .. } => key.len() + id.len() + result.len(),
            StoredRecord::RewriteComplete => 0,
        }
}
