//! The configuration service at the start of a server: finds the initial configuration, on disk or in the configuration
//! file, and builds the reducer's settings from it.

use crate::configuration_writer::{ConfigurationWriter, RETRY_INTERVAL};
use crate::settings::{ConfigurationSettings, ConsensusSettings};
use crossbeam_channel::Sender;
use gradepin_admission::AdmissionSettingsError;
use gradepin_cluster::peer::Peer;
use gradepin_config::admin::Source;
use gradepin_config::dissemination::{DisseminationSettings, Member};
use gradepin_config::{Configuration, Invalid, LogLimits};
use gradepin_coordination::configuration_log;
use gradepin_core::config::Config;
use gradepin_core::configuration::ConfigurationStart;
use gradepin_core::messages::Input;
use gradepin_store::configuration::{ConfigurationStore, ConfigurationStoreError};
use gradepin_store::disk::{Folder, FolderError};
use slog::{Logger, info, warn};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// How long the writer waits to report a durable state if the queue is full. A lost report is replaced by the next one.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the commits kept for peers.
const MAX_HISTORY_BYTES: usize = 4 << 20;

/// Why the configuration service can't start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationStartError {
    /// The configuration file is no valid initial configuration.
    #[error("the configuration: {0}")]
    Base(#[from] Invalid),
    /// The folder can't be used.
    #[error("the folder of the configuration: {0}")]
    Store(#[from] ConfigurationStoreError),
    /// The folder can't be opened, or another process has it open.
    #[error("the folder of the configuration: {0}")]
    Folder(#[from] FolderError),
    /// The stored configuration has a class that can't be served within the rules; an earlier version accepted it.
    #[error("the stored configuration of revision {revision}: {error}")]
    Stored {
        /// Revision of the stored configuration.
        revision: u64,
        /// The setting that is missing or unusable.
        error: AdmissionSettingsError,
    },
    /// A voter has no folder in which configurations that it accepted become durable.
    #[error("expected a folder in config: this server is a voter of the consensus group")]
    VoterWithoutFolder,
}

/// The initial configuration of the service, and its open folder.
pub struct ConfigurationService {
    state: Configuration,
    source: Source,
    store: Option<ConfigurationStore>,
}

impl ConfigurationService {
    /// Finds the initial state: the last good one in the folder, or else that of the configuration file. Replaces
    /// classes, tenants and rules of `config` by those of this state.
    pub fn open(
        settings: &ConfigurationSettings,
        consensus: Option<&ConsensusSettings>,
        config: &mut Config,
        log: &Logger,
    ) -> Result<Self, ConfigurationStartError> {
        let is_voter = consensus.is_some_and(|consensus| consensus.folder.is_some());
        if is_voter && settings.folder.is_none() {
            return Err(ConfigurationStartError::VoterWithoutFolder);
        }
        let base = Configuration::from_settings(&config.settings)?;
        let Some(path) = &settings.folder else {
            return Ok(Self { state: base, source: Source::StartFile, store: None });
        };
        let (store, found) = ConfigurationStore::open(Box::new(Folder::open(path)?))?;
        for name in &found.skipped {
            warn!(log, "ignoring an incomplete file of the configuration"; "file" => name);
        }
        let Some(state) = found.state else {
            return Ok(Self { state: base, source: Source::StartFile, store: Some(store) });
        };
        info!(log, "starting from the last good configuration"; "revision" => state.revision().0);
        let settings = state.to_settings(&config.settings);
        let revision = state.revision().0;
        settings.check().map_err(|error| ConfigurationStartError::Stored { revision, error })?;
        config.settings = settings;
        Ok(Self { state, source: Source::Snapshot, store: Some(store) })
    }

    /// Builds the state with which the reducer starts the service; `own` is this server's identity in the cluster.
    pub fn start(
        &self,
        settings: &ConfigurationSettings,
        consensus: &ConsensusSettings,
        own: &Peer,
        seed: u64,
    ) -> ConfigurationStart {
        let own = Member {
            name: Arc::clone(&own.name),
            zone: Arc::clone(&own.zone),
            region: Arc::from(settings.region(&own.zone)),
            voter: consensus.voters.contains(&own.name),
        };
        ConfigurationStart {
            state: self.state.clone(),
            source: self.source,
            dissemination: DisseminationSettings {
                history_limits: LogLimits { commits: settings.history, bytes: MAX_HISTORY_BYTES },
                message_bytes_per_second: f64::from(settings.bytes_per_second),
                snapshot_bytes_per_second: f64::from(settings.snapshot_bytes_per_second),
                ..DisseminationSettings::default()
            },
            own,
            voters: consensus.voters.clone(),
            regions: settings.regions.clone(),
            stale_after: settings.stale_after,
            seed,
        }
    }

    /// Starts the thread that writes committed configurations, if there is a folder.
    pub fn start_writer(self, inputs: Sender<Input>) -> io::Result<Option<ConfigurationWriter>> {
        let report = move |result| {
            let _ = inputs.send_timeout(Input::ConfigurationWritten(result), REPORT_TIMEOUT);
        };
        self.store.map(|store| ConfigurationWriter::start(store, RETRY_INTERVAL, report)).transpose()
    }
}

/// Builds the settings of the configuration log in the consensus group.
pub fn log_settings(settings: &ConfigurationSettings) -> configuration_log::ConfigurationSettings {
    let history = u32::try_from(settings.history).unwrap_or(u32::MAX).min(configuration_log::MAX_HISTORY);
    configuration_log::ConfigurationSettings { history, ..Default::default() }
}
