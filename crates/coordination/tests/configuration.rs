//! The order of configuration changes, by voters in virtual time: one revision for each request id, the same content wherever
//! the same revision is, and nothing changed by what is refused.

#[path = "common/base.rs"]
mod base;
mod common;

use base::base;
use common::{Disk, World, enrol};
use gradepin_admission::Tenant;
use gradepin_config::change::{Change, Commit, Proposal, Revision, Transaction};
use gradepin_config::configuration::Configuration;
use gradepin_config::digest::{Digest, Version};
use gradepin_coordination::configuration_log::{
    ConfigurationEntry, ConfigurationRejected, ConfigurationRequest, ConfigurationSettings, MAX_ENTRY_BYTES,
    ReplicatedConfiguration,
};
use gradepin_coordination::consensus::{ProposalAccepted, ProposalRejected};
use gradepin_coordination::replicated_snapshot;
use gradepin_coordination::replicated_state::{Command, ReplicatedState};
use std::sync::Arc;

fn put(name: &str, quota_rps: f64) -> Change {
    Change::PutTenant(Arc::new(Tenant { name: name.into(), quota_rps, portion: 0.001 }))
}

fn request(id: &str, expected: Option<u64>, changes: Vec<Change>) -> ConfigurationRequest {
    let (author, reason) = (Arc::from("an operator"), Arc::from("a test"));
    let (request_id, expected) = (Arc::from(id), expected.map(Revision));
    let transaction = Transaction { changes };
    let proposal = Proposal { request_id, author, reason, expected, transaction };
    ConfigurationRequest { proposal, seen: Revision(0), requested_at_ms: 7 }
}

