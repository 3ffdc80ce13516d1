//! Slots of the shared ledger, lent from server to server.
//!
//! Each server has a share of its own, of which it lends at the most a part. What is lent counts as spent with the lender
//! until the borrower can't use it any more, by whichever clock is slower; the borrower counts from when it asked. So at
//! every moment each slot is with one server at the most, whatever is lost, late, doubled, stopped or killed, and a server
//! that hears nothing has its own share less what it lent.
//!
//! Amounts are in thousandths of a slot; a call takes a whole one. Not here: which calls are made (the module's), and who
//! is a member.

use crate::MS;
use crate::peer::Life;
use gradepin_decisions::{Span, Time, after};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A whole slot.
pub const SLOT: u32 = 1_000;
/// Leases given at a time, and taken.
const MOST_LENT: usize = 256;
const MOST_BORROWED: usize = 16;
/// Lenders asked at a time.
const MOST_ASKED: usize = 6;
/// A wish that can't be met now is kept for so long, by number so many: a slot comes free with every call that ends.
/// Shorter than the asker waits for an answer.
const WISH_FOR: Span = Span(500 * MS);
const MOST_WISHES: usize = 64;
/// An ask that isn't answered is given up; one to prolong is put again meanwhile, as a lost datagram is no reason to lose
/// a lease.
const ASK_PATIENCE: Span = Span(600 * MS);
const PROLONG_AGAIN: Span = Span(250 * MS);
/// Who didn't answer is not asked again so soon, nor who refused.
const SILENT_FOR: Span = Span(1_500 * MS);
const REFUSED_FOR: Span = Span(250 * MS);
/// What is borrowed is kept while the mean need over about this time wants it.
const NEED_OVER: Span = Span(500 * MS);
/// Runs that wait for a moment are no need: what is lent is called back once some waited for so long.
const RECALL_AFTER: Span = Span(100 * MS);
/// And more is borrowed once some waited for so long.
const BORROW_AFTER: Span = Span(20 * MS);
/// Between two calls back of one lease.
const RECALL_AGAIN: Span = Span(200 * MS);

/// How leases are made.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseSettings {
    /// How long the borrower may use what it borrowed, from when it asked.
    pub length: Span,
    /// How long one call may take that is made with a borrowed slot.
    pub call: Span,
    /// How long the ledger goes on with a call whose caller has hung up.
    pub linger: Span,
    /// How far a clock may be off its rate, in millionths.
    pub drift_ppm: u64,
    /// The part of the own share that may be lent, in thousandths.
    pub part: u32,
    /// A drill's: leases are used past their ends, and what was lent by an earlier life is not held back. It shows
    /// what the rules are for, and must break the bound.
    pub plain: bool,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            length: Span(2_000 * MS),
            call: Span(1_500 * MS),
            linger: Span(200 * MS),
            drift_ppm: 10_000,
            part: 700,
            plain: false,
        }
    }
}

impl LeaseSettings {
    /// How long a lender counts what it lent as spent, on its own clock: the length, the last call and its linger, stretched
    /// from a borrower's slowest clock to a lender's fastest.
    pub fn hold(&self) -> Span {
        if self.plain {
            return self.length;
        }
        let whole = u128::from(self.length.0 + self.call.0 + self.linger.0);
        let (fast, slow) = (1_000_000 + self.drift_ppm, 1_000_000 - self.drift_ppm.min(999_999));
        Span((whole * u128::from(fast)).div_ceil(u128::from(slow)) as u64)
    }
}

/// What servers say to each other about leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Lend me so much, or prolong what you lent under this number; `round` grows with each such wish.
    Ask { number: u64, round: u32, amount: u32 },
    /// It is yours, so much of it, from when you asked and for so long.
    Grant { number: u64, round: u32, amount: u32, length_ms: u32 },
    /// No.
    Refuse { number: u64 },
    /// I need it myself.
    Recall { number: u64 },
    /// I don't use it any more, and won't.
    Return { number: u64 },
}

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// With a slot of the own share.
    Own,
    /// With a borrowed one: it must leave here by that time, and may take so long.
    Borrowed {
        /// When the lease ends.
        until: Time,
        /// How long the call may take.
        most: Span,
    },
}

