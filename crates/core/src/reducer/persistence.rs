//! What outlives this process: the store's part in a step, and what an earlier life left behind.
//! Not here: which records are written when ([`crate::idempotency_log`]) and the keyed runs themselves ([`crate::idempotency_table`]).

use super::Reducer;
use crate::buffer_pool::BufferPool;
use crate::idempotency_log::{RecoveredRuns, StoreHealth};
use crate::idempotency_table::RunOutcome;
use crate::messages::Effect;
use gradepin_admission::{Span, Time, time_after};
use slog::Level;
use std::sync::Arc;

/// A run of an earlier life is waited for, with a processor that outlived that, so many times the longest deadline.
const HOPE_MULTIPLE: u64 = 2;

/// What is known of lives before this one.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Buffers for what the store held.
    pub(super) pool: Arc<BufferPool>,
    /// Of the prints: of this life, or of the store that outlives it.
    pub(super) salt: u64,
    /// When the first step was, and until when the ends of runs of an earlier life may still be told.
    began: Option<Time>,
    wait_until: Option<Time>,
    /// Whether the processor is no older than this process.
    processor_is_new: bool,
    /// How it was with the store when that was last told.
    reported_health: StoreHealth,
}

impl Recovery {
    pub(super) fn new(salt: u64) -> Self {
        Self {
            pool: BufferPool::new(0),
            salt,
            began: None,
            wait_until: None,
            processor_is_new: false,
            reported_health: StoreHealth::Off,
        }
    }

    /// A step is taken.
    pub(super) fn note_step(&mut self, now: Time) {
        self.began.get_or_insert(now);
    }

    /// The processor started then: with this process or after it, nothing of an earlier life runs there.
    pub(super) fn processor_up(&mut self, now: Time, since: Time, margin: Span) {
        self.processor_is_new = self.began.is_some_and(|began| time_after(since, margin) >= began);
        if self.processor_is_new {
            self.wait_until = self.wait_until.map(|_| now);
        }
    }

    /// Until when ends of runs of an earlier life may still be told, if any are waited for.
    pub(super) fn wait_until(&self) -> Option<Time> {
        self.wait_until
    }

    /// No run of an earlier life is left to be told of.
    pub(super) fn stop_waiting(&mut self, now: Time) {
        self.wait_until = Some(now);
    }
}

impl Reducer {
    /// Takes over what an earlier life knew.
    pub(super) fn store_recovered(&mut self, recovered: RecoveredRuns) {
        let now = self.timestamp.now;
        self.recovery.salt = recovered.salt;
        self.idempotency_log.recovered(now, &recovered);
        for past in recovered.past {
            self.idempotency_table.restore(past, self.timestamp, &self.recovery.pool);
        }
        if self.idempotency_table.hopes() {
            let longest = if self.recovery.processor_is_new {
                None
            } else {
                self.classes.iter().map(|(_, class)| class.profile.deadline.0).max()
            };
            self.recovery.wait_until =
                Some(time_after(now, Span(longest.unwrap_or(0).saturating_mul(HOPE_MULTIPLE))));
            if self.processor.last_heard_at != Time::default() {
                // What it told so far was about runs that weren't known yet.
                self.effects.push(Effect::ReplayNotices);
            }
        }
    }

    /// When a keyed request that the store can't keep now should come back.
    pub(super) fn store_retry_after(&self) -> Span {
        let limits = &self.settings.limits;
        let advice = self.idempotency_log.refuses(self.timestamp.now).unwrap_or_default();
        if limits.retry_after { advice.min(limits.max_retry_after) } else { Span(0) }
    }

    /// Has the store keep what must be kept, and says how it is with it.
    pub(super) fn persist(&mut self) {
        if !self.idempotency_log.is_on() {
            return;
        }
        let now = self.timestamp.now;
        for id in self.idempotency_log.overdue(now) {
            self.reject_unstarted_run(&id);
        }
        if self.recovery.wait_until.take_if(|until| *until <= now).is_some() {
            for waiter in self.idempotency_table.give_up() {
                self.respond_to_repeat(&waiter, RunOutcome::Unknown);
            }
        }
        let keys = &self.idempotency_table;
        if let Some((number, batch)) = self.idempotency_log.take(self.timestamp, || keys.all_known(now)) {
            self.effects.push(Effect::PersistRecords { number, batch });
        }
        for (bad, note) in self.idempotency_log.notes() {
            self.log(if bad { Level::Error } else { Level::Info }, note);
        }
        let standing = self.idempotency_log.standing(now);
        if standing != std::mem::replace(&mut self.recovery.reported_health, standing)
            && let Some(word) = standing.word()
        {
            self.registration.store(word);
        }
    }
}
