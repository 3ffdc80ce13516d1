//! Membership and failure detection: SWIM with suspicion and incarnations (Das, Gupta and Motivala, 2002),
//! implemented by the library `foca`.
//!
//! This module runs the library's timers on a clock that excludes the time in which this process was stopped
//! or starved, keeps members by name in addition to their address, and sends announcements by which two parts
//! of a fleet that consider each other dead merge again. Envelopes and replay protection are in
//! [`crate::authentication`] and [`crate::replay_window`].

mod awake_clock;
mod library_adapter;
mod settings;

pub use settings::FailureDetection;

use crate::MS;
use crate::peer::{Incarnation, Peer};
use awake_clock::AwakeClock;
use foca::{Codec, Foca, OwnedNotification, PostcardCodec, State, Timer};
use gradepin_admission::{Span, Time, time_after};
use library_adapter::FocaRequests;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Mean interval between announcements to all seeds while no other member is up.
const ANNOUNCE_INTERVAL: Span = Span(500 * MS);
/// Mean interval between announcements to a seed that isn't a member, by which two parts of a fleet that have
/// forgotten each other merge again.
const SEED_INTERVAL: Span = Span(5_000 * MS);
/// Maximum number of servers that are remembered, up or down.
const MAX_KNOWN_MEMBERS: usize = 4_096;

/// Another server, with its last known state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMember {
    /// The server, in its last known incarnation.
    pub peer: Peer,
    /// Whether it is considered up, which includes suspected members.
    pub up: bool,
    /// The time at which the server was last reported up or down.
    pub since: Time,
}

/// A change of the membership, for the log and for modules that depend on the members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// The server is up, for the first time or again.
    Up(Peer),
    /// The server is considered dead.
    Down(Peer),
    /// This server was considered dead by others and has taken this later incarnation.
    Rejoined(Incarnation),
    /// This process was stopped or starved for this time.
    Paused(Span),
}

/// The membership of the fleet as seen by this server.
pub struct Members {
    foca: Foca<Peer, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    requests: FocaRequests,
    /// The library's timers, by the awake time at which they are due and the order in which they were set.
    timers: BTreeMap<(Time, u64), Timer<Peer>>,
    last_timer_number: u64,
    seeds: Vec<SocketAddr>,
    next_announcement: Time,
    /// All servers that are or were members, by name, at most [`MAX_KNOWN_MEMBERS`]. Those that are down are
    /// remembered for their last incarnation.
    known: BTreeMap<Arc<str>, KnownMember>,
    changes: Vec<MembershipChange>,
    clock: AwakeClock,
    rng: Pcg64Mcg,
}

