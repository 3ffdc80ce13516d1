//! The replicated order of configuration changes, on simulated voters: one revision per request id, the same content wherever
//! the revision is the same, and no effect of rejected changes.

mod common;
#[path = "common/start_configuration.rs"]
mod start_configuration;

use common::{Disk, SimulatedGroup, add_server};
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
use start_configuration::start_configuration;
use std::sync::Arc;

fn put_tenant(name: &str, quota_rps: f64) -> Change {
    Change::PutTenant(Arc::new(Tenant { name: name.into(), quota_rps, portion: 0.001 }))
}

fn request(id: &str, expected: Option<u64>, changes: Vec<Change>) -> ConfigurationRequest {
    let (author, reason) = (Arc::from("an operator"), Arc::from("a test"));
    let (request_id, expected) = (Arc::from(id), expected.map(Revision));
    let transaction = Transaction { changes };
    let proposal = Proposal { request_id, author, reason, expected, transaction };
    ConfigurationRequest { proposal, seen: Revision(0), requested_at_ms: 7 }
}

fn rejection(result: Result<ProposalAccepted, ProposalRejected>) -> ConfigurationRejected {
    match result {
        Err(ProposalRejected::Rejected(reason)) => reason,
        other => panic!("expected a rejection, got {other:?}"),
    }
}

/// A group whose voters have the start configuration and a leader.
fn group_with_configuration(count: usize, seed: u64) -> SimulatedGroup {
    println!("seed {seed}");
    let mut group = SimulatedGroup::new(count, seed);
    (0..count).for_each(|n| group.consensus(n).offer_configuration(&start_configuration()));
    group.run_until_leader(6_000).expect("a leader");
    group.run(500);
    group
}

/// Requests a change of the leader until it is committed, and returns its revision.
fn commit(group: &mut SimulatedGroup, request: &ConfigurationRequest) -> Revision {
    for _ in 0..1_000 {
        if let Some(leader) = group.run_until_leader(10_000)
            && let Ok(ProposalAccepted::Committed(revision)) =
                group.consensus(leader).propose_configuration(request)
        {
            return revision;
        }
        group.run(10);
    }
    panic!("not committed: {:?}", group.log_lines);
}

fn version(group: &SimulatedGroup, n: usize) -> Version {
    group.state(n).configuration.version()
}

/// The leader is killed at different points after the proposal. The request is retried at another leader with the same id and
/// must get one revision.
#[test]
fn retried_change_after_a_lost_reply_has_one_revision() {
    for seed in 0..24 {
        let mut group = group_with_configuration(3, seed);
        let leader = group.leader().expect("a leader");
        let change = request("id-1", Some(0), vec![put_tenant("a", 1.0)]);
        assert_eq!(
            group.consensus(leader).propose_configuration(&change),
            Ok(ProposalAccepted::Proposed(Revision(1)))
        );
        assert_eq!(
            group.consensus(leader).propose_configuration(&change),
            Ok(ProposalAccepted::Proposed(Revision(1))),
            "the request is repeated"
        );
        group.run(5 * (seed % 8));
        group.kill(leader);
        assert_eq!(commit(&mut group, &change), Revision(1));
        assert_eq!(commit(&mut group, &change), Revision(1));
        assert_eq!(commit(&mut group, &request("id-2", None, vec![put_tenant("b", 1.0)])), Revision(2));
        let new_leader = group.leader().expect("another voter leads");
        let ids: Vec<&str> =
            group.state(new_leader).configuration.history().map(|entry| &*entry.request_id).collect();
        assert_eq!(ids, ["id-2", "id-1"]);
    }
}

