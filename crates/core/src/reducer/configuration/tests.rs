//! Application of committed changes and complete states, without a network: the tests call the handlers of
//! dissemination's effects directly.

#[path = "../../../../admission/tests/common/mod.rs"]
#[allow(unreachable_pub, reason = "shared with the integration tests")]
mod common;

use super::*;
use crate::admin::{AdminRequest, AdminResponse};
use crate::config::Config;
use crate::configuration::{ConfigurationAdminRequest, ConfigurationAdminResponse};
use crate::messages::Input;
use crate::registration::Registration;
use crate::timestamp::Timestamp;
use gradepin_admission::{ClassDefinition, Tenant};
use gradepin_config::admin::{AdminError, StatusReply};
use gradepin_config::change::Change;
use gradepin_config::dissemination::DisseminationSettings;
use serde_json::json;

/// Number of tenants; more than fit into one transaction.
const TENANT_COUNT: usize = 3_000;

fn config() -> Config {
    let address = "127.0.0.1:1";
    let mut settings = common::base();
    settings["specifics"]["below"] = json!("off");
    let config = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
        "stop_ms": 2000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128}, "settings": settings});
    Config::parse(&config.to_string()).expect("a valid configuration")
}

/// Returns a server with the configuration service, in this state instead of that of its start file.
fn server(state: impl FnOnce(Configuration) -> Configuration) -> Reducer {
    let config = config();
    let base = Configuration::from_settings(&config.settings).expect("a valid base");
    let own = Member { name: "n1".into(), zone: "z".into(), region: "z".into(), voter: true };
    let start = ConfigurationStart {
        state: state(base),
        source: Source::StartFile,
        dissemination: DisseminationSettings::default(),
        own,
        voters: vec!["n1".into()],
        regions: BTreeMap::new(),
        stale_after: Span(60_000 * MS),
        seed: 1,
    };
    let settings = Arc::new(config.settings.clone());
    let reducer = Reducer::new(&config, settings, Registration::default()).expect("a server");
    reducer.with_configuration(start, Time(0))
}

fn commit(state: &mut Configuration, changes: Vec<Change>) -> Arc<Commit> {
    let commit = Commit {
        revision: state.revision().next(),
        author: "ada".into(),
        reason: "test".into(),
        request_id: "r".into(),
        proposed_at_ms: 0,
        transaction: Transaction { changes },
    };
    state.apply(&commit).expect("valid");
    Arc::new(commit)
}

fn put_tenant(n: usize) -> Change {
    Change::PutTenant(Arc::new(Tenant { name: format!("t{n}"), quota_rps: 1.0, portion: 0.0 }))
}

fn step(reducer: &mut Reducer, now: Time) -> Vec<Effect> {
    let mut effects = Vec::new();
    reducer.step(Timestamp { now, ..Timestamp::default() }, [], &mut effects);
    effects
}

fn status(reducer: &mut Reducer, now: Time) -> StatusReply {
    let mut effects = Vec::new();
    let request = AdminRequest::Configuration(ConfigurationAdminRequest::Status);
    reducer.step(
        Timestamp { now, ..Timestamp::default() },
        [Input::AdminRequest { id: 1, request }],
        &mut effects,
    );
    let response = effects.into_iter().find_map(|effect| match effect {
        Effect::AnswerAdmin { id: 1, response: AdminResponse::Configuration(response) } => Some(*response),
        _ => None,
    });
    match response {
        Some(ConfigurationAdminResponse::Status(status)) => *status,
        other => panic!("expected a status, got {other:?}"),
    }
}

