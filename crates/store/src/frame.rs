//! The format of a segment of keyed runs: a header, then frames. A frame contains the records of one group commit, or a part
//! of them if they are too long for one frame. No I/O.
//!
//! ```text
//! segment: "gradepin" | version u16 | number u64 | incarnation u64 | salt u64 | crc u32 of all before   (all little-endian)
//! frame:   length u32 | crc u32 of (number, index, length) | crc u32 of (number, index, payload) | payload
//! payload: postcard of Batch
//! ```
//!
//! The length has its own checksum: without it, a flipped bit in the length would look like a torn tail, and the durable frames
//! after it would be lost silently. Both checksums cover the segment number and the index of the frame in the segment, so a
//! frame that was copied to another segment or position is rejected.

use gradepin_core::idempotency_log::LogRecord;
use serde::{Deserialize, Serialize};

/// The only format version that this crate reads and writes.
pub const VERSION: u16 = 1;
const MAGIC: &[u8; 8] = b"gradepin";
/// Length of a segment header in bytes.
pub const HEADER_BYTES: usize = 8 + 2 + 8 + 8 + 8 + 4;
/// Length of a frame header in bytes: the payload length and the two checksums.
pub const FRAME_HEADER_BYTES: usize = 12;
/// Maximum length of a payload in bytes; a longer group of records is split over several frames.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// The decoded header of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentHeader {
    /// The number of the segment, also in its file name. Segments are written and read in ascending order.
    pub number: u64,
    /// The number of earlier processes that wrote to the folder. Monotonic clock readings are comparable only within one
    /// incarnation.
    pub incarnation: u64,
    /// The secret key of the request fingerprints in this folder; the same in all segments.
    pub salt: u64,
}

/// The payload of a frame: records that are written together, and the time of the write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<'a> {
    /// Milliseconds since the writing process started, by the monotonic clock.
    pub mono_ms: u64,
    /// Unix milliseconds, for operators who inspect the files; recovery ignores them.
    pub unix_ms: u64,
    /// The records, in the order of the events.
    #[serde(borrow)]
    pub records: Vec<StoredRecord<'a>>,
}

/// A record in its stored form. Variants are encoded by their index, so new ones must be appended at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredRecord<'a> {
    /// The attempt may have started at any time after this record became durable.
    Intent {
        /// The idempotency key of the request.
        key: &'a str,
        /// The fingerprint of the request body and class, which detects the reuse of a key for another request.
        fingerprint: u64,
        /// The request id of the attempt.
        id: &'a str,
        /// How long the key remains protected, in milliseconds after the batch's `mono_ms`.
        window_left_ms: u64,
    },
    /// The run ended with a result. The intent may be missing: an outcome is valid without it.
    Served {
        /// The idempotency key of the request.
        key: &'a str,
        /// The fingerprint of the request body and class, which detects the reuse of a key for another request.
        fingerprint: u64,
        /// The request id of the attempt.
        id: &'a str,
        /// How long the key remains protected, in milliseconds after the batch's `mono_ms`.
        window_left_ms: u64,
        /// The bytes that the processor returned; repeated requests get them as their answer.
        result: &'a [u8],
    },
    /// The run ended without a result.
    Failed {
        /// The idempotency key of the request.
        key: &'a str,
        /// The fingerprint of the request body and class, which detects the reuse of a key for another request.
        fingerprint: u64,
        /// The request id of the attempt.
        id: &'a str,
        /// How long the key remains protected, in milliseconds after the batch's `mono_ms`.
        window_left_ms: u64,
    },
    /// The attempt never ran, which revokes its intent.
    Void {
        /// The idempotency key of the request.
        key: &'a str,
        /// The request id of the attempt.
        id: &'a str,
    },
    /// Ends a rewrite of all known runs: records in earlier segments are superseded.
    RewriteComplete,
}

impl StoredRecord<'_> {
    /// The remaining idempotency window in milliseconds; `None` for records that open or extend no window.
    pub fn window_left_ms(&self) -> Option<u64> {
        match self {
            Self::Intent { window_left_ms, .. }
            | Self::Served { window_left_ms, .. }
            | Self::Failed { window_left_ms, .. } => Some(*window_left_ms),
            Self::Void { .. } | Self::RewriteComplete => None,
        }
    }
}

/// Converts a record to its stored form. Windows are rounded up to milliseconds, so that none becomes shorter.
pub fn to_stored(record: &LogRecord) -> StoredRecord<'_> {
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

/// Encodes a segment header with its checksum.
pub fn encode_header(header: SegmentHeader) -> [u8; HEADER_BYTES] {
    let mut out = [0; HEADER_BYTES];
    out[..8].copy_from_slice(MAGIC);
    out[8..10].copy_from_slice(&VERSION.to_le_bytes());
    for (field, value) in [header.number, header.incarnation, header.salt].into_iter().enumerate() {
        out[10 + 8 * field..18 + 8 * field].copy_from_slice(&value.to_le_bytes());
    }
    let checksum = crc(&[&out[..HEADER_BYTES - 4]]);
    out[HEADER_BYTES - 4..].copy_from_slice(&checksum.to_le_bytes());
    out
}

