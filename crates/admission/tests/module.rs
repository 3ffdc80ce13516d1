//! The module without the bench: the law, the hold, the rules at their edges, and one test per failure found.

mod common;
use common::*;
use gradepin_admission::{
    Action, Controller, Event, Gauges, Outcome, Request, Settings, Span, Time, throttling,
};
use serde_json::json;

fn done(name: &str, outcome: Outcome) -> Event {
    Event::Completed { id: id(name), outcome, took: Span(100 * MS) }
}

#[test]
fn the_law_gives_its_figures() {
    assert!((throttling(0.5) - 2.0).abs() < 1e-9);
    assert!((throttling(0.9) - 10.0).abs() < 1e-9);
    assert!((throttling(0.95) - 20.0).abs() < 1e-9);
    assert_eq!(throttling(0.995), 100.0);
    assert_eq!(throttling(1.0), 100.0);
    assert_eq!(throttling(1.7), 100.0);
}

/// Refusals among 600 arrivals under a steady gauge; runs end at once, so nothing else refuses.
fn refusals_at(heap: f64) -> usize {
    let mut c = started(base());
    for tick in 1..40 {
        at(&mut c, tick * 100, vec![timer(heap)]);
    }
    let mut count = 0;
    for n in 0..600_u64 {
        let name = format!("r{n}");
        let out = arrive(&mut c, 4000 + n * 5, vec![read(&name)]);
        count += refused(&out).len();
        at(&mut c, 4001 + n * 5, vec![timer(heap), done(&name, Outcome::Success)]);
    }
    count
}

#[test]
fn the_law_acts_past_its_zone_only() {
    assert_eq!(refusals_at(0.5), 0);
    assert_eq!(refusals_at(0.9), 0);
    let share = refusals_at(0.93) as f64 / 600.0;
    assert!((0.09..0.20).contains(&share), "share {share} of 0.143 expected");
}

#[test]
fn as_many_run_as_there_are_cores_and_the_rest_is_held_and_answered_in_time() {
    let mut c = started(base());
    let out = arrive(&mut c, 1, (0..6).map(|n| read(&format!("r{n}"))).collect());
    assert_eq!(processed(&out).len(), 4);
    let mut answers = Vec::new();
    for ms in (5..=4100).step_by(5) {
        answers.extend(at(&mut c, ms, vec![]));
    }
    assert_eq!(refused(&answers).len(), 2, "held ones never ran");
    let errors = answers.iter().filter(|a| matches!(a, Action::Fail(_))).count();
    assert_eq!(errors, 4, "running ones are answered at their due time too");
}

#[test]
fn better_worth_starts_first() {
    let mut c = started(base());
    arrive(&mut c, 1, (0..4).map(|n| read(&format!("r{n}"))).collect());
    arrive(&mut c, 2, vec![read("low"), claim("high", None)]);
    let out = at(&mut c, 101, vec![done("r0", Outcome::Success)]);
    assert_eq!(processed(&out), ["high"]);
}

#[test]
fn dead_on_arrival_is_refused_at_once_and_never_started() {
    let mut c = started(base());
    let dead = Request { expires_in: Some(Span(MS)), queued_for: Span(3900 * MS), ..read("dead") };
    let out = arrive(&mut c, 1, vec![dead]);
    assert_eq!((processed(&out).len(), refused(&out)), (0, vec!["dead"]));
}

