//! Detects whether a new version serves worse than the old one by more than noise.
//!
//! Input: first attempts and how many of them were served, by server and cell (a tenant's requests of one class), as servers
//! report them. Output: the worst regression of a cell, and a fall of the fleet's served fraction.
//!
//! Servers with the new version are compared with those that run the old one at the same time. The test stays valid however
//! often it is evaluated: its bound grows with the iterated logarithm of the count (Howard, Ramdas, McAuliffe and Sekhon,
//! "Time-uniform, nonparametric, nonasymptotic confidence sequences", 2021). With repeated evaluation, noise would exceed a
//! fixed bound sooner or later. The variance is scaled by how much servers with the old version differ among themselves.

use crate::ids::{Incarnation, Name};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum probability that noise alone halts a rollout, over all its comparisons and all cells.
const FALSE_HALT_PROBABILITY: f64 = 0.001;
/// Maximum cells that are compared; the bound allows for that many.
const MAX_CELLS: f64 = 64.0;
/// Minimum first attempts with each version before a cell is compared.
const MIN_ATTEMPTS: f64 = 10.0;
/// Maximum factor by which the variance is scaled; servers that differ by more are faulty, which must not hide a regression.
const MAX_SPREAD: f64 = 6.0;
/// Maximum complete intervals of the fleet's service that are retained besides the first one.
const MAX_LATER_INTERVALS: usize = 4;

/// Identity of a cell: one tenant's requests of one class.
pub type Cell = u32;

/// Totals that a server counted in one cell since its process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServiceTotal {
    /// First attempts received; retries aren't counted.
    #[serde(rename = "came")]
    pub received: u32,
    /// First attempts served, out of those received.
    pub served: u32,
}

/// Which version of the rollout a server ran while it counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// The server's version before the rollout.
    Old,
    /// The version that is rolled out.
    New,
}

/// First attempts summed over servers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct AttemptSum {
    received: f64,
    served: f64,
}

impl AttemptSum {
    fn add(&mut self, other: Self) {
        self.received += other.received;
        self.served += other.served;
    }

    fn served_fraction(self) -> f64 {
        if self.received > 0.0 { (self.served / self.received).min(1.0) } else { 0.0 }
    }
}

/// The counts of one server.
#[derive(Debug, Clone, Default)]
struct ServerCounts {
    incarnation: Incarnation,
    /// Last reported totals of this incarnation.
    totals: BTreeMap<Cell, ServiceTotal>,
    sums: BTreeMap<(Version, Cell), AttemptSum>,
}

/// A cell in which the new version serves a smaller fraction than the old one.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRegression {
    /// The cell that regressed.
    pub cell: Cell,
    /// Served fraction with the old version, from 0 to 1.
    pub old: f64,
    /// Served fraction with the new version, from 0 to 1.
    pub new: f64,
    /// First attempts received with the new version.
    pub attempts: u64,
}

/// A fall of the fleet's served fraction, over all cells.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetFall {
    /// Served fraction in the first interval of the rollout, from 0 to 1.
    pub before: f64,
    /// Served fraction in the last complete interval, from 0 to 1.
    pub since: f64,
}

/// Counts the service during one rollout and detects regressions.
#[derive(Debug, Default)]
pub struct RegressionDetector {
    servers: BTreeMap<Name, ServerCounts>,
    /// The fleet's attempts by interval: the first of the rollout, at most [`MAX_LATER_INTERVALS`] complete ones, the current
    /// one.
    fleet: Vec<AttemptSum>,
}

