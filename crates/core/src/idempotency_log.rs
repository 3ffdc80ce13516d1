//! The log of keyed runs, which outlives the process. It decides what is written and when it must be durable; the
//! records leave the reducer as effects, and the shell's store writes them.
//!
//! The intent of a keyed run is durable before the run is sent to the processor; its outcome is written afterwards. A
//! request whose intent is not durable in time is rejected as never run, and a record says so. While the store is not
//! reliable, keyed requests are rejected with a Retry-After, unless the outcome of an earlier attempt answers them; all
//! other requests are served. The store recovers in only one way: all known runs are rewritten, and the store counts as
//! good once that is durable.

use crate::buffer_pool::Buffer;
use crate::keyed_run::{KeyedRun, RunOutcome};
pub use crate::keyed_run::{SavedOutcome, SavedRun};
use crate::timestamp::Timestamp;
use gradepin_admission::{RequestId, Span, Time, time_after};
use std::collections::VecDeque;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Maximum number of batches in flight; beyond it keyed requests are rejected.
const MAX_BATCHES_IN_FLIGHT: usize = 1024;
/// Maximum number of intents that are not durable yet; beyond it keyed requests are rejected.
const MAX_WAITING_INTENTS: usize = 4096;
/// Pause before the first attempt to rewrite all runs; doubled after each failure, up to [`MAX_RETRY_PAUSE`].
const FIRST_RETRY_PAUSE: Span = Span(1_000 * MS);
const MAX_RETRY_PAUSE: Span = Span(8_000 * MS);
/// Time after a recovery in which a new failure doubles the pause.
const STABLE_AFTER: Span = Span(10_000 * MS);
/// Advised wait before a retry while the store is only slow or is being read.
const SHORT_RETRY_AFTER: Span = Span(100 * MS);

/// A record for the store.
#[derive(Debug, Clone)]
pub enum LogRecord {
    /// An attempt is going to run.
    Intent {
        /// Idempotency key of the run.
        key: Arc<str>,
        /// Fingerprint of the request's body and class.
        fingerprint: u64,
        /// Id of the attempt.
        id: RequestId,
        /// Remaining time of the window.
        window_left: Span,
    },
    /// The outcome of a run, written when it ends and when all runs are rewritten.
    Outcome {
        /// Idempotency key of the run.
        key: Arc<str>,
        /// Fingerprint of the request's body and class.
        fingerprint: u64,
        /// The attempt that ran.
        id: RequestId,
        /// Remaining time of the window.
        window_left: Span,
        /// Result of the run; `None` if it failed.
        result: Option<Arc<Buffer>>,
    },
    /// The attempt of an earlier intent never ran.
    Void {
        /// Idempotency key of the run.
        key: Arc<str>,
        /// Id of the attempt.
        id: RequestId,
    },
}

/// The content of a store when it was opened.
#[derive(Debug, Clone, Default)]
pub struct RecoveredRuns {
    /// Runs whose windows may be open, sorted by key.
    pub runs: Vec<SavedRun>,
    /// Key of all fingerprints in this store.
    pub salt: u64,
    /// Set if durable records can't be read: for this long any key may have run.
    pub incomplete_for: Option<Span>,
    /// Findings for the process's log.
    pub notes: Vec<String>,
}

/// Whether the store is reliable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreHealth {
    /// There is no store, so no keyed run survives the process.
    Off,
    /// The store is being opened and read.
    Opening,
    /// The store is reliable.
    Good,
    /// Some records can't be read. Until the windows of those runs are over, any key may have run.
    Incomplete,
    /// The store has failed.
    Down,
}

impl StoreHealth {
    /// Returns the health in one word, for health checks and a registry; `None` without a store.
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

/// A batch of records that one step writes.
#[derive(Debug)]
pub enum RecordBatch {
    /// Records to append.
    Append(Vec<LogRecord>),
    /// All known runs, to be rewritten. They replace all earlier records once they are durable.
    Rewrite(Vec<LogRecord>),
}

/// A batch with its number.
#[derive(Debug)]
pub struct NumberedBatch {
    /// Number of the batch, from 1 and without gaps.
    pub number: u64,
    /// Content of the batch.
    pub batch: RecordBatch,
}

/// A line for the process's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Whether the line is logged as an error.
    pub is_error: bool,
    /// Text of the line.
    pub text: String,
}

/// State of the store.
#[derive(Debug)]
enum StoreState {
    /// There is no store.
    Off,
    /// The store is being opened and read.
    Opening,
    /// The store accepts records.
    Good,
    /// The store has failed, and all runs must be rewritten.
    Down {
        /// Time of the next attempt.
        next_attempt_at: Time,
        /// Pause before that attempt.
        pause: Span,
        /// Number of the rewrite in flight, if there is one.
        in_flight: Option<u64>,
    },
}

/// A batch that was passed to the store and is not durable yet.
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

