//! The last steps of a start: starts the threads of all parts, from the configuration writer to the processor link.

use super::error::{StartAborted, StartError};
use super::fleet::FleetParts;
use super::listeners::Sockets;
use super::roles::FleetRoles;
use super::start_optional;
use super::state::ServerState;
use crate::admin::Admin;
use crate::claims::{Claims, ClaimsSettings};
use crate::config::ServerFiles;
use crate::configuration_service::ConfigurationService;
use crate::configuration_writer::ConfigurationWriter;
use crate::effects::EffectExecutor;
use crate::frontend::{Frontend, Listener, Protocol};
use crate::inherited_listener::InheritedListener;
use crate::main_loop::Server;
use crate::processor::Processor;
use crate::queues::InputQueues;
use crate::registry::Registry;
use crate::reload::{ConfigReloader, ReloadTargets};
use crate::settings::OperatorSettings;
use crate::signals::{Signals, forward_signals};
use crate::store::{self, Store};
use crate::upstream_client::{UpstreamClient, UpstreamStarter};
use crossbeam_channel::{Receiver, Sender, bounded};
use gradepin_admission::UpstreamKind;
use gradepin_core::config::Config;
use gradepin_core::messages::Input;
use slog::{Logger, info, warn};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// How long the start waits for the recovery of the store before it serves; requests are queued in the sockets
/// meanwhile.
const MAX_STORE_RECOVERY_WAIT: Duration = Duration::from_millis(500);

/// Shared inputs of the steps of a start.
pub(super) struct StartContext<'s> {
    /// The server's configuration; its classes and tenants were moved into the reducer.
    pub config: &'s Config,
    /// The operators' settings.
    pub operator: &'s OperatorSettings,
    /// The files that both were read from.
    pub files: &'s ServerFiles,
    /// The listener for clients, if the platform passes one, and other settings of the environment.
    pub inherited: &'s InheritedListener,
    /// The fleet settings that apply to this process.
    pub roles: FleetRoles<'s>,
    /// Sender of urgent inputs to the reducer.
    pub urgent_inputs: &'s Sender<Input>,
    /// The server's log.
    pub log: &'s Logger,
}

/// The state and parts that exist before the remaining threads are started.
pub(super) struct StartedState {
    /// The reducer and values derived from the configuration.
    pub state: ServerState,
    /// Keyed runs shared with the other process of an upgrade.
    pub claims: Option<Claims>,
    /// All sockets, bound but not served yet.
    pub sockets: Sockets,
    /// The parts that only a fleet member has.
    pub fleet: FleetParts,
    /// The configuration service with its open folder.
    pub configuration_service: Option<ConfigurationService>,
}

