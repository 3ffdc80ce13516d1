//! Decides which peer to request missing commits from, and when. At most one request is in flight.
//!
//! Nearer peers are preferred: peers farther away are asked only after this server has been behind for longer. So after a network
//! partition, few servers of a zone fetch from other zones and regions, and the others fetch from them.

use super::cooldown::Cooldowns;
use super::in_flight::InFlight;
use super::peer_view::PeerView;
use super::peers::{Distance, random_below};
use super::settings::{DisseminationSettings, Selection};
use crate::change::{Name, Revision};
use crate::digest::Version;
use gradepin_admission::{Span, Time, time_after};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const MS: u64 = 1_000_000;
/// Maximum number of peers ahead that are tracked. Above it, the peer with the lowest revision is replaced.
const MAX_PEERS_AHEAD: usize = 64;
/// Maximum number of recently failed peers that are tracked.
const MAX_FAILED_PEERS: usize = 64;
/// Delay before a request within the zone after this server fell behind, because a push of the commits may be in flight.
const ZONE_DELAY: Span = Span(100 * MS);
/// Delay before a request to another zone of the region.
const REGION_DELAY: Span = Span(300 * MS);
/// Delay before a request to another region.
const FAR_DELAY: Span = Span(600 * MS);
/// Upper bound of the random part of the two longer delays, so that the servers of a zone don't send requests at the same time.
const MAX_JITTER: Span = Span(300 * MS);
/// How long a peer whose request failed is selected only if no other peer is eligible.
const FAILURE_COOLDOWN: Span = Span(3_000 * MS);
/// Maximum time between two messages of one reply.
const MAX_REPLY_GAP: Span = Span(300 * MS);
/// The first backoff after a rejection is the request timeout divided by this.
const FIRST_BACKOFF_DIVISOR: u64 = 8;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The peers that are known to be ahead, and the timing of requests for commits.
#[derive(Debug, Default)]
pub struct CommitRequests {
    peers_ahead: BTreeMap<Name, Version>,
    failed_peers: Cooldowns,
    in_flight: Option<InFlight>,
    /// When a newer revision became known or the last progress was made, whichever is later. `None` if no peer is ahead.
    behind_since: Option<Time>,
    jitter: Span,
    /// Number of rejections since the last progress.
    rejections: u32,
    next_request_at: Time,
}

impl CommitRequests {
    /// Records that a peer is at a newer version than this server.
    pub fn record_peer_ahead(&mut self, now: Time, peer: &Name, version: Version, rng: &mut Pcg64Mcg) {
        if self.peers_ahead.len() >= MAX_PEERS_AHEAD && !self.peers_ahead.contains_key(peer) {
            let lowest = self.peers_ahead.iter().min_by_key(|(_, version)| version.revision);
            let Some(name) = lowest.map(|(name, _)| name.clone()) else { return };
            self.peers_ahead.remove(&name);
        }
        self.peers_ahead.insert(peer.clone(), version);
        if self.behind_since.is_none() {
            self.behind_since = Some(now);
            self.jitter = Span(random_below(rng, MAX_JITTER.0 as usize) as u64);
        }
    }

    /// Records that this server has reached revision `in_force`.
    pub fn record_progress(&mut self, now: Time, in_force: Revision) {
        self.peers_ahead.retain(|_, version| version.revision > in_force);
        self.rejections = 0;
        // Progress restarts the delays for peers farther away.
        self.behind_since = if self.peers_ahead.is_empty() { None } else { Some(now) };
    }

    /// Removes a peer that is no longer ahead, is down, or is quarantined. A request to it is abandoned.
    pub fn forget_peer(&mut self, name: &str) {
        self.peers_ahead.remove(name);
        if self.in_flight.as_ref().is_some_and(|request| request.is_to(name)) {
            self.in_flight = None;
        }
        if self.peers_ahead.is_empty() {
            self.behind_since = None;
        }
    }

    /// The newest revision that a peer reported; `None` if none is newer than that of this server.
    pub fn newest(&self) -> Option<Revision> {
        self.peers_ahead.values().map(|version| version.revision).max()
    }

    /// Since when this server has been behind without progress; `None` if it is not behind.
    pub fn behind_since(&self) -> Option<Time> {
        self.behind_since
    }

    /// Records one message of a reply; `last` if it completes the reply.
    pub fn record_reply(&mut self, now: Time, peer: &Name, last: bool) {
        if let Some(request) = self.in_flight.as_mut().filter(|request| request.is_to(peer)) {
            request.deadline = time_after(now, MAX_REPLY_GAP);
            if last {
                self.in_flight = None;
            }
        }
    }

