use super::*;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}

/// Guards the cut of a region: nothing passes to or from it, all passes within either side, and strangers aren't cut.
#[test]
fn a_cut_is_between_its_regions_and_the_others() {
    let regions = Regions::new((0..4).map(|n| (address(n), Region(n))));
    let cut = Cut::of([Region(3), Region(2)]);
    for (own, other, passes) in
        [(0, 1, true), (2, 3, true), (0, 3, false), (3, 0, false), (1, 2, false), (3, 9, true)]
    {
        assert_eq!(regions.passes(&cut, Region(own), address(other)), passes, "{own} to {other}");
        assert!(regions.passes(&Cut::default(), Region(own), address(other)));
    }
}
