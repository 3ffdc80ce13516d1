use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Guards against a busy connection taken for a resting one, and against one that is never found: beside a look at
/// all of them, and with memory that stays bounded.
#[test]
fn longest_idle_matches_a_full_scan() {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(9);
    println!("SEED={seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut idle = IdleConnections::default();
    // Since when each rests, and whether it spoke.
    let mut conns = BTreeMap::<ConnectionId, (Option<Time>, bool)>::new();
    for n in 0..50_000_u64 {
        let (now, conn) = (Time(n), rng.next_u64() % 40);
        match rng.next_u64() % 5 {
            0 => {
                idle.add(IdleEntry { since: now, connection: conn }, false);
                conns.insert(conn, (Some(now), false));
            }
            1 => drop(conns.remove(&conn)),
            2 => {
                conns.entry(conn).and_modify(|c| *c = (None, true));
            }
            _ => {
                if let Some(known) = conns.get_mut(&conn) {
                    *known = (Some(now), true);
                    idle.add(IdleEntry { since: now, connection: conn }, true);
                }
            }
        }
        let holds =
            |entry: IdleEntry, spoke| conns.get(&entry.connection) == Some(&(Some(entry.since), spoke));
        let odd = n % 2;
        let found = idle.longest(holds, |conn| conn % 2 == odd);
        for (found, spoke) in [(found.with_messages, true), (found.silent, false)] {
            let plain = conns.iter().filter(|(conn, c)| **conn % 2 != odd && c.1 == spoke);
            let plain =
                plain.filter_map(|(&connection, c)| Some(IdleEntry { since: c.0?, connection })).min();
            assert_eq!(found, plain);
        }
        idle.drop_stale(conns.len(), holds);
        assert!(idle.with_messages.len() + idle.silent.len() <= 4 * 40 + 2 * MIN_SWEPT_ENTRIES + 2);
    }
}
