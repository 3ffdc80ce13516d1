//! The table of idempotency keys: which attempt holds a key, the key's run, and the retained outcome of that run.
//!
//! What no attempt can ask for any more is found by a [`TimerWheel`], a bounded part at a time, so that no pause grows with the
//! number of keys. The table is split for the same reason: a map that grows moves all it holds. Invariants: a key has at most
//! one run that new attempts find; retained results take at most the given bytes.

pub use crate::keyed_run::{Fingerprint, KeyedRun, RunOutcome};
use crate::keyed_run::{SavedOutcome, SavedRun};
use crate::timer_wheel::{DueEntry, TimerWheel};
use crate::timestamp::Timestamp;
use gradepin_admission::{RequestId, Span, Time, time_after};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// A run is known for so long past its window: attempts that were sent within the window may be read so much later.
pub const MAX_READ_DELAY: Span = Span(30_000 * MS);
/// And for so much longer if its end was never reported: no run takes that long.
const MAX_UNREPORTED_RUN: Span = Span(60_000 * MS);
/// Memory of a retained result beside its bytes.
const RESULT_OVERHEAD_BYTES: usize = 256;
/// Parts of the table. With a million keys one of them moves some 4,000 when it grows.
const PARTS: usize = 256;
/// Records and timer slots that one sweep looks at.
const MAX_SWEPT: usize = 128;

/// All idempotency keys that attempts may ask for.
#[derive(Debug)]
pub struct IdempotencyTable {
    parts: Vec<HashMap<Arc<str>, Record>>,
    /// One entry for each record, not later than the time at which something of it expires.
    due: TimerWheel<Arc<str>>,
    /// Retained results, oldest first. An entry is stale where that result is gone.
    retained: VecDeque<RetainedResult>,
    last_retention: u64,
    retained_bytes: usize,
    /// Bytes that retained results may take. Past that the oldest is dropped, and a repeat of it fails instead of running
    /// again.
    max_retained_bytes: usize,
    /// Runs of an earlier process whose end is unknown, with their keys; a processor that outlived that process may report it.
    recovered_runs: BTreeMap<RequestId, Arc<str>>,
}

/// A result in the order in which results were retained.
#[derive(Debug)]
struct RetainedResult {
    key: Arc<str>,
    /// Number of its retention.
    retention: u64,
}

/// What a run's retained result takes.
#[derive(Debug, Clone, Copy)]
struct Retention {
    number: u64,
    bytes: usize,
}

/// The attempt that holds a key.
#[derive(Debug)]
struct Holder {
    id: RequestId,
    until: Time,
}

/// A key.
#[derive(Debug, Default)]
struct Record {
    holder: Option<Holder>,
    run: Option<Run>,
    /// Former runs of the key, past their windows, that go on and that attempts still wait for.
    replaced: Vec<Run>,
    /// Fingerprint of the body and class of its attempts.
    fingerprint: Fingerprint,
}

/// A run of a key.
#[derive(Debug)]
struct Run {
    id: RequestId,
    /// End of its window, in Unix milliseconds: attempts that arrived before it find the run.
    closes_unix_ms: u64,
    /// End of its window by the monotonic clock.
    closes_at: Time,
    /// None while it runs.
    outcome: Option<RunOutcome>,
    /// Attempts that are to be answered with its outcome; each is open.
    waiting: Vec<RequestId>,
    /// Set while its result is retained.
    retention: Option<Retention>,
}

impl Run {
    /// When it is forgotten.
    fn expires_at(&self) -> Time {
        let late = time_after(self.closes_at, MAX_READ_DELAY);
        if self.outcome.is_some() { late } else { time_after(late, MAX_UNREPORTED_RUN) }
    }
}

