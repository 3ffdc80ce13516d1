//! Golden tests of the admin endpoint: every response with a value in each field, the request that each path names, and
//! the accepted JSON bodies.

use super::{assert_golden, line};
use gradepin_cluster::authentication::DropReason;
use gradepin_cluster::cluster::{ClusterStatus, FleetView, MemberView};
use gradepin_cluster::peer::Incarnation;
use gradepin_config::admin::{
    AdminError, ApplyReply, ApplyRequest, LaggingServer, RevisionSpread, Source, StatusReply,
};
use gradepin_config::change::Revision;
use gradepin_config::validation::Invalid;
use gradepin_coordination::messages::{CommandFailure, OperatorCommand};
use gradepin_coordination::permit_client::WaitingRequest;
use gradepin_coordination::replicated_state::{
    Limits, Member, OperatorAction, Permit, PermitStage, Purpose, ReplicatedState, Target,
};
use gradepin_coordination::rollout::{
    Batch, ReleaseKind, Rollout, RolloutPlan, RolloutServer, RolloutState, ServerProgress,
};
use gradepin_coordination::server_agent::{self, CommandStatus};
use gradepin_core::admin::{
    AdminRequest, AdminResponse, AgreementRequest, AgreementResponse, NotReadyReason,
};
use gradepin_core::configuration::{
    ConfigurationAdminRequest, ConfigurationAdminResponse, ConfigurationMetrics,
};
use gradepin_core::lifecycle_counters::{CloseReason, LifecycleCounters, RefusalReason};
use gradepin_core::request_metrics::{MetricsSnapshot, ResponseCounts};
use gradepin_node::admin::http::{Response, parse_head};
use gradepin_node::admin::response;
use gradepin_node::admin::routes::{Endpoint, route};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn fleet() -> ClusterStatus {
    let reasons = [
        DropReason::MalformedEnvelope,
        DropReason::WrongTag,
        DropReason::Replay,
        DropReason::Delayed,
        DropReason::EarlierIncarnation,
        DropReason::OtherIncarnation,
        DropReason::MalformedContent,
        DropReason::RateLimited,
    ];
    ClusterStatus {
        up: 1,
        down: 2,
        reporting: 3,
        oldest_report_s: 4.5,
        retained_slots: 5.5,
        lent_slots: 6.5,
        borrowed_slots: 7.5,
        taken_slots: 8,
        waiting_runs: 9,
        circuit_closed: true,
        bytes_sent: 10,
        sent: 11,
        received: 12,
        dropped: reasons.into_iter().zip(21..).collect(),
        suppressed: 13,
    }
}

fn lifecycle() -> LifecycleCounters {
    let mut counters = LifecycleCounters::default();
    CloseReason::ALL.into_iter().for_each(|reason| counters.count_close(reason));
    RefusalReason::ALL.into_iter().for_each(|reason| counters.count_refusal(reason));
    (counters.runs_repeated, counters.callers_gone) = (43, 44);
    (counters.clock_steps, counters.violations) = (45, 46);
    counters
}

fn stats() -> MetricsSnapshot {
    let counts = |n| ResponseCounts { fulfilled: n, throttled: n + 1, faulted: n + 2 };
    MetricsSnapshot {
        classes: vec![(name("save"), counts(31)), (name("view"), counts(34))],
        relayed: 37,
        open: 38,
        cfg_accepted: 39,
        cfg_invalid: 40,
        lifecycle: lifecycle(),
        fleet: Some(Box::new(fleet())),
        configuration: Some(ConfigurationMetrics { revision: 41, age_s: 42.5 }),
    }
}

fn view() -> FleetView {
    let member = |server: &str, up| MemberView {
        name: name(server),
        zone: name("z1"),
        incarnation: Incarnation(0x1f),
        up,
        for_ms: 51,
    };
    FleetView {
        name: name("n0"),
        incarnation: Incarnation(0x2f),
        members: vec![member("n1", true), member("n2", false)],
        status: fleet(),
    }
}