/// Health after requests that were read 900 ms late, and after a silence.
fn health_by_waits(endpoint_list_follows_health: bool) -> (Option<bool>, Option<bool>) {
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
        let waited = Request { queued_for: Span(900 * MS), ..read(&format!("r{n}")) };
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
fn unread_waiting_turns_health_bad_and_it_comes_back() {
    assert_eq!(health_by_waits(false), (Some(false), Some(true)), "silence brings health back");
}

#[test]
fn where_the_list_follows_health_a_late_fleet_does_not_empty_it() {
    assert_eq!(health_by_waits(true), (None, None));
}

#[test]
fn an_estimate_learnt_in_a_hang_does_not_lock_the_worker() {
    let mut c = started(base());
    for n in 0..8_u64 {
        let name = format!("h{n}");
        arrive(&mut c, n * 10, vec![Request { expires_in: Some(Span(60_000 * MS)), ..read(&name) }]);
        at(
            &mut c,
            n * 10 + 5,
            vec![Event::Completed { id: id(&name), outcome: Outcome::Success, took: Span(30_000 * MS) }],
        );
    }
    assert_eq!(processed(&arrive(&mut c, 200, vec![read("soon")])).len(), 0, "nothing can be won now");
    for n in 0..400_u64 {
        at(&mut c, 300 + n * 100, vec![timer(0.1)]);
    }
    assert_eq!(processed(&arrive(&mut c, 41_000, vec![read("later")])), ["later"]);
}

#[test]
fn memory_is_never_promised_twice() {
    let mut low = base();
    low["specifics"]["memory_kb"] = json!(200.0);
    low["specifics"]["fresh_for"] = json!(1000 * MS);
    let mut c = started(low);
    // Followers of one read count as well: they once went past the guard.
    let first = Request { has_key: true, ..read("r0") };
    let mut requests = vec![first];
    requests.extend((1..20).map(|n| Request {
        earlier: Some(id("r0")),
        has_key: true,
        ..read(&format!("r{n}"))
    }));
    let out = arrive(&mut c, 1, requests);
    let (run, gone) = (processed(&out).len(), refused(&out).len());
    let keys = out.iter().filter(|a| matches!(a, Action::RetainIdempotencyKey { .. })).count();
    let need = (20 - gone - run) as f64 * 20.0 + run as f64 * 80.0 + keys as f64 * 10.0;
    assert!(need <= 200.0, "needs {need} of 200 kB");
    assert!(run > 0);
}

#[test]
fn a_repeat_whose_elder_was_evicted_for_it_stands_alone() {
    // Making room for the repeat once turned its elder away and then looked it up.
    let mut low = base();
    low["specifics"]["memory_kb"] = json!(340.0);
    let mut c = started(low);
    arrive(&mut c, 1, vec![read("r0"), read("r1"), read("r2")]);
    arrive(&mut c, 2, vec![claim("a", None)]);
    let big = Request { size_kb: 150.0, ..claim("b", Some("a")) };
    let out = arrive(&mut c, 3, vec![big]);
    assert!(!out.contains(&Action::JoinRun(id("b"))), "{out:?}");
    assert!(processed(&out).len() <= 1);
}

#[test]
fn a_request_far_heavier_than_its_class_still_gets_its_chance() {
    // Rough hints made heavy requests look hopeless on idle boxes, where they were turned away.
    let mut c = started(base());
    for n in 0..20_u64 {
        let name = format!("r{n}");
        arrive(&mut c, n * 200, vec![Request { work: Some(Span(100 * MS)), ..read(&name) }]);
        at(&mut c, n * 200 + 100, vec![done(&name, Outcome::Success)]);
    }
    let heavy = Request { work: Some(Span(1500 * MS)), ..read("heavy") };
    assert_eq!(processed(&arrive(&mut c, 5000, vec![heavy])), ["heavy"]);
}

#[test]
fn a_cold_worker_runs_no_more_than_its_crowd_survives() {
    let mut cold = base();
    cold["specifics"]["just_started"] = json!(true);
    cold["rules"]["tip_multiple"] = json!(1.2);
    cold["rules"]["cold_share"] = json!(0.1);
    let mut c = started(cold);
    let out = arrive(&mut c, 1, (0..9).map(|n| read(&format!("r{n}"))).collect());
    assert!(processed(&out).len() as f64 <= 4.0 * (1.0 + 0.2 * 0.1));
}

#[test]
fn a_keyed_repeat_never_runs_beside_its_first_try() {
    // First try held: the repeat takes its place, and the elder is turned away.
    let mut c = started(base());
    arrive(&mut c, 1, (0..4).map(|n| claim(&format!("x{n}"), None)).collect());
    arrive(&mut c, 2, vec![claim("a", None)]);
    let out = arrive(&mut c, 3, vec![claim("b", Some("a"))]);
    assert_eq!(refused(&out), ["a"]);
    assert!(!out.contains(&Action::ReleaseIdempotencyKey(id("a"))), "the entry is the repeat's now");
    // First try running, then over, then failed: the repeat joins it.
    assert!(arrive(&mut c, 4, vec![claim("c", Some("x0"))]).contains(&Action::JoinRun(id("c"))));
    at(&mut c, 50, vec![done("x1", Outcome::Success), done("x2", Outcome::Failure)]);
    let out = arrive(&mut c, 60, vec![claim("d", Some("x1")), claim("e", Some("x2"))]);
    assert!(out.contains(&Action::JoinRun(id("d"))) && out.contains(&Action::JoinRun(id("e"))));
    assert!(processed(&out).is_empty() && refused(&out).is_empty());
}

#[test]
fn an_entry_covers_the_window_from_arrival() {
    let mut c = started(base());
    let late = Request { queued_for: Span(500 * MS), ..claim("a", None) };
    let out = arrive(&mut c, 1000, vec![late]);
    let kept = out.iter().find_map(|a| {
        if let Action::RetainIdempotencyKey { retain_for, .. } = a { Some(retain_for.0) } else { None }
    });
    assert!(kept.is_some_and(|ns| (8500 * MS..8600 * MS).contains(&ns)), "kept {kept:?}");
}

#[test]
fn drain_runs_what_came_within_the_grace_and_answers_all_before_the_stop() {
    let mut c = started(base());
    arrive(&mut c, 1, vec![read("old")]);
    let out = at(&mut c, 10, vec![Event::ShutdownNotice(Span(3000 * MS))]);
    assert!(out.contains(&Action::ReportHealth { shallow: true, active: false }));
    assert_eq!(processed(&arrive(&mut c, 1010, vec![read("in")])), ["in"]);
    let out = arrive(&mut c, 1011, vec![read("out")]);
    assert_eq!((processed(&out).len(), refused(&out)), (0, vec!["out"]));
    let read_late = Request { queued_for: Span(100 * MS), ..read("unread") };
    assert_eq!(
        processed(&arrive(&mut c, 1100, vec![read_late])),
        ["unread"],
        "it had arrived within the grace"
    );
    let out = at(&mut c, 3000, vec![]);
    assert_eq!(out.iter().filter(|a| matches!(a, Action::Fail(_))).count(), 3);
}

#[test]
fn a_failed_call_is_repeated_only_where_that_is_safe() {
    for (outcome, again) in
        [(Outcome::Rejected, true), (Outcome::ConnectFailed, true), (Outcome::Aborted, false)]
    {
        let mut c = started(base());
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
            "its class earns nothing without the call"
        );
    }
}

