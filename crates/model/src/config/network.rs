//! Datagrams between servers: how long they take, and which arrive.

use super::Spec;
use crate::queue::{At, nanos};
use crate::streams::{chance, within};
use rand_pcg::Pcg64Mcg;

/// One way in seconds: in a zone, in a region, between regions.
const ZONE_S: [f64; 2] = [0.000_1, 0.000_5];
const REGION_S: [f64; 2] = [0.000_7, 0.003];
const FAR_S: [f64; 2] = [0.02, 0.08];
/// The most that a message is late, where it is.
const LATE_S: f64 = 30.0;

/// Where a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: usize,
    /// Its region.
    pub region: usize,
}

/// The network of a day.
#[derive(Debug)]
pub struct Network {
    places: Vec<Place>,
    /// Servers of another side don't reach each other.
    sides: Vec<u8>,
    loss: f64,
    doubled: f64,
    late: f64,
    piece_bytes: usize,
}

impl Network {
    /// With all in reach.
    pub fn new(spec: &Spec) -> Self {
        let place = |n: usize| {
            let zone = n % spec.zones.max(1);
            Place { zone, region: zone % spec.regions.max(1) }
        };
        Self {
            places: (0..spec.servers).map(place).collect(),
            sides: vec![0; spec.servers],
            loss: spec.loss,
            doubled: spec.doubled,
            late: spec.late,
            piece_bytes: spec.settings.datagram_payload_bytes,
        }
    }

    /// Where a server is.
    pub fn place(&self, n: usize) -> Place {
        self.places[n]
    }

    /// Cuts some servers off from the others, or takes them back.
    pub fn set_side(&mut self, servers: &[usize], side: u8) {
        servers.iter().for_each(|&n| self.sides[n] = side);
    }

    /// Whether two servers reach each other.
    pub fn reaches(&self, a: usize, b: usize) -> bool {
        self.sides[a] == self.sides[b]
    }

    /// Whether a server is cut off.
    pub fn is_cut_off(&self, n: usize) -> bool {
        self.sides[n] != 0
    }

    /// How long a message takes from one server to another.
    pub fn delay(&self, from: usize, to: usize, rng: &mut Pcg64Mcg) -> At {
        let (from, to) = (self.places[from], self.places[to]);
        let range = match () {
            () if from.zone == to.zone => ZONE_S,
            () if from.region == to.region => REGION_S,
            () => FAR_S,
        };
        nanos(within(rng, range))
    }

    /// After which times a message of so many bytes arrives: none, one or two.
    pub fn arrivals(&self, from: usize, to: usize, bytes: usize, rng: &mut Pcg64Mcg) -> [Option<At>; 2] {
        let copies = if chance(rng, self.doubled) { 2 } else { 1 };
        let pieces = bytes.div_ceil(self.piece_bytes).max(1);
        let mut arrivals = [None; 2];
        for arrival in arrivals.iter_mut().take(copies) {
            let whole = (0..pieces).all(|_| !chance(rng, self.loss));
            if whole && self.reaches(from, to) {
                let late = if chance(rng, self.late) { nanos(within(rng, [0.0, LATE_S])) } else { 0 };
                *arrival = Some(self.delay(from, to, rng) + late);
            }
        }
        arrivals
    }
}
