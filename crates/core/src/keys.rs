//! The table of keyed requests: which try holds a token's entry, what ran under it, and what that run made.

use crate::pool::Buffer;
use gradepin_decisions::{RequestId, Time};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Milliseconds past its window that a run is known: tries sent within the window may be read so much later.
const READ_LATE_MS: u64 = 30_000;
/// And how much longer where its end never came: no run takes that long.
const ENDLESS_MS: u64 = 60_000;
/// What a kept result takes beside its bytes.
const BESIDE: usize = 256;

#[derive(Debug, Default)]
pub struct Keys {
    records: HashMap<Arc<str>, Record>,
    /// Tokens with a kept result, oldest first, and what it takes.
    kept: VecDeque<(Arc<str>, usize)>,
    bytes: usize,
    /// Bytes that kept results may take; over that the oldest is dropped, and a repeat of it fails instead of
    /// running again.
    most: usize,
}

#[derive(Debug, Default)]
struct Record {
    /// The try that holds the entry, and until when.
    holder: Option<(RequestId, Time)>,
    run: Option<Run>,
    /// Tries to be answered from the run.
    waiters: Vec<RequestId>,
    /// Of the body and the class of its tries.
    print: Print,
}

/// Tells requests under one token apart: all tries of one request have the same body and class.
pub type Print = u64;

#[derive(Debug)]
struct Run {
    id: RequestId,
    /// End of its window, in Unix milliseconds.
    closes_ms: u64,
    end: Option<End>,
}

/// How a run ended, for its repeats.
#[derive(Debug, Clone)]
pub enum End {
    /// With this result.
    Served(Arc<Buffer>),
    /// Without one, or it is no longer kept.
    Failed,
}

impl Keys {
    /// An empty table whose results may take so many bytes.
    pub fn new(most: usize) -> Self {
        Self { most, ..Self::default() }
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
        let record = self.records.get(token)?;
        let holder = record.holder.as_ref().filter(|(_, until)| *until > now).map(|(id, _)| id);
        let holder = holder.filter(|id| record.run.is_some() || held(id));
        let run = record.run.as_ref().filter(|run| t0 < run.closes_ms).map(|run| &run.id);
        holder.or(run).map(|id| (id.clone(), record.print))
    }

    /// Gives a token's entry to a try.
    pub fn remember(&mut self, token: &Arc<str>, print: Print, id: &RequestId, until: Time) {
        let record = self.records.entry(Arc::clone(token)).or_default();
        record.holder = Some((id.clone(), until));
        record.print = print;
    }

    /// Takes the entry out, if this try holds it.
    pub fn release(&mut self, token: &str, id: &RequestId) {
        if let Some(record) = self.records.get_mut(token) {
            record.holder.take_if(|(holder, _)| holder == id);
        }
    }

    /// A try was begun.
    pub fn began(&mut self, token: &Arc<str>, print: Print, id: &RequestId, closes_ms: u64) {
        let record = self.records.entry(Arc::clone(token)).or_default();
        record.run = Some(Run { id: id.clone(), closes_ms, end: None });
        record.print = print;
    }

    /// A run has ended, or with no end was never started; returns the tries that wait for it.
    pub fn ended(&mut self, token: &Arc<str>, id: &RequestId, end: Option<End>) -> Vec<RequestId> {
        let Some(record) = self.records.get_mut(token) else { return Vec::new() };
        let Some(run) = record.run.as_mut().filter(|run| run.id == *id) else { return Vec::new() };
        let waiters = std::mem::take(&mut record.waiters);
        match end {
            None => record.run = None,
            Some(end) => {
                if let End::Served(result) = &end {
                    let bytes = result.len() + BESIDE;
                    self.bytes += bytes;
                    self.kept.push_back((Arc::clone(token), bytes));
                }
                run.end = Some(end);
            }
        }
        while self.bytes > self.most {
            let Some((oldest, bytes)) = self.kept.pop_front() else { break };
            self.bytes -= bytes;
            let run = self.records.get_mut(&oldest).and_then(|record| record.run.as_mut());
            if let Some(run) = run.filter(|run| run.end.is_some()) {
                run.end = Some(End::Failed);
            }
        }
        waiters
    }

    /// What a repeat is answered with; none if its run still goes on, and then it waits for that.
    pub fn join(&mut self, token: &str, id: &RequestId) -> Option<End> {
        let Some(record) = self.records.get_mut(token) else { return Some(End::Failed) };
        let Some(run) = &record.run else { return Some(End::Failed) };
        if run.end.is_none() {
            record.waiters.push(id.clone());
        }
        run.end.clone()
    }

    /// Forgets what no try can ask for any more.
    pub fn sweep(&mut self, now: Time, unix_ms: u64) {
        self.records.retain(|_, record| {
            record.holder.take_if(|(_, until)| *until <= now);
            // Guards against runs whose end never comes: kept for good, they would fill the memory.
            let late = |run: &Run| READ_LATE_MS + if run.end.is_some() { 0 } else { ENDLESS_MS };
            record.run.take_if(|run| run.closes_ms.saturating_add(late(run)) <= unix_ms);
            record.holder.is_some() || record.run.is_some()
        });
        let records = &self.records;
        let bytes = &mut self.bytes;
        self.kept.retain(|(token, size)| {
            let kept = records.get(token).is_some_and(|record| record.run.is_some());
            *bytes -= if kept { 0 } else { *size };
            kept
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::pool::Pool;

    fn run(keys: &mut Keys, n: usize, end: Option<End>) {
        let (token, id) = (Arc::from(format!("t{n}")), RequestId::new(&format!("r{n}")));
        keys.remember(&token, 0, &id, Time(9));
        keys.began(&token, 0, &id, 9_000);
        if end.is_some() {
            keys.ended(&token, &id, end);
        }
    }

    /// Guards against runs whose end never comes: their records stayed for good.
    #[test]
    fn nothing_is_kept_for_ever() {
        let mut keys = Keys::new(10_000);
        run(&mut keys, 1, None);
        run(&mut keys, 2, Pool::new(0).exact(b"out").map(|result| End::Served(Arc::new(result))));
        keys.sweep(Time(10), 9_000 + READ_LATE_MS);
        assert!(keys.records.len() == 1 && keys.bytes == 0 && keys.kept.is_empty());
        keys.sweep(Time(10), 9_000 + READ_LATE_MS + ENDLESS_MS);
        assert!(keys.records.is_empty());
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
}
