use super::*;
use crate::peers::{Spec, play};

/// Guards the position of the kind byte: if the envelope or the kinds change, datagrams become unknown or are counted as
/// a kind that a fleet without consensus doesn't send.
#[test]
fn every_datagram_is_counted_by_kind() {
    let outcome = play(&Spec { servers: 6, seconds: 12.0, lean: 8.0, load: 1.2, ..Spec::default() });
    let of = |kind| outcome.traffic.of(kind);
    for kind in [Kind::Membership, Kind::Rows, Kind::Leases] {
        assert!(of(kind).datagrams > 0, "{kind:?} {:?}", outcome.traffic);
    }
    assert_eq!((of(Kind::Posts), of(Kind::Unknown)), (Sent::default(), Sent::default()));
    // One row per 100 ms tick from each of six servers is 720 in 12 s; health checks are sent once per second.
    assert!(of(Kind::Rows).datagrams > of(Kind::Membership).datagrams / 4, "{:?}", outcome.traffic);
    let rate = outcome.traffic.all().bytes as f64 / 12.0 / 6.0;
    assert!((rate / outcome.bytes_s - 1.0).abs() < 0.01, "{rate} beside {}", outcome.bytes_s);
}

/// Guards against datagrams of a stand-in that are not counted.
#[test]
fn additional_stand_in_bytes_are_counted() {
    let plain = Spec { servers: 4, seconds: 6.0, ..Spec::default() };
    let bytes = |spec: &Spec| play(spec).traffic.of(Kind::Membership).bytes as f64 / 6.0 / 4.0;
    let more = bytes(&Spec { stand_in_bytes_s: 1_000, ..plain.clone() }) - bytes(&plain);
    assert!((900.0..1_200.0).contains(&more), "{more}");
}
