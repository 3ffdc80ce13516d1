//! How client proxies learn of servers: the platform's list, a second or two late, or a registry of Eureka's kind, whose rules
//! are in [`registry`].

pub mod registry;

use crate::queue::At;
use gradepin_admission::{Time, span_from_seconds};
use gradepin_registry::instance::{Instance, InstanceStatus, Lease, Port};
use gradepin_registry::membership::MembershipSettings;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The application and the name by which servers are looked up.
pub const APP: &str = "TILE-SERVERS";
/// See [`APP`].
pub const VIP: &str = "tile-servers";
const PORT: u16 = 9_080;
/// Machines are numbered from here: 10.0.0.0.
const FIRST: u32 = 0x0a00_0000;

/// What the keeper of the list knows of a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Entry {
    /// On the list, and ready.
    pub listed: bool,
    /// Counts changes, so that none is overtaken by an older one.
    pub version: u32,
    /// When it last reported.
    pub reported: At,
}

impl Entry {
    /// A report, or word that it is gone; whether anything changed.
    pub fn is(&mut self, listed: bool) -> bool {
        let changed = std::mem::replace(&mut self.listed, listed) != listed;
        self.version += u32::from(changed);
        changed
    }
}

/// Where a machine's server is reached.
pub fn address(machine: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(FIRST + machine as u32)), PORT)
}

/// The machine of an address.
pub fn machine(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => u32::from(ip).checked_sub(FIRST).map(|machine| machine as usize),
        IpAddr::V6(_) => None,
    }
}

/// The instance that a machine registers.
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

/// How a server's registration behaves.
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

/// The module's time of a moment of the world; not near 0, where what is before the start could not be told.
pub fn time(at: At) -> Time {
    Time(at + 1_000_000_000_000)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against changes that undo later ones, and addresses that are another machine's.
    #[test]
    fn changes_are_counted_and_addresses_are_one_machines() {
        let mut entry = Entry::default();
        assert!(entry.is(true) && !entry.is(true) && entry.is(false));
        assert_eq!(entry.version, 2);
        for number in [0, 1, 255, 256, 99_999] {
            assert_eq!(machine(address(number)), Some(number));
        }
        assert_eq!(machine("[::1]:1".parse().unwrap()), None);
    }
}
