//! The operators' settings of the cluster, and the identity of this server.

use crate::authentication::AuthenticationKeys;
use crate::leases::LeaseSettings;
use crate::members::FailureDetection;
use crate::peer::Peer;
use std::net::SocketAddr;

/// The settings of one server's part of the fleet.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// This server, in its current incarnation.
    pub own: Peer,
    /// Addresses at which other members may be found.
    pub seeds: Vec<SocketAddr>,
    /// The authentication keys of the fleet.
    pub keys: AuthenticationKeys,
    /// Timeouts of the failure detector.
    pub failure_detection: FailureDetection,
    /// Maximum bytes sent per second, averaged over any period, with bursts of at most one second's bytes.
    pub max_bytes_per_second: u32,
    /// Servers that share the quotas and the upstream.
    pub servers: usize,
    /// The own share of the shared upstream, in slots; none: there is no shared upstream, or its slots aren't lent.
    pub share: Option<f64>,
    /// How slots are lent.
    pub leases: LeaseSettings,
    /// Probes per second, of the fleet together, to an upstream that seems dead.
    pub probes_per_second: f64,
    /// Retries for each first attempt that the fleet takes; none: no budget.
    pub retry_ratio: Option<f64>,
    /// Seed of all random choices.
    pub seed: u64,
}