#[derive(Debug, Clone)]
struct Lent {
    round: u32,
    amount: u32,
    until: Time,
    recalled: Option<Time>,
}

#[derive(Debug, Clone)]
struct Borrowed {
    from: Arc<str>,
    number: u64,
    round: u32,
    amount: u32,
    until: Time,
    /// The lender wants it back, or nobody needs it: no new call goes by it.
    ending: bool,
}

#[derive(Debug, Clone)]
struct Asked {
    from: Arc<str>,
    number: u64,
    round: u32,
    at: Time,
}

/// Another server's wish for slots that aren't free yet.
#[derive(Debug, Clone)]
struct Wish {
    since: Time,
    from: Arc<str>,
    life: Life,
    number: u64,
    amount: u32,
}

/// What one server has lent and borrowed.
#[derive(Debug)]
pub struct Escrow {
    set: LeaseSettings,
    own: u32,
    /// Nothing may be called before this: calls of an earlier life may still be with the ledger.
    opens: Time,
    /// Until then what an earlier life may have lent counts as lent.
    held_back: Time,
    lent: BTreeMap<(Arc<str>, Life, u64), Lent>,
    borrowed: Vec<Borrowed>,
    asked: Vec<Asked>,
    wishes: VecDeque<Wish>,
    alone: BTreeMap<Arc<str>, Time>,
    number: u64,
    /// Calls under way, and runs that wait for one.
    calls: u32,
    waiting: u32,
    /// Since when runs wait without a break.
    short: Option<Time>,
    /// Until when the ledger may go on with calls that were given up: they hold their slots for so long.
    lingering: VecDeque<Time>,
    /// The mean need in slots, and what is needed since when.
    need: f64,
    needs: u32,
    need_since: Time,
}

impl Escrow {
    /// A server that starts: it has lent and borrowed nothing that it can spend, and what it may have lent in an earlier
    /// life is held back until that is certainly over.
    pub fn new(set: LeaseSettings, share: f64, now: Time) -> Self {
        let (opens, held_back) =
            if set.plain { (now, now) } else { (after(now, set.linger), after(now, set.hold())) };
        Self {
            own: milli(share),
            opens,
            held_back,
            lent: BTreeMap::new(),
            borrowed: Vec::new(),
            asked: Vec::new(),
            wishes: VecDeque::new(),
            alone: BTreeMap::new(),
            number: 0,
            calls: 0,
            waiting: 0,
            short: None,
            lingering: VecDeque::new(),
            need: 0.0,
            needs: 0,
            need_since: now,
            set,
        }
    }

    /// A new share, told at a reload.
    pub fn share(&mut self, share: f64) {
        self.own = milli(share);
    }

    /// The part of the own share that may be lent at the most: whole slots where there are any, and one always stays, so
    /// that a server which holds back what it may have lent can still call.
    fn lendable(&self) -> u32 {
        let part = (u64::from(self.own) * u64::from(self.set.part) / 1_000) as u32;
        let part = part.min(self.own.saturating_sub(SLOT));
        if part >= SLOT { part / SLOT * SLOT } else { part }
    }

    /// What is lent now.
    pub fn lent(&self, now: Time) -> u32 {
        self.lent.values().filter(|lent| now < lent.until).map(|lent| lent.amount).sum()
    }

    /// What of the own share may be used here.
    pub fn kept(&self, now: Time) -> u32 {
        if now < self.opens {
            return 0;
        }
        let back = if now < self.held_back { self.lendable() } else { 0 };
        self.own.saturating_sub(back + self.lent(now))
    }

    fn valid(&self, now: Time) -> impl Iterator<Item = &Borrowed> {
        self.borrowed.iter().filter(move |lease| now < lease.until || self.set.plain)
    }

    /// What is borrowed and may be used.
    pub fn borrowed(&self, now: Time) -> u32 {
        self.valid(now).filter(|lease| !lease.ending).map(|lease| lease.amount).sum()
    }

