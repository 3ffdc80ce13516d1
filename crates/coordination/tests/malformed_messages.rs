//! Malformed messages between voters, with valid authentication: extreme numbers, entries with gaps, snapshots without voters.
//! None of them makes a voter panic.

mod common;

use common::{Disk, SimulatedGroup, add_server};
use gradepin_coordination::consensus::{ConsensusVoter, DurableRecord, VoterEffect, VoterId, VoterState};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use slog::Level;

#[derive(Clone, Copy, Serialize, Deserialize)]
struct LogEnd {
    term: u64,
    index: u64,
}

/// A message between voters, with the same encoding as in the crate.
#[derive(Clone, Serialize, Deserialize)]
enum Envelope {
    Raft(Vec<u8>),
    EndRequest(LogEnd),
    EndReply(LogEnd),
}

/// Draws a number near the given one, or at an end of the range.
fn draw_near(rng: &mut Pcg64Mcg, number: u64) -> u64 {
    match rng.next_u64() % 24 {
        0 => 0,
        1 => u64::MAX,
        2 => u64::MAX - rng.next_u64() % 3,
        3 => 1 << 63,
        4..16 => number.wrapping_add(rng.next_u64() % 5),
        16..21 => number.wrapping_sub(rng.next_u64() % 5),
        21 => number.wrapping_add(rng.next_u64() % 1_000),
        _ => rng.next_u64() % 200,
    }
}

fn random_type(rng: &mut Pcg64Mcg) -> MessageType {
    use MessageType::*;
    let types = [
        MsgHup,
        MsgBeat,
        MsgPropose,
        MsgAppend,
        MsgAppendResponse,
        MsgRequestVote,
        MsgRequestVoteResponse,
        MsgSnapshot,
        MsgHeartbeat,
        MsgHeartbeatResponse,
        MsgUnreachable,
        MsgSnapStatus,
        MsgCheckQuorum,
        MsgTransferLeader,
        MsgTimeoutNow,
        MsgReadIndex,
        MsgReadIndexResp,
        MsgRequestPreVote,
        MsgRequestPreVoteResponse,
    ];
    types[rng.next_u64() as usize % types.len()]
}

fn mutate_entries(rng: &mut Pcg64Mcg, message: &mut Message) {
    if message.entries.is_empty() || rng.next_u64().is_multiple_of(4) {
        let (index, term) = (draw_near(rng, message.index.wrapping_add(1)), draw_near(rng, message.term));
        let entry = Entry { index, term, ..Entry::default() };
        message.mut_entries().push(entry);
    }
    let position = rng.next_u64() as usize % message.entries.len();
    let entry = &mut message.mut_entries()[position];
    match rng.next_u64() % 5 {
        0 => entry.index = draw_near(rng, entry.index),
        1 => entry.term = draw_near(rng, entry.term),
        2 => entry.set_entry_type(EntryType::EntryConfChangeV2),
        3 => entry.set_entry_type(EntryType::EntryConfChange),
        _ => {
            entry.set_data((0..rng.next_u64() % 40).map(|_| rng.next_u64() as u8).collect::<Vec<u8>>().into())
        }
    }
}

fn mutate_snapshot(rng: &mut Pcg64Mcg, message: &mut Message) {
    let meta = message.mut_snapshot().mut_metadata();
    match rng.next_u64() % 6 {
        0 => meta.index = draw_near(rng, meta.index),
        1 => meta.term = draw_near(rng, meta.term),
        2 => meta.mut_conf_state().mut_voters().push(draw_near(rng, 101)),
        3 => meta.mut_conf_state().mut_learners().push(101),
        4 => meta.mut_conf_state().mut_voters_outgoing().push(102),
        _ => message.mut_snapshot().set_data(vec![rng.next_u64() as u8; 9].into()),
    }
}

fn mutate(rng: &mut Pcg64Mcg, message: &mut Message) {
    for _ in 0..1 + rng.next_u64() % 3 {
        match rng.next_u64() % 12 {
            0 => message.set_msg_type(random_type(rng)),
            1 => message.term = draw_near(rng, message.term),
            2 => message.log_term = draw_near(rng, message.log_term),
            3 => message.index = draw_near(rng, message.index),
            4 => message.commit = draw_near(rng, message.commit),
            5 => message.commit_term = draw_near(rng, message.commit_term),
            6 => message.reject = !message.reject,
            7 => message.reject_hint = draw_near(rng, message.reject_hint),
            8 => message.request_snapshot = draw_near(rng, message.request_snapshot),
            9 => message.set_context(vec![rng.next_u64() as u8; 3].into()),
            10 => mutate_snapshot(rng, message),
            _ => mutate_entries(rng, message),
        }
    }
}