#[test]
fn complete_state_applies_one_transaction_per_step_before_later_commits() {
    let mut target = Configuration::from_settings(&config().settings).expect("a valid base");
    for chunk in 0..TENANT_COUNT / 1_000 {
        commit(&mut target, (0..1_000).map(|n| put_tenant(chunk * 1_000 + n)).collect());
    }
    let mut reducer = server(|base| base);
    step(&mut reducer, Time(1));
    reducer.receive_state(Snapshot::of(&target));
    let installed = target.version();
    let next_commit = commit(&mut target, vec![put_tenant(TENANT_COUNT)]);
    reducer.receive_commit(next_commit);
    let mut seen = Vec::new();
    let mut steps = 0;
    while seen.last() != Some(&target.version()) {
        steps += 1;
        assert!(steps < 20, "{seen:?}");
        let before = reducer.tenants.in_force();
        step(&mut reducer, Time(1 + steps));
        assert!(reducer.tenants.in_force() - before <= 1_024, "at most one transaction per step");
        let version = reducer.configuration.service.as_ref().expect("on").in_force.version();
        if seen.last() != Some(&version) {
            seen.push(version);
        }
    }
    assert!(steps > 3, "the state must take several steps");
    assert_eq!(
        seen[seen.len() - 2..],
        [installed, target.version()],
        "no intermediate state may be reported"
    );
    assert_eq!(reducer.tenants.in_force(), TENANT_COUNT + 1);
}

#[test]
fn inapplicable_commit_keeps_the_last_state_and_is_retried() {
    // The state has a class that the reducer was not created with.
    let extra_class = |base: &Configuration| {
        let mut profile = base.class("read").expect("there").profile.clone();
        profile.name = "ghost".into();
        Arc::new(ClassDefinition { profile, calls: false, skip_weight: 0.0 })
    };
    let mut class = None;
    let mut reducer = server(|base| {
        let definition = extra_class(&base);
        class = Some(Arc::clone(&definition));
        let mut state = base;
        commit(&mut state, vec![Change::PutClass(definition)]);
        state
    });
    let mut state = reducer.configuration.service.as_ref().expect("on").in_force.clone();
    let before = state.revision();
    let removal = commit(&mut state, vec![Change::RemoveClass("ghost".into())]);
    reducer.configuration.service.as_mut().expect("on").dissemination.committed(Time(1), removal);
    step(&mut reducer, Time(1));
    let reply = status(&mut reducer, Time(2));
    assert_eq!((reply.revision, reply.newest), (before, state.revision()));
    assert!(reply.cannot_apply.is_some_and(|reason| reason.contains("ghost")));
    reducer
        .apply_transaction(&Transaction { changes: vec![Change::PutClass(class.expect("made"))] })
        .expect("put");
    assert_eq!(status(&mut reducer, Time(3)).revision, before, "retried too early");
    step(&mut reducer, time_after(Time(3), RETRY_INTERVAL));
    let reply = status(&mut reducer, time_after(Time(4), RETRY_INTERVAL));
    assert_eq!((reply.revision, reply.cannot_apply), (state.revision(), None));
}

#[test]
fn unconfirmed_state_is_logged_as_stale_once_and_stays_in_force() {
    let mut reducer = server(|base| base);
    let count_stale = |effects: Vec<Effect>| {
        let stale = |effect: &&Effect| matches!(effect, Effect::Log { text, .. } if text.contains("stale"));
        effects.iter().filter(stale).count()
    };
    assert_eq!(count_stale(step(&mut reducer, Time(59_000 * MS))), 0);
    assert_eq!(count_stale(step(&mut reducer, Time(61_000 * MS))), 1);
    assert_eq!(count_stale(step(&mut reducer, Time(70_000 * MS))), 0);
    let status = status(&mut reducer, Time(70_000 * MS));
    assert!(status.stale && status.age_s == Some(70.0) && status.source == Source::StartFile);
}

#[test]
fn rejects_configuration_requests_without_the_service() {
    let config = config();
    let settings = Arc::new(config.settings.clone());
    let mut reducer = Reducer::new(&config, settings, Registration::default()).expect("a server");
    let response = reducer.configuration_request(ConfigurationAdminRequest::Status);
    assert_eq!(response, ConfigurationAdminResponse::Rejected(AdminError::Off));
    assert!(!reducer.configuration_message(&"n2".into(), &[3, 1]), "a consensus message");
    assert!(reducer.configuration_message(&"n2".into(), &[CONFIGURATION_TAG, 1]), "a configuration message");
}
