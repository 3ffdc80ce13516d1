//! Who may be out, and when: agreed by a council of servers, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! - [`record`]: the agreed state: roster, permits with their epochs; changed by the log's commands alone.
//! - [`release`]: the release in it: plan, waves, where each server stands, the way back.
//! - [`council`]: one voter, on the `raft` library: what must be durable before what leaves, and when it may vote.
//!
//! The promise that all of it keeps: agreed outages plus those that are known to have happened never pass the most that the
//! settings allow, whatever is cut, paused, killed or restarted. The argument stands in `docs/design/releases.md`.

pub mod council;
pub mod record;
pub mod release;
