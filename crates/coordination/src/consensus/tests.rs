//! Encoded bytes of log entries and of messages between voters, compared with golden files of an earlier version.

use super::proposals::Proposal;
use super::transport::VoterMessage;
use super::vote_safety::LogEnd;
use crate::golden::{assert_golden_values, golden_file, values};

#[test]
fn encodes_every_proposal_as_golden_bytes() {
    let proposal = |(label, command)| (label, Proposal { proposer: 1 << 40, number: 300, command });
    assert_golden_values(
        golden_file!("proposals.txt"),
        &values::commands().into_iter().map(proposal).collect::<Vec<_>>(),
    );
}

#[test]
fn encodes_every_message_between_voters_as_golden_bytes() {
    let end = LogEnd { term: 5, index: 300 };
    let messages = [
        ("raft", VoterMessage::Raft(vec![1, 2, 3])),
        ("where", VoterMessage::LogEndRequest(end)),
        ("here", VoterMessage::LogEndReply(end)),
    ];
    assert_golden_values(golden_file!("voters.txt"), &messages);
}
