//! Receives commits from the consensus group and from peers, verifies and applies them, and pushes them to other peers.
//!
//! A commit is applied if it follows the state in force, its transaction is valid, and the digest of the resulting state matches
//! the commit record. A commit from the consensus group carries no digest to compare.

use super::{Dissemination, FailedApply};
use crate::change::{Commit, Name, Revision};
use crate::configuration::{ApplyError, Configuration};
use crate::digest::{Digest, Version};
use crate::dissemination::messages::{CommitRecord, Message};
use crate::dissemination::outbox::{DisseminationEffect, Traffic};
use crate::dissemination::peer_view::PeerView;
use crate::dissemination::pending_commits::{CommitSource, PendingCommit};
use crate::dissemination::responses;
use gradepin_admission::{Span, Time, time_after};
use std::sync::Arc;

/// Interval between retries of a commit that this version of the program could not apply.
const RETRY_INTERVAL: Span = Span(10_000_000_000);
/// Bytes charged to the request budget for the response to a request for commits.
const EXPECTED_RESPONSE_BYTES: usize = 4_000;

/// Why a commit is not applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum CommitError {
    /// The commit can't be applied to the state in force.
    #[error(transparent)]
    Invalid(#[from] ApplyError),
    /// The state after the commit does not have the digest in the commit record.
    #[error("expected state digest {expected} after the commit, got {actual}")]
    DigestMismatch { expected: Digest, actual: Digest },
}

impl Dissemination {
    /// Handles a commit that the consensus group delivered to this voter. Commits that are already in force are ignored.
    pub fn committed(&mut self, now: Time, commit: Arc<Commit>) {
        self.pending.add_from_consensus(self.state.revision(), commit);
        self.confirmed_at = Some(now);
        self.apply_pending(now);
    }

    /// Handles commit records of a peer, in order. If the checksum of one does not match, all are dropped.
    pub(super) fn receive_records(
        &mut self,
        now: Time,
        from: &Name,
        records: Vec<CommitRecord>,
        source: &CommitSource,
    ) {
        let in_force = self.state.revision();
        let newest = records.last().map(CommitRecord::version);
        if !self.settings.skip_checks && !records.iter().all(CommitRecord::is_intact) {
            return self.quarantine_source(now, from, "the checksum of a commit does not match");
        }
        for record in records {
            self.pending.add_from_peer(in_force, record, source.clone());
        }
        self.apply_pending(now);
        if let Some(newest) = newest.filter(|newest| newest.revision > self.state.revision())
            && !self.quarantine.contains(now, from)
        {
            self.requests.record_peer_ahead(now, from, newest, &mut self.rng);
        }
    }

    fn take_next_pending(&mut self) -> Option<PendingCommit> {
        let in_force = self.state.revision();
        if !self.settings.skip_checks {
            return self.pending.take_next(in_force);
        }
        // The control run of the model treats any commit as the next one, which its invariants must detect.
        let mut pending = self.pending.take_lowest(in_force)?;
        Arc::make_mut(&mut pending.commit).revision = in_force.next();
        Some(pending)
    }

    /// Applies pending commits for as long as the next revision is among them, unless a retry is still being delayed.
    pub(super) fn apply_pending(&mut self, now: Time) {
        if self.failed_apply.is_some_and(|failed| now < failed.retry_at) {
            return;
        }
        let before = self.state.revision();
        let mut has_fetched = false;
        while let Some(pending) = self.take_next_pending() {
            match self.state_after(&pending) {
                Ok(next) => {
                    has_fetched |= matches!(pending.source, CommitSource::Fetch(_));
                    self.adopt_commit(now, next, pending);
                }
                Err(error) => self.reject_commit(now, &pending, &error),
            }
        }
        if self.state.revision() > before {
            self.requests.record_progress(now, self.state.revision());
            let has_caught_up = self.requests.newest().is_none();
            if has_fetched && has_caught_up {
                self.advertise_to_zone(now);
            }
        }
    }

    /// Retries a commit that could not be applied, once per [`RETRY_INTERVAL`].
    pub(super) fn retry_failed_apply(&mut self, now: Time) {
        if let Some(failed) = self.failed_apply.filter(|failed| now >= failed.retry_at) {
            self.apply_pending(now);
            if self.failed_apply.is_some() {
                let retry_at = time_after(now, RETRY_INTERVAL);
                self.failed_apply = Some(FailedApply { retry_at, ..failed });
            }
        }
    }

