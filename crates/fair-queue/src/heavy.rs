//! The clients that ask for most, in memory that doesn't grow with their number: space-saving (A. Metwally, D. Agrawal, A. El
//! Abbadi, "Efficient computation of frequent and top-k elements in data streams", ICDT 2005), with work in place of counts
//! and with decay.
//!
//! Decay is by growing units: what is added later counts for more, and nothing that is there has to be touched.

use siphasher::sip::SipHasher13;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;

/// Units are brought back to 1 before they lose digits.
const MOST_UNIT: f64 = 1e12;

/// A client as the sketch knows it: a keyed hash, so that nobody can choose two that are one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Client(u64);

/// What is known of a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Its work of late, in seconds: no less than it is.
    pub work: f64,
    /// By how much that may be too high.
    pub error: f64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    work: f64,
    error: f64,
}

/// A work that sorts; none here is negative or no number, and bits of such sort as they do.
fn bits(work: f64) -> u64 {
    work.max(0.0).to_bits()
}

/// So many clients at the most.
#[derive(Debug)]
pub struct Heavy {
    most: usize,
    /// Seconds in which what was added counts half.
    half_s: f64,
    seed: u64,
    entries: HashMap<Client, Entry>,
    least: BTreeSet<(u64, Client)>,
    total: f64,
    /// What an addition counts by now, and the time of that.
    unit: f64,
    at_s: f64,
}

impl Heavy {
    /// An empty sketch of so many clients, one at least; what was added counts half after `half_s`. The seed keys its hashes.
    pub fn new(most: usize, half_s: f64, seed: u64) -> Self {
        Self {
            most: most.max(1),
            half_s: half_s.max(1e-3),
            seed,
            entries: HashMap::new(),
            least: BTreeSet::new(),
            total: 0.0,
            unit: 1.0,
            at_s: 0.0,
        }
    }

    /// The client of an office's caller.
    pub fn client(&self, office: usize, caller: u64) -> Client {
        let mut hasher = SipHasher13::new_with_keys(self.seed, !self.seed);
        hasher.write_usize(office);
        hasher.write_u64(caller);
        Client(hasher.finish())
    }

    /// Time has passed: what is there counts for less.
    fn pass(&mut self, now_s: f64) {
        if now_s <= self.at_s {
            return;
        }
        self.unit *= ((now_s - self.at_s) / self.half_s).exp2();
        self.at_s = now_s;
        if self.unit < MOST_UNIT {
            return;
        }
        let unit = if self.unit.is_finite() { self.unit } else { f64::MAX };
        self.unit = 1.0;
        self.total /= unit;
        self.least.clear();
        for (client, entry) in &mut self.entries {
            (entry.work, entry.error) = (entry.work / unit, entry.error / unit);
            self.least.insert((bits(entry.work), *client));
        }
    }

    /// A client asks for so much work; what is known of it then.
    pub fn add(&mut self, now_s: f64, client: Client, work_s: f64) -> Estimate {
        self.pass(now_s);
        let work = work_s.max(0.0) * self.unit;
        self.total += work;
        let before = match self.entries.get(&client) {
            Some(entry) => *entry,
            None if self.entries.len() < self.most => Entry { work: 0.0, error: 0.0 },
            // The least of them gives its place, and its work is what the newcomer may have had unseen.
            None => match self.least.pop_first() {
                Some((_, least)) => {
                    let gone = self.entries.remove(&least).map_or(0.0, |entry| entry.work);
                    Entry { work: gone, error: gone }
                }
                None => Entry { work: 0.0, error: 0.0 },
            },
        };
        self.least.remove(&(bits(before.work), client));
        let entry = Entry { work: before.work + work, error: before.error };
        self.least.insert((bits(entry.work), client));
        self.entries.insert(client, entry);
        Estimate { work: entry.work / self.unit, error: entry.error / self.unit }
    }

    /// What is known of a client; none where it is none of those that matter.
    pub fn get(&self, client: Client) -> Option<Estimate> {
        let entry = self.entries.get(&client)?;
        Some(Estimate { work: entry.work / self.unit, error: entry.error / self.unit })
    }

    /// All work of late, in seconds.
    pub fn total(&self) -> f64 {
        self.total / self.unit
    }

    /// Clients that certainly ask for more than a part of all work.
    pub fn above(&self, part: f64) -> Vec<Client> {
        let line = part * self.total;
        let mut found: Vec<Client> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.work - entry.error > line)
            .map(|(client, _)| *client)
            .collect();
        found.sort_unstable();
        found
    }

    /// Clients in it.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nobody ever came.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against a client that is thought lighter than it is, or heavier than the sketch's bound allows: whatever comes, in
        /// whatever order, each estimate is between the truth and the truth with the total's part of a place on top.
        #[test]
        fn estimates_hold_the_truth(adds in prop::collection::vec((0_u64..60, 1_u32..50), 1..400), most in 1_usize..30) {
            let mut heavy = Heavy::new(most, 1e9, 7);
            let mut truth = HashMap::<u64, f64>::new();
            for (caller, work) in adds {
                let client = heavy.client(1, caller);
                let told = heavy.add(0.0, client, f64::from(work));
                *truth.entry(caller).or_default() += f64::from(work);
                let so_far = truth[&caller];
                prop_assert!(told.work >= so_far - 1e-6 && told.work - told.error <= so_far + 1e-6);
            }
            prop_assert!(heavy.len() <= most);
            let bound = heavy.total() / most as f64;
            for (caller, work) in truth {
                match heavy.get(heavy.client(1, caller)) {
                    Some(told) => prop_assert!(told.work <= work + bound + 1e-6),
                    None => prop_assert!(work <= bound + 1e-6),
                }
            }
        }
    }

    /// Hard case 2: guards against memory that grows with clients, and a heavy one that hides among 100,000, or behind new ids.
    #[test]
    fn a_heavy_client_is_found_among_very_many() {
        let mut heavy = Heavy::new(256, 10.0, 3);
        for n in 0..100_000_u64 {
            let now = n as f64 * 1e-4;
            let passing = heavy.client(0, 1_000 + n);
            heavy.add(now, passing, 0.001);
            if n % 50 == 0 {
                let steady = heavy.client(0, 5);
                heavy.add(now, steady, 0.02);
            }
        }
        assert_eq!(heavy.len(), 256);
        let steady = heavy.client(0, 5);
        assert_eq!(heavy.above(0.1), [steady]);
        // The same caller of another office is another client.
        assert_ne!(steady, heavy.client(1, 5));
    }

    /// Guards against a client that is heavy for ever, and units that run out of digits.
    #[test]
    fn what_was_long_ago_counts_for_less() {
        let mut heavy = Heavy::new(8, 1.0, 1);
        let (old, new) = (heavy.client(0, 1), heavy.client(0, 2));
        heavy.add(0.0, old, 8.0);
        heavy.add(3.0, new, 1.0);
        let told = heavy.get(old).unwrap();
        assert!((told.work - 1.0).abs() < 1e-9 && (heavy.total() - 2.0).abs() < 1e-9, "{told:?}");
        for step in 0..1_000 {
            heavy.add(3.0 + f64::from(step), new, 1.0);
        }
        assert!((heavy.get(new).unwrap().work - 2.0).abs() < 1e-6);
        assert!(heavy.get(old).unwrap().work < 1e-9);
        // A pause in which everything runs out.
        heavy.add(1e7, new, 1.0);
        assert!((heavy.get(new).unwrap().work - 1.0).abs() < 1e-6 && heavy.total().is_finite());
    }
}
