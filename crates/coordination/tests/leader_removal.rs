//! A leader that an operator removes from the group: it steps down at once, whatever it has in flight, and the others elect
//! another.

mod common;

use common::{World, enrol};
use gradepin_coordination::replicated_state::CommandOutcome;

/// Entries behind the leader's own removal become durable when it is no member any more; its process must not panic.
#[test]
fn removed_leader_with_entries_in_flight_is_replaced() {
    for later in 0..30 {
        let mut world = World::new(3, 11);
        let old = world.led(6_000).expect("a leader");
        world.run(500);
        let id = world.voters[old].id;
        world.consensus(old).change_membership(id, None).expect("one change");
        // What is proposed behind it, at any moment until the removal is agreed on.
        for ms in 0..30 {
            if ms == later {
                let _ = world.propose(enrol(1));
            }
            world.run(5);
        }
        world.run(10_000);
        let new = world.leader().expect("another leads");
        assert_ne!(new, old, "proposed after {later} turns");
        let ticket = world.propose(enrol(2)).expect("it takes proposals");
        world.run(1_000);
        assert_eq!(world.outcomes.get(&ticket), Some(&CommandOutcome::Done), "proposed after {later} turns");
        assert!(!world.state(new).voters.contains_key(&id));
    }
}

/// The only voter of a group can't be removed, and continues.
#[test]
fn last_voter_cannot_be_removed() {
    for count in [1, 3] {
        let mut world = World::new(count, 5);
        for _ in 0..count + 2 {
            let leader = world.led(10_000).expect("somebody leads");
            world.run(500);
            let id = world.voters[leader].id;
            let _ = world.consensus(leader).change_membership(id, None);
            world.run(3_000);
        }
        let last = world.led(10_000).expect("the last one leads");
        let ticket = world.propose(enrol(1)).expect("it takes proposals");
        world.run(1_000);
        assert_eq!(world.outcomes.get(&ticket), Some(&CommandOutcome::Done), "of {count}");
        assert_eq!(world.state(last).voters.len(), 1, "of {count}");
    }
}
