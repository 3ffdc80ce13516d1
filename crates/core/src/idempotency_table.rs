//! The table of idempotency keys: the attempt that holds each key, the key's run, and the retained outcome of that run.
//!
//! A [`TimerWheel`] finds entries that no attempt can ask for any more, a limited number at a time, so that no pause
//! grows with the number of keys. For the same reason the table is split into shards: a map that grows moves all its
//! entries. Invariants: a key has at most one run that new attempts find; retained results stay within their memory
//! limit.

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
/// Time for which a run is retained after its window. Attempts that were sent within the window may be read this much
/// later.
pub const MAX_READ_DELAY: Span = Span(30_000 * MS);
/// Additional time for which a run is retained if its end was never reported. No run takes that long.
const MAX_UNREPORTED_RUN: Span = Span(60_000 * MS);
/// Memory of a retained result in addition to its content, in bytes.
const RESULT_OVERHEAD_BYTES: usize = 256;
/// Number of shards. With a million keys, growing one shard moves about 4,000 entries.
const SHARD_COUNT: usize = 256;
/// Maximum number of records and timer slots that one sweep checks.
const MAX_SWEEP_CHECKS: usize = 128;

/// All idempotency keys that attempts may ask for.
#[derive(Debug)]
pub struct IdempotencyTable {
    shards: Vec<HashMap<Arc<str>, Record>>,
    /// One entry for each record, due no later than the time at which part of the record expires.
    due: TimerWheel<Arc<str>>,
    /// Retained results, oldest first. An entry is stale if its result is no longer retained.
    retained: VecDeque<RetainedResult>,
    last_retention: u64,
    retained_bytes: usize,
    /// Maximum memory of retained results, in bytes. Beyond it the oldest result is dropped, and a repeat of its
    /// request fails instead of running again.
    max_retained_bytes: usize,
    /// Runs of an earlier process whose end is unknown, with their keys. A processor that outlived that process may
    /// still report their end.
    recovered_runs: BTreeMap<RequestId, Arc<str>>,
}

/// Reference to a retained result, in the order of retention.
#[derive(Debug)]
struct RetainedResult {
    key: Arc<str>,
    /// Number of the retention, ascending.
    retention: u64,
}

/// Number and memory of a run's retained result.
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

/// State of an idempotency key.
#[derive(Debug, Default)]
struct Record {
    holder: Option<Holder>,
    run: Option<Run>,
    /// Former runs of the key whose windows are over, that still run and that attempts still wait for.
    replaced: Vec<Run>,
    /// Fingerprint of the body and class of all attempts with the key.
    fingerprint: Fingerprint,
}

/// A run under a key.
#[derive(Debug)]
struct Run {
    id: RequestId,
    /// End of the window, in Unix milliseconds. Attempts that arrived before it find the run.
    closes_unix_ms: u64,
    /// End of the window by the monotonic clock.
    closes_at: Time,
    /// `None` while it runs.
    outcome: Option<RunOutcome>,
    /// Open requests that wait for the outcome.
    waiting: Vec<RequestId>,
    /// Set while the result is retained.
    retention: Option<Retention>,
}

impl Run {
    /// Returns when the run is removed from the table.
    fn expires_at(&self) -> Time {
        let late = time_after(self.closes_at, MAX_READ_DELAY);
        if self.outcome.is_some() { late } else { time_after(late, MAX_UNREPORTED_RUN) }
    }
}