/// Consecutive changes are committed in their order despite lost and duplicated messages, with the same content on all voters.
/// A change that expects an older revision is rejected.
#[test]
fn consecutive_changes_are_the_same_on_all_voters() {
    for seed in 0..6 {
        let mut group = group_with_configuration(5, seed);
        (group.loss, group.duplication) = (0.1, 0.1);
        let mut last = 0;
        for _ in 0..4_000 {
            if last >= 40 {
                break;
            }
            let leader = group.run_until_leader(10_000).expect("a leader");
            let change = request(
                &format!("id-{last}"),
                Some(last),
                vec![put_tenant(&format!("t{}", last % 7), last as f64)],
            );
            match group.consensus(leader).propose_configuration(&change) {
                Ok(ProposalAccepted::Proposed(revision) | ProposalAccepted::Committed(revision)) => {
                    last = revision.0
                }
                Err(ProposalRejected::Rejected(ConfigurationRejected::Moved { in_force, .. })) => {
                    last = in_force.0
                }
                Err(_) => group.run(50),
            }
            let pause = group.random_below(30);
            group.run(pause);
        }
        assert!(last >= 40, "{last}");
        (group.loss, group.duplication) = (0.0, 0.0);
        let stale = request("late", Some(39), vec![put_tenant("late", 1.0)]);
        commit(&mut group, &request("last", None, vec![put_tenant("last", 1.0)]));
        group.run(4_000);
        let leader = group.run_until_leader(6_000).expect("a leader");
        let in_force = version(&group, leader).revision;
        let moved = ConfigurationRejected::Moved { expected: Revision(39), in_force };
        assert_eq!(rejection(group.consensus(leader).propose_configuration(&stale)), moved);
        for n in 0..5 {
            assert_eq!(version(&group, n), version(&group, leader));
            assert_eq!(
                group.consensus(n).configuration().map(Configuration::version),
                Some(version(&group, n))
            );
            let revisions: Vec<u64> =
                group.voters[n].commits.iter().map(|commit| commit.revision.0).collect();
            assert!(revisions.iter().copied().eq(1..=in_force.0), "n{n}: {revisions:?}");
        }
    }
}

/// An invalid or overlong change is rejected before it is proposed: neither the log nor the digest changes.
#[test]
fn rejects_invalid_or_long_changes_before_proposing() {
    let mut group = group_with_configuration(3, 11);
    commit(&mut group, &request("first", None, vec![put_tenant("a", 1.0)]));
    group.run(500);
    let before: Vec<(u64, Version)> = (0..3).map(|n| (group.state(n).index, version(&group, n))).collect();
    let leader = group.leader().expect("a leader");
    let invalid_change = request("second", None, vec![Change::RemoveTenant("nobody".into())]);
    let ConfigurationRejected::Invalid(invalid) =
        rejection(group.consensus(leader).propose_configuration(&invalid_change))
    else {
        panic!()
    };
    assert!(invalid.path.starts_with("changes[0].tenant"), "{invalid}");
    assert!(!invalid.expected.is_empty() && !invalid.actual.is_empty());
    let long_change =
        request("third", None, (0..1_000).map(|n| put_tenant(&format!("{n:0>100}"), 1.0)).collect());
    let ConfigurationRejected::TooLong { limit, got } =
        rejection(group.consensus(leader).propose_configuration(&long_change))
    else {
        panic!()
    };
    assert!(limit == MAX_ENTRY_BYTES && got > 100_000);
    group.run(500);
    let after: Vec<(u64, Version)> = (0..3).map(|n| (group.state(n).index, version(&group, n))).collect();
    assert_eq!(before, after);
}

/// Guards against unbounded growth: without a quorum a leader rejects changes once the bound on uncommitted bytes is reached.
#[test]
fn uncommitted_changes_are_bounded() {
    let mut group = group_with_configuration(3, 12);
    let leader = group.leader().expect("a leader");
    group.isolate(&[leader]);
    let mut accepted = 0;
    let rejection = (0..40).find_map(|n| {
        let changes = (0..100).map(|m| put_tenant(&format!("{n}-{m:0>60}"), 1.0)).collect();
        let result =
            group.consensus(leader).propose_configuration(&request(&format!("id-{n}"), None, changes));
        accepted += usize::from(result.is_ok());
        result.err()
    });
    assert_eq!(
        rejection,
        Some(ProposalRejected::Rejected(ConfigurationRejected::Busy)),
        "after {accepted} changes"
    );
    assert!(accepted < 10, "{accepted} changes");
}

