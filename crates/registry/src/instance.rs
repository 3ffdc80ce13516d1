//! Instance records as a registry holds them, independent of the wire format.

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

/// The status of an instance; clients send requests only to instances that are [`InstanceStatus::Up`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum InstanceStatus {
    /// The instance accepts requests.
    Up,
    /// The instance reported that it can't serve requests.
    Down,
    /// The instance is starting or warming up, and accepts no requests yet.
    Starting,
    /// The instance was taken out of service on purpose, by itself or by an operator.
    OutOfService,
    /// The status is missing or has a name unknown to this crate. As an override: there is none.
    #[default]
    Unknown,
}

impl InstanceStatus {
    /// The name in messages of the registry API.
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

    /// Accepts any name, as Eureka's clients do: an unknown one becomes [`InstanceStatus::Unknown`].
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
    /// The instance was registered.
    #[default]
    Added,
    /// The record of the instance changed.
    Modified,
    /// The registration was removed.
    Deleted,
}

impl ActionType {
    /// The name in messages of the registry API.
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
    /// The TCP port number.
    pub number: u16,
    /// Whether the instance listens on this port.
    pub enabled: bool,
}

/// The lease of an instance at a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    /// Interval between heartbeats, in seconds.
    pub renewal_s: u64,
    /// Seconds without a heartbeat after which the registry may evict the instance.
    pub duration_s: u64,
    /// The time of the registration, in Unix milliseconds; 0 if unknown, like the other times of a lease.
    pub registered_ms: u64,
    /// The time of the last heartbeat, in Unix milliseconds.
    pub renewed_ms: u64,
    /// The time of the eviction, in Unix milliseconds.
    pub evicted_ms: u64,
    /// The time when the instance was first `UP`, in Unix milliseconds.
    pub up_ms: u64,
}

/// The record of one instance of an application.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// The instance id, unique within the application.
    pub id: String,
    /// The name of the application, in upper case.
    pub app: String,
    /// The host name; also the address for requests if `ip` is missing and this is an IP address.
    pub host: String,
    /// The IP address; `None` if it is missing or malformed in the message.
    pub ip: Option<IpAddr>,
    /// The effective status, with any override already applied by the registry.
    pub status: InstanceStatus,
    /// The status override in force; [`InstanceStatus::Unknown`] if there is none.
    pub overridden: InstanceStatus,
    /// The port for unencrypted requests.
    pub port: Port,
    /// The port for encrypted requests.
    pub secure_port: Port,
    /// The service name (VIP address) by which clients look up instances.
    pub vip: String,
    /// The service name for the secure port.
    pub secure_vip: String,
    /// The URL of the health check; empty if there is none.
    pub health_url: String,
    /// The URL of the status page; empty if there is none.
    pub status_url: String,
    /// The lease that heartbeats renew.
    pub lease: Lease,
    /// Free-form entries; the entry `zone` is the zone of the instance.
    pub metadata: BTreeMap<String, String>,
    /// When the registry last changed the record, in Unix milliseconds of the registry's clock.
    pub updated_ms: u64,
    /// When the instance last changed its own record, in Unix milliseconds of the instance's clock. Of two records the registry
    /// keeps the one with the later time.
    pub dirty_ms: u64,
    /// The kind of change, if the record is part of a delta.
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
    /// The zone of the instance, if its metadata has one.
    pub fn zone(&self) -> Option<&str> {
        self.metadata.get("zone").map(String::as_str)
    }
}

/// The instances of one or more applications, as a registry sent them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Applications {
    /// The registry's version number of the delta.
    pub version: String,
    /// The registry's [`hash_code`] of all instances that it holds; empty if it sent none.
    pub hash_code: String,
    /// The instances, in the order of the message.
    pub instances: Vec<Instance>,
}

/// The reconciliation code of a set of statuses: the name and the count of each status, in alphabetical order, as in
/// `DOWN_1_UP_2_`. A client whose code differs from the registry's has missed a change.
pub fn hash_code(statuses: impl IntoIterator<Item = InstanceStatus>) -> String {
    let mut counts = BTreeMap::<&str, usize>::new();
    for status in statuses {
        *counts.entry(status.wire_name()).or_default() += 1;
    }
    counts.iter().map(|(name, count)| format!("{name}_{count}_")).collect()
}

#[cfg(test)]
mod tests;
