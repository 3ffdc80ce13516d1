//! An operator removes the leader from the group: it steps down at once, whatever it has in flight, and another voter is
//! elected.

mod common;

use common::{SimulatedGroup, add_server};
use gradepin_coordination::replicated_state::CommandOutcome;

/// Guards against a panic: entries proposed after the leader's own removal become durable when the leader is no longer a
/// member.
#[test]
fn removed_leader_with_entries_in_flight_is_replaced() {
    for proposed_at in 0..30 {
        let mut group = SimulatedGroup::new(3, 11);
        let old = group.run_until_leader(6_000).expect("a leader");
        group.run(500);
        let id = group.voters[old].id;
        group.consensus(old).change_membership(id, None).expect("the removal is proposed");
        // Another entry is proposed at some step until the removal is committed.
        for step in 0..30 {
            if step == proposed_at {
                let _ = group.propose(add_server(1));
            }
            group.run(5);
        }
        group.run(10_000);
        let new = group.leader().expect("another voter leads");
        assert_ne!(new, old, "proposed after {proposed_at} steps");
        let ticket = group.propose(add_server(2)).expect("the leader accepts proposals");
        group.run(1_000);
        assert_eq!(
            group.outcomes.get(&ticket),
            Some(&CommandOutcome::Done),
            "proposed after {proposed_at} steps"
        );
        assert!(!group.state(new).voters.contains_key(&id));
    }
}

/// Voters are removed until one is left. Its removal must not take effect, and it continues to commit.
#[test]
fn last_voter_cannot_be_removed() {
    for count in [1, 3] {
        let mut group = SimulatedGroup::new(count, 5);
        for _ in 0..count + 2 {
            let leader = group.run_until_leader(10_000).expect("a voter leads");
            group.run(500);
            let id = group.voters[leader].id;
            let _ = group.consensus(leader).change_membership(id, None);
            group.run(3_000);
        }
        let last = group.run_until_leader(10_000).expect("the last voter leads");
        let ticket = group.propose(add_server(1)).expect("the leader accepts proposals");
        group.run(1_000);
        assert_eq!(group.outcomes.get(&ticket), Some(&CommandOutcome::Done), "of {count} voters");
        assert_eq!(group.state(last).voters.len(), 1, "of {count} voters");
    }
}
