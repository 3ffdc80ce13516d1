//! Health: stalls, unread waits, and the response to health checks.

use crate::common::*;
use gradepin_admission::{Action, Event, Gauges, Outcome, Request, Span, Time};
use serde_json::json;

/// Reported health after requests that waited unread for 900 ms, and after a period without requests.
fn health_after_unread_waits(endpoint_list_follows_health: bool) -> (Option<bool>, Option<bool>) {
    let mut set = base();
    set["specifics"]["list_follows"] = json!(endpoint_list_follows_health);
    let mut c = started_controller(set);
    let health = |out: &[Action]| {
        out.iter()
            .filter_map(|a| if let Action::ReportHealth { active, .. } = a { Some(*active) } else { None })
            .next_back()
    };
    let mut last = None;
    for n in 0..60_u64 {
        let waited = Request { unread_for: Span(900 * MS), ..read(&format!("r{n}")) };
        let out = at(&mut c, 10 + n * 20, vec![Event::Arrived(waited), timer(0.1)]);
        last = health(&out).or(last);
        for name in run_ids(&out) {
            last = health(&at(&mut c, 15 + n * 20, vec![completed(name, Outcome::Success)])).or(last);
        }
    }
    let late = last;
    for n in 0..300_u64 {
        last = health(&at(&mut c, 1300 + n * 100, vec![timer(0.1)])).or(last);
    }
    (late, last)
}

#[test]
fn unread_waits_make_the_server_unhealthy_until_they_end() {
    assert_eq!(
        health_after_unread_waits(false),
        (Some(false), Some(true)),
        "health recovers without requests"
    );
}

#[test]
fn unread_waits_leave_the_server_healthy_where_the_endpoint_list_follows_health() {
    assert_eq!(health_after_unread_waits(true), (None, None));
}

#[test]
fn rejects_on_arrival_while_runs_hang() {
    // A quarter of a fleet hung; its servers queued the requests that they read for a second, then rejected them
    // with final rejections.
    let mut c = started_controller(base());
    for n in 0..8_u64 {
        arrive(&mut c, n * 100, vec![read(&format!("r{n}"))]);
        if n < 4 {
            at(&mut c, n * 100 + 90, vec![timer(0.1), completed(&format!("r{n}"), Outcome::Success)]);
        }
    }
    for ms in (800..2000).step_by(100) {
        at(&mut c, ms, vec![timer(0.1)]);
    }
    let retry = Request { retry: true, ..read("hung") };
    let out = arrive(&mut c, 2001, vec![retry]);
    assert!(out.iter().any(|a| matches!(a, Action::Reject { is_final: false, .. })), "{out:?}");
    let moved = (4..8).map(|n| completed(&format!("r{n}"), Outcome::Success)).collect();
    at(&mut c, 2050, moved);
    at(&mut c, 2200, vec![timer(0.1)]);
    assert_eq!(
        run_ids(&arrive(&mut c, 2210, vec![read("later")])),
        ["later"],
        "the stall ends with the next progress"
    );
}

#[test]
fn new_server_is_not_stalled_in_its_first_period() {
    // Guards against progress measured from the zero of the clock, or from the start of a processor that started
    // before its server. Each new server was unhealthy for its first period and left the endpoint list for a second.
    let start = Time(8_000 * MS);
    let mut c = gradepin_admission::Controller::new(settings(base()), 11, Time(2_000 * MS));
    let mut out = Vec::new();
    c.handle(start, &[], &mut out);
    c.handle(Time(start.0 + 100 * MS), &[timer(0.1)], &mut out);
    assert!(out.contains(&Action::ReportHealth { shallow: true, active: true }));
    assert!(!out.contains(&Action::ReportHealth { shallow: true, active: false }));
}

#[test]
fn reading_that_fills_the_cores_makes_the_server_unhealthy() {
    // Guards against incident r3e27a7: a cold server's cores read requests for 8 s whose callers had given up. Free
    // capacity for runs counted as progress, so the server stayed on the endpoint list.
    let mut value = base();
    value["specifics"]["list_follows"] = json!(true);
    let mut c = started_controller(value);
    let full = |on: f64| {
        Event::Timer(Gauges {
            cpu_utilization: Some(1.0),
            runnable: Some(on),
            memory_utilization: Some(0.1),
            links: Some(9.0),
        })
    };
    let mut health = Vec::new();
    let mut record_health = |out: Vec<Action>| {
        for action in out {
            if let Action::ReportHealth { active, .. } = action {
                health.push(active);
            }
        }
    };
    for ms in (100..1500).step_by(100) {
        record_health(at(&mut c, ms, vec![full(4.0)]));
    }
    for ms in (1500..1800).step_by(100) {
        record_health(at(&mut c, ms, vec![timer(0.1)]));
    }
    assert_eq!(
        health,
        [false, true],
        "unhealthy without progress, and healthy again as soon as cores are free"
    );
}