    /// What may be used here in all.
    pub fn limit(&self, now: Time) -> u32 {
        self.kept(now) + self.borrowed(now)
    }

    /// Slots taken: by calls under way, and by those given up that the ledger may go on with.
    pub fn taken(&self, now: Time) -> u32 {
        self.calls + self.lingering.iter().filter(|until| now < **until).count() as u32
    }

    /// Thousandths of slots that would be lent now. Nothing while something is borrowed: what is lent is always the
    /// lender's own.
    pub fn spare(&self, now: Time) -> u32 {
        if !self.may_lend(now) {
            return 0;
        }
        // All that is free now: what is missed is called back, and that takes little more than one call of the borrower's.
        // Of the runs that wait one is counted: where there is room, the others wait for the module's own reasons.
        let free = self.kept(now).saturating_sub((self.taken(now) + self.waiting.min(1)) * SLOT);
        free.min(self.lendable().saturating_sub(self.lent(now)))
    }

    /// Who borrows doesn't lend, nor who may have lent in an earlier life.
    fn may_lend(&self, now: Time) -> bool {
        now >= self.held_back && self.borrowed.is_empty() && self.asked.is_empty()
    }

    /// Whether somebody waits for a slot of this server.
    pub fn is_wished(&self) -> bool {
        !self.wishes.is_empty()
    }

    /// Whether runs wait because all slots are taken. Runs that wait while one is free do so for the module's reasons, as
    /// where it takes the ledger to be crowded, and more slots would not help them.
    pub fn is_short(&self, now: Time) -> bool {
        self.waiting > 0 && (self.taken(now) + 1) * SLOT > self.limit(now)
    }

    /// Runs that wait for a call.
    pub fn waits(&self) -> u32 {
        self.waiting
    }

    /// So many runs wait for a call.
    pub fn waiting(&mut self, now: Time, waiting: u32) {
        self.waiting = waiting;
        self.short = if self.is_short(now) { self.short.or(Some(now)) } else { None };
        self.needed(now);
    }

    fn needed(&mut self, now: Time) {
        let passed = now.0.saturating_sub(self.need_since.0) as f64 / NEED_OVER.0 as f64;
        self.need += (1.0 - (-passed).exp()) * (f64::from(self.needs) - self.need);
        self.need_since = now;
        self.needs = self.taken(now) + if self.is_short(now) { self.waiting } else { 0 };
    }

    /// Slots that are needed here, now or in the mean of late.
    fn need(&self, now: Time) -> u32 {
        self.needs.max(self.taken(now)).max(self.need.round().max(0.0) as u32)
    }

    /// Takes a slot for a call, if one is free.
    pub fn call(&mut self, now: Time) -> Option<Slot> {
        let next = (self.taken(now) + 1) * SLOT;
        let kept = self.kept(now);
        let slot = if next <= kept {
            Slot::Own
        } else {
            // By the leases that last longest; the first of those that are needed to end.
            let mut leases: Vec<&Borrowed> = self.valid(now).filter(|lease| !lease.ending).collect();
            leases.sort_by_key(|lease| std::cmp::Reverse(lease.until));
            let mut sum = kept;
            let until = leases.iter().find_map(|lease| {
                sum += lease.amount;
                (next <= sum).then_some(lease.until)
            });
            let until = if self.set.plain { until.map(|_| Time(u64::MAX)) } else { until };
            Slot::Borrowed { until: until?, most: self.set.call }
        };
        self.calls += 1;
        self.needed(now);
        Some(slot)
    }

    /// A call has ended, or was never made; whether it was given up while the ledger may go on with it.
    pub fn called(&mut self, now: Time, given_up: bool) {
        self.needed(now);
        self.calls = self.calls.saturating_sub(1);
        self.lingering.retain(|until| now < *until);
        if given_up && !self.set.plain {
            // By a clock that may be fast.
            let linger = self.set.linger.0 + self.set.linger.0 * self.set.drift_ppm / 1_000_000;
            self.lingering.push_back(after(now, Span(linger + 1)));
        }
    }

