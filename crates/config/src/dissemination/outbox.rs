//! What is to be sent and done, within the bounds on bytes a second.

use super::budget::Budget;
use super::messages::Message;
use super::settings::DisseminationSettings;
use crate::change::{Commit, Name};
use crate::snapshot::Snapshot;
use gradepin_admission::Time;
use std::sync::Arc;

/// Seconds' worth of bytes that a burst may take.
const BURST_S: f64 = 4.0;
/// The part of the bytes that is left for adverts and requests when commits are sent.
const RESERVE: f64 = 0.25;

/// What is to be done by the host.
#[derive(Debug, Clone)]
pub enum DisseminationEffect {
    /// Send a message to a server, over the cluster's datagrams.
    Send {
        /// The server.
        to: Name,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A commit is in force: the one after what was in force before.
    Apply(Arc<Commit>),
    /// A whole state is in force; its revision is not below the one before.
    Install(Snapshot),
    /// Write this to the log.
    Note {
        /// Whether an operator should look at it.
        bad: bool,
        /// What happened.
        text: String,
    },
}

/// Whose bytes a message takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// Adverts, requests and refusals.
    Small,
    /// Commits.
    Commits,
    /// Parts of snapshots.
    Snapshot,
}

/// Bytes sent since the start, as they go over the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sent {
    /// Adverts, requests and refusals.
    pub small: u64,
    /// Commits.
    pub commits: u64,
    /// Parts of snapshots.
    pub snapshots: u64,
    /// Messages that were not sent for the bound.
    pub withheld: u64,
}

/// Effects that wait for the host, and the budgets.
#[derive(Debug)]
pub struct Outbox {
    effects: Vec<DisseminationEffect>,
    messages: Budget,
    snapshots: Budget,
    requests: Budget,
    sent: Sent,
}

impl Outbox {
    /// Empty.
    pub fn new(settings: &DisseminationSettings, now: Time) -> Self {
        Self {
            effects: Vec::new(),
            messages: Budget::new(settings.send_bytes_s, BURST_S, now),
            snapshots: Budget::new(settings.snapshot_bytes_s, BURST_S, now),
            requests: Budget::new(settings.request_bytes_s, BURST_S, now),
            sent: Sent::default(),
        }
    }

    /// Sends a message if its bytes may go now.
    pub fn send(
        &mut self,
        now: Time,
        settings: &DisseminationSettings,
        to: &Name,
        message: &Message,
        traffic: Traffic,
    ) -> bool {
        let bytes = message.encode();
        let wire = settings.wire_bytes(bytes.len());
        let (budget, reserve, counter) = match traffic {
            Traffic::Small => (&mut self.messages, 0.0, &mut self.sent.small),
            Traffic::Commits => (&mut self.messages, RESERVE, &mut self.sent.commits),
            Traffic::Snapshot => (&mut self.snapshots, 0.0, &mut self.sent.snapshots),
        };
        if !budget.take(now, wire, reserve) {
            self.sent.withheld += 1;
            return false;
        }
        *counter += wire as u64;
        self.effects.push(DisseminationEffect::Send { to: to.clone(), bytes });
        true
    }

    /// Whether so many bytes may be asked of others now.
    pub fn may_request(&mut self, now: Time, bytes: usize) -> bool {
        self.requests.take(now, bytes, 0.0)
    }

    /// Bytes that were asked for and that don't come.
    pub fn request_unspent(&mut self, bytes: usize) {
        self.requests.give_back(bytes);
    }

    /// Something for the host.
    pub fn push(&mut self, effect: DisseminationEffect) {
        self.effects.push(effect);
    }

    /// Something for the log.
    pub fn note(&mut self, bad: bool, text: String) {
        self.effects.push(DisseminationEffect::Note { bad, text });
    }

    /// Hands over what waits.
    pub fn drain(&mut self, effects: &mut Vec<DisseminationEffect>) {
        effects.append(&mut self.effects);
    }

    /// Whether something waits.
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty()
    }

    /// Bytes sent.
    pub fn sent(&self) -> Sent {
        self.sent
    }
}
