//! Advice to callers: advertised capacity, Retry-After and the idle timeout of connections.

use crate::common::*;
use gradepin_admission::{Action, Controller, Event, Gauges, Outcome, Request, Settings, Span, Time};
use serde_json::json;

#[test]
fn closes_connections_before_their_callers_would() {
    // Guards against connection tables that fill up: 900 callers left connections open that they never used again.
    let mut c = gradepin_admission::Controller::new(settings(base()), 11, Time(0));
    let out = at(&mut c, 0, vec![]);
    assert!(out.iter().any(|a| matches!(a, Action::SetIdleTimeout(limit) if *limit < Span(15000 * MS))));
}

#[test]
fn keeps_connections_while_reading_overloads_the_cores_and_closes_them_while_cores_idle() {
    // With a fixed idle timeout, new connections used up the cores of an overloaded fleet.
    let mut c = started_controller(base());
    let gauges = |used: f64, on: f64| {
        Event::Timer(Gauges {
            cpu_utilization: Some(used),
            runnable: Some(on),
            memory_utilization: Some(0.1),
            links: Some(9.0),
        })
    };
    let last = |out: &[Action]| {
        out.iter()
            .filter_map(|a| if let Action::SetIdleTimeout(limit) = a { Some(*limit) } else { None })
            .next_back()
    };
    let mut reported = Vec::new();
    for n in 0..100_u64 {
        let requests = (0..9).map(|m| Event::Arrived(read(&format!("r{n}-{m}"))));
        let out = at(&mut c, 100 + n * 100, requests.chain([gauges(1.0, 30.0)]).collect());
        reported.extend(last(&out));
    }
    assert!(
        reported.last() > Some(&Span(13_500 * MS)),
        "expected about the callers' own idle timeout: {reported:?}"
    );
    reported.clear();
    for n in 0..100_u64 {
        reported.extend(last(&at(&mut c, 20_000 + n * 100, vec![gauges(0.4, 1.0)])));
    }
    assert!(reported.last() < Some(&Span(3000 * MS)), "{reported:?}");
    assert!(reported.len() < 40, "reported in steps, not every period");
}

/// Longest Retry-After, in ms, of the rejections of an overloaded server with the given number of callers.
fn longest_retry_after(callers: u64) -> u64 {
    let mut value = base();
    value["specifics"]["clients_total"] = json!(callers);
    let mut c = started_controller(value);
    let mut longest = 0;
    let mut runs = std::collections::VecDeque::new();
    for n in 0..400_u64 {
        let request = Request { retry: n % 4 == 0, ..read(&format!("r{n}")) };
        let mut events = vec![Event::Arrived(request), timer(0.1)];
        if n % 8 == 0 {
            events.extend(runs.pop_front().map(|name: String| Event::Completed {
                id: id(&name),
                outcome: Outcome::Success,
                took: Span(600 * MS),
            }));
        }
        let out = at(&mut c, 10 + n * 25, events);
        runs.extend(run_ids(&out).iter().map(ToString::to_string));
        for action in out {
            if let Action::Reject { retry_after, .. } = action {
                longest = longest.max(if n > 300 { retry_after.0 / MS } else { 0 });
            }
        }
    }
    longest
}

#[test]
fn retry_after_keeps_about_one_request_away() {
    // With six cores and four callers, a Retry-After of up to a second moved a quarter of the load in step.
    assert!(longest_retry_after(4) < 170, "each of four callers sends a request every tenth of a second");
    assert!(longest_retry_after(400) > 200, "each of 400 callers sends a request every ten seconds");
}

#[test]
fn window_over_thousands_of_callers_still_shows_a_stall() {
    // With thousands of callers, a minimum change of 0.01 would exceed the whole window of one caller.
    let mut value = base();
    value["specifics"]["clients_total"] = json!(4000);
    value["specifics"]["advert"] = json!("window");
    let mut c = gradepin_admission::Controller::new(settings(value), 11, Time(0));
    let mut advertised = Vec::new();
    for n in 0..60_u64 {
        let waited = Request { unread_for: Span(600 * MS), ..read(&format!("r{n}")) };
        let events = if n == 0 { vec![] } else { vec![Event::Arrived(waited), timer(0.1)] };
        for action in at(&mut c, n * 20, events) {
            if let Action::AdvertiseCapacity(amount) = action {
                advertised.push(amount);
            }
        }
    }
    assert!(advertised.iter().any(|amount| *amount > 0.0 && *amount < advertised[0] / 2.0), "{advertised:?}");
}

