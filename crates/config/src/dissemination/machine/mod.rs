//! The dissemination state machine of one server.
//!
//! This module dispatches messages, compares versions with peers and decides when each activity is due. The submodules handle
//! commits, snapshots and responses to peers.

mod commits;
mod push_queue;
mod serve;
mod snapshots;
mod status;

use super::commit_requests::CommitRequests;
use super::history::CommitHistory;
use super::messages::Message;
use super::outbox::{DisseminationEffect, Outbox, Traffic};
use super::peer_digests::PeerDigests;
use super::peers::{Member, Peers, random_below};
use super::pending_commits::{CommitSource, PendingCommits};
use super::quarantine::Quarantine;
use super::responses::ServedSnapshots;
use super::settings::DisseminationSettings;
use super::transfer::Transfer;
use crate::change::{Name, Revision};
use crate::configuration::Configuration;
use crate::digest::Version;
use gradepin_admission::{Span, Time, time_after};
use push_queue::PushQueue;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
pub use status::Status;
use std::sync::Arc;

/// Mixed into the seed, so that other state machines with the same seed draw different random numbers.
const SEED_SALT: u64 = 0x7370_7265_6164;

/// A committed revision that could not be applied, with the time of the next attempt.
#[derive(Debug, Clone, Copy)]
struct FailedApply {
    revision: Revision,
    retry_at: Time,
}

/// The dissemination state machine of one server. It owns the configuration in force.
#[derive(Debug)]
pub struct Dissemination {
    settings: DisseminationSettings,
    /// The configuration in force.
    state: Configuration,
    history: CommitHistory,
    peers: Peers,
    pending: PendingCommits,
    requests: CommitRequests,
    transfer: Option<Transfer>,
    served: ServedSnapshots,
    quarantine: Quarantine,
    peer_digests: PeerDigests,
    outbox: Outbox,
    rng: Pcg64Mcg,
    next_advert_at: Time,
    push_queue: PushQueue,
    /// When the consensus group last delivered a commit or a peer last reported the same version.
    confirmed_at: Option<Time>,
    failed_apply: Option<FailedApply>,
    /// Number of snapshots installed since the start.
    installed_snapshots: u64,
}

impl Dissemination {
    /// Starts from `state`: the last good snapshot of this server, or its start file at revision 0. `seed` determines all random
    /// choices.
    pub fn new(
        settings: DisseminationSettings,
        own: Member,
        state: Configuration,
        seed: u64,
        now: Time,
    ) -> Self {
        Self {
            history: CommitHistory::new(state.version(), settings.history_limits),
            peers: Peers::new(own),
            pending: PendingCommits::default(),
            requests: CommitRequests::default(),
            transfer: None,
            served: ServedSnapshots::default(),
            quarantine: Quarantine::default(),
            peer_digests: PeerDigests::default(),
            outbox: Outbox::new(&settings, now),
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            next_advert_at: now,
            push_queue: PushQueue::new(now),
            confirmed_at: None,
            failed_apply: None,
            installed_snapshots: 0,
            settings,
            state,
        }
    }

    /// The configuration in force.
    pub fn state(&self) -> &Configuration {
        &self.state
    }

    /// Version, progress and counters of this server, for operators.
    pub fn status(&self) -> Status {
        Status {
            version: self.state.version(),
            newest: self.requests.newest(),
            behind_since: self.requests.behind_since(),
            confirmed_at: self.confirmed_at,
            cannot_apply: self.failed_apply.map(|failed| failed.revision),
            is_fetching_snapshot: self.transfer.is_some(),
            installed_snapshots: self.installed_snapshots,
            quarantine_count: self.quarantine.total(),
            sent: self.outbox.sent(),
        }
    }

    /// Whether data of this peer is currently rejected because it sent bad data before.
    pub fn is_quarantined(&self, now: Time, name: &str) -> bool {
        self.quarantine.contains(now, name)
    }

    /// Adds a server that is up, or updates its zone, region and vote.
    pub fn member_up(&mut self, member: Arc<Member>) {
        self.peers.add(member);
    }

    /// Removes a server that is down. Data received from it is retained.
    pub fn member_down(&mut self, name: &str) {
        self.peers.remove(name);
        self.requests.forget_peer(name);
    }

