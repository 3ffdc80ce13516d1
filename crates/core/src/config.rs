//! The configuration of one tile server, as JSON. Reading the file is the shell's.

mod address;
mod place;

use crate::classes::{self, NamesError};
use gradepin_admission::numbers::whole_part;
use gradepin_admission::{AdmissionSettingsError, Settings, UpstreamKind};
use serde::Deserialize;
use std::net::SocketAddr;

/// What a tile server is told when it starts. Unknown keys are skipped.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Its name in the control plane's list.
    pub name: String,
    /// Where client proxies connect.
    #[serde(deserialize_with = "address::required")]
    pub listen: SocketAddr,
    /// Where the processor listens.
    #[serde(deserialize_with = "address::required")]
    pub processor: SocketAddr,
    /// Where the control plane takes reports.
    #[serde(deserialize_with = "address::required")]
    pub control: SocketAddr,
    /// Where the ledger, the dependency that all servers share, takes calls over HTTP. Without it a call that a run asks
    /// for can't be made, as at a deployment whose processor makes them itself.
    #[serde(default, deserialize_with = "address::optional")]
    pub ledger: Option<SocketAddr>,
    /// Sixteen hex digits for random numbers, new with each start.
    pub seed: String,
    /// Milliseconds from the notice to leave to the stop.
    #[serde(deserialize_with = "whole_part")]
    pub stop_ms: u64,
    /// Where operators call: health, figures and drains, over HTTP. None: there is no such door.
    #[serde(default, deserialize_with = "address::optional")]
    pub admin_addr: Option<SocketAddr>,
    /// What the process may use.
    pub limits: Limits,
    /// What the module is told.
    pub settings: Settings,
    /// Whether slots of the ledger are lent between servers, as our own settings say: then more calls may be out.
    #[serde(skip)]
    pub lends: bool,
}

/// Limits of the process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Descriptors.
    #[serde(deserialize_with = "whole_part")]
    pub sockets: usize,
    /// Memory of the process.
    #[serde(default = "some_memory", deserialize_with = "whole_part")]
    pub memory_mb: u64,
}

fn some_memory() -> u64 {
    192
}

/// Least memory that the process can do with.
const LEAST_MEMORY_MB: u64 = 16;

/// Descriptors kept back for the listener, the link, reports, signals, standard streams and the spare places.
const RESERVED_SOCKETS: usize = 32;
/// Of those, places for connections that come while all others are taken: each has one exchange, a health check or a
/// refusal, and is closed. Guards against peers that fill all places for as long as they like.
pub const RESERVED_CONNECTIONS: usize = 8;
/// Kept back beside those where there is a door for operators: its listener and its callers.
pub const ADMIN_SOCKETS: usize = 33;

/// Calls to the ledger at a time, as a multiple of the told share, and of that where slots are borrowed; their bounds,
/// and the part of the descriptors that they may take at the most.
const CALLS_PER_SHARE: f64 = 2.0;
const BORROWED: f64 = 3.0;
const CALLS: [usize; 2] = [4, 64];
const CALLS_PART: usize = 8;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no JSON, or not of the form: where, and what is wrong there.
    #[error("expected a configuration: {path}: {why}")]
    Form {
        /// The keys that lead there.
        path: String,
        /// What was expected, and what stands there.
        why: serde_json::Error,
    },
    /// The name can't stand in a report.
    #[error("expected a name of printable characters, got '{0}'")]
    Name(String),
    /// Too few descriptors.
    #[error("expected limits.sockets of {least} or more, got {0}", least = 4 * RESERVED_SOCKETS)]
    Sockets(usize),
    /// Too little memory.
    #[error("expected limits.memory_mb of {LEAST_MEMORY_MB} or more, got {0}")]
    Memory(u64),
    /// The seed is no number.
    #[error("expected hex digits as seed, got '{0}'")]
    Seed(String),
    /// The module can't work with its settings.
    #[error(transparent)]
    Settings(#[from] AdmissionSettingsError),
    /// A name stands for two classes or two tenants.
    #[error(transparent)]
    Names(#[from] NamesError),
    /// A class can't be named in a line to the processor.
    #[error("expected names of classes without spaces, got '{0}'")]
    Class(String),
}

impl Config {
    /// Reads and checks the text of a file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = serde_json::from_str(text)
            .map_err(|why| ConfigError::Form { path: place::path(text, why.line(), why.column()), why })?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let word = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
        if !word(&self.name) {
            return Err(ConfigError::Name(self.name.clone()));
        }
        if self.limits.sockets < 4 * RESERVED_SOCKETS {
            return Err(ConfigError::Sockets(self.limits.sockets));
        }
        if self.limits.memory_mb < LEAST_MEMORY_MB {
            return Err(ConfigError::Memory(self.limits.memory_mb));
        }
        self.seed()?;
        self.settings.check()?;
        classes::check(&self.settings)?;
        let spaced =
            |name: &str| name.is_empty() || name.contains(|c: char| c.is_whitespace() || c.is_control());
        if let Some(class) = self.settings.profiles.iter().find(|profile| spaced(&profile.name)) {
            return Err(ConfigError::Class(class.name.clone()));
        }
        Ok(())
    }

    /// The seed as a number.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }

    /// A part of the memory, in bytes.
    pub fn memory(&self, part: usize) -> usize {
        usize::try_from(self.limits.memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX) / part.max(1)
    }

    /// Most client connections at a time.
    pub fn connections(&self) -> usize {
        let admin = if self.admin_addr.is_some() { ADMIN_SOCKETS } else { 0 };
        self.limits.sockets - RESERVED_SOCKETS - admin - self.calls()
    }

    /// Most calls to the ledger at a time, each with a connection and a thread of its own. Their descriptors are kept back:
    /// a call that can't be made for want of one would count as one that may have run.
    pub fn calls(&self) -> usize {
        if self.ledger.is_none() || self.settings.specifics.below != UpstreamKind::Shared {
            return 0;
        }
        let share = self.settings.specifics.calls_out * if self.lends { BORROWED } else { 1.0 };
        let most = CALLS[1].min(self.limits.sockets / CALLS_PART);
        ((share * CALLS_PER_SHARE).ceil() as usize).clamp(CALLS[0], most)
    }
}

#[cfg(test)]
mod tests;
