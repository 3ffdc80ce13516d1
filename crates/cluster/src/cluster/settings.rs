//! What an operator sets of the cluster, and what the server knows of itself.

use crate::authentication::AuthenticationKeys;
use crate::leases::LeaseSettings;
use crate::members::FailureDetection;
use crate::peer::Peer;
use std::net::SocketAddr;

/// The settings of one server's part of the fleet.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// This server, in the incarnation that begins.
    pub own: Peer,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet.
    pub keys: AuthenticationKeys,
    /// How quickly the fleet notices a failure.
    pub failure_detection: FailureDetection,
    /// Bytes sent in a second at the most, over any length of time but for one second's worth.
    pub max_bytes_per_second: u32,
    /// Servers that share the quotas and the upstream.
    pub servers: usize,
    /// The own share of the shared upstream, in slots; none: there is no shared upstream, or its slots aren't lent.
    pub share: Option<f64>,
    /// How slots are lent.
    pub leases: LeaseSettings,
    /// Probes a second of the whole fleet to an upstream that looks dead.
    pub probes_per_second: f64,
    /// Retries for each first attempt that the fleet takes; none: no budget.
    pub retry_ratio: Option<f64>,
    /// For all that is drawn at random.
    pub seed: u64,
}
