//! The parts together, as the reducer of one server holds them: datagrams in, datagrams out, and what the server may do.
//!
//! Owns the order in which the parts have their turn, the bound on bytes a second, and what datagrams carry. Decides
//! nothing that a part decides.

use crate::MS;
use crate::counts::{CellId, Counts, Reading, Told, WINDOW, Work};
use crate::escrow::{Escrow, LeaseSettings, SLOT, Slot, Word};
use crate::fresh::Fresh;
use crate::judge::{Judge, Others, Verdict};
use crate::members::{Change, Members, Pace};
use crate::peer::{Life, Peer};
use crate::pieces::{self, Pieces};
use crate::seal::{Dropped, ENVELOPE, Head, Keys, MOST};
use gradepin_decisions::{Outcome, Span, Time, after, secs};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Between turns: rows are told on, leases looked after.
const TICK: Span = Span(100 * MS);
/// The same for leases while runs wait for a slot.
const SHORT: Span = Span(20 * MS);
/// Between writes of the own row at the most; a change of what it would lend is written sooner.
const WRITE: Span = Span(1_000 * MS);
/// Rows of others that are told on are no older than this: what is about to be forgotten helps nobody.
const TELL: Span = Span(6_000 * MS);
/// What a lender tells of its spare slots counts for so long.
const OFFER: Span = Span(3_000 * MS);
/// Lenders that are looked at in one turn.
const MOST_LENDERS: usize = 12;
/// Between notices to one that is known in a greater life.
const NOTICE: Span = Span(500 * MS);

/// What an operator sets, and what the server knows of itself.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// This server, in the life that begins.
    pub own: Peer,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet.
    pub keys: Keys,
    /// How quickly the fleet notices.
    pub pace: Pace,
    /// Bytes sent in a second at the most, over any length of time but for one second's worth.
    pub bytes_s: u32,
    /// Servers that share the told quotas and the ledger.
    pub servers: usize,
    /// The own share of the shared ledger, in slots; none: there is no shared ledger, or its slots aren't lent.
    pub share: Option<f64>,
    /// How slots are lent.
    pub leases: LeaseSettings,
    /// Probes a second of the whole fleet to a ledger that looks dead.
    pub probes_s: f64,
    /// Repeated tries for each first one that the fleet takes; none: no budget.
    pub repeats: Option<f64>,
    /// For all that is drawn.
    pub seed: u64,
}

/// A tagged datagram, taken out of its envelope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Letter {
    name: String,
    life: Life,
    to: Life,
    number: u64,
    sent_us: u64,
    body: Vec<u8>,
}

impl Letter {
    /// Opens a datagram; the error says why it is dropped.
    pub fn open(keys: &Keys, datagram: &[u8]) -> Result<Self, Dropped> {
        let (head, body) = keys.open(datagram)?;
        let Head { life, to, number, sent_us, .. } = head;
        Ok(Self { name: head.name.to_string(), life, to, number, sent_us, body: body.to_vec() })
    }

    /// What it says about leases, if that is what it is about; for those who look on.
    pub fn word(&self) -> Option<Word> {
        let (&kind, body) = self.body.split_first()?;
        if kind == WORD { postcard::from_bytes(body).ok() } else { None }
    }
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Another server, in this life of its, said something for those who agree with each other.
    Post(Arc<str>, Life, Vec<u8>),
    /// Tell it in the log; whether it is bad.
    Note(bool, String),
}

/// Whether a call to the shared ledger may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// It may, with this slot, which is taken.
    Go(Slot),
    /// Not now: all slots are taken.
    Wait,
    /// Not: the ledger looks dead.
    Closed,
}

/// What the figures show.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Status {
    /// Others that are believed to be up, and those believed dead.
    pub up: usize,
    /// See `up`.
    pub down: usize,
    /// Servers whose counts are young enough, this one among them.
    pub heard: usize,
    /// The age of the oldest of them in seconds.
    pub oldest_s: f64,
    /// Slots: the own share that may be used here, what is lent and what is borrowed.
    pub kept: f64,
    /// See `kept`.
    pub lent: f64,
    /// See `kept`.
    pub borrowed: f64,
    /// Slots taken by calls.
    pub calls: u32,
    /// Runs that wait for a slot.
    pub waiting: u32,
    /// Whether calls to the ledger are made as ever.
    pub open: bool,
    /// Bytes and datagrams sent.
    pub bytes_sent: u64,
    /// See `bytes_sent`.
    pub sent: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams dropped, by kind.
    pub dropped: BTreeMap<Dropped, u64>,
    /// Datagrams not sent for the bound on bytes.
    pub withheld: u64,
}

