//! The lender's side: which requests are granted, what is recalled, and what counts as lent.

use super::message::{LeaseMessage, OutgoingLeaseMessage};
use super::{LeaseTable, SLOT};
use crate::MS;
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time, time_after};
use std::collections::VecDeque;
use std::sync::Arc;

/// Leases given at a time.
pub(super) const MAX_LENT: usize = 256;
/// A request that can't be granted now is queued for so long, since a slot comes free with every call that ends. Shorter
/// than the borrower waits for an answer.
const REQUEST_QUEUED_FOR: Span = Span(500 * MS);
/// Requests queued at a time.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Runs that wait for a moment are no need: what is lent is recalled once some waited for so long.
const RECALL_AFTER: Span = Span(100 * MS);
/// Between two recalls of one lease.
const RECALL_INTERVAL: Span = Span(200 * MS);

/// Names a lease among all that a lender gave: the borrower counts its own numbers, anew in each incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeaseKey {
    pub borrower: Arc<str>,
    pub incarnation: Incarnation,
    pub number: u64,
}

/// A lease as its lender keeps it.
#[derive(Debug, Clone)]
pub(super) struct LentLease {
    round: u32,
    pub amount: u32,
    pub until: Time,
    recalled_at: Option<Time>,
}

/// Another server's request for slots that aren't free yet.
#[derive(Debug, Clone)]
pub(super) struct LeaseRequest {
    since: Time,
    key: LeaseKey,
    amount: u32,
}

/// Requests in the order in which they came, of at most [`MAX_QUEUED_REQUESTS`].
pub(super) type RequestQueue = VecDeque<LeaseRequest>;

impl LeaseTable {
    /// The maximum of its own share that this server may lend: complete slots where there are any, less one, so that a
    /// server which holds back what it may have lent before a restart can still call.
    pub(super) fn lendable(&self) -> u32 {
        let part = (u64::from(self.own_share) * u64::from(self.settings.lendable_permille) / 1_000) as u32;
        let part = part.min(self.own_share.saturating_sub(SLOT));
        if part >= SLOT { part / SLOT * SLOT } else { part }
    }

    /// What is lent now, in thousandths of a slot.
    pub fn lent(&self, now: Time) -> u32 {
        self.lent.values().filter(|lease| now < lease.until).map(|lease| lease.amount).sum()
    }

    /// Thousandths of slots that would be lent now. Nothing while something is borrowed: what is lent is always the
    /// lender's own.
    pub fn spare(&self, now: Time) -> u32 {
        if !self.may_lend(now) {
            return 0;
        }
        // All that is free now: what is missed is recalled, and that takes little more than one call of the borrower's.
        // Of the runs that wait one is counted: where there is room, the others wait for the module's own reasons.
        let free = self.retained(now).saturating_sub((self.taken(now) + self.waiting.min(1)) * SLOT);
        free.min(self.lendable().saturating_sub(self.lent(now)))
    }

    /// Who borrows doesn't lend, nor who may have lent before a restart.
    fn may_lend(&self, now: Time) -> bool {
        now >= self.restart_hold_until && self.borrowed.is_empty() && self.pending.is_empty()
    }

    /// Whether another server waits for a slot of this one.
    pub fn has_queued_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Whether runs wait for longer than a moment.
    fn is_in_need(&self, now: Time) -> bool {
        self.short_since.is_some_and(|since| now >= time_after(since, RECALL_AFTER))
    }

    /// The lender is short itself: enough of what it lent is recalled.
    pub(super) fn recall(&mut self, now: Time, out: &mut Vec<OutgoingLeaseMessage>) {
        if !self.is_in_need(now) {
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

    /// A borrower asks for a lease (round 0) or for its extension; the reply, unless the request is queued.
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
        let same =
            |queued: &LeaseRequest| queued.key.borrower == key.borrower && queued.key.number == key.number;
        if !self.requests.iter().any(same) && self.requests.len() < MAX_QUEUED_REQUESTS {
            self.requests.push_back(LeaseRequest { since: now, key, amount });
        }
        None
    }

    /// A request for a lease that holds: extended unless it is needed here. The same request again is answered with what
    /// was granted, and no longer than that.
    fn extend(&mut self, now: Time, key: &LeaseKey, round: u32) -> LeaseMessage {
        let refusal = LeaseMessage::Refuse { number: key.number };
        let short = self.is_in_need(now) || self.retained(now) < self.taken(now) * SLOT;
        let until = time_after(now, self.settings.hold());
        let duration_ms = self.settings.duration_ms();
        let Some(lease) = self.lent.get_mut(key) else { return refusal };
        if round < lease.round {
            return refusal;
        }
        if round > lease.round {
            if short || lease.recalled_at.is_some() {
                return refusal;
            }
            lease.round = round;
            lease.until = until;
        }
        LeaseMessage::Grant { number: key.number, round, amount: lease.amount, duration_ms }
    }

    /// Lends what is free to those that asked for it, the first one first.
    pub(super) fn grant_queued(&mut self, now: Time, out: &mut Vec<OutgoingLeaseMessage>) {
        self.requests.retain(|request| now < time_after(request.since, REQUEST_QUEUED_FOR));
        let duration_ms = self.settings.duration_ms();
        while let Some(request) = self.requests.front() {
            let amount = request.amount.min(self.spare(now));
            // A fraction of a slot is lent only to those that want less than one: otherwise one call would need many lenders.
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
