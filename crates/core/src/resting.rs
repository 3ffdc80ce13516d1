//! Which connection has rested longest: an index in place of a look at all of them for each newcomer.
//!
//! A connection is put in whenever it comes to rest. It is not taken out when it speaks again; the entry is then stale
//! and is dropped when it comes to the front. Stale ones are swept out when they outnumber the connections, so the
//! memory stays within twice the places, and each message pays for a constant part of it.

use crate::messages::ConnectionId;
use gradepin_admission::Time;
use std::collections::VecDeque;

/// Entries that are not worth a sweep.
const FEW: usize = 64;

/// Connections at rest, those that once spoke and those that never did, each in the order of their last word.
#[derive(Debug, Default)]
pub struct Resting {
    spoke: VecDeque<(Time, ConnectionId)>,
    silent: VecDeque<(Time, ConnectionId)>,
}

impl Resting {
    /// A connection rests since then. Times must not go back.
    pub fn rests(&mut self, conn: ConnectionId, since: Time, spoke: bool) {
        if spoke { &mut self.spoke } else { &mut self.silent }.push_back((since, conn));
    }

    /// The ones that rested longest among those that spoke and among those that never did. `holds` says whether one
    /// still rests since a time; `skip` leaves one out for now.
    pub fn longest(
        &mut self,
        holds: impl Fn(ConnectionId, Time, bool) -> bool,
        skip: impl Fn(ConnectionId) -> bool,
    ) -> [Option<(Time, ConnectionId)>; 2] {
        [(&mut self.spoke, true), (&mut self.silent, false)].map(|(queue, spoke)| {
            while queue.front().is_some_and(|&(since, conn)| !holds(conn, since, spoke)) {
                queue.pop_front();
            }
            queue.iter().find(|(since, conn)| !skip(*conn) && holds(*conn, *since, spoke)).copied()
        })
    }

    /// Sweeps stale entries out once they outnumber so many connections.
    pub fn tidy(&mut self, connections: usize, holds: impl Fn(ConnectionId, Time, bool) -> bool) {
        for (queue, spoke) in [(&mut self.spoke, true), (&mut self.silent, false)] {
            if queue.len() > 2 * connections + FEW {
                queue.retain(|&(since, conn)| holds(conn, since, spoke));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_pcg::Pcg64Mcg;
    use rand_pcg::rand_core::{Rng, SeedableRng};
    use std::collections::BTreeMap;

    /// Guards against a busy connection taken for a resting one, and against one that is never found: beside a look at
    /// all of them, and with memory that stays bounded.
    #[test]
    fn it_finds_what_a_look_at_all_finds() {
        let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(9);
        println!("SEED={seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut resting = Resting::default();
        // Since when each rests, and whether it spoke.
        let mut conns = BTreeMap::<ConnectionId, (Option<Time>, bool)>::new();
        for n in 0..50_000_u64 {
            let (now, conn) = (Time(n), rng.next_u64() % 40);
            match rng.next_u64() % 5 {
                0 => {
                    resting.rests(conn, now, false);
                    conns.insert(conn, (Some(now), false));
                }
                1 => drop(conns.remove(&conn)),
                2 => {
                    conns.entry(conn).and_modify(|c| *c = (None, true));
                }
                _ => {
                    if let Some(known) = conns.get_mut(&conn) {
                        *known = (Some(now), true);
                        resting.rests(conn, now, true);
                    }
                }
            }
            let holds = |conn, since, spoke| conns.get(&conn) == Some(&(Some(since), spoke));
            let odd = n % 2;
            let found = resting.longest(holds, |conn| conn % 2 == odd);
            for (found, spoke) in found.into_iter().zip([true, false]) {
                let plain = conns.iter().filter(|(conn, c)| **conn % 2 != odd && c.1 == spoke);
                let plain = plain.filter_map(|(&conn, c)| Some((c.0?, conn))).min();
                assert_eq!(found, plain);
            }
            resting.tidy(conns.len(), holds);
            assert!(resting.spoke.len() + resting.silent.len() <= 4 * 40 + 2 * FEW + 2);
        }
    }
}