fn rollout(state: RolloutState) -> Rollout {
    let batch = |share, pause_ms| Batch { share, pause_ms };
    let plan = RolloutPlan {
        name: "tiles 0.3".into(),
        kind: ReleaseKind::Program,
        version: "0.3.0".into(),
        batches: vec![batch(0.25, 1), batch(1.0, 2)],
        zone_by_zone: true,
        ready_timeout_ms: 3,
        stabilization_ms: 4,
        tolerated_regression: 0.5,
        rolls_back: true,
    };
    let steps = [
        ServerProgress::Pending,
        ServerProgress::Updating,
        ServerProgress::Updated,
        ServerProgress::Failed("full".into()),
        ServerProgress::RollingBack,
        ServerProgress::RolledBack,
        ServerProgress::RollbackFailed("lost".into()),
    ];
    let server = |progress| RolloutServer { batch: 1, previous_version: "0.2.0".into(), progress };
    let servers = steps.into_iter().enumerate().map(|(n, step)| (name(&format!("n{n}")), server(step)));
    Rollout {
        number: 61,
        plan,
        operator: name("kaisa"),
        state,
        batch: 1,
        halt_count: 2,
        servers: servers.collect(),
    }
}

fn replicated_state(state: RolloutState) -> ReplicatedState {
    let permit = |target, purpose, stage| Permit {
        target,
        holder: name("holder"),
        purpose,
        stage,
        begin_grants: 1,
        incarnation: 2,
    };
    let service = Target::Service { service: name("ledger"), member: name("l2") };
    let permits = [
        (71, permit(Target::Server(name("n1")), Purpose::Drain, PermitStage::Reserved)),
        (72, permit(Target::Zone(name("z2")), Purpose::Rollout(61), PermitStage::Begun)),
        (73, permit(service, Purpose::Drain, PermitStage::Released)),
    ];
    let action = |index| OperatorAction {
        index,
        operator: name("kaisa"),
        action: format!("act {index}"),
        reason: "need".into(),
    };
    let roster = (0..8).map(|n| (name(&format!("n{n}")), Member { zone: name("z1") }));
    ReplicatedState {
        index: 81,
        voters: [(91, name("n0")), (92, name("n1"))].into(),
        limits: Limits { fleet: 5, zone: 3, zones: 2, services: [(name("ledger"), 4)].into() },
        roster: roster.collect(),
        permits: permits.into(),
        operator_actions: (1..=9).map(action).collect(),
        rollout: Some(rollout(state)),
        ..ReplicatedState::default()
    }
}

fn versions(program: &str, settings: &str) -> server_agent::RunningVersions {
    server_agent::RunningVersions { program: program.into(), settings: settings.into() }
}

fn agreements(known_state: Option<(ReplicatedState, f64)>, voter: bool) -> AdminResponse {
    let full = known_state.is_some();
    AdminResponse::Agreement(AgreementResponse::Status(Box::new(server_agent::AgentStatus {
        known_state: known_state.map(|(state, age_s)| server_agent::KnownState { state, age_s }),
        leader: full.then(|| name("n1")),
        is_voter: voter,
        exclusion: full.then(|| "disk".to_string()),
        restricts_votes: full,
        waiting_request: full.then(|| WaitingRequest { waiting_s: 1.5, reason: "one is out".into() }),
        not_ready: vec![name("n2")],
        versions: [(name("n1"), versions("0.2.0", "9f"))].into(),
    })))
}