    /// Handles a message from a server that the cluster has authenticated. Bytes that don't decode as a message are ignored.
    pub fn receive(&mut self, now: Time, from: &Name, bytes: &[u8]) {
        let Some(message) = Message::decode(bytes) else { return };
        match message {
            Message::Fetch(theirs) => self.serve_commits(now, from, theirs),
            Message::FetchManifest(min_revision) => self.serve_manifest(now, from, min_revision),
            Message::FetchChunk(requested) => self.serve_chunk(now, from, requested),
            Message::FetchVersion(revision) => self.serve_version(now, from, revision),
            Message::Advert(theirs) => self.receive_advert(now, from, theirs),
            // Data of a quarantined peer is dropped. Its requests are still served, by the arms above.
            _ if self.quarantine.contains(now, from) && !self.settings.skip_checks => {}
            Message::Push(records) => {
                self.receive_records(now, from, records, &CommitSource::Push(from.clone()));
            }
            Message::Commits { records, last } => {
                self.requests.record_reply(now, from, last);
                self.receive_records(now, from, records, &CommitSource::Fetch(from.clone()));
            }
            Message::Compacted => {
                self.requests.record_rejection(now, from, &self.settings);
                self.begin_transfer(now, self.state.revision().next());
            }
            Message::Busy => {
                self.requests.record_rejection(now, from, &self.settings);
                self.update_transfer(now, |transfer| transfer.receive_rejection(now, from));
            }
            Message::Manifest(manifest) => {
                let is_voter = self.peers.is_voter(from);
                let needs_confirmation = !self.settings.skip_checks;
                self.update_transfer(now, |transfer| {
                    transfer.receive_manifest(now, from, manifest, is_voter, needs_confirmation);
                });
            }
            Message::Version(revision, digest) => {
                self.update_transfer(now, |transfer| transfer.receive_version(now, from, revision, digest));
            }
            Message::Chunk { number, bytes } => {
                self.update_transfer(now, |transfer| transfer.receive_chunk(now, from, number, &bytes));
            }
            Message::NoChunk(number) => {
                self.update_transfer(now, |transfer| transfer.receive_no_chunk(now, from, number));
            }
        }
    }

    /// Compares the version of a peer with that of this server.
    fn receive_advert(&mut self, now: Time, from: &Name, theirs: Version) {
        let own = self.state.version();
        if theirs.revision > own.revision {
            if !self.quarantine.contains(now, from) {
                self.requests.record_peer_ahead(now, from, theirs, &mut self.rng);
            }
            return;
        }
        self.requests.forget_peer(from);
        // At revision 0, servers may have read different start files, so different digests are not a fault.
        let known = self.history.digest_at(theirs.revision).filter(|_| theirs.revision > Revision(0));
        match known {
            Some(digest) if digest != theirs.digest && !self.settings.skip_checks => {
                self.receive_contradiction(now, from);
            }
            Some(_) => self.peer_digests.confirm(now, from),
            None => {}
        }
        if theirs.revision < own.revision {
            self.send(now, from, &Message::Advert(own), Traffic::Control);
        } else if theirs == own {
            self.confirmed_at = Some(now);
        }
    }

    fn receive_contradiction(&mut self, now: Time, from: &Name) {
        if self.peer_digests.contradict(now, from) {
            let revision = self.state.revision();
            self.outbox.warn(format!(
                "several peers contradict the state at revision {revision}; fetching a snapshot to replace it"
            ));
            self.replace_doubtful_state(now);
        } else {
            self.quarantine_source(now, from, "it reported a wrong digest for a known revision");
        }
    }

    /// Rejects data of a peer for a time because it sent bad data, and drops its pending commits.
    fn quarantine_source(&mut self, now: Time, name: &Name, reason: &str) {
        if !self.quarantine.contains(now, name) {
            // The model parses the name of the peer from this text.
            self.outbox.warn(format!("{name} quarantined: {reason}"));
        }
        self.quarantine.add(now, name, self.settings.first_quarantine);
        self.requests.forget_peer(name);
        self.pending.drop_from_peer(name);
        if let Some(transfer) = &mut self.transfer {
            transfer.drop_source(now, name);
        }
    }

    /// Sends a message if its byte budget allows it; returns false if it was dropped.
    fn send(&mut self, now: Time, to: &Name, message: &Message, traffic: Traffic) -> bool {
        self.outbox.send(now, &self.settings, to, message, traffic)
    }

    /// Performs all activities that are due, and appends the effects since the last step to `effects`.
    pub fn step(&mut self, now: Time, effects: &mut Vec<DisseminationEffect>) {
        self.retry_failed_apply(now);
        if now >= self.next_advert_at {
            self.advertise(now);
        }
        if self.push_queue.is_due(now) {
            self.push_commits(now);
        }
        self.fetch_commits(now);
        self.step_transfer(now);
        self.outbox.drain(effects);
    }

    fn advertise(&mut self, now: Time) {
        // Up to 10% shorter or longer, so that servers that started together don't send adverts at the same time.
        let interval = self.settings.advert_interval.0;
        let jitter = random_below(&mut self.rng, (interval / 5) as usize) as u64;
        self.next_advert_at = time_after(now, Span(interval - interval / 10 + jitter));
        let advert = Message::Advert(self.state.version());
        for peer in self.peers.advert_targets(&self.settings, &mut self.rng) {
            self.send(now, &peer, &advert, Traffic::Control);
        }
    }

    /// The time by which [`Dissemination::step`] must be called again if there is no new input.
    pub fn wake_at(&self, now: Time) -> Time {
        if !self.outbox.is_empty() {
            return now;
        }
        let push = self.push_queue.due_at();
        let transfer = self.transfer.as_ref().map(Transfer::wake_at);
        let retry = self.failed_apply.map(|failed| failed.retry_at);
        let fetch = self.requests.wake_at(now, &self.settings);
        let due_times = [push, transfer, retry, fetch].into_iter().flatten();
        due_times.fold(self.next_advert_at, Time::min).max(now)
    }
}
