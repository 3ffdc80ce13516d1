//! The parts together: messages in, effects out.

use super::history::History;
use super::messages::{CommitRecord, Message};
use super::outbox::{DisseminationEffect, Outbox, Sent, Traffic};
use super::peers::{Member, Peers, below};
use super::pending::{Origin, Pending, Waiting};
use super::quarantine::Quarantine;
use super::requests::Requests;
use super::serving::{self, Snapshots};
use super::settings::DisseminationSettings;
use super::transfer::{Transfer, TransferContext};
use super::witnesses::Witnesses;
use crate::change::{Commit, Name, Revision};
use crate::configuration::Configuration;
use crate::digest::{Digest, Version};
use crate::snapshot::Snapshot;
use gradepin_admission::{Span, Time, time_after};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::sync::Arc;

/// What one answer with commits is taken to cost before it is there, in bytes.
const ANSWER_BYTES: usize = 4_000;
/// Commits that wait to be pushed, at the most: what is older is fetched by those who lack it.
const MOST_PUSHED: usize = 64;
/// After a push that the bound on bytes cut short the next one waits for so long.
const HOLD_PUSH: Span = Span(400_000_000);
/// A commit that this program can't apply is tried again after so long.
const RETRY_APPLY: Span = Span(10_000_000_000);

/// What is known of the own state and of the work for it, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The state in force.
    pub version: Version,
    /// The newest revision that a peer told of, if it is past the own one.
    pub newest: Option<Revision>,
    /// Since when a newer one is known.
    pub behind_since: Option<Time>,
    /// When the consensus group or a peer last said that nothing newer than the own state is known to it.
    pub confirmed_at: Option<Time>,
    /// A committed revision that this program could not apply.
    pub cannot_apply: Option<Revision>,
    /// Whether a snapshot is being fetched.
    pub transfers: bool,
    /// Snapshots installed.
    pub installed: u64,
    /// Times that a source was left out.
    pub quarantined: u64,
    /// Bytes sent.
    pub sent: Sent,
}

/// One server's part in dissemination.
#[derive(Debug)]
pub struct Dissemination {
    settings: DisseminationSettings,
    state: Configuration,
    history: History,
    peers: Peers,
    pending: Pending,
    requests: Requests,
    transfer: Option<Transfer>,
    snapshots: Snapshots,
    quarantine: Quarantine,
    witnesses: Witnesses,
    outbox: Outbox,
    rng: Pcg64Mcg,
    next_advert: Time,
    /// Revisions to be pushed, and when.
    fresh: Vec<Revision>,
    push_at: Time,
    hold_push_until: Time,
    confirmed_at: Option<Time>,
    cannot_apply: Option<(Revision, Time)>,
    installed: u64,
}

