//! An instance as a registry knows it, independent of the wire format.

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

/// The status of an instance, by which clients choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum InstanceStatus {
    /// Takes requests.
    Up,
    /// Its own checks fail.
    Down,
    /// Not ready yet.
    Starting,
    /// Taken out on purpose.
    OutOfService,
    /// Missing, or a name that isn't known here. As an override: none.
    #[default]
    Unknown,
}

impl InstanceStatus {
    /// The name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            Self::Up => "UP",
            Self::Down => "DOWN",
            Self::Starting => "STARTING",
            Self::OutOfService => "OUT_OF_SERVICE",
            Self::Unknown => "UNKNOWN",
        }
    }
}

impl fmt::Display for InstanceStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.wire_name())
    }
}

impl FromStr for InstanceStatus {
    type Err = std::convert::Infallible;

    /// Reads any name, as Eureka's clients do: one that is not known counts as [`InstanceStatus::Unknown`].
    fn from_str(name: &str) -> Result<Self, Self::Err> {
        Ok(match name.trim().to_ascii_uppercase().as_str() {
            "UP" => Self::Up,
            "DOWN" => Self::Down,
            "STARTING" => Self::Starting,
            "OUT_OF_SERVICE" => Self::OutOfService,
            _ => Self::Unknown,
        })
    }
}

/// The change of an instance that a delta reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ActionType {
    /// It is new.
    #[default]
    Added,
    /// Something about it changed.
    Modified,
    /// It was removed.
    Deleted,
}

impl ActionType {
    /// The name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            Self::Added => "ADDED",
            Self::Modified => "MODIFIED",
            Self::Deleted => "DELETED",
        }
    }
}

/// A port and whether it is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Port {
    /// Its number.
    pub number: u16,
    /// Whether the instance listens there.
    pub enabled: bool,
}

/// The lease of an instance at a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    /// Seconds between heartbeats.
    pub renewal_s: u64,
    /// Seconds without one after which the registry may evict the instance.
    pub duration_s: u64,
    /// When it was registered, in Unix milliseconds; 0 where the registry doesn't say.
    pub registered_ms: u64,
    /// The last heartbeat, in Unix milliseconds.
    pub renewed_ms: u64,
    /// When it was evicted, in Unix milliseconds.
    pub evicted_ms: u64,
    /// When it was first up, in Unix milliseconds.
    pub up_ms: u64,
}

/// One instance of an application.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its id, unique in its application.
    pub id: String,
    /// Its application, in upper case.
    pub app: String,
    /// Its host name.
    pub host: String,
    /// Its address, where it is one.
    pub ip: Option<IpAddr>,
    /// Its state, with any override already applied by the registry.
    pub status: InstanceStatus,
    /// The override in force; [`InstanceStatus::Unknown`] if there is none.
    pub overridden: InstanceStatus,
    /// Where it takes requests.
    pub port: Port,
    /// Where it takes encrypted ones.
    pub secure_port: Port,
    /// The name by which callers look it up.
    pub vip: String,
    /// The same for its secure port.
    pub secure_vip: String,
    /// Where its checks answer.
    pub health_url: String,
    /// Where its state can be read.
    pub status_url: String,
    /// Its lease.
    pub lease: Lease,
    /// Further entries; the zone is under `zone`.
    pub metadata: BTreeMap<String, String>,
    /// When the registry last changed it, in Unix milliseconds.
    pub updated_ms: u64,
    /// When the instance itself last changed, in Unix milliseconds. Of two records the later one counts.
    pub dirty_ms: u64,
    /// In a delta: the change.
    pub action: ActionType,
}

impl Default for Instance {
    fn default() -> Self {
        Self {
            id: String::new(),
            app: String::new(),
            host: String::new(),
            ip: None,
            status: InstanceStatus::Unknown,
            overridden: InstanceStatus::Unknown,
            port: Port::default(),
            secure_port: Port { number: 443, enabled: false },
            vip: String::new(),
            secure_vip: String::new(),
            health_url: String::new(),
            status_url: String::new(),
            lease: Lease { renewal_s: 30, duration_s: 90, ..Lease::default() },
            metadata: BTreeMap::new(),
            updated_ms: 0,
            dirty_ms: 0,
            action: ActionType::Added,
        }
    }
}

impl Instance {
    /// The zone that it runs in, where its metadata has one.
    pub fn zone(&self) -> Option<&str> {
        self.metadata.get("zone").map(String::as_str)
    }
}

/// All instances of one or more applications, as fetched.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Applications {
    /// The registry's version of the delta.
    pub version: String,
    /// The registry's [`hash_code`] of everything that it holds; empty where it sends none.
    pub hash_code: String,
    /// The instances, in the order sent.
    pub instances: Vec<Instance>,
}

/// The reconciliation code of a set of statuses: the name and count of each, in alphabetical order, as in `DOWN_1_UP_2_`.
/// A client that applied all deltas has the registry's code.
pub fn hash_code(statuses: impl IntoIterator<Item = InstanceStatus>) -> String {
    let mut counts = BTreeMap::<&str, usize>::new();
    for status in statuses {
        *counts.entry(status.wire_name()).or_default() += 1;
    }
    counts.iter().map(|(name, count)| format!("{name}_{count}_")).collect()
}

#[cfg(test)]
mod tests;