/// Why a segment header can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The header is incomplete: the writer was interrupted before the first frame. The value is the number of bytes present.
    #[error("expected a segment header of {HEADER_BYTES} bytes, got {0}")]
    Short(usize),
    /// The magic number is missing: the file is not a segment, or its first bytes are damaged.
    #[error("expected a segment of this store, got a file without its magic number")]
    Foreign,
    /// The segment has another format version.
    #[error("expected format version {VERSION}, got version {0}; the file is left unchanged")]
    Version(u16),
    /// The checksum doesn't match the header.
    #[error("expected a whole head, but its checksum doesn't match")]
    Damaged,
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    bytes.get(offset..offset + 8).and_then(|eight| eight.try_into().ok()).map_or(0, u64::from_le_bytes)
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes.get(offset..offset + 4).and_then(|four| four.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// Decodes the header at the start of a segment.
pub fn decode_header(bytes: &[u8]) -> Result<SegmentHeader, HeaderError> {
    let Some(header) = bytes.get(..HEADER_BYTES) else { return Err(HeaderError::Short(bytes.len())) };
    if header.iter().all(|&byte| byte == 0) {
        // After a crash the file length may be durable without the bytes, which then read as zeros.
        return Err(HeaderError::Short(0));
    }
    if &header[..8] != MAGIC {
        return Err(HeaderError::Foreign);
    }
    let is_intact = u32_at(header, HEADER_BYTES - 4) == crc(&[&header[..HEADER_BYTES - 4]]);
    let version = u16::from_le_bytes([header[8], header[9]]);
    match (is_intact, version) {
        (true, VERSION) => Ok(SegmentHeader {
            number: u64_at(header, 10),
            incarnation: u64_at(header, 18),
            salt: u64_at(header, 26),
        }),
        // Another version may use another checksum, so a mismatch there is not reported as damage.
        (_, version) if version != VERSION => Err(HeaderError::Version(version)),
        _ => Err(HeaderError::Damaged),
    }
}

/// Encodes a batch as a frame and appends it to `out`. Fails only if the payload exceeds [`MAX_PAYLOAD_BYTES`].
pub fn encode(
    out: &mut Vec<u8>,
    number: u64,
    frame_index: u32,
    batch: &Batch<'_>,
) -> Result<(), postcard::Error> {
    let start = out.len();
    out.resize(start + FRAME_HEADER_BYTES, 0);
    let buffer = std::mem::take(out);
    *out = postcard::to_extend(batch, buffer)?;
    let len = out.len() - start - FRAME_HEADER_BYTES;
    if len > MAX_PAYLOAD_BYTES {
        return Err(postcard::Error::SerializeBufferFull);
    }
    let (number, frame_index, length) =
        (number.to_le_bytes(), frame_index.to_le_bytes(), (len as u32).to_le_bytes());
    let checksums = [
        crc(&[&number, &frame_index, &length]),
        crc(&[&number, &frame_index, &out[start + FRAME_HEADER_BYTES..]]),
    ];
    out[start..start + 4].copy_from_slice(&length);
    out[start + 4..start + 8].copy_from_slice(&checksums[0].to_le_bytes());
    out[start + 8..start + 12].copy_from_slice(&checksums[1].to_le_bytes());
    Ok(())
}

/// The state of a segment after its last frame that could be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tail {
    /// The segment ends with a complete frame.
    Clean,
    /// An incompletely written frame starts at this offset. It was never acknowledged as durable, so nothing is lost.
    Torn(usize),
    /// A damaged frame starts at this offset; it and all frames after it are lost, although they may have been durable.
    Damaged(usize),
}

/// Iterates over the frames of a segment; [`Frames::tail`] then tells how the segment ends.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    offset: usize,
    number: u64,
    frame_index: u32,
    /// The end of the segment, set once no further frame can be decoded.
    tail: Option<Tail>,
}

impl<'a> Frames<'a> {
    /// Starts after the header. `bytes` is the complete segment, `number` the one in its header.
    pub fn new(bytes: &'a [u8], number: u64) -> Self {
        Self { bytes, offset: HEADER_BYTES, number, frame_index: 0, tail: None }
    }

    /// How the segment ends; valid once the iteration has returned `None`.
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
        let (offset, rest) = (self.offset, self.bytes.get(self.offset..).unwrap_or_default());
        if rest.is_empty() {
            return self.end(Tail::Clean);
        }
        // After a crash the file length may be durable without the bytes, which then read as zeros.
        if rest.iter().all(|&byte| byte == 0) || rest.len() < FRAME_HEADER_BYTES {
            return self.end(Tail::Torn(offset));
        }
        let (number, frame_index) = (self.number.to_le_bytes(), self.frame_index.to_le_bytes());
        if u32_at(rest, 4) != crc(&[&number, &frame_index, &rest[..4]]) {
            return self.end(Tail::Damaged(offset));
        }
        let len = u32_at(rest, 0) as usize;
        let Some(payload) = rest.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + len) else {
            return self.end(Tail::Torn(offset));
        };
        if u32_at(rest, 8) != crc(&[&number, &frame_index, payload]) {
            return self.end(Tail::Damaged(offset));
        }
        let Ok(batch) = postcard::from_bytes(payload) else { return self.end(Tail::Damaged(offset)) };
        self.offset += FRAME_HEADER_BYTES + len;
        self.frame_index += 1;
        Some(batch)
    }
}

#[cfg(test)]
mod tests;
