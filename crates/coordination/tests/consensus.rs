//! The consensus group under lost messages, killed voters and damaged disks: outcomes that were reported as committed stay
//! committed.

mod common;

use common::{Disk, SimulatedGroup, add_server, name};
use gradepin_coordination::replicated_state::{Command, CommandOutcome, PermitStage, Target};
use gradepin_coordination::replicated_state::{Limits, Purpose};

/// Proposes a command until it has an outcome.
fn commit_command(group: &mut SimulatedGroup, command: &Command) -> CommandOutcome {
    for _ in 0..100 {
        group.run_until_leader(10_000);
        if let Some(ticket) = group.propose(command.clone()) {
            for _ in 0..100 {
                group.run(10);
                if let Some(outcome) = group.outcomes.get(&ticket) {
                    return outcome.clone();
                }
            }
        } else {
            group.run(50);
        }
    }
    panic!("no command is committed; {:?}", group.log_lines);
}

#[test]
fn elects_commits_and_survives_its_leader() {
    for count in [3, 5] {
        let mut group = SimulatedGroup::new(count, 4);
        let first = group.run_until_leader(6_000).expect("a leader");
        assert_eq!(commit_command(&mut group, &add_server(0)), CommandOutcome::Done);
        group.kill(first);
        let second = group.run_until_leader(6_000).expect("another leader");
        assert_ne!(first, second);
        assert_eq!(commit_command(&mut group, &add_server(1)), CommandOutcome::Done);
        group.restart(first, Disk::Intact);
        group.run(4_000);
        assert_eq!(group.state(first), group.state(second));
        assert_eq!(group.state(first).roster.len(), 2);
    }
}

/// A leader in a minority commits nothing and steps down; its proposals are dropped in favour of the new leader's.
#[test]
fn leader_in_a_minority_commits_nothing() {
    let mut group = SimulatedGroup::new(5, 9);
    let old = group.run_until_leader(6_000).expect("a leader");
    commit_command(&mut group, &add_server(0));
    let companion = (old + 1) % 5;
    group.isolate(&[old, companion]);
    let ticket = {
        let id = group.voters[old].id;
        group.consensus(old).propose(77, add_server(1)).expect("the old leader still leads");
        (id, 77)
    };
    group.run(6_000);
    assert_eq!(group.outcomes.get(&ticket), None);
    assert_eq!(group.consensus(old).leader_term(), None, "a leader without a majority steps down");
    assert!(group.consensus(old).propose(78, add_server(2)).is_err());
    let new = group.leader().expect("the majority elects a leader");
    assert!(new != old && new != companion);
    commit_command(&mut group, &add_server(3));
    group.blocked_links.clear();
    group.run(4_000);
    assert_eq!(group.state(old), group.state(new));
    assert!(!group.state(new).roster.contains_key(&name(1)));
}

/// All voters are killed, and two of three restart, one of them possibly with a torn write.
#[test]
fn group_restarts_without_one_of_three() {
    for seed in 0..10 {
        let mut group = SimulatedGroup::new(3, seed);
        group.run_until_leader(6_000).expect("a leader");
        for n in 0..10 {
            commit_command(&mut group, &add_server(n));
        }
        for n in 0..3 {
            group.kill(n);
        }
        group.run(1_000);
        let missing = (seed % 3) as usize;
        for n in (0..3).filter(|n| *n != missing) {
            group.restart(n, if n == 0 { Disk::Torn } else { Disk::Intact });
        }
        group.run_until_leader(10_000).expect("two of three elect a leader");
        commit_command(&mut group, &add_server(10));
        let leader = group.leader().unwrap();
        assert_eq!(group.state(leader).roster.len(), 11, "seed {seed}");
    }
}

