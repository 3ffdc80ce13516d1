use super::*;
use crate::buffer_pool::BufferPool;
use gradepin_admission::Span;

fn served() -> Response {
    Response::Served(Arc::new(BufferPool::new(1).copy(b"tile").unwrap()))
}

/// Guards the figures against a kind of answer counted under another, and a class lost at a reload.
#[test]
fn answers_count_by_class_and_kind() {
    let mut tally = RequestMetrics::default();
    let refused = Response::Rejected { retry_after: Span(0), no_failover: false };
    tally.answered("read", &served());
    tally.answered("read", &refused);
    tally.answered("write", &Response::Failed { timed_out: true });
    tally.answered("write", &Response::OutcomeUnknown);
    tally.answered("write", &Response::Health { healthy: true, store: None });
    tally.relayed();
    tally.reloaded(true);
    tally.reloaded(false);
    tally.reloaded(false);
    let stats = tally.stats(3);
    let read = ResponseCounts { fulfilled: 1, throttled: 1, faulted: 0 };
    let write = ResponseCounts { fulfilled: 0, throttled: 0, faulted: 2 };
    assert_eq!(stats.classes, vec![(Arc::from("read"), read), (Arc::from("write"), write)]);
    assert_eq!((stats.relayed, stats.open, stats.cfg_accepted, stats.cfg_invalid), (1, 3, 1, 2));
}

/// Guards memory over many reloads: names past the bound share one count.
#[test]
fn names_are_bounded() {
    let mut tally = RequestMetrics::default();
    for n in 0..MAX_COUNTED_CLASSES + 10 {
        tally.answered(&format!("class-{n}"), &served());
    }
    let stats = tally.stats(0);
    assert_eq!(stats.classes.len(), MAX_COUNTED_CLASSES + 1);
    let other =
        stats.classes.iter().find(|(name, _)| &**name == OTHER_CLASSES).map(|(_, counts)| counts.fulfilled);
    assert_eq!(other, Some(10));
}
