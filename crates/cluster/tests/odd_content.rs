//! Datagrams with a valid tag but content that no correct server sends: numbers at the ends of their range,
//! and content that is changed, truncated, extended or mixed with that of another datagram. None of them
//! causes a panic, and each is accepted or dropped with a reason.

mod common;

use common::{MS, TwoServers, cluster, cluster_with};
use gradepin_admission::{Outcome, Span, Time, time_after};
use gradepin_cluster::authentication::{AuthenticationKeys, Header};
use gradepin_cluster::cluster::{Cluster, ClusterEffect, Envelope, MessageKind};
use gradepin_cluster::leases::LeaseMessage;
use gradepin_cluster::peer::Incarnation;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const KEY: [u8; 32] = [3; 32];

/// Makes a datagram with a valid tag and opens it.
fn envelope(header: &Header<'_>, body: &[u8]) -> Envelope {
    let keys = AuthenticationKeys::of(KEY);
    Envelope::open(&keys, &keys.authenticate(header, body)).expect("a valid tag")
}

/// The header of a datagram from a server that is no member, to any incarnation.
fn non_member_header(number: u64, sent_us: u64) -> Header<'static> {
    Header { name: "n9", incarnation: Incarnation(5), to: Incarnation(0), number, sent_us }
}

/// The difference of a send time to the receiver's clock, or to the previous send time, must not overflow.
#[test]
fn send_times_at_the_ends_of_their_range_are_dropped_or_accepted() {
    let half = 1 << 63;
    let ends = [0, 1, half - 1, half, half + 1, u64::MAX - 1, u64::MAX, 1 << 62, 1 << 53, (1 << 53) + 1];
    for first in ends {
        for second in ends {
            for now in [Time(0), Time(1_000 * MS), Time(u64::MAX / 2)] {
                let mut server = cluster(1, 10, now);
                server.receive(now, &envelope(&non_member_header(1, first), &[0]));
                server.receive(time_after(now, Span(MS)), &envelope(&non_member_header(2, second), &[0]));
                let status = server.status(now);
                let seen = status.received + status.dropped.values().sum::<u64>();
                assert_eq!(seen, 2, "{first} and {second} at {}: {status:?}", now.0);
            }
        }
    }
}

/// The last lease message among the sent datagrams.
fn last_lease_message(effects: &[ClusterEffect]) -> Option<LeaseMessage> {
    let keys = AuthenticationKeys::of(KEY);
    let opened = effects.iter().filter_map(|effect| match effect {
        ClusterEffect::Send { datagram, .. } => Envelope::open(&keys, datagram).ok(),
        _ => None,
    });
    opened.filter_map(|envelope| envelope.lease_message()).next_back()
}

