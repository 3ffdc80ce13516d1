//! Membership and failure detection: SWIM with suspicion and incarnations (Das, Gupta and Motivala, 2002), by the library
//! `foca`. Its time is the time in which this process was running.
//!
//! Added to the library here: its timers, a clock that leaves out the time in which this process was stopped or starved,
//! names beside addresses, and announcements by which two halves of a fleet that each consider the other dead find each
//! other again. Not here: envelopes and replays ([`crate::authentication`], [`crate::replay_window`]).

mod awake_clock;
mod library;
mod settings;

pub use settings::FailureDetection;

use crate::MS;
use crate::peer::{Incarnation, Peer};
use awake_clock::AwakeClock;
use foca::{Codec, Foca, OwnedNotification, PostcardCodec, State, Timer};
use gradepin_admission::{Span, Time, time_after};
use library::LibraryRequests;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Minimum time between announcements to seeds while no member is known.
const ANNOUNCE_INTERVAL: Span = Span(500 * MS);
/// Between announcements to one seed that isn't a member otherwise: two parts that forgot each other find back by it.
const SEED_INTERVAL: Span = Span(5_000 * MS);
/// Names of the past that are kept for their last incarnation.
const MAX_DOWN_MEMBERS: usize = 4_096;

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

/// What changed, for the log and for those who act on members.
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
    /// A server that knows no other member yet.
    pub fn new(
        own: Peer,
        seeds: Vec<SocketAddr>,
        failure_detection: &FailureDetection,
        seed: u64,
        now: Time,
    ) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.address).collect();
        Self {
            foca: Foca::new(
                own,
                library::config(failure_detection),
                Pcg64Mcg::seed_from_u64(seed),
                PostcardCodec,
            ),
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
            // Addressed to an incarnation of ours that is over, or by one: nothing is wrong with it.
            Err(foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves) => Ok(()),
            other => other,
        }
    }

    /// Answers a message to an earlier incarnation of this server with the current one, so that its sender need not
    /// first suspect the earlier one.
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

    /// Runs the timers that are due. Received datagrams are to be handed in first.
    pub fn step(&mut self, now: Time) {
        if let Some(paused) = self.clock.resume(now) {
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
        self.next_seed = time_after(now, Span(pause));
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

    /// The member, if it is up and not suspected.
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

    /// Announces that this server leaves, so that others need not suspect it first.
    pub fn leave(&mut self, now: Time) {
        let _ = self.foca.leave_cluster(&mut self.requests);
        self.take_requests(now);
    }

    /// Takes over what the library asked for.
    fn take_requests(&mut self, now: Time) {
        let awake = self.clock.awake(now);
        for (wait, timer) in self.requests.timers.drain(..) {
            self.timer_no += 1;
            let due = time_after(awake, Span(wait.as_nanos() as u64));
            self.timers.insert((due, self.timer_no), timer);
        }
        for notification in std::mem::take(&mut self.requests.notifications) {
            match notification {
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
                    self.changes.push(MembershipChange::Rejoined(own.incarnation));
                }
                OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }

    fn set_up(&mut self, now: Time, peer: Peer, up: bool) {
        if let Some(known) = self.known.get(&peer.name)
            && known.peer.incarnation > peer.incarnation
        {
            // Of an incarnation at another address: the later one is there.
            return;
        }
        if !self.known.contains_key(&peer.name) && self.known.len() >= MAX_DOWN_MEMBERS {
            let oldest_down = self.known.values().filter(|known| !known.up).min_by_key(|known| known.since);
            let Some(name) = oldest_down.map(|known| Arc::clone(&known.peer.name)) else { return };
            self.known.remove(&name);
        }
        self.known.insert(Arc::clone(&peer.name), KnownMember { peer: peer.clone(), up, since: now });
        self.changes.push(if up { MembershipChange::Up(peer) } else { MembershipChange::Down(peer) });
    }
}

#[cfg(test)]
mod tests;