impl Dissemination {
    /// A server that starts with a state: of its last good snapshot, or of its start file at revision 0.
    pub fn new(
        settings: DisseminationSettings,
        own: Member,
        state: Configuration,
        seed: u64,
        now: Time,
    ) -> Self {
        Self {
            history: History::new(state.version(), settings.kept),
            peers: Peers::new(own),
            pending: Pending::default(),
            requests: Requests::default(),
            transfer: None,
            snapshots: Snapshots::default(),
            quarantine: Quarantine::default(),
            witnesses: Witnesses::default(),
            outbox: Outbox::new(&settings, now),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x7370_7265_6164),
            next_advert: now,
            fresh: Vec::new(),
            push_at: now,
            hold_push_until: now,
            confirmed_at: None,
            cannot_apply: None,
            installed: 0,
            settings,
            state,
        }
    }

    /// The state in force.
    pub fn state(&self) -> &Configuration {
        &self.state
    }

    /// What is known of it.
    pub fn status(&self) -> Status {
        Status {
            version: self.state.version(),
            newest: self.requests.newest(),
            behind_since: self.requests.behind_since(),
            confirmed_at: self.confirmed_at,
            cannot_apply: self.cannot_apply.map(|(revision, _)| revision),
            transfers: self.transfer.is_some(),
            installed: self.installed,
            quarantined: self.quarantine.total(),
            sent: self.outbox.sent(),
        }
    }

    /// Whether a source is left out now.
    pub fn is_quarantined(&self, now: Time, name: &str) -> bool {
        self.quarantine.holds(now, name)
    }

    /// A server is up, or has moved.
    pub fn member_up(&mut self, member: Arc<Member>) {
        self.peers.up(member);
    }

    /// A server is down.
    pub fn member_down(&mut self, name: &str) {
        self.peers.down(name);
        self.requests.forget(name);
    }

    /// The consensus group committed this, on a voter. Commits that are in force already are ignored.
    pub fn committed(&mut self, now: Time, commit: Arc<Commit>) {
        self.pending.add_agreed(self.state.revision(), commit);
        self.confirmed_at = Some(now);
        self.apply_pending(now);
    }

    /// A message came from a server that the cluster has authenticated.
    pub fn receive(&mut self, now: Time, from: &Name, bytes: &[u8]) {
        let Some(message) = Message::decode(bytes) else { return };
        match message {
            Message::Fetch(theirs) => self.serve_commits(now, from, theirs),
            Message::FetchManifest(least) => self.serve_manifest(now, from, least),
            Message::FetchChunk(wanted) => {
                let answer = self.snapshots.chunk(&self.state, wanted);
                self.answer(now, from, &answer);
            }
            Message::FetchVersion(revision) => {
                let answer = Message::Version(revision, self.history.digest_at(revision));
                self.send(now, from, &answer, Traffic::Small);
            }
            Message::Advert(theirs) => self.advert(now, from, theirs),
            // What a source that is left out says of the state is not taken; what it asks for, it gets.
            _ if self.quarantine.holds(now, from) && !self.settings.plain => {}
            Message::Push(records) => self.records(now, from, records, Origin::Push(from.clone())),
            Message::Commits { records, last } => {
                self.requests.answered(now, from, last);
                self.records(now, from, records, Origin::Fetch(from.clone()));
            }
            Message::Compacted => {
                self.requests.refused(now, from, &self.settings);
                self.begin_transfer(now, self.state.revision().next());
            }
            Message::Busy => {
                self.requests.refused(now, from, &self.settings);
                self.with_transfer(now, |transfer| transfer.refused(now, from));
            }
            Message::Manifest(manifest) => {
                let voter = self.peers.is_voter(from);
                let plain = self.settings.plain;
                self.with_transfer(now, |transfer| transfer.manifest(now, from, manifest, voter, plain));
            }
            Message::Version(revision, digest) => {
                self.with_transfer(now, |transfer| transfer.version(now, from, revision, digest));
            }
            Message::Chunk { number, bytes } => {
                self.with_transfer(now, |transfer| transfer.chunk(now, from, number, &bytes));
            }
            Message::NoChunk(number) => {
                self.with_transfer(now, |transfer| transfer.no_chunk(now, from, number));
            }
        }
    }

    // ---- what others say of their state

    fn advert(&mut self, now: Time, from: &Name, theirs: Version) {
        let own = self.state.version();
        if theirs.revision > own.revision {
            if !self.quarantine.holds(now, from) {
                self.requests.heard(now, from, theirs, &mut self.rng);
            }
            return;
        }
        self.requests.forget(from);
        // At revision 0 servers may have read start files that differ.
        let known = self.history.digest_at(theirs.revision).filter(|_| theirs.revision > Revision(0));
        match known {
            Some(digest) if digest != theirs.digest && !self.settings.plain => {
                self.contradicted(now, from);
            }
            Some(_) => self.witnesses.confirm(now, from),
            None => {}
        }
        if theirs.revision < own.revision {
            self.send(now, from, &Message::Advert(own), Traffic::Small);
        } else if theirs == own {
            self.confirmed_at = Some(now);
        }
    }

    fn contradicted(&mut self, now: Time, from: &Name) {
        if self.witnesses.contradict(now, from) {
            let text = format!("peers contradict the state of revision {}", self.state.revision());
            self.outbox.note(true, text);
            self.doubt(now);
        } else {
            self.leave_out(now, from, "it names another digest for a revision that is known");
        }
    }

    /// The own state is the wrong one, most likely: a whole one is fetched, of the same revision at the least.
    fn doubt(&mut self, now: Time) {
        self.begin_transfer(now, self.state.revision());
    }

    fn leave_out(&mut self, now: Time, name: &Name, why: &str) {
        if !self.quarantine.holds(now, name) {
            self.outbox.note(true, format!("{name} is left out for a time: {why}"));
        }
        self.quarantine.add(now, name, self.settings.quarantine);
        self.requests.forget(name);
        self.pending.forget(name);
        if let Some(transfer) = &mut self.transfer {
            transfer.forget(now, name);
        }
    }

    // ---- commits

    fn records(&mut self, now: Time, from: &Name, records: Vec<CommitRecord>, origin: Origin) {
        let own = self.state.revision();
        let newest = records.last().map(CommitRecord::version);
        if !self.settings.plain && !records.iter().all(CommitRecord::is_intact) {
            return self.leave_out(now, from, "a commit of it is not as it was");
        }
        for record in records {
            self.pending.add(own, record, origin.clone());
        }
        self.apply_pending(now);
        if let Some(newest) = newest.filter(|newest| newest.revision > self.state.revision())
            && !self.quarantine.holds(now, from)
        {
            self.requests.heard(now, from, newest, &mut self.rng);
        }
    }

    fn next_pending(&mut self) -> Option<Waiting> {
        let own = self.state.revision();
        if !self.settings.plain {
            return self.pending.take(own);
        }
        // The control of the model: whatever came, as if it were the next.
        let mut waiting = self.pending.take_any(own)?;
        Arc::make_mut(&mut waiting.commit).revision = own.next();
        Some(waiting)
    }

    fn apply_pending(&mut self, now: Time) {
        if self.cannot_apply.is_some_and(|(_, until)| now < until) {
            return;
        }
        let before = self.state.revision();
        let mut pulled = false;
        while let Some(waiting) = self.next_pending() {
            match self.after_commit(&waiting) {
                Ok(next) => {
                    pulled |= matches!(waiting.origin, Origin::Fetch(_));
                    self.adopt_commit(now, next, waiting);
                }
                Err(why) => self.refuse_commit(now, waiting, &why),
            }
        }
        if self.state.revision() > before {
            self.requests.reached(now, self.state.revision());
            let caught_up = self.requests.newest().is_none();
            if pulled && caught_up {
                self.tell_zone(now);
            }
        }
    }

    /// The state after a commit, if its digest comes out.
    fn after_commit(&self, waiting: &Waiting) -> Result<Configuration, CommitError> {
        let mut next = self.state.clone();
        next.apply(&waiting.commit).map_err(|error| CommitError::Invalid(error.to_string()))?;
        match waiting.digest {
            Some(expected) if expected != next.digest() && !self.settings.plain => {
                Err(CommitError::Digest(expected))
            }
            _ => Ok(next),
        }
    }

    fn adopt_commit(&mut self, now: Time, next: Configuration, waiting: Waiting) {
        self.state = next;
        self.cannot_apply = None;
        self.history.push(Arc::clone(&waiting.commit), self.state.digest());
        if !matches!(waiting.origin, Origin::Fetch(_)) {
            if self.fresh.is_empty() {
                self.push_at = time_after(now, self.settings.push_every).max(self.hold_push_until);
            }
            if self.fresh.len() < MOST_PUSHED {
                self.fresh.push(self.state.revision());
            }
        }
        self.outbox.push(DisseminationEffect::Apply(waiting.commit));
    }

    fn refuse_commit(&mut self, now: Time, waiting: Waiting, why: &CommitError) {
        let revision = waiting.commit.revision;
        let from = match &waiting.origin {
            Origin::Consensus => return self.report_commit(now, revision, why),
            Origin::Push(from) | Origin::Fetch(from) => from.clone(),
        };
        if self.state.revision() == Revision(0) {
            // The start file is not the one that the log began from.
            return self.begin_transfer(now, revision);
        }
        let version = Version { revision, digest: waiting.digest.unwrap_or_default() };
        let same = self.witnesses.misfit(version, &from);
        if same.is_empty() {
            return self.leave_out(now, &from, "its commit doesn't come out as it says");
        }
        same.iter().for_each(|name| self.quarantine.release(name));
        match why {
            CommitError::Invalid(_) => self.report_commit(now, revision, why),
            CommitError::Digest(_) => self.doubt(now),
        }
    }

    fn report_commit(&mut self, now: Time, revision: Revision, why: &CommitError) {
        self.outbox.note(true, format!("revision {revision} can't be applied: {why}"));
        self.cannot_apply = Some((revision, time_after(now, RETRY_APPLY)));
    }

    /// After commits were fetched: peers of the zone lack them, most likely, and fetch them from here.
    fn tell_zone(&mut self, now: Time) {
        let advert = Message::Advert(self.state.version());
        for peer in self.peers.zone_peers(&mut self.rng, self.settings.push_zone) {
            self.send(now, &peer, &advert, Traffic::Small);
        }
    }

    // ---- snapshots

    fn begin_transfer(&mut self, now: Time, least: Revision) {
        if self.transfer.as_ref().is_none_or(|transfer| transfer.least() < least) {
            self.transfer = Some(Transfer::new(now, least));
        }
    }

    fn with_transfer(&mut self, now: Time, what: impl FnOnce(&mut Transfer)) {
        let Some(transfer) = &mut self.transfer else { return };
        what(transfer);
        let bad = transfer.bad_sources();
        self.outbox.request_unspent(transfer.unspent());
        let snapshot = transfer.finished(now);
        for name in bad {
            self.leave_out(now, &name, "its part of a snapshot failed a check");
        }
        if let Some(snapshot) = snapshot {
            self.install(now, snapshot);
        }
    }

    fn install(&mut self, now: Time, snapshot: Snapshot) {
        self.transfer = None;
        let (own, new) = (self.state.version(), snapshot.version());
        if new.revision < own.revision || new == own {
            // Commits were faster.
            return;
        }
        self.state = snapshot.configuration().clone();
        self.history.restart(new);
        self.snapshots.clear();
        self.witnesses.clear();
        self.fresh.clear();
        self.cannot_apply = None;
        self.installed += 1;
        self.outbox.push(DisseminationEffect::Install(snapshot));
        self.requests.reached(now, new.revision);
        self.apply_pending(now);
    }

    // ---- answers

    fn serve_commits(&mut self, now: Time, from: &Name, theirs: Version) {
        let own = self.state.version();
        for answer in serving::commits(&self.settings, &self.history, own, theirs) {
            let traffic =
                if matches!(answer, Message::Commits { .. }) { Traffic::Commits } else { Traffic::Small };
            if !self.send(now, from, &answer, traffic) {
                self.send(now, from, &Message::Busy, Traffic::Small);
                return;
            }
        }
    }

    fn serve_manifest(&mut self, now: Time, from: &Name, least: Revision) {
        let Some(answer) = self.snapshots.manifest(now, &self.state, least) else {
            self.send(now, from, &Message::Advert(self.state.version()), Traffic::Small);
            return;
        };
        self.answer(now, from, &answer);
    }

    /// A part of a snapshot, or that there is none.
    fn answer(&mut self, now: Time, to: &Name, answer: &Message) {
        let small = matches!(answer, Message::NoChunk(_));
        let traffic = if small { Traffic::Small } else { Traffic::Snapshot };
        if !self.send(now, to, answer, traffic) {
            self.send(now, to, &Message::Busy, Traffic::Small);
        }
    }

    fn send(&mut self, now: Time, to: &Name, message: &Message, traffic: Traffic) -> bool {
        self.outbox.send(now, &self.settings, to, message, traffic)
    }

    // ---- what is due

    /// Does what is due, and appends what is to be done.
    pub fn step(&mut self, now: Time, effects: &mut Vec<DisseminationEffect>) {
        if let Some((revision, _)) = self.cannot_apply.filter(|(_, until)| now >= *until) {
            self.apply_pending(now);
            if self.cannot_apply.is_some() {
                self.cannot_apply = Some((revision, time_after(now, RETRY_APPLY)));
            }
        }
        if now >= self.next_advert {
            self.advertise(now);
        }
        if !self.fresh.is_empty() && now >= self.push_at {
            self.push_fresh(now);
        }
        self.fetch(now);
        self.step_transfer(now);
        self.outbox.drain(effects);
    }

    fn advertise(&mut self, now: Time) {
        // A tenth more or less, so that servers that started together don't stay together.
        let every = self.settings.advert_every.0;
        let jitter = below(&mut self.rng, (every / 5) as usize) as u64;
        self.next_advert = time_after(now, Span(every - every / 10 + jitter));
        let advert = Message::Advert(self.state.version());
        for peer in self.peers.advert_targets(&self.settings, &mut self.rng) {
            self.send(now, &peer, &advert, Traffic::Small);
        }
    }

    fn push_fresh(&mut self, now: Time) {
        let revisions = std::mem::take(&mut self.fresh);
        let origin = self.peers.own().voter;
        let targets = self.peers.push_targets(&self.settings, origin, &mut self.rng);
        let records = revisions.into_iter().filter_map(|revision| self.history.get(revision));
        let messages: Vec<Message> =
            serving::batches(&self.settings, records).into_iter().map(Message::Push).collect();
        let mut refused = false;
        for peer in targets {
            refused |= !messages.iter().all(|message| self.send(now, &peer, message, Traffic::Commits));
            if refused {
                break;
            }
        }
        if refused {
            // The bytes are spent: the others fetch, and what comes next waits to go in fewer datagrams.
            self.hold_push_until = time_after(now, HOLD_PUSH);
        }
    }

    fn fetch(&mut self, now: Time) {
        let Self { settings, peers, quarantine, rng, .. } = self;
        let Some(to) = self.requests.choose(now, settings, peers, quarantine, rng) else { return };
        let request = Message::Fetch(self.state.version());
        let may = self.outbox.may_request(now, ANSWER_BYTES);
        if may && self.send(now, &to, &request, Traffic::Small) {
            self.requests.sent(now, &to, &self.settings);
        } else {
            self.requests.postpone(now);
        }
    }

    fn step_transfer(&mut self, now: Time) {
        let Some(transfer) = &mut self.transfer else { return };
        let around = TransferContext {
            settings: &self.settings,
            peers: &self.peers,
            quarantine: &self.quarantine,
            ahead: self.requests.nearest(now, &self.peers, &self.quarantine, &mut self.rng),
            state: &self.state,
        };
        let requests = transfer.step(now, &around, &mut self.outbox, &mut self.rng);
        for request in requests {
            self.send(now, &request.to, &request.message, Traffic::Small);
        }
        // All may have been there already, in the own state.
        self.with_transfer(now, |_| {});
    }

    /// When [`Dissemination::step`] must be called again though nothing came.
    pub fn wake_at(&self, now: Time) -> Time {
        if !self.outbox.is_empty() {
            return now;
        }
        let push = if self.fresh.is_empty() { None } else { Some(self.push_at) };
        let transfer = self.transfer.as_ref().map(Transfer::wake_at);
        let retry = self.cannot_apply.map(|(_, until)| until);
        let fetch = self.requests.wake_at(now, &self.settings);
        let all = [push, transfer, retry, fetch].into_iter().flatten();
        all.fold(self.next_advert, Time::min).max(now)
    }
}

/// Why a commit does not come into force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum CommitError {
    /// It can't be applied to the state.
    #[error("{0}")]
    Invalid(String),
    /// Another digest comes out than this one.
    #[error("expected digest {0} after it")]
    Digest(Digest),
}
