//! Data structures of admission: the heavy-client sketch compared to a map of all clients, and two fair queueing algorithms.

use gradepin_fair_queue::heavy_hitters::HeavyHitters;
use gradepin_fair_queue::queue::{DeficitRoundRobin, FairQueue, StartTimeFairQueue};
use gradepin_model::streams::{Streams, one_of, unit};
use std::collections::HashMap;
use std::hint::black_box;
use std::time::Instant;

/// Capacity of the sketch.
const SKETCH_CAPACITY: usize = 1_024;
const ARRIVALS: usize = 1_000_000;
/// Fraction of arrivals from the heavy clients.
const HEAVY_FRACTION: f64 = 0.2;
const HEAVY_CLIENTS: u64 = 8;

fn nanos(start: Instant, times: usize) -> f64 {
    start.elapsed().as_nanos() as f64 / times as f64
}

/// Prints time per arrival, memory and error for each number of clients, and the times of fair queueing.
pub fn run(sizes: &[usize]) {
    for &clients in sizes {
        let mut rng = Streams::new(1).of("clients", clients as u64);
        let arrivals: Vec<(u64, f64)> = (0..ARRIVALS)
            .map(|_| {
                let heavy = unit(&mut rng) < HEAVY_FRACTION;
                let client = if heavy {
                    one_of(&mut rng, HEAVY_CLIENTS as usize) as u64
                } else {
                    HEAVY_CLIENTS + one_of(&mut rng, clients) as u64
                };
                (client, 0.05 + 0.5 * unit(&mut rng))
            })
            .collect();
        let mut heavy = HeavyHitters::new(SKETCH_CAPACITY, 1e9, 7);
        let start = Instant::now();
        for (client, work) in &arrivals {
            let client = heavy.client_key(0, *client);
            black_box(heavy.add(0.0, client, *work));
        }
        let sketch_ns = nanos(start, ARRIVALS);
        let mut map = HashMap::<(usize, u64), f64>::new();
        let start = Instant::now();
        for (client, work) in &arrivals {
            *black_box(map.entry((0, *client)).or_default()) += work;
        }
        let map_ns = nanos(start, ARRIVALS);
        let map_kb = map.capacity() * 8 / 7 * (size_of::<((usize, u64), f64)>() + 1) / 1_000;
        let found = heavy.heavier_than(HEAVY_FRACTION / HEAVY_CLIENTS as f64 / 2.0).len();
        let error = (0..HEAVY_CLIENTS)
            .filter_map(|client| {
                let estimate = heavy.get(heavy.client_key(0, client))?.work;
                Some((estimate / map.get(&(0, client))? - 1.0).abs())
            })
            .fold(0.0, f64::max);
        println!(
            "{clients} clients: sketch {sketch_ns:.0} ns an arrival, {} of {SKETCH_CAPACITY} places, {found} of {HEAVY_CLIENTS} heavy ones found, \
             worst error {:.2}%; map {map_ns:.0} ns, {map_kb} kB",
            heavy.len(),
            100.0 * error
        );
    }
    for waiting in [100, 10_000] {
        let weights = vec![0.42, 0.26, 0.18, 0.14];
        let drr = turns(&mut DeficitRoundRobin::new(weights.clone(), 4.0), waiting);
        let sfq = turns(&mut StartTimeFairQueue::new(weights), waiting);
        println!(
            "{waiting} waiting: deficit round robin {drr:.0} ns an item, start-time fair queueing {sfq:.0} ns"
        );
    }
}

/// Nanoseconds per push and pop with `waiting` items in the queue.
fn turns(turns: &mut dyn FairQueue<u32>, waiting: usize) -> f64 {
    let mut rng = Streams::new(2).of("turns", waiting as u64);
    let mut push = |turns: &mut dyn FairQueue<u32>| {
        let (flow, cost) = (one_of(&mut rng, 4), 0.05 + unit(&mut rng));
        turns.push(flow, cost, 0);
    };
    (0..waiting).for_each(|_| push(turns));
    let start = Instant::now();
    for _ in 0..ARRIVALS {
        push(turns);
        black_box(turns.pop());
    }
    nanos(start, ARRIVALS)
}
