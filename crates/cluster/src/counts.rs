//! Work asked and done, by office and class, counted over the fleet without counting anything twice.
//!
//! Each server writes one row of its own and nobody else's; a row is told on as it is, with its version and its age. Rows
//! are merged by the later life, then the later version, then the greater age: that is a join, so it makes no difference
//! how often, in which order and by whom a row comes. A row counts while it is young, so nothing of the dead counts for
//! long, and a reader is told how many servers its figure is of, how old each part is and where the silent ones are.

use crate::MS;
use crate::judge::Evidence;
use crate::peer::Life;
use gradepin_decisions::{Span, Time, after, before};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a row counts: the last so many seconds of its server.
pub const WINDOW: Span = Span(10_000 * MS);
/// The window moves in steps of this.
const STEP: Span = Span(500 * MS);
/// A row older than this says nothing of now.
pub const TOO_OLD: Span = Span(10_000 * MS);
/// Rows kept, those of the dead too until they are too old.
const MOST_ROWS: usize = 4_096;
/// Cells of one row: offices by classes. What more there is, is counted in one cell.
pub const MOST_CELLS: usize = 48;
/// The cell of all that found no other.
const REST: CellId = CellId(0);

/// Names an office's part of a class: a hash of both names, since the order of a settings file may differ from server to
/// server while settings change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u32);

impl CellId {
    /// Of an office and a class by their names; of no office by an empty one.
    pub fn of(office: &str, class: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(office.len() as u64).to_be_bytes());
        hasher.update(office.as_bytes());
        hasher.update(class.as_bytes());
        let hash = hasher.finalize();
        let id = hash.as_bytes().first_chunk().map_or(1, |bytes| u32::from_be_bytes(*bytes));
        Self(id.max(1))
    }
}

/// Work within a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Work {
    /// Core time that was asked for, as the class estimates tell it, in ms.
    pub asked_ms: u32,
    /// Core time of what was served, in ms.
    pub done_ms: u32,
    /// First tries that came.
    pub firsts: u32,
    /// Repeated tries that came.
    pub repeats: u32,
}

impl Work {
    fn add(&mut self, other: &Self) {
        self.asked_ms = self.asked_ms.saturating_add(other.asked_ms);
        self.done_ms = self.done_ms.saturating_add(other.done_ms);
        self.firsts = self.firsts.saturating_add(other.firsts);
        self.repeats = self.repeats.saturating_add(other.repeats);
    }
}

/// What one server tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Whose it is.
    pub name: Arc<str>,
    /// Of which life.
    pub life: Life,
    /// Greater with each change.
    pub version: u32,
    /// The server's zone.
    pub zone: Arc<str>,
    /// Thousandths of slots of the shared ledger that it would lend now.
    pub spare: u32,
    /// What it saw of the shared ledger.
    pub evidence: Evidence,
    /// What it counted, by cell.
    pub cells: Vec<(CellId, Work)>,
}

/// A row on its way, with its age where it left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The row.
    pub row: Row,
    /// Its age in ms.
    pub age_ms: u32,
}

/// A row as it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kept {
    /// The row.
    pub row: Row,
    /// When it was true, by the own clock, and no later than that.
    pub at: Time,
}

impl Kept {
    fn rank(&self) -> (Life, u32, Reverse<Time>) {
        (self.row.life, self.row.version, Reverse(self.at))
    }

    /// How old it is.
    pub fn age(&self, now: Time) -> Span {
        Span(now.0.saturating_sub(self.at.0))
    }
}

/// A figure of the fleet with what it rests on: never a bare number.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Reading {
    /// What the servers heard counted together.
    pub sum: Work,
    /// How many servers that is, this one among them.
    pub heard: usize,
    /// The age of the oldest part that counts, and of the middle one.
    pub oldest: Span,
    /// See `oldest`.
    pub median: Span,
    /// How many were heard in each zone.
    pub zones: BTreeMap<Arc<str>, usize>,
}