impl IdempotencyTable {
    /// An empty table whose results may take so many bytes.
    pub fn new(max_retained_bytes: usize) -> Self {
        Self {
            parts: (0..PARTS).map(|_| HashMap::new()).collect(),
            due: TimerWheel::default(),
            retained: VecDeque::new(),
            last_retention: 0,
            retained_bytes: 0,
            max_retained_bytes,
            recovered_runs: BTreeMap::new(),
        }
    }

    /// How many keys it holds.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn part(key: &str) -> usize {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        hasher.finish() as usize % PARTS
    }

    fn get(&self, key: &str) -> Option<&Record> {
        self.parts[Self::part(key)].get(key)
    }

    fn get_mut(&mut self, key: &str) -> Option<&mut Record> {
        self.parts[Self::part(key)].get_mut(key)
    }

    fn run(&self, key: &str) -> Option<&Run> {
        self.get(key)?.run.as_ref()
    }

    /// The record of a key. If there is none it is made, and swept at `sweep_at`.
    fn entry(&mut self, key: &Arc<str>, sweep_at: Time) -> &mut Record {
        let due = &mut self.due;
        self.parts[Self::part(key)].entry(Arc::clone(key)).or_insert_with(|| {
            due.insert(sweep_at, Arc::clone(key));
            Record::default()
        })
    }

    /// The attempt that a request repeats which arrived at that Unix time: the key's holder, if that is queued or any attempt
    /// has run, or else the attempt that ran less than a window before. With it the fingerprint that its attempts share.
    pub fn earlier(
        &self,
        key: &str,
        arrived_unix_ms: u64,
        now: Time,
        is_queued: impl Fn(&RequestId) -> bool,
    ) -> Option<(RequestId, Fingerprint)> {
        let record = self.get(key)?;
        let holder = record.holder.as_ref().filter(|holder| holder.until > now).map(|holder| &holder.id);
        let holder = holder.filter(|id| record.run.is_some() || is_queued(id));
        let run = record.run.as_ref().filter(|run| arrived_unix_ms < run.closes_unix_ms);
        holder.or(run.map(|run| &run.id)).map(|id| (id.clone(), record.fingerprint))
    }

    /// Whether any attempt has run, or runs, that a request repeats which arrived at that Unix time.
    pub fn ran(&self, key: &str, arrived_unix_ms: u64) -> bool {
        self.run(key).is_some_and(|run| arrived_unix_ms < run.closes_unix_ms)
    }

    /// Gives a key to an attempt.
    pub fn retain(&mut self, key: &Arc<str>, fingerprint: Fingerprint, id: &RequestId, until: Time) {
        let record = self.entry(key, until);
        record.holder = Some(Holder { id: id.clone(), until });
        record.fingerprint = fingerprint;
    }

    /// Takes a key from an attempt, if that holds it.
    pub fn release(&mut self, key: &str, id: &RequestId) {
        if let Some(record) = self.get_mut(key) {
            record.holder.take_if(|holder| holder.id == *id);
        }
    }

    /// An attempt is run; the window of its run ends at that Unix time.
    pub fn run_started(
        &mut self,
        key: &Arc<str>,
        fingerprint: Fingerprint,
        id: &RequestId,
        closes_unix_ms: u64,
        timestamp: Timestamp,
    ) {
        let window_left = Span(closes_unix_ms.saturating_sub(timestamp.unix_ms).saturating_mul(MS));
        let closes_at = time_after(timestamp.now, window_left);
        let run = Run {
            id: id.clone(),
            closes_unix_ms,
            closes_at,
            outcome: None,
            waiting: Vec::new(),
            retention: None,
        };
        let record = self.entry(key, time_after(closes_at, MAX_READ_DELAY));
        record.fingerprint = fingerprint;
        match record.run.replace(run) {
            // Guards against attempts that get the outcome of another request's run, because their key was used again.
            Some(before) if !before.waiting.is_empty() => record.replaced.push(before),
            before => self.drop_result(before),
        }
    }

    fn drop_result(&mut self, run: Option<Run>) {
        if let Some(retention) = run.and_then(|run| run.retention) {
            self.retained_bytes -= retention.bytes;
        }
    }

    /// Takes over a run of an earlier process. Its window goes on by this process's clocks, as the Unix clock may have been set
    /// between the two.
    pub fn restore(
        &mut self,
        saved: SavedRun,
        timestamp: Timestamp,
        pool: &Arc<crate::buffer_pool::BufferPool>,
    ) {
        let key: Arc<str> = Arc::from(saved.key);
        let id = RequestId::new(&saved.id);
        let closes_unix_ms = timestamp.unix_ms.saturating_add(saved.window_left.0.div_ceil(MS));
        self.run_started(&key, saved.fingerprint, &id, closes_unix_ms, timestamp);
        let outcome = match saved.outcome {
            SavedOutcome::Served(result) => match pool.exact(&result) {
                Some(result) => RunOutcome::Served(Arc::new(result)),
                None => RunOutcome::Failed,
            },
            SavedOutcome::Failed => RunOutcome::Failed,
            SavedOutcome::Unknown => {
                self.recovered_runs.insert(id, key);
                return;
            }
        };
        self.run_ended(&key, &id, Some(outcome));
    }

    /// A run has ended, or with no outcome never started. Returns the attempts that wait for it.
    pub fn run_ended(
        &mut self,
        key: &Arc<str>,
        id: &RequestId,
        outcome: Option<RunOutcome>,
    ) -> Vec<RequestId> {
        let number = self.last_retention + 1;
        let Some(record) = self.get_mut(key) else { return Vec::new() };
        if let Some(place) = record.replaced.iter().position(|run| run.id == *id) {
            // No later attempt can ask for it.
            return record.replaced.swap_remove(place).waiting;
        }
        let Some(run) = record.run.as_mut().filter(|run| run.id == *id) else { return Vec::new() };
        let waiting = std::mem::take(&mut run.waiting);
        let Some(outcome) = outcome else {
            record.run = None;
            return waiting;
        };
        let retention = match &outcome {
            RunOutcome::Served(result) => {
                Some(Retention { number, bytes: result.len() + RESULT_OVERHEAD_BYTES })
            }
            RunOutcome::Failed | RunOutcome::Unknown => None,
        };
        run.retention = retention;
        run.outcome = Some(outcome);
        if let Some(Retention { number, bytes }) = retention {
            self.last_retention = number;
            self.retained_bytes += bytes;
            self.retained.push_back(RetainedResult { key: Arc::clone(key), retention: number });
        }
        while self.retained_bytes > self.max_retained_bytes && self.drop_oldest() {}
        waiting
    }

    /// Drops the oldest retained result, or a stale entry; false if there is neither.
    fn drop_oldest(&mut self) -> bool {
        let Some(oldest) = self.retained.pop_front() else { return false };
        let run = self.get_mut(&oldest.key).and_then(|record| record.run.as_mut());
        let is_retained =
            |run: &&mut Run| run.retention.is_some_and(|retention| retention.number == oldest.retention);
        if let Some(run) = run.filter(is_retained) {
            run.outcome = Some(RunOutcome::Failed);
            let bytes = run.retention.take().map_or(0, |retention| retention.bytes);
            self.retained_bytes -= bytes;
        }
        true
    }

    /// The outcome that a repeat is answered with. Without one its run still goes on, and the repeat waits for that.
    pub fn join(&mut self, key: &str, id: &RequestId) -> Option<RunOutcome> {
        let run = self.get_mut(key).and_then(|record| record.run.as_mut());
        let Some(run) = run else { return Some(RunOutcome::Failed) };
        if run.outcome.is_none() {
            run.waiting.push(id.clone());
        }
        run.outcome.clone()
    }

    /// An attempt is no longer open, and waits for no run. Guards against a later request under its id that would get the
    /// outcome of a run it never asked for.
    pub fn leave(&mut self, key: &str, id: &RequestId) {
        if let Some(record) = self.get_mut(key) {
            for run in record.run.iter_mut().chain(&mut record.replaced) {
                run.waiting.retain(|waiting| waiting != id);
            }
        }
    }

    /// Whether another run of the key was started since this one.
    pub fn is_replaced(&self, key: &str, id: &RequestId) -> bool {
        self.run(key).is_some_and(|run| run.id != *id)
    }

    /// Removes a run of an earlier process from those whose end is unknown; its key.
    pub fn take_recovered_run(&mut self, id: &RequestId) -> Option<Arc<str>> {
        self.recovered_runs.remove(id)
    }

    /// Whether there are runs of an earlier process whose end a processor may still report.
    pub fn awaits_recovered_runs(&self) -> bool {
        !self.recovered_runs.is_empty()
    }

    /// The ends of an earlier process's runs won't be reported any more: they are unknown. Returns the attempts that wait for
    /// them.
    pub fn abandon_recovered_runs(&mut self) -> Vec<RequestId> {
        let recovered_runs = std::mem::take(&mut self.recovered_runs);
        recovered_runs
            .into_iter()
            .flat_map(|(id, key)| self.run_ended(&key, &id, Some(RunOutcome::Unknown)))
            .collect()
    }

    /// What is known of a key's run, for the store.
    pub fn known_run(&self, key: &Arc<str>, now: Time) -> Option<KeyedRun> {
        let record = self.get(key)?;
        let run = record.run.as_ref()?;
        Some(KeyedRun {
            key: Arc::clone(key),
            fingerprint: record.fingerprint,
            id: run.id.clone(),
            window_left: Span(run.closes_at.0.saturating_sub(now.0)),
            outcome: run.outcome.clone(),
        })
    }

    /// All that a later process would need, in the order of the keys: it depends on nothing but what is known.
    pub fn all_known_runs(&self, now: Time) -> Vec<KeyedRun> {
        let keys = self.parts.iter().flat_map(HashMap::keys);
        let mut all: Vec<KeyedRun> = keys.filter_map(|key| self.known_run(key, now)).collect();
        all.sort_by(|a, b| a.key.cmp(&b.key));
        all
    }

    /// Forgets what no attempt can ask for any more, a bounded part of it. Returns whether more may be due.
    pub fn sweep(&mut self, now: Time) -> bool {
        let mut budget = MAX_SWEPT;
        let more = loop {
            match self.due.next_due(now, &mut budget) {
                DueEntry::Entry(key) => self.sweep_key(now, key),
                DueEntry::None => break false,
                DueEntry::Later => break true,
            }
        };
        self.drop_stale_entries();
        more
    }

    fn sweep_key(&mut self, now: Time, key: Arc<str>) {
        let part = &mut self.parts[Self::part(&key)];
        let Some(record) = part.get_mut(&key) else { return };
        record.holder.take_if(|holder| holder.until <= now);
        // Guards against runs whose end never comes: kept for good, they would fill the memory.
        let expired = record.run.take_if(|run| run.expires_at() <= now);
        record.replaced.retain(|run| run.expires_at() > now);
        let holder_until = record.holder.as_ref().map(|holder| holder.until);
        let runs_until = record.run.iter().chain(&record.replaced).map(Run::expires_at);
        match holder_until.into_iter().chain(runs_until).min() {
            Some(sweep_at) => self.due.insert(sweep_at, key),
            None => drop(part.remove(&key)),
        }
        if let Some(run) = &expired {
            self.recovered_runs.remove(&run.id);
        }
        self.drop_result(expired);
    }

    /// Drops stale entries of retained results from the front. They gather only behind one that is not stale; what is swept is
    /// mostly the oldest.
    fn drop_stale_entries(&mut self) {
        while let Some(oldest) = self.retained.front() {
            let retention = self.run(&oldest.key).and_then(|run| run.retention);
            if retention.is_some_and(|retention| retention.number == oldest.retention) {
                break;
            }
            self.retained.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
