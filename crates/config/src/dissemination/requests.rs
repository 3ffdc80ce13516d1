//! Which peers are known to be ahead, and the request for commits that is under way.
//!
//! One request at a time. Nearer peers come first: those farther away are asked only when a server has been behind for
//! longer, so that after a partition few servers of a zone fetch from afar and the others fetch from them.

use super::peers::{Distance, Peers, below};
use super::quarantine::Quarantine;
use super::settings::{DisseminationSettings, Selection};
use crate::change::{Name, Revision};
use crate::digest::Version;
use gradepin_admission::{Span, Time, time_after};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const MS: u64 = 1_000_000;
/// Peers ahead that are remembered, at the most.
const MOST_HEARD: usize = 64;
/// Peers that failed lately that are remembered, at the most.
const MOST_FAILED: usize = 64;
/// For so long a server that is behind waits before it asks at all: a push may be under way.
const ZONE_DELAY: Span = Span(100 * MS);
/// Before it asks another zone of its region.
const REGION_DELAY: Span = Span(300 * MS);
/// Before it asks a voter or another region.
const FAR_DELAY: Span = Span(600 * MS);
/// Delays grow by up to this much at random, so that the servers of a zone don't ask at one time.
const JITTER: Span = Span(300 * MS);
/// A peer that did not answer is asked last for so long.
const FAILED_FOR: Span = Span(3_000 * MS);
/// Between the messages of one answer, at the most.
const ANSWER_GAP: Span = Span(300 * MS);

#[derive(Debug)]
struct Outstanding {
    to: Name,
    until: Time,
}

/// Requests for commits.
#[derive(Debug, Default)]
pub struct Requests {
    ahead: BTreeMap<Name, Version>,
    failed: BTreeMap<Name, Time>,
    outstanding: Option<Outstanding>,
    behind_since: Option<Time>,
    jitter: Span,
    refusals: u32,
    next: Time,
}

impl Requests {
    /// A peer told its revision, which is past the own one.
    pub fn heard(&mut self, now: Time, from: &Name, version: Version, rng: &mut Pcg64Mcg) {
        if self.ahead.len() >= MOST_HEARD && !self.ahead.contains_key(from) {
            let least = self.ahead.iter().min_by_key(|(_, version)| version.revision);
            let Some(name) = least.map(|(name, _)| name.clone()) else { return };
            self.ahead.remove(&name);
        }
        self.ahead.insert(from.clone(), version);
        if self.behind_since.is_none() {
            self.behind_since = Some(now);
            self.jitter = Span(below(rng, JITTER.0 as usize) as u64);
        }
    }

    /// The own revision grew.
    pub fn reached(&mut self, now: Time, own: Revision) {
        self.ahead.retain(|_, version| version.revision > own);
        self.refusals = 0;
        // Progress: those farther away are asked only after another pause.
        self.behind_since = if self.ahead.is_empty() { None } else { Some(now) };
    }

    /// A peer is not ahead after all, or is left out.
    pub fn forget(&mut self, name: &str) {
        self.ahead.remove(name);
        if self.outstanding.as_ref().is_some_and(|request| request.to.as_ref() == name) {
            self.outstanding = None;
        }
        if self.ahead.is_empty() {
            self.behind_since = None;
        }
    }

    /// The newest revision that a peer told of.
    pub fn newest(&self) -> Option<Revision> {
        self.ahead.values().map(|version| version.revision).max()
    }

    /// Since when a newer revision is known.
    pub fn behind_since(&self) -> Option<Time> {
        self.behind_since
    }

    /// A part of an answer came.
    pub fn answered(&mut self, now: Time, from: &Name, last: bool) {
        if let Some(request) = self.outstanding.as_mut().filter(|request| request.to == *from) {
            request.until = time_after(now, ANSWER_GAP);
            if last {
                self.outstanding = None;
            }
        }
    }

