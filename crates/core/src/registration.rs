//! The server's registration beside the state that it tells of: what is true here goes to [`Membership`], and its
//! questions become effects. Also the planned leave, where callers' views may still hold the server for a while.

use crate::messages::Effect;
use crate::timestamp::Timestamp;
use gradepin_admission::{Span, Time, time_after};
use gradepin_registry::membership::{Membership, RegistryReply};
use slog::Level;

/// How long the link to the processor may be down before the processor counts as gone.
const SILENCE: Span = Span(1_000_000_000);
/// Questions in one step at the most; there are two lanes.
const MOST_ASKS: usize = 2;

/// What is told to a registry, if to any, and a planned leave.
#[derive(Debug, Default)]
pub struct Registration {
    membership: Option<Membership>,
    /// From the order of an operator to the drain.
    hold: Span,
    /// When the drain that an operator ordered begins.
    drains: Option<Time>,
    silent_since: Option<Time>,
}

impl Registration {
    /// With a registry, or without one; and how long a planned leave waits for callers before its drain.
    pub fn new(membership: Option<Membership>, hold: Span) -> Self {
        Self { membership, hold, ..Self::default() }
    }

    /// The processor is there, and started then.
    pub fn processor_up(&mut self, since: Time, cold: bool) {
        self.silent_since = None;
        if let Some(membership) = &mut self.membership {
            membership.processor(Some((since, cold)));
        }
    }

    /// The link to it is down.
    pub fn processor_silent(&mut self, now: Time) {
        self.silent_since.get_or_insert(now);
    }

    /// The module's health.
    pub fn health(&mut self, now: Time, good: bool) {
        if let Some(membership) = &mut self.membership {
            membership.health(now, good);
        }
    }

    /// How it is with the server's store, in a word; a registry is told of a change.
    pub fn store(&mut self, word: &str) {
        if let Some(membership) = &mut self.membership {
            membership.metadata("store", word);
        }
    }

    /// The server leaves.
    pub fn leave(&mut self, now: Time) {
        self.drains = None;
        if let Some(membership) = &mut self.membership {
            membership.leave(now);
        }
    }

    /// An operator takes the server out; false if it is out already.
    pub fn take_out(&mut self, now: Time) -> bool {
        if self.drains.is_some() {
            return false;
        }
        if let Some(membership) = &mut self.membership {
            membership.leave(now);
        }
        self.drains = Some(time_after(now, self.hold));
        true
    }

    /// An operator takes it back in; false if it wasn't out.
    pub fn take_in(&mut self) -> bool {
        let out = self.drains.take().is_some();
        if let Some(membership) = self.membership.as_mut().filter(|_| out) {
            membership.return_to_service();
        }
        out
    }

    /// Whether an operator has taken it out.
    pub fn is_out(&self) -> bool {
        self.drains.is_some()
    }

    /// Whether the drain that an operator ordered begins now.
    pub fn drain_is_due(&self, now: Time) -> bool {
        self.drains.is_some_and(|at| at <= now)
    }

    /// What became of a question.
    pub fn reply(&mut self, now: Time, ticket: u64, reply: RegistryReply) {
        if let Some(membership) = &mut self.membership {
            membership.reply(now, ticket, reply);
        }
    }

    /// Asks what is due. `answered` says that all is answered and nothing more will run.
    pub fn step(&mut self, moment: Timestamp, answered: bool, effects: &mut Vec<Effect>) {
        let Some(membership) = &mut self.membership else { return };
        if self.silent_since.take_if(|since| time_after(*since, SILENCE) <= moment.now).is_some() {
            membership.processor(None);
        }
        if answered {
            membership.answered();
        }
        for _ in 0..MOST_ASKS {
            effects.extend(membership.poll(moment.now, moment.unix_ms).map(Effect::AskRegistry));
        }
        effects.extend(membership.take_log_lines().into_iter().map(|note| Effect::Log(Level::Info, note)));
    }

    /// When something is due though nothing comes in.
    pub fn wake_at(&self, now: Time) -> Option<Time> {
        let membership = self.membership.as_ref().map(|membership| membership.wake_at(now));
        let silence =
            self.silent_since.filter(|_| membership.is_some()).map(|since| time_after(since, SILENCE));
        [membership, silence, self.drains].into_iter().flatten().min()
    }
}
