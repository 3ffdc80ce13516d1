//! Encoding of the replicated state in snapshots of the log.
//!
//! The order of configuration changes follows the rest of the state. Program versions without configuration changes write and
//! read only the first part: their snapshots decode here with an empty order, and they ignore the second part of ours.

use crate::replicated_state::ReplicatedState;

/// Encodes the state with its order of configuration changes.
pub fn encode(state: &ReplicatedState) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(state).unwrap_or_default();
    bytes.extend(postcard::to_stdvec(&state.configuration).unwrap_or_default());
    bytes
}

/// Decodes a state, with or without an order of configuration changes; none if the bytes are invalid.
pub fn decode(bytes: &[u8]) -> Option<ReplicatedState> {
    let (mut state, rest) = postcard::take_from_bytes::<ReplicatedState>(bytes).ok()?;
    if !rest.is_empty() {
        state.configuration = postcard::from_bytes(rest).ok()?;
    }
    Some(state)
}
