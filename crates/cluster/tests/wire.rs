//! The encoded bytes of every kind of datagram, which servers of other versions must be able to read. If one
//! of them has to change, the version byte of the envelope must be raised too.

mod common;

use common::{MS, TwoServers};
use gradepin_admission::{Span, Time};
use gradepin_cluster::authentication::{AuthenticationKeys, Header};
use gradepin_cluster::circuit_breaker::Observation;
use gradepin_cluster::cluster::Envelope;
use gradepin_cluster::counters::{CellId, CounterCell, CounterRow, GossipedRow, WorkCount};
use gradepin_cluster::fragments;
use gradepin_cluster::leases::LeaseMessage;
use gradepin_cluster::peer::{Incarnation, Peer};
use std::sync::Arc;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn the_envelope_keeps_its_bytes() {
    let header =
        Header { name: "n1", incarnation: Incarnation(7), to: Incarnation(9), number: 3, sent_us: 44 };
    let datagram = AuthenticationKeys::of([5; 32]).authenticate(&header, b"body");
    let expected = "01026e31000000000000000700000000000000090000000000000003000000000000002c626f6479ea83bc3cf9fa349a32d3e866ad61181b";
    assert_eq!(hex(&datagram), expected);
}

#[test]
fn a_row_keeps_its_bytes() {
    let cells = vec![CounterCell {
        id: CellId(7),
        work: WorkCount { requested_ms: 300, served_ms: 200, first_attempts: 5, retries: 1 },
    }];
    let observation = Observation { succeeded: 9, failed: 2, timed_out: 1, mean_ms: 130 };
    let (name, zone) = (Arc::from("n1"), Arc::from("z"));
    let row = CounterRow {
        name,
        incarnation: Incarnation(1 << 20),
        version: 4,
        zone,
        spare: 2_000,
        observation,
        cells,
    };
    let bytes = postcard::to_allocvec(&GossipedRow { row, age_ms: 150 }).expect("a row can be encoded");
    assert_eq!(hex(&bytes), "026e3180804004017ad00f09020182010107ac02c80105019601");
}

#[test]
fn lease_messages_keep_their_bytes() {
    let messages = [
        (LeaseMessage::Request { number: 300, round: 2, amount: 1_000 }, "00ac0202e807"),
        (
            LeaseMessage::Grant { number: 300, round: 2, amount: 1_000, duration_ms: 2_000 },
            "01ac0202e807d00f",
        ),
        (LeaseMessage::Refuse { number: 300 }, "02ac02"),
        (LeaseMessage::Recall { number: 300 }, "03ac02"),
        (LeaseMessage::Return { number: 300 }, "04ac02"),
    ];
    for (message, expected) in messages {
        assert_eq!(
            hex(&postcard::to_allocvec(&message).expect("a message can be encoded")),
            expected,
            "{message:?}"
        );
    }
}

#[test]
fn a_peer_and_a_fragment_keep_their_bytes() {
    let address = "127.0.0.1:7947".parse().expect("an address");
    let peer = Peer { name: Arc::from("n1"), incarnation: Incarnation(300), address, zone: Arc::from("z") };
    assert_eq!(
        hex(&postcard::to_allocvec(&peer).expect("a peer can be encoded")),
        "026e31ac02007f0000018b3e017a"
    );
    let fragments = fragments::split(0x0102_0304, b"word");
    assert_eq!(fragments.iter().map(|fragment| hex(fragment)).collect::<Vec<_>>(), ["010203040001776f7264"]);
}

/// Two servers exchange probes, rows, lease messages and a post in several fragments for ten seconds. The
/// same seeds give the same datagrams, so the digest changes with any change of behaviour or encoding. If a
/// new version of the membership library changes it, the expected digest is updated together with the
/// library.
#[test]
fn a_complete_exchange_keeps_its_bytes() {
    let mut two = TwoServers::new();
    two.run(3_000);
    let now = two.now;
    two.servers[0].arrived(now, CellId(7), false, Span(10 * MS));
    two.servers[0].arrived(now, CellId(7), true, Span(10 * MS));
    two.servers[0].post(now, "n2", &[9; 3_000]);
    (0..6).for_each(|_| {
        let _ = two.servers[0].call(now);
    });
    two.servers[0].set_waiting(now, 3);
    two.run(7_000);
    let mut kinds = [0_usize; 5];
    let mut digest = blake3::Hasher::new();
    for (to, datagram) in &two.delivered {
        let (_, body) =
            AuthenticationKeys::of([3; 32]).verify(datagram).expect("a sent datagram has a valid tag");
        kinds[usize::from(body[0])] += 1;
        digest.update(&[*to as u8]);
        digest.update(datagram);
    }
    assert!(
        Envelope::open(&AuthenticationKeys::of([3; 32]), &two.delivered[0].1).is_ok() && two.now > Time(0)
    );
    assert_eq!(
        (kinds, digest.finalize().to_hex().as_str()),
        ([54, 198, 6, 0, 3], "2206be44508ed878f44cb6f164c252aa45c2cfcc80d7d2fcc1c8a210b242df75")
    );
}
