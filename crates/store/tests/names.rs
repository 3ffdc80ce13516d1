//! Files in a store's folder that no writer made.

use gradepin_admission::{RequestId, Span};
use gradepin_core::idempotency_log::LogRecord;
use gradepin_store::configuration::{self, ConfigurationStore};
use gradepin_store::disk::{Disk, Folder};
use gradepin_store::log::{self, Limits, Log, Stamp};
use gradepin_store::voter_log::{self, VoterLog};
use std::path::PathBuf;

/// A folder of the test's own, removed at its end.
struct Temp(PathBuf);

impl Temp {
    /// With empty files of these numbers in it.
    fn new(name: &str, files: &[String]) -> Self {
        let path = std::env::temp_dir().join(format!("gradepin-names-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        files.iter().for_each(|file| std::fs::write(path.join(file), "").expect("a file"));
        Self(path)
    }

    fn disk(&self) -> Box<dyn Disk> {
        Box::new(Folder::open(&self.0).expect("a folder"))
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against a store's thread that ends in an overflow, and nobody notices, because of a file with the last number that
/// a name can tell: it is nobody's, and what is written stands behind it.
#[test]
fn a_file_with_the_last_number_ends_no_store() {
    for number in [u64::MAX, u64::MAX - 1] {
        let folder = Temp::new("log", &[log::name_of(number)]);
        let limits = Limits {
            segment_bytes: 1 << 20,
            max_bytes: 1 << 30,
            max_result_bytes: 1 << 20,
            max_records: usize::MAX,
            window: Span(9_000_000_000),
        };
        let (mut log, _) = Log::open(folder.disk(), limits, 7).expect("it opens");
        let id = RequestId::new("00000000000000aa");
        let intent =
            LogRecord::Intent { key: "t".into(), fingerprint: 1, id, window_left: Span(9_000_000_000) };
        log.add(Stamp::default(), &[intent]).expect("it writes");
        drop(log);
        let (_, found) = Log::open(folder.disk(), limits, 8).expect("it opens again");
        assert_eq!(found.recovered.runs.len(), 1);

        let folder = Temp::new("council", &[voter_log::name_of(number)]);
        VoterLog::open(folder.disk(), 5).map(drop).expect("it opens");

        let folder = Temp::new("configuration", &[configuration::name_of(number)]);
        ConfigurationStore::open(folder.disk()).map(drop).expect("it opens");
    }
}
