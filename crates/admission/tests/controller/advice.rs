//! Advice to callers: advertised capacity, Retry-After and the idle timeout of connections.

use crate::common::*;
use gradepin_admission::{Action, Controller, Event, Gauges, Outcome, Request, Settings, Span, Time};
use serde_json::json;

#[test]
fn closes_connections_before_their_callers_would() {
    // Found at full size: 900 callers filled every table with connections that none came back to.
    let mut c = gradepin_admission::Controller::new(settings(base()), 11, Time(0));
    let out = at(&mut c, 0, vec![]);
    assert!(out.iter().any(|a| matches!(a, Action::SetIdleTimeout(limit) if *limit < Span(15000 * MS))));
}

#[test]
fn keeps_connections_while_reading_overloads_the_cores_and_closes_them_while_cores_idle() {
    // Found at full size: at a fixed limit, new connections took the cores of an overloaded fleet.
    let mut c = started(base());
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
    let mut told = Vec::new();
    for n in 0..100_u64 {
        let requests = (0..9).map(|m| Event::Arrived(read(&format!("r{n}-{m}"))));
        let out = at(&mut c, 100 + n * 100, requests.chain([gauges(1.0, 30.0)]).collect());
        told.extend(last(&out));
    }
    assert!(told.last() > Some(&Span(13_500 * MS)), "about the callers' own idle time: {told:?}");
    told.clear();
    for n in 0..100_u64 {
        told.extend(last(&at(&mut c, 20_000 + n * 100, vec![gauges(0.4, 1.0)])));
    }
    assert!(told.last() < Some(&Span(3000 * MS)), "{told:?}");
    assert!(told.len() < 40, "told in steps, not every period");
}

/// Longest wait advised by the refusals of an overloaded box with so many callers.
fn longest_retry_after(callers: u64) -> u64 {
    let mut value = base();
    value["specifics"]["clients_total"] = json!(callers);
    let mut c = started(value);
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
        runs.extend(processed(&out).iter().map(ToString::to_string));
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
    // Found on six cores and four callers: advice of up to a second moved a quarter of the load in step.
    assert!(longest_retry_after(4) < 170, "four callers come every tenth of a second each");
    assert!(longest_retry_after(400) > 200, "four hundred come every ten seconds each");
}

#[test]
fn window_over_thousands_of_callers_still_shows_a_stall() {
    // A step of a hundredth, as for few callers, is more than the whole window of one caller among many.
    let mut value = base();
    value["specifics"]["clients_total"] = json!(4000);
    value["specifics"]["advert"] = json!("window");
    let mut c = gradepin_admission::Controller::new(settings(value), 11, Time(0));
    let mut said = Vec::new();
    for n in 0..60_u64 {
        let waited = Request { unread_for: Span(600 * MS), ..read(&format!("r{n}")) };
        let events = if n == 0 { vec![] } else { vec![Event::Arrived(waited), timer(0.1)] };
        for action in at(&mut c, n * 20, events) {
            if let Action::AdvertiseCapacity(amount) = action {
                said.push(amount);
            }
        }
    }
    assert!(said.iter().any(|amount| *amount > 0.0 && *amount < said[0] / 2.0), "{said:?}");
}

#[test]
fn usual_time_of_reading_raises_no_threshold() {
    // Guards against a level of 0.15 on a calm day: it had callers turn away most of the lowest class.
    let level = |wait: u64| {
        let mut value = base();
        value["specifics"]["advert"] = json!("threshold");
        let mut c = started(value);
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
    assert!(level(300) > 0.3, "a long wait still does");
}

#[test]
fn rejected_first_attempt_that_another_server_may_take_raises_no_threshold() {
    // Guards against a level that rose on a fleet with room, since one worker passed a few first tries on.
    let level = |retry: bool| {
        let mut value = base();
        value["specifics"]["advert"] = json!("threshold");
        let mut c = started(value);
        let crowd = (0..12).map(|n| read(&format!("r{n}"))).collect();
        arrive(&mut c, 1000, crowd);
        // Its caller waits less than a run takes: it is turned away at once.
        let late = Request { retry, expires_in: Some(Span(100 * MS)), ..read("late") };
        assert_eq!(refused(&arrive(&mut c, 1001, vec![late])), ["late"]);
        at(&mut c, 1102, vec![timer(0.1)]).iter().any(|a| matches!(a, Action::AdvertiseCapacity(_)))
    };
    assert!(!level(false));
    assert!(level(true), "a refused retry has nowhere else to go");
}

#[test]
fn cold_server_advertises_little_before_its_first_responses() {
    // Guards against a first second in which all callers send a cold server what a warm one takes.
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
    // Guards against incident r3e27a7: retries that had timed out on a swamped server came to the others, whose
    // cores were 14% busy, and each raised their level until callers kept half of all requests to themselves.
    let course = |runnable: f64| {
        let mut value = base();
        value["specifics"]["advert"] = json!("threshold");
        value["profiles"][0]["late_value"] = json!(0.0);
        let mut c = started(value);
        let (mut level, mut turned_away) = (0.0, 0);
        for n in 0..60 {
            let gauges = Gauges { cpu_utilization: Some(0.2), runnable: Some(runnable), ..Gauges::default() };
            let first = read(&format!("f{n}"));
            let ends =
                Event::Completed { id: first.id.clone(), outcome: Outcome::Success, took: Span(40 * MS) };
            let mut out = at(&mut c, 100 * n, vec![Event::Arrived(first), Event::Timer(gauges)]);
            // Three quarters of its caller's patience went elsewhere.
            let lost = Request { retry: true, expires_in: Some(Span(1000 * MS)), ..read(&format!("r{n}")) };
            out.extend(at(&mut c, 100 * n + 50, vec![ends, Event::Arrived(lost)]));
            turned_away += refused(&out).len();
            level = out
                .iter()
                .fold(level, |level, a| if let Action::AdvertiseCapacity(v) = a { *v } else { level });
        }
        assert!(turned_away > 40, "{turned_away}");
        level
    };
    assert_eq!(course(1.0), 0.0);
    assert!(course(9.0) > 0.3, "beside a crowd they do count");
}

/// Guards callers against a value below 0, which a share of the speed that is none made of the advice.
#[test]
fn rejects_settings_with_a_cold_share_over_one() {
    for (share, good) in [(0.0, true), (1.0, true), (-0.25, false), (1.5, false)] {
        let mut value = base();
        value["rules"]["cold_share"] = json!(share);
        value["specifics"]["advert"] = json!("share_of");
        value["specifics"]["just_started"] = json!(true);
        let set = settings(value);
        match set.check() {
            Ok(()) => assert!(good, "{share} is taken, and told as {:?}", first_advertised_value(set)),
            Err(why) => {
                let expected = format!("expected settings: rules.cold_share from 0 to 1, got {share}");
                assert_eq!((good, why.to_string()), (false, expected));
            }
        }
    }
}

/// What a server tells callers first.
fn first_advertised_value(set: Settings) -> Option<f64> {
    let mut out = Vec::new();
    Controller::new(set, 11, Time(0)).handle(Time(0), &[], &mut out);
    out.iter()
        .find_map(|action| if let Action::AdvertiseCapacity(value) = action { Some(*value) } else { None })
}
