//! Parses a configuration that has every key, each with a different value, so that a lost or renamed key is detected.

use gradepin_admission::{CapacitySignal, Idempotency, StopMode, UpstreamKind, WeightBasis};
use gradepin_core::config::Config;
use serde_json::{Value, json};

const CONFIG: &str = include_str!("golden/config.json");

/// Parses the configuration with one part of its text replaced.
fn with(old: &str, new: &str) -> Config {
    assert!(CONFIG.contains(old), "{old}");
    Config::parse(&CONFIG.replace(old, new)).expect("a valid configuration")
}

#[test]
fn every_key_of_the_server_is_read() {
    let config = Config::parse(CONFIG).expect("a valid configuration");
    assert_eq!(config.name, "n7");
    assert_eq!(config.listen.to_string(), "10.0.0.1:8443");
    assert_eq!(config.processor.to_string(), "10.0.0.2:9300");
    assert_eq!(config.control.to_string(), "10.0.0.3:7946");
    assert_eq!(config.upstream.expect("an address").to_string(), "10.0.0.4:5432");
    assert_eq!(config.admin_addr.expect("an address").to_string(), "10.0.0.5:18445");
    assert_eq!(config.seed, "00000000000000fe");
    assert_eq!(config.stop_ms, 3201);
    assert_eq!(config.limits.sockets, 513);
    assert_eq!(config.limits.memory_mb, 97);
    assert!(!config.lends, "this field is not read from the file");
}

#[test]
fn every_key_of_the_admission_settings_is_read() {
    let s = Config::parse(CONFIG).expect("a valid configuration").settings;
    assert_eq!((s.min_batch_interval.0, s.servers, s.tier, s.over_quota_weight), (101, 12, 3, 0.125));
    assert!(s.callers.marks_retries);
    assert_eq!((s.goal.overall, s.goal.worst_class), (0.5, 0.25));
    assert_eq!((s.goal.worst_tenant, s.goal.worst_window), (0.15, 0.1));
    assert_eq!((s.limits.max_retry_after.0, s.limits.retry_after), (102, true));
    assert_eq!((s.prices.connection, s.prices.handshake, s.prices.late_fail), (1.25, 1.5, 1.75));
    assert_eq!((s.prices.upstream_call, s.prices.waste), (2.25, 2.5));
    assert_eq!((s.rules.answer_slack.0, s.rules.warm_up_time.0, s.rules.cold_capacity), (103, 104, 0.375));
    assert_eq!(
        (s.rules.drain_grace.0, s.rules.overload_window.0, s.rules.max_concurrency_per_core),
        (105, 106, 4.5)
    );
    assert_eq!(s.weight_basis, WeightBasis::Work);
    let names: Vec<&str> = s.profiles.iter().map(|profile| profile.name.as_str()).collect();
    assert_eq!(names, ["view", "save", "post"]);
    let effects: Vec<Idempotency> = s.profiles.iter().map(|profile| profile.effect).collect();
    assert_eq!(effects, [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent]);
    let save = &s.profiles[1];
    assert_eq!((save.latency_objective.0, save.deadline.0, save.window.0), (107, 108, 109));
    assert_eq!((save.late_value, save.priority_weight, save.objective_stretch), (0.2, 4.25, 1.125));
    let tenant = &s.tenants[0];
    assert_eq!((tenant.name.as_str(), tenant.quota_rps, tenant.portion), ("acme", 66.5, 0.42));
}

#[test]
fn every_key_of_the_deployment_specifics_is_read() {
    let s = Config::parse(CONFIG).expect("a valid configuration").settings.specifics;
    assert_eq!(
        (s.capacity_signal, s.upstream, s.stop_mode),
        (CapacitySignal::PrecedenceThreshold, UpstreamKind::Shared, StopMode::Abort)
    );
    assert_eq!((s.calls_by_class, s.class_skip_weights), (vec![true, false, true], vec![0.5, 0.0, 0.75]));
    assert_eq!((s.call_share, s.clients_total, s.fresh_for.0, s.signal_lifetime.0), (4.75, 13, 110, 111));
    assert_eq!(s.gauges, ["core_use", "on_cores", "heap_share", "links"]);
    assert_eq!(
        (s.client_idle_timeout.0, s.idempotency_key_kb, s.linger.0, s.call_share_window.0),
        (112, 10.5, 113, 114)
    );
    assert_eq!((s.memory_kb, s.n_cores, s.run_factor), (4000.5, 6, 8.5));
    assert!(
        s.full_checks
            && s.cold_start
            && s.endpoint_list_follows_health
            && s.propagates_deadline
            && s.reports_disconnects
    );
}

