//! The thread of the idempotency store: opens the store, writes batches of records with one sync for all queued ones,
//! and reports the results.
//!
//! The reducer decides when records are written again and how to react to a failure. Invariant:
//! [`Input::StorePersisted`] is sent only after its batch and all earlier ones are synced.

use crate::clock::Clock;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use gradepin_admission::Time;
use gradepin_core::idempotency_log::{LogRecord, RecordBatch};
use gradepin_core::messages::Input;
use gradepin_store::disk::{Disk, Folder, FolderError};
use gradepin_store::log::{self, Limits, Log, Stamp};
use slog::{Logger, warn};
use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 256 * 1024;
/// Pause between attempts to open the store.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);
/// The longest pause between checks for expired segments.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of batches that share a sync.
const MAX_BATCHES_PER_SYNC: usize = 1024;
const NANOS_PER_MS: u64 = 1_000_000;

/// The main thread's handle to the store thread.
pub struct Store {
    // Unbounded: the idempotency log stops sending while batches are late.
    jobs: Sender<WriteJob>,
}

/// A batch, and the number under which its result is reported.
struct WriteJob {
    number: u64,
    batch: RecordBatch,
}

/// Opens the disk of the store; called repeatedly until it succeeds.
pub type OpenDisk = Box<dyn FnMut() -> Result<Box<dyn Disk>, FolderError> + Send>;

/// Returns a function that opens a folder as the disk of the store.
pub fn open_folder(path: PathBuf) -> OpenDisk {
    Box::new(move || Ok(Box::new(Folder::open(&path)?) as Box<dyn Disk>))
}

/// Why the store can't be opened.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error(transparent)]
    Disk(#[from] FolderError),
    #[error(transparent)]
    Log(#[from] log::OpenError),
}

impl Store {
    /// Starts the thread, which opens the store and then writes. `salt` is the hash key of the fingerprints of a new
    /// store. The thread sends the recovered content as [`Input::StoreRecovered`], and each new reason why the store
    /// can't be opened as [`Input::StoreFailed`].
    pub fn start(
        open_disk: OpenDisk,
        limits: Limits,
        salt: u64,
        clock: Clock,
        inputs: Sender<Input>,
        log: Logger,
    ) -> io::Result<Self> {
        let (jobs, queue) = unbounded();
        let run = move || {
            if let Some(store) = open_until_done(open_disk, limits, salt, &inputs) {
                let started = clock.read().now;
                Writer { store, clock, started, expiry_failed: false, log }.run(&queue, &inputs);
            }
        };
        thread::Builder::new().name("store".into()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(Self { jobs })
    }

    /// Queues a batch; [`Input::StorePersisted`] or [`Input::StoreFailed`] follows.
    pub fn persist(&self, number: u64, batch: RecordBatch) {
        // Can't fail: the thread runs as long as the process.
        let _ = self.jobs.send(WriteJob { number, batch });
    }
}

/// Retries until the store is open, and reports each new reason of a failure once. `None` if the queue of inputs is
/// closed.
fn open_until_done(
    mut open_disk: OpenDisk,
    limits: Limits,
    salt: u64,
    inputs: &Sender<Input>,
) -> Option<Log> {
    let mut reported = String::new();
    loop {
        let started = Instant::now();
        let opened = open_disk().map_err(OpenError::from);
        match opened.and_then(|disk| Ok(Log::open(disk, limits, salt)?)) {
            Ok((log, mut found)) => {
                let ms = started.elapsed().as_millis();
                found.recovered.notes.push(format!("the store was read in {ms} ms: {} bytes", log.bytes()));
                let recovered = Input::StoreRecovered(Box::new(found.recovered));
                return inputs.send(recovered).ok().map(|()| log);
            }
            Err(error) => {
                let reason = error.to_string();
                if reason != reported {
                    inputs.send(Input::StoreFailed { number: 0, reason: reason.clone() }).ok()?;
                    reported = reason;
                }
            }
        }
        thread::sleep(REOPEN_INTERVAL);
    }
}

/// State of the thread while it writes.
struct Writer {
    store: Log,
    clock: Clock,
    /// Origin of the log's clock. The time since then shortens the windows of records of earlier processes.
    started: Time,
    /// Whether the last removal of expired segments failed; only the first of consecutive failures is logged.
    expiry_failed: bool,
    log: Logger,
}

/// Batches that are written with one sync.
#[derive(Default)]
struct BatchGroup {
    /// Number of the last batch; 0 without any.
    last_number: u64,
    /// All records, if the group has a batch that rewrites the log.
    rewrite: Option<Vec<LogRecord>>,
    /// Records to append after the rewrite.
    append: Vec<LogRecord>,
}

impl BatchGroup {
    fn push(&mut self, job: WriteJob) {
        self.last_number = job.number;
        match job.batch {
            RecordBatch::Append(records) => self.append.extend(records),
            RecordBatch::Rewrite(records) => {
                // A rewrite includes all records queued before it.
                self.append.clear();
                self.rewrite = Some(records);
            }
        }
    }
}

impl Writer {
    fn run(&mut self, queue: &Receiver<WriteJob>, inputs: &Sender<Input>) {
        loop {
            let first = match queue.recv_timeout(EXPIRY_INTERVAL) {
                Ok(job) => Some(job),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut group = BatchGroup::default();
            for job in first.into_iter().chain(queue.try_iter().take(MAX_BATCHES_PER_SYNC)) {
                group.push(job);
            }
            let number = group.last_number;
            if number > 0 {
                let input = match self.write(group) {
                    Ok(()) => Input::StorePersisted { number },
                    Err(e) => Input::StoreFailed { number, reason: e.to_string() },
                };
                if inputs.send(input).is_err() {
                    return;
                }
            }
            self.remove_expired_segments();
        }
    }

    fn write(&mut self, group: BatchGroup) -> Result<(), log::WriteError> {
        if let Some(records) = group.rewrite {
            self.store.rewrite(self.stamp(), &records)?;
        }
        if !group.append.is_empty() {
            self.store.add(self.stamp(), &group.append)?;
        }
        Ok(())
    }

    fn remove_expired_segments(&mut self) {
        let result = self.store.expire(self.stamp().mono_ms);
        if let Err(e) = &result
            && !self.expiry_failed
        {
            warn!(self.log, "can't remove an expired segment of the store; retrying, its disk space stays in use";
                  "error" => %e);
        }
        self.expiry_failed = result.is_err();
    }

    fn stamp(&self) -> Stamp {
        let timestamp = self.clock.read();
        let mono_ms = (timestamp.now.0 - self.started.0) / NANOS_PER_MS;
        Stamp { mono_ms, unix_ms: timestamp.unix_ms }
    }
}

#[cfg(test)]
mod tests;