impl Members {
    /// A membership without other members. `seed` is the seed of its random choices, `seeds` are the
    /// addresses of servers to join by.
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
                library_adapter::config(failure_detection),
                Pcg64Mcg::seed_from_u64(seed),
                PostcardCodec,
            ),
            requests: FocaRequests::default(),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            seeds,
            next_announcement: now,
            known: BTreeMap::new(),
            changes: Vec::new(),
            clock: AwakeClock::new(now),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d65_6d62),
        }
    }

    /// This server, in its current incarnation.
    pub fn own(&self) -> &Peer {
        self.foca.identity()
    }

    /// Handles a membership message.
    pub fn receive(&mut self, now: Time, data: &[u8]) -> Result<(), foca::Error> {
        let result = self.foca.handle_data(data, &mut self.requests);
        self.take_requests(now);
        match result {
            // Sent to or by an earlier incarnation of this server: the message itself is valid.
            Err(foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves) => Ok(()),
            other => other,
        }
    }

    /// Answers a message to an earlier incarnation of this server with the current one, so that its sender
    /// need not first suspect the earlier one.
    pub fn announce_to_sender(&mut self, now: Time, data: &[u8]) {
        if let Ok(header) = PostcardCodec.decode_header(data) {
            let _ = self.foca.announce(header.src, &mut self.requests);
            self.take_requests(now);
        }
    }

    /// Takes an incarnation above `known`, in which another server knows this one, unless the current one is
    /// greater.
    pub fn raise_incarnation(&mut self, now: Time, known: Incarnation) {
        let own = self.own();
        if known < own.incarnation {
            return;
        }
        let raised = Peer { incarnation: own.incarnation.next_above(known), ..own.clone() };
        let incarnation = raised.incarnation;
        if self.foca.change_identity(raised, &mut self.requests).is_ok() {
            self.changes.push(MembershipChange::Rejoined(incarnation));
        }
        self.take_requests(now);
    }

    /// Runs the timers that are due, and announces this server to seeds. Datagrams that were already received
    /// must be passed to [`Members::receive`] before, because they may hold replies that the timers check
    /// for.
    pub fn step(&mut self, now: Time) {
        if let Some(paused) = self.clock.resume(now) {
            self.changes.push(MembershipChange::Paused(paused));
        }
        loop {
            let awake = self.clock.awake(now);
            let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= awake) else { break };
            // The only possible error is a probe round that was left incomplete by a pause; the library
            // starts a new one.
            let _ = self.foca.handle_timer(entry.remove(), &mut self.requests);
            self.take_requests(now);
        }
        if now >= self.next_announcement {
            self.announce_to_seeds(now);
        }
        self.clock.expect_at(self.wake_at(now));
    }

    /// Announces this server to all seeds while it has no other member, otherwise to a random seed that isn't
    /// a member.
    fn announce_to_seeds(&mut self, now: Time) {
        let alone = self.foca.num_members() == 0;
        let missing: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|seed| !self.foca.iter_members().any(|member| member.id().address == **seed))
            .copied()
            .collect();
        let chosen = if alone || missing.is_empty() {
            missing
        } else {
            vec![missing[self.rng.next_u64() as usize % missing.len()]]
        };
        for seed in chosen {
            let _ = self.foca.announce(Peer::unknown(seed), &mut self.requests);
        }
        let pause = if alone { ANNOUNCE_INTERVAL } else { SEED_INTERVAL };
        // Jitter: otherwise servers that start at the same time would announce themselves at the same time
        // for ever.
        let pause = pause.0 / 2 + self.rng.next_u64() % pause.0;
        self.next_announcement = time_after(now, Span(pause));
        self.take_requests(now);
    }

    /// When [`Members::step`] must run next if nothing is received before.
    pub fn wake_at(&self, now: Time) -> Time {
        let timer = self.timers.first_key_value().map(|((due, _), _)| self.clock.real(*due));
        timer.map_or(self.next_announcement, |timer| timer.min(self.next_announcement)).max(now)
    }

    /// Takes the messages to send, with their receivers, that were queued since the last call.
    pub fn sends(&mut self) -> Vec<(Peer, Vec<u8>)> {
        std::mem::take(&mut self.requests.send)
    }

    /// Takes the changes since the last call.
    pub fn changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// All other servers that are considered up, which includes suspected ones.
    pub fn up(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// The number of other servers that are considered up.
    pub fn up_count(&self) -> usize {
        self.foca.num_members()
    }

    /// The member of this name, if it is up and not suspected.
    pub fn healthy(&self, name: &str) -> Option<&Peer> {
        let found = self.foca.iter_members().find(|member| &*member.id().name == name)?;
        (found.state() == State::Alive).then_some(found.id())
    }

    /// All servers that are or were members, in the order of their names.
    pub fn known(&self) -> impl Iterator<Item = &KnownMember> {
        self.known.values()
    }

    /// The server of this name, if it is or was a member.
    pub fn find(&self, name: &str) -> Option<&KnownMember> {
        self.known.get(name)
    }

    /// Announces that this server leaves, so that others need not suspect it first.
    pub fn leave(&mut self, now: Time) {
        let _ = self.foca.leave_cluster(&mut self.requests);
        self.take_requests(now);
    }

    /// Sets the timers that the library requested, and applies its notifications.
    fn take_requests(&mut self, now: Time) {
        let awake = self.clock.awake(now);
        for (wait, timer) in self.requests.timers.drain(..) {
            self.last_timer_number += 1;
            let due = time_after(awake, Span(wait.as_nanos() as u64));
            self.timers.insert((due, self.last_timer_number), timer);
        }
        for notification in std::mem::take(&mut self.requests.notifications) {
            match notification {
                OwnedNotification::MemberUp(peer) => self.update_known_member(now, peer, true),
                OwnedNotification::MemberDown(peer) => self.update_known_member(now, peer, false),
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

    /// Records that a member is up or down, unless a later incarnation of it is known.
    fn update_known_member(&mut self, now: Time, peer: Peer, up: bool) {
        if let Some(known) = self.known.get(&peer.name)
            && known.peer.incarnation > peer.incarnation
        {
            // News of an earlier incarnation at another address.
            return;
        }
        if !self.known.contains_key(&peer.name) && self.known.len() >= MAX_KNOWN_MEMBERS {
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
