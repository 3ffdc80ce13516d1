//! Selects the fleet settings that apply to this process.

use crate::inherited_listener::InheritedListener;
use crate::settings::{ConfigurationSettings, ConsensusSettings, FleetSettings, OperatorSettings};
use slog::{Logger, warn};
use std::path::Path;

/// The fleet settings that apply to this process. With an inherited listener none apply: the second process of an
/// upgrade has the name and addresses of the first one, so it is no fleet member and receives no configuration changes.
#[derive(Clone, Copy)]
pub(super) struct FleetRoles<'s> {
    /// Settings of the cluster membership.
    pub cluster: Option<&'s FleetSettings>,
    /// Settings of the server agent, and of the voter if this server is one.
    pub consensus: Option<&'s ConsensusSettings>,
    /// Settings of the configuration service.
    pub configuration: Option<&'s ConfigurationSettings>,
}

impl<'s> FleetRoles<'s> {
    /// Selects the settings that apply.
    pub(super) fn new(operator: &'s OperatorSettings, inherited: &InheritedListener) -> Self {
        if inherited.accept_fd.is_some() {
            return Self { cluster: None, consensus: None, configuration: None };
        }
        let cluster = operator.cluster.as_ref();
        Self {
            cluster,
            consensus: operator.consensus.as_ref().filter(|_| cluster.is_some()),
            configuration: operator.configuration.as_ref(),
        }
    }

    /// Folders that the predecessor holds until it exits. The store is not among them, because its own thread waits for
    /// it.
    pub(super) fn exclusive_folders(&self) -> impl Iterator<Item = &'s Path> {
        let voter_state = self.consensus.and_then(|settings| settings.folder.as_deref());
        let configuration = self.configuration.and_then(|settings| settings.folder.as_deref());
        voter_state.into_iter().chain(configuration)
    }

    /// Logs a warning if a configured cluster membership does not apply.
    pub(super) fn warn_if_no_member(&self, operator: &OperatorSettings, log: &Logger) {
        if self.cluster.is_none() && operator.cluster.is_some() {
            warn!(log, "inherited listener: this process doesn't join the fleet");
        }
    }

    /// Logs a warning if a configured configuration service does not apply.
    pub(super) fn warn_if_no_configuration_service(&self, operator: &OperatorSettings, log: &Logger) {
        if self.configuration.is_none() && operator.configuration.is_some() {
            warn!(
                log,
                "inherited listener: the configuration service is off, the configuration file applies"
            );
        }
    }
}
