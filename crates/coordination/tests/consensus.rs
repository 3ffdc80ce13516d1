//! The consensus group under random faults, by seeds: what was reported as committed stays committed, whatever is lost, killed or
//! forgotten.

mod common;

use common::{Disk, World, enrol, name};
use gradepin_coordination::replicated_state::{Command, CommandOutcome, PermitStage, Target};
use gradepin_coordination::replicated_state::{Limits, Purpose};

/// Proposes until it is told to be done.
fn agree(world: &mut World, command: &Command) -> CommandOutcome {
    for _ in 0..100 {
        world.led(10_000);
        if let Some(ticket) = world.propose(command.clone()) {
            for _ in 0..100 {
                world.run(10);
                if let Some(outcome) = world.outcomes.get(&ticket) {
                    return outcome.clone();
                }
            }
        } else {
            world.run(50);
        }
    }
    panic!("nothing is agreed on; {:?}", world.notes);
}

#[test]
fn elects_commits_and_survives_its_leader() {
    for count in [3, 5] {
        let mut world = World::new(count, 4);
        let first = world.led(6_000).expect("a leader");
        assert_eq!(agree(&mut world, &enrol(0)), CommandOutcome::Done);
        world.kill(first);
        let second = world.led(6_000).expect("another leader");
        assert_ne!(first, second);
        assert_eq!(agree(&mut world, &enrol(1)), CommandOutcome::Done);
        world.start(first, Disk::Kept);
        world.run(4_000);
        assert_eq!(world.state(first), world.state(second));
        assert_eq!(world.state(first).roster.len(), 2);
    }
}

/// A leader with the minority commits nothing and steps down; what it had proposed is dropped or committed, the same for all.
#[test]
fn leader_in_a_minority_commits_nothing() {
    let mut world = World::new(5, 9);
    let old = world.led(6_000).expect("a leader");
    agree(&mut world, &enrol(0));
    let with = (old + 1) % 5;
    world.isolate(&[old, with]);
    let ticket = {
        let id = world.voters[old].id;
        world.consensus(old).propose(77, enrol(1)).expect("it leads still");
        (id, 77)
    };
    world.run(6_000);
    assert_eq!(world.outcomes.get(&ticket), None);
    assert_eq!(world.consensus(old).leader_term(), None, "it hears no majority");
    assert!(world.consensus(old).propose(78, enrol(2)).is_err());
    let new = world.leader().expect("the others have one");
    assert!(new != old && new != with);
    agree(&mut world, &enrol(3));
    world.cut.clear();
    world.run(4_000);
    assert_eq!(world.state(old), world.state(new));
    assert!(!world.state(new).roster.contains_key(&name(1)));
}

/// All are killed and restart; one of three never does.
#[test]
fn group_restarts_without_one_of_three() {
    for seed in 0..10 {
        let mut world = World::new(3, seed);
        world.led(6_000).expect("a leader");
        for n in 0..10 {
            agree(&mut world, &enrol(n));
        }
        for n in 0..3 {
            world.kill(n);
        }
        world.run(1_000);
        let away = (seed % 3) as usize;
        for n in (0..3).filter(|n| *n != away) {
            world.start(n, if n == 0 { Disk::Torn } else { Disk::Kept });
        }
        world.led(10_000).expect("two of three are enough");
        agree(&mut world, &enrol(10));
        let leader = world.leader().unwrap();
        assert_eq!(world.state(leader).roster.len(), 11, "seed {seed}");
    }
}

