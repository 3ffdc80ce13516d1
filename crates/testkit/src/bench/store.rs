//! Stores for keyed runs under the load of the daemon: records that expire after a window, results of 4 KiB, group commit.
//!
//! Each store has one thread that makes all waiting records durable with one sync, as in the daemon. Arrivals are open loop;
//! each request writes an intent, together with the outcome of an earlier one. The time of an intent counts from its
//! scheduled arrival until it is durable.

use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::idempotency_log::LogRecord;
use gradepin_store::disk::Folder;
use gradepin_store::log::{Limits, Log, Stamp};
use hdrhistogram::Histogram;
use redb::{Database, Durability, TableDefinition};
use std::collections::VecDeque;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Record lifetime; shorter than the real window, so that records expire during the benchmark.
const RECORD_LIFETIME: Duration = Duration::from_millis(1_500);
const RESULT_BYTES: usize = 4096;
const MS: u64 = 1_000_000;

/// A record to write: the intent of a run, or its outcome with a result.
struct Record {
    token: Arc<str>,
    end: bool,
}

/// A store under test.
trait Store {
    /// Makes the records durable with one sync and removes expired ones.
    fn commit(&mut self, group: &[Record], result: &[u8], now: Duration) -> io::Result<()>;
}

/// The segmented log of the daemon.
struct Segments {
    log: Log,
    result: Arc<gradepin_core::buffer_pool::Buffer>,
}

impl Segments {
    fn open(folder: &Path) -> io::Result<Self> {
        let disk = Folder::open(folder).map_err(io::Error::other)?;
        let limits = Limits {
            segment_bytes: 4 << 20,
            max_bytes: 8 << 30,
            max_result_bytes: 32 << 20,
            max_records: usize::MAX,
            window: Span(0),
        };
        let (log, _) = Log::open(Box::new(disk), limits, 1).map_err(io::Error::other)?;
        let result = BufferPool::new(0)
            .exact(&vec![7; RESULT_BYTES])
            .ok_or_else(|| io::Error::other("a long result"))?;
        Ok(Self { log, result: Arc::new(result) })
    }
}

impl Store for Segments {
    fn commit(&mut self, group: &[Record], _: &[u8], now: Duration) -> io::Result<()> {
        // Keys are retained for 30 s beyond their window for late readers; the clock is advanced to skip this time.
        let mono_ms = now.as_millis() as u64;
        let left = Span(RECORD_LIFETIME.as_nanos() as u64);
        let records: Vec<LogRecord> = group
            .iter()
            .map(|record| {
                let (token, id) = (Arc::clone(&record.token), RequestId(Arc::clone(&record.token)));
                match record.end {
                    true => LogRecord::Outcome {
                        key: token,
                        fingerprint: 7,
                        id,
                        window_left: left,
                        result: Some(Arc::clone(&self.result)),
                    },
                    false => LogRecord::Intent { key: token, fingerprint: 7, id, window_left: left },
                }
            })
            .collect();
        self.log.add(Stamp { mono_ms, unix_ms: 0 }, &records).map_err(io::Error::other)?;
        self.log.expire(mono_ms + gradepin_core::idempotency_table::MAX_READ_DELAY.0 / MS)
    }
}

const TABLE: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("runs");

/// redb, an embedded copy-on-write B-tree.
struct Redb {
    database: Database,
    live: VecDeque<(Duration, Arc<str>)>,
}

impl Redb {
    fn open(folder: &Path) -> io::Result<Self> {
        let database = Database::create(folder.join("redb")).map_err(io::Error::other)?;
        Ok(Self { database, live: VecDeque::new() })
    }
}

impl Store for Redb {
    fn commit(&mut self, group: &[Record], result: &[u8], now: Duration) -> io::Result<()> {
        let mut write = self.database.begin_write().map_err(io::Error::other)?;
        write.set_durability(Durability::Immediate).map_err(io::Error::other)?;
        {
            let mut table = write.open_table(TABLE).map_err(io::Error::other)?;
            for record in group {
                let value = if record.end { result } else { &[] };
                table.insert(&*record.token, value).map_err(io::Error::other)?;
                if !record.end {
                    self.live.push_back((now + RECORD_LIFETIME, Arc::clone(&record.token)));
                }
            }
            while self.live.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
                if let Some((_, token)) = self.live.pop_front() {
                    table.remove(&*token).map_err(io::Error::other)?;
                }
            }
        }
        write.commit().map_err(io::Error::other)
    }
}