/// The latest recovery of the store.
#[derive(Debug)]
struct LastRecovery {
    at: Time,
    /// Pause before the attempt that succeeded.
    pause: Span,
}

/// The log of keyed runs of one server.
#[derive(Debug)]
pub struct IdempotencyLog {
    state: StoreState,
    /// Maximum time for a batch to become durable.
    write_timeout: Span,
    /// Until when any key may have run, because the store was incomplete.
    incomplete_until: Option<Time>,
    last_recovery: Option<LastRecovery>,
    /// Number of the latest batch that was passed to the store.
    last_batch: u64,
    in_flight: VecDeque<BatchInFlight>,
    next_batch: Vec<LogRecord>,
    waiting_intents: VecDeque<WaitingIntent>,
    log_lines: Vec<LogLine>,
}

impl IdempotencyLog {
    /// Creates the log of a server without a store.
    pub fn disabled() -> Self {
        Self::new(StoreState::Off, Span(0))
    }

    /// Creates the log of a server whose store is being opened. `write_timeout` is the maximum time for a batch to
    /// become durable.
    pub fn opening(write_timeout: Span) -> Self {
        Self::new(StoreState::Opening, write_timeout)
    }

    fn new(state: StoreState, write_timeout: Span) -> Self {
        Self {
            state,
            write_timeout,
            incomplete_until: None,
            last_recovery: None,
            last_batch: 0,
            in_flight: VecDeque::new(),
            next_batch: Vec::new(),
            waiting_intents: VecDeque::new(),
            log_lines: Vec::new(),
        }
    }

    /// Whether there is a store.
    pub fn is_enabled(&self) -> bool {
        !matches!(self.state, StoreState::Off)
    }

    /// Returns the health of the store.
    pub fn health(&self, now: Time) -> StoreHealth {
        match &self.state {
            StoreState::Off => StoreHealth::Off,
            StoreState::Opening => StoreHealth::Opening,
            StoreState::Good if self.incomplete_until.is_some_and(|until| until > now) => {
                StoreHealth::Incomplete
            }
            StoreState::Good => StoreHealth::Good,
            StoreState::Down { .. } => StoreHealth::Down,
        }
    }

    /// Whether all runs of earlier processes are known: there is no store, or it was read completely. While records are
    /// missing, any key may have run until its window is over.
    pub fn knows_all_runs(&self, now: Time) -> bool {
        let is_incomplete = self.incomplete_until.is_some_and(|until| until > now);
        !matches!(self.state, StoreState::Opening) && !is_incomplete
    }

    /// Returns how long a client should wait if a keyed request must be rejected now; `None` if it can be accepted.
    /// Applies to requests that no earlier run answers.
    pub fn retry_after(&self, now: Time) -> Option<Span> {
        match &self.state {
            StoreState::Off => None,
            StoreState::Opening => Some(SHORT_RETRY_AFTER),
            StoreState::Good => {
                let incomplete_until = self.incomplete_until.filter(|until| *until > now);
                let is_full = self.in_flight.len() >= MAX_BATCHES_IN_FLIGHT
                    || self.waiting_intents.len() >= MAX_WAITING_INTENTS;
                match incomplete_until {
                    Some(until) => Some(Span(until.0 - now.0)),
                    None => is_full.then_some(SHORT_RETRY_AFTER),
                }
            }
            StoreState::Down { next_attempt_at, pause, .. } => {
                Some(Span(next_attempt_at.0.saturating_sub(now.0).max(pause.0 / 2)))
            }
        }
    }

    /// Adds the intent of an attempt, which may run once the intent is durable. Returns false if the intent can't be
    /// written, in which case the attempt must be rejected.
    pub fn append_intent(&mut self, now: Time, run: KeyedRun) -> bool {
        if self.retry_after(now).is_some() {
            return false;
        }
        let batch = self.last_batch + 1;
        self.waiting_intents.push_back(WaitingIntent { batch, id: run.id.clone() });
        self.next_batch.push(intent_record(run));
        true
    }

    /// Adds the outcome of a run.
    pub fn append_outcome(&mut self, run: KeyedRun) {
        // While the store is down, the outcome is part of the rewrite.
        if matches!(self.state, StoreState::Good)
            && let Some(record) = outcome_record(run)
        {
            self.next_batch.push(record);
        }
    }

    /// Records that an attempt whose intent was appended never ran.
    pub fn append_void(&mut self, key: &Arc<str>, id: &RequestId) {
        if matches!(self.state, StoreState::Good) {
            self.next_batch.push(LogRecord::Void { key: Arc::clone(key), id: id.clone() });
        }
    }

    /// Handles the store's recovery at the start of the process.
    pub fn store_recovered(&mut self, now: Time, recovered: &RecoveredRuns) {
        self.state = StoreState::Good;
        self.incomplete_until = recovered.incomplete_for.map(|doubt| time_after(now, doubt));
        let is_error = recovered.incomplete_for.is_some();
        self.log_lines.extend(recovered.notes.iter().map(|text| LogLine { is_error, text: text.clone() }));
        let count = recovered.runs.len();
        self.log_info(format!("the store is open; recovered {count} runs of an earlier process"));
    }