#[test]
fn every_value_of_every_enum_is_read() {
    for (word, advert) in [
        ("window", CapacitySignal::ConcurrencyWindow),
        ("share_of", CapacitySignal::AcceptanceProbability),
        ("off", CapacitySignal::Off),
    ] {
        let new = format!("\"advert\": \"{word}\"");
        assert_eq!(with("\"advert\": \"threshold\"", &new).settings.specifics.capacity_signal, advert);
    }
    for (word, below) in [("tier", UpstreamKind::Tier), ("off", UpstreamKind::Off)] {
        let new = format!("\"below\": \"{word}\"");
        assert_eq!(with("\"below\": \"shared\"", &new).settings.specifics.upstream, below);
    }
    for (word, mode) in [("suspend", StopMode::Pause), ("off", StopMode::Off)] {
        let new = format!("\"stop_mode\": \"{word}\"");
        assert_eq!(with("\"stop_mode\": \"abort\"", &new).settings.specifics.stop_mode, mode);
    }
    let by_request = with("\"worth_by\": \"work\"", "\"worth_by\": \"request\"");
    assert_eq!(by_request.settings.weight_basis, WeightBasis::Request);
}

/// Sets each flag alone to false, so that no flag can be read from another one's key.
#[test]
fn every_flag_is_read_from_its_own_key() {
    let flags = |config: Config| {
        let (s, of) = (config.settings.specifics, config.settings.limits.retry_after);
        let marks = config.settings.callers.marks_retries;
        [
            s.full_checks,
            s.cold_start,
            s.endpoint_list_follows_health,
            s.propagates_deadline,
            s.reports_disconnects,
            of,
            marks,
        ]
    };
    let keys = [
        "full_checks",
        "just_started",
        "list_follows",
        "passes_deadline",
        "tells_gone",
        "retry_after",
        "marks_retry",
    ];
    for (index, key) in keys.iter().enumerate() {
        let found = flags(with(&format!("\"{key}\": true"), &format!("\"{key}\": false")));
        let expected: Vec<bool> = (0..keys.len()).map(|other| other != index).collect();
        assert_eq!(found.to_vec(), expected, "{key}");
    }
}

/// Keys that the pages allow to be absent, or that the server does not read.
const OPTIONAL_KEYS: [&str; 6] =
    ["ledger", "admin_addr", "cores", "attempts_cap", "aim_stretch", "passes_deadline"];

/// Collects the pointers of all keys of objects.
fn keys(value: &Value, pointer: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| {
            found.push(format!("{pointer}/{key}"));
            keys(value, &format!("{pointer}/{key}"), found);
        }),
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(n, value)| keys(value, &format!("{pointer}/{n}"), found))
        }
        _ => {}
    }
}

/// Guards against a file that lacks a key and is taken with a default in its place: the window of a keyed class (review,
/// case 6), the cost of a key or a run, the slow start. The error names the key.
#[test]
fn a_file_that_lacks_a_key_is_turned_down() {
    let complete: Value = serde_json::from_str(CONFIG).expect("JSON");
    let mut pointers = Vec::new();
    keys(&complete, "", &mut pointers);
    assert!(pointers.len() > 80, "{}", pointers.len());
    for pointer in pointers {
        let (object, key) = pointer.rsplit_once('/').expect("a pointer");
        let mut file = complete.clone();
        file.pointer_mut(object).and_then(Value::as_object_mut).expect("an object").remove(key);
        match Config::parse(&file.to_string()) {
            Ok(_) => assert!(OPTIONAL_KEYS.contains(&key), "taken without {pointer}"),
            Err(error) => {
                assert!(!OPTIONAL_KEYS.contains(&key), "turned down without {pointer}: {error}");
                assert!(error.to_string().contains(key), "without {pointer}: {error}");
            }
        }
    }
}

/// Guards against values that are there and break a rule: a window that closes as it opens, a cost below 0 that makes the
/// memory account too small, a share of the upstream of 0.
#[test]
fn a_file_with_an_unusable_value_is_turned_down() {
    for (pointer, value, named) in [
        ("/settings/profiles/1/window", json!(0), "profiles[save].window above 0"),
        ("/settings/profiles/1/deadline", json!(0), "profiles[save].deadline above 0"),
        ("/settings/profiles/1/late_value", json!(1.5), "profiles[save].late_value from 0 to 1"),
        ("/settings/profiles/2/worth", json!(-1), "profiles[post].worth of 0 or more"),
        ("/settings/specifics/class_skip_worth/0", json!(2), "profiles[view].skip_worth from 0 to 1"),
        ("/settings/specifics/kb_per_key", json!(-0.5), "specifics.kb_per_key of 0 or more"),
        ("/settings/specifics/run_factor", json!(0), "specifics.run_factor above 0"),
        ("/settings/specifics/calls_out", json!(0), "specifics.calls_out above 0"),
        ("/settings/specifics/share_span", json!(0), "specifics.share_span above 0"),
        ("/settings/customers/0/quota_rps", json!(-1), "customers[].quota_rps of 0 or more"),
        ("/settings/over_share_worth", json!(-1), "over_share_worth of 0 or more"),
    ] {
        let mut file: Value = serde_json::from_str(CONFIG).expect("JSON");
        *file.pointer_mut(pointer).expect("a value") = value;
        let error = Config::parse(&file.to_string()).expect_err(pointer).to_string();
        assert!(error.contains(named), "{pointer}: {error}");
    }
}
