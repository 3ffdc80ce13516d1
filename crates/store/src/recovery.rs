//! Rebuilds the known keyed runs from the segments of earlier processes. No I/O.
//!
//! An idempotency window is measured by the monotonic clocks of the incarnations, one after another. The remaining window of a
//! record is reduced by the time that passed in its own incarnation after the record, and by the last clock reading of each
//! later incarnation. Neither the downtime between two processes nor the Unix clock counts. A window can therefore become
//! longer, but never shorter, and no request runs a second time within its window.

use crate::frame::{Frames, SegmentHeader, StoredRecord, Tail};
use gradepin_admission::Span;
use gradepin_core::idempotency_log::{RecoveredRuns, SavedOutcome, SavedRun};
use gradepin_core::idempotency_table::MAX_READ_DELAY;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

const MS: u64 = 1_000_000;

/// The result of reading one segment.
#[derive(Debug, Clone)]
pub struct SegmentSummary {
    /// The number in the segment's file name.
    pub number: u64,
    /// The incarnation that wrote the segment; `None` if its header can't be read.
    pub incarnation: Option<u64>,
    /// The size of the file.
    pub bytes: u64,
    /// The number of frames that could be decoded.
    pub frames: u64,
    /// The number of records in those frames; 0 if a later rewrite superseded them.
    pub records: u64,
    /// The offset of a torn tail. It is harmless, since its records were never acknowledged as durable.
    pub torn: Option<usize>,
    /// A description of the damage, if a part that was durable once can't be read any more.
    pub damage: Option<String>,
    /// The remaining time of the longest window in the segment; `None` if no recovery needs the segment any more.
    pub time_left: Option<Span>,
    /// The last reading of the incarnation's clock in this segment.
    last_mono_ms: u64,
    last_window_end_ms: u64,
    /// Whether the segment contains all runs that were known when it was written.
    is_complete_rewrite: bool,
}

impl SegmentSummary {
    /// The summary of a segment before its first frame is read.
    fn new(number: u64, incarnation: Option<u64>, bytes: u64) -> Self {
        Self {
            number,
            incarnation,
            bytes,
            frames: 0,
            records: 0,
            torn: None,
            damage: None,
            time_left: None,
            last_mono_ms: 0,
            last_window_end_ms: 0,
            is_complete_rewrite: false,
        }
    }
}

/// The state that a new process recovers from a folder.
#[derive(Debug, Clone)]
pub struct RecoveredLog {
    /// The known runs, as input for the idempotency log and table.
    pub recovered: RecoveredRuns,
    /// The summaries of all segments, in ascending order of their numbers.
    pub segments: Vec<SegmentSummary>,
}

#[derive(Debug)]
struct KnownRun {
    fingerprint: u64,
    id: Box<str>,
    /// When the window ends, in milliseconds of the clock of `incarnation`.
    window_end_ms: u64,
    incarnation: u64,
    segment: u64,
    /// The position of the record among all records read. The latest record of a key wins; the oldest results are dropped
    /// first.
    sequence: u64,
    outcome: SavedOutcome,
}

/// The state while the segments of a folder are being read.
#[derive(Debug)]
pub struct Reading {
    runs: HashMap<Box<str>, KnownRun>,
    segments: Vec<SegmentSummary>,
    /// The last reading of each incarnation's clock, in milliseconds.
    clocks: BTreeMap<u64, u64>,
    salt: Option<u64>,
    sequence: u64,
    /// The sequence and key of each run that had a result, oldest first; outdated pairs are skipped when they are taken.
    results: VecDeque<(u64, Box<str>)>,
    result_bytes: usize,
    max_result_bytes: usize,
    dropped_results: u64,
    max_runs: usize,
    /// Records that were skipped because there were `max_runs` runs already.
    skipped_records: u64,
}

impl Reading {
    /// Keeps at most this many runs, with at most this many bytes of results together.
    pub fn new(max_runs: usize, max_result_bytes: usize) -> Self {
        Self {
            runs: HashMap::new(),
            segments: Vec::new(),
            clocks: BTreeMap::new(),
            salt: None,
            sequence: 0,
            results: VecDeque::new(),
            result_bytes: 0,
            max_result_bytes,
            dropped_results: 0,
            max_runs,
            skipped_records: 0,
        }
    }

    /// Adds a segment whose content can't be read at all; the recovery becomes incomplete.
    pub fn add_unreadable(&mut self, number: u64, bytes: u64, why: &str) {
        self.segments.push(SegmentSummary {
            damage: Some(why.to_string()),
            ..SegmentSummary::new(number, None, bytes)
        });
    }

