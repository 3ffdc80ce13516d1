//! Files that are read again while serving: read, checked and compared with what is in force in a thread of their own, so
//! that neither the reducer nor signals wait for a large one. One at a time, in the order in which they came: the next is
//! compared once the reducer has said of the one before that all of it, or nothing, is in force.

use crate::config;
use crate::frontend::scgi::Scgi;
use crate::frontend::scgi::routes::Routes;
use crate::peer_datagrams::SharedKeys;
use crate::serve::ServerFiles;
use crate::settings::cluster;
use crate::settings::{ActiveSettings, OperatorSettings};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_core::config::Config;
use gradepin_core::messages::Input;
use std::collections::HashSet;
use std::error::Error;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::Duration;

/// Of the thread: a configuration is nested.
const STACK: usize = 256 * 1024;
/// Reloads that may wait; one more is told by those that do, as they read the file later.
const WAITING: usize = 16;
/// How long the file before may take to be in force: what is compared after that is turned down if it isn't.
const PATIENCE: Duration = Duration::from_secs(10);

/// What is to be put in force.
enum Job {
    /// The files that the process was started with.
    Files,
    /// A configuration that was staged, and what is to be told behind it.
    Staged(Box<Config>, Box<Input>),
}

/// Asks for reloads.
#[derive(Clone)]
pub struct ConfigReloader(Sender<Job>);

/// What a reload needs beside the file.
pub struct ReloadTargets {
    /// Where the files are.
    pub files: ServerFiles,
    /// The front whose routes are read again.
    pub scgi: Option<Arc<Scgi>>,
    /// The fleet's keys, which are read again.
    pub keys: Option<SharedKeys>,
    /// What is in force.
    pub active: ActiveSettings,
    /// To the reducer.
    pub inputs: Sender<Input>,
}

impl ConfigReloader {
    /// Starts the thread; `done` is told by each [`gradepin_core::messages::Effect::ReloadFinished`].
    pub fn start(parties: ReloadTargets, done: Receiver<()>) -> std::io::Result<Self> {
        let (jobs, waiting) = bounded(WAITING);
        let run = move || {
            let mut open = false;
            for job in waiting {
                if open {
                    let _ = done.recv_timeout(PATIENCE);
                }
                for input in parties.inputs_of(job) {
                    open = matches!(input, Input::Reload(_) | Input::ReloadRejected { .. }) || open;
                    if parties.inputs.send(input).is_err() {
                        return;
                    }
                }
            }
        };
        thread::Builder::new().name("reload".into()).stack_size(STACK).spawn(run)?;
        Ok(Self(jobs))
    }

    /// The files are to be read again.
    pub fn reload_files(&self) {
        match self.0.try_send(Job::Files) {
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }

    /// A checked configuration is to be in force, and this is told behind it.
    pub fn apply_staged(&self, config: Config, then: Input) {
        let _ = self.0.send(Job::Staged(Box::new(config), Box::new(then)));
    }
}

impl ReloadTargets {
    fn inputs_of(&self, job: Job) -> Vec<Input> {
        match job {
            Job::Staged(config, then) => {
                vec![Input::Reload(Box::new(self.active.compare(*config))), *then]
            }
            Job::Files => match self.read() {
                Ok((config, keys)) => {
                    let mut inputs = Vec::new();
                    if let (Some(shared), Some(new)) = (&self.keys, keys) {
                        new.clone_into(&mut shared.write().unwrap_or_else(PoisonError::into_inner));
                        inputs.push(Input::AuthenticationKeysReloaded(new));
                    }
                    inputs.push(Input::Reload(Box::new(self.active.compare(config))));
                    inputs
                }
                Err(why) => vec![Input::ReloadRejected { reason: why.to_string() }],
            },
        }
    }

    /// Reads both files again. Both are checked before either is used: a bad one changes nothing.
    fn read(&self) -> Result<(Config, Option<AuthenticationKeys>), Box<dyn Error>> {
        let config = config::load(&self.files.config)?;
        let own = self
            .files
            .operator_settings
            .as_deref()
            .map(OperatorSettings::load)
            .transpose()?
            .unwrap_or_default();
        let fleet = own.cluster.as_ref().filter(|_| self.keys.is_some());
        let keys = fleet.map(|set| cluster::keys(&set.key_file)).transpose()?;
        // Listeners take a restart; without the block the routes stay.
        if let (Some(front), Some(set)) = (&self.scgi, &own.scgi) {
            let profiles = &config.settings.profiles;
            let classes: HashSet<&str> = profiles.iter().map(|class| class.name.as_str()).collect();
            front.reload(Routes::new(set, self.active.clone(), |class| classes.contains(class))?);
        }
        Ok((config, keys))
    }
}
