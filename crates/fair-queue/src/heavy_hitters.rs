//! Finds the clients that cause the most work, in memory that doesn't grow with the number of clients. The algorithm is
//! space-saving (A. Metwally, D. Agrawal, A. El Abbadi, "Efficient computation of frequent and top-k elements in data
//! streams", ICDT 2005), with work in place of counts and with exponential decay.
//!
//! Decay is implemented by a growing scale: work that is added later is multiplied by a larger factor, so no existing entry has
//! to be updated.

use siphasher::sip::SipHasher13;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;

/// Above this scale all entries are divided by it and it returns to 1, before the sums lose precision.
const MAX_SCALE: f64 = 1e12;

/// The key of a client in the sketch: a keyed hash, so that nobody can construct two clients with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientKey(u64);

/// The estimated work of a client, with decay applied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The estimate in seconds of work, never below the true value.
    pub work: f64,
    /// The maximum by which the estimate exceeds the true value, in seconds of work.
    pub error: f64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    work: f64,
    error: f64,
}

/// An integer with the same order as the work. The bits of floats that are neither negative nor NaN sort like their values.
fn sort_key(work: f64) -> u64 {
    work.max(0.0).to_bits()
}

/// A sketch of the heaviest clients, with a fixed capacity.
#[derive(Debug)]
pub struct HeavyHitters {
    capacity: usize,
    /// The half-life of added work, in seconds.
    half_life_s: f64,
    seed: u64,
    entries: HashMap<ClientKey, Entry>,
    by_work: BTreeSet<(u64, ClientKey)>,
    total: f64,
    /// The factor by which added work is multiplied at `scale_time_s`. Entries and `total` are in scaled seconds.
    scale: f64,
    scale_time_s: f64,
}

impl HeavyHitters {
    /// An empty sketch of at most `capacity` clients, at least one. Added work loses half of its weight in `half_life_s`
    /// seconds. The seed is the key of the client hashes.
    pub fn new(capacity: usize, half_life_s: f64, seed: u64) -> Self {
        Self {
            capacity: capacity.max(1),
            half_life_s: half_life_s.max(1e-3),
            seed,
            entries: HashMap::new(),
            by_work: BTreeSet::new(),
            total: 0.0,
            scale: 1.0,
            scale_time_s: 0.0,
        }
    }

    /// The key of a tenant's client.
    pub fn client_key(&self, tenant: usize, client_id: u64) -> ClientKey {
        let mut hasher = SipHasher13::new_with_keys(self.seed, !self.seed);
        hasher.write_usize(tenant);
        hasher.write_u64(client_id);
        ClientKey(hasher.finish())
    }

    /// Advances the decay to the given time, in seconds; an earlier time has no effect.
    fn advance_to(&mut self, now_s: f64) {
        if now_s <= self.scale_time_s {
            return;
        }
        self.scale *= ((now_s - self.scale_time_s) / self.half_life_s).exp2();
        self.scale_time_s = now_s;
        if self.scale < MAX_SCALE {
            return;
        }
        let scale = if self.scale.is_finite() { self.scale } else { f64::MAX };
        self.scale = 1.0;
        self.total /= scale;
        self.by_work.clear();
        for (client_key, entry) in &mut self.entries {
            (entry.work, entry.error) = (entry.work / scale, entry.error / scale);
            self.by_work.insert((sort_key(entry.work), *client_key));
        }
    }

    /// Adds work of a client, in seconds, and returns the new estimate of the client.
    pub fn add(&mut self, now_s: f64, client_key: ClientKey, work_s: f64) -> Estimate {
        self.advance_to(now_s);
        let work = work_s.max(0.0) * self.scale;
        self.total += work;
        let previous = match self.entries.get(&client_key) {
            Some(entry) => *entry,
            None if self.entries.len() < self.capacity => Entry { work: 0.0, error: 0.0 },
            // The new client replaces the lightest one and takes over its work, as an upper bound of the work that it may have
            // added while it was not in the sketch.
            None => match self.by_work.pop_first() {
                Some((_, lightest)) => {
                    let removed_work = self.entries.remove(&lightest).map_or(0.0, |entry| entry.work);
                    Entry { work: removed_work, error: removed_work }
                }
                None => Entry { work: 0.0, error: 0.0 },
            },
        };
        self.by_work.remove(&(sort_key(previous.work), client_key));
        let entry = Entry { work: previous.work + work, error: previous.error };
        self.by_work.insert((sort_key(entry.work), client_key));
        self.entries.insert(client_key, entry);
        Estimate { work: entry.work / self.scale, error: entry.error / self.scale }
    }

