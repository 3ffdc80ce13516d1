//! Graceful shutdown, unknown requests, clock jumps, class names and extreme settings.

use crate::common::*;
use gradepin_admission::{Action, Event, Outcome, Request, Span, Time};
use serde_json::json;

#[test]
fn drain_runs_requests_within_the_grace_period_and_responds_to_all_before_the_stop() {
    let mut c = started_controller(base());
    arrive(&mut c, 1, vec![read("old")]);
    let out = at(&mut c, 10, vec![Event::ShutdownNotice(Span(3000 * MS))]);
    assert!(out.contains(&Action::ReportHealth { shallow: true, active: false }));
    assert_eq!(run_ids(&arrive(&mut c, 1010, vec![read("in")])), ["in"]);
    let out = arrive(&mut c, 1011, vec![read("out")]);
    assert_eq!((run_ids(&out).len(), rejected(&out)), (0, vec!["out"]));
    let read_late = Request { unread_for: Span(100 * MS), ..read("unread") };
    assert_eq!(
        run_ids(&arrive(&mut c, 1100, vec![read_late])),
        ["unread"],
        "the request reached the machine within the grace period"
    );
    let out = at(&mut c, 3000, vec![]);
    assert_eq!(out.iter().filter(|a| matches!(a, Action::Fail(_))).count(), 3);
}

#[test]
fn events_of_unknown_requests_and_classes_are_ignored() {
    let mut c = started_controller(base());
    let events = vec![
        completed("unknown", Outcome::Success),
        Event::CallerGone(id("unknown")),
        Event::UpstreamCallNeeded(id("unknown")),
        Event::UpstreamCallEnded { id: id("unknown"), outcome: Outcome::TimedOut, took: Span(1) },
    ];
    let out = at(&mut c, 1, events);
    assert!(out.iter().all(|a| matches!(a, Action::SetTimer(_))), "{out:?}");
    let out = arrive(&mut c, 2, vec![Request { class: 99, ..read("odd") }]);
    assert!(run_ids(&out).is_empty());
}

#[test]
fn requests_start_after_clock_jumps_and_silence() {
    let mut c = started_controller(base());
    arrive(&mut c, 1, (0..6).map(|n| read(&format!("r{n}"))).collect());
    let out = at(&mut c, 600_000, vec![]);
    let answers = out.iter().filter(|a| matches!(a, Action::Fail(_) | Action::Reject { .. })).count();
    assert_eq!(answers, 6);
    assert!(out.iter().any(|a| matches!(a, Action::SetTimer(t) if *t > Time(600_000 * MS))));
    at(&mut c, 600_001, (0..4).map(|n| completed(&format!("r{n}"), Outcome::Stopped)).collect());
    assert_eq!(run_ids(&arrive(&mut c, 600_100, vec![read("new")])), ["new"]);
}

#[test]
fn class_names_do_not_change_the_actions() {
    let mut renamed = base();
    renamed["profiles"][0]["name"] = json!("zeta");
    renamed["profiles"][1]["name"] = json!("alpha");
    let run = |value| {
        let mut c = started_controller(value);
        let mut out = arrive(&mut c, 1, (0..9).map(|n| claim(&format!("r{n}"), None)).collect());
        out.extend(at(&mut c, 700, vec![timer(0.2)]));
        out
    };
    assert_eq!(run(base()), run(renamed));
}

#[test]
fn extreme_settings_neither_panic_nor_block_every_request() {
    let make_extreme: [fn(&mut gradepin_admission::Settings); 6] = [
        |s| s.servers = 0,
        |s| s.specifics.clients_total = 0,
        |s| s.specifics.n_cores = 0,
        |s| s.specifics.call_share = 0.0,
        |s| s.specifics.call_share = f64::NAN,
        |s| s.rules.max_concurrency_per_core = f64::NAN,
    ];
    for (which, make_extreme) in make_extreme.iter().enumerate() {
        let mut settings = settings(base());
        make_extreme(&mut settings);
        let mut c = gradepin_admission::Controller::new(settings, 11, Time(0));
        let mut started = 0;
        for n in 0..200_u64 {
            let out = at(&mut c, n * 50, vec![Event::Arrived(read(&format!("r{n}"))), timer(0.1)]);
            for name in run_ids(&out) {
                started += 1;
                at(&mut c, n * 50 + 20, vec![Event::UpstreamCallNeeded(id(name))]);
                at(&mut c, n * 50 + 40, vec![completed(name, Outcome::Success)]);
            }
        }
        assert!(started > 20, "setting {which}: {started} started");
    }
}
