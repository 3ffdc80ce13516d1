//! Service discovery of client proxies: the platform's list, with a delay of seconds, or a registry like Eureka, whose
//! rules are in [`registry`].

pub mod registry;

use crate::queue::At;
use gradepin_admission::{Time, span_from_seconds};
use gradepin_registry::instance::{Instance, InstanceStatus, Lease, Port};
use gradepin_registry::membership::MembershipSettings;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Name of the application in the registry.
pub const APP: &str = "TILE-SERVERS";
/// Name by which clients look up the servers.
pub const VIP: &str = "tile-servers";
const PORT: u16 = 9_080;
/// Address of machine 0: 10.0.0.0.
const FIRST: u32 = 0x0a00_0000;

/// A server's entry in the platform's list.
#[derive(Debug, Clone, Copy, Default)]
pub struct Entry {
    /// Whether the server is listed, that is, ready.
    pub listed: bool,
    /// Number of changes; an older change never replaces a newer one.
    pub version: u32,
    /// Time of the last report.
    pub reported: At,
}

impl Entry {
    /// Updates the entry after a report or a timeout; returns whether it changed.
    pub fn is(&mut self, listed: bool) -> bool {
        let changed = std::mem::replace(&mut self.listed, listed) != listed;
        self.version += u32::from(changed);
        changed
    }
}

/// Address of the server on a machine.
pub fn address(machine: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(FIRST + machine as u32)), PORT)
}

/// Machine number of an address.
pub fn machine(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => u32::from(ip).checked_sub(FIRST).map(|machine| machine as usize),
        IpAddr::V6(_) => None,
    }
}

/// Registry record of the server on a machine.
pub fn instance(machine: usize, zone: usize, heartbeat_s: f64, lease_s: f64) -> Instance {
    let address = address(machine);
    Instance {
        id: format!("n{machine}"),
        app: APP.into(),
        host: address.ip().to_string(),
        ip: Some(address.ip()),
        status: InstanceStatus::Starting,
        port: Port { number: PORT, enabled: true },
        vip: VIP.into(),
        lease: Lease {
            renewal_s: (heartbeat_s.ceil() as u64).max(1),
            duration_s: (lease_s.ceil() as u64).max(1),
            ..Lease::default()
        },
        metadata: [("zone".to_string(), format!("zone-{zone}"))].into(),
        ..Instance::default()
    }
}

/// Registration settings of a server.
pub fn membership(instance: Instance, heartbeat_s: f64) -> MembershipSettings {
    MembershipSettings {
        instance,
        urls: 1,
        heartbeat: span_from_seconds(heartbeat_s),
        timeout: span_from_seconds(1.0),
        min_change_interval: span_from_seconds(1.0),
        stabilization_period: span_from_seconds(0.5),
        ready_share: 0.5,
        cold_capacity: 0.21,
        cold: span_from_seconds(18.0),
        preferred_retry_interval: span_from_seconds(60.0),
        cancel: true,
    }
}

/// Converts simulated time to the module's time. The offset keeps times before the start of a server representable.
pub fn time(at: At) -> Time {
    Time(at + 1_000_000_000_000)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against changes that undo later ones, and against addresses of the wrong machine.
    #[test]
    fn changes_are_counted_and_addresses_are_unique() {
        let mut entry = Entry::default();
        assert!(entry.is(true) && !entry.is(true) && entry.is(false));
        assert_eq!(entry.version, 2);
        for number in [0, 1, 255, 256, 99_999] {
            assert_eq!(machine(address(number)), Some(number));
        }
        assert_eq!(machine("[::1]:1".parse().unwrap()), None);
    }
}
