//! Frames of files that are written once from front to back: each carries checks that count at its place only.

/// Before the payload: its length, a check of that, a check of the payload.
pub const FRAME_HEADER_BYTES: usize = 12;

/// Bytes with their crc behind them.
pub fn sealed(mut bytes: Vec<u8>) -> Vec<u8> {
    let crc = crc32fast::hash(&bytes);
    bytes.extend(crc.to_le_bytes());
    bytes
}

/// Whether what stands before the crc is what was written.
pub fn whole(bytes: &[u8]) -> bool {
    bytes.split_last_chunk::<4>().is_some_and(|(bytes, crc)| crc32fast::hash(bytes).to_le_bytes() == *crc)
}

/// Numbers of files from here on are nobody's: writers count up from 0, and one more must follow each.
const NUMBERS: u64 = 1 << 63;

/// The number of a file by its name: 16 hex digits and the suffix.
pub fn number_of(name: &str, suffix: &str) -> Option<u64> {
    let digits = name.strip_suffix(suffix).filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok().filter(|number| *number < NUMBERS)
}

/// The crc of a part of a frame, which counts nowhere else.
fn placed(number: u64, place: u32, bytes: &[u8]) -> [u8; 4] {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&number.to_le_bytes());
    crc.update(&place.to_le_bytes());
    crc.update(bytes);
    crc.finalize().to_le_bytes()
}

/// A frame at its place in the file of a number. Payloads are bounded by the caller, below 4 GB.
pub fn framed(number: u64, place: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend(length);
    bytes.extend(placed(number, place, &length));
    bytes.extend(placed(number, place, payload));
    bytes.extend(payload);
    bytes
}

/// The payload of the frame that bytes begin with, if it is whole and of this place.
pub fn next_frame(number: u64, place: u32, bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (of_length, rest) = rest.split_first_chunk::<4>()?;
    let (of_payload, rest) = rest.split_first_chunk::<4>()?;
    if placed(number, place, length) != *of_length {
        return None;
    }
    let payload = rest.get(..u32::from_le_bytes(*length) as usize)?;
    (placed(number, place, payload) == *of_payload).then_some(payload)
}