#[test]
fn a_share_below_one_call_still_lets_short_calls_flow() {
    // It once spaced calls by the longest they could take, and nearly every request failed.
    let mut small = base();
    small["specifics"]["calls_out"] = json!(0.3);
    let mut c = started(small);
    let mut asked = 0;
    for n in 0..100_u64 {
        let (name, ms) = (format!("a{n}"), 10 + n * 50);
        arrive(&mut c, ms, vec![claim(&name, None)]);
        let out = at(&mut c, ms + 5, vec![Event::UpstreamCallNeeded(id(&name))]);
        asked += out.iter().filter(|a| matches!(a, Action::CallUpstream { .. })).count();
        let took = Span(5 * MS);
        at(
            &mut c,
            ms + 10,
            vec![Event::UpstreamCallEnded { id: id(&name), outcome: Outcome::Success, took }],
        );
        at(&mut c, ms + 20, vec![done(&name, Outcome::Success)]);
    }
    assert!(asked > 95, "asked {asked} of 100");
}

/// When calls are made, in ms, of a worker whose share is below one call and whose calls take so long.
fn calls_made(seed: u64, took: u64) -> Vec<u64> {
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
        let ready = processed(&out).into_iter().map(|name| Event::UpstreamCallNeeded(id(name))).collect();
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
fn calls_of_a_share_below_one_are_spread_and_workers_do_not_fall_into_step() {
    // Found at full size: all boxes spent the window's call time at once, crowded the dependency, then fell
    // silent together for five seconds.
    let (one, two) = (calls_made(1, 100), calls_made(2, 100));
    let close = one[1..].windows(2).filter(|w| w[1] < w[0] + 200).count();
    assert_eq!(close, 0, "none right after another, once a length is known: {one:?}");
    assert!(one.len() > 5, "calls go on: {one:?}");
    assert_ne!(one, two);
}

#[test]
fn what_cannot_get_its_call_in_time_is_not_started_and_other_work_is() {
    // Found at full size: runs waiting for a crawling dependency filled the crowd, then timed out, and a class
    // that makes no calls was turned away for them.
    let mut set = base();
    set["specifics"]["calls_by_class"] = json!([false, true]);
    set["specifics"]["calls_out"] = json!(0.4);
    let mut c = started(set);
    let at_gate: Vec<String> = (0..4).map(|n| format!("gate{n}")).collect();
    arrive(&mut c, 10, at_gate.iter().map(|name| claim(name, None)).collect());
    at(&mut c, 11, at_gate.iter().map(|name| Event::UpstreamCallNeeded(id(name))).collect());
    let out = arrive(&mut c, 950, vec![claim("late", None), read("plain")]);
    assert_eq!((processed(&out), refused(&out)), (vec!["plain"], vec!["late"]));
}

#[test]
fn calls_in_hand_stay_under_the_share_while_the_dependency_hangs() {
    let mut c = started(base());
    let mut out = Vec::new();
    for n in 0..40_u64 {
        let name = format!("a{n}");
        out.extend(arrive(&mut c, 1 + n * 2, vec![claim(&name, None)]));
        out.extend(at(&mut c, 2 + n * 2, vec![Event::UpstreamCallNeeded(id(&name))]));
    }
    let asked = out.iter().filter(|a| matches!(a, Action::CallUpstream { .. })).count();
    assert!((1..=4).contains(&asked), "asked {asked}");
}

#[test]
fn a_share_that_is_no_whole_number_rounds_down() {
    // A share of 1.2 let two calls be out and one of 2.3 three: over a full fleet, more than is survived.
    for (share, most) in [(1.2, 1), (2.3, 2), (4.0, 4)] {
        let mut set = base();
        set["specifics"]["calls_out"] = json!(share);
        let mut c = started(set);
        let mut asked = 0;
        for n in 0..30_u64 {
            let name = format!("a{n}");
            arrive(&mut c, 10 + n * 10, vec![claim(&name, None)]);
            let out = at(&mut c, 15 + n * 10, vec![Event::UpstreamCallNeeded(id(&name))]);
            asked += out.iter().filter(|a| matches!(a, Action::CallUpstream { .. })).count();
            if n < 20 {
                // The bound opens as calls come back fast; then the dependency hangs.
                let took = Span(5 * MS);
                let back = Event::UpstreamCallEnded { id: id(&name), outcome: Outcome::Success, took };
                at(&mut c, 19 + n * 10, vec![back, done(&name, Outcome::Success)]);
                asked = 0;
            }
        }
        assert_eq!(asked, most, "share {share}");
    }
}

#[test]
fn unknown_and_answered_requests_change_nothing() {
    let mut c = started(base());
    let ghost = vec![
        done("ghost", Outcome::Success),
        Event::CallerGone(id("ghost")),
        Event::UpstreamCallNeeded(id("ghost")),
        Event::UpstreamCallEnded { id: id("ghost"), outcome: Outcome::TimedOut, took: Span(1) },
    ];
    let out = at(&mut c, 1, ghost);
    assert!(out.iter().all(|a| matches!(a, Action::SetTimer(_))), "{out:?}");
    let out = arrive(&mut c, 2, vec![Request { class: 99, ..read("odd") }]);
    assert!(processed(&out).is_empty());
}

#[test]
fn clock_jumps_and_silence_do_not_wedge() {
    let mut c = started(base());
    arrive(&mut c, 1, (0..6).map(|n| read(&format!("r{n}"))).collect());
    let out = at(&mut c, 600_000, vec![]);
    let answers = out.iter().filter(|a| matches!(a, Action::Fail(_) | Action::Reject { .. })).count();
    assert_eq!(answers, 6);
    assert!(out.iter().any(|a| matches!(a, Action::SetTimer(t) if *t > Time(600_000 * MS))));
    at(&mut c, 600_001, (0..4).map(|n| done(&format!("r{n}"), Outcome::Stopped)).collect());
    assert_eq!(processed(&arrive(&mut c, 600_100, vec![read("new")])), ["new"]);
}

#[test]
fn renaming_changes_nothing() {
    let mut other = base();
    other["profiles"][0]["name"] = json!("zeta");
    other["profiles"][1]["name"] = json!("alpha");
    let run = |value| {
        let mut c = started(value);
        let mut out = arrive(&mut c, 1, (0..9).map(|n| claim(&format!("r{n}"), None)).collect());
        out.extend(at(&mut c, 700, vec![timer(0.2)]));
        out
    };
    assert_eq!(run(base()), run(other));
}

#[test]
fn the_spread_of_call_times_does_not_choke_calls() {
    // Single calls differ widely; measured against their shortest one, the usual mean looked slow for ever.
    let mut c = started(base());
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
        at(&mut c, ms + 30, vec![done(&name, Outcome::Success)]);
    }
    arrive(&mut c, 20_000, (0..4).map(|n| claim(&format!("b{n}"), None)).collect());
    let out = at(&mut c, 20_005, (0..4).map(|n| Event::UpstreamCallNeeded(id(&format!("b{n}")))).collect());
    let asked = out.iter().filter(|a| matches!(a, Action::CallUpstream { .. })).count();
    assert_eq!(asked, 4, "the whole share is open while calls take their usual time");
}