    /// The peer that was asked has no bytes left, or nothing to give.
    pub fn refused(&mut self, now: Time, from: &Name, settings: &DisseminationSettings) {
        if self.outstanding.as_ref().is_some_and(|request| request.to == *from) {
            self.fail(now);
            let pause =
                Span((settings.request_timeout.0 / 8) << self.refusals.min(6)).min(settings.most_backoff);
            self.refusals += 1;
            self.next = time_after(now, pause);
        }
    }

    /// The peer that was asked comes last for a time. Without an answer the next one is asked at once: a datagram was lost,
    /// most likely, and each request has to wait for its time. Only refusals, which tell that bytes are short, make for longer
    /// and longer pauses.
    fn fail(&mut self, now: Time) {
        let Some(request) = self.outstanding.take() else { return };
        self.failed.retain(|_, until| now < *until);
        if self.failed.len() < MOST_FAILED {
            self.failed.insert(request.to, time_after(now, FAILED_FOR));
        }
    }

    /// The request that ran out of time fails; true if there is one and it is still under way.
    fn waits(&mut self, now: Time) -> bool {
        match &self.outstanding {
            Some(request) if now < request.until => true,
            Some(_) => {
                self.fail(now);
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

    /// Whom to ask now, if anyone. Among the equally near one at random; who failed lately comes last.
    pub fn choose(
        &mut self,
        now: Time,
        settings: &DisseminationSettings,
        peers: &Peers,
        quarantine: &Quarantine,
        rng: &mut Pcg64Mcg,
    ) -> Option<Name> {
        if self.waits(now) || now < self.next {
            return None;
        }
        let since = self.behind_since?;
        let rank = |name: &Name| (self.has_failed(now, name), peers.distance(name), !peers.is_voter(name));
        let may = |name: &&Name| {
            let delay = self.delay(settings, peers.distance(name));
            now >= time_after(since, delay) && peers.may_fetch(settings, name) && !quarantine.holds(now, name)
        };
        let best = self.ahead.keys().filter(may).map(rank).min()?;
        let equal: Vec<&Name> = self.ahead.keys().filter(may).filter(|name| rank(name) == best).collect();
        Some(equal[below(rng, equal.len())].clone())
    }

    /// One of the nearest peers that are ahead, to ask for a snapshot.
    pub fn nearest(
        &self,
        now: Time,
        peers: &Peers,
        quarantine: &Quarantine,
        rng: &mut Pcg64Mcg,
    ) -> Option<Name> {
        let may = |name: &&Name| !quarantine.holds(now, name) && !self.has_failed(now, name);
        let near = self.ahead.keys().filter(may).map(|name| peers.distance(name)).min()?;
        let equal: Vec<&Name> =
            self.ahead.keys().filter(may).filter(|name| peers.distance(name) == near).collect();
        Some(equal[below(rng, equal.len())].clone())
    }

    fn has_failed(&self, now: Time, name: &Name) -> bool {
        self.failed.get(name).is_some_and(|until| now < *until)
    }

    /// A request could not be sent for the bounds on bytes.
    pub fn postpone(&mut self, now: Time) {
        self.next = time_after(now, ZONE_DELAY);
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Time, to: &Name, settings: &DisseminationSettings) {
        self.outstanding =
            Some(Outstanding { to: to.clone(), until: time_after(now, settings.request_timeout) });
    }

    /// When [`Requests::choose`] may have something new to say.
    pub fn wake_at(&self, now: Time, settings: &DisseminationSettings) -> Option<Time> {
        if let Some(request) = &self.outstanding {
            return Some(request.until);
        }
        let since = self.behind_since?;
        let distances = [Distance::Zone, Distance::Region, Distance::Far];
        let due = distances.map(|distance| time_after(since, self.delay(settings, distance)));
        let next = due.into_iter().find(|due| *due > now);
        // All may be asked and none fits: those that are left out may be back after a while.
        Some(next.unwrap_or(time_after(now, REGION_DELAY)).max(self.next))
    }
}
