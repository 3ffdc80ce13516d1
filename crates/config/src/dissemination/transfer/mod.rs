//! Fetches a snapshot: first a manifest, which other peers confirm, then its chunks from several peers.
//!
//! Chunks are identified by the digest of their content. So any peer whose state has the same chunk can serve it, and chunks that
//! were downloaded for one manifest are reused for the next. A chunk that does not match its digest is dropped and its source is
//! returned by [`Transfer::take_bad_sources`].

mod candidate;
mod download;

use super::in_flight::InFlight;
use super::messages::Message;
use super::outbox::Outbox;
use super::peer_view::PeerView;
use super::peers::random_below;
use crate::change::{Name, Revision};
use crate::chunk::ChunkNumber;
use crate::configuration::Configuration;
use crate::digest::Digest;
use crate::snapshot::{Assembly, Manifest, Snapshot};
use candidate::{Candidate, ConfirmedManifest, Verdict};
use download::Download;
use gradepin_admission::{Span, Time, time_after};
use rand_pcg::Pcg64Mcg;

const MS: u64 = 1_000_000;
/// Interval between rounds of confirmation, and delay after no manifest could be requested.
const CONFIRM_INTERVAL: Span = Span(300 * MS);
/// Interval between steps while chunks are in flight.
const DOWNLOAD_STEP_INTERVAL: Span = Span(50 * MS);
/// Bytes charged to the request budget for a manifest before it is received.
const EXPECTED_MANIFEST_BYTES: usize = 20_000;

/// State outside the transfer that a step of the transfer reads and writes.
pub struct TransferContext<'a> {
    /// The current time and the peers.
    pub view: PeerView<'a>,
    /// One of the nearest peers that are known to be ahead, if any.
    pub peer_ahead: Option<Name>,
    /// The state in force, whose chunks are reused if their digests match.
    pub state: &'a Configuration,
    /// Provides the request budget.
    pub outbox: &'a mut Outbox,
    /// The source of all random choices.
    pub rng: &'a mut Pcg64Mcg,
}

/// A request that the caller must send.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerRequest {
    /// The name of the receiver.
    pub to: Name,
    /// The message to send.
    pub message: Message,
}

#[derive(Debug)]
enum Phase {
    /// There is no manifest yet. Contains the request for one, if it was sent.
    FindingManifest(Option<InFlight>),
    Confirming(Box<Candidate>),
    Downloading(Box<Download>),
}

/// The transfer of a snapshot to this server.
#[derive(Debug)]
pub struct Transfer {
    min_revision: Revision,
    phase: Phase,
    next_step_at: Time,
    /// Chunks that were downloaded for an earlier manifest.
    previous: Option<Assembly>,
    bad_sources: Vec<Name>,
    unused_request_bytes: usize,
}

impl Transfer {
    /// Starts to fetch a snapshot of `min_revision` or later.
    pub fn new(now: Time, min_revision: Revision) -> Self {
        Self {
            min_revision,
            phase: Phase::FindingManifest(None),
            next_step_at: now,
            previous: None,
            bad_sources: Vec::new(),
            unused_request_bytes: 0,
        }
    }