/// An empty disk is no voter; an operator's command adds it, one change at a time, and removes the old one.
#[test]
fn empty_disk_has_no_vote_until_it_is_added() {
    let mut world = World::new(3, 5);
    world.led(6_000).expect("a leader");
    for n in 0..200 {
        agree(&mut world, &enrol(n));
    }
    let lost = (world.leader().unwrap() + 1) % 3;
    let old = world.voters[lost].id;
    world.kill(lost);
    world.start(lost, Disk::Empty);
    let fresh = world.voters[lost].id;
    world.run(5_000);
    assert!(!world.consensus(lost).is_founded(), "it is nobody");
    // With it and one of the others there is no majority.
    let leader = world.leader().unwrap();
    let third = 3 - leader - lost;
    world.isolate(&[third]);
    world.run(4_000);
    assert_eq!(world.leader(), None);
    world.cut.clear();
    let leader = world.led(6_000).unwrap();
    world.consensus(leader).change_membership(fresh, Some(&name(lost))).expect("one change");
    assert!(world.consensus(leader).change_membership(old, None).is_err(), "not two at a time");
    world.run(3_000);
    let leader = world.led(6_000).unwrap();
    world.consensus(leader).change_membership(old, None).expect("the next one");
    world.run(3_000);
    assert_eq!(world.state(lost), world.state(leader), "by a snapshot, as the log was cut");
    let voters: Vec<u64> = world.state(leader).voters.keys().copied().collect();
    assert!(voters.len() == 3 && voters.contains(&fresh) && !voters.contains(&old));
    // Now it counts.
    world.isolate(&[third]);
    world.run(4_000);
    world.led(4_000).expect("two of three");
    agree(&mut world, &enrol(300));
}

/// An old copy of a disk has forgotten entries that it acknowledged. The leader's heartbeat excludes it; until then it votes for
/// no candidate whose log is behind.
#[test]
fn old_copy_of_a_disk_is_excluded() {
    for seed in 0..40 {
        let mut world = World::new(3, seed);
        let leader = world.led(6_000).expect("a leader");
        agree(&mut world, &enrol(0));
        let (copied, behind) = ((leader + 1) % 3, (leader + 2) % 3);
        world.copy(copied);
        // Only these two agree on what comes, so the third can't make up for what is forgotten.
        world.isolate(&[behind]);
        for n in 1..8 {
            agree(&mut world, &enrol(n));
        }
        world.kill(copied);
        // The leader is away for a moment: the two others could elect one without what was agreed on.
        let (cut, kills) = (seed % 4 == 0, seed % 4 != 1);
        if kills && !cut {
            world.kill(leader);
            world.run(100);
        }
        world.start(copied, Disk::OldCopy);
        world.cut.clear();
        if cut {
            world.isolate(&[leader]);
            world.run(2_000);
            world.cut.clear();
        } else if kills {
            world.run(100 + 60 * seed);
            world.start(leader, Disk::Kept);
        }
        world.run(8_000);
        let now = world.led(6_000).expect("two of three have all");
        assert_eq!(world.state(now).roster.len(), 8, "seed {seed}: {:?}", world.notes);
        agree(&mut world, &enrol(9));
    }
}

/// A full disk: no message that depends on it leaves, the others continue, and the voter is back once there is space.
#[test]
fn full_disk_stops_only_its_voter() {
    let mut world = World::new(3, 8);
    let leader = world.led(6_000).expect("a leader");
    agree(&mut world, &enrol(0));
    world.voters[leader].full = true;
    let outcomes = world.outcomes.len();
    if let Some(ticket) = world.propose(enrol(1)) {
        world.run(300);
        let durable = world.voters[leader].durable.len();
        world.run(3_000);
        assert!(!world.outcomes.contains_key(&ticket) || world.outcomes.len() > outcomes);
        assert_eq!(world.voters[leader].durable.len(), durable);
    }
    let other = world.led(8_000).expect("another leads");
    assert_ne!(other, leader);
    for n in 2..20 {
        agree(&mut world, &enrol(n));
    }
    world.voters[leader].full = false;
    world.run(5_000);
    assert_eq!(world.state(leader), world.state(other));
}

/// After ten thousand entries the files hold a snapshot and some entries.
#[test]
fn stored_records_are_bounded() {
    let mut world = World::new(3, 3);
    world.led(6_000).expect("a leader");
    let mut most = 0;
    for n in 0..10_000 {
        world.propose(enrol(n % 9));
        if n % 8 == 0 {
            world.run(15);
        }
        most = most.max(world.voters.iter().map(|voter| voter.durable.len()).max().unwrap());
    }
    world.run(2_000);
    assert!(world.state(0).index > 5_000 && most < 800, "{} entries, {most} records", world.state(0).index);
}

