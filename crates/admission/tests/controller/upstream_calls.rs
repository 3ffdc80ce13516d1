//! Upstream calls: limits, pacing, timeouts and repeats.

use crate::common::*;
use gradepin_admission::{Action, Event, Outcome, Span, Time};
use serde_json::json;

#[test]
fn repeats_a_failed_call_only_where_that_is_safe() {
    for (outcome, again) in
        [(Outcome::Rejected, true), (Outcome::ConnectFailed, true), (Outcome::Aborted, false)]
    {
        let mut c = started_controller(base());
        arrive(&mut c, 1, vec![claim("a", None)]);
        let out = at(&mut c, 5, vec![Event::UpstreamCallNeeded(id("a"))]);
        assert!(out.iter().any(|a| matches!(a, Action::CallUpstream { .. })));
        let mut out =
            at(&mut c, 10, vec![Event::UpstreamCallEnded { id: id("a"), outcome, took: Span(5 * MS) }]);
        out.extend(at(&mut c, 500, vec![]));
        assert_eq!(out.iter().any(|a| matches!(a, Action::CallUpstream { .. })), again);
        assert_eq!(out.contains(&Action::Fail(id("a"))), !again);
        assert!(
            !out.contains(&Action::SkipUpstreamCall(id("a"))),
            "the class earns nothing without the call"
        );
    }
}

#[test]
fn share_below_one_call_admits_short_calls() {
    // Calls were once spaced by their longest possible duration, and nearly every request failed.
    let mut small = base();
    small["specifics"]["calls_out"] = json!(0.3);
    let mut c = started_controller(small);
    let mut calls = 0;
    for n in 0..100_u64 {
        let (name, ms) = (format!("a{n}"), 10 + n * 50);
        arrive(&mut c, ms, vec![claim(&name, None)]);
        let out = at(&mut c, ms + 5, vec![Event::UpstreamCallNeeded(id(&name))]);
        calls += out.iter().filter(|a| matches!(a, Action::CallUpstream { .. })).count();
        let took = Span(5 * MS);
        at(
            &mut c,
            ms + 10,
            vec![Event::UpstreamCallEnded { id: id(&name), outcome: Outcome::Success, took }],
        );
        at(&mut c, ms + 20, vec![completed(&name, Outcome::Success)]);
    }
    assert!(calls > 95, "calls {calls} of 100");
}

/// Start times, in ms, of the calls of a server with a share below one call; each call takes `took` ms.
fn call_times(seed: u64, took: u64) -> Vec<u64> {
    let mut small = base();
    small["specifics"]["calls_out"] = json!(0.4);
    let mut c = gradepin_admission::Controller::new(settings(small), seed, Time(0));
    let (mut made, mut back) = (Vec::new(), None::<(String, u64)>);
    for n in 0..800_u64 {
        let (name, ms) = (format!("a{n}"), 5 + n * 5);
        let mut events = Vec::new();
        if let Some((name, _)) = back.take_if(|(_, due)| *due <= ms) {
            let (id, took) = (id(&name), Span(took * MS));
            events.push(Event::UpstreamCallEnded { id: id.clone(), outcome: Outcome::Success, took });
            events.push(Event::Completed { id, outcome: Outcome::Success, took });
        }
        if n % 20 == 0 {
            events.push(Event::Arrived(claim(&name, None)));
        }
        let out = at(&mut c, ms, events);
        let ready = run_ids(&out).into_iter().map(|name| Event::UpstreamCallNeeded(id(name))).collect();
        for action in out.iter().chain(&at(&mut c, ms + 1, ready)) {
            if let Action::CallUpstream { id, .. } = action {
                made.push(ms);
                back = Some((id.0.to_string(), ms + took));
            }
        }
    }
    made
}

#[test]
fn calls_of_a_share_below_one_are_spread_and_differ_between_servers() {
    // All servers spent the budget of the window at the same time, overloaded the dependency, and then made no calls
    // for five seconds.
    let (one, two) = (call_times(1, 100), call_times(2, 100));
    let close = one[1..].windows(2).filter(|w| w[1] < w[0] + 200).count();
    assert_eq!(close, 0, "calls are spaced once their latency is known: {one:?}");
    assert!(one.len() > 5, "calls go on: {one:?}");
    assert_ne!(one, two);
}

