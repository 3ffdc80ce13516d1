//! Who is there: SWIM with suspicion and incarnations, by the library `foca`, told the time that this process was awake.
//!
//! What is added to the library here: its timers, a clock that leaves out the time in which this process was stopped or
//! starved, names beside addresses, and the ways back together of parts that each believe the other dead. Not here:
//! envelopes and their order ([`crate::seal`], [`crate::fresh`]).

use crate::MS;
use crate::peer::{Life, Peer};
use crate::seal::{ENVELOPE, MOST};
use foca::{
    Codec, Foca, Notification, OwnedNotification, PeriodicParams, PostcardCodec, Runtime, State, Timer,
};
use gradepin_decisions::{Span, Time, after, before};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::sync::Arc;
use std::time::Duration;

/// Time beyond this between the wake that was asked for and the one that came was not this process's: it was stopped, or
/// starved. Its timers don't count it, so that it never suspects others for what it slept through.
const LATENESS: Span = Span(40 * MS);
/// A sleep of this length is told in the log.
const SLEEP: Span = Span(1_000 * MS);
/// Between announcements to seeds while nobody is known, at the least, and to one seed that isn't a member otherwise: two
/// parts that forgot each other find back by it.
const ANNOUNCE: Span = Span(500 * MS);
const SEEDS_AGAIN: Span = Span(5_000 * MS);
/// The dead are remembered for so long, and asked whether they are back so often, so many at a time.
const REMEMBER: Duration = Duration::from_secs(600);
const ASK_THE_DEAD: Duration = Duration::from_millis(2_000);
const DEAD_ASKED: NonZeroUsize = NonZeroUsize::new(2).unwrap();
/// Changes are told so often, to so many.
const GOSSIP: Duration = Duration::from_millis(200);
const GOSSIP_TO: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// All members are told again over time, by a feed from one of them.
const FEED: Duration = Duration::from_secs(15);
/// Others asked to look when one doesn't answer.
const INDIRECT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Names of the past that are kept for their last life.
const MOST_PAST: usize = 4_096;

/// How quickly the fleet notices.
#[derive(Debug, Clone, PartialEq)]
pub struct Pace {
    /// Between looks at one member each.
    pub probe: Span,
    /// How long an answer may take before others are asked to look.
    pub answer: Span,
    /// How long a suspect has to say that it lives.
    pub suspect: Span,
}

impl Default for Pace {
    fn default() -> Self {
        Self { probe: Span(1_000 * MS), answer: Span(400 * MS), suspect: Span(4_000 * MS) }
    }
}

/// What is known of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Who it is, in the last life that is known.
    pub peer: Peer,
    /// Whether it is believed to be up.
    pub up: bool,
    /// Since when that is so.
    pub since: Time,
}

/// What changed, for the log and for those who keep books by members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Somebody is there, for the first time or again.
    Up(Peer),
    /// Somebody is believed dead.
    Down(Peer),
    /// This server was believed dead, and is back as a later life.
    Back(Life),
    /// This process didn't run for so long.
    Slept(Span),
}

/// What the library asks for in one call.
#[derive(Default)]
struct Asked {
    send: Vec<(Peer, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Peer>)>,
    news: Vec<OwnedNotification<Peer>>,
}