    /// The estimate of a client; `None` if the client is not among the heaviest.
    pub fn get(&self, client_key: ClientKey) -> Option<Estimate> {
        let entry = self.entries.get(&client_key)?;
        Some(Estimate { work: entry.work / self.scale, error: entry.error / self.scale })
    }

    /// The work of all clients together, in seconds, with decay applied.
    pub fn total(&self) -> f64 {
        self.total / self.scale
    }

    /// The clients that certainly caused more than this fraction of all work, sorted by key.
    pub fn heavier_than(&self, fraction: f64) -> Vec<ClientKey> {
        let threshold = fraction * self.total;
        let mut keys: Vec<ClientKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.work - entry.error > threshold)
            .map(|(client_key, _)| *client_key)
            .collect();
        keys.sort_unstable();
        keys
    }

    /// The number of clients in the sketch.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no work was ever added.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against a client that is estimated lighter than it is, or heavier than the sketch's error bound allows: for any
        /// additions in any order, an estimate exceeds the true work by at most the total work divided by the capacity.
        #[test]
        fn estimates_are_between_the_true_work_and_the_error_bound(additions in prop::collection::vec((0_u64..60, 1_u32..50), 1..400), capacity in 1_usize..30) {
            let mut sketch = HeavyHitters::new(capacity, 1e9, 7);
            let mut true_work = HashMap::<u64, f64>::new();
            for (client_id, work) in additions {
                let client = sketch.client_key(1, client_id);
                let estimate = sketch.add(0.0, client, f64::from(work));
                *true_work.entry(client_id).or_default() += f64::from(work);
                let work_so_far = true_work[&client_id];
                prop_assert!(estimate.work >= work_so_far - 1e-6 && estimate.work - estimate.error <= work_so_far + 1e-6);
            }
            prop_assert!(sketch.len() <= capacity);
            let bound = sketch.total() / capacity as f64;
            for (client_id, work) in true_work {
                match sketch.get(sketch.client_key(1, client_id)) {
                    Some(estimate) => prop_assert!(estimate.work <= work + bound + 1e-6),
                    None => prop_assert!(work <= bound + 1e-6),
                }
            }
        }
    }

    /// Guards against memory that grows with the number of clients, and against a heavy client that stays undetected among
    /// 100,000 others or behind new ids.
    #[test]
    fn finds_a_heavy_client_among_100_000_others() {
        let mut sketch = HeavyHitters::new(256, 10.0, 3);
        for n in 0..100_000_u64 {
            let now = n as f64 * 1e-4;
            let light = sketch.client_key(0, 1_000 + n);
            sketch.add(now, light, 0.001);
            if n % 50 == 0 {
                let heavy_client = sketch.client_key(0, 5);
                sketch.add(now, heavy_client, 0.02);
            }
        }
        assert_eq!(sketch.len(), 256);
        let heavy_client = sketch.client_key(0, 5);
        assert_eq!(sketch.heavier_than(0.1), [heavy_client]);
        // The same client id of another tenant is another client.
        assert_ne!(heavy_client, sketch.client_key(1, 5));
    }

    /// Guards against a client that stays heavy forever, and against a scale that overflows or loses precision.
    #[test]
    fn old_work_decays() {
        let mut sketch = HeavyHitters::new(8, 1.0, 1);
        let (old, new) = (sketch.client_key(0, 1), sketch.client_key(0, 2));
        sketch.add(0.0, old, 8.0);
        sketch.add(3.0, new, 1.0);
        let estimate = sketch.get(old).unwrap();
        assert!((estimate.work - 1.0).abs() < 1e-9 && (sketch.total() - 2.0).abs() < 1e-9, "{estimate:?}");
        for step in 0..1_000 {
            sketch.add(3.0 + f64::from(step), new, 1.0);
        }
        assert!((sketch.get(new).unwrap().work - 2.0).abs() < 1e-6);
        assert!(sketch.get(old).unwrap().work < 1e-9);
        // A pause after which all earlier work has decayed.
        sketch.add(1e7, new, 1.0);
        assert!((sketch.get(new).unwrap().work - 1.0).abs() < 1e-6 && sketch.total().is_finite());
    }
}
