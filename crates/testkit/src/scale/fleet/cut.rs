//! Regions that are cut from each other by the host's own way of sending: a datagram between two sides is dropped where it
//! would leave, and, as real daemons send by themselves, again where it arrives.

use super::layout::Region;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Regions that hear nothing of the others, and are not heard; those among them hear each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    apart: BTreeSet<Region>,
}

impl Cut {
    /// Cuts these regions from the others.
    pub fn of(regions: impl IntoIterator<Item = Region>) -> Self {
        Self { apart: regions.into_iter().collect() }
    }

    /// Whether a datagram passes between two regions.
    pub fn passes(&self, from: Region, to: Region) -> bool {
        self.apart.contains(&from) == self.apart.contains(&to)
    }
}

/// Which region an address lies in. A stranger's datagrams pass: a cut is between regions.
#[derive(Debug, Default)]
pub struct Regions {
    by_address: HashMap<SocketAddr, Region>,
}

impl Regions {
    /// The regions of these addresses.
    pub fn new(places: impl IntoIterator<Item = (SocketAddr, Region)>) -> Self {
        Self { by_address: places.into_iter().collect() }
    }

    /// Whether a datagram between a server of this region and this address passes.
    pub fn passes(&self, cut: &Cut, own: Region, other: SocketAddr) -> bool {
        self.by_address.get(&other).is_none_or(|region| cut.passes(own, *region))
    }
}

#[cfg(test)]
mod tests;
