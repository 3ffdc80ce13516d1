//! What comes from a server that has the fleet's key and says what none of ours would: numbers at their ends, content with
//! bits changed, cut, doubled or of another datagram. None of it ends the process, and all of it is taken or dropped by reason.

mod common;

use common::{MS, Two, cluster, cluster_that};
use gradepin_admission::{Outcome, Span, Time, time_after};
use gradepin_cluster::authentication::{AuthenticationKeys, Header};
use gradepin_cluster::cluster::{Cluster, ClusterEffect, Envelope, MessageKind};
use gradepin_cluster::leases::LeaseMessage;
use gradepin_cluster::peer::Incarnation;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const KEY: [u8; 32] = [3; 32];

/// A datagram with a good tag, opened.
fn envelope(header: &Header<'_>, body: &[u8]) -> Envelope {
    let keys = AuthenticationKeys::of(KEY);
    Envelope::open(&keys, &keys.authenticate(header, body)).expect("its tag is good")
}

/// From a server that is no member, to anybody.
fn stranger(number: u64, sent_us: u64) -> Header<'static> {
    Header { name: "n9", incarnation: Incarnation(5), to: Incarnation(0), number, sent_us }
}

/// Guards against a time of sending whose difference to the own clock, or to the one before, doesn't fit its type.
#[test]
fn times_of_sending_at_the_ends_of_their_range_are_dropped_or_taken() {
    let half = 1 << 63;
    let ends = [0, 1, half - 1, half, half + 1, u64::MAX - 1, u64::MAX, 1 << 62, 1 << 53, (1 << 53) + 1];
    for first in ends {
        for second in ends {
            for now in [Time(0), Time(1_000 * MS), Time(u64::MAX / 2)] {
                let mut server = cluster(1, 10, now);
                server.receive(now, &envelope(&stranger(1, first), &[0]));
                server.receive(time_after(now, Span(MS)), &envelope(&stranger(2, second), &[0]));
                let status = server.status(now);
                let seen = status.received + status.dropped.values().sum::<u64>();
                assert_eq!(seen, 2, "{first} and {second} at {}: {status:?}", now.0);
            }
        }
    }
}

/// The message about a lease that a server sent last.
fn lease_sent(effects: &[ClusterEffect]) -> Option<LeaseMessage> {
    let keys = AuthenticationKeys::of(KEY);
    let opened = effects.iter().filter_map(|effect| match effect {
        ClusterEffect::Send { datagram, .. } => Envelope::open(&keys, datagram).ok(),
        _ => None,
    });
    opened.filter_map(|envelope| envelope.lease_message()).next_back()
}

/// Guards the sum of what is borrowed against a lender that grants more than it was asked for.
#[test]
fn a_grant_of_more_than_was_asked_for_counts_as_what_was_asked_for() {
    let mut two = Two::new();
    two.run(8_000);
    let [server, _] = &mut two.servers;
    let mut now = two.now;
    for _ in 0..4 {
        server.call(now);
    }
    server.set_waiting(now, 2);
    let mut asked = None;
    for _ in 0..20 {
        now = time_after(now, Span(20 * MS));
        server.set_waiting(now, 2);
        let mut effects = Vec::new();
        server.step(now, &mut effects);
        asked = lease_sent(&effects).or(asked);
    }
    let Some(LeaseMessage::Request { number, round, amount }) = asked else { panic!("got {asked:?}") };
    let grant = LeaseMessage::Grant { number, round, amount: u32::MAX, duration_ms: u32::MAX };
    let mut body = vec![MessageKind::Lease.byte()];
    body.extend(postcard::to_stdvec(&grant).expect("it encodes"));
    let from = Header {
        name: "n2",
        incarnation: Incarnation(20),
        to: Incarnation(10),
        number: 1 << 20,
        sent_us: (now.0 - 1_000 * MS) / 1_000,
    };
    server.receive(now, &envelope(&from, &body));
    let limit = server.limit(now).expect("slots are lent here");
    assert_eq!(limit, 4.0 + f64::from(amount) / 1_000.0);
    server.step(now, &mut Vec::new());
}

/// Guards a start with the times and shares that the platform's file may hold: it bounds none of them.
#[test]
fn a_ledger_that_goes_on_for_ever_and_shares_without_bound_end_no_start() {
    for linger in [0, MS, u64::MAX / 1_000_000, u64::MAX / 2, u64::MAX] {
        for share in [0.0, 1e300, f64::INFINITY, f64::NAN, 4.5] {
            for max_drift_ppm in [0, 10_000, 200_000] {
                let mut now = Time(1_000 * MS);
                let mut server = cluster_that(1, 10, now, |settings| {
                    settings.share = Some(share);
                    settings.leases.upstream_linger = Span(linger);
                    settings.leases.max_drift_ppm = max_drift_ppm;
                    settings.servers = usize::MAX;
                    settings.probes_per_second = f64::MIN_POSITIVE;
                });
                for _ in 0..50 {
                    now = time_after(now, Span(100 * MS));
                    server.set_waiting(now, 1_000);
                    let _ = server.call(now);
                    server.call_ended(now, Outcome::TimedOut, Span(u64::MAX));
                    turn(&mut server, now);
                }
            }
        }
    }
}