#[test]
fn a_dependency_once_slow_is_asked_again() {
    // Calls that looked too slow to make were never made again, though what lies below stood idle.
    let mut c = started(base());
    let ask = |c: &mut gradepin_admission::Controller, ms: u64, name: &str, took: u64| {
        arrive(c, ms, vec![read(name)]);
        let out = at(c, ms + 1, vec![Event::UpstreamCallNeeded(id(name))]);
        let took = Span(took * MS);
        at(c, ms + 2, vec![Event::UpstreamCallEnded { id: id(name), outcome: Outcome::Success, took }]);
        at(c, ms + 3, vec![done(name, Outcome::Success)]);
        out.iter().any(|a| matches!(a, Action::CallUpstream { .. }))
    };
    for n in 0..20_u64 {
        ask(&mut c, 10 + n * 10, &format!("fast{n}"), 20);
    }
    for n in 0..20_u64 {
        ask(&mut c, 300 + n * 10, &format!("slow{n}"), 5000);
    }
    assert!(!ask(&mut c, 600, "while", 5000), "a read goes on without a call of seconds");
    for n in 0..150_u64 {
        at(&mut c, 700 + n * 100, vec![timer(0.1)]);
    }
    assert!(ask(&mut c, 16_000, "again", 20));
}

#[test]
fn a_lost_call_that_is_safe_to_repeat_is_not_waited_for_to_the_end() {
    let mut c = started(base());
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
        at(&mut c, ms + 3, vec![done(&name, Outcome::Success)]);
    }
    arrive(&mut c, 500, vec![read("safe"), claim("keyed", None)]);
    let safe = timeout(&at(&mut c, 501, vec![Event::UpstreamCallNeeded(id("safe"))]));
    let keyed = timeout(&at(&mut c, 502, vec![Event::UpstreamCallNeeded(id("keyed"))]));
    assert!(safe.is_some_and(|ns| ns <= 250 * MS), "{safe:?}");
    assert!(
        keyed.is_some_and(|ns| ns > 3900 * MS),
        "a keyed call can't be repeated after it expired: {keyed:?}"
    );
}