impl IdempotencyTable {
    /// Creates an empty table with this memory limit for retained results.
    pub fn new(max_retained_bytes: usize) -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| HashMap::new()).collect(),
            due: TimerWheel::default(),
            retained: VecDeque::new(),
            last_retention: 0,
            retained_bytes: 0,
            max_retained_bytes,
            recovered_runs: BTreeMap::new(),
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard_index(key: &str) -> usize {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        hasher.finish() as usize % SHARD_COUNT
    }

    fn get(&self, key: &str) -> Option<&Record> {
        self.shards[Self::shard_index(key)].get(key)
    }

    fn get_mut(&mut self, key: &str) -> Option<&mut Record> {
        self.shards[Self::shard_index(key)].get_mut(key)
    }

    fn run(&self, key: &str) -> Option<&Run> {
        self.get(key)?.run.as_ref()
    }

    /// Returns the record of a key. A missing record is created, and is first swept at `sweep_at`.
    fn entry(&mut self, key: &Arc<str>, sweep_at: Time) -> &mut Record {
        let due = &mut self.due;
        self.shards[Self::shard_index(key)].entry(Arc::clone(key)).or_insert_with(|| {
            due.insert(sweep_at, Arc::clone(key));
            Record::default()
        })
    }

    /// Returns the attempt that a request repeats, and the fingerprint that its attempts share. `arrived_unix_ms` is
    /// when the request arrived. The attempt is the key's holder, if that is queued or any attempt has run, or else the
    /// attempt whose run's window was still open.
    pub fn earlier_attempt(
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

    /// Whether an attempt that runs or has run answers a request that arrived at `arrived_unix_ms`.
    pub fn has_run(&self, key: &str, arrived_unix_ms: u64) -> bool {
        self.run(key).is_some_and(|run| arrived_unix_ms < run.closes_unix_ms)
    }

    /// Makes an attempt the holder of a key.
    pub fn retain(&mut self, key: &Arc<str>, fingerprint: Fingerprint, id: &RequestId, until: Time) {
        let record = self.entry(key, until);
        record.holder = Some(Holder { id: id.clone(), until });
        record.fingerprint = fingerprint;
    }

    /// Releases a key if the attempt holds it.
    pub fn release(&mut self, key: &str, id: &RequestId) {
        if let Some(record) = self.get_mut(key) {
            record.holder.take_if(|holder| holder.id == *id);
        }
    }

    /// Adds the run of an attempt, with the end of its window in Unix time.
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
            // Guards against attempts that get the outcome of another request's run because their key was reused.
            Some(before) if !before.waiting.is_empty() => record.replaced.push(before),
            before => self.drop_result(before),
        }
    }

    fn drop_result(&mut self, run: Option<Run>) {
        if let Some(retention) = run.and_then(|run| run.retention) {
            self.retained_bytes -= retention.bytes;
        }
    }

    /// Restores a run of an earlier process. The remaining time of its window is applied to this process's clocks,
    /// because the Unix clock may have been set between the two processes.
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

    /// Ends a run; without an `outcome` it never started. Returns the attempts that wait for it.
    pub fn run_ended(
        &mut self,
        key: &Arc<str>,
        id: &RequestId,
        outcome: Option<RunOutcome>,
    ) -> Vec<RequestId> {
        let number = self.last_retention + 1;
        let Some(record) = self.get_mut(key) else { return Vec::new() };
        if let Some(index) = record.replaced.iter().position(|run| run.id == *id) {
            // No later attempt can ask for this run, so its outcome is not retained.
            return record.replaced.swap_remove(index).waiting;
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

    /// Drops the oldest retained result or a stale entry. Returns false if there is neither.
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

    /// Returns the outcome that a repeat is answered with. If the run has not ended, returns `None` and adds the repeat
    /// to those that wait for it.
    pub fn join(&mut self, key: &str, id: &RequestId) -> Option<RunOutcome> {
        let run = self.get_mut(key).and_then(|record| record.run.as_mut());
        let Some(run) = run else { return Some(RunOutcome::Failed) };
        if run.outcome.is_none() {
            run.waiting.push(id.clone());
        }
        run.outcome.clone()
    }

    /// Removes an attempt that is no longer open from those that wait for a run. Guards against a later request that
    /// reuses its id and would get the outcome of a run that it never asked for.
    pub fn remove_waiter(&mut self, key: &str, id: &RequestId) {
        if let Some(record) = self.get_mut(key) {
            for run in record.run.iter_mut().chain(&mut record.replaced) {
                run.waiting.retain(|waiting| waiting != id);
            }
        }
    }

    /// Whether another run of the key was started after this one.
    pub fn is_replaced(&self, key: &str, id: &RequestId) -> bool {
        self.run(key).is_some_and(|run| run.id != *id)
    }

    /// Removes a run of an earlier process from those whose end is unknown, and returns its key.
    pub fn take_recovered_run(&mut self, id: &RequestId) -> Option<Arc<str>> {
        self.recovered_runs.remove(id)
    }

    /// Whether the latest run of a key is of an earlier process, and its end is not known yet.
    pub fn is_recovered_without_end(&self, key: &str) -> bool {
        self.run(key).is_some_and(|run| self.recovered_runs.contains_key(&run.id))
    }

    /// Whether a processor may still report the end of an earlier process's run.
    pub fn awaits_recovered_runs(&self) -> bool {
        !self.recovered_runs.is_empty()
    }

    /// Sets the outcome of all recovered runs without an end to unknown, as no end will be reported any more. Returns
    /// the attempts that wait for them.
    pub fn abandon_recovered_runs(&mut self) -> Vec<RequestId> {
        let recovered_runs = std::mem::take(&mut self.recovered_runs);
        recovered_runs
            .into_iter()
            .flat_map(|(id, key)| self.run_ended(&key, &id, Some(RunOutcome::Unknown)))
            .collect()
    }

    /// Returns the latest run of a key, as the store records it.
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

    /// Returns all runs that a later process would need. They are sorted by key, so that the result depends only on the
    /// content of the table.
    pub fn all_known_runs(&self, now: Time) -> Vec<KeyedRun> {
        let keys = self.shards.iter().flat_map(HashMap::keys);
        let mut all: Vec<KeyedRun> = keys.filter_map(|key| self.known_run(key, now)).collect();
        all.sort_by(|a, b| a.key.cmp(&b.key));
        all
    }

    /// Removes entries that no attempt can ask for any more, a limited number of them. Returns whether more may be due.
    pub fn sweep(&mut self, now: Time) -> bool {
        let mut budget = MAX_SWEEP_CHECKS;
        let more = loop {
            match self.due.next_due(now, &mut budget) {
                DueEntry::Entry(key) => self.sweep_key(now, key),
                DueEntry::None => break false,
                DueEntry::BudgetUsedUp => break true,
            }
        };
        self.drop_stale_entries();
        more
    }

    fn sweep_key(&mut self, now: Time, key: Arc<str>) {
        let shard = &mut self.shards[Self::shard_index(&key)];
        let Some(record) = shard.get_mut(&key) else { return };
        record.holder.take_if(|holder| holder.until <= now);
        // Guards against runs whose end is never reported: retained forever, they would fill the memory.
        let expired = record.run.take_if(|run| run.expires_at() <= now);
        record.replaced.retain(|run| run.expires_at() > now);
        let holder_until = record.holder.as_ref().map(|holder| holder.until);
        let runs_until = record.run.iter().chain(&record.replaced).map(Run::expires_at);
        match holder_until.into_iter().chain(runs_until).min() {
            Some(sweep_at) => self.due.insert(sweep_at, key),
            None => drop(shard.remove(&key)),
        }
        if let Some(run) = &expired {
            self.recovered_runs.remove(&run.id);
        }
        self.drop_result(expired);
    }

    /// Drops stale entries of retained results from the front. Stale entries accumulate only behind an entry that is
    /// not stale, and sweeps remove mostly the oldest runs.
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
