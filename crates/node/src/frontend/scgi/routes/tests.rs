use super::*;
use crate::settings::Route;

fn routes(routes: &[(&str, &str, &str)]) -> Result<Routes, RouteError> {
    let settings = serde_json::from_value(serde_json::json!({
        "granularity": 1, "customers": [{"name": "acme", "portion": 1.0, "quota_rps": 1.0}],
        "profiles": [{"name": "view", "promise": NANOSECONDS_PER_MS, "deadline": 4000 * NANOSECONDS_PER_MS, "effect": "repeatable", "worth": 1.0},
                     {"name": "save", "promise": NANOSECONDS_PER_MS, "deadline": 4000 * NANOSECONDS_PER_MS, "effect": "by_key", "worth": 1.0}],
        "rules": {"fall": 1, "tip_multiple": 4.0, "drain_grace": 1},
        "specifics": {"n_cores": 1, "memory_kb": 1.0, "run_factor": 1.0}
    }));
    let route = |(method, path, class): &(&str, &str, &str)| Route {
        method: method.to_string(),
        path: path.to_string(),
        class: class.to_string(),
    };
    let scgi = ScgiSettings {
        routes: routes.iter().map(route).collect(),
        health: Some("/health".into()),
        ..ScgiSettings::default()
    };
    let settings: gradepin_admission::Settings = settings.expect("settings");
    Routes::new(&scgi, ActiveSettings::new(&settings), |class| settings.class(class).is_some())
}

fn example_routes() -> Routes {
    routes(&[("GET", "/sheets/{id}", "view"), ("PUT", "/labels/{id}", "save")]).expect("routes")
}

fn routed(headers: &[(&str, &str)]) -> Result<Routed, InvalidRequest> {
    let headers = headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
    example_routes().route(
        &Request { headers, body: b"in".to_vec() },
        Arrival { unix_ms: 17, generated_id: 255 },
        &BufferPool::new(1),
    )
}

#[test]
fn routes_methods_and_paths_to_classes_health_checks_and_errors() {
    let route_of = |method: &str, path: &str| routed(&[("REQUEST_METHOD", method), ("DOCUMENT_URI", path)]);
    let Ok(Routed::Request(call)) = route_of("GET", "/sheets/9?zoom=1") else { panic!("expected a request") };
    assert_eq!(
        (call.class.slot(), call.budget_ms, call.arrived_unix_ms, &*call.id.0),
        (0, 4000, 17, "00000000000000ff")
    );
    assert!(matches!(route_of("GET", "/health"), Ok(Routed::HealthCheck)));
    for (method, path, error) in [
        ("GET", "/nothing", RequestError::NotFound),
        ("DELETE", "/sheets/9", RequestError::MethodNotAllowed),
        ("PUT", "/labels/1", RequestError::Malformed),
    ] {
        assert_eq!(route_of(method, path).unwrap_err().error, error, "{method} {path}");
    }
    assert_eq!(routed(&[("DOCUMENT_URI", "/sheets/9")]).unwrap_err().error, RequestError::Malformed);
}

#[test]
fn reads_headers_and_rejects_invalid_values() {
    let with = |name: &str, value: &str| {
        routed(&[
            ("REQUEST_METHOD", "PUT"),
            ("PATH_INFO", "/labels/1"),
            ("HTTP_IDEMPOTENCY_KEY", "\"k1\""),
            (name, value),
        ])
    };
    let Ok(Routed::Request(call)) = with("HTTP_X_WAIT_MS", "900") else { panic!("expected a request") };
    assert_eq!((call.idempotency_key.as_deref(), call.budget_ms, call.retry), (Some("k1"), 900, false));
    let Ok(Routed::Request(call)) = with("HTTP_X_RETRY", "1") else { panic!("expected a request") };
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
        assert_eq!(with(name, value).unwrap_err().error, RequestError::Malformed, "{name} {value}");
    }
}

#[test]
fn rejects_overlapping_patterns_and_unknown_classes_at_load() {
    let two = |a: &str, b: &str| routes(&[("GET", a, "view"), ("GET", b, "view")]);
    assert!(matches!(two("/a/{x}", "/a/{y}"), Err(RouteError::InvalidPattern { .. })));
    assert!(matches!(two("/a", "/a"), Err(RouteError::InvalidPattern { .. })));
    assert!(matches!(two("/a/{", "/b"), Err(RouteError::InvalidPattern { .. })));
    assert!(
        matches!(two("/health", "/b"), Err(RouteError::InvalidPattern { .. })),
        "the health check has this path"
    );
    assert!(two("/a/{x}", "/a/b").is_ok(), "a fixed path takes precedence over a pattern");
    assert_eq!(routes(&[("GET", "/a", "none")]).unwrap_err(), RouteError::UnknownClass("none".into()));
}