#[test]
fn a_keyed_try_read_out_of_order_never_takes_over_a_younger_one() {
    // The younger came after the window of an older run, the try itself within it.
    let mut c = started(base());
    arrive(&mut c, 900, (0..4).map(|n| read(&format!("x{n}"))).collect());
    arrive(&mut c, 1000, vec![claim("young", None)]);
    let old = Request { queued_for: Span(800 * MS), ..claim("old", Some("young")) };
    let out = arrive(&mut c, 1005, vec![old]);
    assert!(out.contains(&Action::Fail(id("old"))) && refused(&out).is_empty(), "{out:?}");
    assert_eq!(processed(&at(&mut c, 1100, vec![done("x0", Outcome::Success)])), ["young"]);
}

/// A retry with a part of the deadline to wait; the second habit of the two callers waits less than the first.
fn retry_of_habit(marks: bool, parts: &[u64], retry_ms: u64) -> Vec<Action> {
    let mut set = base();
    set["callers"]["marks_retry"] = json!(marks);
    let mut c = started(set);
    for (n, ms) in (0..20).flat_map(|n| parts.iter().map(move |ms| (n, *ms))) {
        let name = format!("r{n}-{ms}");
        let first = Request { expires_in: Some(Span(ms * MS)), ..read(&name) };
        arrive(&mut c, 1 + n * 400, vec![first]);
        at(&mut c, 100 + n * 400, vec![timer(0.1), done(&name, Outcome::Success)]);
    }
    let retry = Request { expires_in: Some(Span(retry_ms * MS)), retry: marks, ..claim("again", None) };
    arrive(&mut c, 9000, vec![retry])
}

#[test]
fn a_retry_of_a_hasty_habit_is_not_taken_for_an_old_one() {
    // Found at full size: beside a patient habit, each retry of a hasty one looked seconds old and was refused.
    assert_eq!(processed(&retry_of_habit(true, &[1600, 2000], 1600)), ["again"]);
    let old = retry_of_habit(true, &[1600, 2000], 1200);
    assert_eq!((processed(&old).len(), refused(&old)), (0, vec!["again"]), "2.8 s of its 4 are gone");
    let old = retry_of_habit(true, &[1600], 2400);
    assert_eq!(refused(&old), ["again"], "with more time than a first try it is old all the same");
}

#[test]
fn where_nothing_is_marked_an_odd_part_of_the_deadline_tells_an_old_try() {
    // Found at full size: unmarked retries past their aim were run at full cost and earned nothing.
    assert_eq!(refused(&retry_of_habit(false, &[1600, 2000], 1200)), ["again"]);
    assert_eq!(processed(&retry_of_habit(false, &[1600, 2000], 2000)), ["again"]);
}

#[test]
fn where_callers_give_every_try_another_deadline_none_is_taken_for_old() {
    // Without a part of the deadline that comes again, ages can't be told; nearly all was once refused.
    let mut set = base();
    set["callers"]["marks_retry"] = json!(false);
    let mut c = started(set);
    let mut runs = 0;
    for n in 0..40_u64 {
        let name = format!("r{n}");
        let odd = Span((1500 + n * 677 % 2500) * MS);
        runs += processed(&arrive(
            &mut c,
            1 + n * 200,
            vec![Request { expires_in: Some(odd), ..claim(&name, None) }],
        ))
        .len();
        at(&mut c, 100 + n * 200, vec![timer(0.1), done(&name, Outcome::Success)]);
    }
    assert!(runs > 35, "{runs} of 40");
}

/// Whether the last of many refusals in a row is final.
fn long_refusing(marks: bool) -> bool {
    let mut set = base();
    set["specifics"]["memory_kb"] = json!(400.0);
    set["callers"]["marks_retry"] = json!(marks);
    let mut c = started(set);
    let (mut last, mut runs) = (false, Vec::new());
    for n in 0..100_u64 {
        let arrived = (0..8).map(|m| Event::Arrived(read(&format!("r{n}-{m}"))));
        let ends = runs.drain(..).map(|name: String| done(&name, Outcome::Success));
        let out = at(&mut c, 10 + n * 100, ends.chain(arrived).chain([timer(0.1)]).collect());
        runs.extend(processed(&out).into_iter().map(String::from));
        for action in &out {
            if let Action::Reject { last: l, .. } = action {
                last = *l;
            }
        }
    }
    last
}

#[test]
fn where_no_retry_is_marked_own_refusals_tell_a_full_fleet() {
    // Found at full size: refused tries walked from one full box to the next, 2.7 attempts a request.
    assert!(long_refusing(false));
    assert!(!long_refusing(true), "no marked retry came: others may have room");
}

