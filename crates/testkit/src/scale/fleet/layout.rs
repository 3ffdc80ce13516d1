//! Names, loopback addresses, zones and regions of the servers of a fleet.
//!
//! Servers are assigned to zones round robin, and zones to regions in blocks. So the sizes of zones differ by at most one, and
//! each zone lies in one region.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number of zones of the target fleet.
pub const ZONES: usize = 15;
/// Number of regions of the target fleet.
pub const REGIONS: usize = 4;
/// Number of loopback addresses used per port.
const ADDRESSES_PER_PORT: usize = 250;
/// First port of hollow servers.
const FIRST_PORT: u16 = 20_000;

/// Region number, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Region(pub u8);

/// Numbers of zones and regions of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { zones: ZONES, regions: REGIONS }
    }
}

/// Name, address and location of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Server name.
    pub name: String,
    /// Gossip address.
    pub address: SocketAddr,
    /// Zone name.
    pub zone: String,
    /// Region of the zone.
    pub region: Region,
}

impl Shape {
    /// Region of a zone. The numbers of zones per region differ by at most one.
    pub fn region(self, zone: usize) -> Region {
        Region((zone * self.regions / self.zones.max(1)) as u8)
    }

    /// Name of a zone.
    pub fn zone_name(self, zone: usize) -> String {
        format!("r{}-z{zone}", self.region(zone).0)
    }

    /// Number of zones in the first region, which has the real daemons.
    pub fn zones_of_first(self) -> usize {
        (0..self.zones).filter(|zone| self.region(*zone) == Region(0)).count().max(1)
    }

    /// Places of `servers` hollow servers; `salt` gives concurrent runs different addresses.
    pub fn hollow(self, servers: usize, salt: u32) -> Vec<Place> {
        let zones = self.zones.max(1);
        // Fewer servers than zones are spread over all regions instead of filling the first.
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

/// Address of a hollow server, in networks from 127.128 on, which fleets of daemons don't use.
fn address(n: usize, salt: u32) -> SocketAddr {
    let [_, _, high, low] = salt.to_be_bytes();
    let host = (1 + n % ADDRESSES_PER_PORT) as u8;
    let port = FIRST_PORT + (n / ADDRESSES_PER_PORT) as u16;
    SocketAddr::from(([127, 128 + high % 64, low, host], port))
}

#[cfg(test)]
mod tests;
