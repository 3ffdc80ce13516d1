//! State that outlives the process: the idempotency log's part in a step, and the runs that an earlier process left.
//!
//! Owns [`Recovery`]. [`crate::idempotency_log`] decides which records are written and when;
//! [`crate::idempotency_table`] owns the keyed runs.

use super::Reducer;
use crate::buffer_pool::BufferPool;
use crate::idempotency_log::{NumberedBatch, RecoveredRuns, StoreHealth};
use crate::idempotency_table::RunOutcome;
use crate::messages::Effect;
use gradepin_admission::{Span, Time, time_after};
use slog::Level;
use std::sync::Arc;

/// How long to wait for the ends of an earlier process's runs if the processor outlived that process, as a multiple of
/// the longest deadline of all classes.
const RECOVERY_WAIT_DEADLINES: u64 = 2;

/// State recovered from earlier processes, and whether the processor may have outlived them.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Buffers for results recovered from the store.
    pub(super) pool: Arc<BufferPool>,
    /// Key of the fingerprints: that of the store, that shared with the other process of an upgrade, or else that of
    /// this process.
    pub(super) salt: u64,
    /// Time of the process's first step.
    first_step_at: Option<Time>,
    /// Until when the ends of recovered runs may still be reported; `None` if no such run is awaited.
    wait_until: Option<Time>,
    /// Whether the processor started no earlier than this process, so that it has no recovered runs.
    processor_is_new: bool,
    /// The store health that was last published to the registry.
    reported_health: StoreHealth,
}

impl Recovery {
    /// Creates the state of a process whose store, if any, is not open yet.
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

    pub(super) fn record_first_step(&mut self, now: Time) {
        self.first_step_at.get_or_insert(now);
    }

    /// Notes the start time of the processor that greeted. If it started with this process or later, within `margin`,
    /// it has no recovered runs.
    pub(super) fn processor_up(&mut self, now: Time, started_at: Time, margin: Span) {
        let is_new = |first_step| time_after(started_at, margin) >= first_step;
        self.processor_is_new = self.first_step_at.is_some_and(is_new);
        if self.processor_is_new {
            self.wait_until = self.wait_until.map(|_| now);
        }
    }

    /// Until when the ends of recovered runs may still be reported; `None` if no such run is awaited.
    pub(super) fn wait_until(&self) -> Option<Time> {
        self.wait_until
    }

    /// Stops waiting for recovered runs, since no further end can be reported.
    pub(super) fn stop_waiting(&mut self, now: Time) {
        self.wait_until = Some(now);
    }
}

impl Reducer {
    /// Takes over the runs and the salt of a store that was opened.
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
            // Earlier notices were about runs that were not known yet.
            self.effects.push(Effect::ReplayNotices);
        }
    }

    /// Returns how long a recovered run may still take; 0 if the processor has none.
    fn longest_recovered_run(&self) -> Span {
        if self.recovery.processor_is_new {
            return Span(0);
        }
        self.classes.iter().map(|(_, class)| class.profile.deadline).max().unwrap_or(Span(0))
    }

    /// Sends the runs whose intents became durable with the batches up to this one.
    pub(super) fn store_persisted(&mut self, batch: u64) {
        for id in self.idempotency_log.batch_persisted(self.timestamp.now, batch) {
            if self.requests.running(&id).is_some() {
                self.send_run(&id);
            }
        }
    }

    /// Rejects the requests whose intents are not durable, as the batches up to this one may be lost.
    pub(super) fn store_failed(&mut self, batch: u64, reason: &str) {
        for id in self.idempotency_log.batch_failed(self.timestamp.now, batch, reason) {
            self.reject_unstarted_run(&id);
        }
    }

    /// Returns how long a client should wait before it retries a keyed request that the store can't record now; 0 if
    /// the settings turn Retry-After off.
    pub(super) fn store_retry_after(&self) -> Span {
        let limits = &self.settings.limits;
        let retry_after = self.idempotency_log.retry_after(self.timestamp.now).unwrap_or_default();
        if limits.retry_after { retry_after.min(limits.max_retry_after) } else { Span(0) }
    }

    /// Performs the store's part of a step: rejects overdue intents, gives up overdue recovered runs, sends the next
    /// batch and publishes the store's health.
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
        for note in self.idempotency_log.take_log_lines() {
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
            self.registration.publish_store_health(word);
        }
    }
}
