//! The format of a segment of keyed runs: a header, then frames, each with all records of one group commit. No I/O.
//!
//! ```text
//! segment: "gradepin" | version u16 | number u64 | life u64 | salt u64 | crc u32 of all before      (all little-endian)
//! frame:   length u32 | crc u32 of (number, place, length) | crc u32 of (number, place, payload) | payload
//! payload: postcard of Batch
//! ```
//!
//! The length has a checksum of its own: otherwise a flipped bit in it would look like a torn tail, and the durable frames
//! after it would be lost. Both checksums cover the segment's number and the frame's place, so that no frame counts elsewhere.

use gradepin_core::idempotency_log::LogRecord;
use serde::{Deserialize, Serialize};

/// The version of the format that this crate reads and writes.
pub const VERSION: u16 = 1;
const MAGIC: &[u8; 8] = b"gradepin";
/// Bytes of a segment before its frames.
pub const HEADER_BYTES: usize = 8 + 2 + 8 + 8 + 8 + 4;
/// Bytes of a frame before its payload.
pub const FRAME_HEADER_BYTES: usize = 12;
/// Maximum bytes of a payload; longer groups of records are split over several frames.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// The header of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentHeader {
    /// The segment's number; segments are read in this order.
    pub number: u64,
    /// The number of earlier processes on this folder; clock readings of one incarnation don't compare with another's.
    pub incarnation: u64,
    /// The key of all fingerprints.
    pub salt: u64,
}

/// The records of one group commit, and when it was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<'a> {
    /// Milliseconds since this process started, by the monotonic clock.
    pub mono_ms: u64,
    /// Unix milliseconds, for people who read the files.
    pub unix_ms: u64,
    /// The records, in the order in which they happened.
    #[serde(borrow)]
    pub records: Vec<StoredRecord<'a>>,
}

/// A record as it is stored. New variants go to the end: the encoding uses their index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredRecord<'a> {
    /// An attempt may start from now on.
    Intent {
        /// The idempotency key.
        key: &'a str,
        /// The fingerprint of body and class.
        fingerprint: u64,
        /// The attempt.
        id: &'a str,
        /// The remaining window, in milliseconds.
        window_left_ms: u64,
    },
    /// A run that ended with a result; it needs no intent before it.
    Served {
        /// The idempotency key.
        key: &'a str,
        /// The fingerprint of body and class.
        fingerprint: u64,
        /// The attempt.
        id: &'a str,
        /// The remaining window, in milliseconds.
        window_left_ms: u64,
        /// The result.
        result: &'a [u8],
    },
    /// A run that ended without a result.
    Failed {
        /// The idempotency key.
        key: &'a str,
        /// The fingerprint of body and class.
        fingerprint: u64,
        /// The attempt.
        id: &'a str,
        /// The remaining window, in milliseconds.
        window_left_ms: u64,
    },
    /// The attempt never ran.
    Void {
        /// The idempotency key.
        key: &'a str,
        /// The attempt.
        id: &'a str,
    },
    /// All known runs were rewritten up to here: earlier segments no longer count.
    RewriteComplete,
}

impl StoredRecord<'_> {
    /// The remaining window, in milliseconds, if the record has one.
    pub fn window_left_ms(&self) -> Option<u64> {
        match self {
            Self::Intent { window_left_ms, .. }
            | Self::Served { window_left_ms, .. }
            | Self::Failed { window_left_ms, .. } => Some(*window_left_ms),
            Self::Void { .. } | Self::RewriteComplete => None,
        }
    }
}

/// The stored form of a record.
pub fn stored(record: &LogRecord) -> StoredRecord<'_> {
    const MS: u64 = 1_000_000;
    match record {
        LogRecord::Intent { key, fingerprint, id, window_left } => StoredRecord::Intent {
            key,
            fingerprint: *fingerprint,
            id: &id.0,
            window_left_ms: window_left.0.div_ceil(MS),
        },
        LogRecord::Outcome { key, fingerprint, id, window_left, result } => {
            let (fingerprint, id, window_left_ms) = (*fingerprint, &*id.0, window_left.0.div_ceil(MS));
            match result {
                Some(result) => StoredRecord::Served { key, fingerprint, id, window_left_ms, result },
                None => StoredRecord::Failed { key, fingerprint, id, window_left_ms },
            }
        }
        LogRecord::Void { key, id } => StoredRecord::Void { key, id: &id.0 },
    }
}

