//! What earlier lives left, made of the segments that they wrote. No I/O.
//!
//! Windows go on by the monotonic clocks of the lives, one after another: a record's window is shorter by what passed in its own life
//! after it, and by what is known to have passed in each later one. The time between two lives, and the Unix clock,
//! count for nothing: a window may so be longer than it was, and never shorter.

use crate::frame::{Frames, SegmentHeader, StoredRecord, Tail};
use gradepin_admission::Span;
use gradepin_core::idempotency_log::{RecoveredRuns, SavedOutcome, SavedRun};
use gradepin_core::idempotency_table::READ_LATE;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

const MS: u64 = 1_000_000;

/// One segment as it was found.
#[derive(Debug, Clone)]
pub struct RecordedRun {
    /// Its number.
    pub number: u64,
    /// The life that wrote it; none where its head can't be read.
    pub life: Option<u64>,
    /// Its length.
    pub bytes: u64,
    /// Frames and records that could be read.
    pub frames: u64,
    /// See `frames`.
    pub records: u64,
    /// Where its tail is torn: harmless, nothing of it counted.
    pub torn: Option<usize>,
    /// What of it can't be read that once could.
    pub damage: Option<String>,
    /// What is left of the longest window that it tells of; none if a reading doesn't need it.
    pub left: Option<Span>,
    /// The last reading of its life's clock.
    last_mono_ms: u64,
    longest_end_ms: u64,
    /// Whether it has all that was known when it was written.
    anew: bool,
}

impl RecordedRun {
    /// One of which nothing was read yet.
    fn new(number: u64, life: Option<u64>, bytes: u64) -> Self {
        Self {
            number,
            life,
            bytes,
            frames: 0,
            records: 0,
            torn: None,
            damage: None,
            left: None,
            last_mono_ms: 0,
            longest_end_ms: 0,
            anew: false,
        }
    }
}

/// What a folder holds for a new life.
#[derive(Debug, Clone)]
pub struct RecoveredLog {
    /// For the ledger and the table of keys.
    pub recovered: RecoveredRuns,
    /// The segments, in their order.
    pub segments: Vec<RecordedRun>,
}

#[derive(Debug)]
struct Entry {
    print: u64,
    id: Box<str>,
    /// When its window ends, by the clock of its life, in milliseconds.
    end_ms: u64,
    life: u64,
    segment: u64,
    /// In the order of the records: the later one counts, and the oldest results go first.
    order: u64,
    end: SavedOutcome,
}

/// A reading in progress.
#[derive(Debug)]
pub struct Reading {
    entries: HashMap<Box<str>, Entry>,
    segments: Vec<RecordedRun>,
    /// The last reading of each life's clock.
    clocks: BTreeMap<u64, u64>,
    salt: Option<u64>,
    order: u64,
    /// Tokens with a result, oldest first, what they take, and what they may.
    results: VecDeque<(u64, Box<str>)>,
    bytes: usize,
    most: usize,
    dropped: u64,
    /// Entries that there may be, and records of others that there was no room for.
    most_entries: usize,
    passed_over: u64,
}

impl Reading {
    /// With so many runs, and results of so many bytes, at the most.
    pub fn new(most_entries: usize, most: usize) -> Self {
        Self {
            entries: HashMap::new(),
            segments: Vec::new(),
            clocks: BTreeMap::new(),
            salt: None,
            order: 0,
            results: VecDeque::new(),
            bytes: 0,
            most,
            dropped: 0,
            most_entries,
            passed_over: 0,
        }
    }

    /// One that can't be read at all.
    pub fn lost(&mut self, number: u64, bytes: u64, why: &str) {
        self.segments
            .push(RecordedRun { damage: Some(why.to_string()), ..RecordedRun::new(number, None, bytes) });
    }

    /// One whose head was never written whole.
    pub fn unborn(&mut self, number: u64, bytes: u64) {
        self.segments.push(RecordedRun { torn: Some(0), ..RecordedRun::new(number, None, bytes) });
    }

