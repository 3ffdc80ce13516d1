//! Network between servers: delay and loss of messages.

use super::Spec;
use crate::queue::{At, nanos};
use crate::streams::{chance, within};
use rand_pcg::Pcg64Mcg;

/// One-way delay in seconds within a zone, within a region, and between regions.
const ZONE_S: [f64; 2] = [0.000_1, 0.000_5];
const REGION_S: [f64; 2] = [0.000_7, 0.003];
const INTER_REGION_S: [f64; 2] = [0.02, 0.08];
/// Largest delay in seconds of a late message.
const MAX_LATE_S: f64 = 30.0;

/// Location of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// Number of the zone.
    pub zone: usize,
    /// Number of the region.
    pub region: usize,
}

/// Network of a run.
#[derive(Debug)]
pub struct Network {
    locations: Vec<Location>,
    /// Servers with different values are partitioned from each other.
    sides: Vec<u8>,
    loss: f64,
    doubled: f64,
    late: f64,
    piece_bytes: usize,
}

impl Network {
    /// Creates a network without partitions.
    pub fn new(spec: &Spec) -> Self {
        let location = |n: usize| {
            let zone = n % spec.zones.max(1);
            Location { zone, region: zone % spec.regions.max(1) }
        };
        Self {
            locations: (0..spec.servers).map(location).collect(),
            sides: vec![0; spec.servers],
            loss: spec.loss,
            doubled: spec.doubled,
            late: spec.late,
            piece_bytes: spec.settings.datagram_payload_bytes,
        }
    }

    /// Location of a server.
    pub fn location(&self, n: usize) -> Location {
        self.locations[n]
    }

    /// Moves servers to a side of the partition; side 0 is the main one.
    pub fn set_side(&mut self, servers: &[usize], side: u8) {
        servers.iter().for_each(|&n| self.sides[n] = side);
    }

    /// Whether two servers reach each other.
    pub fn reaches(&self, a: usize, b: usize) -> bool {
        self.sides[a] == self.sides[b]
    }

    /// Whether a server is cut off from the main side.
    pub fn is_cut_off(&self, n: usize) -> bool {
        self.sides[n] != 0
    }

    /// Draws the delay of a message.
    pub fn delay(&self, from: usize, to: usize, rng: &mut Pcg64Mcg) -> At {
        let (from, to) = (self.locations[from], self.locations[to]);
        let range = match () {
            () if from.zone == to.zone => ZONE_S,
            () if from.region == to.region => REGION_S,
            () => INTER_REGION_S,
        };
        nanos(within(rng, range))
    }

    /// Draws the delays after which a message arrives: none, one, or two if it is duplicated.
    pub fn arrivals(&self, from: usize, to: usize, bytes: usize, rng: &mut Pcg64Mcg) -> [Option<At>; 2] {
        let copies = if chance(rng, self.doubled) { 2 } else { 1 };
        let fragments = bytes.div_ceil(self.piece_bytes).max(1);
        let mut arrivals = [None; 2];
        for arrival in arrivals.iter_mut().take(copies) {
            let whole = (0..fragments).all(|_| !chance(rng, self.loss));
            if whole && self.reaches(from, to) {
                let late = if chance(rng, self.late) { nanos(within(rng, [0.0, MAX_LATE_S])) } else { 0 };
                *arrival = Some(self.delay(from, to, rng) + late);
            }
        }
        arrivals
    }
}
