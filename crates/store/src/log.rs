//! The log: segments that are appended to, sealed, and removed once nothing in them can be asked for any more.
//!
//! A log is one life's: it opens a folder, reads what earlier lives left, and writes segments of its own. Records of a
//! life are never added to a segment of another, so what a crash tore stays apart from what is written after it. A
//! segment goes once the windows of all that it tells of are over; nothing is compacted, since all windows are about
//! equally long.

use crate::disk::{Disk, Segment};
use crate::frame::{self, Batch, HEADER_BYTES, HeaderError, MAX_PAYLOAD_BYTES, SegmentHeader, StoredRecord};
use crate::framing;
use crate::recovery::{Reading, RecoveredLog};
use gradepin_admission::Span;
use gradepin_core::idempotency_log::LogRecord;
use gradepin_core::idempotency_table::READ_LATE;
use std::collections::VecDeque;
use std::io;

const MS: u64 = 1_000_000;
const SUFFIX: &str = ".log";
/// What a frame takes at the most beside its records.
const FRAME_BESIDE: usize = frame::FRAME_HEADER_BYTES + 32;
/// And a record beside its texts and its result.
const RECORD_BESIDE: usize = 48;

/// Bounds of a log.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// A segment is sealed past so many bytes.
    pub segment_bytes: u64,
    /// All segments together; over that nothing is added until some are over.
    pub most_bytes: u64,
    /// Results that a recovery brings back at the most; the oldest go first, and their repeats fail.
    pub most_results: usize,
    /// Runs that a recovery brings back at the most. Where there are more, any token may have run: it doubts.
    pub most_records: usize,
    /// The longest window of a keyed class.
    pub window: Span,
}

/// One reading of the clocks, as a log needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stamp {
    /// Milliseconds since this life began, by a clock that nobody sets.
    pub mono_ms: u64,
    /// Unix milliseconds.
    pub unix_ms: u64,
}

/// Why a folder can't be read.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The disk fails.
    #[error("{name}: {why}")]
    Disk {
        /// Which file, or what was to be done.
        name: String,
        /// What the system says.
        why: io::Error,
    },
    /// A file is of another version or of another program: nothing is changed.
    #[error("{name}: {why}")]
    Foreign {
        /// Which file.
        name: String,
        /// How it is not one of ours.
        why: HeaderError,
    },
}

/// Why records could not be written. After any of these the log takes no more but [`Log::write_anew`].
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The disk fails.
    #[error("{0}")]
    Disk(#[from] io::Error),
    /// All segments together have reached their bound.
    #[error("expected no more than {most} bytes of records, there are {bytes}")]
    Full {
        /// The bound.
        most: u64,
        /// What there is.
        bytes: u64,
    },
    /// A record is longer than any frame may be.
    #[error("expected records of {MAX_PAYLOAD_BYTES} bytes at the most")]
    Long,
    /// An earlier write failed: what it left can't be relied on.
    #[error("an earlier write failed; all must be written anew first")]
    Broken,
}

#[derive(Debug)]
struct Sealed {
    number: u64,
    bytes: u64,
    /// When nothing in it can be asked for any more, by this life's clock.
    over_ms: u64,
    /// Part of it can't be read: while it is there, a new life doubts.
    damaged: bool,
}

struct Active {
    number: u64,
    segment: Box<dyn Segment>,
    bytes: u64,
    place: u32,
    over_ms: u64,
}

/// A log that is open for writing.
pub struct Log {
    disk: Box<dyn Disk>,
    limits: Limits,
    life: u64,
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

/// Reads all segments of a folder in their order; nothing is changed.
pub fn read(disk: &mut dyn Disk, limits: &Limits) -> Result<Reading, OpenError> {
    let listed = disk.list().map_err(|why| OpenError::Disk { name: "the folder".into(), why })?;
    let mut numbers: Vec<u64> = listed.iter().filter_map(|name| number_of(name)).collect();
    numbers.sort_unstable();
    let mut reading = Reading::new(limits.most_records, limits.most_results);
    for &number in &numbers {
        let name = name_of(number);
        let bytes = disk.read(&name).map_err(|why| OpenError::Disk { name: name.clone(), why })?;
        match frame::decode_head(&bytes) {
            Ok(head) if head.number == number => reading.segment(head, &bytes),
            Ok(_) => reading.lost(number, bytes.len() as u64, "its head names another segment"),
            Err(why @ (HeaderError::Version(_) | HeaderError::Foreign)) => {
                return Err(OpenError::Foreign { name, why });
            }
            Err(HeaderError::Short(_)) => reading.unborn(number, bytes.len() as u64),
            Err(why @ HeaderError::Damaged) => reading.lost(number, bytes.len() as u64, &why.to_string()),
        }
    }
    reading.finish();
    Ok(reading)
}

impl Log {
    /// Opens a folder for a new life, whose clock begins now, and tells what earlier ones left. `salt` is the key of all
    /// prints if this is the first.
    pub fn open(
        mut disk: Box<dyn Disk>,
        limits: Limits,
        salt: u64,
    ) -> Result<(Self, RecoveredLog), OpenError> {
        let reading = read(&mut *disk, &limits)?;
        let life = reading.last_life().map_or(0, |life| life.saturating_add(1));
        let salt = reading.salt().unwrap_or(salt);
        let next = reading.segments().iter().map(|segment| segment.number + 1).max().unwrap_or(0);
        let (mut sealed, mut over) = (VecDeque::new(), Vec::new());
        for segment in reading.segments() {
            let Some(left) = segment.left else {
                over.push(segment.number);
                continue;
            };
            // A damaged one tells of nothing that can be known: it goes when the doubt does.
            let damaged = segment.damage.is_some();
            let left = if damaged { Span(left.0.max(limits.window.0)) } else { left };
            let over_ms = left.0.saturating_add(READ_LATE.0) / MS;
            sealed.push_back(Sealed { number: segment.number, bytes: segment.bytes, over_ms, damaged });
        }
        let found = reading.found(limits.window, salt);
        let mut log =
            Self { disk, limits, life, salt, next, sealed, active: None, broken: false, scratch: Vec::new() };
        // Superseded ones and such as never held anything: no reading needs them.
        for number in over {
            log.disk
                .remove(&name_of(number))
                .map_err(|why| OpenError::Disk { name: name_of(number), why })?;
        }
        Ok((log, found))
    }

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.sealed.iter().map(|sealed| sealed.bytes).sum::<u64>()
            + self.active.as_ref().map_or(0, |a| a.bytes)
    }