/// fjall, an embedded log-structured merge tree.
struct Fjall {
    database: fjall::Database,
    runs: fjall::Keyspace,
    live: VecDeque<(Duration, Arc<str>)>,
}

impl Fjall {
    fn open(folder: &Path) -> io::Result<Self> {
        let database = fjall::Database::builder(folder.join("fjall")).open().map_err(io::Error::other)?;
        let runs =
            database.keyspace("runs", fjall::KeyspaceCreateOptions::default).map_err(io::Error::other)?;
        Ok(Self { database, runs, live: VecDeque::new() })
    }
}

impl Store for Fjall {
    fn commit(&mut self, group: &[Record], result: &[u8], now: Duration) -> io::Result<()> {
        let mut batch = self.database.batch().durability(Some(fjall::PersistMode::SyncData));
        for record in group {
            batch.insert(&self.runs, record.token.as_bytes(), if record.end { result } else { &[] });
            if !record.end {
                self.live.push_back((now + RECORD_LIFETIME, Arc::clone(&record.token)));
            }
        }
        while self.live.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            if let Some((_, token)) = self.live.pop_front() {
                batch.remove(&self.runs, token.as_bytes());
            }
        }
        batch.commit().map_err(io::Error::other)
    }
}

/// Opens a store in a folder.
type Open = fn(&Path) -> io::Result<Box<dyn Store>>;

/// Bytes that this process has written to disk so far, according to the kernel.
fn written() -> u64 {
    let text = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("write_bytes: "));
    line.and_then(|bytes| bytes.trim().parse().ok()).unwrap_or(0)
}

fn files(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries
        .map(|entry| match entry.metadata() {
            Ok(meta) if meta.is_dir() => files(&entry.path()),
            Ok(meta) => meta.len(),
            Err(_) => 0,
        })
        .sum()
}