    /// Adds a segment whose header was never completely written, and that therefore contains no records.
    pub fn add_without_header(&mut self, number: u64, bytes: u64) {
        self.segments.push(SegmentSummary { torn: Some(0), ..SegmentSummary::new(number, None, bytes) });
    }

    /// Reads a segment. Must be called in ascending order of segment numbers.
    pub fn add_segment(&mut self, header: SegmentHeader, bytes: &[u8]) {
        self.salt.get_or_insert(header.salt);
        let mut segment = SegmentSummary::new(header.number, Some(header.incarnation), bytes.len() as u64);
        let mut frames = Frames::new(bytes, header.number);
        for batch in frames.by_ref() {
            segment.frames += 1;
            segment.records += batch.records.len() as u64;
            segment.last_mono_ms = segment.last_mono_ms.max(batch.mono_ms);
            for record in &batch.records {
                segment.last_window_end_ms = segment
                    .last_window_end_ms
                    .max(batch.mono_ms.saturating_add(record.window_left_ms().unwrap_or(0)));
                segment.is_complete_rewrite |= *record == StoredRecord::RewriteComplete;
                self.apply_record(header, batch.mono_ms, record);
            }
        }
        match frames.tail() {
            Tail::Clean => {}
            Tail::Torn(offset) => segment.torn = Some(offset),
            Tail::Damaged(offset) => segment.damage = Some(format!("damaged from byte {offset} on")),
        }
        let clock = self.clocks.entry(header.incarnation).or_default();
        *clock = (*clock).max(segment.last_mono_ms);
        self.segments.push(segment);
    }

    /// Drops all records before the segment of this number, which contains all runs known when it was written. Damage in
    /// earlier segments remains: the records lost there were already missing when this segment was written.
    fn apply_rewrite(&mut self, number: u64) {
        self.runs.retain(|_, run| run.segment == number);
        let results = self.runs.values().map(|run| match &run.outcome {
            SavedOutcome::Served(result) => result.len(),
            _ => 0,
        });
        self.result_bytes = results.sum();
        for segment in self.segments.iter_mut().filter(|segment| segment.number < number) {
            segment.records = 0;
        }
    }

    fn apply_record(&mut self, header: SegmentHeader, mono_ms: u64, record: &StoredRecord<'_>) {
        self.sequence += 1;
        let (incarnation, segment, sequence) = (header.incarnation, header.number, self.sequence);
        let run = |fingerprint, id: &str, window_left_ms, outcome| {
            let window_end_ms = mono_ms.saturating_add(window_left_ms);
            KnownRun { fingerprint, id: id.into(), window_end_ms, incarnation, segment, sequence, outcome }
        };
        match *record {
            StoredRecord::Intent { key, fingerprint, id, window_left_ms } => {
                // In a rewrite, the intent of a run may follow its outcome; it must not replace the outcome.
                if self
                    .runs
                    .get(key)
                    .is_some_and(|known| *known.id == *id && known.outcome != SavedOutcome::Unknown)
                {
                    return;
                }
                self.insert_run(key, run(fingerprint, id, window_left_ms, SavedOutcome::Unknown));
            }
            StoredRecord::Served { key, fingerprint, id, window_left_ms, result } => {
                self.insert_run(
                    key,
                    run(fingerprint, id, window_left_ms, SavedOutcome::Served(result.to_vec())),
                );
            }
            StoredRecord::Failed { key, fingerprint, id, window_left_ms } => {
                self.insert_run(key, run(fingerprint, id, window_left_ms, SavedOutcome::Failed));
            }
            StoredRecord::Void { key, id } => {
                if self.runs.get(key).is_some_and(|known| *known.id == *id) {
                    self.remove_run(key);
                }
            }
            StoredRecord::RewriteComplete => self.apply_rewrite(segment),
        }
    }

    fn remove_run(&mut self, key: &str) {
        if let Some(KnownRun { outcome: SavedOutcome::Served(result), .. }) = self.runs.remove(key) {
            self.result_bytes -= result.len();
        }
    }

    fn insert_run(&mut self, key: &str, run: KnownRun) {
        // Bounds the memory that a start needs.
        if self.runs.len() >= self.max_runs && !self.runs.contains_key(key) {
            self.skipped_records += 1;
            return;
        }
        self.remove_run(key);
        if let SavedOutcome::Served(result) = &run.outcome {
            self.result_bytes += result.len();
            self.results.push_back((run.sequence, key.into()));
        }
        self.runs.insert(key.into(), run);
        while self.result_bytes > self.max_result_bytes {
            let Some((sequence, oldest)) = self.results.pop_front() else { break };
            if let Some(known) = self.runs.get_mut(&oldest).filter(|known| known.sequence == sequence)
                && let SavedOutcome::Served(result) =
                    std::mem::replace(&mut known.outcome, SavedOutcome::Failed)
            {
                self.result_bytes -= result.len();
                self.dropped_results += 1;
            }
        }
    }

