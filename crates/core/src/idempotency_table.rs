//! The table of keyed requests: which try holds a token's entry, what ran under it, and what that run made.
//!
//! What no try can ask for any more is found by a [`TimerWheel`], a bounded part at a time, so that no pause grows with the
//! number of keys. The table is split for the same reason: a map that grows moves all it holds.

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
/// Past its window a run is known for so long: tries sent within the window may be read so much later.
pub const READ_LATE: Span = Span(30_000 * MS);
/// And how much longer where its end never came: no run takes that long.
const ENDLESS: Span = Span(60_000 * MS);
/// What a kept result takes beside its bytes.
const BESIDE: usize = 256;
/// Parts of the table. With a million keys one of them moves some 4,000 when it grows.
const PARTS: usize = 256;
/// Looks at records and slots in one sweep.
const SWEEP: usize = 128;

#[derive(Debug)]
pub struct IdempotencyTable {
    parts: Vec<HashMap<Arc<str>, Record>>,
    /// One entry for each record, not later than the time at which something of it ends.
    due: TimerWheel<Arc<str>>,
    /// Tokens with a kept result and the number of its keeping, oldest first; stale where that result is gone.
    kept: VecDeque<(Arc<str>, u64)>,
    keepings: u64,
    bytes: usize,
    /// Bytes that kept results may take; over that the oldest is dropped, and a repeat of it fails instead of
    /// running again.
    most: usize,
    /// Runs of an earlier life whose end is unknown, with their tokens; a processor that outlived that life may tell.
    unknown: BTreeMap<RequestId, Arc<str>>,
}

#[derive(Debug, Default)]
struct Record {
    /// The try that holds the entry, and until when.
    holder: Option<(RequestId, Time)>,
    run: Option<Run>,
    /// Runs before that one, begun again past their window, that go on and that tries wait for yet.
    replaced: Vec<Run>,
    /// Of the body and the class of its tries.
    print: Fingerprint,
}

#[derive(Debug)]
struct Run {
    id: RequestId,
    /// End of its window, in Unix milliseconds: tries stamped before find it.
    closes_ms: u64,
    /// The end of its window here.
    closes: Time,
    end: Option<RunOutcome>,
    /// Tries to be answered from it; each is open.
    waiters: Vec<RequestId>,
    /// What its kept result takes, and the number of the keeping.
    kept: Option<(usize, u64)>,
}

impl Run {
    /// When it is known no longer.
    fn over(&self) -> Time {
        let late = time_after(self.closes, READ_LATE);
        if self.end.is_some() { late } else { time_after(late, ENDLESS) }
    }
}

impl IdempotencyTable {
    /// An empty table whose results may take so many bytes.
    pub fn new(most: usize) -> Self {
        Self {
            parts: (0..PARTS).map(|_| HashMap::new()).collect(),
            due: TimerWheel::default(),
            kept: VecDeque::new(),
            keepings: 0,
            bytes: 0,
            most,
            unknown: BTreeMap::new(),
        }
    }

