//! Whether service by a new version is worse than by the old one, by more than noise.
//!
//! Input: first attempts and how many of them were served, by server and cell (a tenant's part of a class), as servers report
//! them. Output: the worst regression of a cell, and a fall of the fleet's service. Servers with the new version are compared with
//! those that run the old one at the same time, by a test that stays valid however often it is evaluated: its bound grows with
//! the logarithm of the logarithm of the count (the law of the iterated logarithm, as in Howard, Ramdas, McAuliffe and Sekhon,
//! "Time-uniform, nonparametric, nonasymptotic confidence sequences", 2021), where noise would pass a fixed bound sooner or
//! later. Servers differ among themselves; the variance is scaled by how much the old ones do.

use crate::ids::{Incarnation, Name};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The chance that noise halts a sound rollout, over all its comparisons and all cells.
const ALPHA: f64 = 0.001;
/// Cells that are compared; the bound counts them all.
const CELLS: f64 = 64.0;
/// First attempts with each version before a cell is compared.
const MIN_ATTEMPTS: f64 = 10.0;
/// The largest factor by which servers may differ more than by chance; more is a fault of theirs.
const MAX_SPREAD: f64 = 6.0;
/// Intervals of the fleet's service that are kept after the one before the rollout.
const KEPT_INTERVALS: usize = 4;

/// A cell: a tenant's part of a class.
pub type Cell = u32;

/// What a server counted in a cell in its incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServiceTotal {
    /// First attempts that were received.
    #[serde(rename = "came")]
    pub received: u32,
    /// Of those, how many were served.
    pub served: u32,
}

/// The version that a server ran while it counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// The version before the rollout.
    Old,
    /// The version of the rollout.
    New,
}

/// Counts of one version, or of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sum {
    received: f64,
    served: f64,
}

impl Sum {
    fn add(&mut self, other: Self) {
        self.received += other.received;
        self.served += other.served;
    }

    fn served_fraction(self) -> f64 {
        if self.received > 0.0 { (self.served / self.received).min(1.0) } else { 0.0 }
    }
}

/// What is known of one server's counts.
#[derive(Debug, Clone, Default)]
struct ServerCounts {
    incarnation: Incarnation,
    /// The last totals of this incarnation.
    totals: BTreeMap<Cell, ServiceTotal>,
    sums: BTreeMap<(Version, Cell), Sum>,
}

/// A cell in which the new version serves less.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRegression {
    /// The cell.
    pub cell: Cell,
    /// The fraction that the old version served.
    pub old: f64,
    /// The fraction that the new version served.
    pub new: f64,
    /// First attempts with the new version.
    pub attempts: u64,
}

/// A fall of the fleet's service, as fractions of all first attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetFall {
    /// The fraction that was served before the rollout.
    pub before: f64,
    /// The fraction that was served in the last complete interval.
    pub since: f64,
}

/// The counts of a rollout, from its start on.
#[derive(Debug, Default)]
pub struct RegressionDetector {
    servers: BTreeMap<Name, ServerCounts>,
    /// The fleet by intervals: the one before the rollout, at most [`KEPT_INTERVALS`] complete ones and the current one.
    fleet: Vec<Sum>,
}

impl RegressionDetector {
    /// Records a server's totals. What it counted since the last report belongs to the version that it runs now; what it
    /// counted across a change of version belongs to neither.
    pub fn record_totals(
        &mut self,
        name: &Name,
        incarnation: Incarnation,
        version: Option<Version>,
        totals: &[(Cell, ServiceTotal)],
    ) {
        let server = self.servers.entry(Arc::clone(name)).or_default();
        if server.incarnation != incarnation {
            server.incarnation = incarnation;
            server.totals = BTreeMap::new();
        }
        for (cell, total) in totals.iter().take(CELLS as usize) {
            // All that a new incarnation has counted is its own version's.
            let last = server.totals.insert(*cell, *total).unwrap_or_default();
            let counted = Sum {
                received: f64::from(total.received.saturating_sub(last.received)),
                served: f64::from(total.served.saturating_sub(last.served)),
            };
            if let Some(version) = version {
                server.sums.entry((version, *cell)).or_default().add(counted);
            }
            if let Some(current) = self.fleet.last_mut() {
                current.add(counted);
            }
        }
    }

    /// Starts the next interval of the fleet's service.
    pub fn next_interval(&mut self) {
        self.fleet.push(Sum::default());
        if self.fleet.len() > KEPT_INTERVALS + 2 {
            // The first one stays: it is from before the rollout.
            self.fleet.remove(1);
        }
    }

