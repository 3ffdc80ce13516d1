//! Calls to the shared upstream: whether one may be made now, by the leases on its slots and by the circuit
//! breaker.

use super::{Cluster, TICK};
use crate::MS;
use crate::circuit_breaker::{Admission, PeerObservations};
use crate::leases::{LenderOffer, SLOT, Slot};
use gradepin_admission::{Outcome, Span, Time, time_after};
use rand_pcg::rand_core::Rng;
use std::sync::Arc;

/// Interval at which leases are maintained while slots are short.
const SHORTAGE_TICK: Span = Span(20 * MS);
/// Maximum age of a lender's advertised spare slots.
const OFFER_VALID_FOR: Span = Span(3_000 * MS);
/// Maximum number of lenders considered in one step.
const MAX_LENDERS: usize = 12;

/// Whether a call to the shared upstream may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDecision {
    /// The call may be made with this slot, which is now in use.
    Proceed(Slot),
    /// The call must wait: all slots are in use.
    Wait,
    /// The call must not be made, because the circuit breaker rejects it.
    Rejected,
}

impl Cluster {
    /// Sets the number of runs that wait for a call to the upstream.
    pub fn set_waiting(&mut self, now: Time, waiting: usize) {
        self.leases.set_waiting(now, waiting as u32);
        if self.leases.is_short(now) {
            self.next_lease_step = self.next_lease_step.min(time_after(now, SHORTAGE_TICK));
        }
    }

    /// Whether a call to the upstream may be made now.
    pub fn call(&mut self, now: Time) -> CallDecision {
        let random = self.random();
        let lends = self.settings.share.is_some();
        let has_slot = self.leases.limit(now) >= (self.leases.taken(now) + 1) * SLOT;
        if lends && self.circuit_breaker.is_closed() && !has_slot {
            return CallDecision::Wait;
        }
        match self.circuit_breaker.call(now, random) {
            Admission::Rejected => CallDecision::Rejected,
            // If slots aren't lent, the admission module alone bounds the number of calls.
            Admission::Call | Admission::Probe if !lends => CallDecision::Proceed(Slot::Own),
            Admission::Call | Admission::Probe => {
                self.leases.call(now).map_or(CallDecision::Wait, CallDecision::Proceed)
            }
        }
    }

    /// Releases the slot of a call that ended, and records its outcome.
    pub fn call_ended(&mut self, now: Time, outcome: Outcome, took: Span) {
        let given_up = matches!(outcome, Outcome::TimedOut | Outcome::Aborted);
        self.leases.call_ended(now, given_up);
        if self.leases.has_queued_requests() {
            self.next_lease_step = self.next_lease_step.min(now);
        }
        let random = self.random();
        self.circuit_breaker.call_ended(now, outcome, took, random);
    }

    /// The number of slots that this server may use now; none if slots aren't lent.
    pub fn limit(&self, now: Time) -> Option<f64> {
        self.settings.share.map(|_| f64::from(self.leases.limit(now)) / f64::from(SLOT))
    }

    /// When a slot may become free without a further event.
    pub fn slot_at(&self, now: Time) -> Option<Time> {
        self.leases.wake_at(now)
    }

    /// Maintains the leases, and sends the lease messages that result.
    pub(super) fn step_leases(&mut self, now: Time) {
        self.next_lease_step = time_after(now, TICK);
        if self.settings.share.is_none() {
            return;
        }
        let is_short = self.leases.is_short(now);
        let lenders = if is_short { self.lenders(now) } else { Vec::new() };
        let mut messages = Vec::new();
        self.leases.step(now, &lenders, &mut messages);
        for outgoing in messages {
            self.send_lease(now, &outgoing.to, outgoing.message);
        }
        if is_short {
            self.next_lease_step = time_after(now, SHORTAGE_TICK);
        }
    }

    /// Members that may lend, shuffled for each call: first those that advertised complete spare slots.
    /// Advertisements may be out of date either way, so the other members follow.
    fn lenders(&mut self, now: Time) -> Vec<LenderOffer> {
        let own = Arc::clone(&self.members.own().name);
        let recent = |stored: &&crate::counters::StoredRow| {
            stored.row.name != own && stored.age(now) <= OFFER_VALID_FOR
        };
        let offer = |stored: &crate::counters::StoredRow| LenderOffer {
            name: Arc::clone(&stored.row.name),
            spare: stored.row.spare,
        };
        let mut offers: Vec<LenderOffer> = self.counters.rows().filter(recent).map(offer).collect();
        for index in (1..offers.len()).rev() {
            offers.swap(index, self.rng.next_u64() as usize % (index + 1));
        }
        offers.sort_by_key(|offer| offer.spare < SLOT);
        offers.iter_mut().for_each(|offer| offer.spare = offer.spare.max(SLOT));
        // More lenders than are asked at once, since some may be backed off from; but few, since each is
        // looked up among the members.
        offers.truncate(MAX_LENDERS);
        offers.retain(|offer| self.members.healthy(&offer.name).is_some());
        offers
    }

    /// Summary of the recent observations of other servers. Ages are by this server's clock, so after it was
    /// stopped no earlier observation counts.
    pub(super) fn peer_observations(&self, now: Time) -> PeerObservations {
        let mut others = PeerObservations::default();
        let own = &self.members.own().name;
        for stored in self.counters.rows().filter(|stored| stored.row.name != *own) {
            others.add(&stored.row.observation, stored.age(now));
        }
        others
    }
}
