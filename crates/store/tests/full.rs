//! The log of keyed runs on a disk that is full for long.

use gradepin_admission::{RequestId, Span};
use gradepin_core::idempotency_log::LogRecord;
use gradepin_store::log::{Limits, Log, Stamp};
use gradepin_store::sim::{Fault, SimDisk};

fn intent(n: u64) -> LogRecord {
    let (token, id) = (format!("t{n}").into(), RequestId::new(&format!("{n:016x}")));
    LogRecord::Intent { key: token, fingerprint: 1, id, window_left: Span(9_000_000_000) }
}

/// Guards the folder against a file for each try to write all anew: tries go on for as long as the disk is full, and what they
/// leave is nobody's until the next start.
#[test]
fn a_disk_that_is_full_for_long_leaves_no_file_for_each_try() {
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
    let there: usize = disk.lengths().iter().map(|(_, length)| length).sum();
    // Room for nothing, for a part of a segment's head, and for the head alone.
    for room in [0, 10, 40] {
        disk.fail(Fault::Full(there + room));
        for n in 0..100 {
            assert!(log.rewrite(stamp(2 + n), &[intent(1)]).is_err());
            log.expire(2 + n).expect("files can be removed");
        }
        let files = disk.lengths();
        assert!(files.len() <= 3, "{room} bytes of room: {} files", files.len());
    }
    disk.fail(Fault::None);
    log.rewrite(stamp(500), &[intent(1)]).expect("a disk without faults");
    assert_eq!(disk.lengths().len(), 1, "{:?}", disk.lengths());
}
