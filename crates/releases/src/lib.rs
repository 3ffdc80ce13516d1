//! Who may be out, and when: agreed by a council of servers, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! - [`record`]: the agreed state: roster, permits with their epochs; changed by the log's commands alone.
//! - [`release`]: the release in it: plan, waves, where each server stands, the way back.
//! - [`council`]: one voter, on the `raft` library: what must be durable before what leaves, and when it may vote.
//! - [`chair`]: what the leader does: asks, ends, the release's turns.
//! - [`asker`]: one server that wants out: whom it asks, and until when it may begin.
//! - [`configuration_log`]: the order of configuration changes: revisions, request ids, history.
//! - [`proposal_client`]: requests for such changes, from any server to the leader.
//! - [`replicated_snapshot`]: the encoding of the agreed state in snapshots.
//! - [`founding`]: which voters the group begins with, and what a request to found it is answered.
//! - [`halt`]: whether a new version serves worse, by more than noise.
//! - [`part`]: the parts together, as the reducer of one server holds them.
//!
//! The promise that all of it keeps: agreed outages plus those that are known to have happened never pass the most that the
//! settings allow, whatever is cut, paused, killed or restarted. The argument stands in `docs/design/releases.md`.

pub mod asker;
pub mod chair;
pub mod configuration_log;
pub mod council;
pub mod founding;
pub mod halt;
pub mod part;
pub mod proposal_client;
pub mod record;
pub mod release;
pub mod replicated_snapshot;
