//! The log of keyed runs, which outlives the process: what must be durable, and when. It decides what is written; the records
//! leave with effects, and the shell's store writes them.
//!
//! The intent of a keyed run is durable before the run is sent to the processor; its outcome is written after it. A request
//! whose intent is not durable in time is rejected as never run, and a record says so. While the store can't be relied on,
//! keyed requests are rejected with a time to retry after, unless the outcome of an earlier attempt answers them; all others
//! are served. The store recovers in one way: all that is known is written anew, and counts once that is durable.

use crate::buffer_pool::Buffer;
use crate::keyed_run::{KeyedRun, RunOutcome};
pub use crate::keyed_run::{SavedOutcome, SavedRun};
use crate::timestamp::Timestamp;
use gradepin_admission::{RequestId, Span, Time, time_after};
use std::collections::VecDeque;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Batches in flight, past which keyed requests are rejected.
const MAX_BATCHES_IN_FLIGHT: usize = 1024;
/// Intents that are not durable yet, past which keyed requests are rejected.
const MAX_WAITING_INTENTS: usize = 4096;
/// Between attempts to write all anew; doubled with each that fails, up to [`MAX_RETRY_PAUSE`].
const FIRST_RETRY_PAUSE: Span = Span(1_000 * MS);
const MAX_RETRY_PAUSE: Span = Span(8_000 * MS);
/// A store that fails sooner than this after it recovered is paused for twice as long as before.
const STABLE_AFTER: Span = Span(10_000 * MS);
/// Advised wait while the store is only late, or is still read.
const SHORT_RETRY_AFTER: Span = Span(100 * MS);

/// A record for the store.
#[derive(Debug, Clone)]
pub enum LogRecord {
    /// An attempt will be run.
    Intent {
        /// Idempotency key that all attempts share.
        key: Arc<str>,
        /// Fingerprint of its body and class.
        fingerprint: u64,
        /// The attempt.
        id: RequestId,
        /// What is left of its window.
        window_left: Span,
    },
    /// The outcome of a run, when it ends or when all is written anew.
    Outcome {
        /// Idempotency key that all attempts share.
        key: Arc<str>,
        /// Fingerprint of its body and class.
        fingerprint: u64,
        /// The attempt that ran.
        id: RequestId,
        /// What is left of its window.
        window_left: Span,
        /// The result, or none if it failed.
        result: Option<Arc<Buffer>>,
    },
    /// The attempt of an earlier intent never ran.
    Void {
        /// Idempotency key that all attempts share.
        key: Arc<str>,
        /// The attempt.
        id: RequestId,
    },
}

/// What a store held when it was opened.
#[derive(Debug, Clone, Default)]
pub struct RecoveredRuns {
    /// The runs whose windows may be open, in the order of their keys.
    pub runs: Vec<SavedRun>,
    /// Key of all fingerprints in this store.
    pub salt: u64,
    /// Set if something that was durable can't be read: any key may have run, for so long.
    pub incomplete_for: Option<Span>,
    /// What was found, for the log.
    pub notes: Vec<String>,
}

/// Whether the store can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreHealth {
    /// There is no store: nothing survives this process.
    Off,
    /// It is still being read.
    Opening,
    /// It can.
    Good,
    /// Something in it can't be read: until its windows are over, any key may have run.
    Incomplete,
    /// It can't.
    Down,
}

impl StoreHealth {
    /// In a word, for health checks and a registry; none without a store.
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

/// A batch of records that leaves with a step.
#[derive(Debug)]
pub enum RecordBatch {
    /// Records to be appended.
    Append(Vec<LogRecord>),
    /// All that is known, to be written anew. It replaces what was written before once it is durable.
    Rewrite(Vec<LogRecord>),
}

/// A batch with its number.
#[derive(Debug)]
pub struct NumberedBatch {
    /// From 1 and without gaps.
    pub number: u64,
    /// The records.
    pub batch: RecordBatch,
}

/// A line for the process's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogNote {
    /// Whether operators should look at it.
    pub is_error: bool,
    /// The line.
    pub text: String,
}

