//! Golden test of the JSON of `GET /fleet/status`, which `gradepin fleet` of other versions and operators' scripts
//! read.

use super::*;
use gradepin_coordination::permit_client::WaitingRequest;
use gradepin_coordination::replicated_state::{Member, Name, OperatorAction, Permit, ReplicatedState};
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutPlan, RolloutServer, RolloutState};
use std::sync::Arc;

fn name(text: &str) -> Name {
    Arc::from(text)
}

fn steps() -> Vec<ServerProgress> {
    vec![
        ServerProgress::Pending,
        ServerProgress::Updating,
        ServerProgress::Updated,
        ServerProgress::Failed("f".into()),
        ServerProgress::RollingBack,
        ServerProgress::RolledBack,
        ServerProgress::RollbackFailed("s".into()),
    ]
}

fn replicated_state(state: RolloutState) -> ReplicatedState {
    let permit = |target, purpose, stage| Permit {
        target,
        holder: name("n1"),
        purpose,
        stage,
        begin_grants: 1,
        incarnation: 70_000,
    };
    let service = Target::Service { service: name("ledger"), member: name("m1") };
    let plan = RolloutPlan {
        name: "r-1".into(),
        kind: ReleaseKind::Program,
        version: "v2".into(),
        batches: vec![Batch { share: 1.0, pause_ms: 1_000 }],
        zone_by_zone: true,
        ready_timeout_ms: 30_000,
        stabilization_ms: 5_000,
        tolerated_regression: 0.125,
        rolls_back: true,
    };
    let server = |(at, progress): (usize, ServerProgress)| {
        (name(&format!("n{at}")), RolloutServer { batch: 0, previous_version: "v1".into(), progress })
    };
    let servers = steps().into_iter().enumerate().map(server).collect();
    let operator = name("kaisa");
    let rollout =
        Rollout { number: 300, plan, operator: operator.clone(), state, batch: 0, halt_count: 2, servers };
    let member = |at: usize| (name(&format!("n{at}")), Member { zone: name("z1") });
    ReplicatedState {
        index: 313,
        voters: [(7, name("n0")), (8, name("n1"))].into(),
        limits: Limits { fleet: 3, zone: 2, zones: 1, services: [(name("ledger"), 4)].into() },
        roster: (0..8).map(member).collect(),
        permits: [
            (3, permit(Target::Server(name("n1")), Purpose::Drain, PermitStage::Reserved)),
            (4, permit(Target::Zone(name("z1")), Purpose::Rollout(300), PermitStage::Begun)),
            (5, permit(service, Purpose::Drain, PermitStage::Released)),
        ]
        .into(),
        operator_actions: [OperatorAction {
            index: 9,
            operator,
            action: "what".into(),
            reason: "why".into(),
        }]
        .into(),
        rollout: Some(rollout),
        ..ReplicatedState::default()
    }
}

fn status(known_state: Option<(ReplicatedState, f64)>, voter: bool) -> AgentStatus {
    AgentStatus {
        known_state: known_state.map(|(state, age_s)| KnownState { state, age_s }),
        leader: Some(name("n0")),
        is_voter: voter,
        exclusion: Some("lost".into()),
        restricts_votes: true,
        waiting_request: Some(WaitingRequest { waiting_s: 1.5, reason: "w".into() }),
        not_ready: vec![name("n2")],
        versions: [(name("n0"), RunningVersions { program: "v1".into(), settings: "s1".into() })].into(),
    }
}

#[test]
fn shows_the_fleet_as_golden_json() {
    let states = [
        RolloutState::Running,
        RolloutState::Halted("h".into()),
        RolloutState::RollingBack("g".into()),
        RolloutState::Done,
        RolloutState::RolledBack("u".into()),
    ];
    let mut shown: Vec<Value> = states
        .into_iter()
        .map(|state| status_json(&status(Some((replicated_state(state), 0.25)), true)))
        .collect();
    shown.push(status_json(&status(Some((replicated_state(RolloutState::Done), f64::INFINITY)), false)));
    shown.push(status_json(&AgentStatus::default()));
    let text: String = shown.iter().map(|value| format!("{value}\n")).collect();
    let golden = include_str!("../../../tests/golden/fleet-status.jsonl");
    for (actual, expected) in text.lines().zip(golden.lines()) {
        assert_eq!(actual, expected, "actual, expected");
    }
    assert_eq!(text, golden);
}