    /// Completes the reading. Must be called once, after the last segment.
    pub fn finish(&mut self) {
        // If the same incarnation wrote a later segment, this one was sealed after a complete frame. A torn tail is then damage,
        // unless the incarnation rewrote all runs after a failed write.
        for position in 0..self.segments.len() {
            let (segment, later_segments) = (&self.segments[position], &self.segments[position + 1..]);
            let mut same_incarnation = later_segments
                .iter()
                .filter(|later| later.incarnation == segment.incarnation && segment.incarnation.is_some());
            let is_sealed = same_incarnation.clone().next().is_some()
                && !same_incarnation.any(|later| later.is_complete_rewrite);
            if let Some(offset) = segment.torn.filter(|_| is_sealed) {
                self.segments[position].damage =
                    Some(format!("cut off at byte {offset}, although a later segment continues it"));
            }
        }
        for segment in &mut self.segments {
            let time_left = segment
                .incarnation
                .and_then(|incarnation| remaining(&self.clocks, incarnation, segment.last_window_end_ms));
            segment.time_left = match &segment.damage {
                // A damaged segment is kept while the recovery is incomplete.
                Some(_) => Some(time_left.unwrap_or_default()),
                None => time_left.filter(|_| segment.records > 0),
            };
        }
    }

    /// The summaries of all segments read so far.
    pub fn segments(&self) -> &[SegmentSummary] {
        &self.segments
    }

    /// The highest incarnation that wrote a segment; `None` if no header could be read.
    pub fn last_incarnation(&self) -> Option<u64> {
        self.segments.iter().filter_map(|segment| segment.incarnation).max()
    }

    /// The key of all fingerprints, if a segment was read.
    pub fn salt(&self) -> Option<u64> {
        self.salt
    }

    /// The state that a new process recovers. `window` is the longest window of a keyed class: if records are lost, any key
    /// may have run within it. `salt` is the key of all fingerprints.
    pub fn into_recovered(self, window: Span, salt: u64) -> RecoveredLog {
        let mut notes = Vec::new();
        let mut incomplete_period = None;
        for segment in &self.segments {
            if let Some(why) = &segment.damage {
                notes.push(format!(
                    "segment {:016x} can't be read whole ({why}): any token may have run",
                    segment.number
                ));
                incomplete_period = Some(window);
            } else if let Some(offset) = segment.torn {
                let number = segment.number;
                notes.push(format!(
                    "segment {number:016x} ends with an incomplete write at byte {offset}, which was never acknowledged"
                ));
            }
        }
        if self.skipped_records > 0 {
            let max_runs = self.max_runs;
            notes.push(format!(
                "the segments have more than {max_runs} runs, the maximum in memory ({} records skipped): any token may have run",
                self.skipped_records
            ));
            incomplete_period = Some(window);
        }
        if self.dropped_results > 0 {
            notes.push(format!(
                "{} results exceeded the memory for results and were dropped; repeats of their requests fail",
                self.dropped_results
            ));
        }
        let clocks = self.clocks;
        let recovered_runs = self.runs.into_iter().filter_map(|(key, run)| {
            let time_left = remaining(&clocks, run.incarnation, run.window_end_ms)?;
            let (key, id) = (key.into_string(), run.id.into_string());
            Some(SavedRun {
                key,
                fingerprint: run.fingerprint,
                id,
                window_left: time_left,
                outcome: run.outcome,
            })
        });
        let mut recovered_runs: Vec<SavedRun> = recovered_runs.collect();
        recovered_runs.sort_by(|a, b| a.key.cmp(&b.key));
        RecoveredLog {
            recovered: RecoveredRuns { runs: recovered_runs, salt, incomplete_for: incomplete_period, notes },
            segments: self.segments,
        }
    }
}

/// The remaining time of a window that ends at this reading of an incarnation's clock; `None` once no retry can arrive any more,
/// not even one that was read late. The current time is the sum of the last clock readings of this and all later incarnations.
fn remaining(clocks: &BTreeMap<u64, u64>, incarnation: u64, window_end_ms: u64) -> Option<Span> {
    let own_clock = clocks.get(&incarnation).copied().unwrap_or(0);
    let now = clocks
        .range((Bound::Excluded(incarnation), Bound::Unbounded))
        .map(|(_, last)| *last)
        .fold(own_clock, u64::saturating_add);
    let last_retry_ms = window_end_ms.saturating_add(MAX_READ_DELAY.0 / MS);
    (now < last_retry_ms).then(|| Span(window_end_ms.saturating_sub(now).saturating_mul(MS)))
}