    /// Leases that are over go, those that are needed are prolonged, and what is missing is asked for. `lenders` are
    /// members that are well, with what they would lend, in an order of the caller's.
    pub fn step(&mut self, now: Time, lenders: &[(Arc<str>, u32)], out: &mut Vec<(Arc<str>, Word)>) {
        self.needed(now);
        self.lent.retain(|_, lent| now < lent.until);
        if !self.set.plain {
            // What is over is given back too, once no call is out by it: else its lender would wait for its own clock.
            self.borrowed.iter_mut().filter(|lease| now >= lease.until).for_each(|lease| lease.ending = true);
        }
        self.alone.retain(|_, until| now < *until);
        let mut late = Vec::new();
        self.asked.retain(|asked| {
            let first = asked.round == 0;
            let waits = now < after(asked.at, if first { ASK_PATIENCE } else { PROLONG_AGAIN });
            if !waits && first {
                late.push(Arc::clone(&asked.from));
            }
            waits
        });
        late.into_iter().for_each(|name| self.leave_alone(now, name, SILENT_FOR));
        self.call_back(now, out);
        self.give_back(now, out);
        self.prolong(now, out);
        self.lend(now, out);
        self.borrow(now, lenders, out);
    }

    /// Whether runs wait for longer than a moment.
    fn is_in_need(&self, now: Time) -> bool {
        self.short.is_some_and(|since| now >= after(since, RECALL_AFTER))
    }

    fn leave_alone(&mut self, now: Time, name: Arc<str>, span: Span) {
        if self.alone.len() < 2 * MOST_LENT {
            self.alone.insert(name, after(now, span));
        }
    }

    /// The lender is short itself.
    fn call_back(&mut self, now: Time, out: &mut Vec<(Arc<str>, Word)>) {
        if !self.is_in_need(now) {
            return;
        }
        let mut missing = ((self.taken(now) + self.waiting) * SLOT).saturating_sub(self.kept(now));
        for ((name, _, number), lent) in &mut self.lent {
            if missing == 0 {
                return;
            }
            missing = missing.saturating_sub(lent.amount);
            if lent.recalled.is_none_or(|at| now >= after(at, RECALL_AGAIN)) {
                lent.recalled = Some(now);
                out.push((Arc::clone(name), Word::Recall { number: *number }));
            }
        }
    }

    /// What isn't used is given back once all calls under way fit without it.
    fn give_back(&mut self, now: Time, out: &mut Vec<(Arc<str>, Word)>) {
        let needed = self.need(now) * SLOT;
        let mut rest = self.limit(now);
        for lease in &mut self.borrowed {
            if !lease.ending && needed + lease.amount <= rest {
                rest -= lease.amount;
                lease.ending = true;
            }
        }
        let fits = self.taken(now) * SLOT <= self.limit(now);
        if fits {
            let asked = &mut self.asked;
            self.borrowed.retain(|lease| {
                if lease.ending {
                    // A grant of it that is still under way is not to bring it back.
                    asked.retain(|asked| asked.number != lease.number);
                    out.push((Arc::clone(&lease.from), Word::Return { number: lease.number }));
                }
                !lease.ending
            });
        }
    }

    fn prolong(&mut self, now: Time, out: &mut Vec<(Arc<str>, Word)>) {
        let half = Span(self.set.length.0 / 2);
        for lease in self.borrowed.iter_mut().filter(|lease| !lease.ending) {
            let waits = self.asked.iter().any(|asked| asked.number == lease.number)
                || self.alone.contains_key(&lease.from);
            if now < lease.until && after(now, half) >= lease.until && !waits {
                lease.round += 1;
                let (number, round) = (lease.number, lease.round);
                self.asked.push(Asked { from: Arc::clone(&lease.from), number, round, at: now });
                out.push((Arc::clone(&lease.from), Word::Ask { number, round, amount: lease.amount }));
            }
        }
    }

