//! The identity of a server in the cluster and in the consensus group, derived from its settings at the start.

use super::error::StartError;
use crate::clock::Clock;
use crate::settings::{ConsensusSettings, FleetSettings};
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_cluster::cluster::ClusterSettings;
use gradepin_cluster::peer::{Incarnation, MAX_NAME_BYTES, Peer};
use gradepin_coordination::consensus::VoterState;
use gradepin_coordination::controller::ControllerSettings;
use gradepin_coordination::replicated_state::Limits;
use gradepin_coordination::server_agent::AgentSettings;
use gradepin_core::config::Config;
use gradepin_core::reducer::lent_share;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;

/// A random number of the system, for identities that must differ between processes. The configured seed can't be used:
/// it may be in a file that several processes read in succession.
pub(super) fn system_random() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Builds the settings of this server's agent. `own` is its identity in the cluster, `voter_state` the state read from
/// its folder if it is a voter, and `cell_names` are the names of cells for operators.
pub(super) fn agent_settings(
    consensus: &ConsensusSettings,
    cell_names: BTreeMap<u32, String>,
    own: Peer,
    voter_state: Option<VoterState>,
    seed: u64,
) -> AgentSettings {
    let limits =
        if consensus.ignore_limits { unlimited(&consensus.limits) } else { consensus.limits.clone() };
    let controller = ControllerSettings {
        limits,
        stabilization: consensus.stabilization,
        fresh_for: consensus.fresh_for,
        ignore_limits: consensus.ignore_limits,
        cell_names,
        ..ControllerSettings::default()
    };
    AgentSettings {
        name: own.name,
        incarnation: own.incarnation.0,
        zone: own.zone.to_string(),
        voters: consensus.voters.clone(),
        voter_state,
        controller,
        waits_for_permit: consensus.waits_for_permit,
        seed: seed ^ own.incarnation.0,
    }
}

/// Limits of a drill in which any number of servers may be out of service.
fn unlimited(limits: &Limits) -> Limits {
    let any = u32::MAX;
    let services = limits.services.keys().map(|name| (Arc::clone(name), any)).collect();
    Limits { fleet: any, zone: any, zones: any, services }
}

/// Builds the settings of a server's cluster membership, with a new incarnation; also used by programs that host a
/// reducer themselves. Fails if the server's name is too long for a datagram.
pub fn cluster_settings(
    fleet: &FleetSettings,
    config: &Config,
    keys: AuthenticationKeys,
    clock: Clock,
    seed: u64,
) -> Result<ClusterSettings, StartError> {
    if config.name.len() > MAX_NAME_BYTES {
        return Err(StartError::NameTooLong(config.name.clone()));
    }
    let random = system_random();
    let own = Peer {
        name: Arc::from(config.name.as_str()),
        incarnation: Incarnation::starting(clock.read().unix_ms, random),
        address: fleet.advertise,
        zone: Arc::from(fleet.zone.as_str()),
    };
    Ok(ClusterSettings {
        own,
        seeds: fleet.seeds.clone(),
        keys,
        failure_detection: fleet.failure_detection.clone(),
        max_bytes_per_second: fleet.max_bytes_per_second,
        servers: config.settings.servers as usize,
        share: fleet.leases.as_ref().and_then(|_| lent_share(&config.settings)),
        leases: fleet.lease_settings(config.settings.specifics.linger),
        probes_per_second: fleet.probes_per_second,
        retry_ratio: fleet.retry_ratio,
        seed: seed ^ random,
    })
}