/// Another server as this one knows it, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its life.
    pub life: Life,
    /// Whether it is believed to be up, and since when in ms.
    pub up: bool,
    /// See `up`.
    pub for_ms: u64,
}

/// The fleet as this server sees it, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// This server.
    pub name: Arc<str>,
    /// Its life.
    pub life: Life,
    /// The others, by name.
    pub members: Vec<Member>,
    /// The figures.
    pub status: Status,
}

/// What a datagram carries; the first byte of its content says which.
const SWIM: u8 = 0;
const ROWS: u8 = 1;
const WORD: u8 = 2;
const KNOWN: u8 = 3;
const PIECE: u8 = 4;

/// One server's part of the fleet.
pub struct Cluster {
    set: ClusterSettings,
    began: Time,
    members: Members,
    fresh: Fresh,
    counts: Counts,
    escrow: Escrow,
    judge: Judge,
    rng: Pcg64Mcg,
    number: u64,
    next_tick: Time,
    next_lease: Time,
    next_write: Time,
    spare_told: u32,
    /// Bytes that may be sent now, and as of when.
    bytes: f64,
    bytes_at: Time,
    noticed: BTreeMap<Arc<str>, Time>,
    pieces: Pieces,
    posts: u32,
    effects: Vec<Effect>,
    status: Status,
}

impl Cluster {
    /// A server that starts.
    pub fn new(set: ClusterSettings, now: Time) -> Self {
        let name = Arc::clone(&set.own.name);
        Self {
            began: now,
            members: Members::new(set.own.clone(), set.seeds.clone(), &set.pace, set.seed, now),
            fresh: Fresh::default(),
            counts: Counts::new(name),
            escrow: Escrow::new(set.leases.clone(), set.share.unwrap_or(0.0), now),
            judge: Judge::new(set.probes_s, set.servers),
            rng: Pcg64Mcg::seed_from_u64(set.seed ^ 0x636c_7573),
            number: 0,
            next_tick: now,
            next_lease: now,
            next_write: now,
            spare_told: 0,
            bytes: f64::from(set.bytes_s),
            bytes_at: now,
            noticed: BTreeMap::new(),
            pieces: Pieces::default(),
            posts: 0,
            effects: Vec::new(),
            status: Status::default(),
            set,
        }
    }

    /// New keys, read at a reload.
    pub fn keys(&mut self, keys: Keys) {
        self.set.keys = keys;
    }

    /// New figures, told at a reload.
    pub fn retune(&mut self, servers: usize, share: Option<f64>) {
        (self.set.servers, self.set.share) = (servers, share);
        self.escrow.share(share.unwrap_or(0.0));
    }

    /// Datagrams were dropped before they came here.
    pub fn dropped(&mut self, why: Dropped, times: u64) {
        *self.status.dropped.entry(why).or_default() += times;
    }

    /// A datagram with a good tag came.
    pub fn letter(&mut self, now: Time, letter: &Letter) {
        if let Err(why) = self.take(now, letter) {
            self.dropped(why, 1);
        } else {
            self.status.taken += 1;
        }
    }

