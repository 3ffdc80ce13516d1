use super::*;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}

/// Datagrams pass within each side and from unknown addresses, but not between the sides.
#[test]
fn partition_separates_its_regions_from_the_others() {
    let regions = Regions::new((0..4).map(|n| (address(n), Region(n))));
    let cut = Cut::of([Region(3), Region(2)]);
    for (own, other, passes) in
        [(0, 1, true), (2, 3, true), (0, 3, false), (3, 0, false), (1, 2, false), (3, 9, true)]
    {
        assert_eq!(regions.passes(&cut, Region(own), address(other)), passes, "{own} to {other}");
        assert!(regions.passes(&Cut::default(), Region(own), address(other)));
    }
}
