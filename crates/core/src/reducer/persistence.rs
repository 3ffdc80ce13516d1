//! What outlives this process: the idempotency log's part in a step, and the runs that an earlier process left.
//!
//! Owns [`Recovery`]. Not here: which records are written when ([`crate::idempotency_log`]) and the keyed runs themselves
//! ([`crate::idempotency_table`]).

use super::Reducer;
use crate::buffer_pool::BufferPool;
use crate::idempotency_log::{NumberedBatch, RecoveredRuns, StoreHealth};
use crate::idempotency_table::RunOutcome;
use crate::messages::Effect;
use gradepin_admission::{Span, Time, time_after};
use slog::Level;
use std::sync::Arc;

/// Where the processor outlived an earlier process, the ends of that one's runs are waited for this many times the longest
/// deadline.
const RECOVERY_WAIT_DEADLINES: u64 = 2;

/// What is known of the processes before this one, and of the processor that may have outlived them.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Buffers for the results that the store held.
    pub(super) pool: Arc<BufferPool>,
    /// Key of the fingerprints: of this process, or of the store that outlives it.
    pub(super) salt: u64,
    /// When the first step was.
    first_step_at: Option<Time>,
    /// Until when the ends of recovered runs may still be reported; none if there are no such runs.
    wait_until: Option<Time>,
    /// Whether the processor is no older than this process, so that no recovered run is on it.
    processor_is_new: bool,
    /// The health of the store that the registry was last given.
    reported_health: StoreHealth,
}

impl Recovery {
    /// For a process without a store yet.
    pub(super) fn new(salt: u64) -> Self {
        Self {
            pool: BufferPool::new(0),
            salt,
            first_step_at: None,
            wait_until: None,
            processor_is_new: false,
            reported_health: StoreHealth::Off,
        }
    }

    /// A step is taken.
    pub(super) fn note_step(&mut self, now: Time) {
        self.first_step_at.get_or_insert(now);
    }

    /// The processor greeted, and started then. One that started with this process or after it, within `margin`, has no
    /// recovered runs.
    pub(super) fn processor_up(&mut self, now: Time, started_at: Time, margin: Span) {
        let is_new = |first_step| time_after(started_at, margin) >= first_step;
        self.processor_is_new = self.first_step_at.is_some_and(is_new);
        if self.processor_is_new {
            self.wait_until = self.wait_until.map(|_| now);
        }
    }

    /// Until when ends of recovered runs may still be reported; none if no such run is waited for.
    pub(super) fn wait_until(&self) -> Option<Time> {
        self.wait_until
    }

    /// No recovered run is left whose end could be reported.
    pub(super) fn stop_waiting(&mut self, now: Time) {
        self.wait_until = Some(now);
    }
}

impl Reducer {
    /// The store was opened: takes over its runs and its salt.
    pub(super) fn store_recovered(&mut self, recovered: RecoveredRuns) {
        let now = self.timestamp.now;
        self.recovery.salt = recovered.salt;
        self.idempotency_log.store_recovered(now, &recovered);
        for run in recovered.runs {
            self.idempotency_table.restore(run, self.timestamp, &self.recovery.pool);
        }
        if !self.idempotency_table.awaits_recovered_runs() {
            return;
        }
        let wait = Span(self.longest_recovered_run().0.saturating_mul(RECOVERY_WAIT_DEADLINES));
        self.recovery.wait_until = Some(time_after(now, wait));
        if self.processor.last_message_at != Time::default() {
            // Notices so far were about runs that weren't known yet.
            self.effects.push(Effect::ReplayNotices);
        }
    }

    /// How long a recovered run may still take; 0 on a processor that has none.
    fn longest_recovered_run(&self) -> Span {
        if self.recovery.processor_is_new {
            return Span(0);
        }
        self.classes.iter().map(|(_, class)| class.profile.deadline).max().unwrap_or(Span(0))
    }

    /// All batches up to this one are durable: sends the runs whose intents they hold.
    pub(super) fn store_persisted(&mut self, batch: u64) {
        for id in self.idempotency_log.batch_persisted(self.timestamp.now, batch) {
            if self.requests.running(&id).is_some() {
                self.send_run(&id);
            }
        }
    }

    /// Batches up to this one may be lost: rejects the requests whose intents wait.
    pub(super) fn store_failed(&mut self, batch: u64, reason: &str) {
        for id in self.idempotency_log.batch_failed(self.timestamp.now, batch, reason) {
            self.reject_unstarted_run(&id);
        }
    }

    /// How long the client of a keyed request should wait that the store can't take now; 0 where the settings allow no advice.
    pub(super) fn store_retry_after(&self) -> Span {
        let limits = &self.settings.limits;
        let retry_after = self.idempotency_log.retry_after(self.timestamp.now).unwrap_or_default();
        if limits.retry_after { retry_after.min(limits.max_retry_after) } else { Span(0) }
    }

    /// The store's part of a step: late intents, recovered runs whose time is up, the next batch, and its health.
    pub(super) fn persist(&mut self) {
        if !self.idempotency_log.is_enabled() {
            return;
        }
        let now = self.timestamp.now;
        for id in self.idempotency_log.fail_overdue(now) {
            self.reject_unstarted_run(&id);
        }
        if self.recovery.wait_until.take_if(|until| *until <= now).is_some() {
            for repeat in self.idempotency_table.abandon_recovered_runs() {
                self.respond_to_repeat(&repeat, RunOutcome::Unknown);
            }
        }
        let table = &self.idempotency_table;
        let batch = self.idempotency_log.take_batch(self.timestamp, || table.all_known_runs(now));
        if let Some(NumberedBatch { number, batch }) = batch {
            self.effects.push(Effect::PersistRecords { number, batch });
        }
        for note in self.idempotency_log.take_notes() {
            self.log(if note.is_error { Level::Error } else { Level::Info }, note.text);
        }
        self.report_store_health();
    }

    fn report_store_health(&mut self) {
        let health = self.idempotency_log.health(self.timestamp.now);
        let reported = std::mem::replace(&mut self.recovery.reported_health, health);
        if health != reported
            && let Some(word) = health.word()
        {
            self.registration.store(word);
        }
    }
}
