//! Starts the parts that only a fleet member has: the staging area, the voter storage, the cluster membership, the
//! server agent, and the thread that receives datagrams.

use super::context::StartContext;
use super::error::StartError;
use super::fleet_identity::{agent_settings, cluster_settings, system_random};
use super::start_optional;
use super::state::ServerState;
use crate::clock::Clock;
use crate::configuration_service::{self, ConfigurationService};
use crate::peer_datagrams::{PeerDatagrams, SharedKeys};
use crate::settings::cluster;
use crate::settings::{ConsensusSettings, FleetSettings};
use crate::staging::StagingArea;
use crate::voter_storage::VoterStorage;
use crossbeam_channel::Sender;
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_cluster::cluster::Cluster;
use gradepin_cluster::peer::Peer;
use gradepin_coordination::consensus::VoterState;
use gradepin_coordination::server_agent::ServerAgent;
use gradepin_core::configuration::ConfigurationStart;
use gradepin_core::messages::Input;
use gradepin_core::reducer::Reducer;
use std::net::UdpSocket;
use std::sync::{Arc, PoisonError, RwLock};

/// The running parts of a fleet member. Fields are dropped in the order of declaration: the part started last comes
/// first.
pub(super) struct FleetParts {
    /// Membership state for the reducer.
    pub member: Option<FleetMember>,
    /// Exchanges datagrams with other servers.
    pub peers: Option<PeerDatagrams>,
    /// The authentication keys of datagrams; a reload replaces them.
    pub keys: Option<SharedKeys>,
    /// Makes the state of a voter durable.
    pub voter_storage: Option<VoterStorage>,
    /// Settings staged for rollouts.
    pub staging: Option<Arc<StagingArea>>,
}

/// State that the reducer of a fleet member needs in addition.
pub(super) struct FleetMember {
    cluster: Cluster,
    agent: Option<Agent>,
}

/// The server agent, and the values that it reports.
struct Agent {
    agent: ServerAgent,
    zone: String,
    program_version: String,
    /// Digest of the configuration file; empty without a staging area.
    settings_digest: String,
    configuration: Option<ConfigurationStart>,
}

impl FleetMember {
    /// Adds the cluster, the agent and the configuration service to the reducer, in this order.
    pub(super) fn join(self, mut reducer: Reducer, clock: Clock) -> Reducer {
        reducer = reducer.with_cluster(self.cluster);
        let Some(Agent { agent, zone, program_version, settings_digest, configuration }) = self.agent else {
            return reducer;
        };
        reducer = reducer.with_agent(agent, zone, program_version, settings_digest);
        match configuration {
            Some(start) => reducer.with_configuration(start, clock.read().now),
            None => reducer,
        }
    }
}

/// State read from the folders of a fleet member.
struct FleetFolders<'s> {
    /// The voter state, if this server has a folder for it.
    voter_state: Option<VoterState>,
    /// The folder of staged settings.
    staging: Option<&'s StagingArea>,
    /// The configuration service with the last good configuration.
    configuration_service: Option<&'s ConfigurationService>,
}