fn configuration_status(source: Source) -> StatusReply {
    let lagging = LaggingServer {
        server: name("n7"),
        zone: name("z1"),
        revision: Some(Revision(40)),
        since_s: 61.5,
        reachable: true,
        cannot_apply: Some("no room".into()),
    };
    let spread = RevisionSpread {
        revision: Revision(42),
        proposed_at_ms: 1,
        servers: 2,
        total_servers: 3,
        zones: 4,
        total_zones: 5,
        p50_ms: Some(6),
        p99_ms: Some(7),
    };
    StatusReply {
        server: Some(name("n1")),
        revision: Revision(42),
        digest: "9f".into(),
        newest: Revision(43),
        leader: Some(name("n2")),
        age_s: Some(0.5),
        stale: true,
        source,
        cannot_apply: Some("no room".into()),
        revisions: vec![spread],
        lagging: vec![lagging],
        lagging_servers: 8,
    }
}

fn admin_errors() -> Vec<AdminError> {
    let (revision, id) = (Revision(42), name("r-1"));
    vec![
        AdminError::Stale { expected: Revision(41), in_force: revision },
        AdminError::Invalid(Invalid::new("changes[3]", "one change", "none")),
        AdminError::RequestIdReused { request_id: id.clone(), revision },
        AdminError::NoLeader { reason: "none heard".into() },
        AdminError::TooBusy { retry_ms: 500 },
        AdminError::UnknownRevision { revision, oldest: Revision(1), newest: Revision(41) },
        AdminError::TooManyFailedServers { servers: 3, max_servers: 2, revision },
        AdminError::UnknownEntry { kind: "class".into(), name: name("save"), revision },
        AdminError::UnknownRequest { request_id: id },
        AdminError::BadCall { reason: "no id".into() },
        AdminError::Off,
    ]
}