#[test]
fn rejects_a_request_whose_call_would_be_too_late() {
    // Runs that waited for a slow dependency used up the concurrency ceiling until they timed out, and requests of a
    // class without calls were rejected because of them.
    let mut set = base();
    set["specifics"]["calls_by_class"] = json!([false, true]);
    set["specifics"]["calls_out"] = json!(0.4);
    let mut c = started_controller(set);
    let waiting: Vec<String> = (0..4).map(|n| format!("gate{n}")).collect();
    arrive(&mut c, 10, waiting.iter().map(|name| claim(name, None)).collect());
    at(&mut c, 11, waiting.iter().map(|name| Event::UpstreamCallNeeded(id(name))).collect());
    let out = arrive(&mut c, 950, vec![claim("late", None), read("plain")]);
    assert_eq!((run_ids(&out), rejected(&out)), (vec!["plain"], vec!["late"]));
}

#[test]
fn calls_in_flight_stay_under_the_share_while_the_dependency_hangs() {
    let mut c = started_controller(base());
    let mut out = Vec::new();
    for n in 0..40_u64 {
        let name = format!("a{n}");
        out.extend(arrive(&mut c, 1 + n * 2, vec![claim(&name, None)]));
        out.extend(at(&mut c, 2 + n * 2, vec![Event::UpstreamCallNeeded(id(&name))]));
    }
    let calls = out.iter().filter(|a| matches!(a, Action::CallUpstream { .. })).count();
    assert!((1..=4).contains(&calls), "calls {calls}");
}

#[test]
fn fractional_share_rounds_down() {
    // Rounded up, a share of 1.2 allowed two calls in flight and one of 2.3 three. Over the fleet, this exceeded what
    // the dependency survives.
    for (share, max_calls) in [(1.2, 1), (2.3, 2), (4.0, 4)] {
        let mut set = base();
        set["specifics"]["calls_out"] = json!(share);
        let mut c = started_controller(set);
        let mut calls = 0;
        for n in 0..30_u64 {
            let name = format!("a{n}");
            arrive(&mut c, 10 + n * 10, vec![claim(&name, None)]);
            let out = at(&mut c, 15 + n * 10, vec![Event::UpstreamCallNeeded(id(&name))]);
            calls += out.iter().filter(|a| matches!(a, Action::CallUpstream { .. })).count();
            if n < 20 {
                // The limit grows while calls are fast; then the dependency hangs.
                let took = Span(5 * MS);
                let back = Event::UpstreamCallEnded { id: id(&name), outcome: Outcome::Success, took };
                at(&mut c, 19 + n * 10, vec![back, completed(&name, Outcome::Success)]);
                calls = 0;
            }
        }
        assert_eq!(calls, max_calls, "share {share}");
    }
}

#[test]
fn varying_call_latency_does_not_stop_calls() {
    // Single calls vary widely. Compared with the shortest call, the usual mean looked slow for good.
    let mut c = started_controller(base());
    for n in 0..200_u64 {
        let (name, ms) = (format!("a{n}"), 10 + n * 50);
        arrive(&mut c, ms, vec![claim(&name, None)]);
        at(&mut c, ms + 1, vec![Event::UpstreamCallNeeded(id(&name))]);
        let took = Span(if n % 10 == 0 { 2 } else { 25 } * MS);
        at(
            &mut c,
            ms + 26,
            vec![Event::UpstreamCallEnded { id: id(&name), outcome: Outcome::Success, took }],
        );
        at(&mut c, ms + 30, vec![completed(&name, Outcome::Success)]);
    }
    arrive(&mut c, 20_000, (0..4).map(|n| claim(&format!("b{n}"), None)).collect());
    let out = at(&mut c, 20_005, (0..4).map(|n| Event::UpstreamCallNeeded(id(&format!("b{n}")))).collect());
    let calls = out.iter().filter(|a| matches!(a, Action::CallUpstream { .. })).count();
    assert_eq!(calls, 4, "the whole share is available while calls take their usual time");
}