    fn take(&mut self, now: Time, letter: &Letter) -> Result<(), Dropped> {
        let own = self.members.own();
        if letter.name == *own.name {
            // Another life of ours, at an address where this one is taken for a peer.
            return Err(Dropped::OtherLife);
        }
        let Letter { name, life, to, number, sent_us, body } = letter;
        let head = Head { name, life: *life, to: *to, number: *number, sent_us: *sent_us };
        let (&kind, body) = body.split_first().ok_or(Dropped::Content)?;
        let late = match self.fresh.check(now, &head) {
            Ok(late) => late,
            Err(Dropped::EarlierLife) => {
                self.notice(now, name);
                return Err(Dropped::EarlierLife);
            }
            Err(why) => return Err(why),
        };
        let own = self.members.own().life;
        // To nobody in particular only announcements come, which say nothing that counts.
        if *to > own || (kind == KNOWN && *to < own) {
            // It is meant for a greater life of this name: this one comes back past it.
            self.members.raise(now, *to);
            return Err(Dropped::OtherLife);
        }
        if *to != own && !(*to == Life(0) && kind == SWIM) {
            if kind == SWIM && self.may_notice(now, name) {
                self.members.meet(now, body);
            }
            return Err(Dropped::OtherLife);
        }
        match kind {
            SWIM => self.members.data(now, body).map_err(|_| Dropped::Content),
            ROWS => self.rows(now, body, late),
            WORD => {
                let word: Word = postcard::from_bytes(body).map_err(|_| Dropped::Content)?;
                let from: Arc<str> = Arc::from(name.as_str());
                if let Some(reply) = self.escrow.heard(now, &from, *life, word) {
                    self.say(now, &from, reply);
                }
                // What was called back goes as soon as it may.
                self.next_lease = self.next_lease.min(now);
                Ok(())
            }
            KNOWN => Ok(()),
            PIECE => {
                let whole = self.pieces.take(now, name, *life, body)?;
                let post = |word| Effect::Post(Arc::from(name.as_str()), *life, word);
                self.effects.extend(whole.map(post));
                Ok(())
            }
            _ => Err(Dropped::Content),
        }
    }

    /// Tells one whose life is less than one that was known that it is so; its wall clock was set back, most likely.
    fn notice(&mut self, now: Time, name: &str) {
        let Some(seen) = self.members.find(name) else { return };
        let mut peer = seen.peer.clone();
        let known = self.fresh.life(name).unwrap_or_default().max(peer.life);
        if !self.may_notice(now, name) {
            return;
        }
        peer.life = known;
        self.send(now, &peer, KNOWN, &[]);
    }

    /// Whether a server may be told now that it is mistaken about a life: not with each of its datagrams.
    fn may_notice(&mut self, now: Time, name: &str) -> bool {
        self.noticed.retain(|_, at| now < after(*at, NOTICE));
        let may = !self.noticed.contains_key(name);
        if may {
            self.noticed.insert(Arc::from(name), now);
        }
        may
    }

    fn rows(&mut self, now: Time, mut body: &[u8], late: Span) -> Result<(), Dropped> {
        while !body.is_empty() {
            let (told, rest) = postcard::take_from_bytes::<Told>(body).map_err(|_| Dropped::Content)?;
            self.counts.merge(now, told, late);
            body = rest;
        }
        Ok(())
    }

    /// Does what is due, and appends what is to be done.
    pub fn step(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.members.wake_at(now) <= now || now >= self.next_tick {
            self.members.step(now);
        }
        for change in self.members.changes() {
            self.changed(now, change);
        }
        if now >= self.next_tick {
            self.tick(now);
        }
        if now >= self.next_lease {
            self.leases(now);
        }
        for (peer, data) in self.members.sends() {
            self.send(now, &peer, SWIM, &data);
        }
        for note in self.judge.notes() {
            self.effects.push(Effect::Note(false, note));
        }
        effects.append(&mut self.effects);
    }

    fn changed(&mut self, now: Time, change: Change) {
        let (bad, text) = match change {
            Change::Up(peer) => (false, format!("{} is up, in zone '{}'", peer.name, peer.zone)),
            Change::Down(peer) => (true, format!("{} is believed dead", peer.name)),
            Change::Back(life) => (true, format!("believed dead by others; back as life {:x}", life.0)),
            Change::Slept(slept) => (
                true,
                format!("this process did not run for {:.1} s; it doubts itself before others", secs(slept)),
            ),
        };
        self.effects.push(Effect::Note(bad, text));
        // The own life may have changed, and what is told of it with it.
        self.next_write = self.next_write.min(now);
    }

    fn tick(&mut self, now: Time) {
        self.next_tick = after(now, TICK);
        self.counts.forget(now);
        let spare = if self.set.share.is_some() { self.escrow.spare(now) } else { 0 };
        let moved = spare / SLOT != self.spare_told / SLOT;
        if now >= self.next_write || moved {
            let own = self.members.own().clone();
            let evidence = self.judge.evidence(now);
            self.counts.write(now, own.life, &own.zone, spare, evidence);
            (self.next_write, self.spare_told) = (after(now, WRITE), spare);
        }
        let dice = self.dice();
        let others = self.others(now);
        self.judge.heard(now, others, dice);
        self.tell(now);
    }

