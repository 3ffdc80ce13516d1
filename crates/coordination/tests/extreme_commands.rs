//! Operator commands with extreme numbers and texts: the voters continue to commit.

#[path = "common/mod.rs"]
mod common;
#[path = "common/fleet.rs"]
mod fleet;

use common::{World, enrol, name};
use fleet::{ALL, Fleet, SECOND};
use gradepin_admission::Span;
use gradepin_coordination::consensus::ProposalError;
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::replicated_state::{Command, CommandOutcome};
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutPlan};
use gradepin_coordination::server_agent::CommandStatus;
use std::sync::Arc;

/// What one message between servers may hold (`gradepin_cluster::fragments::MAX_MESSAGE_BYTES`).
const LONGEST_MESSAGE: usize = 259_000;

fn plan(pause_ms: u64, ready_timeout_ms: u64, stabilization_ms: u64) -> RolloutPlan {
    let batches = [0.0, 1.0].map(|share| Batch { share, pause_ms }).into();
    RolloutPlan {
        name: "odd".into(),
        kind: ReleaseKind::Program,
        version: "v2".into(),
        batches,
        zone_by_zone: false,
        ready_timeout_ms,
        stabilization_ms,
        tolerated_regression: 0.1,
        rolls_back: true,
    }
}

/// A plan with times that don't fit their type in nanoseconds: it is in the replicated state, so that the next leader reads it
/// too.
#[test]
fn plan_with_unrepresentable_times_stops_no_leader() {
    for (pause_ms, ready_ms, steady_ms) in [
        (u64::MAX, 1_000, 100),
        (0, u64::MAX, 100),
        (0, 1_000, u64::MAX),
        (u64::MAX / 1_000_000 + 1, 1_000, 100),
    ] {
        let mut fleet = Fleet::new(&[ALL; 3]);
        fleet.run(SECOND);
        fleet.found(0).expect("all are heard");
        fleet.run(Span(8 * SECOND.0));
        let start = OperatorCommand::StartRollout {
            plan: Box::new(plan(pause_ms, ready_ms, steady_ms)),
            operator: "ada".into(),
        };
        let now = fleet.now;
        fleet.agents[1].submit(now, 1, start).expect("there is room");
        fleet.run(Span(20 * SECOND.0));
        assert_eq!(
            fleet.agents[1].command_status(1),
            CommandStatus::Finished(Ok("done".into())),
            "{pause_ms} {ready_ms} {steady_ms}"
        );
        let changed = fleet.programs.iter().filter(|program| *program == "v2").count();
        let all = if pause_ms == 0 && steady_ms == 100 { 3 } else { 1 };
        assert_eq!(changed, all, "{pause_ms} {ready_ms} {steady_ms}");
    }
}

/// An entry that no message can carry could be acknowledged by no other voter, and would block all entries behind it.
#[test]
fn rejects_a_command_too_long_to_be_sent() {
    let mut world = World::new(3, 6);
    world.longest = LONGEST_MESSAGE;
    world.led(6_000).expect("a leader");
    world.run(500);
    let strike = |bytes: usize| {
        let why = "x".repeat(bytes);
        Command::RemoveServer { name: name(7), operator: Arc::from("ada"), reason: why }
    };
    let leader = world.leader().expect("it leads");
    for bytes in [200_000, 260_000, 1 << 20] {
        assert_eq!(
            world.consensus(leader).propose(900, strike(bytes)),
            Err(ProposalError::TooLong),
            "{bytes} bytes"
        );
    }
    for (n, bytes) in [10_000, 100_000, 199_000].into_iter().enumerate() {
        let ticket = world.propose(strike(bytes)).expect("it is taken");
        world.run(1_000);
        assert!(world.outcomes.contains_key(&ticket), "{bytes} bytes");
        let ticket = world.propose(enrol(n)).expect("it is taken");
        world.run(1_000);
        assert_eq!(world.outcomes.get(&ticket), Some(&CommandOutcome::Done), "behind {bytes} bytes");
    }
}
