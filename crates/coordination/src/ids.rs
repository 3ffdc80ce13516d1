//! Names and numbers that the modules of this crate share. Aliases, so that stored and sent bytes are those of the plain types.

use std::sync::Arc;

/// The longest name, reason or version, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;

/// The name of a server, zone, service or person.
pub type Name = Arc<str>;
/// A voter: the random identity of its disk's voter state.
pub type VoterId = u64;
/// The index of an entry in the consensus group's log, from 1 on.
pub type LogIndex = u64;
/// A Raft term.
pub type Term = u64;
/// The identity of a permit: the index of the entry that reserved it, so that it is never used again.
pub type Epoch = u64;
/// The identity of a rollout: the index of the entry that started it.
pub type RolloutNumber = u64;
/// The start of a server's process: greater than that of any process it had before; 0 where the holder is a person.
pub type Incarnation = u64;
/// The number under which a request, proposal or operator command was submitted, unique for its submitter.
pub type Ticket = u64;
