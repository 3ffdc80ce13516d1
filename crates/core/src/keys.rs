//! The table of keyed requests: which try holds a token's entry, what ran under it, and what that run made.
//!
//! What no try can ask for any more is found by a [`Wheel`], a bounded part at a time, so that no pause grows with the
//! number of keys. The table is split for the same reason: a map that grows moves all it holds.

use crate::moment::Moment;
pub use crate::records::{End, Known, Print};
use crate::records::{Past, PastEnd};
use crate::wheel::{Due, Wheel};
use gradepin_decisions::{RequestId, Span, Time, after};
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
pub struct Keys {
    parts: Vec<HashMap<Arc<str>, Record>>,
    /// One entry for each record, not later than the time at which something of it ends.
    due: Wheel<Arc<str>>,
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
    /// Tries to be answered from the run; each is open and joined to it.
    waiters: Vec<RequestId>,
    /// Of the body and the class of its tries.
    print: Print,
}

#[derive(Debug)]
struct Run {
    id: RequestId,
    /// End of its window, in Unix milliseconds: tries stamped before find it.
    closes_ms: u64,
    /// The end of its window here.
    closes: Time,
    end: Option<End>,
    /// What its kept result takes, and the number of the keeping.
    kept: Option<(usize, u64)>,
}

impl Run {
    /// When it is known no longer.
    fn over(&self) -> Time {
        let late = after(self.closes, READ_LATE);
        if self.end.is_some() { late } else { after(late, ENDLESS) }
    }
}

