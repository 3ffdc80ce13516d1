//! A step of a release on this server: settings that were staged are put in force as at SIGHUP, the old ones kept beside
//! them; for a program the operators' own command is run, which is to replace this process.
//!
//! Decides nothing: whether and until when it may begin was agreed on, and the clock is looked at last here.

use crate::clock::Clock;
use crate::config;
use crate::reload::ConfigReloader;
use crossbeam_channel::Sender;
use gradepin_admission::Time;
use gradepin_coordination::messages::StepAssignment;
use gradepin_coordination::rollout::ReleaseKind;
use gradepin_core::config::Config;
use gradepin_core::messages::Input;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread;

const STACK: usize = 256 * 1024;
const SUFFIX: &str = ".json";
/// Settings kept; the oldest go.
const MOST_STAGED: usize = 16;
/// How much of what a command says is told.
const SAID: usize = 400;

/// Where settings are staged, and how a program is replaced.
#[derive(Debug, Clone)]
pub struct StagingArea {
    folder: PathBuf,
    config: PathBuf,
    /// The operators' command: it is given the version and this server's name.
    replace: Option<PathBuf>,
    name: String,
}

/// The digest of settings: 16 hex digits of BLAKE3.
pub fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex()[..16].to_string()
}

impl StagingArea {
    /// In this folder, made if it isn't there; the settings in force are kept in it.
    pub fn new(folder: PathBuf, config: PathBuf, replace: Option<PathBuf>, name: String) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        let stage = Self { folder, config, replace, name };
        let text = fs::read_to_string(&stage.config)?;
        stage.keep(&text)?;
        Ok(stage)
    }

    /// The digest of the settings that stand in the configuration's file.
    pub fn in_force(&self) -> io::Result<String> {
        Ok(digest(&fs::read_to_string(&self.config)?))
    }

    fn path(&self, digest: &str) -> PathBuf {
        self.folder.join(format!("{digest}{SUFFIX}"))
    }

    fn keep(&self, text: &str) -> io::Result<String> {
        let digest = digest(text);
        let path = self.path(&digest);
        if !path.exists() {
            self.make_room()?;
            replace(&path, text)?;
        }
        Ok(digest)
    }

    fn make_room(&self) -> io::Result<()> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_name().to_string_lossy().ends_with(SUFFIX) {
                all.push((entry.metadata()?.modified()?, entry.path()));
            }
        }
        all.sort();
        let spare = (all.len() + 1).saturating_sub(MOST_STAGED);
        for (_, path) in all.into_iter().take(spare) {
            fs::remove_file(path)?;
        }
        Ok(())
    }

    /// Everything that is staged, by digest.
    pub fn staged(&self) -> Vec<String> {
        let names = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let names = names.map(|entry| entry.file_name().to_string_lossy().into_owned());
        let mut staged: Vec<String> =
            names.filter_map(|name| name.strip_suffix(SUFFIX).map(String::from)).collect();
        staged.sort();
        staged
    }

    /// Stages settings: checked as a whole first, and against what takes a restart. The digest, or what is wrong.
    pub fn put(&self, text: &str) -> Result<String, String> {
        let new = Config::parse(text).map_err(|e| e.to_string())?;
        let now = config::load(&self.config).map_err(|e| e.to_string())?;
        if (&new.name, new.listen) != (&now.name, now.listen) {
            return Err(format!(
                "expected the settings of {} at {}, got {} at {}",
                now.name, now.listen, new.name, new.listen
            ));
        }
        self.keep(text).map_err(|e| e.to_string())
    }

    /// Takes a step in a thread of its own, since a command takes its time.
    pub fn change(
        self: &Arc<Self>,
        turn: StepAssignment,
        until: Time,
        clock: Clock,
        inputs: Sender<Input>,
        reloads: ConfigReloader,
    ) -> io::Result<()> {
        let stage = Arc::clone(self);
        let run = move || {
            let release = turn.rollout;
            let done = if clock.read().now >= until {
                Err("it came too late to begin".to_string())
            } else {
                match turn.kind {
                    ReleaseKind::Program => stage.program(&turn.version),
                    ReleaseKind::Settings => stage.settings(&turn.version, &reloads),
                }
            };
            if let Err(why) = done {
                let _ = inputs.send(Input::RolloutStepFailed(release, why));
            }
        };
        thread::Builder::new().name("change".into()).stack_size(STACK).spawn(run).map(drop)
    }

    fn program(&self, version: &str) -> Result<(), String> {
        let command = self.replace.as_ref().ok_or("no command replaces programs here")?;
        let output = Command::new(command).arg(version).arg(&self.name).stdin(Stdio::null()).output();
        let output = output.map_err(|e| format!("{}: {e}", command.display()))?;
        if output.status.success() {
            return Ok(());
        }
        let mut said = String::from_utf8_lossy(&output.stderr).trim().to_string();
        said.truncate(said.floor_char_boundary(SAID));
        Err(format!("{} ended with {}: {said}", command.display(), output.status))
    }

    fn settings(&self, version: &str, reloads: &ConfigReloader) -> Result<(), String> {
        let text = fs::read_to_string(self.path(version))
            .map_err(|e| format!("settings {version} aren't staged: {e}"))?;
        if digest(&text) != version {
            return Err(format!("what is staged as {version} is something else"));
        }
        let old = fs::read_to_string(&self.config).map_err(|e| e.to_string())?;
        self.keep(&old).map_err(|e| e.to_string())?;
        // Whole and checked before anything of it is in force.
        let config = Config::parse(&text).map_err(|e| e.to_string())?;
        replace(&self.config, &text).map_err(|e| format!("{}: {e}", self.config.display()))?;
        reloads.staged(config, Input::StagedSettingsChanged(Some(version.to_string()), self.staged()));
        Ok(())
    }
}

/// Puts a text in the place of a file, whole or not at all.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let new = path.with_extension("new");
    fs::write(&new, text)?;
    fs::File::open(&new)?.sync_all()?;
    fs::rename(&new, path)
}
