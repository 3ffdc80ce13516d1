//! Idempotency table: the timing wheel in use, compared to a sweep over all keys and to an ordered set.

use gradepin_admission::{RequestId, Time};
use gradepin_core::idempotency_table::{IdempotencyTable, MAX_READ_DELAY, RunOutcome};
use gradepin_core::timestamp::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: u64 = 1_000_000;
/// Idempotency window, in ms.
const WINDOW_MS: u64 = 12_075;
/// Interval between sweeps, in ms.
const SWEEP_MS: u64 = 250;

/// Table whose keys expire.
trait Table {
    fn put(&mut self, token: &Arc<str>, id: &RequestId, now_ms: u64);
    /// Removes some expired keys; returns whether more remain.
    fn sweep(&mut self, now_ms: u64) -> bool;
    fn len(&self) -> usize;
}

fn retention_ms() -> u64 {
    WINDOW_MS + MAX_READ_DELAY.0 / MS
}

/// The table in use, based on a timing wheel.
struct Wheel(IdempotencyTable);

impl Table for Wheel {
    fn put(&mut self, token: &Arc<str>, id: &RequestId, now_ms: u64) {
        let moment = Timestamp { now: Time(now_ms * MS), unix_ms: now_ms };
        self.0.retain(token, 7, id, Time((now_ms + WINDOW_MS) * MS));
        self.0.run_started(token, 7, id, now_ms + WINDOW_MS, moment);
        self.0.run_ended(token, id, Some(RunOutcome::Failed));
    }

    fn sweep(&mut self, now_ms: u64) -> bool {
        self.0.sweep(Time(now_ms * MS))
    }

    fn len(&self) -> usize {
        self.0.len()
    }
}

/// Entry of the simple tables: request ID, fingerprint and expiry time in ms.
type Entry = (RequestId, u64, u64);

/// Map that checks every key in each sweep.
#[derive(Default)]
struct Retain(HashMap<Arc<str>, Entry>);

impl Table for Retain {
    fn put(&mut self, token: &Arc<str>, id: &RequestId, now_ms: u64) {
        self.0.insert(Arc::clone(token), (id.clone(), 7, now_ms + retention_ms()));
    }

    fn sweep(&mut self, now_ms: u64) -> bool {
        self.0.retain(|_, (_, _, expires_ms)| *expires_ms > now_ms);
        false
    }

    fn len(&self) -> usize {
        self.0.len()
    }
}

/// Map with an ordered set of expiry times.
#[derive(Default)]
struct Ordered(HashMap<Arc<str>, Entry>, BTreeSet<(u64, Arc<str>)>);

impl Table for Ordered {
    fn put(&mut self, token: &Arc<str>, id: &RequestId, now_ms: u64) {
        let expires_ms = now_ms + retention_ms();
        self.0.insert(Arc::clone(token), (id.clone(), 7, expires_ms));
        self.1.insert((expires_ms, Arc::clone(token)));
    }

    fn sweep(&mut self, now_ms: u64) -> bool {
        while self.1.first().is_some_and(|(expires_ms, _)| *expires_ms <= now_ms) {
            if let Some((_, token)) = self.1.pop_first() {
                self.0.remove(&token);
            }
        }
        false
    }

    fn len(&self) -> usize {
        self.0.len()
    }
}

/// Measured times of a table.
struct Timings {
    put_ns: f64,
    put_max: Duration,
    sweep_ns: f64,
    pause: Duration,
}

/// Fills a table at a steady rate until it holds `keys` keys, then continues for the same time.
fn play(table: &mut dyn Table, keys: usize) -> Timings {
    let (rounds, mut n) = (retention_ms() / SWEEP_MS, 0_u64);
    let each = (keys as u64).div_ceil(rounds).max(1);
    let (mut puts, mut sweeps) = (Duration::ZERO, Duration::ZERO);
    let (mut put_max, mut pause, mut counted) = (Duration::ZERO, Duration::ZERO, 0_u64);
    for round in 0..2 * rounds {
        let now = 1_000_000 + round * SWEEP_MS;
        for _ in 0..each {
            n += 1;
            // Spread like random idempotency keys.
            let text =
                format!("{:032x}", u128::from(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)) << 64 | u128::from(n));
            let (token, id) = (Arc::from(text.as_str()), RequestId::new(&text[16..]));
            let start = Instant::now();
            table.put(&token, &id, now);
            let took = start.elapsed();
            puts += took;
            put_max = put_max.max(took);
        }
        loop {
            let start = Instant::now();
            let more = table.sweep(now);
            let took = start.elapsed();
            if round >= rounds {
                pause = pause.max(took);
                sweeps += took;
            }
            if !more {
                break;
            }
        }
        counted += if round >= rounds { each } else { 0 };
    }
    black_box(table.len());
    Timings {
        put_ns: puts.as_nanos() as f64 / n as f64,
        put_max,
        sweep_ns: sweeps.as_nanos() as f64 / counted.max(1) as f64,
        pause,
    }
}

/// Prints one line per size and table.
pub fn run(sizes: &[usize]) {
    println!(
        "{:<10} {:>9} {:>9} {:>13} {:>16} {:>15}",
        "table", "keys", "put, ns", "most, us", "forget one, ns", "longest, us"
    );
    for &keys in sizes {
        let tables: [(&str, Box<dyn Table>); 3] = [
            ("wheel", Box::new(Wheel(IdempotencyTable::new(0)))),
            ("sweep", Box::<Retain>::default()),
            ("BTreeSet", Box::<Ordered>::default()),
        ];
        for (name, mut table) in tables {
            let took = play(&mut *table, keys);
            println!(
                "{name:<10} {:>9} {:>9.0} {:>13.0} {:>16.0} {:>15.0}",
                table.len(),
                took.put_ns,
                took.put_max.as_nanos() as f64 / 1e3,
                took.sweep_ns,
                took.pause.as_nanos() as f64 / 1e3
            );
        }
    }
}
