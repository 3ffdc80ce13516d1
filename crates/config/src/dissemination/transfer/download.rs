//! Downloads the chunks of a confirmed manifest from several peers in parallel.

use super::{PeerRequest, TransferContext};
use crate::change::Name;
use crate::chunk::ChunkNumber;
use crate::configuration::Configuration;
use crate::digest::Digest;
use crate::dissemination::cooldown::Cooldowns;
use crate::dissemination::in_flight::InFlight;
use crate::dissemination::messages::Message;
use crate::dissemination::peer_view::PeerView;
use crate::dissemination::settings::Selection;
use crate::snapshot::{Assembly, ChunkDigest};
use gradepin_admission::{Span, Time, time_after};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000_000;
/// Maximum number of peers that chunks are downloaded from in parallel.
const MAX_SOURCES: usize = 6;
/// Minimum window of chunks in flight per source, used for large chunks. The cluster limits the partially received messages of
/// one sender, so few large chunks may be in flight.
const MIN_WINDOW_CHUNKS: usize = 2;
/// Bytes in flight per source. Smaller chunks allow a larger window, so that a lost chunk delays few bytes.
const WINDOW_BYTES: usize = MIN_WINDOW_CHUNKS * EXPECTED_CHUNK_BYTES;
/// Maximum window of chunks in flight per source, used for small chunks.
const MAX_WINDOW_CHUNKS: usize = 32;
/// Number of consecutive timeouts after which a source cools down.
const MAX_FAILURES: u32 = 3;
/// Time without a new chunk after which another manifest is fetched.
const MAX_STALL: Span = Span(3_000 * MS);
/// Interval between searches for more sources, and the cooldown of a failed source.
const REFILL_INTERVAL: Span = Span(500 * MS);
/// Bytes charged to the request budget for a chunk before it is received: the mean size of a chunk of a full table.
const EXPECTED_CHUNK_BYTES: usize = 6_500;

#[derive(Debug)]
struct Source {
    name: Name,
    /// Number of requests that timed out since the last valid chunk.
    failures: u32,
}

/// The result of handling a received chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReceivedChunk {
    /// Bytes charged to the request budget for the chunk and not used.
    pub(super) unused_request_bytes: usize,
    /// Whether the chunk was requested and failed its check, so that its source must be quarantined.
    pub(super) is_source_bad: bool,
}

/// The download of one snapshot.
#[derive(Debug)]
pub(super) struct Download {
    assembly: Assembly,
    sources: Vec<Source>,
    in_flight: BTreeMap<ChunkNumber, InFlight>,
    /// Chunks that a source reported not to have.
    absent: BTreeSet<(Name, ChunkNumber)>,
    /// Sources that failed. Bounded by the number of servers.
    cooldowns: Cooldowns,
    /// The peer that served the manifest. The manifest is outdated once this peer no longer has one of its chunks.
    manifest_source: Name,
    is_outdated: bool,
    next_refill_at: Time,
    progress_at: Time,
    /// Moving average of the size of received chunks.
    mean_chunk_bytes: usize,
}

impl Download {
    /// A download without requests in flight. `manifest_source` served the manifest and `confirmed_by` confirmed it; both become
    /// sources.
    pub(super) fn new(
        now: Time,
        assembly: Assembly,
        manifest_source: Name,
        confirmed_by: BTreeSet<Name>,
    ) -> Self {
        let names = std::iter::once(manifest_source.clone()).chain(confirmed_by);
        let source = |name| Source { name, failures: 0 };
        Self {
            assembly,
            sources: names.take(MAX_SOURCES).map(source).collect(),
            in_flight: BTreeMap::new(),
            absent: BTreeSet::new(),
            cooldowns: Cooldowns::default(),
            manifest_source,
            is_outdated: false,
            next_refill_at: now,
            progress_at: now,
            mean_chunk_bytes: EXPECTED_CHUNK_BYTES,
        }
    }

    /// Whether all chunks were received.
    pub(super) fn is_complete(&self) -> bool {
        self.assembly.missing_count() == 0
    }

    /// The chunks received so far.
    pub(super) fn into_assembly(self) -> Assembly {
        self.assembly
    }

    /// Reuses chunks of a state whose digests are the same.
    pub(super) fn reuse_chunks_of(&mut self, state: &Configuration) {
        self.assembly.reuse_chunks_of_state(state);
    }

    /// Whether the download makes no progress or the manifest is outdated.
    pub(super) fn needs_other_manifest(&self, now: Time) -> bool {
        now >= time_after(self.progress_at, MAX_STALL) || self.is_outdated
    }

    /// Verifies a chunk and adds it. Drops the source if the chunk was requested and fails the check.
    pub(super) fn receive_chunk(
        &mut self,
        now: Time,
        from: &Name,
        number: ChunkNumber,
        bytes: &[u8],
    ) -> ReceivedChunk {
        let mut received = ReceivedChunk { unused_request_bytes: 0, is_source_bad: false };
        let is_requested = self.remove_in_flight(from, number);
        if is_requested {
            received.unused_request_bytes = EXPECTED_CHUNK_BYTES.saturating_sub(bytes.len());
            self.mean_chunk_bytes = (self.mean_chunk_bytes * 3 + bytes.len()) / 4;
        }
        match self.assembly.add(number, bytes) {
            Ok(()) => {
                self.progress_at = now;
                if let Some(source) = self.sources.iter_mut().find(|source| source.name == *from) {
                    source.failures = 0;
                }
            }
            // Only a requested chunk must match. Others may be delayed responses that belong to an earlier manifest.
            Err(_) if is_requested => {
                self.drop_source(from);
                received.is_source_bad = true;
            }
            Err(_) => {}
        }
        received
    }

