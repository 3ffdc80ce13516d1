//! The store's thread: it writes what it is given, one sync for all that waits, and says what became of it. It decides
//! nothing: when it may be tried again, and what follows from a failure, is told.

use crate::clock::Clock;
use crossbeam_channel::{Receiver, Sender, unbounded};
use gradepin_core::idempotency_log::{LogRecord, RecordBatch};
use gradepin_core::messages::Input;
use gradepin_store::disk::{Disk, Folder};
use gradepin_store::log::{Limits, Log, Stamp};
use slog::{Logger, warn};
use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Encoding nests little; the files that a recovery reads are on the heap.
const STACK: usize = 256 * 1024;
/// Between tries to open the folder, and looks for segments that are over.
const OPEN_AGAIN: Duration = Duration::from_millis(250);
const TICK: Duration = Duration::from_secs(1);
/// Batches that share a sync at the most.
const GROUP: usize = 1024;

/// The store, as the reducer's effects see it.
pub struct Store {
    // Without a bound of its own: the ledger sends nothing more while batches are late.
    jobs: Sender<(u64, RecordBatch)>,
}

/// How a disk is had, again and again until it can be.
pub type Opener = Box<dyn FnMut() -> Result<Box<dyn Disk>, String> + Send>;

/// Takes a folder of files.
pub fn folder(path: PathBuf) -> Opener {
    Box::new(move || {
        Folder::open(&path).map(|folder| Box::new(folder) as Box<dyn Disk>).map_err(|e| e.to_string())
    })
}

impl Store {
    /// Opens it in a thread of its own, and from then on writes.
    pub fn start(
        open: Opener,
        limits: Limits,
        salt: u64,
        clock: Clock,
        inputs: Sender<Input>,
        log: Logger,
    ) -> io::Result<Self> {
        let (jobs, queue) = unbounded();
        let run = move || {
            if let Some(mut store) = opened(open, limits, salt, &inputs) {
                write(&mut store, &queue, clock, &inputs, &log);
            }
        };
        thread::Builder::new().name("store".into()).stack_size(STACK).spawn(run)?;
        Ok(Self { jobs })
    }

    /// Queues a batch.
    pub fn persist(&self, number: u64, batch: RecordBatch) {
        // Where the thread has ended, so has the server.
        let _ = self.jobs.send((number, batch));
    }
}

/// Tries until it can be opened; each new reason is told once. None if nobody listens any more.
fn opened(mut open: Opener, limits: Limits, salt: u64, inputs: &Sender<Input>) -> Option<Log> {
    let mut told = String::new();
    loop {
        let start = Instant::now();
        let log = open().and_then(|disk| Log::open(disk, limits, salt).map_err(|e| e.to_string()));
        match log {
            Ok((log, mut found)) => {
                let ms = start.elapsed().as_millis();
                found.recovered.notes.push(format!("the store was read in {ms} ms: {} bytes", log.bytes()));
                let recovered = Input::StoreRecovered(Box::new(found.recovered));
                return inputs.send(recovered).ok().map(|()| log);
            }
            Err(why) if why == told => {}
            Err(why) => {
                inputs.send(Input::StoreFailed { number: 0, reason: why.clone() }).ok()?;
                told = why;
            }
        }
        thread::sleep(OPEN_AGAIN);
    }
}

