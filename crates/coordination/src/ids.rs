//! Name and number types that the modules of this crate share. They are aliases, so stored and sent bytes are those of the
//! plain types.

use std::sync::Arc;

/// Maximum length of a name, reason or version, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;

/// Name of a server, zone, service or operator.
pub type Name = Arc<str>;
/// Identity of a voter: a random number created with the voter state on its disk. A server with a new disk is a new voter.
pub type VoterId = u64;
/// Index of an entry in the consensus group's log; the first entry has index 1.
pub type LogIndex = u64;
/// Raft term; 0 before the group is founded.
pub type Term = u64;
/// Identity of a permit: the index of the log entry that reserved it, so it is never reused.
pub type Epoch = u64;
/// Identity of a rollout: the index of the log entry that started it.
pub type RolloutNumber = u64;
/// Identifies one process of a server: greater than that of all earlier processes of the server; 0 for an operator.
pub type Incarnation = u64;
/// Number under which a request, proposal or operator command was submitted; unique per submitter.
pub type Ticket = u64;
