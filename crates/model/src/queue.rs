//! The engine's queue of events: a calendar queue (R. Brown, "Calendar queues", CACM 31(10), 1988), beside a heap and an
//! ordered map that do the same.
//!
//! Whatever the queue, events come out by time, and those of one time in the order in which they went in: a day must not
//! depend on which of them is used.

use gradepin_admission::span_from_seconds;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// A moment, in nanoseconds.
pub type At = u64;

/// Nanoseconds of so many seconds.
pub fn nanos(seconds: f64) -> At {
    span_from_seconds(seconds).0
}

/// A queue of events.
pub trait Queue<T> {
    /// Puts an event in; not earlier than the last one that came out.
    fn push(&mut self, at: At, event: T);

    /// The next event with its time.
    fn pop(&mut self) -> Option<(At, T)>;

    /// Events in it.
    fn len(&self) -> usize;

    /// Whether there are none.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[derive(Debug, Clone)]
struct Entry<T> {
    at: At,
    /// In the order of the pushes.
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
    /// The earliest is the greatest: the heap's top.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A binary heap.
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

/// An ordered map.
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

/// Buckets at the least.
const FEWEST: usize = 16;
/// Events of the front by which the width of a bucket is chosen, and events that one should hold.
const SAMPLE: usize = 64;
const EACH: u64 = 2;
/// Years without an event before the width is chosen anew.
const IDLE_YEARS: usize = 16;

/// A calendar: a year of buckets, each for a day of some width, in which the events of all years lie in order.
#[derive(Debug)]
pub struct Calendar<T> {
    buckets: Vec<BinaryHeap<Entry<T>>>,
    /// Nanoseconds of a bucket.
    width: u64,
    /// The day that is looked at, counted from the beginning of time: its bucket is the rest by their number.
    day: u64,
    count: usize,
    number: u64,
    /// Years without an event, in a row or not, since the width was chosen.
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
        // One that comes before the day that is looked at: nothing has come out since, or it would be late.
        self.day = self.day.min(entry.at / self.width);
        let place = self.place(entry.at);
        self.buckets[place].push(entry);
    }

    /// Takes out the first event: the top of the first bucket from this day on whose top belongs to its day.
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
        // A whole year without an event: straight to the first one.
        self.idle_years += 1;
        let first = self.buckets.iter().filter_map(|bucket| bucket.peek()).map(Entry::key).min()?;
        self.day = first.0 / self.width;
        let place = self.place(first.0);
        self.buckets[place].pop()
    }

    /// As many buckets as events, more or less, each as wide as some of those that come next are apart.
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
        // From the first event on, which is among the front.
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
        // Guards against a width chosen by a burst of one moment, with which each later event costs a look at all buckets.
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

    /// Guards against an event that is lost, overtakes another, or comes in another order where times are equal: all
    /// three queues give the same course, with bursts, long silences and many events of one moment.
    #[test]
    fn all_queues_give_the_same_course() {
        let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(3);
        println!("SEED={seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut calendar, mut heap, mut map) = (Calendar::default(), Heap::default(), Map::default());
        let (mut now, mut n) = (0, 0_u64);
        for round in 0..30_000_u64 {
            // Grows to some thousands, empties, and grows again.
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