fn write(
    store: &mut Log,
    queue: &Receiver<(u64, RecordBatch)>,
    clock: Clock,
    inputs: &Sender<Input>,
    log: &Logger,
) {
    // The log's clock begins with its life: what passed in it shortens the windows of earlier ones.
    let start = clock.read().now;
    let stamp = || {
        let moment = clock.read();
        Stamp { mono_ms: (moment.now.0 - start.0) / 1_000_000, unix_ms: moment.unix_ms }
    };
    let mut told_over = false;
    loop {
        let first = match queue.recv_timeout(TICK) {
            Ok(job) => Some(job),
            Err(e) if e.is_timeout() => None,
            Err(_) => return,
        };
        // All that waits shares a sync; what comes behind an order to write all anew is written after it.
        let (mut last, mut records): (u64, Vec<LogRecord>) = (0, Vec::new());
        let mut anew = None;
        for (number, batch) in first.into_iter().chain(queue.try_iter().take(GROUP)) {
            last = number;
            match batch {
                RecordBatch::Append(more) => records.extend(more),
                RecordBatch::Rewrite(all) => {
                    records.clear();
                    anew = Some(all);
                }
            }
        }
        if last > 0 {
            let mut result = match anew {
                Some(all) => store.write_anew(stamp(), &all),
                None => Ok(()),
            };
            if result.is_ok() && !records.is_empty() {
                result = store.add(stamp(), &records);
            }
            let input = match result {
                Ok(()) => Input::StorePersisted { number: last },
                Err(e) => Input::StoreFailed { number: last, reason: e.to_string() },
            };
            if inputs.send(input).is_err() {
                return;
            }
        }
        match store.expire(stamp().mono_ms) {
            Ok(()) => told_over = false,
            Err(e) if !told_over => {
                told_over = true;
                warn!(log, "a segment that is over can't be removed"; "error" => %e);
            }
            Err(_) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crossbeam_channel::bounded;
    use gradepin_admission::{RequestId, Span};
    use gradepin_core::idempotency_log::RecoveredRuns;
    use gradepin_store::sim::{Fault, SimDisk};
    use slog::{Discard, o};

    fn batch(n: u64) -> RecordBatch {
        let (token, id) = (format!("t{n}").into(), RequestId::new(&format!("{n:016x}")));
        RecordBatch::Append(vec![LogRecord::Intent {
            key: token,
            fingerprint: 1,
            id,
            window_left: Span(9_000_000_000),
        }])
    }

    /// Guards against a sync for each request, against a caller that waits for a disk, and against a word that comes
    /// before the sync: while one hangs, all that comes is queued at once, and then shares the next.
    #[test]
    fn all_that_waits_for_a_sync_shares_the_next() {
        const PATIENCE: Duration = Duration::from_secs(20);
        let disk = SimDisk::new(1);
        let (inputs, told) = bounded(64);
        let mine = disk.clone();
        let open: Opener = Box::new(move || Ok(Box::new(mine.clone()) as Box<dyn Disk>));
        let limits = Limits {
            segment_bytes: 1 << 20,
            most_bytes: 1 << 30,
            most_results: 1 << 20,
            most_records: usize::MAX,
            window: Span(0),
        };
        let log = Logger::root(Discard, o!());
        let store = Store::start(open, limits, 7, Clock::start(), inputs, log).expect("a thread");
        let first = told.recv_timeout(PATIENCE).expect("it opens");
        assert!(
            matches!(first, Input::StoreRecovered(found) if matches!(*found, RecoveredRuns { salt: 7, .. }))
        );
        disk.fail(Fault::SyncHangs);
        (1..=500).for_each(|n| store.persist(n, batch(n)));
        assert!(
            told.recv_timeout(Duration::from_millis(50)).is_err(),
            "nothing is durable while a sync hangs"
        );
        disk.fail(Fault::None);
        let mut last = 0;
        while last < 500 {
            match told.recv_timeout(PATIENCE).expect("it goes on") {
                Input::StorePersisted { number: upto } => last = upto,
                other => panic!("{other:?}"),
            }
        }
        assert!(disk.syncs() <= 3, "{} syncs for 500 batches", disk.syncs());
        // A failure is told with its reason, and nothing counts until all is written anew.
        disk.fail(Fault::SyncFails);
        store.persist(501, batch(501));
        assert!(
            matches!(told.recv_timeout(PATIENCE), Ok(Input::StoreFailed { number: 501, reason: why }) if why.contains("input/output"))
        );
        disk.fail(Fault::None);
        store.persist(502, batch(502));
        assert!(matches!(told.recv_timeout(PATIENCE), Ok(Input::StoreFailed { number: 502, .. })));
        store.persist(503, RecordBatch::Rewrite(Vec::new()));
        assert!(matches!(told.recv_timeout(PATIENCE), Ok(Input::StorePersisted { number: 503 })));
    }
}
