//! The configuration of one tile server, in JSON. The shell reads the file.
//!
//! [`Config::parse`] is the only way to a configuration, for the start, a reload and a staged release. It takes a file whole or
//! turns it down whole: all keys must be there ([`required_keys`]) and all values usable ([`Settings::check`]).

mod address;
mod error_path;
mod required_keys;

use crate::classes::{self, NamesError};
use gradepin_admission::numbers::whole_part;
use gradepin_admission::{AdmissionSettingsError, Settings, UpstreamKind};
use required_keys::RequiredKeys;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// The configuration of a tile server, as the platform writes it. Unknown keys are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Name of the server in the control plane's list.
    pub name: String,
    /// Address on which the server accepts client proxies.
    #[serde(deserialize_with = "address::required")]
    pub listen: SocketAddr,
    /// Address of the processor.
    #[serde(deserialize_with = "address::required")]
    pub processor: SocketAddr,
    /// Address of the control plane, to which readiness is reported.
    #[serde(deserialize_with = "address::required")]
    pub control: SocketAddr,
    /// Address of the shared upstream, which is called over HTTP. Without it the server can't make the calls that runs
    /// request, as in a deployment whose processor makes them itself.
    #[serde(rename = "ledger", default, deserialize_with = "address::optional")]
    pub upstream: Option<SocketAddr>,
    /// Seed of random numbers as 16 hexadecimal digits, new at each start.
    pub seed: String,
    /// Time from the shutdown notice (SIGTERM) to the stop (SIGKILL), in milliseconds.
    #[serde(deserialize_with = "whole_part")]
    pub stop_ms: u64,
    /// Address of the admin endpoint, which serves operators over HTTP; `None` for no admin endpoint.
    #[serde(default, deserialize_with = "address::optional")]
    pub admin_addr: Option<SocketAddr>,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Settings of the admission module.
    pub settings: Settings,
    /// Whether servers lend each other slots of the shared upstream, according to the operators' settings. More calls
    /// may then be in flight.
    #[serde(skip)]
    pub lends: bool,
}

/// Resource limits of the process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Maximum number of file descriptors.
    #[serde(deserialize_with = "whole_part")]
    pub sockets: usize,
    /// Memory limit of the process, in MiB.
    #[serde(deserialize_with = "whole_part")]
    pub memory_mb: u64,
}

const MIN_MEMORY_MB: u64 = 16;

/// Descriptors reserved for the listener, the processor link, reports, signals, standard streams and
/// [`RESERVED_CONNECTIONS`].
const RESERVED_SOCKETS: usize = 32;
/// Connections that are accepted while all others are in use. Each serves one exchange, a health check or a rejection,
/// and is then closed. Guards against peers that hold all connections for as long as they like.
pub const RESERVED_CONNECTIONS: usize = 8;
/// Descriptors reserved for the admin endpoint, if there is one: its listener and its clients.
pub const ADMIN_SOCKETS: usize = 33;

/// Upstream calls that may be in flight, as a multiple of this server's share of the upstream's slots.
const CALLS_PER_SHARE: f64 = 2.0;
/// Factor by which borrowed slots increase this number.
const BORROWED_MULTIPLE: f64 = 3.0;
/// Minimum and maximum number of upstream calls in flight.
const MIN_CALLS: usize = 4;
const MAX_CALLS: usize = 64;
/// Limit of the descriptors used by upstream calls: the descriptors of the process divided by this.
const CALL_SOCKETS_DIVISOR: usize = 8;

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not valid JSON, or a value has the wrong type.
    #[error("expected a configuration: {path}: {error}")]
    Parse {
        /// Path of the keys that lead to the error.
        path: String,
        /// Error of the parser: what it expected and what it found.
        error: serde_json::Error,
    },
    /// The server's name is empty or has characters that a report can't contain.
    #[error("expected a name of printable characters, got '{0}'")]
    Name(String),
    /// The limit of file descriptors is too low.
    #[error("expected limits.sockets of {min} or more, got {0}", min = 4 * RESERVED_SOCKETS)]
    Sockets(usize),
    /// The memory limit is too low, in MiB.
    #[error("expected limits.memory_mb of {MIN_MEMORY_MB} or more, got {0}")]
    Memory(u64),
    /// The seed is not a hexadecimal number.
    #[error("expected hex digits as seed, got '{0}'")]
    Seed(String),
    /// The admission module rejects the settings.
    #[error(transparent)]
    Settings(#[from] AdmissionSettingsError),
    /// The file has no tenants, although it weights the service to them.
    #[error("expected settings.customers, since settings.goal.worst_tenant is above 0, got none")]
    NoTenants,
    /// The names of classes or tenants are invalid.
    #[error(transparent)]
    Names(#[from] NamesError),
    /// A class name is empty or contains separators, which a line to the processor can't represent.
    #[error("expected names of classes without spaces, got '{0}'")]
    Class(String),
}

impl Config {
    /// Parses and validates the text of a configuration file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = read_json(text)?;
        if read_json::<RequiredKeys>(text)?.lacks_tenants() {
            return Err(ConfigError::NoTenants);
        }
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

    /// Returns the seed as a number, or an error if it is not hexadecimal.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }

    /// Returns the memory limit divided by `divisor`, in bytes.
    pub fn memory(&self, divisor: usize) -> usize {
        usize::try_from(self.limits.memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX) / divisor.max(1)
    }

    /// Maximum number of client connections, not counting [`RESERVED_CONNECTIONS`].
    pub fn max_connections(&self) -> usize {
        let admin = if self.admin_addr.is_some() { ADMIN_SOCKETS } else { 0 };
        self.limits.sockets - RESERVED_SOCKETS - admin - self.max_upstream_calls()
    }

    /// Maximum number of upstream calls in flight, each with its own connection and thread. Their descriptors are
    /// reserved, because a call that fails for lack of one would count as one that may have run.
    pub fn max_upstream_calls(&self) -> usize {
        if self.upstream.is_none() || self.settings.specifics.upstream != UpstreamKind::Shared {
            return 0;
        }
        let share = self.settings.specifics.call_share * if self.lends { BORROWED_MULTIPLE } else { 1.0 };
        let max_calls = MAX_CALLS.min(self.limits.sockets / CALL_SOCKETS_DIVISOR);
        ((share * CALLS_PER_SHARE).ceil() as usize).clamp(MIN_CALLS, max_calls)
    }
}

fn read_json<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    serde_json::from_str(text).map_err(|error| ConfigError::Parse {
        path: error_path::path(text, error.line(), error.column()),
        error,
    })
}

#[cfg(test)]
mod tests;
