//! Leases on slots of the shared upstream, lent from server to server.
//!
//! Each server has its own share of the slots and may lend up to a fixed fraction of it. The borrower counts
//! the duration of a lease from when it sent the request. The lender doesn't use a lent slot until the
//! borrower's lease and its last call are certainly over, even if the borrower's clock runs slower. So each
//! slot is used by at most one server at any time, whatever messages are lost, delayed or duplicated and
//! whatever processes are paused or killed. A server that receives nothing has its own share less what it
//! lent.
//!
//! Amounts are in thousandths of a slot; a call takes one whole slot. The lender's rules are in `lender`, the
//! borrower's in `borrower`, their messages in `message`. Which runs make calls is decided by the admission
//! module, and membership by [`crate::members`].

mod borrower;
mod lender;
mod message;
mod settings;

pub use message::{LeaseMessage, LenderOffer, OutgoingLeaseMessage};
pub use settings::LeaseSettings;

use crate::MS;
use crate::peer::Incarnation;
use borrower::{BorrowedLease, Grant, PendingRequest};
use gradepin_admission::{Span, Time, time_after};
use lender::{LeaseKey, LentLease, RequestQueue};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// One slot, in thousandths.
pub const SLOT: u32 = 1_000;
/// Time constant of the mean demand. Borrowed slots are kept while the mean demand needs them.
const DEMAND_TIME_CONSTANT: Span = Span(500 * MS);

/// The slot that a call uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// A slot of this server's own share.
    Own,
    /// A borrowed slot: the call must be sent before the lease ends.
    Borrowed {
        /// The end of the lease, by this server's clock.
        until: Time,
        /// Maximum duration of the call.
        max_call: Span,
    },
}

/// The number of slots that this server needs: the current value, and its exponentially weighted mean.
#[derive(Debug)]
struct Demand {
    mean: f64,
    now: u32,
    since: Time,
}

/// The leases that one server has lent and borrowed, and its calls to the shared upstream.
#[derive(Debug)]
pub struct LeaseTable {
    settings: LeaseSettings,
    own_share: u32,
    /// No call is made before this time, because the upstream may still process calls from before a restart.
    calls_allowed_from: Time,
    /// Until this time all lendable slots count as lent, because they may have been lent before a restart.
    restart_hold_until: Time,
    lent: BTreeMap<LeaseKey, LentLease>,
    borrowed: Vec<BorrowedLease>,
    /// Requests of this server without a reply so far.
    pending: Vec<PendingRequest>,
    /// Requests of other servers that wait for free slots.
    requests: RequestQueue,
    /// The time before which each of these lenders is not asked again.
    backoff: BTreeMap<Arc<str>, Time>,
    last_number: u64,
    /// Calls in flight.
    calls: u32,
    /// Runs that wait for a call.
    waiting: u32,
    /// Start of the current uninterrupted shortage of slots.
    short_since: Option<Time>,
    /// For each abandoned call, the time until which the upstream may still process it. The call occupies its
    /// slot until then.
    lingering: VecDeque<Time>,
    demand: Demand,
}

impl LeaseTable {
    /// A table without leases for a server that has just started. Leases from before a restart are unknown,
    /// so the lendable slots are held back until any such lease is certainly over.
    pub fn new(settings: LeaseSettings, share: f64, now: Time) -> Self {
        let (calls_allowed_from, restart_hold_until) = if settings.ignore_expiry {
            (now, now)
        } else {
            (time_after(now, settings.upstream_linger), time_after(now, settings.hold()))
        };
        Self {
            own_share: thousandths(share),
            calls_allowed_from,
            restart_hold_until,
            lent: BTreeMap::new(),
            borrowed: Vec::new(),
            pending: Vec::new(),
            requests: VecDeque::new(),
            backoff: BTreeMap::new(),
            last_number: 0,
            calls: 0,
            waiting: 0,
            short_since: None,
            lingering: VecDeque::new(),
            demand: Demand { mean: 0.0, now: 0, since: now },
            settings,
        }
    }

    /// Sets this server's own share, in slots, after a reload.
    pub fn set_share(&mut self, share: f64) {
        self.own_share = thousandths(share);
    }

    /// The part of the own share that this server may use, in thousandths of a slot.
    pub fn retained(&self, now: Time) -> u32 {
        if now < self.calls_allowed_from {
            return 0;
        }
        let held_back = if now < self.restart_hold_until { self.lendable() } else { 0 };
        self.own_share.saturating_sub(held_back + self.lent(now))
    }

    /// The own and borrowed slots that this server may use, in thousandths of a slot.
    pub fn limit(&self, now: Time) -> u32 {
        self.retained(now) + self.borrowed(now)
    }

    /// Slots in use, by calls in flight and by abandoned calls that the upstream may still process.
    pub fn taken(&self, now: Time) -> u32 {
        self.calls + self.lingering.iter().filter(|until| now < **until).count() as u32
    }

    /// Whether runs wait because all slots are in use. Runs that wait although a slot is free are held back
    /// by the admission module, for example because it considers the upstream overloaded; more slots would
    /// not help them.
    pub fn is_short(&self, now: Time) -> bool {
        self.waiting > 0 && (self.taken(now) + 1) * SLOT > self.limit(now)
    }

