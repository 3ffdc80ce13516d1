//! The configuration service at the start of a server: the state to start from, and what the reducer is told of it.

use crate::configuration_writer::{ConfigurationWriter, RETRY};
use crate::settings::{ConfigurationSettings, CouncilSettings};
use crossbeam_channel::Sender;
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

/// How long the writer waits for room to tell that a state is durable; the next one that is tells it too.
const TELL_PATIENCE: Duration = Duration::from_secs(1);
/// Bytes of commits kept for peers.
const KEPT_BYTES: usize = 4 << 20;

/// Why the service can't start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationStartError {
    /// The start file can't be the base.
    #[error("the configuration: {0}")]
    Base(#[from] Invalid),
    /// The folder can't be used.
    #[error("the folder of the configuration: {0}")]
    Store(#[from] ConfigurationStoreError),
    /// The folder can't be opened, or another process has it.
    #[error("the folder of the configuration: {0}")]
    Folder(#[from] FolderError),
    /// A voter keeps what it has voted for.
    #[error("expected a folder in config: this server is a voter of the council")]
    NoFolder,
}

/// What the service starts from.
pub struct ConfigurationService {
    state: Configuration,
    source: Source,
    store: Option<ConfigurationStore>,
}

impl ConfigurationService {
    /// Finds the state to start from: the last good one where a folder has one, else the start file. The configuration goes by
    /// it from here on.
    pub fn open(
        set: &ConfigurationSettings,
        council: Option<&CouncilSettings>,
        config: &mut Config,
        log: &Logger,
    ) -> Result<Self, ConfigurationStartError> {
        if set.folder.is_none() && council.is_some_and(|council| council.folder.is_some()) {
            return Err(ConfigurationStartError::NoFolder);
        }
        let base = Configuration::from_settings(&config.settings)?;
        let Some(path) = &set.folder else {
            return Ok(Self { state: base, source: Source::StartFile, store: None });
        };
        let (store, found) = ConfigurationStore::open(Box::new(Folder::open(path)?))?;
        for name in &found.passed_over {
            warn!(log, "a file of the configuration is not whole and is passed over"; "file" => name);
        }
        let Some(state) = found.state else {
            return Ok(Self { state: base, source: Source::StartFile, store: Some(store) });
        };
        info!(log, "starting from the last good configuration"; "revision" => state.revision().0);
        config.settings = state.over(&config.settings);
        Ok(Self { state, source: Source::Snapshot, store: Some(store) })
    }

    /// What the reducer starts with.
    pub fn start(
        &self,
        set: &ConfigurationSettings,
        council: &CouncilSettings,
        own: &Peer,
        seed: u64,
    ) -> ConfigurationStart {
        let own = Member {
            name: Arc::clone(&own.name),
            zone: Arc::clone(&own.zone),
            region: Arc::from(set.region(&own.zone)),
            voter: council.voters.contains(&own.name),
        };
        ConfigurationStart {
            state: self.state.clone(),
            source: self.source,
            dissemination: DisseminationSettings {
                history_limits: LogLimits { commits: set.history, bytes: KEPT_BYTES },
                send_bytes_s: f64::from(set.bytes_per_second),
                snapshot_bytes_s: f64::from(set.snapshot_bytes_per_second),
                ..DisseminationSettings::default()
            },
            own,
            voters: council.voters.clone(),
            regions: set.regions.clone(),
            stale_after: set.stale_after,
            seed,
        }
    }

    /// Starts the thread that writes, where there is a folder.
    pub fn writer(self, inputs: Sender<Input>) -> io::Result<Option<ConfigurationWriter>> {
        let told = move |written| {
            let _ = inputs.send_timeout(Input::ConfigurationWritten(written), TELL_PATIENCE);
        };
        self.store.map(|store| ConfigurationWriter::start(store, RETRY, told)).transpose()
    }
}

/// The settings of the consensus group's part.
pub fn order_settings(set: &ConfigurationSettings) -> configuration_log::ConfigurationSettings {
    let history = u32::try_from(set.history).unwrap_or(u32::MAX).min(configuration_log::MAX_HISTORY);
    configuration_log::ConfigurationSettings { history, ..Default::default() }
}
