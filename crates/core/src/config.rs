//! The configuration of one tile server, as JSON. Reading the file is the shell's.

mod address;
mod place;

use crate::classes::{self, NamesError};
use gradepin_admission::numbers::whole_part;
use gradepin_admission::{AdmissionSettingsError, Settings, UpstreamKind};
use serde::Deserialize;
use std::net::SocketAddr;

/// The configuration of a tile server, as the platform writes it. Unknown keys are ignored.
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
    /// Where the shared upstream takes calls over HTTP. Without it a call that a run asks for can't be made, as at a deployment
    /// whose processor makes them itself.
    #[serde(rename = "ledger", default, deserialize_with = "address::optional")]
    pub upstream: Option<SocketAddr>,
    /// Seed of random numbers as sixteen hex digits, new with each start.
    pub seed: String,
    /// Milliseconds from the notice to shut down (SIGTERM) to the stop (SIGKILL).
    #[serde(deserialize_with = "whole_part")]
    pub stop_ms: u64,
    /// Where operators send requests over HTTP; without it there is no admin endpoint.
    #[serde(default, deserialize_with = "address::optional")]
    pub admin_addr: Option<SocketAddr>,
    /// What the process may use.
    pub limits: Limits,
    /// Settings of the admission module.
    pub settings: Settings,
    /// Whether servers lend each other slots of the shared upstream, as the operators' settings say: then more calls may be
    /// out.
    #[serde(skip)]
    pub lends: bool,
}

/// Limits of the process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Most file descriptors.
    #[serde(deserialize_with = "whole_part")]
    pub sockets: usize,
    /// Memory of the process, in MiB.
    #[serde(default = "default_memory_mb", deserialize_with = "whole_part")]
    pub memory_mb: u64,
}

fn default_memory_mb() -> u64 {
    192
}

const MIN_MEMORY_MB: u64 = 16;

/// Descriptors that are reserved for the listener, the link, reports, signals, standard streams and [`RESERVED_CONNECTIONS`].
const RESERVED_SOCKETS: usize = 32;
/// Connections that are accepted while all other places are taken: each has one exchange, a health check or a rejection, and is
/// closed. Guards against peers that fill all places for as long as they like.
pub const RESERVED_CONNECTIONS: usize = 8;
/// Descriptors that are reserved where there is an admin endpoint: its listener and its clients.
pub const ADMIN_SOCKETS: usize = 33;

/// Calls to the shared upstream that may be out, as a multiple of this server's share of its slots.
const CALLS_PER_SHARE: f64 = 2.0;
/// And as a multiple of that where slots are borrowed.
const BORROWED_MULTIPLE: f64 = 3.0;
/// Bounds of the calls that may be out.
const MIN_CALLS: usize = 4;
const MAX_CALLS: usize = 64;
/// Calls may take the descriptors of the process divided by this.
const CALL_SOCKETS_DIVISOR: usize = 8;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no JSON, or a value has the wrong type.
    #[error("expected a configuration: {path}: {why}")]
    Form {
        /// The keys that lead there.
        path: String,
        /// What was expected, and what it got.
        why: serde_json::Error,
    },
    /// The name has characters that a report can't hold.
    #[error("expected a name of printable characters, got '{0}'")]
    Name(String),
    /// Too few descriptors.
    #[error("expected limits.sockets of {min} or more, got {0}", min = 4 * RESERVED_SOCKETS)]
    Sockets(usize),
    /// Too little memory.
    #[error("expected limits.memory_mb of {MIN_MEMORY_MB} or more, got {0}")]
    Memory(u64),
    /// The seed is no hex number.
    #[error("expected hex digits as seed, got '{0}'")]
    Seed(String),
    /// The admission module rejects its settings.
    #[error(transparent)]
    Settings(#[from] AdmissionSettingsError),
    /// The names of classes or tenants are not usable.
    #[error(transparent)]
    Names(#[from] NamesError),
    /// A class has a name that a line to the processor can't hold.
    #[error("expected names of classes without spaces, got '{0}'")]
    Class(String),
}

impl Config {
    /// Parses and validates the text of a file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = serde_json::from_str(text)
            .map_err(|why| ConfigError::Form { path: place::path(text, why.line(), why.column()), why })?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let is_printable = !self.name.is_empty() && self.name.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_printable {
            return Err(ConfigError::Name(self.name.clone()));
        }
        if self.limits.sockets < 4 * RESERVED_SOCKETS {
            return Err(ConfigError::Sockets(self.limits.sockets));
        }
        if self.limits.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::Memory(self.limits.memory_mb));
        }
        self.seed()?;
        self.settings.check()?;
        classes::check(&self.settings)?;
        let is_separator = |c: char| c.is_whitespace() || c.is_control();
        let is_unusable = |name: &str| name.is_empty() || name.contains(is_separator);
        if let Some(class) = self.settings.profiles.iter().find(|class| is_unusable(&class.name)) {
            return Err(ConfigError::Class(class.name.clone()));
        }
        Ok(())
    }

    /// The seed as a number. Errors: it is no hex number.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }

    /// The memory divided by `divisor`, in bytes.
    pub fn memory(&self, divisor: usize) -> usize {
        usize::try_from(self.limits.memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX) / divisor.max(1)
    }

    /// Most client connections at a time, without [`RESERVED_CONNECTIONS`].
    pub fn max_connections(&self) -> usize {
        let admin = if self.admin_addr.is_some() { ADMIN_SOCKETS } else { 0 };
        self.limits.sockets - RESERVED_SOCKETS - admin - self.max_upstream_calls()
    }

    /// Most calls to the shared upstream at a time, each with a connection and a thread of its own. Their descriptors are
    /// reserved: a call that fails for want of one would count as one that may have run.
    pub fn max_upstream_calls(&self) -> usize {
        if self.upstream.is_none() || self.settings.specifics.below != UpstreamKind::Shared {
            return 0;
        }
        let share = self.settings.specifics.calls_out * if self.lends { BORROWED_MULTIPLE } else { 1.0 };
        let max_calls = MAX_CALLS.min(self.limits.sockets / CALL_SOCKETS_DIVISOR);
        ((share * CALLS_PER_SHARE).ceil() as usize).clamp(MIN_CALLS, max_calls)
    }
}

#[cfg(test)]
mod tests;
