//! Values of each type that is stored or sent. Fields have different content, so that the golden files reveal swapped fields.
use gradepin_admission::{ClassProfile, Idempotency, Span, Tenant};
use gradepin_config::change::{Change, ClassDefinition, Commit, Proposal, Revision, Rule, Transaction};
use gradepin_config::digest::{Digest, Version};
use gradepin_config::validation::Invalid;
use gradepin_coordination::configuration_log::{
    ConfigurationEntry, ConfigurationRejected, ConfigurationRequest,
};
use gradepin_coordination::consensus::DurableRecord;
use gradepin_coordination::messages::{
    FailedStep, OperatorCommand, OperatorCommandReply, PermitAction, PermitReply, PermitRequest,
    ServerReport, StepAssignment,
};
use gradepin_coordination::proposal_client::VoterReply;
use gradepin_coordination::regression::ServiceTotal;
use gradepin_coordination::replicated_state::{
    Command, DenialReason, Limits, Member, Name, OperatorAction, Permit, PermitEnd, PermitStage, Purpose,
    ReplicatedState, Target,
};
use gradepin_coordination::rollout::{
    Batch, ReleaseKind, Rollout, RolloutCommand, RolloutPlan, RolloutServer, RolloutState, ServerProgress,
};
use std::sync::Arc;

pub fn name(text: &str) -> Name {
    Arc::from(text)
}

fn class(name: &str, effect: Idempotency) -> Change {
    let profile = ClassProfile {
        name: name.into(),
        latency_objective: Span(100),
        deadline: Span(200),
        effect,
        late_value: 0.25,
        window: Span(300),
        priority_weight: 1.5,
        objective_stretch: 0.75,
    };
    Change::PutClass(Arc::new(ClassDefinition { profile, calls: true, skip_weight: 0.125 }))
}

/// A transaction with every kind of change, rule and idempotency.
pub fn transaction() -> Transaction {
    let tenant = Tenant { name: "osm".into(), quota_rps: 10.5, portion: 0.2 };
    let changes = vec![
        class("c1", Idempotency::Idempotent),
        class("c2", Idempotency::Keyed),
        class("c3", Idempotency::NonIdempotent),
        Change::RemoveClass(name("old")),
        Change::PutTenant(Arc::new(tenant)),
        Change::RemoveTenant(name("gone")),
        Change::PutRule(Rule::AnswerSlack(Span(1))),
        Change::PutRule(Rule::Cold(Span(2))),
        Change::PutRule(Rule::ColdShare(0.5)),
        Change::PutRule(Rule::DrainGrace(Span(3))),
        Change::PutRule(Rule::Fall(Span(4))),
        Change::PutRule(Rule::TipMultiple(4.5)),
        Change::PutRule(Rule::OverShareWorth(0.0625)),
    ];
    Transaction { changes }
}

pub fn commit(revision: u64) -> Commit {
    Commit {
        revision: Revision(revision),
        author: name("ada"),
        reason: name("more"),
        request_id: format!("r{revision}").into(),
        proposed_at_ms: 1_700_000_000_000 + revision,
        transaction: transaction(),
    }
}

fn version(revision: u64) -> Version {
    Version { revision: Revision(revision), digest: Digest((1 << 100) + u128::from(revision)) }
}

pub fn configuration_entry(revision: u64) -> ConfigurationEntry {
    ConfigurationEntry {
        base: version(revision - 1),
        result: version(revision),
        seen: Revision(revision - 1),
        history: 2,
        commit: Arc::new(commit(revision)),
    }
}

pub fn configuration_command(revision: u64) -> Command {
    Command::Configuration(Box::new(configuration_entry(revision)))
}

pub fn configuration_request() -> ConfigurationRequest {
    let proposal = Proposal {
        request_id: name("r9"),
        author: name("ada"),
        reason: name("more"),
        expected: Some(Revision(300)),
        transaction: transaction(),
    };
    ConfigurationRequest { proposal, seen: Revision(299), requested_at_ms: 1_700_000_000_001 }
}