/// One of the values at which arithmetic goes wrong.
fn end(rng: &mut Pcg64Mcg) -> u64 {
    let ends = [0, 1, u64::MAX, u64::MAX - 1, 1 << 63, (1 << 63) - 1, u64::from(u32::MAX), 1 << 53];
    match rng.next_u64() % 4 {
        0 => rng.next_u64(),
        _ => ends[rng.next_u64() as usize % ends.len()],
    }
}

/// Changes a body somewhere: bits, a run of bytes at their end values, its length, or for a part of another one.
fn mutate(rng: &mut Pcg64Mcg, body: &mut Vec<u8>, other: &[u8]) {
    for _ in 0..1 + rng.next_u64() % 3 {
        let place = rng.next_u64() as usize % body.len().max(1);
        match rng.next_u64() % 6 {
            0 if !body.is_empty() => body[place] ^= 1 << (rng.next_u64() % 8),
            1 => body.truncate(place),
            2 if !body.is_empty() => {
                // The longest number as it is encoded.
                let longest = [0xff; 9].into_iter().chain([0x01]);
                body.splice(place..=place, longest);
            }
            3 => body.splice(place.., other.iter().skip(place).copied()).for_each(drop),
            4 => body.extend(other.iter().skip(place).take(100).copied()),
            _ if !body.is_empty() => body[place] = [0, 1, 0x7f, 0x80, 0xff][rng.next_u64() as usize % 5],
            _ => body.push(0),
        }
    }
    body.truncate(1_200);
}

/// What a server that is sent such things does meanwhile: it goes on, and its next turn is never in the past for ever.
fn turn(server: &mut Cluster, now: Time) {
    let mut effects = Vec::new();
    for _ in 0..64 {
        server.step(now, &mut effects);
        if server.wake_at(now) > now {
            return;
        }
    }
    panic!("it asks for a turn at {} again and again", now.0);
}

/// 60,000 datagrams as servers send them, with a good tag, and with header and content changed; clocks that stand and jump.
#[test]
fn mutated_content_with_a_good_tag_ends_no_server() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(12);
    for seed in 1..=seeds {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut two = Two::new();
        two.run(4_000);
        two.servers.iter_mut().for_each(|server| server.set_waiting(two.now, 9));
        two.run(4_000);
        let passed = std::mem::take(&mut two.passed);
        let keys = AuthenticationKeys::of(KEY);
        let [server, _] = &mut two.servers;
        let mut now = two.now;
        for n in 0..5_000_u64 {
            let (_, datagram) = &passed[rng.next_u64() as usize % passed.len()];
            let (_, other) = &passed[rng.next_u64() as usize % passed.len()];
            let (header, body) = keys.verify(datagram).expect("ours");
            let (_, other) = keys.verify(other).expect("ours");
            let names = ["n2", "n2", "n2", "n1", "n9", "x", &"n".repeat(48)];
            let odd_header = rng.next_u64().is_multiple_of(10);
            // Whoever says odd things of itself is heard no more, so those have names of their own.
            let name = match odd_header {
                true => format!("odd{}", rng.next_u64() % 20),
                false => names[rng.next_u64() as usize % names.len()].to_string(),
            };
            let mut odd = Header { name: &name, number: 10_000 + n, ..header };
            odd.to = server.members().own().incarnation;
            odd.incarnation = Incarnation(20);
            odd.sent_us = now.0.saturating_sub(1_000 * MS) / 1_000;
            match rng.next_u64() % 4 {
                0 if odd_header => odd.incarnation = Incarnation(end(&mut rng)),
                1 if odd_header => odd.to = Incarnation(end(&mut rng)),
                2 if odd_header => odd.number = end(&mut rng),
                3 if odd_header => odd.sent_us = end(&mut rng),
                _ => {}
            }
            let mut body = body.to_vec();
            mutate(&mut rng, &mut body, other);
            server.receive(now, &envelope(&odd, &body));
            match rng.next_u64() % 50 {
                0 => now = time_after(now, Span(rng.next_u64() % (8_000 * MS))),
                1 => server.set_waiting(now, rng.next_u64() as usize % 20),
                2 => drop(server.call(now)),
                3 => server.call_ended(now, Outcome::TimedOut, Span(MS)),
                4..10 => now = time_after(now, Span(20 * MS)),
                _ => {}
            }
            turn(server, now);
            let status = server.status(now);
            assert!(status.borrowed_slots <= 64.0, "{status:?}");
        }
        let status = server.status(now);
        println!("{} taken, dropped {:?}", status.received, status.dropped);
        assert!(status.received > 800, "most were dropped before anything looked at them: {status:?}");
    }
}