/// Returns one of the sent messages with random changes: receiver, sender and bytes.
fn mutated_message(
    rng: &mut Pcg64Mcg,
    sent: &[(usize, VoterId, Vec<u8>)],
) -> Option<(usize, VoterId, Vec<u8>)> {
    let (to, from, bytes) = &sent[rng.next_u64() as usize % sent.len()];
    let mutated = match postcard::from_bytes(bytes).ok()? {
        Envelope::Raft(bytes) => {
            let mut message = Message::parse_from_bytes(&bytes).ok()?;
            mutate(rng, &mut message);
            if rng.next_u64().is_multiple_of(10) {
                // The sender is no voter, or the receiver itself.
                message.from = if rng.next_u64().is_multiple_of(2) { 77 } else { message.to };
                let bytes = postcard::to_stdvec(&Envelope::Raft(message.write_to_bytes().ok()?)).ok()?;
                return Some((*to, message.from, bytes));
            }
            Envelope::Raft(message.write_to_bytes().ok()?)
        }
        Envelope::EndRequest(end) => Envelope::EndRequest(LogEnd { term: draw_near(rng, end.term), ..end }),
        Envelope::EndReply(end) => Envelope::EndReply(LogEnd { index: draw_near(rng, end.index), ..end }),
    };
    Some((*to, *from, postcard::to_stdvec(&mutated).ok()?))
}

/// Guards against replacing an unreadable snapshot by an empty state: the voter would grant permits that others hold, and give
/// entries other outcomes than the other voters do.
#[test]
fn voter_with_an_unreadable_snapshot_is_excluded() {
    let mut group = SimulatedGroup::new(3, 3);
    group.run_until_leader(6_000).expect("a leader");
    group.propose(add_server(1));
    group.run(1_000);
    let records = group.voters[0].durable.clone();
    let Some(DurableRecord::Snapshot { index, term, voters, .. }) = records.first().cloned() else {
        panic!("expected a snapshot")
    };
    for data in [Vec::new(), vec![0xff; 40], vec![1]] {
        let snapshot = DurableRecord::Snapshot { index, term, voters: voters.clone(), data };
        let records = std::iter::once(snapshot).chain(records[1..].iter().cloned()).collect();
        let mut consensus = ConsensusVoter::new(VoterState { id: 101, records }, 1, group.now);
        assert!(consensus.excluded().is_some() && !consensus.is_founded());
        let mut effects = Vec::new();
        consensus.step(group.now, &mut effects);
        assert!(
            effects.iter().any(|effect| matches!(effect, VoterEffect::Log { level: Level::Warning, .. })),
            "{effects:?}"
        );
        assert!(!effects.iter().any(|effect| matches!(effect, VoterEffect::Write { .. })), "{effects:?}");
    }
}

/// 60,000 messages that voters sent, with fields changed, are received by voters in every role: leading, following, behind,
/// restarted, not founded.
#[test]
fn malformed_log_messages_stop_no_voter() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(240);
    let (mut received, mut with_leader) = (0, 0);
    for seed in 0..seeds {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut group = SimulatedGroup::new(3, seed);
        group.sent_messages = Some(Vec::new());
        let not_founded = group.add_voter();
        group.run_until_leader(6_000).expect("a leader");
        for n in 0..160 {
            group.propose(add_server(n));
            group.run(10);
        }
        // A voter with a new disk makes the leader send a snapshot.
        let behind = (group.leader().unwrap_or(0) + 1) % 3;
        group.kill(behind);
        group.restart(behind, Disk::Empty);
        let (leader, replacement) = (group.leader().unwrap_or(0), group.voters[behind].id);
        let _ = group.consensus(leader).change_membership(replacement, Some(&common::name(behind)));
        group.run(3_000);
        for n in 0..250 {
            let sent = group.sent_messages.take().unwrap_or_default();
            if let Some((to, from, bytes)) = mutated_message(&mut rng, &sent) {
                let to = if rng.next_u64().is_multiple_of(20) { not_founded } else { to };
                let now = group.now;
                if group.consensus(to).excluded().is_some() {
                    // A voter that was made to believe that it lost entries is excluded until it restarts.
                    group.restart(to, Disk::Intact);
                }
                received += u64::from(group.consensus(to).is_founded());
                group.consensus(to).receive(now, from, &bytes);
            }
            group.sent_messages = Some(sent);
            with_leader += u64::from(group.leader().is_some());
            if n % 3 == 0 {
                group.propose(add_server(n));
                group.run(20);
            }
            if n % 100 == 99 {
                let restarted = rng.next_u64() as usize % 3;
                group.kill(restarted);
                group.restart(restarted, Disk::Intact);
                group.run(4_000);
            }
        }
    }
    let total = 250 * seeds;
    println!(
        "of {total} messages {received} were received by founded voters, {with_leader} while a voter led"
    );
    assert!(
        2 * received > total && 5 * with_leader > total,
        "too few received: {received} and {with_leader} of {total}"
    );
}
