//! Malformed messages between voters, with a valid tag: extreme numbers, entries with gaps, snapshots without voters. None of
//! them stops a voter's process.

mod common;

use common::{Disk, World, enrol};
use gradepin_coordination::consensus::{ConsensusVoter, DurableRecord, VoterEffect, VoterId, VoterState};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use slog::Level;

#[derive(Clone, Copy, Serialize, Deserialize)]
struct Place {
    term: u64,
    index: u64,
}

/// What voters say to each other, as it is encoded.
#[derive(Clone, Serialize, Deserialize)]
enum Said {
    Raft(Vec<u8>),
    Where(Place),
    Here(Place),
}

/// Numbers near the ones of the log, and at the ends of their range.
fn odd(rng: &mut Pcg64Mcg, number: u64) -> u64 {
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

fn kind(rng: &mut Pcg64Mcg) -> MessageType {
    use MessageType::*;
    let all = [
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
    all[rng.next_u64() as usize % all.len()]
}

fn mutate_entries(rng: &mut Pcg64Mcg, message: &mut Message) {
    if message.entries.is_empty() || rng.next_u64().is_multiple_of(4) {
        let (index, term) = (odd(rng, message.index.wrapping_add(1)), odd(rng, message.term));
        let entry = Entry { index, term, ..Entry::default() };
        message.mut_entries().push(entry);
    }
    let place = rng.next_u64() as usize % message.entries.len();
    let entry = &mut message.mut_entries()[place];
    match rng.next_u64() % 5 {
        0 => entry.index = odd(rng, entry.index),
        1 => entry.term = odd(rng, entry.term),
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
        0 => meta.index = odd(rng, meta.index),
        1 => meta.term = odd(rng, meta.term),
        2 => meta.mut_conf_state().mut_voters().push(odd(rng, 101)),
        3 => meta.mut_conf_state().mut_learners().push(101),
        4 => meta.mut_conf_state().mut_voters_outgoing().push(102),
        _ => message.mut_snapshot().set_data(vec![rng.next_u64() as u8; 9].into()),
    }
}

fn mutate(rng: &mut Pcg64Mcg, message: &mut Message) {
    for _ in 0..1 + rng.next_u64() % 3 {
        match rng.next_u64() % 12 {
            0 => message.set_msg_type(kind(rng)),
            1 => message.term = odd(rng, message.term),
            2 => message.log_term = odd(rng, message.log_term),
            3 => message.index = odd(rng, message.index),
            4 => message.commit = odd(rng, message.commit),
            5 => message.commit_term = odd(rng, message.commit_term),
            6 => message.reject = !message.reject,
            7 => message.reject_hint = odd(rng, message.reject_hint),
            8 => message.request_snapshot = odd(rng, message.request_snapshot),
            9 => message.set_context(vec![rng.next_u64() as u8; 3].into()),
            10 => mutate_snapshot(rng, message),
            _ => mutate_entries(rng, message),
        }
    }
}

/// One of the messages that were sent, changed; and whom it is for.
fn odd_message(rng: &mut Pcg64Mcg, sent: &[(usize, VoterId, Vec<u8>)]) -> Option<(usize, VoterId, Vec<u8>)> {
    let (to, from, bytes) = &sent[rng.next_u64() as usize % sent.len()];
    let said = match postcard::from_bytes(bytes).ok()? {
        Said::Raft(bytes) => {
            let mut message = Message::parse_from_bytes(&bytes).ok()?;
            mutate(rng, &mut message);
            if rng.next_u64().is_multiple_of(10) {
                // From one that is no voter, or from the receiver itself.
                message.from = if rng.next_u64().is_multiple_of(2) { 77 } else { message.to };
                let bytes = postcard::to_stdvec(&Said::Raft(message.write_to_bytes().ok()?)).ok()?;
                return Some((*to, message.from, bytes));
            }
            Said::Raft(message.write_to_bytes().ok()?)
        }
        Said::Where(place) => Said::Where(Place { term: odd(rng, place.term), ..place }),
        Said::Here(place) => Said::Here(Place { index: odd(rng, place.index), ..place }),
    };
    Some((*to, *from, postcard::to_stdvec(&said).ok()?))
}

/// A voter whose snapshot can't be decoded: with an empty state in its place it would grant permits that others hold, and give
/// the same entry another outcome.
#[test]
fn voter_with_an_unreadable_snapshot_is_excluded() {
    let mut world = World::new(3, 3);
    world.led(6_000).expect("a leader");
    world.propose(enrol(1));
    world.run(1_000);
    let records = world.voters[0].durable.clone();
    let Some(DurableRecord::Snapshot { index, term, voters, .. }) = records.first().cloned() else {
        panic!("none")
    };
    for data in [Vec::new(), vec![0xff; 40], vec![1]] {
        let snapshot = DurableRecord::Snapshot { index, term, voters: voters.clone(), data };
        let records = std::iter::once(snapshot).chain(records[1..].iter().cloned()).collect();
        let mut consensus = ConsensusVoter::new(VoterState { id: 101, records }, 1, world.now);
        assert!(consensus.excluded().is_some() && !consensus.is_founded());
        let mut effects = Vec::new();
        consensus.step(world.now, &mut effects);
        assert!(
            effects.iter().any(|effect| matches!(effect, VoterEffect::Log { level: Level::Warning, .. })),
            "{effects:?}"
        );
        assert!(!effects.iter().any(|effect| matches!(effect, VoterEffect::Write { .. })), "{effects:?}");
    }
}

/// 60,000 messages as voters send them, with fields changed, to voters of every role: founded, leading, behind, restarted.
#[test]
fn malformed_log_messages_stop_no_voter() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(240);
    let (mut heard, mut led) = (0, 0);
    for seed in 0..seeds {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new(3, seed);
        world.sent = Some(Vec::new());
        let newcomer = world.add();
        world.led(6_000).expect("a leader");
        for n in 0..160 {
            world.propose(enrol(n));
            world.run(10);
        }
        // So that a snapshot is among what was sent.
        let behind = (world.leader().unwrap_or(0) + 1) % 3;
        world.kill(behind);
        world.start(behind, Disk::Empty);
        let (leader, fresh) = (world.leader().unwrap_or(0), world.voters[behind].id);
        let _ = world.consensus(leader).change_membership(fresh, Some(&common::name(behind)));
        world.run(3_000);
        for n in 0..250 {
            let sent = world.sent.take().unwrap_or_default();
            if let Some((to, from, bytes)) = odd_message(&mut rng, &sent) {
                let to = if rng.next_u64().is_multiple_of(20) { newcomer } else { to };
                let now = world.now;
                if world.consensus(to).excluded().is_some() {
                    // One that believed that it lost something is out until it starts again.
                    world.start(to, Disk::Kept);
                }
                heard += u64::from(world.consensus(to).is_founded());
                world.consensus(to).receive(now, from, &bytes);
            }
            world.sent = Some(sent);
            led += u64::from(world.leader().is_some());
            if n % 3 == 0 {
                world.propose(enrol(n));
                world.run(20);
            }
            if n % 100 == 99 {
                let place = rng.next_u64() as usize % 3;
                world.kill(place);
                world.start(place, Disk::Kept);
                world.run(4_000);
            }
        }
    }
    let most = 250 * seeds;
    println!("of {most} messages {heard} were heard by founded voters, {led} while one led");
    assert!(2 * heard > most && 5 * led > most, "nobody was there to hear them: {heard} and {led} of {most}");
}
