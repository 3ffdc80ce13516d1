//! Restricts the votes of a voter after a restart, because its disk may be an old copy that lacks votes and entries which the
//! voter had acknowledged.
//!
//! A voter that starts neither votes nor campaigns until it knows the ends of all other voters' logs, or until
//! [`VOTE_DELAY_AFTER_START`] has passed. After that it votes only for candidates whose logs reach the furthest known end,
//! until a leader's heartbeat shows that its log lacks nothing. The argument is in `docs/design/releases.md`.

use super::{ConsensusVoter, NANOS_PER_MS, VoterId};
use crate::ids::{LogIndex, Term};
use gradepin_admission::{Span, Time, time_after};
use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time for which a starting voter doesn't vote: longer than a leader takes to send a heartbeat, or the other voters to elect a
/// leader.
pub const VOTE_DELAY_AFTER_START: Span = Span(3_000 * NANOS_PER_MS);

/// The end of a log. Ordered by term, then by index, as Raft compares logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub(super) struct LogEnd {
    /// Term of the last entry.
    pub term: Term,
    /// Index of the last entry.
    pub index: LogIndex,
}

/// How far a voter trusts its own disk when it votes.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum VoteTrust {
    /// Votes as Raft specifies: a leader's heartbeat since the start showed that the log lacks nothing.
    Full,
    /// Neither votes nor campaigns, until the delay ends or all other voters have replied.
    Silent {
        /// End of the delay.
        until: Time,
        /// Known ends of the other voters' logs.
        log_ends: BTreeMap<VoterId, LogEnd>,
    },
    /// Votes and campaigns only for logs that reach the furthest known end.
    Bounded {
        /// Furthest known end of any voter's log, this one's included.
        furthest: LogEnd,
    },
}

impl VoteTrust {
    /// Trust of a voter that starts with records on its disk.
    pub(super) fn after_start(now: Time) -> Self {
        Self::Silent { until: time_after(now, VOTE_DELAY_AFTER_START), log_ends: BTreeMap::new() }
    }

    /// Whether a candidate with this end of its log may get a vote.
    pub(super) fn allows_vote_for(&self, candidate: LogEnd) -> bool {
        match self {
            Self::Full => true,
            Self::Silent { .. } => false,
            Self::Bounded { furthest } => candidate >= *furthest,
        }
    }

    /// Whether a message may be passed to the library. Requests for a vote, and requests to campaign, may only if the vote is
    /// allowed.
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
    /// Returns the end of this voter's log; none before the group is founded here.
    pub(super) fn log_end(&self) -> Option<LogEnd> {
        let log = &self.node.as_ref()?.raft.raft_log;
        Some(LogEnd { term: log.last_term(), index: log.last_index() })
    }

    /// Records the end of another voter's log.
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

    /// Ends the silence once all other voters have replied, or when the delay ends.
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
