//! A snapshot that is fetched: first a manifest that another peer confirms, then its chunks from several peers.
//!
//! Chunks are named by the digest of their content, so any peer whose state has the same chunk can serve it, and what came
//! for one manifest is used for the next where a chunk is the same. A chunk with another content than its digest says is
//! dropped and its source reported.

use super::messages::Message;
use super::outbox::Outbox;
use super::peers::{Peers, below};
use super::quarantine::Quarantine;
use super::settings::{DisseminationSettings, Selection};
use crate::change::{Name, Revision};
use crate::chunk::ChunkNumber;
use crate::configuration::Configuration;
use crate::digest::{Digest, Version};
use crate::snapshot::{Assembly, ChunkDigest, Manifest, Snapshot};
use gradepin_admission::{Span, Time, time_after};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000_000;
/// Peers that chunks are fetched from at a time.
const SOURCES: usize = 6;
/// Chunks asked of one source at a time, at the least: what is half received of one sender is bounded below this layer.
const WINDOW: usize = 2;
/// Where chunks are small more of them are asked at a time, so that one that is lost holds up little: these bytes' worth,
const WINDOW_BYTES: usize = WINDOW * CHUNK_BYTES;
/// and so many at the most.
const MOST_WINDOW: usize = 32;
/// Failures in a row after which a source is given up.
const MOST_FAILURES: u32 = 3;
/// Between questions for the digest of a revision.
const CONFIRM_EVERY: Span = Span(300 * MS);
/// Peers asked at a time.
const CONFIRM_PEERS: usize = 3;
/// Rounds of questions after which the word of a voter is taken alone, and a manifest of another server is dropped.
const MOST_ROUNDS: u32 = 6;
/// Without a new chunk for so long another manifest is fetched.
const STUCK: Span = Span(3_000 * MS);
/// Between looks for more sources.
const REFILL_EVERY: Span = Span(500 * MS);
/// Between steps while chunks are under way.
const TICK: Span = Span(50 * MS);
/// What a chunk is taken to cost before it is there, in bytes: the mean of a full table. What it costs less is given back
/// when the answer is there.
const CHUNK_BYTES: usize = 6_500;
/// The same for a manifest.
const MANIFEST_BYTES: usize = 20_000;

/// What a transfer may look at.
pub struct TransferContext<'a> {
    /// Settings.
    pub settings: &'a DisseminationSettings,
    /// Who is up.
    pub peers: &'a Peers,
    /// Who is left out.
    pub quarantine: &'a Quarantine,
    /// A peer that is known to be ahead and may be asked.
    pub ahead: Option<Name>,
    /// The state in force.
    pub state: &'a Configuration,
}

/// A request that a transfer makes.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Of whom.
    pub to: Name,
    /// What.
    pub message: Message,
}

#[derive(Debug)]
struct Candidate {
    manifest: Manifest,
    from: Name,
    from_voter: bool,
    agree: BTreeSet<Name>,
    disagree: BTreeMap<Name, Digest>,
    asked: BTreeSet<Name>,
    rounds: u32,
    next_round: Time,
}

#[derive(Debug)]
struct Source {
    name: Name,
    failures: u32,
}

#[derive(Debug)]
struct Loading {
    assembly: Assembly,
    sources: Vec<Source>,
    outstanding: BTreeMap<ChunkNumber, (Name, Time)>,
    absent: BTreeSet<(Name, ChunkNumber)>,
    given_up: BTreeMap<Name, Time>,
    /// Who served the manifest. If it has a chunk no longer, the manifest is of the past.
    origin: Name,
    outdated: bool,
    next_refill: Time,
    progress_at: Time,
    /// The mean length of a chunk, over the last ones.
    chunk_bytes: usize,
}

#[derive(Debug)]
enum Phase {
    /// No manifest yet; the one that was asked for it, until then.
    Finding(Option<(Name, Time)>),
    Confirming(Box<Candidate>),
    Loading(Box<Loading>),
}

/// A transfer under way.
#[derive(Debug)]
pub struct Transfer {
    least: Revision,
    phase: Phase,
    next: Time,
    previous: Option<Assembly>,
    bad: Vec<Name>,
    unspent: usize,
}

impl Transfer {
    /// Of a snapshot of this revision at the least.
    pub fn new(now: Time, least: Revision) -> Self {
        Self { least, phase: Phase::Finding(None), next: now, previous: None, bad: Vec::new(), unspent: 0 }
    }