fn crc(parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    parts.iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}

/// Encodes a header.
pub fn encode_header(head: SegmentHeader) -> [u8; HEADER_BYTES] {
    let mut out = [0; HEADER_BYTES];
    out[..8].copy_from_slice(MAGIC);
    out[8..10].copy_from_slice(&VERSION.to_le_bytes());
    for (place, value) in [head.number, head.incarnation, head.salt].into_iter().enumerate() {
        out[10 + 8 * place..18 + 8 * place].copy_from_slice(&value.to_le_bytes());
    }
    let sum = crc(&[&out[..HEADER_BYTES - 4]]);
    out[HEADER_BYTES - 4..].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Why a segment's header can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// Incomplete: its writer was interrupted before the first frame.
    #[error("expected a head of {HEADER_BYTES} bytes, got {0}")]
    Short(usize),
    /// Not a segment, or its first bytes are damaged.
    #[error("expected a segment of this store, got other bytes")]
    Foreign,
    /// Written by another version of this program.
    #[error("expected version {VERSION} of the form, got {0}: it is left alone")]
    Version(u16),
    /// Its checksum doesn't match.
    #[error("expected a whole head, its check doesn't hold")]
    Damaged,
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|eight| eight.try_into().ok()).map_or(0, u64::from_le_bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|four| four.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// Decodes a header.
pub fn decode_header(bytes: &[u8]) -> Result<SegmentHeader, HeaderError> {
    let Some(head) = bytes.get(..HEADER_BYTES) else { return Err(HeaderError::Short(bytes.len())) };
    if head.iter().all(|&byte| byte == 0) {
        // The length became durable before the bytes.
        return Err(HeaderError::Short(0));
    }
    if &head[..8] != MAGIC {
        return Err(HeaderError::Foreign);
    }
    let is_intact = u32_at(head, HEADER_BYTES - 4) == crc(&[&head[..HEADER_BYTES - 4]]);
    let version = u16::from_le_bytes([head[8], head[9]]);
    match (is_intact, version) {
        (true, VERSION) => Ok(SegmentHeader {
            number: u64_at(head, 10),
            incarnation: u64_at(head, 18),
            salt: u64_at(head, 26),
        }),
        // Another version may use another checksum, so it is not reported as damaged.
        (_, version) if version != VERSION => Err(HeaderError::Version(version)),
        _ => Err(HeaderError::Damaged),
    }
}

/// Appends a frame. Fails only if a record is longer than a frame may be.
pub fn encode(out: &mut Vec<u8>, number: u64, place: u32, batch: &Batch<'_>) -> Result<(), postcard::Error> {
    let start = out.len();
    out.resize(start + FRAME_HEADER_BYTES, 0);
    let buffer = std::mem::take(out);
    *out = postcard::to_extend(batch, buffer)?;
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

/// What follows the frames that could be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tail {
    /// Nothing.
    Clean,
    /// An incompletely written frame at this offset, which never counted.
    Torn(usize),
    /// Damage at this offset: the frame there and all after it are lost.
    Damaged(usize),
}

/// Iterates over the frames of a segment after its header.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
    number: u64,
    place: u32,
    /// Set once no further frame can be decoded.
    tail: Option<Tail>,
}

impl<'a> Frames<'a> {
    /// The frames of the segment with this number.
    pub fn new(bytes: &'a [u8], number: u64) -> Self {
        Self { bytes, at: HEADER_BYTES, number, place: 0, tail: None }
    }

    /// What follows the frames, once the iteration has ended.
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
        // A length that became durable before the bytes leaves zeros.
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
mod tests;
