//! The encoding of the replicated state in snapshots of the log.
//!
//! First the state as it was before configuration changes were committed, then their order. So a snapshot of a version without
//! them is decoded with none, and such a version decodes its part of ours and ignores the rest.

use crate::replicated_state::ReplicatedState;

/// Encodes the state.
pub fn encode(state: &ReplicatedState) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(state).unwrap_or_default();
    bytes.extend(postcard::to_stdvec(&state.configuration).unwrap_or_default());
    bytes
}

/// Decodes the state; none if the bytes aren't one.
pub fn decode(bytes: &[u8]) -> Option<ReplicatedState> {
    let (mut state, rest) = postcard::take_from_bytes::<ReplicatedState>(bytes).ok()?;
    if !rest.is_empty() {
        state.configuration = postcard::from_bytes(rest).ok()?;
    }
    Some(state)
}
