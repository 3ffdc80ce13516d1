//! Random faults with changes of the membership, the leader's removal included: disks that are old copies, empty or torn,
//! kills, partitions, lost and duplicated messages. No voter panics, and voters that applied the same entry have the same
//! state.

mod common;

use common::{Disk, SimulatedGroup, add_server, name};
use gradepin_coordination::replicated_state::ReplicatedState;
use std::collections::BTreeMap;

/// Runs a group with random faults and membership changes. A panic of a voter fails the test.
fn run_random_changes(seed: u64) {
    let count = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut group = SimulatedGroup::new(count, seed);
    (group.loss, group.duplication) =
        (group.random_below(20) as f64 / 100.0, group.random_below(20) as f64 / 100.0);
    (group.max_latency_ms, group.write_latency_ms) = (1 + group.random_below(80), 1 + group.random_below(40));
    for _ in 0..2 {
        group.add_voter();
    }
    let server_count = group.voters.len();
    let mut states: BTreeMap<u64, ReplicatedState> = BTreeMap::new();
    let mut proposed = 0;
    for _ in 0..80 {
        let n = group.random_below(server_count as u64) as usize;
        match group.random_below(12) {
            0 => group.isolate(&[n]),
            1 => group.blocked_links.clear(),
            2 if group.voters[n].consensus.is_some() => group.kill(n),
            2 | 3 if group.voters[n].consensus.is_none() => {
                let disk = match group.random_below(8) {
                    1 => Disk::Empty,
                    2 | 3 => Disk::Torn,
                    _ => Disk::Intact,
                };
                group.restart(n, disk);
            }
            4 => group.voters[n].disk_full = !group.voters[n].disk_full,
            5 => group.voters[n].suspended = !group.voters[n].suspended,
            6 => group.copy_disk(n),
            7 | 8 => {
                // Any server, also the leader and present voters.
                let (id, adds) = (group.voters[n].id, group.random_below(2) == 0);
                if let Some(leader) = group.leader() {
                    let _ = group.consensus(leader).change_membership(id, adds.then(|| name(n)).as_ref());
                }
            }
            _ => {}
        }
        for _ in 0..4 {
            proposed += 1;
            group.propose(add_server(proposed % 900));
            let pause = 5 + group.random_below(150);
            group.run(pause);
            for voter in &group.voters {
                let Some(consensus) =
                    voter.consensus.as_ref().filter(|consensus| consensus.excluded().is_none())
                else {
                    continue;
                };
                let state = consensus.state();
                if state.index > 1 {
                    let known = states.entry(state.index).or_insert_with(|| state.clone());
                    assert_eq!(known, state, "seed {seed}: two states as of entry {}", state.index);
                }
            }
        }
    }
}

#[test]
fn random_membership_changes_stop_no_process() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        println!("seed {seed}");
        run_random_changes(seed);
    }
}
