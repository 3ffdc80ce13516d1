//! The identity of a server: its name, incarnation, address and zone.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum length of the name of a server or a zone, in bytes. A datagram with two names of each still has
/// room for its content.
pub const MAX_NAME_BYTES: usize = 48;

/// One incarnation of a server. A later incarnation is greater even if the wall clock was set back: a server
/// that learns of a greater incarnation of its own name raises its own above it.
///
/// The initial upper 48 bits are the Unix time in ms at the start, the lower 16 bits are random. So no
/// incarnation is repeated although none is stored on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation of a server that starts now, by its wall clock, which may be wrong, and a random
    /// number.
    pub fn starting(unix_ms: u64, random: u64) -> Self {
        Self(unix_ms << 16 | random & 0xffff)
    }

    /// The lowest incarnation greater than both.
    pub fn next_above(self, other: Self) -> Self {
        Self(self.0.max(other.0).saturating_add(1))
    }
}

/// A server in one of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The server's name; empty if only its address is known, as for a seed.
    pub name: Arc<str>,
    /// The server's incarnation; 0 if it is unknown.
    pub incarnation: Incarnation,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The server's zone; servers of one zone may fail together.
    pub zone: Arc<str>,
}

impl Peer {
    /// A server of which only the address is known.
    pub fn unknown(address: SocketAddr) -> Self {
        Self { name: Arc::from(""), incarnation: Incarnation(0), address, zone: Arc::from("") }
    }
}

impl Identity for Peer {
    type Addr = SocketAddr;

    /// A later incarnation, with which a live server that was declared dead rejoins.
    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation.next_above(self.incarnation), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}