    /// The fall of the fleet's service, whatever its cause: by more than `tolerated` and by more than noise, in the last
    /// complete interval.
    pub fn fleet_fall(&self, tolerated: f64) -> Option<FleetFall> {
        let [before, .., last, _] = self.fleet[..] else { return None };
        let is_fall = certain_fall(before, last, 1.0) > tolerated;
        is_fall.then(|| FleetFall { before: before.served_fraction(), since: last.served_fraction() })
    }

    /// The cell in which the new version serves less by more than `tolerated` and by more than noise; the worst of them.
    pub fn worst_regression(&self, tolerated: f64) -> Option<ServiceRegression> {
        let mut cells: BTreeMap<Cell, [Sum; 2]> = BTreeMap::new();
        for ((version, cell), sum) in self.servers.values().flat_map(|server| &server.sums) {
            cells.entry(*cell).or_default()[*version as usize].add(*sum);
        }
        let mut regressions: Vec<(f64, ServiceRegression)> = Vec::new();
        for (cell, [old, new]) in cells {
            if new.received < MIN_ATTEMPTS || old.received < MIN_ATTEMPTS {
                continue;
            }
            let (old_served, new_served) = (old.served_fraction(), new.served_fraction());
            let fall = certain_fall(old, new, self.spread(cell, old_served));
            if fall > tolerated {
                let attempts = new.received as u64;
                let regression = ServiceRegression { cell, old: old_served, new: new_served, attempts };
                regressions.push((fall, regression));
            }
        }
        let worst = regressions.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        worst.map(|(_, regression)| regression)
    }

    /// The factor by which servers with the old version differ more among themselves than by chance; 1 for chance alone.
    fn spread(&self, cell: Cell, served_fraction: f64) -> f64 {
        let sums = self.servers.values().filter_map(|server| server.sums.get(&(Version::Old, cell)));
        let sums: Vec<Sum> = sums.copied().filter(|sum| sum.received >= MIN_ATTEMPTS).collect();
        let variance = served_fraction * (1.0 - served_fraction);
        if sums.len() < 3 || variance <= 0.0 {
            return 1.0;
        }
        let squared = |sum: &Sum| sum.received * (sum.served_fraction() - served_fraction).powi(2) / variance;
        let chi_squared: f64 = sums.iter().map(squared).sum();
        (chi_squared / (sums.len() - 1) as f64).clamp(1.0, MAX_SPREAD)
    }
}

/// By how much the second fraction is less than the first for certain: the difference less its bound.
fn certain_fall(old: Sum, new: Sum, spread: f64) -> f64 {
    if old.received <= 0.0 || new.received <= 0.0 {
        return 0.0;
    }
    // Two attempts are added, so that a fraction of 1 has a variance too (Agresti and Caffo, 2000).
    let adjusted_fraction = |sum: Sum| (sum.served + 1.0) / (sum.received + 2.0);
    let (old_served, new_served) = (adjusted_fraction(old), adjusted_fraction(new));
    let variance =
        old_served * (1.0 - old_served) / old.received + new_served * (1.0 - new_served) / new.received;
    old_served - new_served - bound(old.received.min(new.received)) * (variance * spread).sqrt()
}

/// The bound at a count of attempts, in standard deviations.
fn bound(attempts: f64) -> f64 {
    let iterated_logarithm = (std::f64::consts::E + attempts.max(1.0)).ln().ln();
    (2.0 * ((CELLS / ALPHA).ln() + 1.4 * iterated_logarithm)).sqrt()
}

/// How many first attempts with the new version it takes to detect a fall from `served` by `fall`, beyond `tolerated`, while
/// the old version's count is much greater; none if it can't be detected.
pub fn attempts_needed(served: f64, fall: f64, tolerated: f64) -> Option<u64> {
    let excess = fall - tolerated;
    if excess <= 0.0 {
        return None;
    }
    let new = (served - fall).clamp(0.0, 1.0);
    let mut attempts = MIN_ATTEMPTS;
    while attempts < 1e9 {
        let variance = (new * (1.0 - new)).max(1.0 / attempts) / attempts;
        if bound(attempts) * variance.sqrt() < excess {
            return Some(attempts.ceil() as u64);
        }
        attempts *= 1.02;
    }
    None
}

#[cfg(test)]
mod tests;
