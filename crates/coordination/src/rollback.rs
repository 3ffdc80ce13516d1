//! Whether service by a new version is worse than by the old one, by more than noise, and how long it takes to be sure.
//!
//! Each class of an office is a cell: first tries that came and those that were served, of servers with the new version
//! and of those with the old one at the same time. Two shares are held against each other by a test that may be looked at
//! as often as one likes: its bound grows with the logarithm of the logarithm of the count (the law of the iterated
//! logarithm, as in Howard, Ramdas, McAuliffe and Sekhon, "Time-uniform, nonparametric, nonasymptotic confidence
//! sequences", 2021), where a fixed bound would be passed by noise sooner or later. Servers differ among themselves;
//! the variance counts by what the old ones differ.

use crate::replicated_state::Name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Noise may halt so many releases in vain, over a whole release and all cells: one in a thousand.
const ALPHA: f64 = 0.001;
/// Cells that are looked at; the bound counts them all.
const CELLS: f64 = 64.0;
/// First tries with the new version before a cell is looked at.
const LEAST: f64 = 10.0;
/// How much more than chance servers may differ, at the most: more is a fault of theirs.
const MOST_SPREAD: f64 = 6.0;

/// A cell: an office's part of a class.
pub type Cell = u32;

/// What a server counted in a cell since its life began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServiceTotal {
    /// First tries that came.
    pub came: u32,
    /// Of those, how many were served.
    pub served: u32,
}

/// Counts of one side.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sum {
    came: f64,
    served: f64,
}

impl Sum {
    fn share(self) -> f64 {
        if self.came > 0.0 { (self.served / self.came).min(1.0) } else { 0.0 }
    }
}

/// What is known of one server's counts.
#[derive(Debug, Clone, Default)]
struct Seen {
    life: u64,
    totals: BTreeMap<Cell, ServiceTotal>,
    /// By side: whether it had the new version, and what it counted then.
    sums: BTreeMap<(bool, Cell), Sum>,
}

/// A cell in which the new version is worse.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRegression {
    /// Which.
    pub cell: Cell,
    /// The share served by the old version, and by the new one.
    pub old: f64,
    /// See `old`.
    pub new: f64,
    /// First tries that this rests on, with the new version.
    pub tries: u64,
}

/// The counts of a release, from its start on.
#[derive(Debug, Default)]
pub struct RegressionDetector {
    servers: BTreeMap<Name, Seen>,
    /// The whole fleet before the release, and since: by steps, the last one first.
    fleet: Vec<Sum>,
}

/// Steps of the fleet's service that are held against the one before the release.
const STEPS: usize = 4;

impl RegressionDetector {
    /// A server told its totals. What it counted since the last time belongs to the version that it has now; what it counted
    /// across a change of version belongs to neither.
    pub fn told(&mut self, name: &Name, life: u64, new: Option<bool>, totals: &[(Cell, ServiceTotal)]) {
        let seen = self.servers.entry(Arc::clone(name)).or_default();
        let known = seen.life == life;
        if !known {
            (seen.life, seen.totals) = (life, BTreeMap::new());
        }
        for (cell, total) in totals.iter().take(CELLS as usize) {
            let before = seen.totals.insert(*cell, *total);
            // Of a life that was not heard before, all it has counted is its own version's.
            let before = before.unwrap_or_default();
            let came = f64::from(total.came.saturating_sub(before.came));
            let served = f64::from(total.served.saturating_sub(before.served));
            if let Some(new) = new {
                let sum = seen.sums.entry((new, *cell)).or_default();
                (sum.came, sum.served) = (sum.came + came, sum.served + served);
            }
            if let Some(last) = self.fleet.last_mut() {
                (last.came, last.served) = (last.came + came, last.served + served);
            }
        }
    }

