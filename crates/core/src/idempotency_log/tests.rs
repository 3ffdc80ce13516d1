use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp { now: Time(ms * MS), unix_ms: ms }
}

fn keyed_run(n: u64) -> KeyedRun {
    let (key, id) = (Arc::from(format!("t{n}")), RequestId::new(&format!("{n:016x}")));
    KeyedRun { key, fingerprint: 0, id, window_left: Span(8_000 * MS), outcome: None }
}

fn good() -> IdempotencyLog {
    let mut log = IdempotencyLog::opening(Span(250 * MS));
    log.store_recovered(Time(0), &RecoveredRuns::default());
    log
}

fn take(log: &mut IdempotencyLog, ms: u64) -> Option<NumberedBatch> {
    log.take_batch(at(ms), Vec::new)
}

#[test]
fn attempt_may_run_once_its_own_batch_is_durable() {
    let mut log = good();
    assert!(log.append_intent(Time(1), keyed_run(1)));
    assert!(
        matches!(take(&mut log, 1), Some(NumberedBatch { number: 1, batch: RecordBatch::Append(records) }) if records.len() == 1)
    );
    assert!(log.append_intent(Time(2), keyed_run(2)) && log.append_intent(Time(2), keyed_run(3)));
    assert!(
        matches!(take(&mut log, 2), Some(NumberedBatch { number: 2, batch: RecordBatch::Append(records) }) if records.len() == 2)
    );
    assert!(take(&mut log, 3).is_none());
    assert_eq!(log.batch_persisted(Time(0), 1), [keyed_run(1).id]);
    assert_eq!(log.batch_persisted(Time(0), 2), [keyed_run(2).id, keyed_run(3).id]);
    assert!(log.batch_persisted(Time(0), 2).is_empty());
}

/// Guards against relying on a store after it failed: later reports of the disk start no runs, keyed requests are
/// rejected, and only a complete rewrite that is durable makes the store good again.
#[test]
fn after_a_failure_only_a_durable_rewrite_recovers() {
    let mut log = good();
    assert!(log.append_intent(Time(0), keyed_run(1)));
    take(&mut log, 0);
    assert!(log.append_intent(Time(0), keyed_run(2)));
    assert_eq!(log.batch_failed(Time(10 * MS), 1, "EIO"), [keyed_run(1).id, keyed_run(2).id]);
    assert_eq!(log.health(Time(10 * MS)), StoreHealth::Down);
    assert!(log.batch_persisted(Time(0), 1).is_empty() && log.batch_persisted(Time(0), 9).is_empty());
    assert!(
        !log.append_intent(Time(20 * MS), keyed_run(3))
            && log.retry_after(Time(20 * MS)) >= Some(Span(500 * MS))
    );
    assert!(take(&mut log, 900).is_none(), "the first rewrite must wait for the pause");
    let rewrite = |log: &mut IdempotencyLog, ms| match log.take_batch(at(ms), || vec![keyed_run(7)]) {
        Some(NumberedBatch { number, batch: RecordBatch::Rewrite(records) }) => (number, records.len()),
        other => panic!("{other:?}"),
    };
    let (number, count) = rewrite(&mut log, 1_010);
    assert_eq!(count, 1);
    assert!(take(&mut log, 1_500).is_none(), "only one rewrite may be in flight");
    assert!(log.batch_failed(Time(1_600 * MS), number, "ENOSPC").is_empty());
    assert_eq!(log.wake_at(), Some(Time(3_600 * MS)), "the pause doubles after a failure");
    let (number, _) = rewrite(&mut log, 3_600);
    log.batch_persisted(Time(0), number);
    assert_eq!((log.health(Time(4_000 * MS)), log.retry_after(Time(4_000 * MS))), (StoreHealth::Good, None));
    assert!(log.append_intent(Time(4_000 * MS), keyed_run(4)));
}

/// Guards against requests that wait for a sync that never returns, and against a queue that grows behind it.
#[test]
fn sync_that_never_returns_rejects_waiting_attempts() {
    let mut log = good();
    assert!(log.append_intent(Time(0), keyed_run(1)));
    take(&mut log, 0);
    assert!(log.fail_overdue(Time(249 * MS)).is_empty());
    assert_eq!(log.wake_at(), Some(Time(250 * MS)));
    assert_eq!(log.fail_overdue(Time(250 * MS)), [keyed_run(1).id]);
    for ms in (300..60_000).step_by(100) {
        assert!(!log.append_intent(Time(ms * MS), keyed_run(ms)));
        log.append_outcome(KeyedRun { outcome: Some(RunOutcome::Failed), ..keyed_run(1) });
        take(&mut log, ms);
    }
    assert!(log.last_batch <= 2 && log.next_batch.is_empty() && log.waiting_intents.is_empty());
    // The sync returns after all; the rewrite behind it makes the store good again.
    assert!(log.batch_persisted(Time(0), 1).is_empty());
    assert_eq!(log.health(Time(60_000 * MS)), StoreHealth::Down);
    log.batch_persisted(Time(0), 2);
    assert_eq!(log.health(Time(60_000 * MS)), StoreHealth::Good);
}

/// Guards against a second run of a key whose record was damaged: while records are unreadable, any key may have run.
#[test]
fn rejects_new_keys_while_the_store_is_incomplete() {
    let mut log = IdempotencyLog::opening(Span(250 * MS));
    assert_eq!(log.retry_after(Time(0)), Some(SHORT_RETRY_AFTER));
    log.store_recovered(
        Time(0),
        &RecoveredRuns { incomplete_for: Some(Span(8_000 * MS)), ..RecoveredRuns::default() },
    );
    assert_eq!(log.retry_after(Time(1_000 * MS)), Some(Span(7_000 * MS)));
    assert!(!log.append_intent(Time(1_000 * MS), keyed_run(1)));
    assert!(log.append_intent(Time(8_000 * MS), keyed_run(1)));
}
