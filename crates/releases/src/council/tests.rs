//! The bytes of entries and of what voters say to each other, as files of an earlier version have them.

use super::*;

#[path = "../../tests/golden/mod.rs"]
mod golden;
#[path = "../../tests/golden/values.rs"]
mod values;

#[test]
fn encodes_every_proposal_as_golden_bytes() {
    let proposal = |(label, command)| (label, Proposal { by: 1 << 40, number: 300, command });
    golden::assert_golden_values(
        "proposals.txt",
        &values::commands().into_iter().map(proposal).collect::<Vec<_>>(),
    );
}

#[test]
fn encodes_every_word_between_voters_as_golden_bytes() {
    let place = Place { term: 5, index: 300 };
    let said =
        [("raft", Said::Raft(vec![1, 2, 3])), ("where", Said::Where(place)), ("here", Said::Here(place))];
    golden::assert_golden_values("voters.txt", &said);
}
