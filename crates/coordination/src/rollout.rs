//! A rollout of a program or of settings: its plan, its batches, the progress of each server, halt and rollback.
//!
//! Input: [`RolloutCommand`]s, which [`crate::replicated_state`] applies in the order of the consensus group's log. Output: the
//! servers that are due and the version that each shall have. Invariant: nothing here moves by itself. Each step is a
//! committed command, so that any process may stop at any time and the next leader continues from the replicated state.
//!
//! Not here: which step is proposed when ([`crate::controller`]), and how a server changes.

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