    /// Adds records, and returns when they are durable. However many, they take one sync.
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
        if self.bytes() >= self.limits.most_bytes {
            return Err(WriteError::Full { most: self.limits.most_bytes, bytes: self.bytes() });
        }
        if self.active.as_ref().is_none_or(|active| active.bytes >= self.limits.segment_bytes) {
            self.seal();
            self.begin()?;
        }
        self.append(stamp, records)?;
        self.sync()
    }

    /// Puts all that is known into new segments and drops the ones before: the way back after a failure.
    pub fn write_anew(&mut self, stamp: Stamp, records: &[LogRecord]) -> Result<(), WriteError> {
        self.broken = true;
        self.seal();
        let first = self.next;
        self.begin()?;
        self.append(stamp, records.iter().map(frame::stored))?;
        self.append(stamp, std::iter::once(StoredRecord::Anew))?;
        self.sync()?;
        self.broken = false;
        // From here on the earlier ones count no more; one that can't be removed is passed over by a reading.
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
        if let Some(Active { number, bytes, over_ms, .. }) = self.active.take() {
            self.sealed.push_back(Sealed { number, bytes, over_ms, damaged: false });
        }
    }

    fn begin(&mut self) -> Result<(), WriteError> {
        let number = self.next;
        self.next += 1;
        let mut segment = self.disk.create(&name_of(number))?;
        let head = frame::encode_head(SegmentHeader { number, life: self.life, salt: self.salt });
        if let Err(error) = segment.append(&head) {
            // Without a head it holds nothing, and it is tried again for as long as the disk fails.
            let _ = self.disk.remove(&name_of(number));
            return Err(error.into());
        }
        self.active = Some(Active { number, segment, bytes: HEADER_BYTES as u64, place: 0, over_ms: 0 });
        Ok(())
    }

    /// Appends records in as many frames as they need.
    fn append<'a>(
        &mut self,
        stamp: Stamp,
        records: impl Iterator<Item = StoredRecord<'a>>,
    ) -> Result<(), WriteError> {
        let Some(active) = &mut self.active else { return Err(WriteError::Broken) };
        let mut batch = Batch { mono_ms: stamp.mono_ms, unix_ms: stamp.unix_ms, records: Vec::new() };
        let mut size = FRAME_BESIDE;
        self.scratch.clear();
        let mut records = records.peekable();
        while let Some(record) = records.next() {
            let left = record.left_ms().unwrap_or(0);
            let over = stamp.mono_ms.saturating_add(left).saturating_add(READ_LATE.0 / MS);
            active.over_ms = active.over_ms.max(over);
            size += size_of(&record);
            batch.records.push(record);
            let whole = records.peek().is_none_or(|next| size + size_of(next) > MAX_PAYLOAD_BYTES);
            if whole {
                frame::encode(&mut self.scratch, active.number, active.place, &batch)
                    .map_err(|_| WriteError::Long)?;
                active.place += 1;
                batch.records.clear();
                size = FRAME_BESIDE;
            }
        }
        active.segment.append(&self.scratch)?;
        active.bytes += self.scratch.len() as u64;
        // A burst must not hold its memory for good.
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

    /// Removes the segments that nothing can be asked of any more. One that can't be removed now is tried again.
    pub fn expire(&mut self, mono_ms: u64) -> io::Result<()> {
        // Read and written in their order, but an earlier life's may be over sooner than one before it.
        while let Some(place) = self.sealed.iter().position(|sealed| sealed.over_ms <= mono_ms) {
            let number = self.sealed[place].number;
            match self.disk.remove(&name_of(number)) {
                Err(why) if why.kind() != io::ErrorKind::NotFound => return Err(why),
                _ => drop(self.sealed.remove(place)),
            }
        }
        // An active one that has become idle is over too, and the next write begins another.
        if self.active.as_ref().is_some_and(|active| active.place > 0 && active.over_ms <= mono_ms) {
            self.seal();
            return self.expire(mono_ms);
        }
        Ok(())
    }
}

fn size_of(record: &StoredRecord<'_>) -> usize {
    RECORD_BESIDE
        + match record {
            StoredRecord::Intent { token, id, .. }
            | StoredRecord::Failed { token, id, .. }
            | StoredRecord::Void { token, id } => token.len() + id.len(),
            StoredRecord::Served { token, id, result, .. } => token.len() + id.len() + result.len(),
            StoredRecord::Anew => 0,
        }
}
