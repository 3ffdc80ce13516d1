//! One voter of the consensus group: the `raft` library's state machine, what must be durable before a message leaves, and
//! when the voter may vote.
//!
//! Input: messages of voters, proposals, completed writes and time. Output: [`VoterEffect`]s, to be executed in order: nothing
//! behind a [`VoterEffect::Write`] depends on it; messages that do are held until [`ConsensusVoter::write_completed`].
//! Invariants: a vote, a term or an entry is durable before a message that promises it leaves; a voter whose disk may be an old
//! copy gives no vote that it may have given before.
//!
//! A voter is a disk: its identity is created with the directory of its files. Not here: what the group agrees on
//! ([`crate::replicated_state`]), and the files (`gradepin-store`).

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
pub use membership::founding;
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
/// The library's unit of time.
pub const RAFT_TICK: Span = Span(100 * NANOS_PER_MS);
/// A leader from which nothing is received for 1 to 2 s is replaced; it sends three heartbeats in one.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 3;
/// Ticks made up for after the process was stopped.
const MAX_LATE_TICKS: u64 = 5;
/// The identity that the library uses for no voter.
const NO_VOTER: VoterId = raft::INVALID_ID;

/// What a voter wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum VoterEffect {
    /// Send a message to a voter; it may be lost.
    Send {
        /// The voter.
        to: VoterId,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Make records durable in this order, then call [`ConsensusVoter::write_completed`] with the number.
    Write {
        /// Greater with each write; 0 for the founding.
        number: u64,
        /// The records.
        records: Vec<DurableRecord>,
    },
    /// A command was applied.
    Applied {
        /// The index of its entry.
        index: LogIndex,
        /// The voter that proposed it.
        proposer: VoterId,
        /// The proposer's number of it.
        number: Ticket,
        /// Its outcome.
        outcome: CommandOutcome,
    },
    /// A change of the configuration is committed. In the order of revisions; some are repeated after a disk failure.
    Committed(Arc<Commit>),
    /// Make the configuration durable at this revision or a later one, then call
    /// [`ConsensusVoter::configuration_durable`]; the log isn't compacted before.
    MakeDurable(Revision),
    /// Write a line to the log.
    Log {
        /// Its level.
        level: Level,
        /// Its text.
        text: String,
    },
}

/// One voter.
pub struct ConsensusVoter {
    id: VoterId,
    /// None before the group is founded here, and once the voter is excluded.
    node: Option<RawNode<RaftLog>>,
    state: ReplicatedState,
    /// The configuration's content, as far as it is here.
    content: Content,
    /// Ticks since a snapshot was sent that isn't acknowledged, by voter.
    snapshots_sent: BTreeMap<VoterId, u32>,
    /// Messages that wait for a write, in order.
    pending: VecDeque<PendingReady>,
    /// Records that needn't be durable at once: they go with the next write.
    deferred_records: Vec<DurableRecord>,
    /// Whether the voters changed since the last snapshot.
    membership_changed: bool,
    trust: VoteTrust,
    /// Why it takes no part any more: it lacks what it once acknowledged.
    excluded: Option<ExclusionReason>,
    last_heartbeat_at: Option<Time>,
    next_tick: Time,
    /// The election timeout that was drawn last, in ticks.
    election_timeout: usize,
    rng: Pcg64Mcg,
    effects: Vec<VoterEffect>,
}

impl ConsensusVoter {
    /// A voter, or a server that may become one, with what its disk holds.
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

    /// This voter's identity.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// The replicated state, as far as it is known here.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this voter belongs to a group.
    pub fn is_founded(&self) -> bool {
        self.node.is_some()
    }

    /// Why this voter takes no part any more.
    pub fn excluded(&self) -> Option<&ExclusionReason> {
        self.excluded.as_ref()
    }

    /// Whether it restricts its votes because its disk may be an old copy.
    pub fn restricts_votes(&self) -> bool {
        self.trust != VoteTrust::Full
    }

    /// The leader's term, if this voter leads.
    pub fn leader_term(&self) -> Option<Term> {
        let node = self.node.as_ref()?;
        (node.raft.state == StateRole::Leader).then_some(node.raft.term)
    }

    /// The leader, as far as it is known here.
    pub fn leader(&self) -> Option<VoterId> {
        self.node.as_ref().map(|node| node.raft.leader_id).filter(|id| *id != NO_VOTER)
    }

    /// How long ago the leader sent a heartbeat; zero on the leader itself.
    pub fn leader_heartbeat_age(&self, now: Time) -> Option<Span> {
        if self.leader_term().is_some() {
            return Some(Span(0));
        }
        self.last_heartbeat_at.map(|at| Span(now.0.saturating_sub(at.0)))
    }

    fn other_voters(&self) -> Vec<VoterId> {
        self.state.voters.keys().copied().filter(|id| *id != self.id).collect()
    }

    /// Advances time, and appends what is to be done.
    pub fn step(&mut self, now: Time, effects: &mut Vec<VoterEffect>) {
        self.update_trust(now);
        let late_ticks = now.0.saturating_sub(self.next_tick.0) / RAFT_TICK.0;
        if now >= self.next_tick {
            self.next_tick = time_after(now, RAFT_TICK);
            // A process that was stopped must not conclude that all others are silent.
            for _ in 0..=late_ticks.min(MAX_LATE_TICKS) {
                self.tick();
            }
            self.resend_snapshots();
            self.request_log_ends();
        }
        self.process_ready();
        effects.append(&mut self.effects);
    }

    /// When [`ConsensusVoter::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        if self.node.is_some() { self.next_tick } else { Time(u64::MAX) }
    }

    fn tick(&mut self) {
        let may_campaign = self.trust.allows_vote_for(self.log_end().unwrap_or_default());
        // A leader's time always passes, so that it steps down; that of others only where they may ask for votes.
        let node = self.node.as_mut();
        if let Some(node) = node.filter(|node| may_campaign || node.raft.state == StateRole::Leader) {
            node.tick();
        }
    }

    /// Draws the election timeout: the library draws from the thread's generator, here a seed gives the same run again.
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
