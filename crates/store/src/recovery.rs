//! What earlier processes left, reconstructed from the segments that they wrote. No I/O.
//!
//! Windows continue by the monotonic clocks of the incarnations, one after another: a record's window is shortened by the time
//! that passed in its own incarnation after it, and by the time known to have passed in each later one. The time between
//! two processes, and the Unix clock, are not counted: a window may become longer, and never shorter.

use crate::frame::{Frames, SegmentHeader, StoredRecord, Tail};
use gradepin_admission::Span;
use gradepin_core::idempotency_log::{RecoveredRuns, SavedOutcome, SavedRun};
use gradepin_core::idempotency_table::MAX_READ_DELAY;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

const MS: u64 = 1_000_000;

/// One segment as it was read.
#[derive(Debug, Clone)]
pub struct SegmentSummary {
    /// The segment's number.
    pub number: u64,
    /// The life that wrote it; none where its head can't be read.
    pub incarnation: Option<u64>,
    /// Its size.
    pub bytes: u64,
    /// The number of frames that could be decoded.
    pub frames: u64,
    /// The number of records in them that still count.
    pub records: u64,
    /// The offset of a torn tail, which is harmless: it never counted.
    pub torn: Option<usize>,
    /// The damage, if a part that once was durable can't be read.
    pub damage: Option<String>,
    /// The remaining time of its longest window; `None` if no recovery needs it.
    pub left: Option<Span>,
    /// The last reading of its life's clock.
    last_mono_ms: u64,
    longest_end_ms: u64,
    /// Whether it contains all runs that were known when it was written.
    is_complete_rewrite: bool,
}

impl SegmentSummary {
    /// A segment of which no frame was read yet.
    fn new(number: u64, incarnation: Option<u64>, bytes: u64) -> Self {
        Self {
            number,
            incarnation,
            bytes,
            frames: 0,
            records: 0,
            torn: None,
            damage: None,
            left: None,
            last_mono_ms: 0,
            longest_end_ms: 0,
            is_complete_rewrite: false,
        }
    }
}

/// What a folder holds for a new process.
#[derive(Debug, Clone)]
pub struct RecoveredLog {
    /// The runs for the idempotency log and table.
    pub recovered: RecoveredRuns,
    /// The segments, in order.
    pub segments: Vec<SegmentSummary>,
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    id: Box<str>,
    /// When its window ends, by the clock of its incarnation, in milliseconds.
    end_ms: u64,
    incarnation: u64,
    segment: u64,
    /// The order of the records: the latest counts, and the oldest results are dropped first.
    order: u64,
    end: SavedOutcome,
}

/// A reading in progress.
#[derive(Debug)]
pub struct Reading {
    entries: HashMap<Box<str>, Entry>,
    segments: Vec<SegmentSummary>,
    /// The last reading of each incarnation's clock.
    clocks: BTreeMap<u64, u64>,
    salt: Option<u64>,
    order: u64,
    /// Order and key of the entries with a result, oldest first.
    results: VecDeque<(u64, Box<str>)>,
    result_bytes: usize,
    max_result_bytes: usize,
    dropped_results: u64,
    max_entries: usize,
    /// Records beyond `max_entries`.
    skipped_records: u64,
}

impl Reading {
    /// A reading of at most this many runs, with results of at most this many bytes.
    pub fn new(max_entries: usize, max_result_bytes: usize) -> Self {
        Self {
            entries: HashMap::new(),
            segments: Vec::new(),
            clocks: BTreeMap::new(),
            salt: None,
            order: 0,
            results: VecDeque::new(),
            result_bytes: 0,
            max_result_bytes,
            dropped_results: 0,
            max_entries,
            skipped_records: 0,
        }
    }

    /// Adds a segment that can't be read at all.
    pub fn add_unreadable(&mut self, number: u64, bytes: u64, why: &str) {
        self.segments.push(SegmentSummary {
            damage: Some(why.to_string()),
            ..SegmentSummary::new(number, None, bytes)
        });
    }

    /// Adds a segment whose header was never completely written.
    pub fn add_unwritten(&mut self, number: u64, bytes: u64) {
        self.segments.push(SegmentSummary { torn: Some(0), ..SegmentSummary::new(number, None, bytes) });
    }

