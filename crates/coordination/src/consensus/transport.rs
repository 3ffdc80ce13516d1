//! Messages between voters: those of the library, and queries for the end of a voter's log. The order of variants is the wire
//! format.

use super::raft_log::RaftLog;
use super::vote_safety::{LogEnd, VoteTrust};
use super::{ConsensusVoter, ExclusionReason, VoterEffect, VoterId, validation};
use gradepin_admission::Time;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};

/// A message between voters.
#[derive(Serialize, Deserialize)]
pub(super) enum VoterMessage {
    /// A message of the library, in its own encoding.
    Raft(Vec<u8>),
    /// Asks for the end of the receiver's log, and has the end of the sender's.
    LogEndRequest(LogEnd),
    /// Has the end of the sender's log.
    LogEndReply(LogEnd),
}

impl ConsensusVoter {
    /// Handles a message of a voter. Messages that can't be decoded, or that no voter sends, are dropped.
    pub fn receive(&mut self, now: Time, from: VoterId, bytes: &[u8]) {
        if self.excluded.is_some() {
            return;
        }
        match postcard::from_bytes(bytes) {
            Ok(VoterMessage::Raft(bytes)) => {
                if let Ok(message) = Message::parse_from_bytes(&bytes)
                    && (message.from, message.to) == (from, self.id)
                {
                    self.receive_raft(now, message);
                }
            }
            Ok(VoterMessage::LogEndRequest(end)) => {
                self.record_log_end(from, end);
                if let Some(own_end) = self.log_end() {
                    self.send_message(from, &VoterMessage::LogEndReply(own_end));
                }
            }
            Ok(VoterMessage::LogEndReply(end)) => self.record_log_end(from, end),
            Err(_) => {}
        }
    }

    fn receive_raft(&mut self, now: Time, message: Message) {
        let kind = message.get_msg_type();
        if self.node.is_none() {
            // A server that was added as a voter learns of the group from the leader's messages.
            let is_from_leader =
                matches!(kind, MessageType::MsgHeartbeat | MessageType::MsgAppend | MessageType::MsgSnapshot);
            if !is_from_leader {
                return;
            }
            self.start_node(RaftLog::default());
        }
        let Some(node) = &mut self.node else { return };
        if !validation::is_valid(&node.raft, &message) || !self.trust.allows(&message) {
            return;
        }
        if kind == MessageType::MsgHeartbeat && message.term >= node.raft.term {
            let last = node.raft.raft_log.last_index();
            if message.commit > last {
                // The leader relies on an entry that this voter acknowledged and has lost.
                return self.exclude(ExclusionReason::ForgottenEntry { acknowledged: message.commit, last });
            }
            self.trust = VoteTrust::Full;
            self.last_heartbeat_at = Some(now);
        }
        // The library itself rejects stale messages.
        let _ = node.step(message);
    }

    /// Asks the other voters for the ends of their logs, until this voter trusts its disk again.
    pub(super) fn request_log_ends(&mut self) {
        if self.trust == VoteTrust::Full {
            return;
        }
        let Some(end) = self.log_end() else { return };
        for id in self.other_voters() {
            self.send_message(id, &VoterMessage::LogEndRequest(end));
        }
    }

    /// Sends messages of the library to the voters that they name.
    pub(super) fn send_raft(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                self.send_message(message.to, &VoterMessage::Raft(bytes));
            }
        }
    }

    /// Encodes a message and sends it to a voter.
    pub(super) fn send_message(&mut self, to: VoterId, message: &VoterMessage) {
        if let Ok(message) = postcard::to_stdvec(message) {
            self.effects.push(VoterEffect::Send { to, message });
        }
    }
}
