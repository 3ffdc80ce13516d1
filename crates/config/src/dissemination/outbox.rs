//! The effects of a step, and the bounds on bytes sent and requested per second.

use super::budget::Budget;
use super::messages::Message;
use super::settings::DisseminationSettings;
use crate::change::{Commit, Name};
use crate::snapshot::Snapshot;
use gradepin_admission::Time;
use std::sync::Arc;

/// A burst may take the bytes of so many seconds.
const BURST_SECONDS: f64 = 4.0;
/// The fraction of the message budget that commits leave for adverts and requests.
const CONTROL_RESERVE: f64 = 0.25;

/// What the host of the state machine must do, in the order given.
///
/// `Apply` and `Install` report what is in force already inside the state machine: the host can't reject them, and applies
/// each exactly once.
#[derive(Debug, Clone)]
pub enum DisseminationEffect {
    /// Send a message to a server over the cluster's datagrams. It may be lost.
    Send {
        /// The name of the receiver.
        to: Name,
        /// The encoded [`Message`].
        bytes: Vec<u8>,
    },
    /// Apply a commit; it follows the state of the effect before.
    Apply(Arc<Commit>),
    /// Replace the state by a snapshot, whose revision is not below the one before.
    Install(Snapshot),
    /// Write a line to the log.
    Log {
        /// Whether it is a warning, for an operator to look at.
        is_warning: bool,
        /// The text of the line.
        text: String,
    },
}

/// The kind of a message, by which its bytes are charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// Adverts, requests and rejections.
    Control,
    /// Commits.
    Commits,
    /// Manifests and chunks.
    Snapshot,
}

/// Bytes sent since the start, with the overhead of datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SentCounters {
    /// Bytes of adverts, requests and rejections.
    pub control_bytes: u64,
    /// Bytes of commits.
    pub commit_bytes: u64,
    /// Bytes of manifests and chunks.
    pub snapshot_bytes: u64,
    /// Messages, not bytes, that were dropped because their budget was used up.
    pub dropped_messages: u64,
}

/// The effects that the host has not taken yet, and the budgets. A step drains it, and each input adds few effects.
#[derive(Debug)]
pub struct Outbox {
    effects: Vec<DisseminationEffect>,
    message_budget: Budget,
    snapshot_budget: Budget,
    request_budget: Budget,
    sent: SentCounters,
}

impl Outbox {
    /// No effects, and full budgets.
    pub fn new(settings: &DisseminationSettings, now: Time) -> Self {
        Self {
            effects: Vec::new(),
            message_budget: Budget::new(settings.message_bytes_per_second, BURST_SECONDS, now),
            snapshot_budget: Budget::new(settings.snapshot_bytes_per_second, BURST_SECONDS, now),
            request_budget: Budget::new(settings.request_bytes_per_second, BURST_SECONDS, now),
            sent: SentCounters::default(),
        }
    }

    /// Sends a message if its budget allows it; false where it was dropped.
    pub fn send(
        &mut self,
        now: Time,
        settings: &DisseminationSettings,
        to: &Name,
        message: &Message,
        traffic: Traffic,
    ) -> bool {
        let bytes = message.encode();
        let wire_bytes = settings.wire_bytes(bytes.len());
        let (budget, reserve, counter) = match traffic {
            Traffic::Control => (&mut self.message_budget, 0.0, &mut self.sent.control_bytes),
            Traffic::Commits => (&mut self.message_budget, CONTROL_RESERVE, &mut self.sent.commit_bytes),
            Traffic::Snapshot => (&mut self.snapshot_budget, 0.0, &mut self.sent.snapshot_bytes),
        };
        if !budget.take(now, wire_bytes, reserve) {
            self.sent.dropped_messages += 1;
            return false;
        }
        *counter += wire_bytes as u64;
        self.effects.push(DisseminationEffect::Send { to: to.clone(), bytes });
        true
    }

    /// Takes the expected bytes of a response from the request budget; false where it is used up.
    pub fn take_request_bytes(&mut self, now: Time, bytes: usize) -> bool {
        self.request_budget.take(now, bytes, 0.0)
    }

    /// Gives back bytes of the request budget by which responses were shorter than expected.
    pub fn give_back_request_bytes(&mut self, bytes: usize) {
        self.request_budget.give_back(bytes);
    }

    /// Adds an effect.
    pub fn push(&mut self, effect: DisseminationEffect) {
        self.effects.push(effect);
    }

    /// Adds a warning for the log.
    pub fn warn(&mut self, text: String) {
        self.effects.push(DisseminationEffect::Log { is_warning: true, text });
    }

    /// Moves all effects to `effects`.
    pub fn drain(&mut self, effects: &mut Vec<DisseminationEffect>) {
        effects.append(&mut self.effects);
    }

    /// Whether there are no effects.
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty()
    }

    /// Bytes sent so far.
    pub fn sent(&self) -> SentCounters {
        self.sent
    }
}
