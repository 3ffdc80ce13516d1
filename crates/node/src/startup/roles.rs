//! What this process does in the fleet, by its settings.

use crate::inherited_listener::InheritedListener;
use crate::settings::{ConfigurationSettings, ConsensusSettings, FleetSettings, OperatorSettings};
use slog::{Logger, warn};
use std::path::Path;

/// The settings of the fleet that apply to this process. None of them do on an inherited listener: the second process of an
/// upgrade has the name and the addresses of the first one, so it is no member of the fleet and receives no changes.
#[derive(Clone, Copy)]
pub(super) struct FleetRoles<'s> {
    /// Membership in the cluster.
    pub cluster: Option<&'s FleetSettings>,
    /// The server agent, and the voter where this server is one.
    pub consensus: Option<&'s ConsensusSettings>,
    /// The configuration service.
    pub configuration: Option<&'s ConfigurationSettings>,
}

impl<'s> FleetRoles<'s> {
    /// Picks the settings that apply.
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

    /// Folders that the predecessor holds until its end. The store is not among them: its own thread waits for it.
    pub(super) fn exclusive_folders(&self) -> impl Iterator<Item = &'s Path> {
        let voter_state = self.consensus.and_then(|settings| settings.folder.as_deref());
        let configuration = self.configuration.and_then(|settings| settings.folder.as_deref());
        voter_state.into_iter().chain(configuration)
    }

    /// Logs that configured membership does not apply.
    pub(super) fn warn_if_no_member(&self, operator: &OperatorSettings, log: &Logger) {
        if self.cluster.is_none() && operator.cluster.is_some() {
            warn!(log, "inherited listener: this server takes no part in the fleet");
        }
    }

    /// Logs that the configured configuration service does not apply.
    pub(super) fn warn_if_no_configuration_service(&self, operator: &OperatorSettings, log: &Logger) {
        if self.configuration.is_none() && operator.configuration.is_some() {
            warn!(
                log,
                "inherited listener: the configuration service is off, the configuration file applies"
            );
        }
    }
}
