//! The age of retries, and the load of the fleet, as requests show them.

use crate::common::*;
use gradepin_admission::{Action, Event, Outcome, Request, Span};
use serde_json::json;

/// A retry with a part of the deadline to wait; the second habit of the two callers waits less than the first.
fn answer_to_retry_after(marks: bool, parts: &[u64], retry_ms: u64) -> Vec<Action> {
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
fn retry_with_a_short_usual_timeout_is_not_taken_for_an_old_one() {
    // Found at full size: beside a patient habit, each retry of a hasty one looked seconds old and was refused.
    assert_eq!(processed(&answer_to_retry_after(true, &[1600, 2000], 1600)), ["again"]);
    let old = answer_to_retry_after(true, &[1600, 2000], 1200);
    assert_eq!((processed(&old).len(), refused(&old)), (0, vec!["again"]), "2.8 s of its 4 are gone");
    let old = answer_to_retry_after(true, &[1600], 2400);
    assert_eq!(refused(&old), ["again"], "with more time than a first try it is old all the same");
}

#[test]
fn unusual_timeout_shows_an_old_attempt_where_retries_are_not_marked() {
    // Found at full size: unmarked retries past their aim were run at full cost and earned nothing.
    assert_eq!(refused(&answer_to_retry_after(false, &[1600, 2000], 1200)), ["again"]);
    assert_eq!(processed(&answer_to_retry_after(false, &[1600, 2000], 2000)), ["again"]);
}

#[test]
fn takes_no_attempt_for_old_where_every_timeout_differs() {
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
fn last_rejection_is_final(marks: bool) -> bool {
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
            if let Action::Reject { is_final: l, .. } = action {
                last = *l;
            }
        }
    }
    last
}

#[test]
fn own_rejections_show_an_overloaded_fleet_where_retries_are_not_marked() {
    // Found at full size: refused tries walked from one full box to the next, 2.7 attempts a request.
    assert!(last_rejection_is_final(false));
    assert!(!last_rejection_is_final(true), "no marked retry came: others may have room");
}