    /// Sources whose data failed a check since the last call.
    pub fn bad_sources(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.bad)
    }

    /// Bytes of requests since the last call that the answers came to less than they were taken for.
    pub fn unspent(&mut self) -> usize {
        std::mem::take(&mut self.unspent)
    }

    /// The least revision that is of use.
    pub fn least(&self) -> Revision {
        self.least
    }

    fn restart(&mut self, now: Time) {
        let old = std::mem::replace(&mut self.phase, Phase::Finding(None));
        if let Phase::Loading(loading) = old {
            self.previous = Some(loading.assembly);
        }
        self.next = now;
    }

    /// A manifest came.
    pub fn manifest(&mut self, now: Time, from: &Name, manifest: Manifest, from_voter: bool, plain: bool) {
        let Phase::Finding(Some((asked, _))) = &self.phase else { return };
        if asked != from || manifest.revision() < self.least {
            return;
        }
        if manifest.check().is_err() {
            self.bad.push(from.clone());
            return self.restart(now);
        }
        let candidate = Candidate {
            manifest,
            from: from.clone(),
            from_voter,
            agree: BTreeSet::new(),
            disagree: BTreeMap::new(),
            asked: BTreeSet::from([from.clone()]),
            rounds: 0,
            next_round: now,
        };
        self.next = now;
        if plain {
            return self.load(now, candidate);
        }
        self.phase = Phase::Confirming(Box::new(candidate));
    }

    /// A peer told the digest that it knows for a revision, or that it knows none.
    pub fn version(&mut self, now: Time, from: &Name, revision: Revision, digest: Option<Digest>) {
        let Phase::Confirming(candidate) = &mut self.phase else { return };
        let Version { revision: wanted, digest: expected } = candidate.manifest.version;
        let Some(digest) = digest.filter(|_| revision == wanted && *from != candidate.from) else { return };
        if digest == expected {
            candidate.agree.insert(from.clone());
        } else {
            candidate.disagree.insert(from.clone(), digest);
        }
        let (for_it, against) = (candidate.agree.len(), candidate.disagree.len());
        if for_it > against {
            self.bad.extend(candidate.disagree.keys().cloned());
            self.accept(now);
        } else if against >= 2 && against > for_it {
            self.bad.push(candidate.from.clone());
            self.bad.extend(candidate.agree.iter().cloned());
            self.restart(now);
        }
    }

    fn accept(&mut self, now: Time) {
        if let Phase::Confirming(candidate) = std::mem::replace(&mut self.phase, Phase::Finding(None)) {
            self.load(now, *candidate);
        }
    }

    fn load(&mut self, now: Time, candidate: Candidate) {
        let Ok(mut assembly) = Assembly::new(candidate.manifest) else { return self.restart(now) };
        if let Some(previous) = self.previous.take() {
            assembly.adopt_from(&previous);
        }
        let origin = candidate.from.clone();
        let names = std::iter::once(candidate.from).chain(candidate.agree);
        self.phase = Phase::Loading(Box::new(Loading {
            assembly,
            sources: names.take(SOURCES).map(|name| Source { name, failures: 0 }).collect(),
            outstanding: BTreeMap::new(),
            absent: BTreeSet::new(),
            given_up: BTreeMap::new(),
            origin,
            outdated: false,
            next_refill: now,
            progress_at: now,
            chunk_bytes: CHUNK_BYTES,
        }));
        self.next = now;
    }

    /// A chunk came.
    pub fn chunk(&mut self, now: Time, from: &Name, number: ChunkNumber, bytes: &[u8]) {
        let Phase::Loading(loading) = &mut self.phase else { return };
        let expected = loading.outstanding.get(&number).is_some_and(|(asked, _)| asked == from);
        if expected {
            loading.outstanding.remove(&number);
            self.unspent += CHUNK_BYTES.saturating_sub(bytes.len());
            loading.chunk_bytes = (loading.chunk_bytes * 3 + bytes.len()) / 4;
        }
        match loading.assembly.add(number, bytes) {
            Ok(()) => {
                loading.progress_at = now;
                if let Some(source) = loading.sources.iter_mut().find(|source| source.name == *from) {
                    source.failures = 0;
                }
            }
            // Late answers to an older manifest may have another content; asked ones may not.
            Err(_) if expected => {
                loading.drop_source(from);
                self.bad.push(from.clone());
            }
            Err(_) => {}
        }
        self.next = now;
    }

    /// A source has another content for a chunk.
    pub fn no_chunk(&mut self, now: Time, from: &Name, number: ChunkNumber) {
        if let Phase::Loading(loading) = &mut self.phase {
            if loading.outstanding.get(&number).is_some_and(|(asked, _)| asked == from) {
                loading.outstanding.remove(&number);
                self.unspent += CHUNK_BYTES;
            }
            loading.absent.insert((from.clone(), number));
            loading.outdated |= *from == loading.origin;
            self.next = now;
        }
    }

    /// A peer has no bytes left, or no manifest: another one is asked.
    pub fn refused(&mut self, now: Time, from: &Name) {
        match &mut self.phase {
            Phase::Finding(Some((asked, until))) if asked == from => *until = now,
            Phase::Loading(loading) => loading.give_up(now, from),
            _ => {}
        }
        self.next = now;
    }

    /// A source is left out.
    pub fn forget(&mut self, now: Time, name: &str) {
        match &mut self.phase {
            Phase::Finding(Some((asked, _))) if asked.as_ref() == name => self.restart(now),
            Phase::Loading(loading) => loading.drop_source(name),
            _ => {}
        }
    }

    /// Does what is due.
    pub fn step(
        &mut self,
        now: Time,
        around: &TransferContext<'_>,
        outbox: &mut Outbox,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Request> {
        if now < self.next {
            return Vec::new();
        }
        match &mut self.phase {
            Phase::Finding(_) => self.find(now, around, outbox, rng),
            Phase::Confirming(_) => self.confirm(now, around, rng),
            Phase::Loading(loading) => {
                loading.assembly.adopt(around.state);
                if now >= time_after(loading.progress_at, STUCK) || loading.outdated {
                    self.restart(now);
                    return self.find(now, around, outbox, rng);
                }
                self.next = time_after(now, TICK);
                loading.requests(now, around, outbox, rng)
            }
        }
    }

    fn find(
        &mut self,
        now: Time,
        around: &TransferContext<'_>,
        outbox: &mut Outbox,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Request> {
        if let Phase::Finding(Some((_, until))) = &self.phase
            && now < *until
        {
            self.next = *until;
            return Vec::new();
        }
        let from = around.ahead.clone().or_else(|| {
            let peers = around.peers.snapshot_peers(around.settings, rng);
            let may: Vec<Name> =
                peers.into_iter().filter(|name| !around.quarantine.holds(now, name)).collect();
            may.get(below(rng, may.len())).cloned()
        });
        let Some(to) = from.filter(|_| outbox.may_request(now, MANIFEST_BYTES)) else {
            self.next = time_after(now, CONFIRM_EVERY);
            return Vec::new();
        };
        let until = time_after(now, around.settings.request_timeout);
        self.phase = Phase::Finding(Some((to.clone(), until)));
        self.next = until;
        let message = Message::FetchManifest(self.least);
        vec![Request { to, message }]
    }

    fn confirm(&mut self, now: Time, around: &TransferContext<'_>, rng: &mut Pcg64Mcg) -> Vec<Request> {
        let Phase::Confirming(candidate) = &mut self.phase else { return Vec::new() };
        if now < candidate.next_round {
            self.next = candidate.next_round;
            return Vec::new();
        }
        let alone = around.peers.count() <= 1;
        if alone || candidate.rounds >= MOST_ROUNDS {
            let trusted = alone || candidate.from_voter && candidate.disagree.is_empty();
            if trusted {
                self.accept(now);
            } else {
                self.restart(now);
            }
            return Vec::new();
        }
        candidate.rounds += 1;
        candidate.next_round = time_after(now, CONFIRM_EVERY);
        self.next = candidate.next_round;
        let revision = candidate.manifest.revision();
        let peers = around.peers.snapshot_peers(around.settings, rng);
        // One that did not know the revision may know it by now, so all but the source may be asked again.
        let may: Vec<Name> = peers
            .into_iter()
            .filter(|name| *name != candidate.from && !around.quarantine.holds(now, name))
            .collect();
        let mut ordered: Vec<Name> =
            may.iter().filter(|name| !candidate.asked.contains(*name)).cloned().collect();
        ordered.extend(may.iter().filter(|name| candidate.asked.contains(*name)).cloned());
        ordered.truncate(CONFIRM_PEERS);
        candidate.asked.extend(ordered.iter().cloned());
        let ask = |to: Name| Request { to, message: Message::FetchVersion(revision) };
        ordered.into_iter().map(ask).collect()
    }

    /// The snapshot, once all of it is there.
    pub fn finished(&mut self, now: Time) -> Option<Snapshot> {
        let whole = matches!(&self.phase, Phase::Loading(loading) if loading.assembly.missing_count() == 0);
        if !whole {
            return None;
        }
        let Phase::Loading(loading) = std::mem::replace(&mut self.phase, Phase::Finding(None)) else {
            return None;
        };
        self.next = now;
        loading.assembly.finish().ok()
    }

    /// When [`Transfer::step`] must be called though nothing came.
    pub fn wake_at(&self) -> Time {
        self.next
    }
}

impl Loading {
    fn drop_source(&mut self, name: &str) {
        self.sources.retain(|source| source.name.as_ref() != name);
        self.outstanding.retain(|_, (asked, _)| asked.as_ref() != name);
    }

    fn give_up(&mut self, now: Time, name: &Name) {
        self.drop_source(name);
        self.given_up.insert(name.clone(), time_after(now, REFILL_EVERY));
    }

    fn expire(&mut self, now: Time) {
        let late: Vec<ChunkNumber> =
            self.outstanding.iter().filter(|(_, (_, until))| now >= *until).map(|(n, _)| *n).collect();
        for number in late {
            let Some((name, _)) = self.outstanding.remove(&number) else { continue };
            let Some(source) = self.sources.iter_mut().find(|source| source.name == name) else { continue };
            source.failures += 1;
            if source.failures >= MOST_FAILURES {
                self.give_up(now, &name);
            }
        }
    }

    fn refill(&mut self, now: Time, around: &TransferContext<'_>, rng: &mut Pcg64Mcg) {
        if now < self.next_refill && !self.sources.is_empty() {
            return;
        }
        self.next_refill = time_after(now, REFILL_EVERY);
        self.given_up.retain(|_, until| now < *until);
        // Who served the manifest keeps its chunks; others have only those that no commit changed since.
        let origin = self.origin.clone();
        let others = around.peers.snapshot_peers(around.settings, rng);
        for name in std::iter::once(origin).chain(others) {
            let known = self.sources.iter().any(|source| source.name == name);
            let out = around.quarantine.holds(now, &name) || self.given_up.contains_key(&name);
            let room = self.sources.len() < SOURCES || name == self.origin;
            if room && !known && !out {
                self.sources.push(Source { name, failures: 0 });
            }
        }
    }

    fn requests(
        &mut self,
        now: Time,
        around: &TransferContext<'_>,
        outbox: &mut Outbox,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Request> {
        self.expire(now);
        self.refill(now, around, rng);
        let until = time_after(now, around.settings.request_timeout);
        let window = (WINDOW_BYTES / self.chunk_bytes.max(1)).clamp(WINDOW, MOST_WINDOW);
        let window = if around.settings.selection == Selection::Voters { 2 * window } else { window };
        let mut requests = Vec::new();
        let missing: Vec<ChunkNumber> = self.assembly.missing().collect();
        for number in missing {
            if self.outstanding.len() >= window * self.sources.len() {
                break;
            }
            if self.outstanding.contains_key(&number) {
                continue;
            }
            let load =
                |source: &Source| self.outstanding.values().filter(|(name, _)| *name == source.name).count();
            let fit = |source: &&Source| {
                load(source) < window && !self.absent.contains(&(source.name.clone(), number))
            };
            let Some(source) = self.sources.iter().filter(fit).min_by_key(|source| load(source)) else {
                continue;
            };
            let to = source.name.clone();
            let Some(digest) = self.digest_of(number) else { continue };
            if !outbox.may_request(now, CHUNK_BYTES) {
                break;
            }
            let message = Message::FetchChunk(ChunkDigest { number, digest });
            self.outstanding.insert(number, (to.clone(), until));
            requests.push(Request { to, message });
        }
        requests
    }

    fn digest_of(&self, number: ChunkNumber) -> Option<Digest> {
        let chunks = &self.assembly.manifest().chunks;
        let place = chunks.binary_search_by_key(&number, |chunk| chunk.number).ok()?;
        Some(chunks[place].digest)
    }
}
