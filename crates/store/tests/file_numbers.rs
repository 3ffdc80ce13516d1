//! Files in a folder whose numbers no writer could have assigned.

use gradepin_admission::{RequestId, Span};
use gradepin_core::idempotency_log::LogRecord;
use gradepin_store::configuration::{self, ConfigurationStore};
use gradepin_store::disk::{Disk, Folder};
use gradepin_store::log::{self, Limits, Log, Stamp};
use gradepin_store::voter_log::{self, VoterLog};
use std::path::PathBuf;

/// A temporary folder for one test, removed when it is dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    /// Creates the folder with empty files of these names.
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

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against an overflow that silently ends the thread of a store: a file with the highest number that a name can have leaves
/// no next number. Such a file must be ignored.
#[test]
fn opens_and_writes_beside_a_file_with_the_highest_number() {
    for number in [u64::MAX, u64::MAX - 1] {
        let folder = TempFolder::new("log", &[log::name_of(number)]);
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

        let folder = TempFolder::new("council", &[voter_log::name_of(number)]);
        VoterLog::open(folder.disk(), 5).map(drop).expect("it opens");

        let folder = TempFolder::new("configuration", &[configuration::name_of(number)]);
        ConfigurationStore::open(folder.disk()).map(drop).expect("it opens");
    }
}
