//! One voter of the council: the library's Raft, what must be durable before what leaves, and when a voter may vote at all.
//!
//! A voter is a disk: its identity is made with the folder of its files. What a disk may have forgotten is this file's
//! concern; what is agreed on is [`crate::replicated_state`]'s, and the files are the store's. Effects are to be done in their order:
//! what stands behind a [`VoterEffect::Write`] never depends on it, what does is held back until [`ConsensusVoter::written`].

mod configuration;
mod intake;
mod log;

pub use configuration::{ProposalAccepted, ProposalRejected};

use crate::replicated_snapshot;
use crate::replicated_state::{Command, CommandOutcome, Name, ReplicatedState};
use configuration::Content;
use gradepin_admission::{Span, Time, time_after};
use gradepin_config::change::{Commit, Revision};
use log::{Log, snapshot};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, Message, MessageType, Snapshot,
};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// The library's unit of time.
pub const RAFT_TICK: Span = Span(100 * MS);
/// A leader that isn't heard for 1 to 2 s is replaced; it is heard three times in one.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 3;
/// A voter that starts waits for so long to hear a leader, or all others, before it votes: longer than any leader takes to be
/// heard, or to be elected by the others.
pub const VOTE_DELAY_AFTER_START: Span = Span(3_000 * MS);
/// Entries since the last snapshot that make the next one.
const SNAPSHOT_EVERY: u64 = 128;
/// Entries since the last snapshot that make the next one though the configuration isn't durable here yet.
const SNAPSHOT_AT_LATEST: u64 = 4 * SNAPSHOT_EVERY;
/// Ticks after which a snapshot that its receiver hasn't acknowledged is sent again: it goes in many datagrams.
const SNAPSHOT_TICKS: u32 = 10;
/// Bytes of entries in one message, beyond the first entry; and bytes that are not agreed on yet.
const MESSAGE_BYTES: u64 = 900;
const UNCOMMITTED_BYTES: u64 = 64 * 1024;
/// The longest command, encoded. What others are told of it has to fit into one message between servers (259 kB): an entry
/// that can't be sent is acknowledged by nobody, and nothing behind it is agreed on while its leader is heard.
const MOST_COMMAND: usize = 199_999;
/// Turns of the clock made up for at the most, after a process was stopped.
const MOST_TICKS: u64 = 5;

/// A voter: the random identity of its folder.
pub type VoterId = u64;

/// What has to be on the disk, in this order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DurableRecord {
    /// All before counts no more: the record as of an entry. The files begin anew with it.
    Snapshot {
        /// The last entry that is in it, and its term.
        index: u64,
        /// See `index`.
        term: u64,
        /// The voters.
        voters: Vec<VoterId>,
        /// The record, encoded.
        data: Vec<u8>,
    },
    /// An entry; it replaces those from its index on.
    Entry {
        /// Its place.
        index: u64,
        /// Its term.
        term: u64,
        /// Whether it changes the council.
        changes: bool,
        /// What it says.
        data: Vec<u8>,
    },
    /// The term, whom this voter voted for in it, and what is agreed on.
    Term {
        /// The term.
        term: u64,
        /// 0 for nobody.
        vote: VoterId,
        /// The last entry that is known to be agreed on.
        commit: u64,
    },
}

/// What an earlier life left on the disk.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VoterState {
    /// The folder's identity.
    pub id: VoterId,
    /// Everything in its order; empty if no council was founded here.
    pub records: Vec<DurableRecord>,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum VoterEffect {
    /// Send this to a voter; it may be lost.
    Send(VoterId, Vec<u8>),
    /// Make these durable, then call [`ConsensusVoter::written`] with the number.
    Write(u64, Vec<DurableRecord>),
    /// A command was applied: its entry, who proposed it with which number, and what it came to.
    Applied {
        /// Its index.
        index: u64,
        /// The voter that proposed it.
        by: VoterId,
        /// Under which number.
        number: u64,
        /// What it came to.
        outcome: CommandOutcome,
    },
    /// A change of the configuration is committed. In the order of revisions; after a failure of the disk some come again.
    Committed(Arc<Commit>),
    /// The host is to make the configuration durable, at this revision or a later one, then call
    /// [`ConsensusVoter::configuration_durable`]; the log is not compacted before.
    MakeDurable(Revision),
    /// Tell it in the log; whether it is bad.
    Log(bool, String),
}

/// What an entry says.
#[derive(Serialize, Deserialize)]
struct Proposal {
    by: VoterId,
    number: u64,
    command: Command,
}

