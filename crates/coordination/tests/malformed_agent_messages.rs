//! Malformed messages between agents, with a valid tag: about permits, rollouts, the founding and the configuration, with bytes
//! changed, truncated, duplicated and spliced. None of them stops an agent, and none makes it want to step at once for ever.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{ALL, Fleet, SECOND, name};
use gradepin_admission::{Span, Tenant};
use gradepin_config::change::{Change, Proposal, Revision, Transaction};
use gradepin_coordination::configuration_log::ConfigurationRequest;
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::replicated_state::{Name, Target};
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutPlan};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::sync::Arc;

/// The variant of a founding message, as it is encoded.
const FOUND: u8 = 8;

fn founding(voters: &[(u8, &str)]) -> Vec<u8> {
    let mut bytes = vec![FOUND, voters.len() as u8];
    for (id, name) in voters {
        bytes.extend([*id, name.len() as u8]);
        bytes.extend(name.as_bytes());
    }
    bytes
}

/// A founding that names the library's unset identity is rejected.
#[test]
fn rejects_a_founding_with_an_unset_identity() {
    let mut fleet = Fleet::new(&[ALL; 3]);
    fleet.run(SECOND);
    let word = founding(&[(0, "n1"), (100, "n0"), (102, "n2")]);
    fleet.agents[0].receive(fleet.now, &name(1), 1, &word);
    fleet.run(SECOND);
    assert!(!fleet.agents[0].status(fleet.now).is_voter, "it belongs to no council");
    fleet.found(0).expect("all are heard, and it can still be founded");
    fleet.run(Span(8 * SECOND.0));
    assert!(fleet.leader(0).is_some());
}

fn change(rng: &mut Pcg64Mcg, word: &mut Vec<u8>, other: &[u8]) {
    for _ in 0..1 + rng.next_u64() % 3 {
        let place = rng.next_u64() as usize % word.len().max(1);
        match rng.next_u64() % 7 {
            0 if !word.is_empty() => word[place] ^= 1 << (rng.next_u64() % 8),
            1 => word.truncate(place),
            2 if !word.is_empty() => {
                let longest = [0xff; 9].into_iter().chain([0x01]);
                word.splice(place..=place, longest);
            }
            3 => word.splice(place.., other.iter().skip(place).copied()).for_each(drop),
            4 => word.extend(other.iter().skip(place).take(200).copied()),
            5 if !word.is_empty() => word[place] = rng.next_u64() as u8,
            _ if !word.is_empty() => word[place] = [0, 1, 0x7f, 0x80, 0xff][rng.next_u64() as usize % 5],
            _ => word.push(0),
        }
    }
}

/// A fleet with a rollout, permits and changes in progress, whose messages are kept.
fn busy_fleet() -> Fleet {
    let mut fleet = Fleet::new(&[ALL; 5]);
    fleet.sent = Some(Vec::new());
    fleet.run(SECOND);
    fleet.found(0).expect("all are heard");
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
    let by: Name = "ada".into();
    let target = Target::Zone(Arc::from("z1"));
    let orders = [
        OperatorCommand::GrantPermit { target, operator: by.clone() },
        OperatorCommand::StartRollout { plan: Box::new(plan), operator: by.clone() },
        OperatorCommand::RemoveServer { name: name(9), operator: by.clone(), reason: "gone".into() },
        OperatorCommand::ChangeVoter { name: name(4), add: true, operator: by },
    ];
    for (ticket, order) in orders.into_iter().enumerate() {
        fleet.agents[ticket % 5].submit(fleet.now, ticket as u64, order).expect("there is room");
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
    fleet.agents[4].submit_change(fleet.now, 7, request).expect("taken");
    fleet.run(Span(4 * SECOND.0));
    fleet
}

#[test]
fn malformed_messages_stop_no_agent() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(12);
    let mut led = 0;
    for seed in 0..seeds {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = busy_fleet();
        for n in 0..1_500 {
            let sent = fleet.sent.take().unwrap_or_default();
            let (to, word) = &sent[rng.next_u64() as usize % sent.len()];
            let (_, other) = &sent[rng.next_u64() as usize % sent.len()];
            let (to, mut word) = (*to, word.clone());
            change(&mut rng, &mut word, other);
            fleet.sent = Some(sent);
            let (from, life) =
                (rng.next_u64() as usize % 6, [1, 1, 1, 2, u64::MAX][rng.next_u64() as usize % 5]);
            fleet.agents[to].receive(fleet.now, &name(from), life, &word);
            if n % 5 == 0 {
                fleet.run(Span(SECOND.0 / 50));
            }
            if n % 100 == 0 {
                fleet.run(Span(2 * SECOND.0));
            }
            fleet.settle();
            led += u64::from((0..3).any(|voter| fleet.leader(voter).is_some()));
        }
    }
    println!("of {} words {led} came while a voter led", 1_500 * seeds);
    assert!(4 * led > 1_500 * seeds, "the council was gone for most of it: {led}");
}
