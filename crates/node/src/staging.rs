//! The staging area: a folder with settings that operators staged for rollouts, and the rollout steps on this server.
//!
//! A settings step replaces the configuration file by a staged file and reloads it as SIGHUP does; the previous file is
//! kept in the folder. A program step runs the operators' command, which must replace this process.
//!
//! The consensus group decides whether a step may start and until when; this module only checks the time.
//! Invariants: a file `DIGEST.json` has exactly the settings with this digest; files are replaced atomically.

use crate::clock::Clock;
use crate::config::{self, LoadError};
use crate::reload::ConfigReloader;
use crossbeam_channel::Sender;
use gradepin_admission::Time;
use gradepin_coordination::messages::StepAssignment;
use gradepin_coordination::rollout::ReleaseKind;
use gradepin_core::config::{Config, ConfigError};
use gradepin_core::messages::Input;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::thread;

const STACK_BYTES: usize = 256 * 1024;
const STAGED_SUFFIX: &str = ".json";
/// Maximum number of staged files; the oldest ones are removed.
const MAX_STAGED_FILES: usize = 16;
/// At most this part of a command's error output is reported.
const MAX_REPORTED_OUTPUT_BYTES: usize = 400;

/// Why settings can't be staged.
#[derive(Debug, thiserror::Error)]
pub enum StageError {
    /// The settings are not valid.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// The configuration file, with which the settings are compared, can't be read.
    #[error(transparent)]
    CurrentConfig(#[from] LoadError),
    /// The settings have another server's name or address, which a reload can't change.
    #[error(
        "expected the settings of {expected_name} at {expected_address}, got {found_name} at {found_address}"
    )]
    OtherServer {
        /// This server's name.
        expected_name: String,
        /// The address that this server listens on.
        expected_address: SocketAddr,
        /// The name in the staged settings.
        found_name: String,
        /// The address in the staged settings.
        found_address: SocketAddr,
    },
    /// The folder can't be written.
    #[error(transparent)]
    Folder(#[from] io::Error),
}

/// Why a step of a rollout failed on this server.
#[derive(Debug, thiserror::Error)]
enum StepError {
    #[error("the step arrived after the time until which it could start")]
    StartTimeOver,
    #[error("no replace-command is configured on this server")]
    NoCommand,
    #[error("{}: {source}", command.display())]
    CommandNotRun { command: PathBuf, source: io::Error },
    #[error("{} ended with {status}: {output}", command.display())]
    CommandFailed { command: PathBuf, status: ExitStatus, output: String },
    #[error("settings {digest} aren't staged: {source}")]
    NotStaged { digest: String, source: io::Error },
    #[error("the content of the file staged as {digest} has another digest")]
    DigestMismatch { digest: String },
    #[error(transparent)]
    CurrentConfig(io::Error),
    #[error(transparent)]
    Invalid(ConfigError),
    #[error("{}: {source}", config.display())]
    NotReplaced { config: PathBuf, source: io::Error },
}

/// The folder of staged settings, and the means to execute rollout steps.
#[derive(Debug, Clone)]
pub struct StagingArea {
    folder: PathBuf,
    config: PathBuf,
    /// The operators' command, called with the version and this server's name.
    replace_command: Option<PathBuf>,
    server_name: String,
}

/// The digest of settings: the first 16 hex digits of their BLAKE3 hash.
pub fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex()[..16].to_string()
}

