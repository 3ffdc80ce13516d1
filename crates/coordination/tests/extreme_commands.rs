//! Operator commands with extreme numbers and texts: voters continue to commit.

#[path = "common/mod.rs"]
mod common;
#[path = "common/fleet.rs"]
mod fleet;

use common::{SimulatedGroup, add_server, name};
use fleet::{ALL_VOTERS, Fleet, SECOND};
use gradepin_admission::Span;
use gradepin_coordination::consensus::ProposalError;
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::replicated_state::{Command, CommandOutcome};
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutPlan};
use gradepin_coordination::server_agent::CommandStatus;
use std::sync::Arc;

/// Maximum bytes of a message between servers, as in `gradepin_cluster::fragments::MAX_MESSAGE_BYTES`.
const MAX_MESSAGE_BYTES: usize = 259_000;

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

/// Guards against an overflow by times that don't fit their type in nanoseconds. Such a plan is in the replicated state, so it
/// would stop each leader in turn.
#[test]
fn plan_with_unrepresentable_times_stops_no_leader() {
    for (pause_ms, ready_timeout_ms, stabilization_ms) in [
        (u64::MAX, 1_000, 100),
        (0, u64::MAX, 100),
        (0, 1_000, u64::MAX),
        (u64::MAX / 1_000_000 + 1, 1_000, 100),
    ] {
        let mut fleet = Fleet::new(&[ALL_VOTERS; 3]);
        fleet.run(SECOND);
        fleet.found(0).expect("all voters report");
        fleet.run(Span(8 * SECOND.0));
        let start = OperatorCommand::StartRollout {
            plan: Box::new(plan(pause_ms, ready_timeout_ms, stabilization_ms)),
            operator: "ada".into(),
        };
        let now = fleet.now;
        fleet.agents[1].submit(now, 1, start).expect("the command is accepted");
        fleet.run(Span(20 * SECOND.0));
        assert_eq!(
            fleet.agents[1].command_status(1),
            CommandStatus::Finished(Ok("done".into())),
            "{pause_ms} {ready_timeout_ms} {stabilization_ms}"
        );
        let updated = fleet.programs.iter().filter(|program| *program == "v2").count();
        let expected = if pause_ms == 0 && stabilization_ms == 100 { 3 } else { 1 };
        assert_eq!(updated, expected, "{pause_ms} {ready_timeout_ms} {stabilization_ms}");
    }
}

/// Guards against an entry that fits into no message: no other voter could acknowledge it, so it would block all later entries.
#[test]
fn rejects_a_command_too_long_to_be_sent() {
    let mut group = SimulatedGroup::new(3, 6);
    group.max_message_bytes = MAX_MESSAGE_BYTES;
    group.run_until_leader(6_000).expect("a leader");
    group.run(500);
    let remove_server = |bytes: usize| {
        let why = "x".repeat(bytes);
        Command::RemoveServer { name: name(7), operator: Arc::from("ada"), reason: why }
    };
    let leader = group.leader().expect("a leader");
    for bytes in [200_000, 260_000, 1 << 20] {
        assert_eq!(
            group.consensus(leader).propose(900, remove_server(bytes)),
            Err(ProposalError::TooLong),
            "{bytes} bytes"
        );
    }
    for (n, bytes) in [10_000, 100_000, 199_000].into_iter().enumerate() {
        let ticket = group.propose(remove_server(bytes)).expect("the proposal is accepted");
        group.run(1_000);
        assert!(group.outcomes.contains_key(&ticket), "{bytes} bytes");
        let ticket = group.propose(add_server(n)).expect("the proposal is accepted");
        group.run(1_000);
        assert_eq!(
            group.outcomes.get(&ticket),
            Some(&CommandOutcome::Done),
            "after a command of {bytes} bytes"
        );
    }
}
