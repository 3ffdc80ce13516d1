//! Who is there: SWIM with suspicion and incarnations, by the library `foca`, told the time that this process was awake.
//!
//! What is added to the library here: its timers, a clock that leaves out the time in which this process was stopped or
//! starved, names beside addresses, and the ways back together of parts that each believe the other dead. Not here:
//! envelopes and their order ([`crate::authentication`], [`crate::replay_window`]).

use crate::MS;
use crate::authentication::{MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::peer::{Incarnation, Peer};
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
/// starved. Its timers don't count it, so that it never suspects others for what it paused through.
const MAX_LATENESS: Span = Span(40 * MS);
/// A sleep of this length is told in the log.
const REPORTED_PAUSE: Span = Span(1_000 * MS);
/// Between announcements to seeds while nobody is known, at the least, and to one seed that isn't a member otherwise: two
/// parts that forgot each other find back by it.
const ANNOUNCE_INTERVAL: Span = Span(500 * MS);
const SEED_INTERVAL: Span = Span(5_000 * MS);
/// The dead are remembered for so long, and asked whether they are back so often, so many at a time.
const REMEMBER_DOWN_FOR: Duration = Duration::from_secs(600);
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_millis(2_000);
const DOWN_PER_ANNOUNCE: NonZeroUsize = NonZeroUsize::new(2).unwrap();
/// Changes are told so often, to so many.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// All members are told again over time, by a feed from one of them.
const FEED_INTERVAL: Duration = Duration::from_secs(15);
/// PeerObservations asked to look when one doesn't answer.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Names of the past that are kept for their last incarnation.
const MAX_PAST: usize = 4_096;

/// How quickly the fleet notices.
#[derive(Debug, Clone, PartialEq)]
pub struct FailureDetection {
    /// Between looks at one member each.
    pub probe_period: Span,
    /// How long an answer may take before others are asked to look.
    pub probe_timeout: Span,
    /// How long a suspect has to say that it incarnations.
    pub suspicion_timeout: Span,
}

impl Default for FailureDetection {
    fn default() -> Self {
        Self {
            probe_period: Span(1_000 * MS),
            probe_timeout: Span(400 * MS),
            suspicion_timeout: Span(4_000 * MS),
        }
    }
}

/// What is known of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMember {
    /// Who it is, in the last incarnation that is known.
    pub peer: Peer,
    /// Whether it is believed to be up.
    pub up: bool,
    /// Since when that is so.
    pub since: Time,
}

/// What changed, for the log and for those who keep books by members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// Somebody is there, for the first time or again.
    Up(Peer),
    /// Somebody is believed dead.
    Down(Peer),
    /// This server was believed dead, and is back as a later incarnation.
    Rejoined(Incarnation),
    /// This process didn't run for so long.
    Paused(Span),
}

/// What the library asks for in one call.
#[derive(Default)]
struct LibraryRequests {
    send: Vec<(Peer, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Peer>)>,
    news: Vec<OwnedNotification<Peer>>,
}

impl Runtime<Peer> for LibraryRequests {
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
    requests: LibraryRequests,
    /// By when they are due, on the clock of the time awake, and in the order in which they were asked for.
    timers: BTreeMap<(Time, u64), Timer<Peer>>,
    timer_no: u64,
    seeds: Vec<SocketAddr>,
    next_seed: Time,
    /// All that are or were there, by name. Those that are not stay for their last incarnation, up to a bound.
    known: BTreeMap<Arc<str>, KnownMember>,
    changes: Vec<MembershipChange>,
    clock: AwakeClock,
    rng: Pcg64Mcg,
}

