//! The borrower's side: when slots are asked for, extended and given back, and until when they may be used.

use super::lender::MAX_LENT;
use super::message::{LeaseMessage, LenderOffer, OutgoingLeaseMessage};
use super::{LeaseTable, SLOT};
use crate::MS;
use gradepin_admission::{Span, Time, time_after};
use std::sync::Arc;

/// Leases taken at a time.
const MAX_BORROWED: usize = 16;
/// Lenders asked at a time.
const MAX_PENDING: usize = 6;
/// A request for a lease that isn't answered is given up after this.
const REQUEST_TIMEOUT: Span = Span(600 * MS);
/// One for an extension is sent again sooner, as a lost datagram is no reason to lose a lease.
const EXTENSION_TIMEOUT: Span = Span(250 * MS);
/// Who didn't answer is not asked again so soon.
const SILENT_BACKOFF: Span = Span(1_500 * MS);
/// Nor who refused.
const REFUSED_BACKOFF: Span = Span(250 * MS);
/// More is borrowed once runs waited for so long.
pub(super) const BORROW_AFTER: Span = Span(20 * MS);

/// A lease as its borrower keeps it.
#[derive(Debug, Clone)]
pub(super) struct BorrowedLease {
    pub lender: Arc<str>,
    number: u64,
    round: u32,
    pub amount: u32,
    pub until: Time,
    /// Recalled by the lender or no longer needed: no new call uses it.
    pub ending: bool,
}

/// A request of this server's that is not answered yet.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    lender: Arc<str>,
    number: u64,
    round: u32,
    /// What was asked for, in thousandths of a slot.
    amount: u32,
    sent_at: Time,
}

impl PendingRequest {
    /// Whether it is for a lease that doesn't exist yet, and not for an extension.
    fn is_first(&self) -> bool {
        self.round == 0
    }

    fn is_pending(&self, now: Time) -> bool {
        let timeout = if self.is_first() { REQUEST_TIMEOUT } else { EXTENSION_TIMEOUT };
        now < time_after(self.sent_at, timeout)
    }
}

/// What a lender granted, as it came.
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

    /// What is borrowed and may be used, in thousandths of a slot.
    pub fn borrowed(&self, now: Time) -> u32 {
        self.valid_leases(now).filter(|lease| !lease.ending).map(|lease| lease.amount).sum()
    }

    /// Expired leases are given back too, once no call is out by them: else the lender would wait for its own clock.
    pub(super) fn end_expired(&mut self, now: Time) {
        if self.settings.ignore_expiry {
            return;
        }
        self.borrowed.iter_mut().filter(|lease| now >= lease.until).for_each(|lease| lease.ending = true);
    }

    /// Drops requests without a reply, and backs off from their lenders.
    pub(super) fn expire_pending(&mut self, now: Time) {
        self.backoff.retain(|_, until| now < *until);
        let mut silent = Vec::new();
        self.pending.retain(|request| {
            let is_pending = request.is_pending(now);
            if !is_pending && request.is_first() {
                silent.push(Arc::clone(&request.lender));
            }
            is_pending
        });
        silent.into_iter().for_each(|name| self.back_off(now, name, SILENT_BACKOFF));
    }

    fn back_off(&mut self, now: Time, name: Arc<str>, span: Span) {
        if self.backoff.len() < 2 * MAX_LENT {
            self.backoff.insert(name, time_after(now, span));
        }
    }

    /// What isn't used is given back once all calls under way fit without it.
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
                // A grant of it that is still under way is not to bring it back.
                pending.retain(|request| request.number != lease.number);
                let message = LeaseMessage::Return { number: lease.number };
                out.push(OutgoingLeaseMessage { to: Arc::clone(&lease.lender), message });
            }
            !lease.ending
        });
    }

    /// Leases that are used are extended from half of their duration on.
    pub(super) fn request_extensions(&mut self, now: Time, out: &mut Vec<OutgoingLeaseMessage>) {
        let half = Span(self.settings.duration.0 / 2);
        for lease in self.borrowed.iter_mut().filter(|lease| !lease.ending) {
            let must_wait = self.pending.iter().any(|request| request.number == lease.number)
                || self.backoff.contains_key(&lease.lender);
            if now >= lease.until || time_after(now, half) < lease.until || must_wait {
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

    /// Asks lenders for what is missing.
    pub(super) fn request_missing(
        &mut self,
        now: Time,
        lenders: &[LenderOffer],
        out: &mut Vec<OutgoingLeaseMessage>,
    ) {
        // A server that lends and needs is to recall, not to borrow.
        let is_short = self.short_since.is_some_and(|since| now >= time_after(since, BORROW_AFTER));
        if !is_short || !self.lent.is_empty() || now < self.calls_from {
            return;
        }
        let coming = self.first_requests() as u32 * SLOT;
        let wanted = (self.taken(now) + self.waiting) * SLOT;
        let mut missing = wanted.saturating_sub(self.limit(now) + coming);
        for offer in lenders {
            let new = self.first_requests();
            if missing == 0 || new >= MAX_PENDING || self.borrowed.len() + new >= MAX_BORROWED {
                return;
            }
            if !self.may_request(offer) {
                continue;
            }
            // Whole slots where there are any; parts of one add up with those of the own share.
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

    /// A lender granted something; it counts if it was asked for and has not expired on the way.
    pub(super) fn granted(&mut self, now: Time, from: &Arc<str>, grant: Grant) {
        let Grant { number, round, amount, duration } = grant;
        let place = self.pending.iter().position(|request| {
            request.number == number && request.round == round && request.lender == *from
        });
        let Some(place) = place else { return };
        let request = self.pending.swap_remove(place);
        // No lender that keeps to the protocol grants more than it was asked for, and what is borrowed is summed up.
        let amount = amount.min(request.amount);
        // From when it was asked, and no longer than the own settings say.
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

    /// A lender refused.
    pub(super) fn refused(&mut self, now: Time, from: &Arc<str>, number: u64) {
        let known = self.pending.iter().any(|request| request.number == number && request.lender == *from);
        if known {
            self.pending.retain(|request| request.number != number);
            self.back_off(now, Arc::clone(from), REFUSED_BACKOFF);
        }
    }

    /// A lender wants a lease back: no new call goes by it.
    pub(super) fn recalled(&mut self, from: &Arc<str>, number: u64) {
        let lease = self.borrowed.iter_mut().find(|lease| lease.number == number && lease.lender == *from);
        if let Some(lease) = lease {
            lease.ending = true;
        }
    }
}
