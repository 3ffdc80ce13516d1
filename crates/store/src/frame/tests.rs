use super::*;
use proptest::prelude::*;

const HEADER: SegmentHeader = SegmentHeader { number: 7, incarnation: 2, salt: 99 };

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
    let mut out = encode_header(HEADER).to_vec();
    let mut ends = vec![out.len()];
    for frame_index in 0..count {
        encode(&mut out, HEADER.number, frame_index, &batch(frame_index.into())).unwrap();
        ends.push(out.len());
    }
    (out, ends)
}

fn read_frames(bytes: &[u8]) -> (usize, Tail) {
    let mut frames = Frames::new(bytes, HEADER.number);
    let count = frames.by_ref().count();
    (count, frames.tail())
}

/// Guards against a torn tail that is reported as damage, and against a torn tail that hides the complete frames before it.
#[test]
fn truncated_segment_gives_its_complete_frames_and_a_torn_tail() {
    let (bytes, ends) = segment(3);
    for length in HEADER_BYTES..=bytes.len() {
        let complete = ends.iter().filter(|end| **end <= length).count() - 1;
        let tail = if ends.contains(&length) { Tail::Clean } else { Tail::Torn(ends[complete]) };
        assert_eq!(read_frames(&bytes[..length]), (complete, tail), "cut at {length}");
    }
    let zero_filled = [&bytes[..], &[0; 700]].concat();
    assert_eq!(read_frames(&zero_filled), (3, Tail::Torn(bytes.len())));
    for short in 0..HEADER_BYTES {
        assert_eq!(decode_header(&bytes[..short]), Err(HeaderError::Short(short)));
    }
}

/// Guards against a flipped bit that changes a record, or that looks like the end of the log: the durable records after it would
/// be lost silently.
#[test]
fn reports_any_flipped_bit_as_damage() {
    let (bytes, ends) = segment(3);
    for byte in 0..bytes.len() {
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[byte] ^= 1 << bit;
            if byte < HEADER_BYTES {
                assert!(decode_header(&flipped).is_err(), "bit {bit} of byte {byte}");
                continue;
            }
            let frames_before = ends.iter().filter(|end| **end <= byte).count() - 1;
            assert_eq!(
                read_frames(&flipped),
                (frames_before, Tail::Damaged(ends[frames_before])),
                "bit {bit} of byte {byte}"
            );
        }
    }
}

/// Guards against a segment of another version that is read, or that is reported as damaged and then removed.
#[test]
fn reports_the_version_of_a_segment_of_another_version() {
    let (mut bytes, _) = segment(1);
    bytes[8..10].copy_from_slice(&9_u16.to_le_bytes());
    assert_eq!(decode_header(&bytes), Err(HeaderError::Version(9)));
    assert_eq!(decode_header(&[b'x'; HEADER_BYTES]), Err(HeaderError::Foreign));
    assert_eq!(decode_header(&segment(0).0), Ok(HEADER));
}

proptest! {
    /// Guards against a panic on arbitrary file content.
    #[test]
    fn reading_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode_header(&bytes);
        let _ = read_frames(&bytes);
        let (mut complete, _) = segment(1);
        complete.extend(&bytes);
        prop_assert!(read_frames(&complete).0 >= 1);
    }
}