    /// Takes the peers whose data failed a check since the last call. The caller must quarantine them.
    pub fn take_bad_sources(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.bad_sources)
    }

    /// Takes the bytes that were charged to the request budget for responses since the last call, and not used.
    pub fn take_unused_request_bytes(&mut self) -> usize {
        std::mem::take(&mut self.unused_request_bytes)
    }

    /// The minimum revision of the snapshot.
    pub fn min_revision(&self) -> Revision {
        self.min_revision
    }

    /// Restarts with another manifest. Chunks that were already downloaded are retained for it.
    fn restart(&mut self, now: Time) {
        let phase = std::mem::replace(&mut self.phase, Phase::FindingManifest(None));
        if let Phase::Downloading(download) = phase {
            self.previous = Some(download.into_assembly());
        }
        self.next_step_at = now;
    }

    /// Handles a manifest. If `needs_confirmation` is false, its download starts immediately.
    pub fn receive_manifest(
        &mut self,
        now: Time,
        from: &Name,
        manifest: Manifest,
        is_from_voter: bool,
        needs_confirmation: bool,
    ) {
        let Phase::FindingManifest(Some(request)) = &self.phase else { return };
        if !request.is_to(from) || manifest.revision() < self.min_revision {
            return;
        }
        if manifest.check().is_err() {
            self.bad_sources.push(from.clone());
            return self.restart(now);
        }
        let candidate = Candidate::new(manifest, from, is_from_voter, now);
        self.next_step_at = now;
        if !needs_confirmation {
            return self.begin_download(now, candidate);
        }
        self.phase = Phase::Confirming(Box::new(candidate));
    }

    /// Handles the digest that a peer reported for a revision; `None` if the peer doesn't have it.
    pub fn receive_version(&mut self, now: Time, from: &Name, revision: Revision, digest: Option<Digest>) {
        let Phase::Confirming(candidate) = &mut self.phase else { return };
        match candidate.receive_version(from, revision, digest) {
            Verdict::Undecided => {}
            Verdict::Confirmed => {
                self.bad_sources.extend(candidate.disagreeing().cloned());
                self.accept_candidate(now);
            }
            Verdict::Contradicted => {
                self.bad_sources.push(candidate.source().clone());
                self.bad_sources.extend(candidate.agreeing().cloned());
                self.restart(now);
            }
        }
    }

    fn accept_candidate(&mut self, now: Time) {
        let phase = std::mem::replace(&mut self.phase, Phase::FindingManifest(None));
        if let Phase::Confirming(candidate) = phase {
            self.begin_download(now, *candidate);
        }
    }

    fn begin_download(&mut self, now: Time, candidate: Candidate) {
        let ConfirmedManifest { manifest, source, confirmed_by } = candidate.into_confirmed();
        let Ok(mut assembly) = Assembly::new(manifest) else { return self.restart(now) };
        if let Some(previous) = self.previous.take() {
            assembly.reuse_chunks_of_assembly(&previous);
        }
        self.phase = Phase::Downloading(Box::new(Download::new(now, assembly, source, confirmed_by)));
        self.next_step_at = now;
    }

    /// Handles a received chunk, requested or not.
    pub fn receive_chunk(&mut self, now: Time, from: &Name, number: ChunkNumber, bytes: &[u8]) {
        let Phase::Downloading(download) = &mut self.phase else { return };
        let received = download.receive_chunk(now, from, number, bytes);
        self.unused_request_bytes += received.unused_request_bytes;
        if received.is_source_bad {
            self.bad_sources.push(from.clone());
        }
        self.next_step_at = now;
    }

    /// Handles the report of a source that it has no chunk with the requested digest.
    pub fn receive_no_chunk(&mut self, now: Time, from: &Name, number: ChunkNumber) {
        if let Phase::Downloading(download) = &mut self.phase {
            self.unused_request_bytes += download.receive_no_chunk(from, number);
            self.next_step_at = now;
        }
    }

    /// Handles the rejection of a request by a peer whose byte budget is used up. Another peer is asked instead.
    pub fn receive_rejection(&mut self, now: Time, from: &Name) {
        match &mut self.phase {
            Phase::FindingManifest(Some(request)) if request.is_to(from) => request.deadline = now,
            Phase::Downloading(download) => download.cool_down_source(now, from),
            _ => {}
        }
        self.next_step_at = now;
    }

    /// Drops a peer that was quarantined as a source.
    pub fn drop_source(&mut self, now: Time, name: &str) {
        match &mut self.phase {
            Phase::FindingManifest(Some(request)) if request.is_to(name) => self.restart(now),
            Phase::Downloading(download) => download.drop_source(name),
            _ => {}
        }
    }

    /// Performs what is due and returns the requests to send.
    pub fn step(&mut self, context: &mut TransferContext<'_>) -> Vec<PeerRequest> {
        let now = context.view.now;
        if now < self.next_step_at {
            return Vec::new();
        }
        match &mut self.phase {
            Phase::FindingManifest(_) => self.find_manifest(context),
            Phase::Confirming(_) => self.confirm(context),
            Phase::Downloading(download) => {
                download.reuse_chunks_of(context.state);
                if download.needs_other_manifest(now) {
                    self.restart(now);
                    return self.find_manifest(context);
                }
                self.next_step_at = time_after(now, DOWNLOAD_STEP_INTERVAL);
                download.step(context)
            }
        }
    }

    fn find_manifest(&mut self, context: &mut TransferContext<'_>) -> Vec<PeerRequest> {
        let TransferContext { view, peer_ahead, outbox, rng, .. } = context;
        let now = view.now;
        if let Phase::FindingManifest(Some(request)) = &self.phase
            && !request.has_expired(now)
        {
            self.next_step_at = request.deadline;
            return Vec::new();
        }
        let peer = peer_ahead.clone().or_else(|| {
            let peers = view.peers.snapshot_peers(view.settings, rng);
            let allowed: Vec<Name> = peers.into_iter().filter(|name| !view.is_quarantined(name)).collect();
            allowed.get(random_below(rng, allowed.len())).cloned()
        });
        let Some(to) = peer.filter(|_| outbox.take_request_bytes(now, EXPECTED_MANIFEST_BYTES)) else {
            self.next_step_at = time_after(now, CONFIRM_INTERVAL);
            return Vec::new();
        };
        let deadline = time_after(now, view.settings.request_timeout);
        self.phase = Phase::FindingManifest(Some(InFlight { peer: to.clone(), deadline }));
        self.next_step_at = deadline;
        let message = Message::FetchManifest(self.min_revision);
        vec![PeerRequest { to, message }]
    }

    fn confirm(&mut self, context: &mut TransferContext<'_>) -> Vec<PeerRequest> {
        let Phase::Confirming(candidate) = &mut self.phase else { return Vec::new() };
        let now = context.view.now;
        if now < candidate.next_round_at() {
            self.next_step_at = candidate.next_round_at();
            return Vec::new();
        }
        let is_only_source = context.view.peers.count() <= 1;
        if is_only_source || candidate.has_used_all_rounds() {
            if is_only_source || candidate.is_from_uncontradicted_voter() {
                self.accept_candidate(now);
            } else {
                self.restart(now);
            }
            return Vec::new();
        }
        self.next_step_at = time_after(now, CONFIRM_INTERVAL);
        candidate.next_round(&context.view, context.rng, self.next_step_at)
    }

    /// Takes the snapshot if all of its chunks were received.
    pub fn take_finished(&mut self, now: Time) -> Option<Snapshot> {
        let is_complete = matches!(&self.phase, Phase::Downloading(download) if download.is_complete());
        if !is_complete {
            return None;
        }
        let phase = std::mem::replace(&mut self.phase, Phase::FindingManifest(None));
        let Phase::Downloading(download) = phase else { return None };
        self.next_step_at = now;
        download.into_assembly().finish().ok()
    }

    /// The time by which [`Transfer::step`] must be called again if there is no new input.
    pub fn wake_at(&self) -> Time {
        self.next_step_at
    }
}