    /// Leases that end, are missing, or are called back.
    fn leases(&mut self, now: Time) {
        self.next_lease = after(now, TICK);
        if self.set.share.is_none() {
            return;
        }
        let short = self.escrow.is_short(now);
        let lenders = if short { self.lenders(now) } else { Vec::new() };
        let mut words = Vec::new();
        self.escrow.step(now, &lenders, &mut words);
        for (to, word) in words {
            self.say(now, &to, word);
        }
        if short {
            self.next_lease = after(now, SHORT);
        }
    }

    /// Evidence of others, by its age on the own clock: one that slept has none that counts until it hears some anew.
    fn others(&self, now: Time) -> Others {
        let mut others = Others::default();
        let own = &self.members.own().name;
        for kept in self.counts.rows().filter(|kept| kept.row.name != *own) {
            others.add(&kept.row.evidence, kept.age(now));
        }
        others
    }

    /// Members that would lend, in an order drawn anew each time: those first that told of whole slots. What they told may
    /// be out of date either way, so the others follow.
    fn lenders(&mut self, now: Time) -> Vec<(Arc<str>, u32)> {
        let own = Arc::clone(&self.members.own().name);
        let offers = self.counts.rows().filter(|kept| kept.row.name != own && kept.age(now) <= OFFER);
        let mut offers: Vec<(Arc<str>, u32)> =
            offers.map(|kept| (Arc::clone(&kept.row.name), kept.row.spare)).collect();
        for place in (1..offers.len()).rev() {
            offers.swap(place, self.rng.next_u64() as usize % (place + 1));
        }
        offers.sort_by_key(|(_, spare)| *spare < SLOT);
        offers.iter_mut().for_each(|(_, spare)| *spare = (*spare).max(SLOT));
        // More than are asked at once, as some may be left alone; few, as each is looked up among the members.
        offers.truncate(MOST_LENDERS);
        offers.retain(|(name, _)| self.members.well(name).is_some());
        offers
    }

    /// Tells one member rows: the own one, and others' as they fit, drawn anew each time.
    fn tell(&mut self, now: Time) {
        let up = self.members.count();
        if up == 0 || !self.may_send(now, MOST) {
            return;
        }
        let place = self.rng.next_u64() as usize % up;
        let Some(peer) = self.members.up().nth(place).cloned() else { return };
        let own = Arc::clone(&self.members.own().name);
        let mut body = Vec::with_capacity(MOST);
        let mut buffer = [0_u8; MOST];
        let room = MOST - ENVELOPE - 1;
        let mut add = |kept: &crate::counts::Kept| {
            let age_ms = kept.age(now).0.div_ceil(MS).min(u64::from(u32::MAX)) as u32;
            let told = Told { row: kept.row.clone(), age_ms };
            match postcard::to_slice(&told, &mut buffer) {
                Ok(bytes) if body.len() + bytes.len() <= room => {
                    body.extend_from_slice(bytes);
                    true
                }
                _ => false,
            }
        };
        if let Some(kept) = self.counts.row(&own) {
            add(kept);
        }
        let young: Vec<&crate::counts::Kept> = self
            .counts
            .rows()
            .filter(|kept| kept.row.name != own && kept.row.name != peer.name && kept.age(now) <= TELL)
            .collect();
        let from = if young.is_empty() { 0 } else { self.rng.next_u64() as usize % young.len() };
        // From a place drawn at random on: each row has the same chance, and no list is shuffled for it.
        for kept in young[from..].iter().chain(&young[..from]) {
            if !add(kept) {
                break;
            }
        }
        self.send(now, &peer, ROWS, &body);
    }

    /// Tells another server something, by name: in as many datagrams as it takes, each of which may be lost.
    pub fn post(&mut self, now: Time, to: &str, word: &[u8]) {
        let Some(peer) = self.members.find(to).map(|seen| seen.peer.clone()) else { return };
        self.posts = self.posts.wrapping_add(1);
        for piece in pieces::cut(self.posts, word) {
            self.send(now, &peer, PIECE, &piece);
        }
    }

