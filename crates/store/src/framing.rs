//! The frame format of files that are written once, front to back: the checksums of a frame hold at its place only, so that no
//! frame counts in another file or at another place.
//!
//! ```text
//! frame: length u32 | crc u32 of (number, place, length) | crc u32 of (number, place, payload) | payload   (little-endian)
//! ```

/// Bytes of a frame before its payload.
pub(crate) const FRAME_HEADER_BYTES: usize = 12;

/// File numbers from here on are rejected: writers count up from 0, and each number must have a successor.
const FILE_NUMBER_LIMIT: u64 = 1 << 63;

/// Appends the CRC32 of the bytes.
pub(crate) fn with_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let crc = crc32fast::hash(&bytes);
    bytes.extend(crc.to_le_bytes());
    bytes
}

/// Whether the last four bytes are the CRC32 of those before.
pub(crate) fn has_valid_checksum(bytes: &[u8]) -> bool {
    bytes.split_last_chunk::<4>().is_some_and(|(bytes, crc)| crc32fast::hash(bytes).to_le_bytes() == *crc)
}

/// The number in a file name of 16 hex digits and the suffix.
pub(crate) fn number_of(name: &str, suffix: &str) -> Option<u64> {
    let digits = name.strip_suffix(suffix).filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok().filter(|number| *number < FILE_NUMBER_LIMIT)
}

/// The checksum of bytes in the frame at a place of a file.
fn checksum_at(number: u64, place: u32, bytes: &[u8]) -> [u8; 4] {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&number.to_le_bytes());
    crc.update(&place.to_le_bytes());
    crc.update(bytes);
    crc.finalize().to_le_bytes()
}

/// Encodes the frame at a place of a file. The caller bounds the payload, below 4 GiB.
pub(crate) fn encode_frame(number: u64, place: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend(length);
    bytes.extend(checksum_at(number, place, &length));
    bytes.extend(checksum_at(number, place, payload));
    bytes.extend(payload);
    bytes
}

/// The payload of the frame at the start of the bytes, if it is complete and belongs to this place.
pub(crate) fn decode_frame(number: u64, place: u32, bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (length_checksum, rest) = rest.split_first_chunk::<4>()?;
    let (payload_checksum, rest) = rest.split_first_chunk::<4>()?;
    if checksum_at(number, place, length) != *length_checksum {
        return None;
    }
    let payload = rest.get(..u32::from_le_bytes(*length) as usize)?;
    (checksum_at(number, place, payload) == *payload_checksum).then_some(payload)
}