    fn borrow(&mut self, now: Time, lenders: &[(Arc<str>, u32)], out: &mut Vec<(Arc<str>, Word)>) {
        // A server that lends and needs is to call back, not to borrow.
        let waits = self.short.is_some_and(|since| now >= after(since, BORROW_AFTER));
        if !waits || !self.lent.is_empty() || now < self.opens {
            return;
        }
        let coming = self.asked.iter().filter(|asked| asked.round == 0).count() as u32 * SLOT;
        let mut missing = ((self.taken(now) + self.waiting) * SLOT).saturating_sub(self.limit(now) + coming);
        for (name, spare) in lenders {
            let new = self.asked.iter().filter(|asked| asked.round == 0).count();
            if missing == 0 || new >= MOST_ASKED || self.borrowed.len() + new >= MOST_BORROWED {
                return;
            }
            let known = self.asked.iter().any(|asked| asked.from == *name)
                || self.borrowed.iter().any(|lease| lease.from == *name);
            if *spare == 0 || known || self.alone.contains_key(name) {
                continue;
            }
            // Whole slots where there are any; parts of one add up with those of the own share.
            let amount = match *spare {
                spare if spare >= SLOT => (missing.div_ceil(SLOT) * SLOT).min(spare / SLOT * SLOT),
                part => part,
            };
            missing = missing.saturating_sub(amount);
            self.number += 1;
            let number = self.number;
            self.asked.push(Asked { from: Arc::clone(name), number, round: 0, at: now });
            out.push((Arc::clone(name), Word::Ask { number, round: 0, amount }));
        }
    }

    /// Another server said something, in this life of it; what is said back.
    pub fn heard(&mut self, now: Time, from: &Arc<str>, life: Life, word: Word) -> Option<Word> {
        match word {
            Word::Ask { number, round, amount } => self.ask(now, from, life, number, round, amount),
            Word::Grant { number, round, amount, length_ms } => {
                self.granted(now, from, number, round, amount, length_ms);
                None
            }
            Word::Refuse { number } => {
                let known = self.asked.iter().any(|asked| asked.number == number && asked.from == *from);
                if known {
                    self.asked.retain(|asked| asked.number != number);
                    self.leave_alone(now, Arc::clone(from), REFUSED_FOR);
                }
                None
            }
            Word::Recall { number } => {
                let lease =
                    self.borrowed.iter_mut().find(|lease| lease.number == number && lease.from == *from);
                if let Some(lease) = lease {
                    lease.ending = true;
                }
                None
            }
            Word::Return { number } => {
                self.lent.remove(&(Arc::clone(from), life, number));
                None
            }
        }
    }

    fn ask(
        &mut self,
        now: Time,
        from: &Arc<str>,
        life: Life,
        number: u64,
        round: u32,
        amount: u32,
    ) -> Option<Word> {
        let key = (Arc::clone(from), life, number);
        let length_ms = (self.set.length.0 / MS) as u32;
        let hold = self.set.hold();
        // A wish to prolong is heeded unless it is needed here.
        let short = self.is_in_need(now) || self.kept(now) < self.taken(now) * SLOT;
        if let Some(lent) = self.lent.get_mut(&key).filter(|lent| now < lent.until) {
            if round > lent.round {
                if short || lent.recalled.is_some() {
                    return Some(Word::Refuse { number });
                }
                (lent.round, lent.until) = (round, after(now, hold));
            } else if round < lent.round {
                return Some(Word::Refuse { number });
            }
            // The same wish again: what was granted, and no longer than that.
            return Some(Word::Grant { number, round, amount: lent.amount, length_ms });
        }
        if round > 0 || amount == 0 || self.lent.len() >= MOST_LENT || !self.may_lend(now) {
            return Some(Word::Refuse { number });
        }
        let known = self.wishes.iter().any(|wish| wish.from == *from && wish.number == number);
        if known || self.wishes.len() >= MOST_WISHES {
            return None;
        }
        let wish = Wish { since: now, from: Arc::clone(from), life, number, amount };
        self.wishes.push_back(wish);
        None
    }