    fn say(&mut self, now: Time, to: &str, word: Word) {
        let Some(peer) = self.members.find(to).map(|seen| seen.peer.clone()) else { return };
        let mut buffer = [0_u8; 32];
        if let Ok(body) = postcard::to_slice(&word, &mut buffer) {
            let body = body.to_vec();
            self.send(now, &peer, WORD, &body);
        }
    }

    /// Whether so many bytes may be sent that can wait.
    fn may_send(&mut self, now: Time, bytes: usize) -> bool {
        let rate = f64::from(self.set.bytes_s);
        let passed = secs(Span(now.0.saturating_sub(self.bytes_at.0)));
        self.bytes = (self.bytes + rate * passed).min(rate);
        self.bytes_at = now;
        // Half of a second's worth is left for what can't wait: answers to looks, and words about leases.
        self.bytes >= rate / 2.0 + bytes as f64 || rate < 4.0 * MOST as f64 && self.bytes >= bytes as f64
    }

    fn send(&mut self, now: Time, peer: &Peer, kind: u8, content: &[u8]) {
        self.may_send(now, 0);
        let size = ENVELOPE + 1 + content.len();
        if self.bytes < size as f64 {
            self.status.withheld += 1;
            return;
        }
        self.number += 1;
        let own = self.members.own();
        let head = Head {
            name: &own.name,
            life: own.life,
            to: peer.life,
            number: self.number,
            sent_us: (now.0 - self.began.0) / 1_000,
        };
        let mut body = Vec::with_capacity(1 + content.len());
        body.push(kind);
        body.extend_from_slice(content);
        let datagram = self.set.keys.seal(&head, &body);
        self.bytes -= datagram.len() as f64;
        self.status.sent += 1;
        self.status.bytes_sent += datagram.len() as u64;
        self.effects.push(Effect::Send(peer.address, datagram));
    }

