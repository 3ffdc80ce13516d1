//! Where the servers of a fleet stand: names, loopback addresses, zones and regions.
//!
//! Servers are dealt to zones in turn, and zones to regions in blocks, so that each zone has as many servers as any other
//! (or one more) and lies in one region.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Zones and regions of the target fleet.
pub const ZONES: usize = 15;
/// See [`ZONES`].
pub const REGIONS: usize = 4;
/// Addresses of one loopback network that are used before the next port is.
const ADDRESSES_A_PORT: usize = 250;
/// The first port of hollow servers.
const FIRST_PORT: u16 = 20_000;

/// A region, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Region(pub u8);

/// Zones and regions of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// How many zones.
    pub zones: usize,
    /// How many regions.
    pub regions: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { zones: ZONES, regions: REGIONS }
    }
}

/// Where one server stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: Region,
}

impl Shape {
    /// The region of a zone: zones are cut into blocks that differ by one at the most.
    pub fn region(self, zone: usize) -> Region {
        Region((zone * self.regions / self.zones.max(1)) as u8)
    }

    /// What a zone is called.
    pub fn zone_name(self, zone: usize) -> String {
        format!("r{}-z{zone}", self.region(zone).0)
    }

    /// Zones of the first region, where the real daemons stand.
    pub fn zones_of_first(self) -> usize {
        (0..self.zones).filter(|zone| self.region(*zone) == Region(0)).count().max(1)
    }

    /// Places for so many hollow servers; `salt` keeps the addresses of two runs at a time apart.
    pub fn hollow(self, servers: usize, salt: u32) -> Vec<Place> {
        let zones = self.zones.max(1);
        // Fewer servers than zones are spread over all regions, rather than filling the first.
        let spread = |n: usize| (2 * n + 1) * zones / (2 * servers);
        let zone = |n: usize| if servers < zones { spread(n) } else { n % zones };
        let place = |n: usize| Place {
            name: format!("h{n}"),
            address: address(n, salt),
            zone: self.zone_name(zone(n)),
            region: self.region(zone(n)),
        };
        (0..servers).map(place).collect()
    }
}

/// The address of a hollow server: the networks from 127.128 on, which the kit's fleets of daemons don't use.
fn address(n: usize, salt: u32) -> SocketAddr {
    let [_, _, high, low] = salt.to_be_bytes();
    let host = (1 + n % ADDRESSES_A_PORT) as u8;
    let port = FIRST_PORT + (n / ADDRESSES_A_PORT) as u16;
    SocketAddr::from(([127, 128 + high % 64, low, host], port))
}

#[cfg(test)]
mod tests;