impl Keys {
    /// An empty table whose results may take so many bytes.
    pub fn new(most: usize) -> Self {
        Self {
            parts: (0..PARTS).map(|_| HashMap::new()).collect(),
            due: Wheel::default(),
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
    ) -> Option<(RequestId, Print)> {
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
    pub fn remember(&mut self, token: &Arc<str>, print: Print, id: &RequestId, until: Time) {
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
    pub fn began(&mut self, token: &Arc<str>, print: Print, id: &RequestId, closes_ms: u64, moment: Moment) {
        let left = Span(closes_ms.saturating_sub(moment.unix_ms).saturating_mul(MS));
        let closes = after(moment.now, left);
        let run = Run { id: id.clone(), closes_ms, closes, end: None, kept: None };
        let record = self.entry(token, after(closes, READ_LATE));
        record.print = print;
        let before = record.run.replace(run);
        self.drop_result(before);
    }

    fn drop_result(&mut self, run: Option<Run>) {
        if let Some((bytes, _)) = run.and_then(|run| run.kept) {
            self.bytes -= bytes;
        }
    }

    /// Takes over a run of an earlier life. Its window goes on by this life's clocks: between the two, the Unix clock
    /// may have been set.
    pub fn restore(&mut self, past: Past, moment: Moment, pool: &Arc<crate::pool::Pool>) {
        let Past { token, print, id, left, end } = past;
        let (token, id): (Arc<str>, _) = (Arc::from(token), RequestId::new(&id));
        let closes_ms = moment.unix_ms.saturating_add(left.0.div_ceil(MS));
        self.began(&token, print, &id, closes_ms, moment);
        let end = match end {
            PastEnd::Served(result) => Some(match pool.exact(&result) {
                Some(result) => End::Served(Arc::new(result)),
                None => End::Failed,
            }),
            PastEnd::Failed => Some(End::Failed),
            PastEnd::None => None,
        };
        match end {
            Some(end) => drop(self.ended(&token, &id, Some(end))),
            None => drop(self.unknown.insert(id, token)),
        }
    }

    /// A run has ended, or with no end was never started; returns the tries that wait for it.
    pub fn ended(&mut self, token: &Arc<str>, id: &RequestId, end: Option<End>) -> Vec<RequestId> {
        let (most, keepings) = (self.most, self.keepings + 1);
        let Some(record) = self.get_mut(token) else { return Vec::new() };
        let Some(run) = record.run.as_mut().filter(|run| run.id == *id) else { return Vec::new() };
        let waiters = std::mem::take(&mut record.waiters);
        let Some(end) = end else {
            record.run = None;
            return waiters;
        };
        let kept = if let End::Served(result) = &end { Some(result.len() + BESIDE) } else { None };
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
            run.end = Some(End::Failed);
            run.kept.take()
        }) {
            self.bytes -= bytes;
        }
        true
    }

    /// What a repeat is answered with; none if its run still goes on, and then it waits for that.
    pub fn join(&mut self, token: &str, id: &RequestId) -> Option<End> {
        let Some(record) = self.get_mut(token) else { return Some(End::Failed) };
        let Some(run) = &record.run else { return Some(End::Failed) };
        if run.end.is_none() {
            record.waiters.push(id.clone());
        }
        run.end.clone()
    }

    /// A repeat waits no longer for the run of its token. Guards against its id: that may come again for another token,
    /// and the request would be answered from this one's run.
    pub fn leave(&mut self, token: &str, id: &RequestId) {
        if let Some(record) = self.get_mut(token) {
            record.waiters.retain(|waiter| waiter != id);
        }
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
        unknown.into_iter().flat_map(|(id, token)| self.ended(&token, &id, Some(End::Unknown))).collect()
    }

    /// What is known of a try's run, for the store.
    pub fn known(&self, token: &Arc<str>, now: Time) -> Option<Known> {
        let record = self.get(token)?;
        let run = record.run.as_ref()?;
        Some(Known {
            token: Arc::clone(token),
            print: record.print,
            id: run.id.clone(),
            left: Span(run.closes.0.saturating_sub(now.0)),
            end: run.end.clone(),
        })
    }

    /// All that a later life would need, in an order that depends on nothing but what is known.
    pub fn all_known(&self, now: Time) -> Vec<Known> {
        let tokens = self.parts.iter().flat_map(HashMap::keys);
        let mut all: Vec<Known> = tokens.filter_map(|token| self.known(token, now)).collect();
        all.sort_by(|a, b| a.token.cmp(&b.token));
        all
    }

    /// Forgets what no try can ask for any more, a bounded part of it; whether more may be due.
    pub fn sweep(&mut self, now: Time) -> bool {
        let mut budget = SWEEP;
        let more = loop {
            let token = match self.due.next_due(now, &mut budget) {
                Due::Entry(token) => token,
                Due::None => break false,
                Due::Later => break true,
            };
            let part = &mut self.parts[Self::part(&token)];
            let Some(record) = part.get_mut(&token) else { continue };
            record.holder.take_if(|(_, until)| *until <= now);
            // Guards against runs whose end never comes: kept for good, they would fill the memory.
            let gone = record.run.take_if(|run| run.over() <= now);
            let holder = record.holder.as_ref().map(|(_, until)| *until);
            let run = record.run.as_ref().map(Run::over);
            let look = [holder, run].into_iter().flatten().min();
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
mod tests {
    use super::*;
    use crate::pool::Pool;

    fn at(ms: u64) -> Moment {
        Moment { now: Time(ms * MS), unix_ms: 1_000_000 + ms }
    }

    fn run(keys: &mut Keys, n: usize, end: Option<End>) {
        let (token, id) = (Arc::from(format!("t{n}")), RequestId::new(&format!("r{n}")));
        keys.remember(&token, 0, &id, Time(9));
        keys.began(&token, 0, &id, 1_009_000, at(0));
        if end.is_some() {
            keys.ended(&token, &id, end);
        }
    }

    fn sweep(keys: &mut Keys, now: Time) {
        while keys.sweep(now) {}
    }

    /// Guards against runs whose end never comes: their records stayed for good.
    #[test]
    fn nothing_is_kept_for_ever() {
        let mut keys = Keys::new(10_000);
        run(&mut keys, 1, None);
        run(&mut keys, 2, Pool::new(0).exact(b"out").map(|result| End::Served(Arc::new(result))));
        let late = after(Time(9_000 * MS), Span(READ_LATE.0 + crate::wheel::TICK.0));
        sweep(&mut keys, late);
        assert!(keys.len() == 1 && keys.bytes == 0 && keys.kept.is_empty());
        sweep(&mut keys, after(late, ENDLESS));
        assert!(keys.is_empty() && keys.parts.iter().all(HashMap::is_empty));
    }

    /// Guards against kept results that fill the memory. The oldest goes, and its repeats fail.
    #[test]
    fn results_take_no_more_than_they_may() {
        let mut keys = Keys::new(2 * (1000 + BESIDE));
        for n in 1..=3 {
            run(&mut keys, n, Pool::new(0).exact(&[7; 1000]).map(|result| End::Served(Arc::new(result))));
        }
        assert!(keys.bytes <= keys.most);
        let mut join = |n: usize| keys.join(&format!("t{n}"), &RequestId::new("again"));
        assert!(matches!(join(1), Some(End::Failed)));
        assert!(matches!(join(3), Some(End::Served(result)) if result.len() == 1000));
    }

    /// Guards against a window that a set clock shortens: a run of an earlier life is found for what was left of its
    /// window, though the Unix clock says now that it is long past, or far ahead.
    #[test]
    fn a_restored_window_goes_by_the_time_that_was_left() {
        let past = |n: u64, end| Past {
            token: format!("t{n}"),
            print: n,
            id: format!("{n:016x}"),
            left: Span(8_000 * MS),
            end,
        };
        for unix_ms in [5, 1_000_000, 9_000_000_000] {
            let (mut keys, pool) = (Keys::new(10_000), Pool::new(0));
            let moment = Moment { now: Time(77 * MS), unix_ms };
            keys.restore(past(1, PastEnd::Served(b"out".to_vec())), moment, &pool);
            keys.restore(past(2, PastEnd::None), moment, &pool);
            assert!(keys.ran("t1", unix_ms + 7_999) && !keys.ran("t1", unix_ms + 8_000));
            assert!(matches!(keys.join("t1", &RequestId::new("x")), Some(End::Served(_))));
            assert!(keys.join("t2", &RequestId::new("y")).is_none(), "the processor may still tell");
            assert_eq!(keys.give_up(), [RequestId::new("y")]);
            assert!(matches!(keys.join("t2", &RequestId::new("z")), Some(End::Unknown)));
        }
    }

    /// Guards against a run that is left out when all is written anew, whatever its token: it would run again after a crash.
    #[test]
    fn all_that_is_known_is_told() {
        let mut keys = Keys::new(10_000);
        run(&mut keys, 1, Some(End::Failed));
        keys.began(&Arc::from(""), 0, &RequestId::new("r"), 1_009_000, at(0));
        let told: Vec<_> = keys.all_known(Time(0)).into_iter().map(|known| known.token).collect();
        assert_eq!(told, [Arc::from(""), Arc::from("t1")]);
    }

    /// Guards against a sweep that looks at everything: a million keys, of which few are due, cost it no more looks.
    #[test]
    fn a_sweep_is_bounded() {
        let mut keys = Keys::new(10_000);
        for n in 0..100_000 {
            run(&mut keys, n, Some(End::Failed));
        }
        let late = after(Time(9_000 * MS), Span(READ_LATE.0 + crate::wheel::TICK.0));
        let mut sweeps = 1;
        while keys.sweep(late) {
            sweeps += 1;
        }
        assert!(keys.is_empty() && sweeps >= 100_000 / SWEEP, "{sweeps}");
    }
}