    /// Number of intents that are not durable yet.
    pub fn count_waiting(&self) -> usize {
        self.waiting_intents.len()
    }

    /// Handles the report that all batches up to this one are durable. Returns the attempts that may run now, in the
    /// order of their intents.
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
                self.log_info("the store has recovered; all known runs were rewritten".into());
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Handles the report that batches up to this one, and therefore all after them, may be lost. Returns the attempts
    /// that must be rejected.
    pub fn batch_failed(&mut self, now: Time, number: u64, reason: &str) -> Vec<RequestId> {
        self.in_flight.retain(|batch| batch.number > number);
        match &mut self.state {
            StoreState::Off => Vec::new(),
            // The store is not open yet; the shell keeps trying to open it.
            StoreState::Opening => {
                self.log_error(format!("the store can't be opened, keyed requests are rejected: {reason}"));
                Vec::new()
            }
            StoreState::Good => {
                self.log_error(format!("the store has failed, keyed requests are rejected: {reason}"));
                self.take_down(now)
            }
            StoreState::Down { next_attempt_at, pause, in_flight } => {
                if in_flight.take_if(|rewrite| *rewrite <= number).is_some() {
                    *pause = Span((pause.0 * 2).min(MAX_RETRY_PAUSE.0));
                    *next_attempt_at = time_after(now, *pause);
                    self.log_error(format!("the store is still down, keyed requests are rejected: {reason}"));
                }
                Vec::new()
            }
        }
    }

    /// Marks the store as failed. Returns the attempts that must be rejected.
    fn take_down(&mut self, now: Time) -> Vec<RequestId> {
        // Guards against a disk that fails at every write, which would make the store alternate between good and down.
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

    /// Marks the store as failed if a batch takes too long. Returns the attempts that must be rejected.
    pub fn fail_overdue(&mut self, now: Time) -> Vec<RequestId> {
        let is_overdue = |batch: &BatchInFlight| time_after(batch.since, self.write_timeout) <= now;
        if !matches!(self.state, StoreState::Good) || !self.in_flight.front().is_some_and(is_overdue) {
            return Vec::new();
        }
        let ms = self.write_timeout.0 / MS;
        self.log_error(format!("the store takes over {ms} ms to write, keyed requests are rejected"));
        self.take_down(now)
    }

    /// Returns the batch of this step, if there is one. `all_runs` is called if all runs must be rewritten.
    pub fn take_batch(
        &mut self,
        timestamp: Timestamp,
        all_runs: impl FnOnce() -> Vec<KeyedRun>,
    ) -> Option<NumberedBatch> {
        let batch = match &mut self.state {
            StoreState::Good if !self.next_batch.is_empty() => {
                RecordBatch::Append(std::mem::take(&mut self.next_batch))
            }
            // Only one rewrite is in flight at a time: behind a sync that never returns, a second one would only wait
            // too.
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

    /// Next time at which a step is due without input.
    pub fn wake_at(&self) -> Option<Time> {
        match &self.state {
            StoreState::Good => {
                self.in_flight.front().map(|batch| time_after(batch.since, self.write_timeout))
            }
            StoreState::Down { next_attempt_at, in_flight: None, .. } => Some(*next_attempt_at),
            _ => None,
        }
    }

    /// Removes and returns the pending lines for the process's log.
    pub fn take_log_lines(&mut self) -> Vec<LogLine> {
        std::mem::take(&mut self.log_lines)
    }

    fn log_info(&mut self, text: String) {
        self.log_lines.push(LogLine { is_error: false, text });
    }

    fn log_error(&mut self, text: String) {
        self.log_lines.push(LogLine { is_error: true, text });
    }
}

fn intent_record(run: KeyedRun) -> LogRecord {
    LogRecord::Intent { key: run.key, fingerprint: run.fingerprint, id: run.id, window_left: run.window_left }
}

/// Returns the record of a run's outcome; `None` if there is nothing to add to the intent.
fn outcome_record(run: KeyedRun) -> Option<LogRecord> {
    let result = match run.outcome {
        Some(RunOutcome::Served(result)) => Some(result),
        Some(RunOutcome::Failed) => None,
        Some(RunOutcome::Unknown) | None => return None,
    };
    let KeyedRun { key, fingerprint, id, window_left, .. } = run;
    Some(LogRecord::Outcome { key, fingerprint, id, window_left, result })
}

/// Returns the record of a run for a rewrite. A run without an outcome may have run, and stays an intent.
fn rewritten_record(run: KeyedRun) -> Option<LogRecord> {
    match run.outcome {
        Some(RunOutcome::Unknown) | None => Some(intent_record(run)),
        Some(RunOutcome::Served(_) | RunOutcome::Failed) => outcome_record(run),
    }
}

#[cfg(test)]
mod tests;
