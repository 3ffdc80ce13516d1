//! Ways to keep keyed runs, on this very load: records that live for a window, results of 4 KiB, group commit.
//!
//! Each way has one thread that takes all that waits and makes it durable with one sync, as the daemon's does. Arrivals
//! are open loop; each request is an intent, and with it goes the end of one before. An intent's time counts from its
//! moment in the schedule until it is durable.

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

/// Shorter than the brief's window, so that records run out while this runs.
const LIFE: Duration = Duration::from_millis(1_500);
const RESULT: usize = 4096;
const MS: u64 = 1_000_000;

/// A record of the load: whose, and a result if it is the end.
struct One {
    token: Arc<str>,
    end: bool,
}

/// A way to keep them.
trait Way {
    /// Makes these durable with one sync, and drops what is over.
    fn commit(&mut self, group: &[One], result: &[u8], now: Duration) -> io::Result<()>;
}

/// The segmented log.
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
        let result =
            BufferPool::new(0).exact(&vec![7; RESULT]).ok_or_else(|| io::Error::other("a long result"))?;
        Ok(Self { log, result: Arc::new(result) })
    }
}

impl Way for Segments {
    fn commit(&mut self, group: &[One], _: &[u8], now: Duration) -> io::Result<()> {
        // Late readers are granted 30 s beyond a window, which this must not wait for: they are taken off the clock.
        let mono_ms = now.as_millis() as u64;
        let left = Span(LIFE.as_nanos() as u64);
        let records: Vec<LogRecord> = group
            .iter()
            .map(|one| {
                let (token, id) = (Arc::clone(&one.token), RequestId(Arc::clone(&one.token)));
                match one.end {
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

/// An embedded B-tree with copy on write.
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

impl Way for Redb {
    fn commit(&mut self, group: &[One], result: &[u8], now: Duration) -> io::Result<()> {
        let mut write = self.database.begin_write().map_err(io::Error::other)?;
        write.set_durability(Durability::Immediate).map_err(io::Error::other)?;
        {
            let mut table = write.open_table(TABLE).map_err(io::Error::other)?;
            for one in group {
                let value = if one.end { result } else { &[] };
                table.insert(&*one.token, value).map_err(io::Error::other)?;
                if !one.end {
                    self.live.push_back((now + LIFE, Arc::clone(&one.token)));
                }
            }
            while self.live.front().is_some_and(|(over, _)| *over <= now) {
                if let Some((_, token)) = self.live.pop_front() {
                    table.remove(&*token).map_err(io::Error::other)?;
                }
            }
        }
        write.commit().map_err(io::Error::other)
    }
}

/// An embedded log-structured merge tree.
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

impl Way for Fjall {
    fn commit(&mut self, group: &[One], result: &[u8], now: Duration) -> io::Result<()> {
        let mut batch = self.database.batch().durability(Some(fjall::PersistMode::SyncData));
        for one in group {
            batch.insert(&self.runs, one.token.as_bytes(), if one.end { result } else { &[] });
            if !one.end {
                self.live.push_back((now + LIFE, Arc::clone(&one.token)));
            }
        }
        while self.live.front().is_some_and(|(over, _)| *over <= now) {
            if let Some((_, token)) = self.live.pop_front() {
                batch.remove(&self.runs, token.as_bytes());
            }
        }
        batch.commit().map_err(io::Error::other)
    }
}

/// Opens a way in a folder.
type Open = fn(&Path) -> io::Result<Box<dyn Way>>;

/// Bytes that this process gave to the disk so far, as the system counts them.
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

/// Plays a load of so many requests a second against one way, in this thread.
fn play(open: Open, folder: &Path, rate: u64, seconds: u64) -> io::Result<String> {
    std::fs::create_dir_all(folder)?;
    let mut way = open(folder)?;
    let result = vec![7; RESULT];
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
        // All that the schedule has come by now shares the next sync; as many runs end as begin.
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
            group.push(One { token: Arc::clone(&token), end: false });
            running.push_back(token);
        }
        while running.len() > (rate / 20) as usize {
            group.extend(running.pop_front().map(|token| One { token, end: true }));
        }
        way.commit(&group, &result, now)?;
        let done = start.elapsed();
        for number in n..due {
            let came = Duration::from_nanos(number * 1_000_000_000 / rate);
            let us = done.saturating_sub(came).as_micros() as u64;
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

/// Each way at each rate, and one line for each.
pub fn ways(folder: &Path, rates: &[u64], seconds: u64) -> io::Result<()> {
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
            let place = folder.join(format!("{name}-{rate}"));
            let line = play(open, &place, rate, seconds)?;
            println!("{name:<9} {rate:>9} {line}");
            std::fs::remove_dir_all(&place)?;
        }
    }
    Ok(())
}

/// A folder with so many records of runs whose windows are open: half with a result of `result` bytes.
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

/// How long a start takes with so many records, and what memory: the daemon itself, until it has told that it is ready.
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
        // A long read goes on beside the service of all else.
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