/// A grant of the maximum amount must not overflow the borrower's sum of borrowed slots.
#[test]
fn a_grant_of_more_than_was_requested_counts_as_the_requested_amount() {
    let mut two = TwoServers::new();
    two.run(8_000);
    let [server, _] = &mut two.servers;
    let mut now = two.now;
    for _ in 0..4 {
        server.call(now);
    }
    server.set_waiting(now, 2);
    let mut request = None;
    for _ in 0..20 {
        now = time_after(now, Span(20 * MS));
        server.set_waiting(now, 2);
        let mut effects = Vec::new();
        server.step(now, &mut effects);
        request = last_lease_message(&effects).or(request);
    }
    let Some(LeaseMessage::Request { number, round, amount }) = request else { panic!("got {request:?}") };
    let grant = LeaseMessage::Grant { number, round, amount: u32::MAX, duration_ms: u32::MAX };
    let mut body = vec![MessageKind::Lease.byte()];
    body.extend(postcard::to_stdvec(&grant).expect("a grant can be encoded"));
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

/// The platform's file doesn't bound times and shares, so a server must run with any value of them.
#[test]
fn a_server_runs_with_any_upstream_linger_share_and_drift() {
    for linger in [0, MS, u64::MAX / 1_000_000, u64::MAX / 2, u64::MAX] {
        for share in [0.0, 1e300, f64::INFINITY, f64::NAN, 4.5] {
            for max_drift_ppm in [0, 10_000, 200_000] {
                let mut now = Time(1_000 * MS);
                let mut server = cluster_with(1, 10, now, |settings| {
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
                    step_until_idle(&mut server, now);
                }
            }
        }
    }
}

/// A random number, most often one at which arithmetic may overflow.
fn boundary_value(rng: &mut Pcg64Mcg) -> u64 {
    let ends = [0, 1, u64::MAX, u64::MAX - 1, 1 << 63, (1 << 63) - 1, u64::from(u32::MAX), 1 << 53];
    match rng.next_u64() % 4 {
        0 => rng.next_u64(),
        _ => ends[rng.next_u64() as usize % ends.len()],
    }
}

/// Changes a body at random: flips a bit, sets a byte, truncates or extends it, or inserts a part of another
/// body.
fn mutate(rng: &mut Pcg64Mcg, body: &mut Vec<u8>, other: &[u8]) {
    for _ in 0..1 + rng.next_u64() % 3 {
        let index = rng.next_u64() as usize % body.len().max(1);
        match rng.next_u64() % 6 {
            0 if !body.is_empty() => body[index] ^= 1 << (rng.next_u64() % 8),
            1 => body.truncate(index),
            2 if !body.is_empty() => {
                // The longest encoded number.
                let longest = [0xff; 9].into_iter().chain([0x01]);
                body.splice(index..=index, longest);
            }
            3 => body.splice(index.., other.iter().skip(index).copied()).for_each(drop),
            4 => body.extend(other.iter().skip(index).take(100).copied()),
            _ if !body.is_empty() => body[index] = [0, 1, 0x7f, 0x80, 0xff][rng.next_u64() as usize % 5],
            _ => body.push(0),
        }
    }
    body.truncate(1_200);
}

/// Steps a server until its next wake-up is in the future.
fn step_until_idle(server: &mut Cluster, now: Time) {
    let mut effects = Vec::new();
    for _ in 0..64 {
        server.step(now, &mut effects);
        if server.wake_at(now) > now {
            return;
        }
    }
    panic!("the server requests a wake-up at {} again and again", now.0);
}

/// Receives 60,000 datagrams with a valid tag and a changed header or content, while the clock stands still
/// or jumps.
#[test]
fn mutated_content_with_a_valid_tag_causes_no_panic() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(12);
    for seed in 1..=seeds {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut two = TwoServers::new();
        two.run(4_000);
        two.servers.iter_mut().for_each(|server| server.set_waiting(two.now, 9));
        two.run(4_000);
        let delivered = std::mem::take(&mut two.delivered);
        let keys = AuthenticationKeys::of(KEY);
        let [server, _] = &mut two.servers;
        let mut now = two.now;
        for n in 0..5_000_u64 {
            let (_, datagram) = &delivered[rng.next_u64() as usize % delivered.len()];
            let (_, other) = &delivered[rng.next_u64() as usize % delivered.len()];
            let (header, body) = keys.verify(datagram).expect("a valid tag");
            let (_, other) = keys.verify(other).expect("a valid tag");
            let names = ["n2", "n2", "n2", "n1", "n9", "x", &"n".repeat(48)];
            let odd_header = rng.next_u64().is_multiple_of(10);
            // A sender with an odd header is rejected from then on, so odd headers get names of their own.
            let name = match odd_header {
                true => format!("odd{}", rng.next_u64() % 20),
                false => names[rng.next_u64() as usize % names.len()].to_string(),
            };
            let mut odd = Header { name: &name, number: 10_000 + n, ..header };
            odd.to = server.members().own().incarnation;
            odd.incarnation = Incarnation(20);
            odd.sent_us = now.0.saturating_sub(1_000 * MS) / 1_000;
            match rng.next_u64() % 4 {
                0 if odd_header => odd.incarnation = Incarnation(boundary_value(&mut rng)),
                1 if odd_header => odd.to = Incarnation(boundary_value(&mut rng)),
                2 if odd_header => odd.number = boundary_value(&mut rng),
                3 if odd_header => odd.sent_us = boundary_value(&mut rng),
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
            step_until_idle(server, now);
            let status = server.status(now);
            assert!(status.borrowed_slots <= 64.0, "{status:?}");
        }
        let status = server.status(now);
        println!("{} accepted, dropped {:?}", status.received, status.dropped);
        assert!(status.received > 800, "too few datagrams reached the components: {status:?}");
    }
}
