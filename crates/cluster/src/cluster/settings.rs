//! The operators' settings of the cluster, and the identity of this server.

use crate::authentication::AuthenticationKeys;
use crate::leases::LeaseSettings;
use crate::members::FailureDetection;
use crate::peer::Peer;
use std::net::SocketAddr;

/// The settings of one server's cluster state.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// This server, in its current incarnation.
    pub own: Peer,
    /// Addresses of servers by which this one joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The authentication keys of the fleet.
    pub keys: AuthenticationKeys,
    /// Timeouts of the failure detector.
    pub failure_detection: FailureDetection,
    /// Maximum bytes sent per second, averaged over any period, with bursts of at most one second's bytes.
    pub max_bytes_per_second: u32,
    /// The number of servers that share the quotas and the shared upstream.
    pub servers: usize,
    /// This server's own share of the shared upstream, in slots. None if there is no shared upstream or its
    /// slots aren't lent.
    pub share: Option<f64>,
    /// The duration and bounds of leases on slots.
    pub leases: LeaseSettings,
    /// The rate at which the whole fleet may probe a dead upstream, in probes per second.
    pub probes_per_second: f64,
    /// Number of retries that the fleet admits per first attempt; none: no budget.
    pub retry_ratio: Option<f64>,
    /// Seed of all random choices.
    pub seed: u64,
}
