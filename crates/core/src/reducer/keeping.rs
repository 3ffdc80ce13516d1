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
pub(super) struct Past {
    /// Buffers for what the store held.
    pub(super) pool: Arc<BufferPool>,
    /// Of the prints: of this life, or of the store that outlives it.
    pub(super) salt: u64,
    /// When the first step was, and until when the ends of runs of an earlier life may still be told.
    began: Option<Time>,
    hope: Option<Time>,
    /// Whether the processor is no older than this process.
    young: bool,
    /// How it was with the store when that was last told.
    standing: StoreHealth,
}

impl Past {
    pub(super) fn new(salt: u64) -> Self {
        Self {
            pool: BufferPool::new(0),
            salt,
            began: None,
            hope: None,
            young: false,
            standing: StoreHealth::Off,
        }
    }

    /// A step is taken.
    pub(super) fn step(&mut self, now: Time) {
        self.began.get_or_insert(now);
    }

    /// The processor started then: with this process or after it, nothing of an earlier life runs there.
    pub(super) fn processor_up(&mut self, now: Time, since: Time, margin: Span) {
        self.young = self.began.is_some_and(|began| time_after(since, margin) >= began);
        if self.young {
            self.hope = self.hope.map(|_| now);
        }
    }

    /// Until when ends of runs of an earlier life may still be told, if any are waited for.
    pub(super) fn hope(&self) -> Option<Time> {
        self.hope
    }

    /// No run of an earlier life is left to be told of.
    pub(super) fn give_up(&mut self, now: Time) {
        self.hope = Some(now);
    }
}

impl Reducer {
    /// Takes over what an earlier life knew.
    pub(super) fn recovered(&mut self, recovered: RecoveredRuns) {
        let now = self.moment.now;
        self.past.salt = recovered.salt;
        self.ledger.recovered(now, &recovered);
        for past in recovered.past {
            self.keys.restore(past, self.moment, &self.past.pool);
        }
        if self.keys.hopes() {
            let longest = if self.past.young {
                None
            } else {
                self.classes.iter().map(|(_, class)| class.profile.deadline.0).max()
            };
            self.past.hope = Some(time_after(now, Span(longest.unwrap_or(0).saturating_mul(HOPE_MULTIPLE))));
            if self.link.heard != Time::default() {
                // What it told so far was about runs that weren't known yet.
                self.effects.push(Effect::ReplayNotices);
            }
        }
    }

    /// When a keyed request that the store can't keep now should come back.
    pub(super) fn store_advice(&self) -> Span {
        let limits = &self.settings.limits;
        let advice = self.ledger.refuses(self.moment.now).unwrap_or_default();
        if limits.retry_after { advice.min(limits.max_retry_after) } else { Span(0) }
    }

    /// Has the store keep what must be kept, and says how it is with it.
    pub(super) fn keep(&mut self) {
        if !self.ledger.is_on() {
            return;
        }
        let now = self.moment.now;
        for id in self.ledger.overdue(now) {
            self.never_ran(&id);
        }
        if self.past.hope.take_if(|until| *until <= now).is_some() {
            for waiter in self.keys.give_up() {
                self.joined(&waiter, RunOutcome::Unknown);
            }
        }
        let keys = &self.keys;
        if let Some((number, batch)) = self.ledger.take(self.moment, || keys.all_known(now)) {
            self.effects.push(Effect::PersistRecords { number, batch });
        }
        for (bad, note) in self.ledger.notes() {
            self.log(if bad { Level::Error } else { Level::Info }, note);
        }
        let standing = self.ledger.standing(now);
        if standing != std::mem::replace(&mut self.past.standing, standing)
            && let Some(word) = standing.word()
        {
            self.registration.store(word);
        }
    }
}
