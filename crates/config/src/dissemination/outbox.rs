//! Collects the effects of the state machine and limits the bytes sent and requested per second.

use super::budget::Budget;
use super::messages::Message;
use super::settings::DisseminationSettings;
use crate::change::{Commit, Name};
use crate::snapshot::Snapshot;
use gradepin_admission::Time;
use std::sync::Arc;

/// Capacity of each byte budget, in seconds of its rate.
const BURST_SECONDS: f64 = 4.0;
/// Fraction of the message budget that commits leave for adverts and requests.
const CONTROL_RESERVE: f64 = 0.25;

/// An action that the host of the state machine must perform. Effects are performed in the order in which they are returned.
///
/// [`Apply`](Self::Apply) and [`Install`](Self::Install) report a state that is already in force inside the state machine. The
/// host can't reject them and must apply each exactly once.
#[derive(Debug, Clone)]
pub enum DisseminationEffect {
    /// Send a message to a server in datagrams of the cluster, which may be lost.
    Send {
        /// The name of the receiver.
        to: Name,
        /// The encoded [`Message`].
        bytes: Vec<u8>,
    },
    /// Apply a commit, which follows the state of the previous effect.
    Apply(Arc<Commit>),
    /// Replace the state by a snapshot, whose revision is not lower than that of the replaced state.
    Install(Snapshot),
    /// Write a line to the log.
    Log {
        /// Whether the line is a warning that an operator should look at; otherwise it is informational.
        is_warning: bool,
        /// The text of the line.
        text: String,
    },
}

/// The kind of a message, which determines the budget and counter of its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// Adverts, requests and rejections.
    Control,
    /// Commits, pushed or requested.
    Commits,
    /// Manifests and chunks of snapshots.
    Snapshot,
}

/// Counters since the start of the process. Bytes include the overhead of datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SentCounters {
    /// Bytes of adverts, requests and rejections.
    pub control_bytes: u64,
    /// Bytes of commits, pushed or requested.
    pub commit_bytes: u64,
    /// Bytes of manifests and chunks of snapshots.
    pub snapshot_bytes: u64,
    /// Number of messages that were dropped because their budget was used up.
    pub dropped_messages: u64,
}

/// The effects that the host has not taken yet, and the byte budgets. The number of effects stays small: each step drains them,
/// and each input adds only a few.
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

    /// Adds a message to the effects if its budget allows it; returns false if it was dropped.
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

    /// Takes the expected bytes of a response from the request budget; returns false if the budget is used up.
    pub fn take_request_bytes(&mut self, now: Time, bytes: usize) -> bool {
        self.request_budget.take(now, bytes, 0.0)
    }

    /// Returns bytes to the request budget, after responses were shorter than expected.
    pub fn give_back_request_bytes(&mut self, bytes: usize) {
        self.request_budget.give_back(bytes);
    }

    /// Appends an effect.
    pub fn push(&mut self, effect: DisseminationEffect) {
        self.effects.push(effect);
    }

    /// Appends a warning for the log.
    pub fn warn(&mut self, text: String) {
        self.effects.push(DisseminationEffect::Log { is_warning: true, text });
    }

    /// Moves all effects to the end of `effects`.
    pub fn drain(&mut self, effects: &mut Vec<DisseminationEffect>) {
        effects.append(&mut self.effects);
    }

    /// Whether no effects are pending.
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty()
    }

    /// The counters since the start of the process.
    pub fn sent(&self) -> SentCounters {
        self.sent
    }
}
