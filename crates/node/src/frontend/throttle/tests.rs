use super::*;

/// Messages per second that a connection gets through if each is sent as soon as the previous one allows it.
fn messages_per_second(cost: usize) -> usize {
    let start = Instant::now();
    let (mut bucket, mut now, mut sent) = (TokenBucket::new(start), start, 0);
    while now < start + Duration::from_secs(10) && sent < 1_000_000 {
        now += bucket.take(cost, now).unwrap_or_default() + Duration::from_micros(20);
        sent += 1;
    }
    sent / 10
}

/// Guards against invalid messages at full speed, and against a bucket that throttles a busy client proxy.
#[test]
fn throttles_invalid_messages_and_not_served_ones() {
    let (invalid, failed, served) = [MessageOutcome::Invalid, MessageOutcome::Failed, MessageOutcome::Served]
        .map(|outcome| messages_per_second(1 + outcome.cost()))
        .into();
    assert!(invalid < 50 && failed < 250 && served > 900, "{invalid} {failed} {served}");
}
