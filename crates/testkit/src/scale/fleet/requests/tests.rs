use super::*;
use gradepin_core::config::Config;

const SETTINGS: &str = r#"{
    "name": "h0", "listen": "127.0.0.1:1", "processor": "127.0.0.1:2", "control": "127.0.0.1:3", "seed": "1",
    "stop_ms": 1000, "limits": {"memory_mb": 192, "sockets": 128},
    "settings": {"granularity": 1000000, "servers": 1, "tier": 0, "worth_by": "request", "over_share_worth": 1.0,
        "rules": {"answer_slack": 0, "cold": 0, "cold_share": 1.0, "drain_grace": 1, "fall": 1500000000, "tip_multiple": 4.0},
        "profiles": [
            {"name": "label-save", "promise": 1000000, "deadline": 2000000, "effect": "by_key", "window": 9000000, "late_value": 0.0,
             "worth": 1.0},
            {"name": "sheet-view", "promise": 1000000, "deadline": 2000000, "effect": "repeatable", "late_value": 0.0, "worth": 1.0}],
        "customers": [{"name": "a", "quota_rps": 0.0, "portion": 0.0}, {"name": "b", "quota_rps": 0.0, "portion": 0.0}],
        "callers": {"marks_retry": false}, "limits": {"max_retry_after": 0, "retry_after": false},
        "goal": {"whole": 1.0, "worst_class": 0.0, "worst_tenant": 0.0, "worst_window": 0.0},
        "prices": {"connection": 0.0, "handshake": 0.0, "late_fail": 0.0, "origin": 0.0, "waste": 0.0},
        "specifics": {"n_cores": 2, "memory_kb": 4096.0, "run_factor": 4.0, "advert": "off", "below": "off", "calls_by_class": [],
            "calls_out": 0.0, "class_skip_worth": [], "clients_total": 0, "fresh_for": 0, "full_checks": false, "gauges": [],
            "heeded": 0, "idle": 0, "just_started": false, "kb_per_key": 0.0, "linger": 0, "list_follows": false, "share_span": 0,
            "stop_mode": "off", "tells_gone": false}}
}"#;

fn moment(ms: u64) -> Timestamp {
    Timestamp { now: Time(1_000_000_000_000 + ms * 1_000_000), unix_ms: ms }
}

/// Requests arrive at the configured rate regardless of the host's timing, with an idempotency key where the class is keyed,
/// and each run ends exactly once.
#[test]
fn requests_arrive_at_their_rate_and_runs_end_once() {
    let settings = Config::parse(SETTINGS).unwrap().settings;
    let pool = BufferPool::new(8);
    let classes = settings.clone().split().classes;
    let mut requests = Requests::new(3, 11, 200.0, 20.0, moment(0).now);
    let (mut inputs, mut arrived, mut ended) = (Vec::new(), 0, 0);
    // Uneven intervals, ten seconds in total.
    for ms in (0..=10_000).step_by(7) {
        arrived += requests.due(moment(ms), &settings, &pool, &mut inputs);
        for input in std::mem::take(&mut inputs) {
            match input {
                Input::Request { request: call, .. } => {
                    assert_eq!(
                        call.idempotency_key.is_some(),
                        call.class.slot() == 0,
                        "keyed classes have a token"
                    );
                    let body = Arc::new(call.body);
                    let class = Arc::clone(&classes[call.class.slot()]);
                    let begin = Effect::StartRun { link: LINK, id: call.id, class, body };
                    requests.apply(moment(ms).now, begin, &mut inputs);
                }
                Input::RunCompleted { notice, .. } => {
                    ended += 1;
                    assert_eq!(notice, ended, "notices are numbered without a gap");
                }
                _ => {}
            }
        }
    }
    assert!((1_800..2_200).contains(&arrived), "seed 11: {arrived} in ten seconds at 200 a second");
    assert!(arrived - ended < 50, "{ended} of {arrived} ended");
}

/// Guards against requests on a connection that the server has closed.
#[test]
fn closed_connection_is_reopened() {
    let settings = Config::parse(SETTINGS).unwrap().settings;
    let pool = BufferPool::new(8);
    let mut requests = Requests::new(1, 5, 100.0, 5.0, moment(0).now);
    let mut inputs = Vec::new();
    requests.due(moment(500), &settings, &pool, &mut inputs);
    assert!(matches!(inputs[0], Input::ConnectionOpened(1)));
    inputs.clear();
    requests.apply(
        moment(500).now,
        Effect::CloseIdleConnection { connection: 1, messages_received: 9 },
        &mut inputs,
    );
    assert!(matches!(inputs[..], [Input::ConnectionClosed(1)]));
    inputs.clear();
    requests.due(moment(1_000), &settings, &pool, &mut inputs);
    assert!(matches!(inputs[0], Input::ConnectionOpened(2)));
}
