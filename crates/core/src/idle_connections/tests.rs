use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Compares the index with a full scan. Guards against busy connections that are taken for idle, idle ones that are
/// never found, and memory that grows without limit.
#[test]
fn longest_idle_matches_a_full_scan() {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(9);
    println!("SEED={seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut idle = IdleConnections::default();
    // For each connection, when it became idle and whether it has sent a message.
    let mut connections = BTreeMap::<ConnectionId, (Option<Time>, bool)>::new();
    for n in 0..50_000_u64 {
        let (now, connection) = (Time(n), rng.next_u64() % 40);
        match rng.next_u64() % 5 {
            0 => {
                idle.add(IdleEntry { since: now, connection }, false);
                connections.insert(connection, (Some(now), false));
            }
            1 => drop(connections.remove(&connection)),
            2 => {
                connections.entry(connection).and_modify(|c| *c = (None, true));
            }
            _ => {
                if let Some(state) = connections.get_mut(&connection) {
                    *state = (Some(now), true);
                    idle.add(IdleEntry { since: now, connection }, true);
                }
            }
        }
        let is_current = |entry: IdleEntry, sent_message| {
            connections.get(&entry.connection) == Some(&(Some(entry.since), sent_message))
        };
        let odd = n % 2;
        let found = idle.longest(is_current, |connection| connection % 2 == odd);
        for (found, sent_message) in [(found.with_messages, true), (found.silent, false)] {
            let scanned =
                connections.iter().filter(|(connection, c)| **connection % 2 != odd && c.1 == sent_message);
            let scanned =
                scanned.filter_map(|(&connection, c)| Some(IdleEntry { since: c.0?, connection })).min();
            assert_eq!(found, scanned);
        }
        idle.drop_stale(connections.len(), is_current);
        assert!(idle.with_messages.len() + idle.silent.len() <= 4 * 40 + 2 * STALE_ENTRY_SLACK + 2);
    }
}
