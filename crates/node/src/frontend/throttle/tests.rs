use super::*;

/// Messages per second that a connection gets through if each is sent as soon as the previous one allows it.
fn messages_per_second(tokens: usize) -> usize {
    let start = Instant::now();
    let (mut bucket, mut now, mut sent) = (TokenBucket::new(start), start, 0);
    while now < start + Duration::from_secs(10) && sent < 1_000_000 {
        now += bucket.take(tokens, now).unwrap_or_default() + Duration::from_micros(20);
        sent += 1;
    }
    sent / 10
}

/// Guards against messages that break the protocol at full speed, and against a limit on those that keep to it.
#[test]
fn limits_messages_that_break_the_protocol_and_no_others() {
    use ProtocolViolation::{InvalidMessage, ReusedSequence, SurplusCancel, TooManyOpenRequests};
    let rate = |violation| messages_per_second(violation_tokens(violation));
    let [invalid, reused, excess, cancels] =
        [InvalidMessage, ReusedSequence, TooManyOpenRequests, SurplusCancel].map(rate);
    assert!(
        invalid < 50 && reused < 50 && excess < 250 && cancels < 1_200,
        "{invalid} {reused} {excess} {cancels}"
    );
    let checks = messages_per_second(HEALTH_CHECK_TOKENS);
    assert!((900..1_200).contains(&checks), "{checks}");
    assert!(messages_per_second(UNSUPPORTED_MESSAGE_TOKENS) < 50);
    assert_eq!(messages_per_second(0), 50_000, "as many as are sent");
}