    fn dice(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// When [`Cluster::step`] must be called again though nothing came.
    pub fn wake_at(&self, now: Time) -> Time {
        self.members.wake_at(now).min(self.next_tick).min(self.next_lease)
    }

    /// This server leaves for good: the others are told.
    pub fn leave(&mut self, now: Time) {
        self.members.leave(now);
    }

    // ---- what the server asks and tells

    /// A request came: of which cell, whether it repeats another try, and what it is estimated to take.
    pub fn arrived(&mut self, now: Time, cell: CellId, repeat: bool, estimate: Span) {
        let work = Work {
            asked_ms: (estimate.0 / MS) as u32,
            done_ms: 0,
            firsts: u32::from(!repeat),
            repeats: u32::from(repeat),
        };
        self.counts.count(now, cell, work);
    }

    /// A request was served, with so much core time.
    pub fn served(&mut self, now: Time, cell: CellId, took: Span) {
        self.counts.count(now, cell, Work { done_ms: (took.0 / MS) as u32, ..Work::default() });
    }

    /// What was asked and done in these cells over the fleet.
    pub fn read(&self, now: Time, wanted: impl Fn(CellId) -> bool) -> Reading {
        self.counts.read(now, wanted)
    }

    /// What an office's quota for the fleet comes to for this server, whose module holds what it sees itself against an
    /// even part of the quota: as much more or less as it sees more or less than an even part. Alone, the quota as told.
    pub fn quota(&self, now: Time, quota: f64, wanted: impl Fn(CellId) -> bool) -> f64 {
        let reading = self.counts.read(now, &wanted);
        let own = self.counts.own(&wanted);
        if reading.sum.asked_ms == 0 || own.asked_ms == 0 {
            return quota;
        }
        let part = f64::from(own.asked_ms) / f64::from(reading.sum.asked_ms.max(own.asked_ms));
        quota * part * reading.heard.min(self.set.servers) as f64
    }

    /// The part of its fleet-wide quota that each of these may use here, by what was asked here and by all servers heard;
    /// `of` tells whose a cell is. One pass over the counts, however many they are.
    pub fn parts<K: Ord + Copy>(&self, now: Time, of: impl Fn(CellId) -> Option<K>) -> BTreeMap<K, f64> {
        let (heard, fleet) = self.counts.sums(now, &of);
        let own = self.counts.own_sums(&of);
        let asked = own.into_iter().filter(|(_, own)| own.asked_ms > 0);
        let part = |(key, own): (K, Work)| {
            let all = fleet.get(&key).map_or(0, |sum| sum.asked_ms);
            let share = f64::from(own.asked_ms) / f64::from(all.max(own.asked_ms));
            (key, if all == 0 { 1.0 } else { share * heard.min(self.set.servers) as f64 })
        };
        asked.map(part).collect()
    }

    /// Whether a repeated try is within the fleet's budget of them: all while they are few, else at random the part that
    /// the budget has room for. Alone, by what came here alone.
    pub fn takes_repeat(&mut self, now: Time) -> bool {
        let Some(budget) = self.set.repeats else { return true };
        let sum = self.counts.read(now, |_| true).sum;
        let own = self.counts.own(|_| true);
        let (firsts, repeats) =
            if own.repeats > sum.repeats { (own.firsts, own.repeats) } else { (sum.firsts, sum.repeats) };
        // Some are always taken: of few requests a rate says nothing.
        let room = budget * f64::from(firsts) + budget * secs(WINDOW);
        f64::from(repeats) <= room || self.dice() * f64::from(repeats) < room
    }

    /// So many runs wait for a call to the ledger.
    pub fn waiting(&mut self, now: Time, waiting: usize) {
        self.escrow.waiting(now, waiting as u32);
        if self.escrow.is_short(now) {
            self.next_lease = self.next_lease.min(after(now, SHORT));
        }
    }

    /// Whether a call to the ledger may be made now.
    pub fn call(&mut self, now: Time) -> Gate {
        let dice = self.dice();
        let lends = self.set.share.is_some();
        if lends && self.judge.is_open() && self.escrow.limit(now) < (self.escrow.taken(now) + 1) * SLOT {
            return Gate::Wait;
        }
        match self.judge.call(now, dice) {
            Verdict::Closed => Gate::Closed,
            // Where slots aren't lent, how many calls are out is the module's alone.
            Verdict::Call | Verdict::Probe if !lends => Gate::Go(Slot::Own),
            Verdict::Call | Verdict::Probe => self.escrow.call(now).map_or(Gate::Wait, Gate::Go),
        }
    }

    /// A call that went has ended.
    pub fn called(&mut self, now: Time, outcome: Outcome, took: Span) {
        self.escrow.called(now, matches!(outcome, Outcome::Expired | Outcome::Dropped));
        if self.escrow.is_wished() {
            self.next_lease = self.next_lease.min(now);
        }
        let dice = self.dice();
        self.judge.called(now, outcome, took, dice);
    }

    /// Slots that may be used here now; none where slots aren't lent.
    pub fn limit(&self, now: Time) -> Option<f64> {
        self.set.share.map(|_| f64::from(self.escrow.limit(now)) / f64::from(SLOT))
    }

    /// When a slot may come free by time alone.
    pub fn slot_at(&self, now: Time) -> Option<Time> {
        self.escrow.wake_at(now)
    }

    /// The members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The fleet as it is seen from here.
    pub fn view(&self, now: Time) -> View {
        let own = self.members.own();
        let members = self.members.seen().map(|seen| Member {
            name: Arc::clone(&seen.peer.name),
            zone: Arc::clone(&seen.peer.zone),
            life: seen.peer.life,
            up: seen.up,
            for_ms: now.0.saturating_sub(seen.since.0) / MS,
        });
        let members = members.collect();
        View { name: Arc::clone(&own.name), life: own.life, members, status: self.status(now) }
    }

    /// The figures.
    pub fn status(&self, now: Time) -> Status {
        let reading = self.counts.read(now, |_| true);
        let slots = |milli: u32| f64::from(milli) / f64::from(SLOT);
        Status {
            up: self.members.count(),
            down: self.members.seen().filter(|seen| !seen.up).count(),
            heard: reading.heard,
            oldest_s: secs(reading.oldest),
            kept: slots(self.escrow.kept(now)),
            lent: slots(self.escrow.lent(now)),
            borrowed: slots(self.escrow.borrowed(now)),
            calls: self.escrow.taken(now),
            waiting: self.escrow.waits(),
            open: self.judge.is_open(),
            ..self.status.clone()
        }
    }
}