impl StartContext<'_> {
    /// Starts sharing keyed runs with the other process of an upgrade, unless there is a store. A store has one owner:
    /// the new process rejects keyed requests until it has taken the store over.
    pub(super) fn share_keyed_runs(&self, state: &ServerState) -> Result<Option<Claims>, StartError> {
        if self.operator.store.is_some() {
            return Ok(None);
        }
        if self.inherited.accept_fd.is_some() && self.inherited.shared_folder.is_none() {
            warn!(self.log, "no $TMPDIR: keyed runs are not shared with the other process of an upgrade");
        }
        start_optional(self.inherited.shared_folder.as_ref(), |folder| {
            let settings = ClaimsSettings::new(folder, &self.config.name, state.seed, self.config.memory(1));
            let (inputs, pool) = (self.urgent_inputs.clone(), Arc::clone(&state.pool));
            Claims::start(settings, state.longest_window, inputs, pool, self.log.clone())
                .map_err(StartError::system("the thread of keyed runs"))
        })
    }

    /// Starts the remaining threads, the one that reads client connections among the last, and passes all parts to the
    /// main loop.
    pub(super) fn start_threads(
        &self,
        started: StartedState,
        signals: Signals,
        client_inputs: Sender<Input>,
        mut queues: InputQueues,
    ) -> Result<Server, StartAborted> {
        let StartedState { state, claims, sockets, fleet, configuration_service } = started;
        let configuration_writer = self.start_configuration_writer(configuration_service)?;
        if fleet.peers.is_none() {
            queues = queues.without_peers();
        }
        let (reload_finished, finished_reloads) = bounded(1);
        let reloader = self.start_reloader(&sockets, &fleet, &state, finished_reloads)?;
        forward_signals(signals, reloader.clone(), self.urgent_inputs.clone())
            .map_err(StartError::system("signals"))?;
        let store = self.start_store(&state)?;
        let mut arrived = Vec::new();
        if store.is_some() {
            // Recovery usually takes a few milliseconds. Keyed requests would be rejected until it is complete.
            arrived.extend(queues.urgent.recv_timeout(MAX_STORE_RECOVERY_WAIT).ok());
        }
        let admin = self.start_admin(sockets.admin, &fleet)?;
        let frontend = self.start_frontend(sockets.client_listeners, client_inputs, &state)?;
        let registry = self.start_registry(&state.instance_id)?;
        let upstream_starter =
            UpstreamStarter::new(self.urgent_inputs.clone(), Arc::clone(&state.pool), self.log.clone());
        let upstream = self.start_upstream(&upstream_starter)?;
        if let Some(staging) = &fleet.staging {
            arrived.push(Input::StagedSettingsChanged { active: None, staged: staging.staged() });
        }
        let processor = self.connect_processor(&state)?;
        info!(self.log, "serving"; "listen" => %self.config.listen, "version" => env!("CARGO_PKG_VERSION"));
        let executor = EffectExecutor {
            processor,
            upstream,
            upstream_starter,
            registry,
            frontend,
            admin,
            store,
            reloader,
            reload_finished,
            configuration_writer,
            peers: fleet.peers,
            voter_storage: fleet.voter_storage,
            staging: fleet.staging,
            control: sockets.control,
            claims,
            names: state.names,
            urgent_inputs: self.urgent_inputs.clone(),
            clock: state.clock,
            log: self.log.clone(),
        };
        Ok(Server::new(executor, queues, state.reducer, arrived))
    }

    fn start_configuration_writer(
        &self,
        service: Option<ConfigurationService>,
    ) -> Result<Option<ConfigurationWriter>, StartError> {
        let writer = start_optional(service, |service| service.start_writer(self.urgent_inputs.clone()));
        Ok(writer.map_err(StartError::system("the writer of the configuration"))?.flatten())
    }

    fn start_reloader(
        &self,
        sockets: &Sockets,
        fleet: &FleetParts,
        state: &ServerState,
        finished_reloads: Receiver<()>,
    ) -> Result<ConfigReloader, StartError> {
        let targets = ReloadTargets {
            files: self.files.clone(),
            scgi: sockets.scgi.clone(),
            keys: fleet.keys.clone(),
            active: state.names.clone(),
            inputs: self.urgent_inputs.clone(),
        };
        ConfigReloader::start(targets, finished_reloads).map_err(StartError::system("the reload thread"))
    }

    fn start_store(&self, state: &ServerState) -> Result<Option<Store>, StartError> {
        let settings = self.operator.store.as_ref().zip(state.store_limits);
        start_optional(settings, |(settings, limits)| {
            let open_disk = store::open_folder(settings.path.clone());
            let (inputs, log) = (self.urgent_inputs.clone(), self.log.clone());
            Store::start(open_disk, limits, state.seed, state.clock, inputs, log)
                .map_err(StartError::system("the store thread"))
        })
    }

    fn start_admin(
        &self,
        listener: Option<TcpListener>,
        fleet: &FleetParts,
    ) -> Result<Option<Admin>, StartError> {
        start_optional(listener, |listener| {
            Admin::start(listener, self.urgent_inputs.clone(), fleet.staging.clone(), self.log.clone())
                .map_err(StartError::system("the admin endpoint"))
        })
    }

    fn start_frontend(
        &self,
        listeners: Vec<(Arc<dyn Protocol>, Listener)>,
        inputs: Sender<Input>,
        state: &ServerState,
    ) -> Result<Frontend, StartError> {
        let max_connections = self.config.max_connections();
        Frontend::listen(
            listeners,
            max_connections,
            inputs,
            Arc::clone(&state.pool),
            state.clock,
            self.log.clone(),
        )
        .map_err(StartError::system("the reader of client connections"))
    }

    fn start_registry(&self, instance_id: &str) -> Result<Option<Registry>, StartError> {
        start_optional(self.operator.registry.as_ref(), |settings| {
            Registry::start(settings, instance_id, self.urgent_inputs, self.log)
                .map_err(StartError::system("the registry threads"))
        })
    }

    fn start_upstream(&self, starter: &UpstreamStarter) -> Result<Option<UpstreamClient>, StartError> {
        let is_shared = self.config.settings.specifics.upstream == UpstreamKind::Shared;
        start_optional(self.config.upstream.filter(|_| is_shared), |address| {
            starter
                .start(address, self.config.max_upstream_calls())
                .map_err(StartError::system("the threads of upstream calls"))
        })
    }

    fn connect_processor(&self, state: &ServerState) -> Result<Processor, StartError> {
        let (inputs, pool) = (self.urgent_inputs.clone(), Arc::clone(&state.pool));
        Processor::connect(self.config.processor, inputs, pool, self.log.clone())
            .map_err(StartError::system("the processor thread"))
    }
}
