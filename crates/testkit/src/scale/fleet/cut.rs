//! Partitions between regions. A host drops datagrams between the two sides when it sends them and, because real daemons send
//! directly, also when it receives them.

use super::layout::Region;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Regions that are partitioned from all others but connected among themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    apart: BTreeSet<Region>,
}

impl Cut {
    /// Partitions these regions from the others.
    pub fn of(regions: impl IntoIterator<Item = Region>) -> Self {
        Self { apart: regions.into_iter().collect() }
    }

    /// Whether datagrams pass between two regions.
    pub fn passes(&self, from: Region, to: Region) -> bool {
        self.apart.contains(&from) == self.apart.contains(&to)
    }
}

/// Regions by address. Datagrams of unknown addresses always pass.
#[derive(Debug, Default)]
pub struct Regions {
    by_address: HashMap<SocketAddr, Region>,
}

impl Regions {
    /// Maps addresses to regions.
    pub fn new(places: impl IntoIterator<Item = (SocketAddr, Region)>) -> Self {
        Self { by_address: places.into_iter().collect() }
    }

    /// Whether datagrams pass between a server of region `own` and the address `other`.
    pub fn passes(&self, cut: &Cut, own: Region, other: SocketAddr) -> bool {
        self.by_address.get(&other).is_none_or(|region| cut.passes(own, *region))
    }
}

#[cfg(test)]
mod tests;
