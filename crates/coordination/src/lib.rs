//! Coordinates planned outages across the fleet: a consensus group of servers decides who may be out of service and when.
//!
//! Everything here is a state machine without I/O and without a clock: `(now, inputs) -> effects`. Settings, the admin endpoint
//! and texts for operators call the consensus group `council`, a rollout `release` and a batch `wave`.
//!
//! - [`ids`]: name and number types that the modules share.
//! - [`rollout`]: a rollout's plan, batches, the progress of its servers, halt and rollback.
//! - [`configuration_log`]: the replicated order of configuration changes: revisions, request ids, history.
//! - [`replicated_state`]: roster, limits, permits, rollout, configuration order; only commands of the log change it.
//! - [`replicated_snapshot`]: the encoding of the replicated state in snapshots.
//! - [`consensus`]: one voter, built on the `raft` library: durability before sending, and when the voter may vote.
//! - [`founding`]: the creation of the group with its first voters; repeated requests are idempotent.
//! - [`messages`]: messages between servers about permits, rollouts and operator commands.
//! - [`controller`]: the leader's work: permits, operator commands, the rollout.
//! - [`regression`]: detects whether a new version serves worse by more than noise.
//! - [`permit_client`]: one server's permit requests: the voter to ask, retries, and the expiry of a grant.
//! - [`proposal_client`]: one server's requests for configuration changes, and the servers that wait for a commit.
//! - [`server_agent`]: combines all of these for one server.
//!
//! Invariant of the crate: permitted outages plus known unplanned outages never exceed the configured limits, whichever servers
//! are partitioned, paused, killed or restarted. The argument is in `docs/design/releases.md`.

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

// Unit tests share golden files and values with the integration tests, which refer to this crate by its name.
#[cfg(test)]
extern crate self as gradepin_coordination;
#[cfg(test)]
#[path = "../tests/golden/mod.rs"]
#[allow(unreachable_pub, reason = "shared with the integration tests")]
mod golden;