/// Snapshots of the group don't contain the configuration content: they stay small, the log isn't compacted before the content
/// is durable, and a voter that starts from such a snapshot rejects changes until the host provides the content. The leader
/// keeps its term throughout.
#[test]
fn voter_without_content_after_a_snapshot_rejects_changes() {
    let mut group = group_with_configuration(3, 13);
    let (leader, term) =
        (group.leader().unwrap(), |group: &mut SimulatedGroup, n: usize| group.consensus(n).leader_term());
    let first_term = term(&mut group, leader);
    let behind = (leader + 1) % 3;
    group.isolate(&[behind]);
    for n in 0..200 {
        let changes = (0..200).map(|m| put_tenant(&format!("{n}-{m}"), 1.0)).collect();
        commit(&mut group, &request(&format!("id-{n}"), None, changes));
    }
    assert!(
        group.voters[leader].durable.len() > 200,
        "the log is not compacted before the content is durable"
    );
    assert!(group.voters[leader].requested_durable.is_some());
    (0..3).for_each(|n| group.consensus(n).configuration_durable(Revision(200)));
    commit(&mut group, &request("more", None, vec![put_tenant("more", 1.0)]));
    (0..3).for_each(|n| group.consensus(n).configuration_durable(Revision(201)));
    commit(&mut group, &request("most", None, vec![put_tenant("most", 1.0)]));
    assert!(group.voters[leader].durable.len() < 50, "{}", group.voters[leader].durable.len());
    let bytes = replicated_snapshot::encode(group.state(leader)).len();
    assert!(bytes < 32 * 1024, "{bytes} bytes for 40,000 tenants");
    // The first snapshot that the leader sends is lost and has to be resent.
    let links_to_behind: Vec<(usize, usize)> = (0..3).filter(|n| *n != behind).map(|n| (n, behind)).collect();
    group.blocked_links = links_to_behind.iter().copied().collect();
    group.run(300);
    group.blocked_links.clear();
    group.run(5_000);
    assert_eq!(term(&mut group, leader), first_term, "the leader kept its term");
    assert_eq!(version(&group, behind), version(&group, leader));
    let content = group.consensus(leader).configuration().expect("the leader has the content").clone();
    group.kill(leader);
    let other = 3 - leader - behind;
    group.kill(other);
    group.restart(other, Disk::Intact);
    let leader = group.run_until_leader(10_000).expect("one of two voters without the content leads");
    group.run(500);
    let change = request("next", None, vec![put_tenant("next", 1.0)]);
    assert!(matches!(
        rejection(group.consensus(leader).propose_configuration(&change)),
        ConfigurationRejected::Behind { .. }
    ));
    group.consensus(leader).offer_configuration(&content);
    assert_eq!(commit(&mut group, &change), Revision(203));
}

/// The leader resends a snapshot that was lost, without losing its leadership.
#[test]
fn resends_a_lost_snapshot() {
    let mut group = group_with_configuration(3, 14);
    let leader = group.leader().unwrap();
    let behind = (leader + 1) % 3;
    group.kill(behind);
    for n in 0..200 {
        group.propose(add_server(n % 50));
        group.run(20);
    }
    group.restart(behind, Disk::Empty);
    let replacement = group.voters[behind].id;
    // The first heartbeats pass, then all messages of the leader to this voter are lost, the snapshot among them.
    group
        .consensus(leader)
        .change_membership(replacement, Some(&common::name(behind)))
        .expect("the addition is proposed");
    group.run(60);
    group.blocked_links.insert((leader, behind));
    group.run(800);
    group.blocked_links.clear();
    group.run(4_000);
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.state(behind).roster.len(), group.state(leader).roster.len());
}

/// A voter whose content differs from the group's at the same revision is detected by its digest and doesn't adopt the content.
#[test]
fn diverged_content_is_detected_by_its_digest() {
    let mut group = SimulatedGroup::new(3, 15);
    let mut diverged = start_configuration();
    let transaction = Transaction { changes: vec![put_tenant("own", 1.0)] };
    let (name, revision): (Arc<str>, _) = (Arc::from("x"), Revision(1));
    let local_commit = Commit {
        revision,
        author: name.clone(),
        reason: name.clone(),
        request_id: name,
        proposed_at_ms: 0,
        transaction,
    };
    let leader = group.run_until_leader(6_000).expect("a leader");
    group.run(500);
    for n in (0..3).filter(|n| *n != (leader + 1) % 3) {
        group.consensus(n).offer_configuration(&start_configuration());
    }
    commit(&mut group, &request("first", None, vec![put_tenant("a", 1.0)]));
    group.run(500);
    diverged.apply(&local_commit).expect("valid");
    group.consensus((leader + 1) % 3).offer_configuration(&diverged);
    assert!(
        group.consensus((leader + 1) % 3).configuration().is_none(),
        "the revision is the same, the digest differs"
    );
}

