//! The files of one tile server, and the loader of its configuration.

use gradepin_core::config::{Config, ConfigError};
use std::path::{Path, PathBuf};

/// The files that a process was started with, which a reload reads again, and the version of its program.
#[derive(Debug, Clone)]
pub struct ServerFiles {
    /// The configuration file.
    pub config: PathBuf,
    /// The file of the operators' settings, if there is one.
    pub operator_settings: Option<PathBuf>,
    /// The version of the program, as a release names it.
    pub version: String,
}

/// Why a configuration file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The file is no valid configuration.
    #[error("{}: {source}", path.display())]
    Config {
        /// Path of the file.
        path: PathBuf,
        /// The first invalid value, or the syntax error.
        source: ConfigError,
    },
}

/// Reads and checks a configuration file.
pub fn load(path: &Path) -> Result<Config, LoadError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| LoadError::Read { path: path.into(), source })?;
    Config::parse(&text).map_err(|source| LoadError::Config { path: path.into(), source })
}
