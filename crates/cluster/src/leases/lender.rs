//! The lender's side of leases: which requests are granted, which leases are recalled, and until when an
//! amount counts as lent.

use super::message::{LeaseMessage, OutgoingLeaseMessage};
use super::{LeaseTable, SLOT};
use crate::MS;
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time, time_after};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of leases that a server lends at the same time.
pub(super) const MAX_LENT: usize = 256;
/// A request that can't be granted yet stays queued for this time, since every call that ends frees a slot.
/// It is shorter than the borrower's timeout for a reply.
const REQUEST_QUEUED_FOR: Span = Span(500 * MS);
/// Maximum number of queued requests.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Lent slots are recalled once runs have waited for this time; shorter waits are normal.
const RECALL_AFTER: Span = Span(100 * MS);
/// Interval at which the recall of a lease is repeated.
const RECALL_INTERVAL: Span = Span(200 * MS);

/// Identifies a lease at its lender. The borrower assigns the number and starts anew in each incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeaseKey {
    pub borrower: Arc<str>,
    pub incarnation: Incarnation,
    pub number: u64,
}

/// A lease in the lender's table.
#[derive(Debug, Clone)]
pub(super) struct LentLease {
    round: u32,
    pub amount: u32,
    pub until: Time,
    recalled_at: Option<Time>,
}

/// Another server's request for a new lease that waits for free slots.
#[derive(Debug, Clone)]
pub(super) struct LeaseRequest {
    since: Time,
    key: LeaseKey,
    amount: u32,
}

/// Requests in order of arrival, at most [`MAX_QUEUED_REQUESTS`].
pub(super) type RequestQueue = VecDeque<LeaseRequest>;

impl LeaseTable {
    /// The maximum amount of its own share that this server may lend, in thousandths of a slot: whole slots
    /// if there are any. At least one slot is never lent, so that a server which holds back its lendable
    /// slots after a restart can still make calls.
    pub(super) fn lendable(&self) -> u32 {
        let part = (u64::from(self.own_share) * u64::from(self.settings.lendable_permille) / 1_000) as u32;
        let part = part.min(self.own_share.saturating_sub(SLOT));
        if part >= SLOT { part / SLOT * SLOT } else { part }
    }

    /// The amount that counts as lent, in thousandths of a slot.
    pub fn lent(&self, now: Time) -> u32 {
        self.lent.values().filter(|lease| now < lease.until).map(|lease| lease.amount).sum()
    }

    /// The amount that this server would lend now, in thousandths of a slot; 0 while it borrows, since a
    /// server lends only slots of its own share.
    pub fn spare(&self, now: Time) -> u32 {
        if !self.may_lend(now) {
            return 0;
        }
        // All free slots are offered: if they are missed later, a recall takes little longer than one call of
        // the borrower. Only one waiting run is counted, because while slots are free the other runs are held
        // back by the admission module.
        let free = self.retained(now).saturating_sub((self.taken(now) + self.waiting.min(1)) * SLOT);
        free.min(self.lendable().saturating_sub(self.lent(now)))
    }

    /// Whether this server may lend: not while it borrows or has pending requests, and not while it may still
    /// have leases from before a restart.
    fn may_lend(&self, now: Time) -> bool {
        now >= self.restart_hold_until && self.borrowed.is_empty() && self.pending.is_empty()
    }

    /// Whether other servers wait for slots of this one.
    pub fn has_queued_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Whether slots have been short for at least [`RECALL_AFTER`].
    fn has_lasting_shortage(&self, now: Time) -> bool {
        self.short_since.is_some_and(|since| now >= time_after(since, RECALL_AFTER))
    }

    /// Recalls as many lent slots as this server needs itself.
    pub(super) fn recall(&mut self, now: Time, out: &mut Vec<OutgoingLeaseMessage>) {
        if !self.has_lasting_shortage(now) {
            return;
        }
        let mut missing = ((self.taken(now) + self.waiting) * SLOT).saturating_sub(self.retained(now));
        for (key, lease) in &mut self.lent {
            if missing == 0 {
                return;
            }
            missing = missing.saturating_sub(lease.amount);
            if lease.recalled_at.is_none_or(|at| now >= time_after(at, RECALL_INTERVAL)) {
                lease.recalled_at = Some(now);
                let message = LeaseMessage::Recall { number: key.number };
                out.push(OutgoingLeaseMessage { to: Arc::clone(&key.borrower), message });
            }
        }
    }

    /// Handles a request for a new lease (round 0) or for an extension; returns the reply, none if the
    /// request is queued.
    pub(super) fn requested(
        &mut self,
        now: Time,
        key: LeaseKey,
        round: u32,
        amount: u32,
    ) -> Option<LeaseMessage> {
        if self.lent.get(&key).is_some_and(|lease| now < lease.until) {
            return Some(self.extend(now, &key, round));
        }
        if round > 0 || amount == 0 || self.lent.len() >= MAX_LENT || !self.may_lend(now) {
            return Some(LeaseMessage::Refuse { number: key.number });
        }
        let is_same_request =
            |queued: &LeaseRequest| queued.key.borrower == key.borrower && queued.key.number == key.number;
        if !self.requests.iter().any(is_same_request) && self.requests.len() < MAX_QUEUED_REQUESTS {
            self.requests.push_back(LeaseRequest { since: now, key, amount });
        }
        None
    }

    /// Handles a request for an existing lease: extends it unless this server needs the slots. A repeated
    /// request is answered with the earlier grant and doesn't extend the lease further.
    fn extend(&mut self, now: Time, key: &LeaseKey, round: u32) -> LeaseMessage {
        let refusal = LeaseMessage::Refuse { number: key.number };
        let is_needed_here = self.has_lasting_shortage(now) || self.retained(now) < self.taken(now) * SLOT;
        let until = time_after(now, self.settings.hold());
        let duration_ms = self.settings.duration_ms();
        let Some(lease) = self.lent.get_mut(key) else { return refusal };
        if round < lease.round {
            return refusal;
        }
        if round > lease.round {
            if is_needed_here || lease.recalled_at.is_some() {
                return refusal;
            }
            lease.round = round;
            lease.until = until;
        }
        LeaseMessage::Grant { number: key.number, round, amount: lease.amount, duration_ms }
    }

    /// Grants queued requests from the free slots, in order of arrival.
    pub(super) fn grant_queued(&mut self, now: Time, out: &mut Vec<OutgoingLeaseMessage>) {
        self.requests.retain(|request| now < time_after(request.since, REQUEST_QUEUED_FOR));
        let duration_ms = self.settings.duration_ms();
        while let Some(request) = self.requests.front() {
            let amount = request.amount.min(self.spare(now));
            // A request for whole slots is granted whole slots only: with fractions, one call would need many
            // lenders.
            let amount = if request.amount >= SLOT { amount / SLOT * SLOT } else { amount };
            if amount == 0 || self.lent.len() >= MAX_LENT {
                return;
            }
            let Some(LeaseRequest { key, .. }) = self.requests.pop_front() else { return };
            let (to, number) = (Arc::clone(&key.borrower), key.number);
            let until = time_after(now, self.settings.hold());
            self.lent.insert(key, LentLease { round: 0, amount, until, recalled_at: None });
            let message = LeaseMessage::Grant { number, round: 0, amount, duration_ms };
            out.push(OutgoingLeaseMessage { to, message });
        }
    }
}
