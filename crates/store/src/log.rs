//! The log of keyed runs: segments that are appended to, sealed, and removed once all idempotency windows in them have expired.
//!
//! A log belongs to one process, which opens a folder, recovers the records of earlier processes, and then writes segments of
//! its own. It never appends to a segment of an earlier process, so no record follows a frame that a crash tore. Segments are
//! not compacted: all windows are about equally long, so a whole segment expires at about the same time.

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
/// Upper bound of the bytes of a frame besides its records.
const FRAME_OVERHEAD_BYTES: usize = frame::FRAME_HEADER_BYTES + 32;
/// Upper bound of the bytes of a record besides its key, request id and result.
const RECORD_OVERHEAD_BYTES: usize = 48;

/// Size limits of a log, and the window that recovery assumes for unreadable records.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// A segment of at least this many bytes is sealed before the next write.
    pub segment_bytes: u64,
    /// Maximum bytes of all segments together; once reached, writes fail with [`WriteError::Full`] until segments expire.
    pub max_bytes: u64,
    /// Maximum bytes of all recovered results. The oldest results are dropped first; repeats of their requests then fail.
    pub max_result_bytes: usize,
    /// Maximum number of recovered runs. If there are more, the recovery is incomplete: any key may have run.
    pub max_records: usize,
    /// The longest idempotency window of any keyed class.
    pub window: Span,
}

/// A reading of both clocks at the time of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stamp {
    /// Milliseconds since this process started, by the monotonic clock.
    pub mono_ms: u64,
    /// Milliseconds since the Unix epoch; stored for operators only.
    pub unix_ms: u64,
}

/// Why the log in a folder can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A disk operation failed.
    #[error("{name}: {why}")]
    Disk {
        /// The file, or `the folder` if listing it failed.
        name: String,
        /// The error from the operating system.
        why: io::Error,
    },
    /// A file has another format version or belongs to another program. No file was changed.
    #[error("{name}: {why}")]
    Foreign {
        /// The name of the file.
        name: String,
        /// Why its header was rejected.
        why: HeaderError,
    },
}

/// Why records could not be written. After any error, [`Log::add`] fails until [`Log::rewrite`] succeeds.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// A disk operation failed.
    #[error("{0}")]
    Disk(#[from] io::Error),
    /// All segments together have reached [`Limits::max_bytes`].
    #[error("expected less than {max_bytes} bytes of segments, there are {bytes}")]
    Full {
        /// The limit, in bytes.
        max_bytes: u64,
        /// The current size of all segments, in bytes.
        bytes: u64,
    },
    /// A single record exceeds the maximum length of a frame.
    #[error("expected records of at most {MAX_PAYLOAD_BYTES} bytes")]
    TooLong,
    /// An earlier write failed, so the bytes after the last successful one can't be relied on.
    #[error("an earlier write failed; the log accepts no records until it is rewritten")]
    Broken,
}

#[derive(Debug)]
struct Sealed {
    number: u64,
    bytes: u64,
    /// When the last window in the segment expires, in milliseconds of this process's monotonic clock.
    expires_at_ms: u64,
    /// Whether a part of the segment can't be read; while the file exists, every recovery is incomplete.
    is_damaged: bool,
}

struct Active {
    number: u64,
    segment: Box<dyn Segment>,
    bytes: u64,
    frame_index: u32,
    expires_at_ms: u64,
}

/// A log that is open for writing.
pub struct Log {
    disk: Box<dyn Disk>,
    limits: Limits,
    incarnation: u64,
    salt: u64,
    next_number: u64,
    sealed: VecDeque<Sealed>,
    active: Option<Active>,
    broken: bool,
    scratch: Vec<u8>,
}

/// The file name of the segment with this number.
pub fn name_of(number: u64) -> String {
    format!("{number:016x}{SUFFIX}")
}

/// Parses the file name of a segment; `None` for any other file.
pub fn number_of(name: &str) -> Option<u64> {
    framing::parse_file_number(name, SUFFIX)
}

/// Reads all segments of a folder in ascending order, without changing any file.
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
            Ok(_) => reading.add_unreadable(
                number,
                bytes.len() as u64,
                "its header has the number of another segment",
            ),
            Err(why @ (HeaderError::Version(_) | HeaderError::Foreign)) => {
                return Err(OpenError::Foreign { name, why });
            }
            Err(HeaderError::Short(_)) => reading.add_without_header(number, bytes.len() as u64),
            Err(why @ HeaderError::Damaged) => {
                reading.add_unreadable(number, bytes.len() as u64, &why.to_string());
            }
        }
    }
    reading.finish();
    Ok(reading)
}

impl Log {
    /// Opens a folder for this process, whose monotonic clock starts now, and recovers the runs of earlier processes. Segments
    /// that no recovery needs any more are removed. `salt` becomes the key of all fingerprints if the folder is new.
    pub fn open(
        mut disk: Box<dyn Disk>,
        limits: Limits,
        salt: u64,
    ) -> Result<(Self, RecoveredLog), OpenError> {
        let reading = read(&mut *disk, &limits)?;
        let incarnation = reading.last_incarnation().map_or(0, |incarnation| incarnation.saturating_add(1));
        let salt = reading.salt().unwrap_or(salt);
        let next_number = reading.segments().iter().map(|segment| segment.number + 1).max().unwrap_or(0);
        let (mut sealed, mut expired) = (VecDeque::new(), Vec::new());
        for segment in reading.segments() {
            let Some(time_left) = segment.time_left else {
                expired.push(segment.number);
                continue;
            };
            // The lost records of a damaged segment are unknown, so it is kept for the longest window that they may have.
            let is_damaged = segment.damage.is_some();
            let time_left = if is_damaged { Span(time_left.0.max(limits.window.0)) } else { time_left };
            let expires_at_ms = time_left.0.saturating_add(MAX_READ_DELAY.0) / MS;
            sealed.push_back(Sealed {
                number: segment.number,
                bytes: segment.bytes,
                expires_at_ms,
                is_damaged,
            });
        }
        let recovered = reading.into_recovered(limits.window, salt);
        let mut log = Self {
            disk,
            limits,
            incarnation,
            salt,
            next_number,
            sealed,
            active: None,
            broken: false,
            scratch: Vec::new(),
        };
        // No recovery needs segments that are expired, superseded or empty.
        for number in expired {
            log.disk
                .remove(&name_of(number))
                .map_err(|why| OpenError::Disk { name: name_of(number), why })?;
        }
        Ok((log, recovered))
    }