fn refused(result: Result<ProposalAccepted, ProposalRejected>) -> ConfigurationRejected {
    match result {
        Err(ProposalRejected::Rejected(why)) => why,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Voters with the empty configuration, one of which leads.
fn world(count: usize, seed: u64) -> World {
    println!("seed {seed}");
    let mut world = World::new(count, seed);
    (0..count).for_each(|n| world.consensus(n).offer_configuration(&base()));
    world.led(6_000).expect("a leader");
    world.run(500);
    world
}

/// Asks whoever leads until it is committed.
fn commit(world: &mut World, request: &ConfigurationRequest) -> Revision {
    for _ in 0..1_000 {
        if let Some(leader) = world.led(10_000)
            && let Ok(ProposalAccepted::Committed(revision)) =
                world.consensus(leader).propose_configuration(request)
        {
            return revision;
        }
        world.run(10);
    }
    panic!("not committed: {:?}", world.notes);
}

fn version(world: &World, n: usize) -> Version {
    world.state(n).configuration.version()
}

/// The leader is killed at each point between the proposal and the reply; the request is retried elsewhere with the same id.
#[test]
fn retried_change_after_a_lost_reply_has_one_revision() {
    for seed in 0..24 {
        let mut world = world(3, seed);
        let leader = world.leader().expect("it leads still");
        let ask = request("id-1", Some(0), vec![put("a", 1.0)]);
        assert_eq!(
            world.consensus(leader).propose_configuration(&ask),
            Ok(ProposalAccepted::Proposed(Revision(1)))
        );
        assert_eq!(
            world.consensus(leader).propose_configuration(&ask),
            Ok(ProposalAccepted::Proposed(Revision(1))),
            "asked twice"
        );
        world.run(5 * (seed % 8));
        world.kill(leader);
        assert_eq!(commit(&mut world, &ask), Revision(1));
        assert_eq!(commit(&mut world, &ask), Revision(1));
        assert_eq!(commit(&mut world, &request("id-2", None, vec![put("b", 1.0)])), Revision(2));
        let now = world.leader().expect("another leads");
        let ids: Vec<&str> = world.state(now).configuration.history().map(|r| &*r.request_id).collect();
        assert_eq!(ids, ["id-2", "id-1"]);
    }
}

/// Changes that are proposed one on top of the other are committed in their order, with the same content on all voters; an old
/// expected revision is refused before and by the log.
#[test]
fn consecutive_changes_are_the_same_on_all_voters() {
    for seed in 0..6 {
        let mut world = world(5, seed);
        (world.loss, world.duplicated) = (0.1, 0.1);
        let mut last = 0;
        for _ in 0..4_000 {
            if last >= 40 {
                break;
            }
            let leader = world.led(10_000).expect("a leader");
            let ask =
                request(&format!("id-{last}"), Some(last), vec![put(&format!("t{}", last % 7), last as f64)]);
            match world.consensus(leader).propose_configuration(&ask) {
                Ok(ProposalAccepted::Proposed(revision) | ProposalAccepted::Committed(revision)) => {
                    last = revision.0
                }
                Err(ProposalRejected::Rejected(ConfigurationRejected::Moved { in_force, .. })) => {
                    last = in_force.0
                }
                Err(_) => world.run(50),
            }
            let pause = world.draw(30);
            world.run(pause);
        }
        assert!(last >= 40, "{last}");
        (world.loss, world.duplicated) = (0.0, 0.0);
        let late = request("late", Some(39), vec![put("late", 1.0)]);
        commit(&mut world, &request("last", None, vec![put("last", 1.0)]));
        world.run(4_000);
        let leader = world.led(6_000).expect("a leader");
        let in_force = version(&world, leader).revision;
        let moved = ConfigurationRejected::Moved { expected: Revision(39), in_force };
        assert_eq!(refused(world.consensus(leader).propose_configuration(&late)), moved);
        for n in 0..5 {
            assert_eq!(version(&world, n), version(&world, leader));
            assert_eq!(
                world.consensus(n).configuration().map(Configuration::version),
                Some(version(&world, n))
            );
            let outcomes: Vec<u64> = world.voters[n].commits.iter().map(|commit| commit.revision.0).collect();
            assert!(outcomes.iter().copied().eq(1..=in_force.0), "n{n}: {outcomes:?}");
        }
    }
}

/// A change that is invalid or too long is rejected before it is proposed, and changes no digest.
#[test]
fn rejects_invalid_or_long_changes_before_proposing() {
    let mut world = world(3, 11);
    commit(&mut world, &request("first", None, vec![put("a", 1.0)]));
    world.run(500);
    let before: Vec<(u64, Version)> = (0..3).map(|n| (world.state(n).index, version(&world, n))).collect();
    let leader = world.leader().expect("it leads");
    let unknown = request("second", None, vec![Change::RemoveTenant("nobody".into())]);
    let ConfigurationRejected::Invalid(invalid) =
        refused(world.consensus(leader).propose_configuration(&unknown))
    else {
        panic!()
    };
    assert!(invalid.path.starts_with("changes[0].tenant"), "{invalid}");
    assert!(!invalid.expected.is_empty() && !invalid.actual.is_empty());
    let long = request("third", None, (0..1_000).map(|n| put(&format!("{n:0>100}"), 1.0)).collect());
    let ConfigurationRejected::TooLong { limit, got } =
        refused(world.consensus(leader).propose_configuration(&long))
    else {
        panic!()
    };
    assert!(limit == MAX_ENTRY_BYTES && got > 100_000);
    world.run(500);
    let after: Vec<(u64, Version)> = (0..3).map(|n| (world.state(n).index, version(&world, n))).collect();
    assert_eq!(before, after);
}

/// Without a quorum a leader accepts no more than may be uncommitted, whatever is requested.
#[test]
fn uncommitted_changes_are_bounded() {
    let mut world = world(3, 12);
    let leader = world.leader().expect("it leads");
    world.isolate(&[leader]);
    let mut taken = 0;
    let busy = (0..40).find_map(|n| {
        let changes = (0..100).map(|m| put(&format!("{n}-{m:0>60}"), 1.0)).collect();
        let result =
            world.consensus(leader).propose_configuration(&request(&format!("id-{n}"), None, changes));
        taken += usize::from(result.is_ok());
        result.err()
    });
    assert_eq!(busy, Some(ProposalRejected::Rejected(ConfigurationRejected::Busy)), "after {taken}");
    assert!(taken < 10, "{taken}");
}

/// The content isn't in the group's snapshots: they stay small, the log isn't compacted before the content is durable, and a
/// voter that loaded such a snapshot rejects changes until the host provides the content. No heartbeat is late meanwhile.
#[test]
fn voter_without_content_after_a_snapshot_rejects_changes() {
    let mut world = world(3, 13);
    let (leader, term) =
        (world.leader().unwrap(), |world: &mut World, n: usize| world.consensus(n).leader_term());
    let led = term(&mut world, leader);
    let behind = (leader + 1) % 3;
    world.isolate(&[behind]);
    for n in 0..200 {
        let changes = (0..200).map(|m| put(&format!("{n}-{m}"), 1.0)).collect();
        commit(&mut world, &request(&format!("id-{n}"), None, changes));
    }
    assert!(world.voters[leader].durable.len() > 200, "not compacted before the content is durable");
    assert!(world.voters[leader].requested_durable.is_some());
    (0..3).for_each(|n| world.consensus(n).configuration_durable(Revision(200)));
    commit(&mut world, &request("more", None, vec![put("more", 1.0)]));
    (0..3).for_each(|n| world.consensus(n).configuration_durable(Revision(201)));
    commit(&mut world, &request("most", None, vec![put("most", 1.0)]));
    assert!(world.voters[leader].durable.len() < 50, "{}", world.voters[leader].durable.len());
    let bytes = replicated_snapshot::encode(world.state(leader)).len();
    assert!(bytes < 32 * 1024, "{bytes} bytes for 40,000 tenants");
    // The first snapshot that is sent is lost whole: it comes again.
    let silent: Vec<(usize, usize)> = (0..3).filter(|n| *n != behind).map(|n| (n, behind)).collect();
    world.cut = silent.iter().copied().collect();
    world.run(300);
    world.cut.clear();
    world.run(5_000);
    assert_eq!(term(&mut world, leader), led, "the leader was heard all the while");
    assert_eq!(version(&world, behind), version(&world, leader));
    let content = world.consensus(leader).configuration().expect("it applied all").clone();
    world.kill(leader);
    let other = 3 - leader - behind;
    world.kill(other);
    world.start(other, Disk::Kept);
    let leader = world.led(10_000).expect("one of two without the content leads");
    world.run(500);
    let ask = request("next", None, vec![put("next", 1.0)]);
    assert!(matches!(
        refused(world.consensus(leader).propose_configuration(&ask)),
        ConfigurationRejected::Behind { .. }
    ));
    world.consensus(leader).offer_configuration(&content);
    assert_eq!(commit(&mut world, &ask), Revision(203));
}

/// A snapshot that was lost is sent again by the same leader.
#[test]
fn resends_a_lost_snapshot() {
    let mut world = world(3, 14);
    let leader = world.leader().unwrap();
    let behind = (leader + 1) % 3;
    world.kill(behind);
    for n in 0..200 {
        world.propose(enrol(n % 50));
        world.run(20);
    }
    world.start(behind, Disk::Empty);
    let fresh = world.voters[behind].id;
    // Heartbeats and what answers them pass; from then on all that the leader sends is lost, the snapshot too.
    world.consensus(leader).change_membership(fresh, Some(&common::name(behind))).expect("one change");
    world.run(60);
    world.cut.insert((leader, behind));
    world.run(800);
    world.cut.clear();
    world.run(4_000);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.state(behind).roster.len(), world.state(leader).roster.len());
}

/// A voter whose start file differs from the group's doesn't apply changes to it.
#[test]
fn differing_start_file_is_detected_by_its_digest() {
    let mut world = World::new(3, 15);
    let mut other = base();
    let transaction = Transaction { changes: vec![put("own", 1.0)] };
    let (name, revision): (Arc<str>, _) = (Arc::from("x"), Revision(1));
    let made = Commit {
        revision,
        author: name.clone(),
        reason: name.clone(),
        request_id: name,
        proposed_at_ms: 0,
        transaction,
    };
    let leader = world.led(6_000).expect("a leader");
    world.run(500);
    for n in (0..3).filter(|n| *n != (leader + 1) % 3) {
        world.consensus(n).offer_configuration(&base());
    }
    commit(&mut world, &request("first", None, vec![put("a", 1.0)]));
    world.run(500);
    other.apply(&made).expect("valid");
    world.consensus((leader + 1) % 3).offer_configuration(&other);
    assert!(world.consensus((leader + 1) % 3).configuration().is_none(), "same revision, other digest");
}

fn entry(base: Version, id: &str, seen: u64, history: u32) -> ConfigurationEntry {
    let request = request(id, None, vec![put(id, 1.0)]);
    let Proposal { request_id, author, reason, transaction, .. } = request.proposal;
    let revision = base.revision.next();
    let result = Version { revision, digest: Digest(u128::from(revision.0)) };
    let commit = Arc::new(Commit { revision, author, reason, request_id, proposed_at_ms: 7, transaction });
    ConfigurationEntry { base, result, seen: Revision(seen), history, commit }
}

/// The log itself rejects a lost update, and a request so old that its id may be forgotten.
#[test]
fn log_rejects_stale_bases_and_forgotten_requests() {
    let mut order = ReplicatedConfiguration::default();
    for n in 0..10 {
        let entry = entry(order.version(), &format!("id-{n}"), n, 4);
        assert_eq!(order.apply(&entry), Ok(Revision(n + 1)));
        assert_eq!(order.apply(&entry), Ok(Revision(n + 1)), "the same id again");
    }
    assert!(order.history().count() == 4 && order.known_since() == Revision(6));
    let stale = Version { revision: Revision(9), ..order.version() };
    let moved = ConfigurationRejected::Moved { expected: Revision(9), in_force: Revision(10) };
    assert_eq!(order.apply(&entry(stale, "stale", 9, 4)), Err(moved));
    let other = Version { digest: Digest(1), ..order.version() };
    assert!(order.apply(&entry(other, "other content", 10, 4)).is_err());
    let forgotten = ConfigurationRejected::Forgotten { seen: Revision(1), known_since: Revision(6) };
    assert_eq!(order.apply(&entry(order.version(), "id-2", 1, 4)), Err(forgotten));
    assert_eq!(order.version().revision, Revision(10));
    let settings = ConfigurationSettings::default();
    assert!(settings.history as usize >= 200 && settings.entry_bytes <= MAX_ENTRY_BYTES);
}

/// A snapshot and an entry as the version before this one wrote them.
#[test]
fn loads_a_log_of_the_previous_version() {
    // Index 9; voter 101 "n0"; limits 1, 1, 0 and no service; "n0" of zone "z"; no permits, acts or release.
    let snapshot: Vec<u8> =
        [&[9, 1, 101, 2][..], b"n0", &[1, 1, 0, 0, 1, 2], b"n0", &[1], b"z", &[0, 0, 0]].concat();
    let record = replicated_snapshot::decode(&snapshot).expect("it opens");
    assert!(record.index == 9 && record.roster.len() == 1 && record.voters.len() == 1);
    assert_eq!(record.configuration, ReplicatedConfiguration::default());
    // And what is written now is read by that version up to its end, and here whole.
    let mut record = record;
    record.configuration.apply(&entry(Version::default(), "id", 0, 4)).expect("the first commit");
    let bytes = replicated_snapshot::encode(&record);
    assert!(bytes.starts_with(&snapshot) && bytes.len() > snapshot.len());
    assert_eq!(replicated_snapshot::decode(&bytes), Some(record));
    assert_eq!(replicated_snapshot::decode(&bytes[..bytes.len() - 1]), None::<ReplicatedState>);
    // An enrolment and a release order keep their places among the commands.
    let enrolment = [&[1, 2][..], b"n0", &[1], b"z"].concat();
    assert!(matches!(postcard::from_bytes(&enrolment), Ok(Command::AddServer { .. })));
}
