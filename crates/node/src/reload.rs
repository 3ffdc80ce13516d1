//! Reloads: a thread reads and checks the files again, compares them with the active settings and sends the difference
//! to the reducer, so that neither the main thread nor the signal thread waits for a large file.
//!
//! Reloads are processed one at a time, in the order of the requests: a file is compared only after the reducer has
//! finished the previous reload ([`gradepin_core::messages::Effect::ReloadFinished`]). A file is applied completely or
//! not at all.

use crate::config::{self, LoadError, ServerFiles};
use crate::frontend::scgi::Scgi;
use crate::frontend::scgi::routes::{RouteError, Routes};
use crate::peer_datagrams::SharedKeys;
use crate::settings::cluster::{self, KeysError};
use crate::settings::{ActiveSettings, OperatorSettings, SettingsError};
use crossbeam_channel::{Receiver, Sender, bounded};
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_core::config::Config;
use gradepin_core::messages::Input;
use std::collections::HashSet;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack size of the reload thread; parsing nested configurations needs more than other threads.
const STACK_BYTES: usize = 256 * 1024;
/// Reloads that can be queued. If the queue is full, a request is dropped: a queued reload reads the files later and
/// sees the same content.
const QUEUE_CAPACITY: usize = 16;
/// How long a reload waits for the end of the previous one. The reducer rejects a reload that is compared too early.
const MAX_WAIT_FOR_PREVIOUS: Duration = Duration::from_secs(10);

/// A reload request.
enum Job {
    /// Reads the files that the process was started with.
    Files,
    /// Applies a staged configuration, then sends the input `then`.
    Staged { config: Box<Config>, then: Box<Input> },
}

/// Why the files can't be used.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] LoadError),
    #[error(transparent)]
    OperatorSettings(#[from] SettingsError),
    #[error(transparent)]
    Keys(#[from] KeysError),
    #[error(transparent)]
    Route(#[from] RouteError),
}

/// Files after they were read and checked.
struct ReadFiles {
    config: Config,
    keys: Option<AuthenticationKeys>,
}

/// A handle to request reloads from the reload thread.
#[derive(Clone)]
pub struct ConfigReloader(Sender<Job>);

/// The files and the state that a reload reads or changes.
pub struct ReloadTargets {
    /// The files to read.
    pub files: ServerFiles,
    /// The SCGI front end, whose routes are replaced.
    pub scgi: Option<Arc<Scgi>>,
    /// The authentication keys of the fleet, which are replaced.
    pub keys: Option<SharedKeys>,
    /// The active settings, with which a file is compared.
    pub active: ActiveSettings,
    /// The reducer's queue for reloads and their errors.
    pub inputs: Sender<Input>,
}

impl ConfigReloader {
    /// Starts the thread; `finished` gets a message at the end of each reload.
    pub fn start(targets: ReloadTargets, finished: Receiver<()>) -> std::io::Result<Self> {
        let (jobs, queue) = bounded(QUEUE_CAPACITY);
        let run = move || {
            let mut has_previous = false;
            for job in queue {
                if has_previous {
                    let _ = finished.recv_timeout(MAX_WAIT_FOR_PREVIOUS);
                }
                for input in targets.inputs_of(job) {
                    has_previous |= matches!(input, Input::Reload(_) | Input::ReloadRejected { .. });
                    if targets.inputs.send(input).is_err() {
                        return;
                    }
                }
            }
        };
        thread::Builder::new().name("reload".into()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(Self(jobs))
    }

    /// Requests that the files be read again; never blocks.
    pub fn reload_files(&self) {
        // The request is dropped if the queue is full or the process is exiting.
        let _ = self.0.try_send(Job::Files);
    }

    /// Requests that a checked configuration be applied, followed by the input `then`; blocks while the queue is full.
    pub fn apply_staged(&self, config: Config, then: Input) {
        let _ = self.0.send(Job::Staged { config: Box::new(config), then: Box::new(then) });
    }
}

impl ReloadTargets {
    fn inputs_of(&self, job: Job) -> Vec<Input> {
        match job {
            Job::Staged { config, then } => vec![self.reload(*config), *then],
            Job::Files => match self.read_files() {
                Ok(files) => self.inputs_of_files(files),
                Err(error) => vec![Input::ReloadRejected { reason: error.to_string() }],
            },
        }
    }

    fn inputs_of_files(&self, files: ReadFiles) -> Vec<Input> {
        let mut inputs = Vec::new();
        if let (Some(shared), Some(keys)) = (&self.keys, files.keys) {
            keys.clone_into(&mut shared.write().unwrap_or_else(PoisonError::into_inner));
            inputs.push(Input::AuthenticationKeysReloaded(keys));
        }
        inputs.push(self.reload(files.config));
        inputs
    }

    fn reload(&self, config: Config) -> Input {
        Input::Reload(Box::new(self.active.compare(config)))
    }

    /// Reads all files again, and replaces the routes. Everything is checked before anything is replaced: an invalid
    /// file changes nothing.
    fn read_files(&self) -> Result<ReadFiles, ReloadError> {
        let config = config::load(&self.files.config)?;
        let operator = match &self.files.operator_settings {
            Some(path) => OperatorSettings::load(path)?,
            None => OperatorSettings::default(),
        };
        let keys = match &operator.cluster {
            Some(cluster) if self.keys.is_some() => Some(cluster::keys(&cluster.key_file)?),
            _ => None,
        };
        // Listeners can only change by a restart. Without the block, the current routes are kept.
        if let (Some(frontend), Some(settings)) = (&self.scgi, &operator.scgi) {
            let profiles = &config.settings.profiles;
            let classes: HashSet<&str> = profiles.iter().map(|class| class.name.as_str()).collect();
            frontend.reload(Routes::new(settings, self.active.clone(), |class| classes.contains(class))?);
        }
        Ok(ReadFiles { config, keys })
    }
}
