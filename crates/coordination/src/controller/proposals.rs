//! Proposals of the leader that are under way, and who waits for what became of them.

use super::MS;
use crate::consensus::{ConsensusVoter, ProposalError};
use crate::replicated_state::{Command, Name, Target};
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// Proposals under way at a time.
const MAX_PENDING: usize = 1_024;
/// What wasn't agreed on in all this time is answered by nobody; whoever asked asks again.
const FORGET_AFTER: Span = Span(10_000 * MS);

/// Whom the outcome of a proposal is for.
#[derive(Debug)]
pub(super) enum Waiter {
    /// Nobody waits for it.
    Nobody,
    /// A server, for its request of this number; a target where it asked to begin.
    Server { name: Name, number: u64, begins: Option<Target> },
    /// An operator, under this ticket.
    Operator(u64),
}

/// A proposal that is under way.
#[derive(Debug)]
pub(super) struct PendingProposal {
    pub at: Time,
    pub waiter: Waiter,
}

/// All that are under way, by number.
#[derive(Debug)]
pub(super) struct Proposals {
    pending: BTreeMap<u64, PendingProposal>,
    last_number: u64,
    /// Those that mustn't be made again meanwhile.
    keys: BTreeMap<String, u64>,
}

impl Proposals {
    /// Numbered from here on.
    pub(super) fn new(number: u64) -> Self {
        Self { pending: BTreeMap::new(), last_number: number, keys: BTreeMap::new() }
    }

    /// Proposes a command; its number.
    pub(super) fn propose(
        &mut self,
        now: Time,
        council: &mut ConsensusVoter,
        command: Command,
        waiter: Waiter,
    ) -> Result<u64, ProposalError> {
        if self.pending.len() >= MAX_PENDING {
            return Err(ProposalError::Busy);
        }
        self.last_number += 1;
        council.propose(self.last_number, command)?;
        self.pending.insert(self.last_number, PendingProposal { at: now, waiter });
        Ok(self.last_number)
    }

    /// Proposes what nobody waits for, unless the same is under way.
    pub(super) fn propose_once(
        &mut self,
        now: Time,
        council: &mut ConsensusVoter,
        key: String,
        command: Command,
    ) {
        if self.keys.get(&key).is_some_and(|number| self.pending.contains_key(number)) {
            return;
        }
        if let Ok(number) = self.propose(now, council, command, Waiter::Nobody) {
            self.keys.insert(key, number);
        }
    }

    /// A proposal was applied.
    pub(super) fn take(&mut self, number: u64) -> Option<PendingProposal> {
        self.pending.remove(&number)
    }

    /// Forgets what was under way for too long.
    pub(super) fn expire(&mut self, now: Time) {
        self.pending.retain(|_, pending| now < time_after(pending.at, FORGET_AFTER));
    }

    /// A new term: what an earlier one proposed may be proposed again.
    pub(super) fn forget_keys(&mut self) {
        self.keys.clear();
    }
}