impl RegressionDetector {
    /// Records a server's totals. The difference to the last report is attributed to `version`, the one that the server runs
    /// now; with `None` it counts for the fleet only.
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
        for (cell, total) in totals.iter().take(MAX_CELLS as usize) {
            // A new incarnation starts from zero, so all its totals belong to its own version.
            let last = server.totals.insert(*cell, *total).unwrap_or_default();
            let counted = AttemptSum {
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
        self.fleet.push(AttemptSum::default());
        if self.fleet.len() > MAX_LATER_INTERVALS + 2 {
            // The first interval is the baseline and stays.
            self.fleet.remove(1);
        }
    }

    /// Returns a fall of the fleet's served fraction between the first and the last complete interval, whatever its cause, if
    /// it exceeds noise and `tolerated`.
    pub fn fleet_fall(&self, tolerated: f64) -> Option<FleetFall> {
        let [before, .., last, _] = self.fleet[..] else { return None };
        let is_fall = significant_fall(before, last, 1.0) > tolerated;
        is_fall.then(|| FleetFall { before: before.served_fraction(), since: last.served_fraction() })
    }

    /// Returns the cell with the largest fall of the served fraction from the old to the new version, if a fall exceeds noise
    /// and
    /// `tolerated`.
    pub fn worst_regression(&self, tolerated: f64) -> Option<ServiceRegression> {
        let mut cells: BTreeMap<Cell, [AttemptSum; 2]> = BTreeMap::new();
        for ((version, cell), sum) in self.servers.values().flat_map(|server| &server.sums) {
            cells.entry(*cell).or_default()[*version as usize].add(*sum);
        }
        let mut regressions: Vec<(f64, ServiceRegression)> = Vec::new();
        for (cell, [old, new]) in cells {
            if new.received < MIN_ATTEMPTS || old.received < MIN_ATTEMPTS {
                continue;
            }
            let (old_served, new_served) = (old.served_fraction(), new.served_fraction());
            let fall = significant_fall(old, new, self.spread(cell, old_served));
            if fall > tolerated {
                let attempts = new.received as u64;
                let regression = ServiceRegression { cell, old: old_served, new: new_served, attempts };
                regressions.push((fall, regression));
            }
        }
        let worst = regressions.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        worst.map(|(_, regression)| regression)
    }

    /// Factor by which the variance among servers with the old version exceeds that of chance; 1 for chance alone.
    fn spread(&self, cell: Cell, served_fraction: f64) -> f64 {
        let sums = self.servers.values().filter_map(|server| server.sums.get(&(Version::Old, cell)));
        let sums: Vec<AttemptSum> = sums.copied().filter(|sum| sum.received >= MIN_ATTEMPTS).collect();
        let variance = served_fraction * (1.0 - served_fraction);
        if sums.len() < 3 || variance <= 0.0 {
            return 1.0;
        }
        let squared =
            |sum: &AttemptSum| sum.received * (sum.served_fraction() - served_fraction).powi(2) / variance;
        let chi_squared: f64 = sums.iter().map(squared).sum();
        (chi_squared / (sums.len() - 1) as f64).clamp(1.0, MAX_SPREAD)
    }
}

/// Lower bound on the fall of the served fraction from `old` to `new`: the difference less its bound on noise.
fn significant_fall(old: AttemptSum, new: AttemptSum, spread: f64) -> f64 {
    if old.received <= 0.0 || new.received <= 0.0 {
        return 0.0;
    }
    // Two attempts, one of them served, are added so that a fraction of 1 has a variance too (Agresti and Caffo, 2000).
    let adjusted_fraction = |sum: AttemptSum| (sum.served + 1.0) / (sum.received + 2.0);
    let (old_served, new_served) = (adjusted_fraction(old), adjusted_fraction(new));
    let variance =
        old_served * (1.0 - old_served) / old.received + new_served * (1.0 - new_served) / new.received;
    old_served - new_served - noise_bound(old.received.min(new.received)) * (variance * spread).sqrt()
}

/// Bound on noise at a count of attempts, in standard deviations.
fn noise_bound(attempts: f64) -> f64 {
    let iterated_logarithm = (std::f64::consts::E + attempts.max(1.0)).ln().ln();
    (2.0 * ((MAX_CELLS / FALSE_HALT_PROBABILITY).ln() + 1.4 * iterated_logarithm)).sqrt()
}

/// Returns about how many first attempts with the new version it takes to detect a fall by `fall` from the served fraction
/// `served`, given a much larger count with the old version; none if `fall` doesn't exceed `tolerated`.
pub fn attempts_needed(served: f64, fall: f64, tolerated: f64) -> Option<u64> {
    let excess = fall - tolerated;
    if excess <= 0.0 {
        return None;
    }
    let new = (served - fall).clamp(0.0, 1.0);
    let mut attempts = MIN_ATTEMPTS;
    while attempts < 1e9 {
        let variance = (new * (1.0 - new)).max(1.0 / attempts) / attempts;
        if noise_bound(attempts) * variance.sqrt() < excess {
            return Some(attempts.ceil() as u64);
        }
        attempts *= 1.02;
    }
    None
}

#[cfg(test)]
mod tests;
