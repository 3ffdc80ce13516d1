//! Coordination of outages across the fleet: who may be out of service and when, agreed by a consensus group of servers.
//! State machines without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! - [`ids`]: names and numbers that the modules share.
//! - [`rollout`]: a rollout's plan, batches, the progress of its servers, halt and rollback.
//! - [`configuration_log`]: the order of configuration changes: revisions, request ids, history.
//! - [`replicated_state`]: roster, limits, permits, rollout, configuration order; changed by the log's commands alone.
//! - [`replicated_snapshot`]: the encoding of the replicated state in snapshots.
//! - [`consensus`]: one voter, on the `raft` library: what must be durable before what is sent, and when it may vote.
//! - [`founding`]: the voters that the group starts with, the same at each request.
//! - [`messages`]: messages between servers about permits, rollouts and operator commands.
//! - [`controller`]: what the leader does: permits, operator commands, the rollout.
//! - [`regression`]: whether a new version serves worse, by more than noise.
//! - [`permit_client`]: one server's permit requests: which voter gets them, and until when it may begin.
//! - [`proposal_client`]: one server's requests for configuration changes, and who waits at a voter for a commit.
//! - [`server_agent`]: all of these together, for one server.
//!
//! The invariant that all of it keeps: agreed outages plus those that are known to have happened never exceed the limits of the
//! settings, whatever is partitioned, paused, killed or restarted. The argument is in `docs/design/releases.md`.

#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

pub mod configuration_log;
pub mod consensus;
pub mod controller;
pub mod founding;
pub mod ids;
pub mod messages;
pub mod permit_client;
pub mod proposal_client;
pub mod regression;
pub mod replicated_snapshot;
pub mod replicated_state;
pub mod rollout;
pub mod server_agent;

// Tests beside private items share files and values with those in `tests/`, which name this crate.
#[cfg(test)]
extern crate self as gradepin_coordination;
#[cfg(test)]
#[path = "../tests/golden/mod.rs"]
#[allow(unreachable_pub, reason = "shared with the integration tests")]
mod golden;
