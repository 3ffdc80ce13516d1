//! What of the keyed requests must be durable, and when: the order of intent, run, end and answer, and what is done when a
//! disk doesn't keep up or fails. No I/O: records leave as effects, and what became of them is told.
//!
//! A keyed request's intent is written before its run is begun, and its end after it. An intent that is not durable in
//! time is refused as never run, and a record behind it says so. While the store can't be trusted, keyed requests that
//! no earlier run answers are refused with a time to come back; all others are served. The way back is always the same: all that
//! is known is written anew, and counts once that is durable.

use crate::buffer_pool::Buffer;
use crate::keyed_run::{KeyedRun, RunOutcome};
pub use crate::keyed_run::{SavedOutcome, SavedRun};
use crate::timestamp::Timestamp;
use gradepin_admission::{RequestId, Span, Time, time_after};
use std::collections::VecDeque;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Batches that may be on their way before intents are refused: what waits for a disk is bounded.
const MOST_BATCHES: usize = 1024;
/// Intents that may wait.
const MOST_WAITING: usize = 4096;
/// Between tries to write all anew, doubled with each that fails, up to a bound.
const AGAIN: Span = Span(1_000 * MS);
const MOST_AGAIN: Span = Span(8_000 * MS);
/// A store that has been good for so long has come back for good.
const STEADY: Span = Span(10_000 * MS);
/// Advice while the store is only late, or is still read.
const SOON: Span = Span(100 * MS);

/// A record for the store.
#[derive(Debug, Clone)]
pub enum LogRecord {
    /// A try will be begun.
    Intent {
        /// What all tries share.
        token: Arc<str>,
        /// Of body and class.
        print: u64,
        /// The try.
        id: RequestId,
        /// What is left of its window.
        left: Span,
    },
    /// What is known of a run at its end, or when all is written anew.
    Known {
        /// What all tries share.
        token: Arc<str>,
        /// Of body and class.
        print: u64,
        /// The try.
        id: RequestId,
        /// What is left of its window.
        left: Span,
        /// The result, or none if it failed.
        result: Option<Arc<Buffer>>,
    },
    /// The intent before this one came to nothing: the try never ran.
    Void {
        /// What all tries share.
        token: Arc<str>,
        /// The try.
        id: RequestId,
    },
}

/// What a store held.
#[derive(Debug, Clone, Default)]
pub struct RecoveredRuns {
    /// The runs whose windows may be open, in the order of their tokens.
    pub past: Vec<SavedRun>,
    /// The key of all prints in this store.
    pub salt: u64,
    /// If something that was durable can't be read: any token may have run, for so long.
    pub doubt: Option<Span>,
    /// What was found, for the log.
    pub notes: Vec<String>,
}

/// Whether the store can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreHealth {
    /// There is none: nothing survives this process.
    Off,
    /// It is still read.
    Opening,
    /// It is.
    Good,
    /// Something in it can't be read: until its time is over, any token may have run.
    Incomplete,
    /// It can't.
    Down,
}

impl StoreHealth {
    /// In a word, for health checks and a registry.
    pub fn word(self) -> Option<&'static str> {
        match self {
            Self::Off => None,
            Self::Opening => Some("opening"),
            Self::Good => Some("good"),
            Self::Incomplete => Some("doubtful"),
            Self::Down => Some("down"),
        }
    }
}

#[derive(Debug)]
enum State {
    Off,
    Opening,
    Good,
    /// Until when the next try to write all anew waits, how long the one after it would, and the number of the one that
    /// is under way.
    Down {
        next: Time,
        pause: Span,
        under_way: Option<u64>,
    },
}

/// A batch of records that leaves with a step.
#[derive(Debug)]
pub enum RecordBatch {
    /// To be added.
    Append(Vec<LogRecord>),
    /// All that is known, to be written anew; what was before counts no more once this is durable.
    Rewrite(Vec<LogRecord>),
}

/// The ledger of one server.
#[derive(Debug)]
pub struct IdempotencyLog {
    state: State,
    /// How long an intent may take to become durable.
    patience: Span,
    doubtful_until: Option<Time>,
    /// When it last came back, and the pause that came before.
    back: Option<(Time, Span)>,
    /// The last batch that left, and those under way with their times.
    last: u64,
    under_way: VecDeque<(u64, Time)>,
    batch: Vec<LogRecord>,
    /// Tries whose intent waits, with the batch that holds it.
    waiting: VecDeque<(u64, RequestId, Time)>,
    notes: Vec<(bool, String)>,
}

