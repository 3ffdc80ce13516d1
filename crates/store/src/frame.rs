//! The form of a segment: a head, then frames, each with all records of one group commit. No I/O.
//!
//! ```text
//! segment: "gradepin" | version u16 | number u64 | life u64 | salt u64 | crc u32 of all before      (all little-endian)
//! frame:   length u32 | crc u32 of (number, place, length) | crc u32 of (number, place, payload) | payload
//! payload: postcard of Batch
//! ```
//!
//! The length has a check of its own: a flipped bit in it would else look like a torn tail, and what follows, which was
//! durable, like nothing. The segment's number and the frame's place are in both, so that no frame counts elsewhere.

use gradepin_core::idempotency_log::LogRecord;
use serde::{Deserialize, Serialize};

/// The version of the form that this crate reads and writes.
pub const VERSION: u16 = 1;
const MAGIC: &[u8; 8] = b"gradepin";
/// Bytes of a segment's head.
pub const HEADER_BYTES: usize = 8 + 2 + 8 + 8 + 8 + 4;
/// Bytes of a frame before its payload.
pub const FRAME_HEADER_BYTES: usize = 12;
/// The longest payload. A step's records are split over frames where they are more.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// What a segment says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Its number; segments are read in this order.
    pub number: u64,
    /// Starts of a server on this folder before, so that times of one life are told from those of another.
    pub life: u64,
    /// The key of all prints.
    pub salt: u64,
}

/// The records of one group commit, and when it was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<'a> {
    /// Milliseconds since this life began, by the monotonic clock: no set clock changes them.
    pub mono_ms: u64,
    /// Unix milliseconds, for people who read the files.
    pub unix_ms: u64,
    /// The records, in the order in which they happened.
    #[serde(borrow)]
    pub records: Vec<StoredRecord<'a>>,
}

/// A record as it is stored. New kinds go to the end: their place is their number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredRecord<'a> {
    /// A try may begin from now on.
    Intent {
        /// What all tries share.
        token: &'a str,
        /// Of body and class.
        print: u64,
        /// The try.
        id: &'a str,
        /// What is left of its window, in milliseconds.
        left_ms: u64,
    },
    /// A run that has ended, with its result; it needs no intent beside it.
    Served {
        /// What all tries share.
        token: &'a str,
        /// Of body and class.
        print: u64,
        /// The try.
        id: &'a str,
        /// What is left of its window, in milliseconds.
        left_ms: u64,
        /// The result.
        result: &'a [u8],
    },
    /// A run that has ended without one.
    Failed {
        /// What all tries share.
        token: &'a str,
        /// Of body and class.
        print: u64,
        /// The try.
        id: &'a str,
        /// What is left of its window, in milliseconds.
        left_ms: u64,
    },
    /// The try never ran.
    Void {
        /// What all tries share.
        token: &'a str,
        /// The try.
        id: &'a str,
    },
    /// All that is known has been written anew up to here: earlier segments count no more.
    Anew,
}

impl StoredRecord<'_> {
    /// What is left of the window it tells of, in milliseconds.
    pub fn left_ms(&self) -> Option<u64> {
        match self {
            Self::Intent { left_ms, .. } | Self::Served { left_ms, .. } | Self::Failed { left_ms, .. } => {
                Some(*left_ms)
            }
            Self::Void { .. } | Self::Anew => None,
        }
    }
}

/// A record in its stored form.
pub fn stored(record: &LogRecord) -> StoredRecord<'_> {
    const MS: u64 = 1_000_000;
    match record {
        LogRecord::Intent { key, fingerprint, id, window_left } => StoredRecord::Intent {
            token: key,
            print: *fingerprint,
            id: &id.0,
            left_ms: window_left.0.div_ceil(MS),
        },
        LogRecord::Known { key: token, fingerprint: print, id, window_left: left, result } => {
            let (print, id, left_ms) = (*print, &*id.0, left.0.div_ceil(MS));
            match result {
                Some(result) => StoredRecord::Served { token, print, id, left_ms, result },
                None => StoredRecord::Failed { token, print, id, left_ms },
            }
        }
        LogRecord::Void { key: token, id } => StoredRecord::Void { token, id: &id.0 },
    }
}

fn crc(parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    parts.iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}

