//! One voter of the consensus group: wraps the state machine of the `raft` library, orders writes and messages, and restricts
//! when the voter may vote.
//!
//! Input: messages of voters, proposals, completed writes and time. Output: [`VoterEffect`]s, to be executed in order. Effects
//! that follow a [`VoterEffect::Write`] don't depend on its durability; messages that do are held until
//! [`ConsensusVoter::write_completed`].
//!
//! Invariants: a vote, a term or an entry is durable before a message that promises it is sent; a voter whose disk may be an
//! old copy doesn't vote in a way that could contradict a forgotten vote or entry.
//!
//! The identity of a voter belongs to its disk: it is created with the directory of its files. The replicated state is in
//! [`crate::replicated_state`], the files are in `gradepin-store`.

mod configuration;
mod durable;
mod membership;
mod proposals;
mod raft_log;
mod snapshots;
mod transport;
mod validation;
mod vote_safety;

pub use configuration::{ProposalAccepted, ProposalRejected};
pub use durable::{DurableRecord, ExclusionReason, VoterState};
pub use membership::founding_records;
pub use proposals::ProposalError;
pub use vote_safety::VOTE_DELAY_AFTER_START;

pub use crate::ids::VoterId;

use crate::ids::{LogIndex, Term, Ticket};
use crate::replicated_state::{CommandOutcome, ReplicatedState};
use configuration::Content;
use durable::PendingReady;
use gradepin_admission::{Span, Time, time_after};
use gradepin_config::change::{Commit, Revision};
use raft::{RawNode, StateRole};
use raft_log::RaftLog;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use slog::Level;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use vote_safety::VoteTrust;

const NANOS_PER_MS: u64 = 1_000_000;
/// Duration of one tick, the library's unit of time.
pub const RAFT_TICK: Span = Span(100 * NANOS_PER_MS);
/// Minimum ticks without a message of the leader before an election; the timeout drawn is 1 to 2 times this, so 1 to 2 s.
const ELECTION_TICKS: usize = 10;
/// Ticks between heartbeats of the leader: three in one minimum election timeout, so the loss of one causes no election.
const HEARTBEAT_TICKS: usize = 3;
/// Maximum missed ticks that are caught up after the process was suspended.
const MAX_LATE_TICKS: u64 = 5;
/// The identity that means no voter to the library.
const NO_VOTER: VoterId = raft::INVALID_ID;

/// An effect that the host executes for a voter.
#[derive(Debug, Clone, PartialEq)]
pub enum VoterEffect {
    /// Send a message to another voter; it may be lost.
    Send {
        /// Identity of the receiver.
        to: VoterId,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Make records durable in this order, then call [`ConsensusVoter::write_completed`] with the number.
    Write {
        /// Number of the write; increases with each write, 0 for the founding.
        number: u64,
        /// Records in order.
        records: Vec<DurableRecord>,
    },
    /// A command was applied to the replicated state.
    Applied {
        /// Index of the command's log entry.
        index: LogIndex,
        /// Voter that proposed the command.
        proposer: VoterId,
        /// Number that the proposer gave the proposal.
        number: Ticket,
        /// Outcome of the command.
        outcome: CommandOutcome,
    },
    /// A configuration change is committed. Reported in the order of revisions; some are repeated after a disk failure.
    Committed(Arc<Commit>),
    /// Make the configuration durable at this revision or a later one, then call
    /// [`ConsensusVoter::configuration_durable`]. The log isn't compacted before, up to a maximum length.
    MakeDurable(Revision),
    /// Write a line to the log.
    Log {
        /// Level of the line.
        level: Level,
        /// Text of the line.
        text: String,
    },
}

/// One voter of the consensus group, or a server that may become one.
pub struct ConsensusVoter {
    id: VoterId,
    /// The library's state machine; none before the group is founded here, and once the voter is excluded.
    node: Option<RawNode<RaftLog>>,
    state: ReplicatedState,
    /// The voter's copy of the configuration content, if it has one.
    content: Content,
    /// Ticks since the last unacknowledged snapshot was sent, by voter.
    snapshots_sent: BTreeMap<VoterId, u32>,
    /// Messages that are held until their writes are durable, in order.
    pending: VecDeque<PendingReady>,
    /// Records that needn't be durable at once and are written with the next write.
    deferred_records: Vec<DurableRecord>,
    /// Whether the voters changed since the last snapshot.
    membership_changed: bool,
    trust: VoteTrust,
    /// Why the voter is excluded: its disk lacks state that it acknowledged, or is unreadable.
    excluded: Option<ExclusionReason>,
    last_heartbeat_at: Option<Time>,
    next_tick: Time,
    /// Election timeout that was drawn last, in ticks.
    election_timeout: usize,
    rng: Pcg64Mcg,
    effects: Vec<VoterEffect>,
}

impl ConsensusVoter {
    /// Creates a voter, or a server that may become one, from the state on its disk. `seed` determines its election timeouts.
    pub fn new(stored: VoterState, seed: u64, now: Time) -> Self {
        let mut voter = Self {
            id: stored.id,
            node: None,
            state: ReplicatedState::default(),
            content: Content::default(),
            snapshots_sent: BTreeMap::new(),
            pending: VecDeque::new(),
            deferred_records: Vec::new(),
            membership_changed: false,
            trust: VoteTrust::Full,
            excluded: None,
            last_heartbeat_at: None,
            next_tick: now,
            election_timeout: 0,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stored.id),
            effects: Vec::new(),
        };
        if !stored.records.is_empty() {
            voter.load(stored.records);
            voter.trust = VoteTrust::after_start(now);
        }
        voter
    }

