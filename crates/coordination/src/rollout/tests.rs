//! Rollout commands that overtake each other, the assignment of batches, halts and rollbacks.

use super::*;
use crate::ids::Name;
use crate::replicated_state::{
    Command, CommandOutcome, DenialReason, Limits, Purpose, ReplicatedState, Target,
};
use std::sync::Arc;

fn name(text: &str) -> Name {
    Arc::from(text)
}

fn plan(version: &str) -> RolloutPlan {
    let batches = [(0.0, 100), (0.5, 100), (1.0, 100)];
    RolloutPlan {
        name: format!("to {version}"),
        kind: ReleaseKind::Program,
        version: version.into(),
        batches: batches.map(|(share, pause_ms)| Batch { share, pause_ms }).into(),
        zone_by_zone: false,
        ready_timeout_ms: 1_000,
        stabilization_ms: 100,
        tolerated_regression: 0.02,
        rolls_back: true,
    }
}

fn state() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    state.apply(1, Command::Limits(Limits { fleet: 2, zone: 1, zones: 0, services: [].into() }));
    for n in 0..9 {
        state.apply(
            2 + n,
            Command::AddServer { name: name(&format!("n{n}")), zone: name(&format!("z{}", n % 3)) },
        );
    }
    state
}

fn start(state: &mut ReplicatedState, index: u64, plan: RolloutPlan) -> CommandOutcome {
    let before = state.roster.keys().map(|name| (Arc::clone(name), "v1".to_string())).collect();
    change(
        state,
        index,
        RolloutCommand::Start { plan: Box::new(plan), operator: name("kaisa"), versions: before },
    )
}

fn change(state: &mut ReplicatedState, index: u64, command: RolloutCommand) -> CommandOutcome {
    state.apply(index, Command::Rollout(command))
}

fn record_progress(
    state: &mut ReplicatedState,
    index: u64,
    server: &str,
    progress: ServerProgress,
) -> CommandOutcome {
    let number = state.rollout.as_ref().map_or(0, |rollout| rollout.number);
    change(state, index, RolloutCommand::RecordProgress { number, server: name(server), progress })
}

fn halt(state: &mut ReplicatedState, index: u64) -> CommandOutcome {
    let (name, reason) = (plan("v2").name, "by hand".into());
    change(state, index, RolloutCommand::Halt { name, operator: Arc::from("kaisa"), reason })
}

#[test]
fn batches_follow_the_shares_and_alternate_between_zones() {
    let mut state = state();
    assert_eq!(start(&mut state, 20, plan("v2")), CommandOutcome::Done);
    let rollout = state.rollout.as_ref().unwrap();
    let names_in =
        |batch| rollout.servers.iter().filter(move |(_, server)| server.batch == batch).map(|(n, _)| &**n);
    assert_eq!(names_in(0).collect::<Vec<_>>(), ["n0"]);
    assert_eq!(names_in(1).collect::<Vec<_>>(), ["n1", "n2", "n3"]);
    assert_eq!(names_in(2).count(), 5);
    assert_eq!(rollout.servers_due(), [&name("n0")]);
}

/// A repeated start has no effect, and another rollout is denied while one is open. A resume that names an earlier halt and a
/// rollback that names another rollout are denied.
#[test]
fn overtaken_commands_are_denied() {
    let mut state = state();
    let roll_back =
        |of: &str| RolloutCommand::RollBack { name: of.into(), operator: name("liisa"), reason: "no".into() };
    assert!(matches!(change(&mut state, 19, roll_back("to v2")), CommandOutcome::Denied(_)));
    assert_eq!(start(&mut state, 20, plan("v2")), CommandOutcome::Done);
    let before = state.rollout.clone();
    assert_eq!(start(&mut state, 21, plan("v2")), CommandOutcome::Done);
    assert_eq!(state.rollout, before);
    assert!(matches!(start(&mut state, 22, plan("v3")), CommandOutcome::Denied(_)));
    assert!(matches!(change(&mut state, 23, roll_back("to v3")), CommandOutcome::Denied(_)));
    assert_eq!(halt(&mut state, 24), CommandOutcome::Done);
    assert_eq!(halt(&mut state, 25), CommandOutcome::Done, "halted already");
    let resume =
        |halts| RolloutCommand::Resume { name: "to v2".into(), halt_count: halts, operator: name("kaisa") };
    assert_eq!(change(&mut state, 26, resume(1)), CommandOutcome::Done);
    assert_eq!(halt(&mut state, 27), CommandOutcome::Done);
    // A resume for the first halt arrives after the second halt.
    assert!(matches!(change(&mut state, 28, resume(1)), CommandOutcome::Denied(_)));
    assert!(matches!(state.rollout.as_ref().unwrap().state, RolloutState::Halted(_)));
    assert_eq!(change(&mut state, 29, roll_back("to v2")), CommandOutcome::Done);
    assert!(
        matches!(change(&mut state, 30, resume(2)), CommandOutcome::Denied(_)),
        "the rollback has started"
    );
}

