use super::*;
use crate::settings::Route;

fn routes(routes: &[(&str, &str, &str)]) -> Result<Routes, BadRoute> {
    let settings = serde_json::from_value(serde_json::json!({
        "granularity": 1, "customers": [{"name": "acme", "portion": 1.0, "quota_rps": 1.0}],
        "profiles": [{"name": "view", "promise": MS, "deadline": 4000 * MS, "effect": "repeatable", "worth": 1.0},
                     {"name": "save", "promise": MS, "deadline": 4000 * MS, "effect": "by_key", "worth": 1.0}],
        "rules": {"fall": 1, "tip_multiple": 4.0, "drain_grace": 1},
        "specifics": {"n_cores": 1, "memory_kb": 1.0, "run_factor": 1.0}
    }));
    let route = |(method, path, class): &(&str, &str, &str)| Route {
        method: method.to_string(),
        path: path.to_string(),
        class: class.to_string(),
    };
    let set = ScgiSettings {
        routes: routes.iter().map(route).collect(),
        health: Some("/health".into()),
        ..ScgiSettings::default()
    };
    let settings: gradepin_admission::Settings = settings.expect("settings");
    Routes::new(&set, ActiveSettings::new(&settings), |class| settings.class(class).is_some())
}

fn some() -> Routes {
    routes(&[("GET", "/sheets/{id}", "view"), ("PUT", "/labels/{id}", "save")]).expect("routes")
}

fn asked(headers: &[(&str, &str)]) -> Result<Routed, Refusal> {
    let headers = headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
    some().route(&Request { headers, body: b"in".to_vec() }, 17, 255, &BufferPool::new(1))
}

#[test]
fn methods_and_paths_lead_to_classes_health_and_plain_errors() {
    let of = |method: &str, path: &str| asked(&[("REQUEST_METHOD", method), ("DOCUMENT_URI", path)]);
    let Ok(Routed::Call(call)) = of("GET", "/sheets/9?zoom=1") else { panic!("a call") };
    assert_eq!(
        (call.class.slot(), call.budget_ms, call.arrived_unix_ms, &*call.id.0),
        (0, 4000, 17, "00000000000000ff")
    );
    assert!(matches!(of("GET", "/health"), Ok(Routed::Health)));
    for (method, path, misuse) in [
        ("GET", "/nothing", RequestError::NotFound),
        ("DELETE", "/sheets/9", RequestError::MethodNotAllowed),
        ("PUT", "/labels/1", RequestError::Malformed),
    ] {
        assert_eq!(of(method, path).unwrap_err().0, misuse, "{method} {path}");
    }
    assert_eq!(asked(&[("DOCUMENT_URI", "/sheets/9")]).unwrap_err().0, RequestError::Malformed);
}

#[test]
fn headers_say_who_waits_how_long_and_strangers_figures_are_errors() {
    let with = |name: &str, value: &str| {
        asked(&[
            ("REQUEST_METHOD", "PUT"),
            ("PATH_INFO", "/labels/1"),
            ("HTTP_IDEMPOTENCY_KEY", "\"k1\""),
            (name, value),
        ])
    };
    let Ok(Routed::Call(call)) = with("HTTP_X_WAIT_MS", "900") else { panic!("a call") };
    assert_eq!((call.idempotency_key.as_deref(), call.budget_ms, call.retry), (Some("k1"), 900, false));
    let Ok(Routed::Call(call)) = with("HTTP_X_RETRY", "1") else { panic!("a call") };
    assert!(call.retry);
    for (name, value) in [
        ("HTTP_X_TENANT", "nobody"),
        ("HTTP_X_WAIT_MS", "-1"),
        ("HTTP_X_RANK", "1.0"),
        ("HTTP_X_RANK", "NaN"),
        ("HTTP_X_MEMORY_KB", "1e9"),
        ("HTTP_X_REQUEST_ID", "forged\r\nbegin"),
        ("HTTP_X_REQUEST_ID", "123"),
    ] {
        assert_eq!(with(name, value).unwrap_err().0, RequestError::Malformed, "{name} {value}");
    }
}

#[test]
fn patterns_that_overlap_or_lead_nowhere_are_errors_at_load() {
    let two = |a: &str, b: &str| routes(&[("GET", a, "view"), ("GET", b, "view")]);
    assert!(matches!(two("/a/{x}", "/a/{y}"), Err(BadRoute::Pattern { .. })));
    assert!(matches!(two("/a", "/a"), Err(BadRoute::Pattern { .. })));
    assert!(matches!(two("/a/{", "/b"), Err(BadRoute::Pattern { .. })));
    assert!(matches!(two("/health", "/b"), Err(BadRoute::Pattern { .. })), "health has that path");
    assert!(two("/a/{x}", "/a/b").is_ok(), "a fixed path beside a pattern is told apart");
    assert_eq!(routes(&[("GET", "/a", "none")]).unwrap_err(), BadRoute::Class("none".into()));
}
