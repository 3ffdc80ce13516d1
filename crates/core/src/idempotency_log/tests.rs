use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp { now: Time(ms * MS), unix_ms: ms }
}

fn known(n: u64) -> KeyedRun {
    let (token, id) = (Arc::from(format!("t{n}")), RequestId::new(&format!("{n:016x}")));
    KeyedRun { token, print: 0, id, left: Span(8_000 * MS), end: None }
}

fn good() -> IdempotencyLog {
    let mut ledger = IdempotencyLog::opening(Span(250 * MS));
    ledger.recovered(Time(0), &RecoveredRuns::default());
    ledger
}

fn take(ledger: &mut IdempotencyLog, ms: u64) -> Option<(u64, RecordBatch)> {
    ledger.take(at(ms), Vec::new)
}

#[test]
fn a_try_begins_when_its_own_batch_is_durable() {
    let mut ledger = good();
    assert!(ledger.intent(Time(1), known(1)));
    assert!(matches!(take(&mut ledger, 1), Some((1, RecordBatch::Append(records))) if records.len() == 1));
    assert!(ledger.intent(Time(2), known(2)) && ledger.intent(Time(2), known(3)));
    assert!(matches!(take(&mut ledger, 2), Some((2, RecordBatch::Append(records))) if records.len() == 2));
    assert!(take(&mut ledger, 3).is_none());
    assert_eq!(ledger.persisted(Time(0), 1), [known(1).id]);
    assert_eq!(ledger.persisted(Time(0), 2), [known(2).id, known(3).id]);
    assert!(ledger.persisted(Time(0), 2).is_empty());
}

/// Guards against a store that is trusted after it failed: nothing begins by a later word of the disk, keyed requests
/// are turned away, and only a whole new copy that is durable brings it back.
#[test]
fn after_a_failure_only_a_new_copy_counts() {
    let mut ledger = good();
    assert!(ledger.intent(Time(0), known(1)));
    take(&mut ledger, 0);
    assert!(ledger.intent(Time(0), known(2)));
    assert_eq!(ledger.failed(Time(10 * MS), 1, "EIO"), [known(1).id, known(2).id]);
    assert_eq!(ledger.standing(Time(10 * MS)), StoreHealth::Down);
    assert!(ledger.persisted(Time(0), 1).is_empty() && ledger.persisted(Time(0), 9).is_empty());
    assert!(!ledger.intent(Time(20 * MS), known(3)) && ledger.refuses(Time(20 * MS)) >= Some(Span(500 * MS)));
    assert!(take(&mut ledger, 900).is_none(), "not at once");
    let anew = |ledger: &mut IdempotencyLog, ms| match ledger.take(at(ms), || vec![known(7)]) {
        Some((number, RecordBatch::Rewrite(records))) => (number, records.len()),
        other => panic!("{other:?}"),
    };
    let (number, count) = anew(&mut ledger, 1_010);
    assert_eq!(count, 1);
    assert!(take(&mut ledger, 1_500).is_none(), "one at a time");
    assert!(ledger.failed(Time(1_600 * MS), number, "ENOSPC").is_empty());
    assert_eq!(ledger.wake_at(), Some(Time(3_600 * MS)), "twice as long until the next");
    let (number, _) = anew(&mut ledger, 3_600);
    ledger.persisted(Time(0), number);
    assert_eq!(
        (ledger.standing(Time(4_000 * MS)), ledger.refuses(Time(4_000 * MS))),
        (StoreHealth::Good, None)
    );
    assert!(ledger.intent(Time(4_000 * MS), known(4)));
}

/// Guards against requests that wait for a sync that never returns, and against a queue that grows behind it.
#[test]
fn a_sync_that_never_returns_holds_nothing_up() {
    let mut ledger = good();
    assert!(ledger.intent(Time(0), known(1)));
    take(&mut ledger, 0);
    assert!(ledger.overdue(Time(249 * MS)).is_empty());
    assert_eq!(ledger.wake_at(), Some(Time(250 * MS)));
    assert_eq!(ledger.overdue(Time(250 * MS)), [known(1).id]);
    for ms in (300..60_000).step_by(100) {
        assert!(!ledger.intent(Time(ms * MS), known(ms)));
        ledger.end(KeyedRun { end: Some(RunOutcome::Failed), ..known(1) });
        take(&mut ledger, ms);
    }
    assert!(ledger.last <= 2 && ledger.batch.is_empty() && ledger.waiting.is_empty());
    // It returns after all: the copy behind it brings the store back.
    assert!(ledger.persisted(Time(0), 1).is_empty());
    assert_eq!(ledger.standing(Time(60_000 * MS)), StoreHealth::Down);
    ledger.persisted(Time(0), 2);
    assert_eq!(ledger.standing(Time(60_000 * MS)), StoreHealth::Good);
}

/// Guards against a second run where a record was lost to damage: any token may have run.
#[test]
fn while_in_doubt_nothing_new_of_a_key_runs() {
    let mut ledger = IdempotencyLog::opening(Span(250 * MS));
    assert_eq!(ledger.refuses(Time(0)), Some(SOON));
    ledger.recovered(Time(0), &RecoveredRuns { doubt: Some(Span(8_000 * MS)), ..RecoveredRuns::default() });
    assert_eq!(ledger.refuses(Time(1_000 * MS)), Some(Span(7_000 * MS)));
    assert!(!ledger.intent(Time(1_000 * MS), known(1)));
    assert!(ledger.intent(Time(8_000 * MS), known(1)));
}
