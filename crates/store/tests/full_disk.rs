//! The log of keyed runs on a disk that stays full.

use gradepin_admission::{RequestId, Span};
use gradepin_core::idempotency_log::LogRecord;
use gradepin_store::log::{Limits, Log, Stamp};
use gradepin_store::sim::{Fault, SimDisk};

fn intent(n: u64) -> LogRecord {
    let (idempotency_key, id) = (format!("t{n}").into(), RequestId::new(&format!("{n:016x}")));
    LogRecord::Intent { key: idempotency_key, fingerprint: 1, id, window_left: Span(9_000_000_000) }
}

/// Guards against a folder that fills with useless files: rewrites are retried as long as the disk is full, and the files that
/// they leave would stay until the next start.
#[test]
fn failed_rewrites_on_a_full_disk_accumulate_no_files() {
    let disk = SimDisk::new(5);
    let limits = Limits {
        segment_bytes: 1 << 20,
        max_bytes: 1 << 30,
        max_result_bytes: 1 << 20,
        max_records: usize::MAX,
        window: Span(0),
    };
    let (mut log, _) = Log::open(Box::new(disk.clone()), limits, 7).expect("a new folder");
    let stamp = |mono_ms| Stamp { mono_ms, unix_ms: mono_ms };
    log.add(stamp(1), &[intent(1)]).expect("a disk without faults");
    let stored_bytes: usize = disk.lengths().iter().map(|(_, length)| length).sum();
    // Space for nothing, for a part of a segment header, and for the header alone.
    for free_bytes in [0, 10, 40] {
        disk.fail(Fault::Full(stored_bytes + free_bytes));
        for n in 0..100 {
            assert!(log.rewrite(stamp(2 + n), &[intent(1)]).is_err());
            log.expire(2 + n).expect("files can be removed");
        }
        let files = disk.lengths();
        assert!(files.len() <= 3, "{free_bytes} bytes free: {} files", files.len());
    }
    disk.fail(Fault::None);
    log.rewrite(stamp(500), &[intent(1)]).expect("a disk without faults");
    assert_eq!(disk.lengths().len(), 1, "{:?}", disk.lengths());
}
