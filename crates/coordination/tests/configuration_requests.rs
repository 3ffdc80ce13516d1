//! Requests for configuration changes from any server get one result within 2 s, whichever servers are partitioned.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{ALL_VOTERS, Fleet, SECOND, name};
use gradepin_admission::{Span, Tenant, Time};
use gradepin_config::change::{Change, Proposal, Revision, Transaction};
use gradepin_coordination::configuration_log::{ConfigurationRejected, ConfigurationRequest};
use gradepin_coordination::proposal_client::ProposalResult;
use gradepin_coordination::server_agent::ConfigurationEffect;
use std::sync::Arc;

fn request(id: &str) -> ConfigurationRequest {
    let tenant = Tenant { name: id.into(), quota_rps: 1.0, portion: 0.1 };
    let transaction = Transaction { changes: vec![Change::PutTenant(Arc::new(tenant))] };
    let (request_id, author, reason) = (Arc::from(id), Arc::from("an operator"), Arc::from("a test"));
    let proposal = Proposal { request_id, author, reason, expected: None, transaction };
    ConfigurationRequest { proposal, seen: Revision(0), requested_at_ms: 0 }
}

/// Five servers, of which n0, n1 and n2 are the voters of a founded group.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[ALL_VOTERS; 5]);
    fleet.run(SECOND);
    fleet.found(0).expect("all voters report");
    fleet.run(Span(8 * SECOND.0));
    assert!(fleet.leader(0).is_some());
    fleet.events.clear();
    fleet
}

/// Submits a request and returns its result; panics unless there is exactly one, within 2 s.
fn submit_and_wait(fleet: &mut Fleet, server: usize, id: &str) -> ProposalResult {
    let (submitted_at, ticket) = (fleet.now, fleet.now.0);
    fleet.agents[server].submit_change(submitted_at, ticket, request(id)).expect("the request is accepted");
    fleet.run(Span(5 * SECOND.0));
    let results: Vec<(Time, ProposalResult)> = fleet
        .events
        .iter()
        .filter_map(|(n, at, effect)| match effect {
            ConfigurationEffect::Answered(response) if *n == server && response.ticket == ticket => {
                Some((*at, response.result.clone()))
            }
            _ => None,
        })
        .collect();
    assert_eq!(results.len(), 1, "{results:?}");
    assert!(results[0].0.0 - submitted_at.0 <= 2 * SECOND.0, "the result is late");
    results[0].1.clone()
}

#[test]
fn any_server_forwards_a_request_to_the_leader() {
    let mut fleet = fleet();
    for server in 0..5 {
        assert_eq!(
            submit_and_wait(&mut fleet, server, &format!("from {server}")),
            Ok(Revision(server as u64 + 1))
        );
    }
    assert_eq!(
        submit_and_wait(&mut fleet, 4, "from 0"),
        Ok(Revision(1)),
        "a retry with the same id at another server"
    );
    let committed = |n: usize| {
        let own_events = fleet.events.iter().filter(|(of, ..)| *of == n);
        own_events.filter(|(.., effect)| matches!(effect, ConfigurationEffect::Committed(_))).count()
    };
    assert_eq!(
        (0..5).map(committed).collect::<Vec<_>>(),
        [5, 5, 5, 0, 0],
        "each voter reports each commit once"
    );
}

/// Without a quorum a change fails with the reason. A change that a leader proposed there may still be committed, and the
/// result says so; once there is a quorum, its request id gets one revision.
#[test]
fn rejects_changes_without_a_quorum_within_two_seconds() {
    let mut fleet = fleet();
    let leader = (0..3).find(|n| fleet.leader(0) == Some(name(*n))).expect("a voter leads");
    fleet.partitioned.extend((0..3).filter(|n| *n != leader));
    assert_eq!(submit_and_wait(&mut fleet, leader, "one"), Err(ConfigurationRejected::Unconfirmed));
    assert_eq!(submit_and_wait(&mut fleet, leader, "two"), Err(ConfigurationRejected::NoLeader));
    assert_eq!(submit_and_wait(&mut fleet, 4, "three"), Err(ConfigurationRejected::NoLeader));
    fleet.partitioned = [0, 1, 2].into();
    assert_eq!(submit_and_wait(&mut fleet, 4, "four"), Err(ConfigurationRejected::NoVoter));
    fleet.partitioned.clear();
    fleet.run(Span(8 * SECOND.0));
    let first = submit_and_wait(&mut fleet, 3, "one").expect("a quorum commits it");
    assert_eq!(submit_and_wait(&mut fleet, 4, "one"), Ok(first));
    let commit_count = fleet.agents[0].replicated_configuration().expect("n0 is a voter").history().count();
    assert_eq!(commit_count as u64, first.0, "rejected changes are not committed");
}