/// Why something can't be proposed here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Another voter leads.
    #[error("another voter leads")]
    NotLeader(VoterId),
    /// Nobody leads, as far as is known here.
    #[error("the council has no leader that is heard here")]
    NoLeader,
    /// No council was founded, or this server is no voter of it.
    #[error("this server is no voter of the council")]
    NotVoter,
    /// Too much waits to be agreed on, or a change of the council isn't through yet.
    #[error("too much waits to be agreed on")]
    Busy,
    /// The command is longer than an entry may be.
    #[error("expected a command of at most {MOST_COMMAND} bytes")]
    TooLong,
}

/// What a voter founds the council with: the same on each.
pub fn founding(voters: &BTreeMap<VoterId, Name>) -> Vec<DurableRecord> {
    let record = ReplicatedState { index: 1, voters: voters.clone(), ..ReplicatedState::default() };
    let data = replicated_snapshot::encode(&record);
    let voters = voters.keys().copied().collect();
    vec![
        DurableRecord::Snapshot { index: 1, term: 1, voters, data },
        DurableRecord::Term { term: 1, vote: 0, commit: 1 },
    ]
}

/// How far a voter that started goes by its own disk, which may be an old copy.
#[derive(Debug, Clone, PartialEq)]
enum Trust {
    /// It has heard a leader since, which found nothing missing.
    Whole,
    /// It neither votes nor asks for votes until then, or until it has heard where all others stand.
    Mute(Time, BTreeMap<VoterId, Place>),
    /// It votes for nobody whose log is behind the furthest that it has heard of.
    Careful(Place),
}

/// Where a log ends: the later term is further, then the later entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
struct Place {
    term: u64,
    index: u64,
}

/// What voters say to each other: the library's words, and where their logs end.
#[derive(Serialize, Deserialize)]
enum Said {
    Raft(Vec<u8>),
    /// Where are you?
    Where(Place),
    /// Here.
    Here(Place),
}

/// What waits for the disk.
struct Held {
    number: u64,
    written: bool,
    /// Whether the record was taken from another's snapshot, which counts as applied once it is durable.
    snapshot: bool,
    messages: Vec<Message>,
}

/// One voter.
pub struct ConsensusVoter {
    id: VoterId,
    node: Option<RawNode<Log>>,
    record: ReplicatedState,
    /// The configuration's content, as far as it is here.
    content: Content,
    /// Since which tick a voter waits for a snapshot that may have been lost.
    snapshots_sent: BTreeMap<VoterId, u32>,
    held: VecDeque<Held>,
    /// Records that needn't be durable by themselves: they go with the next ones that must.
    along: Vec<DurableRecord>,
    /// The council has changed since the last snapshot.
    changed: bool,
    /// Since it started: how much it may be trusted with votes.
    trust: Trust,
    /// Why it is out of the council for good: it lacks what it once acknowledged.
    lost: Option<String>,
    /// When a leader was heard last.
    heard: Option<Time>,
    next_tick: Time,
    timeout: usize,
    rng: Pcg64Mcg,
    effects: Vec<VoterEffect>,
}