fn entry(base: Version, id: &str, seen: u64, history: u32) -> ConfigurationEntry {
    let request = request(id, None, vec![put_tenant(id, 1.0)]);
    let Proposal { request_id, author, reason, transaction, .. } = request.proposal;
    let revision = base.revision.next();
    let result = Version { revision, digest: Digest(u128::from(revision.0)) };
    let commit = Arc::new(Commit { revision, author, reason, request_id, proposed_at_ms: 7, transaction });
    ConfigurationEntry { base, result, seen: Revision(seen), history, commit }
}

/// Applying an entry rejects one that isn't based on the last commit, and one so old that its request id may be forgotten.
#[test]
fn log_rejects_stale_bases_and_forgotten_requests() {
    let mut order = ReplicatedConfiguration::default();
    for n in 0..10 {
        let entry = entry(order.version(), &format!("id-{n}"), n, 4);
        assert_eq!(order.apply(&entry), Ok(Revision(n + 1)));
        assert_eq!(order.apply(&entry), Ok(Revision(n + 1)), "the same id again");
    }
    assert!(order.history().count() == 4 && order.known_since() == Revision(6));
    let stale_base = Version { revision: Revision(9), ..order.version() };
    let moved = ConfigurationRejected::Moved { expected: Revision(9), in_force: Revision(10) };
    assert_eq!(order.apply(&entry(stale_base, "stale", 9, 4)), Err(moved));
    let other_content = Version { digest: Digest(1), ..order.version() };
    assert!(order.apply(&entry(other_content, "other content", 10, 4)).is_err());
    let forgotten = ConfigurationRejected::Forgotten { seen: Revision(1), known_since: Revision(6) };
    assert_eq!(order.apply(&entry(order.version(), "id-2", 1, 4)), Err(forgotten));
    assert_eq!(order.version().revision, Revision(10));
    let settings = ConfigurationSettings::default();
    assert!(settings.history as usize >= 200 && settings.entry_bytes <= MAX_ENTRY_BYTES);
}

/// Decodes a snapshot and an entry of a version without configuration changes, and writes snapshots that such a version can
/// read.
#[test]
fn loads_a_log_of_the_previous_version() {
    // Index 9; voter 101 "n0"; limits 1, 1, 0 and no service; server "n0" in zone "z"; no permits, operator actions or rollout.
    let snapshot: Vec<u8> =
        [&[9, 1, 101, 2][..], b"n0", &[1, 1, 0, 0, 1, 2], b"n0", &[1], b"z", &[0, 0, 0]].concat();
    let state = replicated_snapshot::decode(&snapshot).expect("the snapshot decodes");
    assert!(state.index == 9 && state.roster.len() == 1 && state.voters.len() == 1);
    assert_eq!(state.configuration, ReplicatedConfiguration::default());
    // That version reads the first part of a new snapshot; this version reads all of it.
    let mut state = state;
    state.configuration.apply(&entry(Version::default(), "id", 0, 4)).expect("the first commit");
    let bytes = replicated_snapshot::encode(&state);
    assert!(bytes.starts_with(&snapshot) && bytes.len() > snapshot.len());
    assert_eq!(replicated_snapshot::decode(&bytes), Some(state));
    assert_eq!(replicated_snapshot::decode(&bytes[..bytes.len() - 1]), None::<ReplicatedState>);
    // The variant of `Command::AddServer` keeps its number.
    let add_server_bytes = [&[1, 2][..], b"n0", &[1], b"z"].concat();
    assert!(matches!(postcard::from_bytes(&add_server_bytes), Ok(Command::AddServer { .. })));
}
