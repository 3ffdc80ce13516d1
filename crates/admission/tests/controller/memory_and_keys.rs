//! The memory account and the table of idempotency keys.

use crate::common::*;
use gradepin_admission::{Action, Event, Outcome, Request, Span};
use serde_json::json;

#[test]
fn reserves_no_more_than_the_memory() {
    let mut low = base();
    low["specifics"]["memory_kb"] = json!(200.0);
    low["specifics"]["fresh_for"] = json!(1000 * MS);
    let mut c = started_controller(low);
    // Attempts that join a read count as well; they once bypassed the memory check.
    let first = Request { has_subject: true, ..read("r0") };
    let mut requests = vec![first];
    requests.extend((1..20).map(|n| Request {
        earlier_attempt: Some(id("r0")),
        has_subject: true,
        ..read(&format!("r{n}"))
    }));
    let out = arrive(&mut c, 1, requests);
    let (run, gone) = (run_ids(&out).len(), rejected(&out).len());
    let keys = out.iter().filter(|a| matches!(a, Action::RetainIdempotencyKey { .. })).count();
    let need = (20 - gone - run) as f64 * 20.0 + run as f64 * 80.0 + keys as f64 * 10.0;
    assert!(need <= 200.0, "needs {need} of 200 kB");
    assert!(run > 0);
}

#[test]
fn repeat_whose_earlier_attempt_was_evicted_for_it_stands_alone() {
    // Evicting for the repeat once rejected the earlier attempt, and then looked it up.
    let mut low = base();
    low["specifics"]["memory_kb"] = json!(340.0);
    let mut c = started_controller(low);
    arrive(&mut c, 1, vec![read("r0"), read("r1"), read("r2")]);
    arrive(&mut c, 2, vec![claim("a", None)]);
    let big = Request { size_kb: 150.0, ..claim("b", Some("a")) };
    let out = arrive(&mut c, 3, vec![big]);
    assert!(!out.contains(&Action::JoinRun(id("b"))), "{out:?}");
    assert!(run_ids(&out).len() <= 1);
}

#[test]
fn repeat_with_idempotency_key_never_runs_beside_its_first_attempt() {
    // The first attempt is queued: the repeat takes its key, and the first attempt is rejected.
    let mut c = started_controller(base());
    arrive(&mut c, 1, (0..4).map(|n| claim(&format!("x{n}"), None)).collect());
    arrive(&mut c, 2, vec![claim("a", None)]);
    let out = arrive(&mut c, 3, vec![claim("b", Some("a"))]);
    assert_eq!(rejected(&out), ["a"]);
    assert!(!out.contains(&Action::ReleaseIdempotencyKey(id("a"))), "the entry belongs to the repeat");
    // The first attempt runs, has succeeded, or has failed: the repeat joins it.
    assert!(arrive(&mut c, 4, vec![claim("c", Some("x0"))]).contains(&Action::JoinRun(id("c"))));
    at(&mut c, 50, vec![completed("x1", Outcome::Success), completed("x2", Outcome::Failure)]);
    let out = arrive(&mut c, 60, vec![claim("d", Some("x1")), claim("e", Some("x2"))]);
    assert!(out.contains(&Action::JoinRun(id("d"))) && out.contains(&Action::JoinRun(id("e"))));
    assert!(run_ids(&out).is_empty() && rejected(&out).is_empty());
}

#[test]
fn key_entry_covers_the_window_from_arrival() {
    let mut c = started_controller(base());
    let late = Request { unread_for: Span(500 * MS), ..claim("a", None) };
    let out = arrive(&mut c, 1000, vec![late]);
    let kept = out.iter().find_map(|a| {
        if let Action::RetainIdempotencyKey { retain_for, .. } = a { Some(retain_for.0) } else { None }
    });
    assert!(kept.is_some_and(|ns| (8500 * MS..8600 * MS).contains(&ns)), "retained for {kept:?}");
}

#[test]
fn attempt_read_out_of_order_never_takes_over_the_key_of_a_later_one() {
    // The attempt that was read first arrived after the window of an older run, the other one within that window.
    let mut c = started_controller(base());
    arrive(&mut c, 900, (0..4).map(|n| read(&format!("x{n}"))).collect());
    arrive(&mut c, 1000, vec![claim("young", None)]);
    let old = Request { unread_for: Span(800 * MS), ..claim("old", Some("young")) };
    let out = arrive(&mut c, 1005, vec![old]);
    assert!(out.contains(&Action::Fail(id("old"))) && rejected(&out).is_empty(), "{out:?}");
    assert_eq!(run_ids(&at(&mut c, 1100, vec![completed("x0", Outcome::Success)])), ["young"]);
}

/// Guards against reservations that a reload with other sizes leaves wrong: the server rejected everything for good, or
/// exceeded its memory, because ending requests and keys released another size than was reserved.
#[test]
fn reservations_follow_sizes_that_a_reload_changes() {
    for (key_kb, run_factor) in [(0.0, 1.0), (0.1, 8.0), (25.0, 1.5)] {
        let mut value = base();
        value["profiles"][1]["window"] = json!(3_000 * MS);
        value["specifics"]["memory_kb"] = json!(2_000.0);
        value["specifics"]["kb_per_key"] = json!(25.0);
        let mut c = started_controller(value.clone());
        for n in 0..40 {
            let taken = arrive(&mut c, n, vec![claim(&format!("k{n}"), None)]);
            assert_eq!(rejected(&taken), Vec::<&str>::new(), "claim {n}");
            let end =
                Event::Completed { id: id(&format!("k{n}")), outcome: Outcome::Success, took: Span(MS) };
            at(&mut c, n, vec![end]);
        }
        arrive(&mut c, 40, vec![read("runs")]);
        value["specifics"]["kb_per_key"] = json!(key_kb);
        value["specifics"]["run_factor"] = json!(run_factor);
        value["profiles"] = json!([]);
        c.set_global_settings(settings(value));
        at(&mut c, 50, vec![Event::Completed { id: id("runs"), outcome: Outcome::Success, took: Span(MS) }]);
        // All windows have passed: all of the memory is free, and no more.
        for n in 0..40 {
            at(&mut c, 4_000 + 100 * n, vec![timer(0.0)]);
        }
        let fitting = Request { size_kb: 900.0, ..read("fitting") };
        let out = arrive(&mut c, 8_010, vec![fitting]);
        assert_eq!(rejected(&out), Vec::<&str>::new(), "{key_kb} kB per key, run factor {run_factor}");
        let too_much = Request { size_kb: 1_100.0, ..read("too much") };
        let out = arrive(&mut c, 8_011, vec![too_much]);
        assert!(rejected(&out).contains(&"too much"), "{key_kb} kB per key, run factor {run_factor}");
    }
}