/// The bytes of a head.
pub fn encode_head(head: SegmentHeader) -> [u8; HEADER_BYTES] {
    let mut out = [0; HEADER_BYTES];
    out[..8].copy_from_slice(MAGIC);
    out[8..10].copy_from_slice(&VERSION.to_le_bytes());
    for (place, value) in [head.number, head.life, head.salt].into_iter().enumerate() {
        out[10 + 8 * place..18 + 8 * place].copy_from_slice(&value.to_le_bytes());
    }
    let sum = crc(&[&out[..HEADER_BYTES - 4]]);
    out[HEADER_BYTES - 4..].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Why a segment's head can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// Its writer was interrupted before anything in it counted.
    #[error("expected a head of {HEADER_BYTES} bytes, got {0}")]
    Short(usize),
    /// It is no segment, or its first bytes are damaged.
    #[error("expected a segment of this store, got other bytes")]
    Foreign,
    /// It was written by another version of this program.
    #[error("expected version {VERSION} of the form, got {0}: it is left alone")]
    Version(u16),
    /// Its check doesn't hold.
    #[error("expected a whole head, its check doesn't hold")]
    Damaged,
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|eight| eight.try_into().ok()).map_or(0, u64::from_le_bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|four| four.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// Reads a head.
pub fn decode_head(bytes: &[u8]) -> Result<SegmentHeader, HeaderError> {
    let Some(head) = bytes.get(..HEADER_BYTES) else { return Err(HeaderError::Short(bytes.len())) };
    if head.iter().all(|&byte| byte == 0) {
        // The length was durable before the bytes were.
        return Err(HeaderError::Short(0));
    }
    if &head[..8] != MAGIC {
        return Err(HeaderError::Foreign);
    }
    let whole = u32_at(head, HEADER_BYTES - 4) == crc(&[&head[..HEADER_BYTES - 4]]);
    let version = u16::from_le_bytes([head[8], head[9]]);
    match (whole, version) {
        (true, VERSION) => {
            Ok(SegmentHeader { number: u64_at(head, 10), life: u64_at(head, 18), salt: u64_at(head, 26) })
        }
        // Another version may check its head in another way: it is not called damaged.
        (_, version) if version != VERSION => Err(HeaderError::Version(version)),
        _ => Err(HeaderError::Damaged),
    }
}

/// Appends a frame; an error only where a record is longer than any frame may be.
pub fn encode(out: &mut Vec<u8>, number: u64, place: u32, batch: &Batch<'_>) -> Result<(), postcard::Error> {
    let start = out.len();
    out.resize(start + FRAME_HEADER_BYTES, 0);
    let taken = std::mem::take(out);
    *out = postcard::to_extend(batch, taken)?;
    let len = out.len() - start - FRAME_HEADER_BYTES;
    if len > MAX_PAYLOAD_BYTES {
        return Err(postcard::Error::SerializeBufferFull);
    }
    let (number, place, length) = (number.to_le_bytes(), place.to_le_bytes(), (len as u32).to_le_bytes());
    let checks =
        [crc(&[&number, &place, &length]), crc(&[&number, &place, &out[start + FRAME_HEADER_BYTES..]])];
    out[start..start + 4].copy_from_slice(&length);
    out[start + 4..start + 8].copy_from_slice(&checks[0].to_le_bytes());
    out[start + 8..start + 12].copy_from_slice(&checks[1].to_le_bytes());
    Ok(())
}

/// What follows the frames that could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tail {
    /// Nothing.
    Clean,
    /// A frame that was not written whole, at this offset: nothing of it ever counted.
    Torn(usize),
    /// Bytes that were whole and are not now, at this offset: what stood there and after it is lost.
    Damaged(usize),
}

/// The frames of a segment, its head taken for read, in their order.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
    number: u64,
    place: u32,
    /// Set once no further frame can be read.
    tail: Option<Tail>,
}

impl<'a> Frames<'a> {
    /// Of a segment with this number.
    pub fn new(bytes: &'a [u8], number: u64) -> Self {
        Self { bytes, at: HEADER_BYTES, number, place: 0, tail: None }
    }

    /// What follows, once there are no more.
    pub fn tail(&self) -> Tail {
        self.tail.unwrap_or(Tail::Clean)
    }

    fn end(&mut self, tail: Tail) -> Option<Batch<'a>> {
        self.tail = Some(tail);
        None
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = Batch<'a>;