impl Runtime<Peer> for Asked {
    fn notify(&mut self, notification: Notification<'_, Peer>) {
        self.news.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// The members as this server knows them.
pub struct Members {
    foca: Foca<Peer, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    asked: Asked,
    /// By when they are due, on the clock of the time awake, and in the order in which they were asked for.
    timers: BTreeMap<(Time, u64), Timer<Peer>>,
    timer_no: u64,
    seeds: Vec<SocketAddr>,
    next_seed: Time,
    /// All that are or were there, by name. Those that are not stay for their last life, up to a bound.
    seen: BTreeMap<Arc<str>, Seen>,
    changes: Vec<Change>,
    clock: Awake,
    rng: Pcg64Mcg,
}

impl Members {
    /// This server, before it has heard of anybody.
    pub fn new(own: Peer, seeds: Vec<SocketAddr>, pace: &Pace, seed: u64, now: Time) -> Self {
        let duration = |span: Span| Duration::from_nanos(span.0);
        let config = foca::Config {
            probe_period: duration(pace.probe),
            probe_rtt: duration(pace.answer),
            num_indirect_probes: INDIRECT,
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(pace.suspect),
            remove_down_after: Some(REMEMBER),
            max_packet_size: NonZeroUsize::new(MOST - ENVELOPE - 1).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: Some(PeriodicParams { frequency: FEED, num_members: NonZeroUsize::MIN }),
            periodic_announce_to_down_members: Some(PeriodicParams {
                frequency: ASK_THE_DEAD,
                num_members: DEAD_ASKED,
            }),
            periodic_gossip: Some(PeriodicParams { frequency: GOSSIP, num_members: GOSSIP_TO }),
        };
        let seeds = seeds.into_iter().filter(|seed| *seed != own.address).collect();
        Self {
            foca: Foca::new(own, config, Pcg64Mcg::seed_from_u64(seed), PostcardCodec),
            asked: Asked::default(),
            timers: BTreeMap::new(),
            timer_no: 0,
            seeds,
            next_seed: now,
            seen: BTreeMap::new(),
            changes: Vec::new(),
            clock: Awake::new(now),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d65_6d62),
        }
    }

    /// This server.
    pub fn own(&self) -> &Peer {
        self.foca.identity()
    }

    /// Something came from a member.
    pub fn data(&mut self, now: Time, data: &[u8]) -> Result<(), foca::Error> {
        let result = self.foca.handle_data(data, &mut self.asked);
        self.settle(now);
        match result {
            // Addressed to a life of ours that is over, or by one: nothing is wrong with it.
            Err(foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves) => Ok(()),
            other => other,
        }
    }

    /// Something came that was meant for an earlier life of this server: its sender is told of the one that began, rather
    /// than left to find the earlier one dead.
    pub fn meet(&mut self, now: Time, data: &[u8]) {
        if let Ok(header) = PostcardCodec.decode_header(data) {
            let _ = self.foca.announce(header.src, &mut self.asked);
            self.settle(now);
        }
    }

    /// Somebody knows this server in a greater life: it comes back past that one.
    pub fn raise(&mut self, now: Time, known: Life) {
        let own = self.own();
        if known < own.life {
            return;
        }
        let raised = Peer { life: own.life.past(known), ..own.clone() };
        let life = raised.life;
        if self.foca.change_identity(raised, &mut self.asked).is_ok() {
            self.changes.push(Change::Back(life));
        }
        self.settle(now);
    }

    /// Does what is due. Datagrams that have come are to be told before.
    pub fn step(&mut self, now: Time) {
        if let Some(slept) = self.clock.step(now) {
            self.changes.push(Change::Slept(slept));
        }
        loop {
            let awake = self.clock.awake(now);
            let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= awake) else { break };
            // A look that never ended because of a pause is the one error here, and the library begins it anew.
            let _ = self.foca.handle_timer(entry.remove(), &mut self.asked);
            self.settle(now);
        }
        if now >= self.next_seed {
            self.seek(now);
        }
        self.clock.promise(self.wake_at(now));
    }