impl Reading {
    /// The part of a fleet of so many servers that the figure speaks for.
    pub fn part(&self, servers: usize) -> f64 {
        (self.heard as f64 / servers.max(1) as f64).min(1.0)
    }
}

/// The own counts of one cell, by steps of time.
#[derive(Debug, Default)]
struct Own {
    steps: VecDeque<(Time, Work)>,
    sum: Work,
}

impl Own {
    fn add(&mut self, now: Time, work: Work) {
        match self.steps.back_mut() {
            Some((since, last)) if now < after(*since, STEP) => last.add(&work),
            _ => self.steps.push_back((now, work)),
        }
        self.sum.add(&work);
    }

    fn forget(&mut self, now: Time) {
        while let Some((_, gone)) = self.steps.pop_front_if(|(since, _)| after(*since, WINDOW) <= now) {
            self.sum.asked_ms -= gone.asked_ms.min(self.sum.asked_ms);
            self.sum.done_ms -= gone.done_ms.min(self.sum.done_ms);
            self.sum.firsts -= gone.firsts.min(self.sum.firsts);
            self.sum.repeats -= gone.repeats.min(self.sum.repeats);
        }
    }
}

/// The rows of the fleet as this server has them, and its own counts.
#[derive(Debug)]
pub struct Counts {
    rows: BTreeMap<Arc<str>, Kept>,
    own: BTreeMap<CellId, Own>,
    name: Arc<str>,
    version: u32,
}

impl Counts {
    /// Nothing counted yet by a server of this name.
    pub fn new(name: Arc<str>) -> Self {
        Self { rows: BTreeMap::new(), own: BTreeMap::new(), name, version: 0 }
    }

    /// Something was asked or done here.
    pub fn count(&mut self, now: Time, cell: CellId, work: Work) {
        let known = self.own.contains_key(&cell) || self.own.len() < MOST_CELLS - 1;
        self.own.entry(if known { cell } else { REST }).or_default().add(now, work);
    }

    /// Writes the own row anew.
    pub fn write(&mut self, now: Time, life: Life, zone: &Arc<str>, spare: u32, evidence: Evidence) {
        self.version += 1;
        self.own.values_mut().for_each(|own| own.forget(now));
        self.own.retain(|_, own| !own.steps.is_empty());
        let cells = self.own.iter().map(|(id, own)| (*id, own.sum)).collect();
        let (name, zone) = (Arc::clone(&self.name), Arc::clone(zone));
        let row = Row { name, life, version: self.version, zone, spare, evidence, cells };
        self.rows.insert(Arc::clone(&self.name), Kept { row, at: now });
    }

    /// Takes in a row of another server; whether it was news.
    pub fn merge(&mut self, now: Time, told: Told, late: Span) -> bool {
        let at = before(now, Span(u64::from(told.age_ms) * MS + late.0));
        self.join(now, Kept { row: told.row, at })
    }

    /// The join itself: the greater of what is kept and what came.
    fn join(&mut self, now: Time, came: Kept) -> bool {
        if came.row.name == self.name || came.age(now) > TOO_OLD || came.row.cells.len() > MOST_CELLS {
            return false;
        }
        match self.rows.get_mut(&came.row.name) {
            Some(kept) => {
                let news = (came.row.life, came.row.version) > (kept.row.life, kept.row.version);
                if came.rank() > kept.rank() {
                    *kept = came;
                }
                news
            }
            None => {
                if self.rows.len() >= MOST_ROWS {
                    self.forget(now);
                }
                let room = self.rows.len() < MOST_ROWS;
                if room {
                    self.rows.insert(Arc::clone(&came.row.name), came);
                }
                room
            }
        }
    }

    /// Forgets what is too old to count.
    pub fn forget(&mut self, now: Time) {
        self.rows.retain(|_, kept| kept.age(now) <= TOO_OLD);
    }