    /// Reads a segment; they come in the order of their numbers.
    pub fn segment(&mut self, head: SegmentHeader, bytes: &[u8]) {
        self.salt.get_or_insert(head.salt);
        let mut seen = RecordedRun::new(head.number, Some(head.life), bytes.len() as u64);
        let mut frames = Frames::new(bytes, head.number);
        for batch in frames.by_ref() {
            seen.frames += 1;
            seen.records += batch.records.len() as u64;
            seen.last_mono_ms = seen.last_mono_ms.max(batch.mono_ms);
            for record in &batch.records {
                seen.longest_end_ms =
                    seen.longest_end_ms.max(batch.mono_ms.saturating_add(record.left_ms().unwrap_or(0)));
                seen.anew |= *record == StoredRecord::Anew;
                self.record(head, batch.mono_ms, record);
            }
        }
        match frames.tail() {
            Tail::Clean => {}
            Tail::Torn(at) => seen.torn = Some(at),
            Tail::Damaged(at) => seen.damage = Some(format!("damaged from byte {at} on")),
        }
        let clock = self.clocks.entry(head.life).or_default();
        *clock = (*clock).max(seen.last_mono_ms);
        self.segments.push(seen);
    }

    /// The segment of this number has all that was known: what stood before it counts no more. Damage before it still
    /// does: what was lost there was not known when this was written either.
    fn written_anew(&mut self, number: u64) {
        self.entries.retain(|_, entry| entry.segment == number);
        let results = self.entries.values().map(|entry| match &entry.end {
            SavedOutcome::Served(result) => result.len(),
            _ => 0,
        });
        self.bytes = results.sum();
        for seen in self.segments.iter_mut().filter(|seen| seen.number < number) {
            seen.records = 0;
        }
    }

    fn record(&mut self, head: SegmentHeader, mono_ms: u64, record: &StoredRecord<'_>) {
        self.order += 1;
        let (life, segment, order) = (head.life, head.number, self.order);
        let entry = |print, id: &str, left_ms, end| {
            let end_ms = mono_ms.saturating_add(left_ms);
            Entry { print, id: id.into(), end_ms, life, segment, order, end }
        };
        match *record {
            StoredRecord::Intent { token, print, id, left_ms } => {
                // Written anew, an intent may stand behind the end of its own run; it then tells less.
                if self
                    .entries
                    .get(token)
                    .is_some_and(|known| *known.id == *id && known.end != SavedOutcome::Unknown)
                {
                    return;
                }
                self.put(token, entry(print, id, left_ms, SavedOutcome::Unknown));
            }
            StoredRecord::Served { token, print, id, left_ms, result } => {
                self.put(token, entry(print, id, left_ms, SavedOutcome::Served(result.to_vec())));
            }
            StoredRecord::Failed { token, print, id, left_ms } => {
                self.put(token, entry(print, id, left_ms, SavedOutcome::Failed));
            }
            StoredRecord::Void { token, id } => {
                if self.entries.get(token).is_some_and(|known| *known.id == *id) {
                    self.take(token);
                }
            }
            StoredRecord::Anew => self.written_anew(segment),
        }
    }

    fn take(&mut self, token: &str) {
        if let Some(Entry { end: SavedOutcome::Served(result), .. }) = self.entries.remove(token) {
            self.bytes -= result.len();
        }
    }

    fn put(&mut self, token: &str, entry: Entry) {
        // Guards against a start that takes more memory than there is, and so never comes to its end.
        if self.entries.len() >= self.most_entries && !self.entries.contains_key(token) {
            self.passed_over += 1;
            return;
        }
        self.take(token);
        if let SavedOutcome::Served(result) = &entry.end {
            self.bytes += result.len();
            self.results.push_back((entry.order, token.into()));
        }
        self.entries.insert(token.into(), entry);
        while self.bytes > self.most {
            let Some((order, oldest)) = self.results.pop_front() else { break };
            if let Some(known) = self.entries.get_mut(&oldest).filter(|known| known.order == order)
                && let SavedOutcome::Served(result) = std::mem::replace(&mut known.end, SavedOutcome::Failed)
            {
                self.bytes -= result.len();
                self.dropped += 1;
            }
        }
    }