/// How far the store is.
#[derive(Debug)]
enum StoreState {
    /// There is none.
    Off,
    /// It is being read.
    Opening,
    /// It takes records.
    Good,
    /// It has failed, and all is to be written anew.
    Down {
        /// When the next attempt starts.
        next_attempt_at: Time,
        /// The pause before that attempt.
        pause: Span,
        /// The batch of the attempt that is in flight.
        in_flight: Option<u64>,
    },
}

/// A batch that was handed to the store.
#[derive(Debug)]
struct BatchInFlight {
    number: u64,
    since: Time,
}

/// An intent that is not durable yet.
#[derive(Debug)]
struct WaitingIntent {
    /// Number of the batch that holds it.
    batch: u64,
    id: RequestId,
}

/// When the store last recovered.
#[derive(Debug)]
struct LastRecovery {
    at: Time,
    /// The pause before the attempt that succeeded.
    pause: Span,
}

/// The log of one server.
#[derive(Debug)]
pub struct IdempotencyLog {
    state: StoreState,
    /// How long a batch may take to become durable.
    write_timeout: Span,
    /// Until when any key may have run, as the store was incomplete.
    doubtful_until: Option<Time>,
    last_recovery: Option<LastRecovery>,
    /// Number of the last batch that left.
    last_batch: u64,
    in_flight: VecDeque<BatchInFlight>,
    /// Records of the next batch.
    next_batch: Vec<LogRecord>,
    waiting_intents: VecDeque<WaitingIntent>,
    notes: Vec<LogNote>,
}

impl IdempotencyLog {
    /// For a server without a store.
    pub fn disabled() -> Self {
        Self::new(StoreState::Off, Span(0))
    }

    /// For a server whose store is being opened; a batch may take `write_timeout` to become durable.
    pub fn opening(write_timeout: Span) -> Self {
        Self::new(StoreState::Opening, write_timeout)
    }

    fn new(state: StoreState, write_timeout: Span) -> Self {
        Self {
            state,
            write_timeout,
            doubtful_until: None,
            last_recovery: None,
            last_batch: 0,
            in_flight: VecDeque::new(),
            next_batch: Vec::new(),
            waiting_intents: VecDeque::new(),
            notes: Vec::new(),
        }
    }

    /// Whether there is a store.
    pub fn is_enabled(&self) -> bool {
        !matches!(self.state, StoreState::Off)
    }

    /// Whether the store can be relied on.
    pub fn health(&self, now: Time) -> StoreHealth {
        match &self.state {
            StoreState::Off => StoreHealth::Off,
            StoreState::Opening => StoreHealth::Opening,
            StoreState::Good if self.doubtful_until.is_some_and(|until| until > now) => {
                StoreHealth::Incomplete
            }
            StoreState::Good => StoreHealth::Good,
            StoreState::Down { .. } => StoreHealth::Down,
        }
    }

    /// Set if a keyed request that no earlier run answers must be rejected now: how long its client should wait.
    pub fn retry_after(&self, now: Time) -> Option<Span> {
        match &self.state {
            StoreState::Off => None,
            StoreState::Opening => Some(SHORT_RETRY_AFTER),
            StoreState::Good => {
                let doubtful_until = self.doubtful_until.filter(|until| *until > now);
                let is_full = self.in_flight.len() >= MAX_BATCHES_IN_FLIGHT
                    || self.waiting_intents.len() >= MAX_WAITING_INTENTS;
                match doubtful_until {
                    Some(until) => Some(Span(until.0 - now.0)),
                    None => is_full.then_some(SHORT_RETRY_AFTER),
                }
            }
            StoreState::Down { next_attempt_at, pause, .. } => {
                Some(Span(next_attempt_at.0.saturating_sub(now.0).max(pause.0 / 2)))
            }
        }
    }