impl StartContext<'_> {
    /// Starts the parts of a fleet member; `socket` is bound to the fleet address, `datagrams` is the queue of the
    /// reducer for received datagrams.
    pub(super) fn start_fleet(
        &self,
        state: &mut ServerState,
        socket: Option<UdpSocket>,
        datagrams: Sender<Input>,
        configuration_service: Option<&ConfigurationService>,
    ) -> Result<FleetParts, StartError> {
        let staging = self.open_staging_area()?;
        let (voter_storage, voter_state) = self.start_voter_storage()?.unzip();
        self.check_voter_has_folder()?;
        let keys = start_optional(self.roles.cluster, |cluster| cluster::keys(&cluster.key_file))?;
        let keys = keys.map(|keys| Arc::new(RwLock::new(keys)));
        let mut parts = FleetParts { member: None, peers: None, keys, voter_storage, staging };
        if let (Some(cluster), Some(keys), Some(socket)) = (self.roles.cluster, &parts.keys, socket) {
            let folders =
                FleetFolders { voter_state, staging: parts.staging.as_deref(), configuration_service };
            parts.member = Some(self.member(cluster, read_keys(keys), state, folders)?);
            let peers =
                PeerDatagrams::start(socket, Arc::clone(keys), datagrams, state.clock, self.log.clone());
            parts.peers = Some(peers.map_err(StartError::system("the thread of peer datagrams"))?);
        }
        Ok(parts)
    }

    fn open_staging_area(&self) -> Result<Option<Arc<StagingArea>>, StartError> {
        let Some(consensus) = self.roles.consensus else { return Ok(None) };
        start_optional(consensus.staging_folder.clone(), |folder| {
            let (config, command) = (self.files.config.clone(), consensus.replace_command.clone());
            StagingArea::open(folder, config, command, self.config.name.clone())
                .map(Arc::new)
                .map_err(StartError::system("the staging area"))
        })
    }

    fn start_voter_storage(&self) -> Result<Option<(VoterStorage, VoterState)>, StartError> {
        let folder = self.roles.consensus.and_then(|consensus| consensus.folder.clone());
        start_optional(folder, |folder| {
            // The identity of a new folder must be unique and not 0.
            let new_identity = system_random() | 1;
            VoterStorage::start(folder, new_identity, self.urgent_inputs.clone())
                .map_err(StartError::system("the voter storage"))
        })
    }

    fn check_voter_has_folder(&self) -> Result<(), StartError> {
        let name = &self.config.name;
        let lacks_folder = |consensus: &ConsensusSettings| {
            consensus.folder.is_none() && consensus.voters.iter().any(|voter| **voter == **name)
        };
        match self.roles.consensus {
            Some(consensus) if lacks_folder(consensus) => Err(StartError::VoterWithoutFolder(name.clone())),
            _ => Ok(()),
        }
    }

    fn member(
        &self,
        cluster: &FleetSettings,
        keys: AuthenticationKeys,
        state: &mut ServerState,
        folders: FleetFolders<'_>,
    ) -> Result<FleetMember, StartError> {
        let settings = cluster_settings(cluster, self.config, keys, state.clock, state.seed)?;
        let own = settings.own.clone();
        let cluster = Cluster::new(settings, state.clock.read().now);
        let agent =
            start_optional(self.roles.consensus, |consensus| self.agent(consensus, own, state, folders))?;
        Ok(FleetMember { cluster, agent })
    }

    fn agent(
        &self,
        consensus: &ConsensusSettings,
        own: Peer,
        state: &mut ServerState,
        folders: FleetFolders<'_>,
    ) -> Result<Agent, StartError> {
        let cell_names = std::mem::take(&mut state.cell_names);
        let settings = agent_settings(consensus, cell_names, own.clone(), folders.voter_state, state.seed);
        let settings_digest = start_optional(folders.staging, StagingArea::active_digest)
            .map_err(StartError::system("the digest of the configuration file"))?
            .unwrap_or_default();
        let mut agent = ServerAgent::new(settings, state.clock.read().now);
        if let Some(configuration) = self.roles.configuration {
            agent = agent.with_configuration(configuration_service::log_settings(configuration));
        }
        let configuration = match (folders.configuration_service, self.roles.configuration) {
            (Some(service), Some(settings)) => Some(service.start(settings, consensus, &own, state.seed)),
            _ => None,
        };
        let (zone, program_version) = (own.zone.to_string(), self.files.version.clone());
        Ok(Agent { agent, zone, program_version, settings_digest, configuration })
    }
}

fn read_keys(keys: &SharedKeys) -> AuthenticationKeys {
    keys.read().unwrap_or_else(PoisonError::into_inner).clone()
}
