//! The bytes of entries and of what voters say to each other, as files of an earlier version have them.

use super::*;
use crate::golden::{assert_golden_values, golden_file, values};

#[test]
fn encodes_every_proposal_as_golden_bytes() {
    let proposal = |(label, command)| (label, Proposal { by: 1 << 40, number: 300, command });
    assert_golden_values(
        golden_file!("proposals.txt"),
        &values::commands().into_iter().map(proposal).collect::<Vec<_>>(),
    );
}

#[test]
fn encodes_every_word_between_voters_as_golden_bytes() {
    let place = Place { term: 5, index: 300 };
    let said =
        [("raft", Said::Raft(vec![1, 2, 3])), ("where", Said::Where(place)), ("here", Said::Here(place))];
    assert_golden_values(golden_file!("voters.txt"), &said);
}