pub fn plan() -> RolloutPlan {
    RolloutPlan {
        name: "r-1".into(),
        kind: ReleaseKind::Program,
        version: "v2".into(),
        batches: vec![Batch { share: 0.25, pause_ms: 1_000 }, Batch { share: 1.0, pause_ms: 2_000 }],
        zone_by_zone: true,
        ready_timeout_ms: 30_000,
        stabilization_ms: 5_000,
        tolerated_regression: 0.125,
        rolls_back: true,
    }
}

pub fn server_progress() -> Vec<(&'static str, ServerProgress)> {
    vec![
        ("waits", ServerProgress::Pending),
        ("changes", ServerProgress::Updating),
        ("new", ServerProgress::Updated),
        ("failed", ServerProgress::Failed("f".into())),
        ("goes back", ServerProgress::RollingBack),
        ("back", ServerProgress::RolledBack),
        ("stuck", ServerProgress::RollbackFailed("s".into())),
    ]
}

pub fn rollout_states() -> Vec<(&'static str, RolloutState)> {
    vec![
        ("runs", RolloutState::Running),
        ("halted", RolloutState::Halted("h".into())),
        ("goes back", RolloutState::RollingBack("g".into())),
        ("done", RolloutState::Done),
        ("undone", RolloutState::RolledBack("u".into())),
    ]
}

pub fn targets() -> Vec<(&'static str, Target)> {
    vec![
        ("server", Target::Server(name("n1"))),
        ("zone", Target::Zone(name("z1"))),
        ("service", Target::Service { service: name("ledger"), member: name("m1") }),
    ]
}

pub fn limits() -> Limits {
    Limits { fleet: 3, zone: 2, zones: 1, services: [(name("ledger"), 4), (name("maps"), 5)].into() }
}

pub fn rollout_commands() -> Vec<(&'static str, RolloutCommand)> {
    let (rollout_name, operator_name, reason_text) = ("r-1".to_string(), name("kaisa"), "late".to_string());
    let previous_versions = vec![(name("n1"), "v1".to_string()), (name("n2"), "v0".to_string())];
    let failed_progress = ServerProgress::Failed("no".into());
    vec![
        (
            "start",
            RolloutCommand::Start {
                plan: Box::new(plan()),
                operator: operator_name.clone(),
                versions: previous_versions,
            },
        ),
        (
            "halt",
            RolloutCommand::Halt {
                name: rollout_name.clone(),
                operator: operator_name.clone(),
                reason: reason_text.clone(),
            },
        ),
        (
            "resume",
            RolloutCommand::Resume {
                name: rollout_name.clone(),
                halt_count: 300,
                operator: operator_name.clone(),
            },
        ),
        (
            "back",
            RolloutCommand::RollBack { name: rollout_name, operator: operator_name, reason: reason_text },
        ),
        (
            "stepped",
            RolloutCommand::RecordProgress { number: 300, server: name("n1"), progress: failed_progress },
        ),
        ("wave", RolloutCommand::StartBatch { number: 300, batch: 2 }),
        ("over", RolloutCommand::Finish { number: 300 }),
    ]
}

