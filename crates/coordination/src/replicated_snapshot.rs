//! The encoding of the replicated state in snapshots of the log.
//!
//! First the state as it was before configuration changes were committed, then their order. So a snapshot of a version without
//! them opens here with none, and such a version reads its part of ours and leaves the rest.

use crate::replicated_state::ReplicatedState;

/// Encodes the whole state.
pub fn encode(record: &ReplicatedState) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(record).unwrap_or_default();
    bytes.extend(postcard::to_stdvec(&record.configuration).unwrap_or_default());
    bytes
}

/// Reads the whole state; none if the bytes are no state.
pub fn decode(bytes: &[u8]) -> Option<ReplicatedState> {
    let (mut record, rest) = postcard::take_from_bytes::<ReplicatedState>(bytes).ok()?;
    if !rest.is_empty() {
        record.configuration = postcard::from_bytes(rest).ok()?;
    }
    Some(record)
}
