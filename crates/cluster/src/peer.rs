//! A server as the others know it: its name, its incarnation, where it is reached and the zone it runs in.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest name of a server or a zone, in bytes: with two of each a datagram still has room for what it carries.
pub const MAX_NAME_BYTES: usize = 48;

/// One incarnation of a process. A later one of the same name is greater, whatever its machine's wall clock
/// says: a process that receives a greater one of its own name raises its own past it.
///
/// The upper 48 bits begin as the Unix time in ms at the start, the lower 16 as random ones, so that no incarnation
/// comes again though nothing was kept on a disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation of a process that starts now, by a clock that may be wrong and a number drawn at random.
    pub fn starting(unix_ms: u64, random: u64) -> Self {
        Self(unix_ms << 16 | random & 0xffff)
    }

    /// One that wins over both.
    pub fn past(self, other: Self) -> Self {
        Self(self.0.max(other.0).saturating_add(1))
    }
}

/// A server in one of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its name; empty while only its address is known, as of a seed.
    pub name: Arc<str>,
    /// Which of its incarnations.
    pub incarnation: Incarnation,
    /// Where datagrams reach it.
    pub address: SocketAddr,
    /// Its group: servers that may fail together.
    pub zone: Arc<str>,
}

impl Peer {
    /// Somebody at an address of whom nothing else is known.
    pub fn unknown(address: SocketAddr) -> Self {
        Self { name: Arc::from(""), incarnation: Incarnation(0), address, zone: Arc::from("") }
    }
}

impl Identity for Peer {
    type Addr = SocketAddr;

    /// Declared dead though it is alive: it comes back as a later incarnation.
    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation.past(self.incarnation), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}