impl IdempotencyLog {
    /// For a server without a store.
    pub fn off() -> Self {
        Self::new(State::Off, Span(0))
    }

    /// For a server with a store that is being opened.
    pub fn opening(patience: Span) -> Self {
        Self::new(State::Opening, patience)
    }

    fn new(state: State, patience: Span) -> Self {
        Self {
            state,
            patience,
            doubtful_until: None,
            back: None,
            last: 0,
            under_way: VecDeque::new(),
            batch: Vec::new(),
            waiting: VecDeque::new(),
            notes: Vec::new(),
        }
    }

    /// Whether there is a store.
    pub fn is_on(&self) -> bool {
        !matches!(self.state, State::Off)
    }

    /// Whether it can be relied on.
    pub fn standing(&self, now: Time) -> StoreHealth {
        match &self.state {
            State::Off => StoreHealth::Off,
            State::Opening => StoreHealth::Opening,
            State::Good if self.doubtful_until.is_some_and(|until| until > now) => StoreHealth::Incomplete,
            State::Good => StoreHealth::Good,
            State::Down { .. } => StoreHealth::Down,
        }
    }

    /// If a keyed request that no earlier run answers must be turned away now: when to come back.
    pub fn refuses(&self, now: Time) -> Option<Span> {
        match &self.state {
            State::Off => None,
            State::Opening => Some(SOON),
            State::Good => {
                let doubt = self.doubtful_until.filter(|until| *until > now);
                let full = self.under_way.len() >= MOST_BATCHES || self.waiting.len() >= MOST_WAITING;
                doubt.map(|until| Span(until.0 - now.0)).or(full.then_some(SOON))
            }
            State::Down { next, pause, .. } => Some(Span(next.0.saturating_sub(now.0).max(pause.0 / 2))),
        }
    }

    /// A try is to run once its intent is durable; false if it can't be written, and then it must be turned away.
    pub fn intent(&mut self, now: Time, known: KeyedRun) -> bool {
        if self.refuses(now).is_some() {
            return false;
        }
        let KeyedRun { token, print, id, left, .. } = known;
        self.waiting.push_back((self.last + 1, id.clone(), now));
        self.batch.push(LogRecord::Intent { token, print, id, left });
        true
    }

    /// A run has ended.
    pub fn end(&mut self, known: KeyedRun) {
        // Where the store is down, this goes out when all is written anew.
        if matches!(self.state, State::Good)
            && let Some(record) = known_record(known)
        {
            self.batch.push(record);
        }
    }

    /// A try whose intent was given here never ran.
    pub fn void(&mut self, token: &Arc<str>, id: &RequestId) {
        if matches!(self.state, State::Good) {
            self.batch.push(LogRecord::Void { token: Arc::clone(token), id: id.clone() });
        }
    }

    /// The store was opened and read.
    pub fn recovered(&mut self, now: Time, recovered: &RecoveredRuns) {
        self.state = State::Good;
        self.doubtful_until = recovered.doubt.map(|doubt| time_after(now, doubt));
        self.notes.extend(recovered.notes.iter().map(|note| (recovered.doubt.is_some(), note.clone())));
        let count = recovered.past.len();
        self.notes.push((false, format!("the store is open, with {count} runs of an earlier life")));
    }

