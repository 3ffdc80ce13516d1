//! How changes of the configuration reach a fleet, over modelled datagrams: the real [`gradepin_config::dissemination`] on
//! every server, with regions, zones, loss, cuts, kills, newcomers with an empty disk and servers that serve bad data.
//!
//! What is modelled and not real: the consensus group (a change is committed when a majority of the voters is up and on one
//! side of the cut, and voters learn it some milliseconds later), membership (who is up is learned some seconds late), and
//! the cluster's datagrams, of which the size, the fragments and their loss are kept. Nothing here drops what is late or
//! doubled, as the cluster's replay window would: dissemination has to stand it.
//!
//! A day is compressed: what happens in an ordinary day happens so many times as often, and a region split, a burst, a mass
//! restart, a rack and a zone come on top, once each.

mod network;
mod script;
mod tamper;
mod traffic;
mod truth;
mod world;

pub use script::{Incident, Kind, scenario};
pub use truth::Truth;
pub use world::play;

use gradepin_config::dissemination::{DisseminationSettings, Selection};

/// A committed change has to be in force within this long.
pub const PROMISE_S: f64 = 14.0;
/// Lags are counted in steps of so many seconds.
pub const LAG_STEP_S: f64 = 0.01;
/// Longer ones count as this long.
const MOST_LAG_S: f64 = 60.0;

/// A day to be played.
#[derive(Debug, Clone)]
pub struct Spec {
    /// For everything that is drawn.
    pub seed: u64,
    /// Servers; server `n` is in zone `n % zones`, and the first ones are the voters.
    pub servers: usize,
    /// Zones; zone `z` is in region `z % regions`.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// Voters, each in another zone.
    pub voters: usize,
    /// How long it lasts. The last 20 s bring no change and no fault.
    pub seconds: f64,
    /// Changes, machines lost and restarts come so many times as often as on an ordinary day.
    pub compression: f64,
    /// Whether ordinary changes and faults happen at all.
    pub ordinary: bool,
    /// What happens beside.
    pub incidents: Vec<Incident>,
    /// The part of datagrams that is lost.
    pub loss: f64,
    /// The part of messages that comes twice.
    pub doubled: f64,
    /// The part of messages that comes up to 30 s late.
    pub late: f64,
    /// Classes and tenants that the day begins with.
    pub classes: usize,
    /// See `classes`.
    pub tenants: usize,
    /// Servers whose answers are tampered with; none of them a voter.
    pub bad: usize,
    /// Of dissemination.
    pub settings: DisseminationSettings,
}

impl Spec {
    /// An ordinary day of so many servers, with the incidents.
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

/// How long changes took to be in force, counted in steps.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Lags {
    counts: Vec<u64>,
}

impl Lags {
    /// One more.
    pub fn add(&mut self, seconds: f64) {
        let place = (seconds.clamp(0.0, MOST_LAG_S) / LAG_STEP_S) as usize;
        if self.counts.len() <= place {
            self.counts.resize(place + 1, 0);
        }
        self.counts[place] += 1;
    }

    /// Those of another day.
    pub fn merge(&mut self, other: &Self) {
        self.counts.resize(self.counts.len().max(other.counts.len()), 0);
        self.counts.iter_mut().zip(&other.counts).for_each(|(sum, count)| *sum += count);
    }

    /// How many.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// The time in seconds within which this part of them is, to the end of its step.
    pub fn quantile(&self, part: f64) -> f64 {
        let wanted = (self.count() as f64 * part).ceil() as u64;
        let mut sum = 0;
        let place = self.counts.iter().position(|count| {
            sum += count;
            sum >= wanted
        });
        place.map_or(0.0, |place| (place + 1) as f64 * LAG_STEP_S)
    }

    /// The latest one in seconds.
    pub fn latest(&self) -> f64 {
        self.counts.len() as f64 * LAG_STEP_S
    }

    /// How many took longer.
    pub fn beyond(&self, seconds: f64) -> u64 {
        self.counts.iter().skip((seconds / LAG_STEP_S) as usize).sum()
    }
}

/// Bytes that servers sent, with envelopes and without the headers of IP and UDP.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Bytes {
    /// A second of a server that is up, in the mean.
    pub mean_s: f64,
    /// Of these, adverts, requests and refusals.
    pub small_s: f64,
    /// Of these, commits.
    pub commits_s: f64,
    /// Of these, parts of snapshots.
    pub snapshots_s: f64,
    /// The most of any server in one second.
    pub most_s: f64,
    /// The mean of the voters.
    pub voters_s: f64,
    /// The most of any voter in one second.
    pub voters_most_s: f64,
    /// What a server may send in a second at a burst.
    pub limit: f64,
    /// Times that a server was above its limit.
    pub over_limit: u64,
}

/// What a day came to.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Changes committed.
    pub changes: usize,
    /// Times until a change was in force on a server that was reachable.
    pub lags: Lags,
    /// States that were no prefix of the committed log, and revisions that fell; the first few in words.
    pub broken: u64,
    /// See `broken`.
    pub broken_first: Vec<String>,
    /// Servers that didn't have all changes at the end.
    pub behind_at_end: usize,
    /// Bytes.
    pub bytes: Bytes,
    /// Snapshots installed.
    pub installed: u64,
    /// Times that a source was left out; how many of them were servers that are not bad.
    pub left_out: u64,
    /// See `left_out`.
    pub left_out_wrongly: u64,
    /// Messages delivered.
    pub messages: u64,
}

impl Outcome {
    /// Whether all that is promised was kept.
    pub fn kept(&self) -> bool {
        self.broken == 0
            && self.behind_at_end == 0
            && self.lags.beyond(PROMISE_S) == 0
            && self.bytes.over_limit == 0
    }
}
