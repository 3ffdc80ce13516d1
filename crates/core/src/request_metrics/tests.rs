use super::*;
use crate::buffer_pool::BufferPool;
use gradepin_admission::Span;

fn served() -> Response {
    Response::Served(Arc::new(BufferPool::new(1).copy(b"tile").unwrap()))
}

/// Guards against responses that are counted as another kind, and against counts that are lost at a reload.
#[test]
fn counts_responses_by_class_and_kind() {
    let mut metrics = RequestMetrics::default();
    let rejected = Response::Rejected { retry_after: Span(0), no_failover: false };
    metrics.count_response("read", &served());
    metrics.count_response("read", &rejected);
    metrics.count_response("write", &Response::Failed { timed_out: true });
    metrics.count_response("write", &Response::OutcomeUnknown);
    metrics.count_response("write", &Response::Health { healthy: true, store: None });
    metrics.count_run();
    metrics.count_reload(true);
    metrics.count_reload(false);
    metrics.count_reload(false);
    let snapshot = metrics.snapshot(3);
    let read = ResponseCounts { fulfilled: 1, throttled: 1, faulted: 0 };
    let write = ResponseCounts { fulfilled: 0, throttled: 0, faulted: 2 };
    assert_eq!(snapshot.classes, vec![(Arc::from("read"), read), (Arc::from("write"), write)]);
    assert_eq!((snapshot.relayed, snapshot.open, snapshot.cfg_accepted, snapshot.cfg_invalid), (1, 3, 1, 2));
}

/// Guards the memory over many reloads: names beyond the limit share one count.
#[test]
fn class_names_past_the_limit_share_one_count() {
    let mut metrics = RequestMetrics::default();
    for n in 0..MAX_COUNTED_CLASSES + 10 {
        metrics.count_response(&format!("class-{n}"), &served());
    }
    let snapshot = metrics.snapshot(0);
    assert_eq!(snapshot.classes.len(), MAX_COUNTED_CLASSES + 1);
    let other = snapshot
        .classes
        .iter()
        .find(|(name, _)| &**name == OTHER_CLASSES)
        .map(|(_, counts)| counts.fulfilled);
    assert_eq!(other, Some(10));
}