/// The leader is killed between a grant's commit and its reply; the holder retries at another voter: one permit.
#[test]
fn repeated_request_after_a_lost_reply_gets_the_same_permit() {
    for seed in 0..20 {
        let mut world = World::new(3, seed);
        let leader = world.led(6_000).expect("a leader");
        let services = [].into();
        agree(&mut world, &Command::Limits(Limits { fleet: 1, zone: 1, zones: 0, services }));
        agree(&mut world, &enrol(0));
        agree(&mut world, &enrol(1));
        let reserve = |n: usize| {
            let (target, holder) = (Target::Server(name(n)), name(n));
            Command::Reserve { target, holder, incarnation: 1, purpose: Purpose::Drain }
        };
        let ticket = world.propose(reserve(0)).expect("it leads");
        // At any point between the proposal and the answer.
        world.run(5 * (1 + seed % 8));
        world.kill(leader);
        assert!(!world.outcomes.contains_key(&ticket) || seed % 8 > 2);
        let first = agree(&mut world, &reserve(0));
        let again = agree(&mut world, &reserve(0));
        assert!(
            matches!(first, CommandOutcome::Permit { stage: PermitStage::Reserved, .. }) && first == again,
            "{first:?}, {again:?}"
        );
        if let Some(outcomes) = world.outcomes.get(&ticket) {
            assert_eq!(*outcomes, first);
        }
        assert!(
            matches!(agree(&mut world, &reserve(1)), CommandOutcome::Denied(_)),
            "seed {seed}: two permits"
        );
        let now = world.leader().unwrap();
        assert_eq!(world.state(now).permits.len(), 1);
    }
}

/// Random faults on three and five voters: partitions, loss, duplicates, kills with intact and torn disks, full disks, stops. All
/// that was reported as done is in the state of the last leader, and in one order.
#[test]
fn committed_outcomes_survive_random_faults() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        println!("seed {seed}");
        let count = if seed % 3 == 0 { 5 } else { 3 };
        let mut world = World::new(count, seed);
        (world.loss, world.duplicated) = (world.draw(20) as f64 / 100.0, world.draw(20) as f64 / 100.0);
        (world.slow_ms, world.sync_ms) = (1 + world.draw(80), 1 + world.draw(40));
        let mut proposed = 0;
        for _ in 0..60 {
            let n = world.draw(count as u64) as usize;
            match world.draw(8) {
                0 => world.isolate(&[n]),
                1 => world.cut.clear(),
                2 if world.voters[n].consensus.is_some() => world.kill(n),
                2 | 3 if world.voters[n].consensus.is_none() => {
                    let disk = if world.draw(2) == 0 { Disk::Kept } else { Disk::Torn };
                    world.start(n, disk);
                }
                4 => world.voters[n].full = !world.voters[n].full,
                5 => world.voters[n].stopped = !world.voters[n].stopped,
                _ => {}
            }
            for _ in 0..5 {
                proposed += 1;
                world.propose(enrol(proposed % 900));
                let pause = 20 + world.draw(200);
                world.run(pause);
            }
        }
        world.cut.clear();
        (world.loss, world.duplicated) = (0.0, 0.0);
        for n in 0..count {
            (world.voters[n].full, world.voters[n].stopped) = (false, false);
            if world.voters[n].consensus.is_none() {
                world.start(n, Disk::Kept);
            }
        }
        world.run(6_000);
        let leader = world.led(10_000).expect("a leader once all is well");
        agree(&mut world, &enrol(901));
        world.run(2_000);
        for n in 0..count {
            assert_eq!(world.state(n), world.state(leader), "seed {seed}");
        }
        assert!(world.consensus(leader).excluded().is_none());
    }
}