impl ConsensusVoter {
    /// A voter, or one who may become one, with what its disk holds.
    pub fn new(found: VoterState, seed: u64, now: Time) -> Self {
        let mut council = Self {
            id: found.id,
            node: None,
            record: ReplicatedState::default(),
            content: Content::default(),
            snapshots_sent: BTreeMap::new(),
            held: VecDeque::new(),
            along: Vec::new(),
            changed: false,
            trust: Trust::Whole,
            lost: None,
            heard: None,
            next_tick: now,
            timeout: 0,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ found.id),
            effects: Vec::new(),
        };
        if !found.records.is_empty() {
            council.read(found.records);
            council.trust = Trust::Mute(time_after(now, VOTE_DELAY_AFTER_START), BTreeMap::new());
        }
        council
    }

    /// The council is founded here, with these voters: to be called on each of them, with the same, once.
    pub fn found(&mut self, voters: &BTreeMap<VoterId, Name>) -> Result<(), ProposalError> {
        // A disk without an identity is nobody's: the library takes no such member, and what is founded is kept.
        let has_nobody = voters.contains_key(&raft::INVALID_ID);
        if self.node.is_some() || has_nobody || !voters.contains_key(&self.id) {
            return Err(ProposalError::NotVoter);
        }
        let records = founding(voters);
        self.read(records.clone());
        // Nothing was acknowledged or voted for yet, so there is nothing to have forgotten.
        self.held.push_back(Held { number: 0, written: false, snapshot: false, messages: Vec::new() });
        self.effects.push(VoterEffect::Write(0, records));
        Ok(())
    }

    fn read(&mut self, records: Vec<DurableRecord>) {
        let mut log = Log::default();
        for record in records {
            match record {
                DurableRecord::Snapshot { index, term, voters, data } => {
                    let Some(record) = replicated_snapshot::decode(&data) else {
                        return self.lose(format!("the state as of entry {index} on its disk can't be read"));
                    };
                    self.record = record;
                    let conf = ConfState { voters, ..ConfState::default() };
                    log.restore(snapshot(index, term, conf, data));
                }
                DurableRecord::Entry { index, term, changes, data } => {
                    let kind = if changes { EntryType::EntryConfChange } else { EntryType::EntryNormal };
                    let mut entry = Entry::default();
                    entry.set_entry_type(kind);
                    (entry.index, entry.term) = (index, term);
                    entry.set_data(data.into());
                    if index > log.before.0 && index <= log.last() + 1 {
                        log.append(&[entry]);
                    }
                }
                DurableRecord::Term { term, vote, commit } => {
                    (log.hard.term, log.hard.vote, log.hard.commit) = (term, vote, commit);
                }
            }
        }
        log.hard.commit = log.hard.commit.clamp(log.before.0, log.last());
        self.content.restart(self.record.configuration.version());
        self.begin(log);
    }

    fn begin(&mut self, log: Log) {
        let config = Config {
            id: self.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: log.before.0,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&config, log, &logger) {
            Ok(node) => self.node = Some(node),
            Err(why) => self.lose(format!("what is on its disk makes no sense: {why}")),
        }
    }

    fn lose(&mut self, why: String) {
        self.effects.push(VoterEffect::Log(true, format!("out of the council until it is replaced: {why}")));
        (self.node, self.lost) = (None, Some(why));
        self.held.clear();
    }

    /// What must not be durable failed to be: nothing that was held back leaves, and the voter goes on from what its disk has.
    pub fn failed(&mut self, found: VoterState, now: Time) {
        let lost = self.lost.take();
        let content = std::mem::take(&mut self.content);
        let (seed, effects) = (self.rng.next_u64(), std::mem::take(&mut self.effects));
        *self = Self::new(found, seed, now);
        self.content = content;
        self.content.restart(self.record.configuration.version());
        self.effects
            .splice(0..0, effects.into_iter().filter(|effect| matches!(effect, VoterEffect::Log(..))));
        if let Some(why) = lost {
            (self.node, self.lost) = (None, Some(why));
        }
    }

    /// This voter's identity.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// The record, as far as it is known here.
    pub fn record(&self) -> &ReplicatedState {
        &self.record
    }

    /// Whether a council was founded, as far as is known here.
    pub fn is_founded(&self) -> bool {
        self.node.is_some()
    }

    /// Why this voter is out of the council for good.
    pub fn lost(&self) -> Option<&str> {
        self.lost.as_deref()
    }

    /// Whether it waits for a leader before it votes.
    pub fn is_unsure(&self) -> bool {
        self.trust != Trust::Whole
    }

    /// The leader's term, if this voter leads.
    pub fn leads(&self) -> Option<u64> {
        let node = self.node.as_ref()?;
        (node.raft.state == StateRole::Leader).then_some(node.raft.term)
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<VoterId> {
        self.node.as_ref().map(|node| node.raft.leader_id).filter(|id| *id != 0)
    }

    /// How long ago a leader was heard; nothing for the leader itself.
    pub fn heard(&self, now: Time) -> Option<Span> {
        if self.leads().is_some() {
            return Some(Span(0));
        }
        self.heard.map(|at| Span(now.0.saturating_sub(at.0)))
    }

    /// Has a command agreed on; [`VoterEffect::Applied`] with this number tells what it came to. Nothing may tell, and then it may
    /// or may not be.
    pub fn propose(&mut self, number: u64, command: Command) -> Result<(), ProposalError> {
        let by = self.id;
        let data = postcard::to_stdvec(&Proposal { by, number, command }).unwrap_or_default();
        if data.len() > MOST_COMMAND {
            return Err(ProposalError::TooLong);
        }
        self.leading()?.propose(Vec::new(), data).map_err(|_| ProposalError::Busy)
    }

    /// Makes somebody a voter, or takes one out: one at a time.
    pub fn change(&mut self, id: VoterId, name: Option<&Name>) -> Result<(), ProposalError> {
        let mut change = ConfChange::default();
        let kind = if name.is_some() { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        change.set_change_type(kind);
        change.node_id = id;
        let node = self.leading()?;
        if node.raft.has_pending_conf() {
            return Err(ProposalError::Busy);
        }
        let context = name.map(|name| name.as_bytes().to_vec()).unwrap_or_default();
        change.set_context(context.into());
        node.propose_conf_change(Vec::new(), change).map_err(|_| ProposalError::Busy)
    }

    fn leading(&mut self) -> Result<&mut RawNode<Log>, ProposalError> {
        let node = self.node.as_mut().ok_or(ProposalError::NotVoter)?;
        match (node.raft.state, node.raft.leader_id) {
            (StateRole::Leader, _) => Ok(node),
            (_, 0) => Err(ProposalError::NoLeader),
            (_, leader) => Err(ProposalError::NotLeader(leader)),
        }
    }

    /// A voter said something.
    pub fn heard_from(&mut self, now: Time, from: VoterId, bytes: &[u8]) {
        if self.lost.is_some() {
            return;
        }
        match postcard::from_bytes(bytes) {
            Ok(Said::Raft(bytes)) => {
                if let Ok(message) = Message::parse_from_bytes(&bytes)
                    && (message.from, message.to) == (from, self.id)
                {
                    self.raft(now, message);
                }
            }
            Ok(Said::Where(place)) => {
                self.stands(from, place);
                if let Some(own) = self.place() {
                    self.say(from, &Said::Here(own));
                }
            }
            Ok(Said::Here(place)) => self.stands(from, place),
            Err(_) => {}
        }
    }

    fn place(&self) -> Option<Place> {
        let log = &self.node.as_ref()?.raft.raft_log;
        Some(Place { term: log.last_term(), index: log.last_index() })
    }

    /// A voter's log ends there.
    fn stands(&mut self, from: VoterId, place: Place) {
        let known = self.record.voters.contains_key(&from);
        if let Trust::Mute(_, heard) = &mut self.trust
            && known
        {
            heard.insert(from, place);
        }
        if let Trust::Careful(furthest) = &mut self.trust
            && known
        {
            *furthest = place.max(*furthest);
        }
    }

    fn raft(&mut self, now: Time, message: Message) {
        let kind = message.get_msg_type();
        if self.node.is_none() {
            // One that was made a voter learns of the council by its leader.
            if !matches!(kind, MessageType::MsgHeartbeat | MessageType::MsgAppend | MessageType::MsgSnapshot)
            {
                return;
            }
            self.begin(Log::default());
        }
        let Some(node) = &mut self.node else { return };
        if !intake::is_sound(&node.raft, &message) {
            return;
        }
        let asks = matches!(
            kind,
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote | MessageType::MsgTimeoutNow
        );
        match &self.trust {
            Trust::Mute(..) if asks => return,
            Trust::Careful(furthest)
                if asks && Place { term: message.log_term, index: message.index } < *furthest =>
            {
                return;
            }
            _ => {}
        }
        if kind == MessageType::MsgHeartbeat && message.term >= node.raft.term {
            if message.commit > node.raft.raft_log.last_index() {
                // The leader goes by what this voter acknowledged.
                let (commit, last) = (message.commit, node.raft.raft_log.last_index());
                return self
                    .lose(format!("it acknowledged entry {commit} and has {last}: its disk is an old copy"));
            }
            self.trust = Trust::Whole;
            self.heard = Some(now);
        }
        // What is stale is the library's to refuse.
        let _ = node.step(message);
    }

    /// What was to be written is durable, up to this number.
    pub fn written(&mut self, number: u64) {
        for held in self.held.iter_mut().filter(|held| held.number <= number) {
            held.written = true;
        }
        self.release();
    }

    /// Sends what waits for nothing any more.
    fn release(&mut self) {
        while self.held.front().is_some_and(|held| held.written) {
            let Some(held) = self.held.pop_front() else { return };
            let Some(node) = &mut self.node else { return };
            if held.number > 0 {
                node.on_persist_ready(held.number);
            }
            if held.snapshot {
                node.advance_apply();
            }
            self.send(held.messages);
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                self.say(message.to, &Said::Raft(bytes));
            }
        }
    }

    fn say(&mut self, to: VoterId, said: &Said) {
        if let Ok(bytes) = postcard::to_stdvec(said) {
            self.effects.push(VoterEffect::Send(to, bytes));
        }
    }

    /// Lets time pass, and appends what is to be done.
    pub fn step(&mut self, now: Time, effects: &mut Vec<VoterEffect>) {
        if let Trust::Mute(until, heard) = &self.trust {
            let others = self.record.voters.keys().filter(|id| **id != self.id);
            if now >= *until || others.into_iter().all(|id| heard.contains_key(id)) {
                let furthest = heard.values().copied().max().unwrap_or_default();
                self.trust = Trust::Careful(furthest.max(self.place().unwrap_or_default()));
            }
        }
        let late = now.0.saturating_sub(self.next_tick.0) / RAFT_TICK.0;
        if now >= self.next_tick {
            self.next_tick = time_after(now, RAFT_TICK);
            // One that was stopped must not find all others silent by a clock that ran on without it.
            for _ in 0..=late.min(MOST_TICKS) {
                self.tick();
            }
            self.resend_snapshots();
            self.ask_where();
        }
        self.turn();
        effects.append(&mut self.effects);
    }

    /// When [`ConsensusVoter::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        if self.node.is_some() { self.next_tick } else { Time(u64::MAX) }
    }

    fn tick(&mut self) {
        let place = self.place().unwrap_or_default();
        let may = match &self.trust {
            Trust::Whole => true,
            Trust::Mute(..) => false,
            Trust::Careful(furthest) => place >= *furthest,
        };
        // Time passes for a leader, whose own it is to step down; for others only where they may ask for votes.
        if let Some(node) = self.node.as_mut().filter(|node| may || node.raft.state == StateRole::Leader) {
            node.tick();
        }
    }

    /// Sends snapshots again that were lost on their way: the library waits for word of them and gets none.
    fn resend_snapshots(&mut self) {
        let Some(node) = self.node.as_mut().filter(|node| node.raft.state == StateRole::Leader) else {
            return self.snapshots_sent.clear();
        };
        let progress = node.raft.prs().iter();
        let waiting: Vec<VoterId> =
            progress.filter(|(_, of)| of.state == ProgressState::Snapshot).map(|(id, _)| *id).collect();
        self.snapshots_sent.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let ticks = self.snapshots_sent.entry(id).or_default();
            *ticks += 1;
            if *ticks >= SNAPSHOT_TICKS {
                *ticks = 0;
                node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Asks the others where they stand, until this voter is trusted again.
    fn ask_where(&mut self) {
        let Some(place) = self.place().filter(|_| self.trust != Trust::Whole) else { return };
        let others: Vec<VoterId> = self.record.voters.keys().copied().filter(|id| *id != self.id).collect();
        others.into_iter().for_each(|id| self.say(id, &Said::Where(place)));
    }

    fn turn(&mut self) {
        self.release();
        while let Some(node) = self.node.as_mut().filter(|node| node.has_ready()) {
            let mut ready = node.ready();
            let number = ready.number();
            let (now_messages, held) = (ready.take_messages(), ready.take_persisted_messages());
            let mut records = Vec::new();
            let taken = !ready.snapshot().is_empty();
            if taken {
                let snapshot = ready.snapshot().clone();
                // One that can't be read is never handed in.
                if let Some(record) = replicated_snapshot::decode(snapshot.get_data()) {
                    self.record = record;
                }
                self.content.restart(self.record.configuration.version());
                records.push(durable(&snapshot));
                node.mut_store().restore(snapshot);
            }
            records.extend(ready.entries().iter().map(entry_record));
            node.mut_store().append(ready.entries());
            if let Some(hard) = ready.hs() {
                node.mut_store().hard = hard.clone();
                records.push(DurableRecord::Term { term: hard.term, vote: hard.vote, commit: hard.commit });
            }
            let committed = ready.take_committed_entries();
            let must = ready.must_sync();
            node.advance_append_async(ready);
            self.send(now_messages);
            self.apply(committed);
            if let Some(node) =
                self.node.as_mut().filter(|_| !taken && !self.held.iter().any(|held| held.snapshot))
            {
                node.advance_apply();
            }
            self.along.extend(records);
            let full = self.snapshot_due();
            if must || full {
                let records = std::mem::take(&mut self.along);
                self.held.push_back(Held { number, written: false, snapshot: taken, messages: held });
                self.effects.push(VoterEffect::Write(number, records));
            } else {
                self.held.push_back(Held { number, written: true, snapshot: taken, messages: held });
            }
            self.release();
        }
        self.draw_timeout();
    }

    /// The library draws its time-outs from the thread's own generator; here a seed gives the same course again.
    fn draw_timeout(&mut self) {
        let Some(node) = &mut self.node else { return };
        if node.raft.randomized_election_timeout() != self.timeout {
            self.timeout = ELECTION_TICKS + self.rng.next_u64() as usize % ELECTION_TICKS;
            node.raft.set_randomized_election_timeout(self.timeout);
        }
    }

    /// Writes the record as of now into the records that are to be written, once enough was applied since the last time.
    fn snapshot_due(&mut self) -> bool {
        let Some(node) = &mut self.node else { return false };
        let since = self.record.index.saturating_sub(node.store().snapshot.get_metadata().index);
        let changed = std::mem::take(&mut self.changed);
        // A host that can't make the configuration durable keeps the log long, not endless: its content is had from peers.
        let compacts = since >= SNAPSHOT_EVERY && (self.may_compact() || since >= SNAPSHOT_AT_LATEST);
        if !compacts && !changed {
            return false;
        }
        let Some(node) = &mut self.node else { return false };
        let log = node.mut_store();
        let data = replicated_snapshot::encode(&self.record);
        log.compact(self.record.index, data);
        // All that the files have to hold from here on, in one piece: what stood before may go once this is durable.
        let index = self.record.index;
        self.along = vec![durable(&log.snapshot)];
        self.along.extend(log.entries.iter().filter(|entry| entry.index > index).map(entry_record));
        let hard = &log.hard;
        self.along.push(DurableRecord::Term {
            term: hard.term,
            vote: hard.vote,
            commit: hard.commit.max(index),
        });
        true
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let index = entry.index;
            self.record.index = index;
            if entry.get_entry_type() == EntryType::EntryNormal {
                if let Ok(Proposal { by, number, command }) = postcard::from_bytes(&entry.data) {
                    let change = match &command {
                        Command::Configuration(entry) => Some(entry.clone()),
                        _ => None,
                    };
                    let before = self.record.configuration.version().revision;
                    let outcome = self.record.apply(index, command);
                    if let Some(entry) = change
                        && self.record.configuration.version().revision > before
                    {
                        self.configuration_committed(&entry);
                    }
                    self.effects.push(VoterEffect::Applied { index, by, number, outcome });
                }
                continue;
            }
            let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else { continue };
            let Some(node) = &mut self.node else { return };
            if let Ok(conf) = node.apply_conf_change(&change) {
                // A new voter takes no snapshot that doesn't know it.
                self.changed = true;
                step_down_if_removed(node, &conf);
                node.mut_store().conf = conf;
                let id = change.node_id;
                let text = if change.get_change_type() == ConfChangeType::AddNode {
                    let name: Name = Arc::from(String::from_utf8_lossy(change.get_context()).as_ref());
                    let text = format!("{name} is a voter of the council");
                    self.record.voters.insert(id, name);
                    text
                } else {
                    let name = self.record.voters.remove(&id).unwrap_or_else(|| Arc::from("?"));
                    format!("{name} is no voter of the council any more")
                };
                self.effects.push(VoterEffect::Log(false, text));
            }
        }
    }
}

/// A leader that is no member any more gives way. The library leaves it the lead: it would take no proposal and yet be heard
/// by the others, who elect nobody meanwhile; and it looks itself up among the members with the next entry that is
/// acknowledged, and ends the process.
fn step_down_if_removed(node: &mut RawNode<Log>, conf: &ConfState) {
    let raft = &mut node.raft;
    if raft.state == StateRole::Leader && !conf.voters.contains(&raft.id) {
        raft.become_follower(raft.term, raft::INVALID_ID);
    }
}

fn durable(snapshot: &Snapshot) -> DurableRecord {
    let meta = snapshot.get_metadata();
    DurableRecord::Snapshot {
        index: meta.index,
        term: meta.term,
        voters: meta.get_conf_state().voters.clone(),
        data: snapshot.get_data().to_vec(),
    }
}

fn entry_record(entry: &Entry) -> DurableRecord {
    DurableRecord::Entry {
        index: entry.index,
        term: entry.term,
        changes: entry.get_entry_type() == EntryType::EntryConfChange,
        data: entry.get_data().to_vec(),
    }
}

#[cfg(test)]
mod tests;