/// A voter whose disk was lost has no vote with its empty disk. Operator commands add the new identity and remove the old one,
/// one change at a time.
#[test]
fn empty_disk_has_no_vote_until_it_is_added() {
    let mut group = SimulatedGroup::new(3, 5);
    group.run_until_leader(6_000).expect("a leader");
    for n in 0..200 {
        commit_command(&mut group, &add_server(n));
    }
    let lost = (group.leader().unwrap() + 1) % 3;
    let old = group.voters[lost].id;
    group.kill(lost);
    group.restart(lost, Disk::Empty);
    let replacement = group.voters[lost].id;
    group.run(5_000);
    assert!(!group.consensus(lost).is_founded(), "a server with an empty disk is no voter");
    // The empty disk and one voter are no majority.
    let leader = group.leader().unwrap();
    let third = 3 - leader - lost;
    group.isolate(&[third]);
    group.run(4_000);
    assert_eq!(group.leader(), None);
    group.blocked_links.clear();
    let leader = group.run_until_leader(6_000).unwrap();
    group
        .consensus(leader)
        .change_membership(replacement, Some(&name(lost)))
        .expect("the addition is proposed");
    assert!(group.consensus(leader).change_membership(old, None).is_err(), "only one change at a time");
    group.run(3_000);
    let leader = group.run_until_leader(6_000).unwrap();
    group.consensus(leader).change_membership(old, None).expect("the removal is proposed");
    group.run(3_000);
    assert_eq!(
        group.state(lost),
        group.state(leader),
        "the new voter catches up by a snapshot, as the log is compacted"
    );
    let voters: Vec<u64> = group.state(leader).voters.keys().copied().collect();
    assert!(voters.len() == 3 && voters.contains(&replacement) && !voters.contains(&old));
    // The replacement and the leader are a majority now.
    group.isolate(&[third]);
    group.run(4_000);
    group.run_until_leader(4_000).expect("two of three elect a leader");
    commit_command(&mut group, &add_server(300));
}

/// An old copy of a disk lacks entries that its voter acknowledged. Until the leader's heartbeat excludes the voter, it must
/// not vote for a candidate that lacks committed entries.
#[test]
fn old_copy_of_a_disk_loses_no_committed_entry() {
    for seed in 0..40 {
        let mut group = SimulatedGroup::new(3, seed);
        let leader = group.run_until_leader(6_000).expect("a leader");
        commit_command(&mut group, &add_server(0));
        let (copied, behind) = ((leader + 1) % 3, (leader + 2) % 3);
        group.copy_disk(copied);
        // Only the leader and the copied voter have the next entries, so the third voter can't replace the lost ones.
        group.isolate(&[behind]);
        for n in 1..8 {
            commit_command(&mut group, &add_server(n));
        }
        group.kill(copied);
        // The leader is absent for a while: the two others could elect a leader without the committed entries.
        let (isolates, kills) = (seed % 4 == 0, seed % 4 != 1);
        if kills && !isolates {
            group.kill(leader);
            group.run(100);
        }
        group.restart(copied, Disk::OldCopy);
        group.blocked_links.clear();
        if isolates {
            group.isolate(&[leader]);
            group.run(2_000);
            group.blocked_links.clear();
        } else if kills {
            group.run(100 + 60 * seed);
            group.restart(leader, Disk::Intact);
        }
        group.run(8_000);
        let new_leader = group.run_until_leader(6_000).expect("a voter with all committed entries leads");
        assert_eq!(group.state(new_leader).roster.len(), 8, "seed {seed}: {:?}", group.log_lines);
        commit_command(&mut group, &add_server(9));
    }
}

/// A voter with a full disk sends no message that depends on a write. The others continue, and the voter catches up once there
/// is space.
#[test]
fn full_disk_stops_only_its_voter() {
    let mut group = SimulatedGroup::new(3, 8);
    let leader = group.run_until_leader(6_000).expect("a leader");
    commit_command(&mut group, &add_server(0));
    group.voters[leader].disk_full = true;
    let outcomes = group.outcomes.len();
    if let Some(ticket) = group.propose(add_server(1)) {
        group.run(300);
        let durable = group.voters[leader].durable.len();
        group.run(3_000);
        assert!(!group.outcomes.contains_key(&ticket) || group.outcomes.len() > outcomes);
        assert_eq!(group.voters[leader].durable.len(), durable);
    }
    let other = group.run_until_leader(8_000).expect("another voter leads");
    assert_ne!(other, leader);
    for n in 2..20 {
        commit_command(&mut group, &add_server(n));
    }
    group.voters[leader].disk_full = false;
    group.run(5_000);
    assert_eq!(group.state(leader), group.state(other));
}

