//! The files of one tile server, and the reader of its configuration.

use gradepin_core::config::{Config, ConfigError};
use std::path::{Path, PathBuf};

/// The files that a process was started with, which a reload reads again, and the version of its program.
#[derive(Debug, Clone)]
pub struct ServerFiles {
    /// The configuration.
    pub config: PathBuf,
    /// The operators' settings, where there are any.
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
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The file holds no valid configuration.
    #[error("{}: {source}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// What is invalid.
        source: ConfigError,
    },
}

/// Reads and checks a configuration.
pub fn load(path: &Path) -> Result<Config, LoadError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| LoadError::Read { path: path.into(), source })?;
    Config::parse(&text).map_err(|source| LoadError::Config { path: path.into(), source })
}
