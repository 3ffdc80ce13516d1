use super::*;
use serde_json::{Value, json};

/// A configuration with these classes and all keys that a file must have.
fn file(class_names: &[&str]) -> Value {
    let specifics = json!({"advert": "off", "below": "off", "calls_by_class": [], "calls_out": 0.0,
        "class_skip_worth": [], "clients_total": 0, "fresh_for": 0, "full_checks": false, "gauges": [], "heeded": 0,
        "idle": 0, "just_started": false, "kb_per_key": 0.0, "linger": 0, "list_follows": false, "memory_kb": 1.0,
        "n_cores": 1, "run_factor": 1.0, "share_span": 1, "stop_mode": "off", "tells_gone": false});
    let class = |name: &&str| json!({"name": name, "promise": 1, "deadline": 1, "effect": "once", "late_value": 0.0, "worth": 1.0});
    json!({
        "name": "n", "listen": "127.0.0.1:1", "processor": "127.0.0.1:2", "control": "127.0.0.1:3", "seed": "1",
        "stop_ms": 1, "limits": {"memory_mb": 192, "sockets": 512}, "settings": {
            "granularity": 1, "servers": 1, "tier": 0, "customers": [], "callers": {"marks_retry": false},
            "profiles": class_names.iter().map(class).collect::<Vec<_>>(),
            "goal": {"whole": 1.0, "worst_class": 0.0, "worst_tenant": 0.0, "worst_window": 0.0},
            "limits": {"max_retry_after": 0, "retry_after": false}, "worth_by": "request", "over_share_worth": 1.0,
            "prices": {"connection": 0.0, "handshake": 0.0, "late_fail": 0.0, "origin": 0.0, "waste": 0.0},
            "rules": {"answer_slack": 0, "cold": 0, "cold_share": 1.0, "fall": 1, "tip_multiple": 1.0, "drain_grace": 1},
            "specifics": specifics}
    })
}

fn config(change: impl Fn(&mut Value)) -> Config {
    let mut text = file(&["a"]);
    change(&mut text);
    Config::parse(&text.to_string()).unwrap()
}

/// Guards the server's own connections: when clients use all of theirs, descriptors remain for every upstream call,
/// every client of the admin endpoint and everything else.
#[test]
fn client_connections_leave_descriptors_for_the_servers_own_use() {
    let plain = config(|_| ());
    assert_eq!((plain.max_connections(), plain.max_upstream_calls()), (480, 0));
    let calling = |share: f64, sockets: usize| {
        config(|text| {
            text["ledger"] = json!("127.0.0.1:4");
            text["admin_addr"] = json!("127.0.0.1:5");
            text["limits"]["sockets"] = json!(sockets);
            text["settings"]["specifics"]["below"] = json!("shared");
            text["settings"]["specifics"]["calls_out"] = json!(share);
        })
    };
    for (share, sockets, calls) in
        [(0.4, 512, 4), (15.0, 512, 30), (1e9, 512, 64), (1e9, 128, 16), (1e-9, 128, 4)]
    {
        let config = calling(share, sockets);
        assert_eq!(config.max_upstream_calls(), calls, "a share of {share}");
        assert_eq!(config.max_connections() + calls + ADMIN_SOCKETS + RESERVED_SOCKETS, sockets);
    }
    let lending = Config { lends: true, ..calling(4.0, 1024) };
    assert_eq!(lending.max_upstream_calls(), 24);
}

/// Guards operators whose tools write whole numbers with a point or an exponent: the server didn't start with such a
/// file.
#[test]
fn accepts_whole_numbers_with_a_point_or_an_exponent() {
    let complete = file(&["a"]).to_string();
    let replaced = [
        ("\"stop_ms\":1", "\"stop_ms\":3200.0"),
        ("\"sockets\":512", "\"sockets\":5.12e2"),
        ("\"memory_mb\":192", "\"memory_mb\":96.5"),
        ("\"granularity\":1", "\"granularity\":2e6"),
        ("\"servers\":1", "\"servers\":10.0"),
        ("\"tier\":0", "\"tier\":0.0"),
        ("\"deadline\":1", "\"deadline\":4e9"),
        ("\"effect\":\"once\"", "\"effect\":\"by_key\",\"window\":12075000000.5"),
        ("\"max_retry_after\":0", "\"max_retry_after\":1E9"),
        ("\"fall\":1", "\"fall\":1.5e9"),
        ("\"drain_grace\":1", "\"drain_grace\":0.0"),
        ("\"n_cores\":1", "\"n_cores\":6.0"),
        ("\"clients_total\":0", "\"clients_total\":3e0"),
    ];
    let text = replaced.iter().fold(complete, |text, (from, to)| {
        assert_eq!(text.matches(from).count(), 1, "{from}");
        text.replace(from, to)
    });
    let config = Config::parse(&text).unwrap();
    assert_eq!((config.stop_ms, config.limits.sockets, config.limits.memory_mb), (3200, 512, 96));
    let settings = &config.settings;
    let profile = &settings.profiles[0];
    assert_eq!((profile.deadline.0, profile.window.0), (4_000_000_000, 12_075_000_000));
    assert_eq!((settings.min_batch_interval.0, settings.rules.overload_window.0), (2_000_000, 1_500_000_000));
    assert_eq!((settings.servers, settings.specifics.n_cores, settings.specifics.clients_total), (10, 6, 3));
}