    /// An attempt is to run once its intent is durable. Returns false if the intent can't be written: the attempt must be
    /// rejected.
    pub fn append_intent(&mut self, now: Time, run: KeyedRun) -> bool {
        if self.retry_after(now).is_some() {
            return false;
        }
        let batch = self.last_batch + 1;
        self.waiting_intents.push_back(WaitingIntent { batch, id: run.id.clone() });
        self.next_batch.push(intent_record(run));
        true
    }

    /// A run has ended.
    pub fn append_outcome(&mut self, run: KeyedRun) {
        // Where the store is down, the outcome is part of what is written anew.
        if matches!(self.state, StoreState::Good)
            && let Some(record) = outcome_record(run)
        {
            self.next_batch.push(record);
        }
    }

    /// An attempt whose intent was appended never ran.
    pub fn append_void(&mut self, key: &Arc<str>, id: &RequestId) {
        if matches!(self.state, StoreState::Good) {
            self.next_batch.push(LogRecord::Void { key: Arc::clone(key), id: id.clone() });
        }
    }

    /// The store was opened and read.
    pub fn store_recovered(&mut self, now: Time, recovered: &RecoveredRuns) {
        self.state = StoreState::Good;
        self.doubtful_until = recovered.incomplete_for.map(|doubt| time_after(now, doubt));
        let is_error = recovered.incomplete_for.is_some();
        self.notes.extend(recovered.notes.iter().map(|text| LogNote { is_error, text: text.clone() }));
        let count = recovered.runs.len();
        self.note(format!("the store is open, with {count} runs of an earlier process"));
    }

    /// How many intents are not durable yet.
    pub fn count_waiting(&self) -> usize {
        self.waiting_intents.len()
    }

