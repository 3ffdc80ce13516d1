//! `gradepin store`: offline inspection of an idempotency store's folder, with a report of any damage.

use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::idempotency_log::{LogRecord, SavedOutcome, SavedRun};
use gradepin_core::idempotency_table::MAX_READ_DELAY;
use gradepin_store::disk::{Disk, Folder};
use gradepin_store::frame::{self, Frames, StoredRecord};
use gradepin_store::log::{self, Limits, Log, Stamp};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Limits that admit every segment and record, since an inspection reads the whole log.
const UNLIMITED: Limits = Limits {
    segment_bytes: 4 << 20,
    max_bytes: u64::MAX,
    max_result_bytes: usize::MAX,
    max_records: usize::MAX,
    window: Span(0),
};

/// Commands on the folder of an idempotency store.
#[derive(clap::Subcommand)]
pub(crate) enum StoreCommand {
    /// Read every segment and print its contents and any damage; exit status 1 if a segment is damaged
    Check {
        /// Folder of the store
        folder: PathBuf,
    },
    /// Print every record in write order
    Dump {
        /// Folder of the store
        folder: PathBuf,
    },
    /// Rewrite all live records into one segment and delete the others; no server may be using the folder
    Compact {
        /// Folder of the store
        folder: PathBuf,
    },
}

/// Executes a command; returns false if a segment is damaged.
pub(crate) fn run(command: StoreCommand) -> Result<bool, Box<dyn Error>> {
    match command {
        StoreCommand::Check { folder } => check(&folder),
        StoreCommand::Dump { folder } => dump(&folder),
        StoreCommand::Compact { folder } => compact(&folder),
    }
}

fn check(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let reading = log::read(&mut Folder::open_read_only(folder)?, &UNLIMITED)?;
    let salt = reading.salt();
    let found = reading.into_recovered(Span(0), salt.unwrap_or(0));
    let mut intact = true;
    for segment in &found.segments {
        let state = match (&segment.damage, segment.torn) {
            (Some(why), _) => format!("DAMAGED: {why}"),
            (None, Some(at)) => format!("ends with a write cut short at byte {at}, which is harmless"),
            (None, None) => "whole".to_string(),
        };
        intact &= segment.damage.is_none();
        let incarnation = segment.incarnation.map_or("-".to_string(), |incarnation| incarnation.to_string());
        println!(
            "{}  life {incarnation}  {} bytes  {} frames  {} records  {state}",
            log::name_of(segment.number),
            segment.bytes,
            segment.frames,
            segment.records
        );
    }
    let runs = &found.recovered.runs;
    let count =
        |is_counted: fn(&SavedOutcome) -> bool| runs.iter().filter(|run| is_counted(&run.outcome)).count();
    println!(
        "{} runs may still be asked for: {} with a result, {} failed, {} with an unknown outcome",
        runs.len(),
        count(|end| matches!(end, SavedOutcome::Served(_))),
        count(|end| *end == SavedOutcome::Failed),
        count(|end| *end == SavedOutcome::Unknown)
    );
    Ok(intact)
}

fn dump(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let mut disk = Folder::open_read_only(folder)?;
    let mut numbers: Vec<u64> = disk.list()?.iter().filter_map(|name| log::number_of(name)).collect();
    numbers.sort_unstable();
    let mut intact = true;
    for number in numbers {
        let bytes = disk.read(&log::name_of(number))?;
        let head = match frame::decode_header(&bytes) {
            Ok(head) => head,
            Err(error) => {
                println!("{number:016x}  {error}");
                intact = false;
                continue;
            }
        };
        let mut frames = Frames::new(&bytes, head.number);
        for batch in frames.by_ref() {
            for record in &batch.records {
                println!(
                    "{number:016x}  life {}  at {} ms ({} unix)  {}",
                    head.incarnation,
                    batch.mono_ms,
                    batch.unix_ms,
                    describe(record)
                );
            }
        }
        match frames.tail() {
            frame::Tail::Clean => {}
            frame::Tail::Torn(at) => println!("{number:016x}  cut short at byte {at}"),
            frame::Tail::Damaged(at) => {
                println!("{number:016x}  DAMAGED from byte {at} on");
                intact = false;
            }
        }
    }
    Ok(intact)
}

fn describe(record: &StoredRecord<'_>) -> String {
    match record {
        StoredRecord::Intent { key, fingerprint, id, window_left_ms } => {
            format!("intent  {key:?} {id} print {fingerprint:016x} for {window_left_ms} ms")
        }
        StoredRecord::Served { key, fingerprint, id, window_left_ms, result } => {
            format!(
                "served  {key:?} {id} print {fingerprint:016x} for {window_left_ms} ms, {} bytes",
                result.len()
            )
        }
        StoredRecord::Failed { key, fingerprint, id, window_left_ms } => {
            format!("failed  {key:?} {id} print {fingerprint:016x} for {window_left_ms} ms")
        }
        StoredRecord::Void { key, id } => format!("void    {key:?} {id}"),
        StoredRecord::RewriteComplete => "all that was known is written anew up to here".to_string(),
    }
}

fn compact(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let disk = Box::new(Folder::open(folder)?);
    let (mut log, found) = Log::open(disk, UNLIMITED, 0)?;
    let before = log.bytes();
    if found.segments.is_empty() {
        println!("nothing to compact");
        return Ok(true);
    }
    let count = found.recovered.runs.len();
    let records: Vec<LogRecord> = found.recovered.runs.into_iter().map(record_of).collect();
    log.rewrite(Stamp::default(), &records)?;
    let is_damaged = found.segments.iter().any(|segment| segment.damage.is_some());
    println!("{count} runs written anew: {before} bytes before, {} after", log.bytes());
    if is_damaged {
        let margin_s = MAX_READ_DELAY.0 / 1_000_000_000;
        println!("damaged segments stay until a server has run for their windows and {margin_s} s");
    }
    Ok(!is_damaged)
}

fn record_of(run: SavedRun) -> LogRecord {
    let SavedRun { key, fingerprint, id, window_left, outcome } = run;
    let (key, id) = (Arc::from(key), RequestId::new(&id));
    match outcome {
        SavedOutcome::Unknown => LogRecord::Intent { key, fingerprint, id, window_left },
        SavedOutcome::Failed => LogRecord::Outcome { key, fingerprint, id, window_left, result: None },
        SavedOutcome::Served(result) => {
            // Cannot exceed the buffer size: every stored result came out of a buffer.
            let result = BufferPool::new(0).exact(&result).map(Arc::new);
            LogRecord::Outcome { key, fingerprint, id, window_left, result }
        }
    }
}