    /// Begins another step of the fleet's own course.
    pub fn next_step(&mut self) {
        self.fleet.push(Sum::default());
        if self.fleet.len() > STEPS + 2 {
            // The first one stays: it is from before.
            self.fleet.remove(1);
        }
    }

    /// Whether the whole fleet serves less than before the release, whoever's fault it is: by more than `worse` and by more
    /// than noise, in the last step that is over.
    pub fn fleet_falls(&self, worse: f64) -> Option<(f64, f64)> {
        let [before, .., last, _] = self.fleet[..] else { return None };
        let certain = worse_by(before, last, 1.0) > worse;
        certain.then(|| (before.share(), last.share()))
    }

    /// The cell in which the new version is worse by more than `worse` and by more than noise, the worst of them.
    pub fn worse(&self, worse: f64) -> Option<ServiceRegression> {
        let mut cells: BTreeMap<Cell, [Sum; 2]> = BTreeMap::new();
        for ((new, cell), sum) in self.servers.values().flat_map(|seen| &seen.sums) {
            let side = &mut cells.entry(*cell).or_default()[usize::from(*new)];
            (side.came, side.served) = (side.came + sum.came, side.served + sum.served);
        }
        let mut found: Vec<(f64, ServiceRegression)> = Vec::new();
        for (cell, [old, new]) in cells {
            if new.came < LEAST || old.came < LEAST {
                continue;
            }
            let by = worse_by(old, new, self.spread(cell, old.share()));
            if by > worse {
                let tries = new.came as u64;
                found.push((by, ServiceRegression { cell, old: old.share(), new: new.share(), tries }));
            }
        }
        found.into_iter().max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, worse)| worse)
    }

    /// How much more the old version's servers differ among themselves than chance would have them: one for chance alone.
    fn spread(&self, cell: Cell, share: f64) -> f64 {
        let each = self.servers.values().filter_map(|seen| seen.sums.get(&(false, cell)));
        let each: Vec<Sum> = each.copied().filter(|sum| sum.came >= LEAST).collect();
        let chance = share * (1.0 - share);
        if each.len() < 3 || chance <= 0.0 {
            return 1.0;
        }
        let chi: f64 = each.iter().map(|sum| sum.came * (sum.share() - share).powi(2) / chance).sum();
        (chi / (each.len() - 1) as f64).clamp(1.0, MOST_SPREAD)
    }
}

/// By how much the second share is less than the first for certain: the difference less its bound.
fn worse_by(old: Sum, new: Sum, spread: f64) -> f64 {
    if old.came <= 0.0 || new.came <= 0.0 {
        return 0.0;
    }
    // Two tries beside what came, so that a share of 1 has a variance too (Agresti and Caffo, 2000).
    let share = |sum: Sum| (sum.served + 1.0) / (sum.came + 2.0);
    let (a, b) = (share(old), share(new));
    let variance = a * (1.0 - a) / old.came + b * (1.0 - b) / new.came;
    a - b - bound(old.came.min(new.came)) * (variance * spread).sqrt()
}

/// In standard deviations, at any count whenever it is looked at.
fn bound(count: f64) -> f64 {
    let looks = (std::f64::consts::E + count.max(1.0)).ln().ln();
    (2.0 * ((CELLS / ALPHA).ln() + 1.4 * looks)).sqrt()
}

/// How many first tries with the new version it takes to see a fall from `share` by `by`, beyond a tolerance of `worse`, while
/// the old version's count is much greater; none if it can't be seen.
pub fn needed(share: f64, by: f64, worse: f64) -> Option<u64> {
    let size = by - worse;
    if size <= 0.0 {
        return None;
    }
    let new = (share - by).clamp(0.0, 1.0);
    let mut count = LEAST;
    while count < 1e9 {
        let variance = (new * (1.0 - new)).max(1.0 / count) / count;
        if bound(count) * variance.sqrt() < size {
            return Some(count.ceil() as u64);
        }
        count *= 1.02;
    }
    None
}

#[cfg(test)]
mod tests;
