//! What comes at a server's address: strangers' bytes, mutated and replayed datagrams, and those of earlier incarnations. Nothing
//! panics, nothing is believed.

mod common;

use common::{MS, Two, cluster};
use gradepin_admission::Span;
use gradepin_cluster::authentication::{AuthenticationKeys, DropReason};
use gradepin_cluster::cluster::Envelope;
use gradepin_cluster::peer::Incarnation;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Guards the address against whatever comes: 100,000 datagrams of noise, and of real ones with bytes changed, cut or added.
#[test]
fn noise_and_mutated_datagrams_are_dropped_and_change_nothing() {
    let mut two = Two::new();
    two.run(5_000);
    let keys = AuthenticationKeys::of([3; 32]);
    let before = two.servers[0].view(two.now);
    let seed = 20_261_201;
    println!("seed {seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut mutated = 0;
    for n in 0..100_000 {
        let mut datagram = if n % 2 == 0 {
            (0..rng.next_u64() % 1_500).map(|_| rng.next_u64() as u8).collect::<Vec<u8>>()
        } else {
            let place = rng.next_u64() as usize % two.passed.len();
            two.passed[place].1.clone()
        };
        if n % 2 == 1 {
            match rng.next_u64() % 3 {
                0 => {
                    let place = rng.next_u64() as usize % datagram.len();
                    datagram[place] ^= 1 << (rng.next_u64() % 8);
                }
                1 => datagram.truncate(rng.next_u64() as usize % datagram.len()),
                _ => datagram.push(rng.next_u64() as u8),
            }
            mutated += 1;
        }
        let opened = Envelope::open(&keys, &datagram);
        assert!(matches!(opened, Err(DropReason::WrongTag | DropReason::MalformedEnvelope)), "{n}");
    }
    assert_eq!(mutated, 50_000);
    assert_eq!(two.servers[0].view(two.now).members, before.members);
}

/// Guards against recorded datagrams that are sent again, all of them, in any order; and against content that has the tag
/// and makes no sense.
#[test]
fn replays_are_dropped_one_by_one() {
    let mut two = Two::new();
    two.run(5_000);
    let keys = AuthenticationKeys::of([3; 32]);
    let to_first: Vec<Vec<u8>> =
        two.passed.iter().filter(|(to, _)| *to == 0).map(|(_, d)| d.clone()).collect();
    let before = two.servers[0].status(two.now);
    for datagram in to_first.iter().rev().chain(&to_first) {
        let envelope = Envelope::open(&keys, datagram).unwrap();
        two.servers[0].receive(two.now, &envelope);
    }
    let status = two.servers[0].status(two.now);
    assert_eq!(status.received, before.received, "none was taken again");
    let replays = status.dropped.get(&DropReason::Replay).copied().unwrap_or(0);
    let late = status.dropped.get(&DropReason::Delayed).copied().unwrap_or(0);
    let other = status.dropped.get(&DropReason::OtherIncarnation).copied().unwrap_or(0);
    assert_eq!(replays + late + other, 2 * to_first.len() as u64, "{:?}", status.dropped);
}

/// Guards a server that starts again against what was sent to its earlier incarnation, and the others against what its earlier incarnation
/// had sent.
#[test]
fn datagrams_of_and_for_an_earlier_life_count_for_nobody() {
    let mut two = Two::new();
    two.run(5_000);
    let keys = AuthenticationKeys::of([3; 32]);
    let old = std::mem::take(&mut two.passed);
    two.servers[0] = cluster(1, 30, two.now);
    two.run(3_000);
    assert_eq!(two.servers[1].members().find("n1").map(|seen| seen.peer.incarnation), Some(Incarnation(30)));
    let rows = |two: &Two| two.servers[0].read(two.now, |_| true).servers;
    let before = (rows(&two), two.servers[0].view(two.now).members, two.servers[1].view(two.now).members);
    for (to, datagram) in &old {
        let envelope = Envelope::open(&keys, datagram).unwrap();
        two.servers[*to].receive(two.now, &envelope);
    }
    let after = (rows(&two), two.servers[0].view(two.now).members, two.servers[1].view(two.now).members);
    assert_eq!(before, after);
    let dropped = two.servers[1].status(two.now).dropped;
    assert!(dropped.get(&DropReason::EarlierIncarnation).is_some_and(|times| *times > 0), "{dropped:?}");
    let dropped = two.servers[0].status(two.now).dropped;
    assert!(dropped.get(&DropReason::OtherIncarnation).is_some_and(|times| *times > 0), "{dropped:?}");
}

/// Guards the net: whatever is said, a server sends no more than its bound over any second but for one second's worth.
#[test]
fn bytes_a_second_are_bounded() {
    let mut two = Two::new();
    let mut sent = Vec::new();
    for _ in 0..200 {
        two.run(100);
        for n in 0..60 {
            two.servers[0].arrived(two.now, gradepin_cluster::counters::CellId(n + 1), false, Span(MS));
        }
        sent.push(two.servers[0].status(two.now).bytes_sent);
    }
    let most = sent.windows(11).map(|w| w[10] - w[0]).max().unwrap();
    assert!(most <= 64_000, "{most} bytes in a second");
    assert!(sent[199] - sent[0] <= 32_000 * 21, "{} bytes in 20 s", sent[199] - sent[0]);
}
