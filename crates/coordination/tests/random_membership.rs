//! Random faults with changes of the membership: disks that are old copies, empty or torn, kills, partitions, lost and duplicated
//! messages, also removal of the leader. No process stops, and voters that applied the same entry have the same state.

mod common;

use common::{Disk, World, enrol, name};
use gradepin_coordination::replicated_state::ReplicatedState;
use std::collections::BTreeMap;

/// A voter whose council ended would have ended the test.
fn play(seed: u64) {
    let count = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut world = World::new(count, seed);
    (world.loss, world.duplicated) = (world.draw(20) as f64 / 100.0, world.draw(20) as f64 / 100.0);
    (world.slow_ms, world.sync_ms) = (1 + world.draw(80), 1 + world.draw(40));
    for _ in 0..2 {
        world.add();
    }
    let all = world.voters.len();
    let mut states: BTreeMap<u64, ReplicatedState> = BTreeMap::new();
    let mut proposed = 0;
    for _ in 0..80 {
        let n = world.draw(all as u64) as usize;
        match world.draw(12) {
            0 => world.isolate(&[n]),
            1 => world.cut.clear(),
            2 if world.voters[n].consensus.is_some() => world.kill(n),
            2 | 3 if world.voters[n].consensus.is_none() => {
                let disk = match world.draw(8) {
                    1 => Disk::Empty,
                    2 | 3 => Disk::Torn,
                    _ => Disk::Kept,
                };
                world.start(n, disk);
            }
            4 => world.voters[n].full = !world.voters[n].full,
            5 => world.voters[n].stopped = !world.voters[n].stopped,
            6 => world.copy(n),
            7 | 8 => {
                // Anybody, the leader and those that are voters already among them.
                let (id, puts_in) = (world.voters[n].id, world.draw(2) == 0);
                if let Some(leader) = world.leader() {
                    let _ = world.consensus(leader).change_membership(id, puts_in.then(|| name(n)).as_ref());
                }
            }
            _ => {}
        }
        for _ in 0..4 {
            proposed += 1;
            world.propose(enrol(proposed % 900));
            let pause = 5 + world.draw(150);
            world.run(pause);
            for voter in &world.voters {
                let Some(consensus) =
                    voter.consensus.as_ref().filter(|consensus| consensus.excluded().is_none())
                else {
                    continue;
                };
                let record = consensus.state();
                if record.index > 1 {
                    let known = states.entry(record.index).or_insert_with(|| record.clone());
                    assert_eq!(known, record, "seed {seed}: two states of entry {}", record.index);
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
        play(seed);
    }
}
