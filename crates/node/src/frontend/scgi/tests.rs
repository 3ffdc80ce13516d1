use super::codec::ScgiResponse;
use super::response::encode;
use super::*;
use gradepin_admission::Span;

fn decoded(response: &Response, draining: bool) -> ScgiResponse {
    ScgiResponse::read(
        &encode(response, Some(0.5), draining, &BufferPool::new(1))
            .expect("a response that fits into a buffer"),
    )
    .expect("a response")
}

#[test]
fn responses_state_retry_after_in_rounded_seconds_and_exactly() {
    let rejected = decoded(&Response::Rejected { retry_after: Span(1_200_000_001), no_failover: true }, true);
    assert_eq!(rejected.status, 503);
    for (name, value) in [
        ("retry-after", "2"),
        ("x-gradepin-retry-after-ms", "1201"),
        ("x-gradepin-final", "1"),
        ("x-gradepin-hint", "0.5"),
        ("connection", "close"),
    ] {
        assert_eq!(rejected.header(name), Some(value), "{name}");
    }
    let plain = decoded(&Response::Rejected { retry_after: Span(0), no_failover: false }, false);
    assert_eq!((plain.header("retry-after"), plain.header("x-gradepin-final")), (None, None));
}

#[test]
fn encodes_results_unchanged_and_fits_the_largest() {
    let result: Vec<u8> = (0..4096).map(|n| (n % 256) as u8).collect();
    let buffer = BufferPool::new(1).exact(&result).expect("fits");
    let served = decoded(&Response::Served(Arc::new(buffer)), true);
    assert_eq!((served.status, served.body), (200, result));
    let status = |response| decoded(&response, false).status;
    assert_eq!([false, true].map(|timed_out| status(Response::Failed { timed_out })), [502, 504]);
    assert_eq!([true, false].map(|healthy| status(Response::Health { healthy, store: None })), [200, 503]);
    assert_eq!(status(Response::OutcomeUnknown), 502);
}

#[test]
fn generated_ids_are_unique() {
    let ids = RequestIdGenerator::new(7);
    let all: std::collections::HashSet<u64> = (0..10_000).map(|_| ids.next()).collect();
    assert_eq!(all.len(), 10_000);
}
