//! The server's registration: its state is published to a registry through [`Membership`], and the requests of that become
//! effects. Also an operator's planned leave, where clients' views may still list the server for a while before it drains.

use crate::messages::Effect;
use crate::timestamp::Timestamp;
use gradepin_admission::{Span, Time, time_after};
use gradepin_registry::membership::{Membership, RegistryReply};
use slog::Level;

/// How long the link to the processor may be down before the processor counts as gone.
const PROCESSOR_SILENCE_TIMEOUT: Span = Span(1_000_000_000);
/// Requests to registries in one step; each of the two lanes has one in flight.
const MAX_REQUESTS_PER_STEP: usize = 2;

/// What is published to a registry, if to any, and a planned leave.
#[derive(Debug, Default)]
pub struct Registration {
    membership: Option<Membership>,
    /// From an operator's command to the drain.
    leave_delay: Span,
    /// When the drain that an operator ordered begins.
    drain_at: Option<Time>,
    processor_silent_since: Option<Time>,
}

impl Registration {
    /// With a registry, or without one. A planned leave waits for `leave_delay` before its drain, as clients may still list the
    /// server.
    pub fn new(membership: Option<Membership>, leave_delay: Span) -> Self {
        Self { membership, leave_delay, ..Self::default() }
    }

    /// The processor greeted, and started then.
    pub fn processor_up(&mut self, started_at: Time, cold: bool) {
        self.processor_silent_since = None;
        if let Some(membership) = &mut self.membership {
            membership.processor(Some((started_at, cold)));
        }
    }

    /// The link to the processor is down.
    pub fn processor_silent(&mut self, now: Time) {
        self.processor_silent_since.get_or_insert(now);
    }

    /// Publishes the health that the admission module reports.
    pub fn publish_health(&mut self, now: Time, healthy: bool) {
        if let Some(membership) = &mut self.membership {
            membership.health(now, healthy);
        }
    }

    /// Publishes the state of the store, in a word.
    pub fn store(&mut self, word: &str) {
        if let Some(membership) = &mut self.membership {
            membership.metadata("store", word);
        }
    }

    /// The server shuts down.
    pub fn leave(&mut self, now: Time) {
        self.drain_at = None;
        if let Some(membership) = &mut self.membership {
            membership.leave(now);
        }
    }

    /// An operator takes the server out of service; false if it is out already.
    pub fn take_out(&mut self, now: Time) -> bool {
        if self.drain_at.is_some() {
            return false;
        }
        if let Some(membership) = &mut self.membership {
            membership.leave(now);
        }
        self.drain_at = Some(time_after(now, self.leave_delay));
        true
    }

    /// An operator returns the server to service; false if it wasn't out.
    pub fn take_in(&mut self) -> bool {
        let was_out = self.drain_at.take().is_some();
        if let Some(membership) = self.membership.as_mut().filter(|_| was_out) {
            membership.return_to_service();
        }
        was_out
    }

    /// Whether an operator has taken the server out of service.
    pub fn is_out(&self) -> bool {
        self.drain_at.is_some()
    }

    /// Whether the drain that an operator ordered begins now.
    pub fn drain_is_due(&self, now: Time) -> bool {
        self.drain_at.is_some_and(|at| at <= now)
    }

    /// The outcome of a request to a registry.
    pub fn reply(&mut self, now: Time, ticket: u64, reply: RegistryReply) {
        if let Some(membership) = &mut self.membership {
            membership.reply(now, ticket, reply);
        }
    }

    /// Sends the requests that are due. `is_drained` says that the server shuts down, all is answered and nothing more will
    /// run.
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

    /// When something is due though nothing comes in.
    pub fn wake_at(&self, now: Time) -> Option<Time> {
        let membership = self.membership.as_ref().map(|membership| membership.wake_at(now));
        let silent_since = self.processor_silent_since.filter(|_| membership.is_some());
        let silence_ends = silent_since.map(|since| time_after(since, PROCESSOR_SILENCE_TIMEOUT));
        [membership, silence_ends, self.drain_at].into_iter().flatten().min()
    }
}
