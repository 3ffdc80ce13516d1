//! Who may be out, and when: agreed by a group of servers, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! - [`replicated_state`]: the replicated state: roster, permits with their epochs; changed by the log's commands alone.
//! - [`rollout`]: the release in it: plan, batches, where each server stands, the rollback.
//! - [`consensus`]: one voter, on the `raft` library: what must be durable before what leaves, and when it may vote.
//! - [`configuration_log`]: the order of configuration changes: revisions, request ids, history.
//! - [`proposal_client`]: requests for such changes, from any server to the leader.
//! - [`replicated_snapshot`]: the encoding of the replicated state in snapshots.
//! - [`founding`]: the voters that the group begins with, the same for everybody who asks.
//! - [`messages`]: what servers say to each other about permits, rollouts and orders.
//! - [`controller`]: what the leader does: permits, operators' orders, the rollout.
//! - [`permit_client`]: one server that wants out: which voter it asks, and until when it may begin.
//! - [`rollback`]: whether a new version serves worse, by more than noise.
//! - [`server_agent`]: the parts together, as the reducer of one server holds them.
//!
//! The invariant that all of it keeps: agreed outages plus those that are known to have happened never pass the most that
//! the settings allow, whatever is cut, paused, killed or restarted. The argument is in `docs/design/releases.md`.

pub mod configuration_log;
pub mod consensus;
pub mod controller;
pub mod founding;
pub mod messages;
pub mod permit_client;
pub mod proposal_client;
pub mod replicated_snapshot;
pub mod replicated_state;
pub mod rollback;
pub mod rollout;
pub mod server_agent;

// Tests beside private items share files and values with those in `tests/`, which name this crate.
#[cfg(test)]
extern crate self as gradepin_coordination;
#[cfg(test)]
#[path = "../tests/golden/mod.rs"]
mod golden;