    /// Reads a segment. To be called in the order of numbers.
    pub fn add_segment(&mut self, header: SegmentHeader, bytes: &[u8]) {
        self.salt.get_or_insert(header.salt);
        let mut segment = SegmentSummary::new(header.number, Some(header.incarnation), bytes.len() as u64);
        let mut frames = Frames::new(bytes, header.number);
        for batch in frames.by_ref() {
            segment.frames += 1;
            segment.records += batch.records.len() as u64;
            segment.last_mono_ms = segment.last_mono_ms.max(batch.mono_ms);
            for record in &batch.records {
                segment.longest_end_ms = segment
                    .longest_end_ms
                    .max(batch.mono_ms.saturating_add(record.window_left_ms().unwrap_or(0)));
                segment.is_complete_rewrite |= *record == StoredRecord::RewriteComplete;
                self.record(header, batch.mono_ms, record);
            }
        }
        match frames.tail() {
            Tail::Clean => {}
            Tail::Torn(at) => segment.torn = Some(at),
            Tail::Damaged(at) => segment.damage = Some(format!("damaged from byte {at} on")),
        }
        let clock = self.clocks.entry(header.incarnation).or_default();
        *clock = (*clock).max(segment.last_mono_ms);
        self.segments.push(segment);
    }

    /// The segment of this number contains all known runs, so earlier records no longer count. Earlier damage still does:
    /// what was lost there was unknown when this segment was written too.
    fn written_anew(&mut self, number: u64) {
        self.entries.retain(|_, entry| entry.segment == number);
        let results = self.entries.values().map(|entry| match &entry.end {
            SavedOutcome::Served(result) => result.len(),
            _ => 0,
        });
        self.result_bytes = results.sum();
        for segment in self.segments.iter_mut().filter(|segment| segment.number < number) {
            segment.records = 0;
        }
    }

    fn record(&mut self, header: SegmentHeader, mono_ms: u64, record: &StoredRecord<'_>) {
        self.order += 1;
        let (incarnation, segment, order) = (header.incarnation, header.number, self.order);
        let entry = |fingerprint, id: &str, window_left_ms, end| {
            let end_ms = mono_ms.saturating_add(window_left_ms);
            Entry { fingerprint, id: id.into(), end_ms, incarnation, segment, order, end }
        };
        match *record {
            StoredRecord::Intent { key, fingerprint, id, window_left_ms } => {
                // In a rewrite an intent may follow the outcome of its own run; the outcome counts.
                if self
                    .entries
                    .get(key)
                    .is_some_and(|known| *known.id == *id && known.end != SavedOutcome::Unknown)
                {
                    return;
                }
                self.put(key, entry(fingerprint, id, window_left_ms, SavedOutcome::Unknown));
            }
            StoredRecord::Served { key, fingerprint, id, window_left_ms, result } => {
                self.put(key, entry(fingerprint, id, window_left_ms, SavedOutcome::Served(result.to_vec())));
            }
            StoredRecord::Failed { key, fingerprint, id, window_left_ms } => {
                self.put(key, entry(fingerprint, id, window_left_ms, SavedOutcome::Failed));
            }
            StoredRecord::Void { key, id } => {
                if self.entries.get(key).is_some_and(|known| *known.id == *id) {
                    self.take(key);
                }
            }
            StoredRecord::RewriteComplete => self.written_anew(segment),
        }
    }

    fn take(&mut self, key: &str) {
        if let Some(Entry { end: SavedOutcome::Served(result), .. }) = self.entries.remove(key) {
            self.result_bytes -= result.len();
        }
    }

    fn put(&mut self, key: &str, entry: Entry) {
        // Against a start-up that needs more memory than there is.
        if self.entries.len() >= self.max_entries && !self.entries.contains_key(key) {
            self.skipped_records += 1;
            return;
        }
        self.take(key);
        if let SavedOutcome::Served(result) = &entry.end {
            self.result_bytes += result.len();
            self.results.push_back((entry.order, key.into()));
        }
        self.entries.insert(key.into(), entry);
        while self.result_bytes > self.max_result_bytes {
            let Some((order, oldest)) = self.results.pop_front() else { break };
            if let Some(known) = self.entries.get_mut(&oldest).filter(|known| known.order == order)
                && let SavedOutcome::Served(result) = std::mem::replace(&mut known.end, SavedOutcome::Failed)
            {
                self.result_bytes -= result.len();
                self.dropped_results += 1;
            }
        }
    }