    /// Lends what is free to those that wish for it, the first one first.
    fn lend(&mut self, now: Time, out: &mut Vec<(Arc<str>, Word)>) {
        self.wishes.retain(|wish| now < after(wish.since, WISH_FOR));
        let length_ms = (self.set.length.0 / MS) as u32;
        while let Some(wish) = self.wishes.front() {
            let amount = wish.amount.min(self.spare(now));
            // Parts of a slot are lent to those that want no whole one: else one call would wait for many lenders.
            let whole = if wish.amount >= SLOT { amount / SLOT * SLOT } else { amount };
            if whole == 0 || self.lent.len() >= MOST_LENT {
                return;
            }
            let Some(Wish { from, life, number, .. }) = self.wishes.pop_front() else { return };
            let lent = Lent { round: 0, amount: whole, until: after(now, self.set.hold()), recalled: None };
            self.lent.insert((Arc::clone(&from), life, number), lent);
            out.push((from, Word::Grant { number, round: 0, amount: whole, length_ms }));
        }
    }

    fn granted(&mut self, now: Time, from: &Arc<str>, number: u64, round: u32, amount: u32, length_ms: u32) {
        let asked = self
            .asked
            .iter()
            .position(|asked| asked.number == number && asked.round == round && asked.from == *from);
        let Some(place) = asked else { return };
        let asked = self.asked.swap_remove(place);
        // From when it was asked, and no longer than the own settings say.
        let length = Span(u64::from(length_ms) * MS).min(self.set.length);
        let until = after(asked.at, length);
        if until <= now {
            return;
        }
        match self.borrowed.iter_mut().find(|lease| lease.number == number) {
            // It was asked for as it is; less than that is no grant of a lender that keeps its word.
            Some(lease) => (lease.amount, lease.until) = (lease.amount.min(amount), until),
            None if round == 0 => {
                let from = Arc::clone(from);
                self.borrowed.push(Borrowed { from, number, round, amount, until, ending: false });
            }
            None => {}
        }
    }

    /// When something ends by itself.
    pub fn wake_at(&self, now: Time) -> Option<Time> {
        let ends = self.borrowed.iter().map(|lease| lease.until);
        let back = self.lent.values().map(|lent| lent.until).filter(|_| self.waiting > 0);
        let held = [self.held_back, self.opens].into_iter().chain(self.lingering.iter().copied());
        ends.chain(back).chain(held).filter(|at| *at > now).min()
    }
}