/// A line with the HTTP bytes of each response.
fn responses(answers: impl IntoIterator<Item = (&'static str, AdminResponse)>) -> String {
    answers.into_iter().map(|(label, answer)| line(label, &response(answer).bytes(false))).collect()
}

#[test]
fn health_and_drain_responses_match_golden_bytes() {
    let not_ready = |reason| AdminResponse::Health(Err(reason));
    let drain_state = |draining, changed| AdminResponse::DrainState { draining, changed };
    let answers = [
        ("ready", AdminResponse::Health(Ok(()))),
        ("leaving", not_ready(NotReadyReason::ShuttingDown)),
        ("drained", not_ready(NotReadyReason::OperatorDrain)),
        ("no processor", not_ready(NotReadyReason::NoProcessor)),
        ("unwell", not_ready(NotReadyReason::Unhealthy)),
        ("drain begun", drain_state(true, true)),
        ("drain as before", drain_state(true, false)),
        ("drain ended", drain_state(false, true)),
        ("no drain as before", drain_state(false, false)),
    ];
    let mut text = responses(answers);
    text += &line("head alone", &response(AdminResponse::Health(Ok(()))).bytes(true));
    assert_golden("admin_health.txt", text.as_bytes());
}

/// Sorts samples that differ only in their labels, because the metrics library writes them in any order.
fn with_sorted_labels(text: &str) -> String {
    let lines: Vec<&str> = text.split_inclusive('\n').collect();
    let family = |line: &str| line.split_once('{').map(|(name, _)| name.to_string());
    let mut sorted = String::new();
    for samples in lines.chunk_by(|a, b| family(a).is_some() && family(a) == family(b)) {
        let mut samples = samples.to_vec();
        samples.sort_unstable();
        sorted.extend(samples);
    }
    sorted
}

#[test]
fn metrics_match_golden_bytes() {
    let without_fleet = MetricsSnapshot { fleet: None, configuration: None, ..stats() };
    let circuit_open = ClusterStatus { circuit_closed: false, ..fleet() };
    let with_open_circuit = MetricsSnapshot { fleet: Some(Box::new(circuit_open)), ..stats() };
    let text = |stats| {
        let bytes = response(AdminResponse::Stats(Box::new(stats))).bytes(false);
        with_sorted_labels(&String::from_utf8(bytes).expect("UTF-8"))
    };
    let texts = [stats(), with_open_circuit, without_fleet, MetricsSnapshot::default()].map(text);
    assert_golden("admin_stats.txt", texts.concat().as_bytes());
}

#[test]
fn fleet_views_match_golden_bytes() {
    let text = responses([
        ("fleet", AdminResponse::Fleet(Some(Box::new(view())))),
        ("no fleet", AdminResponse::Fleet(None)),
    ]);
    assert_golden("admin_fleet.txt", text.as_bytes());
}

#[test]
fn agreements_match_golden_bytes() {
    let reason = || "late".to_string();
    let completed = |result| AdminResponse::Agreement(AgreementResponse::Completed(result));
    let command_status = |status| AdminResponse::Agreement(AgreementResponse::CommandStatus(status));
    let target_version = |version| AdminResponse::Agreement(AgreementResponse::TargetVersion(version));
    let text = responses([
        ("off", AdminResponse::Agreement(AgreementResponse::Off)),
        ("unknown status", agreements(None, false)),
        ("voter's status, running", agreements(Some((replicated_state(RolloutState::Running), 0.5)), true)),
        (
            "status, halted",
            agreements(Some((replicated_state(RolloutState::Halted(reason())), f64::INFINITY)), false),
        ),
        (
            "status, going back",
            agreements(Some((replicated_state(RolloutState::RollingBack(reason())), 0.25)), false),
        ),
        ("status, done", agreements(Some((replicated_state(RolloutState::Done), 0.25)), false)),
        (
            "status, undone",
            agreements(Some((replicated_state(RolloutState::RolledBack(reason())), 0.25)), false),
        ),
        ("ticket", AdminResponse::Agreement(AgreementResponse::Ticket(7))),
        ("pending", command_status(CommandStatus::Pending)),
        ("unknown ticket", command_status(CommandStatus::Unknown)),
        ("order done", command_status(CommandStatus::Finished(Ok("done".into())))),
        ("order failed", command_status(CommandStatus::Finished(Err(CommandFailure("not now".into()))))),
        ("said", completed(Ok("done".into()))),
        ("said not", completed(Err(CommandFailure("not now".into())))),
        ("wanted", target_version(Some("0.3.0".into()))),
        ("nothing wanted", target_version(None)),
    ]);
    assert_golden("admin_agreements.txt", text.as_bytes());
}

#[test]
fn configuration_answers_match_golden_bytes() {
    let answer = |answer| AdminResponse::Configuration(Box::new(answer));
    let apply = |reply| answer(ConfigurationAdminResponse::Apply(reply));
    let status = |status| answer(ConfigurationAdminResponse::Status(Box::new(status)));
    let mut text = responses([
        ("pending", apply(ApplyReply::Pending { request_id: name("r-1") })),
        ("committed", apply(ApplyReply::Committed { revision: Revision(42), repeated: true })),
        ("valid", apply(ApplyReply::Valid { against: Revision(41), changes: 3 })),
        ("status of the fleet", status(configuration_status(Source::Fleet))),
        ("status of a snapshot", status(configuration_status(Source::Snapshot))),
        ("status of a start file", status(configuration_status(Source::StartFile))),
        ("empty status", status(StatusReply::default())),
    ]);
    text += &responses(
        admin_errors()
            .into_iter()
            .map(|error| ("refused", answer(ConfigurationAdminResponse::Rejected(error)))),
    );
    assert_golden("admin_configuration.txt", text.as_bytes());
}

/// Guards the endpoint of each path, and the responses to requests that name none.
#[test]
fn paths_name_endpoints_and_errors_match_golden_bytes() {
    let (plain, agreement) =
        (Endpoint::Request, |request| Endpoint::Request(AdminRequest::Agreement(request)));
    let configuration = |request| Endpoint::Request(AdminRequest::Configuration(request));
    let endpoints = [
        ("GET", "/healthcheck", "", plain(AdminRequest::Health)),
        ("HEAD", "/stats", "", plain(AdminRequest::Stats)),
        ("GET", "/fleet", "", plain(AdminRequest::Fleet)),
        ("POST", "/healthcheck/fail", "", plain(AdminRequest::StartDrain)),
        ("POST", "/healthcheck/ok", "", plain(AdminRequest::EndDrain)),
        ("GET", "/fleet/status", "", agreement(AgreementRequest::Status)),
        ("GET", "/fleet/order", "ticket=7", agreement(AgreementRequest::CommandStatus { ticket: 7 })),
        ("POST", "/fleet/order", "", Endpoint::SubmitCommand),
        ("POST", "/fleet/stage", "", Endpoint::StageSettings),
        ("POST", "/fleet/found", "", agreement(AgreementRequest::FoundGroup)),
        ("POST", "/fleet/leave", "", agreement(AgreementRequest::Leave)),
        ("POST", "/fleet/stay", "", agreement(AgreementRequest::Stay)),
        (
            "GET",
            "/fleet/wanted",
            "name=n3",
            agreement(AgreementRequest::TargetVersion { server: "n3".into() }),
        ),
        (
            "GET",
            "/config/apply",
            "request-id=r-1",
            configuration(ConfigurationAdminRequest::RequestStatus(name("r-1"))),
        ),
        ("POST", "/config/apply", "", Endpoint::ApplyConfiguration),
        ("GET", "/config/status", "", configuration(ConfigurationAdminRequest::Status)),
    ];
    for (method, path, query, endpoint) in endpoints {
        assert_eq!(route(method, path, query), Ok(endpoint), "{method} {path}?{query}");
    }
    let requests: [(&str, &[u8]); 12] = [
        ("no such path", b"GET /nothing HTTP/1.1\r\n\r\n"),
        ("another method", b"DELETE /stats HTTP/1.1\r\n\r\n"),
        ("post alone", b"GET /healthcheck/fail HTTP/1.1\r\n\r\n"),
        ("get or post", b"PUT /fleet/order HTTP/1.1\r\n\r\n"),
        ("odd ticket", b"GET /fleet/order?ticket=x HTTP/1.1\r\n\r\n"),
        ("no name", b"GET /fleet/wanted HTTP/1.1\r\n\r\n"),
        ("no request id", b"GET /config/apply?x=1 HTTP/1.1\r\n\r\n"),
        ("no HTTP", b"\x00\x01\r\n\r\n"),
        ("chunked", b"POST /stats HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        ("odd length", b"POST /stats HTTP/1.1\r\nContent-Length: x\r\n\r\n"),
        ("body too long", b"POST /stats HTTP/1.1\r\nContent-Length: 262145\r\n\r\n"),
        ("head too long", &[b'a'; 8192]),
    ];
    let error_response = |bytes: &[u8]| {
        let head = parse_head(bytes).map(|head| head.expect("a complete head"));
        head.and_then(|head| route(&head.method, &head.path, &head.query)).expect_err("an error response")
    };
    let mut text: String =
        requests.iter().map(|(label, bytes)| line(label, &error_response(bytes).bytes(false))).collect();
    for status in [200, 202, 400, 404, 405, 408, 409, 410, 413, 422, 429, 503, 599] {
        text += &line("status", &Response::text(status, "").bytes(false));
    }
    assert_golden("admin_refused_requests.txt", text.as_bytes());
}

/// Asserts that each line of JSON is unchanged after it is read and written again.
fn assert_same_json<T: Serialize + DeserializeOwned>(lines: &str) {
    for line in lines.lines() {
        let body: T = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(serde_json::to_string(&body).expect("JSON"), line);
    }
}

#[test]
fn request_bodies_are_read_by_their_golden_names() {
    assert_same_json::<OperatorCommand>(include_str!("../golden/admin_requests.jsonl"));
    assert_same_json::<ApplyRequest>(include_str!("../golden/config_apply_requests.jsonl"));
}
