//! Proposals of the leader that are in flight, and who waits for their outcome.

use super::NANOS_PER_MS;
use crate::consensus::{ConsensusVoter, ProposalError};
use crate::ids::{Name, Ticket};
use crate::replicated_state::{Command, Target};
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// Proposals in flight at most.
const MAX_PENDING: usize = 1_024;
/// A proposal that isn't committed within this has no outcome; its submitter retries.
const PENDING_TIMEOUT: Span = Span(10_000 * NANOS_PER_MS);

/// Who gets the outcome of a proposal.
#[derive(Debug)]
pub(super) enum Waiter {
    /// No one.
    Nobody,
    /// A server, for its request of this number.
    Server {
        /// The server.
        name: Name,
        /// The request.
        number: Ticket,
        /// What is to be out, where it requests to begin.
        begin_target: Option<Target>,
    },
    /// An operator, for the command of this ticket.
    Operator {
        /// The command.
        ticket: Ticket,
    },
}

/// A proposal that is in flight.
#[derive(Debug)]
pub(super) struct PendingProposal {
    /// When it was proposed.
    pub proposed_at: Time,
    /// Who gets its outcome.
    pub waiter: Waiter,
}

/// The proposals that are in flight, at most [`MAX_PENDING`], by number.
#[derive(Debug)]
pub(super) struct Proposals {
    pending: BTreeMap<Ticket, PendingProposal>,
    last_number: Ticket,
    /// The last proposal of each key, so that none is repeated while it is in flight.
    keys: BTreeMap<String, Ticket>,
}

impl Proposals {
    /// With numbers greater than this one.
    pub(super) fn new(last_number: Ticket) -> Self {
        Self { pending: BTreeMap::new(), last_number, keys: BTreeMap::new() }
    }

    /// Proposes a command; its number.
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

    /// Proposes a command for no one, unless the last one of the same key is in flight.
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

    /// A proposal was applied.
    pub(super) fn take(&mut self, number: Ticket) -> Option<PendingProposal> {
        self.pending.remove(&number)
    }

    /// Drops proposals that were in flight for too long.
    pub(super) fn expire(&mut self, now: Time) {
        self.pending.retain(|_, pending| now < time_after(pending.proposed_at, PENDING_TIMEOUT));
    }

    /// A new term: what was proposed in an earlier one may be proposed again.
    pub(super) fn forget_keys(&mut self) {
        self.keys.clear();
    }
}
