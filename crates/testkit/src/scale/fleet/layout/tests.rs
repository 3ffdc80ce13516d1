use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// Guards the target's shape: 15 zones in 4 regions, each zone in one region, none with two servers more than another.
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

/// Guards against two servers on one address, and against addresses outside the loopback network.
#[test]
fn no_two_servers_share_an_address() {
    let places = Shape::default().hollow(2_000, u32::MAX);
    let addresses: BTreeSet<SocketAddr> = places.iter().map(|place| place.address).collect();
    assert_eq!(addresses.len(), places.len());
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
}

/// Guards a cut in a small fleet: every region has servers, or there is nothing to cut.
#[test]
fn a_few_servers_stand_in_all_regions() {
    for servers in REGIONS..ZONES {
        let places = Shape::default().hollow(servers, 1);
        let regions: BTreeSet<Region> = places.iter().map(|place| place.region).collect();
        assert_eq!(regions.len(), REGIONS, "{servers}");
    }
}