    /// Records that the peer rejected the request. The next request to any peer is delayed by a backoff that doubles with each
    /// rejection since the last progress.
    pub fn record_rejection(&mut self, now: Time, peer: &Name, settings: &DisseminationSettings) {
        if self.in_flight.as_ref().is_some_and(|request| request.is_to(peer)) {
            self.fail_in_flight(now);
            let first = settings.request_timeout.0 / FIRST_BACKOFF_DIVISOR;
            let backoff = Span(first << self.rejections.min(MAX_BACKOFF_DOUBLINGS)).min(settings.max_backoff);
            self.rejections += 1;
            self.next_request_at = time_after(now, backoff);
        }
    }

    /// Ends the request in flight and starts the cooldown of its peer. A timeout causes no backoff, because most likely a datagram
    /// was lost. Only rejections, which indicate a shortage of bandwidth, cause backoff.
    fn fail_in_flight(&mut self, now: Time) {
        let Some(request) = self.in_flight.take() else { return };
        self.failed_peers.add(now, request.peer, time_after(now, FAILURE_COOLDOWN), MAX_FAILED_PEERS);
    }

    /// Fails the request in flight if it has timed out. Returns whether one is still in flight.
    fn has_request_in_flight(&mut self, now: Time) -> bool {
        match &self.in_flight {
            Some(request) if !request.has_expired(now) => true,
            Some(_) => {
                self.fail_in_flight(now);
                false
            }
            None => false,
        }
    }

    fn delay(&self, settings: &DisseminationSettings, distance: Distance) -> Span {
        let delay = match distance {
            _ if settings.selection != Selection::Epidemic => return Span(0),
            Distance::Zone => return ZONE_DELAY,
            Distance::Region => REGION_DELAY,
            Distance::Far => FAR_DELAY,
        };
        Span(delay.0 + self.jitter.0)
    }

    /// The peer to send a request to now, if any: a random one among the nearest. Peers that failed recently are ranked last, and
    /// voters are preferred among equally near peers.
    pub fn choose_peer(&mut self, view: &PeerView<'_>, rng: &mut Pcg64Mcg) -> Option<Name> {
        let PeerView { now, settings, peers, .. } = *view;
        if self.has_request_in_flight(now) || now < self.next_request_at {
            return None;
        }
        let behind_since = self.behind_since?;
        let rank = |name: &Name| {
            (self.failed_peers.contains(now, name), peers.distance(name), !peers.is_voter(name))
        };
        let is_eligible = |name: &&Name| {
            let delay = self.delay(settings, peers.distance(name));
            let is_due = now >= time_after(behind_since, delay);
            is_due && peers.may_fetch(settings, name) && !view.is_quarantined(name)
        };
        let best = self.peers_ahead.keys().filter(is_eligible).map(rank).min()?;
        let candidates: Vec<&Name> =
            self.peers_ahead.keys().filter(is_eligible).filter(|name| rank(name) == best).collect();
        Some(candidates[random_below(rng, candidates.len())].clone())
    }

    /// A random one among the nearest peers that are ahead and did not fail recently, to fetch a snapshot from.
    pub fn nearest_peer_ahead(&self, view: &PeerView<'_>, rng: &mut Pcg64Mcg) -> Option<Name> {
        let PeerView { now, peers, .. } = *view;
        let is_eligible = |name: &&Name| !view.is_quarantined(name) && !self.failed_peers.contains(now, name);
        let distance = |name: &Name| peers.distance(name);
        let nearest = self.peers_ahead.keys().filter(is_eligible).map(distance).min()?;
        let candidates: Vec<&Name> =
            self.peers_ahead.keys().filter(is_eligible).filter(|name| distance(name) == nearest).collect();
        Some(candidates[random_below(rng, candidates.len())].clone())
    }

    /// Delays the next request, after a request could not be sent because a byte budget was used up.
    pub fn postpone(&mut self, now: Time) {
        self.next_request_at = time_after(now, ZONE_DELAY);
    }

    /// Records that a request was sent to `peer`, and starts its timeout.
    pub fn record_sent(&mut self, now: Time, peer: &Name, settings: &DisseminationSettings) {
        let deadline = time_after(now, settings.request_timeout);
        self.in_flight = Some(InFlight { peer: peer.clone(), deadline });
    }

    /// The next time at which the result of [`CommitRequests::choose_peer`] may change without new input.
    pub fn wake_at(&self, now: Time, settings: &DisseminationSettings) -> Option<Time> {
        if let Some(request) = &self.in_flight {
            return Some(request.deadline);
        }
        let behind_since = self.behind_since?;
        let distances = [Distance::Zone, Distance::Region, Distance::Far];
        let due = distances.map(|distance| time_after(behind_since, self.delay(settings, distance)));
        let next = due.into_iter().find(|due| *due > now);
        // All delays have passed and no peer was eligible. A quarantine may end, so check again later.
        Some(next.unwrap_or(time_after(now, REGION_DELAY)).max(self.next_request_at))
    }
}