#[test]
fn connections_are_closed_before_their_callers_would() {
    // Found at full size: 900 callers filled every table with connections that none came back to.
    let mut c = gradepin_admission::Controller::new(settings(base()), 11, Time(0));
    let out = at(&mut c, 0, vec![]);
    assert!(out.iter().any(|a| matches!(a, Action::SetIdleTimeout(limit) if *limit < Span(15000 * MS))));
}

#[test]
fn places_for_connections_are_kept_while_intake_swamps_the_cores_and_given_back_while_they_idle() {
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
fn longest_advice(callers: u64) -> u64 {
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
fn one_piece_of_advice_keeps_about_one_request_away() {
    // Found on six cores and four callers: advice of up to a second moved a quarter of the load in step.
    assert!(longest_advice(4) < 170, "four callers come every tenth of a second each");
    assert!(longest_advice(400) > 200, "four hundred come every ten seconds each");
}

#[test]
fn a_first_try_is_turned_away_while_others_still_have_time_for_it() {
    // Found at full size: first tries were held a second, then refused, too late to be served elsewhere.
    let mut c = started(base());
    arrive(&mut c, 1, (0..14).map(|n| read(&format!("r{n}"))).collect());
    let mut refused_at = Vec::new();
    for ms in (100..400).step_by(100) {
        refused_at.extend(refused(&at(&mut c, ms, vec![timer(0.1)])).iter().map(|_| ms));
    }
    assert!(!refused_at.is_empty(), "fourteen on four cores: the last would wait for more than two runs");
}

/// Settings of reads that may share an answer, on work that can be stopped.
#[test]
fn the_hold_leaves_room_for_runs_that_take_longer_than_foreseen() {
    // Found at full size: what was foreseen to make its aim just so came late, and earned nothing.
    let mut c = started(base());
    for n in 0..20_u64 {
        let name = format!("r{n}");
        arrive(&mut c, 10 + n * 10, vec![read(&name)]);
        at(&mut c, 15 + n * 10, vec![done(&name, Outcome::Success)]);
    }
    let retry = |n: u64| Request { retry: true, ..read(&format!("t{n}")) };
    let mut out = arrive(&mut c, 301, (0..34).map(retry).collect());
    out.extend(at(&mut c, 401, vec![timer(0.1)]));
    let gone = refused(&out).len();
    assert!((4..15).contains(&gone), "30 held are 0.75 s of work for an aim of 1 s: {gone} refused");
}

fn sharing() -> serde_json::Value {
    let mut value = base();
    value["specifics"]["fresh_for"] = json!(1000 * MS);
    value["specifics"]["stop_mode"] = json!("abort");
    value
}

#[test]
fn a_held_read_that_others_joined_starts_before_those_that_serve_one() {
    // Found at full size: joins failed with a first that was turned away, though one run would serve them all.
    let mut c = started(sharing());
    arrive(&mut c, 1, (0..4).map(|n| read(&format!("r{n}"))).collect());
    arrive(&mut c, 2, vec![read("alone")]);
    arrive(&mut c, 3, vec![Request { has_key: true, ..read("shared") }]);
    let twin = Request { has_key: true, earlier: Some(id("shared")), ..read("twin") };
    let out = arrive(&mut c, 4, vec![twin]);
    assert!(out.contains(&Action::JoinRun(id("twin"))));
    let out = at(&mut c, 101, vec![done("r0", Outcome::Success)]);
    assert_eq!(processed(&out), ["shared"]);
}

#[test]
fn a_run_that_others_joined_is_not_stopped_with_its_first_caller() {
    let stopped = |joined: bool| {
        let mut c = started(sharing());
        arrive(&mut c, 1, vec![Request { has_key: true, ..read("first") }]);
        if joined {
            let twin = Request { has_key: true, earlier: Some(id("first")), ..read("twin") };
            arrive(&mut c, 2, vec![twin]);
        }
        at(&mut c, 10, vec![Event::CallerGone(id("first"))]).contains(&Action::StopRun(id("first")))
    };
    assert!(stopped(false));
    assert!(!stopped(true));
}

#[test]
fn a_window_over_thousands_of_callers_still_tells_of_trouble() {
    // A step of a hundredth, as for few callers, is more than the whole window of one caller among many.
    let mut value = base();
    value["specifics"]["clients_total"] = json!(4000);
    value["specifics"]["advert"] = json!("window");
    let mut c = gradepin_admission::Controller::new(settings(value), 11, Time(0));
    let mut said = Vec::new();
    for n in 0..60_u64 {
        let waited = Request { queued_for: Span(600 * MS), ..read(&format!("r{n}")) };
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
fn while_work_hangs_and_reading_goes_on_requests_are_sent_elsewhere_at_once() {
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
    assert!(out.iter().any(|a| matches!(a, Action::Reject { last: false, .. })), "{out:?}");
    let moved = (4..8).map(|n| done(&format!("r{n}"), Outcome::Success)).collect();
    at(&mut c, 2050, moved);
    at(&mut c, 2200, vec![timer(0.1)]);
    assert_eq!(processed(&arrive(&mut c, 2210, vec![read("later")])), ["later"], "it comes back by itself");
}

#[test]
fn senseless_sizes_neither_panic_nor_stop_every_request() {
    let spoil: [fn(&mut gradepin_admission::Settings); 6] = [
        |s| s.servers = 0,
        |s| s.specifics.clients_total = 0,
        |s| s.specifics.n_cores = 0,
        |s| s.specifics.calls_out = 0.0,
        |s| s.specifics.calls_out = f64::NAN,
        |s| s.rules.max_concurrency_per_core = f64::NAN,
    ];
    for (which, spoil) in spoil.iter().enumerate() {
        let mut settings = settings(base());
        spoil(&mut settings);
        let mut c = gradepin_admission::Controller::new(settings, 11, Time(0));
        let mut started = 0;
        for n in 0..200_u64 {
            let out = at(&mut c, n * 50, vec![Event::Arrived(read(&format!("r{n}"))), timer(0.1)]);
            for name in processed(&out) {
                started += 1;
                at(&mut c, n * 50 + 20, vec![Event::UpstreamCallNeeded(id(name))]);
                at(&mut c, n * 50 + 40, vec![done(name, Outcome::Success)]);
            }
        }
        assert!(started > 20, "setting {which}: {started} started");
    }
}

#[test]
fn a_new_worker_is_not_stalled_in_its_first_period() {
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
fn the_time_that_reading_takes_anyway_raises_no_level() {
    // Guards against a level of 0.15 on a calm day: it had callers turn away most of the lowest class.
    let level = |wait: u64| {
        let mut value = base();
        value["specifics"]["advert"] = json!("threshold");
        let mut c = started(value);
        let mut level = 0.0;
        for n in 0..40 {
            let name = format!("r{n}");
            let request = Request { queued_for: Span(wait * MS), ..read(&name) };
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
fn a_first_try_that_another_worker_may_take_raises_no_level() {
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
fn readings_that_fill_the_cores_alone_turn_health_bad_though_places_are_free() {
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

#[test]
fn a_cold_worker_asks_for_little_before_it_has_answered_anyone() {
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

/// Share refused of the requests of callers that ask once and keep so many open, on runs of 1 ms: the course of
/// a measurement from outside, with 6 cores at 20% use.
fn refused_of_short_runs(open: usize, asked: u32) -> f64 {
    let mut value = base();
    value["specifics"]["n_cores"] = json!(6);
    value["profiles"][0]["promise"] = json!(1600 * MS);
    let mut c = started(value);
    let (mut next, mut refusals, mut ms) = (0_u32, 0, 1);
    let mut running: Vec<String> = Vec::new();
    let mut due = open;
    while next < asked {
        let mut events: Vec<Event> = Vec::new();
        for name in running.drain(..) {
            events.push(Event::Completed { id: id(&name), outcome: Outcome::Success, took: Span(MS) });
            due += 1;
        }
        for _ in 0..due {
            events.push(Event::Arrived(Request { size_kb: 0.1, ..read(&format!("r{next}")) }));
            next += 1;
        }
        if ms % 100 == 0 {
            events.push(Event::Timer(Gauges {
                cpu_utilization: Some(0.2),
                runnable: Some(1.0),
                ..Gauges::default()
            }));
        }
        let out = at(&mut c, ms, events);
        due = refused(&out).len();
        refusals += due;
        running = processed(&out).iter().map(|name| name.to_string()).collect();
        ms += 1;
    }
    refusals as f64 / f64::from(next)
}

#[test]
fn short_runs_are_not_turned_away_for_waits_that_cost_nothing() {
    // Guards against 58% refused of 1,024 requests open at once, all of which would have ended within a ninth of
    // their aim: a first try could wait no longer than a run, so the shorter runs were, the more was turned away.
    // And against 1.5% refused of 64 open ones, all in the first periods, for a run time that was only guessed.
    assert_eq!(refused_of_short_runs(64, 30_000), 0.0);
    assert_eq!(refused_of_short_runs(1024, 6_000), 0.0);
}

#[test]
fn a_try_lost_before_it_came_raises_no_level_while_cores_are_free() {
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

/// Guards against a server that turns all away for good, or takes more than its memory holds, because a file that was read
/// again books the keys and runs that it has at another size: what ends must take off what was put on.
#[test]
fn memory_is_booked_anew_when_its_sizes_change() {
    for (key_kb, run_factor) in [(0.0, 1.0), (0.1, 8.0), (25.0, 1.5)] {
        let mut value = base();
        value["profiles"][1]["window"] = json!(3_000 * MS);
        value["specifics"]["memory_kb"] = json!(2_000.0);
        value["specifics"]["kb_per_key"] = json!(25.0);
        let mut c = started(value.clone());
        for n in 0..40 {
            let taken = arrive(&mut c, n, vec![claim(&format!("k{n}"), None)]);
            assert_eq!(refused(&taken), Vec::<&str>::new(), "claim {n}");
            let end =
                Event::Completed { id: id(&format!("k{n}")), outcome: Outcome::Success, took: Span(MS) };
            at(&mut c, n, vec![end]);
        }
        arrive(&mut c, 40, vec![read("runs")]);
        value["specifics"]["kb_per_key"] = json!(key_kb);
        value["specifics"]["run_factor"] = json!(run_factor);
        value["profiles"] = json!([]);
        c.set_rest(settings(value));
        at(&mut c, 50, vec![Event::Completed { id: id("runs"), outcome: Outcome::Success, took: Span(MS) }]);
        // All windows are past: the whole memory is free, and no more than that.
        for n in 0..40 {
            at(&mut c, 4_000 + 100 * n, vec![timer(0.0)]);
        }
        let fills = Request { size_kb: 900.0, ..read("fills") };
        let out = arrive(&mut c, 8_010, vec![fills]);
        assert_eq!(refused(&out), Vec::<&str>::new(), "{key_kb} kB a key, {run_factor} a run");
        let too_much = Request { size_kb: 1_100.0, ..read("too much") };
        let out = arrive(&mut c, 8_011, vec![too_much]);
        assert!(refused(&out).contains(&"too much"), "{key_kb} kB a key, {run_factor} a run");
    }
}

/// Guards against calls that are not made for hours after a file that was read again has them linger, and be averaged, for
/// seconds: those of before go by the new times.
#[test]
fn calls_of_before_linger_no_longer_than_the_settings_say() {
    let mut value = base();
    value["specifics"]["calls_out"] = json!(0.4);
    value["specifics"]["linger"] = json!(600_000 * MS);
    value["specifics"]["share_span"] = json!(3_600_000 * MS);
    let mut c = started(value.clone());
    // The first calls of a fleet are spread over a part of the aim.
    arrive(&mut c, 1_000, vec![read("first")]);
    at(&mut c, 1_010, vec![Event::UpstreamCallNeeded(id("first"))]);
    let called = (0..50).any(|n| asked(&at(&mut c, 1_020 + 20 * n, vec![]), "first"));
    assert!(called, "no first call");
    let expired =
        Event::UpstreamCallEnded { id: id("first"), outcome: Outcome::TimedOut, took: Span(500 * MS) };
    at(&mut c, 4_100, vec![expired, done("first", Outcome::Failure)]);
    value["specifics"]["linger"] = json!(200 * MS);
    value["specifics"]["share_span"] = json!(5_000 * MS);
    value["profiles"] = json!([]);
    c.set_rest(settings(value));
    // Whatever pace the call before has set: a minute has room for the next one.
    let asks = |c: &mut _, n: u64| {
        let (name, ms) = (format!("r{n}"), 5_000 + 1_000 * n);
        arrive(c, ms, vec![read(&name)]);
        at(c, ms + 1, vec![Event::UpstreamCallNeeded(id(&name))]);
        let called = (0..40).any(|step| asked(&at(c, ms + 2 + 20 * step, vec![timer(0.0)]), &name));
        at(c, ms + 900, vec![done(&name, Outcome::Failure)]);
        called
    };
    assert!((0..60).any(|n| asks(&mut c, n)), "no call in a minute");
}

/// Whether a call is made for a request.
fn asked(out: &[Action], name: &str) -> bool {
    out.iter().any(|action| matches!(action, Action::CallUpstream { id, .. } if *id.0 == *name))
}

/// Guards the time that an aim may stretch to: figures as long as the settings allow.
#[test]
fn an_aim_stretches_to_the_deadline_at_the_most() {
    let mut value = base();
    value["profiles"][0]["aim_stretch"] = json!(1e300);
    let mut c = started(value);
    let long = Request { work: Some(Span(50 * MS)), ..read("r") };
    assert_eq!(processed(&arrive(&mut c, 1, vec![long])), ["r"]);
}

/// Guards callers against a value below 0, which a share of the speed that is none made of the advice.
#[test]
fn a_cold_share_is_a_share() {
    for (share, good) in [(0.0, true), (1.0, true), (-0.25, false), (1.5, false)] {
        let mut value = base();
        value["rules"]["cold_share"] = json!(share);
        value["specifics"]["advert"] = json!("share_of");
        value["specifics"]["just_started"] = json!(true);
        let set = settings(value);
        match set.check() {
            Ok(()) => assert!(good, "{share} is taken, and told as {:?}", first_signal(set)),
            Err(why) => {
                let expected = format!("expected settings: rules.cold_share from 0 to 1, got {share}");
                assert_eq!((good, why.to_string()), (false, expected));
            }
        }
    }
}

/// What a server tells callers first.
fn first_signal(set: Settings) -> Option<f64> {
    let mut out = Vec::new();
    Controller::new(set, 11, Time(0)).handle(Time(0), &[], &mut out);
    out.iter()
        .find_map(|action| if let Action::AdvertiseCapacity(value) = action { Some(*value) } else { None })
}