    /// Completes the reading, after the last segment.
    pub fn finish(&mut self) {
        // A segment that another of its incarnation follows was sealed at the end of a frame, or rewritten.
        for place in 0..self.segments.len() {
            let (segment, later_segments) = (&self.segments[place], &self.segments[place + 1..]);
            let mut same_incarnation = later_segments
                .iter()
                .filter(|later| later.incarnation == segment.incarnation && segment.incarnation.is_some());
            let is_sealed = same_incarnation.clone().next().is_some()
                && !same_incarnation.any(|later| later.is_complete_rewrite);
            if let Some(at) = segment.torn.filter(|_| is_sealed) {
                self.segments[place].damage = Some(format!("cut off at byte {at}, and written on elsewhere"));
            }
        }
        for segment in &mut self.segments {
            let left = segment
                .incarnation
                .and_then(|incarnation| remaining(&self.clocks, incarnation, segment.longest_end_ms));
            segment.left = match &segment.damage {
                // Kept while the recovery is incomplete.
                Some(_) => Some(left.unwrap_or_default()),
                None => left.filter(|_| segment.records > 0),
            };
        }
    }

    /// The segments as they were read.
    pub fn segments(&self) -> &[SegmentSummary] {
        &self.segments
    }

    /// The last incarnation that wrote a segment.
    pub fn last_incarnation(&self) -> Option<u64> {
        self.segments.iter().filter_map(|segment| segment.incarnation).max()
    }

    /// The key of all fingerprints, if a segment was read.
    pub fn salt(&self) -> Option<u64> {
        self.salt
    }

    /// What a new process needs to know; `window` is the longest window of a keyed class.
    pub fn found(self, window: Span, salt: u64) -> RecoveredLog {
        let mut notes = Vec::new();
        let mut doubt = None;
        for segment in &self.segments {
            if let Some(why) = &segment.damage {
                notes.push(format!(
                    "segment {:016x} can't be read whole ({why}): any token may have run",
                    segment.number
                ));
                doubt = Some(window);
            } else if let Some(at) = segment.torn {
                let number = segment.number;
                notes.push(format!(
                    "segment {number:016x} ends with a write cut short at byte {at}; nothing of it counted"
                ));
            }
        }
        if self.skipped_records > 0 {
            let most = self.max_entries;
            notes.push(format!(
                "over {most} runs are more than the memory may hold ({} records passed over): any token may have run",
                self.skipped_records
            ));
            doubt = Some(window);
        }
        if self.dropped_results > 0 {
            notes.push(format!(
                "{} results were too many to keep; repeats of them fail",
                self.dropped_results
            ));
        }
        let clocks = self.clocks;
        let past = self.entries.into_iter().filter_map(|(key, entry)| {
            let left = remaining(&clocks, entry.incarnation, entry.end_ms)?;
            let (key, id) = (key.into_string(), entry.id.into_string());
            Some(SavedRun { key, fingerprint: entry.fingerprint, id, window_left: left, outcome: entry.end })
        });
        let mut past: Vec<SavedRun> = past.collect();
        past.sort_by(|a, b| a.key.cmp(&b.key));
        RecoveredLog {
            recovered: RecoveredRuns { runs: past, salt, incomplete_for: doubt, notes },
            segments: self.segments,
        }
    }
}

/// The remaining time of a window that ends at this reading of an incarnation's clock; `None` if late retries can't arrive any
/// more either. The current time is the last reading of any incarnation's clock.
fn remaining(clocks: &BTreeMap<u64, u64>, incarnation: u64, end_ms: u64) -> Option<Span> {
    let own = clocks.get(&incarnation).copied().unwrap_or(0);
    let now = clocks
        .range((Bound::Excluded(incarnation), Bound::Unbounded))
        .map(|(_, last)| *last)
        .fold(own, u64::saturating_add);
    let late = end_ms.saturating_add(MAX_READ_DELAY.0 / MS);
    (now < late).then(|| Span(end_ms.saturating_sub(now).saturating_mul(MS)))
}
