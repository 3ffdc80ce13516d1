use super::*;

/// Guards against requests that are read and never answered: reading ended before the last answer was due, as each time had
/// a margin of its own. The order holds for any time to the stop.
#[test]
fn answers_are_due_before_reading_ends_and_that_before_the_stop() {
    let notified_at = Time(7_000 * MS);
    for stop_ms in [4, 50, 200, 500, 700, 1_000, 2_000, 3_700, 60_000] {
        let times = StopTimes::new(notified_at, Span(stop_ms * MS));
        assert_eq!(times.stop_at(), time_after(notified_at, Span(stop_ms * MS)));
        assert!(notified_at < times.answers_due_at(), "{stop_ms} ms");
        assert!(times.answers_due_at() < times.reading_ends_at(), "{stop_ms} ms");
        assert!(times.reading_ends_at() < times.stop_at(), "{stop_ms} ms");
    }
    let times = StopTimes::new(notified_at, Span(0));
    assert_eq!((times.answers_due_at(), times.reading_ends_at()), (notified_at, notified_at));
}

/// Guards the platform's answer times: with 0.7 s beyond the longest deadline, no request that was read before the notice
/// is cut short.
#[test]
fn margins_are_within_what_the_platform_adds_to_the_longest_deadline() {
    let (deadline, added) = (3_000 * MS, 700 * MS);
    let times = StopTimes::new(Time(0), Span(deadline + added));
    assert!(times.answers_due_at() >= Time(deadline));
}
