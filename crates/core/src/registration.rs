//! The server's registration at a registry. [`Membership`] publishes the server's state, and its requests become
//! effects. Also covers an operator's planned leave, in which the server keeps serving before it drains because clients
//! may still list it.

use crate::messages::Effect;
use crate::timestamp::Timestamp;
use gradepin_admission::{Span, Time, time_after};
use gradepin_registry::membership::{Membership, RegistryReply};
use slog::Level;

/// How long the link to the processor may be down before the processor is considered gone.
const PROCESSOR_SILENCE_TIMEOUT: Span = Span(1_000_000_000);
/// Maximum number of registry requests per step: each of the two lanes has one in flight.
const MAX_REQUESTS_PER_STEP: usize = 2;

/// The server's state as published to a registry, if there is one, and a planned leave.
#[derive(Debug, Default)]
pub struct Registration {
    membership: Option<Membership>,
    /// Time from an operator's command to the start of the drain.
    leave_delay: Span,
    /// When the drain that an operator ordered starts.
    drain_at: Option<Time>,
    processor_silent_since: Option<Time>,
}

impl Registration {
    /// Creates the registration, without a registry if `membership` is `None`. A planned leave waits for `leave_delay`
    /// before the drain starts, as clients may still list the server.
    pub fn new(membership: Option<Membership>, leave_delay: Span) -> Self {
        Self { membership, leave_delay, ..Self::default() }
    }

    /// Publishes the processor that greeted, with the time of its start.
    pub fn processor_up(&mut self, started_at: Time, cold: bool) {
        self.processor_silent_since = None;
        if let Some(membership) = &mut self.membership {
            membership.processor(Some((started_at, cold)));
        }
    }

    /// Notes that the link to the processor is down; the time counts from the first such call.
    pub fn processor_silent(&mut self, now: Time) {
        self.processor_silent_since.get_or_insert(now);
    }

    /// Publishes the health that the admission module reports.
    pub fn publish_health(&mut self, now: Time, healthy: bool) {
        if let Some(membership) = &mut self.membership {
            membership.health(now, healthy);
        }
    }

    /// Publishes the health of the store ([`crate::idempotency_log::StoreHealth::word`]).
    pub fn publish_store_health(&mut self, word: &str) {
        if let Some(membership) = &mut self.membership {
            membership.metadata("store", word);
        }
    }

    /// Publishes that the server shuts down, and cancels a planned leave.
    pub fn leave(&mut self, now: Time) {
        self.drain_at = None;
        if let Some(membership) = &mut self.membership {
            membership.leave(now);
        }
    }

    /// Publishes that an operator took the server out of service, and plans the drain. Returns false if it is already
    /// out.
    pub fn take_out_of_service(&mut self, now: Time) -> bool {
        if self.drain_at.is_some() {
            return false;
        }
        if let Some(membership) = &mut self.membership {
            membership.leave(now);
        }
        self.drain_at = Some(time_after(now, self.leave_delay));
        true
    }

    /// Publishes that an operator returned the server to service. Returns false if it was in service.
    pub fn return_to_service(&mut self) -> bool {
        let was_out = self.drain_at.take().is_some();
        if let Some(membership) = self.membership.as_mut().filter(|_| was_out) {
            membership.return_to_service();
        }
        was_out
    }

    /// Whether an operator has taken the server out of service and its drain has not started.
    pub fn is_out_of_service(&self) -> bool {
        self.drain_at.is_some()
    }

    /// Whether the drain that an operator ordered must start now.
    pub fn drain_is_due(&self, now: Time) -> bool {
        self.drain_at.is_some_and(|at| at <= now)
    }

    /// Handles the outcome of a request to a registry.
    pub fn reply(&mut self, now: Time, ticket: u64, reply: RegistryReply) {
        if let Some(membership) = &mut self.membership {
            membership.reply(now, ticket, reply);
        }
    }

    /// Sends the requests that are due. `is_drained` says that the server shuts down, has answered everything and runs
    /// nothing more.
    pub fn step(&mut self, timestamp: Timestamp, is_drained: bool, effects: &mut Vec<Effect>) {
        let Some(membership) = &mut self.membership else { return };
        let is_timed_out = |since: &mut Time| time_after(*since, PROCESSOR_SILENCE_TIMEOUT) <= timestamp.now;
        if self.processor_silent_since.take_if(is_timed_out).is_some() {
            membership.processor(None);
        }
        if is_drained {
            membership.answered();
        }
        for _ in 0..MAX_REQUESTS_PER_STEP {
            effects.extend(membership.poll(timestamp.now, timestamp.unix_ms).map(Effect::AskRegistry));
        }
        let notes = membership.take_log_lines().into_iter();
        effects.extend(notes.map(|text| Effect::Log { level: Level::Info, text }));
    }

    /// Next time at which a step is due without input.
    pub fn wake_at(&self, now: Time) -> Option<Time> {
        let membership = self.membership.as_ref().map(|membership| membership.wake_at(now));
        let silent_since = self.processor_silent_since.filter(|_| membership.is_some());
        let silence_ends = silent_since.map(|since| time_after(since, PROCESSOR_SILENCE_TIMEOUT));
        [membership, silence_ends, self.drain_at].into_iter().flatten().min()
    }
}
