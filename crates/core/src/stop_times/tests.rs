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
    for deadline_ms in [100, 300, 1_000, 3_000] {
        let stop_after = time_to_stop(Span(60_000 * MS), Some(Span(deadline_ms * MS)));
        assert_eq!(stop_after, Span((deadline_ms + 700) * MS));
        let times = StopTimes::new(Time(0), stop_after);
        assert!(times.answers_due_at() >= Time(deadline_ms * MS), "{deadline_ms} ms");
    }
}

/// Guards against a stop that comes before the expected one: the platform waits for the longest deadline, 3 s at most, and
/// a reload may shorten it.
#[test]
fn the_stop_is_the_earliest_that_the_platform_allows() {
    let configured = Span(3_700 * MS);
    for (deadline_ms, stop_ms) in [(300, 1_000), (1_000, 1_700), (3_000, 3_700), (5_800, 3_700)] {
        assert_eq!(time_to_stop(configured, Some(Span(deadline_ms * MS))), Span(stop_ms * MS));
    }
    assert_eq!(time_to_stop(Span(500 * MS), Some(Span(1_000 * MS))), Span(500 * MS));
    assert_eq!(time_to_stop(configured, None), configured);
    let mut times = StopTimes::new(Time(MS), configured);
    assert!(!times.bring_forward(Span(3_800 * MS)) && times.stop_at() == Time(3_701 * MS));
    assert!(times.bring_forward(Span(1_700 * MS)) && times.stop_at() == Time(1_701 * MS));
    assert_eq!(times.notified_at(), Time(MS));
}
