//! The leader's proposals in flight, and the recipients of their outcomes.

use super::NANOS_PER_MS;
use crate::consensus::{ConsensusVoter, ProposalError};
use crate::ids::{Name, Ticket};
use crate::replicated_state::{Command, Target};
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// Maximum proposals in flight.
const MAX_PENDING: usize = 1_024;
/// A proposal that isn't applied within this time is dropped without an outcome; its submitter retries.
const PENDING_TIMEOUT: Span = Span(10_000 * NANOS_PER_MS);

/// Recipient of a proposal's outcome.
#[derive(Debug)]
pub(super) enum Waiter {
    /// The controller's own proposal: the outcome shows in the replicated state.
    Nobody,
    /// The server that sent a permit request.
    Server {
        /// Name of the server.
        name: Name,
        /// Number of its request.
        number: Ticket,
        /// The target that is to be out of service, if the request is to begin.
        begin_target: Option<Target>,
    },
    /// The operator who submitted a command.
    Operator {
        /// Ticket of the command.
        ticket: Ticket,
    },
}

/// A proposal in flight.
#[derive(Debug)]
pub(super) struct PendingProposal {
    /// Time of the proposal; it expires [`PENDING_TIMEOUT`] later.
    pub proposed_at: Time,
    /// Recipient of the outcome.
    pub waiter: Waiter,
}

/// The proposals in flight by number, at most [`MAX_PENDING`].
#[derive(Debug)]
pub(super) struct Proposals {
    pending: BTreeMap<Ticket, PendingProposal>,
    last_number: Ticket,
    /// Number of the last proposal per key, to avoid repeating a proposal in flight.
    keys: BTreeMap<String, Ticket>,
}

impl Proposals {
    /// Creates an empty table whose numbers start above `last_number`.
    pub(super) fn new(last_number: Ticket) -> Self {
        Self { pending: BTreeMap::new(), last_number, keys: BTreeMap::new() }
    }

    /// Proposes a command and returns the proposal's number.
    pub(super) fn propose(
        &mut self,
        now: Time,
        consensus: &mut ConsensusVoter,
        command: Command,
        waiter: Waiter,
    ) -> Result<Ticket, ProposalError> {
        if self.pending.len() >= MAX_PENDING {
            return Err(ProposalError::Busy);
        }
        self.last_number += 1;
        consensus.propose(self.last_number, command)?;
        self.pending.insert(self.last_number, PendingProposal { proposed_at: now, waiter });
        Ok(self.last_number)
    }

    /// Proposes a command that nobody waits for, unless the last proposal with the same key is in flight.
    pub(super) fn propose_once(
        &mut self,
        now: Time,
        consensus: &mut ConsensusVoter,
        key: String,
        command: Command,
    ) {
        if self.keys.get(&key).is_some_and(|number| self.pending.contains_key(number)) {
            return;
        }
        if let Ok(number) = self.propose(now, consensus, command, Waiter::Nobody) {
            self.keys.insert(key, number);
        }
    }

    /// Removes and returns a proposal that was applied.
    pub(super) fn take(&mut self, number: Ticket) -> Option<PendingProposal> {
        self.pending.remove(&number)
    }

    /// Drops proposals older than [`PENDING_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Time) {
        self.pending.retain(|_, pending| now < time_after(pending.proposed_at, PENDING_TIMEOUT));
    }

    /// Starts a new term: commands proposed in an earlier term may be proposed again.
    pub(super) fn forget_keys(&mut self) {
        self.keys.clear();
    }
}
