use super::*;
use crate::buffer_pool::BufferPool;

fn at(ms: u64) -> Timestamp {
    Timestamp { now: Time(ms * MS), unix_ms: 1_000_000 + ms }
}

fn run(table: &mut IdempotencyTable, n: usize, end: Option<RunOutcome>) {
    let (key, id) = (Arc::from(format!("t{n}")), RequestId::new(&format!("r{n}")));
    table.retain(&key, 0, &id, Time(9));
    table.run_started(&key, 0, &id, 1_009_000, at(0));
    if end.is_some() {
        table.run_ended(&key, &id, end);
    }
}

fn sweep(table: &mut IdempotencyTable, now: Time) {
    while table.sweep(now) {}
}

/// Guards against runs whose end is never reported: their records were never removed.
#[test]
fn runs_without_a_reported_end_expire() {
    let mut table = IdempotencyTable::new(10_000);
    run(&mut table, 1, None);
    run(&mut table, 2, BufferPool::new(0).exact(b"out").map(|result| RunOutcome::Served(Arc::new(result))));
    let late = time_after(Time(9_000 * MS), Span(MAX_READ_DELAY.0 + crate::timer_wheel::TICK.0));
    sweep(&mut table, late);
    assert!(table.len() == 1 && table.retained_bytes == 0 && table.retained.is_empty());
    sweep(&mut table, time_after(late, MAX_UNREPORTED_RUN));
    assert!(table.is_empty() && table.shards.iter().all(HashMap::is_empty));
}

/// Guards against retained results that fill the memory: the oldest result is dropped, and repeats of its request fail.
#[test]
fn retained_results_stay_within_the_byte_limit() {
    let mut table = IdempotencyTable::new(2 * (1000 + RESULT_OVERHEAD_BYTES));
    for n in 1..=3 {
        run(
            &mut table,
            n,
            BufferPool::new(0).exact(&[7; 1000]).map(|result| RunOutcome::Served(Arc::new(result))),
        );
    }
    assert!(table.retained_bytes <= table.max_retained_bytes);
    let mut join = |n: usize| table.join(&format!("t{n}"), &RequestId::new("again"));
    assert!(matches!(join(1), Some(RunOutcome::Failed)));
    assert!(matches!(join(3), Some(RunOutcome::Served(result)) if result.len() == 1000));
}

/// Guards against a change of the Unix clock that shortens a window: a restored run is found for the remaining time of
/// its window, even if by the Unix clock the window is long over or still ahead.
#[test]
fn restored_window_lasts_for_its_remaining_time() {
    let saved = |n: u64, end| SavedRun {
        key: format!("t{n}"),
        fingerprint: n,
        id: format!("{n:016x}"),
        window_left: Span(8_000 * MS),
        outcome: end,
    };
    for unix_ms in [5, 1_000_000, 9_000_000_000] {
        let (mut table, pool) = (IdempotencyTable::new(10_000), BufferPool::new(0));
        let timestamp = Timestamp { now: Time(77 * MS), unix_ms };
        table.restore(saved(1, SavedOutcome::Served(b"out".to_vec())), timestamp, &pool);
        table.restore(saved(2, SavedOutcome::Unknown), timestamp, &pool);
        assert!(table.has_run("t1", unix_ms + 7_999) && !table.has_run("t1", unix_ms + 8_000));
        assert!(matches!(table.join("t1", &RequestId::new("x")), Some(RunOutcome::Served(_))));
        assert!(table.join("t2", &RequestId::new("y")).is_none(), "the processor may still report the end");
        assert_eq!(table.abandon_recovered_runs(), [RequestId::new("y")]);
        assert!(matches!(table.join("t2", &RequestId::new("z")), Some(RunOutcome::Unknown)));
    }
}

/// Guards against a run that a rewrite omits, whatever its key: it would run again after a crash.
#[test]
fn all_known_runs_include_every_key() {
    let mut table = IdempotencyTable::new(10_000);
    run(&mut table, 1, Some(RunOutcome::Failed));
    table.run_started(&Arc::from(""), 0, &RequestId::new("r"), 1_009_000, at(0));
    let keys: Vec<_> = table.all_known_runs(Time(0)).into_iter().map(|known| known.key).collect();
    assert_eq!(keys, [Arc::from(""), Arc::from("t1")]);
}

/// Guards against a sweep that checks every record: one call must have a limited cost, however many keys there are.
#[test]
fn sweep_work_is_bounded() {
    let mut table = IdempotencyTable::new(10_000);
    for n in 0..100_000 {
        run(&mut table, n, Some(RunOutcome::Failed));
    }
    let late = time_after(Time(9_000 * MS), Span(MAX_READ_DELAY.0 + crate::timer_wheel::TICK.0));
    let mut sweeps = 1;
    while table.sweep(late) {
        sweeps += 1;
    }
    assert!(table.is_empty() && sweeps >= 100_000 / MAX_SWEEP_CHECKS, "{sweeps}");
}
