//! When a voter may vote after a restart. Its disk may be an old copy, which forgot votes and entries that it acknowledged.
//!
//! A voter that starts neither votes nor campaigns until it knows where the logs of all others end, or until
//! [`VOTE_DELAY_AFTER_START`] has passed. After that it votes only for logs that reach the furthest known end, until a leader's
//! heartbeat shows that nothing is missing. The argument is in `docs/design/releases.md`.

use super::{ConsensusVoter, NANOS_PER_MS, VoterId};
use crate::ids::{LogIndex, Term};
use gradepin_admission::{Span, Time, time_after};
use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a voter that starts waits before it votes: longer than a leader takes to send a heartbeat, or the others to elect
/// one.
pub const VOTE_DELAY_AFTER_START: Span = Span(3_000 * NANOS_PER_MS);

/// Where a log ends. Ordered by term, then by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub(super) struct LogEnd {
    /// The term of the last entry.
    pub term: Term,
    /// The index of the last entry.
    pub index: LogIndex,
}

/// How far a voter relies on its own disk for votes.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum VoteTrust {
    /// It votes as Raft says: since its start a leader's heartbeat showed that nothing is missing.
    Full,
    /// It neither votes nor campaigns, until the time or until all others have replied.
    Silent {
        /// The end of the delay.
        until: Time,
        /// Where the logs of others end.
        log_ends: BTreeMap<VoterId, LogEnd>,
    },
    /// It votes and campaigns only for logs that reach this end.
    Bounded {
        /// The furthest end that it knows of.
        furthest: LogEnd,
    },
}

impl VoteTrust {
    /// The trust of a voter that starts with a disk that isn't empty.
    pub(super) fn after_start(now: Time) -> Self {
        Self::Silent { until: time_after(now, VOTE_DELAY_AFTER_START), log_ends: BTreeMap::new() }
    }

    /// Whether a candidate whose log ends there may get a vote.
    pub(super) fn allows_vote_for(&self, candidate: LogEnd) -> bool {
        match self {
            Self::Full => true,
            Self::Silent { .. } => false,
            Self::Bounded { furthest } => candidate >= *furthest,
        }
    }

    /// Whether a message may be passed to the library: one that asks for a vote only where that may be given.
    pub(super) fn allows(&self, message: &Message) -> bool {
        let asks_for_vote = matches!(
            message.get_msg_type(),
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote | MessageType::MsgTimeoutNow
        );
        let candidate = LogEnd { term: message.log_term, index: message.index };
        !asks_for_vote || self.allows_vote_for(candidate)
    }
}

impl ConsensusVoter {
    /// Where this voter's log ends.
    pub(super) fn log_end(&self) -> Option<LogEnd> {
        let log = &self.node.as_ref()?.raft.raft_log;
        Some(LogEnd { term: log.last_term(), index: log.last_index() })
    }

    /// Records where another voter's log ends.
    pub(super) fn record_log_end(&mut self, from: VoterId, end: LogEnd) {
        if !self.state.voters.contains_key(&from) {
            return;
        }
        match &mut self.trust {
            VoteTrust::Full => {}
            VoteTrust::Silent { log_ends, .. } => {
                log_ends.insert(from, end);
            }
            VoteTrust::Bounded { furthest } => *furthest = end.max(*furthest),
        }
    }

    /// Ends the silence once all others have replied, or with its time.
    pub(super) fn update_trust(&mut self, now: Time) {
        let VoteTrust::Silent { until, log_ends } = &self.trust else { return };
        let all_replied = self.other_voters().iter().all(|id| log_ends.contains_key(id));
        if now >= *until || all_replied {
            let furthest_other = log_ends.values().copied().max().unwrap_or_default();
            let furthest = furthest_other.max(self.log_end().unwrap_or_default());
            self.trust = VoteTrust::Bounded { furthest };
        }
    }
}