/// Guards the search for a mistake in a file with hundreds of classes: the error gives the path of the keys, what was
/// expected and what was found.
#[test]
fn error_names_the_path_of_the_invalid_value() {
    let good = file(&["a", "b\\\"{["]);
    let error_at = |pointer: &str, value: Value| {
        let mut changed = good.clone();
        let (object, key) = pointer.rsplit_once('/').unwrap();
        let object = changed.pointer_mut(object).unwrap().as_object_mut().unwrap();
        if value.is_null() {
            drop(object.remove(key))
        } else {
            drop(object.insert(key.into(), value))
        }
        // The path must not depend on the line breaks in the text.
        let error = Config::parse(&changed.to_string()).unwrap_err().to_string();
        let lines = Config::parse(&serde_json::to_string_pretty(&changed).unwrap()).unwrap_err().to_string();
        let without = |text: &str| text.split(" at line ").next().unwrap().to_string();
        assert_eq!(without(&error), without(&lines));
        error
    };
    for (pointer, value, parts) in [
        (
            "/settings/profiles/1/deadline",
            json!("soon"),
            ["settings.profiles[1].deadline: ", "\"soon\"", "expected a number"],
        ),
        ("/settings/profiles/1/deadline", json!(-5), ["settings.profiles[1].deadline: ", "`-5`", "from 0"]),
        ("/listen", json!("here"), ["listen: ", "expected an address and port", "got \"here\""]),
        ("/ledger", json!("127.0.0.1"), ["ledger: ", "expected an address and port", "got \"127.0.0.1\""]),
        ("/control", json!(7946), ["control: ", "expected a string", "`7946`"]),
        ("/settings/rules/fall", Value::Null, ["settings.rules: ", "missing field", "`fall`"]),
        ("/settings/rules/fall", json!(true), ["settings.rules.fall: ", "`true`", "expected a number"]),
        (
            "/settings/specifics/n_cores",
            json!(1.5),
            ["settings.specifics.n_cores: ", "1.5", "a whole number"],
        ),
        ("/settings/specifics/n_cores", json!(0), ["specifics.n_cores", "above 0", "got 0"]),
        (
            "/settings/profiles/0/effect",
            json!("twice"),
            ["settings.profiles[0].effect: ", "`twice`", "expected one of"],
        ),
        ("/limits/sockets", json!(12), ["limits.sockets", "128 or more", "got 12"]),
        ("/stop_ms", Value::Null, ["the top: ", "missing field", "`stop_ms`"]),
    ] {
        let error = error_at(pointer, value);
        assert!(parts.iter().all(|part| error.contains(part)), "{pointer}: {error}");
    }
    let long = |pointer: &str| error_at(pointer, json!("x".repeat(1_025)));
    let error = long("/settings/profiles/0/name");
    assert!(
        error.contains("settings.profiles") && error.contains("1024 bytes") && error.contains("1025"),
        "{error}"
    );
    for text in ["", "{", "[1, 2", "{\"name\": \"n\", \"sto", "\u{feff}{}", "nonsense"] {
        let error = Config::parse(text).unwrap_err().to_string();
        assert!(error.starts_with("expected a configuration: "), "{error}");
    }
}

/// Guards the thread that reloads files against a panic, whatever byte of a file is missing or changed.
#[test]
fn any_corrupted_file_is_an_error() {
    let good = file(&["ä\\\""]);
    for text in [good.to_string(), serde_json::to_string_pretty(&good).unwrap()] {
        for at in (0..text.len()).filter(|at| text.is_char_boundary(*at)) {
            let error = Config::parse(&text[..at]).unwrap_err().to_string();
            assert!(error.starts_with("expected a configuration: "), "cut at {at}: {error}");
            let rest = text[at..].chars().next().map_or("", |first| &text[at + first.len_utf8()..]);
            for other in ["", "\"", "{", "}", "[", "]", ",", ":", "\\", "\n", "0", "-", "ä"] {
                let corrupted = format!("{}{other}{rest}", &text[..at]);
                if let Err(error) = Config::parse(&corrupted) {
                    assert!(error.to_string().starts_with("expected"), "{other:?} at {at}: {error}");
                }
            }
        }
    }
}
