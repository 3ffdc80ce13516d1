use super::*;
use crossbeam_channel::bounded;
use gradepin_admission::{RequestId, Span};
use gradepin_core::idempotency_log::RecoveredRuns;
use gradepin_store::sim::{Fault, SimDisk};
use slog::{Discard, o};

fn batch(n: u64) -> RecordBatch {
    let (key, id) = (format!("t{n}").into(), RequestId::new(&format!("{n:016x}")));
    RecordBatch::Append(vec![LogRecord::Intent { key, fingerprint: 1, id, window_left: Span(9_000_000_000) }])
}

/// Guards against a sync per request, against a caller that blocks on the disk, and against a report before the sync:
/// all batches are queued while a sync hangs, and then share the next one.
#[test]
fn queued_batches_share_the_next_sync() {
    const MAX_WAIT: Duration = Duration::from_secs(20);
    let disk = SimDisk::new(1);
    let (inputs, reported) = bounded(64);
    let opened = disk.clone();
    let open: OpenDisk = Box::new(move || Ok(Box::new(opened.clone()) as Box<dyn Disk>));
    let limits = Limits {
        segment_bytes: 1 << 20,
        max_bytes: 1 << 30,
        max_result_bytes: 1 << 20,
        max_records: usize::MAX,
        window: Span(0),
    };
    let log = Logger::root(Discard, o!());
    let store = Store::start(open, limits, 7, Clock::start(), inputs, log).expect("a thread");
    let first = reported.recv_timeout(MAX_WAIT).expect("the store opens");
    assert!(matches!(first, Input::StoreRecovered(found) if matches!(*found, RecoveredRuns { salt: 7, .. })));
    disk.fail(Fault::SyncHangs);
    (1..=500).for_each(|n| store.persist(n, batch(n)));
    assert!(
        reported.recv_timeout(Duration::from_millis(50)).is_err(),
        "nothing is durable while a sync hangs"
    );
    disk.fail(Fault::None);
    let mut last = 0;
    while last < 500 {
        match reported.recv_timeout(MAX_WAIT).expect("further batches are durable") {
            Input::StorePersisted { number: up_to } => last = up_to,
            other => panic!("{other:?}"),
        }
    }
    assert!(disk.syncs() <= 3, "{} syncs for 500 batches", disk.syncs());
    // A failure is reported with its reason, and nothing is durable until all records are rewritten.
    disk.fail(Fault::SyncFails);
    store.persist(501, batch(501));
    assert!(
        matches!(reported.recv_timeout(MAX_WAIT), Ok(Input::StoreFailed { number: 501, reason: error }) if error.contains("input/output"))
    );
    disk.fail(Fault::None);
    store.persist(502, batch(502));
    assert!(matches!(reported.recv_timeout(MAX_WAIT), Ok(Input::StoreFailed { number: 502, .. })));
    store.persist(503, RecordBatch::Rewrite(Vec::new()));
    assert!(matches!(reported.recv_timeout(MAX_WAIT), Ok(Input::StorePersisted { number: 503 })));
}