#[test]
fn calls_a_recovered_dependency_again() {
    // Calls that looked too slow were never made again, although the dependency was idle.
    let mut c = started_controller(base());
    let call_and_complete = |c: &mut gradepin_admission::Controller, ms: u64, name: &str, took: u64| {
        arrive(c, ms, vec![read(name)]);
        let out = at(c, ms + 1, vec![Event::UpstreamCallNeeded(id(name))]);
        let took = Span(took * MS);
        at(c, ms + 2, vec![Event::UpstreamCallEnded { id: id(name), outcome: Outcome::Success, took }]);
        at(c, ms + 3, vec![completed(name, Outcome::Success)]);
        out.iter().any(|a| matches!(a, Action::CallUpstream { .. }))
    };
    for n in 0..20_u64 {
        call_and_complete(&mut c, 10 + n * 10, &format!("fast{n}"), 20);
    }
    for n in 0..20_u64 {
        call_and_complete(&mut c, 300 + n * 10, &format!("slow{n}"), 5000);
    }
    assert!(!call_and_complete(&mut c, 600, "while", 5000), "a read skips a call that takes seconds");
    for n in 0..150_u64 {
        at(&mut c, 700 + n * 100, vec![timer(0.1)]);
    }
    assert!(call_and_complete(&mut c, 16_000, "again", 20));
}

#[test]
fn gives_up_a_lost_call_early_where_it_may_be_repeated() {
    let mut c = started_controller(base());
    let timeout = |out: &[Action]| {
        out.iter()
            .find_map(|a| if let Action::CallUpstream { timeout, .. } = a { Some(timeout.0) } else { None })
    };
    for n in 0..20_u64 {
        let (name, ms) = (format!("r{n}"), 10 + n * 10);
        arrive(&mut c, ms, vec![read(&name)]);
        at(&mut c, ms + 1, vec![Event::UpstreamCallNeeded(id(&name))]);
        let took = Span(20 * MS);
        at(&mut c, ms + 2, vec![Event::UpstreamCallEnded { id: id(&name), outcome: Outcome::Success, took }]);
        at(&mut c, ms + 3, vec![completed(&name, Outcome::Success)]);
    }
    arrive(&mut c, 500, vec![read("safe"), claim("keyed", None)]);
    let safe = timeout(&at(&mut c, 501, vec![Event::UpstreamCallNeeded(id("safe"))]));
    let keyed = timeout(&at(&mut c, 502, vec![Event::UpstreamCallNeeded(id("keyed"))]));
    assert!(safe.is_some_and(|ns| ns <= 250 * MS), "{safe:?}");
    assert!(
        keyed.is_some_and(|ns| ns > 3900 * MS),
        "a keyed call must not be repeated after a timeout: {keyed:?}"
    );
}

/// Guards against past calls that block new calls for hours by the old times, after a reload has shortened `linger` and
/// `share_span` to seconds.
#[test]
fn past_calls_linger_no_longer_than_new_settings_say() {
    let mut value = base();
    value["specifics"]["calls_out"] = json!(0.4);
    value["specifics"]["linger"] = json!(600_000 * MS);
    value["specifics"]["share_span"] = json!(3_600_000 * MS);
    let mut c = started_controller(value.clone());
    // The first calls of a fleet are spread over a part of the latency objective.
    arrive(&mut c, 1_000, vec![read("first")]);
    at(&mut c, 1_010, vec![Event::UpstreamCallNeeded(id("first"))]);
    let called = (0..50).any(|n| makes_call(&at(&mut c, 1_020 + 20 * n, vec![]), "first"));
    assert!(called, "no first call");
    let expired =
        Event::UpstreamCallEnded { id: id("first"), outcome: Outcome::TimedOut, took: Span(500 * MS) };
    at(&mut c, 4_100, vec![expired, completed("first", Outcome::Failure)]);
    value["specifics"]["linger"] = json!(200 * MS);
    value["specifics"]["share_span"] = json!(5_000 * MS);
    value["profiles"] = json!([]);
    c.set_global_settings(settings(value));
    // Whatever gap the previous call has set, another call is due within a minute.
    let asks = |c: &mut _, n: u64| {
        let (name, ms) = (format!("r{n}"), 5_000 + 1_000 * n);
        arrive(c, ms, vec![read(&name)]);
        at(c, ms + 1, vec![Event::UpstreamCallNeeded(id(&name))]);
        let called = (0..40).any(|step| makes_call(&at(c, ms + 2 + 20 * step, vec![timer(0.0)]), &name));
        at(c, ms + 900, vec![completed(&name, Outcome::Failure)]);
        called
    };
    assert!((0..60).any(|n| asks(&mut c, n)), "no call within a minute");
}

/// Whether the actions make the call of a request.
fn makes_call(out: &[Action], name: &str) -> bool {
    out.iter().any(|action| matches!(action, Action::CallUpstream { id, .. } if *id.0 == *name))
}
