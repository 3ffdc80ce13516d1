//! Leases on slots of the shared upstream, lent from server to server.
//!
//! Each server has a share of its own, of which it lends at the most a part. What is lent counts as spent with the lender
//! until the borrower can't use it any more, by whichever clock is slower; the borrower counts from when it sent its
//! request. So at every moment each slot is used by at most one server, whatever messages are lost, delayed or duplicated and
//! whatever processes are paused or killed. A server that receives nothing has its own share less what it lent.
//!
//! Amounts are in thousandths of a slot; a call takes a complete one. The lender's rules are in `lender`, the borrower's in
//! `borrower`, their messages in `message`. Not here: which calls are made (the admission module's), and who
//! is a member.

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
/// What is borrowed is kept while the mean demand over about this time wants it.
const DEMAND_OVER: Span = Span(500 * MS);

/// Which slot a call is made with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// One of the own share.
    Own,
    /// A borrowed one: the call must leave here by the lease's end.
    Borrowed {
        /// When the lease ends.
        until: Time,
        /// How long the call may take.
        max_call: Span,
    },
}

/// The slots that are needed here: now, and in the mean of late.
#[derive(Debug)]
struct Demand {
    mean: f64,
    now: u32,
    since: Time,
}

/// What one server has lent and borrowed.
#[derive(Debug)]
pub struct LeaseTable {
    settings: LeaseSettings,
    own_share: u32,
    /// Nothing may be called before this: calls from before a restart may still be with the upstream.
    calls_from: Time,
    /// Until then what may have been lent before a restart counts as lent.
    restart_hold_until: Time,
    lent: BTreeMap<LeaseKey, LentLease>,
    borrowed: Vec<BorrowedLease>,
    /// Own requests that are not answered yet.
    pending: Vec<PendingRequest>,
    /// Others' requests that can't be granted yet.
    requests: RequestQueue,
    /// Lenders that are not to be asked before this.
    backoff: BTreeMap<Arc<str>, Time>,
    last_number: u64,
    /// Calls under way, and runs that wait for one.
    calls: u32,
    waiting: u32,
    /// Since when runs wait without a break.
    short_since: Option<Time>,
    /// Until when the upstream may go on with calls that were given up: they hold their slots for so long.
    lingering: VecDeque<Time>,
    demand: Demand,
}

impl LeaseTable {
    /// A server that starts: it has lent and borrowed nothing that it can spend, and what it may have lent before a
    /// restart is held back until that is certainly over.
    pub fn new(settings: LeaseSettings, share: f64, now: Time) -> Self {
        let (calls_from, restart_hold_until) = if settings.ignore_expiry {
            (now, now)
        } else {
            (time_after(now, settings.upstream_linger), time_after(now, settings.hold()))
        };
        Self {
            own_share: thousandths(share),
            calls_from,
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

    /// A new share, after a reload.
    pub fn set_share(&mut self, share: f64) {
        self.own_share = thousandths(share);
    }

    /// What of the own share may be used here, in thousandths of a slot.
    pub fn retained(&self, now: Time) -> u32 {
        if now < self.calls_from {
            return 0;
        }
        let held_back = if now < self.restart_hold_until { self.lendable() } else { 0 };
        self.own_share.saturating_sub(held_back + self.lent(now))
    }

    /// What may be used here in all, in thousandths of a slot.
    pub fn limit(&self, now: Time) -> u32 {
        self.retained(now) + self.borrowed(now)
    }

    /// Slots taken: by calls under way, and by those given up that the upstream may go on with.
    pub fn taken(&self, now: Time) -> u32 {
        self.calls + self.lingering.iter().filter(|until| now < **until).count() as u32
    }

    /// Whether runs wait because all slots are taken. Runs that wait while one is free do so for the module's reasons, as
    /// where it takes the upstream to be overloaded, and more slots would not help them.
    pub fn is_short(&self, now: Time) -> bool {
        self.waiting > 0 && (self.taken(now) + 1) * SLOT > self.limit(now)
    }

    /// Runs that wait for a call.
    pub fn waiting_runs(&self) -> u32 {
        self.waiting
    }

    /// So many runs wait for a call.
    pub fn set_waiting(&mut self, now: Time, waiting: u32) {
        self.waiting = waiting;
        self.short_since = if self.is_short(now) { self.short_since.or(Some(now)) } else { None };
        self.measure_demand(now);
    }

    fn measure_demand(&mut self, now: Time) {
        let passed = now.0.saturating_sub(self.demand.since.0) as f64 / DEMAND_OVER.0 as f64;
        self.demand.mean += (1.0 - (-passed).exp()) * (f64::from(self.demand.now) - self.demand.mean);
        self.demand.since = now;
        self.demand.now = self.taken(now) + if self.is_short(now) { self.waiting } else { 0 };
    }

    /// Slots that are needed here, now or in the mean of late.
    fn demand(&self, now: Time) -> u32 {
        self.demand.now.max(self.taken(now)).max(self.demand.mean.round().max(0.0) as u32)
    }

    /// Takes a slot for a call, if one is free.
    pub fn call(&mut self, now: Time) -> Option<Slot> {
        let next = (self.taken(now) + 1) * SLOT;
        let slot = if next <= self.retained(now) { Slot::Own } else { self.borrowed_slot(now, next)? };
        self.calls += 1;
        self.measure_demand(now);
        Some(slot)
    }

    /// A slot by the leases that last longest: the call must leave before the first of those that are needed ends.
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

    /// A call has ended, or was never made; whether it was given up while the upstream may go on with it.
    pub fn call_ended(&mut self, now: Time, given_up: bool) {
        self.measure_demand(now);
        self.calls = self.calls.saturating_sub(1);
        self.lingering.retain(|until| now < *until);
        if given_up && !self.settings.ignore_expiry {
            self.lingering.push_back(time_after(now, self.settings.linger()));
        }
    }

    /// Leases that are over go, those that are needed are extended, and what is missing is asked for. `lenders` are
    /// members that are healthy, with what they would lend, in an order of the caller's.
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

    /// A message of another server in this incarnation of it; the reply, if there is one.
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

    /// When the next lease or hold expires.
    pub fn wake_at(&self, now: Time) -> Option<Time> {
        let expiries = self.borrowed.iter().map(|lease| lease.until);
        let back = self.lent.values().map(|lease| lease.until).filter(|_| self.waiting > 0);
        let starts = [self.restart_hold_until, self.calls_from].into_iter();
        let held = starts.chain(self.lingering.iter().copied());
        expiries.chain(back).chain(held).filter(|at| *at > now).min()
    }
}

fn thousandths(share: f64) -> u32 {
    (share.clamp(0.0, 1e6) * f64::from(SLOT)).floor() as u32
}

#[cfg(test)]
mod tests;