/// Guards against a batch that starts before the last one is complete, and against progress that was observed before the
/// rollback but is recorded during it.
#[test]
fn batches_start_in_order_and_roll_back_in_reverse() {
    let mut state = state();
    start(&mut state, 20, plan("v2"));
    let start_batch = |batch| RolloutCommand::StartBatch { number: 20, batch };
    assert!(matches!(change(&mut state, 21, start_batch(1)), CommandOutcome::Denied(_)));
    record_progress(&mut state, 22, "n0", ServerProgress::Updated);
    assert!(
        matches!(change(&mut state, 23, start_batch(2)), CommandOutcome::Denied(_)),
        "batch 1 is skipped"
    );
    assert_eq!(change(&mut state, 24, start_batch(1)), CommandOutcome::Done);
    record_progress(&mut state, 25, "n2", ServerProgress::Updated);
    record_progress(&mut state, 26, "n1", ServerProgress::Failed("it doesn't start".into()));
    record_progress(&mut state, 27, "n3", ServerProgress::Updating);
    let (operator, reason) = (name("the council"), "n1 failed".to_string());
    change(&mut state, 28, RolloutCommand::RollBack { name: "to v2".into(), operator, reason });
    let rollout = state.rollout.as_ref().unwrap();
    assert_eq!(rollout.servers_due(), ["n1", "n2", "n3", "n0"].map(name).iter().collect::<Vec<_>>());
    assert_eq!(rollout.target_version(&rollout.servers["n2"]), "v1");
    assert!(matches!(
        record_progress(&mut state, 29, "n3", ServerProgress::Updated),
        CommandOutcome::Denied(_)
    ));
    let finish = RolloutCommand::Finish { number: 20 };
    for (at, server) in ["n0", "n1", "n2"].into_iter().enumerate() {
        record_progress(&mut state, 30 + at as u64, server, ServerProgress::RolledBack);
        assert!(matches!(change(&mut state, 40, finish.clone()), CommandOutcome::Denied(_)));
    }
    record_progress(&mut state, 41, "n3", ServerProgress::RolledBack);
    assert_eq!(change(&mut state, 42, finish), CommandOutcome::Done);
    assert!(matches!(state.rollout.as_ref().unwrap().state, RolloutState::RolledBack(_)));
    let again = start(&mut state, 43, plan("v2"));
    assert!(
        matches!(&again, CommandOutcome::Denied(reason) if reason.to_string().ends_with("another name")),
        "{again:?}"
    );
    assert_eq!(start(&mut state, 44, plan("v3")), CommandOutcome::Done, "the next rollout may start");
}

/// While the rollout is halted, no step is reserved and a reserved step doesn't begin. Drains for operators are still granted.
#[test]
fn halted_rollout_takes_no_step() {
    let mut state = state();
    start(&mut state, 20, plan("v2"));
    let reserve = |server: &str| Command::Reserve {
        target: Target::Server(name(server)),
        holder: name(server),
        incarnation: 1,
        purpose: Purpose::Rollout(20),
    };
    assert!(matches!(state.apply(21, reserve("n0")), CommandOutcome::Permit { epoch: 21, .. }));
    halt(&mut state, 22);
    assert!(matches!(state.apply(23, reserve("n1")), CommandOutcome::Denied(DenialReason::Rollout(_))));
    let begin = Command::Begin { epoch: 21, holder: name("n0"), incarnation: 1 };
    assert!(matches!(state.apply(24, begin), CommandOutcome::Denied(DenialReason::Rollout(_))));
    // A drain for an operator isn't affected by the halt, and counts against the same limits.
    let drain = |server: &str| Command::Reserve {
        target: Target::Server(name(server)),
        holder: name(server),
        incarnation: 1,
        purpose: Purpose::Drain,
    };
    assert!(matches!(state.apply(25, drain("n1")), CommandOutcome::Permit { epoch: 25, .. }));
    assert!(matches!(state.apply(26, drain("n2")), CommandOutcome::Denied(DenialReason::Fleet { .. })));
}

#[test]
fn rejects_invalid_plans_with_the_reason() {
    type PlanEdit = fn(&mut RolloutPlan);
    let invalid: [(PlanEdit, &str); 5] = [
        (|plan| plan.batches.clear(), "expected 1 to 32 waves, got 0"),
        (
            |plan| plan.batches[1].share = 2.0,
            "expected shares from 0 to 1 in ascending order, got [0.0, 2.0, 1.0]",
        ),
        (|plan| plan.batches.truncate(2), "expected the last wave to have a share of 1"),
        (|plan| plan.name.clear(), "expected a name and a version of 1 to 200 bytes"),
        (|plan| plan.tolerated_regression = f64::NAN, "expected worse from 0 to 1, got NaN"),
    ];
    for (edit, expected) in invalid {
        let mut plan = plan("v2");
        edit(&mut plan);
        assert_eq!(plan.check().map_err(|error| error.to_string()), Err(expected.to_string()));
        assert!(matches!(start(&mut state(), 20, plan), CommandOutcome::Denied(_)));
    }
}
