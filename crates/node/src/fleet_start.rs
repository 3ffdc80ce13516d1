//! What a server is in the fleet and in what that agrees on, made of its settings at the start.

use crate::clock::Clock;
use crate::serve::StartError;
use crate::settings::{CouncilSettings, FleetSettings};
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

/// This server's part in what the fleet agrees on.
pub fn part_settings(
    set: &CouncilSettings,
    names: BTreeMap<u32, String>,
    own: Peer,
    folder: Option<VoterState>,
    seed: u64,
) -> AgentSettings {
    let any = u32::MAX;
    let all = set.limits.services.keys().map(|name| (Arc::clone(name), any)).collect();
    let limits = if set.plain {
        Limits { fleet: any, zone: any, zones: any, services: all }
    } else {
        set.limits.clone()
    };
    let controller = ControllerSettings {
        limits,
        stabilization: set.steady,
        fresh_for: set.fresh,
        ignore_limits: set.plain,
        cell_names: names,
        ..ControllerSettings::default()
    };
    AgentSettings {
        name: own.name,
        incarnation: own.incarnation.0,
        zone: own.zone.to_string(),
        voters: set.voters.clone(),
        voter_state: folder,
        controller,
        waits_for_permit: set.waits,
        seed: seed ^ own.incarnation.0,
    }
}

/// What this server is in the fleet, in the life that begins. Also for those who host a reducer elsewhere.
pub fn fleet_settings(
    set: &FleetSettings,
    config: &Config,
    keys: AuthenticationKeys,
    clock: Clock,
    seed: u64,
) -> Result<ClusterSettings, StartError> {
    if config.name.len() > MAX_NAME_BYTES {
        return Err(StartError::Name(config.name.clone()));
    }
    // The system's own randomness: a seed may stand in a file that outlives a life.
    let random = RandomState::new().build_hasher().finish();
    let own = Peer {
        name: Arc::from(config.name.as_str()),
        incarnation: Incarnation::starting(clock.read().unix_ms, random),
        address: set.advertise,
        zone: Arc::from(set.zone.as_str()),
    };
    Ok(ClusterSettings {
        own,
        seeds: set.seeds.clone(),
        keys,
        failure_detection: set.failure_detection.clone(),
        max_bytes_per_second: set.max_bytes_per_second,
        servers: config.settings.servers as usize,
        share: set.leases.as_ref().and_then(|_| lent_share(&config.settings)),
        leases: set.lease_settings(config.settings.specifics.linger),
        probes_per_second: set.probes_per_second,
        retry_ratio: set.retry_ratio,
        seed: seed ^ random,
    })
}