/// Every kind of log command; [`rollout_commands`] has the kinds of rollout commands.
pub fn commands() -> Vec<(&'static str, Command)> {
    let (server, zone, operator_name, reason_text) =
        (name("n1"), name("z1"), name("kaisa"), "gone".to_string());
    let reserve =
        |target, purpose| Command::Reserve { target, holder: name("n2"), incarnation: 70_000, purpose };
    let service = targets().remove(2).1;
    vec![
        ("limits", Command::Limits(limits())),
        ("enrol", Command::AddServer { name: server.clone(), zone: zone.clone() }),
        (
            "strike",
            Command::RemoveServer {
                name: server.clone(),
                operator: operator_name.clone(),
                reason: reason_text.clone(),
            },
        ),
        ("reserve a server to drain", reserve(Target::Server(server.clone()), Purpose::Drain)),
        ("reserve a zone for a release", reserve(Target::Zone(zone), Purpose::Rollout(300))),
        ("reserve a member of a service", reserve(service, Purpose::Drain)),
        ("begin", Command::Begin { epoch: 300, holder: server, incarnation: 70_000 }),
        ("end by steadiness", Command::End { epoch: 300, observed: PermitEnd::Stable(2) }),
        ("end by word", Command::End { epoch: 300, observed: PermitEnd::HolderCancelled(70_000) }),
        ("free", Command::ReleasePermit { epoch: 300, operator: operator_name, reason: reason_text }),
        ("gone", Command::PermitExpired { epoch: 300 }),
        ("release", Command::Rollout(RolloutCommand::Finish { number: 300 })),
        ("configuration", configuration_command(2)),
    ]
}

pub fn durable_records() -> Vec<(&'static str, DurableRecord)> {
    let entry = |changes| DurableRecord::Entry { index: 301, term: 5, changes, data: vec![1, 2, 3] };
    vec![
        (
            "snapshot",
            DurableRecord::Snapshot { index: 300, term: 4, voters: vec![7, 1 << 40], data: vec![9, 8] },
        ),
        ("entry", entry(false)),
        ("change of the council", entry(true)),
        ("term", DurableRecord::Term { term: 5, vote: 7, commit: 300 }),
    ]
}

fn permit(target: Target, purpose: Purpose, stage: PermitStage, begin_grants: u32) -> Permit {
    Permit { target, holder: name("n2"), purpose, stage, begin_grants, incarnation: 70_000 }
}

pub fn rollout(state: RolloutState) -> Rollout {
    let server = |(at, (_, progress)): (usize, (_, ServerProgress))| {
        let server = RolloutServer { batch: at as u32, previous_version: format!("v{at}"), progress };
        (name(&format!("n{at}")), server)
    };
    let servers = server_progress().into_iter().enumerate().map(server).collect();
    Rollout { number: 300, plan: plan(), operator: name("kaisa"), state, batch: 1, halt_count: 2, servers }
}

/// A replicated state with every kind of content, and with three configuration changes of which two are remembered.
pub fn replicated_state() -> ReplicatedState {
    let [server, zone, service] = [0, 1, 2].map(|at| targets().remove(at).1);
    let operator_action = OperatorAction {
        index: 9,
        operator: name("kaisa"),
        action: "permit 3 freed".into(),
        reason: "gone".into(),
    };
    let mut state = ReplicatedState {
        index: 1,
        voters: [(7, name("n1")), (1 << 40, name("n2"))].into(),
        limits: limits(),
        roster: [(name("n1"), Member { zone: name("z1") }), (name("n2"), Member { zone: name("z2") })].into(),
        permits: [
            (3, permit(server, Purpose::Drain, PermitStage::Reserved, 0)),
            (4, permit(zone, Purpose::Rollout(300), PermitStage::Begun, 1)),
            (5, permit(service, Purpose::Drain, PermitStage::Released, 2)),
        ]
        .into(),
        operator_actions: [operator_action].into(),
        rollout: Some(rollout(RolloutState::Halted("slow".into()))),
        ..ReplicatedState::default()
    };
    for revision in 1..=3 {
        state.apply(310 + revision, configuration_command(revision));
    }
    state
}

pub fn denial_reasons() -> Vec<(&'static str, DenialReason)> {
    vec![
        ("fleet", DenialReason::Fleet { out: 3, max: 2, servers_out: "n1".into() }),
        ("zone", DenialReason::Zone { zone: name("z1"), out: 3, max: 2, servers_out: "n1".into() }),
        ("zones", DenialReason::Zones { out: 3, max: 2 }),
        ("service", DenialReason::Service { service: name("ledger"), out: 3, max: 2 }),
        ("unknown", DenialReason::Unknown("n9".into())),
        ("stale", DenialReason::Stale(300)),
        ("other", DenialReason::OtherHolder { epoch: 300, holder: name("n1") }),
        ("release", DenialReason::Rollout("halted".into())),
        ("sense", DenialReason::Invalid("no".into())),
    ]
}

