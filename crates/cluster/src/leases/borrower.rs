//! The borrower's side of leases: when slots are requested, extended and returned, and until when they may be
//! used.

use super::lender::MAX_LENT;
use super::message::{LeaseMessage, LenderOffer, OutgoingLeaseMessage};
use super::{LeaseTable, SLOT};
use crate::MS;
use gradepin_admission::{Span, Time, time_after};
use std::sync::Arc;

/// Maximum number of leases that a server borrows at the same time.
const MAX_BORROWED: usize = 16;
/// Maximum number of pending requests for new leases.
const MAX_PENDING: usize = 6;
/// A request for a new lease without a reply is dropped after this time.
const REQUEST_TIMEOUT: Span = Span(600 * MS);
/// A request for an extension without a reply is dropped, and sent again, after this time. It is shorter than
/// [`REQUEST_TIMEOUT`] so that a lost datagram doesn't cost a lease.
const EXTENSION_TIMEOUT: Span = Span(250 * MS);
/// A lender that didn't reply is not asked again for this time.
const SILENT_BACKOFF: Span = Span(1_500 * MS);
/// A lender that refused is not asked again for this time.
const REFUSED_BACKOFF: Span = Span(250 * MS);
/// Slots are borrowed once runs have waited for this time.
pub(super) const BORROW_AFTER: Span = Span(20 * MS);

/// A lease in the borrower's table.
#[derive(Debug, Clone)]
pub(super) struct BorrowedLease {
    pub lender: Arc<str>,
    number: u64,
    round: u32,
    pub amount: u32,
    pub until: Time,
    /// Recalled, expired or no longer needed: no new call uses it.
    pub ending: bool,
}

/// A request of this server without a reply so far.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    lender: Arc<str>,
    number: u64,
    round: u32,
    /// The requested amount, in thousandths of a slot.
    amount: u32,
    sent_at: Time,
}

impl PendingRequest {
    /// Whether it requests a new lease, not an extension.
    fn is_first(&self) -> bool {
        self.round == 0
    }

    fn is_pending(&self, now: Time) -> bool {
        let timeout = if self.is_first() { REQUEST_TIMEOUT } else { EXTENSION_TIMEOUT };
        now < time_after(self.sent_at, timeout)
    }
}

/// A grant as received from a lender, not yet checked against the request.
pub(super) struct Grant {
    pub number: u64,
    pub round: u32,
    pub amount: u32,
    pub duration: Span,
}

impl LeaseTable {
    /// Leases that have not expired.
    pub(super) fn valid_leases(&self, now: Time) -> impl Iterator<Item = &BorrowedLease> {
        self.borrowed.iter().filter(move |lease| now < lease.until || self.settings.ignore_expiry)
    }

    /// The borrowed amount that new calls may use, in thousandths of a slot.
    pub fn borrowed(&self, now: Time) -> u32 {
        self.valid_leases(now).filter(|lease| !lease.ending).map(|lease| lease.amount).sum()
    }

    /// Marks expired leases as ending. They are returned like others once no call uses them; otherwise the
    /// lender would wait until its own hold expires.
    pub(super) fn end_expired(&mut self, now: Time) {
        if self.settings.ignore_expiry {
            return;
        }
        self.borrowed.iter_mut().filter(|lease| now >= lease.until).for_each(|lease| lease.ending = true);
    }

    /// Drops requests that timed out, and backs off from lenders that didn't reply to a request for a new
    /// lease.
    pub(super) fn expire_pending(&mut self, now: Time) {
        self.backoff.retain(|_, until| now < *until);
        let mut silent_lenders = Vec::new();
        self.pending.retain(|request| {
            let is_pending = request.is_pending(now);
            if !is_pending && request.is_first() {
                silent_lenders.push(Arc::clone(&request.lender));
            }
            is_pending
        });
        silent_lenders.into_iter().for_each(|name| self.back_off(now, name, SILENT_BACKOFF));
    }

    fn back_off(&mut self, now: Time, name: Arc<str>, span: Span) {
        if self.backoff.len() < 2 * MAX_LENT {
            self.backoff.insert(name, time_after(now, span));
        }
    }

    /// Returns leases that aren't needed, once the calls in flight fit into the remaining slots.
    pub(super) fn give_back(&mut self, now: Time, out: &mut Vec<OutgoingLeaseMessage>) {
        let needed = self.demand(now) * SLOT;
        let mut rest = self.limit(now);
        for lease in &mut self.borrowed {
            if !lease.ending && needed + lease.amount <= rest {
                rest -= lease.amount;
                lease.ending = true;
            }
        }
        if self.taken(now) * SLOT > self.limit(now) {
            return;
        }
        let pending = &mut self.pending;
        self.borrowed.retain(|lease| {
            if lease.ending {
                // Without its pending request, a grant that is still in transit can't restore the lease.
                pending.retain(|request| request.number != lease.number);
                let message = LeaseMessage::Return { number: lease.number };
                out.push(OutgoingLeaseMessage { to: Arc::clone(&lease.lender), message });
            }
            !lease.ending
        });
    }

