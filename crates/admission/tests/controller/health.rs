//! Health, stalls and unread waits.

use crate::common::*;
use gradepin_admission::{Action, Event, Gauges, Outcome, Request, Span, Time};
use serde_json::json;

/// Health after requests that were read 900 ms late, and after a silence.
fn health_after_unread_waits(endpoint_list_follows_health: bool) -> (Option<bool>, Option<bool>) {
    let mut set = base();
    set["specifics"]["list_follows"] = json!(endpoint_list_follows_health);
    let mut c = started(set);
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
        for name in processed(&out) {
            last = health(&at(&mut c, 15 + n * 20, vec![done(name, Outcome::Success)])).or(last);
        }
    }
    let late = last;
    for n in 0..300_u64 {
        last = health(&at(&mut c, 1300 + n * 100, vec![timer(0.1)])).or(last);
    }
    (late, last)
}

#[test]
fn unread_waits_make_health_bad_until_they_end() {
    assert_eq!(health_after_unread_waits(false), (Some(false), Some(true)), "silence brings health back");
}

#[test]
fn unread_waits_leave_health_good_where_the_endpoint_list_follows_it() {
    assert_eq!(health_after_unread_waits(true), (None, None));
}

#[test]
fn rejects_at_once_while_runs_hang_and_requests_are_read() {
    // Found at full size: a quarter of the boxes hung, held what they read for a second, then refused it for good.
    let mut c = started(base());
    for n in 0..8_u64 {
        arrive(&mut c, n * 100, vec![read(&format!("r{n}"))]);
        if n < 4 {
            at(&mut c, n * 100 + 90, vec![timer(0.1), done(&format!("r{n}"), Outcome::Success)]);
        }
    }
    for ms in (800..2000).step_by(100) {
        at(&mut c, ms, vec![timer(0.1)]);
    }
    let retry = Request { retry: true, ..read("hung") };
    let out = arrive(&mut c, 2001, vec![retry]);
    assert!(out.iter().any(|a| matches!(a, Action::Reject { is_final: false, .. })), "{out:?}");
    let moved = (4..8).map(|n| done(&format!("r{n}"), Outcome::Success)).collect();
    at(&mut c, 2050, moved);
    at(&mut c, 2200, vec![timer(0.1)]);
    assert_eq!(processed(&arrive(&mut c, 2210, vec![read("later")])), ["later"], "it comes back by itself");
}

#[test]
fn new_server_is_not_stalled_in_its_first_period() {
    // Guards against a first period that measured progress from the clock's zero, or from the start of a
    // processor that came up before its server: health went bad for a period after each start, and the list
    // took the server off for a second.
    let start = Time(8_000 * MS);
    let mut c = gradepin_admission::Controller::new(settings(base()), 11, Time(2_000 * MS));
    let mut out = Vec::new();
    c.handle(start, &[], &mut out);
    c.handle(Time(start.0 + 100 * MS), &[timer(0.1)], &mut out);
    assert!(out.contains(&Action::ReportHealth { shallow: true, active: true }));
    assert!(!out.contains(&Action::ReportHealth { shallow: true, active: false }));
}

#[test]
fn reading_that_fills_the_cores_alone_makes_health_bad() {
    // Guards against incident r3e27a7: readings filled a cold server's cores for 8 s and brought nothing that anyone
    // still waited for; the free places among its runs passed for progress, and the list kept sending callers.
    let mut value = base();
    value["specifics"]["list_follows"] = json!(true);
    let mut c = started(value);
    let full = |on: f64| {
        Event::Timer(Gauges {
            cpu_utilization: Some(1.0),
            runnable: Some(on),
            memory_utilization: Some(0.1),
            links: Some(9.0),
        })
    };
    let mut health = Vec::new();
    let mut hear = |out: Vec<Action>| {
        for action in out {
            if let Action::ReportHealth { active, .. } = action {
                health.push(active);
            }
        }
    };
    for ms in (100..1500).step_by(100) {
        hear(at(&mut c, ms, vec![full(4.0)]));
    }
    for ms in (1500..1800).step_by(100) {
        hear(at(&mut c, ms, vec![timer(0.1)]));
    }
    assert_eq!(
        health,
        [false, true],
        "bad while nothing moves, and good again as soon as the cores are free"
    );
}
