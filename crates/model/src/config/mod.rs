//! Simulates the dissemination of configuration changes in a fleet: the real [`gradepin_config::dissemination`] on every
//! server, over simulated datagrams, with regions, zones, loss, partitions, killed servers, new servers with an empty
//! disk, and servers that send bad data.
//!
//!
//! Simplified parts: the consensus group (a change is committed while a majority of the voters is up and on one side of
//! a partition, and voters learn of it some milliseconds later), membership (changes are learned some seconds late), and
//! the cluster's datagrams, of which size, fragmentation and loss are kept. Late and duplicated messages are delivered,
//! although the cluster's replay window would drop them: dissemination must tolerate them.
//!
//!
//! A run compresses a day: ordinary changes and faults occur `compression` times as often, and one partition of a
//! region, burst, mass restart, rack failure and zone failure are added.

mod committed_log;
mod network;
mod script;
mod tamper;
mod traffic;
mod world;

pub use committed_log::CommittedLog;
pub use script::{Incident, Kind, scenario};
pub use world::play;

use gradepin_config::dissemination::{DisseminationSettings, Selection};

/// Largest permitted time in seconds until a committed change is in force.
pub const PROMISE_S: f64 = 14.0;
/// Resolution of [`Lags`] in seconds.
pub const LAG_STEP_S: f64 = 0.01;
/// Longer delays are counted as this many seconds.
const MOST_LAG_S: f64 = 60.0;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Seed of everything drawn.
    pub seed: u64,
    /// Number of servers; server `n` is in zone `n % zones`, and the first ones are the voters.
    pub servers: usize,
    /// Number of zones; zone `z` is in region `z % regions`.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of voters, each in a different zone.
    pub voters: usize,
    /// Duration in seconds. The last 20 s have no change and no fault.
    pub seconds: f64,
    /// Factor on the daily rates of changes, machine failures and restarts.
    pub compression: f64,
    /// Whether ordinary changes and faults occur.
    pub ordinary: bool,
    /// Additional incidents.
    pub incidents: Vec<Incident>,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Fraction of messages duplicated.
    pub doubled: f64,
    /// Fraction of messages delayed by up to 30 s.
    pub late: f64,
    /// Classes in the initial configuration.
    pub classes: usize,
    /// Tenants in the initial configuration.
    pub tenants: usize,
    /// Servers that send tampered messages; none of them is a voter.
    pub bad: usize,
    /// Settings of the dissemination.
    pub settings: DisseminationSettings,
}

impl Spec {
    /// A compressed ordinary day with all incidents.
    pub fn ordinary(seed: u64, servers: usize, seconds: f64, selection: Selection) -> Self {
        let zones = (servers / 4).clamp(1, 15);
        let mut spec = Self {
            seed,
            servers,
            zones,
            regions: zones.min(4),
            voters: if seed.is_multiple_of(2) { 5 } else { 3 },
            seconds,
            compression: 24.0,
            ordinary: true,
            incidents: Vec::new(),
            loss: 0.01,
            doubled: 0.01,
            late: 0.001,
            classes: 20,
            tenants: 200,
            bad: servers / 300,
            settings: DisseminationSettings { selection, ..DisseminationSettings::default() },
        };
        spec.incidents = scenario(&spec);
        spec
    }
}

/// Histogram of the times until changes were in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Lags {
    counts: Vec<u64>,
}

impl Lags {
    /// Adds a delay.
    pub fn add(&mut self, seconds: f64) {
        let place = (seconds.clamp(0.0, MOST_LAG_S) / LAG_STEP_S) as usize;
        if self.counts.len() <= place {
            self.counts.resize(place + 1, 0);
        }
        self.counts[place] += 1;
    }

    /// Adds the delays of another run.
    pub fn merge(&mut self, other: &Self) {
        self.counts.resize(self.counts.len().max(other.counts.len()), 0);
        self.counts.iter_mut().zip(&other.counts).for_each(|(sum, count)| *sum += count);
    }

    /// Number of delays.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Delay in seconds below which this fraction of the delays lies, rounded up to the resolution.
    pub fn quantile(&self, part: f64) -> f64 {
        let wanted = (self.count() as f64 * part).ceil() as u64;
        let mut sum = 0;
        let place = self.counts.iter().position(|count| {
            sum += count;
            sum >= wanted
        });
        place.map_or(0.0, |place| (place + 1) as f64 * LAG_STEP_S)
    }

    /// Largest delay in seconds.
    pub fn latest(&self) -> f64 {
        self.counts.len() as f64 * LAG_STEP_S
    }

    /// Number of delays longer than this many seconds.
    pub fn beyond(&self, seconds: f64) -> u64 {
        self.counts.iter().skip((seconds / LAG_STEP_S) as usize).sum()
    }
}

/// Bytes sent by servers, with envelopes and without IP and UDP headers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Bytes {
    /// Mean bytes per second of a server while it is up.
    pub mean_s: f64,
    /// Part of the mean: adverts, requests and rejections.
    pub small_s: f64,
    /// Part of the mean: commits.
    pub commits_s: f64,
    /// Part of the mean: snapshots.
    pub snapshots_s: f64,
    /// Largest number of bytes that any server sent in one second.
    pub most_s: f64,
    /// Mean bytes per second of the voters.
    pub voters_s: f64,
    /// Largest number of bytes that any voter sent in one second.
    pub voters_most_s: f64,
    /// Bytes that a server may send in a burst.
    pub limit: f64,
    /// Number of messages that exceeded a server's limit.
    pub over_limit: u64,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Number of changes committed.
    pub changes: usize,
    /// Delays until changes were in force on reachable servers.
    pub lags: Lags,
    /// Number of states that were no prefix of the committed log, and of revisions that decreased.
    pub broken: u64,
    /// Descriptions of the first of them.
    pub broken_first: Vec<String>,
    /// Servers that lacked a change at the end.
    pub behind_at_end: usize,
    /// Bytes sent.
    pub bytes: Bytes,
    /// Number of snapshots installed.
    pub installed: u64,
    /// Number of times that a source was quarantined.
    pub left_out: u64,
    /// Number of times that a good source was quarantined.
    pub left_out_wrongly: u64,
    /// Number of messages delivered.
    pub messages: u64,
}

impl Outcome {
    /// Whether the run met all guarantees.
    pub fn kept(&self) -> bool {
        self.broken == 0
            && self.behind_at_end == 0
            && self.lags.beyond(PROMISE_S) == 0
            && self.bytes.over_limit == 0
    }
}
