//! Event queue of the simulation: a calendar queue (R. Brown, "Calendar queues", CACM 31(10), 1988), with a heap and an
//! ordered map as references.
//!
//!
//! Every implementation returns events by time, and events of the same time in insertion order, so that the result of a
//! simulation doesn't depend on the queue.

use gradepin_admission::span_from_seconds;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// Simulated time in nanoseconds.
pub type At = u64;

/// Converts seconds to nanoseconds.
pub fn nanos(seconds: f64) -> At {
    span_from_seconds(seconds).0
}

/// A queue of timed events.
pub trait Queue<T> {
    /// Inserts an event; `at` must not be before the last event removed.
    fn push(&mut self, at: At, event: T);

    /// Removes the next event and returns it with its time.
    fn pop(&mut self) -> Option<(At, T)>;

    /// Number of events in the queue.
    fn len(&self) -> usize;

    /// Whether the queue has no events.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[derive(Debug, Clone)]
struct Entry<T> {
    at: At,
    /// Insertion order.
    number: u64,
    event: T,
}

impl<T> Entry<T> {
    fn key(&self) -> (At, u64) {
        (self.at, self.number)
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// The earliest event is the greatest, at the top of the heap.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// Event queue on a binary heap.
#[derive(Debug)]
pub struct Heap<T>(BinaryHeap<Entry<T>>, u64);

impl<T> Default for Heap<T> {
    fn default() -> Self {
        Self(BinaryHeap::new(), 0)
    }
}

impl<T> Queue<T> for Heap<T> {
    fn push(&mut self, at: At, event: T) {
        self.1 += 1;
        self.0.push(Entry { at, number: self.1, event });
    }

    fn pop(&mut self) -> Option<(At, T)> {
        self.0.pop().map(|entry| (entry.at, entry.event))
    }

    fn len(&self) -> usize {
        self.0.len()
    }
}

/// Event queue on an ordered map.
#[derive(Debug)]
pub struct Map<T>(BTreeMap<(At, u64), T>, u64);

impl<T> Default for Map<T> {
    fn default() -> Self {
        Self(BTreeMap::new(), 0)
    }
}

impl<T> Queue<T> for Map<T> {
    fn push(&mut self, at: At, event: T) {
        self.1 += 1;
        self.0.insert((at, self.1), event);
    }

    fn pop(&mut self) -> Option<(At, T)> {
        self.0.pop_first().map(|((at, _), event)| (at, event))
    }

    fn len(&self) -> usize {
        self.0.len()
    }
}

/// Minimum number of buckets.
const FEWEST: usize = 16;
/// Number of next events that determine the width of a bucket, and target number of events per bucket.
const SAMPLE: usize = 64;
const EACH: u64 = 2;
/// Number of years without an event after which the width is recomputed.
const IDLE_YEARS: usize = 16;

/// Calendar queue: a year has one bucket per day, and a bucket holds the events of that day in all years.
#[derive(Debug)]
pub struct Calendar<T> {
    buckets: Vec<BinaryHeap<Entry<T>>>,
    /// Width of a bucket (a day) in nanoseconds.
    width: u64,
    /// Current day since time 0; its bucket is the remainder by the number of buckets.
    day: u64,
    count: usize,
    number: u64,
    /// Years without an event since the width was computed, not necessarily consecutive.
    idle_years: usize,
}

impl<T> Default for Calendar<T> {
    fn default() -> Self {
        Self { buckets: empty(FEWEST), width: 1_000_000, day: 0, count: 0, number: 0, idle_years: 0 }
    }
}

fn empty<T>(buckets: usize) -> Vec<BinaryHeap<Entry<T>>> {
    (0..buckets).map(|_| BinaryHeap::new()).collect()
}

impl<T> Calendar<T> {
    fn place(&self, at: At) -> usize {
        (at / self.width) as usize & (self.buckets.len() - 1)
    }

    fn put(&mut self, entry: Entry<T>) {
        // An event before the current day: nothing was removed since, or the event would be in the past.
        self.day = self.day.min(entry.at / self.width);
        let place = self.place(entry.at);
        self.buckets[place].push(entry);
    }

    /// Removes the first event: the top of the first bucket, from the current day on, whose top is due that day.
    fn take(&mut self) -> Option<Entry<T>> {
        if self.count == 0 {
            return None;
        }
        for _ in 0..self.buckets.len() {
            let (place, day) = (self.day as usize & (self.buckets.len() - 1), self.day);
            if self.buckets[place].peek().is_some_and(|entry| entry.at / self.width <= day) {
                return self.buckets[place].pop();
            }
            self.day += 1;
        }
        // No event for a whole year: skip to the first one.
        self.idle_years += 1;
        let first = self.buckets.iter().filter_map(|bucket| bucket.peek()).map(Entry::key).min()?;
        self.day = first.0 / self.width;
        let place = self.place(first.0);
        self.buckets[place].pop()
    }

    /// Resizes to about as many buckets as events, each as wide as a few gaps between the next events.
    fn resize(&mut self) {
        let mut front = Vec::with_capacity(SAMPLE);
        while front.len() < SAMPLE
            && let Some(entry) = self.take()
        {
            self.count -= 1;
            front.push(entry);
        }
        let span_from_seconds =
            front.last().map_or(0, |last| last.at) - front.first().map_or(0, |first| first.at);
        let gap = span_from_seconds / (front.len().max(2) as u64 - 1);
        self.count += front.len();
        let buckets = self.count.next_power_of_two().max(FEWEST);
        let old = std::mem::replace(&mut self.buckets, empty(buckets));
        self.width = (gap * EACH).max(1);
        self.idle_years = 0;
        // Continue at the first event, which is among the sampled ones.
        self.day = front.first().map_or(0, |first| first.at / self.width);
        for entry in front.into_iter().chain(old.into_iter().flatten()) {
            self.put(entry);
        }
    }
}

impl<T> Queue<T> for Calendar<T> {
    fn push(&mut self, at: At, event: T) {
        self.number += 1;
        self.count += 1;
        self.put(Entry { at, number: self.number, event });
        if self.count > 2 * self.buckets.len() {
            self.resize();
        }
    }

    fn pop(&mut self) -> Option<(At, T)> {
        let entry = self.take()?;
        self.count -= 1;
        // Recompute a width chosen from a burst at a single time: with it, each later event would scan all
        // buckets.
        let narrow = self.idle_years > IDLE_YEARS;
        if narrow || self.count < self.buckets.len() / 4 && self.buckets.len() > FEWEST {
            self.resize();
        }
        Some((entry.at, entry.event))
    }

    fn len(&self) -> usize {
        self.count
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_pcg::Pcg64Mcg;
    use rand_pcg::rand_core::{Rng, SeedableRng};

    /// Guards against an event that is lost, overtakes another, or is reordered among equal times: all three queues
    /// return the same sequence with bursts, long gaps and many events at one time.
    #[test]
    fn all_queues_give_the_same_course() {
        let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(3);
        println!("SEED={seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut calendar, mut heap, mut map) = (Calendar::default(), Heap::default(), Map::default());
        let (mut now, mut n) = (0, 0_u64);
        for round in 0..30_000_u64 {
            // Grows to several thousand events, drains, and grows again.
            let pushes = if round / 5_000 % 2 == 0 { rng.next_u64() % 4 } else { rng.next_u64() % 2 };
            for _ in 0..pushes {
                let ahead = match rng.next_u64() % 10 {
                    0 => 0,
                    1 => rng.next_u64() % 3_600_000_000_000,
                    _ => rng.next_u64() % 50_000_000 / 1_000 * 1_000,
                };
                n += 1;
                calendar.push(now + ahead, n);
                heap.push(now + ahead, n);
                map.push(now + ahead, n);
            }
            let came = calendar.pop();
            assert_eq!((came, came), (heap.pop(), map.pop()));
            assert_eq!([calendar.len(), heap.len()], [map.len(); 2]);
            now = came.map_or(now, |(at, _)| at);
        }
        assert!(n > 20_000);
        while let Some(came) = map.pop() {
            assert_eq!(Some(came), calendar.pop());
        }
        assert!(calendar.is_empty() && calendar.pop().is_none());
    }
}