    /// The number of runs that wait for a call.
    pub fn waiting_runs(&self) -> u32 {
        self.waiting
    }

    /// Sets the number of runs that wait for a call.
    pub fn set_waiting(&mut self, now: Time, waiting: u32) {
        self.waiting = waiting;
        self.short_since = if self.is_short(now) { self.short_since.or(Some(now)) } else { None };
        self.measure_demand(now);
    }

    fn measure_demand(&mut self, now: Time) {
        let passed = now.0.saturating_sub(self.demand.since.0) as f64 / DEMAND_TIME_CONSTANT.0 as f64;
        self.demand.mean += (1.0 - (-passed).exp()) * (f64::from(self.demand.now) - self.demand.mean);
        self.demand.since = now;
        self.demand.now = self.taken(now) + if self.is_short(now) { self.waiting } else { 0 };
    }

    /// The number of slots that this server needs: the greater of the current and the mean demand.
    fn demand(&self, now: Time) -> u32 {
        self.demand.now.max(self.taken(now)).max(self.demand.mean.round().max(0.0) as u32)
    }

    /// Takes a free slot for a call, an own one if possible; none if all are in use.
    pub fn call(&mut self, now: Time) -> Option<Slot> {
        let next = (self.taken(now) + 1) * SLOT;
        let slot = if next <= self.retained(now) { Slot::Own } else { self.borrowed_slot(now, next)? };
        self.calls += 1;
        self.measure_demand(now);
        Some(slot)
    }

    /// A borrowed slot, using the leases that last longest. If it takes several leases, the call must be sent
    /// before the first of them ends.
    fn borrowed_slot(&self, now: Time, next: u32) -> Option<Slot> {
        let mut leases: Vec<&BorrowedLease> = self.valid_leases(now).filter(|lease| !lease.ending).collect();
        leases.sort_by_key(|lease| std::cmp::Reverse(lease.until));
        let mut sum = self.retained(now);
        let until = leases.iter().find_map(|lease| {
            sum += lease.amount;
            (next <= sum).then_some(lease.until)
        })?;
        let until = if self.settings.ignore_expiry { Time(u64::MAX) } else { until };
        Some(Slot::Borrowed { until, max_call: self.settings.max_call })
    }

    /// Releases the slot of a call that ended or was never made. `given_up`: the call was abandoned and the
    /// upstream may still process it, so its slot stays in use for the linger time.
    pub fn call_ended(&mut self, now: Time, given_up: bool) {
        self.measure_demand(now);
        self.calls = self.calls.saturating_sub(1);
        self.lingering.retain(|until| now < *until);
        if given_up && !self.settings.ignore_expiry {
            self.lingering.push_back(time_after(now, self.settings.linger()));
        }
    }

    /// Drops expired leases, extends and returns borrowed ones, recalls and grants lent ones, and requests
    /// missing slots. `lenders` are healthy members with the amounts that they offer, in the order in which
    /// to ask them.
    pub fn step(&mut self, now: Time, lenders: &[LenderOffer], out: &mut Vec<OutgoingLeaseMessage>) {
        self.measure_demand(now);
        self.lent.retain(|_, lease| now < lease.until);
        self.end_expired(now);
        self.expire_pending(now);
        self.recall(now, out);
        self.give_back(now, out);
        self.request_extensions(now, out);
        self.grant_queued(now, out);
        self.request_missing(now, lenders, out);
    }

    /// Handles a message from this incarnation of another server; returns the reply, if there is one.
    pub fn receive(
        &mut self,
        now: Time,
        from: &Arc<str>,
        incarnation: Incarnation,
        message: LeaseMessage,
    ) -> Option<LeaseMessage> {
        let key = |number| LeaseKey { borrower: Arc::clone(from), incarnation, number };
        match message {
            LeaseMessage::Request { number, round, amount } => {
                return self.requested(now, key(number), round, amount);
            }
            LeaseMessage::Grant { number, round, amount, duration_ms } => {
                let duration = Span(u64::from(duration_ms) * MS);
                self.granted(now, from, Grant { number, round, amount, duration });
            }
            LeaseMessage::Refuse { number } => self.refused(now, from, number),
            LeaseMessage::Recall { number } => self.recalled(from, number),
            LeaseMessage::Return { number } => {
                self.lent.remove(&key(number));
            }
        }
        None
    }

    /// The next time at which slots may become free without a message: the end of a lease, a hold or a
    /// linger.
    pub fn wake_at(&self, now: Time) -> Option<Time> {
        let borrowed_ends = self.borrowed.iter().map(|lease| lease.until);
        let lent_ends = self.lent.values().map(|lease| lease.until).filter(|_| self.waiting > 0);
        let restart_ends = [self.restart_hold_until, self.calls_allowed_from].into_iter();
        let hold_ends = restart_ends.chain(self.lingering.iter().copied());
        borrowed_ends.chain(lent_ends).chain(hold_ends).filter(|at| *at > now).min()
    }
}

/// Slots in thousandths, from 0 to 1,000,000 slots.
fn thousandths(share: f64) -> u32 {
    (share.clamp(0.0, 1e6) * f64::from(SLOT)).floor() as u32
}

#[cfg(test)]
mod tests;