    /// The size of all segments, in bytes.
    pub fn bytes(&self) -> u64 {
        self.sealed.iter().map(|sealed| sealed.bytes).sum::<u64>()
            + self.active.as_ref().map_or(0, |a| a.bytes)
    }

    /// Appends records and returns once they are durable. Any number of records takes one sync.
    pub fn add(&mut self, stamp: Stamp, records: &[LogRecord]) -> Result<(), WriteError> {
        if self.broken {
            return Err(WriteError::Broken);
        }
        let result = self.try_add(stamp, records.iter().map(frame::to_stored));
        self.broken = result.is_err();
        result
    }

    fn try_add<'a>(
        &mut self,
        stamp: Stamp,
        records: impl Iterator<Item = StoredRecord<'a>>,
    ) -> Result<(), WriteError> {
        if self.bytes() >= self.limits.max_bytes {
            return Err(WriteError::Full { max_bytes: self.limits.max_bytes, bytes: self.bytes() });
        }
        if self.active.as_ref().is_none_or(|active| active.bytes >= self.limits.segment_bytes) {
            self.seal();
            self.start_segment()?;
        }
        self.append(stamp, records)?;
        self.sync()
    }

    /// Writes all known runs to a new segment and removes the earlier ones. This is the only way to continue after a failed
    /// write.
    pub fn rewrite(&mut self, stamp: Stamp, records: &[LogRecord]) -> Result<(), WriteError> {
        self.broken = true;
        self.seal();
        let first = self.next_number;
        self.start_segment()?;
        self.append(stamp, records.iter().map(frame::to_stored))?;
        self.append(stamp, std::iter::once(StoredRecord::RewriteComplete))?;
        self.sync()?;
        self.broken = false;
        // The earlier segments are superseded from here on; recovery ignores one that can't be removed. Damaged ones stay,
        // since the records lost there are missing from the rewrite too.
        let disk = &mut self.disk;
        self.sealed.retain(|sealed| {
            let is_needed = sealed.is_damaged || sealed.number >= first;
            if !is_needed {
                let _ = disk.remove(&name_of(sealed.number));
            }
            is_needed
        });
        Ok(())
    }

    fn seal(&mut self) {
        if let Some(Active { number, bytes, expires_at_ms, .. }) = self.active.take() {
            self.sealed.push_back(Sealed { number, bytes, expires_at_ms, is_damaged: false });
        }
    }

    fn start_segment(&mut self) -> Result<(), WriteError> {
        let number = self.next_number;
        self.next_number += 1;
        let mut segment = self.disk.create(&name_of(number))?;
        let header =
            frame::encode_header(SegmentHeader { number, incarnation: self.incarnation, salt: self.salt });
        if let Err(error) = segment.append(&header) {
            // Writes are retried while the disk fails, and each attempt would leave a useless file.
            let _ = self.disk.remove(&name_of(number));
            return Err(error.into());
        }
        self.active =
            Some(Active { number, segment, bytes: HEADER_BYTES as u64, frame_index: 0, expires_at_ms: 0 });
        Ok(())
    }

    /// Appends records in as many frames as needed, without a sync.
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
            let window_left_ms = record.window_left_ms().unwrap_or(0);
            let expiry_ms =
                stamp.mono_ms.saturating_add(window_left_ms).saturating_add(MAX_READ_DELAY.0 / MS);
            active.expires_at_ms = active.expires_at_ms.max(expiry_ms);
            size += max_encoded_bytes(&record);
            batch.records.push(record);
            let is_frame_full =
                records.peek().is_none_or(|next| size + max_encoded_bytes(next) > MAX_PAYLOAD_BYTES);
            if is_frame_full {
                frame::encode(&mut self.scratch, active.number, active.frame_index, &batch)
                    .map_err(|_| WriteError::TooLong)?;
                active.frame_index += 1;
                batch.records.clear();
                size = FRAME_OVERHEAD_BYTES;
            }
        }
        active.segment.append(&self.scratch)?;
        active.bytes += self.scratch.len() as u64;
        // Releases memory after a burst of records.
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

    /// Removes expired segments. If one can't be removed, the error is returned and the next call tries again.
    pub fn expire(&mut self, mono_ms: u64) -> io::Result<()> {
        // All segments are checked: one of an earlier process may expire before one with a lower number.
        while let Some(position) = self.sealed.iter().position(|sealed| sealed.expires_at_ms <= mono_ms) {
            let number = self.sealed[position].number;
            match self.disk.remove(&name_of(number)) {
                Err(why) if why.kind() != io::ErrorKind::NotFound => return Err(why),
                _ => drop(self.sealed.remove(position)),
            }
        }
        // An active segment without recent writes expires too; the next write then starts a new one.
        if self
            .active
            .as_ref()
            .is_some_and(|active| active.frame_index > 0 && active.expires_at_ms <= mono_ms)
        {
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