/// After ten thousand proposals the files have a snapshot and few entries: guards against a log that is never compacted.
#[test]
fn stored_records_are_bounded() {
    let mut group = SimulatedGroup::new(3, 3);
    group.run_until_leader(6_000).expect("a leader");
    let mut max_records = 0;
    for n in 0..10_000 {
        group.propose(add_server(n % 9));
        if n % 8 == 0 {
            group.run(15);
        }
        max_records = max_records.max(group.voters.iter().map(|voter| voter.durable.len()).max().unwrap());
    }
    group.run(2_000);
    assert!(
        group.state(0).index > 5_000 && max_records < 800,
        "{} entries, {max_records} records",
        group.state(0).index
    );
}

/// The leader is killed at some point between the proposal of a reservation and its reply. The holder retries at another leader
/// and must get one permit, not two.
#[test]
fn repeated_request_after_a_lost_reply_gets_the_same_permit() {
    for seed in 0..20 {
        let mut group = SimulatedGroup::new(3, seed);
        let leader = group.run_until_leader(6_000).expect("a leader");
        let services = [].into();
        commit_command(&mut group, &Command::Limits(Limits { fleet: 1, zone: 1, zones: 0, services }));
        commit_command(&mut group, &add_server(0));
        commit_command(&mut group, &add_server(1));
        let reserve = |n: usize| {
            let (target, holder) = (Target::Server(name(n)), name(n));
            Command::Reserve { target, holder, incarnation: 1, purpose: Purpose::Drain }
        };
        let ticket = group.propose(reserve(0)).expect("the leader accepts the proposal");
        // Each seed kills the leader at another point after the proposal.
        group.run(5 * (1 + seed % 8));
        group.kill(leader);
        assert!(!group.outcomes.contains_key(&ticket) || seed % 8 > 2);
        let first = commit_command(&mut group, &reserve(0));
        let repeated = commit_command(&mut group, &reserve(0));
        assert!(
            matches!(first, CommandOutcome::Permit { stage: PermitStage::Reserved, .. }) && first == repeated,
            "{first:?}, {repeated:?}"
        );
        if let Some(outcome) = group.outcomes.get(&ticket) {
            assert_eq!(*outcome, first);
        }
        assert!(
            matches!(commit_command(&mut group, &reserve(1)), CommandOutcome::Denied(_)),
            "seed {seed}: two permits"
        );
        let new_leader = group.leader().unwrap();
        assert_eq!(group.state(new_leader).permits.len(), 1);
    }
}

/// Random faults on three and five voters: partitions, lost and duplicated messages, kills with intact and torn disks, full
/// disks, suspended voters. Voters never apply different entries at one index, and have the same state once the faults end.
#[test]
fn voters_agree_after_random_faults() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        println!("seed {seed}");
        let count = if seed % 3 == 0 { 5 } else { 3 };
        let mut group = SimulatedGroup::new(count, seed);
        (group.loss, group.duplication) =
            (group.random_below(20) as f64 / 100.0, group.random_below(20) as f64 / 100.0);
        (group.max_latency_ms, group.write_latency_ms) =
            (1 + group.random_below(80), 1 + group.random_below(40));
        let mut proposed = 0;
        for _ in 0..60 {
            let n = group.random_below(count as u64) as usize;
            match group.random_below(8) {
                0 => group.isolate(&[n]),
                1 => group.blocked_links.clear(),
                2 if group.voters[n].consensus.is_some() => group.kill(n),
                2 | 3 if group.voters[n].consensus.is_none() => {
                    let disk = if group.random_below(2) == 0 { Disk::Intact } else { Disk::Torn };
                    group.restart(n, disk);
                }
                4 => group.voters[n].disk_full = !group.voters[n].disk_full,
                5 => group.voters[n].suspended = !group.voters[n].suspended,
                _ => {}
            }
            for _ in 0..5 {
                proposed += 1;
                group.propose(add_server(proposed % 900));
                let pause = 20 + group.random_below(200);
                group.run(pause);
            }
        }
        group.blocked_links.clear();
        (group.loss, group.duplication) = (0.0, 0.0);
        for n in 0..count {
            (group.voters[n].disk_full, group.voters[n].suspended) = (false, false);
            if group.voters[n].consensus.is_none() {
                group.restart(n, Disk::Intact);
            }
        }
        group.run(6_000);
        let leader = group.run_until_leader(10_000).expect("a leader once the faults end");
        commit_command(&mut group, &add_server(901));
        group.run(2_000);
        for n in 0..count {
            assert_eq!(group.state(n), group.state(leader), "seed {seed}");
        }
        assert!(group.consensus(leader).excluded().is_none());
    }
}
