use super::*;
use proptest::prelude::*;

const HEAD_OF: SegmentHeader = SegmentHeader { number: 7, incarnation: 2, salt: 99 };

fn batch(n: u64) -> Batch<'static> {
    let records = vec![
        StoredRecord::Intent { key: "t", fingerprint: n, id: "00000000000000aa", window_left_ms: 12_075 },
        StoredRecord::Served {
            key: "t",
            fingerprint: n,
            id: "00000000000000aa",
            window_left_ms: 1,
            result: b"out",
        },
        StoredRecord::Void { key: "u", id: "00000000000000ab" },
    ];
    Batch { mono_ms: n, unix_ms: 5, records }
}

fn segment(count: u32) -> (Vec<u8>, Vec<usize>) {
    let mut out = encode_header(HEAD_OF).to_vec();
    let mut ends = vec![out.len()];
    for place in 0..count {
        encode(&mut out, HEAD_OF.number, place, &batch(place.into())).unwrap();
        ends.push(out.len());
    }
    (out, ends)
}

fn read(bytes: &[u8]) -> (usize, Tail) {
    let mut frames = Frames::new(bytes, HEAD_OF.number);
    let count = frames.by_ref().count();
    (count, frames.tail())
}

/// Guards against a torn tail that is taken for damage, and against one that hides whole frames before it.
#[test]
fn truncated_segment_gives_its_complete_frames_and_a_torn_tail() {
    let (bytes, ends) = segment(3);
    for cut in HEADER_BYTES..=bytes.len() {
        let whole = ends.iter().filter(|end| **end <= cut).count() - 1;
        let tail = if ends.contains(&cut) { Tail::Clean } else { Tail::Torn(ends[whole]) };
        assert_eq!(read(&bytes[..cut]), (whole, tail), "cut at {cut}");
    }
    let zeros = [&bytes[..], &[0; 700]].concat();
    assert_eq!(read(&zeros), (3, Tail::Torn(bytes.len())));
    for short in 0..HEADER_BYTES {
        assert_eq!(decode_header(&bytes[..short]), Err(HeaderError::Short(short)));
    }
}

/// Guards against a flipped bit that is read as something else, or as the end of the log: durable records behind it
/// would be lost silently.
#[test]
fn reports_any_flipped_bit_as_damage() {
    let (bytes, ends) = segment(3);
    for place in 0..bytes.len() {
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[place] ^= 1 << bit;
            if place < HEADER_BYTES {
                assert!(decode_header(&flipped).is_err(), "bit {bit} of byte {place}");
                continue;
            }
            let before = ends.iter().filter(|end| **end <= place).count() - 1;
            assert_eq!(read(&flipped), (before, Tail::Damaged(ends[before])), "bit {bit} of byte {place}");
        }
    }
}

/// Guards against a file of another version that is read, or called damaged and thrown away.
#[test]
fn names_another_version() {
    let (mut bytes, _) = segment(1);
    bytes[8..10].copy_from_slice(&9_u16.to_le_bytes());
    assert_eq!(decode_header(&bytes), Err(HeaderError::Version(9)));
    assert_eq!(decode_header(&[b'x'; HEADER_BYTES]), Err(HeaderError::Foreign));
    assert_eq!(decode_header(&segment(0).0), Ok(HEAD_OF));
}

proptest! {
    /// Guards against a panic on any content of a file.
    #[test]
    fn reading_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode_header(&bytes);
        let _ = read(&bytes);
        let (mut whole, _) = segment(1);
        whole.extend(&bytes);
        prop_assert!(read(&whole).0 >= 1);
    }
}
