//! A rollout of a program or of settings: its plan, its batches, the progress of each server, halt and rollback.
//!
//! Input: [`RolloutCommand`]s, which [`crate::replicated_state`] applies in the order of the consensus group's log. Output: the
//! servers whose step is due, and the target version of each server. Invariant: a rollout changes only by committed commands,
//! so any process may stop at any time and the next leader continues from the replicated state.
//!
//! [`crate::controller`] decides when a step is proposed. The server's host executes the update.

mod batches;
mod commands;
mod plan;
mod progress;

pub use commands::{RolloutCommand, RolloutError};
pub use plan::{Batch, MAX_BATCHES, PlanError, ReleaseKind, RolloutPlan};
pub use progress::{Rollout, RolloutServer, RolloutState, ServerProgress, Transition};

pub(crate) use batches::{EnrolledServer, assign_batches};

#[cfg(test)]
mod tests;