    fn state_after(&self, pending: &PendingCommit) -> Result<Configuration, CommitError> {
        let mut next = self.state.clone();
        next.apply(&pending.commit)?;
        let actual = next.digest();
        match pending.expected_digest {
            Some(expected) if expected != actual && !self.settings.skip_checks => {
                Err(CommitError::DigestMismatch { expected, actual })
            }
            _ => Ok(next),
        }
    }

    fn adopt_commit(&mut self, now: Time, next: Configuration, pending: PendingCommit) {
        self.state = next;
        self.failed_apply = None;
        self.history.push(Arc::clone(&pending.commit), self.state.digest());
        // Peers most likely already have a commit that this server had to fetch, so only new commits are pushed.
        if !matches!(pending.source, CommitSource::Fetch(_)) {
            self.push_queue.add(now, self.state.revision(), self.settings.push_delay);
        }
        self.outbox.push(DisseminationEffect::Apply(pending.commit));
    }

    fn reject_commit(&mut self, now: Time, pending: &PendingCommit, error: &CommitError) {
        let revision = pending.commit.revision;
        let peer = match &pending.source {
            CommitSource::Consensus => return self.record_failed_apply(now, revision, error),
            CommitSource::Push(peer) | CommitSource::Fetch(peer) => peer.clone(),
        };
        if self.state.revision() == Revision(0) {
            // The log most likely began from a start file other than this server's.
            return self.begin_transfer(now, revision);
        }
        let version = Version { revision, digest: pending.expected_digest.unwrap_or_default() };
        let agreeing = self.peer_digests.record_mismatch(version, &peer);
        if agreeing.is_empty() {
            return self.quarantine_source(
                now,
                &peer,
                "applying a commit did not yield the digest in its record",
            );
        }
        // Several peers sent the same record, so the fault is at this server.
        agreeing.iter().for_each(|name| self.quarantine.release(name));
        match error {
            CommitError::Invalid(_) => self.record_failed_apply(now, revision, error),
            CommitError::DigestMismatch { .. } => self.replace_doubtful_state(now),
        }
    }

    fn record_failed_apply(&mut self, now: Time, revision: Revision, error: &CommitError) {
        self.outbox
            .warn(format!("committed revision {revision} can't be applied and is retried later: {error}"));
        self.failed_apply = Some(FailedApply { revision, retry_at: time_after(now, RETRY_INTERVAL) });
    }

    /// Sends adverts to peers of the zone after commits were fetched: they most likely lack the same commits and can fetch them
    /// from this server.
    fn advertise_to_zone(&mut self, now: Time) {
        let advert = Message::Advert(self.state.version());
        for peer in self.peers.zone_peers(&mut self.rng, self.settings.push_peers_in_zone) {
            self.send(now, &peer, &advert, Traffic::Control);
        }
    }

    /// Pushes the queued commits to peers until the byte budget is used up. The remaining peers will fetch the commits.
    pub(super) fn push_commits(&mut self, now: Time) {
        let revisions = self.push_queue.take();
        let is_origin = self.peers.own().voter;
        let targets = self.peers.push_targets(&self.settings, is_origin, &mut self.rng);
        let records = revisions.into_iter().filter_map(|revision| self.history.get(revision));
        let messages: Vec<Message> =
            responses::batches(&self.settings, records).into_iter().map(Message::Push).collect();
        for peer in targets {
            let all_sent = messages.iter().all(|message| self.send(now, &peer, message, Traffic::Commits));
            if !all_sent {
                self.push_queue.pause(now);
                break;
            }
        }
    }

    /// Requests missing commits if a request is due and the byte budgets allow it.
    pub(super) fn fetch_commits(&mut self, now: Time) {
        let view = PeerView::new(now, &self.settings, &self.peers, &self.quarantine);
        let Some(peer) = self.requests.choose_peer(&view, &mut self.rng) else { return };
        let request = Message::Fetch(self.state.version());
        let may_request = self.outbox.take_request_bytes(now, EXPECTED_RESPONSE_BYTES);
        if may_request && self.send(now, &peer, &request, Traffic::Control) {
            self.requests.record_sent(now, &peer, &self.settings);
        } else {
            self.requests.postpone(now);
        }
    }
}
