//! Invalid datagrams: noise, mutated and replayed datagrams, and those of or for earlier incarnations are
//! dropped without a panic and change no state.

mod common;

use common::{MS, TwoServers, cluster};
use gradepin_admission::Span;
use gradepin_cluster::authentication::{AuthenticationKeys, DropReason};
use gradepin_cluster::cluster::Envelope;
use gradepin_cluster::peer::Incarnation;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Receives 100,000 datagrams: half of them random bytes, half of them valid datagrams with a bit flipped,
/// truncated or with a byte added.
#[test]
fn noise_and_mutated_datagrams_are_dropped_and_change_nothing() {
    let mut two = TwoServers::new();
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
            let index = rng.next_u64() as usize % two.delivered.len();
            two.delivered[index].1.clone()
        };
        if n % 2 == 1 {
            match rng.next_u64() % 3 {
                0 => {
                    let index = rng.next_u64() as usize % datagram.len();
                    datagram[index] ^= 1 << (rng.next_u64() % 8);
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

/// All recorded datagrams are sent again, in reverse and in original order; each of them must be dropped.
#[test]
fn every_replayed_datagram_is_dropped() {
    let mut two = TwoServers::new();
    two.run(5_000);
    let keys = AuthenticationKeys::of([3; 32]);
    let to_first: Vec<Vec<u8>> =
        two.delivered.iter().filter(|(to, _)| *to == 0).map(|(_, d)| d.clone()).collect();
    let before = two.servers[0].status(two.now);
    for datagram in to_first.iter().rev().chain(&to_first) {
        let envelope = Envelope::open(&keys, datagram).unwrap();
        two.servers[0].receive(two.now, &envelope);
    }
    let status = two.servers[0].status(two.now);
    assert_eq!(status.received, before.received, "no replay was accepted");
    let replays = status.dropped.get(&DropReason::Replay).copied().unwrap_or(0);
    let late = status.dropped.get(&DropReason::Delayed).copied().unwrap_or(0);
    let other = status.dropped.get(&DropReason::OtherIncarnation).copied().unwrap_or(0);
    assert_eq!(replays + late + other, 2 * to_first.len() as u64, "{:?}", status.dropped);
}

/// After the restart of a server, datagrams that were sent to or by its earlier incarnation must change
/// nothing.
#[test]
fn datagrams_of_and_for_an_earlier_incarnation_are_dropped() {
    let mut two = TwoServers::new();
    two.run(5_000);
    let keys = AuthenticationKeys::of([3; 32]);
    let old = std::mem::take(&mut two.delivered);
    two.servers[0] = cluster(1, 30, two.now);
    two.run(3_000);
    assert_eq!(two.servers[1].members().find("n1").map(|seen| seen.peer.incarnation), Some(Incarnation(30)));
    let rows = |two: &TwoServers| two.servers[0].read(two.now, |_| true).servers;
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

/// Over any period a server sends at most its bound on bytes per second, plus a burst of one second's bytes.
#[test]
fn sent_bytes_per_second_are_bounded() {
    let mut two = TwoServers::new();
    let mut sent = Vec::new();
    for _ in 0..200 {
        two.run(100);
        for n in 0..60 {
            two.servers[0].arrived(two.now, gradepin_cluster::counters::CellId(n + 1), false, Span(MS));
        }
        sent.push(two.servers[0].status(two.now).bytes_sent);
    }
    let max_in_a_second = sent.windows(11).map(|w| w[10] - w[0]).max().unwrap();
    assert!(max_in_a_second <= 64_000, "{max_in_a_second} bytes in a second");
    assert!(sent[199] - sent[0] <= 32_000 * 21, "{} bytes in 20 s", sent[199] - sent[0]);
}
