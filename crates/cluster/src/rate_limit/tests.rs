//! The bound on datagrams that are looked at.

use super::*;

/// Guards the CPU of a server from a stranger's flood, and the fleet from being shut out once it is over.
#[test]
fn a_flood_is_held_to_its_rate() {
    let mut limiter = RateLimiter::default();
    let taken = (0..100_000_u64).filter(|n| limiter.admits(Time(1_000 * MS + n * 10_000))).count();
    assert_eq!(taken, 10 * MAX_PER_WINDOW as usize, "in a second");
    assert!(limiter.admits(Time(2_100 * MS)));
}