    /// All batches up to this one are durable. Returns the attempts that may run now, in their order.
    pub fn batch_persisted(&mut self, now: Time, number: u64) -> Vec<RequestId> {
        self.in_flight.retain(|batch| batch.number > number);
        match &mut self.state {
            StoreState::Good => {
                let durable = self.waiting_intents.partition_point(|intent| intent.batch <= number);
                self.waiting_intents.drain(..durable).map(|intent| intent.id).collect()
            }
            StoreState::Down { in_flight: Some(rewrite), pause, .. } if *rewrite <= number => {
                self.last_recovery = Some(LastRecovery { at: now, pause: *pause });
                self.state = StoreState::Good;
                self.note("the store is back: all that is known was written anew".into());
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Batches up to this one may be lost, and so may all after them. Returns the attempts that must be rejected.
    pub fn batch_failed(&mut self, now: Time, number: u64, reason: &str) -> Vec<RequestId> {
        self.in_flight.retain(|batch| batch.number > number);
        match &mut self.state {
            StoreState::Off => Vec::new(),
            // It is not open yet: the shell makes further attempts.
            StoreState::Opening => {
                self.note_error(format!("the store can't be opened: {reason}"));
                Vec::new()
            }
            StoreState::Good => {
                self.note_error(format!("the store has failed, keyed requests are refused: {reason}"));
                self.take_down(now)
            }
            StoreState::Down { next_attempt_at, pause, in_flight } => {
                if in_flight.take_if(|rewrite| *rewrite <= number).is_some() {
                    *pause = Span((pause.0 * 2).min(MAX_RETRY_PAUSE.0));
                    *next_attempt_at = time_after(now, *pause);
                    self.note_error(format!("the store is still down: {reason}"));
                }
                Vec::new()
            }
        }
    }

    /// Stops relying on the store. Returns the attempts that must be rejected.
    fn take_down(&mut self, now: Time) -> Vec<RequestId> {
        // Guards against a disk that fails at every write, by which the store would be up and down in turn.
        let recent = self.last_recovery.as_ref().filter(|last| time_after(last.at, STABLE_AFTER) > now);
        let pause = match recent {
            Some(last) => Span((last.pause.0 * 2).min(MAX_RETRY_PAUSE.0)),
            None => FIRST_RETRY_PAUSE,
        };
        let next_attempt_at = time_after(now, pause);
        self.state = StoreState::Down { next_attempt_at, pause, in_flight: None };
        self.next_batch.clear();
        self.waiting_intents.drain(..).map(|intent| intent.id).collect()
    }

    /// Takes the store down if a batch takes too long. Returns the attempts that must be rejected.
    pub fn fail_overdue(&mut self, now: Time) -> Vec<RequestId> {
        let is_overdue = |batch: &BatchInFlight| time_after(batch.since, self.write_timeout) <= now;
        if !matches!(self.state, StoreState::Good) || !self.in_flight.front().is_some_and(is_overdue) {
            return Vec::new();
        }
        let ms = self.write_timeout.0 / MS;
        self.note_error(format!("the store takes over {ms} ms, keyed requests are refused"));
        self.take_down(now)
    }

    /// The batch that leaves with this step. `all_runs` is called when all must be written anew.
    pub fn take_batch(
        &mut self,
        timestamp: Timestamp,
        all_runs: impl FnOnce() -> Vec<KeyedRun>,
    ) -> Option<NumberedBatch> {
        let batch = match &mut self.state {
            StoreState::Good if !self.next_batch.is_empty() => {
                RecordBatch::Append(std::mem::take(&mut self.next_batch))
            }
            // One at a time: behind a sync that never returns a second one would only wait too.
            StoreState::Down { next_attempt_at, in_flight: in_flight @ None, .. }
                if *next_attempt_at <= timestamp.now =>
            {
                *in_flight = Some(self.last_batch + 1);
                RecordBatch::Rewrite(all_runs().into_iter().filter_map(rewritten_record).collect())
            }
            _ => return None,
        };
        self.last_batch += 1;
        self.in_flight.push_back(BatchInFlight { number: self.last_batch, since: timestamp.now });
        Some(NumberedBatch { number: self.last_batch, batch })
    }

    /// When something is due though nothing comes in.
    pub fn wake_at(&self) -> Option<Time> {
        match &self.state {
            StoreState::Good => {
                self.in_flight.front().map(|batch| time_after(batch.since, self.write_timeout))
            }
            StoreState::Down { next_attempt_at, in_flight: None, .. } => Some(*next_attempt_at),
            _ => None,
        }
    }

    /// Takes the lines for the process's log.
    pub fn take_notes(&mut self) -> Vec<LogNote> {
        std::mem::take(&mut self.notes)
    }

    fn note(&mut self, text: String) {
        self.notes.push(LogNote { is_error: false, text });
    }

    fn note_error(&mut self, text: String) {
        self.notes.push(LogNote { is_error: true, text });
    }
}

fn intent_record(run: KeyedRun) -> LogRecord {
    LogRecord::Intent { key: run.key, fingerprint: run.fingerprint, id: run.id, window_left: run.window_left }
}

/// The record of a run's outcome; none if nothing is known that the intent doesn't say.
fn outcome_record(run: KeyedRun) -> Option<LogRecord> {
    let result = match run.outcome {
        Some(RunOutcome::Served(result)) => Some(result),
        Some(RunOutcome::Failed) => None,
        Some(RunOutcome::Unknown) | None => return None,
    };
    let KeyedRun { key, fingerprint, id, window_left, .. } = run;
    Some(LogRecord::Outcome { key, fingerprint, id, window_left, result })
}

/// The record of a run when all is written anew. One without an outcome may have run, and stays an intent.
fn rewritten_record(run: KeyedRun) -> Option<LogRecord> {
    match run.outcome {
        Some(RunOutcome::Unknown) | None => Some(intent_record(run)),
        Some(RunOutcome::Served(_) | RunOutcome::Failed) => outcome_record(run),
    }
}

#[cfg(test)]
mod tests;
