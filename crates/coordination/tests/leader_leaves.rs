//! A leader that is taken out of the council by an operator's order: it ends at once, whatever it still has under way, and the
//! others go on without it.

mod common;

use common::{World, enrol};
use gradepin_coordination::replicated_state::CommandOutcome;

/// Guards the leader's process, and the council: entries behind its own removal become durable after it is no member any more.
#[test]
fn a_leader_that_is_taken_out_with_entries_under_way_gives_way_to_another() {
    for later in 0..30 {
        let mut world = World::new(3, 11);
        let old = world.led(6_000).expect("a leader");
        world.run(500);
        let id = world.voters[old].id;
        world.council(old).change_membership(id, None).expect("one change");
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
        assert_eq!(world.told.get(&ticket), Some(&CommandOutcome::Done), "proposed after {later} turns");
        assert!(!world.state(new).voters.contains_key(&id));
    }
}

/// Guards a council of one: its last voter can't be taken out, and goes on.
#[test]
fn the_last_voter_cannot_be_taken_out() {
    for count in [1, 3] {
        let mut world = World::new(count, 5);
        for _ in 0..count + 2 {
            let leader = world.led(10_000).expect("somebody leads");
            world.run(500);
            let id = world.voters[leader].id;
            let _ = world.council(leader).change_membership(id, None);
            world.run(3_000);
        }
        let last = world.led(10_000).expect("the last one leads");
        let ticket = world.propose(enrol(1)).expect("it takes proposals");
        world.run(1_000);
        assert_eq!(world.told.get(&ticket), Some(&CommandOutcome::Done), "of {count}");
        assert_eq!(world.state(last).voters.len(), 1, "of {count}");
    }
}