    /// All segments are read.
    pub fn finish(&mut self) {
        // A segment with more of its life behind it was sealed at the end of a frame, or all was written anew after it.
        for place in 0..self.segments.len() {
            let (seen, behind) = (&self.segments[place], &self.segments[place + 1..]);
            let mut same = behind.iter().filter(|later| later.life == seen.life && seen.life.is_some());
            let sealed = same.clone().next().is_some() && !same.any(|later| later.anew);
            if let Some(at) = seen.torn.filter(|_| sealed) {
                self.segments[place].damage = Some(format!("cut off at byte {at}, and written on elsewhere"));
            }
        }
        for seen in &mut self.segments {
            let left = seen.life.and_then(|life| left(&self.clocks, life, seen.longest_end_ms));
            seen.left = match &seen.damage {
                // Needed for as long as the doubt lasts.
                Some(_) => Some(left.unwrap_or_default()),
                None => left.filter(|_| seen.records > 0),
            };
        }
    }

    /// The segments as they were found.
    pub fn segments(&self) -> &[RecordedRun] {
        &self.segments
    }

    /// The last life that wrote anything.
    pub fn last_life(&self) -> Option<u64> {
        self.segments.iter().filter_map(|seen| seen.life).max()
    }

    /// The key of all prints, if a segment tells it.
    pub fn salt(&self) -> Option<u64> {
        self.salt
    }

    /// What a new life needs to know, with windows of so much at the most.
    pub fn found(self, window: Span, salt: u64) -> RecoveredLog {
        let mut notes = Vec::new();
        let mut doubt = None;
        for seen in &self.segments {
            if let Some(why) = &seen.damage {
                notes.push(format!(
                    "segment {:016x} can't be read whole ({why}): any token may have run",
                    seen.number
                ));
                doubt = Some(window);
            } else if let Some(at) = seen.torn {
                let number = seen.number;
                notes.push(format!(
                    "segment {number:016x} ends with a write cut short at byte {at}; nothing of it counted"
                ));
            }
        }
        if self.passed_over > 0 {
            let most = self.most_entries;
            notes.push(format!(
                "over {most} runs are more than the memory may hold ({} records passed over): any token may have run",
                self.passed_over
            ));
            doubt = Some(window);
        }
        if self.dropped > 0 {
            notes.push(format!("{} results were too many to keep; repeats of them fail", self.dropped));
        }
        let clocks = self.clocks;
        let past = self.entries.into_iter().filter_map(|(token, entry)| {
            let left = left(&clocks, entry.life, entry.end_ms)?;
            let (token, id) = (token.into_string(), entry.id.into_string());
            Some(SavedRun { key: token, fingerprint: entry.print, id, window_left: left, outcome: entry.end })
        });
        let mut past: Vec<SavedRun> = past.collect();
        past.sort_by(|a, b| a.key.cmp(&b.key));
        RecoveredLog {
            recovered: RecoveredRuns { runs: past, salt, doubtful_for: doubt, notes },
            segments: self.segments,
        }
    }
}

/// What is left, by now, of something that ends at this moment of a life; none if late readers can't ask for it any more
/// either. Now is the last moment that any life is known to have seen.
fn left(clocks: &BTreeMap<u64, u64>, life: u64, end_ms: u64) -> Option<Span> {
    let own = clocks.get(&life).copied().unwrap_or(0);
    let now = clocks
        .range((Bound::Excluded(life), Bound::Unbounded))
        .map(|(_, last)| *last)
        .fold(own, u64::saturating_add);
    let late = end_ms.saturating_add(READ_LATE.0 / MS);
    (now < late).then(|| Span(end_ms.saturating_sub(now).saturating_mul(MS)))
}
