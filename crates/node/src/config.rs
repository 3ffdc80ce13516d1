//! Reads the configuration of one tile server from its file.

use gradepin_core::config::{Config, ConfigError};
use std::path::{Path, PathBuf};

/// Why a file holds no configuration.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It can't be read.
    #[error("{}: {why}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        why: std::io::Error,
    },
    /// What it holds can't be used.
    #[error("{}: {why}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        why: ConfigError,
    },
}

/// Reads and checks a configuration.
pub fn load(path: &Path) -> Result<Config, LoadError> {
    let text = std::fs::read_to_string(path).map_err(|why| LoadError::Read { path: path.into(), why })?;
    Config::parse(&text).map_err(|why| LoadError::Config { path: path.into(), why })
}
