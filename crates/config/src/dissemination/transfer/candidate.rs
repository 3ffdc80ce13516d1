//! Confirmation of a received manifest: other peers are asked for the digest of its revision before it is trusted.

use super::PeerRequest;
use crate::change::{Name, Revision};
use crate::digest::{Digest, Version};
use crate::dissemination::messages::Message;
use crate::dissemination::peer_view::PeerView;
use crate::snapshot::Manifest;
use gradepin_admission::Time;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Maximum number of peers asked per round.
const PEERS_PER_ROUND: usize = 3;
/// Number of rounds. After the last one, a manifest from a voter is trusted unless a peer contradicted it; any other is dropped.
const MAX_ROUNDS: u32 = 6;
/// Minimum number of contradicting peers before a manifest is dropped.
const MIN_CONTRADICTING: usize = 2;

/// A manifest with the votes of peers that confirm or contradict it. The source of the manifest has no vote.
#[derive(Debug)]
pub(super) struct Candidate {
    manifest: Manifest,
    source: Name,
    is_from_voter: bool,
    agreeing: BTreeSet<Name>,
    disagreeing: BTreeSet<Name>,
    requested_from: BTreeSet<Name>,
    rounds: u32,
    next_round_at: Time,
}

/// A trusted manifest whose chunks can be downloaded.
#[derive(Debug)]
pub(super) struct ConfirmedManifest {
    pub(super) manifest: Manifest,
    /// The peer that served the manifest.
    pub(super) source: Name,
    /// Other peers that confirmed the digest of its revision.
    pub(super) confirmed_by: BTreeSet<Name>,
}

/// The outcome of the votes on a manifest so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// More votes are needed.
    Undecided,
    /// More peers confirm the manifest than contradict it.
    Confirmed,
    /// At least [`MIN_CONTRADICTING`] peers contradict the manifest, and more than confirm it.
    Contradicted,
}

impl Candidate {
    /// A manifest without votes; the first round is due at once.
    pub(super) fn new(manifest: Manifest, source: &Name, is_from_voter: bool, now: Time) -> Self {
        Self {
            manifest,
            source: source.clone(),
            is_from_voter,
            agreeing: BTreeSet::new(),
            disagreeing: BTreeSet::new(),
            requested_from: BTreeSet::from([source.clone()]),
            rounds: 0,
            next_round_at: now,
        }
    }

    /// The peer that the manifest was received from.
    pub(super) fn source(&self) -> &Name {
        &self.source
    }

    /// Peers that confirm the manifest.
    pub(super) fn agreeing(&self) -> impl Iterator<Item = &Name> {
        self.agreeing.iter()
    }

    /// Peers that contradict the manifest.
    pub(super) fn disagreeing(&self) -> impl Iterator<Item = &Name> {
        self.disagreeing.iter()
    }

    /// When the next round is due.
    pub(super) fn next_round_at(&self) -> Time {
        self.next_round_at
    }

    /// Whether all rounds have been started.
    pub(super) fn has_used_all_rounds(&self) -> bool {
        self.rounds >= MAX_ROUNDS
    }

    /// Whether a voter served the manifest and no peer contradicted it.
    pub(super) fn is_from_uncontradicted_voter(&self) -> bool {
        self.is_from_voter && self.disagreeing.is_empty()
    }

    /// Counts the vote of a peer if it concerns the revision of this manifest.
    pub(super) fn receive_version(
        &mut self,
        from: &Name,
        revision: Revision,
        digest: Option<Digest>,
    ) -> Verdict {
        let Version { revision: expected_revision, digest: expected } = self.manifest.version;
        let is_vote = revision == expected_revision && *from != self.source;
        let Some(digest) = digest.filter(|_| is_vote) else { return Verdict::Undecided };
        if digest == expected {
            self.agreeing.insert(from.clone());
        } else {
            self.disagreeing.insert(from.clone());
        }
        let (agreeing, disagreeing) = (self.agreeing.len(), self.disagreeing.len());
        if agreeing > disagreeing {
            Verdict::Confirmed
        } else if disagreeing >= MIN_CONTRADICTING && disagreeing > agreeing {
            Verdict::Contradicted
        } else {
            Verdict::Undecided
        }
    }

    /// Starts a round and returns its requests. Peers that were not asked before come first. Others are asked again, because a
    /// peer that did not know the revision may know it by now.
    pub(super) fn next_round(
        &mut self,
        view: &PeerView<'_>,
        rng: &mut Pcg64Mcg,
        next_round_at: Time,
    ) -> Vec<PeerRequest> {
        self.rounds += 1;
        self.next_round_at = next_round_at;
        let revision = self.manifest.revision();
        let is_eligible = |name: &Name| *name != self.source && !view.is_quarantined(name);
        let allowed = view.peers.snapshot_peers(view.settings, rng).into_iter().filter(is_eligible);
        let (requested_from, mut peers): (Vec<Name>, Vec<Name>) =
            allowed.partition(|name| self.requested_from.contains(name));
        peers.extend(requested_from);
        peers.truncate(PEERS_PER_ROUND);
        self.requested_from.extend(peers.iter().cloned());
        let request = |to: Name| PeerRequest { to, message: Message::FetchVersion(revision) };
        peers.into_iter().map(request).collect()
    }

    /// Converts this candidate into a confirmed manifest.
    pub(super) fn into_confirmed(self) -> ConfirmedManifest {
        ConfirmedManifest { manifest: self.manifest, source: self.source, confirmed_by: self.agreeing }
    }
}
