//! The frame format of files that are written once, from front to back. The checksums cover the file number and the index of
//! the frame in the file, so a frame that was copied to another file or position is rejected.
//!
//! ```text
//! frame: length u32 | crc u32 of (number, index, length) | crc u32 of (number, index, payload) | payload   (little-endian)
//! ```

/// Bytes of a frame before its payload.
pub(crate) const FRAME_HEADER_BYTES: usize = 12;

/// File numbers of at least this value are rejected. Writers count up from 0, and every number needs a successor.
const FILE_NUMBER_LIMIT: u64 = 1 << 63;

/// Appends the CRC32 of the bytes.
pub(crate) fn with_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let crc = crc32fast::hash(&bytes);
    bytes.extend(crc.to_le_bytes());
    bytes
}

/// Whether the last four bytes are the CRC32 of all bytes before them.
pub(crate) fn has_valid_checksum(bytes: &[u8]) -> bool {
    bytes.split_last_chunk::<4>().is_some_and(|(bytes, crc)| crc32fast::hash(bytes).to_le_bytes() == *crc)
}

/// Parses a file name that consists of 16 hex digits and the suffix.
pub(crate) fn parse_file_number(name: &str, suffix: &str) -> Option<u64> {
    let digits = name.strip_suffix(suffix).filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok().filter(|number| *number < FILE_NUMBER_LIMIT)
}

/// The CRC32 of the file number, the frame index and the bytes.
fn checksum_at(number: u64, frame_index: u32, bytes: &[u8]) -> [u8; 4] {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&number.to_le_bytes());
    crc.update(&frame_index.to_le_bytes());
    crc.update(bytes);
    crc.finalize().to_le_bytes()
}

/// Encodes one frame. The caller must keep the payload below 4 GiB, since the length has 32 bits.
pub(crate) fn encode_frame(number: u64, frame_index: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend(length);
    bytes.extend(checksum_at(number, frame_index, &length));
    bytes.extend(checksum_at(number, frame_index, payload));
    bytes.extend(payload);
    bytes
}

/// Decodes the frame at the start of the bytes; `None` if it is incomplete, damaged or of another file or index.
pub(crate) fn decode_frame(number: u64, frame_index: u32, bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (length_checksum, rest) = rest.split_first_chunk::<4>()?;
    let (payload_checksum, rest) = rest.split_first_chunk::<4>()?;
    if checksum_at(number, frame_index, length) != *length_checksum {
        return None;
    }
    let payload = rest.get(..u32::from_le_bytes(*length) as usize)?;
    (checksum_at(number, frame_index, payload) == *payload_checksum).then_some(payload)
}
