//! Helpers of the controller tests: settings, requests, and queries of the returned actions.
#![allow(dead_code)]

use gradepin_admission::{
    Action, Controller, Event, Gauges, Outcome, Request, RequestId, Settings, Span, Time,
};
use serde_json::{Value, json};

pub const MS: u64 = 1_000_000;

/// Settings of a server with four cores and two classes: an idempotent `read`, and a keyed `claim` with three
/// times its priority weight.
pub fn base() -> Value {
    json!({
        "granularity": 5 * MS,
        "servers": 4,
        "tier": 0,
        "profiles": [
            {"name": "read", "promise": 1000 * MS, "deadline": 4000 * MS, "effect": "repeatable",
             "late_value": 0.2, "worth": 1.0},
            {"name": "claim", "promise": 1000 * MS, "deadline": 4000 * MS, "effect": "by_key",
             "late_value": 0.0, "window": 9000 * MS, "worth": 3.0}
        ],
        "customers": [],
        "worth_by": "request",
        "over_share_worth": 1.0,
        "prices": {"connection": 0.0, "handshake": 0.0, "late_fail": 0.0, "origin": 0.0, "waste": 0.0},
        "callers": {"marks_retry": true},
        "limits": {"max_retry_after": 1000 * MS, "retry_after": true},
        "goal": {"whole": 0.7, "worst_class": 0.1, "worst_window": 0.2, "worst_tenant": 0.0},
        "rules": {"answer_slack": 60 * MS, "cold": 10000 * MS, "cold_share": 0.25, "drain_grace": 1000 * MS,
                  "fall": 1500 * MS, "tip_multiple": 4.0},
        "specifics": {"n_cores": 4, "memory_kb": 4000.0, "run_factor": 4.0, "kb_per_key": 10.0,
                      "below": "shared", "calls_out": 4.0, "share_span": 5000 * MS, "linger": 200 * MS,
                      "class_skip_worth": [0.5, 0.0], "clients_total": 3, "passes_deadline": true,
                      "idle": 15000 * MS, "heeded": 1000 * MS, "advert": "off", "calls_by_class": [],
                      "fresh_for": 0, "full_checks": false, "gauges": [], "just_started": false,
                      "list_follows": false, "stop_mode": "off", "tells_gone": false}
    })
}

pub fn settings(value: Value) -> Settings {
    serde_json::from_value(value).expect("settings of the test are valid")
}

/// A controller that has handled an empty batch at time 0.
pub fn started_controller(value: Value) -> Controller {
    let mut c = Controller::new(settings(value), 11, Time(0));
    c.handle(Time(0), &[], &mut Vec::new());
    c
}

pub fn id(text: &str) -> RequestId {
    RequestId::new(text)
}

pub fn read(name: &str) -> Request {
    Request { id: id(name), expires_in: Some(Span(4000 * MS)), size_kb: 20.0, ..Request::default() }
}

pub fn claim(name: &str, earlier: Option<&str>) -> Request {
    Request { class: 1, earlier_attempt: earlier.map(id), ..read(name) }
}

/// A timer event with the given memory utilization and half of the CPU in use.
pub fn timer(utilization: f64) -> Event {
    let gauges = Gauges {
        cpu_utilization: Some(0.5),
        runnable: Some(2.0),
        memory_utilization: Some(utilization),
        links: Some(9.0),
    };
    Event::Timer(gauges)
}

/// Handles a batch at a time in milliseconds and returns the actions.
pub fn at(c: &mut Controller, ms: u64, events: Vec<Event>) -> Vec<Action> {
    let mut out = Vec::new();
    c.handle(Time(ms * MS), &events, &mut out);
    out
}

pub fn arrive(c: &mut Controller, ms: u64, requests: Vec<Request>) -> Vec<Action> {
    at(c, ms, requests.into_iter().map(Event::Arrived).collect())
}

/// The requests whose runs the actions start.
pub fn run_ids(out: &[Action]) -> Vec<&str> {
    let named = out.iter().filter_map(|a| if let Action::Run(id) = a { Some(&*id.0) } else { None });
    named.collect()
}

/// The requests that the actions reject.
pub fn rejected(out: &[Action]) -> Vec<&str> {
    out.iter().filter_map(|a| if let Action::Reject { id, .. } = a { Some(&*id.0) } else { None }).collect()
}

/// The end of a run that took 100 ms.
pub fn completed(name: &str, outcome: Outcome) -> Event {
    Event::Completed { id: id(name), outcome, took: Span(100 * MS) }
}
