use super::codec::ScgiResponse;
use super::*;
use gradepin_admission::Span;

fn told(answer: &Response, leaving: bool) -> ScgiResponse {
    ScgiResponse::read(&encode(answer, Some(0.5), leaving, &BufferPool::new(1)).expect("it fits"))
        .expect("an answer")
}

#[test]
fn answers_carry_the_advice_rounded_up_and_exactly() {
    let refused = told(&Response::Rejected { retry_after: Span(1_200_000_001), no_failover: true }, true);
    assert_eq!(refused.status, 503);
    for (name, value) in [
        ("retry-after", "2"),
        ("x-gradepin-retry-after-ms", "1201"),
        ("x-gradepin-final", "1"),
        ("x-gradepin-hint", "0.5"),
        ("connection", "close"),
    ] {
        assert_eq!(refused.header(name), Some(value), "{name}");
    }
    let plain = told(&Response::Rejected { retry_after: Span(0), no_failover: false }, false);
    assert_eq!((plain.header("retry-after"), plain.header("x-gradepin-final")), (None, None));
}

#[test]
fn results_are_unchanged_and_the_largest_fits() {
    let result: Vec<u8> = (0..4096).map(|n| (n % 256) as u8).collect();
    let buffer = BufferPool::new(1).exact(&result).expect("fits");
    let served = told(&Response::Served(Arc::new(buffer)), true);
    assert_eq!((served.status, served.body), (200, result));
    let status = |answer| told(&answer, false).status;
    assert_eq!([false, true].map(|late| status(Response::Failed { timed_out: late })), [502, 504]);
    assert_eq!([true, false].map(|good| status(Response::Health { healthy: good, store: None })), [200, 503]);
    assert_eq!(status(Response::OutcomeUnknown), 502);
}

#[test]
fn ids_are_never_the_same() {
    let ids = Ids { next: AtomicU64::new(0), seed: 7 };
    let all: std::collections::HashSet<u64> = (0..10_000).map(|_| ids.next()).collect();
    assert_eq!(all.len(), 10_000);
}