    /// Requests extensions of the leases in use once half of their duration has passed.
    pub(super) fn request_extensions(&mut self, now: Time, out: &mut Vec<OutgoingLeaseMessage>) {
        let half_duration = Span(self.settings.duration.0 / 2);
        for lease in self.borrowed.iter_mut().filter(|lease| !lease.ending) {
            let must_wait = self.pending.iter().any(|request| request.number == lease.number)
                || self.backoff.contains_key(&lease.lender);
            if now >= lease.until || time_after(now, half_duration) < lease.until || must_wait {
                continue;
            }
            lease.round += 1;
            let (number, round, amount) = (lease.number, lease.round, lease.amount);
            let lender = Arc::clone(&lease.lender);
            self.pending.push(PendingRequest { lender, number, round, amount, sent_at: now });
            let message = LeaseMessage::Request { number, round, amount };
            out.push(OutgoingLeaseMessage { to: Arc::clone(&lease.lender), message });
        }
    }

    /// Requests missing slots from lenders.
    pub(super) fn request_missing(
        &mut self,
        now: Time,
        lenders: &[LenderOffer],
        out: &mut Vec<OutgoingLeaseMessage>,
    ) {
        // A server that has lent slots recalls them instead of borrowing.
        let is_short = self.short_since.is_some_and(|since| now >= time_after(since, BORROW_AFTER));
        if !is_short || !self.lent.is_empty() || now < self.calls_allowed_from {
            return;
        }
        let already_requested = self.first_requests() as u32 * SLOT;
        let wanted = (self.taken(now) + self.waiting) * SLOT;
        let mut missing = wanted.saturating_sub(self.limit(now) + already_requested);
        for offer in lenders {
            let new = self.first_requests();
            if missing == 0 || new >= MAX_PENDING || self.borrowed.len() + new >= MAX_BORROWED {
                return;
            }
            if !self.may_request(offer) {
                continue;
            }
            // Whole slots if the lender has any. Fractions of a slot add up with those of the own share.
            let amount = match offer.spare {
                spare if spare >= SLOT => (missing.div_ceil(SLOT) * SLOT).min(spare / SLOT * SLOT),
                part => part,
            };
            missing = missing.saturating_sub(amount);
            self.last_number += 1;
            let number = self.last_number;
            let lender = Arc::clone(&offer.name);
            self.pending.push(PendingRequest { lender, number, round: 0, amount, sent_at: now });
            let message = LeaseMessage::Request { number, round: 0, amount };
            out.push(OutgoingLeaseMessage { to: Arc::clone(&offer.name), message });
        }
    }

    fn first_requests(&self) -> usize {
        self.pending.iter().filter(|request| request.is_first()).count()
    }

    fn may_request(&self, offer: &LenderOffer) -> bool {
        let known = self.pending.iter().any(|request| request.lender == offer.name)
            || self.borrowed.iter().any(|lease| lease.lender == offer.name);
        offer.spare > 0 && !known && !self.backoff.contains_key(&offer.name)
    }

    /// Applies a grant. It is ignored if it answers no pending request or expired in transit.
    pub(super) fn granted(&mut self, now: Time, from: &Arc<str>, grant: Grant) {
        let Grant { number, round, amount, duration } = grant;
        let index = self.pending.iter().position(|request| {
            request.number == number && request.round == round && request.lender == *from
        });
        let Some(index) = index else { return };
        let request = self.pending.swap_remove(index);
        // A lender that follows the protocol never grants more than was requested. The borrowed amounts are
        // summed, so a greater one could overflow the sum.
        let amount = amount.min(request.amount);
        // The lease counts from when the request was sent, and lasts no longer than this server's own
        // settings allow.
        let until = time_after(request.sent_at, duration.min(self.settings.duration));
        if until <= now {
            return;
        }
        match self.borrowed.iter_mut().find(|lease| lease.number == number) {
            Some(lease) => {
                lease.amount = lease.amount.min(amount);
                lease.until = until;
            }
            None if round == 0 => {
                let lender = Arc::clone(from);
                self.borrowed.push(BorrowedLease { lender, number, round, amount, until, ending: false });
            }
            None => {}
        }
    }

    /// Handles a refusal: drops the request and backs off from the lender.
    pub(super) fn refused(&mut self, now: Time, from: &Arc<str>, number: u64) {
        let known = self.pending.iter().any(|request| request.number == number && request.lender == *from);
        if known {
            self.pending.retain(|request| request.number != number);
            self.back_off(now, Arc::clone(from), REFUSED_BACKOFF);
        }
    }

    /// Handles a recall: no new call uses the lease.
    pub(super) fn recalled(&mut self, from: &Arc<str>, number: u64) {
        let lease = self.borrowed.iter_mut().find(|lease| lease.number == number && lease.lender == *from);
        if let Some(lease) = lease {
            lease.ending = true;
        }
    }
}
