//! The limit on received datagrams.

use super::*;

/// Guards a server's CPU against a flood of datagrams, and checks that datagrams are admitted again after it.
#[test]
fn a_flood_is_limited_and_later_datagrams_are_admitted() {
    let mut limiter = RateLimiter::default();
    let admitted = (0..100_000_u64).filter(|n| limiter.admits(Time(1_000 * MS + n * 10_000))).count();
    assert_eq!(admitted, 10 * MAX_PER_WINDOW as usize, "in a second");
    assert!(limiter.admits(Time(2_100 * MS)));
}