fn milli(share: f64) -> u32 {
    (share.clamp(0.0, 1e6) * f64::from(SLOT)).floor() as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Time {
        Time(ms * MS)
    }

    fn name(name: &str) -> Arc<str> {
        Arc::from(name)
    }

    /// A server that has been up for long enough to lend.
    fn server(share: f64) -> Escrow {
        Escrow::new(LeaseSettings::default(), share, Time(0))
    }

    const L: Life = Life(1);

    /// So many runs have waited for long enough to borrow for.
    fn waits(server: &mut Escrow, now: Time, runs: u32) {
        server.waiting(Time(now.0 - BORROW_AFTER.0), runs);
        server.waiting(now, runs);
    }

    /// Lets `borrower` ask `lender`, and carries what they say, all at one moment.
    fn deal(now: Time, borrower: &mut Escrow, lender: &mut Escrow) {
        let spare = lender.spare(now);
        let mut out = Vec::new();
        borrower.step(now, &[(name("lender"), spare)], &mut out);
        for (_, word) in out {
            if let Some(reply) = lender.heard(now, &name("borrower"), L, word) {
                borrower.heard(now, &name("lender"), L, reply);
            }
        }
        let mut out = Vec::new();
        lender.step(now, &[], &mut out);
        for (_, word) in out {
            borrower.heard(now, &name("lender"), L, word);
        }
    }

    #[test]
    fn what_is_not_used_is_lent_and_given_back() {
        let (mut a, mut b) = (server(4.0), server(4.0));
        let now = ms(10_000);
        for _ in 0..4 {
            assert_eq!(a.call(now), Some(Slot::Own));
        }
        assert_eq!(a.call(now), None);
        waits(&mut a, now, 2);
        deal(now, &mut a, &mut b);
        assert_eq!((a.limit(now), b.limit(now)), (6_000, 2_000), "of 2.8 at the most, in whole slots");
        let slot = a.call(now);
        assert_eq!(slot, Some(Slot::Borrowed { until: ms(12_000), most: Span(1_500 * MS) }));
        a.waiting(now, 0);
        // Nothing under way, nothing needed for a while: it goes back.
        (0..5).for_each(|_| a.called(now, false));
        for at in [10_600, 11_200, 11_800] {
            deal(ms(at), &mut a, &mut b);
        }
        assert_eq!((a.limit(ms(11_800)), b.limit(ms(11_800))), (4_000, 4_000));
        assert_eq!(b.lent(ms(11_800)), 0, "before the lease was over");
    }

    /// Guards the bound against a borrower that is stopped with a lease in hand and goes on after its end, by which time
    /// the lender uses the slot again.
    #[test]
    fn a_lease_is_over_for_the_borrower_before_it_is_for_the_lender() {
        let (mut a, mut b) = (server(1.0), server(4.0));
        let now = ms(10_000);
        a.call(now);
        waits(&mut a, now, 1);
        deal(now, &mut a, &mut b);
        assert_eq!(a.limit(now), 2_000);
        assert!(a.call(ms(11_999)).is_some(), "the last moment");
        a.called(ms(11_999), false);
        assert_eq!(a.call(ms(12_000)), None, "looked at by the clock of the call, with no step between");
        assert_eq!(b.kept(ms(12_000)), 3_000, "a call made at the last moment may still be out");
        let hold = LeaseSettings::default().hold();
        assert_eq!(b.kept(Time(now.0 + hold.0 - 1)), 3_000);
        assert_eq!(b.kept(after(now, hold)), 4_000);
        assert!(hold.0 > 3_700 * MS * 101 / 100, "the length, the call and its linger, by clocks that drift");
    }

    /// Guards the bound against a lender that is killed and comes back at once, with or without its store.
    #[test]
    fn who_starts_again_holds_back_what_it_may_have_lent() {
        let start = ms(50_000);
        let again = Escrow::new(LeaseSettings::default(), 4.0, start);
        assert_eq!(again.kept(start), 0, "calls of the earlier life may still be out");
        assert_eq!(again.kept(ms(50_200)), 2_000);
        assert_eq!(again.spare(ms(50_200)), 0);
        let free = after(start, LeaseSettings::default().hold());
        assert_eq!((again.kept(free), again.spare(free)), (4_000, 2_000));
        let plain = LeaseSettings { plain: true, ..LeaseSettings::default() };
        assert_eq!(Escrow::new(plain, 4.0, start).kept(start), 4_000, "the drill's counter-example");
    }

    /// Guards against words that come late, twice, or in another order than they were said.
    #[test]
    fn words_may_be_late_doubled_and_out_of_order() {
        let (mut a, mut b) = (server(1.0), server(4.0));
        let now = ms(10_000);
        a.call(now);
        waits(&mut a, now, 1);
        let mut out = Vec::new();
        a.step(now, &[(name("lender"), 2_000)], &mut out);
        let (_, ask) = out[0];
        assert_eq!(b.heard(now, &name("borrower"), L, ask), None, "a wish");
        assert_eq!(b.heard(now, &name("borrower"), L, ask), None, "the same wish");
        let mut out = Vec::new();
        b.step(now, &[], &mut out);
        assert_eq!(out.len(), 1);
        let first = out[0].1;
        let again = b.heard(ms(10_900), &name("borrower"), L, ask).unwrap();
        assert_eq!(first, again, "it is granted once");
        assert_eq!(b.lent(now), 1_000);
        let free = Time(now.0 + LeaseSettings::default().hold().0);
        assert_eq!(b.lent(free), 0, "and not for longer");
        a.heard(ms(10_300), &name("lender"), L, again);
        assert_eq!(a.limit(ms(10_300)), 2_000);
        a.heard(ms(10_500), &name("lender"), L, first);
        assert_eq!(a.limit(ms(10_500)), 2_000, "one grant, one lease");
        // It is called back, given back, and a grant that was under way doesn't bring it back.
        a.heard(ms(10_600), &name("lender"), L, Word::Recall { number: 1 });
        let mut out = Vec::new();
        a.waiting(ms(10_600), 0);
        a.step(ms(10_600), &[], &mut out);
        assert!(matches!(out[..], [(_, Word::Return { number: 1 })]));
        a.heard(ms(10_700), &name("lender"), L, first);
        assert_eq!(a.limit(ms(10_700)), 1_000);
        // A grant that took longer than the lease is worth nothing.
        let mut late = server(1.0);
        late.call(now);
        waits(&mut late, now, 1);
        late.step(now, &[(name("lender"), 2_000)], &mut Vec::new());
        late.heard(ms(12_500), &name("lender"), L, first);
        assert_eq!(late.limit(ms(12_500)), 1_000);
        // Nor is one from somebody who wasn't asked.
        let mut asked = server(1.0);
        asked.call(now);
        waits(&mut asked, now, 1);
        asked.step(now, &[(name("lender"), 2_000)], &mut Vec::new());
        asked.heard(now, &name("stranger"), L, first);
        assert_eq!(asked.limit(now), 1_000);
    }

    /// Guards the bound against calls that the caller gave up and the ledger goes on with; found by seed 22 of the model.
    #[test]
    fn a_call_that_was_given_up_holds_its_slot_while_the_ledger_may_go_on() {
        let mut a = server(2.0);
        let now = ms(10_000);
        a.call(now);
        a.call(now);
        a.called(ms(10_500), true);
        assert_eq!(a.call(ms(10_600)), None);
        assert_eq!(a.call(ms(10_703)), Some(Slot::Own), "linger, by a clock that is fast by a hundredth");
    }

    #[test]
    fn a_lease_that_is_used_is_prolonged_and_one_that_the_lender_needs_is_called_back() {
        let (mut a, mut b) = (server(1.0), server(4.0));
        let mut at = 10_000;
        a.call(ms(at));
        waits(&mut a, ms(at), 1);
        deal(ms(at), &mut a, &mut b);
        assert!(matches!(a.call(ms(at)), Some(Slot::Borrowed { .. })));
        a.waiting(ms(at), 0);
        for _ in 0..60 {
            at += 100;
            deal(ms(at), &mut a, &mut b);
            assert_eq!(a.limit(ms(at)), 2_000, "after {at}");
        }
        (0..3).for_each(|_| assert_eq!(b.call(ms(at)), Some(Slot::Own)));
        assert_eq!(b.call(ms(at)), None);
        b.waiting(ms(at), 1);
        let mut out = Vec::new();
        b.step(ms(at), &[], &mut out);
        assert!(out.is_empty(), "one that waits for a moment is no need");
        at += 100;
        b.step(ms(at), &[], &mut out);
        assert!(matches!(out[..], [(_, Word::Recall { .. })]), "{out:?}");
        a.heard(ms(at), &name("lender"), L, out[0].1);
        assert_eq!(a.call(ms(at)), None, "no more calls by it");
        deal(ms(at + 50), &mut a, &mut b);
        assert_eq!(b.kept(ms(at + 50)), 3_000, "its call is still out");
        a.called(ms(at + 100), false);
        deal(ms(at + 100), &mut a, &mut b);
        assert_eq!(b.call(ms(at + 100)), Some(Slot::Own), "back as soon as the call ended");
    }

    #[test]
    fn a_server_alone_has_its_own_share_and_a_lender_never_less_than_its_part() {
        let mut a = server(3.0);
        let now = ms(20_000);
        waits(&mut a, now, 50);
        a.step(now, &[], &mut Vec::new());
        assert_eq!(a.limit(now), 3_000);
        let mut b = server(10.0);
        for n in 0..100 {
            b.heard(now, &name("greedy"), L, Word::Ask { number: n, round: 0, amount: 5_000 });
            b.step(now, &[], &mut Vec::new());
        }
        assert_eq!((b.lent(now), b.kept(now)), (7_000, 3_000));
        b.share(5.0);
        assert_eq!(b.kept(now), 0, "a smaller share is used again once what was lent is back");
    }
}