    /// Tries whose intent is not durable yet.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// All batches up to this one are durable; returns the tries that may begin, in their order.
    pub fn persisted(&mut self, now: Time, upto: u64) -> Vec<RequestId> {
        self.under_way.retain(|(number, _)| *number > upto);
        match &mut self.state {
            State::Good => {
                let free = self.waiting.partition_point(|(batch, ..)| *batch <= upto);
                self.waiting.drain(..free).map(|(_, id, _)| id).collect()
            }
            State::Down { under_way: Some(anew), pause, .. } if *anew <= upto => {
                self.back = Some((now, *pause));
                self.state = State::Good;
                self.notes.push((false, "the store is back: all that is known was written anew".into()));
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// What was written up to this batch can't be relied on, and nothing after it was; returns the tries to be turned away.
    pub fn failed(&mut self, now: Time, upto: u64, why: &str) -> Vec<RequestId> {
        self.under_way.retain(|(number, _)| *number > upto);
        match &mut self.state {
            State::Off => Vec::new(),
            // It could not be opened, or is not open yet: the shell goes on trying.
            State::Opening => {
                self.notes.push((true, format!("the store can't be opened: {why}")));
                Vec::new()
            }
            State::Good => {
                self.notes.push((true, format!("the store has failed, keyed requests are refused: {why}")));
                self.down(now)
            }
            State::Down { next, pause, under_way } => {
                if under_way.take_if(|number| *number <= upto).is_some() {
                    *pause = Span((pause.0 * 2).min(MOST_AGAIN.0));
                    *next = time_after(now, *pause);
                    self.notes.push((true, format!("the store is still down: {why}")));
                }
                Vec::new()
            }
        }
    }

    fn down(&mut self, now: Time) -> Vec<RequestId> {
        // A disk that falls again soon is given longer each time: it would else go to and fro at every save.
        let again = self.back.filter(|(at, _)| time_after(*at, STEADY) > now);
        let pause = again.map_or(AGAIN, |(_, before)| Span((before.0 * 2).min(MOST_AGAIN.0)));
        self.state = State::Down { next: time_after(now, pause), pause, under_way: None };
        self.batch.clear();
        self.waiting.drain(..).map(|(_, id, _)| id).collect()
    }

    /// Looks at what has taken too long; returns the tries to be turned away.
    pub fn overdue(&mut self, now: Time) -> Vec<RequestId> {
        let late = |since: Time| time_after(since, self.patience) <= now;
        if matches!(self.state, State::Good) && self.under_way.front().is_some_and(|(_, since)| late(*since))
        {
            let text =
                format!("the store takes over {} ms, keyed requests are refused", self.patience.0 / MS);
            self.notes.push((true, text));
            return self.down(now);
        }
        Vec::new()
    }

    /// What leaves with this step, with its number. `all` is asked for when all must be written anew.
    pub fn take(
        &mut self,
        moment: Timestamp,
        all: impl FnOnce() -> Vec<KeyedRun>,
    ) -> Option<(u64, RecordBatch)> {
        let batch = match &mut self.state {
            State::Good if !self.batch.is_empty() => RecordBatch::Append(std::mem::take(&mut self.batch)),
            // One at a time: behind a sync that never returns a second one would only wait too.
            State::Down { next, under_way: under_way @ None, .. } if *next <= moment.now => {
                *under_way = Some(self.last + 1);
                RecordBatch::Rewrite(all().into_iter().filter_map(anew).collect())
            }
            _ => return None,
        };
        self.last += 1;
        self.under_way.push_back((self.last, moment.now));
        Some((self.last, batch))
    }

    /// When something is due though nothing comes in.
    pub fn wake_at(&self) -> Option<Time> {
        match &self.state {
            State::Good => self.under_way.front().map(|(_, since)| time_after(*since, self.patience)),
            State::Down { next, under_way: None, .. } => Some(*next),
            _ => None,
        }
    }

    /// What is to be told, and whether it is bad.
    pub fn notes(&mut self) -> Vec<(bool, String)> {
        std::mem::take(&mut self.notes)
    }
}

/// The record of a run that has ended.
fn known_record(known: KeyedRun) -> Option<LogRecord> {
    let KeyedRun { token, print, id, left, end } = known;
    let result = match end {
        Some(RunOutcome::Served(result)) => Some(result),
        Some(RunOutcome::Failed) => None,
        // Nothing is known that the intent doesn't say.
        Some(RunOutcome::Unknown) | None => return None,
    };
    Some(LogRecord::Known { token, print, id, left, result })
}

/// The record of a run when all is written anew: one without an end may have run, and stays an intent.
fn anew(known: KeyedRun) -> Option<LogRecord> {
    let KeyedRun { token, print, id, left, end } = &known;
    match end {
        Some(RunOutcome::Unknown) | None => {
            Some(LogRecord::Intent { token: Arc::clone(token), print: *print, id: id.clone(), left: *left })
        }
        _ => known_record(known),
    }
}

#[cfg(test)]
mod tests;