    /// Records that a source doesn't have a chunk. Returns the bytes charged for the request.
    pub(super) fn receive_no_chunk(&mut self, from: &Name, number: ChunkNumber) -> usize {
        let is_requested = self.remove_in_flight(from, number);
        self.absent.insert((from.clone(), number));
        self.is_outdated |= self.manifest_source == *from;
        if is_requested { EXPECTED_CHUNK_BYTES } else { 0 }
    }

    fn remove_in_flight(&mut self, from: &Name, number: ChunkNumber) -> bool {
        let is_requested = self.in_flight.get(&number).is_some_and(|request| request.is_to(from));
        if is_requested {
            self.in_flight.remove(&number);
        }
        is_requested
    }

    /// Drops a source and the requests in flight to it.
    pub(super) fn drop_source(&mut self, name: &str) {
        self.sources.retain(|source| source.name.as_ref() != name);
        self.in_flight.retain(|_, request| !request.is_to(name));
    }

    /// Drops a source until its cooldown ends.
    pub(super) fn cool_down_source(&mut self, now: Time, name: &Name) {
        self.drop_source(name);
        self.cooldowns.add(now, name.clone(), time_after(now, REFILL_INTERVAL), usize::MAX);
    }

    fn fail_expired_requests(&mut self, now: Time) {
        let expired = self.in_flight.iter().filter(|(_, request)| request.has_expired(now));
        let expired: Vec<ChunkNumber> = expired.map(|(number, _)| *number).collect();
        for number in expired {
            let Some(request) = self.in_flight.remove(&number) else { continue };
            let source = self.sources.iter_mut().find(|source| request.is_to(&source.name));
            let Some(source) = source else { continue };
            source.failures += 1;
            if source.failures >= MAX_FAILURES {
                self.cool_down_source(now, &request.peer);
            }
        }
    }

    /// Adds sources. The peer that served the manifest comes first and may exceed the maximum: it retains all chunks of the
    /// manifest, while other peers have only those that no commit has changed since.
    fn refill_sources(&mut self, view: &PeerView<'_>, rng: &mut Pcg64Mcg) {
        let now = view.now;
        if now < self.next_refill_at && !self.sources.is_empty() {
            return;
        }
        self.next_refill_at = time_after(now, REFILL_INTERVAL);
        let others = view.peers.snapshot_peers(view.settings, rng);
        for name in std::iter::once(self.manifest_source.clone()).chain(others) {
            let is_source = self.sources.iter().any(|source| source.name == name);
            let is_excluded = view.is_quarantined(&name) || self.cooldowns.contains(now, &name);
            let has_capacity = self.sources.len() < MAX_SOURCES || self.manifest_source == name;
            if has_capacity && !is_source && !is_excluded {
                self.sources.push(Source { name, failures: 0 });
            }
        }
    }

    /// Maximum number of chunks in flight per source. Doubled if only voters are used, because there are few of them.
    fn window_chunks(&self, selection: Selection) -> usize {
        let window = WINDOW_BYTES / self.mean_chunk_bytes.max(1);
        let window = window.clamp(MIN_WINDOW_CHUNKS, MAX_WINDOW_CHUNKS);
        if selection == Selection::Voters { 2 * window } else { window }
    }

    /// Fails requests that timed out and returns new requests for missing chunks, each to the source with the fewest in flight.
    pub(super) fn step(&mut self, context: &mut TransferContext<'_>) -> Vec<PeerRequest> {
        let TransferContext { view, outbox, rng, .. } = context;
        let now = view.now;
        self.fail_expired_requests(now);
        self.refill_sources(view, rng);
        let deadline = time_after(now, view.settings.request_timeout);
        let window = self.window_chunks(view.settings.selection);
        let mut requests = Vec::new();
        let missing: Vec<ChunkNumber> = self.assembly.missing().collect();
        for number in missing {
            if self.in_flight.len() >= window * self.sources.len() {
                break;
            }
            if self.in_flight.contains_key(&number) {
                continue;
            }
            let Some(to) = self.least_loaded_source(number, window) else { continue };
            let Some(digest) = self.digest_of(number) else { continue };
            if !outbox.take_request_bytes(now, EXPECTED_CHUNK_BYTES) {
                break;
            }
            let message = Message::FetchChunk(ChunkDigest { number, digest });
            self.in_flight.insert(number, InFlight { peer: to.clone(), deadline });
            requests.push(PeerRequest { to, message });
        }
        requests
    }

    fn least_loaded_source(&self, number: ChunkNumber, window: usize) -> Option<Name> {
        let load =
            |source: &Source| self.in_flight.values().filter(|request| request.is_to(&source.name)).count();
        let may_serve =
            |source: &&Source| load(source) < window && !self.absent.contains(&(source.name.clone(), number));
        let source = self.sources.iter().filter(may_serve).min_by_key(|source| load(source))?;
        Some(source.name.clone())
    }

    fn digest_of(&self, number: ChunkNumber) -> Option<Digest> {
        let chunks = &self.assembly.manifest().chunks;
        let index = chunks.binary_search_by_key(&number, |chunk| chunk.number).ok()?;
        Some(chunks[index].digest)
    }
}
