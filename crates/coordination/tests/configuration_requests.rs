//! Requests for configuration changes from any server: each has one result, within 2 s, whatever is partitioned.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{ALL, Fleet, SECOND, name};
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

/// Five servers, three of them voters of a running group, n0 its leader or not.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[ALL; 5]);
    fleet.run(SECOND);
    fleet.found(0).expect("all are heard");
    fleet.run(Span(8 * SECOND.0));
    assert!(fleet.leader(0).is_some());
    fleet.events.clear();
    fleet
}

/// Submits a request, and returns its one result after 2 s.
fn answer(fleet: &mut Fleet, server: usize, id: &str) -> ProposalResult {
    let (begin, ticket) = (fleet.now, fleet.now.0);
    fleet.agents[server].submit_change(begin, ticket, request(id)).expect("taken");
    fleet.run(Span(5 * SECOND.0));
    let answers: Vec<(Time, ProposalResult)> = fleet
        .events
        .iter()
        .filter_map(|(n, at, effect)| match effect {
            ConfigurationEffect::Answered(answered) if *n == server && answered.ticket == ticket => {
                Some((*at, answered.result.clone()))
            }
            _ => None,
        })
        .collect();
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert!(answers[0].0.0 - begin.0 <= 2 * SECOND.0, "late");
    answers[0].1.clone()
}

#[test]
fn any_server_forwards_a_request_to_the_leader() {
    let mut fleet = fleet();
    for server in 0..5 {
        assert_eq!(answer(&mut fleet, server, &format!("from {server}")), Ok(Revision(server as u64 + 1)));
    }
    assert_eq!(answer(&mut fleet, 4, "from 0"), Ok(Revision(1)), "the same id elsewhere");
    let committed = |n: usize| {
        let mine = fleet.events.iter().filter(|(of, ..)| *of == n);
        mine.filter(|(.., effect)| matches!(effect, ConfigurationEffect::Committed(_))).count()
    };
    assert_eq!((0..5).map(committed).collect::<Vec<_>>(), [5, 5, 5, 0, 0], "on voters, once each");
}

/// On the side without a quorum a change is rejected with a reason; one that a leader proposed there may still be committed,
/// which the result says; afterwards the same id has one revision.
#[test]
fn rejects_changes_without_a_quorum_within_two_seconds() {
    let mut fleet = fleet();
    let leader = (0..3).find(|n| fleet.leader(0) == Some(name(*n))).expect("a voter leads");
    fleet.cut.extend((0..3).filter(|n| *n != leader));
    assert_eq!(answer(&mut fleet, leader, "one"), Err(ConfigurationRejected::Unconfirmed));
    assert_eq!(answer(&mut fleet, leader, "two"), Err(ConfigurationRejected::NoLeader));
    assert_eq!(answer(&mut fleet, 4, "three"), Err(ConfigurationRejected::NoLeader));
    fleet.cut = [0, 1, 2].into();
    assert_eq!(answer(&mut fleet, 4, "four"), Err(ConfigurationRejected::NoVoter));
    fleet.cut.clear();
    fleet.run(Span(8 * SECOND.0));
    let first = answer(&mut fleet, 3, "one").expect("a quorum");
    assert_eq!(answer(&mut fleet, 4, "one"), Ok(first));
    let order = fleet.agents[0].replicated_configuration().expect("a voter").history().count();
    assert_eq!(order as u64, first.0, "and nothing of what was refused");
}