    /// Identity of this voter, which belongs to its disk.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// The replicated state as of the last entry applied here.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this voter belongs to a group and isn't excluded.
    pub fn is_founded(&self) -> bool {
        self.node.is_some()
    }

    /// Why this voter is excluded from the group, if it is.
    pub fn excluded(&self) -> Option<&ExclusionReason> {
        self.excluded.as_ref()
    }

    /// Whether this voter restricts its votes because its disk may be an old copy.
    pub fn restricts_votes(&self) -> bool {
        self.trust != VoteTrust::Full
    }

    /// The current term, if this voter leads.
    pub fn leader_term(&self) -> Option<Term> {
        let node = self.node.as_ref()?;
        (node.raft.state == StateRole::Leader).then_some(node.raft.term)
    }

    /// The leader, if one is known here.
    pub fn leader(&self) -> Option<VoterId> {
        self.node.as_ref().map(|node| node.raft.leader_id).filter(|id| *id != NO_VOTER)
    }

    /// Time since the last heartbeat of a leader arrived; zero on the leader itself, none if none arrived yet.
    pub fn leader_heartbeat_age(&self, now: Time) -> Option<Span> {
        if self.leader_term().is_some() {
            return Some(Span(0));
        }
        self.last_heartbeat_at.map(|at| Span(now.0.saturating_sub(at.0)))
    }

    fn other_voters(&self) -> Vec<VoterId> {
        self.state.voters.keys().copied().filter(|id| *id != self.id).collect()
    }

    /// Advances time, and appends the effects to execute.
    pub fn step(&mut self, now: Time, effects: &mut Vec<VoterEffect>) {
        self.update_trust(now);
        let late_ticks = now.0.saturating_sub(self.next_tick.0) / RAFT_TICK.0;
        if now >= self.next_tick {
            self.next_tick = time_after(now, RAFT_TICK);
            // A process that was suspended must not conclude that all other voters are silent.
            for _ in 0..=late_ticks.min(MAX_LATE_TICKS) {
                self.tick();
            }
            self.resend_snapshots();
            self.request_log_ends();
        }
        self.process_ready();
        effects.append(&mut self.effects);
    }

    /// Time at which [`ConsensusVoter::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        if self.node.is_some() { self.next_tick } else { Time(u64::MAX) }
    }

    fn tick(&mut self) {
        let may_campaign = self.trust.allows_vote_for(self.log_end().unwrap_or_default());
        // A leader always ticks, so that it steps down without a quorum. Others tick only if they may campaign.
        let node = self.node.as_mut();
        if let Some(node) = node.filter(|node| may_campaign || node.raft.state == StateRole::Leader) {
            node.tick();
        }
    }

    /// Replaces the election timeout that the library drew from the thread's generator by one from this voter's seeded
    /// generator, so that runs are reproducible.
    fn draw_election_timeout(&mut self) {
        let Some(node) = &mut self.node else { return };
        if node.raft.randomized_election_timeout() != self.election_timeout {
            self.election_timeout = ELECTION_TICKS + self.rng.next_u64() as usize % ELECTION_TICKS;
            node.raft.set_randomized_election_timeout(self.election_timeout);
        }
    }

    fn log(&mut self, level: Level, text: String) {
        self.effects.push(VoterEffect::Log { level, text });
    }
}

#[cfg(test)]
mod tests;
