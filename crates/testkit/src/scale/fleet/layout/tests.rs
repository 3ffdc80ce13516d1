use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// The target fleet has 15 zones in 4 regions; each zone is in one region, and zone sizes differ by at most one.
#[test]
fn servers_are_spread_evenly_over_zones_and_regions() {
    let shape = Shape::default();
    let places = shape.hollow(1_097, 0x1234);
    let mut zones: BTreeMap<&str, (usize, BTreeSet<Region>)> = BTreeMap::new();
    for place in &places {
        let zone = zones.entry(&place.zone).or_default();
        zone.0 += 1;
        zone.1.insert(place.region);
    }
    assert_eq!(zones.len(), ZONES);
    assert!(zones.values().all(|(servers, regions)| (73..=74).contains(servers) && regions.len() == 1));
    let regions: BTreeSet<Region> = places.iter().map(|place| place.region).collect();
    assert_eq!(regions.len(), REGIONS);
}

/// Addresses are unique and inside the loopback network.
#[test]
fn no_two_servers_share_an_address() {
    let places = Shape::default().hollow(2_000, u32::MAX);
    let addresses: BTreeSet<SocketAddr> = places.iter().map(|place| place.address).collect();
    assert_eq!(addresses.len(), places.len());
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
}

/// Every region of a small fleet has servers, because an empty region can't be partitioned.
#[test]
fn few_servers_are_spread_over_all_regions() {
    for servers in REGIONS..ZONES {
        let places = Shape::default().hollow(servers, 1);
        let regions: BTreeSet<Region> = places.iter().map(|place| place.region).collect();
        assert_eq!(regions.len(), REGIONS, "{servers}");
    }
}