    /// Announces this server to seeds: to all while it is alone, else to one that isn't a member.
    fn seek(&mut self, now: Time) {
        let alone = self.foca.num_members() == 0;
        let missing: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|seed| !self.foca.iter_members().any(|member| member.id().address == **seed))
            .copied()
            .collect();
        let some = if alone || missing.is_empty() {
            missing
        } else {
            vec![missing[self.rng.next_u64() as usize % missing.len()]]
        };
        for seed in some {
            let _ = self.foca.announce(Peer::unknown(seed), &mut self.asked);
        }
        let pause = if alone { ANNOUNCE } else { SEEDS_AGAIN };
        // Spread, or a fleet that starts at once would ask its seeds at once for ever.
        let pause = pause.0 / 2 + self.rng.next_u64() % pause.0;
        self.next_seed = after(now, Span(pause));
        self.settle(now);
    }

    /// When there is something to do though nothing came in.
    pub fn wake_at(&self, now: Time) -> Time {
        let timer = self.timers.first_key_value().map(|((due, _), _)| self.clock.real(*due));
        timer.map_or(self.next_seed, |timer| timer.min(self.next_seed)).max(now)
    }

    /// What is to be sent since the last call.
    pub fn sends(&mut self) -> Vec<(Peer, Vec<u8>)> {
        std::mem::take(&mut self.asked.send)
    }

    /// What changed since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// All others that are believed to be up.
    pub fn up(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// How many others are believed to be up.
    pub fn count(&self) -> usize {
        self.foca.num_members()
    }

    /// Whether a member is up and nobody suspects it.
    pub fn well(&self, name: &str) -> Option<&Peer> {
        let found = self.foca.iter_members().find(|member| &*member.id().name == name)?;
        (found.state() == State::Alive).then_some(found.id())
    }

    /// All that are or were there, by name.
    pub fn seen(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }

    /// What is known of a server.
    pub fn find(&self, name: &str) -> Option<&Seen> {
        self.seen.get(name)
    }

    /// This server leaves for good: the others are told, and need not suspect it first.
    pub fn leave(&mut self, now: Time) {
        let _ = self.foca.leave_cluster(&mut self.asked);
        self.settle(now);
    }

    /// Takes over what the library asked for.
    fn settle(&mut self, now: Time) {
        let awake = self.clock.awake(now);
        for (wait, timer) in self.asked.timers.drain(..) {
            self.timer_no += 1;
            let due = after(awake, Span(wait.as_nanos() as u64));
            self.timers.insert((due, self.timer_no), timer);
        }
        for news in std::mem::take(&mut self.asked.news) {
            match news {
                OwnedNotification::MemberUp(peer) => self.turn(now, peer, true),
                OwnedNotification::MemberDown(peer) => self.turn(now, peer, false),
                OwnedNotification::Rename(_, peer) => {
                    if let Some(seen) =
                        self.seen.get_mut(&peer.name).filter(|seen| seen.peer.life < peer.life)
                    {
                        seen.peer = peer;
                    }
                }
                OwnedNotification::Rejoin(own) => self.changes.push(Change::Back(own.life)),
                OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }

    fn turn(&mut self, now: Time, peer: Peer, up: bool) {
        if let Some(seen) = self.seen.get(&peer.name)
            && seen.peer.life > peer.life
        {
            // Of a life at another address: the later one is there.
            return;
        }
        if !self.seen.contains_key(&peer.name) && self.seen.len() >= MOST_PAST {
            let gone = self.seen.values().filter(|seen| !seen.up).min_by_key(|seen| seen.since);
            let Some(name) = gone.map(|seen| Arc::clone(&seen.peer.name)) else { return };
            self.seen.remove(&name);
        }
        self.seen.insert(Arc::clone(&peer.name), Seen { peer: peer.clone(), up, since: now });
        self.changes.push(if up { Change::Up(peer) } else { Change::Down(peer) });
    }
}

/// The time that this process was awake.
#[derive(Debug)]
struct Awake {
    /// The time that it slept so far.
    slept: u64,
    /// When it is to be called again.
    promised: Time,
}

impl Awake {
    fn new(now: Time) -> Self {
        Self { slept: 0, promised: now }
    }

    /// It is called now; how long it slept, if for long.
    fn step(&mut self, now: Time) -> Option<Span> {
        let late = now.0.saturating_sub(after(self.promised, LATENESS).0);
        self.slept += late;
        (late >= SLEEP.0).then_some(Span(late))
    }

    fn promise(&mut self, at: Time) {
        self.promised = at;
    }

    fn awake(&self, now: Time) -> Time {
        before(now, Span(self.slept))
    }

    fn real(&self, awake: Time) -> Time {
        after(awake, Span(self.slept))
    }
}

#[cfg(test)]
mod tests;
