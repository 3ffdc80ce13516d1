//! Committed changes and whole states on their way into force, without a network: what dissemination says is handed in.

#[path = "../../../../admission/tests/common/mod.rs"]
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

/// More than one transaction holds.
const MANY: usize = 3_000;

fn config() -> Config {
    let address = "127.0.0.1:1";
    let mut settings = common::base();
    settings["specifics"]["below"] = json!("off");
    let config = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
        "stop_ms": 2000, "limits": {"cores": 1.0, "sockets": 128}, "settings": settings});
    Config::parse(&config.to_string()).expect("a whole configuration")
}

/// A server whose service is on, with this state in the place of its start file's.
fn server(state: impl FnOnce(Configuration) -> Configuration) -> Reducer {
    let config = config();
    let base = Configuration::from_settings(&config.settings).expect("a base");
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
    let call = AdminRequest::Configuration(ConfigurationAdminRequest::Status);
    reducer.step(
        Timestamp { now, ..Timestamp::default() },
        [Input::AdminRequest { id: 1, request: call }],
        &mut effects,
    );
    let answer = effects.into_iter().find_map(|effect| match effect {
        Effect::AnswerAdmin { id: 1, response: AdminResponse::Configuration(answer) } => Some(*answer),
        _ => None,
    });
    match answer {
        Some(ConfigurationAdminResponse::Status(status)) => *status,
        other => panic!("expected a status, got {other:?}"),
    }
}

#[test]
fn a_whole_state_comes_into_force_one_transaction_a_step_and_commits_wait_behind_it() {
    let mut target = Configuration::from_settings(&config().settings).expect("a base");
    for piece in 0..MANY / 1_000 {
        commit(&mut target, (0..1_000).map(|n| put_tenant(piece * 1_000 + n)).collect());
    }
    let mut reducer = server(|base| base);
    step(&mut reducer, Time(1));
    reducer.take_state(Snapshot::of(&target));
    let installed = target.version();
    let after_it = commit(&mut target, vec![put_tenant(MANY)]);
    reducer.take_commit(after_it);
    let mut seen = Vec::new();
    let mut steps = 0;
    while seen.last() != Some(&target.version()) {
        steps += 1;
        assert!(steps < 20, "{seen:?}");
        let before = reducer.tenants.in_force();
        step(&mut reducer, Time(1 + steps));
        assert!(reducer.tenants.in_force() - before <= 1_024, "no more than a transaction a step");
        let version = reducer.committed.0.as_ref().expect("on").in_force.version();
        if seen.last() != Some(&version) {
            seen.push(version);
        }
    }
    assert!(steps > 3, "several steps");
    assert_eq!(seen[seen.len() - 2..], [installed, target.version()], "and nothing in between is told");
    assert_eq!(reducer.tenants.in_force(), MANY + 1);
}

#[test]
fn a_commit_that_this_program_cannot_apply_leaves_the_last_state_in_force_and_is_tried_again() {
    // The state has a class that the reducer was not made with.
    let ghost = |base: &Configuration| {
        let mut profile = base.class("read").expect("there").profile.clone();
        profile.name = "ghost".into();
        Arc::new(ClassDefinition { profile, calls: false, skip_weight: 0.0 })
    };
    let mut class = None;
    let mut reducer = server(|base| {
        let made = ghost(&base);
        class = Some(Arc::clone(&made));
        let mut state = base;
        commit(&mut state, vec![Change::PutClass(made)]);
        state
    });
    let mut state = reducer.committed.0.as_ref().expect("on").in_force.clone();
    let before = state.revision();
    let removal = commit(&mut state, vec![Change::RemoveClass("ghost".into())]);
    reducer.committed.0.as_mut().expect("on").spread.committed(Time(1), removal);
    step(&mut reducer, Time(1));
    let told = status(&mut reducer, Time(2));
    assert_eq!((told.revision, told.newest), (before, state.revision()));
    assert!(told.cannot_apply.is_some_and(|why| why.contains("ghost")));
    reducer
        .apply_transaction(&Transaction { changes: vec![Change::PutClass(class.expect("made"))] })
        .expect("put");
    assert_eq!(status(&mut reducer, Time(3)).revision, before, "not before its time");
    step(&mut reducer, time_after(Time(3), RETRY));
    let told = status(&mut reducer, time_after(Time(4), RETRY));
    assert_eq!((told.revision, told.cannot_apply), (state.revision(), None));
}

#[test]
fn a_state_that_nobody_confirms_is_told_as_stale_once_and_holds() {
    let mut reducer = server(|base| base);
    let told = |effects: Vec<Effect>| {
        let stale = |effect: &&Effect| matches!(effect, Effect::Log { text, .. } if text.contains("stale"));
        effects.iter().filter(stale).count()
    };
    assert_eq!(told(step(&mut reducer, Time(59_000 * MS))), 0);
    assert_eq!(told(step(&mut reducer, Time(61_000 * MS))), 1);
    assert_eq!(told(step(&mut reducer, Time(70_000 * MS))), 0);
    let status = status(&mut reducer, Time(70_000 * MS));
    assert!(status.stale && status.age_s == Some(70.0) && status.source == Source::StartFile);
}

#[test]
fn without_the_service_its_calls_are_refused() {
    let config = config();
    let settings = Arc::new(config.settings.clone());
    let mut reducer = Reducer::new(&config, settings, Registration::default()).expect("a server");
    let answer = reducer.configuration_call(ConfigurationAdminRequest::Status);
    assert_eq!(answer, ConfigurationAdminResponse::Rejected(AdminError::Off));
    assert!(!reducer.configuration_message(&"n2".into(), &[3, 1]), "a consensus message");
    assert!(reducer.configuration_message(&"n2".into(), &[CONFIGURATION_TAG, 1]), "and none");
}
