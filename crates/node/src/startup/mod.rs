//! Starts a server: turns its settings into a running [`Server`].
//!
//! Upgrades and operators rely on the order of the steps: folders of the predecessor first, then the admin and fleet
//! addresses, the clients' addresses last; nothing is read from a client before the store has had time to recover.
//! While another process holds a resource, the start waits ([`predecessor_wait`]), and SIGTERM ends it
//! ([`StartAborted::ShutdownRequested`]). If a part fails to start, those started before it are dropped in reverse
//! order.

mod context;
mod error;
mod fleet;
mod fleet_identity;
mod listeners;
mod predecessor_wait;
mod roles;
mod state;

pub(crate) use error::StartAborted;
pub use error::StartError;
pub use fleet_identity::cluster_settings;

use crate::config::ServerFiles;
use crate::configuration_service::ConfigurationService;
use crate::descriptors;
use crate::inherited_listener::InheritedListener;
use crate::main_loop::Server;
use crate::queues::input_queues;
use crate::settings::OperatorSettings;
use crate::signals::Signals;
use context::{StartContext, StartedState};
use gradepin_core::config::Config;
use predecessor_wait::PredecessorWait;
use roles::FleetRoles;
use slog::{Logger, warn};
use state::ServerState;

/// The inputs of a start.
pub(crate) struct StartArguments<'a> {
    /// The server's configuration.
    pub config: Config,
    /// The operators' settings.
    pub operator: OperatorSettings,
    /// The files that both were read from.
    pub files: ServerFiles,
    /// The listener for clients, if the platform passes one, and other settings of the environment.
    pub inherited: InheritedListener,
    /// Signals received since the start of the process.
    pub signals: Signals,
    /// The server's log.
    pub log: &'a Logger,
}

/// Starts a part if its settings are present.
fn start_optional<S, T, E>(
    settings: Option<S>,
    start: impl FnOnce(S) -> Result<T, E>,
) -> Result<Option<T>, E> {
    settings.map(start).transpose()
}

/// Starts all parts of a server.
pub(crate) fn start(arguments: StartArguments<'_>) -> Result<Server, StartAborted> {
    let StartArguments { mut config, operator, files, inherited, signals, log } = arguments;
    apply_overrides(&mut config, &operator, &inherited, log);
    let roles = FleetRoles::new(&operator, &inherited);
    roles.warn_if_no_configuration_service(&operator, log);
    PredecessorWait::new(&signals, log).wait_for_folders(roles.exclusive_folders())?;
    let configuration_service = start_optional(roles.configuration, |settings| {
        ConfigurationService::open(settings, operator.consensus.as_ref(), &mut config, log)
    })?;
    let mut state = ServerState::build(&mut config, &operator, &inherited)?;
    let (senders, queues) = input_queues();
    let context = StartContext {
        config: &config,
        operator: &operator,
        files: &files,
        inherited: &inherited,
        roles,
        urgent_inputs: &senders.urgent,
        log,
    };
    let claims = context.share_keyed_runs(&state)?;
    if let Some(claims) = &claims {
        state.reducer = state.reducer.sharing_runs(claims.salt());
    }
    let mut sockets = context.acquire_sockets(&state, &PredecessorWait::new(&signals, log))?;
    let mut fleet = context.start_fleet(
        &mut state,
        sockets.peers.take(),
        senders.peer,
        configuration_service.as_ref(),
    )?;
    if let Some(member) = fleet.member.take() {
        state.reducer = member.join(state.reducer, state.clock);
    }
    let started = StartedState { state, claims, sockets, fleet, configuration_service };
    context.start_threads(started, signals, senders.client, queues)
}

/// Applies overrides of the configuration by the environment, the system and the operators' settings.
fn apply_overrides(
    config: &mut Config,
    operator: &OperatorSettings,
    inherited: &InheritedListener,
    log: &Logger,
) {
    descriptors::apply_system_limit(&mut config.limits, log);
    for warning in &operator.warnings {
        warn!(log, "operator settings use a name of an earlier version"; "setting" => %warning);
    }
    config.admin_addr = inherited.admin_addr.or(config.admin_addr);
    config.lends = operator.cluster.as_ref().is_some_and(|cluster| cluster.leases.is_some());
}
