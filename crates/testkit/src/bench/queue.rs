//! Event queue of the model: calendar queue, heap and ordered map by the number of pending events.

use gradepin_model::queue::{Calendar, Heap, Map, Queue};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::hint::black_box;
use std::time::Instant;

/// Steps per measurement; each pops one event and pushes one.
const STEPS: u64 = 2_000_000;
/// Mean time until an event is due, in nanoseconds.
const MEAN_NS: f64 = 50e6;

/// Nanoseconds per step with `pending` events in the queue (the "hold" model).
fn hold(queue: &mut dyn Queue<u64>, pending: usize) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(pending as u64);
    let mut ahead = || {
        let unit = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        (-(1.0 - unit).ln() * MEAN_NS) as u64
    };
    for n in 0..pending as u64 {
        queue.push(ahead(), n);
    }
    let steps = |queue: &mut dyn Queue<u64>, count: u64, ahead: &mut dyn FnMut() -> u64| {
        for _ in 0..count {
            if let Some((at, event)) = queue.pop() {
                queue.push(at + ahead(), black_box(event));
            }
        }
    };
    steps(queue, STEPS / 4, &mut ahead);
    let start = Instant::now();
    steps(queue, STEPS, &mut ahead);
    start.elapsed().as_nanos() as f64 / STEPS as f64
}

/// Measures each size and prints one line each.
pub fn run(sizes: &[usize]) {
    println!("{:>10} {:>13} {:>9} {:>13}", "pending", "calendar, ns", "heap, ns", "BTreeMap, ns");
    for &pending in sizes {
        let calendar = hold(&mut Calendar::default(), pending);
        let heap = hold(&mut Heap::default(), pending);
        let map = hold(&mut Map::default(), pending);
        println!("{pending:>10} {calendar:>13.0} {heap:>9.0} {map:>13.0}");
    }
}
