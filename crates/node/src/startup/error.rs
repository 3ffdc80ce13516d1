//! Errors and other reasons that end a start before the server serves.

use crate::configuration_service::ConfigurationStartError;
use crate::frontend::scgi::routes::RouteError;
use crate::inherited_listener::InheritedListenerError;
use crate::settings::cluster::KeysError;
use gradepin_cluster::peer::MAX_NAME_BYTES;
use gradepin_core::config::ConfigError;
use std::io;

/// Why a server can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A route of the settings can't be used.
    #[error(transparent)]
    Route(#[from] RouteError),
    /// The authentication keys of the fleet can't be used.
    #[error(transparent)]
    Keys(#[from] KeysError),
    /// The server's name is too long for a datagram between servers.
    #[error("expected a name of at most {MAX_NAME_BYTES} bytes for a server of a fleet, got '{0}'")]
    NameTooLong(String),
    /// A voter of the consensus group has no folder for its state.
    #[error("expected a folder for the voter state of {0}, which is a voter of the consensus group")]
    VoterWithoutFolder(String),
    /// The configuration service can't start.
    #[error(transparent)]
    Configuration(#[from] ConfigurationStartError),
    /// The inherited listener, or another setting of the environment, can't be used.
    #[error(transparent)]
    Inherited(#[from] InheritedListenerError),
    /// The system denies a resource: an address, a folder or a thread.
    #[error("{resource}: {source}")]
    System {
        /// Name of the resource, for the message.
        resource: String,
        /// Error of the system.
        source: io::Error,
    },
}

impl StartError {
    /// Returns a function that wraps an error of the system with the name of the resource.
    pub(crate) fn system(resource: &str) -> impl FnOnce(io::Error) -> Self {
        let resource = resource.to_string();
        move |source| Self::System { resource, source }
    }
}

/// Why a start ended before the server served anything.
#[derive(Debug)]
pub(crate) enum StartAborted {
    /// SIGTERM arrived while the start waited for a resource that another process holds: the process exits with status
    /// 0.
    ShutdownRequested,
    /// The start failed: the process exits with status 1.
    Failed(StartError),
}

impl<E: Into<StartError>> From<E> for StartAborted {
    fn from(error: E) -> Self {
        Self::Failed(error.into())
    }
}