    /// All rows, the own one among them.
    pub fn rows(&self) -> impl Iterator<Item = &Kept> {
        self.rows.values()
    }

    /// The row of a server.
    pub fn row(&self, name: &str) -> Option<&Kept> {
        self.rows.get(name)
    }

    /// How many rows are kept.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// What these cells come to over the fleet.
    pub fn read(&self, now: Time, wanted: impl Fn(CellId) -> bool) -> Reading {
        let mut reading = Reading::default();
        let mut ages = Vec::new();
        for kept in self.rows.values().filter(|kept| kept.age(now) <= TOO_OLD) {
            reading.heard += 1;
            *reading.zones.entry(Arc::clone(&kept.row.zone)).or_default() += 1;
            ages.push(kept.age(now));
            for (_, work) in kept.row.cells.iter().filter(|(id, _)| wanted(*id)) {
                reading.sum.add(work);
            }
        }
        ages.sort();
        reading.oldest = ages.last().copied().unwrap_or_default();
        reading.median = ages.get(ages.len() / 2).copied().unwrap_or_default();
        reading
    }

    /// How many servers are heard, and what the cells of each key come to over them; `of` tells whose a cell is.
    pub fn sums<K: Ord>(&self, now: Time, of: impl Fn(CellId) -> Option<K>) -> (usize, BTreeMap<K, Work>) {
        let mut sums = BTreeMap::<K, Work>::new();
        let mut heard = 0;
        for kept in self.rows.values().filter(|kept| kept.age(now) <= TOO_OLD) {
            heard += 1;
            for (id, work) in &kept.row.cells {
                if let Some(key) = of(*id) {
                    sums.entry(key).or_default().add(work);
                }
            }
        }
        (heard, sums)
    }

    /// What was counted here alone, by key.
    pub fn own_sums<K: Ord>(&self, of: impl Fn(CellId) -> Option<K>) -> BTreeMap<K, Work> {
        let mut sums = BTreeMap::<K, Work>::new();
        for (id, own) in &self.own {
            if let Some(key) = of(*id) {
                sums.entry(key).or_default().add(&own.sum);
            }
        }
        sums
    }