#[test]
fn usual_time_of_reading_raises_no_threshold() {
    // Guards against a threshold of 0.15 under normal load: callers rejected most requests of the lowest class.
    let level = |wait: u64| {
        let mut value = base();
        value["specifics"]["advert"] = json!("threshold");
        let mut c = started_controller(value);
        let mut level = 0.0;
        for n in 0..40 {
            let name = format!("r{n}");
            let request = Request { unread_for: Span(wait * MS), ..read(&name) };
            let mut out = arrive(&mut c, 1000 + 100 * n, vec![request]);
            let ends = Event::Completed { id: id(&name), outcome: Outcome::Success, took: Span(40 * MS) };
            out.extend(at(&mut c, 1050 + 100 * n, vec![ends, timer(0.1)]));
            for action in &out {
                if let Action::AdvertiseCapacity(value) = action {
                    level = *value;
                }
            }
        }
        level
    };
    assert_eq!(level(80), 0.0);
    assert!(level(300) > 0.3, "a long unread wait raises it");
}

#[test]
fn rejected_first_attempt_that_another_server_may_take_raises_no_threshold() {
    // Guards against a threshold that rises in a fleet with spare capacity, because one server left a few first
    // attempts to the others.
    let level = |retry: bool| {
        let mut value = base();
        value["specifics"]["advert"] = json!("threshold");
        let mut c = started_controller(value);
        let requests = (0..12).map(|n| read(&format!("r{n}"))).collect();
        arrive(&mut c, 1000, requests);
        // The caller waits less than a run takes, so the request is rejected on arrival.
        let late = Request { retry, expires_in: Some(Span(100 * MS)), ..read("late") };
        assert_eq!(rejected(&arrive(&mut c, 1001, vec![late])), ["late"]);
        at(&mut c, 1102, vec![timer(0.1)]).iter().any(|a| matches!(a, Action::AdvertiseCapacity(_)))
    };
    assert!(!level(false));
    assert!(level(true), "a rejected retry cannot fail over");
}

#[test]
fn cold_server_advertises_little_before_its_first_responses() {
    // Guards against callers that send a cold server the load of a warm one in its first second.
    let first = |cold: bool| {
        let mut value = base();
        value["specifics"]["advert"] = json!("threshold");
        value["specifics"]["just_started"] = json!(cold);
        let mut c = gradepin_admission::Controller::new(settings(value), 11, Time(0));
        let out = at(&mut c, 0, vec![]);
        out.iter().find_map(|a| if let Action::AdvertiseCapacity(level) = a { Some(*level) } else { None })
    };
    assert!(first(true).is_some_and(|level| level > 0.7), "{:?}", first(true));
    assert_eq!(first(false), Some(0.0));
}

#[test]
fn request_lost_before_it_arrived_raises_no_threshold_while_cores_are_free() {
    // Guards against incident r3e27a7: retries of requests that had timed out on an overloaded server raised the
    // thresholds of the other servers, whose cores were 14% busy, until callers withheld half of all requests.
    let course = |runnable: f64| {
        let mut value = base();
        value["specifics"]["advert"] = json!("threshold");
        value["profiles"][0]["late_value"] = json!(0.0);
        let mut c = started_controller(value);
        let (mut level, mut rejections) = (0.0, 0);
        for n in 0..60 {
            let gauges = Gauges { cpu_utilization: Some(0.2), runnable: Some(runnable), ..Gauges::default() };
            let first = read(&format!("f{n}"));
            let ends =
                Event::Completed { id: first.id.clone(), outcome: Outcome::Success, took: Span(40 * MS) };
            let mut out = at(&mut c, 100 * n, vec![Event::Arrived(first), Event::Timer(gauges)]);
            // Three quarters of the deadline passed on another server.
            let lost = Request { retry: true, expires_in: Some(Span(1000 * MS)), ..read(&format!("r{n}")) };
            out.extend(at(&mut c, 100 * n + 50, vec![ends, Event::Arrived(lost)]));
            rejections += rejected(&out).len();
            level = out
                .iter()
                .fold(level, |level, a| if let Action::AdvertiseCapacity(v) = a { *v } else { level });
        }
        assert!(rejections > 40, "{rejections}");
        level
    };
    assert_eq!(course(1.0), 0.0);
    assert!(course(9.0) > 0.3, "rejections count while the cores are busy");
}

/// Guards against a cold share outside 0 to 1, which made the server advertise values below 0.
#[test]
fn rejects_settings_with_a_cold_share_outside_zero_to_one() {
    for (share, valid) in [(0.0, true), (1.0, true), (-0.25, false), (1.5, false)] {
        let mut value = base();
        value["rules"]["cold_share"] = json!(share);
        value["specifics"]["advert"] = json!("share_of");
        value["specifics"]["just_started"] = json!(true);
        let set = settings(value);
        match set.check() {
            Ok(()) => assert!(valid, "{share} is valid, advertises {:?}", first_advertised_value(set)),
            Err(why) => {
                let expected = format!("expected settings: rules.cold_share from 0 to 1, got {share}");
                assert_eq!((valid, why.to_string()), (false, expected));
            }
        }
    }
}

/// The first value that a server with these settings advertises.
fn first_advertised_value(set: Settings) -> Option<f64> {
    let mut out = Vec::new();
    Controller::new(set, 11, Time(0)).handle(Time(0), &[], &mut out);
    out.iter()
        .find_map(|action| if let Action::AdvertiseCapacity(value) = action { Some(*value) } else { None })
}