pub fn configuration_rejections() -> Vec<(&'static str, ConfigurationRejected)> {
    let (old, new) = (Revision(300), Revision(301));
    vec![
        ("moved", ConfigurationRejected::Moved { expected: old, in_force: new }),
        ("invalid", ConfigurationRejected::Invalid(Invalid::new("changes[0]", "a name", "none"))),
        ("too long", ConfigurationRejected::TooLong { limit: 300, got: 301 }),
        ("forgotten", ConfigurationRejected::Forgotten { seen: old, known_since: new }),
        ("behind", ConfigurationRejected::Behind { has: Some(old), committed: new }),
        ("behind with nothing", ConfigurationRejected::Behind { has: None, committed: new }),
        ("busy", ConfigurationRejected::Busy),
        ("no leader", ConfigurationRejected::NoLeader),
        ("no voter", ConfigurationRejected::NoVoter),
        ("unconfirmed", ConfigurationRejected::Unconfirmed),
        ("off", ConfigurationRejected::Off),
    ]
}

pub fn voter_replies() -> Vec<(&'static str, VoterReply)> {
    vec![
        ("elsewhere", VoterReply::NotLeader(Some(name("n2")))),
        ("leaderless", VoterReply::NotLeader(None)),
        ("proposed", VoterReply::Proposed),
        ("committed", VoterReply::Finished(Ok(Revision(300)))),
        ("refused", VoterReply::Finished(Err(ConfigurationRejected::Busy))),
    ]
}

pub fn permit_request() -> PermitRequest {
    PermitRequest { number: 300, action: PermitAction::Begin { epoch: 7 } }
}

pub fn permit_reply() -> PermitReply {
    PermitReply::Wait(DenialReason::Stale(7))
}

pub fn report() -> ServerReport {
    ServerReport {
        zone: "z1".into(),
        ready: true,
        program: "v1".into(),
        settings: "s".into(),
        staged: vec!["t".into()],
        voter: Some(300),
        founded: true,
        failed: Some(FailedStep { rollout: 5, reason: "no".into() }),
        totals: vec![(1, ServiceTotal { received: 2, served: 1 })],
    }
}

pub fn step_assignment() -> StepAssignment {
    StepAssignment { rollout: 20, epoch: 21, kind: ReleaseKind::Program, version: "v2".into() }
}

pub fn operator_commands() -> Vec<(&'static str, OperatorCommand)> {
    let (target, operator_name, reason_text) = (targets().remove(2).1, name("kaisa"), "gone".to_string());
    let halt = rollout_commands().remove(1).1;
    vec![
        ("out", OperatorCommand::GrantPermit { target: target.clone(), operator: operator_name.clone() }),
        ("in", OperatorCommand::EndPermit { target, operator: operator_name.clone() }),
        (
            "free",
            OperatorCommand::ReleasePermit {
                epoch: 300,
                operator: operator_name.clone(),
                reason: reason_text.clone(),
            },
        ),
        (
            "strike",
            OperatorCommand::RemoveServer {
                name: name("n1"),
                operator: operator_name.clone(),
                reason: reason_text,
            },
        ),
        (
            "voter",
            OperatorCommand::ChangeVoter { name: name("n1"), add: true, operator: operator_name.clone() },
        ),
        ("start", OperatorCommand::StartRollout { plan: Box::new(plan()), operator: operator_name }),
        ("release", OperatorCommand::Rollout(halt)),
    ]
}

pub fn operator_command_reply() -> OperatorCommandReply {
    OperatorCommandReply::Redirect(Some(name("n2")))
}