    /// What was counted here alone.
    pub fn own(&self, wanted: impl Fn(CellId) -> bool) -> Work {
        let mut sum = Work::default();
        self.own.iter().filter(|(id, _)| wanted(**id)).for_each(|(_, own)| sum.add(&own.sum));
        sum
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn told(name: &str, life: u64, version: u32, asked_ms: u32, age_ms: u32) -> Told {
        let cells = vec![(CellId(7), Work { asked_ms, ..Work::default() })];
        let (name, zone) = (Arc::from(name), Arc::from("z"));
        let evidence = Evidence::default();
        let row = Row { name, life: Life(life), version, zone, spare: 0, evidence, cells };
        Told { row, age_ms }
    }

    fn asked(counts: &Counts, now: Time) -> u32 {
        counts.read(now, |_| true).sum.asked_ms
    }

    const NOW: Time = Time(100_000 * MS);

    /// Guards against a datagram that comes twice, late, or after a newer one, and against a past life that counts beside
    /// the present one.
    #[test]
    fn nothing_counts_twice() {
        let mut counts = Counts::new(Arc::from("own"));
        for told in [
            told("a", 1, 1, 10, 0),
            told("a", 1, 1, 10, 0),
            told("a", 1, 3, 30, 0),
            told("a", 1, 2, 20, 500),
            told("b", 9, 1, 5, 0),
            told("a", 2, 1, 7, 0),
            told("a", 1, 9, 90, 0),
        ] {
            counts.merge(NOW, told, Span(0));
        }
        assert_eq!(asked(&counts, NOW), 12);
        assert_eq!(counts.read(NOW, |_| true).heard, 2);
    }

    #[test]
    fn a_reading_tells_its_age_and_where_it_comes_from_and_forgets_the_dead() {
        let mut counts = Counts::new(Arc::from("own"));
        counts.count(NOW, CellId(7), Work { asked_ms: 100, ..Work::default() });
        counts.write(NOW, Life(1), &Arc::from("y"), 0, Evidence::default());
        counts.merge(NOW, told("a", 1, 1, 10, 4_000), Span(0));
        counts.merge(NOW, told("b", 1, 1, 20, 1_000), Span(500 * MS));
        let reading = counts.read(NOW, |_| true);
        assert_eq!((reading.sum.asked_ms, reading.heard, reading.part(12)), (130, 3, 0.25));
        assert_eq!((reading.oldest, reading.median), (Span(4_000 * MS), Span(1_500 * MS)));
        assert_eq!(reading.zones.values().copied().collect::<Vec<_>>(), [1, 2]);
        let later = after(NOW, Span(7_000 * MS));
        assert_eq!(asked(&counts, later), 120, "the older row no longer counts");
        counts.forget(after(NOW, Span(60_000 * MS)));
        assert!(counts.is_empty());
        counts.write(after(NOW, WINDOW), Life(1), &Arc::from("y"), 0, Evidence::default());
        assert_eq!(asked(&counts, after(NOW, WINDOW)), 0, "what was counted here leaves the window");
    }

    /// Guards memory: cells and rows are bounded whatever names come.
    #[test]
    fn cells_and_rows_are_bounded() {
        let mut counts = Counts::new(Arc::from("own"));
        for n in 1..500 {
            counts.count(NOW, CellId(n), Work { firsts: 1, ..Work::default() });
        }
        counts.write(NOW, Life(1), &Arc::from("z"), 0, Evidence::default());
        let own = &counts.row("own").unwrap().row;
        assert_eq!(own.cells.len(), MOST_CELLS);
        assert_eq!(own.cells.iter().map(|(_, work)| work.firsts).sum::<u32>(), 499);
        for n in 0..MOST_ROWS + 9 {
            counts.merge(NOW, told(&format!("n{n}"), 1, 1, 1, 0), Span(0));
        }
        assert_eq!(counts.len(), MOST_ROWS);
    }

    proptest! {
        /// Merging is commutative, associative and idempotent: whatever order, grouping and repetition rows come in, the
        /// same is kept.
        #[test]
        fn merging_is_a_join(
            rows in prop::collection::vec((0_u8..4, 0_u64..3, 0_u32..4, 0_u32..3), 0..24),
            order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        ) {
            // What a row holds is its writer's: a function of name, life and version.
            let made: Vec<Told> = rows
                .iter()
                .map(|&(name, life, version, age)| {
                    let content = u32::from(name) * 100 + life as u32 * 10 + version;
                    told(&format!("n{name}"), life, version, content, age * 100)
                })
                .collect();
            let merged = |all: &mut dyn Iterator<Item = &Told>| {
                let mut counts = Counts::new(Arc::from("own"));
                for told in all {
                    counts.merge(NOW, told.clone(), Span(0));
                }
                counts.rows
            };
            let once = merged(&mut made.iter());
            let back = merged(&mut made.iter().rev());
            prop_assert_eq!(&once, &back, "commutative");
            let mut shuffled: Vec<&Told> = made.iter().collect();
            if !made.is_empty() {
                shuffled.extend(order.iter().map(|index| &made[index.index(made.len())]));
                shuffled.rotate_left(order.len() % made.len().max(1));
            }
            prop_assert_eq!(&once, &merged(&mut shuffled.into_iter()), "idempotent");
            // Two parts merged on their own, then into each other, by way of what each would tell on.
            let (left, right) = made.split_at(made.len() / 2);
            let mut counts = Counts::new(Arc::from("own"));
            for part in [merged(&mut right.iter()), merged(&mut left.iter())] {
                for kept in part.into_values() {
                    counts.join(NOW, kept);
                }
            }
            prop_assert_eq!(&once, &counts.rows, "associative");
        }
    }
}