impl Members {
    /// This server, before it has heard of anybody.
    pub fn new(
        own: Peer,
        seeds: Vec<SocketAddr>,
        failure_detection: &FailureDetection,
        seed: u64,
        now: Time,
    ) -> Self {
        let duration = |span: Span| Duration::from_nanos(span.0);
        let config = foca::Config {
            probe_period: duration(failure_detection.probe_period),
            probe_rtt: duration(failure_detection.probe_timeout),
            num_indirect_probes: INDIRECT_PROBES,
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(failure_detection.suspicion_timeout),
            remove_down_after: Some(REMEMBER_DOWN_FOR),
            max_packet_size: NonZeroUsize::new(MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - 1)
                .unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: Some(PeriodicParams {
                frequency: FEED_INTERVAL,
                num_members: NonZeroUsize::MIN,
            }),
            periodic_announce_to_down_members: Some(PeriodicParams {
                frequency: ANNOUNCE_TO_DOWN_INTERVAL,
                num_members: DOWN_PER_ANNOUNCE,
            }),
            periodic_gossip: Some(PeriodicParams { frequency: GOSSIP_INTERVAL, num_members: GOSSIP_FANOUT }),
        };
        let seeds = seeds.into_iter().filter(|seed| *seed != own.address).collect();
        Self {
            foca: Foca::new(own, config, Pcg64Mcg::seed_from_u64(seed), PostcardCodec),
            requests: LibraryRequests::default(),
            timers: BTreeMap::new(),
            timer_no: 0,
            seeds,
            next_seed: now,
            known: BTreeMap::new(),
            changes: Vec::new(),
            clock: AwakeClock::new(now),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d65_6d62),
        }
    }

    /// This server.
    pub fn own(&self) -> &Peer {
        self.foca.identity()
    }

    /// Something came from a member.
    pub fn receive(&mut self, now: Time, data: &[u8]) -> Result<(), foca::Error> {
        let result = self.foca.handle_data(data, &mut self.requests);
        self.take_requests(now);
        match result {
            // Addressed to a incarnation of ours that is over, or by one: nothing is wrong with it.
            Err(foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves) => Ok(()),
            other => other,
        }
    }

    /// Something came that was meant for an earlier incarnation of this server: its sender is told of the one that began, rather
    /// than left to find the earlier one dead.
    pub fn announce_to_sender(&mut self, now: Time, data: &[u8]) {
        if let Ok(header) = PostcardCodec.decode_header(data) {
            let _ = self.foca.announce(header.src, &mut self.requests);
            self.take_requests(now);
        }
    }

    /// Somebody knows this server in a greater incarnation: it comes back past that one.
    pub fn raise_incarnation(&mut self, now: Time, known: Incarnation) {
        let own = self.own();
        if known < own.incarnation {
            return;
        }
        let raised = Peer { incarnation: own.incarnation.past(known), ..own.clone() };
        let incarnation = raised.incarnation;
        if self.foca.change_identity(raised, &mut self.requests).is_ok() {
            self.changes.push(MembershipChange::Rejoined(incarnation));
        }
        self.take_requests(now);
    }

    /// Does what is due. Datagrams that have come are to be told before.
    pub fn step(&mut self, now: Time) {
        if let Some(paused) = self.clock.step(now) {
            self.changes.push(MembershipChange::Paused(paused));
        }
        loop {
            let awake = self.clock.awake(now);
            let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= awake) else { break };
            // A look that never ended because of a pause is the one error here, and the library begins it anew.
            let _ = self.foca.handle_timer(entry.remove(), &mut self.requests);
            self.take_requests(now);
        }
        if now >= self.next_seed {
            self.announce_to_seeds(now);
        }
        self.clock.expect_at(self.wake_at(now));
    }

    /// Announces this server to seeds: to all while it is alone, else to one that isn't a member.
    fn announce_to_seeds(&mut self, now: Time) {
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
            let _ = self.foca.announce(Peer::unknown(seed), &mut self.requests);
        }
        let pause = if alone { ANNOUNCE_INTERVAL } else { SEED_INTERVAL };
        // Spread, or a fleet that starts at once would ask its seeds at once for ever.
        let pause = pause.0 / 2 + self.rng.next_u64() % pause.0;
        self.next_seed = after(now, Span(pause));
        self.take_requests(now);
    }

    /// When there is something to do though nothing came in.
    pub fn wake_at(&self, now: Time) -> Time {
        let timer = self.timers.first_key_value().map(|((due, _), _)| self.clock.real(*due));
        timer.map_or(self.next_seed, |timer| timer.min(self.next_seed)).max(now)
    }

    /// What is to be sent since the last call.
    pub fn sends(&mut self) -> Vec<(Peer, Vec<u8>)> {
        std::mem::take(&mut self.requests.send)
    }

    /// What changed since the last call.
    pub fn changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// All others that are believed to be up.
    pub fn up(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// How many others are believed to be up.
    pub fn up_count(&self) -> usize {
        self.foca.num_members()
    }

    /// Whether a member is up and nobody suspects it.
    pub fn healthy(&self, name: &str) -> Option<&Peer> {
        let found = self.foca.iter_members().find(|member| &*member.id().name == name)?;
        (found.state() == State::Alive).then_some(found.id())
    }

    /// All that are or were there, by name.
    pub fn known(&self) -> impl Iterator<Item = &KnownMember> {
        self.known.values()
    }

    /// What is known of a server.
    pub fn find(&self, name: &str) -> Option<&KnownMember> {
        self.known.get(name)
    }

    /// This server leaves for good: the others are told, and need not suspect it first.
    pub fn leave(&mut self, now: Time) {
        let _ = self.foca.leave_cluster(&mut self.requests);
        self.take_requests(now);
    }

    /// Takes over what the library asked for.
    fn take_requests(&mut self, now: Time) {
        let awake = self.clock.awake(now);
        for (wait, timer) in self.requests.timers.drain(..) {
            self.timer_no += 1;
            let due = after(awake, Span(wait.as_nanos() as u64));
            self.timers.insert((due, self.timer_no), timer);
        }
        for news in std::mem::take(&mut self.requests.news) {
            match news {
                OwnedNotification::MemberUp(peer) => self.set_up(now, peer, true),
                OwnedNotification::MemberDown(peer) => self.set_up(now, peer, false),
                OwnedNotification::Rename(_, peer) => {
                    if let Some(known) = self
                        .known
                        .get_mut(&peer.name)
                        .filter(|known| known.peer.incarnation < peer.incarnation)
                    {
                        known.peer = peer;
                    }
                }
                OwnedNotification::Rejoin(own) => {
                    self.changes.push(MembershipChange::Rejoined(own.incarnation))
                }
                OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }

    fn set_up(&mut self, now: Time, peer: Peer, up: bool) {
        if let Some(known) = self.known.get(&peer.name)
            && known.peer.incarnation > peer.incarnation
        {
            // Of a incarnation at another address: the later one is there.
            return;
        }
        if !self.known.contains_key(&peer.name) && self.known.len() >= MAX_PAST {
            let gone = self.known.values().filter(|known| !known.up).min_by_key(|known| known.since);
            let Some(name) = gone.map(|known| Arc::clone(&known.peer.name)) else { return };
            self.known.remove(&name);
        }
        self.known.insert(Arc::clone(&peer.name), KnownMember { peer: peer.clone(), up, since: now });
        self.changes.push(if up { MembershipChange::Up(peer) } else { MembershipChange::Down(peer) });
    }
}

/// The time that this process was awake.
#[derive(Debug)]
struct AwakeClock {
    /// The time that it paused so far.
    paused: u64,
    /// When it is to be called again.
    expected_at: Time,
}

impl AwakeClock {
    fn new(now: Time) -> Self {
        Self { paused: 0, expected_at: now }
    }

    /// It is called now; how long it paused, if for long.
    fn step(&mut self, now: Time) -> Option<Span> {
        let late = now.0.saturating_sub(after(self.expected_at, MAX_LATENESS).0);
        self.paused += late;
        (late >= REPORTED_PAUSE.0).then_some(Span(late))
    }

    fn expect_at(&mut self, at: Time) {
        self.expected_at = at;
    }

    fn awake(&self, now: Time) -> Time {
        before(now, Span(self.paused))
    }

    fn real(&self, awake: Time) -> Time {
        after(awake, Span(self.paused))
    }
}

#[cfg(test)]
mod tests;