    fn next(&mut self) -> Option<Batch<'a>> {
        if self.tail.is_some() {
            return None;
        }
        let (at, rest) = (self.at, self.bytes.get(self.at..).unwrap_or_default());
        if rest.is_empty() {
            return self.end(Tail::Clean);
        }
        // A length that was durable before the bytes were leaves zeros behind.
        if rest.iter().all(|&byte| byte == 0) || rest.len() < FRAME_HEADER_BYTES {
            return self.end(Tail::Torn(at));
        }
        let (number, place) = (self.number.to_le_bytes(), self.place.to_le_bytes());
        if u32_at(rest, 4) != crc(&[&number, &place, &rest[..4]]) {
            return self.end(Tail::Damaged(at));
        }
        let len = u32_at(rest, 0) as usize;
        let Some(payload) = rest.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + len) else {
            return self.end(Tail::Torn(at));
        };
        if u32_at(rest, 8) != crc(&[&number, &place, payload]) {
            return self.end(Tail::Damaged(at));
        }
        let Ok(batch) = postcard::from_bytes(payload) else { return self.end(Tail::Damaged(at)) };
        self.at += FRAME_HEADER_BYTES + len;
        self.place += 1;
        Some(batch)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const HEAD_OF: SegmentHeader = SegmentHeader { number: 7, life: 2, salt: 99 };

    fn batch(n: u64) -> Batch<'static> {
        let records = vec![
            StoredRecord::Intent { token: "t", print: n, id: "00000000000000aa", left_ms: 12_075 },
            StoredRecord::Served { token: "t", print: n, id: "00000000000000aa", left_ms: 1, result: b"out" },
            StoredRecord::Void { token: "u", id: "00000000000000ab" },
        ];
        Batch { mono_ms: n, unix_ms: 5, records }
    }

    fn segment(count: u32) -> (Vec<u8>, Vec<usize>) {
        let mut out = encode_head(HEAD_OF).to_vec();
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
    fn a_segment_cut_anywhere_gives_its_whole_frames_and_a_torn_tail() {
        let (bytes, ends) = segment(3);
        for cut in HEADER_BYTES..=bytes.len() {
            let whole = ends.iter().filter(|end| **end <= cut).count() - 1;
            let tail = if ends.contains(&cut) { Tail::Clean } else { Tail::Torn(ends[whole]) };
            assert_eq!(read(&bytes[..cut]), (whole, tail), "cut at {cut}");
        }
        let zeros = [&bytes[..], &[0; 700]].concat();
        assert_eq!(read(&zeros), (3, Tail::Torn(bytes.len())));
        for short in 0..HEADER_BYTES {
            assert_eq!(decode_head(&bytes[..short]), Err(HeaderError::Short(short)));
        }
    }

    /// Guards against a flipped bit that is read as something else, or as the end of the log: what was durable behind it
    /// would be forgotten without a word.
    #[test]
    fn any_flipped_bit_is_told_as_damage() {
        let (bytes, ends) = segment(3);
        for place in 0..bytes.len() {
            for bit in 0..8 {
                let mut flipped = bytes.clone();
                flipped[place] ^= 1 << bit;
                if place < HEADER_BYTES {
                    assert!(decode_head(&flipped).is_err(), "bit {bit} of byte {place}");
                    continue;
                }
                let before = ends.iter().filter(|end| **end <= place).count() - 1;
                assert_eq!(
                    read(&flipped),
                    (before, Tail::Damaged(ends[before])),
                    "bit {bit} of byte {place}"
                );
            }
        }
    }

    /// Guards against a file of another version that is read, or called damaged and thrown away.
    #[test]
    fn another_version_is_named() {
        let (mut bytes, _) = segment(1);
        bytes[8..10].copy_from_slice(&9_u16.to_le_bytes());
        assert_eq!(decode_head(&bytes), Err(HeaderError::Version(9)));
        assert_eq!(decode_head(&[b'x'; HEADER_BYTES]), Err(HeaderError::Foreign));
        assert_eq!(decode_head(&segment(0).0), Ok(HEAD_OF));
    }

    proptest! {
        /// Guards against a panic over whatever stands in a file.
        #[test]
        fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
            let _ = decode_head(&bytes);
            let _ = read(&bytes);
            let (mut whole, _) = segment(1);
            whole.extend(&bytes);
            prop_assert!(read(&whole).0 >= 1);
        }
    }
}
