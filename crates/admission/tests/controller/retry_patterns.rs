//! The age of retries and the overload of the fleet, as derived from arriving requests.

use crate::common::*;
use gradepin_admission::{Action, Event, Outcome, Request, Span};
use serde_json::json;

/// The actions on a retry with a timeout of `retry_ms`, after first attempts with the timeouts `timeouts_ms` in ms.
fn actions_on_retry_after(marks: bool, timeouts_ms: &[u64], retry_ms: u64) -> Vec<Action> {
    let mut set = base();
    set["callers"]["marks_retry"] = json!(marks);
    let mut c = started_controller(set);
    for (n, ms) in (0..20).flat_map(|n| timeouts_ms.iter().map(move |ms| (n, *ms))) {
        let name = format!("r{n}-{ms}");
        let first = Request { expires_in: Some(Span(ms * MS)), ..read(&name) };
        arrive(&mut c, 1 + n * 400, vec![first]);
        at(&mut c, 100 + n * 400, vec![timer(0.1), completed(&name, Outcome::Success)]);
    }
    let retry = Request { expires_in: Some(Span(retry_ms * MS)), retry: marks, ..claim("again", None) };
    arrive(&mut c, 9000, vec![retry])
}

#[test]
fn retry_with_a_short_usual_timeout_is_not_taken_for_an_old_one() {
    // Beside callers with a long timeout, each retry of callers with a short one looked seconds old and was rejected.
    assert_eq!(run_ids(&actions_on_retry_after(true, &[1600, 2000], 1600)), ["again"]);
    let old = actions_on_retry_after(true, &[1600, 2000], 1200);
    assert_eq!((run_ids(&old).len(), rejected(&old)), (0, vec!["again"]), "2.8 s of its 4 s have passed");
    let old = actions_on_retry_after(true, &[1600], 2400);
    assert_eq!(rejected(&old), ["again"], "a timeout longer than usual shows an old attempt as well");
}

#[test]
fn unusual_timeout_shows_an_old_attempt_where_retries_are_not_marked() {
    // Unmarked retries past their latency objective were run at full cost and earned nothing.
    assert_eq!(rejected(&actions_on_retry_after(false, &[1600, 2000], 1200)), ["again"]);
    assert_eq!(run_ids(&actions_on_retry_after(false, &[1600, 2000], 2000)), ["again"]);
}

#[test]
fn no_attempt_counts_as_old_where_every_timeout_differs() {
    // Without a timeout that repeats, ages are unknown. Nearly all of these requests were once rejected.
    let mut set = base();
    set["callers"]["marks_retry"] = json!(false);
    let mut c = started_controller(set);
    let mut runs = 0;
    for n in 0..40_u64 {
        let name = format!("r{n}");
        let odd = Span((1500 + n * 677 % 2500) * MS);
        runs += run_ids(&arrive(
            &mut c,
            1 + n * 200,
            vec![Request { expires_in: Some(odd), ..claim(&name, None) }],
        ))
        .len();
        at(&mut c, 100 + n * 200, vec![timer(0.1), completed(&name, Outcome::Success)]);
    }
    assert!(runs > 35, "{runs} of 40");
}

/// Whether the last of many consecutive rejections is final.
fn last_rejection_is_final(marks: bool) -> bool {
    let mut set = base();
    set["specifics"]["memory_kb"] = json!(400.0);
    set["callers"]["marks_retry"] = json!(marks);
    let mut c = started_controller(set);
    let (mut last, mut runs) = (false, Vec::new());
    for n in 0..100_u64 {
        let arrived = (0..8).map(|m| Event::Arrived(read(&format!("r{n}-{m}"))));
        let ends = runs.drain(..).map(|name: String| completed(&name, Outcome::Success));
        let out = at(&mut c, 10 + n * 100, ends.chain(arrived).chain([timer(0.1)]).collect());
        runs.extend(run_ids(&out).into_iter().map(String::from));
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
    // Rejected attempts went from one overloaded server to the next, with 2.7 attempts per request.
    assert!(last_rejection_is_final(false));
    assert!(!last_rejection_is_final(true), "no marked retry arrived: other servers may have capacity");
}
