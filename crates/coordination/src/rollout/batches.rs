//! Assigns servers to the batches of a rollout.

use super::plan::{Batch, RolloutPlan};
use super::progress::{RolloutServer, ServerProgress};
use crate::ids::Name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A server that takes part in a rollout, before it is assigned to a batch.
pub(crate) struct EnrolledServer<'a> {
    /// Name of the server.
    pub name: &'a Name,
    /// Zone of the server, which determines its place in the update order.
    pub zone: &'a Name,
    /// Version that the server runs at the start; a rollback restores it.
    pub version: String,
}

/// Assigns servers, which must be sorted by name, to the batches of a plan.
pub(crate) fn assign_batches(
    plan: &RolloutPlan,
    servers: &[EnrolledServer<'_>],
) -> BTreeMap<Name, RolloutServer> {
    let order = update_order(plan, servers);
    let mut assigned = BTreeMap::new();
    let mut start = 0;
    for (batch, Batch { share, .. }) in plan.batches.iter().enumerate() {
        // Each batch has at least one server, as long as any are left.
        let end = ((share * order.len() as f64).floor() as usize).max(start + 1).min(order.len());
        for server in &order[start..end] {
            let progress = ServerProgress::Pending;
            let previous_version = server.version.clone();
            let assignment = RolloutServer { batch: batch as u32, previous_version, progress };
            assigned.insert(Arc::clone(server.name), assignment);
        }
        start = end;
    }
    assigned
}

/// Returns the order in which servers are updated: zone after zone, or one server of each zone in turn.
fn update_order<'a, 'b>(
    plan: &RolloutPlan,
    servers: &'b [EnrolledServer<'a>],
) -> Vec<&'b EnrolledServer<'a>> {
    let mut zones: BTreeMap<&Name, Vec<&EnrolledServer<'a>>> = BTreeMap::new();
    for server in servers {
        zones.entry(server.zone).or_default().push(server);
    }
    if plan.zone_by_zone {
        return zones.into_values().flatten().collect();
    }
    let largest_zone = zones.values().map(Vec::len).max().unwrap_or(0);
    let nth_of_each = |nth: usize| zones.values().filter_map(move |members| members.get(nth).copied());
    (0..largest_zone).flat_map(nth_of_each).collect()
}