    /// Records now.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn part(token: &str) -> usize {
        let mut hasher = DefaultHasher::new();
        token.hash(&mut hasher);
        hasher.finish() as usize % PARTS
    }

    fn get(&self, token: &str) -> Option<&Record> {
        self.parts[Self::part(token)].get(token)
    }

    fn get_mut(&mut self, token: &str) -> Option<&mut Record> {
        self.parts[Self::part(token)].get_mut(token)
    }

    /// The record of a token, made if there is none, and then looked at again at this time.
    fn entry(&mut self, token: &Arc<str>, look: Time) -> &mut Record {
        let due = &mut self.due;
        self.parts[Self::part(token)].entry(Arc::clone(token)).or_insert_with(|| {
            due.insert(look, Arc::clone(token));
            Record::default()
        })
    }

    /// The try that a request stamped `t0` repeats: the one that holds the entry, if it is still held or any
    /// try has run, or else the one that ran less than a window before. With it the print that its tries share.
    pub fn earlier(
        &self,
        token: &str,
        t0: u64,
        now: Time,
        held: impl Fn(&RequestId) -> bool,
    ) -> Option<(RequestId, Fingerprint)> {
        let record = self.get(token)?;
        let holder = record.holder.as_ref().filter(|(_, until)| *until > now).map(|(id, _)| id);
        let holder = holder.filter(|id| record.run.is_some() || held(id));
        let run = record.run.as_ref().filter(|run| t0 < run.closes_ms).map(|run| &run.id);
        holder.or(run).map(|id| (id.clone(), record.print))
    }

    /// Whether any try has run, or runs, that a request stamped `t0` repeats.
    pub fn ran(&self, token: &str, t0: u64) -> bool {
        self.get(token).and_then(|record| record.run.as_ref()).is_some_and(|run| t0 < run.closes_ms)
    }

    /// Gives a token's entry to a try.
    pub fn remember(&mut self, token: &Arc<str>, print: Fingerprint, id: &RequestId, until: Time) {
        let record = self.entry(token, until);
        record.holder = Some((id.clone(), until));
        record.print = print;
    }

    /// Takes the entry out, if this try holds it.
    pub fn release(&mut self, token: &str, id: &RequestId) {
        if let Some(record) = self.get_mut(token) {
            record.holder.take_if(|(holder, _)| holder == id);
        }
    }

    /// A try was begun; its window ends then, in Unix milliseconds.
    pub fn began(
        &mut self,
        token: &Arc<str>,
        print: Fingerprint,
        id: &RequestId,
        closes_ms: u64,
        moment: Timestamp,
    ) {
        let left = Span(closes_ms.saturating_sub(moment.unix_ms).saturating_mul(MS));
        let closes = time_after(moment.now, left);
        let run = Run { id: id.clone(), closes_ms, closes, end: None, waiters: Vec::new(), kept: None };
        let record = self.entry(token, time_after(closes, READ_LATE));
        record.print = print;
        let before = record.run.replace(run);
        match before {
            // Guards against tries that have the end of another request's run, because their token came again.
            Some(before) if !before.waiters.is_empty() => record.replaced.push(before),
            _ => self.drop_result(before),
        }
    }

    fn drop_result(&mut self, run: Option<Run>) {
        if let Some((bytes, _)) = run.and_then(|run| run.kept) {
            self.bytes -= bytes;
        }
    }

    /// Takes over a run of an earlier life. Its window goes on by this life's clocks: between the two, the Unix clock
    /// may have been set.
    pub fn restore(&mut self, past: SavedRun, moment: Timestamp, pool: &Arc<crate::buffer_pool::BufferPool>) {
        let SavedRun { token, print, id, left, end } = past;
        let (token, id): (Arc<str>, _) = (Arc::from(token), RequestId::new(&id));
        let closes_ms = moment.unix_ms.saturating_add(left.0.div_ceil(MS));
        self.began(&token, print, &id, closes_ms, moment);
        let end = match end {
            SavedOutcome::Served(result) => Some(match pool.exact(&result) {
                Some(result) => RunOutcome::Served(Arc::new(result)),
                None => RunOutcome::Failed,
            }),
            SavedOutcome::Failed => Some(RunOutcome::Failed),
            SavedOutcome::Unknown => None,
        };
        match end {
            Some(end) => drop(self.ended(&token, &id, Some(end))),
            None => drop(self.unknown.insert(id, token)),
        }
    }

    /// A run has ended, or with no end was never started; returns the tries that wait for it.
    pub fn ended(&mut self, token: &Arc<str>, id: &RequestId, end: Option<RunOutcome>) -> Vec<RequestId> {
        let (most, keepings) = (self.most, self.keepings + 1);
        let Some(record) = self.get_mut(token) else { return Vec::new() };
        if let Some(place) = record.replaced.iter().position(|run| run.id == *id) {
            // Nobody can ask for it any more.
            return record.replaced.swap_remove(place).waiters;
        }
        let Some(run) = record.run.as_mut().filter(|run| run.id == *id) else { return Vec::new() };
        let waiters = std::mem::take(&mut run.waiters);
        let Some(end) = end else {
            record.run = None;
            return waiters;
        };
        let kept = if let RunOutcome::Served(result) = &end { Some(result.len() + BESIDE) } else { None };
        run.kept = kept.map(|bytes| (bytes, keepings));
        run.end = Some(end);
        if let Some(bytes) = kept {
            self.keepings = keepings;
            self.bytes += bytes;
            self.kept.push_back((Arc::clone(token), keepings));
        }
        while self.bytes > most && self.drop_oldest() {}
        waiters
    }

    /// Drops the oldest kept result, or a stale entry; false if there is neither.
    fn drop_oldest(&mut self) -> bool {
        let Some((oldest, number)) = self.kept.pop_front() else { return false };
        let run = self.get_mut(&oldest).and_then(|record| record.run.as_mut());
        let run = run.filter(|run| run.kept.is_some_and(|(_, kept)| kept == number));
        if let Some((bytes, _)) = run.and_then(|run| {
            run.end = Some(RunOutcome::Failed);
            run.kept.take()
        }) {
            self.bytes -= bytes;
        }
        true
    }

    /// What a repeat is answered with; none if its run still goes on, and then it waits for that.
    pub fn join(&mut self, token: &str, id: &RequestId) -> Option<RunOutcome> {
        let run = self.get_mut(token).and_then(|record| record.run.as_mut());
        let Some(run) = run else { return Some(RunOutcome::Failed) };
        if run.end.is_none() {
            run.waiters.push(id.clone());
        }
        run.end.clone()
    }

    /// A try is open no more, and waits for no run. Guards against a later request under its id that would have the end of
    /// a run it never asked for.
    pub fn leave(&mut self, token: &str, id: &RequestId) {
        if let Some(record) = self.get_mut(token) {
            for run in record.run.iter_mut().chain(&mut record.replaced) {
                run.waiters.retain(|waiter| waiter != id);
            }
        }
    }

    /// Whether another run was begun under the token since this one.
    pub fn is_replaced(&self, token: &str, id: &RequestId) -> bool {
        self.get(token).and_then(|record| record.run.as_ref()).is_some_and(|run| run.id != *id)
    }

    /// The token of a run of an earlier life whose end was unknown until now.
    pub fn learned(&mut self, id: &RequestId) -> Option<Arc<str>> {
        self.unknown.remove(id)
    }

    /// Whether there are runs whose end a processor may still tell.
    pub fn hopes(&self) -> bool {
        !self.unknown.is_empty()
    }

    /// Nobody will tell any more: returns the tries that waited, and the runs.
    pub fn give_up(&mut self) -> Vec<RequestId> {
        let unknown = std::mem::take(&mut self.unknown);
        unknown
            .into_iter()
            .flat_map(|(id, token)| self.ended(&token, &id, Some(RunOutcome::Unknown)))
            .collect()
    }

    /// What is known of a try's run, for the store.
    pub fn known(&self, token: &Arc<str>, now: Time) -> Option<KeyedRun> {
        let record = self.get(token)?;
        let run = record.run.as_ref()?;
        Some(KeyedRun {
            token: Arc::clone(token),
            print: record.print,
            id: run.id.clone(),
            left: Span(run.closes.0.saturating_sub(now.0)),
            end: run.end.clone(),
        })
    }

    /// All that a later life would need, in an order that depends on nothing but what is known.
    pub fn all_known(&self, now: Time) -> Vec<KeyedRun> {
        let tokens = self.parts.iter().flat_map(HashMap::keys);
        let mut all: Vec<KeyedRun> = tokens.filter_map(|token| self.known(token, now)).collect();
        all.sort_by(|a, b| a.token.cmp(&b.token));
        all
    }

    /// Forgets what no try can ask for any more, a bounded part of it; whether more may be due.
    pub fn sweep(&mut self, now: Time) -> bool {
        let mut budget = SWEEP;
        let more = loop {
            let token = match self.due.next_due(now, &mut budget) {
                DueEntry::Entry(token) => token,
                DueEntry::None => break false,
                DueEntry::Later => break true,
            };
            let part = &mut self.parts[Self::part(&token)];
            let Some(record) = part.get_mut(&token) else { continue };
            record.holder.take_if(|(_, until)| *until <= now);
            // Guards against runs whose end never comes: kept for good, they would fill the memory.
            let gone = record.run.take_if(|run| run.over() <= now);
            record.replaced.retain(|run| run.over() > now);
            let holder = record.holder.as_ref().map(|(_, until)| *until);
            let runs = record.run.iter().chain(&record.replaced).map(Run::over);
            let look = holder.into_iter().chain(runs).min();
            match look {
                Some(look) => self.due.insert(look, token),
                None => drop(part.remove(&token)),
            }
            if let Some(run) = &gone {
                self.unknown.remove(&run.id);
            }
            self.drop_result(gone);
        };
        // Stale entries gather only behind one that is not; what is swept is mostly the oldest.
        while let Some((token, number)) = self.kept.front() {
            let run = self.get(token).and_then(|record| record.run.as_ref()).and_then(|run| run.kept);
            if run.is_some_and(|(_, kept)| kept == *number) {
                break;
            }
            self.kept.pop_front();
        }
        more
    }
}

#[cfg(test)]
mod tests;