/// Runs a load of `rate` requests per second against one store in this thread; returns a line of figures.
fn play(open: Open, folder: &Path, rate: u64, seconds: u64) -> io::Result<String> {
    std::fs::create_dir_all(folder)?;
    let mut store = open(folder)?;
    let result = vec![7; RESULT_BYTES];
    let mut times = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).map_err(io::Error::other)?;
    let (start, until) = (Instant::now(), Duration::from_secs(seconds));
    let before = written();
    let (mut n, mut syncs) = (0_u64, 0_u64);
    let mut running: VecDeque<Arc<str>> = VecDeque::new();
    loop {
        let now = start.elapsed();
        if now >= until {
            break;
        }
        // All requests that have arrived by now share the next sync; as many runs end as begin.
        let due = ((now.as_nanos() as u64) * rate / 1_000_000_000 + 1).min(n + 20_000);
        if due == n {
            let next = Duration::from_nanos(n * 1_000_000_000 / rate);
            thread::sleep(next.saturating_sub(now));
            continue;
        }
        let mut group = Vec::new();
        for number in n..due {
            let token: Arc<str> =
                Arc::from(format!("{:016x}{number:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            group.push(Record { token: Arc::clone(&token), end: false });
            running.push_back(token);
        }
        while running.len() > (rate / 20) as usize {
            group.extend(running.pop_front().map(|token| Record { token, end: true }));
        }
        store.commit(&group, &result, now)?;
        let done = start.elapsed();
        for number in n..due {
            let arrived = Duration::from_nanos(number * 1_000_000_000 / rate);
            let us = done.saturating_sub(arrived).as_micros() as u64;
            times.record(us.clamp(1, 600_000_000)).map_err(io::Error::other)?;
        }
        (n, syncs) = (due, syncs + 1);
    }
    let took = start.elapsed().as_secs_f64();
    let bytes = written() - before;
    let at = |q| times.value_at_quantile(q) as f64 / 1e3;
    Ok(format!(
        "{:>9.0} {:>9.2} {:>9.2} {:>9.0} {:>11.1} {:>9.1}",
        n as f64 / took,
        at(0.5),
        at(0.99),
        syncs as f64 / took,
        bytes as f64 / 1e3 / n.max(1) as f64,
        files(folder) as f64 / 1e6
    ))
}

/// Measures each store at each rate and prints one line per measurement.
pub fn compare(folder: &Path, rates: &[u64], seconds: u64) -> io::Result<()> {
    let all: [(&str, Open); 3] = [
        ("segments", |folder| Ok(Box::new(Segments::open(folder)?))),
        ("redb", |folder| Ok(Box::new(Redb::open(folder)?))),
        ("fjall", |folder| Ok(Box::new(Fjall::open(folder)?))),
    ];
    println!(
        "{:<9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>11} {:>9}",
        "way", "asked/s", "kept/s", "p50, ms", "p99, ms", "syncs/s", "kB/request", "MB left"
    );
    for &rate in rates {
        for (name, open) in all {
            let store_folder = folder.join(format!("{name}-{rate}"));
            let line = play(open, &store_folder, rate, seconds)?;
            println!("{name:<9} {rate:>9} {line}");
            std::fs::remove_dir_all(&store_folder)?;
        }
    }
    Ok(())
}

/// Fills a folder with records of unexpired runs, half of them with a result of `result` bytes.
pub fn fill(folder: &Path, records: usize, result: usize) -> io::Result<()> {
    let disk = Folder::open(folder).map_err(io::Error::other)?;
    let limits = Limits {
        segment_bytes: 4 << 20,
        max_bytes: u64::MAX,
        max_result_bytes: usize::MAX,
        max_records: usize::MAX,
        window: Span(0),
    };
    let (mut log, _) = Log::open(Box::new(disk), limits, 1).map_err(io::Error::other)?;
    let bytes =
        BufferPool::new(0).exact(&vec![7; result]).ok_or_else(|| io::Error::other("a long result"))?;
    let (bytes, left) = (Arc::new(bytes), Span(60_000 * MS));
    for chunk in (0..records).collect::<Vec<_>>().chunks(2_000) {
        let group: Vec<LogRecord> = chunk
            .iter()
            .map(|n| {
                let token: Arc<str> =
                    Arc::from(format!("{:032x}", (*n as u128).wrapping_mul(0x9e37_79b9_7f4a_7c15)));
                let id = RequestId::new(&format!("{n:016x}"));
                match n % 2 {
                    0 => LogRecord::Outcome {
                        key: token,
                        fingerprint: 7,
                        id,
                        window_left: left,
                        result: Some(Arc::clone(&bytes)),
                    },
                    _ => LogRecord::Intent { key: token, fingerprint: 7, id, window_left: left },
                }
            })
            .collect();
        log.add(Stamp::default(), &group).map_err(io::Error::other)?;
    }
    Ok(())
}

/// Measures start-up time, up to the ready report, and memory of the daemon by the number of stored records.
pub fn starts(daemon: PathBuf, sizes: &[usize]) -> io::Result<()> {
    use crate::fleet::{self, Fleet};
    for &records in sizes {
        let folder = fleet::folder("bench-starts")?;
        let mut spec = super::spec(daemon.clone(), Vec::new(), folder.clone(), 1);
        spec.store = true;
        fill(&folder.join("n0.store"), records, 100)?;
        let start = Instant::now();
        let fleet = Fleet::start(&spec)?;
        let ready = start.elapsed();
        // The server is ready before a long read of the store ends, because other requests don't wait for it.
        while fleet.nodes[0].opened().is_none() && start.elapsed().as_secs() < 60 {
            thread::sleep(Duration::from_millis(10));
        }
        let opened = fleet.nodes[0].opened().unwrap_or_default();
        let memory = fleet.nodes[0].memory().unwrap_or(0);
        println!(
            "{records:>8} records, {:>6.1} MB of files: read in {opened:>5} ms, ready after {:>5.0} ms with the fleet's own start, {:.0} MB of memory",
            files(&folder.join("n0.store")) as f64 / 1e6,
            ready.as_secs_f64() * 1e3,
            memory as f64 / 1e6
        );
        drop(fleet);
        fleet::remove(&folder);
    }
    Ok(())
}
