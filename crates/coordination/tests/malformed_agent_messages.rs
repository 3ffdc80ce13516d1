//! Malformed messages between agents, with valid authentication: messages about permits, rollouts, the founding and the
//! configuration with bytes changed, truncated, duplicated and spliced. None of them makes an agent panic or stay due for ever.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{ALL_VOTERS, Fleet, SECOND, name};
use gradepin_admission::{Span, Tenant};
use gradepin_config::change::{Change, Proposal, Revision, Transaction};
use gradepin_coordination::configuration_log::ConfigurationRequest;
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::replicated_state::{Name, Target};
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutPlan};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::sync::Arc;

/// Number of the variant of founding messages, as it is encoded.
const FOUND_VARIANT: u8 = 8;

fn founding_message(voters: &[(u8, &str)]) -> Vec<u8> {
    let mut bytes = vec![FOUND_VARIANT, voters.len() as u8];
    for (id, name) in voters {
        bytes.extend([*id, name.len() as u8]);
        bytes.extend(name.as_bytes());
    }
    bytes
}

/// Guards against a founding that can't be undone: one with the library's unset identity among the voters is rejected.
#[test]
fn rejects_a_founding_with_an_unset_identity() {
    let mut fleet = Fleet::new(&[ALL_VOTERS; 3]);
    fleet.run(SECOND);
    let message = founding_message(&[(0, "n1"), (100, "n0"), (102, "n2")]);
    fleet.agents[0].receive(fleet.now, &name(1), 1, &message);
    fleet.run(SECOND);
    assert!(!fleet.agents[0].status(fleet.now).is_voter, "the server belongs to no group");
    fleet.found(0).expect("all voters report, and the group can still be founded");
    fleet.run(Span(8 * SECOND.0));
    assert!(fleet.leader(0).is_some());
}

/// Changes a message at random places, also by parts of another message.
fn mutate(rng: &mut Pcg64Mcg, message: &mut Vec<u8>, other: &[u8]) {
    for _ in 0..1 + rng.next_u64() % 3 {
        let at = rng.next_u64() as usize % message.len().max(1);
        match rng.next_u64() % 7 {
            0 if !message.is_empty() => message[at] ^= 1 << (rng.next_u64() % 8),
            1 => message.truncate(at),
            2 if !message.is_empty() => {
                let max_varint = [0xff; 9].into_iter().chain([0x01]);
                message.splice(at..=at, max_varint);
            }
            3 => message.splice(at.., other.iter().skip(at).copied()).for_each(drop),
            4 => message.extend(other.iter().skip(at).take(200).copied()),
            5 if !message.is_empty() => message[at] = rng.next_u64() as u8,
            _ if !message.is_empty() => message[at] = [0, 1, 0x7f, 0x80, 0xff][rng.next_u64() as usize % 5],
            _ => message.push(0),
        }
    }
}

/// A fleet with a rollout, permits and a configuration change in progress, whose messages are recorded.
fn busy_fleet() -> Fleet {
    let mut fleet = Fleet::new(&[ALL_VOTERS; 5]);
    fleet.sent_messages = Some(Vec::new());
    fleet.run(SECOND);
    fleet.found(0).expect("all voters report");
    fleet.run(Span(6 * SECOND.0));
    let batches = [0.0, 1.0].map(|share| Batch { share, pause_ms: 200 }).into();
    let plan = RolloutPlan {
        name: "one".into(),
        kind: ReleaseKind::Program,
        version: "v2".into(),
        batches,
        zone_by_zone: false,
        ready_timeout_ms: 2_000,
        stabilization_ms: 100,
        tolerated_regression: 0.1,
        rolls_back: true,
    };
    let operator_name: Name = "ada".into();
    let target = Target::Zone(Arc::from("z1"));
    let commands = [
        OperatorCommand::GrantPermit { target, operator: operator_name.clone() },
        OperatorCommand::StartRollout { plan: Box::new(plan), operator: operator_name.clone() },
        OperatorCommand::RemoveServer {
            name: name(9),
            operator: operator_name.clone(),
            reason: "gone".into(),
        },
        OperatorCommand::ChangeVoter { name: name(4), add: true, operator: operator_name },
    ];
    for (ticket, command) in commands.into_iter().enumerate() {
        fleet.agents[ticket % 5].submit(fleet.now, ticket as u64, command).expect("the command is accepted");
        fleet.run(Span(SECOND.0 / 5));
    }
    fleet.agents[3].request_permit(fleet.now);
    let tenant = Tenant { name: "t".into(), quota_rps: 1.0, portion: 0.1 };
    let transaction = Transaction { changes: vec![Change::PutTenant(Arc::new(tenant))] };
    let proposal = Proposal {
        request_id: "r".into(),
        author: "ada".into(),
        reason: "test".into(),
        expected: None,
        transaction,
    };
    let request = ConfigurationRequest { proposal, seen: Revision(0), requested_at_ms: 0 };
    fleet.agents[4].submit_change(fleet.now, 7, request).expect("the request is accepted");
    fleet.run(Span(4 * SECOND.0));
    fleet
}

#[test]
fn malformed_messages_stop_no_agent() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(12);
    let mut with_leader = 0;
    for seed in 0..seeds {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = busy_fleet();
        for n in 0..1_500 {
            let sent = fleet.sent_messages.take().unwrap_or_default();
            let (to, message) = &sent[rng.next_u64() as usize % sent.len()];
            let (_, other) = &sent[rng.next_u64() as usize % sent.len()];
            let (to, mut message) = (*to, message.clone());
            mutate(&mut rng, &mut message, other);
            fleet.sent_messages = Some(sent);
            let (from, incarnation) =
                (rng.next_u64() as usize % 6, [1, 1, 1, 2, u64::MAX][rng.next_u64() as usize % 5]);
            fleet.agents[to].receive(fleet.now, &name(from), incarnation, &message);
            if n % 5 == 0 {
                fleet.run(Span(SECOND.0 / 50));
            }
            if n % 100 == 0 {
                fleet.run(Span(2 * SECOND.0));
            }
            fleet.step_until_idle();
            with_leader += u64::from((0..3).any(|voter| fleet.leader(voter).is_some()));
        }
    }
    println!("of {} messages {with_leader} arrived while a voter led", 1_500 * seeds);
    assert!(4 * with_leader > 1_500 * seeds, "too few messages arrived while a voter led: {with_leader}");
}