impl StagingArea {
    /// Opens the folder, creating it if needed, and stores a copy of the configuration file in it.
    pub fn open(
        folder: PathBuf,
        config: PathBuf,
        replace_command: Option<PathBuf>,
        server_name: String,
    ) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        let area = Self { folder, config, replace_command, server_name };
        let text = fs::read_to_string(&area.config)?;
        area.write_staged(&text)?;
        Ok(area)
    }

    /// Reads the configuration file and returns its digest.
    pub fn active_digest(&self) -> io::Result<String> {
        Ok(digest(&fs::read_to_string(&self.config)?))
    }

    /// The digests of all staged settings, sorted; empty if the folder can't be read.
    pub fn staged(&self) -> Vec<String> {
        let names = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let names = names.map(|entry| entry.file_name().to_string_lossy().into_owned());
        let mut staged: Vec<String> =
            names.filter_map(|name| name.strip_suffix(STAGED_SUFFIX).map(String::from)).collect();
        staged.sort();
        staged
    }

    /// Stages settings and returns their digest. They are checked completely first and must keep the server's name and
    /// address, which only a restart can change.
    pub fn put(&self, text: &str) -> Result<String, StageError> {
        let staged = Config::parse(text)?;
        let current = config::load(&self.config)?;
        if (&staged.name, staged.listen) != (&current.name, current.listen) {
            return Err(StageError::OtherServer {
                expected_name: current.name,
                expected_address: current.listen,
                found_name: staged.name,
                found_address: staged.listen,
            });
        }
        Ok(self.write_staged(text)?)
    }

    /// Executes a step on a separate thread, because a command may take long. A failure is sent to `inputs`. The step
    /// fails if it has not started before `start_before`.
    pub fn start_step(
        self: &Arc<Self>,
        step: StepAssignment,
        start_before: Time,
        clock: Clock,
        inputs: Sender<Input>,
        reloader: ConfigReloader,
    ) -> io::Result<()> {
        let area = Arc::clone(self);
        let run = move || {
            let result = if clock.read().now >= start_before {
                Err(StepError::StartTimeOver)
            } else {
                match step.kind {
                    ReleaseKind::Program => area.replace_program(&step.version),
                    ReleaseKind::Settings => area.apply_settings(&step.version, &reloader),
                }
            };
            if let Err(error) = result {
                let reason = error.to_string();
                let _ = inputs.send(Input::RolloutStepFailed { release: step.rollout, reason });
            }
        };
        thread::Builder::new().name("change".into()).stack_size(STACK_BYTES).spawn(run).map(drop)
    }

    fn replace_program(&self, version: &str) -> Result<(), StepError> {
        let command = self.replace_command.as_ref().ok_or(StepError::NoCommand)?;
        let output = Command::new(command).arg(version).arg(&self.server_name).stdin(Stdio::null()).output();
        let output =
            output.map_err(|source| StepError::CommandNotRun { command: command.clone(), source })?;
        if output.status.success() {
            return Ok(());
        }
        let mut text = String::from_utf8_lossy(&output.stderr).trim().to_string();
        text.truncate(text.floor_char_boundary(MAX_REPORTED_OUTPUT_BYTES));
        Err(StepError::CommandFailed { command: command.clone(), status: output.status, output: text })
    }

    fn apply_settings(&self, version: &str, reloader: &ConfigReloader) -> Result<(), StepError> {
        let text = fs::read_to_string(self.path(version))
            .map_err(|source| StepError::NotStaged { digest: version.to_string(), source })?;
        if digest(&text) != version {
            return Err(StepError::DigestMismatch { digest: version.to_string() });
        }
        let current = fs::read_to_string(&self.config).map_err(StepError::CurrentConfig)?;
        self.write_staged(&current).map_err(StepError::CurrentConfig)?;
        // The settings are checked completely before the file is replaced.
        let config = Config::parse(&text).map_err(StepError::Invalid)?;
        replace(&self.config, &text)
            .map_err(|source| StepError::NotReplaced { config: self.config.clone(), source })?;
        let applied =
            Input::StagedSettingsChanged { active: Some(version.to_string()), staged: self.staged() };
        reloader.apply_staged(config, applied);
        Ok(())
    }

    fn path(&self, digest: &str) -> PathBuf {
        self.folder.join(format!("{digest}{STAGED_SUFFIX}"))
    }

    /// Writes settings to the folder under their digest, which is returned.
    fn write_staged(&self, text: &str) -> io::Result<String> {
        let digest = digest(text);
        let path = self.path(&digest);
        if !path.exists() {
            self.remove_oldest()?;
            replace(&path, text)?;
        }
        Ok(digest)
    }

    /// Removes the oldest files, so that one more is within [`MAX_STAGED_FILES`].
    fn remove_oldest(&self) -> io::Result<()> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_name().to_string_lossy().ends_with(STAGED_SUFFIX) {
                files.push((entry.metadata()?.modified()?, entry.path()));
            }
        }
        files.sort();
        let excess = (files.len() + 1).saturating_sub(MAX_STAGED_FILES);
        for (_, path) in files.into_iter().take(excess) {
            fs::remove_file(path)?;
        }
        Ok(())
    }
}

/// Replaces a file atomically: a reader sees either the old or the new text, even after a crash.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let new = path.with_extension("new");
    fs::write(&new, text)?;
    fs::File::open(&new)?.sync_all()?;
    fs::rename(&new, path)
}
